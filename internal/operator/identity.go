// Package operator serves tasks and operators: it authenticates them, finds
// the leader, and translates between messages and the leader's operations.
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

// Headers that carry the authenticated identity between instances.
const (
	identityHeader   = "Egretmux-Identity"
	operatorIdentity = "operator"
	customerPrefix   = "customer/"
)

// Identity is who calls.
type Identity struct {
	Operator bool
	Customer string // empty for operators
}

// Access checks credentials.
type Access struct {
	OperatorSHA256 string
	Book           *contract.Book
	Lease          Lease // while it holds, the book is the newest
	Open           bool  // everybody is an operator
}

// Lease tells whether the instance hears from the leader.
type Lease interface {
	Valid() bool
}

// Identify returns who shows the credential in the header.
func (a *Access) Identify(h http.Header) (Identity, error) {
	token, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if matches(token, a.OperatorSHA256) {
		return Identity{Operator: true}, nil
	}
	heard := a.Lease.Valid()
	if c := a.Book.ByCredential(token); c != nil && heard {
		return Identity{Customer: c.Customer}, nil
	}
	if a.Open {
		return Identity{Operator: true}, nil
	}
	if !heard {
		return Identity{}, refusal.New(refusal.NoLease, "send it to another instance", "this instance does not hear from the leader and may lack the contract").After(time.Second)
	}
	return Identity{}, refusal.New(refusal.Unauthenticated, "send Authorization: Bearer with an operator's or customer's credential", "the credential is not known")
}

func matches(token, sha string) bool {
	sum := sha256.Sum256([]byte(token))
	return sha != "" && subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(sha))) == 1
}

// RequireToken lets only requests through that show one of the credentials,
// given as SHA-256 in hex. Empty hashes match nothing; open lets everything through.
func RequireToken(open bool, hashes []string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		allowed := open
		for _, h := range hashes {
			allowed = matches(token, h) || allowed
		}
		if !allowed {
			edge.Refuse(w, r, refusal.New(refusal.Unauthenticated, "send Authorization: Bearer with the credential for "+r.URL.Path, "the credential is not known"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (i Identity) header() string {
	if i.Operator {
		return operatorIdentity
	}
	return customerPrefix + i.Customer
}

func identityOf(h http.Header) Identity {
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

// scope returns the customer that a call is limited to, "" for operators.
func (i Identity) scope() string { return i.Customer }

type identityKey struct{}

func withIdentity(ctx context.Context, i Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, i)
}

func identityFrom(ctx context.Context) Identity {
	i, _ := ctx.Value(identityKey{}).(Identity)
	return i
}
