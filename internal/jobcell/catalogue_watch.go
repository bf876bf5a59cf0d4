package jobcell

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/telemetry"
)

// catalogueWatch reports which versions of the catalogue this instance has shown, so that the logs of
// all instances tell when an acknowledged one was in force where.
type catalogueWatch struct {
	logger zerolog.Logger
	newest atomic.Uint64 // version that this instance acknowledged, or by which it answered
}

// note records a version by which a call was answered (source) and logs it if it is new here.
func (w *catalogueWatch) note(version uint64, source string) {
	for newest := w.newest.Load(); newest < version; newest = w.newest.Load() {
		if w.newest.CompareAndSwap(newest, version) {
			telemetry.SetGauge("catalogue_version", float64(version))
			w.logger.Info().Str("event", "catalogue_shown").Uint64("version", version).Str("source", source).Msg("")
			return
		}
	}
}

// noteRead records a version that was read, and the newest one that was known when the read began.
func (w *catalogueWatch) noteRead(version, known uint64) {
	if version < known {
		telemetry.Count("catalogue_reads_older_total")
		w.logger.Error().Str("event", "catalogue_older").Uint64("version", version).Uint64("known", known).Msg("a configuration was read that is older than one shown before")
		return
	}
	w.note(version, "read")
}
