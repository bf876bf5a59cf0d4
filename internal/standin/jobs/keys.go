package jobs

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// KeptKey is a key that every configuration holds.
	KeptKey = "kept-key"
	// LimitedKey is the key of LimitedTenant, which configurations hold once it has a limit.
	LimitedKey = "limited-key"
	// LimitedTenant is the tenant with a limit on what it has running.
	LimitedTenant = "limited"
	// keyApplyTime is the time after an acknowledgement from which on a change of keys
	// must be in force (config_apply_ms).
	keyApplyTime = 2500 * time.Millisecond
	keyPeriod    = 5 * time.Second // time between two rotating keys
)

// Keys numbers configurations, knows which of them hold which rotating key and queue, and
// checks what callers of these are answered. A version holds one rotating key and queue, and a
// higher version never earlier ones.
type Keys struct {
	mu           sync.Mutex
	began        time.Time
	keyOf        []int             // number of the rotating key of each version, from version 1 on
	acknowledged int               // highest key of an acknowledged version
	since        map[int]time.Time // first acknowledgement of a version with key n or a later one
	probes       Probes
	limit        int64 // of LimitedTenant, in millicores; zero: it is not there
}

// Probes are the numbers of calls by what was expected of their answer.
type Probes struct{ NeverHeld, Withdrawn, Added, RemovedQueue, AddedQueue int }

// Probes returns the numbers of calls whose answers were checked.
func (k *Keys) Probes() Probes {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.probes
}

// NewKeys returns keys of which no configuration was sent.
func NewKeys() *Keys { return &Keys{began: time.Now(), since: make(map[int]time.Time)} }

func rotatingKey(n int) string { return fmt.Sprintf("rotating-key-%d", n) }

func rotatingQueue(n int) string { return fmt.Sprintf("/rotating-queue-%d/", n) }

// Limit adds LimitedTenant to all configurations. It is called before the first one.
func (k *Keys) Limit(cpu int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limit = cpu
}

// Next makes a configuration the next version, which is about to be sent, and adds the
// customer with its keys. It returns the version.
func (k *Keys) Next(config map[string]any) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := int(time.Since(k.began) / keyPeriod)
	k.keyOf = append(k.keyOf, n)
	config["version"] = len(k.keyOf)
	addMarkers(config, len(k.keyOf))
	if routes, ok := config["routes"].([]map[string]any); ok && len(routes) > 0 {
		queue := maps.Clone(routes[0])
		queue["name"], queue["path_prefix"] = "rotating", rotatingQueue(n)
		config["routes"] = append(routes, queue)
	}
	tenants := []map[string]any{{"name": "t", "api_keys": []string{KeptKey, rotatingKey(n)}, "weight": 1000}}
	if k.limit > 0 {
		tenants = append(tenants, map[string]any{"name": LimitedTenant, "api_keys": []string{LimitedKey}, "weight": 1000, "max_count": map[string]any{"cpu": k.limit}})
	}
	config["tenants"] = tenants
	return uint64(len(k.keyOf))
}

// Acknowledged records that a version was acknowledged.
func (k *Keys) Acknowledged(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.acknowledged = max(k.acknowledged, k.keyOf[version-1])
	for n := range k.acknowledged + 1 {
		if _, known := k.since[n]; !known {
			k.since[n] = time.Now()
		}
	}
}

// inForceBy reports whether key n, or a later one, had to be in force at a time.
func (k *Keys) inForceBy(n int, at time.Time) bool {
	since, known := k.since[n]
	return known && at.Sub(since) > keyApplyTime
}

// pick returns one of the newest keys and its number, or -1 for a key that no
// configuration ever holds.
func (k *Keys) pick(r *rand.Rand) (string, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	back := r.IntN(4)
	if n := k.acknowledged - back; n >= 0 && back < 3 {
		return rotatingKey(n), n
	}
	return "never-held-key", -1
}

// fault returns what is wrong with the answer to a call with key n, or "".
func (k *Keys) fault(n int, sentAt time.Time, status int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	served := status == http.StatusOK || status == http.StatusGone
	denied := status == http.StatusUnauthorized || status == http.StatusForbidden
	switch {
	case !served && !denied: // nothing was decided
	case n < 0:
		k.probes.NeverHeld++
		if served {
			return "no configuration ever held it"
		}
	case k.inForceBy(n+1, sentAt):
		k.probes.Withdrawn++
		if served {
			return "it was withdrawn"
		}
	case k.inForceBy(n, sentAt) && k.keyOf[len(k.keyOf)-1] == n:
		k.probes.Added++
		if denied {
			return "it was added, and not withdrawn"
		}
	}
	return ""
}

// Probe makes a call with one of the keys and checks its answer. It submits a job only
// with a key that was never held.
func (k *Keys) Probe(ctx context.Context, c *Client, r *rand.Rand, j *Job) {
	key, n := k.pick(r)
	c.Key = key
	sentAt, status := time.Now(), 0
	switch kind := r.IntN(3); {
	case kind == 0:
		status, _ = c.call(ctx, http.MethodGet, c.Prefix, nil)
	case kind == 1 && n < 0:
		c.Ledger.RecordSubmission(j)
		c.Ledger.RecordAnswer(j.ID, false, true) // it must not run, whatever the answer is
		status = c.SubmitOnce(ctx, j)
	default:
		status, _ = c.call(ctx, http.MethodGet, c.Prefix+j.ID, nil)
	}
	if fault := k.fault(n, sentAt, status); fault != "" {
		c.Ledger.AddViolation("KEY %s answered %d: %s", key, status, fault)
	}
}

// ProbeQueue asks for the pending jobs of one of the newest rotating queues and checks the answer:
// a queue that was added is there, one that was removed is not.
func (k *Keys) ProbeQueue(ctx context.Context, c *Client, r *rand.Rand) {
	k.mu.Lock()
	n := k.acknowledged - r.IntN(3)
	k.mu.Unlock()
	if n < 0 {
		return
	}
	c.Key = KeptKey
	sentAt := time.Now()
	status, _ := c.call(ctx, http.MethodGet, rotatingQueue(n), nil)
	if fault := k.queueFault(n, sentAt, status); fault != "" {
		c.Ledger.AddViolation("CONFIG %s answered %d: %s", rotatingQueue(n), status, fault)
	}
}

// queueFault returns what is wrong with the answer to a call of queue n, or "".
func (k *Keys) queueFault(n int, sentAt time.Time, status int) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case status != http.StatusOK && status != http.StatusNotFound: // nothing was decided
	case k.inForceBy(n+1, sentAt):
		k.probes.RemovedQueue++
		if status == http.StatusOK {
			return "it was removed"
		}
	case k.inForceBy(n, sentAt) && k.keyOf[len(k.keyOf)-1] == n:
		k.probes.AddedQueue++
		if status == http.StatusNotFound {
			return "it was added, and not removed"
		}
	}
	return ""
}
