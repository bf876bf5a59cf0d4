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

// A snapshot file consists of the length of the metadata (4 bytes), metadata,
// payload, and a checksum of everything before it (4 bytes). The two newest
// files are kept, so that a transfer to a replica can go on when the next one is
// saved.
const (
	keptSnapshots    = 2
	checksumSize     = 4
	metaLengthSize   = 4
	incomingTempName = "snapshot-incoming.tmp"
	savingTempName   = "snapshot-writing.tmp"
	snapshotBufSize  = 256 << 10
)

// ErrNoSnapshot is returned for a snapshot whose file has been removed.
var ErrNoSnapshot = errors.New("the snapshot is no longer kept; ask for the newest one")

type snapshotFiles struct {
	publishing sync.Mutex                 // held while files are renamed and removed
	mu         sync.Mutex                 // guards what follows; the replica's loop waits for it, so that it is not held while the disk syncs
	metas      []*egretmuxv1.SnapshotMeta // oldest first
	incoming   File
	sending    *egretmuxv1.SnapshotMeta // last one read by ReadChunk since the newest one was published
}

func snapshotName(meta *egretmuxv1.SnapshotMeta) string {
	return fmt.Sprintf("snapshot-%016x-%016x", meta.GetIndex(), meta.GetTerm())
}

// open lists the snapshots, removes unfinished ones and returns the metadata of
// the newest one.
func (s *snapshotFiles) open(disk Disk, names []string) (*egretmuxv1.SnapshotMeta, error) {
	for _, n := range names {
		if n == incomingTempName || n == savingTempName {
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
	body := len(data) - checksumSize
	if body < metaLengthSize || crc32.Checksum(data[:body], castagnoliTable) != binary.LittleEndian.Uint32(data[body:]) {
		return nil, nil, &CorruptionError{File: name, Detail: "checksum does not match"}
	}
	length := int(binary.LittleEndian.Uint32(data))
	meta := &egretmuxv1.SnapshotMeta{}
	if length > body-metaLengthSize || proto.Unmarshal(data[metaLengthSize:metaLengthSize+length], meta) != nil {
		return nil, nil, &CorruptionError{File: name, Detail: "meta data cannot be read"}
	}
	return meta, data[metaLengthSize+length : body], nil
}

// SaveSnapshot writes a snapshot and publishes it. It may run while entries are
// appended.
func (l *Log) SaveSnapshot(meta *egretmuxv1.SnapshotMeta, write func(io.Writer) error) (err error) {
	defer func() {
		if err != nil { // the unfinished file would take space; a crash leaves it to Open
			err = errors.CombineErrors(err, l.disk.Remove(savingTempName))
		}
	}()
	file, err := l.disk.Create(savingTempName)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	checksum := crc32.New(castagnoliTable)
	buffered := bufio.NewWriterSize(file, snapshotBufSize)
	out := io.MultiWriter(buffered, checksum)
	encodedMeta, err := proto.Marshal(meta)
	if err != nil {
		return err
	}
	if _, err := out.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(encodedMeta))), encodedMeta...)); err != nil {
		return err
	}
	if err := write(out); err != nil {
		return err
	}
	if _, err := buffered.Write(binary.LittleEndian.AppendUint32(nil, checksum.Sum32())); err != nil {
		return err
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return l.publishSnapshot(savingTempName, meta)
}

// publishSnapshot renames a finished snapshot file to its final name and removes
// old ones.
func (l *Log) publishSnapshot(tempName string, meta *egretmuxv1.SnapshotMeta) error {
	l.snapshots.publishing.Lock()
	defer l.snapshots.publishing.Unlock()
	if err := l.disk.Rename(tempName, snapshotName(meta)); err != nil {
		return err
	}
	if err := l.disk.SyncDir(); err != nil {
		return err
	}
	for _, old := range l.snapshots.add(meta) {
		if err := l.disk.Remove(snapshotName(old)); err != nil {
			return err
		}
	}
	return nil
}

func sameSnapshot(a, b *egretmuxv1.SnapshotMeta) bool {
	return a.GetIndex() == b.GetIndex() && a.GetTerm() == b.GetTerm()
}

// add adds a snapshot and returns those that are not kept any more. The newest ones are
// kept, and the one being sent to a replica if it was read since the last one was added.
func (s *snapshotFiles) add(meta *egretmuxv1.SnapshotMeta) (old []*egretmuxv1.SnapshotMeta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	metas := append(s.metas, meta)
	slices.SortStableFunc(metas, func(a, b *egretmuxv1.SnapshotMeta) int { return cmp.Compare(a.GetIndex(), b.GetIndex()) })
	metas = slices.CompactFunc(metas, sameSnapshot)
	firstKept := max(0, len(metas)-keptSnapshots)
	s.metas = nil
	for i, m := range metas {
		if i >= firstKept || s.sending != nil && sameSnapshot(m, s.sending) {
			s.metas = append(s.metas, m)
		} else {
			old = append(old, m)
		}
	}
	s.sending = nil
	return old
}

// LoadSnapshot returns the payload of a kept snapshot.
func (l *Log) LoadSnapshot(meta *egretmuxv1.SnapshotMeta) ([]byte, error) {
	_, payload, err := readSnapshotFile(l.disk, snapshotName(meta))
	return payload, err
}

// ReadChunk returns up to size bytes of a kept snapshot's file, starting at
// offset, and whether they are the last ones.
func (l *Log) ReadChunk(meta *egretmuxv1.SnapshotMeta, offset uint64, size int) ([]byte, bool, error) {
	l.snapshots.mu.Lock()
	defer l.snapshots.mu.Unlock()
	kept := false
	for _, m := range l.snapshots.metas {
		kept = kept || sameSnapshot(m, meta)
	}
	if !kept {
		return nil, false, ErrNoSnapshot
	}
	l.snapshots.sending = meta
	file, err := l.disk.Open(snapshotName(meta))
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

// WriteChunk stores a snapshot chunk received from the leader. Offset zero
// starts a new file. When last is set, the whole file is verified and published. After
// ErrDiskFull the same chunk can be written again.
func (l *Log) WriteChunk(meta *egretmuxv1.SnapshotMeta, offset uint64, data []byte, last bool) error {
	if l.resetDue && last {
		return l.writeReset() // the snapshot was published by an earlier call
	}
	if offset == 0 {
		if l.snapshots.incoming != nil {
			_ = l.snapshots.incoming.Close()
		}
		l.snapshots.incoming = nil
		file, err := l.disk.Create(incomingTempName)
		if err != nil {
			return l.failUnlessFull(err)
		}
		l.snapshots.incoming = file
	}
	if l.snapshots.incoming == nil {
		return errors.New("snapshot chunk received before the chunk at offset 0")
	}
	if err := l.snapshots.incoming.Truncate(int64(offset)); err != nil {
		return l.failUnlessFull(err)
	}
	if _, err := l.snapshots.incoming.Write(data); err != nil {
		return l.failUnlessFull(err)
	}
	if !last {
		return nil
	}
	if err := l.snapshots.incoming.Sync(); err != nil {
		return l.failUnlessFull(err)
	}
	_ = l.snapshots.incoming.Close()
	l.snapshots.incoming = nil
	if _, _, err := readSnapshotFile(l.disk, incomingTempName); err != nil {
		return err
	}
	if err := l.publishSnapshot(incomingTempName, meta); err != nil {
		return l.fail(err)
	}
	return l.writeReset()
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
