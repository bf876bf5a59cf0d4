package wal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	identityName     = "identity"
	identityTempName = "identity.tmp"
)

// Identity returns the replica identity of the data folder, creating a random
// one in a folder without a log. A replica whose folder lost its content
// therefore never reuses the identity that voted before. random returns
// uniformly distributed numbers, independent of those of other replicas.
func Identity(disk Disk, random func() uint64) (uint64, error) {
	names, err := disk.List()
	if err != nil {
		return 0, errors.Wrap(err, "data folder cannot be listed")
	}
	hasIdentity, hasSegments, hasSnapshots := false, false, false
	for _, n := range names {
		hasIdentity = hasIdentity || n == identityName
		hasSegments = hasSegments || strings.HasPrefix(n, "log-")
		hasSnapshots = hasSnapshots || strings.HasPrefix(n, "snapshot-0")
	}
	switch {
	case hasIdentity && hasSegments:
		return readIdentity(disk)
	case hasSegments || hasSnapshots:
		return 0, &CorruptionError{File: identityName, Detail: "the folder holds only a part of identity, log and snapshot"}
	default:
		return createIdentity(disk, random)
	}
}

func readIdentity(disk Disk) (uint64, error) {
	data, err := disk.ReadFile(identityName)
	if err != nil {
		return 0, err
	}
	id, err := strconv.ParseUint(strings.TrimSpace(string(data)), 16, 64)
	if err != nil || id == 0 {
		return 0, &CorruptionError{File: identityName, Detail: "not a replica identity"}
	}
	return id, nil
}

func createIdentity(disk Disk, random func() uint64) (uint64, error) {
	id := random() | 1
	file, err := disk.Create(identityTempName)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write([]byte(strconv.FormatUint(id, 16) + "\n")); err != nil {
		return 0, err
	}
	if err := file.Sync(); err != nil {
		return 0, err
	}
	if err := disk.Rename(identityTempName, identityName); err != nil {
		return 0, err
	}
	return id, disk.SyncDir()
}

// SetAside renames the files of a replica that must not run again, so that the
// folder counts as empty. A crash halfway leaves only some of the files in
// place: Identity or Open then returns an error that names the remedy, or the
// replica joins with a new identity.
func SetAside(disk Disk, id uint64) error {
	names, err := disk.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if n != identityName && !strings.HasPrefix(n, "log-") && !strings.HasPrefix(n, "snapshot-") {
			continue
		}
		if err := disk.Rename(n, fmt.Sprintf("aside-%016x-%s", id, n)); err != nil {
			return err
		}
	}
	return disk.SyncDir()
}
