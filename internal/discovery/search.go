package discovery

import (
	"slices"
	"time"
)

// Reasons for which an instance still looks for the leader.
const (
	NobodyAnswers = "nobody-answers"
	NobodyNamed   = "nobody-named"  // those that answer know no leader
	LeaderSilent  = "leader-silent" // they name a leader, which does not answer as such
	ItselfNamed   = "itself-named"  // they name this instance, which does not lead
)

// searchAnswerValidity is the time for which an answer counts as the reason.
const searchAnswerValidity = 3 * time.Second

// leaderSearch is the state of an instance that looks for the leader.
type leaderSearch struct {
	since       time.Time // zero while the instance leads or is in contact with the leader
	nobodyNamed time.Time // of the last answer of this kind
	leaderNamed time.Time
	itselfNamed time.Time
}

// begin starts the search unless it runs.
func (s *leaderSearch) begin(now time.Time) {
	if s.since.IsZero() {
		*s = leaderSearch{since: now}
	}
}

// noteAnswer records which leader another instance named.
func (s *leaderSearch) noteAnswer(leader, self string, now time.Time) {
	switch leader {
	case "":
		s.nobodyNamed = now
	case self:
		s.itselfNamed = now
	default:
		s.leaderNamed = now
	}
}

// Search returns how long this instance has looked for the leader and why it has not
// found it, or zero values if it leads or is in contact with the leader. Of different
// answers the one that points to a fault counts.
func (d *Directory) Search(now time.Time) (age time.Duration, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.search.since.IsZero() {
		return 0, ""
	}
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < searchAnswerValidity }
	switch {
	case recent(d.search.itselfNamed):
		reason = ItselfNamed
	case recent(d.search.leaderNamed):
		reason = LeaderSilent
	case recent(d.search.nobodyNamed):
		reason = NobodyNamed
	default:
		reason = NobodyAnswers
	}
	return now.Sub(d.search.since), reason
}

// Asked returns the addresses at which this instance looks for the leader first: the seeds and
// the replicas that it knows.
func (d *Directory) Asked() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	asked := slices.Concat(d.seeds, d.replicas())
	slices.Sort(asked)
	return slices.Compact(asked)
}
