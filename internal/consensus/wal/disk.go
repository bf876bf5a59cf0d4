// Package wal stores a replica's log, hard state and snapshots on disk.
//
// Guarantees:
//   - data acknowledged by Append or SaveSnapshot survives a crash of the
//     process or the machine;
//   - a tail that was being written when the machine crashed is truncated;
//   - damage anywhere else is reported with file and offset, and never skipped;
//   - after a failed write or sync nothing more is acknowledged, except that a call
//     refused by a full disk has no effect and can be repeated.
package wal

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/cockroachdb/errors"
)

// File is an open file of a Disk.
type File interface {
	io.Writer
	io.ReaderAt
	Sync() error
	Truncate(size int64) error // the next Write follows at size
	Close() error
}

// Disk provides access to the data folder. Names are plain file names within it.
type Disk interface {
	List() ([]string, error)
	Create(name string) (File, error) // truncates an existing file
	Open(name string) (File, error)   // opens an existing file for reading and appending
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

const (
	folderMode = 0o750
	fileMode   = 0o640
	lockName   = "LOCK"
)

// Folder is a Disk in a directory of the file system, which it locks against
// use by a second process.
type Folder struct {
	path string
	lock *os.File
}

// OpenFolder creates the directory if needed and locks it.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrapf(err, "data folder %s cannot be created; check its parent and permissions", path)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrapf(err, "data folder %s is not writable; check its permissions", path)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Newf("data folder %s is used by another process; stop it or set another folder", path)
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

func (f *Folder) pathOf(name string) string { return filepath.Join(f.path, name) }

// List returns the names of the files, sorted.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Create opens a new, empty file.
func (f *Folder) Create(name string) (File, error) {
	file, err := os.OpenFile(f.pathOf(name), os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode)
	return folderFile{file}, err
}

// Open opens an existing file for reading and appending.
func (f *Folder) Open(name string) (File, error) {
	file, err := os.OpenFile(f.pathOf(name), os.O_APPEND|os.O_RDWR, fileMode)
	return folderFile{file}, err
}

type folderFile struct{ *os.File }

// Sync implements File.
func (f folderFile) Sync() error {
	delaySync()
	return f.File.Sync()
}

// Truncate implements File.
func (f folderFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	_, err := f.Seek(size, io.SeekStart)
	return err
}

// ReadFile returns a file's content.
func (f *Folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.pathOf(name)) }

// Rename renames a file, replacing an existing one of the new name.
func (f *Folder) Rename(from, to string) error { return os.Rename(f.pathOf(from), f.pathOf(to)) }

// Remove deletes a file.
func (f *Folder) Remove(name string) error { return os.Remove(f.pathOf(name)) }

// SyncDir makes file creations, renames and removals durable.
func (f *Folder) SyncDir() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	delaySync()
	return dir.Sync()
}
