package jobs

import "time"

// gangTimeout is the time for which a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangKey identifies one run of a gang.
type gangKey struct {
	job              string
	occurrence, step int
	run              uint64
}

// gang is one run of a gang, whose members work from the time when all are present.
type gang struct {
	members  map[int]func(outcome string) // by index: ends the member's run
	complete bool
	over     bool
}

func gangOf(t Task, run uint64) gangKey { return gangKey{t.Job, t.Occurrence, t.Step, run} }

// joinGang adds a member to a run of a gang. Once all are present, they work for the given time
// and end together.
func (l *Ledger) joinGang(t Task, run uint64, count int, length time.Duration, end func(outcome string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gangs[gangOf(t, run)]
	if g == nil {
		g = &gang{members: make(map[int]func(string))}
		l.gangs[gangOf(t, run)] = g
	}
	if g.over {
		go end("broken")
		return
	}
	g.members[t.Index] = end
	if len(g.members) < count || g.complete {
		return
	}
	g.complete = true
	time.AfterFunc(length, func() { l.endGang(g, "done") })
}

func (l *Ledger) gangComplete(t Task, run uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gangs[gangOf(t, run)]
	return g != nil && g.complete
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
