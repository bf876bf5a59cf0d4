package jobcell

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/scheduler"
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
	answer, err := c.callInOrder(ctx, call, start)
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

// callInOrder makes a call that began at a time, and sees to the order of catalogues in the answers.
func (c *Cell) callInOrder(ctx context.Context, call *egretmuxv1.JobCall, began time.Time) (*egretmuxv1.JobAnswer, error) {
	if ctx.Err() != nil {
		return nil, refusal.New(refusal.DeadlinePassed, "retry at another instance", "the call's time was over before it was tried").WithCause(ctx.Err())
	}
	if err := c.checkArrival(call, began); err != nil {
		return nil, err
	}
	arrived, queue := c.order.earliestArrival(began), queueOf(call.GetAddress())
	answer, err := c.callUntilOutcomeKnown(ctx, call)
	if err != nil {
		return nil, err
	}
	executed := changes(call, answer)
	verdict := c.order.admit(answer, queue, arrived, began, time.Now())
	if verdict == behindOthers {
		telemetry.CountRetry("catalogue-behind")
		if answer, err = c.callUntilOutcomeKnown(ctx, call); err != nil {
			if executed {
				err = outcomeWithheld().WithCause(err)
			}
			return nil, err
		}
		verdict = c.order.admit(answer, queue, arrived, began, time.Now())
		if executed && answer.GetNoQueue() {
			return nil, outcomeWithheld()
		}
	}
	if verdict == inOrder {
		c.catalogues.note(answer.GetCatalogueVersion(), "call")
		return answer, nil
	}
	telemetry.CountRetry("catalogue-out-of-order")
	if executed || changes(call, answer) {
		return nil, outcomeWithheld()
	}
	return nil, refusal.New(refusal.NoLeader, "retry shortly", "the configuration changed while the call waited").WithRetryAfter(time.Second)
}

// maxArrivalShare is the part of the retention of jobs, as a divisor, for which a submit may have waited
// unread. The rest of it is for the time that the call takes from then on.
const maxArrivalShare = 4

// checkArrival refuses a submit that may have waited here for so long, while the process stood still, that its
// job may have been cancelled, or have ended, and be forgotten. An earlier copy of it may have been accepted.
func (c *Cell) checkArrival(call *egretmuxv1.JobCall, began time.Time) error {
	if call.GetVerb() != egretmuxv1.JobVerb_JOB_VERB_SUBMIT {
		return nil
	}
	if waited := began.Sub(c.order.earliestArrival(began)); waited > c.cfg.Scheduler.StatusKeep/maxArrivalShare {
		return refusal.NewUnknown(refusal.DeadlinePassed, "send it again", "the submit may have arrived %s ago, while this process stood still", waited.Round(time.Second))
	}
	return nil
}

// changes reports whether a call with this answer has changed something, so that it must not be refused
// as one that was not executed.
func changes(call *egretmuxv1.JobCall, answer *egretmuxv1.JobAnswer) bool {
	return call.GetVerb() != egretmuxv1.JobVerb_JOB_VERB_SHOW && answer.GetFound()
}

// outcomeWithheld returns the refusal of a call that was executed, and whose answer would show clients an
// older configuration than others have seen. If it is sent again, it is answered by the newest one.
func outcomeWithheld() *refusal.Error {
	return refusal.NewUnknown(refusal.OutcomeUnknown, "send it again", "the configuration changed while the call waited")
}

// VerbName returns the name of a verb in logs and metrics.
func VerbName(v egretmuxv1.JobVerb) string {
	return strings.ToLower(strings.TrimPrefix(v.String(), "JOB_VERB_"))
}

// callUntilOutcomeKnown calls the leader directly, or through another instance if
// the leader cannot be reached. It reports the call as not executed only if that
// holds for every attempt.
func (c *Cell) callUntilOutcomeKnown(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	tried := attempts{call: call}
	if c.relay.preferred() {
		if final, answer, err := tried.settle(c.relay.call(ctx, call)); final {
			return answer, err
		}
	}
	directCtx, cancel := context.WithTimeout(ctx, c.relay.directTimeout())
	direct, directErr := c.callJobOnLeader(directCtx, call)
	cancel()
	c.relay.directEnded(answeredByLeader(directErr))
	final, answer, err := tried.settle(direct, directErr)
	if final {
		return answer, err
	}
	if c.relay.allowed() && ctx.Err() == nil {
		if final, answer, relayErr := tried.settle(c.relay.call(ctx, call)); final {
			return answer, relayErr
		}
	}
	if tried.unknown == nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, tried.unknown
	}
	telemetry.CountRetry(refusal.OutcomeUnknown)
	if final, answer, err := tried.settle(c.callJobOnLeader(ctx, call)); final {
		return answer, err
	}
	return nil, tried.unknown
}

// answeredByLeader reports whether the outcome of a direct call shows that the leader
// was reached. Its refusals do.
func answeredByLeader(err error) bool {
	if err == nil {
		return true
	}
	kind := refusal.Of(err).Kind
	return kind != refusal.NoLeader && kind != refusal.OutcomeUnknown
}

func (c *Cell) callJobOnLeader(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	tried := attempts{call: call}
	var out *egretmuxv1.JobAnswer
	err := c.callLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		answer, err := c.callJobOnce(ctx, p, call)
		if err != nil {
			tried.record(refusalOf(err))
		}
		out = answer
		return err
	})
	if err != nil {
		return nil, err // the leader's client tells of earlier attempts by itself
	}
	_, answer, err := tried.settle(out, nil)
	return answer, err
}

func (c *Cell) callJobOnce(ctx context.Context, p *peer.Clients, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	if c.scheduler.Leads() {
		answer, err := c.scheduler.CallJob(ctx, call)
		return answer, refusalrpc.Error(err)
	}
	resp, err := p.Jobs.CallJob(ctx, connect.NewRequest(call))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// refusalOf returns the refusal that an RPC error carries.
func refusalOf(err error) *refusal.Error {
	refused, _ := refusalrpc.From(err)
	return refused
}

// PutCatalogue forwards a configuration to the leader. For a large one it returns
// a RedirectError, so that the operator sends it to the leader directly.
func (c *Cell) PutCatalogue(ctx context.Context, catalogue *egretmuxv1.Catalogue) error {
	if control := c.leaderControlAddress(); len(catalogue.GetSource()) > maxForwardedBytes && control != "" {
		telemetry.Count("catalogues_redirected_total")
		c.cfg.Logger.Info().Str("event", "catalogue_redirected").Uint64("version", catalogue.GetVersion()).Str("to", control).Int("bytes", len(catalogue.GetSource())).Msg("the operator sends the configuration to the leader")
		return &RedirectError{Control: control}
	}
	began := time.Now()
	err := c.callLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		if c.scheduler.Leads() {
			_, err := c.scheduler.PutCatalogue(ctx, catalogue)
			return refusalrpc.Error(err)
		}
		_, err := p.Jobs.PutCatalogue(ctx, connect.NewRequest(&egretmuxv1.PutCatalogueRequest{Catalogue: catalogue}))
		return err
	})
	if err != nil {
		refused := refusal.Of(err)
		telemetry.Count(`catalogues_refused_total{reason="` + string(refused.Kind) + `"}`)
		c.cfg.Logger.Warn().Str("event", "catalogue_refused").Uint64("version", catalogue.GetVersion()).Str("reason", string(refused.Kind)).Str("ran", string(refused.Ran)).
			Str("leader", c.leaderAddress()).Bool("in_contact", c.directory.InContact(time.Now())).Int("bytes", len(catalogue.GetSource())).Int64("age_ms", time.Since(began).Milliseconds()).Err(err).Msg("configuration refused")
		return err
	}
	c.catalogues.note(catalogue.GetVersion(), "acknowledged")
	return nil
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
	began, known := time.Now(), c.catalogues.newest.Load()
	catalogue, err := c.readCatalogue(ctx)
	if err != nil {
		c.logReadRefused(err, time.Since(began))
		return nil, err
	}
	c.catalogues.noteRead(catalogue.GetVersion(), known)
	return catalogue.GetSource(), nil
}

func (c *Cell) readCatalogue(ctx context.Context) (*egretmuxv1.Catalogue, error) {
	if c.scheduler.Leads() {
		return c.scheduler.Catalogue(ctx)
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
	return out.GetCatalogue(), nil
}

// logReadRefused logs why a read of the configuration was not answered here. Who the leader was
// taken for, and whether it answers announcements, tells a cell without a leader from an instance
// that does not reach it.
func (c *Cell) logReadRefused(err error, elapsed time.Duration) {
	event := c.cfg.Logger.Warn().Str("leader", c.leaderAddress()).Bool("in_contact", c.directory.InContact(time.Now())).Int64("age_ms", elapsed.Milliseconds())
	var redirect *RedirectError
	if errors.As(err, &redirect) {
		telemetry.Count("catalogue_reads_redirected_total")
		event.Str("event", "catalogue_read_redirected").Str("to", redirect.Control).Msg("the operator reads the configuration elsewhere")
		return
	}
	refused := refusal.Of(err)
	telemetry.Count(`catalogue_reads_refused_total{reason="` + string(refused.Kind) + `"}`)
	event.Str("event", "catalogue_read_refused").Str("reason", string(refused.Kind)).Err(err).Msg("the configuration could not be read here")
}

// ForwardHeartbeat forwards a worker's heartbeat to the leader, unless it contains
// nothing new. It returns the address for the worker's next heartbeats, which is this
// instance's since it caches what the leader has accepted.
func (c *Cell) ForwardHeartbeat(ctx context.Context, beat *egretmuxv1.WorkerBeat) (string, error) {
	now := time.Now()
	if err := scheduler.CheckBeat(beat, now); err != nil {
		return "", err // before it takes a link's time
	}
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
