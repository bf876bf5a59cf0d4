package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/entry"
	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/relay"
	"github.com/egretmux/egretmux/internal/route"
	"github.com/egretmux/egretmux/internal/standin"
)

// TestMain fixes the seed and the size of the random tests unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261203", "rapid.checks": "300", "rapid.steps": "30", "rapid.nofailfile": "true"}
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		for name, value := range fixed {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	worldSlots = 2 // of each endpoint for each entry
	worldLinks = 6
	credential = "secret"
)

var worldContract = fmt.Sprintf(`[contract]
customer = dixie
share = 0.5
credential_sha256 = %s
[quota]
in_flight = 64
[class.lookup]
answer = at-once
deadline = 2s
queue = 8
paths = /lookup
[class.rollup]
answer = can-wait
at_most_once = yes
deadline = 20s
queue = 8
paths = /rollup
[class.renewal]
answer = at-once
at_most_once = yes
deadline = 5s
queue = 8
paths = /renewal
`, func() string { s := sha256.Sum256([]byte(credential)); return hex.EncodeToString(s[:]) }())

// behaviour is what an endpoint does with a request's first attempts.
type behaviour struct {
	kind  string // "", refuse, fail, hang, cut, cross, twice
	tries int    // attempts that it applies to
	work  time.Duration
	bytes int
}

// scripted is an endpoint that misbehaves as told and counts what it runs.
type scripted struct {
	world *world
	name  string

	mu            sync.Mutex
	running       map[string]bool
	peak, current int
}

// ServeHTTP answers probes, and runs requests even when their connection is gone.
func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(link.RequestIDHeader)
	w.Header().Set(link.RequestIDHeader, id)
	if r.Method == http.MethodOptions {
		s.mu.Lock()
		defer s.mu.Unlock()
		state := "no"
		if s.running[r.Header.Get(link.QueryHeader)] {
			state = "yes"
		}
		w.Header().Set(link.RunningHeader, state)
		return
	}
	name := r.URL.Query().Get("op")
	b := s.world.behaviour(name)
	if b.kind == "refuse" {
		w.Header().Set(link.NotRunHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.begin(id)
	s.world.ran(name)
	limit, _ := strconv.Atoi(r.Header.Get(entry.DeadlineHeader))
	time.Sleep(min(b.work, time.Duration(limit)*time.Millisecond))
	s.end(id)
	s.answer(w, name, b)
}

func (s *scripted) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = true
	s.current++
	s.peak = max(s.peak, s.current)
}

func (s *scripted) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
	s.current--
}

func (s *scripted) answer(w http.ResponseWriter, name string, b behaviour) {
	text := name + ":" + strings.Repeat("x", b.bytes)
	switch b.kind {
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
	case "hang":
		time.Sleep(time.Minute)
	case "cut":
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = w.Write([]byte(text[:len(text)/2]))
		panic(http.ErrAbortHandler)
	case "cross":
		w.Header().Set(link.RequestIDHeader, "other")
		text = "other:"
	case "twice":
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", link.RequestIDHeader, w.Header().Get(link.RequestIDHeader), len(text), text)
		_, _ = buffer.WriteString(one + one)
		_ = buffer.Flush()
		_ = conn.Close()
		return
	}
	_, _ = w.Write([]byte(text))
}

// world is entries and endpoints over faulty connections, and what happened.
type world struct {
	network   *standin.Network
	entries   []*entry.Entry
	tables    []*route.Table
	pools     []*link.Pool
	books     []*contract.Book
	lease     *relay.Lease
	attempts  *fakeAttempts
	endpoints []*scripted
	servers   []*http.Server
	stop      context.CancelFunc

	mu    sync.Mutex
	plans map[string]*behaviour
	runs  map[string]int
}

func (w *world) behaviour(name string) behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.plans[name]
	if p == nil {
		return behaviour{}
	}
	b := *p
	if p.tries <= 0 {
		b.kind = ""
	}
	p.tries--
	return b
}

func (w *world) ran(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[name]++
}

func newWorld(entries, endpoints int) *world {
	w := &world{
		network: standin.NewNetwork(), lease: relay.NewLease(), attempts: &fakeAttempts{byKey: make(map[string]*egretmuxv1.RequestRecord)},
		plans: make(map[string]*behaviour), runs: make(map[string]int),
	}
	w.lease.Extend(time.Now().Add(time.Hour))
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	var states []*egretmuxv1.EndpointState
	for i := range endpoints {
		name := fmt.Sprintf("e%d", i)
		s := &scripted{world: w, name: name, running: make(map[string]bool)}
		server := &http.Server{Handler: s, DisableGeneralOptionsHandler: true}
		listener := w.network.Listen(name)
		go func() { _ = server.Serve(listener) }()
		w.endpoints, w.servers = append(w.endpoints, s), append(w.servers, server)
		states = append(states, &egretmuxv1.EndpointState{Id: name, Service: "s", Address: name, Epoch: 1, Slots: worldSlots, Links: worldLinks, Grant: 1})
	}
	for i := range entries {
		w.addEntry(ctx, i, states)
	}
	return w
}

func (w *world) addEntry(ctx context.Context, i int, states []*egretmuxv1.EndpointState) {
	pool := link.NewPool(func(ctx context.Context, address string) (*link.Link, error) {
		conn, err := w.network.Dial(ctx, address)
		if err != nil {
			return nil, refusal.New(refusal.LinkFailed, "", "no connection").Because(err).After(time.Second)
		}
		return link.New(conn), nil
	})
	go pool.Run(ctx)
	table := route.NewTable(route.Config{Limit: 16, Links: pool, Logger: zerolog.Nop()})
	table.Update(states)
	book := contract.NewBook()
	book.Apply(1, []*egretmuxv1.ContractVersion{{Customer: "dixie", CellVersion: 1, Text: worldContract}})
	w.books = append(w.books, book)
	w.pools, w.tables = append(w.pools, pool), append(w.tables, table)
	w.entries = append(w.entries, entry.New(entry.Config{
		Instance: fmt.Sprintf("i%d", i), Lease: w.lease, Book: book, Routes: table, Links: pool, Attempts: w.attempts,
		MaxBodyBytes: 1 << 16, MaxInFlight: 100, BufferBytes: 1 << 10, Logger: zerolog.Nop(),
	}))
}

func (w *world) close() {
	w.stop()
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, p := range w.pools {
		p.Close()
	}
}

// outcome is what a caller saw.
type outcome struct {
	status int
	body   string
	ran    string // of a refusal
	kind   string
	after  string // Retry-After
	header http.Header
	cut    bool
	took   time.Duration
}

// call sends a request through an entry and waits for its final answer.
func (w *world) call(ctx context.Context, through int, req *http.Request) (out outcome) {
	began := time.Now()
	recorder := httptest.NewRecorder()
	defer func() {
		out.took = time.Since(began)
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			out.cut = true
		}
	}()
	mux := http.NewServeMux()
	mux.Handle("/service/{name}/{rest...}", w.entries[through])
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	mux.ServeHTTP(recorder, req.WithContext(ctx))
	out = outcome{status: recorder.Code, body: recorder.Body.String(), header: recorder.Header(), after: recorder.Header().Get("Retry-After")}
	refused := struct{ Kind, Ran string }{}
	if json.Unmarshal(recorder.Body.Bytes(), &refused) == nil {
		out.kind, out.ran = refused.Kind, refused.Ran
	}
	return out
}

// fakeAttempts keeps attempts as the replicated state does.
type fakeAttempts struct {
	mu    sync.Mutex
	byKey map[string]*egretmuxv1.RequestRecord
	down  bool
}

// Begin implements entry.Attempts.
func (f *fakeAttempts) Begin(_ context.Context, r *egretmuxv1.RequestRecord) (*egretmuxv1.RequestRecord, bool, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, false, false, refusal.New(refusal.NoLeader, "", "no leader")
	}
	old := f.byKey[r.GetKey()]
	if old != nil && old.GetBodyHash() != r.GetBodyHash() {
		return old, false, true, nil
	}
	if old != nil && old.GetPhase() != egretmuxv1.RequestPhase_REQUEST_PHASE_NOT_RUN {
		return old, false, false, nil
	}
	next := &egretmuxv1.RequestRecord{Key: r.GetKey(), BodyHash: r.GetBodyHash(), Attempt: r.GetAttempt(), Phase: egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN}
	f.byKey[r.GetKey()] = next
	return next, true, false, nil
}

// End implements entry.Attempts.
func (f *fakeAttempts) End(_ context.Context, r *egretmuxv1.RequestRecord) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return refusal.New(refusal.NoLeader, "", "no leader")
	}
	if old := f.byKey[r.GetKey()]; old.GetAttempt() == r.GetAttempt() && old.GetPhase() == egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN {
		f.byKey[r.GetKey()] = &egretmuxv1.RequestRecord{
			Key: r.GetKey(), BodyHash: r.GetBodyHash(), Attempt: r.GetAttempt(), Phase: r.GetPhase(),
			Status: r.GetStatus(), Answer: r.GetAnswer(), AnswerKept: r.GetAnswerKept(),
		}
	}
	return nil
}

func (f *fakeAttempts) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}
