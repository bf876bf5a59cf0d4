package jobcell

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	// leaderMissingAfter is the time of the search after which it is reported. A lost
	// leader is replaced within about a second.
	leaderMissingAfter = 3 * time.Second
	// maxLeaderMissingPause limits the pause between two reports, which doubles.
	maxLeaderMissingPause = time.Minute
)

// leaderWatch reports a search for the leader that takes long.
type leaderWatch struct {
	logger   zerolog.Logger
	reportAt time.Duration // age of the search at the next report
	age      time.Duration // of the search at the last update; zero if there was none
}

// update logs a search of the given age. Age zero tells that there is none, and ready
// whether this instance leads or is in contact with the leader. asked returns the addresses
// at which it looks.
func (w *leaderWatch) update(age time.Duration, reason string, ready bool, asked func() []string) {
	known := 0.0
	if ready {
		known = 1
	}
	telemetry.SetGauge("leader_known", known)
	if age < w.age { // another search, or none
		if w.reportAt > leaderMissingAfter {
			w.logger.Info().Str("event", "leader_found").Int64("age_ms", w.age.Milliseconds()).Msg("the leader answers")
		}
		w.reportAt = leaderMissingAfter
	}
	w.age = age
	if age < max(w.reportAt, leaderMissingAfter) {
		return
	}
	w.reportAt = age + min(age, maxLeaderMissingPause)
	w.logger.Warn().Str("event", "leader_missing").Str("reason", reason).Int64("age_ms", age.Milliseconds()).Strs("asked", asked()).Msg("this instance looks for the leader")
}
