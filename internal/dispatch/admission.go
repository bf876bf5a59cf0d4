package dispatch

import (
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	jobs "github.com/egretmux/egretmux/internal/job"
)

// maxRetryAfter bounds the time after which a refused caller is told to return. Callers
// beyond it are spread over the same span again.
const maxRetryAfter = 30 * time.Second

// ReasonOverRate is the reason of a refused submit: it is beyond the rate of its customer,
// whose jobs over rate already wait for more room than comes free for them in time.
const ReasonOverRate = "over-rate"

// Admission is the decision about a submit.
type Admission struct {
	OverRate   bool
	Refused    bool
	RetryAfter time.Duration // of a refused submit
}

// admitted is an accepted submit that is not stored yet.
type admitted struct {
	customer *customer
	overRate bool
	pool     string
	cpu      int64 // of its first tasks, thousandths of a core
}

// IsAdmitted reports whether a submit of a customer was accepted and is not stored yet.
func (c *Core) IsAdmitted(id string) bool {
	_, storing := c.admitted[id]
	return storing
}

// AdmissionSettled drops the admission of a job that turned out to be stored already.
func (c *Core) AdmissionSettled(id string) { delete(c.admitted, id) }

// Admit decides whether a submit of a customer of the catalogue in force is accepted, and
// whether it is over rate. A repeated submit of a job that is stored, or being stored, takes
// no token and is never refused. Once an accepted job is stored, JobAccepted must follow; a
// job that is never stored ends with the tenure.
func (c *Core) Admit(spec *egretmuxv1.Job, now time.Duration) Admission {
	c.updateCustomers()
	if a, storing := c.admitted[spec.GetId()]; storing {
		return Admission{OverRate: a.overRate}
	}
	stored := false
	c.cfg.Book.View(spec.GetId(), func(r *jobs.Record) { stored = r != nil })
	customer := c.customerOf(spec)
	if stored || customer == nil {
		return Admission{}
	}
	overRate := !customer.withinRate(now)
	if overRate && !startsLater(spec) && c.backlogTooLong(customer, spec, now) {
		customer.countRefusal(ReasonOverRate)
		c.addNotice(Notice{Event: "submit_refused", Job: spec.GetId(), Customer: customer.name, Reason: ReasonOverRate})
		return Admission{OverRate: true, Refused: true, RetryAfter: customer.retryAfter(now)}
	}
	c.admitted[spec.GetId()] = admitted{customer, overRate, spec.GetService(), firstTasksCPU(spec)}
	return Admission{OverRate: overRate}
}

// startsLater reports whether the room that a job needs does not depend on that of the
// moment when it is submitted.
func startsLater(spec *egretmuxv1.Job) bool {
	return spec.GetRepeats() > 0 || slices.ContainsFunc(spec.GetSteps(), (*egretmuxv1.JobStep).GetLongRunning)
}

// firstTasksCPU returns the cpu of the tasks that a job could start at once.
func firstTasksCPU(spec *egretmuxv1.Job) int64 {
	cpu := int64(0)
	for _, s := range spec.GetSteps() {
		if len(s.GetAfter()) == 0 {
			cpu += int64(s.GetCount()) * demandOf(s).cpu
		}
	}
	return cpu
}

// bucket returns the customer's token bucket, which is full at first.
func (c *customer) bucket(now time.Duration) *tokenBucket {
	if c.tokens == nil {
		c.tokens = newTokenBucket(c.limits.GetJobsPerSecond(), c.rateWindow, now)
	}
	return c.tokens
}

// withinRate takes a token if the customer's rate is limited, and reports whether there was one.
func (c *customer) withinRate(now time.Duration) bool {
	rate := c.limits.GetJobsPerSecond()
	return rate == 0 || c.bucket(now).take(rate, now)
}

func (c *customer) countRefusal(reason string) {
	if c.refused == nil {
		c.refused = make(map[string]uint64)
	}
	c.refused[reason]++
}

// backlogTooLong reports whether a job over rate would start too late: jobs over rate of its
// customer that come before it already wait, and together with it they need more room than is
// free now, less what jobs within their rates wait for, and what the customer's jobs over
// rate get until then.
func (c *Core) backlogTooLong(customer *customer, spec *egretmuxv1.Job, now time.Duration) bool {
	slack := c.slackOf(spec)
	backlog, wanted := c.backlogs(customer, spec.GetService(), now, slack)
	if backlog == 0 {
		return false
	}
	wanted = min(wanted, int64(maxClaimedShare*float64(c.poolCPU(spec.GetService(), now))))
	room := max(0, c.usableRoom(spec, now)-wanted)
	comingFree := customer.averages.overRateCPU * slack.Seconds()
	return float64(backlog+firstTasksCPU(spec)) > float64(room)+comingFree
}

// backlogs returns the cpu that a customer's jobs over rate wait for in a pool, as far as they
// have to start within the slack or are late, and what the jobs within their rates wait for
// there, as far as they could start if there were room. Jobs that are being stored are included.
func (c *Core) backlogs(customer *customer, pool string, now, slack time.Duration) (overRate, within int64) {
	b := c.currentBacklog(now)
	within = b.within[pool]
	for _, w := range b.overRate[customer] {
		if w.pool == pool && w.latestStart <= now+slack {
			overRate += w.cpu
		}
	}
	for _, a := range c.admitted {
		switch {
		case a.pool != pool:
		case !a.overRate:
			within += a.cpu
		case a.customer == customer:
			overRate += a.cpu
		}
	}
	return overRate, within
}

// backlogMaxAge is the time for which admissions use the same sums over all waiting steps. A
// customer far over its rate submits hundreds of jobs a second while thousands wait.
const backlogMaxAge = 100 * time.Millisecond

// backlog sums up what the open steps wait for.
type backlog struct {
	at       time.Duration
	within   map[string]int64 // by pool: cpu of steps within rate
	overRate map[*customer][]waitingStep
}

// waitingStep is a step over rate with tasks that wait.
type waitingStep struct {
	pool        string
	latestStart time.Duration
	cpu         int64 // of the waiting tasks
}

// currentBacklog returns sums that are at most backlogMaxAge old and include all jobs over rate
// that are stored.
func (c *Core) currentBacklog(now time.Duration) *backlog {
	if c.backlog != nil && now-c.backlog.at < backlogMaxAge {
		return c.backlog
	}
	b := &backlog{at: now, within: make(map[string]int64), overRate: make(map[*customer][]waitingStep)}
	for s := range c.unplaced {
		if c.steps[s.key] != s {
			continue
		}
		pool, waiting := c.queue(s.job).GetService(), s.waitingCount()
		switch {
		case s.comesAfterRate():
			b.add(s, pool)
		case c.isPlaceable(s, pool, now):
			b.within[pool] += int64(waiting-s.heldTasks(waiting)) * s.demand.cpu
		}
	}
	c.backlog = b
	return b
}

// add adds a step over rate.
func (b *backlog) add(s *step, pool string) {
	b.overRate[s.job.customer] = append(b.overRate[s.job.customer], waitingStep{pool, s.latestStart, int64(s.waitingCount()) * s.demand.cpu})
}

// addToBacklog adds the open steps of a job that has been stored to the sums, if it is over rate.
func (c *Core) addToBacklog(j *job) {
	if c.backlog == nil || !j.spec.GetOverRate() {
		return
	}
	for _, s := range j.steps {
		if s.comesAfterRate() {
			c.backlog.add(s, c.queue(j).GetService())
		}
	}
}

// usableRoom returns the free cpu, headroom left out, of the workers that can take a task of
// the job now.
func (c *Core) usableRoom(spec *egretmuxv1.Job, now time.Duration) int64 {
	room := int64(0)
	for _, w := range c.workers {
		if w.life.GetPool() != spec.GetService() || !w.acceptsRuns(now) {
			continue
		}
		free := w.available()
		free.cpu -= w.headroom
		for _, s := range spec.GetSteps() {
			if len(s.GetAfter()) == 0 && free.covers(demandOf(s)) {
				room += free.cpu
				break
			}
		}
	}
	return room
}

// slackOf returns how long a job may wait for its first start and still meet its objective.
func (c *Core) slackOf(spec *egretmuxv1.Job) time.Duration {
	q := c.queue(&job{spec: spec})
	longest := slices.Max(c.criticalPathsMs(spec, q.GetAdvice()))
	return time.Duration(q.GetTargetLatencyMs())*time.Millisecond + milliseconds((max(1, q.GetSlackFactor())-1)*longest)
}

// retryAfter returns when a refused caller should return. Each gets a token of its own: they
// return one after the other, at the customer's rate.
func (c *customer) retryAfter(now time.Duration) time.Duration {
	rate := c.limits.GetJobsPerSecond()
	first := now + c.bucket(now).untilToken(rate, now)
	if c.nextReturn < first || c.nextReturn > now+maxRetryAfter {
		c.nextReturn = first
	}
	after := c.nextReturn - now
	c.nextReturn += retryTime(1 / rate)
	return after
}
