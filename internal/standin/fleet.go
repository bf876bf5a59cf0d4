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

// FleetConfig describes many workers and endpoints in one process.
type FleetConfig struct {
	Name         string
	Address      string // shared by all of them
	Workers      int
	Endpoints    int
	Datacentres  []string
	RackSize     int // workers in a rack
	Capacity     *egretmuxv1.Resources
	Accelerators int64    // spread over the workers
	Instances    []string // control addresses
	Token        string
}

// Fleet plays many workers and endpoints that only announce themselves and run
// timers, to measure what each costs the system.
type Fleet struct {
	cfg     FleetConfig
	workers map[string]*Worker
}

// NewFleet returns a fleet that Run starts.
func NewFleet(cfg FleetConfig) *Fleet {
	return &Fleet{cfg: cfg, workers: make(map[string]*Worker)}
}

// Run announces everything until the context ends.
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
		w := f.worker(i)
		f.workers[w.cfg.Record.GetId()] = w
	}
	for i := range f.cfg.Workers {
		w := f.workers[f.workerID(i)]
		wg.Go(func() {
			spread(ctx, i, f.cfg.Workers)
			w.RunAnnouncing(ctx)
		})
	}
	for i := range f.cfg.Endpoints {
		wg.Go(func() {
			spread(ctx, i, f.cfg.Endpoints)
			f.announceEndpoint(ctx, i)
		})
	}
	wg.Wait()
	return nil
}

// spread delays the n-th of many so that their announcements do not coincide.
func spread(ctx context.Context, n, of int) {
	select {
	case <-ctx.Done():
	case <-time.After(announcePeriod * time.Duration(n) / time.Duration(max(1, of))):
	}
}

func (f *Fleet) workerID(i int) string { return fmt.Sprintf("%s-w%d", f.cfg.Name, i) }

func (f *Fleet) worker(i int) *Worker {
	capacity := &egretmuxv1.Resources{
		CpuMillis: f.cfg.Capacity.GetCpuMillis(), MemoryMib: f.cfg.Capacity.GetMemoryMib(),
		Accelerators: f.cfg.Accelerators*int64(i+1)/int64(f.cfg.Workers) - f.cfg.Accelerators*int64(i)/int64(f.cfg.Workers),
	}
	return NewWorker(WorkerConfig{
		Record: &egretmuxv1.Worker{
			Id: f.workerID(i), Address: f.cfg.Address, Datacentre: f.cfg.Datacentres[i%len(f.cfg.Datacentres)],
			Rack: fmt.Sprintf("%s-r%d", f.cfg.Name, i/f.cfg.RackSize), Capacity: capacity,
		},
		Announcer: NewAnnouncer(f.rotated(i), f.cfg.Token),
	})
}

// rotated returns the instances beginning with another one for each member.
func (f *Fleet) rotated(i int) []string {
	n := i % len(f.cfg.Instances)
	return append(append([]string(nil), f.cfg.Instances[n:]...), f.cfg.Instances[:n]...)
}

func (f *Fleet) announceEndpoint(ctx context.Context, i int) {
	announcer := NewAnnouncer(f.rotated(i), f.cfg.Token)
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
	seen := make(map[string]bool)
	for _, c := range req.Msg.GetCommands() {
		w := f.workers[c.GetWorker()]
		if w == nil || seen[c.GetWorker()] {
			continue
		}
		seen[c.GetWorker()] = true
		if _, err := w.RunCommands(ctx, req); err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(&egretmuxv1.RunCommandsResponse{}), nil
}
