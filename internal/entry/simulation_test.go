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

// TestMain sets a fixed seed and size of the property tests unless a seed is given.
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
	endpointSlots = 2 // granted on each endpoint to each entry
	endpointLinks = 6
	credential    = "secret"
)

var testContract = fmt.Sprintf(`[contract]
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

// behaviour is how an endpoint handles the first attempts of a request. The
// kinds are:
//   - "": answers;
//   - refuse: refuses the request without running it;
//   - fail: runs it and answers with status 500;
//   - hang: answers a minute late;
//   - cut: closes the connection after half of the answer;
//   - cross: answers with another request's ID;
//   - twice: sends the answer twice on the connection.
type behaviour struct {
	kind     string // see above
	attempts int    // number of attempts that the kind applies to
	work     time.Duration
	bytes    int
}

// scriptedEndpoint is an endpoint that follows the planned behaviours and counts
// what it runs.
type scriptedEndpoint struct {
	simulation *simulation
	name       string

	mu            sync.Mutex
	running       map[string]bool
	peak, current int
}

// ServeHTTP answers probes, and runs requests even when their connection is closed.
func (e *scriptedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(link.RequestIDHeader)
	w.Header().Set(link.RequestIDHeader, id)
	if r.Method == http.MethodOptions {
		e.mu.Lock()
		defer e.mu.Unlock()
		state := "no"
		if e.running[r.Header.Get(link.QueryHeader)] {
			state = "yes"
		}
		w.Header().Set(link.RunningHeader, state)
		return
	}
	name := r.URL.Query().Get("op")
	b := e.simulation.nextBehaviour(name)
	if b.kind == "refuse" {
		w.Header().Set(link.NotRunHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.begin(id)
	e.simulation.countRun(name)
	limit, _ := strconv.Atoi(r.Header.Get(entry.DeadlineHeader))
	time.Sleep(min(b.work, time.Duration(limit)*time.Millisecond))
	e.end(id)
	e.answer(w, name, b)
}

func (e *scriptedEndpoint) begin(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id] = true
	e.current++
	e.peak = max(e.peak, e.current)
}

func (e *scriptedEndpoint) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.current--
}

func (e *scriptedEndpoint) answer(w http.ResponseWriter, name string, b behaviour) {
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

// simulation connects entries and endpoints over a network with injected faults,
// and counts the runs of each request.
type simulation struct {
	network   *standin.Network
	entries   []*entry.Entry
	tables    []*route.Table
	pools     []*link.Pool
	books     []*contract.Book
	lease     *relay.Lease
	attempts  *fakeAttempts
	endpoints []*scriptedEndpoint
	servers   []*http.Server
	stop      context.CancelFunc

	mu         sync.Mutex
	behaviours map[string]*behaviour
	runs       map[string]int
}

func (s *simulation) nextBehaviour(name string) behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	planned := s.behaviours[name]
	if planned == nil {
		return behaviour{}
	}
	b := *planned
	if planned.attempts <= 0 {
		b.kind = ""
	}
	planned.attempts--
	return b
}

func (s *simulation) countRun(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[name]++
}

func newSimulation(entries, endpoints int) *simulation {
	began := time.Now()
	simulatedTime := func() time.Duration { return time.Since(began) }
	s := &simulation{
		network: standin.NewNetwork(), lease: relay.NewLease(simulatedTime), attempts: &fakeAttempts{byKey: make(map[string]*egretmuxv1.RequestRecord)},
		behaviours: make(map[string]*behaviour), runs: make(map[string]int),
	}
	s.lease.Extend(s.lease.Now() + time.Hour)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	var states []*egretmuxv1.EndpointState
	for i := range endpoints {
		name := fmt.Sprintf("e%d", i)
		endpoint := &scriptedEndpoint{simulation: s, name: name, running: make(map[string]bool)}
		server := &http.Server{Handler: endpoint, DisableGeneralOptionsHandler: true}
		listener := s.network.Listen(name)
		go func() { _ = server.Serve(listener) }()
		s.endpoints, s.servers = append(s.endpoints, endpoint), append(s.servers, server)
		states = append(states, &egretmuxv1.EndpointState{Id: name, Service: "s", Address: name, Epoch: 1, Slots: endpointSlots, Links: endpointLinks, Grant: 1})
	}
	for i := range entries {
		s.addEntry(ctx, i, states)
	}
	return s
}

func (s *simulation) addEntry(ctx context.Context, i int, states []*egretmuxv1.EndpointState) {
	pool := link.NewPool(func(ctx context.Context, address string) (*link.Link, error) {
		conn, err := s.network.Dial(ctx, address)
		if err != nil {
			return nil, refusal.New(refusal.LinkFailed, "", "no connection").WithCause(err).WithRetryAfter(time.Second)
		}
		return link.New(conn), nil
	})
	go pool.Run(ctx)
	table := route.NewTable(route.Config{MaxQueued: 16, Links: pool, Logger: zerolog.Nop()})
	table.Update(states)
	book := contract.NewBook()
	book.Apply(1, []*egretmuxv1.ContractVersion{{Customer: "dixie", CellVersion: 1, Text: testContract}})
	s.books = append(s.books, book)
	s.pools, s.tables = append(s.pools, pool), append(s.tables, table)
	s.entries = append(s.entries, entry.New(entry.Config{
		Instance: fmt.Sprintf("i%d", i), Lease: s.lease, Book: book, Routes: table, Links: pool, Attempts: s.attempts,
		MaxBodyBytes: 1 << 16, MaxInFlight: 100, BufferBytes: 1 << 10, Logger: zerolog.Nop(),
	}))
}

func (s *simulation) close() {
	s.stop()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, pool := range s.pools {
		pool.Close()
	}
}

// outcome is the answer that a caller got.
type outcome struct {
	status     int
	body       string
	ran        string // of a refusal: no or unknown
	kind       string
	retryAfter string
	header     http.Header
	cut        bool
	duration   time.Duration
}

// call sends a request through an entry and waits for its final answer.
func (s *simulation) call(ctx context.Context, entryIndex int, req *http.Request) (out outcome) {
	began := time.Now()
	recorder := httptest.NewRecorder()
	defer func() {
		out.duration = time.Since(began)
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			out.cut = true
		}
	}()
	mux := http.NewServeMux()
	mux.Handle("/service/{name}/{rest...}", s.entries[entryIndex])
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	mux.ServeHTTP(recorder, req.WithContext(ctx))
	out = outcome{status: recorder.Code, body: recorder.Body.String(), header: recorder.Header(), retryAfter: recorder.Header().Get("Retry-After")}
	refused := struct{ Kind, Ran string }{}
	if json.Unmarshal(recorder.Body.Bytes(), &refused) == nil {
		out.kind, out.ran = refused.Kind, refused.Ran
	}
	return out
}

// fakeAttempts records attempts in memory with the rules of the replicated state.
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
