package dispatch

import (
	"maps"
	"slices"
	"time"
)

// contentionHold is the time for which a pool counts as full after a plan left steps without room.
const contentionHold = time.Second

// noteFullPools records which pools have less room than their steps wait for.
func (c *Core) noteFullPools(p *plan) {
	if len(c.customers) == 0 {
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(p.unclaimed.left)) {
		if p.unclaimed.left[pool] <= p.unclaimed.pool(pool).free {
			continue
		}
		if !c.isFull(pool, p.now) {
			c.addNotice(Notice{Event: "pool_full", Pool: pool})
		}
		c.fullUntil[pool] = p.now + contentionHold
	}
}

func (c *Core) isFull(pool string, now time.Duration) bool { return now < c.fullUntil[pool] }

// compareCustomers orders steps by their customers: those over rate come last, as do, among
// steps that can wait in a full pool, those of customers beyond their share. Work that is
// worth nothing any more gains nothing by its customer's share.
func compareCustomers(a, b *step) int {
	switch {
	case a.overRate != b.overRate:
		return compareBool(a.overRate, b.overRate)
	case (a.lateness == expired) != (b.lateness == expired):
		return compareBool(a.lateness == expired, b.lateness == expired)
	}
	return compareBool(a.beyondShare, b.beyondShare)
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// shareLeft is what is left of a customer's part of the room in a plan.
type shareLeft struct {
	plannedAt  time.Duration // time of the plan
	all        float64       // for its runs over rate; all its runs count
	withinRate float64       // for its runs within rate; those over rate, which found idle room, do not count
}

// orderByShare puts steps that can wait and go beyond their customer's part of a full pool
// after the others. The steps are in the order of all other rules.
func (c *Core) orderByShare(ordered []*step, now time.Duration) {
	if len(c.fullUntil) == 0 {
		return
	}
	beyond := false
	for _, s := range ordered {
		s.beyondShare = s.job.customer != nil && !s.urgent && c.isFull(c.queue(s.job).GetService(), now) && !c.fitsShare(s, now)
		beyond = beyond || s.beyondShare
	}
	if beyond {
		slices.SortStableFunc(ordered, compareCustomers)
	}
}

// fitsShare takes what the waiting tasks of a step need from its customer's part, and reports
// whether there was something left. The last step that gets some may exceed the part.
func (c *Core) fitsShare(s *step, now time.Duration) bool {
	customer := s.job.customer
	if customer.shareLeft.plannedAt != now {
		customer.shareLeft = customer.newShareLeft(c.capacity, now)
	}
	left := &customer.shareLeft.withinRate
	if s.overRate {
		left = &customer.shareLeft.all
	}
	if *left <= 0 {
		return false
	}
	*left -= s.usage.times(s.unheldCount()).dominantShare(c.capacity)
	return true
}

// newShareLeft returns the part of a customer, corrected by what it had more or less than
// that over the last seconds, less what it uses now.
func (c *customer) newShareLeft(capacity resources, now time.Duration) shareLeft {
	return shareLeft{
		plannedAt:  now,
		all:        2*c.part - c.averages.dominantShare - c.inUse.dominantShare(capacity),
		withinRate: 2*c.part - c.averages.withinRate - c.inUse.minus(c.inUseOverRate).dominantShare(capacity),
	}
}
