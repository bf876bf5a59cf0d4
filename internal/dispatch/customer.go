package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// customer is the state of a customer that has open jobs or runs.
type customer struct {
	name   string
	limits *egretmuxv1.Customer // of the catalogue in force; nil once it is not listed there
	// inUse is what its runs use together: all that are or may be present on workers, also
	// those that are being stopped.
	inUse   resources
	quota   resources // limit of inUse; zero is none
	claimed resources // part of the quota that its steps claim in a plan

	inUseOverRate   resources    // the part of inUse of runs that were started over rate
	tokens          *tokenBucket // nil until it is first needed
	rateWindow      time.Duration
	averages        usageAverages
	overRateStarted int64   // cpu of its tasks over rate started since the last sample, thousandths of a core
	part            float64 // of the room, that it gets by its weight while all of it is in demand
	shareLeft       shareLeft
	nextReturn      time.Duration // when the next refused caller is told to return
	refused         map[string]uint64
}

// customerOf returns the customer of a job, or nil if the job came without a credential.
func (c *Core) customerOf(spec *egretmuxv1.Job) *customer {
	name := spec.GetCustomer()
	if name == "" {
		return nil
	}
	if c.customers[name] == nil {
		c.customers[name] = &customer{name: name, part: math.Inf(1), rateWindow: cmp.Or(c.cfg.RateWindow, defaultRateWindow)}
		c.customers[name].setLimits(c.cfg.Book.Catalogue().Customer(name))
	}
	return c.customers[name]
}

// updateCustomers takes over the limits of a new catalogue.
func (c *Core) updateCustomers() {
	catalogue := c.cfg.Book.Catalogue()
	if catalogue == nil || catalogue.Version == c.customersVersion {
		return
	}
	c.customersVersion = catalogue.Version
	for _, customer := range c.customers {
		customer.setLimits(catalogue.Customer(customer.name))
	}
}

// occupy takes the resources of a run from its worker and counts them for its customer.
func (r *run) occupy() {
	r.worker.free = r.worker.free.minus(r.demand)
	if r.task.step.spec.GetLongRunning() {
		r.worker.lasting = r.worker.lasting.plus(r.demand)
	}
	if customer := r.task.step.job.customer; customer != nil {
		r.overRate = r.task.step.comesAfterRate()
		customer.inUse = customer.inUse.plus(r.task.step.usage)
		if r.overRate {
			customer.inUseOverRate = customer.inUseOverRate.plus(r.task.step.usage)
		}
	}
}

// vacate gives the resources of a run back.
func (r *run) vacate() {
	r.worker.free = r.worker.free.plus(r.demand)
	if r.task.step.spec.GetLongRunning() {
		r.worker.lasting = r.worker.lasting.minus(r.demand)
	}
	if customer := r.task.step.job.customer; customer != nil {
		customer.inUse = customer.inUse.minus(r.task.step.usage)
		if r.overRate {
			customer.inUseOverRate = customer.inUseOverRate.minus(r.task.step.usage)
		}
	}
}

// usageOf returns what one task of a step counts with towards its customer's quota. Unlike
// its demand, it includes the cpu of a filler.
func usageOf(s *egretmuxv1.JobStep) resources {
	return resources{s.GetCpuMillis(), s.GetMemoryMib(), s.GetAccelerators()}
}

// CustomerUsage returns what each customer of the catalogue in force uses and waits for.
func (c *Core) CustomerUsage() []*egretmuxv1.CustomerUsage {
	catalogue := c.cfg.Book.Catalogue()
	if catalogue == nil {
		return nil
	}
	weights := 0.0
	for _, limits := range catalogue.Message.GetCustomers() {
		weights += limits.GetWeight()
	}
	out := make([]*egretmuxv1.CustomerUsage, 0, len(catalogue.Message.GetCustomers()))
	byName := make(map[string]*egretmuxv1.CustomerUsage)
	for _, limits := range catalogue.Message.GetCustomers() {
		u := &egretmuxv1.CustomerUsage{Name: limits.GetName(), Weight: limits.GetWeight(), JobsPerSecond: limits.GetJobsPerSecond(), Quota: limits.GetQuota()}
		if weights > 0 {
			u.FairShare = limits.GetWeight() / weights
		}
		if customer := c.customers[limits.GetName()]; customer != nil {
			u.InUse = customer.inUse.toProto()
			u.DominantShare, u.Refused = customer.averages.dominantShare, maps.Clone(customer.refused)
		}
		out, byName[u.GetName()] = append(out, u), u
	}
	for _, j := range c.jobs {
		u := byName[j.spec.GetCustomer()]
		if u == nil {
			continue
		}
		u.OpenJobs++
		if j.overRate() {
			u.OverRateJobs++
		}
		for _, s := range j.steps {
			waiting := len(s.waitingTasks())
			u.WaitingTasks += uint64(waiting)
			u.HeldByQuota += uint64(s.heldTasks(waiting))
		}
	}
	slices.SortFunc(out, func(a, b *egretmuxv1.CustomerUsage) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

func (r resources) toProto() *egretmuxv1.Resources {
	return &egretmuxv1.Resources{CpuMillis: r.cpu, MemoryMib: r.memory, Accelerators: r.accelerators}
}
