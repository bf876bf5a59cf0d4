package voter

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
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

// fakeLeader refuses the first calls by which a replica joins.
type fakeLeader struct {
	egretmuxv1connect.UnimplementedCellServiceHandler
	refusals int64
	calls    atomic.Int64
}

func (f *fakeLeader) JoinReplica(context.Context, *connect.Request[egretmuxv1.JoinReplicaRequest]) (*connect.Response[egretmuxv1.JoinReplicaResponse], error) {
	if f.calls.Add(1) <= f.refusals {
		return nil, refusalrpc.Error(refusal.New(refusal.Draining, "the instance repeats the call by itself", "not a voter yet"))
	}
	return connect.NewResponse(&egretmuxv1.JoinReplicaResponse{}), nil
}

// Guards against a voter that is missing for good: a data folder that another one had
// replaced is put back, and its log still lists its replica as a voter.
func TestReplicaJoinsUntilTheLeaderListsItWhateverItsOwnLogSays(t *testing.T) {
	cell := startCell(t, 1)
	awaitLeader(t, cell)
	require.Eventually(t, cell[0].voter.isJoined, time.Minute, time.Millisecond)
	leader := &fakeLeader{refusals: 2}
	mux := http.NewServeMux()
	mux.Handle(egretmuxv1connect.NewCellServiceHandler(leader))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	client := peer.NewLeaderClient(cell[0].voter.dialer, []string{server.Listener.Addr().String()}, func() string { return "" })
	cell[0].voter.Join(t.Context(), client)
	require.Equal(t, leader.refusals+1, leader.calls.Load())
}
