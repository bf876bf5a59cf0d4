package consensus

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/standin"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// stallLog collects the lines that a node logs.
type stallLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *stallLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// take returns the events about stalls since the last call, with their age.
func (l *stallLog) take(t *testing.T) map[string]time.Duration {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]time.Duration)
	for line := range strings.Lines(l.text.String()) {
		var fields struct {
			Event string
			AgeMs int64 `json:"age_ms"`
		}
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		if fields.Event == "replica_stalled" || fields.Event == "replica_resumed" {
			require.NotContains(t, out, fields.Event)
			out[fields.Event] = time.Duration(fields.AgeMs) * time.Millisecond
		}
	}
	l.text.Reset()
	return out
}

// blockingMachine applies commands, each once it may.
type blockingMachine struct{ allowed chan struct{} }

func (m *blockingMachine) Apply(uint64, []byte) any { return <-m.allowed }

func (m *blockingMachine) Capture() func(io.Writer) error {
	return func(io.Writer) error { return nil }
}
func (m *blockingMachine) Restore([]byte) error { return nil }

type noTransport struct{}

func (noTransport) Send(*egretmuxv1.Replica, []*egretmuxv1.Message) {}

// startBlockingNode starts the only voter of a group and waits until it leads.
func startBlockingNode(t *testing.T) (*Node, *blockingMachine, *standin.Disk, *stallLog) {
	t.Helper()
	disk := standin.NewDisk()
	random := rand.New(rand.NewPCG(1, 1))
	id, err := wal.Identity(disk, random.Uint64)
	require.NoError(t, err)
	log, recovered, err := wal.Open(disk)
	require.NoError(t, err)
	require.NoError(t, Bootstrap(log, recovered, &egretmuxv1.Membership{Replicas: []*egretmuxv1.Replica{{Id: id, Instance: "i"}}}))
	lines, machine := &stallLog{}, &blockingMachine{allowed: make(chan struct{})}
	n, err := NewNode(Config{
		ID: id, Log: log, Recovered: recovered, Machine: machine, Transport: noTransport{}, Tick: 50 * time.Millisecond,
		ElectionTicks: testElectionTicks, HeartbeatTicks: 1, SnapshotEntries: testSnapshotEntries, Logger: zerolog.New(lines), Rand: random.IntN,
	})
	require.NoError(t, err)
	go n.Run()
	require.NoError(t, waitUntilLeader(t.Context(), n))
	return n, machine, disk, lines
}

func waitUntilLeader(ctx context.Context, n *Node) error {
	for {
		if err := n.ConfirmLeader(ctx); err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func loopAge(t *testing.T) string {
	t.Helper()
	var text bytes.Buffer
	telemetry.WriteMetrics(&text)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(line, "egretmux_replica_loop_age_seconds "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// Guards against a replica that stands still for ever, on a lock that its state machine
// waits for, and leaves no trace in logs and metrics.
func TestReplicaThatStandsStillIsReportedOnceAndWhenItGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, machine, _, lines := startBlockingNode(t)
		time.Sleep(time.Minute + watchPeriod/2) // between two updates of the watch
		require.Empty(t, lines.take(t), "an idle replica does not stand still")
		require.Equal(t, "0", loopAge(t))

		proposed := make(chan error, 1)
		go func() {
			_, err := n.Propose(t.Context(), []byte("blocks"))
			proposed <- err
		}()
		time.Sleep(stallThreshold - watchPeriod)
		require.Empty(t, lines.take(t))
		time.Sleep(2 * watchPeriod)
		require.Equal(t, map[string]time.Duration{"replica_stalled": stallThreshold}, lines.take(t))
		require.NotEqual(t, "0", loopAge(t))
		time.Sleep(10 * time.Second)
		require.Empty(t, lines.take(t))
		machine.allowed <- struct{}{}
		require.NoError(t, <-proposed)
		time.Sleep(2 * watchPeriod)
		resumed := lines.take(t)
		require.Len(t, resumed, 1)
		require.InDelta(t, stallThreshold+10*time.Second, resumed["replica_resumed"], float64(2*watchPeriod))
		require.Equal(t, "0", loopAge(t))
		n.Stop()
	})
}

func TestReplicaOnAFullDiskDoesNotStandStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, disk, lines := startBlockingNode(t)
		disk.SetFree(0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := n.Propose(ctx, []byte("not stored"))
		require.True(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
		require.Empty(t, lines.take(t), "disk_full tells of it")
		n.Stop()
	})
}
