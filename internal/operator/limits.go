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
	maxNameBytes    = 128 // names for people, authors
	maxReasonBytes  = 512
	maxCommandBytes = 16 << 10
	maxCancelTasks  = 10_000
	maxListTasks    = 1000
)

// checkText refuses a text that is too long or holds control characters.
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

// checkChangeID refuses a change without a name: it could not be repeated safely.
func checkChangeID(id string) error {
	if id == "" {
		return refusal.New(refusal.Invalid, "set change_id to a new random text, and keep it when resending", "the change has no change id")
	}
	return checkText("change_id", id, maxNameBytes)
}

// checkName refuses what may not name a customer, class or service.
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
	s := m.GetSpec()
	err := firstError(
		checkChangeID(m.GetChangeId()),
		checkText("spec.name", s.GetName(), maxNameBytes),
		checkName("spec.customer", s.GetCustomer()),
		checkName("spec.class", s.GetClass()),
		checkName("spec.service", s.GetService()),
	)
	if err != nil {
		return err
	}
	if len(s.GetCommand()) > maxCommandBytes {
		return refusal.New(refusal.TooLarge, "shorten it", "spec.command is longer than %d bytes", maxCommandBytes)
	}
	if s.GetMembers() > maxMembers {
		return refusal.New(refusal.TooLarge, "split the task, or raise [limits] max_members", "the task has %d members; at most %d are accepted", s.GetMembers(), maxMembers)
	}
	r := s.GetResources()
	if s.GetMembers() < 0 || r.GetCpuMillis() < 0 || r.GetMemoryMib() < 0 || r.GetAccelerators() < 0 || s.GetDeclaredRunMs() < 0 {
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

// check refuses a message whose fields are beyond the limits.
func check(message any, maxMembers int32) error {
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
