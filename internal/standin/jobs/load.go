package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Traffic is one kind of job in a load.
type Traffic struct {
	Name    string
	Rate    float64 // jobs a second
	Tasks   int     // of each job
	CPU     int64   // thousandths of a core, of each task
	RunTime time.Duration
}

// ParseTraffic reads NAME:RATE:TASKS:CPU:LENGTH.
func ParseTraffic(s string) (Traffic, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 5 {
		return Traffic{}, errors.Newf("%q is not NAME:RATE:TASKS:CPU:LENGTH", s)
	}
	t := Traffic{Name: parts[0]}
	if _, err := fmt.Sscan(strings.Join(parts[1:4], " "), &t.Rate, &t.Tasks, &t.CPU); err != nil {
		return Traffic{}, errors.Wrapf(err, "%q: rate, tasks and cpu are numbers", s)
	}
	var err error
	if t.RunTime, err = time.ParseDuration(parts[4]); err != nil {
		return Traffic{}, errors.Wrapf(err, "%q: the last part is a duration", s)
	}
	return t, nil
}

// LoadConfig describes a load on a cell.
type LoadConfig struct {
	Controls, Callers []string
	Host              string
	AdviceAddress     string // where the advice service listens; empty: none
	Runners           int
	RunnerCPU         int64
	Traffic           []Traffic
	Length            time.Duration
	Seed              uint64
}

const (
	pool     = "pool"           // of all runners of a load
	cellTime = 20 * time.Second // for a cell to form and take a configuration
)

// Load plays runners, advice service, operator and clients, and returns a line
// for each kind of job and one for each broken promise.
func Load(ctx context.Context, cfg LoadConfig) ([]string, error) {
	ledger := NewLedger()
	if cfg.AdviceAddress != "" {
		server := &http.Server{Addr: cfg.AdviceAddress, Handler: &Adviser{CallTime: time.Millisecond}, ReadHeaderTimeout: time.Second}
		go func() { _ = server.ListenAndServe() }() // without it the jobs do not start, which the result shows
		defer func() { _ = server.Close() }()
	}
	operator := &Operator{Controls: cfg.Controls}
	ready, cancel := context.WithTimeout(ctx, cellTime)
	defer cancel()
	if status := operator.Put(ready, cfg.catalogue()); status != http.StatusOK {
		return nil, errors.Newf("the configuration was answered with %d", status)
	}
	for n := range cfg.Runners {
		r, err := StartRunner(RunnerConfig{
			ID: fmt.Sprintf("i-%d", n), Pool: pool, Zone: "z0", CPU: cfg.RunnerCPU, MemMB: 1 << 16,
			Controls: cfg.Controls, Ledger: ledger, Seed: cfg.Seed + uint64(n),
		})
		if err != nil {
			return nil, err
		}
		defer r.Crash()
	}
	results := make([]string, len(cfg.Traffic))
	var kinds sync.WaitGroup
	for k, t := range cfg.Traffic {
		kinds.Go(func() { results[k] = cfg.play(ctx, ledger, k, t) })
	}
	kinds.Wait()
	return append(results, ledger.Violations()...), nil
}

func (cfg LoadConfig) prefix(kind int) string { return fmt.Sprintf("/k%d/", kind) }

// catalogue has one queue for each kind of job.
func (cfg LoadConfig) catalogue() map[string]any {
	out := Config(1, cfg.Host, cfg.prefix(0), pool, 3)
	first := out["routes"].([]map[string]any)[0]
	var queues []map[string]any
	for k, t := range cfg.Traffic {
		q := make(map[string]any)
		for name, value := range first {
			q[name] = value
		}
		q["name"], q["path_prefix"], q["priority"] = t.Name, cfg.prefix(k), k
		if cfg.AdviceAddress != "" {
			q["advice"] = map[string]any{"decide_ms": 1.0, "per_worker_ms": 0.0, "validity_ms": 1500}
		}
		queues = append(queues, q)
	}
	out["routes"] = queues
	return out
}

// play sends jobs of one kind and follows each to its end.
func (cfg LoadConfig) play(ctx context.Context, ledger *Ledger, kind int, t Traffic) string {
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(kind)))
	patience, cancel := context.WithTimeout(ctx, cfg.Length+10*t.RunTime+30*time.Second)
	defer cancel()
	var mu sync.Mutex
	var accepted, completed []time.Duration
	var following sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < cfg.Length && ctx.Err() == nil; n++ {
		following.Go(func() {
			c := &Client{Addresses: cfg.Callers, Host: cfg.Host, Prefix: cfg.prefix(kind), Ledger: ledger, next: n}
			j := &Job{ID: JobID(cfg.Seed+uint64(kind), n), Spec: "run", Attempts: 3, Steps: []Step{
				{Count: t.Tasks, CPU: t.CPU, MemMB: 16, Ms: t.RunTime.Milliseconds()},
			}}
			sent := time.Now()
			if !c.Submit(patience, j) {
				return
			}
			took := time.Since(sent)
			time.Sleep(t.RunTime)
			c.Await(patience, j, "completed")
			mu.Lock()
			defer mu.Unlock()
			accepted, completed = append(accepted, took), append(completed, time.Since(sent)-t.RunTime)
		})
		time.Sleep(time.Duration(random.ExpFloat64() / t.Rate * float64(time.Second)))
	}
	following.Wait()
	return fmt.Sprintf("%s jobs=%d accepted_p50=%v accepted_p99=%v beyond_run_time_p50=%v beyond_run_time_p99=%v", t.Name, len(completed),
		quantile(accepted, 0.5), quantile(accepted, 0.99), quantile(completed, 0.5), quantile(completed, 0.99))
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Round(time.Millisecond / 10)
}
