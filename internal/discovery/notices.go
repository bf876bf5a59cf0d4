package discovery

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Limits of the notices by which a new leader makes itself known.
const (
	directNotices     = 32 // number of instances up to which the leader tells each itself
	noticeCopies      = 2  // instances through which a member is told, as one may be down
	maxNotices        = 64 // notices in flight
	minNoticePause    = 500 * time.Millisecond
	maxNoticePause    = 1500 * time.Millisecond
	holdersWaitTime   = 100 * time.Millisecond  // longest wait for the holders of the list to tell how many members they know
	completeShare     = 0.9                     // share of the largest known number of members from which a list counts as complete
	forwardedWaitTime = 1500 * time.Millisecond // time after which a member told through others must have announced itself
)

// notice is the state of telling one instance of the leader.
type notice struct {
	dueAt    time.Time
	attempts int
}

// dueNotices returns notices for the instances that have to be told of this leader.
func (d *Directory) dueNotices(now time.Time) []Call {
	if d.fanOutAt.IsZero() || !d.holdersAnswered(now) {
		return d.repeatedNotices(now)
	}
	d.fanOutAt = time.Time{}
	return append(d.shareNotices(now), d.repeatedNotices(now)...)
}

// holdersAnswered reports whether the holders of the list have told how many members
// they know, or have had the time to do so.
func (d *Directory) holdersAnswered(now time.Time) bool {
	return !now.Before(d.fanOutAt) || len(d.holderSizes) >= len(d.listHolders())
}

// shareNotices asks the holders of the list that know most members to tell all of them.
// There are none if this instance knows about as many.
func (d *Directory) shareNotices(now time.Time) []Call {
	most := 0
	for _, size := range d.holderSizes {
		most = max(most, size)
	}
	enough := int(completeShare * float64(most))
	if len(d.list.entries) >= enough {
		return nil
	}
	var complete []string
	for _, address := range d.listHolders() {
		if d.holderSizes[address] >= enough {
			complete = append(complete, address)
		}
	}
	var calls []Call
	for i, address := range complete {
		call := d.newNotice(address, nil)
		call.Notice.Share, call.Notice.Shares = uint32(i), uint32(len(complete))
		calls = append(calls, call)
	}
	for _, n := range d.untold {
		n.dueAt = now.Add(forwardedWaitTime)
	}
	d.untoldFrom = now.Add(forwardedWaitTime)
	return calls
}

// repeatedNotices returns notices for the instances that have not announced themselves
// in time. Some of them pass the notice on to the others if there are many.
func (d *Directory) repeatedNotices(now time.Time) []Call {
	var due []string
	for address, n := range d.untold {
		if e := d.list.entries[address]; (e == nil || e.member.GetGone()) && !d.remembered.addresses[address] {
			delete(d.untold, address)
		} else if !now.Before(n.dueAt) {
			due = append(due, address)
		}
	}
	slices.Sort(due)
	var calls []Call
	if len(due) > directNotices {
		for _, address := range due {
			d.untold[address].dueAt = now.Add(forwardedWaitTime)
		}
		for _, group := range d.noticeGroups(due) {
			calls = append(calls, d.newNotice(group[0], group[1:]))
		}
		return calls
	}
	for _, address := range due {
		if d.noticesSent >= maxNotices {
			break
		}
		n := d.untold[address]
		n.dueAt = now.Add(min(maxNoticePause, minNoticePause<<min(n.attempts, 8)))
		n.attempts++
		calls = append(calls, d.newNotice(address, nil))
	}
	return calls
}

// callSilent makes notices due for members that have missed announcements: one that restarted may
// know no other way to this leader.
func (d *Directory) callSilent(now time.Time) {
	silentSince := now.Add(-d.scaled(contactFactor))
	if d.leadsSince.After(silentSince) {
		return
	}
	for address, e := range d.list.entries {
		if address != d.selfAddress && !e.member.GetGone() && e.lastAnnounced.Before(silentSince) && d.untold[address] == nil {
			d.untold[address] = &notice{dueAt: now}
		}
	}
}

// callRemoved returns a notice for one of the members that were removed for their silence, for as long
// as the list holds their tombstones: an instance that was down for long is not a member any more, and
// its seeds may be gone.
func (d *Directory) callRemoved() []Call {
	if d.noticesSent >= maxNotices {
		return nil
	}
	var removed []string
	for address, e := range d.list.entries {
		if e.member.GetGone() {
			removed = append(removed, address)
		}
	}
	if len(removed) == 0 {
		return nil
	}
	slices.Sort(removed)
	d.nextRemoved++
	return []Call{d.newNotice(removed[d.nextRemoved%len(removed)], nil)}
}

// noticeGroups divides addresses into groups of which the first member tells the
// others. Each address is in noticeCopies groups, as a first member may be down.
func (d *Directory) noticeGroups(addresses []string) [][]string {
	var groups [][]string
	size := int(math.Ceil(math.Sqrt(float64(len(addresses)))))
	for range noticeCopies {
		d.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for group := range slices.Chunk(addresses, size) {
			groups = append(groups, slices.Clone(group))
		}
	}
	return groups
}

func (d *Directory) newNotice(address string, forward []string) Call {
	d.noticesSent++
	return Call{Address: address, Timeout: d.callTimeout(), Notice: &egretmuxv1.AnnounceLeaderRequest{
		Leader: d.selfAddress, LeaderControl: d.self().GetControl(), Term: d.local.Term, Voters: d.replicas(),
		Members: uint32(d.size()), Forward: forward,
	}}
}

// passOn returns the notices by which this instance passes one on.
func (d *Directory) passOn(received *egretmuxv1.AnnounceLeaderRequest) []Call {
	pass := func(address string, forward []string) Call {
		return Call{Address: address, Timeout: d.callTimeout(), Notice: &egretmuxv1.AnnounceLeaderRequest{
			Leader: received.GetLeader(), LeaderControl: received.GetLeaderControl(), Term: received.GetTerm(),
			Voters: received.GetVoters(), Members: received.GetMembers(), Forward: forward,
		}}
	}
	var calls []Call
	for _, address := range received.GetForward() {
		calls = append(calls, pass(address, nil))
	}
	shares := uint64(received.GetShares())
	if shares == 0 {
		return calls
	}
	var mine []string
	for _, m := range d.list.members(d.selfAddress) {
		share := hashAddress(m.GetAddress()) % shares
		if m.GetAddress() != received.GetLeader() && (share == uint64(received.GetShare()) || share == (uint64(received.GetShare())+1)%shares) {
			mine = append(mine, m.GetAddress())
		}
	}
	if len(mine) <= directNotices {
		for _, address := range mine {
			calls = append(calls, pass(address, nil))
		}
		return calls
	}
	size := int(math.Ceil(math.Sqrt(float64(len(mine)))))
	for group := range slices.Chunk(mine, size) {
		calls = append(calls, pass(group[0], group[1:]))
	}
	return calls
}

func hashAddress(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // never fails
	return h.Sum64()
}
