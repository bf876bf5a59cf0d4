package wal

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// maxSegmentBytes is the size at which a new segment is begun.
const maxSegmentBytes = 32 << 20

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

// Open reads everything in the data folder and prepares it for appending.
func Open(disk Disk) (*Log, *Recovered, error) {
	l := &Log{disk: disk}
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
	if err := l.dropCovered(rec); err != nil {
		return nil, nil, err
	}
	l.hard = rec.HardState
	if err := l.rotate(); err != nil {
		return nil, nil, err
	}
	return l, rec, nil
}

func (l *Log) readSegments(names []string, rec *Recovered) error {
	var found []segment
	for _, n := range names {
		var s segment
		if _, err := fmt.Sscanf(n, "log-%016x", &s.sequence); err == nil && s.name() == n {
			found = append(found, s)
		}
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
	offset := 0
	for offset < len(data) {
		r, size, ok := readRecord(data[offset:])
		if !ok {
			if !newest || laterBatch(data[offset:], l.batch+1) {
				return &CorruptionError{File: s.name(), Offset: int64(offset), Detail: "checksum does not match"}
			}
			rec.CutBytes = int64(len(data) - offset)
			return errors.Wrapf(l.disk.Truncate(s.name(), int64(offset)), "%s: torn tail cannot be cut", s.name())
		}
		if err := l.takeRecord(s, r, rec); err != nil {
			return &CorruptionError{File: s.name(), Offset: int64(offset), Detail: err.Error()}
		}
		l.batch = max(l.batch, r.batch)
		offset += size
	}
	return nil
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
		// A snapshot installed in between took the place of the gap.
		r.Entries = append(r.Entries[:0:0], e)
		return nil
	}
	if e.GetIndex() < first {
		r.Entries = append(r.Entries[:0:0], e)
		return nil
	}
	r.Entries = append(r.Entries[:e.GetIndex()-first], e)
	return nil
}

// dropCovered removes the entries that the snapshot covers and checks that the
// rest follows it.
func (l *Log) dropCovered(rec *Recovered) error {
	base := rec.Snapshot.GetIndex()
	for len(rec.Entries) > 0 && rec.Entries[0].GetIndex() <= base {
		e := rec.Entries[0]
		if e.GetIndex() == base && e.GetTerm() != rec.Snapshot.GetTerm() {
			rec.Entries = nil
			break
		}
		rec.Entries = rec.Entries[1:]
	}
	if len(rec.Entries) > 0 && rec.Entries[0].GetIndex() != base+1 {
		return &CorruptionError{
			File: "log", Detail: fmt.Sprintf("entries %d to %d are missing", base+1, rec.Entries[0].GetIndex()-1),
		}
	}
	return nil
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
	if l.size > maxSegmentBytes {
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
	return l.write(appendRecord(nil, record{kindReset, l.batch, nil}))
}

func (l *Log) encode(hard *egretmuxv1.HardState, entries []*egretmuxv1.Entry) ([]byte, error) {
	var buf []byte
	for _, e := range entries {
		payload, err := proto.Marshal(e)
		if err != nil {
			return nil, err
		}
		buf = appendRecord(buf, record{kindEntry, l.batch, payload})
		s := &l.segments[len(l.segments)-1]
		s.last = max(s.last, e.GetIndex())
	}
	if hard != nil {
		payload, err := proto.Marshal(hard)
		if err != nil {
			return nil, err
		}
		buf = appendRecord(buf, record{kindHardState, l.batch, payload})
		l.hard = hard
	}
	return buf, nil
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
	buf := appendRecord(nil, record{kindSegment, l.batch, nil})
	if l.hard != nil {
		payload, err := proto.Marshal(l.hard)
		if err != nil {
			return err
		}
		buf = appendRecord(buf, record{kindHardState, l.batch, payload})
	}
	if _, err := file.Write(buf); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	l.size = int64(len(buf))
	return l.disk.SyncDir()
}

// Compact removes the segments that hold only entries up to index.
func (l *Log) Compact(index uint64) error {
	removed := 0
	for removed < len(l.segments)-1 && l.segments[removed].last <= index {
		if err := l.disk.Remove(l.segments[removed].name()); err != nil {
			return l.fail(err)
		}
		removed++
	}
	l.segments = l.segments[removed:]
	if removed == 0 {
		return nil
	}
	return l.disk.SyncDir()
}

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
