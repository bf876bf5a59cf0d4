package core

import (
	"slices"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

func (c *Core) startSnapshot(id uint64, p *progress) {
	p.snapshot = c.log.snapMeta
	p.offset = 0
	p.awaitingReply = true
	c.sendSnapshotChunk(id, p)
}

// sendSnapshotChunk queues a snapshot message for the chunk at p.offset. The
// driver fills in the data.
func (c *Core) sendSnapshotChunk(id uint64, p *progress) {
	c.send(&egretmuxv1.Message{
		Kind: egretmuxv1.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id,
		Snapshot: p.snapshot, Offset: p.offset, Commit: c.commit,
	})
}

// SnapshotUnavailable tells the leader that the snapshot it is sending to a
// replica no longer exists. The newest one is then sent from the beginning.
func (c *Core) SnapshotUnavailable(id uint64) {
	if p := c.progress[id]; c.role == Leader && p != nil && p.snapshot != nil {
		p.snapshot = nil
		p.awaitingReply = false
		p.probing = true
	}
}

func (c *Core) handleSnapshot(m *egretmuxv1.Message) {
	c.followLeader(m.GetFrom())
	meta := m.GetSnapshot()
	if meta.GetIndex() <= c.commit {
		c.sendAfterSync(&egretmuxv1.Message{
			Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Index: c.commit,
		})
		return
	}
	if c.log.termAt(meta.GetIndex()) == meta.GetTerm() {
		// The log already holds every entry that the snapshot covers, and may hold
		// acknowledged entries after it, which must be kept.
		c.commitTo(meta.GetIndex())
		c.sendAfterSync(&egretmuxv1.Message{
			Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Index: meta.GetIndex(),
		})
		return
	}
	incoming := &c.incoming
	source := incomingSnapshot{from: m.GetFrom(), leaderTerm: m.GetTerm(), index: meta.GetIndex(), term: meta.GetTerm(), offset: incoming.offset}
	if *incoming != source || m.GetOffset() == 0 {
		*incoming = source
		incoming.offset = 0
	}
	if m.GetOffset() != incoming.offset {
		c.replySnapshot(m.GetFrom(), meta, incoming.offset)
		return
	}
	incoming.offset += uint64(len(m.GetChunk()))
	c.out.Chunks = append(c.out.Chunks, Chunk{Meta: meta, Offset: m.GetOffset(), Data: m.GetChunk(), Last: m.GetLastChunk()})
	if !m.GetLastChunk() {
		c.replySnapshot(m.GetFrom(), meta, incoming.offset)
		return
	}
	c.installSnapshot(meta)
	c.sendAfterSync(&egretmuxv1.Message{
		Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Index: meta.GetIndex(),
	})
}

func (c *Core) replySnapshot(to uint64, meta *egretmuxv1.SnapshotMeta, offset uint64) {
	c.sendAfterSync(&egretmuxv1.Message{
		Kind: egretmuxv1.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY, To: to,
		Snapshot: &egretmuxv1.SnapshotMeta{Index: meta.GetIndex(), Term: meta.GetTerm()}, Offset: offset,
	})
}

func (c *Core) installSnapshot(meta *egretmuxv1.SnapshotMeta) {
	c.incoming = incomingSnapshot{}
	c.log.reset(proto.Clone(meta).(*egretmuxv1.SnapshotMeta))
	c.members.reset(meta)
	c.commit = meta.GetIndex()
	c.applied = meta.GetIndex()
	c.persisted = meta.GetIndex()
}

// AwaitsSnapshot reports whether a received snapshot has replaced the log, and the driver
// has not been given its last chunk yet.
func (c *Core) AwaitsSnapshot() bool {
	return slices.ContainsFunc(c.out.Chunks, func(chunk Chunk) bool { return chunk.Last })
}

func (c *Core) handleSnapshotReply(m *egretmuxv1.Message) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil || p.snapshot == nil {
		return
	}
	p.recordReply()
	if m.GetSnapshot().GetIndex() != p.snapshot.GetIndex() || m.GetOffset() == p.offset {
		return
	}
	p.heartbeatsStalled = 0
	p.offset = m.GetOffset()
	c.sendSnapshotChunk(m.GetFrom(), p)
}
