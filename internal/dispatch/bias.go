package dispatch

import "math"

const (
	biasMemory       = 50.0 // steps of a customer after which an older one weighs 1/e
	minBiasSteps     = 5.0  // steps from which the spread of a customer's estimates is known
	biasSignificance = 3.0  // standard errors from which a mean error counts as bias
)

// estimateBias is the error that the estimates of one customer have in common in a queue. All
// values are logarithms of run times relative to their estimates. The tasks of a step share
// an estimate, so a step counts once, however many tasks it has.
type estimateBias struct{ steps, mean, variance float64 }

// observe adds a run that took ratio times its estimate. Its weight is its part of a step.
func (b *estimateBias) observe(ratio, weight float64) {
	x := math.Log(ratio)
	b.steps = min(b.steps+weight, biasMemory)
	deviation := x - b.mean
	b.mean += weight / b.steps * deviation
	b.variance += weight / b.steps * (deviation*(x-b.mean) - b.variance)
}

// factor returns what to multiply the customer's estimates by. It is 1 while their spread
// leaves a bias in doubt, and for jobs without a customer, whose bias is nil.
func (b *estimateBias) factor() float64 {
	if b == nil || b.steps < minBiasSteps || math.Abs(b.mean) < biasSignificance*math.Sqrt(b.variance/b.steps) {
		return 1
	}
	return math.Exp(b.mean)
}
