package wal

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

const (
	// maxSegmentBytes is the size at which a new segment is begun.
	maxSegmentBytes = 32 << 20
	// rewriteName holds the newest segment while it is stored again.
	rewriteName = "rewrite.tmp"
)

// ErrStopped is returned after a write or sync has failed.
var ErrStopped = errors.New("the log stopped after a failed write; free or replace the disk and restart the instance")

// CorruptionError reports damage that a crash cannot explain.
type CorruptionError struct {
	File   string
	Offset int64
	Detail string
}

// Error names the place and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d (%s); move the data folder away and restart: the instance rejoins with a new identity and copies the state from the others",
		e.File, e.Offset, e.Detail)
}

// Log is the log, hard state and snapshots of one replica. It is used by one
// goroutine, but for SaveSnapshot and ReadSnapshot.
type Log struct {
	disk     Disk
	limit    int64 // bytes of a segment
	segments []segment
	active   File
	size     int64
	batch    uint64
	hard     *egretmuxv1.HardState
	snaps    snapshotFiles
	failed   error
}

// segment is one file of the log.
type segment struct {
	sequence uint64
	last     uint64 // highest entry index in it
}

func (s segment) name() string { return fmt.Sprintf("log-%016x", s.sequence) }

// Recovered is the persisted state found by Open.
type Recovered struct {
	HardState *egretmuxv1.HardState
	Snapshot  *egretmuxv1.SnapshotMeta // nil when there is none
	Entries   []*egretmuxv1.Entry      // after the snapshot, without a gap
	CutBytes  int64                    // length of the torn tail that was cut
}

// Empty reports whether nothing has ever been written.
func (r *Recovered) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0
}

// Position returns the term, vote and last entry that the data folder holds.
func (r *Recovered) Position() (term, vote, last uint64) {
	last = r.Snapshot.GetIndex()
	lastTerm := r.Snapshot.GetTerm()
	if n := len(r.Entries); n > 0 {
		last = r.Entries[n-1].GetIndex()
		lastTerm = r.Entries[n-1].GetTerm()
	}
	term = max(r.HardState.GetTerm(), lastTerm)
	if term == r.HardState.GetTerm() {
		vote = r.HardState.GetVote()
	}
	return term, vote, last
}

// Open reads everything in the data folder and prepares it for appending.
func Open(disk Disk) (*Log, *Recovered, error) {
	l := &Log{disk: disk, limit: maxSegmentBytes}
	names, err := disk.List()
	if err != nil {
		return nil, nil, errors.Wrap(err, "data folder cannot be listed")
	}
	rec := &Recovered{}
	if rec.Snapshot, err = l.snaps.open(disk, names); err != nil {
		return nil, nil, err
	}
	if err := l.readSegments(names, rec); err != nil {
		return nil, nil, err
	}
	replaced, err := dropCovered(rec)
	if err != nil {
		return nil, nil, err
	}
	l.hard = rec.HardState
	if err := l.rotate(); err != nil {
		return nil, nil, err
	}
	if replaced {
		if err := l.reset(); err != nil {
			return nil, nil, err
		}
	}
	return l, rec, nil
}

func (l *Log) readSegments(names []string, rec *Recovered) error {
	var found []segment
	for _, n := range names {
		if n == rewriteName {
			if err := l.disk.Remove(n); err != nil {
				return err
			}
			continue
		}
		var s segment
		if _, err := fmt.Sscanf(n, "log-%016x", &s.sequence); err == nil && s.name() == n {
			found = append(found, s)
		}
	}
	if len(found) == 0 && rec.Snapshot != nil {
		return &CorruptionError{File: "log", Detail: "there is a snapshot but no segment of the log"}
	}
	for i := range found {
		if i > 0 && found[i].sequence != found[i-1].sequence+1 {
			return &CorruptionError{File: found[i].name(), Detail: "the segment before it is missing"}
		}
		if err := l.readSegment(&found[i], i == len(found)-1, rec); err != nil {
			return err
		}
	}
	l.segments = found
	return nil
}

func (l *Log) readSegment(s *segment, newest bool, rec *Recovered) error {
	data, err := l.disk.ReadFile(s.name())
	if err != nil {
		return errors.Wrapf(err, "%s cannot be read", s.name())
	}
	whole := 0
	for whole < len(data) {
		records, size, ok := readBatch(data[whole:])
		if !ok {
			bad := whole + size
			if !newest || laterBatch(data[bad:], l.batch+1) {
				return &CorruptionError{File: s.name(), Offset: int64(bad), Detail: "checksum does not match"}
			}
			rec.CutBytes = int64(len(data) - whole)
			break
		}
		if l.batch != 0 && records[0].batch != l.batch+1 {
			detail := fmt.Sprintf("batch %d follows batch %d", records[0].batch, l.batch)
			return &CorruptionError{File: s.name(), Offset: int64(whole), Detail: detail}
		}
		for _, r := range records {
			if err := l.takeRecord(s, r, rec); err != nil {
				return &CorruptionError{File: s.name(), Offset: int64(whole), Detail: err.Error()}
			}
		}
		l.batch = records[0].batch
		whole += size
	}
	if !newest {
		return nil
	}
	return errors.Wrapf(l.rewrite(s.name(), data[:whole]), "%s cannot be rewritten", s.name())
}

// rewrite stores the whole batches of the newest segment once more. After a
// failed sync its content may be readable and yet not be on the medium, which
// no further sync of the same file would mend.
func (l *Log) rewrite(name string, data []byte) error {
	file, err := l.disk.Create(rewriteName)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := l.disk.Rename(rewriteName, name); err != nil {
		return err
	}
	return l.disk.SyncDir()
}

func (l *Log) takeRecord(s *segment, r record, rec *Recovered) error {
	switch r.kind {
	case kindSegment:
		return nil
	case kindReset:
		rec.Entries = nil
		return nil
	case kindHardState:
		rec.HardState = &egretmuxv1.HardState{}
		return proto.Unmarshal(r.payload, rec.HardState)
	case kindEntry:
		e := &egretmuxv1.Entry{}
		if err := proto.Unmarshal(r.payload, e); err != nil {
			return err
		}
		s.last = max(s.last, e.GetIndex())
		return rec.put(e)
	}
	return errors.Newf("record kind %d is not known", r.kind)
}

// put adds an entry, replacing those from its index on.
func (r *Recovered) put(e *egretmuxv1.Entry) error {
	if len(r.Entries) == 0 {
		r.Entries = append(r.Entries, e)
		return nil
	}
	first := r.Entries[0].GetIndex()
	next := first + uint64(len(r.Entries))
	if e.GetIndex() > next {
		return errors.Newf("entries %d to %d are missing", next, e.GetIndex()-1)
	}
	if e.GetIndex() < first {
		r.Entries = append(r.Entries[:0:0], e)
		return nil
	}
	r.Entries = append(r.Entries[:e.GetIndex()-first], e)
	return nil
}

// dropCovered removes the entries that the snapshot covers and checks that the
// rest follows it. It reports whether the snapshot replaced the whole log, as
// an installation that a crash interrupted leaves it.
func dropCovered(rec *Recovered) (replaced bool, err error) {
	base := rec.Snapshot.GetIndex()
	dropped := false
	for len(rec.Entries) > 0 && rec.Entries[0].GetIndex() <= base {
		e := rec.Entries[0]
		dropped = true
		if e.GetIndex() == base && e.GetTerm() != rec.Snapshot.GetTerm() {
			rec.Entries = nil
			return true, nil
		}
		rec.Entries = rec.Entries[1:]
	}
	if len(rec.Entries) > 0 && rec.Entries[0].GetIndex() != base+1 {
		return false, &CorruptionError{
			File: "log", Detail: fmt.Sprintf("entries %d to %d are missing", base+1, rec.Entries[0].GetIndex()-1),
		}
	}
	return dropped && len(rec.Entries) == 0, nil
}

// Append writes the hard state (when not nil) and the entries, and returns
// after they have been synced.
func (l *Log) Append(hard *egretmuxv1.HardState, entries []*egretmuxv1.Entry) error {
	if l.failed != nil {
		return ErrStopped
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if l.size > l.limit {
		if err := l.rotate(); err != nil {
			return l.fail(err)
		}
	}
	l.batch++
	buf, err := l.encode(hard, entries)
	if err != nil {
		return l.fail(err)
	}
	return l.write(buf)
}

func (l *Log) write(buf []byte) error {
	if _, err := l.active.Write(buf); err != nil {
		return l.fail(err)
	}
	if err := l.active.Sync(); err != nil {
		return l.fail(err)
	}
	l.size += int64(len(buf))
	return nil
}

// reset records that an installed snapshot replaced every entry so far.
func (l *Log) reset() error {
	l.batch++
	return l.write(endBatch(appendRecord(nil, record{kind: kindReset, batch: l.batch}), 0))
}

// encode returns a batch: the hard state follows the entries because its
// commit index speaks of them.
func (l *Log) encode(hard *egretmuxv1.HardState, entries []*egretmuxv1.Entry) ([]byte, error) {
	var buf []byte
	last := 0
	for _, e := range entries {
		payload, err := proto.Marshal(e)
		if err != nil {
			return nil, err
		}
		last = len(buf)
		buf = appendRecord(buf, record{kind: kindEntry, batch: l.batch, payload: payload})
		s := &l.segments[len(l.segments)-1]
		s.last = max(s.last, e.GetIndex())
	}
	if hard != nil {
		payload, err := proto.Marshal(hard)
		if err != nil {
			return nil, err
		}
		last = len(buf)
		buf = appendRecord(buf, record{kind: kindHardState, batch: l.batch, payload: payload})
		l.hard = hard
	}
	return endBatch(buf, last), nil
}

// rotate begins a new segment, which starts with the newest hard state.
func (l *Log) rotate() error {
	next := segment{sequence: 1}
	if n := len(l.segments); n > 0 {
		next.sequence = l.segments[n-1].sequence + 1
	}
	file, err := l.disk.Create(next.name())
	if err != nil {
		return err
	}
	if l.active != nil {
		_ = l.active.Close()
	}
	l.active = file
	l.segments = append(l.segments, next)
	l.batch++
	buf := appendRecord(nil, record{kind: kindSegment, batch: l.batch})
	last := 0
	if l.hard != nil {
		payload, err := proto.Marshal(l.hard)
		if err != nil {
			return err
		}
		last = len(buf)
		buf = appendRecord(buf, record{kind: kindHardState, batch: l.batch, payload: payload})
	}
	if _, err := file.Write(endBatch(buf, last)); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	l.size = int64(len(buf))
	return l.disk.SyncDir()
}

// Compact removes the segments that hold only entries up to index. Each
// removal is synced before the next one, so that a crash leaves no hole.
func (l *Log) Compact(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].last <= index {
		if err := l.disk.Remove(l.segments[0].name()); err != nil {
			return l.fail(err)
		}
		if err := l.disk.SyncDir(); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// SetSegmentBytes changes the size at which a new segment is begun.
func (l *Log) SetSegmentBytes(limit int64) { l.limit = limit }

// Close closes the active segment.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = ErrStopped
	}
	return l.active.Close()
}

func (l *Log) fail(err error) error {
	l.failed = err
	return errors.Mark(errors.Wrap(err, "write to the data folder failed"), ErrStopped)
}
