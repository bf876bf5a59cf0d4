package voter

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const commandBytes = 200

// BenchmarkCommit measures committed commands a second with 64 in flight on
// three voters with real disks.
func BenchmarkCommit(b *testing.B) {
	cell := startCell(b, 3)
	leader := awaitLeader(b, cell)
	data := make([]byte, commandBytes)
	const inFlight = 64
	work := make(chan struct{}, inFlight)
	var clients sync.WaitGroup
	b.ResetTimer()
	for range inFlight {
		clients.Go(func() {
			for range work {
				if _, err := leader.node.Propose(b.Context(), data); err != nil {
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
	leader := awaitLeader(b, cell)
	data := make([]byte, commandBytes)
	latencies := make([]time.Duration, b.N)
	var clients sync.WaitGroup
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	b.ResetTimer()
	for i := range latencies {
		<-ticker.C
		clients.Go(func() {
			start := time.Now()
			if _, err := leader.node.Propose(b.Context(), data); err != nil {
				b.Error(err)
			}
			latencies[i] = time.Since(start)
		})
	}
	clients.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(latencies[len(latencies)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(latencies[len(latencies)*99/100].Seconds()*1000, "p99-ms")
}

// BenchmarkLeaderLoss measures the time from the loss of the leader to the next
// commit on another instance.
func BenchmarkLeaderLoss(b *testing.B) {
	var worst time.Duration
	for range b.N {
		b.StopTimer()
		cell := startCell(b, 3)
		leader := awaitLeader(b, cell)
		_, err := leader.node.Propose(b.Context(), []byte("before"))
		require.NoError(b, err)
		b.StartTimer()
		start := time.Now()
		leader.close()
		_, err = awaitLeader(b, cell).node.Propose(b.Context(), []byte("after"))
		require.NoError(b, err)
		worst = max(worst, time.Since(start))
		b.StopTimer()
		for _, in := range cell {
			in.close()
		}
	}
	b.ReportMetric(worst.Seconds(), "worst-s")
}

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkIdle measures the traffic and the CPU time of three voters without
// load. All traffic is between the leader and the others; headers of TCP and IP
// are not counted.
func BenchmarkIdle(b *testing.B) {
	const period = 10 * time.Second
	cell := startCell(b, 3)
	awaitLeader(b, cell)
	bytes := cell[0].bytes
	bytesBefore, cpuBefore := bytes.Load(), cpuTime(b)
	time.Sleep(period)
	b.ReportMetric(float64(bytes.Load()-bytesBefore)/period.Seconds(), "leader-B/s")
	b.ReportMetric(100*(cpuTime(b)-cpuBefore).Seconds()/period.Seconds()/float64(len(cell)), "core-%/voter")
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
