package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/peer"
)

// Load on one of 12 instances at the users' target size in two years.
const (
	workersPerInstance   = 1100 / 12
	tasksPerWorker       = 8000 / 1100 // running tasks
	endpointsPerInstance = 8000 / 5 / 12
	measuredSeconds      = 30
	nodeByteBudget       = 8 << 10 // bytes a second that a node may spend on control traffic
)

// countingLeader answers reports at once and counts them.
type countingLeader struct {
	egretmuxv1connect.CellServiceClient
	mu                 sync.Mutex
	reports            int
	sent, received     int
	workers, endpoints int
	needFull           bool
}

func (l *countingLeader) Call(ctx context.Context, f func(context.Context, *peer.Clients) error) error {
	return f(ctx, &peer.Clients{Cell: l})
}

func (l *countingLeader) Report(_ context.Context, req *connect.Request[egretmuxv1.ReportRequest]) (*connect.Response[egretmuxv1.ReportResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	resp := &egretmuxv1.ReportResponse{Term: 2, EntryLeaseMs: 8000, WorkerLeaseMs: 6000}
	for _, w := range req.Msg.GetWorkers() {
		resp.Workers = append(resp.Workers, &egretmuxv1.WorkerReply{Worker: w.GetWorker(), Epoch: 1000, NeedFull: l.needFull})
	}
	l.reports++
	l.workers += len(req.Msg.GetWorkers())
	l.endpoints += len(req.Msg.GetEndpoints()) + len(req.Msg.GetSilentEndpoints())
	l.sent += proto.Size(req.Msg)
	l.received += proto.Size(resp)
	return connect.NewResponse(resp), nil
}

func (l *countingLeader) Watch(ctx context.Context, req *connect.Request[egretmuxv1.WatchRequest]) (*connect.Response[egretmuxv1.WatchResponse], error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(5 * time.Second):
	}
	return connect.NewResponse(&egretmuxv1.WatchResponse{Term: 2}), nil
}

// sendHeartbeats announces a worker every announceInterval, and its running tasks
// only if the leader asks for a full report.
func sendHeartbeats(ctx context.Context, r *Relay, id int) {
	pause(ctx, time.Duration(id)*announceInterval/workersPerInstance, nil)
	full := false
	for ctx.Err() == nil {
		report := &egretmuxv1.WorkerReport{Worker: fmt.Sprintf("se-atl-w%04d", id), Epoch: 1000, Full: full}
		for task := range tasksPerWorker {
			if full {
				report.Running = append(report.Running, uint64(1_000_000+id*tasksPerWorker+task))
			}
		}
		resp, err := r.AnnounceWorker(ctx, connect.NewRequest(&egretmuxv1.AnnounceWorkerRequest{Report: report}))
		full = err == nil && resp.Msg.GetNeedFull()
		pause(ctx, announceInterval, nil)
	}
}

func announceEndpoints(ctx context.Context, r *Relay) {
	for busy := int32(0); ctx.Err() == nil; busy++ {
		for i := range endpointsPerInstance {
			_, _ = r.AnnounceEndpoint(ctx, connect.NewRequest(&egretmuxv1.AnnounceEndpointRequest{Report: &egretmuxv1.EndpointReport{
				Id: fmt.Sprint("se-atl-lease-", i), Service: "lease", Address: fmt.Sprint("10.0.1.", i, ":9000"), Datacentre: "se-atl",
				Slots: 8, Links: 60, Epoch: 1_800_000_000_000, TellsBusy: true, Busy: busy % 8,
			}}))
		}
		pause(ctx, announceInterval, nil)
	}
}

// Limits the reports and bytes that one instance exchanges with the leader at its
// share of the target load while only the slots in use change.
func TestCostOfHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &countingLeader{}
		r := New(Config{
			Instance: &egretmuxv1.Instance{Id: "a1", Datacentre: "se-atl", CellAddress: "10.0.0.1:7102", ControlAddress: "10.0.0.1:7101"},
			Leader:   l, Contracts: contract.NewBook(), Endpoints: fakeGrants{}, Commands: NewCommander(nil, "http", zerolog.Nop()), Logger: zerolog.Nop(),
		})
		go r.Run(ctx)
		for i := range workersPerInstance {
			go sendHeartbeats(ctx, r, i)
		}
		go announceEndpoints(ctx, r)
		time.Sleep(busyReportTime + 10*time.Second) // slots in use are no longer reported after the change of leader
		l.mu.Lock()
		l.reports, l.sent, l.received, l.workers, l.endpoints = 0, 0, 0, 0, 0
		l.mu.Unlock()
		time.Sleep(measuredSeconds * time.Second)
		cancel()
		synctest.Wait()
		t.Logf("per second: %.1f reports, %d bytes sent, %d bytes received, %.1f heartbeats, %.1f endpoint reports",
			float64(l.reports)/measuredSeconds, l.sent/measuredSeconds, l.received/measuredSeconds, float64(l.workers)/measuredSeconds, float64(l.endpoints)/measuredSeconds)
		require.Zero(t, l.endpoints, "unchanged endpoints were reported")
		const maxReports = measuredSeconds * (time.Second/heartbeatBatchDelay + time.Second/reportPeriod)
		require.LessOrEqual(t, l.reports, int(maxReports), "heartbeats do not share reports")
		require.Less(t, (l.sent+l.received)/measuredSeconds, nodeByteBudget)
		time.Sleep(time.Minute)
	})
}
