package wal

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// A snapshot file is: length of the meta data (4 bytes), meta data, payload,
// checksum of all before it (4 bytes). The two newest are kept, so that one
// being sent to a replica outlives the next one.
const (
	keptSnapshots   = 2
	trailerSize     = 4
	lengthSize      = 4
	incomingName    = "snapshot-incoming.tmp"
	writingName     = "snapshot-writing.tmp"
	snapshotBufSize = 256 << 10
)

// ErrNoSnapshot is returned for a snapshot that is no longer kept.
var ErrNoSnapshot = errors.New("the snapshot is no longer kept; ask for the newest one")

type snapshotFiles struct {
	mu       sync.Mutex
	metas    []*egretmuxv1.SnapshotMeta // oldest first
	incoming File
	sending  *egretmuxv1.SnapshotMeta // last one read by ReadChunk since the newest was saved
}

func snapshotName(meta *egretmuxv1.SnapshotMeta) string {
	return fmt.Sprintf("snapshot-%016x-%016x", meta.GetIndex(), meta.GetTerm())
}

// open finds the newest whole snapshot.
func (s *snapshotFiles) open(disk Disk, names []string) (*egretmuxv1.SnapshotMeta, error) {
	for _, n := range names {
		if n == incomingName || n == writingName {
			if err := disk.Remove(n); err != nil {
				return nil, err
			}
			continue
		}
		var index, term uint64
		if _, err := fmt.Sscanf(n, "snapshot-%016x-%016x", &index, &term); err != nil {
			continue
		}
		s.metas = append(s.metas, &egretmuxv1.SnapshotMeta{Index: index, Term: term})
	}
	if len(s.metas) == 0 {
		return nil, nil
	}
	newest := len(s.metas) - 1
	meta, _, err := readSnapshotFile(disk, snapshotName(s.metas[newest]))
	if err != nil {
		return nil, err
	}
	s.metas[newest] = meta
	return meta, nil
}

func readSnapshotFile(disk Disk, name string) (*egretmuxv1.SnapshotMeta, []byte, error) {
	data, err := disk.ReadFile(name)
	if err != nil {
		return nil, nil, err
	}
	body := len(data) - trailerSize
	if body < lengthSize || crc32.Checksum(data[:body], castagnoli) != binary.LittleEndian.Uint32(data[body:]) {
		return nil, nil, &CorruptionError{File: name, Detail: "checksum does not match"}
	}
	length := int(binary.LittleEndian.Uint32(data))
	meta := &egretmuxv1.SnapshotMeta{}
	if length > body-lengthSize || proto.Unmarshal(data[lengthSize:lengthSize+length], meta) != nil {
		return nil, nil, &CorruptionError{File: name, Detail: "meta data cannot be read"}
	}
	return meta, data[lengthSize+length : body], nil
}

// SaveSnapshot writes a snapshot beside the others and makes it the newest.
// It may run while entries are appended.
func (l *Log) SaveSnapshot(meta *egretmuxv1.SnapshotMeta, write func(io.Writer) error) error {
	file, err := l.disk.Create(writingName)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	sum := crc32.New(castagnoli)
	buffered := bufio.NewWriterSize(file, snapshotBufSize)
	out := io.MultiWriter(buffered, sum)
	head, err := proto.Marshal(meta)
	if err != nil {
		return err
	}
	if _, err := out.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(head))), head...)); err != nil {
		return err
	}
	if err := write(out); err != nil {
		return err
	}
	if _, err := buffered.Write(binary.LittleEndian.AppendUint32(nil, sum.Sum32())); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return l.publish(writingName, meta)
}

// publish renames a finished snapshot file and removes those beyond the kept number.
func (l *Log) publish(temporary string, meta *egretmuxv1.SnapshotMeta) error {
	l.snaps.mu.Lock()
	defer l.snaps.mu.Unlock()
	if err := l.disk.Rename(temporary, snapshotName(meta)); err != nil {
		return err
	}
	if err := l.disk.SyncDir(); err != nil {
		return err
	}
	metas := append(l.snaps.metas, meta)
	slices.SortStableFunc(metas, func(a, b *egretmuxv1.SnapshotMeta) int { return cmp.Compare(a.GetIndex(), b.GetIndex()) })
	l.snaps.metas = slices.CompactFunc(metas, sameSnapshot)
	return l.removeOldSnapshots()
}

func sameSnapshot(a, b *egretmuxv1.SnapshotMeta) bool {
	return a.GetIndex() == b.GetIndex() && a.GetTerm() == b.GetTerm()
}

// removeOldSnapshots keeps the newest ones, and the one being sent to a
// replica as long as it was read since the last snapshot.
func (l *Log) removeOldSnapshots() error {
	s := &l.snaps
	old := max(0, len(s.metas)-keptSnapshots)
	var kept []*egretmuxv1.SnapshotMeta
	for i, m := range s.metas {
		if i >= old || s.sending != nil && sameSnapshot(m, s.sending) {
			kept = append(kept, m)
			continue
		}
		if err := l.disk.Remove(snapshotName(m)); err != nil {
			return err
		}
	}
	s.metas = kept
	s.sending = nil
	return nil
}

// LoadSnapshot returns the payload of a kept snapshot.
func (l *Log) LoadSnapshot(meta *egretmuxv1.SnapshotMeta) ([]byte, error) {
	_, payload, err := readSnapshotFile(l.disk, snapshotName(meta))
	return payload, err
}

// ReadChunk returns up to size bytes of a kept snapshot's file from offset on,
// and whether they are its last.
func (l *Log) ReadChunk(meta *egretmuxv1.SnapshotMeta, offset uint64, size int) ([]byte, bool, error) {
	l.snaps.mu.Lock()
	defer l.snaps.mu.Unlock()
	kept := false
	for _, m := range l.snaps.metas {
		kept = kept || sameSnapshot(m, meta)
	}
	if !kept {
		return nil, false, ErrNoSnapshot
	}
	l.snaps.sending = meta
	file, err := l.disk.Append(snapshotName(meta))
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = file.Close() }()
	buf := make([]byte, size+1)
	n, err := file.ReadAt(buf, int64(offset))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, false, err
	}
	if n > size {
		return buf[:size], false, nil
	}
	return buf[:n], true, nil
}

// WriteChunk stores a part of a snapshot received from the leader. Offset zero
// begins anew. With last set, the whole file is checked and published.
func (l *Log) WriteChunk(meta *egretmuxv1.SnapshotMeta, offset uint64, data []byte, last bool) error {
	if offset == 0 {
		if l.snaps.incoming != nil {
			_ = l.snaps.incoming.Close()
		}
		file, err := l.disk.Create(incomingName)
		if err != nil {
			return l.fail(err)
		}
		l.snaps.incoming = file
	}
	if l.snaps.incoming == nil {
		return errors.New("snapshot part without a beginning")
	}
	if _, err := l.snaps.incoming.Write(data); err != nil {
		return l.fail(err)
	}
	if !last {
		return nil
	}
	err := l.snaps.incoming.Sync()
	_ = l.snaps.incoming.Close()
	l.snaps.incoming = nil
	if err != nil {
		return l.fail(err)
	}
	if _, _, err := readSnapshotFile(l.disk, incomingName); err != nil {
		return err
	}
	if err := l.publish(incomingName, meta); err != nil {
		return l.fail(err)
	}
	return l.reset()
}

// NewestSnapshot reads the newest snapshot in a folder without locking it.
func NewestSnapshot(path string) (*egretmuxv1.SnapshotMeta, []byte, error) {
	disk := &Folder{path: path}
	names, err := disk.List()
	if err != nil {
		return nil, nil, err
	}
	for i := len(names) - 1; i >= 0; i-- {
		var index, term uint64
		if _, err := fmt.Sscanf(names[i], "snapshot-%016x-%016x", &index, &term); err == nil {
			return readSnapshotFile(disk, names[i])
		}
	}
	return nil, nil, errors.Newf("%s holds no snapshot; one is written after every [log] snapshot_entries entries", path)
}
