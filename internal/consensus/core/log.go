package core

import egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"

// memoryLog holds the entries after the last compacted one. entries[i] has index
// compactedIndex+1+i.
type memoryLog struct {
	compactedIndex uint64 // index of the last entry dropped by a compaction or replaced by a snapshot
	compactedTerm  uint64
	snapMeta       *egretmuxv1.SnapshotMeta // newest snapshot that can be sent to a replica
	entries        []*egretmuxv1.Entry
	unstable       uint64 // first index not known to be persisted
	handedOut      uint64 // last index handed to the driver for persisting
}

func newMemoryLog(snap *egretmuxv1.SnapshotMeta, entries []*egretmuxv1.Entry) *memoryLog {
	l := &memoryLog{entries: entries}
	if snap != nil {
		l.compactedIndex = snap.GetIndex()
		l.compactedTerm = snap.GetTerm()
		l.snapMeta = snap
	}
	l.unstable = l.last() + 1
	return l
}

func (l *memoryLog) last() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *memoryLog) termAt(index uint64) uint64 {
	if index == l.compactedIndex {
		return l.compactedTerm
	}
	if index < l.compactedIndex || index > l.last() {
		return 0
	}
	return l.entries[index-l.compactedIndex-1].GetTerm()
}

func (l *memoryLog) lastTerm() uint64 { return l.termAt(l.last()) }

// slice returns the entries with indexes in [from, to].
func (l *memoryLog) slice(from, to uint64) []*egretmuxv1.Entry {
	from = max(from, l.compactedIndex+1)
	to = min(to, l.last())
	if from > to {
		return nil
	}
	return append([]*egretmuxv1.Entry(nil), l.entries[from-l.compactedIndex-1:to-l.compactedIndex]...)
}

// nextBatch returns the entries from index first on, as many as fit into one
// append message.
func (l *memoryLog) nextBatch(first uint64) []*egretmuxv1.Entry {
	if first <= l.compactedIndex {
		return nil
	}
	size := 0
	to := first
	for ; to <= l.last() && to-first < maxAppendEntries; to++ {
		size += len(l.entries[to-l.compactedIndex-1].GetData())
		if size > maxAppendBytes && to > first {
			break
		}
	}
	return l.slice(first, to-1)
}

func (l *memoryLog) append(entries ...*egretmuxv1.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entry at index and all after it.
func (l *memoryLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.compactedIndex-1 : index-l.compactedIndex-1]
	l.unstable = min(l.unstable, index)
	l.handedOut = min(l.handedOut, index-1)
}

// reset replaces the whole log with a snapshot.
func (l *memoryLog) reset(meta *egretmuxv1.SnapshotMeta) {
	*l = memoryLog{compactedIndex: meta.GetIndex(), compactedTerm: meta.GetTerm(), snapMeta: meta}
	l.unstable = l.compactedIndex + 1
	l.handedOut = l.compactedIndex
}

func (l *memoryLog) hasUnstable() bool { return l.unstable <= l.last() }

func (l *memoryLog) unstableEntries() []*egretmuxv1.Entry {
	l.handedOut = l.last()
	return l.slice(l.unstable, l.last())
}

// markStable records that all entries handed out are persisted and returns the
// index of the last one.
func (l *memoryLog) markStable() uint64 {
	l.unstable = max(l.unstable, l.handedOut+1)
	return l.unstable - 1
}

// firstWithinLimits returns the lowest index such that the entries from it on
// stay within the limits.
func (l *memoryLog) firstWithinLimits(bytes, count int) uint64 {
	i := len(l.entries)
	for i > 0 && len(l.entries)-i < count {
		bytes -= len(l.entries[i-1].GetData())
		if bytes < 0 {
			break
		}
		i--
	}
	return l.compactedIndex + 1 + uint64(i)
}

// compact records a newer snapshot and drops the entries before keepFrom that
// it covers.
func (l *memoryLog) compact(meta *egretmuxv1.SnapshotMeta, keepFrom uint64) {
	if l.snapMeta == nil || meta.GetIndex() > l.snapMeta.GetIndex() {
		l.snapMeta = meta
	}
	lastDropped := min(meta.GetIndex(), keepFrom-1)
	if keepFrom == 0 || lastDropped <= l.compactedIndex {
		return
	}
	term := l.termAt(lastDropped)
	l.entries = append([]*egretmuxv1.Entry(nil), l.entries[lastDropped-l.compactedIndex:]...)
	l.compactedIndex = lastDropped
	l.compactedTerm = term
}
