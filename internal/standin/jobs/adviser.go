package jobs

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Adviser plays the service that knows which runners may run a step. It answers
// the calls of one machine in turn, and allows every runner.
type Adviser struct {
	CallTime      time.Duration // of each call
	TimePerWorker time.Duration // beyond it, for each runner named

	mu    sync.Mutex
	turns map[string]*sync.Mutex // by calling machine
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
	turn := a.turn(r.RemoteAddr)
	turn.Lock()
	time.Sleep(a.CallTime + time.Duration(len(call.Workers))*a.TimePerWorker)
	turn.Unlock()
	good := make([][]string, 0, len(call.Workers))
	for _, worker := range call.Workers {
		good = append(good, []string{worker, call.Phase})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good}) // a caller that left does not read the answer
}

func (a *Adviser) turn(remote string) *sync.Mutex {
	machine, _, err := net.SplitHostPort(remote)
	if err != nil {
		machine = remote
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.turns == nil {
		a.turns = make(map[string]*sync.Mutex)
	}
	if a.turns[machine] == nil {
		a.turns[machine] = &sync.Mutex{}
	}
	return a.turns[machine]
}
