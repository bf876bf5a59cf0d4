package jobcell

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// unreachable is an address to which no connection can be made.
const unreachable = "127.0.0.1:1"

// fakeLeader answers every call, or refuses it.
type fakeLeader struct {
	egretmuxv1connect.UnimplementedJobCellServiceHandler
	refuses *refusal.Error
}

func (f *fakeLeader) CallJob(context.Context, *connect.Request[egretmuxv1.JobCall]) (*connect.Response[egretmuxv1.JobAnswer], error) {
	if f.refuses != nil {
		return nil, refusalrpc.Error(f.refuses)
	}
	return connect.NewResponse(&egretmuxv1.JobAnswer{Found: true}), nil
}

func serveLeader(t *testing.T, f *fakeLeader) string {
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

func testCell(t *testing.T, leader string) *Cell {
	t.Helper()
	c, err := New(Config{Address: "self", Seeds: []string{unreachable}, Logger: zerolog.Nop(), Scheduler: scheduler.Config{Workers: newFakeWorkers()}})
	require.NoError(t, err)
	c.members.learn(&egretmuxv1.AnnounceMemberResponse{Leader: leader, Voters: []string{leader}})
	c.finder.SetVoters([]string{leader})
	return c
}

// relayCell returns a cut-off cell and the address of one that hears the leader.
func relayCell(t *testing.T, leader *fakeLeader) *Cell {
	t.Helper()
	address := serveLeader(t, leader)
	hears := testCell(t, address)
	hears.members.leaderHeard(time.Now())
	relay := strings.TrimPrefix(serveCell(t, hears).URL, "http://")
	cut := testCell(t, unreachable)
	cut.members.told([]*egretmuxv1.Member{{Address: relay}}, time.Now())
	return cut
}

func TestCallGoesThroughAnotherInstanceWhenTheLeaderCannotBeReached(t *testing.T) {
	cut := relayCell(t, &fakeLeader{})
	answer, err := cut.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT})
	require.NoError(t, err)
	require.True(t, answer.GetFound())

	began := time.Now()
	_, err = cut.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SHOW})
	require.NoError(t, err)
	require.Less(t, time.Since(began), searchTime/2, "the next call looks for the leader again")
}

func TestRefusalOfTheLeaderComesBackThroughARelay(t *testing.T) {
	cut := relayCell(t, &fakeLeader{refuses: refusal.New(refusal.Invalid, "send another", "no such job")})
	_, err := cut.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT})
	require.Equal(t, refusal.Invalid, refusal.Of(err).Kind)
}

// A relay that gives no answer may have passed the call on.
func TestCallThatARelayMayHavePassedOnIsNotRefusedAsNotRun(t *testing.T) {
	cut := relayCell(t, &fakeLeader{refuses: refusal.NewUnknown(refusal.OutcomeUnknown, "send it again", "no answer")})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := cut.CallJob(ctx, &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT})
	require.Equal(t, refusal.Unknown, refusal.Of(err).Ran)
}

func TestCallWithoutAnyWayToALeaderIsRefusedSoon(t *testing.T) {
	cut := testCell(t, unreachable)
	relay := strings.TrimPrefix(serveCell(t, testCell(t, unreachable)).URL, "http://")
	cut.members.told([]*egretmuxv1.Member{{Address: relay}}, time.Now())
	began := time.Now()
	_, err := cut.CallJob(t.Context(), &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT})
	require.Equal(t, refusal.No, refusal.Of(err).Ran)
	require.Less(t, time.Since(began), searchTime+relayTries*relayTime)
}
