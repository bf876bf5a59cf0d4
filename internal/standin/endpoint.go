package standin

import (
	"context"
	"encoding/json"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/link"
)

// EndpointConfig describes a stand-in endpoint.
type EndpointConfig struct {
	ID, Service, Address, Datacentre string
	Advertise                        string // announced address; empty: Address
	Slots, Links                     int32
	Announcer                        *Announcer
	Journal                          *Journal
}

// Endpoint answers each request with an Echo of it. The query parameter work (a
// duration) delays the answer, and bytes (a length) pads it.
type Endpoint struct {
	cfg        EndpointConfig
	epoch      uint64
	leaving    atomic.Bool
	busy       atomic.Int32
	peakBusy   atomic.Int32
	active     sync.WaitGroup
	inProgress sync.Map // ids of requests in progress
	Requests   atomic.Int64
}

// Echo is the body of an endpoint's answer.
type Echo struct {
	Endpoint string `json:"endpoint"`
	Request  string `json:"request"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Customer string `json:"customer"`
	BodySum  uint32 `json:"body_sum"`
	Padding  string `json:"padding,omitempty"`
}

// leaveGrace is how long an endpoint still serves requests after it has announced
// that it leaves.
const leaveGrace = 2500 * time.Millisecond

// NewEndpoint returns an endpoint that Run starts.
func NewEndpoint(cfg EndpointConfig) *Endpoint {
	return &Endpoint{cfg: cfg, epoch: uint64(time.Now().UnixNano())}
}

// Run serves requests and announces the endpoint until the context ends, then
// drains: it announces that it leaves and finishes the requests in progress.
func (e *Endpoint) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.cfg.Address)
	if err != nil {
		return err
	}
	e.cfg.Address = listener.Addr().String()
	if e.cfg.Advertise == "" {
		e.cfg.Advertise = e.cfg.Address
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: announceTimeout, DisableGeneralOptionsHandler: true}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		_ = e.cfg.Announcer.AnnounceEndpoint(ctx, e.report())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	e.leaving.Store(true)
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveGrace)
	defer cancel()
	_ = e.cfg.Announcer.AnnounceEndpoint(leaveCtx, e.report())
	<-leaveCtx.Done()
	e.active.Wait()
	return nil
}

func (e *Endpoint) report() *egretmuxv1.EndpointReport {
	return &egretmuxv1.EndpointReport{
		Id: e.cfg.ID, Service: e.cfg.Service, Address: e.cfg.Advertise, Datacentre: e.cfg.Datacentre,
		Slots: e.cfg.Slots, Links: e.cfg.Links, Leaving: e.leaving.Load(), Epoch: e.epoch,
		TellsBusy: true, Busy: min(e.busy.Load(), e.cfg.Slots),
	}
}

// Peak returns the largest number of concurrent requests so far.
func (e *Endpoint) Peak() int32 { return e.peakBusy.Load() }

// ServeHTTP answers a request, or refuses to run it when all slots are busy.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Done()
	id := r.Header.Get(link.RequestIDHeader)
	w.Header().Set(link.RequestIDHeader, id)
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		e.answerProbe(w, r)
		return
	}
	e.inProgress.Store(id, true)
	defer e.inProgress.Delete(id)
	busy := e.busy.Add(1)
	defer e.busy.Add(-1)
	if busy > e.cfg.Slots {
		e.cfg.Journal.Write(JournalEntry{What: "oversold", Who: e.cfg.ID, Request: id})
		w.Header().Set(link.NotRunHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.recordPeak(busy)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.Requests.Add(1)
	e.cfg.Journal.Write(JournalEntry{What: "request_ran", Who: e.cfg.ID, Request: id, Key: r.Header.Get("Idempotency-Key"), Detail: r.Method + " " + r.URL.Path})
	if work, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		time.Sleep(work)
	}
	echo := Echo{
		Endpoint: e.cfg.ID, Request: id, Method: r.Method, Path: r.URL.Path,
		Customer: r.Header.Get("Egretmux-Customer"), BodySum: crc32.ChecksumIEEE(body),
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		echo.Padding = strings.Repeat("x", n)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(echo)
}

// answerProbe answers whether the request named in the probe is in progress.
func (e *Endpoint) answerProbe(w http.ResponseWriter, r *http.Request) {
	answer := "no"
	if _, ok := e.inProgress.Load(r.Header.Get(link.QueryHeader)); ok {
		answer = "yes"
	}
	w.Header().Set(link.RunningHeader, answer)
}

func (e *Endpoint) recordPeak(busy int32) {
	for {
		old := e.peakBusy.Load()
		if busy <= old || e.peakBusy.CompareAndSwap(old, busy) {
			return
		}
	}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
