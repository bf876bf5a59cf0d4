package state

import (
	"sort"
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/refusal"
)

// keptVersions is how many versions of one contract can be looked up.
const keptVersions = 50

// contractTable holds the versions of each contract, oldest first, and the
// newest one's checked form.
type contractTable struct {
	mu       sync.RWMutex
	versions map[string][]*egretmuxv1.ContractVersion
	parsed   map[string]*contract.Contract
}

func (t *contractTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions = make(map[string][]*egretmuxv1.ContractVersion)
	t.parsed = make(map[string]*contract.Contract)
}

func (t *contractTable) put(c *egretmuxv1.ContractVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := append(t.versions[c.GetCustomer()], c)
	if len(list) > keptVersions {
		list = append([]*egretmuxv1.ContractVersion(nil), list[len(list)-keptVersions:]...)
	}
	t.versions[c.GetCustomer()] = list
	delete(t.parsed, c.GetCustomer())
	if c.GetDeleted() {
		return
	}
	if parsed, err := contract.Parse(c.GetCustomer(), c.GetText()); err == nil {
		t.parsed[c.GetCustomer()] = parsed
	}
}

func (t *contractTable) newest(customer string) *egretmuxv1.ContractVersion {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := t.versions[customer]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

func (t *contractTable) all() []*egretmuxv1.ContractVersion {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []*egretmuxv1.ContractVersion
	for _, list := range t.versions {
		out = append(out, list...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetCellVersion() < out[j].GetCellVersion() })
	return out
}

// applyContract is a compare and set on the customer's version. A change id
// that was carried out before gets its first answer again.
func (s *Store) applyContract(c *egretmuxv1.ApplyContract) *Result {
	if done := s.changes["contract/"+c.GetChangeId()]; done != nil {
		return s.repeatedContract(done, c)
	}
	current := s.contract.newest(c.GetCustomer())
	if current.GetVersion() != c.GetBaseVersion() {
		return &Result{Contract: current, Err: refusal.New(refusal.VersionConflict,
			"look at the difference with 'egretmux contract diff', merge, and apply on version "+versionName(current),
			"contract %s is at version %d (by %s, change %s), not %d",
			c.GetCustomer(), current.GetVersion(), current.GetAuthor(), current.GetChangeId(), c.GetBaseVersion())}
	}
	if !c.GetDelete() {
		parsed, err := contract.Parse(c.GetCustomer(), c.GetText())
		if err != nil {
			return &Result{Err: refusal.New(refusal.Invalid, "mend the file", "%v", err)}
		}
		if parsed.Customer != c.GetCustomer() {
			return &Result{Err: refusal.New(refusal.Invalid, "apply it under its own name", "the file is for customer %s", parsed.Customer)}
		}
		if other := contract.SharedCredential(parsed, s.AllParsed()); other != "" {
			return &Result{Err: refusal.New(refusal.Invalid, "give each customer a credential of its own", "customer %s has the same credential", other)}
		}
	}
	s.mu.Lock()
	s.last.cellVersion++
	version := s.last.cellVersion
	s.mu.Unlock()
	next := &egretmuxv1.ContractVersion{
		Customer: c.GetCustomer(), Version: current.GetVersion() + 1, CellVersion: version,
		Text: c.GetText(), Author: c.GetAuthor(), ChangeId: c.GetChangeId(),
		AppliedUnixMs: s.now, Deleted: c.GetDelete(),
	}
	s.contract.put(next)
	s.changes["contract/"+c.GetChangeId()] = &egretmuxv1.ChangeRecord{
		ChangeId: "contract/" + c.GetChangeId(), Customer: c.GetCustomer(),
		Version: next.GetVersion(), CellVersion: version, AtUnixMs: s.now,
	}
	if s.listener != nil {
		s.listener.ContractChanged(next)
	}
	return &Result{Contract: next}
}

func versionName(c *egretmuxv1.ContractVersion) string {
	if c == nil {
		return "0"
	}
	return uintName(c.GetVersion())
}

func (s *Store) repeatedContract(done *egretmuxv1.ChangeRecord, c *egretmuxv1.ApplyContract) *Result {
	if done.GetCustomer() != c.GetCustomer() {
		return &Result{Err: refusal.New(refusal.KeyConflict, "use a new change id", "change %s was for customer %s", c.GetChangeId(), done.GetCustomer())}
	}
	if v := s.Contract(done.GetCustomer(), done.GetVersion()); v != nil {
		return &Result{Contract: v}
	}
	return &Result{Contract: &egretmuxv1.ContractVersion{
		Customer: done.GetCustomer(), Version: done.GetVersion(), CellVersion: done.GetCellVersion(),
		ChangeId: c.GetChangeId(), AppliedUnixMs: done.GetAtUnixMs(),
	}}
}

// Contract returns a version of a customer's contract, the newest for version
// zero, or nil.
func (s *Store) Contract(customer string, version uint64) *egretmuxv1.ContractVersion {
	if version == 0 {
		return s.contract.newest(customer)
	}
	s.contract.mu.RLock()
	defer s.contract.mu.RUnlock()
	for _, v := range s.contract.versions[customer] {
		if v.GetVersion() == version {
			return v
		}
	}
	return nil
}

// History returns the kept versions of a contract, newest first.
func (s *Store) History(customer string) []*egretmuxv1.ContractVersion {
	s.contract.mu.RLock()
	defer s.contract.mu.RUnlock()
	list := s.contract.versions[customer]
	out := make([]*egretmuxv1.ContractVersion, 0, len(list))
	for i := len(list) - 1; i >= 0; i-- {
		out = append(out, list[i])
	}
	return out
}

// ContractsSince returns the newest version of each contract that changed
// after the given cell version, deletions included, oldest change first.
func (s *Store) ContractsSince(cellVersion uint64) []*egretmuxv1.ContractVersion {
	s.contract.mu.RLock()
	defer s.contract.mu.RUnlock()
	var out []*egretmuxv1.ContractVersion
	for _, list := range s.contract.versions {
		if newest := list[len(list)-1]; newest.GetCellVersion() > cellVersion {
			out = append(out, newest)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetCellVersion() < out[j].GetCellVersion() })
	return out
}

// Parsed returns the checked form of a customer's newest contract, or nil.
func (s *Store) Parsed(customer string) *contract.Contract {
	s.contract.mu.RLock()
	defer s.contract.mu.RUnlock()
	return s.contract.parsed[customer]
}

// AllParsed returns the checked forms of all contracts in force, by customer name.
func (s *Store) AllParsed() []*contract.Contract {
	s.contract.mu.RLock()
	defer s.contract.mu.RUnlock()
	out := make([]*contract.Contract, 0, len(s.contract.parsed))
	for _, c := range s.contract.parsed {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}
