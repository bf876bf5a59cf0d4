package place

import (
	"github.com/egretmux/egretmux/internal/worker"
)

// How many hosts that fit are compared for one placement.
const (
	batchCandidates   = 8
	serviceCandidates = 64
)

// Weights of the score; the host with the least sum wins.
const (
	weightLeft      = 1.0  // room left in the fuller dimension
	weightSkew      = 0.5  // difference of what is left of processors and of memory
	weightEmpty     = 1.0  // breaking up a machine that is wholly free
	weightStranded  = 2.0  // taking room beside accelerators without using one
	weightSuspect   = 0.7  // each recent failure of the host
	weightFailedOn  = 4.0  // the job has failed on the host
	weightSameHost  = 4.0  // each replica of the service there, from its share on
	weightNoService = 2.0  // the first service on a host: services share hosts, so that others stay whole
	weightSameRack  = 10.0 // all replicas of the service in the rack
	weightSameDC    = 5.0
	hostPart        = 10 // a host may take one replica in so many without a cost
)

// pick returns the best host for the job's next member, or nil.
func (r *round) pick(j *job) *host {
	if h := r.claimed(j); h != nil {
		return h
	}
	if h := r.reservedHost(j); h != nil {
		return h
	}
	if r.isFull(j.need) {
		return nil
	}
	limit := batchCandidates
	if j.service() {
		limit = serviceCandidates
	}
	ends := r.now + r.p.estimate(j)
	best, bestScore, seen, fits := (*host)(nil), 0.0, 0, false
	r.p.index.search(j.need, r.p.turn, func(h *host) bool {
		fits = true
		if h.starting >= maxStarting || h.reserved != nil && h.reserved != j && ends > h.reservedUntil {
			return true
		}
		if s := r.score(j, h); best == nil || s < bestScore {
			best, bestScore = h, s
		}
		seen++
		return seen < limit
	})
	if !fits {
		r.noteFull(j.need)
	}
	return best
}

func (r *round) score(j *job, h *host) float64 {
	left := h.free().Minus(j.need)
	cpu, mem := share(left.CPUMillis, h.capacity.CPUMillis), share(left.MemoryMiB, h.capacity.MemoryMiB)
	s := weightLeft*min(cpu, mem) + weightSkew*abs(cpu-mem)
	if h.held == (worker.Resources{}) {
		s += weightEmpty
	}
	if h.capacity.Accelerators > 0 && j.need.Accelerators == 0 {
		s += weightStranded
	}
	s += weightSuspect * float64(h.health.recent())
	if h.health.failedJob(j.task.GetId()) {
		s += weightFailedOn
	}
	if j.service() {
		s += r.spreadOf(j).cost(h)
		if !h.hasService() {
			s += weightNoService
		}
	}
	return s
}

func share(x, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(x) / float64(of)
}

func abs(x float64) float64 { return max(x, -x) }

// spread counts the replicas of a service by place.
type spread struct {
	members float64
	share   int // replicas that one host may take before it counts
	hosts   map[*host]int
	racks   map[rackKey]int
	dcs     map[string]int
}

type rackKey struct{ datacentre, rack string }

func (r *round) spreadOf(j *job) *spread {
	s := r.spread[j]
	if s == nil {
		s = &spread{
			members: float64(j.members()), share: max(1, int(j.members())/hostPart),
			hosts: make(map[*host]int), racks: make(map[rackKey]int), dcs: make(map[string]int),
		}
		for _, x := range j.live {
			s.add(x.host, 1)
		}
		r.spread[j] = s
	}
	return s
}

func (s *spread) add(h *host, n int) {
	s.hosts[h] += n
	s.racks[rackKey{h.record.GetDatacentre(), h.record.GetRack()}] += n
	s.dcs[h.record.GetDatacentre()] += n
}

func (s *spread) cost(h *host) float64 {
	cost := weightSameRack*float64(s.racks[rackKey{h.record.GetDatacentre(), h.record.GetRack()}])/s.members +
		weightSameDC*float64(s.dcs[h.record.GetDatacentre()])/s.members
	if n := s.hosts[h]; n >= s.share {
		cost += weightSameHost * float64(n)
	}
	return cost
}
