package job

import (
	"crypto/sha256"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// CredentialHash is the SHA-256 of a credential. Credentials themselves are kept only in
// the operator's text of the configuration.
type CredentialHash [sha256.Size]byte

// HashCredential returns the hash of a credential as callers send it.
func HashCredential(credential string) []byte {
	hash := sha256.Sum256([]byte(credential))
	return hash[:]
}

// credentialHash returns the hash as a key, or false if it has not the length of one.
func credentialHash(hash []byte) (CredentialHash, bool) {
	if len(hash) != sha256.Size {
		return CredentialHash{}, false
	}
	return CredentialHash(hash), true
}

// VersionOrZero returns the version, or zero if there is no catalogue.
func (c *Catalogue) VersionOrZero() uint64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// Customer returns the customer with the name, or nil.
func (c *Catalogue) Customer(name string) *egretmuxv1.Customer {
	if c == nil {
		return nil
	}
	return c.customers[name]
}

// CustomerOf returns the customer to which a credential belongs, by its hash, or nil.
func (c *Catalogue) CustomerOf(credentialSha256 []byte) *egretmuxv1.Customer {
	hash, ok := credentialHash(credentialSha256)
	if c == nil || !ok {
		return nil
	}
	return c.byCredential[hash]
}

// NeedsCredential reports whether calls to a queue need the credential of a customer.
func (c *Catalogue) NeedsCredential(q *egretmuxv1.Queue) bool {
	return c.Message.GetCredentialsRequired() && !q.GetPublic()
}

// maxWeight limits the weight and the rate of a customer, so that sums over customers
// stay exact.
const maxWeight = 1e9

// keepRemovedCustomers adds the customers that a new catalogue does not list any more, without
// their credentials, so that their limits hold for the jobs that were accepted from them. They
// are dropped with a later version, once these have ended.
func (b *Book) keepRemovedCustomers(next *egretmuxv1.Catalogue) {
	if b.catalogue == nil {
		return
	}
	listed := make(map[string]bool)
	for _, c := range next.GetCustomers() {
		listed[c.GetName()] = true
	}
	open := make(map[string]bool)
	for _, r := range b.jobs {
		if !r.Ended() {
			open[r.Job.GetCustomer()] = true
		}
	}
	for _, c := range b.catalogue.Message.GetCustomers() {
		// A job may be accepted by the version before and stored after this one.
		mayHaveJobs := open[c.GetName()] || len(c.GetCredentialSha256()) > 0
		if !listed[c.GetName()] && mayHaveJobs {
			next.Customers = append(next.Customers, &egretmuxv1.Customer{
				Name: c.GetName(), Weight: c.GetWeight(), JobsPerSecond: c.GetJobsPerSecond(), Quota: c.GetQuota(),
			})
		}
	}
}

// checkCustomers returns a refusal if the customers of a catalogue are invalid.
func checkCustomers(m *egretmuxv1.Catalogue) error {
	names := make(map[string]bool, len(m.GetCustomers()))
	owners := make(map[CredentialHash]string)
	for _, c := range m.GetCustomers() {
		if c.GetName() == "" || names[c.GetName()] {
			return invalidCustomers("name each customer once", "customer %.100q is listed twice or has no name", c.GetName())
		}
		names[c.GetName()] = true
		if err := checkLimits(c); err != nil {
			return err
		}
		if err := checkCredentials(c, owners); err != nil {
			return err
		}
	}
	return nil
}

func checkLimits(c *egretmuxv1.Customer) error {
	for _, v := range []float64{c.GetWeight(), c.GetJobsPerSecond()} {
		if !(v >= 0 && v <= maxWeight) { // also refuses what is not a number
			return invalidCustomers("give a weight and a rate from zero to 1e9", "customer %.100q has the weight or rate %g", c.GetName(), v)
		}
	}
	if q := c.GetQuota(); min(q.GetCpuMillis(), q.GetMemoryMib(), q.GetAccelerators()) < 0 {
		return invalidCustomers("give limits of zero or more; zero is no limit", "customer %.100q has a negative limit", c.GetName())
	}
	return nil
}

// checkCredentials checks the credentials of a customer and adds them to those of the
// customers before it.
func checkCredentials(c *egretmuxv1.Customer, owners map[CredentialHash]string) error {
	for _, hash := range c.GetCredentialSha256() {
		key, ok := credentialHash(hash)
		if !ok {
			return invalidCustomers("send SHA-256 hashes", "customer %.100q has a credential hash of %d bytes", c.GetName(), len(hash))
		}
		if key == emptyCredential {
			return invalidCustomers("give each credential at least one character", "customer %.100q has an empty credential", c.GetName())
		}
		if owner, taken := owners[key]; taken && owner != c.GetName() {
			return invalidCustomers("give each customer credentials of its own", "customers %.100q and %.100q share a credential", owner, c.GetName())
		}
		owners[key] = c.GetName()
	}
	return nil
}

// emptyCredential is the hash of the empty credential, which callers cannot send.
var emptyCredential = CredentialHash(HashCredential(""))

func invalidCustomers(remedy, format string, args ...any) error {
	return refusal.New(refusal.Invalid, remedy, format, args...)
}
