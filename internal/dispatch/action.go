package dispatch

import (
	"cmp"
	"strconv"
	"strings"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// StepKey names one step of one occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence uint32
	Step       uint32
}

// String returns the step's name as workers and the advice service know it.
func (k StepKey) String() string {
	return k.Job + "." + strconv.Itoa(int(k.Occurrence)) + "." + strconv.Itoa(int(k.Step))
}

func (k StepKey) compare(o StepKey) int {
	return cmp.Or(cmp.Compare(k.Job, o.Job), cmp.Compare(k.Occurrence, o.Occurrence), cmp.Compare(k.Step, o.Step))
}

// TaskKey names one task.
type TaskKey struct {
	StepKey
	Index uint32
}

// String returns the task's name as workers know it.
func (k TaskKey) String() string { return k.StepKey.String() + "." + strconv.Itoa(int(k.Index)) }

func (k TaskKey) compare(o TaskKey) int {
	return cmp.Or(k.StepKey.compare(o.StepKey), cmp.Compare(k.Index, o.Index))
}

// ParseTask reads a task's name.
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

// Target is the worker that an order is for.
type Target struct {
	Worker  string
	Born    int64 // Unix milliseconds of the life's start
	Address string
}

// Start orders a worker to run a task.
type Start struct {
	Target
	Task       TaskKey
	Run        uint64
	Payload    []byte
	Checkpoint string
	Ticket     string
	LeaseUntil int64 // on the worker's clock, milliseconds
	Clock      int64 // the worker's clock when it last told it
}

// Stop orders a worker to end a run.
type Stop struct {
	Target
	Task TaskKey
	Run  uint64
}

// Pace orders a run to work at a share of its speed.
type Pace struct {
	Target
	Task    TaskKey
	Run     uint64
	Percent int
}

// Ask asks the advice service which workers may run a step.
type Ask struct {
	Step       StepKey
	Workers    []string
	ExpectedMs float64 // milliseconds that the answer is expected to take
}

// EndBatch asks for ends to be made durable before the worker may forget them.
type EndBatch struct {
	Target
	Ends   []*egretmuxv1.RunEnd
	Cursor uint64
}

// Actions are what the core wants done.
type Actions struct {
	Starts     []Start
	Stops      []Stop
	Paces      []Pace
	Asks       []Ask
	EndBatches []EndBatch
}

// StartResult is a worker's reason against a start.
type StartResult int

// Results of a start.
const (
	Accepted        StartResult = iota
	Unanswered                  // it may be carried out, also later
	StaleFence                  // the worker has seen a newer leader
	OldRun                      // the run number is not above one that ended there
	LeaseTooOld                 // the lease in the order has passed
	NoRoom                      // the worker is full
	TicketRefused               // the ticket is missing, for another step or too old
	NotUnderstood               // the worker cannot read the order
	WorkerUnhealthy             // the worker did nothing since it is unhealthy
	AnotherLife                 // another incarnation answered
	ConnectRefused              // the order did not leave this instance
	NotSent                     // it was not wanted any more
)

// String returns the reason for logs and metrics.
func (r StartResult) String() string {
	return [...]string{
		"accepted", "unanswered", "stale-fence", "old-run", "lease-too-old", "no-room",
		"ticket-refused", "not-understood", "worker-unwell", "another-life", "connect-refused", "not-sent",
	}[r]
}

// ListedRun is a run that a worker reports as present.
type ListedRun struct {
	Task       TaskKey
	Run        uint64
	Checkpoint string
	Percent    float64
	Load       float64
}

// ListedEnd is an ended run that a worker reports.
type ListedEnd struct {
	Number     uint64 // in the worker's list of ends
	Task       TaskKey
	Run        uint64
	Outcome    egretmuxv1.RunOutcome
	Checkpoint string
	TaskParsed bool // the task's name could be read
}

// Listing is a worker's answer to a look at it.
type Listing struct {
	Clock   int64 // of the worker, milliseconds
	Running []ListedRun
	Ended   []ListedEnd
	Whole   bool // no ends were left out
}
