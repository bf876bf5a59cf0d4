package scheduler

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

func (t *tenure) showCustomers() *egretmuxv1.ShowCustomersResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &egretmuxv1.ShowCustomersResponse{CatalogueVersion: t.book.Catalogue().VersionOrZero(), Customers: t.core.CustomerUsage()}
}
