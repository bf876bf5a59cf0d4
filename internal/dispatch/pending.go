package dispatch

import "sync"

// pendingJobs tells which of the jobs that have not ended have had a run. Reads of jobs use it without waiting for
// the planner. It is safe for concurrent use.
type pendingJobs struct {
	mu      sync.RWMutex
	started map[string]bool   // by job
	waiting map[[2]string]int // by queue: jobs without a run, periodic ones left out
}

func newPendingJobs() *pendingJobs {
	return &pendingJobs{started: make(map[string]bool), waiting: make(map[[2]string]int)}
}

func (p *pendingJobs) add(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started[j.id] = false
	p.count(j, 1)
}

// start records that a job has had a run, and reports whether this was not known.
func (p *pendingJobs) start(j *job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if started, known := p.started[j.id]; !known || started {
		return false
	}
	p.started[j.id] = true
	p.count(j, -1)
	return true
}

func (p *pendingJobs) remove(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if started, known := p.started[j.id]; known && !started {
		p.count(j, -1)
	}
	delete(p.started, j.id)
}

func (p *pendingJobs) count(j *job, n int) {
	if j.spec.GetRepeats() > 0 {
		return
	}
	key := queueKey(j)
	if p.waiting[key] += n; p.waiting[key] == 0 {
		delete(p.waiting, key)
	}
}

// PendingJobs returns how many accepted jobs of a queue, periodic ones left out, have had no run yet. It may be
// called at any time.
func (c *Core) PendingJobs(host, prefix string) int {
	c.pending.mu.RLock()
	defer c.pending.mu.RUnlock()
	return c.pending.waiting[[2]string{host, prefix}]
}

// JobStarted reports whether a job has had a run. It may be called at any time.
func (c *Core) JobStarted(id string) bool {
	c.pending.mu.RLock()
	defer c.pending.mu.RUnlock()
	return c.pending.started[id]
}
