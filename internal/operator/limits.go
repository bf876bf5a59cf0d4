package operator

import (
	"unicode"
	"unicode/utf8"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Limits of the fields of control calls.
const (
	maxNameBytes    = 128 // names of tasks, workers and authors, and change ids
	maxReasonBytes  = 512
	maxCommandBytes = 16 << 10
	maxCancelTasks  = 10_000
	maxListTasks    = 1000
)

// checkText refuses a text that is too long, not UTF-8 or has control characters.
func checkText(field, value string, limit int) error {
	if len(value) > limit {
		return refusal.New(refusal.TooLarge, "shorten it", "%s is longer than %d bytes", field, limit)
	}
	if !utf8.ValidString(value) {
		return refusal.New(refusal.Invalid, "send UTF-8", "%s is not UTF-8", field)
	}
	for _, r := range value {
		if unicode.IsControl(r) {
			return refusal.New(refusal.Invalid, "delete it", "%s holds a control character", field)
		}
	}
	return nil
}

// checkChangeID refuses a change without an id, because resending it would not be
// safe.
func checkChangeID(id string) error {
	if id == "" {
		return refusal.New(refusal.Invalid, "set change_id to a new random text, and keep it when resending", "the change has no change id")
	}
	return checkText("change_id", id, maxNameBytes)
}

// checkName refuses a value that is no valid name of a customer, class or service.
func checkName(field, value string) error {
	if value != "" && !contract.ValidName(value) {
		return refusal.New(refusal.Invalid, "use lower-case letters, digits and hyphens, beginning with a letter, at most 63", "%s %.80q is not a name", field, value)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkSubmit(m *egretmuxv1.SubmitTaskRequest, maxMembers int32) error {
	spec := m.GetSpec()
	err := firstError(
		checkChangeID(m.GetChangeId()),
		checkText("spec.name", spec.GetName(), maxNameBytes),
		checkName("spec.customer", spec.GetCustomer()),
		checkName("spec.class", spec.GetClass()),
		checkName("spec.service", spec.GetService()),
	)
	if err != nil {
		return err
	}
	if len(spec.GetCommand()) > maxCommandBytes {
		return refusal.New(refusal.TooLarge, "shorten it", "spec.command is longer than %d bytes", maxCommandBytes)
	}
	if spec.GetMembers() > maxMembers {
		return refusal.New(refusal.TooLarge, "split the task, or raise [limits] max_members", "the task has %d members; at most %d are accepted", spec.GetMembers(), maxMembers)
	}
	resources := spec.GetResources()
	if spec.GetMembers() < 0 || resources.GetCpuMillis() < 0 || resources.GetMemoryMib() < 0 || resources.GetAccelerators() < 0 || spec.GetDeclaredRunMs() < 0 {
		return refusal.New(refusal.Invalid, "use numbers from 0", "members, resources or run time are negative")
	}
	return nil
}

func checkApply(m *egretmuxv1.ApplyContractRequest) error {
	return firstError(
		checkChangeID(m.GetChangeId()),
		checkText("author", m.GetAuthor(), maxNameBytes),
		checkName("customer", m.GetCustomer()),
	)
}

func checkCancel(m *egretmuxv1.CancelTaskRequest) error {
	if len(m.GetTasks()) > maxCancelTasks {
		return refusal.New(refusal.TooLarge, "cancel in several calls", "%d tasks in one call; at most %d are accepted", len(m.GetTasks()), maxCancelTasks)
	}
	return checkText("reason", m.GetReason(), maxReasonBytes)
}

// checkMessage refuses a message with a field beyond its limit. It caps the limit
// of a task list instead.
func checkMessage(message any, maxMembers int32) error {
	switch m := message.(type) {
	case *egretmuxv1.SubmitTaskRequest:
		return checkSubmit(m, maxMembers)
	case *egretmuxv1.ApplyContractRequest:
		return checkApply(m)
	case *egretmuxv1.CancelTaskRequest:
		return checkCancel(m)
	case *egretmuxv1.DrainWorkerRequest:
		return firstError(checkText("worker", m.GetWorker(), maxNameBytes), checkText("reason", m.GetReason(), maxReasonBytes))
	case *egretmuxv1.ListTasksRequest:
		m.Limit = min(m.GetLimit(), maxListTasks)
	}
	return nil
}
