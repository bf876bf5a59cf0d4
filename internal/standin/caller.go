package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// CallerConfig describes a stand-in caller.
type CallerConfig struct {
	Instances          []string // callers addresses; Run picks one as the platform's load balancer would
	ReadinessAddresses []string // control addresses in the order of Instances; empty: all count as ready
	Token              string
	Path               string // such as /service/lease/lookup?work=5ms
	Method             string
	Rate               int // requests a second
	Length             time.Duration
	MaxInFlight        int
	Journal            *Journal
}

// CallerResult counts requests by outcome; see OutcomeWhole and the constants after it.
type CallerResult struct {
	Sent, Whole, NotRun, Unknown, Cut, Wrong int64
	Latency                                  *hdrhistogram.Histogram // microseconds
}

// Caller sends requests at a steady rate and checks each answer.
type Caller struct {
	cfg    CallerConfig
	client *http.Client
	ready  []atomic.Bool

	mu     sync.Mutex
	result CallerResult
}

const (
	maxLatencyMicros    = 60_000_000
	readinessPollPeriod = 100 * time.Millisecond
	callTimeout         = 30 * time.Second
)

// NewCaller returns a caller that Run starts.
func NewCaller(cfg CallerConfig) *Caller {
	c := &Caller{cfg: cfg, ready: make([]atomic.Bool, len(cfg.Instances))}
	for i := range c.ready {
		c.ready[i].Store(true)
	}
	c.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, IdleConnTimeout: time.Minute}}
	c.result.Latency = hdrhistogram.New(1, maxLatencyMicros, 3)
	return c
}

// Run sends requests for the configured time and returns their outcomes.
func (c *Caller) Run(ctx context.Context) CallerResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.watchReadiness(ctx)
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, c.cfg.MaxInFlight)
	start := time.Now()
	total := int(c.cfg.Length.Seconds() * float64(c.cfg.Rate))
	for n := range total {
		sendAt := start.Add(time.Duration(n) * time.Second / time.Duration(c.cfg.Rate))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(sendAt)):
		}
		if ctx.Err() != nil {
			break
		}
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			c.call(n)
		})
	}
	wg.Wait()
	return c.result
}

// watchReadiness polls the instances' readiness as the load balancer does.
func (c *Caller) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessPollPeriod * 5}
	for ctx.Err() == nil {
		for i, address := range c.cfg.ReadinessAddresses {
			resp, err := client.Get("http://" + address + "/readyz")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			c.ready[i].Store(ok)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readinessPollPeriod):
		}
	}
}

// pickInstance returns the first ready instance from the n-th on, or the n-th if
// none is ready.
func (c *Caller) pickInstance(n int) string {
	for i := range c.cfg.Instances {
		candidate := (n + i) % len(c.cfg.Instances)
		if c.ready[candidate].Load() {
			return c.cfg.Instances[candidate]
		}
	}
	return c.cfg.Instances[n%len(c.cfg.Instances)]
}

func (c *Caller) call(n int) {
	body := []byte("request " + strconv.Itoa(n))
	method := c.cfg.Method
	if method == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+c.pickInstance(n)+c.cfg.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	began := time.Now()
	resp, err := c.client.Do(req)
	outcome, id := c.classifyOutcome(resp, err, body)
	c.cfg.Journal.Write(JournalEntry{What: outcome, Who: "caller", Request: id})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Sent++
	_ = c.result.Latency.RecordValue(time.Since(began).Microseconds())
	switch outcome {
	case "whole":
		c.result.Whole++
	case "not_run":
		c.result.NotRun++
	case "unknown":
		c.result.Unknown++
	case "cut":
		c.result.Cut++
	default:
		c.result.Wrong++
	}
}

// classifyOutcome returns a request's outcome and its id, if the answer has one.
func (c *Caller) classifyOutcome(resp *http.Response, err error, sent []byte) (outcome, id string) {
	if err != nil {
		return "cut", ""
	}
	defer func() { _ = resp.Body.Close() }()
	id = resp.Header.Get("Egretmux-Request-Id")
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut", id
	}
	if resp.StatusCode != http.StatusOK {
		refused := struct{ Ran string }{}
		if json.Unmarshal(data, &refused) == nil && refused.Ran == "no" {
			return "not_run", id
		}
		return "unknown", id
	}
	echo := Echo{}
	if json.Unmarshal(data, &echo) != nil || echo.Request != id || echo.BodySum != crc32.ChecksumIEEE(sent) {
		return "wrong", id
	}
	return "whole", id
}
