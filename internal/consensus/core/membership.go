package core

import (
	"sort"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// membershipHistory holds the memberships in the log, oldest first. The newest
// one is in force as soon as it is in the log, committed or not, and is removed
// when its entry is truncated.
type membershipHistory struct {
	items []membershipItem
}

type membershipItem struct {
	index      uint64
	membership *egretmuxv1.Membership
}

func (h *membershipHistory) reset(snap *egretmuxv1.SnapshotMeta) {
	h.items = h.items[:0]
	if snap != nil {
		h.items = append(h.items, membershipItem{snap.GetIndex(), snap.GetMembership()})
	}
}

// recordIfMembership adds the membership in an entry to the history. Entries of
// other kinds are ignored.
func (h *membershipHistory) recordIfMembership(e *egretmuxv1.Entry) {
	if e.GetKind() != egretmuxv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	m := &egretmuxv1.Membership{}
	if err := proto.Unmarshal(e.GetData(), m); err == nil {
		h.items = append(h.items, membershipItem{e.GetIndex(), m})
	}
}

func (h *membershipHistory) truncate(from uint64) {
	for len(h.items) > 0 && h.items[len(h.items)-1].index >= from {
		h.items = h.items[:len(h.items)-1]
	}
}

// prune drops the memberships that were replaced at or before index.
func (h *membershipHistory) prune(index uint64) {
	for len(h.items) > 1 && h.items[1].index <= index {
		h.items = h.items[1:]
	}
}

func (h *membershipHistory) current() *egretmuxv1.Membership {
	if len(h.items) == 0 {
		return &egretmuxv1.Membership{}
	}
	return h.items[len(h.items)-1].membership
}

func (h *membershipHistory) index() uint64 {
	if len(h.items) == 0 {
		return 0
	}
	return h.items[len(h.items)-1].index
}

func (h *membershipHistory) at(index uint64) *egretmuxv1.Membership {
	inForce := &egretmuxv1.Membership{}
	for _, item := range h.items {
		if item.index <= index {
			inForce = item.membership
		}
	}
	return inForce
}

func (h *membershipHistory) replica(id uint64) *egretmuxv1.Replica {
	for _, r := range h.current().GetReplicas() {
		if r.GetId() == id {
			return r
		}
	}
	return nil
}

func (h *membershipHistory) isVoter(id uint64) bool {
	r := h.replica(id)
	return r != nil && !r.GetLearner()
}

// hasQuorum reports whether the condition holds for a majority of the voters.
func (h *membershipHistory) hasQuorum(condition func(id uint64) bool) bool {
	voters, satisfied := 0, 0
	for _, r := range h.current().GetReplicas() {
		if r.GetLearner() {
			continue
		}
		voters++
		if condition(r.GetId()) {
			satisfied++
		}
	}
	return satisfied > voters/2
}

// quorumValue returns the highest value that a majority of the voters reached.
func (h *membershipHistory) quorumValue(value func(id uint64) uint64) uint64 {
	var values []uint64
	for _, r := range h.current().GetReplicas() {
		if !r.GetLearner() {
			values = append(values, value(r.GetId()))
		}
	}
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(values)/2]
}

// syncProgress adds progress for new replicas and drops that of removed ones.
func (c *Core) syncProgress() {
	inMembership := make(map[uint64]bool)
	for _, r := range c.members.current().GetReplicas() {
		inMembership[r.GetId()] = true
		if c.progress[r.GetId()] == nil {
			c.progress[r.GetId()] = &progress{next: c.log.last() + 1, probing: true}
		}
	}
	for id := range c.progress {
		if !inMembership[id] {
			delete(c.progress, id)
		}
	}
	if c.progress[c.cfg.ID] == nil {
		c.progress[c.cfg.ID] = &progress{match: c.persisted}
	}
}

// ChangeError is a typed reason for refusing a membership change.
type ChangeError string

// Reasons for refusing a membership change.
const (
	ErrChangeNotLeader ChangeError = "this replica does not lead or is transferring its leadership; ask the leader"
	ErrChangePending   ChangeError = "another membership change is not committed yet; retry when it is"
	ErrChangeNotReady  ChangeError = "the leader has not committed an entry of its term yet; retry shortly"
	ErrChangeTooLarge  ChangeError = "more than one voter would change; change one at a time"
	ErrChangeLagging   ChangeError = "the learner does not hold the whole log yet; retry when it has caught up"
	ErrChangeEmpty     ChangeError = "no voter would remain; keep at least one"
	ErrChangeUnsafe    ChangeError = "too few of the remaining voters answer and hold the whole log; retry when they do"
)

// Error returns the reason and its remedy.
func (e ChangeError) Error() string { return string(e) }

// ChangeMembership appends a new membership. Only one voter may change at a
// time. A learner is promoted only once it is caught up and holds the membership in
// force, up to which the former replica of its instance stays. Voters change only if
// a majority of the resulting voters is caught up.
func (c *Core) ChangeMembership(next *egretmuxv1.Membership) error {
	if c.role != Leader || c.transferTo != 0 {
		return ErrChangeNotLeader
	}
	if c.members.index() > c.commit {
		return ErrChangePending
	}
	if !c.committedInTerm() {
		return ErrChangeNotReady
	}
	if err := c.checkChange(next); err != nil {
		return err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	e := &egretmuxv1.Entry{Kind: egretmuxv1.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data, Term: c.term, Index: c.log.last() + 1}
	c.log.append(e)
	c.members.recordIfMembership(e)
	c.syncProgress()
	c.broadcastAppend()
	return nil
}

func (c *Core) checkChange(next *egretmuxv1.Membership) error {
	before := voterSet(c.members.current())
	after := voterSet(next)
	if len(after) == 0 {
		return ErrChangeEmpty
	}
	changed := 0
	for id := range after {
		if before[id] {
			continue
		}
		changed++
		if !c.isCaughtUp(id) || !c.holdsMembership(id) {
			return ErrChangeLagging
		}
	}
	for id := range before {
		if !after[id] {
			changed++
		}
	}
	if changed > 1 {
		return ErrChangeTooLarge
	}
	if changed == 1 && !c.isMajorityCaughtUp(after) {
		return ErrChangeUnsafe
	}
	return nil
}

// caughtUpHeartbeats is the age, in heartbeats, of the commit index that a
// replica must hold to count as caught up. Under constant load a replica never
// holds the newest one.
const caughtUpHeartbeats = 3

// isCaughtUp reports whether a replica is live and holds the entries that were
// committed caughtUpHeartbeats ago.
func (c *Core) isCaughtUp(id uint64) bool {
	if id == c.cfg.ID {
		return true
	}
	p := c.progress[id]
	return p != nil && p.hasReplied && p.ticksSinceReply < c.cfg.ElectionTicks && p.match >= c.recentCommit[caughtUpHeartbeats-1]
}

// holdsMembership reports whether a replica holds the membership in force.
func (c *Core) holdsMembership(id uint64) bool {
	return id == c.cfg.ID || c.progress[id].match >= c.members.index()
}

func (c *Core) isMajorityCaughtUp(voters map[uint64]bool) bool {
	count := 0
	for id := range voters {
		if c.isCaughtUp(id) {
			count++
		}
	}
	return count > len(voters)/2
}

func voterSet(m *egretmuxv1.Membership) map[uint64]bool {
	set := make(map[uint64]bool)
	for _, r := range m.GetReplicas() {
		if !r.GetLearner() {
			set[r.GetId()] = true
		}
	}
	return set
}

// stepDownIfRemoved makes a leader that is no longer a voter a follower once
// its removal is committed.
func (c *Core) stepDownIfRemoved() {
	if c.role == Leader && !c.members.isVoter(c.cfg.ID) && c.members.index() <= c.commit {
		c.becomeFollower(c.term, 0)
	}
}
