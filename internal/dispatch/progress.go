package dispatch

import (
	"math"
	"time"
)

// Rates of runs, from their progress in listings. A rate is measured over minRateMs of the
// worker's clock and minRateShare of the expected run time, as progress is listed in whole
// percent.
const (
	minRateMs    = 400.0
	minRateShare = 0.08
	minPercent   = 0.5 // progress that counts at least
	// maxListingDelay is the time from a poll to its answer beyond which the age of the listed
	// progress is not known.
	maxListingDelay = 2 * time.Second
	resumePeriod    = time.Second // a run that resumes from a checkpoint may show no progress before
)

// progress is what the listings of a run show about its rate.
type progress struct {
	known   bool  // whether there is an earlier listing to measure from
	clock   int64 // worker's clock at that listing, milliseconds
	percent float64
	total   float64 // logarithm of the run time, in milliseconds, that the last rate leads to
	ratio   float64 // the same relative to the expected run time
	rates   int     // how often the rate was measured
	settled bool    // whether usual is known
	usual   float64 // least total so far, outside of slow spells
	counted bool    // whether the run is counted in its step's siblings
	effect  float64 // logarithm of what it is counted with
	taught  bool    // whether it has taught the lasting speed of its worker
}

// measure updates the rate of a run from its newest listing and reports whether it has a
// new one. A run without any progress is stuck, or its worker lists none.
func (c *Core) measure(r *run, clock int64, asked, now time.Duration) bool {
	s, p := r.task.step, &r.progress
	if r.state != running || r.progressPercent == 0 || s.spec.GetLongRunning() || s.spec.GetFills() || s.spec.GetEstimateMs() == 0 ||
		r.confirmedPace < fullPace || r.progressPercent >= nearlyDonePercent || !r.timed && now-r.startedAt < resumePeriod {
		return false
	}
	elapsed, gained := float64(clock-p.clock), r.progressPercent-p.percent
	if !p.known {
		elapsed, gained = float64((now-r.startedAt)/time.Millisecond), r.progressPercent
		if !r.timed || now-asked > maxListingDelay {
			elapsed = 0 // it is not known since when it has made this progress
		}
	}
	expected := c.expectedMs(r)
	enough := elapsed >= max(minRateMs, minRateShare*expected)
	if !p.known || enough || gained < 0 {
		p.known, p.clock, p.percent = true, clock, r.progressPercent
	}
	if !enough || gained < 0 {
		return false
	}
	p.rates++
	p.total = math.Log(elapsed * 100 / max(minPercent, gained))
	p.ratio = p.total - math.Log(expected)
	return true
}

// expectedMs returns the expected run time of a run on an average worker in the rack in
// which it runs.
func (c *Core) expectedMs(r *run) float64 {
	return c.expectedMsOn(r.task.step, r.worker)
}

func (c *Core) expectedMsOn(s *step, w *worker) float64 {
	ms := c.estimateMs(s.job.spec, s.spec)
	if rack := s.spec.GetDataRack(); rack != "" && rack != w.rack {
		ms *= c.cfg.FarFactor
	}
	return ms
}
