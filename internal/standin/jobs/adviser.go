package jobs

import (
	"encoding/json"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Adviser stands in for the advice service, which says which runners may run a
// step. It handles the calls of one machine one at a time and allows every runner
// unless AllowedShare is set.
type Adviser struct {
	CallTime      time.Duration // base duration of each call
	TimePerWorker time.Duration // added for each runner named in the call
	AllowedShare  float64       // share of the runners that may run a step; zero: all
	Validity      time.Duration // of a ticket; zero: without limit
	// PerConnection takes each connection for a machine of its own, where all machines have the
	// same address.
	PerConnection bool

	mu           sync.Mutex
	machineLocks map[string]*sync.Mutex // by calling machine
	tickets      map[string]ticket
}

// ticket allows a runner to start tasks of a step.
type ticket struct {
	phase, worker string
	expiresAt     time.Time
}

// Allows reports whether a runner may run a step, which never changes.
func (a *Adviser) Allows(phase, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(phase + "/" + worker)) // never fails
	return a.AllowedShare == 0 || float64(h.Sum32()%1000) < 1000*a.AllowedShare
}

// accepts reports whether a ticket is valid for a start of a step on a runner.
func (a *Adviser) accepts(value, phase, worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, issued := a.tickets[value]
	return issued && t.phase == phase && t.worker == worker && (a.Validity == 0 || time.Now().Before(t.expiresAt))
}

// issue returns a new ticket.
func (a *Adviser) issue(phase, worker string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tickets == nil {
		a.tickets = make(map[string]ticket)
	}
	value := strconv.Itoa(len(a.tickets))
	a.tickets[value] = ticket{phase, worker, time.Now().Add(a.Validity)}
	return value
}

type adviseCall struct {
	Phase   string   `json:"phase"`
	Workers []string `json:"workers"`
}

// ServeHTTP answers one call.
func (a *Adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call adviseCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lock := a.machineLock(r.RemoteAddr)
	lock.Lock()
	time.Sleep(a.CallTime + time.Duration(len(call.Workers))*a.TimePerWorker)
	lock.Unlock()
	allowed := make([][]string, 0, len(call.Workers))
	for _, worker := range call.Workers {
		if a.Allows(call.Phase, worker) {
			allowed = append(allowed, []string{worker, a.issue(call.Phase, worker)})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": allowed}) // fails only when the caller has gone
}

func (a *Adviser) machineLock(remote string) *sync.Mutex {
	machine, _, err := net.SplitHostPort(remote)
	if err != nil || a.PerConnection {
		machine = remote
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machineLocks == nil {
		a.machineLocks = make(map[string]*sync.Mutex)
	}
	if a.machineLocks[machine] == nil {
		a.machineLocks[machine] = &sync.Mutex{}
	}
	return a.machineLocks[machine]
}
