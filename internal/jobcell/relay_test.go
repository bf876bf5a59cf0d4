package jobcell

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/discovery"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// unreachable is an address to which no connection can be made.
const unreachable = "127.0.0.1:1"

// fakeLeader answers every call, or refuses it if refuseWith is set.
type fakeLeader struct {
	egretmuxv1connect.UnimplementedJobCellServiceHandler
	refuseWith *refusal.Error
}

func (f *fakeLeader) CallJob(context.Context, *connect.Request[egretmuxv1.JobCall]) (*connect.Response[egretmuxv1.JobAnswer], error) {
	if f.refuseWith != nil {
		return nil, refusalrpc.Error(f.refuseWith)
	}
	return connect.NewResponse(&egretmuxv1.JobAnswer{Found: true}), nil
}

func serveLeader(t *testing.T, f egretmuxv1connect.JobCellServiceHandler) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(egretmuxv1connect.NewJobCellServiceHandler(f))
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Config.Protocols.SetHTTP1(true)
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// newCellWithLeader returns a cell that takes the given address for the leader's.
func newCellWithLeader(t *testing.T, leader string) *Cell {
	t.Helper()
	c, err := New(Config{Address: "self", Seeds: []string{unreachable}, Logger: zerolog.Nop(), Scheduler: scheduler.Config{WorkerClient: newFakeWorkers()}})
	require.NoError(t, err)
	c.directory.HandleNotice(&egretmuxv1.AnnounceLeaderRequest{Leader: leader, Term: 1, Voters: []string{leader}}, time.Now())
	c.leader.SetVoters([]string{leader})
	return c
}

// newCutOffCell returns an instance that cannot reach the leader but knows another
// that can.
func newCutOffCell(t *testing.T, leader *fakeLeader) *Cell {
	t.Helper()
	address := serveLeader(t, leader)
	connected := newCellWithLeader(t, address)
	meetLeader(connected, address)
	relay := strings.TrimPrefix(serveCell(t, connected).URL, "http://")
	cutOff := newCellWithLeader(t, unreachable)
	meet(cutOff, &egretmuxv1.Member{Address: relay}, time.Now())
	return cutOff
}

func TestCallGoesThroughAnotherInstanceWhenTheLeaderCannotBeReached(t *testing.T) {
	cutOff := newCutOffCell(t, &fakeLeader{})
	answer, err := cutOff.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT})
	require.NoError(t, err)
	require.True(t, answer.GetFound())

	began := time.Now()
	_, err = cutOff.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW})
	require.NoError(t, err)
	require.Less(t, time.Since(began), leaderSearchTimeout/2, "the next call must not search for the leader again")
}

func TestRefusalOfTheLeaderComesBackThroughARelay(t *testing.T) {
	cutOff := newCutOffCell(t, &fakeLeader{refuseWith: refusal.New(refusal.Invalid, "send another", "no such job")})
	_, err := cutOff.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT})
	require.Equal(t, refusal.Invalid, refusal.Of(err).Kind)
}

// Guards against reporting a call as not executed if a relay gave no answer, since
// the relay may have forwarded it.
func TestCallThatARelayMayHavePassedOnIsNotRefusedAsNotRun(t *testing.T) {
	cutOff := newCutOffCell(t, &fakeLeader{refuseWith: refusal.NewUnknown(refusal.OutcomeUnknown, "send it again", "no answer")})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := cutOff.CallJob(ctx, &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT})
	require.Equal(t, refusal.Unknown, refusal.Of(err).Ran)
}

func TestCallWithoutAnyWayToALeaderIsRefusedSoon(t *testing.T) {
	cutOff := newCellWithLeader(t, unreachable)
	relay := strings.TrimPrefix(serveCell(t, newCellWithLeader(t, unreachable)).URL, "http://")
	meet(cutOff, &egretmuxv1.Member{Address: relay}, time.Now())
	began := time.Now()
	_, err := cutOff.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT})
	require.Equal(t, refusal.No, refusal.Of(err).Ran)
	require.Less(t, time.Since(began), leaderSearchTimeout+maxRelayTries*relayCallTimeout)
}

// Guards against calls that go through another instance for ever: each relayed call extends
// the time for which the next ones are relayed, though the leader answers here again.
func TestCallsGoToTheLeaderDirectlyOnceItAnswersAgain(t *testing.T) {
	const leader, relay, callPause = "10.0.0.1:7720", "10.0.0.2:7720", 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := newCellWithLeader(t, leader)
		c.relay.remember(relay, time.Now())
		began := time.Now()
		for c.relay.preferred() {
			require.LessOrEqual(t, time.Since(began), 2*relayReuseTime, "calls are still relayed")
			time.Sleep(callPause)
			meetLeader(c, leader)
			c.relay.remember(relay, time.Now())
		}
	})
}

// newRelayingCell returns a cell whose calls go through another instance, though the
// leader has answered an announcement since.
func newRelayingCell(t *testing.T) *Cell {
	t.Helper()
	const leader = "10.0.0.1:7720"
	c := newCellWithLeader(t, leader)
	c.relay.remember("10.0.0.2:7720", time.Now())
	require.True(t, c.relay.preferred(), "the leader has not answered since")
	time.Sleep(time.Second)
	meetLeader(c, leader)
	return c
}

// Answers the return of a leader's link under load: a path that turns out to be cut for
// calls must not hold all of them.
func TestOneCallAtATimeProbesTheDirectPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayingCell(t)
		require.False(t, c.relay.preferred(), "one call probes")
		require.Equal(t, directProbeTimeout, c.relay.directTimeout(), "a probe does not search for the leader")
		for range 100 {
			require.True(t, c.relay.preferred(), "the others are relayed meanwhile")
		}
		c.relay.directEnded(true)
		require.False(t, c.relay.preferred())
		require.Equal(t, leaderSearchTimeout, c.relay.directTimeout())
	})
}

// Answers a link on which announcements pass and calls do not.
func TestFailedProbeIsRepeatedOnlyAfterAnotherAnswerOfTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayingCell(t)
		require.False(t, c.relay.preferred())
		time.Sleep(directProbeTimeout)
		c.relay.directEnded(false)
		for range 10 * int(relayReuseTime/time.Second) {
			require.True(t, c.relay.preferred())
			c.relay.remember("10.0.0.2:7720", time.Now())
			time.Sleep(time.Second)
		}
		meetLeader(c, "10.0.0.1:7720")
		require.False(t, c.relay.preferred())
	})
}

func TestCallRelayedBeforeTheLeaderAnsweredDirectlyDoesNotBringTheRelayBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayingCell(t)
		began := time.Now()
		time.Sleep(10 * time.Millisecond)
		c.relay.directEnded(true)
		c.relay.remember("10.0.0.2:7720", began)
		require.False(t, c.relay.preferred())
	})
}

// Guards against a search for a leader that left while calls were relayed: the next one
// has not answered here, so its term begins with relayed calls.
func TestCallsStayRelayedUnderANewLeaderThatHasNotAnsweredHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayingCell(t)
		require.False(t, c.relay.preferred())
		c.relay.directEnded(false)
		c.directory.HandleNotice(&egretmuxv1.AnnounceLeaderRequest{Leader: "10.0.0.3:7720", Term: 2}, time.Now())
		require.True(t, c.relay.preferred())
		time.Sleep(10 * time.Millisecond)
		now := time.Now()
		c.directory.Answered(discovery.Call{Address: "10.0.0.3:7720", Announce: &egretmuxv1.AnnounceMemberRequest{}},
			&egretmuxv1.AnnounceMemberResponse{Leader: "10.0.0.3:7720", LeaderTerm: 2}, now, now)
		require.False(t, c.relay.preferred())
	})
}

// Answers a direct path that comes back: a call that is relayed by habit reaches the
// leader directly as soon as that has answered.
func TestCallOfACellThatReachesTheLeaderAgainEndsTheRelay(t *testing.T) {
	leader := serveLeader(t, &fakeLeader{refuseWith: refusal.New(refusal.Invalid, "send another", "no such job")})
	c := newCellWithLeader(t, leader)
	c.relay.remember(unreachable, time.Now())
	meetLeader(c, leader)
	_, err := c.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW})
	require.Equal(t, refusal.Invalid, refusal.Of(err).Kind)
	require.Equal(t, leaderSearchTimeout, c.relay.directTimeout(), "a refusal of the leader is its answer")
}

// meet lets an instance announce itself to a cell.
func meet(c *Cell, m *egretmuxv1.Member, now time.Time) {
	c.directory.HandleAnnouncement(&egretmuxv1.AnnounceMemberRequest{Member: m}, now)
}

// meetLeader lets the leader answer an announcement of a cell.
func meetLeader(c *Cell, leader string) {
	now := time.Now()
	c.directory.Answered(discovery.Call{Address: leader, Announce: &egretmuxv1.AnnounceMemberRequest{}},
		&egretmuxv1.AnnounceMemberResponse{Leader: leader, LeaderTerm: 1}, now, now)
}
