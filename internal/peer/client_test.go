package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

// TestAnUnknownTryStaysUnknown loses the answer of a call's first try: what
// later tries are told does not prove that it was not carried out.
func TestAnUnknownTryStaysUnknown(t *testing.T) {
	for name, later := range map[string]*refusal.Error{
		"no leader": refusal.New(refusal.NoLeader, "", "an election is running"),
		"refused":   refusal.New(refusal.QuotaExceeded, "", "too much is held"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dialer, err := NewDialer("key", "")
				require.NoError(t, err)
				l := NewLeaderClient(dialer, []string{"127.0.0.1:1", "127.0.0.1:2"}, func() string { return "" })
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				tries := 0
				err = l.Call(ctx, func(context.Context, *Clients) error {
					tries++
					if tries == 1 {
						return context.DeadlineExceeded
					}
					return refusalrpc.Error(later)
				})
				require.Greater(t, tries, 1)
				require.Equal(t, refusal.Unknown, refusal.Of(err).Ran)
			})
		})
	}
}

// TestAConflictIsDefinite: the first answer to a change id, and so to each try.
func TestAConflictIsDefinite(t *testing.T) {
	dialer, err := NewDialer("key", "")
	require.NoError(t, err)
	l := NewLeaderClient(dialer, []string{"127.0.0.1:1"}, func() string { return "" })
	tries := 0
	err = l.Call(t.Context(), func(context.Context, *Clients) error {
		tries++
		if tries == 1 {
			return context.DeadlineExceeded
		}
		return refusalrpc.Error(refusal.New(refusal.VersionConflict, "", "version 2 is in force"))
	})
	require.Equal(t, refusal.No, refusal.Of(err).Ran)
}
