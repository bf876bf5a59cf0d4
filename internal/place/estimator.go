package place

import (
	"math"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
	"github.com/egretmux/egretmux/internal/worker"
)

const (
	newestRunWeight     = 0.2   // weight of a new sample in the moving averages
	defaultRunMs        = 60e3  // for tasks that declare no run time
	minLearnedRuns      = 3     // runs after which a learned run time replaces the declared one
	cautiousDeviations  = 0.8   // standard deviations added to the mean for a cautious estimate
	maxLearnedWorkloads = 20000 // workloads with run times; beyond that, all learned data is dropped
	cpuMargin           = 1.02  // factor on the peak usage; small because processors can be throttled
	memoryMargin        = 1.1   // factor on the peak usage
	minSizedAttempts    = 5     // attempts observed before a member may start with less than its declared size
	maxSizeMultiple     = 8     // largest learned size relative to the declared size
)

// workloadKey identifies a workload: tasks of one customer and name, which are
// expected to behave alike.
type workloadKey struct{ customer, name string }

// estimator learns run times and sizes per workload, and per customer the ratio
// of actual to declared run times.
type estimator struct {
	runs      map[workloadKey]*runTimes // of members that succeeded
	ratios    map[string]*logMean       // actual to declared run times, by customer
	sizes     map[workloadKey]*peakUsage
	succeeded map[workloadKey]bool // workloads with a successful member
}

// logMean is an exponential moving average and variance of logarithms.
type logMean struct {
	count          int
	mean, variance float64 // of the logarithms
	typical        float64 // geometric mean
	cautious       float64 // seldom exceeded
}

func (m *logMean) add(x float64) {
	m.count++
	logX := math.Log(max(x, 1e-3))
	weight := max(newestRunWeight, 1/float64(m.count))
	deviation := logX - m.mean
	m.mean += weight * deviation
	m.variance = (1 - weight) * (m.variance + weight*deviation*deviation)
	m.typical = math.Exp(m.mean)
	m.cautious = math.Exp(m.mean + cautiousDeviations*math.Sqrt(m.variance))
}

func newEstimator() *estimator {
	return &estimator{
		runs: make(map[workloadKey]*runTimes), ratios: make(map[string]*logMean),
		sizes: make(map[workloadKey]*peakUsage), succeeded: make(map[workloadKey]bool),
	}
}

// recordRun records the run time of a member that succeeded.
func (e *estimator) recordRun(spec *egretmuxv1.TaskSpec, ms int64) {
	workload := workloadKey{spec.GetCustomer(), spec.GetName()}
	if len(e.runs) > maxLearnedWorkloads {
		*e = *newEstimator()
	}
	times := e.runs[workload]
	if times == nil {
		times = &runTimes{}
		e.runs[workload] = times
	}
	times.absolute.add(float64(ms))
	e.succeeded[workload] = true
	if spec.GetDeclaredRunMs() > 0 {
		customerRatio := e.ratios[workload.customer]
		if customerRatio == nil {
			customerRatio = &logMean{}
			e.ratios[workload.customer] = customerRatio
		}
		ratio := float64(ms) / float64(spec.GetDeclaredRunMs())
		customerRatio.add(ratio)
		times.ratio.add(ratio)
	}
}

// runTimes holds a workload's run times in milliseconds and as multiples of the
// declared ones.
type runTimes struct{ absolute, ratio logMean }

// runTimeEstimate is a predicted run time.
type runTimeEstimate struct {
	likelyMs   int64
	cautiousMs int64 // seldom exceeded
	learned    bool  // based on runs of the same workload
}

// runTime predicts the run time of a member from the workload's learned run times
// or from its learned ratios to the declared ones, whichever varies less. Without
// enough runs it corrects the declared run time by the customer's ratio.
func (e *estimator) runTime(spec *egretmuxv1.TaskSpec) runTimeEstimate {
	declared := float64(spec.GetDeclaredRunMs())
	if times := e.runs[workloadKey{spec.GetCustomer(), spec.GetName()}]; times != nil && times.absolute.count >= minLearnedRuns {
		if declared > 0 && times.ratio.count >= minLearnedRuns && times.ratio.variance < times.absolute.variance {
			return newEstimate(declared*times.ratio.typical, declared*times.ratio.cautious, true)
		}
		return newEstimate(times.absolute.typical, times.absolute.cautious, true)
	}
	if declared <= 0 {
		return newEstimate(defaultRunMs, defaultRunMs, false)
	}
	if customerRatio := e.ratios[spec.GetCustomer()]; customerRatio != nil && customerRatio.count >= minLearnedRuns {
		declared *= customerRatio.typical
	}
	return newEstimate(declared, declared, false)
}

func newEstimate(likelyMs, cautiousMs float64, learned bool) runTimeEstimate {
	return runTimeEstimate{likelyMs: max(1, int64(likelyMs)), cautiousMs: max(1, int64(cautiousMs)), learned: learned}
}

// peakUsage is the highest usage reported by a workload's attempts, as fractions
// of the declared size.
type peakUsage struct {
	cpuFraction, memoryFraction float64
	attempts                    int // number of attempts that reported usage
}

// recordUsage records an attempt's usage; first marks its first report.
func (e *estimator) recordUsage(spec *egretmuxv1.TaskSpec, used worker.Resources, first bool) {
	workload := workloadKey{spec.GetCustomer(), spec.GetName()}
	seen := e.sizes[workload]
	if seen == nil {
		seen = &peakUsage{}
		e.sizes[workload] = seen
	}
	seen.cpuFraction = max(seen.cpuFraction, fraction(used.CPUMillis, spec.GetResources().GetCpuMillis()))
	seen.memoryFraction = max(seen.memoryFraction, fraction(used.MemoryMiB, spec.GetResources().GetMemoryMib()))
	if first {
		seen.attempts++
	}
}

// addMargin adds the margin to a fraction of the declared size, up to 1: work that
// stays within its declared size is not made larger.
func addMargin(part, margin float64) float64 { return max(part, min(1, part*margin)) }

// startSize returns the resources that a member holds when it starts: the declared
// size, or the workload's peak usage if that is more. After enough attempts it may
// also be less: the peak usage with a margin, but at least task.ResourceFloor.
func (e *estimator) startSize(spec *egretmuxv1.TaskSpec) worker.Resources {
	declared := worker.ResourcesFromProto(spec.GetResources())
	seen := e.sizes[workloadKey{spec.GetCustomer(), spec.GetName()}]
	if seen == nil {
		return declared
	}
	cpu, memory := addMargin(seen.cpuFraction, cpuMargin), addMargin(seen.memoryFraction, memoryMargin)
	if seen.attempts < minSizedAttempts {
		cpu, memory = max(1, seen.cpuFraction), max(1, seen.memoryFraction)
	}
	size := worker.Resources{
		CPUMillis:    int64(float64(declared.CPUMillis) * min(cpu, maxSizeMultiple)),
		MemoryMiB:    int64(float64(declared.MemoryMiB) * min(memory, maxSizeMultiple)),
		Accelerators: declared.Accelerators,
	}
	return size.Max(task.ResourceFloor(spec))
}
