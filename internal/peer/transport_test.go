package peer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

func TestSendQueueIsBoundedAndKeepsOrder(t *testing.T) {
	q := newSendQueue()
	part := make([]byte, maxStepBytes)
	for i := range uint64(2 * maxQueuedLen / maxStepBytes) {
		q.put([]*egretmuxv1.Message{{Offset: i, Chunk: part}})
	}
	for i := range uint64(maxQueuedLen / maxStepBytes) {
		batch := q.take(t.Context())
		require.Len(t, batch, 1)
		require.Equal(t, i, batch[0].GetOffset())
	}
	for range 2 * maxQueued {
		q.put([]*egretmuxv1.Message{{}})
	}
	require.Len(t, q.take(t.Context()), maxQueued)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.Nil(t, q.take(ended))
}
