package jobcell

import (
	"slices"
	"strings"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Times after which an instance counts as away.
const (
	memberAway   = 4 * time.Second         // not considered for the replicated log
	memberBusy   = 1600 * time.Millisecond // not used for work that others can do: it has missed an announcement
	memberForget = 60 * time.Second        // not told to others any more
)

// entry is what is known of one instance.
type entry struct {
	member *egretmuxv1.Member
	heard  time.Time // from itself; zero when only told of
	told   time.Time
}

// directory holds the instances that this one has heard of.
type directory struct {
	self string

	mu       sync.Mutex
	known    map[string]*entry // by cell address
	leader   string
	voters   []string
	formed   bool
	leaderAt time.Time // when the leader last answered as such
	newest   time.Time // when an instance was last heard of for the first time
}

func newDirectory(self string) *directory {
	return &directory{self: self, known: make(map[string]*entry), newest: time.Now()}
}

// heard takes up an instance's own announcement.
func (d *directory) heard(m *egretmuxv1.Member, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entry(m, now)
	e.member, e.heard = m, now
}

// told takes up instances that another one knows.
func (d *directory) told(members []*egretmuxv1.Member, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range members {
		if m.GetAddress() == "" || m.GetAddress() == d.self {
			continue
		}
		e := d.entry(m, now)
		if e.heard.IsZero() {
			e.member = m
		}
	}
}

func (d *directory) entry(m *egretmuxv1.Member, now time.Time) *entry {
	e := d.known[m.GetAddress()]
	if e == nil {
		e = &entry{member: m}
		d.known[m.GetAddress()] = e
		d.newest = now
	}
	e.told = now
	return e
}

// learn takes up what an answer says of the cell.
func (d *directory) learn(r *egretmuxv1.AnnounceMemberResponse) {
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

// members returns the instances told of lately, sorted by address.
func (d *directory) members(now time.Time) []*egretmuxv1.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*egretmuxv1.Member
	for address, e := range d.known {
		if now.Sub(e.told) > memberForget {
			delete(d.known, address)
			continue
		}
		out = append(out, e.member)
	}
	sortMembers(out)
	return out
}

// live returns the instances that announced themselves here within the given time.
func (d *directory) live(now time.Time, within time.Duration) []*egretmuxv1.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*egretmuxv1.Member
	for _, e := range d.known {
		if now.Sub(e.heard) <= within {
			out = append(out, e.member)
		}
	}
	sortMembers(out)
	return out
}

func sortMembers(m []*egretmuxv1.Member) {
	slices.SortFunc(m, func(a, b *egretmuxv1.Member) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
}

// settledFor returns how long no new instance was heard of.
func (d *directory) settledFor(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.newest)
}

// contacts returns the addresses to announce to: the voters when they are
// known, else all that is known.
func (d *directory) contacts(seeds []string) []string {
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

func (d *directory) leaderHeard(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaderAt = now
}

func (d *directory) leaderHeardWithin(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.leaderAt.IsZero() && time.Since(d.leaderAt) < limit
}
