package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

func TestDrainedEndpointIsRemovedAfterLastReport(t *testing.T) {
	table := NewTable(Config{MaxQueued: 1, Links: countlessLinks{}})
	state := &egretmuxv1.EndpointState{Id: "e", Service: "s", Address: "e", Slots: 2, Links: 4, Grant: 1}
	table.Update([]*egretmuxv1.EndpointState{state})
	require.Len(t, table.Holdings(false), 1)
	require.Empty(t, table.Holdings(false))
	require.Len(t, table.byID, 1)
	state.Leaving, state.Slots, state.Links, state.Grant = true, 0, 0, 2
	table.Update([]*egretmuxv1.EndpointState{state})
	require.Len(t, table.Holdings(false), 1, "the leader must hear that nothing is held")
	require.Empty(t, table.Holdings(false))
	require.Empty(t, table.byID)
	require.Empty(t, table.services["s"].core.endpoints)
	state.Leaving, state.Slots, state.Grant = false, 2, 3
	table.Update([]*egretmuxv1.EndpointState{state})
	require.EqualValues(t, 2, table.Holdings(false)[0].GetHeld())
}
