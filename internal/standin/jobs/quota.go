package jobs

// quotaOvershoot is the share by which a tenant may exceed its limit, beside one task more (quota_overshoot).
const quotaOvershoot = 0.1

// quota is the limit of a tenant on what it has running, and what it has.
type quota struct {
	cpu, memMB int64 // zero: no limit
	running    map[*run]Step
	use        QuotaUse
}

// QuotaUse is what a ledger has seen of a tenant with a limit.
type QuotaUse struct {
	Starts         int
	MostCPU, MemMB int64 // the most that ran at once
}

// SetQuota limits what a tenant may have running. It is called before the tenant's first job is sent, with the
// limit of all configurations.
func (l *Ledger) SetQuota(tenant string, cpu, memMB int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quotas[tenant] = &quota{cpu: cpu, memMB: memMB, running: make(map[*run]Step)}
}

// QuotaUse returns what the ledger has seen of a tenant with a limit.
func (l *Ledger) QuotaUse(tenant string) QuotaUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quotas[tenant].use
}

// checkQuota adds a run that has begun, and checks the limit of its job's tenant. The caller holds l.mu.
func (l *Ledger) checkQuota(t Task, r *run) {
	j := l.submitted[t.Job]
	if j == nil || l.quotas[j.Tenant] == nil {
		return
	}
	q, step := l.quotas[j.Tenant], j.Steps[t.Step]
	q.running[r] = step
	cpu, memMB := int64(0), int64(0)
	for other, s := range q.running {
		if !other.goesOn(r.began) {
			delete(q.running, other)
			continue
		}
		cpu, memMB = cpu+s.CPU, memMB+s.MemMB
	}
	q.use.Starts++
	q.use.MostCPU, q.use.MemMB = max(q.use.MostCPU, cpu), max(q.use.MemMB, memMB)
	if exceeds(cpu, q.cpu, step.CPU) || exceeds(memMB, q.memMB, step.MemMB) {
		l.addViolationLocked("QUOTA %v run %d on %s: with it %s has %d millicores and %d MB running, and may have %d and %d", t, r.number, r.runner, j.Tenant, cpu, memMB, q.cpu, q.memMB)
	}
}

// exceeds reports whether what runs is above a limit, the overshoot and one task more.
func exceeds(running, limit, task int64) bool {
	return limit > 0 && float64(running) > float64(limit)*(1+quotaOvershoot)+float64(task)
}
