package scheduler_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/refusal"
)

// Guards against a job that runs although its cancellation was acknowledged, by this leader or by one before it: the
// submit was carried out late, after a restart from the log or from a snapshot.
func TestLateSubmitOfAWithdrawnJobIsRefusedByEveryLaterLeader(t *testing.T) {
	for name, snapshotEntries := range map[string]uint64{"log": 100000, "snapshot": 8} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s, closeAll := openLeader(t, folder, snapshotEntries)
			_, err := s.PutCatalogue(t.Context(), catalogue(1, "one"))
			require.NoError(t, err)
			require.Equal(t, "unknown job", outcome(t.Context(), s, keyCall(cancelVerb, jobPath, "")))
			for n := range 20 { // more entries, so that a snapshot covers the cancellation
				require.Equal(t, "found", outcome(t.Context(), s, keyCall(submitVerb, fmt.Sprintf("/q/%016x", n), "")))
			}
			for range 3 {
				require.Equal(t, string(refusal.JobWithdrawn), outcome(t.Context(), s, keyCall(submitVerb, jobPath, "")))
				require.Equal(t, "unknown job", outcome(t.Context(), s, keyCall(showVerb, jobPath, "")))
				require.Equal(t, "unknown job", outcome(t.Context(), s, keyCall(cancelVerb, jobPath, "")))
				closeAll()
				s, closeAll = openLeader(t, folder, snapshotEntries)
			}
			closeAll()
		})
	}
	require.Equal(t, http.StatusServiceUnavailable, refusal.JobWithdrawn.HTTPStatus(), "not accepted, and never runs")
	require.Equal(t, http.StatusServiceUnavailable, refusal.WithdrawnFull.HTTPStatus())
}
