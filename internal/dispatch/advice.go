package dispatch

import (
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Limits of calls to the advice service. The service decides which workers may run a
// step, and gives a ticket for each of them.
const (
	maxAdviceBatch   = 100                    // maximum number of workers in one call by the service's protocol
	adviceBatch      = 24                     // workers in one call while instances are free
	busyAdviceBatch  = 60                     // workers in one call while instances are busy: the fixed part of a call then takes as long as the part per worker
	adviceBusyShare  = 0.5                    // part of maxAdviceMs from which the instances count as busy
	ticketSurplus    = 2.0                    // tickets wanted for each task
	renewalSurplus   = 4.0                    // the same for tasks outside gangs and workers known to be allowed: other steps get tickets for them too, and the first to start takes the resources
	ticketMargin     = 60 * time.Millisecond  // a start has to arrive before its ticket expires
	maxAdviceMs      = 600.0                  // summed expected duration of the calls in flight for each instance
	adviceRetryPause = 100 * time.Millisecond // backoff after a failed call
	// LongAdviceMs is the expected duration from which a call counts as long. Long and
	// short calls have separate limits, so that short ones, which take some ten
	// milliseconds, do not wait for long ones, which take up to a second.
	LongAdviceMs        = 100.0
	initialAllowedShare = 0.5 // share of workers that may run a step, before any answer
	allowedShareGain    = 0.1 // weight of one answer in the learned share
	minAllowedShare     = 0.05
)

type ticket struct {
	value string
	until time.Duration
}

// advice is what is known about which workers may run a step. Whether a worker may
// does not change during its incarnation, but its ticket expires.
type advice struct {
	tickets       map[*worker]ticket
	allowed       map[*worker]bool // by worker that the service has answered about: whether it may run the step
	asking        map[*worker]bool
	callsInFlight int
	pauseUntil    time.Duration // no calls before this time
}

func newAdvice() advice {
	return advice{tickets: make(map[*worker]ticket), allowed: make(map[*worker]bool), asking: make(map[*worker]bool)}
}

func (a *advice) dropTicket(w *worker) { delete(a.tickets, w) }

// hasValidTicket reports whether a start sent now would reach the worker before its
// ticket expires.
func (a *advice) hasValidTicket(w *worker, now time.Duration) bool {
	t, ok := a.tickets[w]
	return ok && now+ticketMargin < t.until
}

// mayCall reports whether the service may be called about the step: no call is in
// flight, and the pause after a failed one is over.
func (a *advice) mayCall(now time.Duration) bool { return a.callsInFlight == 0 && now >= a.pauseUntil }

func queueKey(j *job) [2]string { return [2]string{j.spec.GetHost(), j.spec.GetPrefix()} }

// AdviceAnswered records the result of an Ask that was sent at the time asked: the
// tickets by worker, or that the call failed.
func (c *Core) AdviceAnswered(a Ask, tickets map[string]string, failed bool, asked, now time.Duration) {
	c.adviceMs[a.long()] -= a.ExpectedMs
	s := c.steps[a.Step]
	if s == nil {
		return
	}
	s.advice.callsInFlight--
	q := c.queue(s.job).GetAdvice()
	newlyAllowed := 0
	for _, id := range a.Workers {
		w := c.workers[id]
		if w == nil {
			continue
		}
		delete(s.advice.asking, w)
		if failed {
			continue
		}
		value, mayRun := tickets[id]
		if _, known := s.advice.allowed[w]; !known && mayRun {
			newlyAllowed++
		}
		s.advice.allowed[w] = mayRun
		if mayRun {
			// The validity may count from any moment during the call. Half
			// the expected duration before the answer is assumed.
			s.advice.tickets[w] = ticket{value, max(asked, now-milliseconds(a.ExpectedMs)/2) + milliseconds(q.GetValidityMs())}
		}
	}
	if failed {
		s.advice.pauseUntil = now + adviceRetryPause
		c.addNotice(Notice{Event: "advice_failed", Job: a.Step.Job, Task: a.Step.String(), Age: now - asked})
		return
	}
	c.addNotice(Notice{Event: "step_advised", Job: a.Step.Job, Task: a.Step.String(), Age: now - asked, Asked: len(a.Workers), Good: len(tickets)})
	share := c.allowedShareOf(s.job)
	c.allowedShare[queueKey(s.job)] = share + allowedShareGain*(float64(newlyAllowed)/float64(max(1, len(a.Workers)))-share)
}

func (c *Core) allowedShareOf(j *job) float64 {
	if share, ok := c.allowedShare[queueKey(j)]; ok {
		return max(minAllowedShare, share)
	}
	return initialAllowedShare
}

// SetAdviceCallers sets how many instances can call for advice at the same time.
func (c *Core) SetAdviceCallers(n int) { c.advisers = max(1, n) }

// long reports whether the call is expected to take at least LongAdviceMs.
func (a Ask) long() bool { return a.ExpectedMs >= LongAdviceMs }

// adviceBatchSize returns the number of workers in one call: few while instances are
// free, so that the answer comes soon.
func (c *Core) adviceBatchSize(q *egretmuxv1.QueueAdvice) int {
	if long := q.GetDecideMs() >= LongAdviceMs; long && c.adviceMs[long] > adviceBusyShare*maxAdviceMs*float64(c.advisers) {
		return busyAdviceBatch
	}
	return adviceBatch
}

// adviceFull reports whether the limit of long or short calls in flight is exceeded.
func (c *Core) adviceFull(long bool) bool { return c.adviceMs[long] > maxAdviceMs*float64(c.advisers) }

// mayRequestAdvice reports whether a call for advice about the step may be made now.
func (c *Core) mayRequestAdvice(s *step, q *egretmuxv1.QueueAdvice, now time.Duration) bool {
	return s.advice.mayCall(now) && !c.adviceFull(q.GetDecideMs() >= LongAdviceMs)
}

// requestAdvice requests advice for a step whose valid tickets were not enough to
// place its tasks. The candidates are the workers to ask about, best first.
func (c *Core) requestAdvice(s *step, q *egretmuxv1.QueueAdvice, candidates []*worker, needed int, now time.Duration) {
	a := &s.advice
	var renewable, unknown []*worker
	ticketedRoom := 0 // tasks that fit on the workers with valid tickets
	for _, w := range candidates {
		mayRun, answered := a.allowed[w]
		switch {
		case !answered:
			unknown = append(unknown, w)
		case mayRun && !a.hasValidTicket(w, now):
			renewable = append(renewable, w)
		case mayRun:
			ticketedRoom += s.allowance(w, needed)
		}
	}
	surplus := renewalSurplus
	if s.spec.GetGang() {
		surplus = ticketSurplus
	}
	var toAsk []*worker
	for _, w := range renewable {
		if float64(ticketedRoom) >= float64(needed)*surplus {
			break
		}
		if n := s.allowance(w, needed); n > 0 {
			toAsk = append(toAsk, w)
			ticketedRoom += n
		}
	}
	if shortfall := float64(needed)*ticketSurplus - float64(ticketedRoom); shortfall > 0 {
		// A worker is allowed with the learned probability, and then takes as many
		// tasks as fit on it.
		expectedRoom := 0.0
		for _, w := range unknown {
			if expectedRoom >= shortfall {
				break
			}
			expectedRoom += c.allowedShareOf(s.job) * max(0.5, float64(s.allowance(w, needed)))
			toAsk = append(toAsk, w)
		}
	}
	for chunk := range slices.Chunk(toAsk, min(c.adviceBatchSize(q), maxAdviceBatch)) {
		call := Ask{Step: s.key, ExpectedMs: q.GetDecideMs() + q.GetPerWorkerMs()*float64(len(chunk))}
		if c.adviceFull(call.long()) {
			return // the rest waits until calls in flight have ended
		}
		for _, w := range chunk {
			a.asking[w] = true
			call.Workers = append(call.Workers, w.Worker)
		}
		a.callsInFlight++
		c.adviceMs[call.long()] += call.ExpectedMs
		c.actions.Asks = append(c.actions.Asks, call)
	}
}
