package consensus

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// loadChunk adds the snapshot data to the message. It returns false when the
// snapshot cannot be read; the core then starts over with the newest one.
func (n *Node) loadChunk(m *egretmuxv1.Message) bool {
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

// startSnapshotIfDue starts a snapshot when enough entries or bytes were applied
// since the last one.
func (n *Node) startSnapshotIfDue() {
	if n.snapshotRunning || n.applied == n.lastSnapshotIndex || n.core.AwaitsSnapshot() {
		return
	}
	if n.applied < n.lastSnapshotIndex+n.cfg.SnapshotEntries && n.bytesSinceSnapshot < n.cfg.SnapshotBytes {
		return
	}
	n.snapshotRunning = true
	n.lastSnapshotIndex = n.applied
	n.bytesSinceSnapshot = 0
	meta := &egretmuxv1.SnapshotMeta{
		Index: n.applied, Term: n.core.TermAt(n.applied), Membership: n.core.MembershipAt(n.applied),
	}
	write := n.cfg.Machine.Capture()
	go func() {
		if err := n.cfg.Log.SaveSnapshot(meta, write); err != nil {
			n.cfg.Logger.Error().Err(err).Str("event", "snapshot_failed").Msg("snapshot could not be saved")
			meta = nil
		}
		n.snapshotResults <- meta
	}()
}

func (n *Node) finishSnapshot(meta *egretmuxv1.SnapshotMeta) {
	n.snapshotRunning = false
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
	// The core may have dropped more, for a received snapshot that is not stored yet.
	n.compactLog(min(keepFrom-1, meta.GetIndex()))
	n.cfg.Logger.Info().Str("event", "snapshot_saved").Uint64("index", meta.GetIndex()).Msg("")
}
