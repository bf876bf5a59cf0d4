package jobcell

import (
	"context"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

// service implements the JobCellService that other instances call.
type service struct{ cell *Cell }

func reply[A any](c *Cell, msg *A, err error) (*connect.Response[A], error) {
	if err != nil {
		return nil, refusalrpc.ErrorWithLeader(err, c.scheduler.LeaderAddress())
	}
	return connect.NewResponse(msg), nil
}

// CallJob implements JobCellService.
func (s *service) CallJob(ctx context.Context, req *connect.Request[egretmuxv1.JobCall]) (*connect.Response[egretmuxv1.JobAnswer], error) {
	s.cell.calls.begin(ctx, req.Msg, fromInstance)
	defer s.cell.calls.end(req.Msg, fromInstance)
	if err := s.cell.checkArrival(req.Msg, time.Now()); err != nil {
		return reply[egretmuxv1.JobAnswer](s.cell, nil, err)
	}
	if req.Msg.GetRelayed() && s.cell.directory.InContact(time.Now()) {
		answer, err := s.cell.callJobOnLeader(ctx, req.Msg)
		return reply(s.cell, answer, err)
	}
	answer, err := s.cell.scheduler.CallJob(ctx, req.Msg)
	return reply(s.cell, answer, err)
}

// PutCatalogue implements JobCellService.
func (s *service) PutCatalogue(ctx context.Context, req *connect.Request[egretmuxv1.PutCatalogueRequest]) (*connect.Response[egretmuxv1.PutCatalogueResponse], error) {
	version, err := s.cell.scheduler.PutCatalogue(ctx, req.Msg.GetCatalogue())
	return reply(s.cell, &egretmuxv1.PutCatalogueResponse{Version: version}, err)
}

// GetCatalogue implements JobCellService.
func (s *service) GetCatalogue(ctx context.Context, req *connect.Request[egretmuxv1.GetCatalogueRequest]) (*connect.Response[egretmuxv1.GetCatalogueResponse], error) {
	catalogue, err := s.cell.scheduler.Catalogue(ctx)
	resp := &egretmuxv1.GetCatalogueResponse{Catalogue: &egretmuxv1.Catalogue{Version: catalogue.GetVersion()}}
	if source := catalogue.GetSource(); len(source) <= int(req.Msg.GetMaxBytes()) {
		resp.Catalogue.Source = source
	} else {
		resp.Control = s.cell.cfg.Control
	}
	return reply(s.cell, resp, err)
}

// BeatWorker implements JobCellService.
func (s *service) BeatWorker(ctx context.Context, req *connect.Request[egretmuxv1.WorkerBeat]) (*connect.Response[egretmuxv1.WorkerBeatResponse], error) {
	err := s.cell.scheduler.HandleHeartbeat(ctx, req.Msg)
	return reply(s.cell, &egretmuxv1.WorkerBeatResponse{}, err)
}

// Advise implements JobCellService.
func (s *service) Advise(ctx context.Context, req *connect.Request[egretmuxv1.AdviseRequest]) (*connect.Response[egretmuxv1.AdviseResponse], error) {
	tickets, err := s.cell.cfg.Adviser.Advise(ctx, req.Msg.GetStep(), req.Msg.GetWorkers())
	if err != nil {
		return nil, refusalrpc.Error(err)
	}
	resp := &egretmuxv1.AdviseResponse{}
	for worker, ticket := range tickets {
		resp.Tickets = append(resp.Tickets, &egretmuxv1.Ticket{Worker: worker, Ticket: ticket})
	}
	return connect.NewResponse(resp), nil
}

// ShowCustomers implements JobCellService. An instance that does not lead asks the leader,
// unless another instance asked it for the leader.
func (s *service) ShowCustomers(ctx context.Context, req *connect.Request[egretmuxv1.ShowCustomersRequest]) (*connect.Response[egretmuxv1.ShowCustomersResponse], error) {
	if s.cell.scheduler.Leads() || req.Header().Get(forwardedHeader) != "" {
		resp, err := s.cell.scheduler.ShowCustomers()
		return reply(s.cell, resp, err)
	}
	resp, err := s.cell.customersFromLeader(ctx)
	return reply(s.cell, resp, err)
}

// StartWave implements JobCellService.
func (s *service) StartWave(ctx context.Context, req *connect.Request[egretmuxv1.StartWaveRequest]) (*connect.Response[egretmuxv1.StartWaveResponse], error) {
	return reply(s.cell, &egretmuxv1.StartWaveResponse{}, s.cell.scheduler.StartWave(ctx, req.Msg.GetWave()))
}

// ShowWave implements JobCellService.
func (s *service) ShowWave(ctx context.Context, req *connect.Request[egretmuxv1.ShowWaveRequest]) (*connect.Response[egretmuxv1.ShowWaveResponse], error) {
	resp, err := s.cell.scheduler.ShowWave(ctx, req.Msg.GetWave())
	return reply(s.cell, resp, err)
}
