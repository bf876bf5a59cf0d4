package standin

import (
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"

	"github.com/egretmux/egretmux/internal/consensus/wal"
)

// Disk is an in-memory wal.Disk that fails on demand and loses unsynced data on a
// crash. Only file content synced by Sync and directory entries synced by
// SyncDir are durable.
type Disk struct {
	mu              sync.Mutex
	files           map[string]*diskFile // the directory as the process sees it
	durableFiles    map[string]*diskFile // the directory as it was last synced
	unsyncedChanges []dirChange          // changes of the directory since then
	freeBytes       int                  // bytes that can still be written; negative: no limit
	syncsFail       bool                 // set by FailSyncs
	mutationsLeft   int                  // mutating calls until the machine dies; negative: never
	Syncs           int                  // file syncs that succeeded
	BytesRead       int                  // bytes read
}

// dirChange is an unsynced change of the directory.
type dirChange struct {
	removedName string    // may be empty
	addedName   string    // may be empty
	file        *diskFile // the file under addedName
}

type diskFile struct {
	data      []byte
	synced    []byte // content after a crash
	lostBytes int    // bytes at the end of data that a failed sync dropped from the page cache's dirty list
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{files: make(map[string]*diskFile), durableFiles: make(map[string]*diskFile), freeBytes: -1, mutationsLeft: -1}
}

// SetFree limits the bytes that can still be written; negative lifts the limit.
func (d *Disk) SetFree(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes = bytes
}

// FailSyncs makes every sync fail until it is called with false.
func (d *Disk) FailSyncs(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncsFail = failing
}

// DieAfter makes every mutating call after the next n fail, as if the machine
// had died. Crash brings it back.
func (d *Disk) DieAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mutationsLeft = n
}

// mutationFails counts a mutating call and reports whether the machine has died
// before it. The caller holds d.mu.
func (d *Disk) mutationFails() bool {
	if d.mutationsLeft > 0 {
		d.mutationsLeft--
		return false
	}
	return d.mutationsLeft == 0
}

// Crash drops unsynced data. For each file, keep returns how many of its unsynced
// bytes survive, which can leave a torn write; for each unsynced change of the
// directory it returns 1 if that change survives, whatever happened to the
// others.
func (d *Disk) Crash(keep func(unsynced int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mutationsLeft = -1
	for _, c := range d.unsyncedChanges {
		if keep(1) == 1 {
			delete(d.durableFiles, c.removedName)
			if c.addedName != "" {
				d.durableFiles[c.addedName] = c.file
			}
		}
	}
	d.unsyncedChanges = nil
	d.files = maps.Clone(d.durableFiles)
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		survives := len(f.synced)
		if unsynced := len(f.data) - survives - f.lostBytes; unsynced > 0 && string(f.data[:survives]) == string(f.synced) {
			survives += keep(unsynced)
			f.synced = slices.Clone(f.data[:survives])
		}
		f.data = slices.Clone(f.synced)
		f.lostBytes = 0
	}
}

// Clone returns a copy of the current content, all of it durable, as in a backup
// of the disk.
func (d *Disk) Clone() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := NewDisk()
	for name, f := range d.files {
		copied := &diskFile{data: slices.Clone(f.data), synced: slices.Clone(f.data)}
		c.files[name] = copied
		c.durableFiles[name] = copied
	}
	return c
}

// Damage inverts the bits of one durable byte of a file.
func (d *Disk) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.data = slices.Clone(f.data)
	f.data[offset] ^= 0xff
	f.synced = slices.Clone(f.data)
}

// Size returns the length of a file.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.files[name].data)
}

// List implements wal.Disk.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Create implements wal.Disk.
func (d *Disk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mutationFails() {
		return nil, syscall.EIO
	}
	f := &diskFile{}
	d.files[name] = f
	d.unsyncedChanges = append(d.unsyncedChanges, dirChange{addedName: name, file: f})
	return &openFile{disk: d, file: f}, nil
}

// Open implements wal.Disk.
func (d *Disk) Open(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return &openFile{disk: d, file: f}, nil
}

// ReadFile implements wal.Disk.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	d.BytesRead += len(f.data)
	return slices.Clone(f.data), nil
}

// Rename implements wal.Disk.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mutationFails() {
		return syscall.EIO
	}
	f := d.files[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = f
	d.unsyncedChanges = append(d.unsyncedChanges, dirChange{removedName: from, addedName: to, file: f})
	return nil
}

// Remove implements wal.Disk.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mutationFails() {
		return syscall.EIO
	}
	delete(d.files, name)
	d.unsyncedChanges = append(d.unsyncedChanges, dirChange{removedName: name})
	return nil
}

// SyncDir implements wal.Disk.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.syncsFail || d.mutationFails() {
		return syscall.EIO
	}
	d.durableFiles = maps.Clone(d.files)
	d.unsyncedChanges = nil
	return nil
}

type openFile struct {
	disk *Disk
	file *diskFile
}

// Write implements wal.File. On a full disk it writes what fits.
func (o *openFile) Write(p []byte) (int, error) {
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	n := len(p)
	if o.disk.mutationFails() {
		return 0, syscall.EIO
	}
	if o.disk.freeBytes >= 0 {
		n = min(n, o.disk.freeBytes)
		o.disk.freeBytes -= n
	}
	o.file.data = append(o.file.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Truncate implements wal.File.
func (o *openFile) Truncate(size int64) error {
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	if o.disk.mutationFails() {
		return syscall.EIO
	}
	if cut := len(o.file.data) - int(size); cut > 0 && o.disk.freeBytes >= 0 {
		o.disk.freeBytes += cut
	}
	o.file.data = slices.Clone(o.file.data[:size])
	return nil
}

// ReadAt implements wal.File.
func (o *openFile) ReadAt(p []byte, offset int64) (int, error) {
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	if offset >= int64(len(o.file.data)) {
		return 0, io.EOF
	}
	n := copy(p, o.file.data[offset:])
	o.disk.BytesRead += n
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Sync implements wal.File. After a failed sync the written bytes can still be
// read, but no later sync makes them durable.
func (o *openFile) Sync() error {
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	f := o.file
	if o.disk.syncsFail || o.disk.mutationFails() {
		f.lostBytes = len(f.data) - len(f.synced)
		return syscall.EIO
	}
	if f.lostBytes == 0 {
		f.synced = slices.Clone(f.data)
	}
	o.disk.Syncs++
	return nil
}

// Close implements wal.File.
func (o *openFile) Close() error { return nil }

// Cut removes the last bytes of a file, as after a torn write.
func (d *Disk) Cut(name string, bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.data = slices.Clone(f.data[:len(f.data)-bytes])
	f.synced = slices.Clone(f.data)
}
