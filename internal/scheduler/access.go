package scheduler

import (
	"context"
	"strings"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

// access is what a call may do: the queue that it addresses, the job there, and the
// customer that makes it.
type access struct {
	queue    *egretmuxv1.Queue    // nil if there is none
	id       string               // of the job; empty for the queue itself
	customer *egretmuxv1.Customer // nil if the call needs no credential and has none that is known
	version  uint64               // of the catalogue that decided
}

// answer returns an answer with the version of the catalogue that decided.
func (a access) answer(answer *egretmuxv1.JobAnswer) *egretmuxv1.JobAnswer {
	answer.CatalogueVersion = a.version
	return answer
}

// authorize decides what a call may do. Nothing is denied before leadership has been
// confirmed: a leader that was replaced may lack a newer catalogue. What is allowed is
// either committed in this term or, for reads, confirmed by the caller.
func (t *tenure) authorize(ctx context.Context, call *egretmuxv1.JobCall) (access, error) {
	if t.book.Catalogue() == nil {
		return access{}, noCatalogue()
	}
	if a, err := decideAccess(t.book, call); err == nil && a.queue != nil {
		return a, nil
	}
	if err := t.confirm(ctx); err != nil {
		return access{}, err
	}
	return decideAccess(t.book, call)
}

// decideAccess decides by the catalogue in force, in this order: whether there is such a
// queue, whose credential the call has, and whose job it is about.
func decideAccess(book *job.Book, call *egretmuxv1.JobCall) (access, error) {
	catalogue := book.Catalogue()
	q, id := catalogue.MatchQueue(call.GetAddress())
	if q == nil {
		return access{version: catalogue.Version}, nil
	}
	a := access{queue: q, id: id, version: catalogue.Version, customer: catalogue.CustomerOf(call.GetCredentialSha256())}
	if a.customer == nil && catalogue.NeedsCredential(q) {
		fault := "the credential is not known"
		if len(call.GetCredentialSha256()) == 0 {
			fault = "the credential is missing"
		}
		return access{}, refusal.New(refusal.Unauthenticated, "send a credential of a customer that the configuration lists", "%s", fault)
	}
	if !a.ownsJob(book, catalogue) {
		return access{}, notOwner(id)
	}
	return a, nil
}

func notOwner(id string) *refusal.Error {
	return refusal.New(refusal.Forbidden, "send a credential of the customer that submitted the job", "job %.100s belongs to another customer", id)
}

// ownsJob reports whether the caller may read, cancel or repeat the job, as far as it is
// stored. Jobs that came without a credential, and those of a public queue, are open to
// all who may call the queue.
func (a access) ownsJob(book *job.Book, catalogue *job.Catalogue) bool {
	owns := true
	book.View(a.id, func(r *job.Record) {
		if r == nil || r.Job.GetCustomer() == "" || r.Job.GetCustomer() == a.customer.GetName() {
			return
		}
		owns = !catalogue.NeedsCredential(a.queue) &&
			(!catalogue.Message.GetCredentialsRequired() || isOfQueue(r.Job, a.queue))
	})
	return owns
}

// isOfQueue compares addresses: the queue may be of an earlier catalogue than the one in force.
func isOfQueue(j *egretmuxv1.Job, q *egretmuxv1.Queue) bool {
	return strings.EqualFold(j.GetHost(), q.GetHost()) && j.GetPrefix() == q.GetPrefix()
}
