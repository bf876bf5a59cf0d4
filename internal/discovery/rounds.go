package discovery

import (
	"maps"
	"math"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Timing of calls. Periods grow with the number of members where all of them call the
// same few instances.
const (
	minAnnouncePeriod = time.Second
	// announceInterval is the mean time between two announcements that the leader
	// receives, in cells large enough for it to matter.
	announceInterval = 2500 * time.Microsecond
	// announceSpread is the time per member over which members announce themselves to
	// a new leader.
	announceSpread = 3 * time.Millisecond

	minAskPause = 150 * time.Millisecond // between two calls of an instance that looks for the leader
	maxAskPause = 600 * time.Millisecond // limit of the back-off, unless the number of members makes it longer
	askInterval = 5 * time.Millisecond   // mean time between two calls that all the instances looking for the leader make
	askBackoff  = 1.5
	maxAsks     = 2 // unanswered calls of an instance that looks for the leader
	// joinPause is the pause between two calls while all instances start together and
	// keep the links of the seeds busy. The first leader tells all of them.
	joinPause   = time.Second
	joinTimeout = 2 * time.Second

	minCallTimeout       = 700 * time.Millisecond
	callTimeoutPerMember = 2 * time.Millisecond
	askJitter            = 0.25
	// askAgainShare is the share of calls that go to the instance asked last, over the
	// connection that is open.
	askAgainShare = 0.75
	failureTime   = time.Second // time for which an instance that did not answer is asked last

	leadPeriod    = 250 * time.Millisecond // between two calls of the leader to seeds and replicas
	wantedPeers   = 8
	peersSpread   = 4 // announcements over which members ask a new leader for peers
	peersLifetime = 30 * time.Second
)

// announcePeriod returns the time between two announcements to the leader.
func (d *Directory) announcePeriod() time.Duration {
	return max(minAnnouncePeriod, time.Duration(d.size())*announceInterval)
}

// askPause returns the time until the next call of an instance that knows no leader.
func (d *Directory) askPause() time.Duration {
	bySize := max(minAskPause, time.Duration(d.size())*askInterval)
	if d.joining() {
		return d.withJitter(joinPause)
	}
	backoff := math.Pow(askBackoff, float64(min(d.fruitlessAsks, 8)))
	pause := min(time.Duration(float64(bySize)*backoff), max(3*bySize, maxAskPause))
	return d.withJitter(pause)
}

// joining reports whether all instances have started together and the cell is not
// formed yet.
func (d *Directory) joining() bool { return !d.formed && !d.local.Formed && d.self().GetFounding() }

func (d *Directory) withJitter(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 - askJitter + 2*askJitter*d.random.Float64()))
}

// callTimeout returns the time-out of a call. While many instances call the same one,
// its link is busy for a while, and repeated calls would only make that longer.
func (d *Directory) callTimeout() time.Duration {
	if d.joining() {
		return joinTimeout
	}
	return max(minCallTimeout, time.Duration(d.size())*callTimeoutPerMember)
}

func (d *Directory) jitter(limit time.Duration) time.Duration {
	return time.Duration(d.random.Float64() * float64(limit))
}

// SetLocal stores what the replica of this instance knows.
func (d *Directory) SetLocal(l Local, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	began := l.Leads && l.Term != d.noticeTerm
	before := d.leader().address
	d.local = l
	if l.Leads {
		d.search = leaderSearch{}
	}
	switch {
	case began:
		d.noticeTerm, d.leadsSince = l.Term, now
		d.untoldFrom, d.fanOutAt, d.holderSizes = time.Time{}, now.Add(holdersWaitTime), make(map[string]int)
		clear(d.untold)
		for _, m := range d.list.members(d.selfAddress) {
			d.untold[m.GetAddress()] = &notice{dueAt: now}
		}
		for address := range d.remembered.addresses {
			d.untold[address] = &notice{dueAt: now}
		}
		d.nextRound = now
	case d.leader().address != before:
		d.nextRound = now
	}
}

// Calls returns the calls that are due, and the time of the next ones.
func (d *Directory) Calls(now time.Time) (calls []Call, next time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshSelf()
	d.forgetSilent(now)
	calls, d.forwards = d.forwards, nil
	if !now.Before(d.nextRound) {
		switch {
		case d.local.Leads:
			calls = append(calls, d.leadRound(now)...)
		case d.coordinates():
			calls = append(calls, d.collectRound(now)...)
		default:
			calls = append(calls, d.memberRound(now)...)
		}
	}
	if d.local.Leads {
		calls = append(calls, d.dueNotices(now)...)
	}
	return calls, d.nextRound
}

// coordinates reports whether this instance forms the cell: the first seed at the
// first start of the cell.
func (d *Directory) coordinates() bool {
	return d.joining() && len(d.seeds) > 0 && d.seeds[0] == d.selfAddress
}

// collectRound asks the other seeds for the members that announced themselves there.
func (d *Directory) collectRound(now time.Time) []Call {
	d.nextRound = now.Add(minAskPause)
	var calls []Call
	for _, seed := range d.seeds {
		calls = append(calls, d.announceTo(now, seed, seed)...)
	}
	return calls
}

// memberRound announces this instance to the leader, or asks for the leader. It tells the members
// that it remembers of the leader, which may remember others.
func (d *Directory) memberRound(now time.Time) []Call {
	leader := d.leader()
	if leader.address != "" && leader.address != d.selfAddress && !d.isSuspect(leader) {
		d.nextRound = now.Add(d.announcePeriod())
		return d.announceTo(now, leader.address, append(d.remembered.next(), leader.address)...)
	}
	d.search.begin(now)
	var targets []string
	if leader.address != "" && now.Sub(d.suspectAt) >= minAskPause {
		targets = append(targets, leader.address) // a suspect may answer again
	}
	if len(d.inFlight) < maxAsks {
		d.fruitlessAsks++
		targets = append(targets, d.askTarget(now)...)
	}
	calls := d.announceTo(now, "", targets...)
	d.nextRound = now.Add(d.askPause())
	return calls
}

// askTarget picks one seed or replica to ask for the leader. If none of them has
// answered lately, it picks any member that it knows or remembers.
func (d *Directory) askTarget(now time.Time) []string {
	near := slices.Concat(d.seeds, d.replicas())
	others := slices.Collect(maps.Keys(d.remembered.addresses))
	for _, m := range d.list.members(d.selfAddress) {
		others = append(others, m.GetAddress())
	}
	failed := func(address string) bool { return now.Sub(d.failedAt[address]) < failureTime }
	for _, candidates := range [][]string{near, others} {
		if answering := slices.DeleteFunc(d.callable(candidates), failed); len(answering) > 0 {
			if slices.Contains(answering, d.lastAsked) && d.random.Float64() < askAgainShare {
				return []string{d.lastAsked}
			}
			d.lastAsked = answering[d.random.IntN(len(answering))]
			return []string{d.lastAsked}
		}
	}
	if left := d.callable(near); len(left) > 0 {
		return []string{left[d.random.IntN(len(left))]}
	}
	return nil
}

// callable returns the addresses to which an announcement may be sent now, sorted.
func (d *Directory) callable(addresses []string) []string {
	out := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == d.selfAddress || d.inFlight[a] })
	slices.Sort(out)
	return slices.Compact(out)
}

// announceTo returns an announcement for each address that has none in flight. The
// instance at listFrom is also asked for changes of the list of members.
func (d *Directory) announceTo(now time.Time, listFrom string, addresses ...string) []Call {
	var calls []Call
	leader := d.leader()
	for _, address := range d.callable(addresses) {
		d.inFlight[address] = true
		req := &egretmuxv1.AnnounceMemberRequest{
			Member: d.self(), Leader: leader.address, LeaderTerm: leader.term, Formed: d.formed || d.local.Formed,
		}
		switch {
		case address == listFrom && d.keepsList():
			req.ListLimit = backgroundMembers
			if d.needsListNow() {
				req.ListLimit = maxListMembers
			}
			position := d.positions[address]
			req.List = &egretmuxv1.ListPosition{Source: position.GetSource(), Version: position.GetVersion(), Digest: d.list.digest}
		case address == leader.address && !d.wantPeersAt.IsZero() && !now.Before(d.wantPeersAt):
			req.Peers = wantedPeers
		}
		calls = append(calls, Call{Address: address, Timeout: d.callTimeout(), Announce: req})
	}
	return calls
}

// keepsList reports whether this instance keeps the list of all members: others ask
// it for the leader or for members, or it may lead.
func (d *Directory) keepsList() bool {
	return d.local.Leads || d.self().GetReplica() != 0 || slices.Contains(d.seeds, d.selfAddress)
}

// needsListNow reports whether this instance needs all members at once, to form the
// cell or to lead it.
func (d *Directory) needsListNow() bool { return d.local.Leads || d.coordinates() }

// leadRound calls the seeds and the other replicas, one in each round and all in the
// first round of a term: they learn the leader, and the leader gets the members that
// looked for it there. It gets the list from one of them at a time, as they mostly hold
// the same one.
func (d *Directory) leadRound(now time.Time) []Call {
	first := now.Equal(d.leadsSince)
	d.nextRound = now.Add(leadPeriod)
	if silentSince := now.Add(-memberRetention); silentSince.After(d.leadsSince) {
		d.list.expire(d.selfAddress, silentSince, now)
	}
	d.callSilent(now)
	removed := d.callRemoved()
	holders := d.listHolders()
	if len(holders) == 0 {
		return removed
	}
	target := d.listContinuesAt
	d.listContinuesAt = ""
	if !slices.Contains(holders, target) {
		d.nextPolled++
		target = holders[d.nextPolled%len(holders)]
	}
	if first {
		return append(removed, d.announceTo(now, target, holders...)...)
	}
	return append(removed, d.announceTo(now, target, target)...)
}

// listHolders returns the other instances that keep the list of members.
func (d *Directory) listHolders() []string {
	out := slices.Concat(d.seeds, d.replicas())
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(a string) bool { return a == d.selfAddress })
}
