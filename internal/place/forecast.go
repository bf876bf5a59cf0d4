package place

import (
	"fmt"
	"math"
	"sort"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

const (
	reportWindow   = 3_600_000 // milliseconds over which the held share is averaged
	trendWindow    = 600_000   // milliseconds over which the trend is taken
	sampleEvery    = 5000      // milliseconds between samples of the lateness
	warnHorizon    = 600_000   // a deadline that slips within this time at the present trend is warned of
	doubtPart      = 0.25      // of the time left that a prediction may be off before a deadline is refused
	sickPart       = 0.1       // of the workers from which failing ones are named as the reason
	wrongSizeRatio = 1.5       // of true to declared run times from which they are named as the reason
)

// LateReason tells why a customer's work is predicted to end late.
type LateReason string

// Reasons for lateness.
const (
	LateNone    LateReason = ""
	LateRoom    LateReason = "room"
	LateShare   LateReason = "share"
	LateWorkers LateReason = "failing workers"
	LateSizes   LateReason = "wrong sizes"
)

// noPromise stands for the lateness of a customer without unfinished deadlines.
const noPromise = math.MinInt64

// Forecast is the outlook of one customer's waiting work.
type Forecast struct {
	Customer      string
	Waiting       int // members
	Running       int // attempts
	Held          float64
	UsedShare     float64 // mean share held over the last hour
	LateMs        int64   // worst predicted lateness; negative: time to spare
	LateTasks     int     // tasks predicted to end late
	TrendMsPerMin float64 // growth of LateMs in milliseconds a minute
	Reason        LateReason
	Warning       bool // a deadline slips now or soon, and did not at the last forecast
	Met           int32
	Missed        int32
}

// decayed is a mean over the last reportWindow.
type decayed struct {
	value float64
	at    int64
	span  int64 // milliseconds covered so far
}

func (d *decayed) add(v float64, now int64) {
	if d.at == 0 || now <= d.at {
		d.at = max(d.at, now)
		if d.span == 0 {
			d.value = v
		}
		return
	}
	dt := now - d.at
	d.at = now
	d.span = min(d.span+dt, reportWindow)
	d.value += (v - d.value) * min(1, float64(dt)/float64(d.span))
}

// lateness is what is kept of a customer's forecasts.
type lateness struct {
	samples []lateSample
	warned  bool
	work    []workAhead
	workAt  int64
}

type lateSample struct {
	at   int64
	late int64
}

// workAhead is the work that waits up to a place in the queue.
type workAhead struct {
	startBy int64
	sum     float64 // cell-milliseconds: dominant share times run time
}

// Forecast returns the outlook of each customer.
func (p *Planner) Forecast(now int64) []Forecast {
	byAccount := make(map[*account]*Forecast, len(p.order))
	for _, a := range p.order {
		byAccount[a] = p.forecastWaiting(a, now)
	}
	for _, j := range p.jobs {
		f := byAccount[j.account]
		f.Running += len(j.live)
		if len(j.waiting) == 0 && len(j.live) > 0 {
			p.noteLate(f, j, p.endOf(j, now))
		}
	}
	out := make([]Forecast, 0, len(p.order))
	for _, a := range p.order {
		p.trend(a, byAccount[a], now)
		out = append(out, *byAccount[a])
	}
	return out
}

// forecastWaiting predicts the ends of the account's waiting jobs as if its
// queue drained at a steady rate.
func (p *Planner) forecastWaiting(a *account, now int64) *Forecast {
	held := a.held.DominantShare(p.total)
	a.usedShare.add(held, now)
	f := &Forecast{Customer: a.name, Held: held, UsedShare: a.usedShare.value, Met: a.met, Missed: a.missed}
	rate := p.rateOf(a)
	work := 0.0
	f.LateMs = noPromise
	for _, j := range p.sorted(a) {
		estimate := p.estimate(j)
		end := now + int64(work/rate) + estimate
		work += float64(len(j.waiting)) * j.need.DominantShare(p.total) * float64(estimate)
		f.Waiting += len(j.waiting)
		p.noteLate(f, j, end)
	}
	return f
}

// noteLate takes in when a task is predicted to end.
func (p *Planner) noteLate(f *Forecast, j *job, end int64) {
	deadline := j.task.GetSpec().GetDeadlineUnixMs()
	if deadline == 0 || j.service() {
		return
	}
	f.LateMs = max(f.LateMs, end-deadline)
	if end > deadline {
		f.LateTasks++
	}
}

// endOf predicts the end of a task all of whose members run.
func (p *Planner) endOf(j *job, now int64) int64 {
	ms := p.learn.estimate(j.task.GetSpec()).likely
	end := now
	for _, x := range j.live {
		end = max(end, now+x.left(now, ms))
	}
	return end
}

// rateOf returns the part of the cell that the account's queue drains with: its
// share, or what the others leave if that is more.
func (p *Planner) rateOf(a *account) float64 {
	others := 0.0
	for _, o := range p.order {
		if o == a {
			continue
		}
		wanted := o.held.DominantShare(p.total)
		if len(o.queue) > 0 {
			wanted = max(wanted, o.share)
		}
		others += min(wanted, max(o.share, 0))
	}
	return max(a.share, 1-others, minShare)
}

// sorted returns the account's waiting jobs, delayed and parked ones left out,
// in the order of its queue.
func (p *Planner) sorted(a *account) []*job {
	out := a.queued()
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

// trend samples the lateness and sets trend, reason and warning.
func (p *Planner) trend(a *account, f *Forecast, now int64) {
	l := &a.late
	if f.LateMs == noPromise {
		f.LateMs = 0
		l.samples, l.warned = nil, false
		return
	}
	if n := len(l.samples); n == 0 || now-l.samples[n-1].at >= sampleEvery {
		l.samples = append(l.samples, lateSample{now, f.LateMs})
	}
	for len(l.samples) > 0 && now-l.samples[0].at > trendWindow {
		l.samples = l.samples[1:]
	}
	f.TrendMsPerMin = slope(l.samples) * 60_000
	slips := f.LateMs > 0 || f.TrendMsPerMin > 0 && float64(f.LateMs)+f.TrendMsPerMin*warnHorizon/60_000 > 0
	if slips {
		f.Reason = p.lateReason(a)
	}
	f.Warning = slips && !l.warned
	l.warned = slips
}

// slope fits a line by least squares and returns its rise per millisecond.
func slope(samples []lateSample) float64 {
	n := float64(len(samples))
	if n < 3 {
		return 0
	}
	var sx, sy, sxx, sxy float64
	for _, s := range samples {
		x, y := float64(s.at-samples[0].at), float64(s.late)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0
	}
	return (n*sxy - sx*sy) / d
}

func (p *Planner) lateReason(a *account) LateReason {
	bad := 0
	for _, h := range p.hosts {
		if t := h.takes(); t == Quarantined || t == Lost {
			bad++
		}
	}
	if float64(bad) >= sickPart*float64(len(p.hosts)) && bad > 0 {
		return LateWorkers
	}
	if m := p.learn.ratios[a.name]; m != nil && m.n >= sureRuns && m.value >= wrongSizeRatio {
		return LateSizes
	}
	if p.overShare(a) && p.othersWait(a) {
		return LateShare
	}
	return LateRoom
}

func (p *Planner) othersWait(a *account) bool {
	for _, o := range p.order {
		if o != a && len(o.queue) > 0 {
			return true
		}
	}
	return false
}

// Admit checks a submission's deadline against the learned run time and the
// work that goes before it. It returns a refusal, or warnings.
func (p *Planner) Admit(spec *egretmuxv1.TaskSpec, now int64) (*refusal.Error, []string) {
	deadline := spec.GetDeadlineUnixMs()
	if deadline == 0 || spec.GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE {
		return nil, nil
	}
	learned := p.learn.estimate(spec)
	estimate := learned.likely
	if !learned.sure {
		estimate = min(estimate, spec.GetDeclaredRunMs())
	}
	basis := "its declared run time"
	if learned.sure {
		basis = "the run times of its like"
	}
	if now+estimate > deadline {
		return refusal.New(refusal.DeadlineNotMet, fmt.Sprintf("allow at least %d ms", estimate),
			"by %s it takes %d ms and %d ms are left", basis, estimate, deadline-now), nil
	}
	wait := p.waitBefore(p.account(spec.GetCustomer()), deadline-estimate, now)
	end := now + wait + estimate
	switch {
	case end > deadline+int64(doubtPart*float64(deadline-now)):
		return refusal.New(refusal.DeadlineNotMet, fmt.Sprintf("allow at least %d ms", wait+estimate),
			"work that goes before it takes about %d ms, and it takes %d ms itself; %d ms are left", wait, estimate, deadline-now), nil
	case end > deadline:
		return nil, []string{fmt.Sprintf("it may end about %d ms late: work that goes before it takes about %d ms", end-deadline, wait)}
	}
	return nil, nil
}

// waitBefore returns the milliseconds until the account's work that must start
// before the given time has started. The queue is summed once a second.
func (p *Planner) waitBefore(a *account, startBy, now int64) int64 {
	if a.late.workAt == 0 || now-a.late.workAt >= 1000 {
		a.late.workAt = now
		a.late.work = a.late.work[:0]
		sum := 0.0
		for _, j := range p.sorted(a) {
			sum += float64(len(j.waiting)) * j.need.DominantShare(p.total) * float64(p.estimate(j))
			a.late.work = append(a.late.work, workAhead{j.startBy, sum})
		}
	}
	i := sort.Search(len(a.late.work), func(i int) bool { return a.late.work[i].startBy > startBy })
	if i == 0 {
		return 0
	}
	return int64(a.late.work[i-1].sum / p.rateOf(a))
}
