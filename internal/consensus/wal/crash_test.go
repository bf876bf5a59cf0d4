package wal_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/standin"
)

const testSegmentBytes = 200

// workload performs the writes of a replica and records what was acknowledged.
type workload struct {
	log      *wal.Log
	snapshot *egretmuxv1.SnapshotMeta
	term     uint64
	vote     uint64
	entries  map[uint64]uint64 // terms of the acknowledged entries after the snapshot, by index
	last     uint64

	// Values of the newest call. If it failed, they may or may not be on disk.
	attemptedTerm     uint64
	attemptedSnapshot uint64
}

func entry(index, term uint64) *egretmuxv1.Entry {
	return &egretmuxv1.Entry{Index: index, Term: term, Kind: egretmuxv1.EntryKind_ENTRY_KIND_COMMAND, Data: []byte(fmt.Sprintf("%d-%d", index, term))}
}

// append replaces the log from first on with count entries of the term.
func (w *workload) append(term, vote, first uint64, count int) error {
	var entries []*egretmuxv1.Entry
	for i := range uint64(count) {
		entries = append(entries, entry(first+i, term))
	}
	w.attemptedTerm = term
	if first <= w.last {
		// If the call fails, either the old or the new tail may be recovered.
		for i := first; i <= w.last; i++ {
			delete(w.entries, i)
		}
	}
	if err := w.log.Append(&egretmuxv1.HardState{Term: term, Vote: vote}, entries); err != nil {
		return err
	}
	w.term, w.vote = term, vote
	for _, e := range entries {
		w.entries[e.GetIndex()] = term
	}
	if count > 0 {
		w.last = first + uint64(count) - 1
	}
	return nil
}

func (w *workload) saveSnapshot(index, term uint64) error {
	meta := &egretmuxv1.SnapshotMeta{Index: index, Term: term}
	w.attemptedSnapshot = index
	if err := w.log.SaveSnapshot(meta, writePayload); err != nil {
		return err
	}
	w.recordSnapshot(meta)
	return w.log.Compact(index - 1)
}

func writePayload(out io.Writer) error {
	_, err := out.Write([]byte("the state"))
	return err
}

func (w *workload) recordSnapshot(meta *egretmuxv1.SnapshotMeta) {
	w.snapshot = meta
	for i := range w.entries {
		if i <= meta.GetIndex() {
			delete(w.entries, i)
		}
	}
}

// installSnapshot receives a snapshot that replaces the whole log.
func (w *workload) installSnapshot(index, term uint64) error {
	source := standin.NewDisk()
	other, _, err := wal.Open(source)
	if err != nil {
		return err
	}
	meta := &egretmuxv1.SnapshotMeta{Index: index, Term: term}
	if err := other.SaveSnapshot(meta, writePayload); err != nil {
		return err
	}
	w.attemptedSnapshot = index
	for offset := uint64(0); ; {
		chunk, last, err := other.ReadChunk(meta, offset, 10)
		if err != nil {
			return err
		}
		if last {
			clear(w.entries) // the failed call may or may not have published the snapshot
		}
		if err := w.log.WriteChunk(meta, offset, chunk, last); err != nil {
			return err
		}
		offset += uint64(len(chunk))
		if last {
			break
		}
	}
	w.recordSnapshot(meta)
	w.last = index
	return nil
}

// run performs every kind of write and stops at the first error.
func (w *workload) run() error {
	steps := []func() error{
		func() error { return w.append(1, 1, 1, 5) },
		func() error { return w.append(1, 1, 6, 5) },
		func() error { return w.append(2, 3, 8, 4) }, // replaces 8 to 10
		func() error { return w.append(3, 0, 0, 0) },
		func() error { return w.saveSnapshot(9, 2) },
		func() error { return w.append(4, 1, 11, 6) }, // replaces 11
		func() error { return w.append(4, 1, 17, 6) },
		func() error { return w.saveSnapshot(20, 4) },
		func() error { return w.append(5, 1, 23, 9) },
		func() error { return w.installSnapshot(27, 6) }, // entries 28 to 31 are of another term
		func() error { return w.append(6, 2, 28, 2) },
		func() error { return w.append(6, 2, 30, 8) },
		func() error { return w.saveSnapshot(33, 6) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// check verifies that everything acknowledged was recovered.
func (w *workload) check(t *testing.T, rec *wal.Recovered, at string) {
	t.Helper()
	term, vote, last := rec.Position()
	require.GreaterOrEqual(t, term, w.term, at)
	if term == w.term && w.attemptedTerm == w.term {
		require.Equal(t, w.vote, vote, at)
	}
	index := rec.Snapshot.GetIndex()
	require.GreaterOrEqual(t, index, w.snapshot.GetIndex(), at)
	if index != w.snapshot.GetIndex() {
		require.Equal(t, w.attemptedSnapshot, index, at)
	}
	found := make(map[uint64]uint64)
	for i, e := range rec.Entries {
		require.Equal(t, index+uint64(i)+1, e.GetIndex(), at)
		require.Equal(t, fmt.Sprintf("%d-%d", e.GetIndex(), e.GetTerm()), string(e.GetData()), at)
		found[e.GetIndex()] = e.GetTerm()
	}
	for i, want := range w.entries {
		if i > index {
			require.Equal(t, want, found[i], "%s: entry %d", at, i)
		}
	}
	_ = last
}

// TestCrashAtEveryDiskOperation crashes the machine at each disk operation of a
// workload, and again during several recoveries, and checks that nothing
// acknowledged is lost.
func TestCrashAtEveryDiskOperation(t *testing.T) {
	unsyncedKept := map[string]func(*rand.Rand) func(int) int{
		"nothing unsynced survives":    func(*rand.Rand) func(int) int { return func(int) int { return 0 } },
		"everything unsynced survives": func(*rand.Rand) func(int) int { return func(n int) int { return n } },
		"writes are torn":              func(r *rand.Rand) func(int) int { return func(n int) int { return r.IntN(n + 1) } },
	}
	for name, keep := range unsyncedKept {
		t.Run(name, func(t *testing.T) {
			for operations := 1; ; operations++ {
				if !crashAt(t, operations, keep(rand.New(rand.NewPCG(uint64(operations), 1)))) {
					require.Greater(t, operations, 50)
					return
				}
			}
		})
	}
}

// Guards against a data folder that can never be opened again after a loss of power during its first start.
func TestFolderCanBeOpenedAfterACrashDuringItsFirstStart(t *testing.T) {
	const seeds, mostOperations = 100, 40
	for seed := range uint64(seeds) {
		for operations := range mostOperations {
			random := rand.New(rand.NewPCG(seed, uint64(operations)))
			keep := func(unsynced int) int { return random.IntN(unsynced + 1) }
			disk := standin.NewDisk()
			disk.DieAfter(operations)
			if _, err := wal.Identity(disk, random.Uint64); err == nil {
				if log, _, err := wal.Open(disk); err == nil {
					_ = log.Append(&egretmuxv1.HardState{Term: 1, Vote: 1}, []*egretmuxv1.Entry{entry(1, 1)}) // may fail
				}
			}
			disk.Crash(keep)
			_, err := wal.Identity(disk, random.Uint64)
			require.NoError(t, err, "seed %d, crash after %d operations", seed, operations)
			_, _, err = wal.Open(disk)
			require.NoError(t, err, "seed %d, crash after %d operations", seed, operations)
		}
	}
}

// crashAt reports whether the crash interrupted the workload.
func crashAt(t *testing.T, operations int, keep func(int) int) bool {
	t.Helper()
	at := fmt.Sprintf("crash after %d operations", operations)
	disk := standin.NewDisk()
	w := &workload{entries: make(map[uint64]uint64)}
	id, err := wal.Identity(disk, rand.Uint64)
	require.NoError(t, err)
	w.log, _, err = wal.Open(disk)
	require.NoError(t, err)
	w.log.SetSegmentBytes(testSegmentBytes)
	disk.DieAfter(operations)
	interrupted := w.run() != nil
	for attempt := range 4 { // the recovery is interrupted as well
		disk.Crash(keep)
		disk.DieAfter(operations % (attempt + 2))
		_, _, _ = wal.Open(disk)
	}
	disk.Crash(keep)
	kept, err := wal.Identity(disk, rand.Uint64)
	require.NoError(t, err, at)
	require.Equal(t, id, kept, "%s: the replica has forgotten its votes", at)
	log, rec, err := wal.Open(disk)
	require.NoError(t, err, at)
	w.check(t, rec, at)
	// The recovered log accepts new entries.
	w.log = log
	term, _, last := rec.Position()
	clear(w.entries)
	w.last = last
	w.snapshot = rec.Snapshot
	require.NoError(t, w.append(term+1, 1, last+1, 3), at)
	disk.Crash(keep)
	_, rec, err = wal.Open(disk)
	require.NoError(t, err, at)
	w.check(t, rec, at)
	return interrupted
}
