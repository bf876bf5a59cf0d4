package voter

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const commandBytes = 200

// BenchmarkCommit measures committed commands a second with 64 in flight on
// three voters with real disks.
func BenchmarkCommit(b *testing.B) {
	cell := startCell(b, 3)
	l := awaitLeader(b, cell)
	data := make([]byte, commandBytes)
	const inFlight = 64
	work := make(chan struct{}, inFlight)
	var clients sync.WaitGroup
	b.ResetTimer()
	for range inFlight {
		clients.Go(func() {
			for range work {
				if _, err := l.node.Propose(b.Context(), data); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	clients.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

// BenchmarkCommitLatency measures the latency of commands at a steady rate.
func BenchmarkCommitLatency(b *testing.B) {
	const rate = 320 // commands a second
	cell := startCell(b, 3)
	l := awaitLeader(b, cell)
	data := make([]byte, commandBytes)
	took := make([]time.Duration, b.N)
	var clients sync.WaitGroup
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	b.ResetTimer()
	for i := range took {
		<-ticker.C
		clients.Go(func() {
			began := time.Now()
			if _, err := l.node.Propose(b.Context(), data); err != nil {
				b.Error(err)
			}
			took[i] = time.Since(began)
		})
	}
	clients.Wait()
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "p99-ms")
}

// BenchmarkLeaderLoss measures the time from the death of the leader to the
// next commit on another instance.
func BenchmarkLeaderLoss(b *testing.B) {
	var worst time.Duration
	for range b.N {
		b.StopTimer()
		cell := startCell(b, 3)
		l := awaitLeader(b, cell)
		_, err := l.node.Propose(b.Context(), []byte("before"))
		require.NoError(b, err)
		b.StartTimer()
		began := time.Now()
		l.close()
		_, err = awaitLeader(b, cell).node.Propose(b.Context(), []byte("after"))
		require.NoError(b, err)
		worst = max(worst, time.Since(began))
		b.StopTimer()
		for _, in := range cell {
			in.close()
		}
	}
	b.ReportMetric(worst.Seconds(), "worst-s")
}
