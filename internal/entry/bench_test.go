package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/entry"
	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/relay"
	"github.com/egretmux/egretmux/internal/route"
)

const (
	benchEndpoints = 4
	benchRate      = 2000 // requests per second through one entry
	benchParallel  = 64
	benchPath      = "/service/s/lookup"
)

// serveLoopback serves a handler on loopback and returns its address.
func serveLoopback(b *testing.B, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

var benchAnswer = make([]byte, 512)

func benchBackends(b *testing.B) []string {
	var out []string
	for range benchEndpoints {
		out = append(out, serveLoopback(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(link.RequestIDHeader, r.Header.Get(link.RequestIDHeader))
			_, _ = w.Write(benchAnswer)
		})))
	}
	return out
}

// bareForwarder forwards requests with net/http alone, as a baseline.
type bareForwarder struct {
	backends []string
	next     atomic.Uint64
	client   http.Transport
}

// ServeHTTP implements http.Handler.
func (f *bareForwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", f.backends[f.next.Add(1)%uint64(len(f.backends))]
	resp, err := f.client.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// benchEntry returns an entry with granted slots on the backends, and a counter
// of the reports that it requested.
func benchEntry(b *testing.B, backends []string) (http.Handler, *atomic.Int64) {
	reportRequests := new(atomic.Int64)
	pool := link.NewPool(link.Dial)
	b.Cleanup(pool.Close)
	table := route.NewTable(route.Config{MaxQueued: 2048, Links: pool, RequestReport: func() { reportRequests.Add(1) }, Logger: zerolog.Nop()})
	var states []*egretmuxv1.EndpointState
	for i, address := range backends {
		states = append(states, &egretmuxv1.EndpointState{
			Id: fmt.Sprint(i), Service: "s", Address: address, Epoch: 1, Slots: 2 * benchParallel, Links: 4 * benchParallel, Grant: 1,
		})
	}
	table.Update(states)
	book := contract.NewBook()
	book.Apply(1, []*egretmuxv1.ContractVersion{{Customer: "dixie", CellVersion: 1, Text: testContract}})
	lease := relay.NewLease(nil)
	lease.Extend(lease.Now() + time.Hour)
	mux := http.NewServeMux()
	mux.Handle("/service/{name}/{rest...}", entry.New(entry.Config{
		Instance: "i", Lease: lease, Book: book, Routes: table, Links: pool, MaxBodyBytes: 1 << 20, MaxInFlight: 4096, BufferBytes: 64 << 10, Logger: zerolog.Nop(),
	}))
	return mux, reportRequests
}

// sendLoad sends n requests at the given rate per second, or, with rate 0, as
// fast as they are answered. It returns the latencies in microseconds.
func sendLoad(b *testing.B, address string, n, rate int) *hdrhistogram.Histogram {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchParallel, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	total := hdrhistogram.New(1, 60_000_000, 3)
	var next atomic.Int64
	var workers sync.WaitGroup
	begin := time.Now()
	for range benchParallel {
		workers.Go(func() {
			latencies := hdrhistogram.New(1, 60_000_000, 3)
			for {
				i := int(next.Add(1))
				if i > n {
					break
				}
				due := time.Now()
				if rate > 0 {
					due = begin.Add(time.Duration(i) * time.Second / time.Duration(rate))
					time.Sleep(time.Until(due))
					due = time.Now() // excludes the sleep's overshoot from the latency
				}
				if err := benchCall(client, address); err != nil {
					b.Error(err)
				}
				_ = latencies.RecordValue(time.Since(due).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(latencies)
		})
	}
	workers.Wait()
	return total
}

func benchCall(client *http.Client, address string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+benchPath, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n != int64(len(benchAnswer))) {
		err = fmt.Errorf("status %d, %d bytes", resp.StatusCode, n)
	}
	return err
}

// BenchmarkRequest compares an entry with a bare net/http forwarder and with
// the endpoint itself, at a steady rate and as fast as possible.
func BenchmarkRequest(b *testing.B) {
	for _, rate := range []int{benchRate, 0} {
		for _, kind := range []string{"direct", "bare", "egretmux"} {
			b.Run(fmt.Sprintf("rate=%d/%s", rate, kind), func(b *testing.B) {
				backends := benchBackends(b)
				address := backends[0]
				reportRequests := new(atomic.Int64)
				switch kind {
				case "bare":
					address = serveLoopback(b, &bareForwarder{backends: backends, client: http.Transport{MaxIdleConnsPerHost: benchParallel, DisableCompression: true}})
				case "egretmux":
					var h http.Handler
					h, reportRequests = benchEntry(b, backends)
					address = serveLoopback(b, h)
				}
				sendLoad(b, address, 2*benchParallel, 0)
				reportRequests.Store(0)
				b.ResetTimer()
				began := time.Now()
				h := sendLoad(b, address, b.N, rate)
				b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "req/s")
				b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
				b.ReportMetric(float64(reportRequests.Load()), "reports")
			})
		}
	}
}

// BenchmarkIdleLinks measures the memory and goroutines of idle connections.
func BenchmarkIdleLinks(b *testing.B) {
	const links = 200
	address := serveLoopback(b, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for range b.N {
		pool := link.NewPool(link.Dial)
		pool.SetLimit(address, links)
		var open []*link.Link
		before := heapBytes()
		goroutines := runtime.NumGoroutine()
		for range links {
			l, err := pool.Get(b.Context(), address, false)
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, l)
		}
		for _, l := range open {
			pool.Put(address, l)
		}
		b.ReportMetric(float64(heapBytes()-before)/links, "bytes/link+server")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/links, "goroutines/link+server")
		pool.Close()
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
