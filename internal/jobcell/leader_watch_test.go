package jobcell

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/discovery"
)

func askedSeed() []string { return []string{"seed"} }

func TestLongSearchForTheLeaderIsReportedWithGrowingPauses(t *testing.T) {
	log := &logBuffer{}
	watch := &leaderWatch{logger: zerolog.New(log)}
	var reported []float64
	for age := time.Duration(0); age <= 30*time.Second; age += 100 * time.Millisecond {
		watch.update(age, discovery.NobodyNamed, false, askedSeed)
		for _, line := range log.take(t, "leader_missing") {
			require.Equal(t, discovery.NobodyNamed, line["reason"])
			require.Equal(t, []any{"seed"}, line["asked"])
			reported = append(reported, line["age_ms"].(float64))
		}
	}
	require.Equal(t, []float64{3000, 6000, 12000, 24000}, reported)
	require.Equal(t, "0", metric("egretmux_leader_known"))
	watch.update(0, "", true, askedSeed)
	lines := log.take(t, "leader_missing", "leader_found")
	require.Len(t, lines, 1)
	require.Equal(t, []any{"leader_found", 30000.0}, []any{lines[0]["event"], lines[0]["age_ms"]})
	require.Equal(t, "1", metric("egretmux_leader_known"))

	watch.update(leaderMissingAfter-time.Millisecond, discovery.NobodyNamed, false, askedSeed)
	watch.update(0, "", true, askedSeed)
	require.Empty(t, log.take(t, "leader_missing", "leader_found"), "a short search is not worth a line")
}

func TestInstanceThatReachesNobodyReportsThatItLooksForTheLeader(t *testing.T) {
	c := newCellWithLeader(t, unreachable)
	log := &logBuffer{}
	c.cfg.Logger = zerolog.New(log)
	ctx, cancel := context.WithTimeout(t.Context(), leaderMissingAfter+time.Second)
	defer cancel()
	c.discoveryLoop(ctx)
	lines := log.events(t, "leader_missing")
	require.Len(t, lines, 1)
	require.Equal(t, discovery.NobodyAnswers, lines[0]["reason"])
	require.GreaterOrEqual(t, lines[0]["age_ms"], float64(leaderMissingAfter.Milliseconds()))
}
