package wal_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/standin"
)

// fullAfter runs write with each amount of free space until it succeeds. While the disk
// is full, write must return ErrDiskFull; it must succeed when there is space again.
func fullAfter(t *testing.T, disk *standin.Disk, write func() error) {
	t.Helper()
	refused := 0
	for free := range 4096 {
		disk.SetFree(free)
		err := write()
		if err == nil {
			require.NotZero(t, refused)
			disk.SetFree(-1)
			return
		}
		require.ErrorIs(t, err, wal.ErrDiskFull)
		refused++
	}
	t.Fatal("the write did not succeed with 4 KB of space")
}

// reopened returns what a restart recovers after a crash that keeps only synced data.
func reopened(t *testing.T, disk *standin.Disk) *wal.Recovered {
	t.Helper()
	disk.Crash(func(int) int { return 0 })
	_, recovered, err := wal.Open(disk)
	require.NoError(t, err)
	return recovered
}

func TestAppendToAFullDiskCanBeRepeated(t *testing.T) {
	disk := standin.NewDisk()
	log, _, err := wal.Open(disk)
	require.NoError(t, err)
	for index := uint64(1); index <= 3; index++ {
		fullAfter(t, disk, func() error {
			return log.Append(&egretmuxv1.HardState{Term: index}, []*egretmuxv1.Entry{entry(index, 1)})
		})
	}
	recovered := reopened(t, disk)
	require.Len(t, recovered.Entries, 3)
	require.Equal(t, uint64(3), recovered.HardState.GetTerm())
}

func TestCrashOnAFullDiskKeepsAcknowledgedEntries(t *testing.T) {
	for free := range 16 {
		disk := standin.NewDisk()
		log, _, err := wal.Open(disk)
		require.NoError(t, err)
		require.NoError(t, log.Append(nil, []*egretmuxv1.Entry{entry(1, 1)}))
		disk.SetFree(free)
		require.ErrorIs(t, log.Append(nil, []*egretmuxv1.Entry{entry(2, 1)}), wal.ErrDiskFull)
		disk.SetFree(-1)
		disk.Crash(func(unsynced int) int { return unsynced }) // the part of the batch survives
		_, recovered, err := wal.Open(disk)
		require.NoError(t, err)
		require.Len(t, recovered.Entries, 1)
	}
}

func TestNewSegmentOnAFullDiskCanBeRepeated(t *testing.T) {
	disk := standin.NewDisk()
	log, _, err := wal.Open(disk)
	require.NoError(t, err)
	log.SetSegmentBytes(1) // each append starts a segment
	for index := uint64(1); index <= 4; index++ {
		fullAfter(t, disk, func() error { return log.Append(nil, []*egretmuxv1.Entry{entry(index, 1)}) })
	}
	require.Len(t, reopened(t, disk).Entries, 4)
}

func TestSnapshotThatDoesNotFitLeavesNoFile(t *testing.T) {
	disk := standin.NewDisk()
	log, _, err := wal.Open(disk)
	require.NoError(t, err)
	before, err := disk.List()
	require.NoError(t, err)
	disk.SetFree(3)
	require.Error(t, log.SaveSnapshot(&egretmuxv1.SnapshotMeta{Index: 1, Term: 1}, writePayload))
	after, err := disk.List()
	require.NoError(t, err)
	require.Equal(t, before, after)
	disk.SetFree(-1)
	require.NoError(t, log.SaveSnapshot(&egretmuxv1.SnapshotMeta{Index: 1, Term: 1}, writePayload))
}

func TestReceivedSnapshotOnAFullDiskCanBeRepeated(t *testing.T) {
	source := standin.NewDisk()
	from, _, err := wal.Open(source)
	require.NoError(t, err)
	meta := &egretmuxv1.SnapshotMeta{Index: 9, Term: 2}
	require.NoError(t, from.SaveSnapshot(meta, writePayload))

	disk := standin.NewDisk()
	log, _, err := wal.Open(disk)
	require.NoError(t, err)
	require.NoError(t, log.Append(nil, []*egretmuxv1.Entry{entry(1, 1)}))
	for offset := uint64(0); ; {
		chunk, last, err := from.ReadChunk(meta, offset, 8)
		require.NoError(t, err)
		fullAfter(t, disk, func() error { return log.WriteChunk(meta, offset, chunk, last) })
		if offset += uint64(len(chunk)); last {
			break
		}
	}
	recovered := reopened(t, disk)
	require.Equal(t, uint64(9), recovered.Snapshot.GetIndex())
	require.Empty(t, recovered.Entries)
}
