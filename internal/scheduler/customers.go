package scheduler

import (
	"context"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

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

// checkQuota returns a refusal if the job could never start within its customer's quota. A
// leader that was replaced may lack a higher one, so it has to be confirmed.
func (t *tenure) checkQuota(ctx context.Context, id string, j *egretmuxv1.Job, customer *egretmuxv1.Customer) error {
	if job.CheckQuota(j, customer) == nil || t.isStored(id) || t.isBeingStored(id) {
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
