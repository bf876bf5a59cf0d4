package job

import (
	"fmt"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// CheckQuota returns a refusal if a task of the job, or a gang as a whole, is larger than the
// quota of its customer: it could never start.
func CheckQuota(j *egretmuxv1.Job, customer *egretmuxv1.Customer) error {
	for i, s := range j.GetSteps() {
		what, members := "a task", int64(1)
		if s.GetGang() {
			what, members = fmt.Sprintf("the gang of %d tasks", s.GetCount()), int64(s.GetCount())
		}
		for _, d := range quotaDemands(s, customer.GetQuota()) {
			if d.limit > 0 && d.demand > d.limit/members {
				return refusal.New(refusal.NeverRunnable, "ask for less, split the step or have the operator raise the quota",
					"%s of step %d asks for %d %s a task, and the quota of customer %.100q is %d", what, i, d.demand, d.unit, customer.GetName(), d.limit)
			}
		}
	}
	return nil
}

// quotaDemand is what one task asks for of a resource, and the limit of its customer.
type quotaDemand struct {
	unit          string
	demand, limit int64
}

func quotaDemands(s *egretmuxv1.JobStep, quota *egretmuxv1.Resources) []quotaDemand {
	return []quotaDemand{
		{"thousandths of a core", s.GetCpuMillis(), quota.GetCpuMillis()},
		{"MiB of memory", s.GetMemoryMib(), quota.GetMemoryMib()},
		{"accelerators", s.GetAccelerators(), quota.GetAccelerators()},
	}
}
