// Package standin holds stand-ins for what surrounds the system: workers,
// endpoints, callers, networks and disks. Tests, the demonstration and load
// runs use them.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const announceTimeout = 2 * time.Second

// Announcer sends reports to the announce service of an instance and fails over
// to the next one when a call fails.
type Announcer struct {
	clients       []egretmuxv1connect.AnnounceServiceClient
	currentClient atomic.Int64
}

// NewAnnouncer returns an announcer that calls instances at their control
// addresses.
func NewAnnouncer(instances []string, token string) *Announcer {
	a := &Announcer{}
	client := &http.Client{Transport: &http.Transport{
		DialContext: telemetry.CountDial((&net.Dialer{}).DialContext, "announce"), MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
	}}
	for _, address := range instances {
		a.clients = append(a.clients, egretmuxv1connect.NewAnnounceServiceClient(client, "http://"+address,
			connect.WithInterceptors(bearer(token))))
	}
	return a
}

func bearer(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				req.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, req)
		}
	}
}

// tryEach runs call with one client after another until it succeeds.
func (a *Announcer) tryEach(ctx context.Context, call func(context.Context, egretmuxv1connect.AnnounceServiceClient) error) error {
	var err error
	for range a.clients {
		i := a.currentClient.Load()
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err = call(callCtx, a.clients[int(i)%len(a.clients)])
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		a.currentClient.CompareAndSwap(i, i+1)
	}
	return err
}

// AnnounceWorker announces a worker.
func (a *Announcer) AnnounceWorker(ctx context.Context, r *egretmuxv1.WorkerReport) (*egretmuxv1.AnnounceWorkerResponse, error) {
	var resp *egretmuxv1.AnnounceWorkerResponse
	err := a.tryEach(ctx, func(ctx context.Context, c egretmuxv1connect.AnnounceServiceClient) error {
		out, err := c.AnnounceWorker(ctx, connect.NewRequest(&egretmuxv1.AnnounceWorkerRequest{Report: r}))
		if err == nil {
			resp = out.Msg
		}
		return err
	})
	return resp, err
}

// AnnounceEndpoint announces an endpoint.
func (a *Announcer) AnnounceEndpoint(ctx context.Context, r *egretmuxv1.EndpointReport) error {
	return a.tryEach(ctx, func(ctx context.Context, c egretmuxv1connect.AnnounceServiceClient) error {
		_, err := c.AnnounceEndpoint(ctx, connect.NewRequest(&egretmuxv1.AnnounceEndpointRequest{Report: r}))
		return err
	})
}
