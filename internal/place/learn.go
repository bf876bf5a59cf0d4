package place

import (
	"math"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

const (
	learnWeight     = 0.2  // of the newest run in the running means
	defaultRunMs    = 60e3 // of a task that declares no run time
	sureRuns        = 3    // runs after which a learned time replaces the declared one
	cautionFactor   = 0.8  // standard deviations added to the mean
	maxLearnedKeys  = 20000
	sizeHeadroom    = 1.25 // on what an attempt was seen to use
	maxSizeMultiple = 8    // of the declared size that a learned size may reach
)

// learnKey names tasks that resemble each other.
type learnKey struct{ customer, name string }

// learner keeps run times and sizes of ended work by customer and task name,
// and by customer how far declared run times are off.
type learner struct {
	runs      map[learnKey]*logMean
	ratios    map[string]*logMean
	sizes     map[learnKey]worker.Room // largest use seen, fading
	succeeded map[learnKey]bool
}

// logMean is the running mean and deviation of logarithms.
type logMean struct {
	n        int
	mean, sq float64
}

func (m *logMean) add(x float64) {
	m.n++
	v := math.Log(max(x, 1e-3))
	w := max(learnWeight, 1/float64(m.n))
	d := v - m.mean
	m.mean += w * d
	m.sq = (1 - w) * (m.sq + w*d*d)
}

func (m *logMean) value() float64 { return math.Exp(m.mean) }

func (m *logMean) cautious() float64 { return math.Exp(m.mean + cautionFactor*math.Sqrt(m.sq)) }

func newLearner() *learner {
	return &learner{
		runs: make(map[learnKey]*logMean), ratios: make(map[string]*logMean),
		sizes: make(map[learnKey]worker.Room), succeeded: make(map[learnKey]bool),
	}
}

// ran takes in the run time in milliseconds of a member that succeeded.
func (l *learner) ran(spec *egretmuxv1.TaskSpec, ms int64) {
	k := learnKey{spec.GetCustomer(), spec.GetName()}
	if len(l.runs) > maxLearnedKeys {
		*l = *newLearner()
	}
	m := l.runs[k]
	if m == nil {
		m = &logMean{}
		l.runs[k] = m
	}
	m.add(float64(ms))
	l.succeeded[k] = true
	if spec.GetDeclaredRunMs() > 0 {
		r := l.ratios[k.customer]
		if r == nil {
			r = &logMean{}
			l.ratios[k.customer] = r
		}
		r.add(float64(ms) / float64(spec.GetDeclaredRunMs()))
	}
}

// estimate returns the run time in milliseconds to plan with. sure tells that
// it rests on runs of the same task.
func (l *learner) estimate(spec *egretmuxv1.TaskSpec) (ms int64, sure bool) {
	if m := l.runs[learnKey{spec.GetCustomer(), spec.GetName()}]; m != nil && m.n >= sureRuns {
		return max(1, int64(m.cautious())), true
	}
	declared := float64(spec.GetDeclaredRunMs())
	if declared <= 0 {
		return defaultRunMs, false
	}
	if r := l.ratios[spec.GetCustomer()]; r != nil && r.n >= sureRuns {
		declared *= r.value()
	}
	return max(1, int64(declared)), false
}

// saw takes in what an attempt used.
func (l *learner) saw(k learnKey, used worker.Room) {
	l.sizes[k] = l.sizes[k].Max(used)
}

// size returns what a member holds when it starts: what it declared, or what
// its like was seen to use if that is more.
func (l *learner) size(spec *egretmuxv1.TaskSpec) worker.Room {
	declared := worker.RoomOf(spec.GetResources())
	seen, ok := l.sizes[learnKey{spec.GetCustomer(), spec.GetName()}]
	if !ok {
		return declared
	}
	seen.Accelerators = declared.Accelerators
	return declared.Max(seen.Min(declared.Times(maxSizeMultiple)))
}
