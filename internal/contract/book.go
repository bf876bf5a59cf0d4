package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Book holds the contracts in force at one instance. Its version never
// decreases: Apply ignores changes that are not newer.
type Book struct {
	mu           sync.RWMutex
	version      uint64 // cell version up to which changes are applied
	byCustomer   map[string]*Contract
	byCredential map[string]*Contract // by the hex SHA-256 of the credential
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{byCustomer: make(map[string]*Contract), byCredential: make(map[string]*Contract)}
}

// Apply replaces or deletes the contracts that changed up to the given cell
// version. changed must hold all of them that are newer than Version.
func (b *Book) Apply(cellVersion uint64, changed []*egretmuxv1.ContractVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cellVersion <= b.version {
		return
	}
	for _, v := range changed {
		if v.GetCellVersion() <= b.version {
			continue
		}
		delete(b.byCustomer, v.GetCustomer())
		if v.GetDeleted() {
			continue
		}
		// The leader commits only checked contracts.
		if c, err := Parse(v.GetCustomer(), v.GetText()); err == nil {
			b.byCustomer[v.GetCustomer()] = c
		}
	}
	b.version = cellVersion
	b.byCredential = make(map[string]*Contract)
	for _, c := range b.byCustomer {
		for _, h := range c.Credentials {
			b.byCredential[h] = c
		}
	}
}

// Version returns the cell version whose contracts are in force at this instance.
func (b *Book) Version() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.version
}

// ByCredential returns the contract of the customer that owns the credential, or nil.
func (b *Book) ByCredential(token string) *Contract {
	sum := sha256.Sum256([]byte(token))
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byCredential[hex.EncodeToString(sum[:])]
}

// ByCustomer returns a customer's contract, or nil.
func (b *Book) ByCustomer(name string) *Contract {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byCustomer[name]
}

// Customers returns the number of contracts in force.
func (b *Book) Customers() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.byCustomer)
}
