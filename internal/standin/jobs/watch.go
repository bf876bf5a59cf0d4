package jobs

import (
	"fmt"
	"time"
)

// Bounds of the checks at a start.
const (
	cancelTime = 3 * time.Second // cancel_ms: from the acknowledgement of a cancellation to the last start
	drainTime  = 2 * time.Second // drain_timeout_ms: from the acknowledgement of a drain to the last start
)

func phaseOf(t Task) string { return fmt.Sprintf("%s.%d.%d", t.Job, t.Occurrence, t.Step) }

func (l *Ledger) addLateOrders(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateOrders += n
}

// LateOrders returns the number of orders that runners have left unanswered and not carried out yet.
func (l *Ledger) LateOrders() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lateOrders
}

// noteDrain records that an instance has acknowledged that the runner drains.
func (r *Runner) noteDrain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drainNoted.IsZero() {
		r.drainNoted = time.Now()
	}
}

// checkStart checks a start that is not carried out late. The caller holds r.mu.
func (r *Runner) checkStart(t Task, j *Job, late bool) {
	if j == nil || late {
		return
	}
	step := j.Steps[t.Step]
	if !r.drainNoted.IsZero() && time.Since(r.drainNoted) > drainTime {
		r.cfg.Ledger.AddViolation("DRAIN %v on %s: %v after its drain was acknowledged", t, r.name(), time.Since(r.drainNoted))
	}
	if step.RequiredLabel != "" && !r.HasLabel(step.RequiredLabel) {
		r.cfg.Ledger.AddViolation("ROUTE %v on %s: it lacks the label", t, r.name())
	}
	beside := 0
	for other := range r.running {
		if other.Job == t.Job && other.Occurrence == t.Occurrence && other.Step == t.Step {
			beside++
		}
	}
	if step.MaxPerRunner > 0 && beside >= step.MaxPerRunner {
		r.cfg.Ledger.AddViolation("ROUTE %v on %s: beyond its limit per runner", t, r.name())
	}
	if j.Repeats > 0 && time.Until(j.Due(t.Occurrence)) > earlyTime {
		r.cfg.Ledger.AddViolation("ORDER %v on %s: %v early", t, r.name(), time.Until(j.Due(t.Occurrence)))
	}
	r.cfg.Ledger.checkCancelled(t, r.name())
}

// earlyTime is the time before its due time at which an occurrence may start (early_ms).
const earlyTime = 250 * time.Millisecond

func (l *Ledger) checkCancelled(t Task, runner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := l.submitted[t.Job].CancelAcknowledged; !at.IsZero() && time.Since(at) > cancelTime {
		l.addViolationLocked("UNASKED %v on %s: %v after its cancellation was acknowledged", t, runner, time.Since(at))
	}
}

// HasLabel reports whether the runner has a label.
func (r *Runner) HasLabel(label string) bool {
	for _, l := range r.cfg.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// SetLateShare changes the share of orders that get no answer and are carried out late.
func (r *Runner) SetLateShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.LateShare = share
	r.cfg.Ledger.setLinkFault(r, share > 0)
}

// Room is what a runner has left.
type Room struct {
	Runner         *Runner
	CPU, MemMB     int64 // not in use
	TotalCPU       int64
	runsByStep     map[string]int
	AcceptsNewRuns bool
}

// Room returns what the runner has left.
func (r *Runner) Room() Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := Room{
		Runner: r, CPU: r.cpu, MemMB: r.cfg.MemMB, TotalCPU: r.cpu, runsByStep: make(map[string]int),
		AcceptsNewRuns: !r.ended && !r.crashed && !r.draining && r.loss == (Loss{}),
	}
	for t, taskRun := range r.running {
		room.CPU -= taskRun.cpu
		room.MemMB -= taskRun.memMB
		room.runsByStep[phaseOf(t)]++
	}
	return room
}

// Running returns the tasks that the runner runs.
func (r *Runner) Running() []Task {
	r.mu.Lock()
	defer r.mu.Unlock()
	tasks := make([]Task, 0, len(r.running))
	for t := range r.running {
		tasks = append(tasks, t)
	}
	return tasks
}

// fit returns how many more tasks of a step a runner has room for.
func (room Room) fit(t Task, step Step, advised bool) int {
	if !room.AcceptsNewRuns || (step.RequiredLabel != "" && !room.Runner.HasLabel(step.RequiredLabel)) ||
		(advised && room.Runner.cfg.Adviser != nil && !room.Runner.cfg.Adviser.Allows(phaseOf(t), room.Runner.ID())) {
		return 0
	}
	n := min(room.CPU/max(1, step.CPU), room.MemMB/max(1, step.MemMB))
	if step.MaxPerRunner > 0 {
		n = min(n, int64(step.MaxPerRunner-room.runsByStep[phaseOf(t)]))
	}
	return int(max(0, n))
}

// fitsTwice reports whether there is room for a task, or for its whole gang, twice over.
func fitsTwice(rooms []Room, t Task, step Step, advised bool) bool {
	wanted := 2
	if step.Gang {
		wanted = 2 * step.Count
	}
	for _, room := range rooms {
		wanted -= room.fit(t, step, advised)
	}
	return wanted <= 0
}

// Idle is work that waits though there is room for it: a job of which nothing runs, or a task
// that lasts and does not run.
type Idle struct {
	Task    Task // of a job that does not last, one that waits
	Lasting bool
	LastEnd time.Time // of the last run of the task, or of the job
}

// Due returns the due time of an occurrence.
func (j *Job) Due(occurrence int) time.Time {
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// Idle returns the work of accepted jobs, without those that are cancelled or were shown in a final
// state, of which nothing runs though its turn has come and there is room for it twice over.
func (l *Ledger) Idle(rooms []Room) []Idle {
	l.mu.Lock()
	defer l.mu.Unlock()
	var idle []Idle
	for _, j := range l.submitted {
		if !j.Accepted || j.Cancelled || j.Ended {
			continue
		}
		for occurrence := range max(1, j.Repeats) {
			if j.Repeats > 0 && time.Now().Before(j.Due(occurrence)) {
				break
			}
			idle = append(idle, l.idleTasks(j, occurrence, rooms)...)
		}
	}
	return idle
}

func (l *Ledger) idleTasks(j *Job, occurrence int, rooms []Room) []Idle {
	var idle []Idle
	lastEnd, running := time.Time{}, false
	for n, step := range j.Steps {
		for i := range step.Count {
			t := Task{Job: j.ID, Step: n, Index: i, Occurrence: occurrence}
			taskRuns, end := false, time.Time{}
			for _, r := range l.runs[t] {
				taskRuns = taskRuns || !r.ended
				end = latest(end, r.over)
			}
			running, lastEnd = running || taskRuns, latest(lastEnd, end)
			if taskRuns || l.taskDone(t) || !l.ready(j, t) || !fitsTwice(rooms, t, step, j.Advised) {
				continue
			}
			idle = append(idle, Idle{Task: t, Lasting: step.LongRunning, LastEnd: end})
		}
	}
	out := idle[:0]
	for _, w := range idle {
		if w.Lasting {
			out = append(out, w)
			continue
		}
		if !running {
			w.LastEnd = lastEnd
			return append(out, w)
		}
	}
	return out
}

// ready reports whether the predecessors of a task's step are done.
func (l *Ledger) ready(j *Job, t Task) bool {
	for _, dependency := range j.Steps[t.Step].After {
		for i := range j.Steps[dependency].Count {
			if !l.taskDone(Task{t.Job, dependency, i, t.Occurrence}) {
				return false
			}
		}
	}
	return true
}

// taskDone reports whether a run of a task, or of another member of its gang, was done.
func (l *Ledger) taskDone(t Task) bool {
	step := l.submitted[t.Job].Steps[t.Step]
	first, last := t.Index, t.Index
	if step.Gang {
		first, last = 0, step.Count-1
	}
	for i := first; i <= last; i++ {
		for _, r := range l.runs[Task{t.Job, t.Step, i, t.Occurrence}] {
			if r.done {
				return true
			}
		}
	}
	return false
}

// Begun reports whether a run of a job was started.
func (l *Ledger) Begun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasRun(id)
}

// AllDone reports whether all tasks of a job are done, and whether one may have failed.
func (l *Ledger) AllDone(j *Job) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for occurrence := range max(1, j.Repeats) {
		for n, step := range j.Steps {
			for i := range step.Count {
				if !l.taskDone(Task{j.ID, n, i, occurrence}) {
					return false
				}
			}
		}
	}
	return true
}

// SetEnded records that a job was shown in a final state.
func (l *Ledger) SetEnded(j *Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.Ended = true
}

// Runs returns one line for each run of a job.
func (l *Ledger) Runs(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for t, runs := range l.runs {
		for _, r := range runs {
			if t.Job == id {
				lines = append(lines, fmt.Sprintf("%s run %d on %s began %s over %s done %v", taskName(t), r.number, r.runner, clock(r.began), clock(r.over), r.done))
			}
		}
	}
	return lines
}

func clock(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format("15:04:05.000")
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CancelAcknowledged returns when the cancellation of a job was acknowledged, or the zero time.
func (l *Ledger) CancelAcknowledged(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.submitted[id]; j != nil {
		return j.CancelAcknowledged
	}
	return time.Time{}
}

// Queue returns the path prefix of a job's queue.
func (l *Ledger) Queue(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.submitted[id]; j != nil {
		return j.Queue
	}
	return ""
}
