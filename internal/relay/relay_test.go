package relay

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
)

// fakeGrants records the slots granted for each endpoint.
type fakeGrants map[string]int32

func (h fakeGrants) Update(states []*egretmuxv1.EndpointState) {
	for _, s := range states {
		h[s.GetId()] = s.GetSlots()
	}
}

func (h fakeGrants) Holdings(bool) []*egretmuxv1.GrantHolding { return nil }

func newTestRelay(grants fakeGrants) *Relay {
	return New(Config{
		Instance: &egretmuxv1.Instance{Id: "a1"}, Contracts: contract.NewBook(), Endpoints: grants,
		Commands: NewCommander(nil, "http", zerolog.Nop()), Logger: zerolog.Nop(),
	})
}

func grantResponse(term uint64, slots int32) *egretmuxv1.WatchResponse {
	return &egretmuxv1.WatchResponse{Term: term, EndpointVersion: 7, Endpoints: []*egretmuxv1.EndpointState{{Id: "e1", Slots: slots}}}
}

// Guards against applying grants of a former leader whose response arrives after one
// of the new leader.
func TestGrantsOfAnOlderTermAreRefused(t *testing.T) {
	grants := fakeGrants{}
	r := newTestRelay(grants)
	req := &egretmuxv1.WatchRequest{}
	r.applyWatchResponse(req, grantResponse(2, 3))
	require.Equal(t, int32(3), grants["e1"])
	require.Equal(t, uint64(2), req.GetTerm())
	r.applyWatchResponse(req, grantResponse(1, 8))
	require.Equal(t, int32(3), grants["e1"])
	require.Zero(t, req.GetTerm(), "the next watch must ask for the full state")
}

// Guards against losing the changes in a report that did not reach the leader: the
// next report must be a full one.
func TestReportAfterAFailureIsComplete(t *testing.T) {
	r := newTestRelay(fakeGrants{})
	announce := func(id string) {
		_, err := r.AnnounceEndpoint(t.Context(), connect.NewRequest(&egretmuxv1.AnnounceEndpointRequest{
			Report: &egretmuxv1.EndpointReport{Id: id, Service: "lease", Address: id, Slots: 8},
		}))
		require.NoError(t, err)
	}
	announce("e1")
	first, _ := r.buildReport()
	require.True(t, first.GetFull())
	announce("e2")
	lost, waiting := r.buildReport()
	require.False(t, lost.GetFull())
	require.Len(t, lost.GetEndpoints(), 1)
	r.handleReportFailure(waiting, fmt.Errorf("lost"))
	next, _ := r.buildReport()
	require.True(t, next.GetFull())
	require.Len(t, next.GetEndpoints(), 2)
}

// An endpoint stops announcing itself and returns later.
func TestSilentEndpointIsReported(t *testing.T) {
	now := time.Now()
	a := newAttachedEndpoints(defaultSilenceTimeout)
	e := &egretmuxv1.EndpointReport{Id: "e1", Epoch: 1}
	require.True(t, a.update(e, now))
	a.drainChanges(false, false)
	require.False(t, a.update(proto.Clone(e).(*egretmuxv1.EndpointReport), now.Add(time.Second)), "nothing changed")
	require.False(t, a.expire(now.Add(2400*time.Millisecond)))
	require.True(t, a.expire(now.Add(2501*time.Millisecond)))
	reports, silent := a.drainChanges(false, false)
	require.Empty(t, reports)
	require.Equal(t, []string{"e1"}, silent)
	require.True(t, a.update(e, now.Add(3*time.Second)))
	reports, silent = a.drainChanges(false, false)
	require.Len(t, reports, 1)
	require.Empty(t, silent)
}

// Another process joins under the same instance id. A process that has not served
// raises its incarnation; one that has served keeps it and gives up.
func TestSupersededProcess(t *testing.T) {
	r := newTestRelay(fakeGrants{})
	req, _ := r.buildReport()
	require.Error(t, r.applyReportResponse(req, &egretmuxv1.ReportResponse{Term: 1, SupersededBy: req.GetIncarnation() + 5}, r.lease.Now()))
	next, _ := r.buildReport()
	require.Equal(t, req.GetIncarnation()+6, next.GetIncarnation())
	require.NoError(t, r.applyReportResponse(next, &egretmuxv1.ReportResponse{Term: 1, EntryLeaseMs: 8000}, r.lease.Now()))
	require.Error(t, r.applyReportResponse(next, &egretmuxv1.ReportResponse{Term: 1, SupersededBy: next.GetIncarnation() + 5}, r.lease.Now()))
	last, _ := r.buildReport()
	require.Equal(t, next.GetIncarnation(), last.GetIncarnation())
}

// Guards against commands to many hanging workers delaying those to a healthy one.
func TestHangingWorkersHoldUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		got := make(map[string][]uint64)
		c := NewCommander(nil, "http", zerolog.Nop())
		c.send = func(address string, group []*egretmuxv1.WorkerCommand) {
			if address != "good" {
				time.Sleep(commandTimeout)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, cmd := range group {
				got[address] = append(got[address], cmd.GetSequence())
			}
		}
		const hanging, rounds = 500, 3
		sequence := uint64(0)
		command := func(address string) *egretmuxv1.WorkerCommand {
			sequence++
			return &egretmuxv1.WorkerCommand{Sequence: sequence, Address: address}
		}
		began := time.Now()
		for range rounds {
			var batch []*egretmuxv1.WorkerCommand
			for i := range hanging {
				batch = append(batch, command(fmt.Sprint("hanging-", i)))
			}
			c.Enqueue(append(batch, command("good")))
			synctest.Wait()
		}
		require.Zero(t, time.Since(began), "Enqueue blocked")
		mu.Lock()
		require.Len(t, got["good"], rounds)
		mu.Unlock()
		time.Sleep(time.Minute)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		require.Empty(t, c.backlog)
		for address, sequences := range got {
			require.Len(t, sequences, rounds)
			require.IsIncreasing(t, sequences, address)
		}
	})
}

// Guards against unbounded memory for one slow worker.
func TestBacklogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		c := NewCommander(nil, "http", zerolog.Nop())
		c.send = func(_ string, group []*egretmuxv1.WorkerCommand) {
			time.Sleep(commandTimeout)
			sent.Add(int64(len(group)))
		}
		for range 5 * maxWorkerBacklog {
			c.Enqueue([]*egretmuxv1.WorkerCommand{{Address: "w1"}})
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		require.LessOrEqual(t, sent.Load(), int64(2*maxWorkerBacklog))
	})
}

// Guards against unbounded memory for worker reports while the leader does not answer.
func TestAnnouncementsAreBounded(t *testing.T) {
	r := newTestRelay(fakeGrants{})
	for range maxPendingAnnouncements {
		require.True(t, r.enqueue(announcement{report: &egretmuxv1.WorkerReport{Worker: "w1"}}))
	}
	_, err := r.AnnounceWorker(t.Context(), connect.NewRequest(&egretmuxv1.AnnounceWorkerRequest{Report: &egretmuxv1.WorkerReport{Worker: "w2"}}))
	require.ErrorContains(t, err, "queue-full")
}
