package jobcell

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/discovery"
	"github.com/egretmux/egretmux/internal/standin"
)

// oldSeedsBound is the users' bound for a restart: an instance that was found serves within it.
const oldSeedsBound = 12 * time.Second

// directoryOf returns a directory that knows the given members.
func directoryOf(members ...string) *discovery.Directory {
	now := time.Now()
	d := discovery.New(func() *egretmuxv1.Member { return &egretmuxv1.Member{Address: "10.0.0.1:7720"} }, nil, rand.New(rand.NewPCG(1, 2)), now)
	for _, address := range members {
		d.HandleAnnouncement(&egretmuxv1.AnnounceMemberRequest{Member: &egretmuxv1.Member{Address: address}}, now)
	}
	return d
}

// Guards against members that are known to no replica after a loss of power during a write, and
// against a file that is half of one list and half of another.
func TestMemberFileHoldsAWholeListAfterACrashAtAnyPoint(t *testing.T) {
	before, after := []string{"10.0.0.2:7720"}, []string{"10.0.0.2:7720", "10.0.0.3:7720", "10.0.0.4:7720"}
	for mutations := range 12 {
		for seed := range uint64(20) {
			disk, random := standin.NewDisk(), rand.New(rand.NewPCG(seed, uint64(mutations)))
			f := newMemberFile(disk, zerolog.Nop())
			f.update(directoryOf(before...), time.Now())
			disk.DieAfter(mutations)
			err := f.write(after)
			disk.Crash(func(unsynced int) int { return random.IntN(unsynced + 1) })
			var log bytes.Buffer
			read := newMemberFile(disk, zerolog.New(&log)).read()
			require.NotContains(t, log.String(), "members_not_read")
			if err == nil {
				require.Equal(t, after, read)
			} else {
				require.True(t, slices.Equal(before, read) || slices.Equal(after, read), "%v", read)
			}
		}
	}
}

func TestDamagedMemberFileCostsAWarning(t *testing.T) {
	disk := standin.NewDisk()
	f := newMemberFile(disk, zerolog.Nop())
	require.Empty(t, f.read(), "none is there yet")
	f.update(directoryOf("10.0.0.2:7720", "10.0.0.3:7720"), time.Now())
	whole, err := disk.ReadFile(memberFileName)
	require.NoError(t, err)
	for length := range len(whole) {
		rewrite(t, disk, whole[:length])
		var log bytes.Buffer
		require.Empty(t, newMemberFile(disk, zerolog.New(&log)).read(), "%d bytes", length)
		require.Contains(t, log.String(), "members_not_read")
	}
	rewrite(t, disk, whole)
	for offset := range len(whole) {
		disk.Damage(memberFileName, offset)
		require.Empty(t, newMemberFile(disk, zerolog.Nop()).read(), "byte %d", offset)
		rewrite(t, disk, whole)
	}
	again := newMemberFile(disk, zerolog.Nop())
	require.Equal(t, []string{"10.0.0.2:7720", "10.0.0.3:7720"}, again.read())
}

func rewrite(t *testing.T, disk *standin.Disk, content []byte) {
	t.Helper()
	file, err := disk.Create(memberFileName)
	require.NoError(t, err)
	_, err = file.Write(content)
	require.NoError(t, err)
}

// Guards against a full disk whose last space the list takes from the log, and a list that stays old
// after that.
func TestMembersAreWrittenOnceAFullDiskHasSpaceAgain(t *testing.T) {
	for free := range 40 {
		disk := standin.NewDisk()
		var log bytes.Buffer
		f, now := newMemberFile(disk, zerolog.New(&log)), time.Now()
		f.update(directoryOf("10.0.0.2:7720"), now)
		disk.SetFree(free)
		f.version = 0 // of another directory
		d := directoryOf("10.0.0.2:7720", "10.0.0.3:7720", "10.0.0.4:7720")
		for range 3 {
			f.update(d, now)
		}
		require.Equal(t, 1, bytes.Count(log.Bytes(), []byte("members_not_written")), "%d bytes free", free)
		names, err := disk.List()
		require.NoError(t, err)
		require.Equal(t, []string{memberFileName}, names)
		require.Equal(t, []string{"10.0.0.2:7720"}, newMemberFile(disk, zerolog.Nop()).read())
		disk.SetFree(-1)
		f.update(d, now.Add(memberFileRetry))
		require.Len(t, newMemberFile(disk, zerolog.Nop()).read(), 3)
	}
}

// Guards against a data folder that is taken for one of a replica, or for a damaged one, since the
// file lies in it.
func TestMemberFileIsNoPartOfTheLog(t *testing.T) {
	path := t.TempDir()
	folder, err := wal.OpenFolder(path)
	require.NoError(t, err)
	defer func() { require.NoError(t, folder.Close()) }()
	f := newMemberFile(folder, zerolog.Nop())
	f.update(directoryOf("10.0.0.2:7720"), time.Now())
	require.NoError(t, os.WriteFile(filepath.Join(path, memberFileTempName), []byte("torn"), 0o600))
	id, err := wal.Identity(folder, rand.Uint64)
	require.NoError(t, err)
	log, recovered, err := wal.Open(folder)
	require.NoError(t, err)
	require.True(t, recovered.Empty())
	require.NoError(t, log.Append(nil, []*egretmuxv1.Entry{{Index: 1, Term: 1}}))
	require.NoError(t, log.Close())
	require.NoError(t, wal.SetAside(folder, id))
	renewed, err := wal.Identity(folder, rand.Uint64)
	require.NoError(t, err)
	require.NotEqual(t, id, renewed)
	require.Equal(t, []string{"10.0.0.2:7720"}, newMemberFile(folder, zerolog.Nop()).read())
}

// hangingDisk does not return from any change until it is released.
type hangingDisk struct {
	wal.Disk
	called   chan struct{}
	released chan struct{}
}

func (d *hangingDisk) Create(name string) (wal.File, error) {
	close(d.called)
	<-d.released
	return d.Disk.Create(name)
}

// Guards against a disk that hangs under the list of members and keeps an instance from the cell.
func TestHangingMemberFileHoldsUpNeitherDiscoveryNorTheReplica(t *testing.T) {
	all := startCell(t, 3, 3)
	i := all[0]
	i.kill()
	listener, err := net.Listen("tcp", i.address)
	require.NoError(t, err)
	hanging := &hangingDisk{called: make(chan struct{}), released: make(chan struct{})}
	i.configure = func(c *Cell) {
		members := c.folder.Load().members
		hanging.Disk = members.disk
		members.disk, members.written, members.version = hanging, nil, 0
	}
	i.start(listener, false)
	defer close(hanging.released)
	select {
	case <-hanging.called:
	case <-time.After(formationBound):
		require.Fail(t, "the members were not written")
	}
	all[1].kill()
	require.Eventually(t, func() bool { return leaderOf([]*liveInstance{i, all[2]}) != nil && i.cell.Ready() }, formationBound, checkPeriod)
}

// Guards against an instance that never finds the cell after all have lost power, as all its seeds
// have been replaced and only the others' disks tell of it.
func TestInstanceWithOldSeedsIsReadyAfterAllLostPower(t *testing.T) {
	all := startCell(t, 6, 3)
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(all[:3], func(i *liveInstance) bool { return len(newMemberFile(i.cell.voter().Disk(), zerolog.Nop()).read()) < 5 })
	}, formationBound, checkPeriod, "not all members are on disk")
	for round, lost := range []*liveInstance{nil, all[0], all[2]} {
		for n, i := range all {
			i.kill()
			i.seeds = []string{all[0].address, all[1].address, all[2].address}
			if n >= 3 {
				i.seeds = []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
			}
			if i == lost {
				require.NoError(t, os.RemoveAll(i.folder))
			}
		}
		for _, i := range all {
			i.restart()
		}
		require.Eventually(t, func() bool {
			return !slices.ContainsFunc(all, func(i *liveInstance) bool { return !i.cell.Ready() })
		}, oldSeedsBound, checkPeriod, fmt.Sprintf("round %d", round))
		require.Eventually(t, func() bool { return liveVoters(all) >= 3 }, formationBound, checkPeriod)
	}
}
