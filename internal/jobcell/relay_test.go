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
