package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcomes of a request as its caller saw it.
const (
	OutcomeWhole   = "whole"   // the whole answer to this request
	OutcomeNotRun  = "not_run" // refused, proved not run
	OutcomeUnknown = "unknown" // refused, may have run
	OutcomeCut     = "cut"     // the connection or the answer ended early
	OutcomeUnsent  = "unsent"  // no connection to the instance
	OutcomeWrong   = "wrong"   // an answer to something else
)

// Customer is a caller's customer in a mixed load.
type Customer struct {
	Name, Token, Service string
}

// LoadConfig describes a mixed load of lookups, long answers and
// non-idempotent requests.
type LoadConfig struct {
	Instances          []string // callers addresses
	ReadinessAddresses []string // control addresses in the same order
	Customers          []Customer
	Rate               int // requests a second
	Length             time.Duration
	MaxInFlight        int
	Seed               uint64
	Journal            *Journal
}

// Shares of the load, in percent; the rest are lookups.
const (
	percentOnce     = 15
	percentLong     = 5
	longAnswerBytes = 300_000
	onceTries       = 20 // sendings of one non-idempotent request under its key
	onceRetryPause  = 500 * time.Millisecond
)

// Load runs a mixed load.
type Load struct {
	cfg    LoadConfig
	client *http.Client
	ready  []atomic.Bool
}

// NewLoad returns a load that Run starts.
func NewLoad(cfg LoadConfig) *Load {
	l := &Load{cfg: cfg, ready: make([]atomic.Bool, len(cfg.Instances))}
	for i := range l.ready {
		l.ready[i].Store(true)
	}
	l.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, IdleConnTimeout: time.Minute}}
	return l
}

// planned is one request before it is sent.
type planned struct {
	customer Customer
	method   string
	path     string
	key      string
	body     []byte
}

// Run sends the load.
func (l *Load) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.watchReadiness(ctx)
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 0))
	slots := make(chan struct{}, l.cfg.MaxInFlight)
	var wg sync.WaitGroup
	begin := time.Now()
	for n := range int(l.cfg.Length.Seconds() * float64(l.cfg.Rate)) {
		p, target := l.plan(rng, n), rng.IntN(len(l.cfg.Instances))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(begin.Add(time.Duration(n) * time.Second / time.Duration(l.cfg.Rate)))):
		}
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l.perform(p, target)
		})
	}
	wg.Wait()
}

func (l *Load) plan(rng *rand.Rand, n int) planned {
	p := planned{customer: l.cfg.Customers[rng.IntN(len(l.cfg.Customers))], method: http.MethodGet, body: []byte("request " + strconv.Itoa(n))}
	base := "/service/" + p.customer.Service
	switch kind := rng.IntN(100); {
	case kind < percentOnce:
		p.method = http.MethodPost
		p.path = base + "/once?work=5ms"
		p.key = p.customer.Name + "-" + strconv.FormatUint(l.cfg.Seed, 10) + "-" + strconv.Itoa(n)
	case kind < percentOnce+percentLong:
		p.path = base + "/long?work=2ms&bytes=" + strconv.Itoa(longAnswerBytes)
	default:
		p.path = base + "/lookup?work=" + strconv.Itoa(1+rng.IntN(5)) + "ms"
	}
	return p
}

// perform sends a request once, or a non-idempotent one under its key until
// its outcome is certain.
func (l *Load) perform(p planned, target int) {
	for try := range onceTries {
		outcome := l.send(p, l.target(target+try))
		if p.key == "" || outcome == OutcomeWhole || outcome == OutcomeWrong {
			return
		}
		time.Sleep(onceRetryPause)
	}
	l.cfg.Journal.Write(JournalEntry{What: "gave_up", Who: "caller", Key: p.key})
}

func (l *Load) target(n int) int {
	for i := range l.cfg.Instances {
		if j := (n + i) % len(l.cfg.Instances); l.ready[j].Load() {
			return j
		}
	}
	return n % len(l.cfg.Instances)
}

func (l *Load) send(p planned, target int) string {
	req, err := http.NewRequest(p.method, "http://"+l.cfg.Instances[target]+p.path, bytes.NewReader(p.body))
	if err != nil {
		return OutcomeUnsent
	}
	req.Header.Set("Authorization", "Bearer "+p.customer.Token)
	if p.key != "" {
		req.Header.Set("Idempotency-Key", p.key)
		req.GetBody = nil // the transport must not repeat it by itself
	}
	began := time.Now()
	resp, err := l.client.Do(req)
	outcome, id, detail := judge(p, resp, err)
	l.cfg.Journal.Write(JournalEntry{
		What: outcome, Who: "caller", Request: id, Key: p.key, Instance: l.cfg.Instances[target], Began: began, Detail: detail,
	})
	return outcome
}

// judge tells what became of a request.
func judge(p planned, resp *http.Response, err error) (outcome, id, detail string) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return OutcomeUnsent, "", err.Error()
	}
	if err != nil {
		return OutcomeCut, "", err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	id = resp.Header.Get("Egretmux-Request-Id")
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return OutcomeCut, id, err.Error()
	}
	if resp.StatusCode != http.StatusOK {
		refused := struct{ Ran, Kind string }{}
		if json.Unmarshal(data, &refused) == nil && refused.Ran == "no" {
			return OutcomeNotRun, id, refused.Kind
		}
		return OutcomeUnknown, id, refused.Kind
	}
	echo := Echo{}
	repeated := resp.Header.Get("Egretmux-Repeated") != ""
	if json.Unmarshal(data, &echo) != nil || echo.BodySum != crc32.ChecksumIEEE(p.body) || echo.Customer != p.customer.Name {
		return OutcomeWrong, id, "body of another request"
	}
	if echo.Request != id && !repeated {
		return OutcomeWrong, id, "answer to request " + echo.Request
	}
	return OutcomeWhole, echo.Request, ""
}

func (l *Load) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyPeriod * 5}
	var wg sync.WaitGroup
	for i, address := range l.cfg.ReadinessAddresses {
		wg.Go(func() {
			for ctx.Err() == nil {
				resp, err := client.Get("http://" + address + "/readyz")
				l.ready[i].Store(err == nil && resp.StatusCode == http.StatusOK)
				if err == nil {
					_ = resp.Body.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(readyPeriod):
				}
			}
		})
	}
	wg.Wait()
}
