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

// tryTimeout bounds one call to the leader; a commit takes a few tens of
// milliseconds, and a leader that is gone is replaced within a second.
const tryTimeout = 500 * time.Millisecond

// searchTime bounds the search for a leader for a call that has certainly not
// been carried out; a leader that is lost is replaced within about a second.
const searchTime = 1200 * time.Millisecond

// CallJob carries a call to the leader. Calls can be repeated without harm, so
// one that may have been carried out is repeated until its outcome is known or
// the context ends.
func (c *Cell) CallJob(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	began := time.Now()
	answer, err := c.callUntilKnown(ctx, call)
	took := time.Since(began)
	verb := verbName(call.GetVerb())
	telemetry.ObserveSeconds(`call{verb="`+verb+`"}`, took)
	if err != nil {
		f := refusal.Of(err)
		telemetry.Count(`calls_refused_total{verb="` + verb + `",reason="` + string(f.Kind) + `",ran="` + string(f.Ran) + `"}`)
		c.cfg.Logger.Warn().Str("event", "call_refused").Str("path", call.GetAddress().GetPath()).Str("verb", verb).
			Str("reason", string(f.Kind)).Str("ran", string(f.Ran)).Str("leader", c.leaderAddress()).Int64("age_ms", took.Milliseconds()).Err(err).Msg("")
	}
	return answer, err
}

func verbName(v egretmuxv1.JobVerb) string {
	return strings.ToLower(strings.TrimPrefix(v.String(), "JOB_VERB_"))
}

// callUntilKnown calls the leader directly, or through another instance when it
// cannot be reached. A refusal says that the call was not carried out only when
// that is true of every try.
func (c *Cell) callUntilKnown(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	var tried *refusal.Error // of a try that may have been carried out
	if c.relays.needed() {
		answer, err := c.relays.call(ctx, call)
		if err == nil || settles(err, tried) {
			return answer, err
		}
		tried = maybe(tried, err)
	}
	search, cancel := context.WithTimeout(ctx, searchTime)
	answer, err := c.callJob(search, call)
	cancel()
	if err == nil || settles(err, tried) {
		return answer, err
	}
	tried = maybe(tried, err)
	if c.relays.allowed() && ctx.Err() == nil {
		answer, relayed := c.relays.call(ctx, call)
		if relayed == nil || settles(relayed, tried) {
			return answer, relayed
		}
		tried = maybe(tried, relayed)
	}
	if tried == nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, tried
	}
	telemetry.CountRetry(refusal.OutcomeUnknown)
	if answer, err = c.callJob(ctx, call); err == nil || settles(err, tried) {
		return answer, err
	}
	return nil, tried
}

// settles reports whether a refusal ends a call: the leader read it and would
// refuse it again. That it has no room now tells nothing of an earlier try that
// may have been carried out.
func settles(err error, tried *refusal.Error) bool {
	status := refusal.Of(err).Kind.HTTPStatus()
	return status < http.StatusInternalServerError && (status != http.StatusTooManyRequests || tried == nil)
}

// maybe returns the refusal of a try that may have been carried out, or the
// earlier one.
func maybe(earlier *refusal.Error, err error) *refusal.Error {
	if r := refusal.Of(err); r.Ran == refusal.Unknown {
		return r
	}
	return earlier
}

func (c *Cell) callJob(ctx context.Context, call *egretmuxv1.JobCall) (*egretmuxv1.JobAnswer, error) {
	var out *egretmuxv1.JobAnswer
	err := c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
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

// PutCatalogue carries a configuration to the leader.
//
// A large one is sent by the operator itself: it returns an Elsewhere.
func (c *Cell) PutCatalogue(ctx context.Context, catalogue *egretmuxv1.Catalogue) error {
	if control := c.leaderControl(); len(catalogue.GetSource()) > maxForwarded && control != "" {
		return &RedirectError{Control: control}
	}
	err := c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		if c.scheduler.Leads() {
			_, err := c.scheduler.PutCatalogue(ctx, catalogue)
			return refusalrpc.Error(err)
		}
		_, err := p.Jobs.PutCatalogue(ctx, connect.NewRequest(&egretmuxv1.PutCatalogueRequest{Catalogue: catalogue}))
		return err
	})
	if err != nil {
		c.cfg.Logger.Warn().Str("event", "catalogue_refused").Uint64("version", catalogue.GetVersion()).Str("reason", string(refusal.Of(err).Kind)).Err(err).Msg("")
	}
	return err
}

// maxForwarded is the size in bytes up to which configurations pass through an
// instance that does not lead. The smallest links carry 250 KB a second, and a
// call to the leader is given half a second.
const maxForwarded = 64 << 10

// RedirectError is the control listener of the instance that an operator has to turn
// to, since the message is too large to pass through this one.
type RedirectError struct{ Control string }

// Error implements error.
func (e *RedirectError) Error() string {
	return "the message is too large to pass on; send it to " + e.Control
}

// Catalogue returns the source of the configuration in force, as the leader has
// it, or an Elsewhere.
func (c *Cell) Catalogue(ctx context.Context) ([]byte, error) {
	if c.scheduler.Leads() {
		catalogue, err := c.scheduler.Catalogue(ctx)
		return catalogue.GetSource(), err
	}
	var out *egretmuxv1.GetCatalogueResponse
	err := c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		resp, err := p.Jobs.GetCatalogue(ctx, connect.NewRequest(&egretmuxv1.GetCatalogueRequest{MaxBytes: maxForwarded}))
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

// Beat carries a worker's report to the leader, unless it tells nothing new. It
// returns the address for the worker's later reports: this instance, which knows
// what the leader has taken up.
func (c *Cell) Beat(ctx context.Context, beat *egretmuxv1.WorkerBeat) (string, error) {
	now := time.Now()
	if c.Ready() && c.beats.known(beat, now) {
		return c.cfg.Control, nil
	}
	err := c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		if c.scheduler.Leads() {
			return refusalrpc.Error(c.scheduler.Beat(ctx, beat))
		}
		_, err := p.Jobs.BeatWorker(ctx, connect.NewRequest(beat))
		return err
	})
	if err != nil {
		return "", err
	}
	c.beats.take(beat, now)
	return c.cfg.Control, nil
}

// StartWave carries planned upkeep to the leader.
func (c *Cell) StartWave(ctx context.Context, w *egretmuxv1.Wave) error {
	return c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		_, err := p.Jobs.StartWave(ctx, connect.NewRequest(&egretmuxv1.StartWaveRequest{Wave: w}))
		return err
	})
}

// ShowWave returns how far a wave is, as the leader has it.
func (c *Cell) ShowWave(ctx context.Context, id uint64) (*egretmuxv1.ShowWaveResponse, error) {
	var out *egretmuxv1.ShowWaveResponse
	err := c.toLeader(ctx, func(ctx context.Context, p *peer.Clients) error {
		resp, err := p.Jobs.ShowWave(ctx, connect.NewRequest(&egretmuxv1.ShowWaveRequest{Wave: id}))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	return out, err
}

// leaderControl returns the control listener of another instance that leads, or
// nothing when none is known or this one leads.
func (c *Cell) leaderControl() string {
	if c.scheduler.Leads() || !c.members.leaderHeardWithin(leaderFresh) {
		return ""
	}
	leader := c.leaderAddress()
	for _, m := range c.members.members(time.Now()) {
		if m.GetAddress() == leader {
			return m.GetControl()
		}
	}
	return ""
}

func (c *Cell) toLeader(ctx context.Context, f func(context.Context, *peer.Clients) error) error {
	return c.finder.Call(ctx, func(ctx context.Context, p *peer.Clients) error {
		ctx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		return f(ctx, p)
	})
}
