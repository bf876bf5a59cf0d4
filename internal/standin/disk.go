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

// Disk is a wal.Disk in memory that loses what was not synced when the machine
// crashes, and fails on demand. Durable is only file content that was synced
// and a folder entry that was synced by SyncDir.
type Disk struct {
	mu        sync.Mutex
	files     map[string]*diskFile // the folder as the process sees it
	durable   map[string]*diskFile // the folder as it was last synced
	changes   []folderChange       // since then
	free      int                  // bytes that can still be written; negative: no limit
	failing   bool                 // syncs fail
	left      int                  // changing calls until the machine dies; negative: never
	Syncs     int                  // file syncs that succeeded
	BytesRead int                  // bytes read
}

// folderChange is a change of the folder that is not synced.
type folderChange struct {
	remove string    // name that ends; may be empty
	add    string    // name that begins; may be empty
	file   *diskFile // its file
}

type diskFile struct {
	data   []byte
	synced []byte // content after a crash
	lost   int    // bytes at the end of data that a failed sync dropped from the cache's dirty list
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{files: make(map[string]*diskFile), durable: make(map[string]*diskFile), free: -1, left: -1}
}

// SetFree limits the bytes that can still be written; negative lifts the limit.
func (d *Disk) SetFree(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free = bytes
}

// FailSyncs makes every sync fail until it is called with false.
func (d *Disk) FailSyncs(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

// DieAfter makes every changing call after the next n fail, as if the machine
// had died there. Crash revives it.
func (d *Disk) DieAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = n
}

// dead counts a changing call. The caller holds the lock.
func (d *Disk) dead() bool {
	if d.left > 0 {
		d.left--
		return false
	}
	return d.left == 0
}

// Crash loses what was not synced. For each file, keep chooses how many of its
// unsynced bytes survive, which tears a write; for each unsynced change of the
// folder it chooses whether that one survives, whatever became of the others.
func (d *Disk) Crash(keep func(unsynced int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = -1
	for _, c := range d.changes {
		if keep(1) == 1 {
			delete(d.durable, c.remove)
			if c.add != "" {
				d.durable[c.add] = c.file
			}
		}
	}
	d.changes = nil
	d.files = maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		survives := len(f.synced)
		if unsynced := len(f.data) - survives - f.lost; unsynced > 0 && string(f.data[:survives]) == string(f.synced) {
			survives += keep(unsynced)
			f.synced = slices.Clone(f.data[:survives])
		}
		f.data = slices.Clone(f.synced)
		f.lost = 0
	}
}

// Clone returns a copy, as a backup of the disk would hold it.
func (d *Disk) Clone() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := NewDisk()
	for name, f := range d.files {
		copied := &diskFile{data: slices.Clone(f.data), synced: slices.Clone(f.data)}
		c.files[name] = copied
		c.durable[name] = copied
	}
	return c
}

// Damage inverts one byte of a file, on the medium itself.
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
	if d.dead() {
		return nil, syscall.EIO
	}
	f := &diskFile{}
	d.files[name] = f
	d.changes = append(d.changes, folderChange{add: name, file: f})
	return &openFile{disk: d, file: f}, nil
}

// Append implements wal.Disk.
func (d *Disk) Append(name string) (wal.File, error) {
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
	if d.dead() {
		return syscall.EIO
	}
	f := d.files[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = f
	d.changes = append(d.changes, folderChange{remove: from, add: to, file: f})
	return nil
}

// Remove implements wal.Disk.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead() {
		return syscall.EIO
	}
	delete(d.files, name)
	d.changes = append(d.changes, folderChange{remove: name})
	return nil
}

// SyncDir implements wal.Disk.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing || d.dead() {
		return syscall.EIO
	}
	d.durable = maps.Clone(d.files)
	d.changes = nil
	return nil
}

type openFile struct {
	disk *Disk
	file *diskFile
}

// Write implements wal.File. A full disk takes what fits.
func (o *openFile) Write(p []byte) (int, error) {
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	n := len(p)
	if o.disk.dead() {
		return 0, syscall.EIO
	}
	if o.disk.free >= 0 {
		n = min(n, o.disk.free)
		o.disk.free -= n
	}
	o.file.data = append(o.file.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
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
	if o.disk.failing || o.disk.dead() {
		f.lost = len(f.data) - len(f.synced)
		return syscall.EIO
	}
	if f.lost == 0 {
		f.synced = slices.Clone(f.data)
	}
	o.disk.Syncs++
	return nil
}

// Close implements wal.File.
func (o *openFile) Close() error { return nil }

// Cut shortens a file, as a torn write leaves it.
func (d *Disk) Cut(name string, bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.data = slices.Clone(f.data[:len(f.data)-bytes])
	f.synced = slices.Clone(f.data)
}
