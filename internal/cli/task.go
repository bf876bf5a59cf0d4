package cli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/xid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/task"
)

type taskArgument struct {
	Task uint64 `positional-arg-name:"TASK" required:"yes"`
}

type taskSubmit struct {
	*app
	Kind         string        `long:"kind" choice:"service" choice:"batch" choice:"gang" default:"batch" description:"kind of task"`
	Name         string        `long:"name" required:"yes" description:"name for people"`
	Customer     string        `long:"customer" description:"for operators: whose task it is"`
	Members      int32         `long:"members" default:"1" description:"replicas of a service, tasks of a batch or gang"`
	Cores        float64       `long:"cores" default:"1" description:"cores of one member"`
	Memory       float64       `long:"memory" default:"1" description:"GiB of one member"`
	Accelerators int64         `long:"accelerators" description:"accelerators of one member"`
	Deadline     time.Duration `long:"deadline" description:"time from now by which it must have ended"`
	RunTime      time.Duration `long:"run-time" description:"expected run time of one member"`
	Idempotent   bool          `long:"idempotent" description:"a lost attempt may be run again"`
	Urgent       bool          `long:"urgent" description:"may preempt, within the contract"`
	Service      string        `long:"service" description:"service name of a service task"`
	Class        string        `long:"class" description:"class of work in the contract"`
	Command      string        `long:"command" description:"what the worker runs"`
	MaxFailures  int32         `long:"max-failures" default:"1" description:"failed attempts allowed to each member"`
	ChangeID     string        `long:"change-id" description:"name of this submission, to repeat it safely; default: a new one"`
	Wait         bool          `long:"wait" description:"wait until it ends, or runs for a service"`
}

var kindByName = map[string]egretmuxv1.TaskKind{
	"service": egretmuxv1.TaskKind_TASK_KIND_SERVICE,
	"batch":   egretmuxv1.TaskKind_TASK_KIND_BATCH,
	"gang":    egretmuxv1.TaskKind_TASK_KIND_GANG,
}

func (c *taskSubmit) spec() *egretmuxv1.TaskSpec {
	const millis, mib = 1000, 1024
	s := &egretmuxv1.TaskSpec{
		Customer: c.Customer, Name: c.Name, Kind: kindByName[c.Kind], Members: c.Members,
		Resources: &egretmuxv1.Resources{
			CpuMillis: int64(c.Cores * millis), MemoryMib: int64(c.Memory * mib), Accelerators: c.Accelerators,
		},
		DeclaredRunMs: c.RunTime.Milliseconds(), Idempotent: c.Idempotent, Urgent: c.Urgent,
		Service: c.Service, Class: c.Class, Command: c.Command, MaxFailures: c.MaxFailures,
	}
	if c.Deadline > 0 {
		s.DeadlineUnixMs = time.Now().Add(c.Deadline).UnixMilli()
	}
	return s
}

// Execute implements flags.Commander.
func (c *taskSubmit) Execute([]string) error {
	if c.Deadline < 0 || c.RunTime < 0 {
		return &exitError{ExitUsage, "--deadline and --run-time are times from now on, such as 90s"}
	}
	if c.ChangeID == "" {
		c.ChangeID = xid.New().String()
	}
	req := &egretmuxv1.SubmitTaskRequest{ChangeId: c.ChangeID, Spec: c.spec()}
	resp, err := call(c.app, func(ctx context.Context, t egretmuxv1connect.TaskServiceClient, _ egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.SubmitTaskResponse], error) {
		return t.SubmitTask(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return err
	}
	if c.Wait {
		return c.waitForTask(resp.GetTask(), c.Kind == "service")
	}
	return c.print(resp, "TASK CHANGE", func(add func(...any)) { add(resp.GetTask(), c.ChangeID) })
}

// waitForTask waits until a task ends or, with untilRunning, until it runs, and
// prints it.
func (a *app) waitForTask(id uint64, untilRunning bool) error {
	deadline := time.Now().Add(a.globals.Timeout)
	for {
		remaining := time.Until(deadline)
		resp, err := call(a, func(ctx context.Context, t egretmuxv1connect.TaskServiceClient, _ egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.WaitTaskResponse], error) {
			const longPoll = time.Second // below minAttemptTimeout, or the attempt would time out first
			return t.WaitTask(ctx, connect.NewRequest(&egretmuxv1.WaitTaskRequest{Task: id, Running: untilRunning, WaitMs: min(longPoll, max(remaining, 0)).Milliseconds()}))
		})
		if err != nil {
			return err
		}
		if !resp.GetReached() && time.Now().Before(deadline) {
			continue
		}
		if err := a.printTask(resp.GetTask()); err != nil {
			return err
		}
		return checkOutcome(resp.GetTask(), resp.GetReached(), untilRunning)
	}
}

// checkOutcome returns the error that the command ends with, if any.
func checkOutcome(t *egretmuxv1.Task, reached, untilRunning bool) error {
	if !reached {
		return &exitError{ExitTask, fmt.Sprintf("task %d is still %s", t.GetId(), phaseName(t.GetPhase()))}
	}
	if untilRunning && t.GetPhase() == egretmuxv1.TaskPhase_TASK_PHASE_RUNNING || t.GetPhase() == egretmuxv1.TaskPhase_TASK_PHASE_SUCCEEDED {
		return nil
	}
	return &exitError{ExitTask, fmt.Sprintf("task %d ended %s: %s", t.GetId(), phaseName(t.GetPhase()), t.GetReason())}
}

const taskHeader = "TASK CUSTOMER NAME KIND PHASE MEMBERS DONE RUNNING DEADLINE ENDED REASON"

func taskRow(t *egretmuxv1.Task) []any {
	s := t.GetSpec()
	liveAttempts := 0
	for _, a := range t.GetAttempts() {
		if task.Live(a.GetPhase()) {
			liveAttempts++
		}
	}
	return []any{
		t.GetId(), s.GetCustomer(), s.GetName(), kindName(s.GetKind()), phaseName(t.GetPhase()), task.Members(s),
		len(t.GetDoneMembers()), liveAttempts, formatTime(s.GetDeadlineUnixMs()), formatTime(t.GetEndedUnixMs()), orDash(t.GetReason()),
	}
}

// printTask prints a task with its attempts.
func (a *app) printTask(t *egretmuxv1.Task) error {
	if err := a.print(t, taskHeader, func(add func(...any)) { add(taskRow(t)...) }); err != nil || a.globals.Output == "json" || len(t.GetAttempts()) == 0 {
		return err
	}
	return a.print(t, "ATTEMPT MEMBER WORKER PHASE STARTED ENDED DETAIL", func(add func(...any)) {
		for _, attempt := range t.GetAttempts() {
			add(attempt.GetId(), attempt.GetMember(), attempt.GetWorker(), attemptName(attempt.GetPhase()), formatTime(attempt.GetStartedUnixMs()), formatTime(attempt.GetEndedUnixMs()), orDash(attempt.GetDetail()))
		}
	})
}

type taskGet struct {
	*app
	Args taskArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *taskGet) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, t egretmuxv1connect.TaskServiceClient, _ egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.GetTaskResponse], error) {
		return t.GetTask(ctx, connect.NewRequest(&egretmuxv1.GetTaskRequest{Task: c.Args.Task}))
	})
	if err != nil {
		return err
	}
	return c.printTask(resp.GetTask())
}

type taskWait struct {
	*app
	Running bool         `long:"running" description:"wait only until it runs"`
	Args    taskArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *taskWait) Execute([]string) error { return c.waitForTask(c.Args.Task, c.Running) }

type taskCancel struct {
	*app
	Reason string `long:"reason" default:"cancelled" description:"why"`
	Args   struct {
		Tasks []uint64 `positional-arg-name:"TASK" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *taskCancel) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, t egretmuxv1connect.TaskServiceClient, _ egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.CancelTaskResponse], error) {
		return t.CancelTask(ctx, connect.NewRequest(&egretmuxv1.CancelTaskRequest{Tasks: c.Args.Tasks, Reason: c.Reason}))
	})
	if err != nil {
		return err
	}
	return c.print(resp, "CANCELLED", func(add func(...any)) { add(resp.GetCancelled()) })
}

type taskList struct {
	*app
	Customer string `long:"customer" description:"only this customer's"`
	Phase    string `long:"phase" choice:"queued" choice:"running" choice:"succeeded" choice:"failed" choice:"cancelled" choice:"unknown" description:"only in this phase"`
	Limit    int32  `long:"limit" default:"100" description:"most tasks to list"`
	After    uint64 `long:"after" description:"only tasks with a greater number"`
}

func phaseByName(name string) egretmuxv1.TaskPhase {
	for value := range egretmuxv1.TaskPhase_name {
		if phase := egretmuxv1.TaskPhase(value); phaseName(phase) == name {
			return phase
		}
	}
	return egretmuxv1.TaskPhase_TASK_PHASE_UNSPECIFIED
}

// Execute implements flags.Commander.
func (c *taskList) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, t egretmuxv1connect.TaskServiceClient, _ egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ListTasksResponse], error) {
		return t.ListTasks(ctx, connect.NewRequest(&egretmuxv1.ListTasksRequest{
			Customer: c.Customer, Phase: phaseByName(c.Phase), Limit: c.Limit, After: c.After,
		}))
	})
	if err != nil {
		return err
	}
	return c.print(resp, taskHeader, func(add func(...any)) {
		for _, t := range resp.GetTasks() {
			add(taskRow(t)...)
		}
	})
}

type taskExplain struct {
	*app
	Args taskArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *taskExplain) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, t egretmuxv1connect.TaskServiceClient, _ egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ExplainTaskResponse], error) {
		return t.ExplainTask(ctx, connect.NewRequest(&egretmuxv1.ExplainTaskRequest{Task: c.Args.Task}))
	})
	if err != nil {
		return err
	}
	if c.globals.Output == "table" {
		_, _ = fmt.Fprintf(c.out, "%s: %s\n", phaseName(resp.GetPhase()), orDash(resp.GetSummary()))
	}
	return c.print(resp, "WORKERS REASON", func(add func(...any)) {
		for _, r := range resp.GetReasons() {
			add(r.GetWorkers(), r.GetReason())
		}
	})
}
