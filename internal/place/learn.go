package place

import (
	"math"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

const (
	learnWeight     = 0.2  // of the newest run in the running means
	defaultRunMs    = 60e3 // of a task that declares no run time
	sureRuns        = 3    // runs after which a learned time replaces the declared one
	cautionFactor   = 0.8  // standard deviations added to the mean
	maxLearnedKeys  = 20000
	cpuHeadroom     = 1.02 // on the highest use seen; processors can be throttled
	memoryHeadroom  = 1.1
	sureSizes       = 5 // attempts seen before less than the declared size is held from the start
	maxSizeMultiple = 8 // of the declared size that a learned size may reach
)

// learnKey names tasks that resemble each other.
type learnKey struct{ customer, name string }

// learner keeps run times and sizes of ended work by customer and task name,
// and by customer how far declared run times are off.
type learner struct {
	runs      map[learnKey]*runTimes
	ratios    map[string]*logMean
	sizes     map[learnKey]*sizeSeen
	succeeded map[learnKey]bool
}

// logMean is the running mean and deviation of logarithms.
type logMean struct {
	n        int
	mean, sq float64
	value    float64 // the mean, as a number
	cautious float64 // seldom exceeded
}

func (m *logMean) add(x float64) {
	m.n++
	v := math.Log(max(x, 1e-3))
	w := max(learnWeight, 1/float64(m.n))
	d := v - m.mean
	m.mean += w * d
	m.sq = (1 - w) * (m.sq + w*d*d)
	m.value = math.Exp(m.mean)
	m.cautious = math.Exp(m.mean + cautionFactor*math.Sqrt(m.sq))
}

func newLearner() *learner {
	return &learner{
		runs: make(map[learnKey]*runTimes), ratios: make(map[string]*logMean),
		sizes: make(map[learnKey]*sizeSeen), succeeded: make(map[learnKey]bool),
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
		m = &runTimes{}
		l.runs[k] = m
	}
	m.absolute.add(float64(ms))
	l.succeeded[k] = true
	if spec.GetDeclaredRunMs() > 0 {
		r := l.ratios[k.customer]
		if r == nil {
			r = &logMean{}
			l.ratios[k.customer] = r
		}
		ratio := float64(ms) / float64(spec.GetDeclaredRunMs())
		r.add(ratio)
		m.ratio.add(ratio)
	}
}

// runTimes is what was learned of one name: its run times as such, and as
// multiples of the declared ones.
type runTimes struct{ absolute, ratio logMean }

// estimate is a predicted run time in milliseconds.
type estimate struct {
	likely   int64
	cautious int64 // seldom exceeded
	sure     bool  // it rests on runs of the same name
}

// estimate predicts the run time of a member by whichever of the learned run
// times and the learned ratio to the declared ones scatters less.
func (l *learner) estimate(spec *egretmuxv1.TaskSpec) estimate {
	declared := float64(spec.GetDeclaredRunMs())
	if m := l.runs[learnKey{spec.GetCustomer(), spec.GetName()}]; m != nil && m.absolute.n >= sureRuns {
		if declared > 0 && m.ratio.n >= sureRuns && m.ratio.sq < m.absolute.sq {
			return newEstimate(declared*m.ratio.value, declared*m.ratio.cautious, true)
		}
		return newEstimate(m.absolute.value, m.absolute.cautious, true)
	}
	if declared <= 0 {
		return newEstimate(defaultRunMs, defaultRunMs, false)
	}
	if r := l.ratios[spec.GetCustomer()]; r != nil && r.n >= sureRuns {
		declared *= r.value
	}
	return newEstimate(declared, declared, false)
}

func newEstimate(likely, cautious float64, sure bool) estimate {
	return estimate{likely: max(1, int64(likely)), cautious: max(1, int64(cautious)), sure: sure}
}

// sizeSeen is the largest use seen of a name's attempts, as parts of what they
// declared.
type sizeSeen struct {
	cpu, memory float64
	attempts    int
}

// saw takes in what an attempt used; first tells that it is its first report.
func (l *learner) saw(spec *egretmuxv1.TaskSpec, used worker.Resources, first bool) {
	k := learnKey{spec.GetCustomer(), spec.GetName()}
	s := l.sizes[k]
	if s == nil {
		s = &sizeSeen{}
		l.sizes[k] = s
	}
	s.cpu = max(s.cpu, share(used.CPUMillis, spec.GetResources().GetCpuMillis()))
	s.memory = max(s.memory, share(used.MemoryMiB, spec.GetResources().GetMemoryMib()))
	if first {
		s.attempts++
	}
}

// headroomPart adds headroom to a part of the declared size, up to that size;
// work that keeps to what it declared is not made larger.
func headroomPart(part, headroom float64) float64 { return max(part, min(1, part*headroom)) }

// size returns what a member holds when it starts: what it declared; what its
// like was seen to use if that is more; or, once enough of its like were seen to
// use less, that with headroom, within the floor of the declared size.
func (l *learner) size(spec *egretmuxv1.TaskSpec) worker.Resources {
	declared := worker.ResourcesFromProto(spec.GetResources())
	s := l.sizes[learnKey{spec.GetCustomer(), spec.GetName()}]
	if s == nil {
		return declared
	}
	cpu, memory := headroomPart(s.cpu, cpuHeadroom), headroomPart(s.memory, memoryHeadroom)
	if s.attempts < sureSizes {
		cpu, memory = max(1, s.cpu), max(1, s.memory)
	}
	size := worker.Resources{
		CPUMillis:    int64(float64(declared.CPUMillis) * min(cpu, maxSizeMultiple)),
		MemoryMiB:    int64(float64(declared.MemoryMiB) * min(memory, maxSizeMultiple)),
		Accelerators: declared.Accelerators,
	}
	return size.Max(task.ResourceFloor(spec))
}
