package jobcell

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
)

// Guards against an instance that ended, or stood still, as it started since its data folder could not be opened, and
// so was silent to the operator and to callers, whom it serves without its replica.
func TestInstanceServesWithoutItsReplicaUntilItsDataFolderCanBeOpened(t *testing.T) {
	for name, block := range map[string]func(t *testing.T, folder string) (release func()){
		"in use":         lockFolder,
		"disk hangs":     hangIdentity,
		"file is broken": breakIdentity,
	} {
		t.Run(name, func(t *testing.T) {
			const disks = 3
			instances := startCell(t, disks+1, disks)
			require.NoError(t, instances[disks].cell.PutCatalogue(t.Context(), &egretmuxv1.Catalogue{Version: 1, Source: []byte("configuration")}))
			blocked := instances[0]
			if blocked == leaderOf(instances) {
				blocked = instances[1]
			}
			blocked.kill()
			release := block(t, blocked.folder)
			blocked.restart()
			require.Eventually(t, blocked.cell.Ready, redundancyBound, checkPeriod, "the instance does not serve")
			read, err := blocked.cell.Catalogue(t.Context())
			require.NoError(t, err)
			require.Equal(t, "configuration", string(read))
			require.Nil(t, blocked.cell.voter())
			release()
			require.Eventually(t, func() bool { return blocked.cell.voter() != nil && liveVoters(instances) == disks }, redundancyBound, checkPeriod, "the replica is not back")
		})
	}
}

func lockFolder(t *testing.T, folder string) (release func()) {
	held, err := wal.OpenFolder(folder)
	require.NoError(t, err)
	return func() { require.NoError(t, held.Close()) }
}

// hangIdentity replaces a file by a pipe that nobody writes to.
func hangIdentity(t *testing.T, folder string) (release func()) {
	path := filepath.Join(folder, "identity")
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.Remove(path))
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	return func() { require.NoError(t, os.WriteFile(path, content, 0o600)) }
}

func breakIdentity(t *testing.T, folder string) (release func()) {
	path := filepath.Join(folder, "identity")
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	return func() { require.NoError(t, os.WriteFile(path, content, 0o600)) }
}

// Guards against voters that are taken for restored backups and set aside when all of them start again at the same
// moment, which would leave the cell without a majority.
func TestReplicasThatAllStartAgainKeepTheirIdentities(t *testing.T) {
	const disks = 3
	instances := startCell(t, disks, disks)
	require.NoError(t, instances[0].cell.PutCatalogue(t.Context(), &egretmuxv1.Catalogue{Version: 1, Source: []byte("configuration")}))
	var before []uint64
	for _, i := range instances {
		before = append(before, i.cell.voter().Replica().GetId())
	}
	for _, i := range instances {
		i.kill()
	}
	for _, i := range instances {
		i.restart()
	}
	require.Eventually(t, func() bool { return liveVoters(instances) == disks }, redundancyBound, checkPeriod)
	for n, i := range instances {
		require.Equal(t, before[n], i.cell.voter().Replica().GetId())
		read, err := i.cell.Catalogue(t.Context())
		require.NoError(t, err)
		require.Equal(t, "configuration", string(read))
	}
}
