// Package balance divides work among instances by what each has to spare. It does no
// I/O and reads no clock: the caller reports how long work waited at each instance.
package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// StepPeriod is the time between two calls of Step.
const StepPeriod = 100 * time.Millisecond

const (
	// maxStepGap is the time without a step after which the waits of what is on its way
	// are not counted, as this process did not run for a part of them.
	maxStepGap  = 3 * StepPeriod
	minWeight   = 1.0 / 16 // an instance keeps a part by which its waits are measured
	minKeptPart = 1.0 / 4  // of its weight, that an instance keeps on one set of samples
	// slowFactor is the wait, in multiples of the usual one, above which an instance
	// loses weight.
	slowFactor = 1.5
	// calmDoubleTime is the time in which calm doubles unless it is reached again.
	calmDoubleTime   = time.Minute
	regainDoubleTime = 2500 * time.Millisecond // in which a weight that is regained doubles
	// publishFactor is the change of a weight from which on it takes effect, so that
	// work does not move with each step.
	publishFactor   = 1.2
	reducedWeight   = 0.5 // below it, an instance counts as reduced
	maxSamples      = 32  // kept for each instance
	forgetAfterTime = time.Minute
)

// Config adapts weights to a kind of work.
type Config struct {
	MinExcess  time.Duration // a wait that exceeds the usual one by less costs no weight
	SampleTime time.Duration // age at which a sample is dropped
	MinSamples int           // needed to judge an instance
}

// Kinds of work.
var (
	// Orders are the calls to workers.
	Orders = Config{MinExcess: 10 * time.Millisecond, SampleTime: 2 * time.Second, MinSamples: 10}
	// Advice are the calls to the advice service, of which an instance makes few.
	Advice = Config{MinExcess: 100 * time.Millisecond, SampleTime: 10 * time.Second, MinSamples: 3}
)

// Weights holds the weight of each instance: 1, or less for an instance whose answers
// are late compared with those of the others. It is not safe for concurrent use.
type Weights struct {
	cfg       Config
	instances map[string]*instance
	limit     time.Duration // wait above which an instance loses weight, as of the last step; zero if unknown
	calm      time.Duration // lowest usual wait, at least MinExcess; zero if unknown
	steppedAt time.Time
	countFrom time.Time // work that was sent before it is not counted
}

type instance struct {
	weight    float64
	published float64 // the weight in effect
	reduced   bool
	samples   []sample
	next      int             // the sample that is replaced next
	overdue   []time.Duration // waits so far of work without an answer, since the last step
	seenAt    time.Time

	// Until enough work that was sent after a cut has been answered, samples show the wait
	// at the weight before it.
	base  float64   // the weight that samples belong to
	cutAt time.Time // zero unless weight has been cut since
	fresh []sample  // of work sent after the cut
}

type sample struct {
	at   time.Time
	wait time.Duration
}

// Change is an instance that has lost over half of its weight, or has regained all of it.
type Change struct {
	Instance string
	Reduced  bool
	Wait     time.Duration // at the instance; zero if it is not known
	Usual    time.Duration // at the others
}

// New returns equal weights.
func New(cfg Config) *Weights {
	return &Weights{cfg: cfg, instances: make(map[string]*instance)}
}

// Reset makes all weights equal and forgets the samples.
func (w *Weights) Reset() {
	clear(w.instances)
	*w = Weights{cfg: w.cfg, instances: w.instances}
}

// Of returns the weight of an instance, at most 1.
func (w *Weights) Of(name string) float64 {
	if in := w.instances[name]; in != nil {
		return in.published
	}
	return 1
}

// Observe records how long an answered piece of work waited at an instance, without the
// time for which it had to run there.
func (w *Weights) Observe(name string, sent, now time.Time, wait time.Duration) {
	in := w.counted(name, sent, now)
	if in == nil {
		return
	}
	s := sample{now, max(0, wait)}
	switch {
	case in.sentAfterCut(sent):
		if in.fresh = append(in.fresh, s); len(in.fresh) == w.cfg.MinSamples {
			in.settle()
		}
	case len(in.samples) < maxSamples:
		in.samples = append(in.samples, s)
	default:
		in.samples[in.next] = s
		in.next = (in.next + 1) % maxSamples
	}
}

// Overdue records how long work that has no answer yet has waited at an instance at least.
func (w *Weights) Overdue(name string, sent, now time.Time, wait time.Duration) {
	if w.limit == 0 || wait <= w.limit {
		return // says nothing, as it may be answered in time
	}
	if in := w.counted(name, sent, now); in != nil && !in.sentAfterCut(sent) {
		in.overdue = append(in.overdue, wait)
	}
}

// counted returns the instance if work that was sent to it at the given time counts.
func (w *Weights) counted(name string, sent, now time.Time) *instance {
	in := w.instances[name]
	if in == nil {
		in = &instance{weight: 1, published: 1, base: 1}
		w.instances[name] = in
	}
	in.seenAt = now
	if w.paused(now) || sent.Before(w.countFrom) {
		return nil
	}
	return in
}

// paused reports whether this process has not run lately.
func (w *Weights) paused(now time.Time) bool { return now.Sub(w.steppedAt) > maxStepGap }

// Step updates the weights. It reports whether any took effect, and the instances that
// have lost over half of their weight or regained it.
func (w *Weights) Step(now time.Time) (changed bool, changes []Change) {
	elapsed := now.Sub(w.steppedAt)
	if w.paused(now) {
		elapsed, w.countFrom = 0, now
	}
	w.steppedAt = now
	waits := make(map[string]time.Duration, len(w.instances))
	for name, in := range w.instances {
		if now.Sub(in.seenAt) > forgetAfterTime {
			delete(w.instances, name)
			changed = changed || in.published != 1
			continue
		}
		if wait, known := in.wait(w.cfg, now); known {
			waits[name] = wait
		}
		in.overdue = in.overdue[:0]
	}
	usual := w.updateLimit(waits, elapsed)
	for name, in := range w.instances {
		wait, known := waits[name]
		if known && w.limit > 0 && wait > w.limit {
			in.cut(math.Pow(float64(w.limit)/float64(wait), w.slack(usual)), now)
		} else if !known || wait <= (usual+w.limit)/2 {
			in.weight = min(1, in.weight*math.Exp2(float64(elapsed)/float64(regainDoubleTime)))
			in.settle()
		}
		if in.publish() {
			changed = true
		}
		if in.reduced != (in.published < reducedWeight) && (!in.reduced || in.published == 1) {
			in.reduced = !in.reduced
			changes = append(changes, Change{Instance: name, Reduced: in.reduced, Wait: wait, Usual: usual})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Instance, b.Instance) })
	return changed, changes
}

// updateLimit computes the limit from the usual wait: the median of the instances, so
// that what slows all of them costs none its weight.
func (w *Weights) updateLimit(waits map[string]time.Duration, elapsed time.Duration) (usual time.Duration) {
	w.limit = 0
	if len(waits) < 2 {
		return 0
	}
	sorted := make([]time.Duration, 0, len(waits))
	for _, wait := range waits {
		sorted = append(sorted, wait)
	}
	usual = median(sorted)
	w.calm = time.Duration(float64(w.calm) * math.Exp2(float64(elapsed)/float64(calmDoubleTime)))
	if level := max(usual, w.cfg.MinExcess); w.calm == 0 || w.calm > level {
		w.calm = level
	}
	w.limit = max(time.Duration(slowFactor*float64(usual)), usual+w.cfg.MinExcess)
	return usual
}

// slack returns, between 0 and 1, what the other instances have to spare: 1 if their waits
// are as short as ever. The less it is, the less work is moved, as that would only make
// it swing between instances that can't bear it.
func (w *Weights) slack(usual time.Duration) float64 {
	return float64(w.calm) / float64(max(usual, w.cfg.MinExcess))
}

// wait returns the median wait, which neither a few slow workers nor a few fast ones move.
func (in *instance) wait(cfg Config, now time.Time) (wait time.Duration, known bool) {
	waits := slices.Clone(in.overdue)
	for _, s := range in.samples {
		if now.Sub(s.at) < cfg.SampleTime {
			waits = append(waits, s.wait)
		}
	}
	if len(waits) < cfg.MinSamples {
		return 0, false
	}
	return median(waits), true
}

// cut reduces the weight to the given part of the one that the samples belong to.
func (in *instance) cut(part float64, now time.Time) {
	if in.cutAt.IsZero() {
		in.cutAt = now
	}
	in.weight = min(in.weight, max(minWeight, in.base*max(minKeptPart, part)))
}

func (in *instance) sentAfterCut(sent time.Time) bool {
	return !in.cutAt.IsZero() && !sent.Before(in.cutAt)
}

// settle ends the time after a cut: the samples from before it are dropped.
func (in *instance) settle() {
	if in.base = in.weight; in.cutAt.IsZero() {
		return
	}
	in.samples, in.fresh, in.next, in.cutAt = in.fresh, in.samples[:0], 0, time.Time{}
}

// publish lets the weight take effect if it has changed enough, and reports whether it
// did.
func (in *instance) publish() bool {
	ratio := in.weight / in.published
	if in.weight == in.published || (in.weight != 1 && ratio < publishFactor && ratio > 1/publishFactor) {
		return false
	}
	in.published = in.weight
	return true
}

// median returns the lower median of values, which it sorts.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
