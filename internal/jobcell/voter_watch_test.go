package jobcell

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// events returns the lines of the given events so far.
func (l *logBuffer) events(t *testing.T, names ...string) []map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(l.text.String()) {
		fields := make(map[string]any)
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		for _, name := range names {
			if fields["event"] == name {
				out = append(out, fields)
			}
		}
	}
	return out
}

// take returns the lines of the given events so far and clears the log.
func (l *logBuffer) take(t *testing.T, names ...string) []map[string]any {
	t.Helper()
	out := l.events(t, names...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Reset()
	return out
}

// metric returns the value of a metric in the text that /metrics serves, or an empty
// string.
func metric(name string) string {
	var text bytes.Buffer
	telemetry.WriteMetrics(&text)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// watchedCell is the watch of an instance that leads three voters.
type watchedCell struct {
	t      *testing.T
	cell   *Cell
	watch  *voterWatch
	log    *logBuffer
	status core.Status
	now    time.Time
}

func newWatchedCell(t *testing.T) *watchedCell {
	t.Helper()
	w := &watchedCell{t: t, cell: newTestCell(t, "lead"), log: &logBuffer{}, now: time.Now()}
	w.cell.cfg.Logger = zerolog.New(w.log)
	w.watch = &voterWatch{cell: w.cell}
	w.status = core.Status{ID: 1, Role: core.Leader, Term: 4, Membership: newMembership("lead", 1, "b", 2, "c", 3)}
	return w
}

// updateAfter lets time pass, in which some instances announce themselves, and
// returns what the watch logs.
func (w *watchedCell) updateAfter(d time.Duration, silence map[uint64]time.Duration, announcing ...*egretmuxv1.Member) []map[string]any {
	w.t.Helper()
	w.now = w.now.Add(d)
	for _, m := range announcing {
		meet(w.cell, m, w.now)
	}
	ticks := make(map[uint64]int)
	for id, s := range silence {
		ticks[id] = int(s / tickInterval)
	}
	w.watch.update(w.status, ticks, w.now)
	return w.log.take(w.t, "voter_missing", "voter_returned", "voter_replaced")
}

func TestLeaderReportsAMissingVoterOnceAndItsReturn(t *testing.T) {
	b, c := newMember("b", "b", 2), newMember("c", "c", 3)
	for name, announcing := range map[string][]*egretmuxv1.Member{voterSilent: {c}, voterWithoutReplies: {b, c}} {
		w := newWatchedCell(t)
		require.Empty(t, w.updateAfter(0, nil, b, c))
		require.Equal(t, "3", metric("egretmux_voters"))
		require.Empty(t, w.updateAfter(voterMissingAfter-time.Second, map[uint64]time.Duration{2: voterMissingAfter - time.Second}, announcing...))
		require.Equal(t, "0", metric("egretmux_voters_missing"))
		lines := w.updateAfter(time.Second, map[uint64]time.Duration{2: voterMissingAfter}, announcing...)
		require.Len(t, lines, 1)
		require.Equal(t, []any{"voter_missing", "b", name, float64(voterMissingAfter.Milliseconds())},
			[]any{lines[0]["event"], lines[0]["replica"], lines[0]["reason"], lines[0]["age_ms"]})
		require.Equal(t, "1", metric("egretmux_voters_missing"))
		require.Empty(t, w.updateAfter(time.Minute, map[uint64]time.Duration{2: voterMissingAfter + time.Minute}, announcing...))
		lines = w.updateAfter(time.Second, nil, b, c)
		require.Len(t, lines, 1)
		require.Equal(t, []any{"voter_returned", "b", float64((voterMissingAfter + time.Minute + time.Second).Milliseconds())},
			[]any{lines[0]["event"], lines[0]["replica"], lines[0]["age_ms"]})
		require.Equal(t, "0", metric("egretmux_voters_missing"))
	}
}

// Guards against a voter that is gone for good without a trace in the logs: an instance
// that lost its disk came back with another replica, and the former one still counted.
func TestLeaderReportsAtOnceThatAVoterIsGoneForGood(t *testing.T) {
	w := newWatchedCell(t)
	other := newMember("b", "b", 22)
	require.Empty(t, w.updateAfter(0, nil, newMember("b", "b", 2), newMember("c", "c", 3)))
	lines := w.updateAfter(time.Second, map[uint64]time.Duration{2: time.Second}, other)
	require.Len(t, lines, 1)
	require.Equal(t, []any{"voter_missing", "b", voterOfAnotherDisk}, []any{lines[0]["event"], lines[0]["replica"], lines[0]["reason"]})
	w.status.Membership = newMembership("lead", 1, "b", 22, "c", 3)
	lines = w.updateAfter(time.Second, nil, other)
	require.Len(t, lines, 1)
	require.Equal(t, []any{"voter_replaced", "b"}, []any{lines[0]["event"], lines[0]["replica"]})
	require.Equal(t, "0", metric("egretmux_voters_missing"))
}

func TestSilentVoterThatTurnsOutToBeGoneIsReportedAgain(t *testing.T) {
	w := newWatchedCell(t)
	w.updateAfter(0, nil)
	require.Len(t, w.updateAfter(voterMissingAfter, map[uint64]time.Duration{2: voterMissingAfter}), 1)
	lines := w.updateAfter(time.Second, map[uint64]time.Duration{2: voterMissingAfter + time.Second}, newMember("b", "b", 22))
	require.Len(t, lines, 1)
	require.Equal(t, voterOfAnotherDisk, lines[0]["reason"])
	require.Equal(t, float64((voterMissingAfter + time.Second).Milliseconds()), lines[0]["age_ms"])
}

func TestInstanceThatDoesNotLeadCountsNoMissingVoters(t *testing.T) {
	w := newWatchedCell(t)
	w.updateAfter(0, nil)
	silence := map[uint64]time.Duration{2: voterMissingAfter}
	require.Len(t, w.updateAfter(voterMissingAfter, silence), 1)
	w.status.Role = core.Follower
	require.Empty(t, w.updateAfter(time.Second, nil))
	require.Equal(t, "0", metric("egretmux_voters_missing"))
	require.Equal(t, "3", metric("egretmux_voters"))
	w.status.Role, w.status.Term = core.Leader, 6
	require.Len(t, w.updateAfter(time.Second, silence), 1, "a new term reports it again")
}

// testInstance is an instance with a replica on a listener of its own.
type testInstance struct {
	address string
	log     *logBuffer
	cell    *Cell
	stop    func()
}

// startTestInstance starts an instance with an empty disk.
func startTestInstance(t *testing.T, seeds []string, listener net.Listener, founding bool) *testInstance {
	t.Helper()
	address := listener.Addr().String()
	i := &testInstance{address: address, log: &logBuffer{}}
	var err error
	i.cell, err = New(Config{
		Name: address, Zone: address, Address: address, Control: address, Seeds: seeds, Founding: founding, ToleratedLosses: 1, DataFolder: t.TempDir(),
		Scheduler: scheduler.Config{WorkerClient: newFakeWorkers()}, Logger: zerolog.New(i.log),
	})
	require.NoError(t, err)
	server := &http.Server{Handler: i.cell.Handler(), ReadHeaderTimeout: time.Second, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	running.Go(func() { i.cell.Run(ctx) })
	i.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		require.NoError(t, i.cell.Close())
		_ = server.Close()
	})
	t.Cleanup(i.stop)
	return i
}

// Guards against the silent loss of redundancy of a cell: a voter that lost its disk was
// named in no log until the next loss stopped the cell.
func TestLossOfADiskIsReportedFromTheVotersEndToItsReplacement(t *testing.T) {
	var listeners []net.Listener
	var addresses []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	var instances []*testInstance
	for _, l := range listeners {
		instances = append(instances, startTestInstance(t, addresses, l, true))
	}
	leader := func() *testInstance {
		for _, i := range instances {
			if i.cell.scheduler.Leads() {
				return i
			}
		}
		return nil
	}
	require.Eventually(t, func() bool { return leader() != nil }, 20*time.Second, 20*time.Millisecond)
	lead := leader()
	for n, i := range instances {
		if i != lead {
			i.stop()
			require.Eventually(t, func() bool { return len(lead.log.events(t, "voter_missing")) == 1 }, 20*time.Second, 20*time.Millisecond)
			require.Equal(t, []any{i.address, voterSilent}, []any{lead.log.events(t, "voter_missing")[0]["replica"], lead.log.events(t, "voter_missing")[0]["reason"]})
			listener, err := net.Listen("tcp", i.address)
			require.NoError(t, err)
			instances[n] = startTestInstance(t, addresses, listener, false)
			break
		}
	}
	require.Eventually(t, func() bool { return len(lead.log.events(t, "voter_replaced")) == 1 }, 20*time.Second, 20*time.Millisecond)
	require.Empty(t, lead.log.events(t, "voter_returned"))
}
