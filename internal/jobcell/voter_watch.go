package jobcell

import (
	"context"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/periodic"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	voterWatchPeriod = time.Second
	// voterMissingAfter is the silence after which a voter is reported. It outlasts a
	// restart and is shorter than replicaLostAfter.
	voterMissingAfter = 3 * time.Second
)

// Reasons for which a voter is missing.
const (
	voterSilent         = "silent"          // its instance does not announce itself either
	voterWithoutReplies = "no-replies"      // its instance announces itself
	voterOfAnotherDisk  = "another-replica" // its instance announces a replica with another identity: the voter is gone for good
)

// voterWatch reports the voters that do not take part in the log while this instance
// leads. The next loss may leave the cell without a majority.
type voterWatch struct {
	cell    *Cell
	term    uint64 // term in which this instance leads; zero while it does not
	missing map[uint64]missingVoter
}

type missingVoter struct {
	address string
	reason  string
	since   time.Time // when the voter last replied
}

// voterWatchLoop watches the voters until the context ends.
func (c *Cell) voterWatchLoop(ctx context.Context, node *consensus.Node) {
	watch := &voterWatch{cell: c}
	periodic.Run(ctx, voterWatchPeriod, func(now time.Time) {
		var status core.Status
		var silentTicks map[uint64]int
		err := node.Do(ctx, func(co *core.Core) error {
			status, silentTicks = co.Status(), co.SilentTicks()
			return nil
		})
		if err != nil {
			return // the replica or this instance stops
		}
		watch.update(status, silentTicks, now)
	})
	watch.missing = nil
	watch.setGauges(0)
}

// update compares the voters with those at the last call and logs what has changed.
func (w *voterWatch) update(status core.Status, silentTicks map[uint64]int, now time.Time) {
	switch {
	case status.Role != core.Leader:
		w.term, w.missing = 0, nil
	case status.Term != w.term:
		w.term, w.missing = status.Term, make(map[uint64]missingVoter)
	}
	voters := 0
	for _, r := range status.Membership.GetReplicas() {
		if !r.GetLearner() {
			voters++
		}
	}
	if w.term != 0 {
		w.logReplaced(status.Membership, now)
		w.logMissing(status, silentTicks, voters, now)
	}
	w.setGauges(voters)
}

func (w *voterWatch) setGauges(voters int) {
	telemetry.SetGauge("voters", float64(voters))
	telemetry.SetGauge("voters_missing", float64(len(w.missing)))
}

// logMissing reports the voters that are missing from now on, and again those of which
// it turns out that they are gone for good.
func (w *voterWatch) logMissing(status core.Status, silentTicks map[uint64]int, voters int, now time.Time) {
	announced := make(map[string]uint64) // replica that an instance announces
	for _, m := range w.cell.directory.Live(now) {
		announced[m.GetAddress()] = m.GetReplica()
	}
	responsive := make(map[string]bool)
	for _, m := range w.cell.directory.Responsive(now) {
		responsive[m.GetAddress()] = true
	}
	for _, r := range status.Membership.GetReplicas() {
		if r.GetLearner() || r.GetId() == status.ID {
			continue
		}
		silence := time.Duration(silentTicks[r.GetId()]) * tickInterval
		reason := reasonMissing(r, silence, announced[r.GetAddress()], responsive[r.GetAddress()])
		before, known := w.missing[r.GetId()]
		switch {
		case reason == "" && known:
			delete(w.missing, r.GetId())
			w.logEnd("voter_returned", before, now)
		case reason != "" && (!known || (reason == voterOfAnotherDisk && before.reason != reason)):
			if !known {
				before.since = now.Add(-silence)
			}
			before.address, before.reason = r.GetAddress(), reason
			w.missing[r.GetId()] = before
			w.cell.cfg.Logger.Warn().Str("event", "voter_missing").Str("replica", r.GetAddress()).Str("reason", reason).Uint64("term", w.term).
				Int64("age_ms", now.Sub(before.since).Milliseconds()).Int("voters", voters).Int("missing", len(w.missing)).Msg("a voter does not take part in the log")
		}
	}
}

// reasonMissing returns why a voter counts as missing, or an empty string if it does
// not. Its instance announced the given replica last, if any; responsive tells whether it
// goes on announcing itself.
func reasonMissing(r *egretmuxv1.Replica, silence time.Duration, announced uint64, responsive bool) string {
	switch {
	case announced != 0 && announced != r.GetId():
		return voterOfAnotherDisk
	case silence < voterMissingAfter:
		return ""
	case responsive:
		return voterWithoutReplies
	}
	return voterSilent
}

// logReplaced reports the missing voters that are not in the membership any more.
func (w *voterWatch) logReplaced(membership *egretmuxv1.Membership, now time.Time) {
	voters := make(map[uint64]bool)
	for _, r := range membership.GetReplicas() {
		voters[r.GetId()] = !r.GetLearner()
	}
	for id, m := range w.missing {
		if !voters[id] {
			delete(w.missing, id)
			w.logEnd("voter_replaced", m, now)
		}
	}
}

func (w *voterWatch) logEnd(event string, m missingVoter, now time.Time) {
	w.cell.cfg.Logger.Info().Str("event", event).Str("replica", m.address).Str("reason", m.reason).Uint64("term", w.term).
		Int64("age_ms", now.Sub(m.since).Milliseconds()).Int("missing", len(w.missing)).Msg("")
}
