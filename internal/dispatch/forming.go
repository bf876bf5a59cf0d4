package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// formShare is the part of the time that the members of a gang wait for each other in which all of them must
	// have begun. The rest is for two rounds of stops, and for the worker to carry them out.
	formShare      = 0.5
	minFormTimeout = 300 * time.Millisecond
	// adoptedFormShare is the part of formTimeout for a gang that an earlier leader started: its members have
	// waited through an election.
	adoptedFormShare = 0.4
)

// forming is a run of a gang of which members may still have to begin.
type forming struct {
	number  uint64
	until   time.Duration
	adopted bool // an earlier leader has started it
}

// FormTimeout returns the time after the first start of a gang in which all members must have begun, given the time
// for which a member waits for the others and that for which a stop takes; zero if members wait without limit.
func FormTimeout(gangTimeout, stopTimeout time.Duration) time.Duration {
	if gangTimeout == 0 {
		return 0
	}
	return max(minFormTimeout, time.Duration(formShare*float64(gangTimeout-stopTimeout)))
}

// AdoptedFormTimeout is the same for a gang that an earlier leader started, from the first listing of a member.
func AdoptedFormTimeout(gangTimeout, stopTimeout time.Duration) time.Duration {
	return time.Duration(adoptedFormShare * float64(FormTimeout(gangTimeout, stopTimeout)))
}

// formTimeout returns the time in which all members of a step's gang must have begun, or zero.
func (c *Core) formTimeout(s *step) time.Duration {
	if !s.spec.GetGang() {
		return 0
	}
	return FormTimeout(c.cfg.GangTimeout, c.cfg.StopTimeout)
}

// StartsSent records that starts are being sent. From now on, members of gangs may wait for the others.
func (c *Core) StartsSent(starts []StartOrder, now time.Duration) {
	for _, o := range starts {
		if s := c.steps[o.Task.StepKey]; s != nil && o.AnswerBy > 0 && c.forming[s].number != o.Run {
			c.forming[s] = forming{number: o.Run, until: now + o.AnswerBy}
		}
	}
}

// adoptGang watches a gang that an earlier leader started. It may not have sent all starts.
func (c *Core) adoptGang(s *step, now time.Duration) {
	if c.formTimeout(s) == 0 {
		return
	}
	number := uint64(0)
	for _, t := range s.tasks {
		for _, r := range t.runs {
			number = max(number, r.number)
		}
	}
	if number > 0 {
		c.forming[s] = c.adoptedForming(number, now)
	}
}

func (c *Core) adoptedForming(number uint64, now time.Duration) forming {
	return forming{number: number, until: now + AdoptedFormTimeout(c.cfg.GangTimeout, c.cfg.StopTimeout), adopted: true}
}

// stopUnformedGangs stops the gangs that are not whole in time, so that no member waits for the others until it
// gives up.
func (c *Core) stopUnformedGangs(now time.Duration) {
	var late []*step
	for s, f := range c.forming {
		_, begun, over := s.formation(f.number)
		switch {
		case over || c.steps[s.key] != s || begun == len(s.tasks):
			delete(c.forming, s)
		case f.adopted && begun == 0: // no worker of it has been heard: it may be at work
			c.forming[s] = c.adoptedForming(f.number, now)
		case now >= f.until:
			late = append(late, s)
		}
	}
	slices.SortFunc(late, func(a, b *step) int { return cmp.Compare(a.key.String(), b.key.String()) })
	for _, s := range late {
		c.stopUnformed(s, c.forming[s].number, now)
		delete(c.forming, s)
	}
}

// formation returns the members of a run of a gang that may be on workers, and how many are known to have begun. It
// is over once they work, which they do only together, or end.
func (s *step) formation(number uint64) (members []*run, begun int, over bool) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.number != number {
				continue
			}
			members = append(members, r)
			over = over || r.progressPercent > 0 || r.state == stopping || r.state == ended
			if r.state == running {
				begun++
			}
		}
	}
	return members, begun, over || len(members) == 0
}

// stopUnformed stops a gang that is not whole. Workers that did not answer in time get no new starts for a while.
func (c *Core) stopUnformed(s *step, number uint64, now time.Duration) {
	members, begun, _ := s.formation(number)
	c.addNotice(Notice{Event: "gang_not_whole", Job: s.key.Job, Task: s.key.String(), Run: number, Runs: len(s.tasks), Lost: len(s.tasks) - begun})
	for _, r := range members {
		if r.state != running {
			r.worker.backoffUntil = max(r.worker.backoffUntil, now+unhealthyBackoff)
		}
		c.stopRun(r, "gang-not-whole")
	}
}
