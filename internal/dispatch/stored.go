package dispatch

import (
	"slices"
	"time"
)

const (
	// ticketSendMargin is the time that a ticket has left when its start is sent. ticketMargin is longer, as it
	// covers a commit.
	ticketSendMargin = 20 * time.Millisecond
	maxTicketWait    = 2 * time.Second // of a stored start for a new ticket
)

// unsentStarts are stored starts of one step whose tickets expired meanwhile.
type unsentStarts struct {
	step     StepKey
	starts   []StartOrder
	storedAt time.Duration
}

// StartsStored takes starts that were stored together, and has those sent that are still wanted, with tickets that
// are valid now. Of a gang none is sent unless all are.
func (c *Core) StartsStored(starts []StartOrder, now time.Duration) {
	for _, s := range starts {
		c.StartStored(s)
	}
	wanted := c.withdrawUnwanted(starts, now)
	wanted = c.withdrawUnwanted(wanted, now) // the others of a gang of which one was not wanted
	var stored []unsentStarts
	for _, s := range wanted {
		n := slices.IndexFunc(stored, func(u unsentStarts) bool { return u.step == s.Task.StepKey })
		if n < 0 {
			n, stored = len(stored), append(stored, unsentStarts{step: s.Task.StepKey, storedAt: now})
		}
		stored[n].starts = append(stored[n].starts, s)
	}
	for _, u := range stored {
		if u.starts = c.sendTicketed(u, now); len(u.starts) > 0 {
			c.unsent = append(c.unsent, u)
		}
	}
}

// withdrawUnwanted withdraws the starts that are not wanted any more, and returns the others.
func (c *Core) withdrawUnwanted(starts []StartOrder, now time.Duration) []StartOrder {
	var wanted []StartOrder
	for _, s := range starts {
		if c.StartWanted(s) {
			wanted = append(wanted, s)
			continue
		}
		c.StartAnswered(s, NotSent, now, now)
	}
	return wanted
}

// sendUnsent has the stored starts sent whose tickets are valid again.
func (c *Core) sendUnsent(now time.Duration) {
	unsent := c.unsent
	c.unsent = nil
	for _, u := range unsent {
		u.starts = c.withdrawUnwanted(u.starts, now)
		u.starts = c.withdrawUnwanted(u.starts, now)
		if u.starts = c.sendTicketed(u, now); len(u.starts) > 0 {
			c.unsent = append(c.unsent, u)
		}
	}
}

// sendTicketed has the starts sent whose tickets are valid, those of a gang only together. It requests new tickets for
// the others and returns these, unless they have waited too long or may not run there any more.
func (c *Core) sendTicketed(u unsentStarts, now time.Duration) []StartOrder {
	s := c.steps[u.step]
	if s == nil {
		return c.withdraw(u.starts, now)
	}
	q := c.queue(s.job).GetAdvice()
	if q == nil {
		c.send(u.starts, now)
		return nil
	}
	var ticketed, missing []StartOrder
	for _, o := range u.starts {
		if t, ok := s.advice.tickets[c.workers[o.Worker]]; ok && now+ticketSendMargin < t.until {
			o.Ticket = t.value
			ticketed = append(ticketed, o)
		} else {
			missing = append(missing, o)
		}
	}
	if s.spec.GetGang() && len(missing) > 0 {
		ticketed, missing = nil, u.starts
	}
	c.send(ticketed, now)
	refused := func(o StartOrder) bool { return !s.advice.allowed[c.workers[o.Worker]] }
	if now-u.storedAt >= maxTicketWait || s.spec.GetGang() && slices.ContainsFunc(missing, refused) {
		return c.withdraw(missing, now)
	}
	for _, o := range missing {
		if refused(o) {
			c.withdraw([]StartOrder{o}, now)
		}
	}
	missing = slices.DeleteFunc(missing, refused)
	if len(missing) > 0 && c.mayRequestAdvice(s, q, now) {
		var workers []*worker
		for _, o := range missing {
			workers = append(workers, c.workers[o.Worker])
		}
		c.requestTickets(s, q, workers, now)
	}
	return missing
}

// withdraw withdraws stored starts, so that their tasks are planned again.
func (c *Core) withdraw(starts []StartOrder, now time.Duration) []StartOrder {
	for _, o := range starts {
		c.StartAnswered(o, NotSent, now, now)
	}
	return nil
}

// send has starts sent, all at once: nothing comes between the starts of one gang.
// Polls may have extended the leases that they name.
func (c *Core) send(starts []StartOrder, now time.Duration) {
	for n, o := range starts {
		if o.TrialLease == 0 {
			starts[n].LeaseUntil = max(o.LeaseUntil, c.workers[o.Worker].lease.grantedUntil)
		}
	}
	c.StartsSent(starts, now)
	c.actions.Sends = append(c.actions.Sends, starts...)
}
