package jobcell

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

// scriptedLeader answers one call after the other, and the last answer again.
type scriptedLeader struct {
	egretmuxv1connect.UnimplementedJobCellServiceHandler
	mu      sync.Mutex
	answers []any // *refusal.Error or *egretmuxv1.JobAnswer
	calls   []*egretmuxv1.JobCall
}

func (s *scriptedLeader) CallJob(_ context.Context, req *connect.Request[egretmuxv1.JobCall]) (*connect.Response[egretmuxv1.JobAnswer], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answers[min(len(s.calls), len(s.answers)-1)]
	s.calls = append(s.calls, req.Msg)
	if refused, ok := answer.(*refusal.Error); ok {
		return nil, refusalrpc.Error(refused)
	}
	return connect.NewResponse(answer.(*egretmuxv1.JobAnswer)), nil
}

// noAnswer is the result of an attempt that may have been executed.
func noAnswer() *refusal.Error {
	return refusal.NewUnknown(refusal.OutcomeUnknown, "send it again", "no answer")
}

// denials are answers that tell nothing of an earlier attempt: since then the credential
// or the queue may have been withdrawn, or the credential given to another customer.
func denials() map[string]any {
	return map[string]any{
		"withdrawn credential": refusal.New(refusal.Unauthenticated, "send another", "not known"),
		"moved credential":     refusal.New(refusal.Forbidden, "send another", "of another customer"),
		"unknown path":         refusal.New(refusal.NotFound, "send another", "not found"),
		"changed prefix":       refusal.New(refusal.Invalid, "send another", "no job id"),
		"dropped queue":        &egretmuxv1.JobAnswer{NoQueue: true},
	}
}

// routes are the ways of a call to the leader, each with the answers that a leader gives
// to the attempts that take it.
func routes(t *testing.T) map[string]func(answers ...any) *Cell {
	return map[string]func(answers ...any) *Cell{
		"directly": func(answers ...any) *Cell {
			return newCellWithLeader(t, serveLeader(t, &scriptedLeader{answers: answers}))
		},
		"through an instance that reaches the leader": func(answers ...any) *Cell {
			leader := serveLeader(t, &scriptedLeader{answers: answers})
			connected := newCellWithLeader(t, leader)
			meetLeader(connected, leader)
			return cutOffFrom(t, strings.TrimPrefix(serveCell(t, connected).URL, "http://"))
		},
		"through two instances in turn": func(answers ...any) *Cell {
			shared := &scriptedLeader{answers: answers}
			return cutOffFrom(t, serveLeader(t, shared), serveLeader(t, shared))
		},
		"directly, then through an instance": func(answers ...any) *Cell {
			c := newCellWithLeader(t, serveLeader(t, &scriptedLeader{answers: answers[:1]}))
			meet(c, &egretmuxv1.Member{Address: serveLeader(t, &scriptedLeader{answers: answers[1:]})}, time.Now())
			return c
		},
	}
}

// cutOffFrom returns a cell that reaches other instances, but not the leader.
func cutOffFrom(t *testing.T, others ...string) *Cell {
	c := newCellWithLeader(t, unreachable)
	for _, address := range others {
		meet(c, &egretmuxv1.Member{Address: address}, time.Now())
	}
	return c
}

func callWith(t *testing.T, c *Cell, verb egretmuxv1.JobVerb) (*egretmuxv1.JobAnswer, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return c.CallJob(ctx, &egretmuxv1.JobCall{Verb: verb, Address: &egretmuxv1.QueueAddress{Host: "h", Path: "/q/00000000000000aa"}, CredentialSha256: []byte("hash")})
}

func attemptsOf(verb egretmuxv1.JobVerb) *attempts {
	return &attempts{call: &egretmuxv1.JobCall{Verb: verb}}
}

// settleWith settles an attempt with a refusal or an answer.
func settleWith(a *attempts, result any) (bool, *egretmuxv1.JobAnswer, error) {
	if refused, ok := result.(*refusal.Error); ok {
		return a.settle(nil, refused)
	}
	return a.settle(result.(*egretmuxv1.JobAnswer), nil)
}

func TestDenialAfterAnAttemptOfUnknownOutcomeIsNotDefinite(t *testing.T) {
	for denial, result := range denials() {
		for _, verb := range []egretmuxv1.JobVerb{egretmuxv1.JobVerb_JOB_VERB_SUBMIT, egretmuxv1.JobVerb_JOB_VERB_CANCEL} {
			a := attemptsOf(verb)
			final, _, err := a.settle(nil, noAnswer())
			require.False(t, final)
			require.Error(t, err)
			final, _, err = settleWith(a, result)
			require.True(t, final, "the leader would deny it again")
			require.Equal(t, refusal.Unknown, refusal.Of(err).Ran, denial)
		}
	}
}

func TestDenialWithoutAnEarlierAttemptIsDefinite(t *testing.T) {
	for denial, result := range denials() {
		a := attemptsOf(egretmuxv1.JobVerb_JOB_VERB_SUBMIT)
		final, _, _ := a.settle(nil, refusal.New(refusal.NoLeader, "retry", "not yet"))
		require.False(t, final)
		final, answer, err := settleWith(a, result)
		require.True(t, final)
		if err == nil {
			require.True(t, answer.GetNoQueue())
			continue
		}
		require.Equal(t, refusal.No, refusal.Of(err).Ran, denial)
	}
}

// A read changes nothing, so that nothing of an earlier attempt can be lost.
func TestDenialOfAReadIsPassedOn(t *testing.T) {
	for denial, result := range denials() {
		a := attemptsOf(egretmuxv1.JobVerb_JOB_VERB_SHOW)
		_, _, err := a.settle(nil, noAnswer())
		require.Error(t, err)
		final, answer, err := settleWith(a, result)
		require.True(t, final)
		if err == nil {
			require.True(t, answer.GetNoQueue())
			continue
		}
		require.Equal(t, result, err, denial)
	}
}

// Guards against a job that runs though its client was told that every attempt was
// refused: the first attempt was stored and its answer lost, then the credential or the
// queue was withdrawn.
func TestDenialIsNotDefiniteOnAnyRouteAfterAnAttemptWithoutAnswer(t *testing.T) {
	for route, cellWith := range routes(t) {
		for _, denial := range []string{"withdrawn credential", "dropped queue"} {
			t.Run(route+"/"+denial, func(t *testing.T) {
				_, err := callWith(t, cellWith(noAnswer(), denials()[denial]), egretmuxv1.JobVerb_JOB_VERB_SUBMIT)
				require.Error(t, err)
				require.Equal(t, refusal.Unknown, refusal.Of(err).Ran)
			})
		}
	}
}

func TestCallThatIsStoredAtALaterAttemptSucceeds(t *testing.T) {
	for route, cellWith := range routes(t) {
		t.Run(route, func(t *testing.T) {
			answer, err := callWith(t, cellWith(noAnswer(), &egretmuxv1.JobAnswer{Found: true}), egretmuxv1.JobVerb_JOB_VERB_SUBMIT)
			require.NoError(t, err)
			require.True(t, answer.GetFound())
		})
	}
}

// Each instance on the way passes on the hash of the credential, and nothing else of it.
func TestCredentialHashIsPassedOnByEveryInstance(t *testing.T) {
	leader := &scriptedLeader{answers: []any{&egretmuxv1.JobAnswer{Found: true}}}
	address := serveLeader(t, leader)
	connected := newCellWithLeader(t, address)
	meetLeader(connected, address)
	_, err := callWith(t, cutOffFrom(t, strings.TrimPrefix(serveCell(t, connected).URL, "http://")), egretmuxv1.JobVerb_JOB_VERB_SUBMIT)
	require.NoError(t, err)
	require.Equal(t, "hash", string(leader.calls[0].GetCredentialSha256()))
}
