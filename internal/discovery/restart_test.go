package discovery

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

const (
	silenceBound  = 2 * time.Second // between two announcements of an instance that looks for the leader: half of the time for which it counts as live
	foundBound    = time.Second     // from an election to the first announcement to the new leader
	restartedAt   = "10.0.0.1:7720"
	electedAt     = "10.0.0.2:7720"
	bystanderAt   = "10.0.0.3:7720"
	restartedID   = 91 // replica of the instance that lost its disk
	formerTerm    = 7  // term in which it led before
	restartedLook = 5 * time.Millisecond
)

// restarted is an instance that led, lost its disk and started again at the same
// address. All its calls are answered by one view of the cell.
type restarted struct {
	directory *Directory
	now       time.Time
	leader    leaderReport // the leader that the others name
	announced time.Time    // last announcement that left
	reached   time.Time    // first announcement to the leader at electedAt
	silence   time.Duration
}

func newRestarted(leader leaderReport) *restarted {
	now := time.Unix(1_700_000_000, 0)
	member := &egretmuxv1.Member{Address: restartedAt, Replica: restartedID, Empty: true}
	r := &restarted{now: now, announced: now, leader: leader}
	r.directory = New(func() *egretmuxv1.Member { return member }, []string{restartedAt, electedAt, bystanderAt}, rand.New(rand.NewPCG(1, 2)), now)
	return r
}

// run makes and answers the calls that are due.
func (r *restarted) run(t *testing.T, span time.Duration) {
	t.Helper()
	for until := r.now.Add(span); r.now.Before(until); r.now = r.now.Add(restartedLook) {
		calls, _ := r.directory.Calls(r.now)
		for _, call := range calls {
			require.NotEqual(t, restartedAt, call.Address, "it calls itself")
			require.Equal(t, uint64(restartedID), call.Announce.GetMember().GetReplica())
			r.announced = r.now
			if call.Address == electedAt && r.leader.address == electedAt && r.reached.IsZero() {
				r.reached = r.now
			}
			r.directory.Answered(call, &egretmuxv1.AnnounceMemberResponse{
				Leader: r.leader.address, LeaderTerm: r.leader.term, Voters: []string{restartedAt, electedAt, bystanderAt}, Formed: true, Members: 3,
			}, r.now, r.now)
		}
		r.silence = max(r.silence, r.now.Sub(r.announced))
	}
}

// Guards against the incident of 2026-12-04: a leader that lost its disk was told that
// it led, never announced itself again and was never added as a new replica.
func TestRestartedLeaderAsksOnWhileTheOthersNameIt(t *testing.T) {
	named := leaderReport{address: restartedAt, term: formerTerm}
	sources := map[string]func(r *restarted){
		"in their answers": func(*restarted) {},
		"in their announcements": func(r *restarted) {
			r.directory.HandleAnnouncement(&egretmuxv1.AnnounceMemberRequest{
				Member: &egretmuxv1.Member{Address: bystanderAt}, Leader: named.address, LeaderTerm: named.term, Formed: true,
			}, r.now)
		},
		"by its own replica, unconfirmed": func(r *restarted) {
			r.directory.SetLocal(Local{Leader: named.address, Term: named.term}, r.now)
		},
	}
	for source, name := range sources {
		for _, electedTerm := range []uint64{formerTerm, formerTerm + 1} {
			t.Run(fmt.Sprintf("%s, term %d", source, electedTerm), func(t *testing.T) {
				r := newRestarted(named)
				for range 10 {
					name(r)
					r.run(t, time.Second)
				}
				require.LessOrEqual(t, r.silence, silenceBound, "it stopped announcing itself")
				r.directory.SetLocal(Local{}, r.now)
				r.leader = leaderReport{address: electedAt, term: electedTerm}
				elected := r.now
				r.run(t, 2*foundBound)
				require.False(t, r.reached.IsZero(), "it never announced itself to the new leader")
				require.LessOrEqual(t, r.reached.Sub(elected), foundBound)
				require.True(t, r.directory.InContact(r.now))
				address, _ := r.directory.Leader()
				require.Equal(t, electedAt, address)
			})
		}
	}
}

// Guards against instances that count as in contact with a leader, since one that does not
// lead was told that it does and repeats it.
func TestInstanceThatDoesNotLeadNeverTakesItselfForTheLeader(t *testing.T) {
	named := leaderReport{address: restartedAt, term: formerTerm}
	voters := []string{restartedAt, electedAt, bystanderAt}
	for report, tell := range map[string]func(r *restarted){
		"answer": func(r *restarted) { r.run(t, time.Second) },
		"announcement": func(r *restarted) {
			r.directory.HandleAnnouncement(&egretmuxv1.AnnounceMemberRequest{
				Member: &egretmuxv1.Member{Address: bystanderAt}, Leader: named.address, LeaderTerm: named.term,
			}, r.now)
		},
		"notice": func(r *restarted) {
			r.directory.HandleNotice(&egretmuxv1.AnnounceLeaderRequest{Leader: named.address, Term: named.term, Voters: voters}, r.now)
		},
	} {
		t.Run(report, func(t *testing.T) {
			r := newRestarted(named)
			tell(r)
			answer := r.directory.HandleAnnouncement(&egretmuxv1.AnnounceMemberRequest{Member: &egretmuxv1.Member{Address: bystanderAt}}, r.now)
			require.Empty(t, answer.GetLeader())
			address, _ := r.directory.Leader()
			require.Empty(t, address)
		})
	}
}

// Guards against the incident of 2026-12-04, over the simulated network: each leader in
// turn loses its memory and its disk and starts again at once, while the other replicas
// name it and no other can be elected.
func TestEachLeaderThatLosesItsDiskIsKnownToTheNextAsANewReplica(t *testing.T) {
	for _, n := range []int{10, 100} {
		for seed := range uint64(4) {
			s := formedSimulation(t, n, seed)
			for _, next := range []string{s.members[2], s.members[3], s.members[4]} {
				lost := s.leader
				lost.restartEmpty()
				s.runUntil(s.now.Sub(s.start) + 3*time.Second)
				require.LessOrEqual(t, s.now.Sub(s.lastAnnounced(lost)), silenceBound, "%d instances, seed %d: it stopped announcing itself", n, seed)
				named, _ := lost.directory.Leader()
				require.NotEqual(t, lost.address(), named, "%d instances, seed %d: it takes itself for the leader", n, seed)
				s.elect(next)
				took := s.runFor(10*time.Second, func() bool { return s.announcedReplica(lost) == lost.member.GetReplica() })
				t.Logf("%d instances, seed %d: new replica known %v after the election", n, seed, took)
				require.LessOrEqual(t, took, foundBound, "%d instances, seed %d: the leader does not know the new replica", n, seed)
				require.Less(t, s.runFor(10*time.Second, s.allInContact), 3*time.Second, "%d instances, seed %d", n, seed)
			}
		}
	}
}

// lastAnnounced returns when the replica of an instance was last announced to any other.
func (s *simulation) lastAnnounced(n *simNode) time.Time {
	var last time.Time
	for _, other := range s.running() {
		if e := other.directory.list.entries[n.address()]; other != n && e != nil && e.member.GetReplica() == n.member.GetReplica() {
			last = latest(last, e.lastAnnounced)
		}
	}
	return last
}

// announcedReplica returns the replica that an instance announced to the leader lately,
// or zero.
func (s *simulation) announcedReplica(n *simNode) uint64 {
	for _, m := range s.leader.directory.Live(s.now) {
		if m.GetAddress() == n.address() {
			return m.GetReplica()
		}
	}
	return 0
}
