package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// step lets each instance answer some orders after its wait, and then makes a step.
func step(w *Weights, now time.Time, waits map[string]time.Duration) (bool, []Change) {
	for name, wait := range waits {
		for range Orders.MinSamples {
			w.Observe(name, now.Add(-time.Millisecond), now, wait)
		}
	}
	return w.Step(now)
}

func TestWorkersArePartedByWeight(t *testing.T) {
	const keys = 20_000
	w, names := New(Orders), []string{"a", "b", "c", "d"}
	w.instances["a"] = &instance{published: 0.25}
	parts := make(map[string]int)
	for i := range keys {
		parts[Choose(fmt.Sprintf("worker-%d", i), names, w)]++
	}
	require.InEpsilon(t, keys*0.25/3.25, parts["a"], 0.1)
	for _, name := range names[1:] {
		require.InEpsilon(t, keys/3.25, parts[name], 0.1)
	}
}

func TestChangedWeightMovesOnlyWorkersOfThatInstance(t *testing.T) {
	w, names := New(Orders), []string{"a", "b", "c", "d"}
	w.instances["a"] = &instance{published: 1}
	before := make(map[string]string)
	for i := range 350 {
		key := fmt.Sprintf("worker-%d", i)
		before[key] = Choose(key, names, w)
	}
	w.instances["a"].published = 0.5
	for key, instance := range before {
		if after := Choose(key, names, w); after != instance {
			require.Equal(t, "a", instance)
		}
	}
	require.Empty(t, Choose("worker-1", nil, w))
}

func TestOneInstanceAloneKeepsItsWeight(t *testing.T) {
	w := New(Orders)
	for i := range 20 {
		step(w, epoch.Add(time.Duration(i)*StepPeriod), map[string]time.Duration{"a": time.Second})
	}
	require.Equal(t, 1.0, w.Of("a"))
}

// Guards against weights that only fall: work that an instance has not got says nothing.
func TestInstanceWithoutSamplesRegainsItsWeight(t *testing.T) {
	w, now := New(Orders), epoch
	for range 20 {
		now = now.Add(StepPeriod)
		step(w, now, map[string]time.Duration{"a": time.Second, "b": time.Millisecond, "c": time.Millisecond})
	}
	require.Equal(t, minWeight, w.Of("a"))
	for w.Of("a") < 1 {
		now = now.Add(StepPeriod)
		_, changes := step(w, now, map[string]time.Duration{"b": time.Millisecond, "c": time.Millisecond})
		require.Less(t, now.Sub(epoch), time.Minute)
		require.Equal(t, w.Of("a") == 1, len(changes) == 1)
	}
}

func TestResetMakesWeightsEqual(t *testing.T) {
	w, now := New(Orders), epoch
	for range 20 {
		now = now.Add(StepPeriod)
		step(w, now, map[string]time.Duration{"a": time.Second, "b": time.Millisecond, "c": time.Millisecond})
	}
	require.Less(t, w.Of("a"), 1.0)
	w.Reset()
	require.Equal(t, 1.0, w.Of("a"))
}

func TestInstanceThatIsGoneIsForgotten(t *testing.T) {
	w, now := New(Orders), epoch
	step(w, now, map[string]time.Duration{"a": time.Second})
	for range int(forgetAfterTime/StepPeriod) + 1 {
		now = now.Add(StepPeriod)
		w.Step(now)
	}
	require.Empty(t, w.instances)
}

// The weights are updated ten times a second on a leader with two thirds of a core.
func BenchmarkStep(b *testing.B) {
	w, now := New(Orders), epoch
	waits := make(map[string]time.Duration)
	for i := range 40 {
		waits[instanceName(i)] = time.Duration(i) * time.Millisecond / 10
	}
	for range 10 {
		now = now.Add(StepPeriod)
		step(w, now, waits)
	}
	for b.Loop() {
		now = now.Add(StepPeriod / 1000)
		w.Step(now)
	}
}

func BenchmarkChoose(b *testing.B) {
	w, names := New(Orders), []string(nil)
	for i := range 6 {
		names = append(names, instanceName(i))
	}
	for b.Loop() {
		Choose("worker-350", names, w)
	}
}
