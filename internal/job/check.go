package job

import (
	"fmt"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Limits of one job. A job at the limits takes a few megabytes of memory.
const (
	maxSteps       = 256
	maxTasks       = 20_000 // sum over all steps
	maxRepeats     = 100_000
	maxPayloadSize = 64 << 10 // bytes
	idDigits       = 16       // hexadecimal
	// maxTaskSize bounds what one task asks for of a resource (thousandths of a core, MiB of memory,
	// accelerators), so that the sums over all waiting tasks do not overflow.
	maxTaskSize = 1 << 32
)

// ValidID reports whether s has the form of a job id.
func ValidID(s string) bool {
	if len(s) != idDigits {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// TrimID returns a path without the job id at its end, if it has one.
func TrimID(path string) string {
	if n := len(path) - idDigits; n >= 0 && ValidID(path[n:]) {
		return path[:n]
	}
	return path
}

// Check returns a refusal if the job is invalid or exceeds a limit.
func Check(j *egretmuxv1.Job) error {
	invalid := func(remedy, format string, args ...any) error {
		return refusal.New(refusal.Invalid, remedy, format, args...)
	}
	if len(j.GetPayload()) > maxPayloadSize {
		return invalid("send a shorter payload", "the job's payload has more than %d bytes", maxPayloadSize)
	}
	if len(j.GetSteps()) == 0 || len(j.GetSteps()) > maxSteps {
		return invalid("send 1 to 256 steps", "the job has %d steps", len(j.GetSteps()))
	}
	if j.GetRepeats() > maxRepeats {
		return invalid("send at most 100000 repeats", "the job repeats %d times", j.GetRepeats())
	}
	tasks := uint32(0)
	for i, s := range j.GetSteps() {
		if s.GetCount() == 0 || s.GetCount() > maxTasks {
			return invalid("give each step 1 to 20000 tasks", "step %d has %d tasks", i, s.GetCount())
		}
		tasks += s.GetCount()
		if s.GetCpuMillis() < 0 || s.GetMemoryMib() < 0 || s.GetAccelerators() < 0 {
			return invalid("ask for sizes of zero or more", "step %d asks for a negative size", i)
		}
		if max(s.GetCpuMillis(), s.GetMemoryMib(), s.GetAccelerators()) > maxTaskSize {
			return invalid(fmt.Sprintf("ask for sizes of at most %d a task", maxTaskSize), "step %d asks for a larger size", i)
		}
		for _, before := range s.GetAfter() {
			if int(before) >= i {
				return invalid("let steps depend on earlier ones only", "step %d depends on step %d", i, before)
			}
		}
	}
	if tasks > maxTasks {
		return invalid("split the job", "the job has more than %d tasks", maxTasks)
	}
	return nil
}
