package place_test

import (
	"sort"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// Limits of what one customer's load may add to another's p99 wait.
const (
	addedPart    = 0.10
	floodTasks   = 10_000
	steadySecs   = 120
	floodAtSec   = 40
	waveAtSec    = 80
	steadyPerSec = 3
)

// TestFloodAndCancelWaveAddLittleToAnothersWait compares a customer's waits with
// and without another's flood of 10,000 tasks and its wave of cancellations.
func TestFloodAndCancelWaveAddLittleToAnothersWait(t *testing.T) {
	alone := steadyWaits(t, false)
	flooded := steadyWaits(t, true)
	require.LessOrEqual(t, float64(p99(flooded)), (1+addedPart)*float64(p99(alone)))
}

func p99(waits []int64) int64 {
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits[len(waits)*99/100]
}

// steadyWaits returns the waits of a customer that keeps within its share.
func steadyWaits(t *testing.T, flood bool) []int64 {
	c := newCell(func() bool { return false })
	c.contract("dixie", 0.5, "queued_tasks = 0")
	c.contract("kalahari", 0.5, "queued_tasks = 0")
	for i := range 10 {
		c.addWorker(string(rune('a'+i)), "dc", "rack", worker.Resources{CPUMillis: 16_000, MemoryMiB: 65_536})
	}
	var steady, floods []uint64
	submit := func(customer string, runMs int64) uint64 {
		id, err := c.submit(&egretmuxv1.TaskSpec{
			Customer: customer, Name: "job", Kind: egretmuxv1.TaskKind_TASK_KIND_BATCH, Idempotent: true,
			Resources: &egretmuxv1.Resources{CpuMillis: 2000, MemoryMib: 2048}, DeclaredRunMs: runMs,
		}, truth{runMs: runMs, useParts: 1})
		require.NoError(t, err)
		return id
	}
	for sec := range steadySecs {
		for range steadyPerSec {
			steady = append(steady, submit("dixie", 8000))
		}
		if flood && sec == floodAtSec {
			for range floodTasks {
				floods = append(floods, submit("kalahari", 20_000))
			}
		}
		if flood && sec == waveAtSec {
			for _, id := range floods {
				c.cancel(id)
			}
		}
		c.advance(1000)
	}
	require.Empty(t, c.faults)
	waits := make([]int64, 0, len(steady))
	for _, id := range steady {
		began, ok := c.firstRun[id]
		if !ok {
			began = c.now
		}
		waits = append(waits, began-c.store.Task(id).GetSubmittedUnixMs())
	}
	return waits
}
