package jobcell

import (
	"slices"
	"strings"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Limits of the time since an instance's last announcement or, for instanceRetention,
// its last mention by any instance.
const (
	liveTimeout       = 4 * time.Second         // an instance silent for longer is no candidate for the membership
	responsiveTimeout = 1600 * time.Millisecond // an instance silent for longer has missed an announcement and gets no delegated work
	instanceRetention = 60 * time.Second        // an instance not mentioned for longer is no longer reported to others
)

// instanceEntry holds what is known of one instance.
type instanceEntry struct {
	member        *egretmuxv1.Member
	lastAnnounced time.Time // zero if only other instances mentioned it
	lastMentioned time.Time // by itself or by another instance
}

// directory holds the known instances and what they reported of the cell.
type directory struct {
	self string

	mu                sync.Mutex
	known             map[string]*instanceEntry // by cell address
	leader            string
	voters            []string
	formed            bool
	lastLeaderContact time.Time // when the leader last answered and named itself leader
	lastDiscovery     time.Time // when a previously unknown instance was last added
}

func newDirectory(self string) *directory {
	return &directory{self: self, known: make(map[string]*instanceEntry), lastDiscovery: time.Now()}
}

// recordAnnouncement stores an instance's own announcement.
func (d *directory) recordAnnouncement(m *egretmuxv1.Member, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entryFor(m, now)
	e.member, e.lastAnnounced = m, now
}

// mergeKnown adds the instances known to another one. Their own announcements take
// precedence.
func (d *directory) mergeKnown(instances []*egretmuxv1.Member, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range instances {
		if m.GetAddress() == "" || m.GetAddress() == d.self {
			continue
		}
		e := d.entryFor(m, now)
		if e.lastAnnounced.IsZero() {
			e.member = m
		}
	}
}

func (d *directory) entryFor(m *egretmuxv1.Member, now time.Time) *instanceEntry {
	e := d.known[m.GetAddress()]
	if e == nil {
		e = &instanceEntry{member: m}
		d.known[m.GetAddress()] = e
		d.lastDiscovery = now
	}
	e.lastMentioned = now
	return e
}

// updateCellState stores what a response says of the leader, the voters and whether
// the cell has been bootstrapped.
func (d *directory) updateCellState(r *egretmuxv1.AnnounceMemberResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.GetLeader() != "" {
		d.leader = r.GetLeader()
	}
	if len(r.GetVoters()) > 0 {
		d.voters = r.GetVoters()
	}
	d.formed = d.formed || r.GetFormed()
}

func (d *directory) isFormed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.formed
}

// knownInstances returns the instances mentioned within instanceRetention, sorted by
// address.
func (d *directory) knownInstances(now time.Time) []*egretmuxv1.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*egretmuxv1.Member
	for address, e := range d.known {
		if now.Sub(e.lastMentioned) > instanceRetention {
			delete(d.known, address)
			continue
		}
		out = append(out, e.member)
	}
	sortByAddress(out)
	return out
}

// live returns the instances that announced themselves here within the given time,
// sorted by address.
func (d *directory) live(now time.Time, within time.Duration) []*egretmuxv1.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*egretmuxv1.Member
	for _, e := range d.known {
		if now.Sub(e.lastAnnounced) <= within {
			out = append(out, e.member)
		}
	}
	sortByAddress(out)
	return out
}

func sortByAddress(m []*egretmuxv1.Member) {
	slices.SortFunc(m, func(a, b *egretmuxv1.Member) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
}

// sinceLastDiscovery returns the time since an unknown instance was last added.
func (d *directory) sinceLastDiscovery(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastDiscovery)
}

// announceTargets returns the addresses to announce to: the seeds, and the voters
// or, while these are unknown, every known instance.
func (d *directory) announceTargets(seeds []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := append(slices.Clone(seeds), d.voters...)
	if len(d.voters) == 0 {
		for address := range d.known {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == d.self })
}

func (d *directory) leaderAndVoters() (string, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader, slices.Clone(d.voters)
}

// forgetLeader drops a leader that does not answer.
func (d *directory) forgetLeader(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == address {
		d.leader = ""
	}
}

func (d *directory) recordLeaderContact(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastLeaderContact = now
}

func (d *directory) leaderContactWithin(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.lastLeaderContact.IsZero() && time.Since(d.lastLeaderContact) < limit
}
