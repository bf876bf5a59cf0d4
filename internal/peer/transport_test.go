package peer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

func TestSendQueueIsBoundedAndKeepsOrder(t *testing.T) {
	q := newSendQueue()
	part := make([]byte, maxBatchBytes)
	for i := range uint64(2 * maxQueuedBytes / maxBatchBytes) {
		q.add([]*egretmuxv1.Message{{Offset: i, Chunk: part}})
	}
	for i := range uint64(maxQueuedBytes / maxBatchBytes) {
		batch := q.waitBatch(t.Context())
		require.Len(t, batch, 1)
		require.Equal(t, i, batch[0].GetOffset())
	}
	for range 2 * maxQueuedMessages {
		q.add([]*egretmuxv1.Message{{}})
	}
	require.Len(t, q.waitBatch(t.Context()), maxQueuedMessages)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.Nil(t, q.waitBatch(ended))
}
