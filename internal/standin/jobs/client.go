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

// Timing of a stand-in client.
const (
	sendTimeout = 3 * time.Second
	tryPause    = 200 * time.Millisecond
	pollPause   = 100 * time.Millisecond
)

// Client hands jobs in at several instances and follows them.
type Client struct {
	Addresses []string // where clients reach instances
	Host      string
	Prefix    string
	Ledger    *Ledger
	next      int
}

// call sends one request to the next instance. Status 0 means no whole answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	c.next++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addresses[c.next%len(c.Addresses)]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = c.Host
	req.Header.Set("Deadline-Ms", "3000")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
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

// SubmitOnce hands a job in a single time and returns the status; 0 is no whole answer.
func (c *Client) SubmitOnce(ctx context.Context, j *Job) int {
	c.Ledger.RecordSubmission(j)
	body, err := json.Marshal(map[string]any{"spec": j.Spec, "phases": j.Steps})
	if err != nil {
		return 0
	}
	status, _ := c.call(ctx, http.MethodPost, c.Prefix+j.ID, body)
	return status
}

// Submit hands a job in until it is accepted or the context ends, and returns
// whether it was accepted.
func (c *Client) Submit(ctx context.Context, j *Job) bool {
	refused := true
	for ctx.Err() == nil {
		status := c.SubmitOnce(ctx, j)
		switch status {
		case http.StatusOK:
			c.Ledger.RecordAnswer(j.ID, true, false)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			refused = false
		default:
			c.Ledger.AddViolation("SUBMIT %s: answered %d", j.ID, status)
			return false
		}
		// A job that every answer refused is given up at times, to see that it
		// does not run.
		if refused && strings.HasPrefix(j.Spec, "give up") {
			c.Ledger.RecordAnswer(j.ID, false, true)
			return false
		}
		time.Sleep(tryPause)
	}
	return false
}

// State asks for a job's state until there is an answer.
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
		time.Sleep(tryPause)
	}
	return ""
}

// Cancel cancels a job until there is an answer.
func (c *Client) Cancel(ctx context.Context, id string) bool {
	for ctx.Err() == nil {
		if status, _ := c.call(ctx, http.MethodDelete, c.Prefix+id, nil); status == http.StatusOK || status == http.StatusGone {
			return true
		}
		time.Sleep(tryPause)
	}
	return false
}

// Await polls a job until it has ended, and reports a state that an accepted
// job cannot have.
func (c *Client) Await(ctx context.Context, j *Job, want string) {
	for ctx.Err() == nil {
		switch state := c.State(ctx, j.ID); state {
		case want:
			return
		case "queued", "running", "":
			time.Sleep(pollPause)
		default:
			c.Ledger.AddViolation("LOST %s is shown as %s, not as %s", j.ID, state, want)
			return
		}
	}
	c.Ledger.AddViolation("LATE %s is not %s in time", j.ID, want)
}

// Operator sends configurations.
type Operator struct {
	Controls []string
	Client   *http.Client // nil: the default client
	next     int
}

// Put sends a configuration until it is acknowledged, and returns the last
// status.
func (o *Operator) Put(ctx context.Context, config map[string]any) int {
	body, err := json.Marshal(config)
	if err != nil {
		return 0
	}
	status := 0
	for ctx.Err() == nil {
		status = o.call(ctx, http.MethodPost, "/Config.Put", body, nil)
		if status == http.StatusOK || status == http.StatusBadRequest || status == http.StatusConflict {
			return status
		}
		time.Sleep(tryPause)
	}
	return status
}

// Version reads the version in force, until there is an answer.
func (o *Operator) Version(ctx context.Context) uint64 {
	for ctx.Err() == nil {
		var answer struct {
			Version uint64 `json:"version"`
		}
		if o.call(ctx, http.MethodGet, "/Config.Get", nil, &answer) == http.StatusOK {
			return answer.Version
		}
		time.Sleep(tryPause)
	}
	return 0
}

func (o *Operator) call(ctx context.Context, method, path string, body []byte, into any) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	o.next++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.Controls[o.next%len(o.Controls)]+path, bytes.NewReader(body))
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
	if err != nil || (into != nil && resp.StatusCode == http.StatusOK && json.Unmarshal(data, into) != nil) {
		return 0
	}
	return resp.StatusCode
}

// Config returns a configuration of one queue and one pool.
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
