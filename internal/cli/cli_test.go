package cli

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

// TestConflictShowsTheDifference carries a conflict over an RPC to the terminal.
func TestConflictShowsTheDifference(t *testing.T) {
	conflict := refusal.New(refusal.VersionConflict, "merge", "contract dixie is at version 2")
	conflict.Difference = "-queue = 20\n+queue = 30\n"
	received, _ := refusalrpc.From(refusalrpc.Error(conflict))
	var out bytes.Buffer
	require.Equal(t, ExitConflict, fail(&out, received))
	require.Contains(t, out.String(), "contract dixie is at version 2")
	require.Contains(t, out.String(), "-queue = 20\n+queue = 30\n")
}
