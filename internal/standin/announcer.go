// Package standin holds small fakes of what surrounds the system: workers,
// endpoints and callers. They are for tests, the demonstration and load runs.
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

// Announcer calls the announce service of one instance after another until
// one answers.
type Announcer struct {
	clients []egretmuxv1connect.AnnounceServiceClient
	current atomic.Int64
}

// NewAnnouncer returns an announcer for the control addresses of instances.
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

// each calls f with one client after another until it succeeds.
func (a *Announcer) each(ctx context.Context, f func(context.Context, egretmuxv1connect.AnnounceServiceClient) error) error {
	var err error
	for range a.clients {
		i := a.current.Load()
		once, cancel := context.WithTimeout(ctx, announceTimeout)
		err = f(once, a.clients[int(i)%len(a.clients)])
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		a.current.CompareAndSwap(i, i+1)
	}
	return err
}

// AnnounceWorker announces a worker.
func (a *Announcer) AnnounceWorker(ctx context.Context, r *egretmuxv1.WorkerReport) (*egretmuxv1.AnnounceWorkerResponse, error) {
	var resp *egretmuxv1.AnnounceWorkerResponse
	err := a.each(ctx, func(ctx context.Context, c egretmuxv1connect.AnnounceServiceClient) error {
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
	return a.each(ctx, func(ctx context.Context, c egretmuxv1connect.AnnounceServiceClient) error {
		_, err := c.AnnounceEndpoint(ctx, connect.NewRequest(&egretmuxv1.AnnounceEndpointRequest{Report: r}))
		return err
	})
}
