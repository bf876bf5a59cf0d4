package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const upkeepTime = 2 * time.Second

// machines is the machines' API and the machines behind it.
type machines struct {
	rec     *record
	address string
	server  *http.Server
	// startLife starts the runner of a machine.
	startLife func(machine string, life int) *runner

	mu     sync.Mutex
	order  []string
	state  map[string]string
	runner map[string]*runner
	lives  map[string]int
	waves  map[int][]string
	fence  map[string]uint64
	begun  map[string]bool // wave/machine
}

func newMachines(rec *record) (*machines, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &machines{
		rec: rec, address: listener.Addr().String(), state: make(map[string]string), runner: make(map[string]*runner), lives: make(map[string]int),
		waves: make(map[int][]string), fence: make(map[string]uint64), begun: make(map[string]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", m.serveList)
	mux.HandleFunc("POST /machine-upkeep", m.serveUpkeep)
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(listener) }()
	return m, nil
}

// add starts a machine with its runner.
func (m *machines) add(name string) *runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.order = append(m.order, name)
	m.state[name] = "up"
	m.lives[name]++
	m.runner[name] = m.startLife(name, m.lives[name])
	return m.runner[name]
}

// announce tells the platform of a wave that the operator sends.
func (m *machines) announce(wave int, names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waves[wave] = names
}

func (m *machines) serveList(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []map[string]any{}
	for _, name := range m.order {
		r := m.runner[name]
		list = append(list, map[string]any{
			"machine": name, "pool": serviceName, "state": m.state[name], "zone": r.zone, "labels": []string{r.kind, r.rack},
			"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.memMB, "gpu": 0}, "id": r.id,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next_token": ""})
}

func (m *machines) serveUpkeep(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	data, err := io.ReadAll(req.Body)
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(req.Header.Get("Fencing-Token"), 10, 64)
	status, reason := m.upkeep(o.Machine, o.Wave, fence)
	m.rec.logf("machines: upkeep of %s, wave %d, holder %s, fence %d -> %d %s", o.Machine, o.Wave, req.Header.Get("Lease-Holder"), fence, status, reason)
	writeJSON(w, status, map[string]string{"reason": reason})
}

func (m *machines) upkeep(name string, wave int, fence uint64) (int, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := strconv.Itoa(wave) + "/" + name
	switch {
	case m.state[name] == "":
		return http.StatusBadRequest, ""
	case fence < m.fence[name]:
		return http.StatusConflict, "fence"
	case m.begun[key]:
		m.fence[name] = fence
		return http.StatusOK, ""
	case !slices.Contains(m.waves[wave], name):
		return http.StatusConflict, "wave"
	case m.state[name] != "up":
		return http.StatusConflict, "busy"
	}
	m.fence[name] = fence
	m.begun[key] = true
	m.state[name] = "upkeep"
	m.runner[name].crash("upkeep", "upkeep")
	time.AfterFunc(upkeepTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lives[name]++
		m.runner[name] = m.startLife(name, m.lives[name])
		m.state[name] = "up"
	})
	return http.StatusOK, ""
}
