// Package voter runs the consensus replica of an instance that keeps the log: it
// opens the data folder, forms a new cell with the other voters or joins their
// existing one, and makes the replica a member.
package voter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	probeTimeout = time.Second
	// staleCheckTimeout bounds the wait for the other voters at each restart.
	staleCheckTimeout = 300 * time.Millisecond
	probeInterval     = 200 * time.Millisecond
	joinRetryInterval = 100 * time.Millisecond
	joinTimeout       = 3 * time.Second
)

// Voter is the replica of this instance with its data folder.
type Voter struct {
	settings   *settings.Settings
	dialer     *peer.Dialer
	logger     zerolog.Logger
	folder     *wal.Folder
	log        *wal.Log
	recovered  *wal.Recovered
	promises   *consensus.PromiseTracker
	probeVoter probeFunc // probe, unless a test replaces it
	node       atomic.Pointer[consensus.Node]
	streams    streamSet

	mu        sync.Mutex
	id        uint64
	empty     bool // set if nothing was ever written to the log
	transport *peer.Transport
}

// Open opens the data folder. From then on Probe answers other voters; Start starts
// the replica.
func Open(s *settings.Settings, d *peer.Dialer, logger zerolog.Logger) (*Voter, error) {
	v := &Voter{settings: s, dialer: d, logger: logger, promises: consensus.NewPromiseTracker()}
	v.probeVoter = v.probe
	var err error
	if v.folder, err = wal.OpenFolder(s.DataFolder); err != nil {
		return nil, err
	}
	if err := v.open(); err != nil {
		return nil, errors.CombineErrors(err, v.folder.Close())
	}
	return v, nil
}

// open reads the data folder and creates the transport of its replica.
func (v *Voter) open() error {
	id, err := wal.Identity(v.folder, rand.Uint64)
	if err != nil {
		return err
	}
	if v.log, v.recovered, err = wal.Open(v.folder); err != nil {
		return err
	}
	if v.recovered.CutBytes > 0 {
		telemetry.Count("torn_tails_cut_total")
		v.logger.Warn().Str("event", "torn_tail_cut").Int64("bytes", v.recovered.CutBytes).Msg("removed an incomplete write from the end of the log")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.id = id
	v.empty = v.recovered.Empty()
	v.transport = peer.NewTransport(v.dialer, v.replica())
	return nil
}

// Start starts the replica. Before that it sets aside a data folder that is older
// than the state its replica has promised to other voters, and forms a new cell
// if the data folder is empty and this instance is the coordinator.
func (v *Voter) Start(ctx context.Context, machine consensus.StateMachine, onFailure func(error)) (*consensus.Node, error) {
	if !v.recovered.Empty() && v.isDataFolderStale(ctx) {
		if err := v.setAside(); err != nil {
			return nil, err
		}
	}
	if v.recovered.Empty() && v.isCoordinator() {
		if err := v.formOrJoin(ctx); err != nil {
			return nil, err
		}
	}
	return v.StartReplica(machine, onFailure)
}

// Empty reports whether nothing was ever written to the log.
func (v *Voter) Empty() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.empty
}

// Replica returns this instance's replica as a membership lists it.
func (v *Voter) Replica() *egretmuxv1.Replica {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.replica()
}

// Disk returns the data folder. Files other than those of the log may lie there.
func (v *Voter) Disk() wal.Disk { return v.folder }

// Bootstrap writes the first entry of a new cell. It must be called before
// StartReplica, and on exactly one replica of a cell.
func (v *Voter) Bootstrap(members *egretmuxv1.Membership) error { return v.bootstrap(members) }

// StartReplica starts the replica from what the data folder holds.
func (v *Voter) StartReplica(machine consensus.StateMachine, onFailure func(error)) (*consensus.Node, error) {
	s := v.settings
	node, err := consensus.NewNode(consensus.Config{
		ID: v.id, Log: v.log, Recovered: v.recovered, Machine: machine, Transport: v.transport,
		Tick: s.Tick, ElectionTicks: s.ElectionTicks, HeartbeatTicks: s.HeartbeatTicks,
		SnapshotEntries: s.SnapshotEntries, Logger: v.logger, OnFailure: onFailure,
	})
	if err != nil {
		return nil, err
	}
	v.recovered = nil // the replica holds the entries from now on
	v.node.Store(node)
	go node.Run()
	return node, nil
}

// setAside renames the files of the data folder and continues with an empty log
// and a new identity.
func (v *Voter) setAside() error {
	old := v.id
	v.transport.Close()
	if err := v.log.Close(); err != nil {
		return err
	}
	if err := wal.SetAside(v.folder, old); err != nil {
		return err
	}
	telemetry.Count("stale_data_folders_total")
	v.logger.Warn().Str("event", "stale_data_folder_set_aside").Uint64("replica", old).
		Msg("the data folder is older than what its replica told the others; the replica joins anew, and files named aside-* can be removed")
	return v.open()
}

func (v *Voter) replica() *egretmuxv1.Replica {
	return &egretmuxv1.Replica{Id: v.id, Instance: v.settings.Instance, Address: v.settings.Cell.Address}
}

// Join makes the replica a voter at its current address, replacing any earlier
// replicas of its instance. It returns when that is done or the context ends. The
// replica's own log does not suffice: if it was removed, the log still lists it.
func (v *Voter) Join(ctx context.Context, leader *peer.LeaderClient) {
	lastError := ""
	for {
		err := v.joinOnce(ctx, leader)
		if err == nil && v.isJoined() {
			break
		}
		if err != nil && err.Error() != lastError {
			lastError = err.Error()
			v.logger.Info().Err(err).Str("event", "replica_joining").Msg("could not join the cell yet; trying again")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinRetryInterval):
		}
	}
	v.logger.Info().Str("event", "replica_joined").Msg("the replica is a voter of the cell")
}

func (v *Voter) isJoined() bool {
	status, _ := v.node.Load().Status()
	return status.MembershipCommitted && isMember(status.Membership, v.replica())
}

// isMember reports whether a membership has the replica as a voter at its
// address and as the only replica of its instance. An earlier replica of the
// instance would count for the quorum and never answer.
func isMember(m *egretmuxv1.Membership, self *egretmuxv1.Replica) bool {
	present := false
	for _, r := range m.GetReplicas() {
		if r.GetInstance() != self.GetInstance() {
			continue
		}
		if r.GetId() != self.GetId() || r.GetLearner() || r.GetAddress() != self.GetAddress() {
			return false
		}
		present = true
	}
	return present
}

func (v *Voter) joinOnce(ctx context.Context, leader *peer.LeaderClient) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		_, err := c.Cell.JoinReplica(ctx, connect.NewRequest(&egretmuxv1.JoinReplicaRequest{
			Instance: v.settings.Instance, Address: v.settings.Cell.Address, Replica: v.id,
		}))
		return err
	})
}

// Close stops the replica and releases the data folder.
func (v *Voter) Close() error {
	if node := v.node.Load(); node != nil {
		node.Stop()
	}
	v.transport.Close()
	return errors.CombineErrors(v.log.Close(), v.folder.Close())
}
