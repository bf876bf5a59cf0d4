package dispatch

import (
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Limits of asking for advice.
const (
	askLimit      = 100                    // workers in one call, by the service's protocol
	askChunk      = 24                     // workers in one call while instances are free to ask
	askWide       = 60                     // and while they are busy: deciding then takes as long as the workers named
	askBusy       = 0.5                    // part of askDepth from which the instances count as busy
	askSpare      = 2.0                    // tickets wanted for each one needed
	renewSpare    = 4.0                    // the same of workers known to be good for tasks that start one by one: other steps ask about them too, and the first to start takes the room
	ticketMargin  = 60 * time.Millisecond  // a start has to arrive before its ticket ends
	askDepth      = 600.0                  // milliseconds of calls on their way for each instance that can ask
	askRetryPause = 100 * time.Millisecond // after a call that failed
	// LongAdviceMs is the time in milliseconds from which a call for advice counts
	// as long. Long calls do not keep short ones waiting: those take some ten
	// milliseconds, long ones up to a second.
	LongAdviceMs   = 100.0
	firstGoodShare = 0.5 // of workers that may run a step, before any was learned
	goodShareGain  = 0.1 // weight of one answer in the learned share
	minGoodShare   = 0.05
)

type ticket struct {
	value string
	until time.Duration
}

// advice is what is known of the workers that may run a step. Whether a worker
// may does not change during its life; a ticket ends.
type advice struct {
	tickets map[*worker]ticket
	good    map[*worker]bool // answered: whether it may run the step
	asking  map[*worker]bool
	calls   int
	pause   time.Duration // no calls before
}

func newAdvice() advice {
	return advice{tickets: make(map[*worker]ticket), good: make(map[*worker]bool), asking: make(map[*worker]bool)}
}

func (a *advice) drop(w *worker) { delete(a.tickets, w) }

// valid reports whether a start sent now may carry the worker's ticket.
func (a *advice) valid(w *worker, now time.Duration) bool {
	t, ok := a.tickets[w]
	return ok && now+ticketMargin < t.until
}

// free reports whether the service may be asked about the step now.
func (a *advice) free(now time.Duration) bool { return a.calls == 0 && now >= a.pause }

func queueKey(j *job) [2]string { return [2]string{j.spec.GetHost(), j.spec.GetPrefix()} }

// AdviceAnswered takes up the answer to an Ask: tickets by worker. A failed call has
// failed set.
func (c *Core) AdviceAnswered(a Ask, tickets map[string]string, failed bool, asked, now time.Duration) {
	c.asked[a.long()] -= a.ExpectedMs
	s := c.steps[a.Step]
	if s == nil {
		return
	}
	s.advice.calls--
	q := c.queue(s.job).GetAdvice()
	good := 0
	for _, id := range a.Workers {
		w := c.workers[id]
		if w == nil {
			continue
		}
		delete(s.advice.asking, w)
		if failed {
			continue
		}
		value, may := tickets[id]
		if _, before := s.advice.good[w]; !before && may {
			good++
		}
		s.advice.good[w] = may
		if may {
			// The validity may count from any moment of the call.
			s.advice.tickets[w] = ticket{value, max(asked, now-milliseconds(a.ExpectedMs)/2) + milliseconds(q.GetValidityMs())}
		}
	}
	if failed {
		s.advice.pause = now + askRetryPause
		c.notice(Notice{Event: "advice_failed", Job: a.Step.Job, Task: a.Step.String(), Age: now - asked})
		return
	}
	c.notice(Notice{Event: "step_advised", Job: a.Step.Job, Task: a.Step.String(), Age: now - asked, Asked: len(a.Workers), Good: len(tickets)})
	share := c.shareOf(s.job)
	c.goodShare[queueKey(s.job)] = share + goodShareGain*(float64(good)/float64(max(1, len(a.Workers)))-share)
}

func (c *Core) shareOf(j *job) float64 {
	if share, ok := c.goodShare[queueKey(j)]; ok {
		return max(minGoodShare, share)
	}
	return firstGoodShare
}

// SetAdvisers tells how many instances can ask for advice at the same time.
func (c *Core) SetAdvisers(n int) { c.advisers = max(1, n) }

// long reports whether the call is expected to take long.
func (a Ask) long() bool { return a.ExpectedMs >= LongAdviceMs }

// askSize is the number of workers in one call: few while instances are free, so
// that the answer comes soon.
func (c *Core) askSize(q *egretmuxv1.QueueAdvice) int {
	if long := q.GetDecideMs() >= LongAdviceMs; long && c.asked[long] > askBusy*askDepth*float64(c.advisers) {
		return askWide
	}
	return askChunk
}

func (c *Core) asksFull(long bool) bool { return c.asked[long] > askDepth*float64(c.advisers) }

// mayAsk reports whether a call for advice on the step could be made now.
func (c *Core) mayAsk(s *step, q *egretmuxv1.QueueAdvice, now time.Duration) bool {
	return s.advice.free(now) && !c.asksFull(q.GetDecideMs() >= LongAdviceMs)
}

// ask decides which workers to ask about for a step that could not be placed
// as far as its tickets go. The candidates are eligible, best first.
func (c *Core) ask(s *step, q *egretmuxv1.QueueAdvice, candidates []*worker, needed int, now time.Duration) {
	a := &s.advice
	var expired, unknown []*worker
	hold := 0 // tasks that the workers with tickets have room for
	for _, w := range candidates {
		may, answered := a.good[w]
		switch {
		case !answered:
			unknown = append(unknown, w)
		case may && !a.valid(w, now):
			expired = append(expired, w)
		case may:
			hold += s.allowance(w, needed)
		}
	}
	spare := renewSpare
	if s.spec.GetGang() {
		spare = askSpare
	}
	var ask []*worker
	for _, w := range expired {
		if float64(hold) >= float64(needed)*spare {
			break
		}
		if n := s.allowance(w, needed); n > 0 {
			ask = append(ask, w)
			hold += n
		}
	}
	if want := float64(needed)*askSpare - float64(hold); want > 0 {
		// Each worker asked about is good with the learned chance, and then takes
		// as many tasks as it has room for.
		expect := 0.0
		for _, w := range unknown {
			if expect >= want {
				break
			}
			expect += c.shareOf(s.job) * max(0.5, float64(s.allowance(w, needed)))
			ask = append(ask, w)
		}
	}
	for chunk := range slices.Chunk(ask, min(c.askSize(q), askLimit)) {
		act := Ask{Step: s.key, ExpectedMs: q.GetDecideMs() + q.GetPerWorkerMs()*float64(len(chunk))}
		if c.asksFull(act.long()) {
			return // what is less urgent waits for the calls on their way
		}
		for _, w := range chunk {
			a.asking[w] = true
			act.Workers = append(act.Workers, w.Worker)
		}
		a.calls++
		c.asked[act.long()] += act.ExpectedMs
		c.out.Asks = append(c.out.Asks, act)
	}
}
