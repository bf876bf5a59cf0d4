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

// checkQuota returns a refusal if the job could never start within its customer's quota. A
// leader that was replaced may lack a higher one, so it has to be confirmed.
func (t *tenure) checkQuota(ctx context.Context, id string, j *egretmuxv1.Job, customer *egretmuxv1.Customer) error {
	if job.CheckQuota(j, customer) == nil || t.isStored(id) {
		return nil
	}
	if err := t.confirm(ctx); err != nil {
		return err
	}
	if current := t.book.Catalogue().Customer(customer.GetName()); current != nil {
		customer = current
	}
	if t.isStored(id) {
		return nil
	}
	return job.CheckQuota(j, customer)
}

func (t *tenure) showCustomers() *egretmuxv1.ShowCustomersResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &egretmuxv1.ShowCustomersResponse{CatalogueVersion: t.book.Catalogue().VersionOrZero(), Customers: t.core.CustomerUsage()}
}
