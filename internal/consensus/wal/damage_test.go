package wal_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/standin"
)

func TestDamage(t *testing.T) {
	var disk *standin.Disk
	datadriven.RunTest(t, "testdata/damage", func(t *testing.T, d *datadriven.TestData) string {
		var file string
		var offset, bytes int
		d.MaybeScanArgs(t, "file", &file)
		d.MaybeScanArgs(t, "offset", &offset)
		d.MaybeScanArgs(t, "bytes", &bytes)
		switch d.Cmd {
		case "write":
			disk = standin.NewDisk()
			return writeBatches(t, d, disk)
		case "damage":
			disk.Damage(file, offset)
		case "tear":
			disk.Cut(newestSegment(t, disk), bytes)
		case "remove":
			removeFiles(t, disk, file)
		default:
			d.Fatalf(t, "unknown command %s", d.Cmd)
		}
		return describeRecovery(disk)
	})
}

func TestNothingIsWrittenAfterAFailure(t *testing.T) {
	disk := standin.NewDisk()
	log, _, err := wal.Open(disk)
	require.NoError(t, err)
	disk.FailSyncs(true)
	require.Error(t, log.Append(nil, []*egretmuxv1.Entry{entry(1, 1)}))
	disk.FailSyncs(false)
	require.ErrorIs(t, log.Append(nil, []*egretmuxv1.Entry{entry(1, 1)}), wal.ErrStopped)
}

// TestSnapshotBeingSentIsKept saves newer snapshots while one is read in chunks
// for a replica.
func TestSnapshotBeingSentIsKept(t *testing.T) {
	disk := standin.NewDisk()
	log, _, err := wal.Open(disk)
	require.NoError(t, err)
	meta := func(index uint64) *egretmuxv1.SnapshotMeta { return &egretmuxv1.SnapshotMeta{Index: index, Term: 1} }
	require.NoError(t, log.SaveSnapshot(meta(1), writePayload))
	for i := uint64(2); i < 8; i++ {
		_, _, err := log.ReadChunk(meta(1), 0, 4)
		require.NoError(t, err)
		require.NoError(t, log.SaveSnapshot(meta(i), writePayload))
	}
	require.NoError(t, log.SaveSnapshot(meta(8), writePayload))
	require.NoError(t, log.SaveSnapshot(meta(9), writePayload))
	_, _, err = log.ReadChunk(meta(1), 0, 4)
	require.ErrorIs(t, err, wal.ErrNoSnapshot)
	names, err := disk.List()
	require.NoError(t, err)
	require.Len(t, names, 3, "one segment and two snapshots")
}

// writeBatches writes one entry in each batch.
func writeBatches(t *testing.T, d *datadriven.TestData, disk *standin.Disk) string {
	t.Helper()
	batches, segment, snapshot := 0, 1<<20, 0
	d.ScanArgs(t, "batches", &batches)
	d.MaybeScanArgs(t, "segment", &segment)
	d.MaybeScanArgs(t, "snapshot", &snapshot)
	_, err := wal.Identity(disk, func() uint64 { return 5 })
	require.NoError(t, err)
	log, _, err := wal.Open(disk)
	require.NoError(t, err)
	log.SetSegmentBytes(int64(segment))
	for i := range uint64(batches) {
		hard := &egretmuxv1.HardState{Term: 1, Vote: 1, Commit: i}
		require.NoError(t, log.Append(hard, []*egretmuxv1.Entry{entry(i+1, 1)}))
	}
	if snapshot > 0 {
		require.NoError(t, log.SaveSnapshot(&egretmuxv1.SnapshotMeta{Index: uint64(snapshot), Term: 1}, writePayload))
	}
	names, err := disk.List()
	require.NoError(t, err)
	return strings.Join(names, "\n") + "\n"
}

func newestSegment(t *testing.T, disk *standin.Disk) string {
	t.Helper()
	names, err := disk.List()
	require.NoError(t, err)
	newest := ""
	for _, n := range names {
		if strings.HasPrefix(n, "log-") {
			newest = n
		}
	}
	return newest
}

func removeFiles(t *testing.T, disk *standin.Disk, pattern string) {
	t.Helper()
	names, err := disk.List()
	require.NoError(t, err)
	prefix, all := strings.CutSuffix(pattern, "*")
	for _, n := range names {
		if n == pattern || all && strings.HasPrefix(n, prefix) {
			require.NoError(t, disk.Remove(n))
		}
	}
}

// describeRecovery returns what a restarted replica recovers.
func describeRecovery(disk *standin.Disk) string {
	id, err := wal.Identity(disk, func() uint64 { return 8 })
	if err != nil {
		return err.Error() + "\n"
	}
	_, rec, err := wal.Open(disk)
	if err != nil {
		return err.Error() + "\n"
	}
	term, vote, last := rec.Position()
	return fmt.Sprintf("identity %d, term %d, vote %d, last entry %d, cut %d bytes\n", id, term, vote, last, rec.CutBytes)
}
