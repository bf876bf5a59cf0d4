package job

import (
	"bytes"
	"strings"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Catalogue is a complete configuration, indexed for lookups. Its queues are the routes
// of the operator's configuration file, its pools the services. It is immutable.
type Catalogue struct {
	Version      uint64
	Message      *egretmuxv1.Catalogue
	byHost       map[string]*hostQueues
	pools        map[string]*egretmuxv1.Pool
	customers    map[string]*egretmuxv1.Customer
	byCredential map[CredentialHash]*egretmuxv1.Customer
}

// NewCatalogue indexes a checked catalogue.
func NewCatalogue(m *egretmuxv1.Catalogue) *Catalogue {
	c := &Catalogue{
		Version: m.GetVersion(), Message: m,
		byHost: make(map[string]*hostQueues), pools: make(map[string]*egretmuxv1.Pool),
		customers: make(map[string]*egretmuxv1.Customer), byCredential: make(map[CredentialHash]*egretmuxv1.Customer),
	}
	for _, q := range m.GetQueues() {
		host := strings.ToLower(q.GetHost())
		if c.byHost[host] == nil {
			c.byHost[host] = &hostQueues{byPrefix: make(map[string]*egretmuxv1.Queue)}
		}
		c.byHost[host].add(q)
	}
	for _, p := range m.GetPools() {
		c.pools[p.GetName()] = p
	}
	for _, customer := range m.GetCustomers() {
		c.customers[customer.GetName()] = customer
		for _, hash := range customer.GetCredentialSha256() {
			if key, ok := credentialHash(hash); ok {
				c.byCredential[key] = customer
			}
		}
	}
	return c
}

func (c *Catalogue) sameSource(m *egretmuxv1.Catalogue) bool {
	return bytes.Equal(c.Message.GetSource(), m.GetSource())
}

// MatchQueue returns the queue with the longest prefix of the address's path, and the
// rest of the path. The queue is nil if none matches.
func (c *Catalogue) MatchQueue(a *egretmuxv1.QueueAddress) (q *egretmuxv1.Queue, rest string) {
	if c == nil {
		return nil, ""
	}
	host := strings.ToLower(a.GetHost())
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	if q = c.byHost[host].longestMatch(a.GetPath()); q == nil {
		return nil, ""
	}
	return q, strings.TrimPrefix(a.GetPath(), q.GetPrefix())
}

// Queue returns the queue with the host and prefix, or nil.
func (c *Catalogue) Queue(host, prefix string) *egretmuxv1.Queue {
	if c == nil {
		return nil
	}
	queues := c.byHost[strings.ToLower(host)]
	if queues == nil {
		return nil
	}
	return queues.byPrefix[prefix]
}

// Pool returns the pool with the name, or nil.
func (c *Catalogue) Pool(name string) *egretmuxv1.Pool {
	if c == nil {
		return nil
	}
	return c.pools[name]
}

// CheckCatalogue returns a refusal if the catalogue is invalid.
func CheckCatalogue(m *egretmuxv1.Catalogue) error {
	invalid := func(remedy, format string, args ...any) error {
		return refusal.New(refusal.Invalid, remedy, format, args...)
	}
	if m.GetVersion() == 0 {
		return invalid("give a version above zero", "the configuration has no version")
	}
	pools := make(map[string]bool)
	for _, p := range m.GetPools() {
		if p.GetName() == "" || pools[p.GetName()] {
			return invalid("name each service once", "service %.100q is listed twice or has no name", p.GetName())
		}
		pools[p.GetName()] = true
	}
	routesByKey := make(map[[2]string]string)
	for _, q := range m.GetQueues() {
		key := [2]string{strings.ToLower(q.GetHost()), q.GetPrefix()}
		other, taken := routesByKey[key]
		switch {
		case !pools[q.GetService()]:
			return invalid("name a service of the same configuration", "route %.100q names service %.100q, which is not in the configuration", q.GetName(), q.GetService())
		case q.GetTimeoutMs() <= 0:
			return invalid("give a time-out above zero", "route %.100q has no time-out", q.GetName())
		case q.GetHost() == "" || !strings.HasPrefix(q.GetPrefix(), "/"):
			return invalid("give a host and a path that begins with /", "route %.100q has no host, or its path does not begin with /", q.GetName())
		case taken:
			return invalid("give each route a host and prefix of its own", "routes %.100q and %.100q have the same host and prefix", other, q.GetName())
		}
		routesByKey[key] = q.GetName()
	}
	return checkCustomers(m)
}
