package wal

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

const (
	// maxSegmentBytes is the size beyond which a new segment is started.
	maxSegmentBytes = 32 << 20
	// rewriteTempName is the file to which the newest segment is rewritten.
	rewriteTempName = "rewrite.tmp"
)

// ErrStopped is returned after a write or sync has failed.
var ErrStopped = errors.New("the log stopped after a failed write; free or replace the disk and restart the instance")

// ErrDiskFull is returned by Append and WriteChunk while the disk has no space. The call
// has stored nothing that counts and can be repeated.
var ErrDiskFull = errors.New("the disk is full; free space in the file system of the data folder, and the replica goes on")

// CorruptionError reports damage that is not the result of a crash.
type CorruptionError struct {
	File   string
	Offset int64
	Detail string
}

// Error returns the location of the damage and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d (%s); move the data folder away and restart: the instance rejoins with a new identity and copies the state from the others",
		e.File, e.Offset, e.Detail)
}

// Log stores the log, hard state and snapshots of one replica. Only one
// goroutine may use it; SaveSnapshot and ReadChunk may run concurrently with it.
type Log struct {
	disk         Disk
	segmentLimit int64 // size in bytes beyond which a new segment is started
	segments     []segment
	active       File
	size         int64
	tailTorn     bool // the active segment may hold a part of a batch after size
	resetDue     bool // an installed snapshot has replaced the entries, but the log does not say so yet
	lastBatch    uint64
	hardState    *egretmuxv1.HardState
	snapshots    snapshotFiles
	stopErr      error
}

// segment is one file of the log.
type segment struct {
	sequence  uint64
	lastIndex uint64 // highest entry index in it
}

func (s segment) name() string { return fmt.Sprintf("log-%016x", s.sequence) }

// Recovered is the persisted state found by Open.
type Recovered struct {
	HardState *egretmuxv1.HardState
	Snapshot  *egretmuxv1.SnapshotMeta // nil when there is none
	Entries   []*egretmuxv1.Entry      // entries after the snapshot, without a gap
	CutBytes  int64                    // length of the torn tail that was truncated
}

// Empty reports whether nothing has ever been written.
func (r *Recovered) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0
}

// Position returns the term, the vote and the last log index in the data folder.
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

// Open recovers the state in the data folder and starts a new segment.
func Open(disk Disk) (*Log, *Recovered, error) {
	l := &Log{disk: disk, segmentLimit: maxSegmentBytes}
	names, err := disk.List()
	if err != nil {
		return nil, nil, errors.Wrap(err, "data folder cannot be listed")
	}
	rec := &Recovered{}
	if rec.Snapshot, err = l.snapshots.open(disk, names); err != nil {
		return nil, nil, err
	}
	if err := l.readSegments(names, rec); err != nil {
		return nil, nil, err
	}
	replaced, err := dropCoveredEntries(rec)
	if err != nil {
		return nil, nil, err
	}
	l.hardState = rec.HardState
	if err := l.rotate(); err != nil {
		return nil, nil, err
	}
	if replaced {
		if err := l.writeReset(); err != nil {
			return nil, nil, err
		}
	}
	return l, rec, nil
}

func (l *Log) readSegments(names []string, rec *Recovered) error {
	var segments []segment
	for _, n := range names {
		if n == rewriteTempName {
			if err := l.disk.Remove(n); err != nil {
				return err
			}
			continue
		}
		var s segment
		if _, err := fmt.Sscanf(n, "log-%016x", &s.sequence); err == nil && s.name() == n {
			segments = append(segments, s)
		}
	}
	if len(segments) == 0 && rec.Snapshot != nil {
		return &CorruptionError{File: "log", Detail: "there is a snapshot but no segment of the log"}
	}
	for i := range segments {
		if i > 0 && segments[i].sequence != segments[i-1].sequence+1 {
			return &CorruptionError{File: segments[i].name(), Detail: "the segment before it is missing"}
		}
		if err := l.readSegment(&segments[i], i == len(segments)-1, rec); err != nil {
			return err
		}
	}
	l.segments = segments
	return nil
}

func (l *Log) readSegment(s *segment, newest bool, rec *Recovered) error {
	data, err := l.disk.ReadFile(s.name())
	if err != nil {
		return errors.Wrapf(err, "%s cannot be read", s.name())
	}
	validBytes := 0
	for validBytes < len(data) {
		records, size, ok := readBatch(data[validBytes:])
		if !ok {
			damagedAt := validBytes + size
			if !newest || hasLaterBatch(data[damagedAt:], l.lastBatch+1) {
				return &CorruptionError{File: s.name(), Offset: int64(damagedAt), Detail: "checksum does not match"}
			}
			rec.CutBytes = int64(len(data) - validBytes)
			break
		}
		if l.lastBatch != 0 && records[0].batch != l.lastBatch+1 {
			detail := fmt.Sprintf("batch %d follows batch %d", records[0].batch, l.lastBatch)
			return &CorruptionError{File: s.name(), Offset: int64(validBytes), Detail: detail}
		}
		for _, r := range records {
			if err := l.replayRecord(s, r, rec); err != nil {
				return &CorruptionError{File: s.name(), Offset: int64(validBytes), Detail: err.Error()}
			}
		}
		l.lastBatch = records[0].batch
		validBytes += size
	}
	if !newest {
		return nil
	}
	return errors.Wrapf(l.rewrite(s.name(), data[:validBytes]), "%s cannot be rewritten", s.name())
}

// rewrite stores the complete batches of the newest segment in a new file.
// After a failed sync, content may be readable without being on the medium, and
// another sync of the same file would not write it.
func (l *Log) rewrite(name string, data []byte) error {
	file, err := l.disk.Create(rewriteTempName)
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
	if err := l.disk.Rename(rewriteTempName, name); err != nil {
		return err
	}
	return l.disk.SyncDir()
}

func (l *Log) replayRecord(s *segment, r record, rec *Recovered) error {
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
		s.lastIndex = max(s.lastIndex, e.GetIndex())
		return rec.putEntry(e)
	}
	return errors.Newf("record kind %d is not known", r.kind)
}

// putEntry adds an entry, replacing any from its index on.
func (r *Recovered) putEntry(e *egretmuxv1.Entry) error {
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

// dropCoveredEntries removes the entries that the snapshot covers and checks
// that the remaining ones follow it without a gap. It reports whether the
// snapshot replaced the whole log, as after a crash during the installation of
// a received snapshot.
func dropCoveredEntries(rec *Recovered) (replaced bool, err error) {
	snapIndex := rec.Snapshot.GetIndex()
	dropped := false
	for len(rec.Entries) > 0 && rec.Entries[0].GetIndex() <= snapIndex {
		e := rec.Entries[0]
		dropped = true
		if e.GetIndex() == snapIndex && e.GetTerm() != rec.Snapshot.GetTerm() {
			rec.Entries = nil
			return true, nil
		}
		rec.Entries = rec.Entries[1:]
	}
	if len(rec.Entries) > 0 && rec.Entries[0].GetIndex() != snapIndex+1 {
		return false, &CorruptionError{
			File: "log", Detail: fmt.Sprintf("entries %d to %d are missing", snapIndex+1, rec.Entries[0].GetIndex()-1),
		}
	}
	return dropped && len(rec.Entries) == 0, nil
}

// Append writes the hard state, if not nil, and the entries. It returns after
// they have been synced, or with ErrDiskFull.
func (l *Log) Append(hard *egretmuxv1.HardState, entries []*egretmuxv1.Entry) error {
	if l.stopErr != nil {
		return ErrStopped
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if l.size > l.segmentLimit {
		if err := l.rotate(); err != nil {
			return l.failUnlessFull(err)
		}
	}
	buf, err := l.encode(l.lastBatch+1, hard, entries)
	if err != nil {
		return l.fail(err)
	}
	if err := l.write(buf); err != nil {
		return err
	}
	if hard != nil {
		l.hardState = hard
	}
	if n := len(entries); n > 0 {
		s := &l.segments[len(l.segments)-1]
		s.lastIndex = max(s.lastIndex, entries[n-1].GetIndex())
	}
	return nil
}

// write appends one batch to the active segment and syncs it.
func (l *Log) write(buf []byte) error {
	if err := l.cutTornTail(); err != nil {
		return err
	}
	if err := writeAndSync(l.active, buf); err != nil {
		l.tailTorn = true
		return l.failUnlessFull(err)
	}
	l.lastBatch++
	l.size += int64(len(buf))
	return nil
}

func writeAndSync(file File, buf []byte) error {
	delayWrite()
	if _, err := file.Write(buf); err != nil {
		return err
	}
	return file.Sync()
}

// cutTornTail removes what a write to a full disk has left at the end of the active
// segment. Only the newest segment may end with a part of a batch.
func (l *Log) cutTornTail() error {
	if !l.tailTorn {
		return nil
	}
	if err := l.active.Truncate(l.size); err != nil {
		return l.failUnlessFull(err)
	}
	if err := l.active.Sync(); err != nil {
		return l.failUnlessFull(err)
	}
	l.tailTorn = false
	return nil
}

// writeReset writes a record that an installed snapshot replaced all entries before
// the record.
func (l *Log) writeReset() error {
	l.resetDue = true
	if err := l.write(endBatch(appendRecord(nil, record{kind: kindReset, batch: l.lastBatch + 1}), 0)); err != nil {
		return err
	}
	l.resetDue = false
	return nil
}

// encode returns a batch. The hard state follows the entries because its commit
// index refers to them.
func (l *Log) encode(batch uint64, hard *egretmuxv1.HardState, entries []*egretmuxv1.Entry) ([]byte, error) {
	var buf []byte
	lastRecord := 0
	for _, e := range entries {
		payload, err := proto.Marshal(e)
		if err != nil {
			return nil, err
		}
		lastRecord = len(buf)
		buf = appendRecord(buf, record{kind: kindEntry, batch: batch, payload: payload})
	}
	if hard != nil {
		payload, err := proto.Marshal(hard)
		if err != nil {
			return nil, err
		}
		lastRecord = len(buf)
		buf = appendRecord(buf, record{kind: kindHardState, batch: batch, payload: payload})
	}
	return endBatch(buf, lastRecord), nil
}

// rotate starts a new segment, which begins with the newest hard state. After an error
// the log still uses the former segment.
func (l *Log) rotate() error {
	if err := l.cutTornTail(); err != nil {
		return err
	}
	next := segment{sequence: 1}
	if n := len(l.segments); n > 0 {
		next.sequence = l.segments[n-1].sequence + 1
	}
	file, err := l.disk.Create(next.name())
	if err != nil {
		return err
	}
	buf := appendRecord(nil, record{kind: kindSegment, batch: l.lastBatch + 1})
	lastRecord := 0
	if l.hardState != nil {
		payload, err := proto.Marshal(l.hardState)
		if err != nil {
			return err
		}
		lastRecord = len(buf)
		buf = appendRecord(buf, record{kind: kindHardState, batch: l.lastBatch + 1, payload: payload})
	}
	if err := writeAndSync(file, endBatch(buf, lastRecord)); err != nil {
		_ = file.Close()
		return err
	}
	if err := l.disk.SyncDir(); err != nil {
		_ = file.Close()
		return err
	}
	if l.active != nil {
		_ = l.active.Close()
	}
	l.active = file
	l.segments = append(l.segments, next)
	l.lastBatch++
	l.size = int64(len(buf))
	return nil
}

// Compact removes the oldest segments that hold only entries up to index. Each
// removal is synced before the next one, so that a crash leaves no gap.
func (l *Log) Compact(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].lastIndex <= index {
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

// SetSegmentBytes changes the size beyond which a new segment is started.
func (l *Log) SetSegmentBytes(limit int64) { l.segmentLimit = limit }

// Close closes the active segment.
func (l *Log) Close() error {
	if l.stopErr == nil {
		l.stopErr = ErrStopped
	}
	return l.active.Close()
}

// failUnlessFull returns ErrDiskFull if the disk has no space, and otherwise stops the
// log.
func (l *Log) failUnlessFull(err error) error {
	if errors.Is(err, ErrDiskFull) || errors.Is(err, ErrStopped) {
		return err
	}
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return errors.WithSecondaryError(errors.Wrap(ErrDiskFull, "write to the data folder refused"), err)
	}
	return l.fail(err)
}

// fail stops the log and returns the error for the caller.
func (l *Log) fail(err error) error {
	l.stopErr = err
	return errors.Mark(errors.Wrap(err, "write to the data folder failed"), ErrStopped)
}
