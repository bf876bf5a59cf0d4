package dispatch

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// StepKey identifies one step of one occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence uint32
	Step       uint32
}

// String returns the step's name in calls to workers and to the advice service.
func (k StepKey) String() string {
	return k.Job + "." + strconv.Itoa(int(k.Occurrence)) + "." + strconv.Itoa(int(k.Step))
}

func (k StepKey) compare(other StepKey) int {
	return cmp.Or(cmp.Compare(k.Job, other.Job), cmp.Compare(k.Occurrence, other.Occurrence), cmp.Compare(k.Step, other.Step))
}

// TaskKey identifies one task.
type TaskKey struct {
	StepKey
	Index uint32
}

// String returns the task's name in calls to workers.
func (k TaskKey) String() string { return k.StepKey.String() + "." + strconv.Itoa(int(k.Index)) }

func (k TaskKey) compare(other TaskKey) int {
	return cmp.Or(k.StepKey.compare(other.StepKey), cmp.Compare(k.Index, other.Index))
}

// ParseTask parses a task's name as TaskKey.String writes it.
func ParseTask(s string) (TaskKey, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskKey{}, false
	}
	var n [3]uint32
	for i, p := range parts[1:] {
		v, err := strconv.ParseUint(p, 10, 32)
		if err != nil {
			return TaskKey{}, false
		}
		n[i] = uint32(v)
	}
	return TaskKey{StepKey{parts[0], n[0], n[1]}, n[2]}, true
}

// Target identifies the incarnation of a worker that an order is for.
type Target struct {
	Worker  string
	Born    int64 // start of the incarnation, Unix milliseconds
	Address string
}

// StartOrder orders a worker to run a task.
type StartOrder struct {
	Target
	Task       TaskKey
	Run        uint64
	Payload    []byte
	Checkpoint string
	Ticket     string
	LeaseUntil int64 // end of the lease on the worker's clock, milliseconds
	// TrialLease, unless zero, is the length of a lease that is granted when the start is sent, in place
	// of LeaseUntil.
	TrialLease time.Duration
	Clock      int64 // last known reading of the worker's clock, milliseconds
	// Superseded are earlier runs of the task that may have ended unheard.
	Superseded []*egretmuxv1.SupersededRun
	// AnswerBy is the time after the start is sent in which a member of a gang must have begun; zero for
	// other tasks.
	AnswerBy time.Duration
	Repeated bool // it was sent before, without an answer
}

// StopOrder orders a worker to stop a run.
type StopOrder struct {
	Target
	Task TaskKey
	Run  uint64
}

// PaceOrder orders a worker to throttle a run to a percentage of its full speed.
type PaceOrder struct {
	Target
	Task    TaskKey
	Run     uint64
	Percent int
}

// Ask is a call to the advice service, which answers which workers may run a step.
type Ask struct {
	Step       StepKey
	Workers    []string
	ExpectedMs float64 // expected duration of the call
}

// EndBatch holds ends of runs to store in the log. Once they are stored, the ends up
// to Cursor can be acknowledged to the worker, which may then drop them.
type EndBatch struct {
	Target
	Ends   []*egretmuxv1.RunEnd
	Cursor uint64
}

// Actions are the calls and log writes that the scheduler has to carry out.
type Actions struct {
	Starts     []StartOrder // to store
	Sends      []StartOrder // stored ones, to send
	Stops      []StopOrder
	Paces      []PaceOrder
	Asks       []Ask
	EndBatches []EndBatch
}

// StartResult is what became of a start order.
type StartResult int

// Results of a start order.
const (
	Accepted           StartResult = iota
	Unanswered                     // the worker may still carry out the start, although the call has failed
	StaleFence                     // the worker has seen a newer leader
	OldRun                         // the worker has ended a run of the task with this number or a higher one
	LeaseTooOld                    // the lease in the order has expired
	NoRoom                         // the worker lacks the resources
	TicketRefused                  // the ticket is missing, expired or for another step
	NotUnderstood                  // the worker cannot parse the order
	WorkerUnhealthy                // the worker is unhealthy and did not carry out the start
	AnotherIncarnation             // another incarnation of the worker answered
	ConnectRefused                 // the order did not leave this instance
	NotSent                        // the start was withdrawn before it was sent
)

// startResultNames are the results as they appear in logs and metrics.
var startResultNames = [...]string{
	"accepted", "unanswered", "stale-fence", "old-run", "lease-too-old", "no-room",
	"ticket-refused", "not-understood", "worker-unwell", "another-life", "connect-refused", "not-sent",
}

// Known reports whether the value is one of the results.
func (r StartResult) Known() bool { return r >= 0 && int(r) < len(startResultNames) }

// String returns the result as it appears in logs and metrics.
func (r StartResult) String() string { return startResultNames[r] }

// ListedRun is a run that a worker reports as present.
type ListedRun struct {
	Task            TaskKey
	Run             uint64
	Checkpoint      string
	ProgressPercent float64
	TailLatencyMs   float64 // the listed load; a tail latency only for serving tasks
}

// ListedEnd is an ended run that a worker reports.
type ListedEnd struct {
	Number     uint64 // position in the worker's list of ends
	Task       TaskKey
	Run        uint64
	Outcome    egretmuxv1.RunOutcome
	Checkpoint string
	TaskParsed bool // if false, the listed name is not of the form of TaskKey.String and Task is empty
}

// Listing is a worker's answer to a poll.
type Listing struct {
	Clock    int64 // the worker's clock, milliseconds
	Running  []ListedRun
	Ended    []ListedEnd
	Complete bool // whether no ends were cut off: then a run that is not listed is not on the worker
}
