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

// heldSlots is a router that only remembers its grants.
type heldSlots map[string]int32

func (h heldSlots) Update(states []*egretmuxv1.EndpointState) {
	for _, s := range states {
		h[s.GetId()] = s.GetSlots()
	}
}

func (h heldSlots) Holdings(bool) []*egretmuxv1.GrantHolding { return nil }

func newTestRelay(held heldSlots) *Relay {
	return New(Config{
		Instance: &egretmuxv1.Instance{Id: "a1"}, Book: contract.NewBook(), Endpoints: held,
		Commands: NewCommander(nil, "http", zerolog.Nop()), Logger: zerolog.Nop(),
	})
}

func grant(term uint64, slots int32) *egretmuxv1.WatchResponse {
	return &egretmuxv1.WatchResponse{Term: term, EndpointVersion: 7, Endpoints: []*egretmuxv1.EndpointState{{Id: "e1", Slots: slots}}}
}

// TestGrantsOfAnOlderTermAreRefused has an older leader's answer arrive after a
// newer leader was heard.
func TestGrantsOfAnOlderTermAreRefused(t *testing.T) {
	held := heldSlots{}
	r := newTestRelay(held)
	req := &egretmuxv1.WatchRequest{}
	r.takeNews(req, grant(2, 3))
	require.Equal(t, int32(3), held["e1"])
	require.Equal(t, uint64(2), req.GetTerm())
	r.takeNews(req, grant(1, 8))
	require.Equal(t, int32(3), held["e1"])
	require.Zero(t, req.GetTerm(), "the next Watch asks for everything")
}

// TestReportAfterAFailureIsComplete loses a report: the next one must hold all
// that the lost one told.
func TestReportAfterAFailureIsComplete(t *testing.T) {
	r := newTestRelay(heldSlots{})
	announce := func(id string) {
		_, err := r.AnnounceEndpoint(t.Context(), connect.NewRequest(&egretmuxv1.AnnounceEndpointRequest{
			Report: &egretmuxv1.EndpointReport{Id: id, Service: "lease", Address: id, Slots: 8},
		}))
		require.NoError(t, err)
	}
	announce("e1")
	first, _ := r.collect()
	require.True(t, first.GetFull())
	announce("e2")
	lost, waiting := r.collect()
	require.False(t, lost.GetFull())
	require.Len(t, lost.GetEndpoints(), 1)
	r.reportFailed(waiting, fmt.Errorf("lost"))
	next, _ := r.collect()
	require.True(t, next.GetFull())
	require.Len(t, next.GetEndpoints(), 2)
}

// TestSilentEndpointIsReported lets an endpoint fall silent, and come back.
func TestSilentEndpointIsReported(t *testing.T) {
	now := time.Now()
	a := newAttachedEndpoints(defaultSilent)
	e := &egretmuxv1.EndpointReport{Id: "e1", Epoch: 1}
	require.True(t, a.announce(e, now))
	a.collect(false, false)
	require.False(t, a.announce(proto.Clone(e).(*egretmuxv1.EndpointReport), now.Add(time.Second)), "nothing changed")
	require.False(t, a.expire(now.Add(2400*time.Millisecond)))
	require.True(t, a.expire(now.Add(2501*time.Millisecond)))
	reports, silent := a.collect(false, false)
	require.Empty(t, reports)
	require.Equal(t, []string{"e1"}, silent)
	require.True(t, a.announce(e, now.Add(3*time.Second)))
	reports, silent = a.collect(false, false)
	require.Len(t, reports, 1)
	require.Empty(t, silent)
}

// TestSupersededProcess tells a process that another has its name: a new one
// takes a greater number, one that has served gives up.
func TestSupersededProcess(t *testing.T) {
	r := newTestRelay(heldSlots{})
	req, _ := r.collect()
	require.Error(t, r.takeResponse(req, &egretmuxv1.ReportResponse{Term: 1, SupersededBy: req.GetIncarnation() + 5}, time.Now()))
	next, _ := r.collect()
	require.Equal(t, req.GetIncarnation()+6, next.GetIncarnation())
	require.NoError(t, r.takeResponse(next, &egretmuxv1.ReportResponse{Term: 1, EntryLeaseMs: 8000}, time.Now()))
	require.Error(t, r.takeResponse(next, &egretmuxv1.ReportResponse{Term: 1, SupersededBy: next.GetIncarnation() + 5}, time.Now()))
	last, _ := r.collect()
	require.Equal(t, next.GetIncarnation(), last.GetIncarnation())
}

// TestHangingWorkersHoldUpNoOther sends commands to many workers that hang and
// to one that does not.
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
		require.Zero(t, time.Since(began), "Run waited")
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

// TestBacklogIsBounded floods one worker.
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

// TestAnnouncementsAreBounded fills the queue of workers' reports.
func TestAnnouncementsAreBounded(t *testing.T) {
	r := newTestRelay(heldSlots{})
	for range maxAnnouncements {
		require.True(t, r.enqueue(announcement{report: &egretmuxv1.WorkerReport{Worker: "w1"}}))
	}
	_, err := r.AnnounceWorker(t.Context(), connect.NewRequest(&egretmuxv1.AnnounceWorkerRequest{Report: &egretmuxv1.WorkerReport{Worker: "w2"}}))
	require.ErrorContains(t, err, "queue-full")
}
