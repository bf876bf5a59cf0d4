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

// Outcomes of a request, as its caller saw them.
const (
	OutcomeWhole   = "whole"   // the answer to this request arrived whole
	OutcomeNotRun  = "not_run" // refused, proven not to have run
	OutcomeUnknown = "unknown" // refused, may have run
	OutcomeCut     = "cut"     // the connection or the answer ended early
	OutcomeUnsent  = "unsent"  // no connection to the instance
	OutcomeWrong   = "wrong"   // the answer belongs to another request
)

// Customer is a customer of a mixed load and the service that it calls.
type Customer struct {
	Name, Token, Service string
}

// LoadConfig describes a mixed load of lookups, long answers and
// non-idempotent requests.
type LoadConfig struct {
	Instances          []string // callers addresses
	ReadinessAddresses []string // control addresses in the order of Instances
	Customers          []Customer
	Rate               int // requests a second
	Length             time.Duration
	MaxInFlight        int
	Seed               uint64
	Journal            *Journal
}

const (
	// Shares of the load; the rest are lookups.
	percentNonIdempotentRequests = 15
	percentLongAnswers           = 5

	longAnswerBytes = 300_000
	maxSends        = 20 // of one non-idempotent request under its key
	resendPause     = 500 * time.Millisecond
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

// plannedRequest is a request of the load before it is sent.
type plannedRequest struct {
	customer Customer
	method   string
	path     string
	key      string
	body     []byte
}

// Run sends the load and waits until its last request has ended.
func (l *Load) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.watchReadiness(ctx)
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 0))
	inFlight := make(chan struct{}, l.cfg.MaxInFlight)
	var wg sync.WaitGroup
	start := time.Now()
	for n := range int(l.cfg.Length.Seconds() * float64(l.cfg.Rate)) {
		p, target := l.planRequest(rng, n), rng.IntN(len(l.cfg.Instances))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(l.cfg.Rate)))):
		}
		if ctx.Err() != nil {
			break
		}
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			l.sendUntilCertain(p, target)
		})
	}
	wg.Wait()
}

func (l *Load) planRequest(rng *rand.Rand, n int) plannedRequest {
	p := plannedRequest{customer: l.cfg.Customers[rng.IntN(len(l.cfg.Customers))], method: http.MethodGet, body: []byte("request " + strconv.Itoa(n))}
	servicePath := "/service/" + p.customer.Service
	switch kind := rng.IntN(100); {
	case kind < percentNonIdempotentRequests:
		p.method = http.MethodPost
		p.path = servicePath + "/once?work=5ms"
		p.key = p.customer.Name + "-" + strconv.FormatUint(l.cfg.Seed, 10) + "-" + strconv.Itoa(n)
	case kind < percentNonIdempotentRequests+percentLongAnswers:
		p.path = servicePath + "/long?work=2ms&bytes=" + strconv.Itoa(longAnswerBytes)
	default:
		p.path = servicePath + "/lookup?work=" + strconv.Itoa(1+rng.IntN(5)) + "ms"
	}
	return p
}

// sendUntilCertain sends a request without a key once. It resends one with a key
// under that key until its outcome is certain or maxSends is reached.
func (l *Load) sendUntilCertain(p plannedRequest, target int) {
	for try := range maxSends {
		outcome := l.send(p, l.pickInstance(target+try))
		if p.key == "" || outcome == OutcomeWhole || outcome == OutcomeWrong {
			return
		}
		time.Sleep(resendPause)
	}
	l.cfg.Journal.Write(JournalEntry{What: "gave_up", Who: "caller", Key: p.key})
}

// pickInstance returns the index of the first ready instance from the n-th on, or
// of the n-th if none is ready.
func (l *Load) pickInstance(n int) int {
	for i := range l.cfg.Instances {
		if candidate := (n + i) % len(l.cfg.Instances); l.ready[candidate].Load() {
			return candidate
		}
	}
	return n % len(l.cfg.Instances)
}

func (l *Load) send(p plannedRequest, target int) string {
	req, err := http.NewRequest(p.method, "http://"+l.cfg.Instances[target]+p.path, bytes.NewReader(p.body))
	if err != nil {
		return OutcomeUnsent
	}
	req.Header.Set("Authorization", "Bearer "+p.customer.Token)
	if p.key != "" {
		req.Header.Set("Idempotency-Key", p.key)
		req.GetBody = nil // keeps the transport from resending it
	}
	began := time.Now()
	resp, err := l.client.Do(req)
	outcome, id, detail := classifyOutcome(p, resp, err)
	l.cfg.Journal.Write(JournalEntry{
		What: outcome, Who: "caller", Request: id, Key: p.key, Instance: l.cfg.Instances[target], Began: began, Detail: detail,
	})
	return outcome
}

// classifyOutcome returns a request's outcome, its id, if the answer has one, and
// a detail for the journal.
func classifyOutcome(p plannedRequest, resp *http.Response, err error) (outcome, id, detail string) {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
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
	replayed := resp.Header.Get("Egretmux-Repeated") != ""
	if json.Unmarshal(data, &echo) != nil || echo.BodySum != crc32.ChecksumIEEE(p.body) || echo.Customer != p.customer.Name {
		return OutcomeWrong, id, "body of another request"
	}
	if echo.Request != id && !replayed {
		return OutcomeWrong, id, "answer to request " + echo.Request
	}
	return OutcomeWhole, echo.Request, ""
}

func (l *Load) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessPollPeriod * 5}
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
				case <-time.After(readinessPollPeriod):
				}
			}
		})
	}
	wg.Wait()
}
