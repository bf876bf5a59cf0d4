// Package peer connects the instances of a cell: RPC clients, discovery of the
// leader, the cell key and the transport of the replicated log.
package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Limits of connections between instances. A connection that is silent for
// pingAfterIdle is pinged, and closed when no answer comes within pingTimeout.
const (
	dialTimeout   = time.Second
	pingAfterIdle = time.Second
	pingTimeout   = time.Second
	// The same for the connections of the replicated log. A replica that hears nothing for an election timeout
	// campaigns, and its leadership is confirmed over connections of others that may be silent, too.
	logPingAfterIdle = 300 * time.Millisecond
	logPingTimeout   = 500 * time.Millisecond
	idleTimeout      = time.Minute
	cellKeyHeader    = "Egretmux-Cell-Key"
	minRetryPause    = 30 * time.Millisecond
	// minRenewInterval is the shortest time between two new connections to one instance that is slow to answer.
	minRenewInterval = time.Second
	// renewAfter is the time without an answer after which the next try uses a new connection.
	renewAfter    = 400 * time.Millisecond
	maxRetryPause = 300 * time.Millisecond
)

// Dialer holds the RPC clients of other instances, which share one HTTP/2
// transport.
type Dialer struct {
	cellKey string
	client  *http.Client
	scheme  string

	mu      sync.Mutex
	clients map[string]*Clients    // by address
	renewed map[string]renewedPath // by address
	// answeredAt is when a call was last answered, by address: a connection that carries answers is not silent.
	answeredAt map[string]time.Time
}

// renewedPath is the transport of an instance that does not share that of the others any more.
type renewedPath struct {
	transport *http.Transport
	at        time.Time
}

// NewDialer returns a dialer that sends the cell key with each call. It uses TLS
// if caFile, a file of CA certificates in PEM form, is not empty.
func NewDialer(key, caFile string) (*Dialer, error) {
	transport := &http.Transport{
		DialContext:     telemetry.CountDial((&net.Dialer{Timeout: dialTimeout}).DialContext, "peers"),
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout},
		Protocols:       new(http.Protocols),
	}
	d := newDialer(key, "http://", transport)
	if caFile == "" {
		transport.Protocols.SetUnencryptedHTTP2(true)
		return d, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "certificates of the cell cannot be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate in PEM form", caFile)
	}
	transport.Protocols.SetHTTP2(true)
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	d.scheme = "https://"
	return d, nil
}

// withOwnConnections returns a copy of the dialer that shares no connection with
// it, so that bulk transfers over one do not delay calls over the other.
func (d *Dialer) withOwnConnections() *Dialer {
	transport := d.client.Transport.(*http.Transport).Clone()
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: logPingAfterIdle, PingTimeout: logPingTimeout}
	return newDialer(d.cellKey, d.scheme, transport)
}

func newDialer(key, scheme string, transport *http.Transport) *Dialer {
	return &Dialer{
		cellKey: key, scheme: scheme, client: &http.Client{Transport: transport},
		clients: make(map[string]*Clients), renewed: make(map[string]renewedPath), answeredAt: make(map[string]time.Time),
	}
}

// Key returns the cell key.
func (d *Dialer) Key() string { return d.cellKey }

// interceptor adds the cell key to each call.
func (d *Dialer) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(cellKeyHeader, d.cellKey)
			telemetry.CountMessage("peers")
			return next(ctx, req)
		}
	}
}

// Clients are the RPC clients of one instance.
type Clients struct {
	Address   string
	Cell      egretmuxv1connect.CellServiceClient
	Task      egretmuxv1connect.TaskServiceClient
	Operator  egretmuxv1connect.OperatorServiceClient
	Consensus egretmuxv1connect.ConsensusServiceClient
	Jobs      egretmuxv1connect.JobCellServiceClient
}

// Clients returns the RPC clients for the cell listener at an address.
func (d *Dialer) Clients(address string) *Clients {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.clients[address]; c != nil {
		return c
	}
	c := d.newClients(address, d.client)
	d.clients[address] = c
	return c
}

// Answered records that an instance has answered a call.
func (d *Dialer) Answered(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answeredAt[address] = time.Now()
}

// answeredSince reports whether an instance has answered a call since a time.
func (d *Dialer) answeredSince(address string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answeredAt[address].After(since)
}

// Renew lets the next calls to an instance use a new connection, after one that got no answer in its time: the open
// connection may be silent, which pings find out later. Calls in progress go on over the former connection.
// Nothing changes while the instance answers other calls.
func (d *Dialer) Renew(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	former := d.renewed[address]
	if time.Since(former.at) < minRenewInterval || time.Since(d.answeredAt[address]) < renewAfter {
		return
	}
	telemetry.CountRetry("connection-renewed")
	if former.transport != nil {
		former.transport.CloseIdleConnections()
	}
	transport := d.client.Transport.(*http.Transport).Clone()
	d.renewed[address] = renewedPath{transport, time.Now()}
	d.clients[address] = d.newClients(address, &http.Client{Transport: transport})
}

func (d *Dialer) newClients(address string, client *http.Client) *Clients {
	interceptors := connect.WithInterceptors(d.interceptor())
	url := d.scheme + address
	return &Clients{
		Address:   address,
		Cell:      egretmuxv1connect.NewCellServiceClient(client, url, interceptors),
		Task:      egretmuxv1connect.NewTaskServiceClient(client, url, interceptors),
		Operator:  egretmuxv1connect.NewOperatorServiceClient(client, url, interceptors),
		Consensus: egretmuxv1connect.NewConsensusServiceClient(client, url, interceptors),
		Jobs:      egretmuxv1connect.NewJobCellServiceClient(client, url, interceptors),
	}
}

// LeaderClient finds the leader among the voters and sends calls to it.
type LeaderClient struct {
	dialer    *Dialer
	localHint func() string // leader's address according to the local replica; "" if unknown

	mu          sync.Mutex
	voters      []string
	lastLeader  string
	nextVoter   int
	lastFailure map[string]time.Time // by address
	redirected  redirection          // newest answer that another instance leads
	announced   string               // newest leader that LeaderChanged was told of
	changed     chan struct{}        // closed and replaced by LeaderChanged
	tries       map[*try]struct{}    // in flight
}

// try is one try of a call.
type try struct {
	address string
	cancel  context.CancelFunc
}

// redirection is the answer of an instance that another one leads.
type redirection struct {
	from string
	at   time.Time
}

// NewLeaderClient returns a client that looks for the leader at the given
// addresses of voters.
func NewLeaderClient(d *Dialer, voters []string, hint func() string) *LeaderClient {
	return &LeaderClient{
		dialer: d, localHint: hint, voters: voters, lastFailure: make(map[string]time.Time),
		changed: make(chan struct{}), tries: make(map[*try]struct{}),
	}
}

// LeaderChanged tells that the instance at an address leads now. Calls that pause, and those that
// wait for the answer of another instance, go to it at once. Otherwise a call could be handled long
// after one that came later, by a state that the later one did not see yet.
func (l *LeaderClient) LeaderChanged(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == "" || address == l.announced {
		return
	}
	l.announced, l.lastLeader = address, address
	delete(l.lastFailure, address)
	close(l.changed)
	l.changed = make(chan struct{})
	for t := range l.tries {
		if t.address != address {
			telemetry.CountRetry("leader-changed")
			t.cancel()
		}
	}
}

// run makes one try at an instance. It also returns the channel that is closed at the next change
// of the leader.
func (l *LeaderClient) run(ctx context.Context, clients *Clients, f func(context.Context, *Clients) error) (changed <-chan struct{}, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &try{address: clients.Address, cancel: cancel}
	l.mu.Lock()
	changed = l.changed
	l.tries[t] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.tries, t)
	}()
	return changed, f(ctx, clients)
}

// pickInstance returns the clients of the instance to try next.
func (l *LeaderClient) pickInstance() *Clients {
	hint := l.localHint()
	l.mu.Lock()
	defer l.mu.Unlock()
	address := l.lastLeader
	// The hint is stale if the local replica stands still, as on a full disk.
	if hint != "" && (hint != l.redirected.from || time.Since(l.redirected.at) >= suspectDuration) {
		address = hint
	}
	for tries := 0; tries < len(l.voters) && (address == "" || l.isSuspect(address)); tries++ {
		address = l.voters[l.nextVoter%len(l.voters)]
		l.nextVoter++
	}
	return l.dialer.Clients(address)
}

// suspectDuration is how long an instance that did not answer is skipped while
// others are known. A new leader is elected in about that time.
const suspectDuration = time.Second

func (l *LeaderClient) isSuspect(address string) bool {
	failedAt, failed := l.lastFailure[address]
	return failed && time.Since(failedAt) < suspectDuration
}

func (l *LeaderClient) markSuspect(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFailure[address] = time.Now()
}

// SetVoters replaces the addresses at which the leader is looked for.
func (l *LeaderClient) SetVoters(voters []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.voters = voters
}

// updateLeader records whether the tried instance is the leader, or else the
// address it redirected to, if any.
func (l *LeaderClient) updateLeader(tried, redirectTo string, isLeader bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case isLeader:
		l.lastLeader = tried
		delete(l.lastFailure, tried)
	case redirectTo != "" && redirectTo != tried:
		l.lastLeader = redirectTo
		l.redirected = redirection{from: tried, at: time.Now()}
	case l.lastLeader == tried:
		l.lastLeader = ""
	}
}

// Call runs f against the leader. While no leader answers or the outcome is
// unknown, it retries until the context ends, so f must be idempotent. If one of
// the tries may have run, the returned refusal says so.
func (l *LeaderClient) Call(ctx context.Context, f func(context.Context, *Clients) error) error {
	pause := minRetryPause
	var unknownErr *refusal.Error
	for {
		clients, tried := l.pickInstance(), time.Now()
		changed, err := l.run(ctx, clients, f)
		if err == nil {
			l.dialer.Answered(clients.Address)
			l.updateLeader(clients.Address, "", true)
			return nil
		}
		refusalErr, redirect := refusalrpc.From(err)
		switch {
		case refusalErr.Kind == refusal.OutcomeUnknown && time.Since(tried) >= renewAfter:
			l.dialer.Renew(clients.Address)
		case refusalErr.Ran != refusal.Unknown:
			l.dialer.Answered(clients.Address)
		}
		if refusalErr.Kind != refusal.NoLeader && refusalErr.Kind != refusal.OutcomeUnknown {
			l.updateLeader(clients.Address, "", true)
			if unknownErr != nil && !settlesEarlierTries(refusalErr.Kind) {
				refusalErr.Ran = refusal.Unknown
			}
			return refusalErr
		}
		if refusalErr.Ran == refusal.Unknown {
			unknownErr = refusalErr
		}
		if refusalErr.Ran == refusal.Unknown && l.dialer.answeredSince(clients.Address, tried) {
			// It takes long over this call and answers others, as a leader does whose commits are slow.
			telemetry.CountRetry("slow-answer")
		} else {
			l.updateLeader(clients.Address, redirect, false)
			if refusalErr.Ran == refusal.Unknown || redirect == "" {
				l.markSuspect(clients.Address)
			}
		}
		if redirect != "" && redirect != clients.Address {
			pause = minRetryPause
		}
		select {
		case <-ctx.Done():
			if unknownErr != nil {
				return unknownErr
			}
			return refusalErr
		case <-changed:
			pause = minRetryPause
			continue
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// settlesEarlierTries reports whether a refusal of this kind also gives the
// outcome of earlier tries with the same change id.
func settlesEarlierTries(kind refusal.Kind) bool {
	return kind == refusal.VersionConflict || kind == refusal.KeyConflict
}
