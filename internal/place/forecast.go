package place

import (
	"fmt"
	"math"
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

const (
	shareWindowMs       = 3_600_000 // window of the mean held share
	trendWindowMs       = 600_000   // window of the lateness trend
	sampleIntervalMs    = 5000      // between lateness samples
	warnHorizonMs       = 600_000   // warn if the trend makes a deadline slip within this time
	refusalTolerance    = 0.25      // prediction error that doesn't refuse a deadline, as a fraction of the time left
	failingWorkersRatio = 0.1       // fraction of failing workers from which they are the reason for lateness
	wrongSizeRatio      = 1.5       // ratio of actual to declared run times from which it is the reason
)

// LateReason is why a customer's work is predicted to end late.
type LateReason string

// Reasons for lateness.
const (
	LateNone     LateReason = ""
	LateRoom     LateReason = "room"
	LateShare    LateReason = "share"
	LateWorkers  LateReason = "failing workers"
	LateRunTimes LateReason = "wrong sizes"
)

// noPrediction is the lateness of a customer without unfinished deadlines.
const noPrediction = math.MinInt64

// Forecast predicts how late one customer's unfinished work will end.
type Forecast struct {
	Customer      string
	Waiting       int     // queued members
	Running       int     // attempts
	Held          float64 // dominant share held now
	UsedShare     float64 // mean dominant share held over the last hour
	LateMs        int64   // worst predicted lateness; negative: time to spare
	LateTasks     int     // tasks predicted to end late
	TrendMsPerMin float64 // growth of LateMs per minute
	Reason        LateReason
	Warning       bool  // a deadline is at risk that was not at the last forecast
	Met           int32 // deadlines met
	Missed        int32 // deadlines missed
}

// shareMean is a moving average over shareWindowMs.
type shareMean struct {
	value     float64
	updatedAt int64
	coveredMs int64 // time averaged so far, at most shareWindowMs
}

func (m *shareMean) add(share float64, now int64) {
	if m.updatedAt == 0 || now <= m.updatedAt {
		m.updatedAt = max(m.updatedAt, now)
		if m.coveredMs == 0 {
			m.value = share
		}
		return
	}
	dt := now - m.updatedAt
	m.updatedAt = now
	m.coveredMs = min(m.coveredMs+dt, shareWindowMs)
	m.value += (share - m.value) * min(1, float64(dt)/float64(m.coveredMs))
}

// latenessHistory holds a customer's recent lateness and its cached backlog.
type latenessHistory struct {
	samples   []latenessSample
	warned    bool
	backlog   []backlogEntry // cached by queueWait
	backlogAt int64
}

type latenessSample struct {
	at     int64
	lateMs int64
}

// backlogEntry is the total work in the queue up to and including one job.
type backlogEntry struct {
	startBy    int64
	cumulative float64 // dominant share times run time in milliseconds, summed up to this job
}

// Forecast returns the forecast of each customer, ordered by name.
func (p *Planner) Forecast(now int64) []Forecast {
	byAccount := make(map[*account]*Forecast, len(p.accountsByName))
	for _, a := range p.accountsByName {
		byAccount[a] = p.forecastWaiting(a, now)
	}
	for _, j := range p.jobs {
		f := byAccount[j.account]
		f.Running += len(j.live)
		if len(j.waitingMembers) == 0 && len(j.live) > 0 {
			p.recordPredictedEnd(f, j, p.predictEnd(j, now))
		}
	}
	out := make([]Forecast, 0, len(p.accountsByName))
	for _, a := range p.accountsByName {
		p.updateTrend(a, byAccount[a], now)
		out = append(out, *byAccount[a])
	}
	return out
}

// forecastWaiting predicts when the account's queued jobs end if its queue
// drains at a constant rate.
func (p *Planner) forecastWaiting(a *account, now int64) *Forecast {
	held := a.held.DominantShare(p.total)
	a.usedShare.add(held, now)
	f := &Forecast{Customer: a.name, Held: held, UsedShare: a.usedShare.value, Met: a.deadlinesMet, Missed: a.deadlinesMissed}
	rate := p.drainRate(a)
	queuedWork := 0.0
	f.LateMs = noPrediction
	for _, j := range p.sortedQueue(a) {
		estimate := p.cautiousRemaining(j)
		end := now + int64(queuedWork/rate) + estimate
		queuedWork += float64(len(j.waitingMembers)) * j.need.DominantShare(p.total) * float64(estimate)
		f.Waiting += len(j.waitingMembers)
		p.recordPredictedEnd(f, j, end)
	}
	return f
}

// recordPredictedEnd adds a task's predicted end to the forecast.
func (p *Planner) recordPredictedEnd(f *Forecast, j *job, end int64) {
	deadline := j.task.GetSpec().GetDeadlineUnixMs()
	if deadline == 0 || j.isService() {
		return
	}
	f.LateMs = max(f.LateMs, end-deadline)
	if end > deadline {
		f.LateTasks++
	}
}

// predictEnd predicts the end of a task whose members have all started.
func (p *Planner) predictEnd(j *job, now int64) int64 {
	estimateMs := p.estimator.runTime(j.task.GetSpec()).likelyMs
	end := now
	for _, a := range j.live {
		end = max(end, now+a.remaining(now, estimateMs))
	}
	return end
}

// drainRate returns the fraction of the cell that works on the account's queue:
// its share, or what the other accounts leave if that is more.
func (p *Planner) drainRate(a *account) float64 {
	otherShares := 0.0
	for _, other := range p.accountsByName {
		if other == a {
			continue
		}
		wanted := other.held.DominantShare(p.total)
		if len(other.queue) > 0 {
			wanted = max(wanted, other.share)
		}
		otherShares += min(wanted, max(other.share, 0))
	}
	return max(a.share, 1-otherShares, minShare)
}

// sortedQueue returns the account's queued jobs in queue order. Delayed and
// oversized jobs are not queued.
func (p *Planner) sortedQueue(a *account) []*job {
	out := a.queuedJobs()
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

// updateTrend samples the lateness and sets the forecast's trend, reason and warning.
func (p *Planner) updateTrend(a *account, f *Forecast, now int64) {
	history := &a.lateness
	if f.LateMs == noPrediction {
		f.LateMs = 0
		history.samples, history.warned = nil, false
		return
	}
	if n := len(history.samples); n == 0 || now-history.samples[n-1].at >= sampleIntervalMs {
		history.samples = append(history.samples, latenessSample{now, f.LateMs})
	}
	for len(history.samples) > 0 && now-history.samples[0].at > trendWindowMs {
		history.samples = history.samples[1:]
	}
	f.TrendMsPerMin = slope(history.samples) * 60_000
	atRisk := f.LateMs > 0 || f.TrendMsPerMin > 0 && float64(f.LateMs)+f.TrendMsPerMin*warnHorizonMs/60_000 > 0
	if atRisk {
		f.Reason = p.lateReason(a)
	}
	f.Warning = atRisk && !history.warned
	history.warned = atRisk
}

// slope fits a line by least squares and returns its rise per millisecond.
func slope(samples []latenessSample) float64 {
	n := float64(len(samples))
	if n < 3 {
		return 0
	}
	var sx, sy, sxx, sxy float64
	for _, s := range samples {
		x, y := float64(s.at-samples[0].at), float64(s.lateMs)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return 0
	}
	return (n*sxy - sx*sy) / denominator
}

func (p *Planner) lateReason(a *account) LateReason {
	failing := 0
	for _, h := range p.hosts {
		if status := h.availability(); status == Quarantined || status == Lost {
			failing++
		}
	}
	if float64(failing) >= failingWorkersRatio*float64(len(p.hosts)) && failing > 0 {
		return LateWorkers
	}
	if m := p.estimator.ratios[a.name]; m != nil && m.count >= minLearnedRuns && m.typical >= wrongSizeRatio {
		return LateRunTimes
	}
	if p.overShare(a) && p.othersQueued(a) {
		return LateShare
	}
	return LateRoom
}

func (p *Planner) othersQueued(a *account) bool {
	for _, other := range p.accountsByName {
		if other != a && len(other.queue) > 0 {
			return true
		}
	}
	return false
}

// Admit checks a submission's deadline against its estimated run time and the
// work queued before it. It returns a refusal, or warnings.
func (p *Planner) Admit(spec *egretmuxv1.TaskSpec, now int64) (*refusal.Error, []string) {
	deadline := spec.GetDeadlineUnixMs()
	if deadline == 0 || spec.GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		return nil, nil
	}
	predicted := p.estimator.runTime(spec)
	estimate := predicted.likelyMs
	if !predicted.learned {
		estimate = min(estimate, spec.GetDeclaredRunMs())
	}
	basis := "its declared run time"
	if predicted.learned {
		basis = "earlier runs of the same name"
	}
	if now+estimate > deadline {
		return refusal.New(refusal.DeadlineNotMet, fmt.Sprintf("allow at least %d ms", estimate),
			"based on %s it takes %d ms, but only %d ms are left", basis, estimate, deadline-now), nil
	}
	wait := p.queueWait(p.accountOrNew(spec.GetCustomer()), deadline-estimate, now)
	end := now + wait + estimate
	switch {
	case end > deadline+int64(refusalTolerance*float64(deadline-now)):
		return refusal.New(refusal.DeadlineNotMet, fmt.Sprintf("allow at least %d ms", wait+estimate),
			"work queued before it takes about %d ms and the task itself %d ms, but only %d ms are left", wait, estimate, deadline-now), nil
	case end > deadline:
		return nil, []string{fmt.Sprintf("it may end about %d ms late: work queued before it takes about %d ms", end-deadline, wait)}
	}
	return nil, nil
}

// queueWait estimates the milliseconds until the account has worked off the jobs
// with a latest start of at most startBy. It sums up the queue at most
// once a second.
func (p *Planner) queueWait(a *account, startBy, now int64) int64 {
	if a.lateness.backlogAt == 0 || now-a.lateness.backlogAt >= 1000 {
		a.lateness.backlogAt = now
		a.lateness.backlog = a.lateness.backlog[:0]
		cumulative := 0.0
		for _, j := range p.sortedQueue(a) {
			cumulative += float64(len(j.waitingMembers)) * j.need.DominantShare(p.total) * float64(p.cautiousRemaining(j))
			a.lateness.backlog = append(a.lateness.backlog, backlogEntry{j.startBy, cumulative})
		}
	}
	i := sort.Search(len(a.lateness.backlog), func(i int) bool { return a.lateness.backlog[i].startBy > startBy })
	if i == 0 {
		return 0
	}
	return int64(a.lateness.backlog[i-1].cumulative / p.drainRate(a))
}
