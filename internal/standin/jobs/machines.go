package jobs

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// MachinesConfig describes a stand-in of the API of machines.
type MachinesConfig struct {
	Ledger      *Ledger
	Pools       []string
	UpkeepTime  time.Duration // from the beginning of an upkeep to the machine's next runner (upkeep_s)
	MoveTime    time.Duration // the same of a move (move_s)
	CheckFences bool          // orders with a lower fencing token than an earlier one are refused (require_fencing)
	PageSize    int           // machines on a page of the list; all on one if zero
	CallsPerS   int           // orders, and readings as many, that are accepted in a second; without a limit if zero
	Seed        uint64
	// StartRunner starts the next runner of a machine, which calls Machines.Add.
	StartRunner func(machine, pool string)
	// Ordered, unless nil, is called before an order is carried out, and again before it is answered.
	Ordered func(machine string)
}

// Machines stands in for the API of the machines that runners are lives of. It ends what runs on a machine that
// gets its upkeep or moves, and judges the orders.
type Machines struct {
	cfg MachinesConfig

	mu                       sync.Mutex
	rng                      *rand.Rand
	machines                 map[string]*machine
	names                    []string // in the order in which they joined
	waves                    map[uint64]*wave
	lostOrders, lostReadings float64 // shares that get no answer; half of these orders are carried out
	readings                 rate
	orders                   rate
	counts                   MachineCounts
}

// MachineCounts are numbers of what a stand-in of the API of machines has seen.
type MachineCounts struct {
	Readings, Orders, Upkeeps, Moves           int
	Repeated, Fenced, Busy, NotOfTheWave, Lost int // orders by their answer; Lost: without one
	Holders                                    int // changes of the holder of a machine
	MostDown                                   int // machines of one wave, down for it at once
	Ended                                      int // runs that orders ended
	Waves, Completed, Late                     int // Late: machines whose upkeep had not begun in the time of their wave
}

type machine struct {
	pool    string
	state   string // up, moving or upkeep
	wave    uint64 // whose upkeep it is down for; zero: none
	runner  *Runner
	holders map[uint64]string // by fencing token
	fence   uint64            // highest so far
	turns   []turn            // changes of the holder, oldest first
}

// turn is a change of the holder of a machine.
type turn struct {
	holder string
	last   time.Time // its last order
}

// Wave is a request of upkeep for machines.
type Wave struct {
	Number   uint64   `json:"wave"`
	Machines []string `json:"machines"`
	Duration float64  `json:"duration_s"`
	MaxCount int      `json:"max_count"`
}

type wave struct {
	Wave
	sent  time.Time
	begun map[string]time.Time
}

// States of machines.
const (
	machineUp     = "up"
	machineMoving = "moving"
	machineUpkeep = "upkeep"
)

// holderTurnTime is the time in which holders in touch must not take turns (lease_ms).
const holderTurnTime = 3 * time.Second

// rate limits calls to a number in each second.
type rate struct{ calls []time.Time }

// takes reports whether one more call is accepted.
func (r *rate) takes(limit int, now time.Time) bool {
	r.calls = slices.DeleteFunc(r.calls, func(at time.Time) bool { return now.Sub(at) > time.Second })
	if limit > 0 && len(r.calls) >= limit {
		return false
	}
	r.calls = append(r.calls, now)
	return true
}

// NewMachines returns a stand-in without machines.
func NewMachines(cfg MachinesConfig) *Machines {
	return &Machines{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), machines: make(map[string]*machine), waves: make(map[uint64]*wave)}
}

// Add makes a runner the one of a machine, which is then up.
func (m *Machines) Add(name string, r *Runner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.machines[name]
	if known == nil {
		known = &machine{holders: make(map[uint64]string)}
		m.machines[name] = known
		m.names = append(m.names, name)
	}
	known.pool, known.state, known.wave, known.runner = r.cfg.Pool, machineUp, 0, r
}

// SetLost changes the shares of orders and of readings that get no answer.
func (m *Machines) SetLost(orders, readings float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lostOrders, m.lostReadings = orders, readings
}

// Counts returns what the stand-in has seen.
func (m *Machines) Counts() MachineCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	for _, w := range m.waves {
		counts.Late += len(w.late(time.Now()))
	}
	return counts
}

// late returns the machines whose upkeep had not begun in the time of the wave.
func (w *wave) late(now time.Time) []string {
	due := w.sent.Add(time.Duration(w.Duration * float64(time.Second)))
	return slices.DeleteFunc(slices.Clone(w.Machines), func(name string) bool {
		begun, known := w.begun[name]
		return known && !begun.After(due) || !known && now.Before(due)
	})
}

// Handler serves the API.
func (m *Machines) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", m.serveList)
	mux.HandleFunc("POST /machine-upkeep", m.serveOrder)
	mux.HandleFunc("POST /machine-move", m.serveOrder)
	return mux
}

// losesReading reports whether a reading gets no answer.
func (m *Machines) losesReading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.Float64() < m.lostReadings
}

// losesOrder reports whether an order is lost before it is carried out, or its answer.
func (m *Machines) losesOrder() (call, answer bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rng.Float64() >= m.lostOrders {
		return false, false
	}
	call = m.rng.IntN(2) == 0
	return call, !call
}

func (m *Machines) serveList(w http.ResponseWriter, r *http.Request) {
	if m.losesReading() {
		<-r.Context().Done()
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("page_token")) // empty: the first page
	m.mu.Lock()
	m.counts.Readings++
	if !m.readings.takes(m.cfg.CallsPerS, time.Now()) {
		m.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	to, next := len(m.names), any(nil)
	if m.cfg.PageSize > 0 && from+m.cfg.PageSize < to {
		to = from + m.cfg.PageSize
		next = strconv.Itoa(to)
	}
	entries := []map[string]any{}
	for _, name := range m.names[min(from, to):to] {
		one := m.machines[name]
		entry := map[string]any{
			"machine": name, "pool": one.pool, "state": one.state, "zone": one.runner.cfg.Zone, "labels": one.runner.cfg.Labels,
			"capacity": map[string]int64{"cpu": one.runner.cfg.CPU, "mem_mb": one.runner.cfg.MemMB, "gpu": 0}, "id": nil,
		}
		if one.state == machineUp {
			entry["id"] = one.runner.ID()
		}
		entries = append(entries, entry)
	}
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": entries, "next_token": next}) // fails only when the caller has gone
}

// machineOrder is an order for a machine: its upkeep in a wave, or its move to a pool.
type machineOrder struct {
	Machine string `json:"machine"`
	Wave    uint64 `json:"wave"`
	Pool    string `json:"pool"`

	upkeep bool
	holder string
	fence  uint64
}

func (m *Machines) serveOrder(w http.ResponseWriter, r *http.Request) {
	order := machineOrder{upkeep: r.URL.Path == "/machine-upkeep", holder: r.Header.Get("Lease-Holder")}
	err := json.NewDecoder(r.Body).Decode(&order)
	fence, fenceErr := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || fenceErr != nil || order.holder == "" {
		m.cfg.Ledger.AddViolation("ONE an order for a machine without a holder, a fencing token or a body that can be read")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	order.fence = fence
	callLost, answerLost := m.losesOrder()
	if !callLost {
		if m.cfg.Ordered != nil {
			m.cfg.Ordered(order.Machine)
		}
		status, reason := m.carryOut(order, time.Now())
		if m.cfg.Ordered != nil {
			m.cfg.Ordered(order.Machine)
		}
		if !answerLost {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(map[string]any{"reason": reason}) // fails only when the caller has gone
			return
		}
	}
	m.mu.Lock()
	m.counts.Lost++
	m.mu.Unlock()
	<-r.Context().Done()
}

// carryOut judges and carries out an order.
func (m *Machines) carryOut(order machineOrder, now time.Time) (status int, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Orders++
	if !m.orders.takes(m.cfg.CallsPerS, now) {
		return http.StatusTooManyRequests, ""
	}
	one := m.machines[order.Machine]
	if one == nil || (!order.upkeep && !slices.Contains(m.cfg.Pools, order.Pool)) {
		return http.StatusBadRequest, ""
	}
	m.judgeHolder(order, one, now)
	if m.cfg.CheckFences && order.fence < one.fence {
		m.counts.Fenced++
		return http.StatusConflict, "fence"
	}
	one.fence = max(one.fence, order.fence)
	w := m.waves[order.Wave]
	switch {
	case order.upkeep && (w == nil || !slices.Contains(w.Machines, order.Machine)):
		m.counts.NotOfTheWave++
		return http.StatusConflict, "wave"
	case order.upkeep && !w.begun[order.Machine].IsZero(), !order.upkeep && one.pool == order.Pool:
		m.counts.Repeated++
		return http.StatusOK, ""
	case one.state != machineUp || !one.runner.Up():
		m.counts.Busy++
		return http.StatusConflict, "busy"
	}
	if order.upkeep {
		m.judgeUpkeep(order, w)
		w.begun[order.Machine] = now
		one.state, one.wave = machineUpkeep, order.Wave
		m.counts.Upkeeps++
		m.takeDown(order.Machine, one, m.cfg.UpkeepTime)
	} else {
		one.pool, one.state = order.Pool, machineMoving
		m.counts.Moves++
		m.takeDown(order.Machine, one, m.cfg.MoveTime)
	}
	return http.StatusOK, ""
}

// takeDown ends what runs on a machine, whose next runner joins after a time. The caller holds m.mu.
func (m *Machines) takeDown(name string, one *machine, length time.Duration) {
	m.counts.Ended += one.runner.endByOrder()
	pool := one.pool
	time.AfterFunc(length, func() { m.cfg.StartRunner(name, pool) })
}

// judgeHolder judges who orders a machine with which fencing token. The caller holds m.mu.
func (m *Machines) judgeHolder(order machineOrder, one *machine, now time.Time) {
	if holder, known := one.holders[order.fence]; known && holder != order.holder {
		m.cfg.Ledger.AddViolation("ONE %s is ordered by %s with fencing token %d, and was by %s with it", order.Machine, order.holder, order.fence, holder)
	}
	one.holders[order.fence] = order.holder
	if !m.cfg.CheckFences && order.fence < one.fence {
		m.cfg.Ledger.AddViolation("ONE %s is ordered by %s with fencing token %d after %d", order.Machine, order.holder, order.fence, one.fence)
	}
	if last := len(one.turns) - 1; last >= 0 && one.turns[last].holder == order.holder {
		one.turns[last].last = now
		return
	}
	one.turns = append(one.turns, turn{order.holder, now})
	if n := len(one.turns); n > 1 {
		m.counts.Holders++
		if n > 2 && one.turns[n-3].holder == order.holder && now.Sub(one.turns[n-3].last) < holderTurnTime && m.cfg.Ledger.instancesInTouch(now) {
			m.cfg.Ledger.AddViolation("ONE %s and %s take turns at %s within %v", order.holder, one.turns[n-2].holder, order.Machine, now.Sub(one.turns[n-3].last))
		}
	}
}

// judgeUpkeep judges that an upkeep may begin. The caller holds m.mu.
func (m *Machines) judgeUpkeep(order machineOrder, w *wave) {
	down := 0
	for _, other := range m.machines {
		if other.wave == order.Wave {
			down++
		}
	}
	if down >= w.MaxCount {
		m.cfg.Ledger.AddViolation("LIMIT the upkeep of %s begins while %d machines of wave %d are down for theirs, and %d may be", order.Machine, down, order.Wave, w.MaxCount)
	}
	m.counts.MostDown = max(m.counts.MostDown, down+1)
}

// RecordWave records a wave. It is called before the wave is first sent.
func (m *Machines) RecordWave(w Wave) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waves[w.Number] = &wave{Wave: w, sent: time.Now(), begun: make(map[string]time.Time)}
	m.counts.Waves++
}

// RecordWaveShown judges the state in which a wave was shown.
func (m *Machines) RecordWaveShown(number uint64, state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.waves[number]
	switch {
	case w == nil:
		m.cfg.Ledger.AddViolation("MIXED wave %d, which nobody started, is shown as %s", number, state)
		return
	case state != "completed":
		return
	}
	m.counts.Completed++
	for _, name := range w.Machines {
		if m.machines[name] != nil && w.begun[name].IsZero() {
			m.cfg.Ledger.AddViolation("MIXED wave %d is shown as completed, and %s has not begun its upkeep", number, name)
		}
	}
}

// Waiting returns the machines of a wave whose upkeep has not begun.
func (m *Machines) Waiting(number uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.waves[number]
	if w == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(w.Machines), func(name string) bool { return !w.begun[name].IsZero() })
}

// instancesInTouch reports whether the instances are in touch.
func (l *Ledger) instancesInTouch(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inTouch(now) && l.instanceFaults.over() && now.Sub(l.instanceFaults.calmSince) > contactTime
}

// endByOrder ends the runner and all its runs as its machine is taken down, and returns how many these were.
func (r *Runner) endByOrder() int {
	r.mu.Lock()
	r.expireLease()
	n := len(r.running)
	if !r.draining {
		for t, taskRun := range r.running {
			r.cfg.Ledger.orderedEnd(t, taskRun.number, r.name())
		}
	}
	r.ended = true // nothing starts any more
	r.mu.Unlock()
	r.end()
	return n
}

// StartWave sends a wave until it is acknowledged or rejected, and returns the last status.
func (o *Operator) StartWave(ctx context.Context, w Wave) int {
	body, err := json.Marshal(w)
	if err != nil {
		return 0
	}
	status := 0
	for ctx.Err() == nil {
		if status = o.call(ctx, http.MethodPost, "/wave-start", body, nil); status == http.StatusOK || status == http.StatusBadRequest || status == http.StatusConflict {
			return status
		}
		time.Sleep(retryPause)
	}
	return status
}

// WaveState asks an instance for the state of a wave; it is empty without a clear answer.
func (o *Operator) WaveState(ctx context.Context, number uint64) (state string, status int) {
	var answer struct {
		State string `json:"state"`
	}
	status = o.call(ctx, http.MethodGet, "/wave-get/"+strconv.FormatUint(number, 10), nil, &answer)
	return answer.State, status
}
