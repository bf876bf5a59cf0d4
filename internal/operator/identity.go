// Package operator serves the task and operator APIs: it authenticates callers,
// forwards calls to the leader, and translates between messages and the leader's
// operations.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/edge"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Header that carries the authenticated identity between instances, and its values.
const (
	identityHeader   = "Egretmux-Identity"
	operatorIdentity = "operator"
	customerPrefix   = "customer/"
)

// Identity is an authenticated caller: an operator or a customer.
type Identity struct {
	Operator bool
	Customer string // empty for operators
}

// Access authenticates callers by their credentials.
type Access struct {
	OperatorSHA256 string
	Book           *contract.Book
	Lease          Lease // while it is valid, Book is up to date
	Open           bool  // callers without a known credential count as operators
}

// Lease reports whether the instance's lease from the leader is valid.
type Lease interface {
	Valid() bool
}

// Identify returns the caller whose credential is in the header.
func (a *Access) Identify(h http.Header) (Identity, error) {
	token, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if matchesHash(token, a.OperatorSHA256) {
		return Identity{Operator: true}, nil
	}
	leased := a.Lease.Valid()
	if c := a.Book.ByCredential(token); c != nil && leased {
		return Identity{Customer: c.Customer}, nil
	}
	if a.Open {
		return Identity{Operator: true}, nil
	}
	if !leased {
		return Identity{}, refusal.New(refusal.NoLease, "send it to another instance", "this instance does not hear from the leader and may lack the contract").WithRetryAfter(time.Second)
	}
	return Identity{}, refusal.New(refusal.Unauthenticated, "send Authorization: Bearer with an operator's or customer's credential", "the credential is not known")
}

func matchesHash(token, hash string) bool {
	sum := sha256.Sum256([]byte(token))
	return hash != "" && subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(hash))) == 1
}

// RequireToken passes on only requests with one of the credentials whose SHA-256
// in hex are given. Empty hashes match nothing; open passes on every request.
func RequireToken(open bool, hashes []string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		allowed := open
		for _, h := range hashes {
			allowed = matchesHash(token, h) || allowed
		}
		if !allowed {
			edge.Refuse(w, r, refusal.New(refusal.Unauthenticated, "send Authorization: Bearer with the credential for "+r.URL.Path, "the credential is not known"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (i Identity) headerValue() string {
	if i.Operator {
		return operatorIdentity
	}
	return customerPrefix + i.Customer
}

func identityFromHeader(h http.Header) Identity {
	value := h.Get(identityHeader)
	if value == operatorIdentity {
		return Identity{Operator: true}
	}
	customer, _ := strings.CutPrefix(value, customerPrefix)
	return Identity{Customer: customer}
}

func (i Identity) requireOperator() error {
	if !i.Operator {
		return refusal.New(refusal.Forbidden, "use the operators' credential", "only operators may do this")
	}
	return nil
}

// customerScope returns the customer that a call is limited to, "" for operators.
func (i Identity) customerScope() string { return i.Customer }

type identityKey struct{}

func contextWithIdentity(ctx context.Context, i Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, i)
}

func identityFromContext(ctx context.Context) Identity {
	i, _ := ctx.Value(identityKey{}).(Identity)
	return i
}
