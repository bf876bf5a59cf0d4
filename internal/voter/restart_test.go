package voter

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/peer"
)

// TestRestoredBackupIsSetAside restores an older copy of a data folder. The other
// voters know newer state of the replica, so it must restart empty and with a new
// identity.
func TestRestoredBackupIsSetAside(t *testing.T) {
	cell := startCell(t, 3)
	leader := awaitLeader(t, cell)
	var restored *instance
	for _, in := range cell {
		if in != leader {
			restored = in
		}
	}
	s, old := restored.voter.settings, restored.voter.id
	restored.close()
	backedUp, _ := restored.node.Status()
	backup := t.TempDir()
	require.NoError(t, os.CopyFS(backup, os.DirFS(s.DataFolder)))
	reopen := func() {
		listener, err := net.Listen("tcp", s.Cell.Address)
		require.NoError(t, err)
		restored = openInstance(t, s, listener)
		restored.start(t)
	}
	reopen()
	require.Equal(t, old, restored.voter.id, "a replica with a current data folder keeps its identity")
	_, err := awaitLeader(t, cell).node.Propose(t.Context(), []byte("after the backup"))
	require.NoError(t, err)
	promiseObserved := func() bool {
		for _, in := range cell {
			p := in.voter.promises.PromiseOf(old)
			if p.Term > backedUp.Term || p.Term == backedUp.Term && p.Index > backedUp.Last {
				return true
			}
		}
		return false
	}
	require.Eventually(t, promiseObserved, time.Minute, time.Millisecond)

	restored.close()
	folder := t.TempDir()
	require.NoError(t, os.CopyFS(folder, os.DirFS(backup)))
	s.DataFolder = folder
	reopen()
	require.NotEqual(t, old, restored.voter.id)
	status, _ := restored.node.Status()
	require.Zero(t, status.Term)
	setAside, err := filepath.Glob(filepath.Join(folder, "aside-*"))
	require.NoError(t, err)
	require.NotEmpty(t, setAside)
}

// BenchmarkRestart measures the opening of a data folder that holds as many
// entries as are written between two snapshots and kept behind one.
func BenchmarkRestart(b *testing.B) {
	const entries, batch = 25_000, 50
	cell := startCell(b, 1)
	in := cell[0]
	data := make([]byte, commandBytes)
	var all []*egretmuxv1.Entry
	awaitLeader(b, cell)
	in.node.Stop()
	status, _ := in.node.Status()
	for i := range uint64(entries) {
		all = append(all, &egretmuxv1.Entry{Index: status.Last + 1 + i, Term: status.Term, Kind: egretmuxv1.EntryKind_ENTRY_KIND_COMMAND, Data: data})
	}
	for i := 0; i < entries; i += batch {
		require.NoError(b, in.voter.log.Append(&egretmuxv1.HardState{Term: status.Term}, all[i:i+batch]))
	}
	in.close()
	dialer, err := peer.NewDialer("key", "")
	require.NoError(b, err)
	b.ResetTimer()
	for range b.N {
		v, err := Open(in.voter.settings, dialer, zerolog.Nop())
		require.NoError(b, err)
		require.Len(b, v.recovered.Entries, entries+int(status.Last))
		require.NoError(b, v.Close())
	}
}
