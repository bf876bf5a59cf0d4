package dispatch

import (
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Limits of calls to the advice service. The service decides which workers may run a
// step, and gives a ticket for each of them.
const (
	maxAdviceBatch    = 100                    // maximum number of workers in one call by the service's protocol
	adviceBatch       = 24                     // workers in one call while instances are free
	busyAdviceBatch   = 60                     // workers in one call while instances are busy: the fixed part of a call then takes as long as the part per worker
	adviceBusyShare   = 0.5                    // fraction of maxAdviceMs from which the instances count as busy
	ticketRoomFactor  = 2.0                    // wanted room on workers with valid tickets, in multiples of the waiting tasks
	renewalRoomFactor = 4.0                    // the same when tickets are renewed: other steps get tickets for the same workers and may take their resources first
	gangChoiceFactor  = 3.0                    // wanted capacity of the workers that may run a gang, in multiples of its tasks
	ticketMargin      = 60 * time.Millisecond  // a start has to arrive before its ticket expires
	maxAdviceMs       = 600.0                  // summed expected duration of the calls in flight for each instance
	adviceRetryPause  = 100 * time.Millisecond // backoff after a failed call
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

// forbids reports whether the service has answered that a worker may not run the step.
func (a *advice) forbids(w *worker) bool {
	mayRun, answered := a.allowed[w]
	return answered && !mayRun
}

// mayCall reports whether the service may be called about the step: no call is in
// flight, and the pause after a failed one is over.
func (a *advice) mayCall(now time.Duration) bool { return a.callsInFlight == 0 && now >= a.pauseUntil }

func queueKey(j *job) [2]string { return [2]string{j.spec.GetHost(), j.spec.GetPrefix()} }

// AdviceAnswered records the result of a call to the advice service that was made at
// the time asked: the tickets by worker, or that the call failed.
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
			// The service may count the validity from any moment of the call. It is
			// assumed to count from half the expected duration before the answer, but
			// not from before the call.
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
	c.sendUnsent(now)
}

func (c *Core) allowedShareOf(j *job) float64 {
	if share, ok := c.allowedShare[queueKey(j)]; ok {
		return max(minAllowedShare, share)
	}
	return initialAllowedShare
}

// SetAdviceCallers sets how many instances can call the advice service at the same time.
func (c *Core) SetAdviceCallers(n int) { c.callers = max(1, n) }

// long reports whether the call is expected to take at least LongAdviceMs.
func (a Ask) long() bool { return a.ExpectedMs >= LongAdviceMs }

// adviceBatchSize returns the number of workers in one call: few while instances are
// free, so that the answer comes soon.
func (c *Core) adviceBatchSize(q *egretmuxv1.QueueAdvice) int {
	if long := q.GetDecideMs() >= LongAdviceMs; long && c.adviceBusy(long) {
		return busyAdviceBatch
	}
	return adviceBatch
}

// adviceFull reports whether the limit of long or short calls in flight is exceeded.
func (c *Core) adviceFull(long bool) bool { return c.adviceMs[long] > maxAdviceMs*float64(c.callers) }

// mayRequestAdvice reports whether a call for advice about the step may be made now.
// Steps over rate leave a part of the calls to others.
func (c *Core) mayRequestAdvice(s *step, q *egretmuxv1.QueueAdvice, now time.Duration) bool {
	long := q.GetDecideMs() >= LongAdviceMs
	return s.advice.mayCall(now) && !c.adviceFull(long) && !(s.overRate && c.adviceBusy(long))
}

// adviceBusy reports whether the instances count as busy with long or short calls.
func (c *Core) adviceBusy(long bool) bool {
	return c.adviceMs[long] > adviceBusyShare*maxAdviceMs*float64(c.callers)
}

// ticketRank orders the workers that may run a gang: those with a valid ticket first,
// then those about which a call is in flight.
func (a *advice) ticketRank(w *worker, now time.Duration) int {
	switch {
	case a.hasValidTicket(w, now):
		return 0
	case a.asking[w]:
		return 1
	}
	return 2
}

// requestTickets requests tickets for the workers chosen for a gang, unless they have
// tickets that outlast the calls for the others.
func (c *Core) requestTickets(s *step, q *egretmuxv1.QueueAdvice, chosen []*worker, now time.Duration) {
	answered := now + milliseconds(q.GetDecideMs()+q.GetPerWorkerMs()*float64(c.adviceBatchSize(q)))
	var missing []*worker
	for _, w := range chosen {
		if !s.advice.hasValidTicket(w, answered) && !slices.Contains(missing, w) {
			missing = append(missing, w)
		}
	}
	c.askAbout(s, q, missing)
}

// discoverAllowed asks about workers of which it is not known whether they may run a
// gang, first about those that can take most of its tasks now.
func (c *Core) discoverAllowed(s *step, q *egretmuxv1.Queue, needed int, now time.Duration) {
	var unknown []*worker
	room := 0.0
	for _, w := range c.eligibleWorkers(s, q.GetService(), now) {
		mayRun, answered := s.advice.allowed[w]
		switch {
		case !answered:
			w.stepRank = s.maxNewRuns(w, needed)
			unknown = append(unknown, w)
		case mayRun:
			room += float64(s.maxNewRuns(w, needed))
		}
	}
	s.rate(unknown)
	var toAsk []*worker
	for w := range bestFirst(unknown, compareRanks) {
		if room >= ticketRoomFactor*float64(needed) {
			break
		}
		room += c.allowedShareOf(s.job) * max(0.5, float64(w.stepRank))
		toAsk = append(toAsk, w)
	}
	c.askAbout(s, q.GetAdvice(), toAsk)
}

// requestAdvice requests advice for a step whose valid tickets were not enough to
// place its tasks. The candidates are the workers to ask about, in any order.
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
			ticketedRoom += s.maxNewRuns(w, needed)
		}
	}
	s.rate(candidates)
	var toAsk []*worker
	for w := range bestFirst(renewable, compareScores) {
		if float64(ticketedRoom) >= float64(needed)*renewalRoomFactor {
			break
		}
		if n := s.maxNewRuns(w, needed); n > 0 {
			toAsk = append(toAsk, w)
			ticketedRoom += n
		}
	}
	if shortfall := float64(needed)*ticketRoomFactor - float64(ticketedRoom); shortfall > 0 {
		// A worker is allowed with the learned probability, and then takes as many
		// tasks as fit on it.
		expectedRoom := 0.0
		for w := range bestFirst(unknown, compareScores) {
			if expectedRoom >= shortfall {
				break
			}
			expectedRoom += c.allowedShareOf(s.job) * max(0.5, float64(s.maxNewRuns(w, needed)))
			toAsk = append(toAsk, w)
		}
	}
	c.askAbout(s, q, toAsk)
}

// askAbout makes calls about workers, as far as the limit of calls in flight allows.
func (c *Core) askAbout(s *step, q *egretmuxv1.QueueAdvice, toAsk []*worker) {
	a := &s.advice
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
