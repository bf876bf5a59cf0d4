package scheduler

import (
	"context"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

// identify returns the customer that makes a call to a queue, or nil if the queue needs no
// credential and the call has none. A credential is reported as unknown only once
// leadership has been confirmed: a leader that was replaced may lack a newer catalogue.
func (t *tenure) identify(ctx context.Context, q *egretmuxv1.Queue, call *egretmuxv1.JobCall) (*egretmuxv1.Customer, error) {
	catalogue := t.book.Catalogue()
	if customer := catalogue.CustomerOf(call.GetCredentialSha256()); customer != nil || !catalogue.NeedsCredential(q) {
		return customer, nil
	}
	if err := t.confirm(ctx); err != nil {
		return nil, err
	}
	customer := t.book.Catalogue().CustomerOf(call.GetCredentialSha256())
	if customer == nil {
		return nil, refusal.New(refusal.Unauthenticated, "send a key of a customer that the configuration lists", "the key is missing or not known")
	}
	return customer, nil
}

// checkOwner returns a refusal if a job belongs to another customer than the one that calls.
// On a queue that needs no credential, everybody may read and cancel jobs.
func (t *tenure) checkOwner(q *egretmuxv1.Queue, id string, caller *egretmuxv1.Customer) error {
	if !t.book.Catalogue().NeedsCredential(q) {
		return nil
	}
	owner := ""
	t.book.View(id, func(r *job.Record) {
		if r != nil {
			owner = r.Job.GetCustomer()
		}
	})
	if owner != "" && owner != caller.GetName() {
		return refusal.New(refusal.Forbidden, "send a key of the customer that submitted the job", "job %s belongs to another customer", id)
	}
	return nil
}

// admit decides whether a job of a customer is accepted, and marks it if it is over the
// customer's rate.
func (t *tenure) admit(j *egretmuxv1.Job) error {
	j.OverRate = false
	if j.GetCustomer() == "" {
		return nil
	}
	t.mu.Lock()
	admission := t.core.Admit(j, t.now())
	t.executeActions()
	t.mu.Unlock()
	j.OverRate = admission.OverRate
	if !admission.Refused {
		return nil
	}
	return refusal.New(refusal.QueueFull, "retry after the given time, or submit less often",
		"customer %.100q submits more than its jobs a second, and the queue of its jobs beyond that is full", j.GetCustomer()).WithRetryAfter(admission.RetryAfter)
}

// isBeingStored reports whether a submit of the job was accepted in this tenure and is not
// stored yet. The outcome of a repeated one is that of the first.
func (t *tenure) isBeingStored(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.IsAdmitted(id)
}

// admissionSettled drops the admission of a job that was stored before.
func (t *tenure) admissionSettled(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.AdmissionSettled(id)
}

func (t *tenure) showCustomers() *egretmuxv1.ShowCustomersResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &egretmuxv1.ShowCustomersResponse{CatalogueVersion: t.book.Catalogue().VersionOrZero(), Customers: t.core.CustomerUsage()}
}
