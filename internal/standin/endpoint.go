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
	Advertise                        string // address to announce; empty: Address
	Slots, Links                     int32
	Announcer                        *Announcer
	Journal                          *Journal
}

// Endpoint answers each request with what it saw of it. The query parameters
// work (a duration) and bytes (a length) shape the answer.
type Endpoint struct {
	cfg      EndpointConfig
	epoch    uint64
	leaving  atomic.Bool
	busy     atomic.Int32
	peak     atomic.Int32
	active   sync.WaitGroup
	running  sync.Map // ids of requests being worked on
	Requests atomic.Int64
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

// leaveTime is how long an endpoint goes on answering after it announced its leave.
const leaveTime = 2500 * time.Millisecond

// NewEndpoint returns an endpoint that Run starts.
func NewEndpoint(cfg EndpointConfig) *Endpoint {
	return &Endpoint{cfg: cfg, epoch: uint64(time.Now().UnixNano())}
}

// Run serves and announces until the context ends, then leaves gracefully.
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
	end, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	_ = e.cfg.Announcer.AnnounceEndpoint(end, e.report())
	<-end.Done()
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

// Peak returns the most requests served at a time.
func (e *Endpoint) Peak() int32 { return e.peak.Load() }

// ServeHTTP answers a request. Beyond its slots it refuses without running.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Done()
	id := r.Header.Get(link.RequestIDHeader)
	w.Header().Set(link.RequestIDHeader, id)
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		e.answerProbe(w, r)
		return
	}
	e.running.Store(id, true)
	defer e.running.Delete(id)
	busy := e.busy.Add(1)
	defer e.busy.Add(-1)
	if busy > e.cfg.Slots {
		e.cfg.Journal.Write(JournalEntry{What: "oversold", Who: e.cfg.ID, Request: id})
		w.Header().Set(link.NotRunHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.notePeak(busy)
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

// answerProbe tells whether a request is being worked on.
func (e *Endpoint) answerProbe(w http.ResponseWriter, r *http.Request) {
	state := "no"
	if _, ok := e.running.Load(r.Header.Get(link.QueryHeader)); ok {
		state = "yes"
	}
	w.Header().Set(link.RunningHeader, state)
}

func (e *Endpoint) notePeak(busy int32) {
	for {
		old := e.peak.Load()
		if busy <= old || e.peak.CompareAndSwap(old, busy) {
			return
		}
	}
}

func uintName(n uint64) string { return strconv.FormatUint(n, 10) }
