package jobcell

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// leaderCallTimeout limits one call to the leader, and one send on a stream. A commit
// takes a few tens of milliseconds, and a lost leader is replaced within a second.
const leaderCallTimeout = 500 * time.Millisecond

// leaderSearchTimeout limits the search for a leader, after which a call that was
// certainly not executed is refused. A lost leader is replaced within about a second.
const leaderSearchTimeout = 1200 * time.Millisecond

// CallJob forwards a call to the leader. Calls are idempotent, so one that may have
// been executed is repeated until its outcome is known or the context ends.
func (c *Cell) CallJob(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	start := time.Now()
	c.calls.begin(ctx, call, fromClient)
	defer c.calls.end(call, fromClient)
	answer, err := c.callUntilOutcomeKnown(ctx, call)
	elapsed := time.Since(start)
	verb := VerbName(call.GetVerb())
	telemetry.ObserveSeconds(`call{verb="`+verb+`"}`, elapsed)
	if err != nil {
		refused := refusal.Of(err)
		telemetry.Count(`calls_refused_total{verb="` + verb + `",reason="` + string(refused.Kind) + `",ran="` + string(refused.Ran) + `"}`)
		c.cfg.Logger.Warn().Str("event", "call_refused").Str("path", call.GetAddress().GetPath()).Str("verb", verb).
			Str("reason", string(refused.Kind)).Str("ran", string(refused.Ran)).Str("leader", c.leaderAddress()).Int64("age_ms", elapsed.Milliseconds()).Err(err).Msg("")
	}
	return answer, err
}

// VerbName returns the name of a verb in logs and metrics.
func VerbName(v egretmuxv1.JobVerb) string {
	return strings.ToLower(strings.TrimPrefix(v.String(), "JOB_VERB_"))
}

// callUntilOutcomeKnown calls the leader directly, or through another instance if
// the leader cannot be reached. It reports the call as not executed only if that
// holds for every attempt.
func (c *Cell) callUntilOutcomeKnown(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	var unknown *refusal.Error // from an attempt that may have been executed
	if c.relay.preferred() {
		answer, err := c.relay.call(ctx, call)
		if err == nil || isFinal(err, unknown) {
			return answer, err
		}
		unknown = latestUnknown(unknown, err)
	}
	searchCtx, cancel := context.WithTimeout(ctx, leaderSearchTimeout)
	answer, err := c.callJobOnLeader(searchCtx, call)
	cancel()
	if err == nil || isFinal(err, unknown) {
		return answer, err
	}
	unknown = latestUnknown(unknown, err)
	if c.relay.allowed() && ctx.Err() == nil {
		answer, relayErr := c.relay.call(ctx, call)
		if relayErr == nil || isFinal(relayErr, unknown) {
			return answer, relayErr
		}
		unknown = latestUnknown(unknown, relayErr)
	}
	if unknown == nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, unknown
	}
	telemetry.CountRetry(refusal.OutcomeUnknown)
	if answer, err = c.callJobOnLeader(ctx, call); err == nil || isFinal(err, unknown) {
		return answer, err
	}
	return nil, unknown
}

// isFinal reports whether a refusal ends a call without further attempts. A client
// error (4xx) does, since the leader would refuse the call again. So does a lack of
// capacity (429), unless an earlier attempt may have been executed: the refusal says
// nothing of that attempt's outcome.
func isFinal(err error, unknown *refusal.Error) bool {
	status := refusal.Of(err).Kind.HTTPStatus()
	return status < http.StatusInternalServerError && (status != http.StatusTooManyRequests || unknown == nil)
}

// latestUnknown returns the latest error of an attempt that may have been executed:
// err if its outcome is unknown, else the earlier one.
func latestUnknown(earlier *refusal.Error, err error) *refusal.Error {
	if r := refusal.Of(err); r.Ran == refusal.Unknown {
		return r
	}
	return earlier
}

func (c *Cell) callJobOnLeader(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	var out *egretmuxv1.JobAnswer
	err := c.callLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		if c.scheduler.Leads() {
			var err error
			out, err = c.scheduler.CallJob(ctx, call)
			return refusalrpc.Error(err)
		}
		resp, err := p.Jobs.CallJob(ctx, connect.NewRequest(call))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	return out, err
}

// PutCatalogue forwards a configuration to the leader. For a large one it returns
// a RedirectError, so that the operator sends it to the leader directly.
func (c *Cell) PutCatalogue(ctx context.Context, catalogue *egretmuxv1.Catalogue) error {
	if control := c.leaderControlAddress(); len(catalogue.GetSource()) > maxForwardedBytes && control != "" {
		return &RedirectError{Control: control}
	}
	err := c.callLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		if c.scheduler.Leads() {
			_, err := c.scheduler.PutCatalogue(ctx, catalogue)
			return refusalrpc.Error(err)
		}
		_, err := p.Jobs.PutCatalogue(ctx, connect.NewRequest(&egretmuxv1.PutCatalogueRequest{Catalogue: catalogue}))
		return err
	})
	if err != nil {
		c.cfg.Logger.Warn().Str("event", "catalogue_refused").Uint64("version", catalogue.GetVersion()).Str("reason", string(refusal.Of(err).Kind)).Err(err).Msg("configuration refused")
	}
	return err
}

// maxForwardedBytes is the maximum size of a configuration that passes through an
// instance that does not lead. The slowest links carry 250 KB a second, and a call
// to the leader has to end within half a second.
const maxForwardedBytes = 64 << 10

// RedirectError names the control listener of the instance to which an operator
// must send a message that is too large to pass through this one.
type RedirectError struct{ Control string }

// Error implements error.
func (e *RedirectError) Error() string {
	return "the message is too large to pass on; send it to " + e.Control
}

// Catalogue returns the source of the leader's current configuration, or a
// RedirectError if it is too large.
func (c *Cell) Catalogue(ctx context.Context) ([]byte, error) {
	if c.scheduler.Leads() {
		catalogue, err := c.scheduler.Catalogue(ctx)
		return catalogue.GetSource(), err
	}
	var out *egretmuxv1.GetCatalogueResponse
	err := c.callLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		resp, err := p.Jobs.GetCatalogue(ctx, connect.NewRequest(&egretmuxv1.GetCatalogueRequest{MaxBytes: maxForwardedBytes}))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	switch {
	case err != nil:
		return nil, err
	case out.GetControl() != "":
		return nil, &RedirectError{Control: out.GetControl()}
	}
	return out.GetCatalogue().GetSource(), nil
}

// ForwardHeartbeat forwards a worker's heartbeat to the leader, unless it contains
// nothing new. It returns the address for the worker's next heartbeats, which is this
// instance's since it caches what the leader has accepted.
func (c *Cell) ForwardHeartbeat(ctx context.Context, beat *egretmuxv1.WorkerBeat) (string, error) {
	now := time.Now()
	if c.Ready() && c.heartbeats.isUnchanged(beat, now) {
		return c.cfg.Control, nil
	}
	err := c.callLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		if c.scheduler.Leads() {
			return refusalrpc.Error(c.scheduler.HandleHeartbeat(ctx, beat))
		}
		_, err := p.Jobs.BeatWorker(ctx, connect.NewRequest(beat))
		return err
	})
	if err != nil {
		return "", err
	}
	c.heartbeats.store(beat, now)
	return c.cfg.Control, nil
}

// StartWave forwards a wave, a set of machines to be maintained a few at a time, to the
// leader.
func (c *Cell) StartWave(ctx context.Context, w *egretmuxv1.Wave) error {
	return c.callLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		_, err := p.Jobs.StartWave(ctx, connect.NewRequest(&egretmuxv1.StartWaveRequest{Wave: w}))
		return err
	})
}

// ShowWave returns the leader's view of a wave's progress.
func (c *Cell) ShowWave(ctx context.Context, id uint64) (*egretmuxv1.ShowWaveResponse, error) {
	var out *egretmuxv1.ShowWaveResponse
	err := c.callLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		resp, err := p.Jobs.ShowWave(ctx, connect.NewRequest(&egretmuxv1.ShowWaveRequest{Wave: id}))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	return out, err
}

// forwardedHeader marks a call that an instance passes on, so that it ends at the instance
// that was taken for the leader.
const forwardedHeader = "Egretmux-Forwarded"

// customersFromLeader returns the leader's view of the customers.
func (c *Cell) customersFromLeader(ctx context.Context) (*egretmuxv1.ShowCustomersResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderSearchTimeout)
	defer cancel()
	var out *egretmuxv1.ShowCustomersResponse
	err := c.callLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		if c.scheduler.Leads() {
			var err error
			out, err = c.scheduler.ShowCustomers()
			return refusalrpc.Error(err)
		}
		req := connect.NewRequest(&egretmuxv1.ShowCustomersRequest{})
		req.Header().Set(forwardedHeader, "1")
		resp, err := p.Jobs.ShowCustomers(ctx, req)
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	return out, err
}

// leaderControlAddress returns the control address of the leader, or an empty string
// if the leader is unknown or is this instance.
func (c *Cell) leaderControlAddress() string {
	if c.scheduler.Leads() || !c.directory.InContact(time.Now()) {
		return ""
	}
	_, control := c.directory.Leader()
	return control
}

func (c *Cell) callLeader(ctx context.Context, f func(context.Context, *peer.Clients) error) error {
	return c.leader.Call(ctx, func(ctx context.Context, p *peer.Clients) error {
		ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
		defer cancel()
		return f(ctx, p)
	})
}
