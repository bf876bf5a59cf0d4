// Package task holds the rules of tasks and their attempts.
package task

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/worker"
)

// The part of its declared size that an attempt holds at least. Processors can
// be throttled at once when a task wants them back, memory cannot.
const (
	cpuFloorPart    = 4
	memoryFloorPart = 2
)

// Final reports whether a task in this phase never changes again.
func Final(p egretmuxv1.TaskPhase) bool {
	switch p {
	case egretmuxv1.TaskPhase_TASK_PHASE_SUCCEEDED,
		egretmuxv1.TaskPhase_TASK_PHASE_FAILED,
		egretmuxv1.TaskPhase_TASK_PHASE_CANCELLED,
		egretmuxv1.TaskPhase_TASK_PHASE_UNKNOWN:
		return true
	}
	return false
}

// Live reports whether an attempt in this phase may still run and holds room.
func Live(p egretmuxv1.AttemptPhase) bool {
	switch p {
	case egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STARTING,
		egretmuxv1.AttemptPhase_ATTEMPT_PHASE_RUNNING,
		egretmuxv1.AttemptPhase_ATTEMPT_PHASE_STOPPING:
		return true
	}
	return false
}

// Members returns the number of members, at least one.
func Members(s *egretmuxv1.TaskSpec) int32 { return max(1, s.GetMembers()) }

// MaxFailures returns how many failed attempts a member may have, at least one.
func MaxFailures(s *egretmuxv1.TaskSpec) int32 { return max(1, s.GetMaxFailures()) }

// LiveAttempt returns the member's live attempt, or nil.
func LiveAttempt(t *egretmuxv1.Task, member int32) *egretmuxv1.Attempt {
	for _, a := range t.GetAttempts() {
		if a.GetMember() == member && Live(a.GetPhase()) {
			return a
		}
	}
	return nil
}

// FindAttempt returns the attempt with that number, or nil.
func FindAttempt(t *egretmuxv1.Task, id uint64) *egretmuxv1.Attempt {
	for _, a := range t.GetAttempts() {
		if a.GetId() == id {
			return a
		}
	}
	return nil
}

// MemberSucceeded reports whether the member has succeeded.
func MemberSucceeded(t *egretmuxv1.Task, member int32) bool {
	for _, m := range t.GetDoneMembers() {
		if m == member {
			return true
		}
	}
	return false
}

// WaitingMembers returns the members that have neither succeeded nor a live attempt.
func WaitingMembers(t *egretmuxv1.Task) []int32 {
	if Final(t.GetPhase()) || t.GetEnding() != egretmuxv1.TaskPhase_TASK_PHASE_UNSPECIFIED {
		return nil
	}
	total := Members(t.GetSpec())
	busy := make([]bool, total)
	for _, m := range t.GetDoneMembers() {
		busy[m] = true
	}
	for _, a := range t.GetAttempts() {
		if Live(a.GetPhase()) {
			busy[a.GetMember()] = true
		}
	}
	var waiting []int32
	for m, b := range busy {
		if !b {
			waiting = append(waiting, int32(m))
		}
	}
	return waiting
}

// SavedRunMs returns the run time in milliseconds that the member's checkpoints saved.
func SavedRunMs(t *egretmuxv1.Task, member int32) int64 {
	if int(member) < len(t.GetSavedMs()) {
		return t.GetSavedMs()[member]
	}
	return 0
}

// HeldResources returns the room that an attempt holds on its worker.
func HeldResources(t *egretmuxv1.Task, a *egretmuxv1.Attempt) worker.Resources {
	if a.GetHeld() != nil {
		return worker.ResourcesFromProto(a.GetHeld())
	}
	return worker.ResourcesFromProto(t.GetSpec().GetResources())
}

// ResourceFloor returns the least room that an attempt of a member may hold, whatever
// it was seen to use: a part of its declared processors and memory, and all of
// its accelerators.
func ResourceFloor(s *egretmuxv1.TaskSpec) worker.Resources {
	declared := worker.ResourcesFromProto(s.GetResources())
	return worker.Resources{
		CPUMillis:    declared.CPUMillis / cpuFloorPart,
		MemoryMiB:    declared.MemoryMiB / memoryFloorPart,
		Accelerators: declared.Accelerators,
	}
}

// Restartable reports whether an attempt that may have run can be run again.
func Restartable(s *egretmuxv1.TaskSpec) bool {
	return s.GetIdempotent() || s.GetKind() == egretmuxv1.TaskKind_TASK_KIND_SERVICE
}
