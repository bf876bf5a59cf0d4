package jobs

import "time"

// defaultGangTimeout is the time for which a member of a gang waits for the others, unless SetGangTimeout
// sets another one.
const defaultGangTimeout = 4 * time.Second

// gangKey identifies one run of a gang.
type gangKey struct {
	job              string
	occurrence, step int
	run              uint64
}

// gang is one run of a gang, whose members work from the time when all are present.
type gang struct {
	members  map[int]func(outcome string) // by index: ends the member's run
	began    time.Time                    // when its first member began
	late     bool                         // the order of a member got no answer and is carried out late
	complete bool
	over     bool
}

// GangCounts are numbers of runs of gangs that a ledger has seen.
type GangCounts struct {
	Whole       int           // in which all members were present
	SlowestJoin time.Duration // longest time from the first member to the last
	Alone       int           // members that waited for the others in vain
	Excused     int           // of these, with a fault near or an order that was carried out late
}

// SetGangTimeout sets the time for which a member of a gang waits for the others.
func (l *Ledger) SetGangTimeout(timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gangTimeout = timeout
}

// JudgeGangsBesideFaults makes faults of instances and their links, and orders to other members that are carried
// out late, no excuse for members of a gang that wait in vain.
func (l *Ledger) JudgeGangsBesideFaults() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gangsBesideFaults = true
}

// Gangs returns what the ledger has seen of gangs.
func (l *Ledger) Gangs() GangCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gangCounts
}

func gangOf(t Task, run uint64) gangKey { return gangKey{t.Job, t.Occurrence, t.Step, run} }

// gangLocked returns a run of a gang. The caller holds l.mu.
func (l *Ledger) gangLocked(t Task, run uint64) *gang {
	g := l.gangs[gangOf(t, run)]
	if g == nil {
		g = &gang{members: make(map[int]func(string))}
		l.gangs[gangOf(t, run)] = g
	}
	return g
}

// joinGang adds a member to a run of a gang. Once all are present, they work for the given time
// and end together. It returns how long the member waits for the others.
func (l *Ledger) joinGang(t Task, run uint64, count int, length time.Duration, end func(outcome string)) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gangLocked(t, run)
	if g.over {
		go end("broken")
		return l.gangTimeout
	}
	if g.began.IsZero() {
		g.began = time.Now()
	}
	g.members[t.Index] = end
	if len(g.members) < count || g.complete {
		return l.gangTimeout
	}
	g.complete = true
	l.gangCounts.Whole++
	l.gangCounts.SlowestJoin = max(l.gangCounts.SlowestJoin, time.Since(g.began))
	time.AfterFunc(length, func() { l.endGang(g, "done") })
	return l.gangTimeout
}

// noteLateMember records that the order to start a member got no answer and is carried out late.
func (l *Ledger) noteLateMember(t Task, run uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.submitted[t.Job]; j != nil && t.Step < len(j.Steps) && j.Steps[t.Step].Gang {
		l.gangLocked(t, run).late = true
	}
}

// waitsForOthers reports whether a run is that of a member of a gang that is not whole, and so does not work yet.
func (l *Ledger) waitsForOthers(t Task, run uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gangs[gangOf(t, run)]
	return g != nil && !g.complete
}

func (l *Ledger) gangComplete(t Task, run uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gangs[gangOf(t, run)]
	return g != nil && g.complete
}

// judgeAloneLocked judges a member that waited for the others in vain. A fault near its run excuses that, and so
// does an order to the gang that was carried out late. The caller holds l.mu.
func (l *Ledger) judgeAloneLocked(t Task, r *run) {
	if j := l.submitted[t.Job]; j == nil || j.Cancelled || r.late {
		return
	}
	l.gangCounts.Alone++
	g := l.gangLocked(t, r.number)
	since := l.runnerFaults.calmSince
	if !l.gangsBesideFaults {
		since = latest(since, l.instanceFaults.calmSince)
	}
	calm := l.runnerFaults.over() && (l.gangsBesideFaults || !g.late && l.instanceFaults.over() && l.disturbances == 0)
	if !calm || r.began.Sub(since) < contactTime {
		l.gangCounts.Excused++
		return
	}
	stop := "no stop"
	if !r.stopAt.IsZero() {
		stop = "a stop after " + r.stopAt.Sub(r.began).Round(time.Millisecond).String()
	}
	l.addViolationLocked("GANG %v run %d on %s waited for the others in vain: %d of %d were there, it got %s", t, r.number, r.runner, len(g.members), l.submitted[t.Job].Steps[t.Step].Count, stop)
}

// recordStop records that a runner was told to stop a run.
func (l *Ledger) recordStop(t Task, number uint64, runner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordRunLocked("runner_told_to_stop", t, number, runner).Send()
	for _, r := range l.runs[t] {
		if r.number == number && r.runner == runner && r.stopAt.IsZero() {
			r.stopAt = time.Now()
		}
	}
}

// leaveGang ends the run of a gang after the end of one of its members.
func (l *Ledger) leaveGang(t Task, run uint64, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gangs[gangOf(t, run)]
	if g == nil {
		return
	}
	delete(g.members, t.Index)
	if outcome != "done" && (g.complete || outcome == "alone") {
		go l.endGang(g, "broken")
	}
}

func (l *Ledger) endGang(g *gang, outcome string) {
	l.mu.Lock()
	members := make([]func(string), 0, len(g.members))
	for _, end := range g.members {
		members = append(members, end)
	}
	if g.over {
		members = nil
	}
	g.over = true
	l.mu.Unlock()
	for _, end := range members {
		end(outcome)
	}
}
