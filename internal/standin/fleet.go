package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// FleetConfig describes a fleet.
type FleetConfig struct {
	Name         string
	Address      string // listening address, shared by all members
	Workers      int
	Endpoints    int
	Datacentres  []string
	RackSize     int // workers per rack
	Capacity     *egretmuxv1.Resources
	Accelerators int64    // total, divided evenly among the workers
	Instances    []string // control addresses
	Token        string
}

// Fleet simulates many workers and endpoints in one process, to measure what each
// of them costs the system. They only announce themselves and run attempts as
// timers.
type Fleet struct {
	cfg     FleetConfig
	workers map[string]*Worker
}

// NewFleet returns a fleet that Run starts.
func NewFleet(cfg FleetConfig) *Fleet {
	return &Fleet{cfg: cfg, workers: make(map[string]*Worker)}
}

// Run announces all workers and endpoints until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", f.cfg.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(egretmuxv1connect.NewWorkerServiceHandler(f))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { telemetry.WriteMetrics(w) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: announceTimeout}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var wg sync.WaitGroup
	for i := range f.cfg.Workers {
		w := f.newWorker(i)
		f.workers[w.cfg.Record.GetId()] = w
	}
	for i := range f.cfg.Workers {
		w := f.workers[f.workerID(i)]
		wg.Go(func() {
			stagger(ctx, i, f.cfg.Workers)
			w.RunAnnouncing(ctx)
		})
	}
	for i := range f.cfg.Endpoints {
		wg.Go(func() {
			stagger(ctx, i, f.cfg.Endpoints)
			f.announceEndpoint(ctx, i)
		})
	}
	wg.Wait()
	return nil
}

// stagger delays the n-th of total members by its part of the announce period, so
// that announcements are spread evenly over it.
func stagger(ctx context.Context, n, total int) {
	select {
	case <-ctx.Done():
	case <-time.After(announcePeriod * time.Duration(n) / time.Duration(max(1, total))):
	}
}

func (f *Fleet) workerID(i int) string { return fmt.Sprintf("%s-w%d", f.cfg.Name, i) }

func (f *Fleet) newWorker(i int) *Worker {
	capacity := &egretmuxv1.Resources{
		CpuMillis: f.cfg.Capacity.GetCpuMillis(), MemoryMib: f.cfg.Capacity.GetMemoryMib(),
		Accelerators: f.cfg.Accelerators*int64(i+1)/int64(f.cfg.Workers) - f.cfg.Accelerators*int64(i)/int64(f.cfg.Workers),
	}
	return NewWorker(WorkerConfig{
		Record: &egretmuxv1.Worker{
			Id: f.workerID(i), Address: f.cfg.Address, Datacentre: f.cfg.Datacentres[i%len(f.cfg.Datacentres)],
			Rack: fmt.Sprintf("%s-r%d", f.cfg.Name, i/f.cfg.RackSize), Capacity: capacity,
		},
		Announcer: NewAnnouncer(f.rotatedInstances(i), f.cfg.Token),
	})
}

// rotatedInstances returns the instances, rotated by i so that members are spread
// over them.
func (f *Fleet) rotatedInstances(i int) []string {
	n := i % len(f.cfg.Instances)
	return append(append([]string(nil), f.cfg.Instances[n:]...), f.cfg.Instances[:n]...)
}

func (f *Fleet) announceEndpoint(ctx context.Context, i int) {
	announcer := NewAnnouncer(f.rotatedInstances(i), f.cfg.Token)
	report := &egretmuxv1.EndpointReport{
		Id: fmt.Sprintf("%s-e%d", f.cfg.Name, i), Service: fmt.Sprintf("service-%d", i%20), Address: f.cfg.Address,
		Datacentre: f.cfg.Datacentres[i%len(f.cfg.Datacentres)], Slots: 8, Links: 60, Epoch: uint64(time.Now().UnixNano()),
	}
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		_ = announcer.AnnounceEndpoint(ctx, report)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// RunCommands implements WorkerService for all workers of the fleet.
func (f *Fleet) RunCommands(ctx context.Context, req *connect.Request[egretmuxv1.RunCommandsRequest]) (*connect.Response[egretmuxv1.RunCommandsResponse], error) {
	delivered := make(map[string]bool)
	for _, c := range req.Msg.GetCommands() {
		w := f.workers[c.GetWorker()]
		if w == nil || delivered[c.GetWorker()] {
			continue
		}
		delivered[c.GetWorker()] = true
		if _, err := w.RunCommands(ctx, req); err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(&egretmuxv1.RunCommandsResponse{}), nil
}
