package core

import (
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

func (c *Core) startSnapshot(id uint64, p *progress) {
	p.snapshot = c.log.snapMeta
	p.offset = 0
	p.waiting = true
	c.sendSnapshotChunk(id, p)
}

// sendSnapshotChunk asks the driver to fill in the chunk at p.offset.
func (c *Core) sendSnapshotChunk(id uint64, p *progress) {
	c.send(&egretmuxv1.Message{
		Kind: egretmuxv1.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id,
		Snapshot: p.snapshot, Offset: p.offset, Commit: c.commit,
	})
}

// SnapshotUnavailable tells the leader that a snapshot it is sending to a
// replica no longer exists; the newest one is sent from its beginning.
func (c *Core) SnapshotUnavailable(id uint64) {
	if p := c.progress[id]; c.role == Leader && p != nil && p.snapshot != nil {
		p.snapshot = nil
		p.waiting = false
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
		// The log holds all that the snapshot covers, and perhaps acknowledged
		// entries after it, which must stay.
		c.commitTo(meta.GetIndex())
		c.sendAfterSync(&egretmuxv1.Message{
			Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Index: meta.GetIndex(),
		})
		return
	}
	in := &c.incoming
	source := incomingSnapshot{from: m.GetFrom(), leaderTerm: m.GetTerm(), index: meta.GetIndex(), term: meta.GetTerm(), offset: in.offset}
	if *in != source || m.GetOffset() == 0 {
		*in = source
		in.offset = 0
	}
	if m.GetOffset() != in.offset {
		c.replySnapshot(m.GetFrom(), meta, in.offset)
		return
	}
	in.offset += uint64(len(m.GetChunk()))
	c.out.Chunks = append(c.out.Chunks, Chunk{Meta: meta, Offset: m.GetOffset(), Data: m.GetChunk(), Last: m.GetLastChunk()})
	if !m.GetLastChunk() {
		c.replySnapshot(m.GetFrom(), meta, in.offset)
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

func (c *Core) handleSnapshotReply(m *egretmuxv1.Message) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil || p.snapshot == nil {
		return
	}
	p.answered()
	if m.GetSnapshot().GetIndex() != p.snapshot.GetIndex() || m.GetOffset() == p.offset {
		return
	}
	p.stalled = 0
	p.offset = m.GetOffset()
	c.sendSnapshotChunk(m.GetFrom(), p)
}
