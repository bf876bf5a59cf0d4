package place

import (
	"github.com/egretmux/egretmux/internal/worker"
)

// Number of fitting hosts that are compared for one placement.
const (
	batchCandidates   = 8
	serviceCandidates = 64
)

// Weights of the score of a host; the lowest score wins.
const (
	weightUnused       = 1.0  // fraction left free in the fuller dimension
	weightSkew         = 0.5  // difference of the fractions of processors and memory left free
	weightEmpty        = 1.0  // using a host that is wholly free
	weightStranded     = 2.0  // using processors and memory beside accelerators without using one
	weightSuspect      = 0.7  // each recent failure of the host
	weightFailedOn     = 4.0  // the task has failed on the host
	weightSameHost     = 4.0  // each member of the service on the host, from freeMembers on
	weightFirstService = 2.0  // first service on a host: services share hosts, so that others stay whole
	weightSameRack     = 10.0 // fraction of the service's members in the rack
	weightSameDC       = 5.0  // fraction of the service's members in the data centre
	freeMemberDivisor  = 10   // a host may take 1/10 of the members of a service without a cost
)

// bestHost returns the host for the job's next member: a claimed one, a reserved
// one or the one with the lowest score. It returns nil if there is none.
func (r *round) bestHost(j *job) *host {
	if h := r.takeClaimedHost(j); h != nil {
		return h
	}
	if h := r.reservedHost(j); h != nil {
		return h
	}
	if r.knownUnfit(j.need) {
		return nil
	}
	limit := batchCandidates
	if j.isService() {
		limit = serviceCandidates
	}
	endsAt := r.now + r.p.cautiousRemaining(j)
	best, bestScore, seen, fits := (*host)(nil), 0.0, 0, false
	r.p.index.search(j.need, r.p.rotation, func(h *host) bool {
		fits = true
		if h.starting >= maxStartingPerWorker || h.reserved != nil && h.reserved != j && endsAt > h.reservedUntil {
			return true
		}
		if s := r.score(j, h); best == nil || s < bestScore {
			best, bestScore = h, s
		}
		seen++
		return seen < limit
	})
	if !fits {
		r.recordUnfit(j.need)
	}
	return best
}

func (r *round) score(j *job, h *host) float64 {
	left := h.free().Minus(j.need)
	cpu, mem := fraction(left.CPUMillis, h.capacity.CPUMillis), fraction(left.MemoryMiB, h.capacity.MemoryMiB)
	s := weightUnused*min(cpu, mem) + weightSkew*abs(cpu-mem)
	if h.held == (worker.Resources{}) {
		s += weightEmpty
	}
	if h.capacity.Accelerators > 0 && j.need.Accelerators == 0 {
		s += weightStranded
	}
	s += weightSuspect * float64(h.health.failureCount())
	if h.health.hasFailedTask(j.task.GetId()) {
		s += weightFailedOn
	}
	if j.isService() {
		s += r.spreadFor(j).placementCost(h)
		if !h.hasService() {
			s += weightFirstService
		}
	}
	return s
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func abs(x float64) float64 { return max(x, -x) }

// memberSpread counts the members of a service by host, rack and data centre.
type memberSpread struct {
	members     float64
	freeMembers int // members that a host may take without a cost
	hosts       map[*host]int
	racks       map[rackKey]int
	dcs         map[string]int
}

type rackKey struct{ datacentre, rack string }

func (r *round) spreadFor(j *job) *memberSpread {
	s := r.spread[j]
	if s == nil {
		s = &memberSpread{
			members: float64(j.memberCount()), freeMembers: max(1, int(j.memberCount())/freeMemberDivisor),
			hosts: make(map[*host]int), racks: make(map[rackKey]int), dcs: make(map[string]int),
		}
		for _, a := range j.live {
			s.add(a.host, 1)
		}
		r.spread[j] = s
	}
	return s
}

func (s *memberSpread) add(h *host, n int) {
	s.hosts[h] += n
	s.racks[rackKey{h.record.GetDatacentre(), h.record.GetRack()}] += n
	s.dcs[h.record.GetDatacentre()] += n
}

func (s *memberSpread) placementCost(h *host) float64 {
	cost := weightSameRack*float64(s.racks[rackKey{h.record.GetDatacentre(), h.record.GetRack()}])/s.members +
		weightSameDC*float64(s.dcs[h.record.GetDatacentre()])/s.members
	if n := s.hosts[h]; n >= s.freeMembers {
		cost += weightSameHost * float64(n)
	}
	return cost
}
