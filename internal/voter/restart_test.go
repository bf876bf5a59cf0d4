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

// TestRestoredBackupIsSetAside restores an older copy of a data folder: the
// other voters remember more, and the replica comes back empty with a new
// identity.
func TestRestoredBackupIsSetAside(t *testing.T) {
	cell := startCell(t, 3)
	l := awaitLeader(t, cell)
	var restored *instance
	for _, in := range cell {
		if in != l {
			restored = in
		}
	}
	s, old := restored.voter.settings, restored.voter.id
	restored.close()
	saved, _ := restored.node.Status()
	backup := t.TempDir()
	require.NoError(t, os.CopyFS(backup, os.DirFS(s.DataFolder)))
	open := func() {
		listener, err := net.Listen("tcp", s.Cell.Address)
		require.NoError(t, err)
		restored = openInstance(t, s, listener)
		restored.start(t)
	}
	open()
	require.Equal(t, old, restored.voter.id, "a current data folder goes on")
	_, err := awaitLeader(t, cell).node.Propose(t.Context(), []byte("after the backup"))
	require.NoError(t, err)
	told := func() bool {
		for _, in := range cell {
			p := in.voter.witness.PromiseOf(old)
			if p.Term > saved.Term || p.Term == saved.Term && p.Index > saved.Last {
				return true
			}
		}
		return false
	}
	require.Eventually(t, told, time.Minute, time.Millisecond)

	restored.close()
	folder := t.TempDir()
	require.NoError(t, os.CopyFS(folder, os.DirFS(backup)))
	s.DataFolder = folder
	open()
	require.NotEqual(t, old, restored.voter.id)
	status, _ := restored.node.Status()
	require.Zero(t, status.Term)
	aside, err := filepath.Glob(filepath.Join(folder, "aside-*"))
	require.NoError(t, err)
	require.NotEmpty(t, aside)
}

// BenchmarkRestart measures the opening of a data folder with as many entries
// as lie between two snapshots and behind one.
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
