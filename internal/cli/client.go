package cli

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/certs"
	"github.com/egretmux/egretmux/internal/inifile"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

const (
	maxAttemptTimeout = 10 * time.Second
	minAttemptTimeout = 2 * time.Second // holds even with many instances and a short timeout
	retryDelay        = 200 * time.Millisecond
)

// client calls the instances in turn until one answers.
type client struct {
	tasks     []egretmuxv1connect.TaskServiceClient
	operators []egretmuxv1connect.OperatorServiceClient
	current   int
}

func (a *app) client() (*client, error) {
	addresses := splitAddresses(a.globals.Server)
	if len(addresses) == 0 {
		return nil, &exitError{ExitUsage, "--server names no instance"}
	}
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	transport, scheme, err := a.transport()
	if err != nil {
		return nil, err
	}
	c := &client{}
	option := connect.WithInterceptors(credentialInterceptor(token))
	httpClient := &http.Client{Transport: transport}
	for _, address := range addresses {
		c.tasks = append(c.tasks, egretmuxv1connect.NewTaskServiceClient(httpClient, scheme+address, option))
		c.operators = append(c.operators, egretmuxv1connect.NewOperatorServiceClient(httpClient, scheme+address, option))
	}
	return c, nil
}

// token returns the credential that requests carry.
func (a *app) token() (string, error) {
	if a.globals.TokenFile == "" {
		return a.globals.Token, nil
	}
	if a.globals.Token != "" {
		return "", &exitError{ExitUsage, "--token and --token-file exclude each other; EGRETMUX_TOKEN counts as --token"}
	}
	text, err := inifile.ReadFile(a.globals.TokenFile)
	if err != nil {
		return "", &exitError{ExitUsage, "--token-file: " + err.Error()}
	}
	return strings.TrimSpace(text), nil
}

func (a *app) transport() (*http.Transport, string, error) {
	if !a.globals.TLS && a.globals.CA == "" {
		return &http.Transport{}, "http://", nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if a.globals.CA != "" {
		pool, err := certs.Pool(a.globals.CA)
		if err != nil {
			return nil, "", &exitError{ExitUsage, "--ca: " + err.Error()}
		}
		config.RootCAs = pool
	}
	return &http.Transport{TLSClientConfig: config}, "https://", nil
}

func credentialInterceptor(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				req.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, req)
		}
	}
}

// send calls f on one instance after another until one gives an answer or a
// refusal that another instance would repeat. Changes carry a change id, which
// makes it safe to send one again.
func send[A any](ctx context.Context, c *client, f func(context.Context, egretmuxv1connect.TaskServiceClient, egretmuxv1connect.OperatorServiceClient) (*connect.Response[A], error)) (*A, error) {
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, c.timeoutPerAttempt(ctx))
		resp, err := f(attemptCtx, c.tasks[c.current], c.operators[c.current])
		cancel()
		if err == nil {
			return resp.Msg, nil
		}
		r, _ := refusalrpc.From(err)
		if !retryElsewhere(r.Kind) {
			return nil, r
		}
		c.current = (c.current + 1) % len(c.tasks)
		select {
		case <-ctx.Done():
			return nil, r
		case <-time.After(retryDelay):
		}
	}
}

// timeoutPerAttempt returns how long one instance may take. An instance that
// accepts calls and never answers must leave time for the others.
func (c *client) timeoutPerAttempt(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxAttemptTimeout
	}
	share := time.Until(deadline) / time.Duration(len(c.tasks))
	return min(maxAttemptTimeout, max(minAttemptTimeout, share))
}

// retryElsewhere reports whether another instance may give a different answer.
func retryElsewhere(k refusal.Kind) bool {
	return k == refusal.NoLeader || k == refusal.NoLease || k == refusal.OutcomeUnknown || k == refusal.Draining
}

// call is send with a context limited by the global timeout.
func call[A any](a *app, f func(context.Context, egretmuxv1connect.TaskServiceClient, egretmuxv1connect.OperatorServiceClient) (*connect.Response[A], error)) (*A, error) {
	c, err := a.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.globals.Timeout)
	defer cancel()
	return send(ctx, c, f)
}
