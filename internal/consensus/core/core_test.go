package core_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/consensus/core"
)

func TestEmptyReplicaDoesNotCampaign(t *testing.T) {
	c := core.New(core.Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 1, Rand: func(int) int { return 0 }}, core.Initial{})
	for range 100 {
		c.Tick()
	}
	require.Equal(t, core.Follower, c.Role())
	require.False(t, c.HasOutput())
}
