package cli

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

// TestConflictShowsTheDifference checks that the difference attached to a version
// conflict survives the RPC and is printed.
func TestConflictShowsTheDifference(t *testing.T) {
	conflict := refusal.New(refusal.VersionConflict, "merge", "contract dixie is at version 2")
	conflict.Difference = "-queue = 20\n+queue = 30\n"
	received, _ := refusalrpc.From(refusalrpc.Error(conflict))
	var out bytes.Buffer
	require.Equal(t, ExitConflict, reportError(&out, received))
	require.Contains(t, out.String(), "contract dixie is at version 2")
	require.Contains(t, out.String(), "-queue = 20\n+queue = 30\n")
}
