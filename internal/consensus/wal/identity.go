package wal

import (
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	identityName = "identity"
	identityTemp = "identity.tmp"
)

// Identity returns the replica identity of the data folder, creating a random
// one in an empty folder. A folder that lost its content therefore never
// speaks with the identity that voted before.
func Identity(disk Disk) (uint64, error) {
	names, err := disk.List()
	if err != nil {
		return 0, errors.Wrap(err, "data folder cannot be listed")
	}
	for _, n := range names {
		if n == identityName {
			return readIdentity(disk)
		}
	}
	for _, n := range names {
		if strings.HasPrefix(n, "log-") || strings.HasPrefix(n, "snapshot-") {
			return 0, &CorruptionError{File: identityName, Detail: "the file is missing although the folder holds a log"}
		}
	}
	return createIdentity(disk)
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

func createIdentity(disk Disk) (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, err
	}
	id := binary.LittleEndian.Uint64(raw[:]) | 1
	file, err := disk.Create(identityTemp)
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
	if err := disk.Rename(identityTemp, identityName); err != nil {
		return 0, err
	}
	return id, disk.SyncDir()
}
