package route

import (
	"slices"
	"time"
)

// Endpoint is the record of an endpoint under one address, with this instance's
// grant on it. The exported fields never change; a new address gets a new record.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	Datacentre string

	epoch       uint64
	grantNumber uint64 // number of the newest grant applied
	slots       int32  // slots granted
	links       int32  // connections granted
	busy        int32  // slots in use
	leaving     bool
	health      health

	previous *Endpoint // record under the former address; nil when no request used it

	reportedSlots int32 // slots in the last report; unreported: must be reported
	reportedLinks int32 // connections in the last report
}

// Result is the result of an attempt at an endpoint, for its health.
type Result int

// Results of attempts.
const (
	Neutral   Result = iota // no evidence about the endpoint, for example because the caller cancelled
	Succeeded               // the endpoint answered
	Failed                  // the endpoint answered with a server error, or the connection broke
	Unreached               // a new connection could not be opened or never answered
)

// Limits of the ejection of unhealthy endpoints.
const (
	maxConsecutiveFailures  = 5
	maxConsecutiveUnreached = 2
	successesToReturn       = 3 // probes that must succeed to end an ejection
	minEjection             = time.Second
	maxEjection             = 30 * time.Second
	ejectDivisor            = 3 // at most 1/3 of the endpoints is ejected
	slowFactor              = 4 // an endpoint slower than 4 times the median is ejected
	minSlowLatency          = 20 * time.Millisecond
	minLatencySamples       = 8
	latencySmoothing        = 8 // the newest sample has a weight of 1/8
)

// health is an endpoint's health as observed from the results of attempts.
type health struct {
	consecutiveFailures, consecutiveUnreached, probeSuccesses int

	latency        time.Duration // moving average of at-once requests
	latencySamples int
	ejected        bool      // set until enough probes succeed
	ejectedUntil   time.Time // no probe is sent before
	ejections      int       // ejections since the endpoint's start; each doubles the time of the next
}

// probeDue reports whether an ejected endpoint may be probed with one request.
func (e *Endpoint) probeDue(now time.Time) bool {
	return e.health.ejected && e.busy == 0 && !now.Before(e.health.ejectedUntil)
}

func (e *Endpoint) hasFreeSlot() bool { return !e.leaving && e.inUse() < e.slots }

// recordResult updates the endpoint's health from the result of an attempt and
// ejects the endpoint if it fails repeatedly or is slow.
func (c *Core) recordResult(now time.Time, e *Endpoint, r Result, elapsed time.Duration, atOnce bool) {
	h := &e.health
	switch r {
	case Neutral:
		return
	case Succeeded:
		h.consecutiveFailures, h.consecutiveUnreached = 0, 0
		if atOnce {
			h.addLatency(elapsed)
		}
		c.recordSuccess(now, e, elapsed)
	case Failed:
		h.consecutiveFailures++
	case Unreached:
		h.consecutiveUnreached++
	}
	failing := h.consecutiveFailures >= maxConsecutiveFailures || h.consecutiveUnreached >= maxConsecutiveUnreached || h.ejected && r != Succeeded
	if failing || atOnce && r == Succeeded && c.isSlow(e) {
		c.eject(now, e)
	}
}

func (h *health) addLatency(elapsed time.Duration) {
	if h.latencySamples == 0 {
		h.latency = elapsed
	}
	h.latencySamples++
	h.latency += (elapsed - h.latency) / latencySmoothing
}

// recordSuccess returns an ejected endpoint to use after enough successes. A
// slow success ejects it anew.
func (c *Core) recordSuccess(now time.Time, e *Endpoint, elapsed time.Duration) {
	h := &e.health
	if !h.ejected {
		return
	}
	if elapsed > minSlowLatency && elapsed > slowFactor*c.medianLatency(e) {
		c.eject(now, e)
		return
	}
	h.probeSuccesses++
	if h.probeSuccesses >= successesToReturn {
		*h = health{ejections: h.ejections}
		c.events = append(c.events, Event{Name: "endpoint_returned", Endpoint: e.ID})
	}
}

// isSlow reports whether the endpoint is far slower than the median of the others.
func (c *Core) isSlow(e *Endpoint) bool {
	h := &e.health
	if h.ejected || h.latencySamples < minLatencySamples || h.latency < minSlowLatency {
		return false
	}
	return h.latency > slowFactor*c.medianLatency(e)
}

// medianLatency returns the median latency of the other endpoints. Without
// samples of any it returns a time so long that no endpoint counts as slow.
func (c *Core) medianLatency(except *Endpoint) time.Duration {
	var latencies []time.Duration
	for _, e := range c.endpoints {
		if e != except && e.health.latencySamples > 0 && !e.health.ejected {
			latencies = append(latencies, e.health.latency)
		}
	}
	if len(latencies) == 0 {
		return maxEjection
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// eject keeps new requests off an endpoint for a time that doubles with each
// ejection, unless too many endpoints of the service are ejected already.
func (c *Core) eject(now time.Time, e *Endpoint) {
	h := &e.health
	if !h.ejected && c.countEjected() >= max(1, len(c.endpoints)/ejectDivisor) || len(c.endpoints) < 2 {
		return
	}
	duration := min(maxEjection, minEjection<<min(h.ejections, 5))
	name := "endpoint_ejected"
	if h.ejected {
		name = "endpoint_probe_failed"
	}
	*h = health{ejected: true, ejectedUntil: now.Add(duration), ejections: h.ejections + 1}
	c.events = append(c.events, Event{Name: name, Endpoint: e.ID})
}

func (c *Core) countEjected() int {
	n := 0
	for _, e := range c.endpoints {
		if e.health.ejected {
			n++
		}
	}
	return n
}
