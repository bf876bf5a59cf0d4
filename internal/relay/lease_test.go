package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
)

// Guards against an instance that serves on after its machine was suspended, by contracts
// that have been replaced meanwhile: the leader no longer waits for it.
func TestLeaseExpiresWhileTheMachineIsSuspended(t *testing.T) {
	const lease, suspension = 8 * time.Second, 9 * time.Second
	now := time.Duration(0)
	r := New(Config{
		Instance: &egretmuxv1.Instance{Id: "a1"}, Contracts: contract.NewBook(), Endpoints: fakeGrants{},
		Commands: NewCommander(nil, "http", zerolog.Nop()), Clock: func() time.Duration { return now }, Logger: zerolog.Nop(),
	})
	req, _ := r.buildReport()
	granted := &egretmuxv1.ReportResponse{Term: 1, EntryLeaseMs: lease.Milliseconds()}
	require.NoError(t, r.applyReportResponse(req, granted, r.lease.Now()))
	require.True(t, r.Lease().Valid())
	sent := r.lease.Now()
	now += suspension
	require.Equal(t, lease-suspension, r.Lease().Remaining())
	require.False(t, r.Lease().Valid())
	require.NoError(t, r.applyReportResponse(req, granted, sent))
	require.False(t, r.Lease().Valid(), "a renewal that was requested before the suspension")
}
