// Package peer connects the instances of a cell: the client side of their
// RPCs, the search for the leader and the transport of the replicated log.
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

// Times of connections between instances. A connection that stays silent is
// pinged, and closed when the ping is not answered.
const (
	dialTimeout  = time.Second
	pingAfter    = time.Second
	pingTimeout  = time.Second
	idleTimeout  = time.Minute
	keyHeader    = "Egretmux-Cell-Key"
	retryPause   = 30 * time.Millisecond
	maxRetryWait = 300 * time.Millisecond
)

// Dialer makes HTTP clients that speak HTTP/2 to other instances.
type Dialer struct {
	key    string
	client *http.Client
	scheme string

	mu      sync.Mutex
	clients map[string]*Clients // by address
}

// NewDialer returns a dialer that shows the cell key. With a file of CA
// certificates it uses TLS.
func NewDialer(key, caFile string) (*Dialer, error) {
	transport := &http.Transport{
		DialContext:     telemetry.CountDial((&net.Dialer{Timeout: dialTimeout}).DialContext, "peers"),
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		Protocols:       new(http.Protocols),
	}
	d := &Dialer{key: key, scheme: "http://", client: &http.Client{Transport: transport}, clients: make(map[string]*Clients)}
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

// separate returns a dialer that shares no connection with this one, so that
// bulk calls do not delay those made over it.
func (d *Dialer) separate() *Dialer {
	return &Dialer{
		key: d.key, scheme: d.scheme, clients: make(map[string]*Clients),
		client: &http.Client{Transport: d.client.Transport.(*http.Transport).Clone()},
	}
}

// Key returns the cell key.
func (d *Dialer) Key() string { return d.key }

// interceptor adds the cell key to each call.
func (d *Dialer) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(keyHeader, d.key)
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

// Clients returns the clients for an instance's cell listener.
func (d *Dialer) Clients(address string) *Clients {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.clients[address]; c != nil {
		return c
	}
	c := d.newClients(address)
	d.clients[address] = c
	return c
}

func (d *Dialer) newClients(address string) *Clients {
	option := connect.WithInterceptors(d.interceptor())
	url := d.scheme + address
	return &Clients{
		Address:   address,
		Cell:      egretmuxv1connect.NewCellServiceClient(d.client, url, option),
		Task:      egretmuxv1connect.NewTaskServiceClient(d.client, url, option),
		Operator:  egretmuxv1connect.NewOperatorServiceClient(d.client, url, option),
		Consensus: egretmuxv1connect.NewConsensusServiceClient(d.client, url, option),
		Jobs:      egretmuxv1connect.NewJobCellServiceClient(d.client, url, option),
	}
}

// LeaderClient finds the leader among the voters and calls it.
type LeaderClient struct {
	dialer *Dialer
	hint   func() string // address of the leader as a local replica knows it; may return ""

	mu      sync.Mutex
	voters  []string
	current string
	next    int
	suspect map[string]time.Time // when an address last failed to answer
}

// NewLeaderClient returns a finder for the given addresses of voters.
func NewLeaderClient(d *Dialer, voters []string, hint func() string) *LeaderClient {
	return &LeaderClient{dialer: d, hint: hint, voters: voters, suspect: make(map[string]time.Time)}
}

// pick returns the clients of the instance to try.
func (l *LeaderClient) pick() *Clients {
	hint := l.hint()
	l.mu.Lock()
	defer l.mu.Unlock()
	address := l.current
	if hint != "" {
		address = hint
	}
	for tries := 0; tries < len(l.voters) && (address == "" || l.isSuspect(address)); tries++ {
		address = l.voters[l.next%len(l.voters)]
		l.next++
	}
	return l.dialer.Clients(address)
}

// suspectTime is how long an instance that did not answer is passed over while
// others are known. A new leader is elected in about that time.
const suspectTime = time.Second

func (l *LeaderClient) isSuspect(address string) bool {
	at, known := l.suspect[address]
	return known && time.Since(at) < suspectTime
}

func (l *LeaderClient) suspectOne(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect[address] = time.Now()
}

// SetVoters replaces the addresses to look for the leader at.
func (l *LeaderClient) SetVoters(voters []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.voters = voters
}

// learn records where the leader was or was not found.
func (l *LeaderClient) learn(tried, leader string, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case found:
		l.current = tried
		delete(l.suspect, tried)
	case leader != "" && leader != tried:
		l.current = leader
	case l.current == tried:
		l.current = ""
	}
}

// Call runs f against the leader. While no leader answers, or the outcome is
// unknown, it tries again until the context ends, so f must be safe to repeat.
// When one of the tries may have been carried out, so may the whole call.
func (l *LeaderClient) Call(ctx context.Context, f func(context.Context, *Clients) error) error {
	pause := retryPause
	var unknown *refusal.Error
	for {
		c := l.pick()
		err := f(ctx, c)
		if err == nil {
			l.learn(c.Address, "", true)
			return nil
		}
		r, leader := refusalrpc.From(err)
		if r.Kind != refusal.NoLeader && r.Kind != refusal.OutcomeUnknown {
			l.learn(c.Address, "", true)
			if unknown != nil && !definite(r.Kind) {
				r.Ran = refusal.Unknown
			}
			return r
		}
		if r.Ran == refusal.Unknown {
			unknown = r
		}
		l.learn(c.Address, leader, false)
		if r.Ran == refusal.Unknown || leader == "" {
			l.suspectOne(c.Address)
		}
		if leader != "" && leader != c.Address {
			pause = retryPause
		}
		select {
		case <-ctx.Done():
			if unknown != nil {
				return unknown
			}
			return r
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryWait)
	}
}

// definite reports whether a refusal of this kind also tells what became of
// earlier tries with the same change id.
func definite(k refusal.Kind) bool {
	return k == refusal.VersionConflict || k == refusal.KeyConflict
}
