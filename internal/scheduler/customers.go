package scheduler

import (
	"context"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

// admit decides whether a job of a customer is accepted, and marks it if it is over the
// customer's rate.
func (t *tenure) admit(ctx context.Context, j *egretmuxv1.Job) error {
	j.OverRate = false
	if j.GetCustomer() == "" {
		return nil
	}
	admission := t.admission(j)
	if admission.Refused {
		if refusable, err := t.isRefusable(ctx, j.GetId()); err != nil {
			return err
		} else if refusable {
			return refusal.New(refusal.QueueFull, "retry after the given time, or submit less often",
				"customer %.100q submits more than its jobs a second, and the queue of its jobs beyond that is full", j.GetCustomer()).WithRetryAfter(admission.RetryAfter)
		}
	}
	j.OverRate = admission.OverRate
	return nil
}

func (t *tenure) admission(j *egretmuxv1.Job) dispatch.Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	admission := t.core.Admit(j, t.now())
	t.executeActions()
	return admission
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
	if job.CheckQuota(j, customer) == nil {
		return nil
	}
	if refusable, err := t.isRefusable(ctx, id); err != nil || !refusable {
		return err
	}
	if current := t.book.Catalogue().Customer(customer.GetName()); current != nil {
		customer = current
	}
	return job.CheckQuota(j, customer)
}

func (t *tenure) showCustomers() *egretmuxv1.ShowCustomersResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &egretmuxv1.ShowCustomersResponse{CatalogueVersion: t.book.Catalogue().VersionOrZero(), Customers: t.core.CustomerUsage()}
}
