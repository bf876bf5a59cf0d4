// Package voter brings up the replica of an instance that keeps the log: it
// opens the data folder, forms a new cell with the other voters or joins the
// one they have, and keeps the replica a member.
package voter

import (
	"context"
	"math/rand/v2"
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
)

const (
	probeTimeout = time.Second
	probePause   = 200 * time.Millisecond
	joinPause    = 500 * time.Millisecond
	joinTimeout  = 3 * time.Second
)

// Voter is the replica of this instance with its data folder.
type Voter struct {
	settings  *settings.Settings
	dialer    *peer.Dialer
	logger    zerolog.Logger
	folder    *wal.Folder
	log       *wal.Log
	recovered *wal.Recovered
	id        uint64
	empty     atomic.Bool // nothing was ever written to the log
	transport *peer.Transport
	node      atomic.Pointer[consensus.Node]
}

// Open opens the data folder. Probe answers from then on; Start begins the replica.
func Open(s *settings.Settings, d *peer.Dialer, logger zerolog.Logger) (*Voter, error) {
	v := &Voter{settings: s, dialer: d, logger: logger}
	var err error
	if v.folder, err = wal.OpenFolder(s.DataFolder); err != nil {
		return nil, err
	}
	if v.id, err = wal.Identity(v.folder, rand.Uint64); err != nil {
		return nil, err
	}
	if v.log, v.recovered, err = wal.Open(v.folder); err != nil {
		return nil, err
	}
	if v.recovered.CutBytes > 0 {
		logger.Warn().Str("event", "torn_tail_cut").Int64("bytes", v.recovered.CutBytes).Msg("")
	}
	v.empty.Store(v.recovered.Empty())
	v.transport = peer.NewTransport(d, v.replica())
	return v, nil
}

// Start forms a new cell if this instance is the one to do so, and starts the
// replica.
func (v *Voter) Start(ctx context.Context, machine consensus.StateMachine, onFailure func(error)) (*consensus.Node, error) {
	if v.recovered.Empty() && v.coordinates() {
		if err := v.formOrJoin(ctx); err != nil {
			return nil, err
		}
	}
	s := v.settings
	node, err := consensus.NewNode(consensus.Config{
		ID: v.id, Log: v.log, Recovered: v.recovered, Machine: machine, Transport: v.transport,
		Tick: s.Tick, ElectionTicks: s.ElectionTicks, HeartbeatTicks: s.HeartbeatTicks,
		SnapshotEntries: s.SnapshotEntries, Logger: v.logger, OnFailure: onFailure,
	})
	if err != nil {
		return nil, err
	}
	v.node.Store(node)
	go node.Run()
	return node, nil
}

func (v *Voter) replica() *egretmuxv1.Replica {
	return &egretmuxv1.Replica{Id: v.id, Instance: v.settings.Instance, Address: v.settings.Cell.Address}
}

// coordinates reports whether this instance forms a new cell: the first voter does.
func (v *Voter) coordinates() bool { return v.settings.Voters[0].Instance == v.settings.Instance }

// formOrJoin returns when every configured voter is there and empty, after
// writing the first membership, or as soon as one of them holds state, which
// this replica then joins.
func (v *Voter) formOrJoin(ctx context.Context) error {
	for logged := false; ctx.Err() == nil; logged = true {
		members := &egretmuxv1.Membership{Replicas: []*egretmuxv1.Replica{v.replica()}}
		for _, other := range v.settings.Voters[1:] {
			probe, err := v.probe(ctx, other)
			switch {
			case err != nil && !logged:
				v.logger.Info().Err(err).Str("event", "waiting_for_voter").Str("voter", other.Instance).Msg("")
			case err != nil:
			case !probe.GetEmpty():
				v.logger.Info().Str("event", "cell_exists").Str("voter", other.Instance).Msg("")
				return nil
			default:
				members.Replicas = append(members.Replicas, &egretmuxv1.Replica{Id: probe.GetReplica(), Instance: other.Instance, Address: other.Address})
			}
		}
		if len(members.GetReplicas()) == len(v.settings.Voters) {
			return v.form(members)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probePause):
		}
	}
	return ctx.Err()
}

// form writes the first entry of a new cell.
func (v *Voter) form(members *egretmuxv1.Membership) error {
	if err := consensus.Bootstrap(v.log, v.recovered, members); err != nil {
		return err
	}
	v.empty.Store(false)
	v.logger.Info().Str("event", "cell_formed").Int("voters", len(members.GetReplicas())).Msg("")
	return nil
}

func (v *Voter) probe(ctx context.Context, other settings.Voter) (*egretmuxv1.ProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := v.dialer.Clients(other.Address).Consensus.Probe(ctx, connect.NewRequest(&egretmuxv1.ProbeRequest{Instance: v.settings.Instance}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Probe implements ConsensusService.
func (v *Voter) Probe(context.Context, *connect.Request[egretmuxv1.ProbeRequest]) (*connect.Response[egretmuxv1.ProbeResponse], error) {
	resp := &egretmuxv1.ProbeResponse{Instance: v.settings.Instance, Replica: v.id, Empty: v.empty.Load()}
	if node := v.node.Load(); node != nil {
		status, _ := node.Status()
		resp.Empty = status.Last == 0
		resp.Member = len(status.Membership.GetReplicas()) > 0
		resp.Term = status.Term
	}
	return connect.NewResponse(resp), nil
}

// Join makes the replica a voter if it is not one yet. It returns when the
// replica votes, or when the context ends.
func (v *Voter) Join(ctx context.Context, leader *peer.Leader) {
	for ctx.Err() == nil {
		if v.votes() {
			return
		}
		if err := v.joinOnce(ctx, leader); err == nil && v.votes() {
			v.logger.Info().Str("event", "replica_joined").Msg("")
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPause):
		}
	}
}

func (v *Voter) votes() bool {
	status, _ := v.node.Load().Status()
	for _, r := range status.Membership.GetReplicas() {
		if r.GetId() == v.id && !r.GetLearner() {
			return true
		}
	}
	return false
}

func (v *Voter) joinOnce(ctx context.Context, leader *peer.Leader) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return leader.Call(ctx, func(ctx context.Context, c *peer.Clients) error {
		_, err := c.Cell.JoinReplica(ctx, connect.NewRequest(&egretmuxv1.JoinReplicaRequest{
			Instance: v.settings.Instance, Address: v.settings.Cell.Address, Replica: v.id,
		}))
		return err
	})
}

// Step implements ConsensusService.
func (v *Voter) Step(_ context.Context, req *connect.Request[egretmuxv1.StepRequest]) (*connect.Response[egretmuxv1.StepResponse], error) {
	v.transport.Learn(req.Msg.GetSender())
	if node := v.node.Load(); node != nil {
		node.Step(req.Msg.GetMessages())
	}
	return connect.NewResponse(&egretmuxv1.StepResponse{}), nil
}

// Close stops the replica and releases the data folder.
func (v *Voter) Close() error {
	if node := v.node.Load(); node != nil {
		node.Stop()
	}
	v.transport.Close()
	return errors.CombineErrors(v.log.Close(), v.folder.Close())
}
