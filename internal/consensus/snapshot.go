package consensus

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/telemetry"
)

func (n *Node) fillChunk(m *egretmuxv1.Message) bool {
	data, last, err := n.cfg.Log.ReadChunk(m.GetSnapshot(), m.GetOffset(), n.cfg.ChunkBytes)
	if err != nil {
		telemetry.Count("replica_snapshots_restarted_total")
		n.core.SnapshotUnavailable(m.GetTo())
		return false
	}
	m.Chunk = data
	m.LastChunk = last
	return true
}

// maybeSnapshot starts a snapshot when enough was applied since the last.
func (n *Node) maybeSnapshot() {
	if n.snapping || n.applied == n.snapAt {
		return
	}
	if n.applied < n.snapAt+n.cfg.SnapshotEntries && n.snapBytes < n.cfg.SnapshotBytes {
		return
	}
	n.snapping = true
	n.snapAt = n.applied
	n.snapBytes = 0
	meta := &egretmuxv1.SnapshotMeta{
		Index: n.applied, Term: n.core.TermAt(n.applied), Membership: n.core.MembershipAt(n.applied),
	}
	write := n.cfg.Machine.Capture()
	go func() {
		if err := n.cfg.Log.SaveSnapshot(meta, write); err != nil {
			n.cfg.Logger.Error().Err(err).Str("event", "snapshot_failed").Msg("")
			meta = nil
		}
		n.snapDone <- meta
	}()
}

func (n *Node) snapshotDone(meta *egretmuxv1.SnapshotMeta) {
	n.snapping = false
	if meta == nil {
		telemetry.Count("replica_snapshots_failed_total")
		return
	}
	telemetry.Count("replica_snapshots_saved_total")
	keepFrom := uint64(1)
	if meta.GetIndex() > n.cfg.KeptEntries {
		keepFrom = meta.GetIndex() - n.cfg.KeptEntries
	}
	keepFrom = n.core.Compact(meta, keepFrom)
	if err := n.cfg.Log.Compact(keepFrom - 1); err != nil {
		n.cfg.Logger.Error().Err(err).Str("event", "compaction_failed").Msg("")
	}
	n.cfg.Logger.Info().Str("event", "snapshot_saved").Uint64("index", meta.GetIndex()).Msg("")
}
