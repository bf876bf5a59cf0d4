package jobs

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Adviser stands in for the advice service, which says which runners may run a
// step. It handles the calls of one machine one at a time and allows every runner.
type Adviser struct {
	CallTime      time.Duration // base duration of each call
	TimePerWorker time.Duration // added for each runner named in the call

	mu           sync.Mutex
	machineLocks map[string]*sync.Mutex // by calling machine
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
		allowed = append(allowed, []string{worker, call.Phase})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": allowed}) // fails only when the caller has gone
}

func (a *Adviser) machineLock(remote string) *sync.Mutex {
	machine, _, err := net.SplitHostPort(remote)
	if err != nil {
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
