package jobcell

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/balance"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// newLeadingCell returns an instance that knows others with a replica.
func newLeadingCell(t testing.TB, others ...string) *Cell {
	t.Helper()
	c, err := New(Config{Address: "self", Logger: zerolog.Nop(), Scheduler: scheduler.Config{WorkerClient: newFakeWorkers()}})
	require.NoError(t, err)
	for i, address := range others {
		meet(c, &egretmuxv1.Member{Address: address, Replica: uint64(i + 2)}, time.Now())
	}
	return c
}

var sixInstances = []string{"a", "b", "c", "d", "e", "f"}

func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }

// delegates returns the delegate of each of the workers.
func delegates(p *workerProxy, workers int) map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string)
	for i := range workers {
		out[workerName(i)] = p.delegateOf(workerName(i), time.Now())
	}
	return out
}

func count(delegates map[string]string, address string) (n int) {
	for _, delegate := range delegates {
		if delegate == address {
			n++
		}
	}
	return n
}

// slowFirst lets the answers of the first instance be late for a second.
func slowFirst(mu *sync.Mutex, w *balance.Weights, instances []string, step func(time.Time) []balance.Change) (changes []balance.Change) {
	now := time.Now()
	for range int(time.Second / balance.StepPeriod) {
		changes = append(changes, step(now)...)
		sent := now
		now = now.Add(balance.StepPeriod)
		for i, address := range instances {
			wait := 10 * time.Millisecond
			if i == 0 {
				wait = time.Second
			}
			mu.Lock()
			for range balance.Orders.MinSamples {
				w.Observe(address, sent, now, wait)
			}
			mu.Unlock()
		}
	}
	return append(changes, step(now)...)
}

// Answers a slow instance among those that call 350 workers.
func TestSlowDelegateHandsOverOnlyItsOwnWorkers(t *testing.T) {
	c := newLeadingCell(t, sixInstances...)
	before := delegates(c.workers, 350)
	changes := slowFirst(&c.workers.mu, c.workers.weights, sixInstances, c.workers.stepWeights)
	require.Len(t, changes, 1)
	require.Equal(t, "a", changes[0].Instance)
	after := delegates(c.workers, 350)
	require.Less(t, count(after, "a"), count(before, "a")/2)
	require.Positive(t, count(after, "a"))
	for worker, delegate := range after {
		if delegate != before[worker] {
			require.Equal(t, "a", before[worker])
		}
	}
	c.stepWeights(time.Now()) // it does not lead
	require.Equal(t, before, delegates(c.workers, 350), "a new leader starts with equal parts")
}

// Answers calls for advice on instances of different sizes.
func TestSlowInstanceMakesFewerCallsForAdvice(t *testing.T) {
	c := newLeadingCell(t, sixInstances...)
	require.Equal(t, 7, c.advice.Instances())
	slowFirst(&c.advice.mu, c.advice.weights, sixInstances, c.advice.stepWeights)
	require.Equal(t, 6, c.advice.Instances())
	calls := make(map[string]int)
	for range 60 {
		address, _ := c.advice.acquire(10)
		calls[address]++
	}
	require.Less(t, calls["a"], calls["b"]/2)
	require.InDelta(t, calls["b"], calls["self"], 1)
}

// Guards against taking long calls for slow instances: the service takes somewhat longer
// than expected, and only some instances have made long calls lately.
func TestLongCallsForAdviceAreNoSignOfASlowInstance(t *testing.T) {
	c := newLeadingCell(t, sixInstances...)
	now := time.Now()
	for range 20 {
		require.Empty(t, c.advice.stepWeights(now))
		sent := now
		now = now.Add(balance.StepPeriod)
		for i, address := range sixInstances {
			expectedMs := 20.0
			if i == 0 {
				expectedMs = 4 * dispatch.LongAdviceMs
			}
			elapsed := time.Duration(1.3 * expectedMs * float64(time.Millisecond))
			c.advice.weights.Observe(address, sent, now, adviceWait(elapsed, expectedMs))
		}
	}
	require.Equal(t, 7, c.advice.Instances())
	require.Equal(t, time.Second, adviceWait(time.Second+30*time.Millisecond, 20), "what the load does not explain counts")
}

// Guards against an order that goes out twice when its worker changes hands: without an
// answer it stays open.
func TestOrderInFlightStaysWithItsDelegate(t *testing.T) {
	first, hanging, _ := newTestDriveStream(t)
	hanging.hangs = true
	second, other, _ := newTestDriveStream(t)
	c := newLeadingCell(t, "first", "second")
	first.address, second.address = "first", "second"
	c.workers.streams = map[string]*driveStream{"first": first, "second": second}
	order := newDriveOrder(dispatch.Target{Worker: "w"}, 3)
	order.Order = &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{Task: &egretmuxv1.TaskRef{Job: "j"}}}
	answered := make(chan *egretmuxv1.DriveAnswer)
	go func() {
		answered <- c.workers.send(contextWithTimeout(t, 500*time.Millisecond), first, order, driveDeadlineSlack)
	}()
	<-hanging.started
	slowFirst(&c.workers.mu, c.workers.weights, []string{"first", "second", "third"}, c.workers.stepWeights)
	require.Less(t, c.workers.weights.Of("first"), 1.0)
	require.Equal(t, dispatch.Unanswered, dispatch.StartResult((<-answered).GetResult()))
	require.Empty(t, other.started)
	require.Empty(t, hanging.started)
}

func TestTimeAtTheWorkerIsNoWaitAtItsDelegate(t *testing.T) {
	start := &egretmuxv1.DriveOrder{TimeoutMs: 200, Order: &egretmuxv1.DriveOrder_Start{}}
	poll := &egretmuxv1.DriveOrder{TimeoutMs: 1200, Order: &egretmuxv1.DriveOrder_Look{Look: &egretmuxv1.LookOrder{WaitMs: 1000}}}
	stop := &egretmuxv1.DriveOrder{TimeoutMs: 200, Order: &egretmuxv1.DriveOrder_Stop{}}
	accepted := &egretmuxv1.DriveAnswer{Result: int32(dispatch.Accepted)}
	unanswered := &egretmuxv1.DriveAnswer{Result: int32(dispatch.Unanswered)}
	for _, test := range []struct {
		name          string
		order         *egretmuxv1.DriveOrder
		answer        *egretmuxv1.DriveAnswer
		elapsed, wait int // milliseconds; a negative wait is not known
	}{
		{"accepted start", start, accepted, 30, 30},
		{"start without an answer of the worker", start, unanswered, 230, 30},
		{"start that the worker's connection broke off", start, unanswered, 20, -1},
		{"start without an answer of the delegate", start, nil, 700, 500},
		{"poll that waited", poll, &egretmuxv1.DriveAnswer{Result: int32(scheduler.PollAnswered)}, 1020, 20},
		{"poll that ended early", poll, &egretmuxv1.DriveAnswer{Result: int32(scheduler.PollAnswered)}, 300, -1},
		{"poll without an answer of the worker", poll, &egretmuxv1.DriveAnswer{Result: int32(scheduler.PollUnanswered)}, 1230, 30},
		{"answered stop", stop, boolAnswer(true), 15, 15},
		{"stop without an answer of the worker", stop, boolAnswer(false), 215, 15},
	} {
		wait, known := waitAtDelegate(test.order, test.answer, time.Duration(test.elapsed)*time.Millisecond)
		require.Equal(t, test.wait >= 0, known, test.name)
		if known {
			require.Equal(t, time.Duration(test.wait)*time.Millisecond, wait, test.name)
		}
	}
}

// The delegate is chosen for each order.
func BenchmarkDelegateOf(b *testing.B) {
	c := newLeadingCell(b, sixInstances...)
	now := time.Now()
	for i := 0; b.Loop(); i++ {
		c.workers.delegateOf(workerName(i%350), now)
	}
}
