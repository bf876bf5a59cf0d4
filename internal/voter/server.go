package voter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// maxStepBytes bounds a received batch of messages; senders use a lower limit.
const maxStepBytes = 64 << 20

// Handler serves ConsensusService and returns the path to mount it at.
func (v *Voter) Handler() (string, http.Handler) {
	path, handler := egretmuxv1connect.NewConsensusServiceHandler(v, connect.WithReadMaxBytes(maxStepBytes))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == egretmuxv1connect.ConsensusServiceStepStreamProcedure {
			remove := v.streams.add(http.NewResponseController(w))
			defer remove()
		}
		handler.ServeHTTP(w, r)
	})
}

// EndStreams ends the streams on which other replicas send and refuses new
// ones, so that the listener can be shut down.
func (v *Voter) EndStreams() { v.streams.closeAll() }

// Probe implements ConsensusService.
func (v *Voter) Probe(_ context.Context, req *connect.Request[egretmuxv1.ProbeRequest]) (*connect.Response[egretmuxv1.ProbeResponse], error) {
	known := v.promises.PromiseOf(req.Msg.GetReplica())
	v.mu.Lock()
	resp := &egretmuxv1.ProbeResponse{
		Instance: v.settings.Instance, Replica: v.id, Empty: v.empty, Voters: v.voterAddresses(),
		KnownTerm: known.Term, KnownIndex: known.Index, KnownVote: known.Vote,
	}
	v.mu.Unlock()
	if node := v.node.Load(); node != nil {
		status, _ := node.Status()
		resp.Empty = status.Last == 0
		resp.Member = len(status.Membership.GetReplicas()) > 0
		resp.Term = status.Term
	}
	return connect.NewResponse(resp), nil
}

// Step implements ConsensusService.
func (v *Voter) Step(_ context.Context, req *connect.Request[egretmuxv1.StepRequest]) (*connect.Response[egretmuxv1.StepResponse], error) {
	v.receive(req.Msg)
	return connect.NewResponse(&egretmuxv1.StepResponse{}), nil
}

// StepStream implements ConsensusService.
func (v *Voter) StepStream(_ context.Context, stream *connect.ClientStream[egretmuxv1.StepRequest]) (*connect.Response[egretmuxv1.StepResponse], error) {
	for stream.Receive() {
		telemetry.CountMessage("log_received")
		v.receive(stream.Msg())
	}
	return connect.NewResponse(&egretmuxv1.StepResponse{}), stream.Err()
}

func (v *Voter) receive(batch *egretmuxv1.StepRequest) {
	v.promises.Observe(batch.GetMessages())
	node := v.node.Load()
	if node == nil {
		return
	}
	v.transport.LearnAddress(batch.GetSender())
	node.Step(batch.GetMessages())
}

// streamSet holds the open streams of other replicas. A read deadline in the past
// ends a stream.
type streamSet struct {
	mu     sync.Mutex
	open   map[*http.ResponseController]struct{}
	closed bool
}

func (s *streamSet) add(c *http.ResponseController) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	if s.open == nil {
		s.open = make(map[*http.ResponseController]struct{})
	}
	s.open[c] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
	}
}

func (s *streamSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.open {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
