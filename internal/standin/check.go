package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"time"
)

// Check compares what callers and submitters saw with what endpoints and
// workers did. Each journal may hold entries of any of them.
type Check struct {
	entries []JournalEntry
	kills   []JournalEntry // entries "killed": Who names the process, Instance its callers address
	faults  []JournalEntry // kills, and entries "fault" for pauses and link faults

	Refusals map[string]int // refused requests by outcome and kind of refusal, such as not_run/draining

	Whole, NotRun, Unknown, Cut, Unsent, Unresolved, Tasks, Attempts int
}

const (
	// killWindow bounds the time from the kill of an instance to the start of a
	// cut request, or from the end of the request to the kill, for the kill to
	// explain the cut.
	killWindow = 2 * time.Second
	// faultWindow bounds the time from a fault to the start of a request with an
	// unknown outcome, for the fault to explain the outcome.
	faultWindow = 15 * time.Second
)

// ReadJournals reads the journals in the named files, in order of time.
func ReadJournals(names []string) (*Check, error) {
	c := &Check{Refusals: make(map[string]int)}
	for _, name := range names {
		if err := c.readFile(name); err != nil {
			return nil, err
		}
	}
	sort.SliceStable(c.entries, func(i, j int) bool { return c.entries[i].At.Before(c.entries[j].At) })
	for _, e := range c.entries {
		if e.What == "killed" {
			c.kills = append(c.kills, e)
		}
		if e.What == "killed" || e.What == "fault" {
			c.faults = append(c.faults, e)
		}
	}
	return c, nil
}

func (c *Check) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	const maxLine = 1 << 20
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e JournalEntry
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		c.entries = append(c.entries, e)
	}
	return lines.Err()
}

// Run returns a line for each violated guarantee.
func (c *Check) Run() []string {
	violations := c.checkRequests()
	violations = append(violations, c.checkAttempts()...)
	return append(violations, c.checkTasks()...)
}

func (c *Check) checkRequests() []string {
	var violations []string
	runsByRequest := make(map[string]int)
	runsByKey := make(map[string]int)
	for _, e := range c.entries {
		switch e.What {
		case "request_ran":
			runsByRequest[e.Request]++
			if e.Key != "" {
				runsByKey[e.Key]++
			}
		case "oversold":
			violations = append(violations, fmt.Sprintf("oversold: endpoint %s got request %s beyond its slots", e.Who, e.Request))
		}
	}
	for key, n := range runsByKey {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("doubled: key %s ran %d times", key, n))
		}
	}
	firstSend := c.firstSends()
	for _, e := range c.entries {
		if e.Who == "caller" {
			violations = append(violations, c.checkOutcome(e, runsByRequest, firstSend)...)
		}
	}
	return violations
}

// firstSends returns the entry of the first send under each key.
func (c *Check) firstSends() map[string]JournalEntry {
	firstSend := make(map[string]JournalEntry)
	for _, e := range c.entries {
		if _, seen := firstSend[e.Key]; e.Who == "caller" && e.Key != "" && !seen {
			firstSend[e.Key] = e
		}
	}
	return firstSend
}

// explainedByFault reports whether a fault happened during a request or shortly
// before it, so that its outcome may be unknown.
func (c *Check) explainedByFault(e JournalEntry) bool {
	for _, f := range c.faults {
		if f.At.After(e.Began.Add(-faultWindow)) && f.At.Before(e.At) {
			return true
		}
	}
	return false
}

func (c *Check) checkOutcome(e JournalEntry, runsByRequest map[string]int, firstSend map[string]JournalEntry) []string {
	switch e.What {
	case OutcomeWhole:
		c.Whole++
		if runsByRequest[e.Request] == 0 {
			return []string{fmt.Sprintf("wrong: request %s was answered but ran nowhere", e.Request)}
		}
	case OutcomeNotRun:
		c.NotRun++
		c.Refusals["not_run/"+e.Detail]++
		if runsByRequest[e.Request] > 0 {
			return []string{fmt.Sprintf("wrong: request %s was reported as not run (%s) but ran", e.Request, e.Detail)}
		}
	case OutcomeUnknown:
		c.Unknown++
		c.Refusals["unknown/"+e.Detail]++
		sinceFirstSend := e
		if f, ok := firstSend[e.Key]; ok {
			sinceFirstSend.Began = f.Began
		}
		if !c.explainedByFault(sinceFirstSend) {
			return []string{fmt.Sprintf("lost: request %s (key %q) ended unknown (%s) without a fault to explain it", e.Request, e.Key, e.Detail)}
		}
	case OutcomeUnsent:
		c.Unsent++
	case OutcomeCut:
		c.Cut++
		if !c.explainedByKill(e) {
			return []string{fmt.Sprintf("cut: request %q through %s at %s (%s)", e.Request, e.Instance, e.At.Format(time.RFC3339Nano), e.Detail)}
		}
	case OutcomeWrong:
		return []string{fmt.Sprintf("wrong: request %s: %s", e.Request, e.Detail)}
	case "gave_up":
		if f := firstSend[e.Key]; !c.explainedByFault(f) {
			return []string{"lost: key " + e.Key + " never got a certain outcome, and no fault explains it"}
		}
		c.Unresolved++
	}
	return nil
}

// explainedByKill reports whether the instance that a cut request went through
// was killed during the request or shortly before or after it.
func (c *Check) explainedByKill(e JournalEntry) bool {
	for _, k := range c.kills {
		if k.Instance == e.Instance && k.At.After(e.Began.Add(-killWindow)) && k.At.Before(e.At.Add(killWindow)) {
			return true
		}
	}
	return false
}

// memberRun is one attempt of a task's member, as its worker recorded it.
type memberRun struct {
	attempt    uint64
	worker     string
	begin, end time.Time
}

// checkAttempts returns violations for members that ran in two places at once
// and for at-most-once tasks that started again.
func (c *Check) checkAttempts() []string {
	atMostOnce := make(map[uint64]bool)
	runsByMember := make(map[[2]uint64][]*memberRun)
	runsByAttempt := make(map[uint64]*memberRun)
	for _, e := range c.entries {
		switch e.What {
		case "task_accepted":
			atMostOnce[e.Task] = e.Detail == "once"
		case "attempt_started":
			c.Attempts++
			r := &memberRun{attempt: e.Attempt, worker: e.Who, begin: e.At}
			runsByAttempt[e.Attempt] = r
			key := [2]uint64{e.Task, uint64(e.Member)}
			runsByMember[key] = append(runsByMember[key], r)
		case "attempt_ended":
			if r := runsByAttempt[e.Attempt]; r != nil {
				r.end = e.At
			}
		case "killed":
			for _, r := range runsByAttempt {
				if r.worker == e.Who && r.end.IsZero() {
					r.end = e.At
				}
			}
		}
	}
	var violations []string
	for key, memberRuns := range runsByMember {
		for i := 1; i < len(memberRuns); i++ {
			if memberRuns[i-1].end.IsZero() || memberRuns[i].begin.Before(memberRuns[i-1].end) {
				violations = append(violations, fmt.Sprintf("doubled: task %d member %d ran on %s (attempt %d) and %s (attempt %d) at once",
					key[0], key[1], memberRuns[i-1].worker, memberRuns[i-1].attempt, memberRuns[i].worker, memberRuns[i].attempt))
			}
		}
		if atMostOnce[key[0]] && len(memberRuns) > 1 {
			violations = append(violations, fmt.Sprintf("doubled: task %d must run at most once and started %d times", key[0], len(memberRuns)))
		}
	}
	return violations
}

func (c *Check) checkTasks() []string {
	var violations []string
	for _, e := range c.entries {
		switch e.What {
		case "task_ended":
			c.Tasks++
			if e.Detail == "TASK_PHASE_CANCELLED" || e.Detail == "TASK_PHASE_FAILED" {
				violations = append(violations, fmt.Sprintf("lost: task %d ended %s", e.Task, e.Detail))
			}
		case "task_not_ended":
			violations = append(violations, fmt.Sprintf("lost: task %d was accepted and did not end", e.Task))
		case "task_not_accepted":
			violations = append(violations, "lost: no instance accepted submission "+e.Key)
		case "task_refused":
			violations = append(violations, "lost: submission "+e.Key+" was refused: "+e.Detail)
		}
	}
	return violations
}
