package jobs

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// orderSlack is the time after a call from which on another call to the same instance must
	// not be handled by an older configuration (rollback_slack_ms).
	orderSlack = 250 * time.Millisecond
	// markedVersions is how many versions a configuration tells from older ones.
	markedVersions = 64
)

// markerQueue returns the path of a queue that version n and the following ones hold.
func markerQueue(n int) string { return fmt.Sprintf("/from-version-%d/", n) }

// addMarkers adds the queues that tell the newest versions from older ones.
func addMarkers(config map[string]any, version int) {
	routes, ok := config["routes"].([]map[string]any)
	if !ok || len(routes) == 0 {
		return
	}
	for n := max(1, version-markedVersions+1); n <= version; n++ {
		queue := make(map[string]any, len(routes[0]))
		for key, value := range routes[0] {
			queue[key] = value
		}
		queue["name"], queue["path_prefix"] = fmt.Sprintf("marker-%d", n), markerQueue(n)
		routes = append(routes, queue)
	}
	config["routes"] = routes
}

// Order checks that no instance handles a call by an older configuration than an earlier one.
type Order struct {
	mu      sync.Mutex
	newer   map[orderKey]time.Time // sending of the first call that was handled by the version or a newer one
	older   map[orderKey]time.Time // sending of the last call that was handled by an older one
	checked int
}

type orderKey struct {
	address string
	version int
}

// NewOrder returns an order without calls.
func NewOrder() *Order {
	return &Order{newer: make(map[orderKey]time.Time), older: make(map[orderKey]time.Time)}
}

// Checked returns the number of calls that were handled.
func (o *Order) Checked() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.checked
}

// Probe asks an instance for the queue that marks the newest version of keys, and checks the answer.
func (o *Order) Probe(ctx context.Context, c *Client, keys *Keys) {
	keys.mu.Lock()
	version := len(keys.keyOf)
	keys.mu.Unlock()
	c.Key = KeptKey
	var sent atomic.Pointer[time.Time] // when the request was written, not when the call began: this process may be short of processor time
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		now := time.Now()
		sent.CompareAndSwap(nil, &now)
	}})
	status, _ := c.call(traced, http.MethodGet, markerQueue(version), nil)
	sentAt := sent.Load()
	if sentAt == nil {
		return // it was not sent
	}
	keys.mu.Lock()
	newest := len(keys.keyOf)
	keys.mu.Unlock()
	if newest >= version+markedVersions {
		return // the queue may have been removed
	}
	if fault := o.note(orderKey{c.Addresses[0], version}, *sentAt, status); fault != "" {
		c.Ledger.AddViolation("CONFIG %s", fault)
	}
}

// note records an answer and returns what is wrong with it, or "".
func (o *Order) note(key orderKey, sentAt time.Time, status int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch status {
	case http.StatusOK:
		if first, known := o.newer[key]; !known || sentAt.Before(first) {
			o.newer[key] = sentAt
		}
	case http.StatusNotFound:
		if last, known := o.older[key]; !known || sentAt.After(last) {
			o.older[key] = sentAt
		}
	default:
		return "" // nothing was decided
	}
	o.checked++
	newer, isNewer := o.newer[key]
	older, isOlder := o.older[key]
	if !isNewer || !isOlder || older.Sub(newer) <= orderSlack {
		return ""
	}
	return fmt.Sprintf("%s went back from version %d or newer to an older one: a call was handled by it, and one that was sent %v later by an older one",
		key.address, key.version, older.Sub(newer))
}
