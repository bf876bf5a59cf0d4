package voter

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/settings"
)

// counter is a state machine that counts commands.
type counter struct{ count atomic.Uint64 }

func (c *counter) Apply(uint64, []byte) any { return c.count.Add(1) }

func (c *counter) Capture() func(io.Writer) error {
	value := binary.LittleEndian.AppendUint64(nil, c.count.Load())
	return func(w io.Writer) error {
		_, err := w.Write(value)
		return err
	}
}

func (c *counter) Restore(data []byte) error {
	c.count.Store(binary.LittleEndian.Uint64(data))
	return nil
}

// instance is a voter with its state machine and its server.
type instance struct {
	voter   *Voter
	node    *consensus.Node
	machine *counter
	server  *http.Server
	bytes   *atomic.Int64 // sent and received on all listeners of the cell
}

// startCell forms a cell of voters on loopback with real disks.
func startCell(tb testing.TB, count int) []*instance {
	tb.Helper()
	listeners := make([]net.Listener, count)
	bytes := new(atomic.Int64)
	var voters []settings.Voter
	for i := range listeners {
		var err error
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(tb, err)
		voters = append(voters, settings.Voter{Instance: fmt.Sprintf("i%d", i), Address: listeners[i].Addr().String()})
	}
	cell := make([]*instance, count)
	for i := range cell {
		s := &settings.Settings{
			Instance: voters[i].Instance, DataFolder: tb.TempDir(), Voters: voters,
			Cell: settings.Listener{Address: voters[i].Address},
			Tick: 50 * time.Millisecond, ElectionTicks: 10, HeartbeatTicks: 2, SnapshotEntries: 20_000,
		}
		cell[i] = openInstance(tb, s, countingListener{listeners[i], bytes})
		cell[i].bytes = bytes
	}
	for i := len(cell) - 1; i >= 0; i-- {
		cell[i].start(tb)
	}
	return cell
}

func openInstance(tb testing.TB, s *settings.Settings, l net.Listener) *instance {
	tb.Helper()
	dialer, err := peer.NewDialer("key", "")
	require.NoError(tb, err)
	v, err := Open(s, dialer, zerolog.Nop())
	require.NoError(tb, err)
	mux := http.NewServeMux()
	mux.Handle(v.Handler())
	server := &http.Server{Handler: peer.RequireKey("key", mux), Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(l) }()
	in := &instance{voter: v, machine: &counter{}, server: server}
	tb.Cleanup(in.close)
	return in
}

func (in *instance) start(tb testing.TB) {
	tb.Helper()
	node, err := in.voter.Start(tb.Context(), in.machine, func(err error) { tb.Error(err) })
	require.NoError(tb, err)
	in.node = node
}

func (in *instance) close() {
	if in.server == nil {
		return
	}
	_ = in.server.Close()
	in.server = nil
	_ = in.voter.Close()
}

// awaitLeader returns the instance that leads.
func awaitLeader(tb testing.TB, cell []*instance) *instance {
	tb.Helper()
	ctx, cancel := context.WithTimeout(tb.Context(), time.Minute)
	defer cancel()
	for {
		for _, in := range cell {
			if in.server == nil {
				continue
			}
			if status, _ := in.node.Status(); status.Role == core.Leader && in.node.ConfirmLeader(ctx) == nil {
				return in
			}
		}
		select {
		case <-ctx.Done():
			tb.Fatal("no leader")
		case <-time.After(time.Millisecond):
		}
	}
}
