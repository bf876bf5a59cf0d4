package jobcell

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/scheduler"
	"github.com/egretmux/egretmux/internal/standin"
)

const (
	testShutdownTime = 8 * time.Second
	maxBodyTime      = 30 * time.Second // that a listener may wait for the body of a request
	formationTimeout = 20 * time.Second // a cell with fewer replicas than wanted forms after smallCellSettleTime
)

// freeAddress returns a loopback address that no listener uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// runningInstance is an instance that forms a cell by itself.
type runningInstance struct {
	*Instance
	callers  string        // address of the listener for callers
	ended    chan struct{} // closed when Run has returned
	stopOnce sync.Once
}

// startInstance runs an instance with the given handler for callers until it leads. It
// re-reads its settings with reload, if not nil.
func startInstance(t *testing.T, callers http.Handler, reload func() ([]string, error)) *runningInstance {
	t.Helper()
	return startInstanceWith(t, func(*Instance) {}, callers, reload)
}

// startInstanceWith is like startInstance, for an instance that has further listeners.
func startInstanceWith(t *testing.T, addListeners func(*Instance), callers http.Handler, reload func() ([]string, error)) *runningInstance {
	t.Helper()
	address := freeAddress(t)
	c, err := New(Config{
		Name: "a", Zone: "z", Address: address, Seeds: []string{address}, Founding: true, DataFolder: t.TempDir(), Logger: zerolog.Nop(),
		Scheduler: scheduler.Config{WorkerClient: newFakeWorkers(), Lease: 6 * time.Second, StatusKeep: time.Minute},
	})
	require.NoError(t, err)
	i := &runningInstance{Instance: NewInstance(c, InstanceConfig{ShutdownTime: testShutdownTime, Reload: reload, Logger: zerolog.Nop()}), callers: freeAddress(t), ended: make(chan struct{})}
	i.Listen("callers", i.callers, callers)
	addListeners(i.Instance)
	i.ListenCell(address, c.Handler())
	go func() {
		defer close(i.ended)
		assert.ErrorIs(t, i.Run(context.Background()), errStop)
	}()
	t.Cleanup(func() {
		i.stop()
		<-i.ended
		c.scheduler.Node().Stop()
	})
	require.Eventually(t, c.scheduler.Leads, formationTimeout, 10*time.Millisecond)
	return i
}

var errStop = errors.New("stopped by the test")

// stop begins the shutdown, as a listener that fails does.
func (i *runningInstance) stop() { i.stopOnce.Do(func() { i.failed <- errStop }) }

// stallReplica holds the replica's loop, as a write to a hanging disk does, until the
// test ends.
func (i *runningInstance) stallReplica(t *testing.T) {
	t.Helper()
	stalled, released := make(chan struct{}), make(chan struct{})
	go func() {
		_ = i.cell.scheduler.Node().Do(context.Background(), func(*core.Core) error {
			close(stalled)
			<-released
			return nil
		})
	}()
	<-stalled
	t.Cleanup(func() { close(released) })
}

// Guards against a shutdown that spent all its time on a hand-over by a replica that
// stood still: the listeners took requests until the process was killed.
func TestShutdownClosesTheListenersInTimeWhileTheReplicaStandsStill(t *testing.T) {
	arrived, answer := make(chan struct{}), make(chan struct{})
	i := startInstance(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-answer
		w.WriteHeader(http.StatusNoContent)
	}), nil)
	i.stallReplica(t)
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + i.callers)
		if !assert.NoError(t, err) {
			status <- 0
			return
		}
		status <- resp.StatusCode
		assert.NoError(t, resp.Body.Close())
	}()
	<-arrived
	i.stop()
	assert.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", i.callers)
		if err != nil {
			return true
		}
		_ = conn.Close()
		return false
	}, testShutdownTime-exitReserve-listenerCloseTimeout/2, 20*time.Millisecond, "no time is left for requests in flight")
	close(answer)
	require.Equal(t, http.StatusNoContent, <-status)
}

// Guards against a process that ended only when it was killed, as it waited for a
// replica that stood still.
func TestInstanceEndsInTimeWhileItsReplicaStandsStill(t *testing.T) {
	i := startInstance(t, http.NotFoundHandler(), nil)
	i.stallReplica(t)
	i.stop()
	select {
	case <-i.ended:
	case <-time.After(testShutdownTime):
		require.FailNow(t, "the instance still runs when its process is killed")
	}
}

// Guards against an instance that did not notice a stop signal while it read its
// settings: a file that hung kept it running until it was killed.
func TestInstanceStopsWhileItsSettingsHang(t *testing.T) {
	reading, released := make(chan struct{}), make(chan struct{})
	begin := sync.OnceFunc(func() { close(reading) })
	i := startInstance(t, http.NotFoundHandler(), func() ([]string, error) {
		begin()
		<-released
		return nil, errors.New("the settings cannot be read")
	})
	t.Cleanup(func() { close(released) })
	<-reading
	i.stop()
	select {
	case <-i.draining:
	case <-time.After(exitReserve):
		require.FailNow(t, "the instance does not notice that it has to stop")
	}
}

// Guards against a client's call on the leader itself that waited for as long as the
// leader's disk hung: calls that come from other instances were bounded, these were not.
func TestCallOnTheLeaderEndsAtItsDeadlineWhileTheReplicaStandsStill(t *testing.T) {
	i := startInstance(t, http.NotFoundHandler(), nil)
	require.NoError(t, i.cell.PutCatalogue(t.Context(), &egretmuxv1.Catalogue{
		Version: 1, Pools: []*egretmuxv1.Pool{{Name: "p"}},
		Queues: []*egretmuxv1.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "p", TimeoutMs: 1000, Attempts: 2, SlackFactor: 2}},
	}))
	i.stallReplica(t)
	const patience = 2 * time.Second
	ctx := contextWithTimeout(t, patience)
	answered := make(chan error, 1)
	go func() {
		_, err := i.cell.CallJob(ctx, &egretmuxv1.JobCall{
			Address: &egretmuxv1.QueueAddress{Host: "h", Path: "/q/00000000000000aa"}, Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT,
			Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{{Count: 1}}},
		})
		answered <- err
	}()
	select {
	case err := <-answered:
		require.Equal(t, refusal.Unknown, refusal.Of(err).Ran)
	case <-standin.RunningTime(patience + leaderCallTimeout):
		require.FailNow(t, "no answer at the caller's deadline")
	}
}

// Guards against a call that was cut when the process ended, as its client waits for longer than a shutdown
// takes and its outcome stayed unknown.
func TestCallThatWouldOutlastTheShutdownIsAnswered(t *testing.T) {
	var i *runningInstance
	i = startInstance(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), time.Minute)
		defer cancel()
		_, err := i.cell.CallJob(ctx, &egretmuxv1.JobCall{
			Address: &egretmuxv1.QueueAddress{Host: "h", Path: "/q/00000000000000aa"}, Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT,
			Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{{Count: 1}}},
		})
		if refusal.Of(err).Ran == refusal.Unknown {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}), nil)
	require.NoError(t, i.cell.PutCatalogue(t.Context(), &egretmuxv1.Catalogue{
		Version: 1, Pools: []*egretmuxv1.Pool{{Name: "p"}},
		Queues: []*egretmuxv1.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "p", TimeoutMs: 1000, Attempts: 2, SlackFactor: 2}},
	}))
	i.stallReplica(t)
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + i.callers)
		if assert.NoError(t, err) {
			status <- resp.StatusCode
			assert.NoError(t, resp.Body.Close())
		}
	}()
	require.Eventually(t, func() bool { return i.servers[0].inFlight.Load() == 1 }, formationTimeout, time.Millisecond)
	i.stop()
	select {
	case got := <-status:
		require.Equal(t, http.StatusGatewayTimeout, got)
	case <-i.ended:
		require.Zero(t, i.servers[0].inFlight.Load(), "the process ends without an answer to the call")
		require.Equal(t, http.StatusGatewayTimeout, <-status)
	}
}

// Guards against a call that was answered as if it might have been executed, though its time was over
// before it was tried.
func TestCallWhoseTimeIsOverBeforeItIsTriedIsNotExecuted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := newTestCell(t, "a").CallJob(ctx, &egretmuxv1.JobCall{Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT})
	require.Equal(t, refusal.No, refusal.Of(err).Ran)
}

// Guards against calls on one listener that were cut, as a request on another one took all the time of the
// shutdown: the listeners were closed one after the other.
func TestRequestInFlightKeepsNoOtherListenerOpen(t *testing.T) {
	held := make(chan struct{})
	control := freeAddress(t)
	i := startInstanceWith(t, func(i *Instance) { i.Listen("control", control, http.NotFoundHandler()) }, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-held }), nil)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if resp, err := http.Get("http://" + i.callers); assert.NoError(t, err) {
			assert.NoError(t, resp.Body.Close())
		}
	}()
	t.Cleanup(func() {
		close(held)
		<-answered
	})
	require.Eventually(t, func() bool { return i.servers[0].inFlight.Load() == 1 }, formationTimeout, time.Millisecond)
	i.stop()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", control)
		if err != nil {
			return true
		}
		_ = conn.Close()
		return false
	}, testShutdownTime-exitReserve-listenerCloseTimeout/2, 20*time.Millisecond, "the listener takes requests until the process ends")
}

// Guards against requests that were read and dropped as the listeners closed: on a kept connection whose
// next request was being read, and on a new one whose first request came just then.
func TestRequestsThatArriveAsTheListenersCloseAreAnswered(t *testing.T) {
	i := startInstance(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), nil)
	const begun, rest = "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"
	send := func(conn net.Conn, text string) {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
	}
	receive := func(conn net.Conn) *http.Response {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "the connection ended without an answer")
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
		return resp
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", i.callers)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	kept := dial()
	send(kept, begun+rest)
	require.False(t, receive(kept).Close)
	i.stop()
	<-i.draining
	time.Sleep(balancerNoticeTime / 2)
	fresh := dial()
	send(kept, begun)
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", i.callers)
		if err != nil {
			return true
		}
		_ = conn.Close()
		return false
	}, testShutdownTime, time.Millisecond)
	send(fresh, begun+rest)
	require.True(t, receive(fresh).Close)
	send(kept, rest)
	require.True(t, receive(kept).Close)
}

// stallingWriter stands still for a while when the given event is logged, as a process without processor time.
type stallingWriter struct {
	event string
	stall time.Duration
}

// Write implements io.Writer.
func (w *stallingWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(w.event)) {
		time.Sleep(w.stall)
	}
	return len(line), nil
}

// Guards against requests that were ended by a shutdown too late to be answered, as the process had stood
// still: the time for the answers was over when it went on.
func TestRequestsThatAreEndedLateAreAnswered(t *testing.T) {
	stall := func(i *Instance) {
		i.cfg.Logger = zerolog.New(&stallingWriter{event: `"requests_ended"`, stall: 2 * answerTimeout})
	}
	i := startInstanceWith(t, stall, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		w.WriteHeader(http.StatusGatewayTimeout)
	}), nil)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if resp, err := http.Get("http://" + i.callers); assert.NoError(t, err) {
			assert.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
			assert.NoError(t, resp.Body.Close())
		}
	}()
	require.Eventually(t, func() bool { return i.servers[0].inFlight.Load() == 1 }, formationTimeout, time.Millisecond)
	i.stop()
	<-i.ended
	assert.Zero(t, i.servers[0].inFlight.Load(), "the process ends without an answer")
	<-answered
}

// deadlineRecorder records the read deadlines that a handler sets on its connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

// SetReadDeadline implements the method that http.ResponseController looks for.
func (r *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	r.deadlines = append(r.deadlines, deadline)
	return nil
}

// Guards against requests that held a connection, and a shutdown, for as long as their
// client kept back the rest of the body.
func TestTimeForTheBodyOfARequestIsBounded(t *testing.T) {
	i := NewInstance(newTestCell(t, "a"), InstanceConfig{Logger: zerolog.Nop()})
	i.Listen("callers", "unused", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
	}))
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	began := time.Now()
	i.servers[0].http.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body")))
	require.Len(t, w.deadlines, 2)
	require.WithinRange(t, w.deadlines[0], began, time.Now().Add(maxBodyTime))
	require.Zero(t, w.deadlines[1], "the limit ends with the body")
}
