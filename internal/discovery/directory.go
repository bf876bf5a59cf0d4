// Package discovery finds the other instances of a cell and its leader, starting from
// a few seed addresses. Its core does no I/O and reads no clock: a driver makes the
// calls that it returns and reports the answers.
//
// Each instance announces itself to the leader, once a second in cells of up to 400
// instances. One that knows no leader asks one seed or replica at a time. A new leader
// tells all instances, through some of them if there are many, and later those that fell
// silent. Only seeds, instances with a data folder and the leader keep the list of all
// members; lists are versioned, so that only changes are sent. What an instance sends in
// a calm cell thus does not depend on the size of the cell. After a restart the members
// of before are called as well, as the seeds of some may all have been replaced.
package discovery

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Call is a call to another instance that the driver has to make: an announcement of
// this instance or a notice of a new leader.
type Call struct {
	Address  string
	Timeout  time.Duration
	Announce *egretmuxv1.AnnounceMemberRequest
	Notice   *egretmuxv1.AnnounceLeaderRequest
}

// Local is what the replica of this instance knows of the cell. It is zero for an
// instance without a running replica.
type Local struct {
	Leads    bool     // this instance leads by a recent confirmation
	Leader   string   // cell address of the leader; empty if unknown
	Term     uint64   // term of Leader
	Replicas []string // cell addresses of the replicas
	Formed   bool
}

// Directory holds the known members and what they reported of the cell.
type Directory struct {
	selfAddress string
	self        func() *egretmuxv1.Member
	wake        chan struct{}

	mu            sync.Mutex
	random        *rand.Rand
	list          *memberList
	remembered    rememberedMembers
	seeds         []string
	local         Local
	lastDiscovery time.Time // when an unknown instance was last added
	formed        bool
	reportedSize  int // members known to the instance that answered last

	// The leader as other instances reported it.
	heard     leaderReport
	voters    []string
	contactAt time.Time    // when the last call began that the leader answered as leader
	suspect   leaderReport // the leader that did not answer the last call to it
	suspectAt time.Time
	search    leaderSearch

	nextRound     time.Time
	inFlight      map[string]bool // addresses with an unanswered announcement
	lastAsked     string          // instance that was last asked for the leader
	fruitlessAsks int             // calls since an instance named a leader
	failedAt      map[string]time.Time
	positions     map[string]*egretmuxv1.ListPosition // received part of others' lists, by address
	wantPeersAt   time.Time                           // when to ask the leader for peers; zero before the first contact

	forwards []Call // notices to pass on

	// While this instance leads.
	noticeTerm  uint64             // term of the notices
	leadsSince  time.Time          // when the term of the notices began
	untold      map[string]*notice // instances that may not know this leader, by address
	fanOutAt    time.Time          // when the holders of the list are asked to tell the members; zero once they are
	holderSizes map[string]int     // number of members that each holder of the list knows
	untoldFrom  time.Time          // before that, newly found members count as told by a holder of the list
	nextPolled  int                // round-robin position in the holders of the list
	nextRemoved int                // the same in the removed members
	// listContinuesAt is the instance that has more of the list for this one.
	listContinuesAt string
	noticesSent     int // notices in flight

	liveCache liveCache
}

// leaderReport is a leader of which another instance told this one.
type leaderReport struct {
	address string
	control string
	term    uint64
}

// New returns a directory that knows only the seeds.
func New(self func() *egretmuxv1.Member, seeds []string, random *rand.Rand, now time.Time) *Directory {
	m := self()
	d := &Directory{
		self: self, selfAddress: m.GetAddress(), random: random, seeds: seeds, wake: make(chan struct{}, 1),
		list: newMemberList(random.Uint64()), remembered: rememberedMembers{addresses: make(map[string]bool), last: m.GetAddress()}, lastDiscovery: now, nextRound: now,
		inFlight: make(map[string]bool), failedAt: make(map[string]time.Time),
		positions: make(map[string]*egretmuxv1.ListPosition), untold: make(map[string]*notice),
	}
	d.list.set(m, now)
	return d
}

// Wake returns a channel that signals that calls may be due before the time that Calls
// returned.
func (d *Directory) Wake() <-chan struct{} { return d.wake }

// roundAt makes the next round due at a time. The caller holds mu.
func (d *Directory) roundAt(at time.Time) {
	if at.Before(d.nextRound) {
		d.nextRound = at
		d.signal()
	}
}

func (d *Directory) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// SetSeeds replaces the seed addresses and reports whether they changed.
func (d *Directory) SetSeeds(seeds []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(d.seeds, seeds) {
		return false
	}
	d.seeds = seeds
	return true
}

// MarkFormed records that the cell has been formed.
func (d *Directory) MarkFormed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.formed = true
}

// Formed reports whether this instance knows that the cell has been formed.
func (d *Directory) Formed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.formed || d.local.Formed
}

// Leader returns the cell address and the control address of the leader, or empty
// strings if they are unknown.
func (d *Directory) Leader() (address, control string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	leader := d.leader()
	return leader.address, d.controlOf(leader)
}

// leader returns the leader of the highest term that the replica or other instances
// reported. The caller holds mu.
func (d *Directory) leader() leaderReport {
	if d.local.Leads {
		return leaderReport{address: d.selfAddress, term: d.local.Term}
	}
	if d.local.Leader != "" && d.local.Term >= d.heard.term {
		return leaderReport{address: d.local.Leader, term: d.local.Term}
	}
	return d.heard
}

// controlOf returns the control address of a leader, or an empty string.
func (d *Directory) controlOf(leader leaderReport) string {
	if leader.control != "" {
		return leader.control
	}
	if e := d.list.entries[leader.address]; e != nil {
		return e.member.GetControl()
	}
	if d.heard.address == leader.address {
		return d.heard.control
	}
	return ""
}

// Voters returns the cell addresses of the replicas, as far as they are known.
func (d *Directory) Voters() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.replicas())
}

func (d *Directory) replicas() []string {
	if len(d.local.Replicas) > 0 {
		return d.local.Replicas
	}
	return d.voters
}

// InContact reports whether the leader answered a recent announcement.
func (d *Directory) InContact(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inContact(now)
}

func (d *Directory) inContact(now time.Time) bool {
	return !d.contactAt.IsZero() && now.Sub(d.contactAt) < d.scaled(contactFactor)
}

// ContactedSince reports whether the leader answered an announcement that was sent after
// the given time.
func (d *Directory) ContactedSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contactAt.After(at)
}

// Members returns the other known members, sorted by address.
func (d *Directory) Members() []*egretmuxv1.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.members(d.selfAddress)
}

// SinceLastDiscovery returns the time since an unknown instance was last added.
func (d *Directory) SinceLastDiscovery(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastDiscovery)
}

// SilentFor returns the time since an instance last announced itself here, counted
// from earliest at the earliest.
func (d *Directory) SilentFor(address string, now, earliest time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	heard := earliest
	if e := d.list.entries[address]; e != nil && e.lastAnnounced.After(heard) {
		heard = e.lastAnnounced
	}
	return now.Sub(heard)
}

// NewReplicaSince reports whether another instance was first seen with an empty replica
// after the given time. The replicas of the cell's first start do not count.
func (d *Directory) NewReplicaSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, e := range d.list.entries {
		if address != d.selfAddress && e.newReplicaAt.After(at) {
			return true
		}
	}
	return false
}

// Factors of the period of announcements after which an instance counts as silent.
const (
	responsiveFactor = 1.6 // it has missed an announcement
	contactFactor    = 2.5 // tolerates two lost announcements; the leader calls a member that is silent for longer
	liveFactor       = 4
)

// Responsive returns the instances that have missed no announcement to this one,
// sorted by address. The slice must not be changed; it stays the same while the
// instances do.
func (d *Directory) Responsive(now time.Time) []*egretmuxv1.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.liveCache.at) < liveCacheTime {
		return d.liveCache.members
	}
	d.liveCache.at = now
	if live := d.announcedWithin(now, d.scaled(responsiveFactor)); !slices.Equal(live, d.liveCache.members) {
		d.liveCache.members = live
	}
	return d.liveCache.members
}

// liveCacheTime is the time for which Responsive returns the same result, as it is
// needed for each order to a worker.
const liveCacheTime = 20 * time.Millisecond

type liveCache struct {
	at      time.Time
	members []*egretmuxv1.Member
}

// Live returns the instances that announced themselves here lately and may become
// replicas, sorted by address.
func (d *Directory) Live(now time.Time) []*egretmuxv1.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.announcedWithin(now, d.scaled(liveFactor))
}

func (d *Directory) announcedWithin(now time.Time, within time.Duration) []*egretmuxv1.Member {
	var out []*egretmuxv1.Member
	for address, e := range d.list.entries {
		if address != d.selfAddress && !e.member.GetGone() && !e.lastAnnounced.IsZero() && now.Sub(e.lastAnnounced) <= within {
			out = append(out, e.member)
		}
	}
	sortByAddress(out)
	return out
}

// size returns the number of members, as far as this instance knows.
func (d *Directory) size() int {
	return max(len(d.list.entries)+len(d.remembered.addresses), d.reportedSize)
}

func (d *Directory) scaled(factor float64) time.Duration {
	return time.Duration(factor * float64(d.announcePeriod()))
}
