package discovery

import (
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// HandleAnnouncement records the announcement of another instance and returns what
// this one knows of the cell.
func (d *Directory) HandleAnnouncement(req *egretmuxv1.AnnounceMemberRequest, now time.Time) *egretmuxv1.AnnounceMemberResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshSelf()
	d.recordAnnounced(req.GetMember(), now)
	d.formed = d.formed || req.GetFormed()
	d.learnLeader(leaderReport{address: req.GetLeader(), term: req.GetLeaderTerm()}, now)
	leader := d.leader()
	resp := &egretmuxv1.AnnounceMemberResponse{
		Leader: leader.address, LeaderTerm: leader.term, LeaderControl: d.controlOf(leader),
		Voters: d.replicas(), Formed: d.formed || d.local.Formed, Members: uint32(d.size()), Listed: uint32(len(d.list.entries)),
	}
	switch {
	case req.GetList() != nil:
		resp.Known, resp.List, resp.ListContinues = d.list.changesSince(req.GetList(), int(req.GetListLimit()))
	case req.GetPeers() > 0:
		resp.Known = d.samplePeers(int(req.GetPeers()), req.GetMember())
	}
	return resp
}

// recordAnnounced stores what an instance said of itself. The caller holds mu.
func (d *Directory) recordAnnounced(m *egretmuxv1.Member, now time.Time) {
	if m.GetAddress() == "" || m.GetAddress() == d.selfAddress {
		return
	}
	e, added := d.list.set(m, now)
	e.lastAnnounced = now
	if added {
		d.lastDiscovery = now
	}
	delete(d.untold, m.GetAddress())
	d.remembered.heardOf(m)
}

// samplePeers returns members without a replica, half of them in the zone of the
// caller if there are as many. Instances with a replica are more often partitioned
// together, and the caller knows them anyway.
func (d *Directory) samplePeers(n int, caller *egretmuxv1.Member) []*egretmuxv1.Member {
	all := d.list.members(caller.GetAddress())
	d.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var near, far []*egretmuxv1.Member
	for _, m := range all {
		switch {
		case m.GetReplica() != 0:
		case m.GetZone() == caller.GetZone():
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	out := near[:min(len(near), n/2)]
	return append(out, far[:min(len(far), n-len(out))]...)
}

// HandleNotice records a new leader and queues the notices to pass on.
func (d *Directory) HandleNotice(req *egretmuxv1.AnnounceLeaderRequest, now time.Time) *egretmuxv1.AnnounceLeaderResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshSelf()
	report := leaderReport{address: req.GetLeader(), control: req.GetLeaderControl(), term: req.GetTerm()}
	if known := d.leader(); report.term >= known.term {
		if report.address != d.selfAddress && (report.term > known.term || known.address == "" || d.isSuspect(report)) {
			d.heard, d.suspect = report, leaderReport{}
			d.reportedSize = int(req.GetMembers())
			// All instances hear of the leader at once. They spread their announcements.
			d.nextRound = now.Add(d.jitter(time.Duration(d.size()) * announceSpread))
		}
		d.setVoters(req.GetVoters())
		d.formed = true
		d.forwards = append(d.forwards, d.passOn(req)...)
		d.signal()
	}
	return &egretmuxv1.AnnounceLeaderResponse{Member: d.self()}
}

func (d *Directory) setVoters(voters []string) {
	if len(voters) > 0 {
		d.voters = voters
	}
}

// learnLeader records a leader that another instance reported. The caller holds mu.
func (d *Directory) learnLeader(r leaderReport, now time.Time) {
	if r.address == "" || r.term < d.heard.term || r.address == d.selfAddress {
		return
	}
	if r.term == d.heard.term && r.address == d.heard.address {
		if r.control != "" {
			d.heard.control = r.control
		}
		return
	}
	known := d.leader()
	d.heard = r
	if d.isSuspect(r) {
		return // it is called again in the next round
	}
	if known.address != r.address {
		d.roundAt(now)
	}
}

func (d *Directory) isSuspect(r leaderReport) bool {
	return d.suspect.address == r.address && d.suspect.term == r.term
}

// Answered handles the answer to an announcement that was sent at began.
func (d *Directory) Answered(call Call, resp *egretmuxv1.AnnounceMemberResponse, began, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inFlight, call.Address)
	delete(d.failedAt, call.Address)
	if resp.GetLeader() != "" {
		d.fruitlessAsks = 0
	}
	d.formed = d.formed || resp.GetFormed()
	d.setVoters(resp.GetVoters())
	d.reportedSize = int(resp.GetMembers())
	if !d.fanOutAt.IsZero() {
		d.holderSizes[call.Address] = int(resp.GetListed())
		d.signal()
	}
	d.addMembers(resp.GetKnown(), now)
	if resp.GetList() != nil {
		d.positions[call.Address] = resp.GetList()
		if resp.GetListContinues() && d.needsListNow() {
			d.listContinuesAt = call.Address
			d.roundAt(now)
		}
	} else if call.Announce.GetPeers() > 0 {
		d.wantPeersAt = now.Add(peersLifetime)
	}
	if d.leader().address == "" && resp.GetLeader() == "" {
		d.roundAt(now.Add(d.askPause()))
	}
	if resp.GetLeader() == call.Address {
		if d.wantPeersAt.IsZero() {
			d.wantPeersAt = now.Add(d.jitter(peersSpread * d.announcePeriod()))
		}
		d.contactAt = began
		d.search = leaderSearch{}
		d.roundAt(began.Add(d.announcePeriod()))
		d.suspect = leaderReport{}
	} else if leader := d.leader(); leader.address == call.Address {
		d.suspectLeader(leader, now) // it does not lead any more, or not yet
	}
	if resp.GetLeader() != call.Address {
		d.search.noteAnswer(resp.GetLeader(), d.selfAddress, now)
	}
	d.learnLeader(leaderReport{address: resp.GetLeader(), control: resp.GetLeaderControl(), term: resp.GetLeaderTerm()}, now)
}

// addMembers stores the members that another instance reported. The caller holds mu.
func (d *Directory) addMembers(members []*egretmuxv1.Member, now time.Time) {
	added := d.list.merge(members, d.selfAddress, now)
	d.remembered.heardOf(members...)
	if len(added) == 0 {
		return
	}
	d.lastDiscovery = now
	if d.local.Leads {
		for _, address := range added {
			d.untold[address] = &notice{dueAt: latest(now, d.untoldFrom)}
		}
		d.signal()
	}
}

// Failed handles an announcement without an answer.
func (d *Directory) Failed(call Call, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inFlight, call.Address)
	d.failedAt[call.Address] = now
	if len(d.inFlight) == 0 && !d.remembered.addresses[call.Address] {
		d.roundAt(now.Add(d.withJitter(minAskPause)))
	}
	if leader := d.leader(); leader.address == call.Address {
		d.suspectLeader(leader, now)
		d.roundAt(now.Add(d.jitter(time.Duration(d.size()) * askInterval))) // all others notice it as well
	}
}

func (d *Directory) suspectLeader(leader leaderReport, now time.Time) {
	d.suspect, d.suspectAt = leader, now
	if d.heard.address == leader.address {
		d.heard.address, d.heard.control = "", ""
	}
}

// NoticeAnswered handles the answer to a notice, or a notice without an answer if
// resp is nil.
func (d *Directory) NoticeAnswered(call Call, resp *egretmuxv1.AnnounceLeaderResponse, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if call.Notice.GetLeader() != d.selfAddress {
		return // passed on; the leader repeats it if need be
	}
	d.noticesSent--
	if resp != nil {
		if d.local.Leads && d.local.Term == call.Notice.GetTerm() {
			d.recordAnnounced(resp.GetMember(), now)
		}
	} else {
		for _, address := range call.Notice.GetForward() {
			if n := d.untold[address]; n != nil {
				n.dueAt = now
			}
		}
	}
	if len(d.untold) > 0 {
		d.signal()
	}
}

// refreshSelf stores changes of this instance's own entry.
func (d *Directory) refreshSelf() { d.list.set(d.self(), time.Time{}) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
