package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Timing of clients and operators.
const (
	callTimeout = 3 * time.Second
	retryPause  = 200 * time.Millisecond
	pollPeriod  = 100 * time.Millisecond
)

// Client submits jobs to several instances in turn and polls their state.
type Client struct {
	Addresses   []string // callers addresses of instances
	Host        string
	Prefix      string
	Key         string // credential of the customer; empty: none is sent
	Ledger      *Ledger
	HTTP        *http.Client // nil: a new connection for each call
	nextAddress int
}

// call sends one request to the next instance. It returns status 0 without a whole
// answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.nextAddress++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addresses[c.nextAddress%len(c.Addresses)]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = c.Host
	req.Header.Set("Deadline-Ms", "3000")
	if c.Key != "" {
		req.Header.Set("X-Api-Key", c.Key)
	}
	client := c.HTTP
	if client == nil {
		client, req.Close = http.DefaultClient, true
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// SubmitOnce sends a job once and returns the status, or 0 without a whole answer.
func (c *Client) SubmitOnce(ctx context.Context, j *Job) int {
	c.Ledger.RecordSubmission(j)
	call := map[string]any{"spec": j.Spec, "phases": j.Steps}
	if j.Repeats > 0 {
		call["repeat_count"], call["start_at_ms"], call["interval_ms"] = j.Repeats, j.FirstDue.UnixMilli(), j.Interval.Milliseconds()
	}
	body, err := json.Marshal(call)
	if err != nil {
		return 0
	}
	status, _ := c.call(ctx, http.MethodPost, c.Prefix+j.ID, body)
	return status
}

// Submit sends a job until it is accepted or abandoned, gets an unexpected answer,
// or the context ends. It returns whether the job was accepted.
func (c *Client) Submit(ctx context.Context, j *Job) bool {
	allRefused := true
	for ctx.Err() == nil {
		status := c.SubmitOnce(ctx, j)
		switch status {
		case http.StatusOK:
			c.Ledger.RecordAnswer(j.ID, true, false)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			allRefused = false
		default:
			c.Ledger.AddViolation("SUBMIT %s: answered %d", j.ID, status)
			return false
		}
		// A job whose text begins with "give up" is abandoned once every answer so
		// far was a refusal, to check that it does not run.
		if allRefused && strings.HasPrefix(j.Spec, "give up") {
			c.Ledger.RecordAnswer(j.ID, false, true)
			return false
		}
		time.Sleep(retryPause)
	}
	return false
}

// State asks for a job's state until an instance answers. It returns "" when the
// context ends first.
func (c *Client) State(ctx context.Context, id string) string {
	for ctx.Err() == nil {
		status, body := c.call(ctx, http.MethodGet, c.Prefix+id, nil)
		switch status {
		case http.StatusOK:
			var answer struct {
				State string `json:"state"`
			}
			if json.Unmarshal(body, &answer) == nil {
				return answer.State
			}
		case http.StatusGone:
			return "gone"
		}
		time.Sleep(retryPause)
	}
	return ""
}

// Cancel sends a cancellation until an instance confirms it or the context ends,
// and returns whether it was confirmed.
func (c *Client) Cancel(ctx context.Context, id string) bool {
	c.Ledger.RecordCancellation(id)
	var acknowledgement *awaited
	if c.Ledger.accepted(id) {
		acknowledgement = c.Ledger.await(cancels, "cancellation of %s", id)
	}
	for ctx.Err() == nil {
		if status, _ := c.call(ctx, http.MethodDelete, c.Prefix+id, nil); status == http.StatusOK || status == http.StatusGone {
			c.Ledger.RecordCancelled(id)
			c.Ledger.settle(acknowledgement, true)
			return true
		}
		time.Sleep(retryPause)
	}
	c.Ledger.settle(acknowledgement, false)
	return false
}

// Pending asks for the number of jobs of the queue of which no task has started, until an instance
// answers. It returns -1 when the context ends first.
func (c *Client) Pending(ctx context.Context) int {
	for ctx.Err() == nil {
		if status, body := c.call(ctx, http.MethodGet, c.Prefix, nil); status == http.StatusOK {
			var answer struct {
				Pending int `json:"pending"`
			}
			if json.Unmarshal(body, &answer) == nil {
				return answer.Pending
			}
		}
		time.Sleep(retryPause)
	}
	return -1
}

// Await polls a job until it has the wanted final state, or is given up for the runners that
// crashed under it. Another final state, or
// the end of the context before it, is a violation.
func (c *Client) Await(ctx context.Context, j *Job, wantState string) {
	for ctx.Err() == nil {
		switch state := c.State(ctx, j.ID); state {
		case wantState:
			c.Ledger.recordShown(j.ID, state)
			return
		case "gone":
			if c.Ledger.mayBeForgotten(j) {
				return
			}
			c.Ledger.AddViolation("LOST %s is not known", j.ID)
			return
		case "queued", "running", "":
			time.Sleep(pollPeriod)
		default:
			if state == "failed" && c.Ledger.mayBeGivenUp(j.ID) {
				return
			}
			c.Ledger.AddViolation("LOST %s is shown as %s, not as %s", j.ID, state, wantState)
			return
		}
	}
	c.Ledger.AddViolation("LATE %s is not %s in time", j.ID, wantState)
}

// Operator sends and reads configurations.
type Operator struct {
	Controls    []string     // control addresses of instances
	Client      *http.Client // nil: the default client
	nextControl int

	// Tried, unless nil, is called after each try of Put with the address, the status or 0, and when the try began.
	Tried func(control string, status int, began time.Time)
}

// Put sends a configuration until it is acknowledged or rejected, and returns the
// last status.
func (o *Operator) Put(ctx context.Context, config map[string]any) int {
	body, err := json.Marshal(config)
	if err != nil {
		return 0
	}
	status := 0
	for ctx.Err() == nil {
		began := time.Now()
		status = o.call(ctx, http.MethodPost, "/Config.Put", body, nil)
		if o.Tried != nil {
			o.Tried(o.Controls[o.nextControl%len(o.Controls)], status, began)
		}
		if status == http.StatusOK || status == http.StatusBadRequest || status == http.StatusConflict {
			return status
		}
		time.Sleep(retryPause)
	}
	return status
}

// Version reads the version in force, retrying until an instance answers.
func (o *Operator) Version(ctx context.Context) uint64 {
	for ctx.Err() == nil {
		var answer struct {
			Version uint64 `json:"version"`
		}
		if o.call(ctx, http.MethodGet, "/Config.Get", nil, &answer) == http.StatusOK {
			return answer.Version
		}
		time.Sleep(retryPause)
	}
	return 0
}

func (o *Operator) call(ctx context.Context, method, path string, body []byte, answer any) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	o.nextControl++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.Controls[o.nextControl%len(o.Controls)]+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Close = true
	client := o.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || (answer != nil && resp.StatusCode == http.StatusOK && json.Unmarshal(data, answer) != nil) {
		return 0
	}
	return resp.StatusCode
}

// Config returns a configuration with one queue and one pool.
func Config(version int, host, prefix, pool string, attempts int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "q", "host": host, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 500,
			"priority": 0, "service": pool, "attempts": attempts, "slack_factor": 2.0,
		}},
		"services": []map[string]any{{"name": pool, "health_path": "/health", "max_connections": 64, "rejects_overload": false}},
		"limits":   map[string]any{},
	}
}

// JobID returns the id of the n-th job of a run.
func JobID(seed uint64, n int) string { return fmt.Sprintf("%08x%08x", uint32(seed), uint32(n)) }
