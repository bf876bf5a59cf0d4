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
// workers did. The journals may hold lines of any of them.
type Check struct {
	entries []JournalEntry
	kills   []JournalEntry // "killed": Who names the process, Instance its callers address
	faults  []JournalEntry // kills, and "fault" for pauses and link faults

	Refusals map[string]int // not run or unknown, by kind

	Whole, NotRun, Unknown, Cut, Unsent, Unresolved, Tasks, Attempts int
}

const (
	// cutAfterKill is how long after a process was killed its callers may
	// still see cut connections.
	cutAfterKill = 2 * time.Second
	// faultWindow is how long after a fault a request that was under way may
	// end with an unknown outcome.
	faultWindow = 15 * time.Second
)

// ReadJournals reads the files.
func ReadJournals(names []string) (*Check, error) {
	c := &Check{Refusals: make(map[string]int)}
	for _, name := range names {
		if err := c.read(name); err != nil {
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

func (c *Check) read(name string) error {
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

// Run returns every broken promise.
func (c *Check) Run() []string {
	broken := c.checkRequests()
	broken = append(broken, c.checkAttempts()...)
	return append(broken, c.checkTasks()...)
}

func (c *Check) checkRequests() []string {
	var broken []string
	runs := make(map[string]int)
	keyRuns := make(map[string]int)
	for _, e := range c.entries {
		switch e.What {
		case "request_ran":
			runs[e.Request]++
			if e.Key != "" {
				keyRuns[e.Key]++
			}
		case "oversold":
			broken = append(broken, fmt.Sprintf("oversold: endpoint %s got request %s beyond its slots", e.Who, e.Request))
		}
	}
	for key, n := range keyRuns {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("doubled: key %s ran %d times", key, n))
		}
	}
	first := c.firstSendings()
	for _, e := range c.entries {
		if e.Who == "caller" {
			broken = append(broken, c.checkOutcome(e, runs, first)...)
		}
	}
	return broken
}

// firstSendings returns the first sending of each key.
func (c *Check) firstSendings() map[string]JournalEntry {
	first := make(map[string]JournalEntry)
	for _, e := range c.entries {
		if _, seen := first[e.Key]; e.Who == "caller" && e.Key != "" && !seen {
			first[e.Key] = e
		}
	}
	return first
}

// explained reports whether a fault fell in the time of a request or shortly
// before its end, so that its outcome may be unknown.
func (c *Check) explained(e JournalEntry) bool {
	for _, f := range c.faults {
		if f.At.After(e.Began.Add(-faultWindow)) && f.At.Before(e.At) {
			return true
		}
	}
	return false
}

func (c *Check) checkOutcome(e JournalEntry, runs map[string]int, first map[string]JournalEntry) []string {
	switch e.What {
	case OutcomeWhole:
		c.Whole++
		if runs[e.Request] == 0 {
			return []string{fmt.Sprintf("wrong: request %s was answered but ran nowhere", e.Request)}
		}
	case OutcomeNotRun:
		c.NotRun++
		c.Refusals["not_run/"+e.Detail]++
		if runs[e.Request] > 0 {
			return []string{fmt.Sprintf("wrong: request %s was reported as not run (%s) but ran", e.Request, e.Detail)}
		}
	case OutcomeUnknown:
		c.Unknown++
		c.Refusals["unknown/"+e.Detail]++
		since := e
		if f, ok := first[e.Key]; ok {
			since.Began = f.Began
		}
		if !c.explained(since) {
			return []string{fmt.Sprintf("lost: request %s (key %q) ended unknown (%s) without a fault to explain it", e.Request, e.Key, e.Detail)}
		}
	case OutcomeUnsent:
		c.Unsent++
	case OutcomeCut:
		c.Cut++
		if !c.excused(e) {
			return []string{fmt.Sprintf("cut: request %q through %s at %s (%s)", e.Request, e.Instance, e.At.Format(time.RFC3339Nano), e.Detail)}
		}
	case OutcomeWrong:
		return []string{fmt.Sprintf("wrong: request %s: %s", e.Request, e.Detail)}
	case "gave_up":
		if f := first[e.Key]; !c.explained(f) {
			return []string{"lost: key " + e.Key + " never got a certain outcome, and no fault explains it"}
		}
		c.Unresolved++
	}
	return nil
}

// excused reports whether the instance that a cut request went through was
// killed while the request was under way.
func (c *Check) excused(e JournalEntry) bool {
	for _, k := range c.kills {
		if k.Instance == e.Instance && k.At.After(e.Began.Add(-cutAfterKill)) && k.At.Before(e.At.Add(cutAfterKill)) {
			return true
		}
	}
	return false
}

// memberRun is one attempt as its worker saw it.
type memberRun struct {
	attempt    uint64
	worker     string
	begin, end time.Time
}

// checkAttempts looks for members that ran in two places at once and for work
// that ran again although it must not.
func (c *Check) checkAttempts() []string {
	once := make(map[uint64]bool)
	runs := make(map[[2]uint64][]*memberRun)
	open := make(map[uint64]*memberRun)
	for _, e := range c.entries {
		switch e.What {
		case "task_accepted":
			once[e.Task] = e.Detail == "once"
		case "attempt_started":
			c.Attempts++
			r := &memberRun{attempt: e.Attempt, worker: e.Who, begin: e.At}
			open[e.Attempt] = r
			key := [2]uint64{e.Task, uint64(e.Member)}
			runs[key] = append(runs[key], r)
		case "attempt_ended":
			if r := open[e.Attempt]; r != nil {
				r.end = e.At
			}
		case "killed":
			for _, r := range open {
				if r.worker == e.Who && r.end.IsZero() {
					r.end = e.At
				}
			}
		}
	}
	var broken []string
	for key, list := range runs {
		for i := 1; i < len(list); i++ {
			if list[i-1].end.IsZero() || list[i].begin.Before(list[i-1].end) {
				broken = append(broken, fmt.Sprintf("doubled: task %d member %d ran on %s (attempt %d) and %s (attempt %d) at once",
					key[0], key[1], list[i-1].worker, list[i-1].attempt, list[i].worker, list[i].attempt))
			}
		}
		if once[key[0]] && len(list) > 1 {
			broken = append(broken, fmt.Sprintf("doubled: task %d must run at most once and started %d times", key[0], len(list)))
		}
	}
	return broken
}

func (c *Check) checkTasks() []string {
	var broken []string
	for _, e := range c.entries {
		switch e.What {
		case "task_ended":
			c.Tasks++
			if e.Detail == "TASK_PHASE_CANCELLED" || e.Detail == "TASK_PHASE_FAILED" {
				broken = append(broken, fmt.Sprintf("lost: task %d ended %s", e.Task, e.Detail))
			}
		case "task_not_ended":
			broken = append(broken, fmt.Sprintf("lost: task %d was accepted and did not end", e.Task))
		case "task_not_accepted":
			broken = append(broken, "lost: no instance accepted submission "+e.Key)
		case "task_refused":
			broken = append(broken, "lost: submission "+e.Key+" was refused: "+e.Detail)
		}
	}
	return broken
}
