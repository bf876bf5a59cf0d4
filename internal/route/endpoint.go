package route

import (
	"slices"
	"time"
)

// Endpoint is one endpoint and this instance's grant on it. The exported
// fields do not change while the endpoint is in use under one address.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	Datacentre string

	epoch   uint64
	grant   uint64 // number of the newest grant applied
	slots   int32  // granted
	links   int32  // granted
	busy    int32
	leaving bool
	health  health

	previous *Endpoint // the record under the former address, while requests may use it

	toldSlots int32 // as last reported; -1: must be reported
	toldLinks int32
}

// Result tells how an attempt at an endpoint went.
type Result int

// Results of attempts.
const (
	Neutral   Result = iota // says nothing of the endpoint, such as a caller that gave up
	Succeeded               // answered
	Failed                  // answered with a server error, or the connection broke
	Unreached               // a new connection could not be opened or never answered
)

// Limits of ejection.
const (
	failedInRow    = 5 // failures in a row that eject an endpoint
	unreachedInRow = 2
	goodInRow      = 3 // successes that end an ejection
	firstEjection  = time.Second
	longEjection   = 30 * time.Second
	ejectPart      = 3 // at most one in this many endpoints is ejected
	slowFactor     = 4 // times the median latency
	slowLeast      = 20 * time.Millisecond
	slowSamples    = 8
	latencyWeight  = 8 // the newest sample counts one in this many
)

// health is what attempts have shown of an endpoint.
type health struct {
	failed, unreached, good int
	latency                 time.Duration // moving average of requests that are answered at once
	samples                 int
	ejected                 bool // until enough probes succeed
	until                   time.Time
	ejections               int
}

// probeDue reports whether an ejected endpoint may be tried with one request.
func (e *Endpoint) probeDue(now time.Time) bool {
	return e.health.ejected && e.busy == 0 && !now.Before(e.health.until)
}

func (e *Endpoint) free() bool { return !e.leaving && e.inUse() < e.slots }

// note takes in the result of an attempt.
func (c *Core) note(now time.Time, e *Endpoint, r Result, took time.Duration, atOnce bool) {
	h := &e.health
	switch r {
	case Neutral:
		return
	case Succeeded:
		h.failed, h.unreached = 0, 0
		if atOnce {
			h.observe(took)
		}
		c.noteGood(now, e, took)
	case Failed:
		h.failed++
	case Unreached:
		h.unreached++
	}
	bad := h.failed >= failedInRow || h.unreached >= unreachedInRow || h.ejected && r != Succeeded
	if bad || atOnce && r == Succeeded && c.slow(e) {
		c.eject(now, e)
	}
}

func (h *health) observe(took time.Duration) {
	if h.samples == 0 {
		h.latency = took
	}
	h.samples++
	h.latency += (took - h.latency) / latencyWeight
}

// noteGood ends an ejection after enough successes that were not slow.
func (c *Core) noteGood(now time.Time, e *Endpoint, took time.Duration) {
	h := &e.health
	if !h.ejected {
		return
	}
	if took > slowLeast && took > slowFactor*c.median(e) {
		c.eject(now, e)
		return
	}
	h.good++
	if h.good >= goodInRow {
		*h = health{ejections: h.ejections}
		c.events = append(c.events, Event{Name: "endpoint_returned", Endpoint: e.ID})
	}
}

func (c *Core) slow(e *Endpoint) bool {
	h := &e.health
	if h.ejected || h.samples < slowSamples || h.latency < slowLeast {
		return false
	}
	return h.latency > slowFactor*c.median(e)
}

// median returns the median latency of the other endpoints, or a time that no
// endpoint exceeds when nothing is known of them.
func (c *Core) median(except *Endpoint) time.Duration {
	var all []time.Duration
	for _, e := range c.endpoints {
		if e != except && e.health.samples > 0 && !e.health.ejected {
			all = append(all, e.health.latency)
		}
	}
	if len(all) == 0 {
		return longEjection
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// eject keeps new requests off an endpoint for a time that doubles with each
// ejection, unless too many of the service are ejected.
func (c *Core) eject(now time.Time, e *Endpoint) {
	h := &e.health
	if !h.ejected && c.ejected() >= max(1, len(c.endpoints)/ejectPart) || len(c.endpoints) < 2 {
		return
	}
	pause := min(longEjection, firstEjection<<min(h.ejections, 5))
	name := "endpoint_ejected"
	if h.ejected {
		name = "endpoint_probe_failed"
	}
	*h = health{ejected: true, until: now.Add(pause), ejections: h.ejections + 1}
	c.events = append(c.events, Event{Name: name, Endpoint: e.ID})
}

func (c *Core) ejected() int {
	n := 0
	for _, e := range c.endpoints {
		if e.health.ejected {
			n++
		}
	}
	return n
}
