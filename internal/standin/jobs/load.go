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
	Rate    float64       // jobs per second
	Tasks   int           // tasks in each job
	CPU     int64         // thousandths of a core for each task
	RunTime time.Duration // run time of each task
}

// ParseTraffic parses NAME:RATE:TASKS:CPU:LENGTH.
func ParseTraffic(s string) (Traffic, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 5 {
		return Traffic{}, errors.Newf("%q is not NAME:RATE:TASKS:CPU:LENGTH", s)
	}
	traffic := Traffic{Name: parts[0]}
	if _, err := fmt.Sscan(strings.Join(parts[1:4], " "), &traffic.Rate, &traffic.Tasks, &traffic.CPU); err != nil {
		return Traffic{}, errors.Wrapf(err, "%q: rate, tasks and cpu are numbers", s)
	}
	var err error
	if traffic.RunTime, err = time.ParseDuration(parts[4]); err != nil {
		return Traffic{}, errors.Wrapf(err, "%q: the last part is a duration", s)
	}
	return traffic, nil
}

// LoadConfig describes a load of jobs on a cell.
type LoadConfig struct {
	Controls, Callers []string // addresses of instances, for operators and for clients
	Host              string
	AdviceAddress     string // listening address of the advice service; empty: none
	Runners           int
	RunnerCPU         int64 // thousandths of a core of each runner
	Traffic           []Traffic
	Length            time.Duration
	Seed              uint64
}

const (
	poolName         = "pool"           // pool of all runners of a load
	cellStartTimeout = 20 * time.Second // time for a cell to elect a leader and accept a configuration
)

// Load runs a load with its runners, advice service, operator and clients. It
// returns a line of results for each kind of job and one for each violation.
func Load(ctx context.Context, cfg LoadConfig) ([]string, error) {
	ledger := NewLedger()
	if cfg.AdviceAddress != "" {
		server := &http.Server{Addr: cfg.AdviceAddress, Handler: &Adviser{CallTime: time.Millisecond}, ReadHeaderTimeout: time.Second}
		go func() { _ = server.ListenAndServe() }() // if it fails, no job starts, which the results show
		defer func() { _ = server.Close() }()
	}
	operator := &Operator{Controls: cfg.Controls}
	startCtx, cancel := context.WithTimeout(ctx, cellStartTimeout)
	defer cancel()
	if status := operator.Put(startCtx, cfg.configuration()); status != http.StatusOK {
		return nil, errors.Newf("the configuration was answered with %d", status)
	}
	for n := range cfg.Runners {
		r, err := StartRunner(RunnerConfig{
			ID: fmt.Sprintf("i-%d", n), Pool: poolName, Zone: "z0", CPU: cfg.RunnerCPU, MemMB: 1 << 16,
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
		kinds.Go(func() { results[k] = cfg.runTraffic(ctx, ledger, k, t) })
	}
	kinds.Wait()
	return append(results, ledger.Violations()...), nil
}

func (cfg LoadConfig) pathPrefix(index int) string { return fmt.Sprintf("/k%d/", index) }

// configuration returns a configuration with one queue for each kind of job.
func (cfg LoadConfig) configuration() map[string]any {
	config := Config(1, cfg.Host, cfg.pathPrefix(0), poolName, 3)
	template := config["routes"].([]map[string]any)[0]
	var queues []map[string]any
	for k, t := range cfg.Traffic {
		queue := make(map[string]any)
		for name, value := range template {
			queue[name] = value
		}
		queue["name"], queue["path_prefix"], queue["priority"] = t.Name, cfg.pathPrefix(k), k
		if cfg.AdviceAddress != "" {
			queue["advice"] = map[string]any{"decide_ms": 1.0, "per_worker_ms": 0.0, "validity_ms": 1500}
		}
		queues = append(queues, queue)
	}
	config["routes"] = queues
	return config
}

// runTraffic submits jobs of one kind, waits for each to complete and returns a
// line of results.
func (cfg LoadConfig) runTraffic(ctx context.Context, ledger *Ledger, index int, traffic Traffic) string {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(index)))
	clientCtx, cancel := context.WithTimeout(ctx, cfg.Length+10*traffic.RunTime+30*time.Second)
	defer cancel()
	var mu sync.Mutex
	var acceptTimes, overheads []time.Duration
	var clients sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < cfg.Length && ctx.Err() == nil; n++ {
		clients.Go(func() {
			c := &Client{Addresses: cfg.Callers, Host: cfg.Host, Prefix: cfg.pathPrefix(index), Ledger: ledger, nextAddress: n}
			j := &Job{ID: JobID(cfg.Seed+uint64(index), n), Spec: "run", Attempts: 3, Steps: []Step{
				{Count: traffic.Tasks, CPU: traffic.CPU, MemMB: 16, Ms: traffic.RunTime.Milliseconds()},
			}}
			sent := time.Now()
			if !c.Submit(clientCtx, j) {
				return
			}
			acceptTime := time.Since(sent)
			time.Sleep(traffic.RunTime)
			c.Await(clientCtx, j, "completed")
			mu.Lock()
			defer mu.Unlock()
			acceptTimes, overheads = append(acceptTimes, acceptTime), append(overheads, time.Since(sent)-traffic.RunTime)
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / traffic.Rate * float64(time.Second)))
	}
	clients.Wait()
	return fmt.Sprintf("%s jobs=%d accepted_p50=%v accepted_p99=%v beyond_run_time_p50=%v beyond_run_time_p99=%v", traffic.Name, len(overheads),
		quantile(acceptTimes, 0.5), quantile(acceptTimes, 0.99), quantile(overheads, 0.5), quantile(overheads, 0.99))
}

func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[int(q*float64(len(durations)-1))].Round(time.Millisecond / 10)
}
