package state

import (
	"sort"
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/refusal"
)

const (
	keptVersions     = 50  // versions of one contract that can be looked up
	maxChangeIDBytes = 256 // length of a change id
)

// contractTable holds the versions of each contract, oldest first, and the
// newest one's checked form. The cell version changes together with the
// versions, so that no reader sees a number without the change it counts.
type contractTable struct {
	mu          sync.RWMutex
	cellVersion uint64 // contract changes so far
	versions    map[string][]*egretmuxv1.ContractVersion
	parsed      map[string]*contract.Contract
}

// replace sets the whole content at once. The list is in order of cell versions.
func (t *contractTable) replace(cellVersion uint64, list []*egretmuxv1.ContractVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cellVersion = cellVersion
	t.versions = make(map[string][]*egretmuxv1.ContractVersion)
	t.parsed = make(map[string]*contract.Contract)
	for _, c := range list {
		t.versions[c.GetCustomer()] = append(t.versions[c.GetCustomer()], c)
	}
	for customer := range t.versions {
		t.parseNewest(customer)
	}
}

// put adds the next change of the cell.
func (t *contractTable) put(c *egretmuxv1.ContractVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := append(t.versions[c.GetCustomer()], c)
	if len(list) > keptVersions {
		list = append([]*egretmuxv1.ContractVersion(nil), list[len(list)-keptVersions:]...)
	}
	t.versions[c.GetCustomer()] = list
	t.cellVersion = c.GetCellVersion()
	t.parseNewest(c.GetCustomer())
}

func (t *contractTable) parseNewest(customer string) {
	delete(t.parsed, customer)
	newest := newestOf(t.versions[customer])
	if newest.GetDeleted() {
		return
	}
	if parsed, err := contract.Parse(customer, newest.GetText()); err == nil {
		t.parsed[customer] = parsed
	}
}

func newestOf(list []*egretmuxv1.ContractVersion) *egretmuxv1.ContractVersion {
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

func (t *contractTable) newest(customer string) *egretmuxv1.ContractVersion {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return newestOf(t.versions[customer])
}

// at returns a kept version or nil.
func (t *contractTable) at(customer string, version uint64) *egretmuxv1.ContractVersion {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, v := range t.versions[customer] {
		if v.GetVersion() == version {
			return v
		}
	}
	return nil
}

func (t *contractTable) version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.cellVersion
}

// all returns every kept version in order of cell versions.
func (t *contractTable) all() []*egretmuxv1.ContractVersion {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []*egretmuxv1.ContractVersion
	for _, list := range t.versions {
		out = append(out, list...)
	}
	sortByCellVersion(out)
	return out
}

func sortByCellVersion(list []*egretmuxv1.ContractVersion) {
	sort.Slice(list, func(i, j int) bool { return list[i].GetCellVersion() < list[j].GetCellVersion() })
}

// since returns the cell version and the newest version of each contract that
// changed after the given one, as of one moment.
func (t *contractTable) since(cellVersion uint64) (uint64, []*egretmuxv1.ContractVersion) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []*egretmuxv1.ContractVersion
	for _, list := range t.versions {
		if newest := newestOf(list); newest.GetCellVersion() > cellVersion {
			out = append(out, newest)
		}
	}
	sortByCellVersion(out)
	return t.cellVersion, out
}

// applyContract is a compare and set on the customer's version. A change id
// that was answered before, by success or by a conflict, gets that answer again.
func (s *Store) applyContract(c *egretmuxv1.ApplyContract) *Result {
	if err := checkChangeID(c.GetChangeId()); err != nil {
		return &Result{Err: err}
	}
	if done := s.changes.get(c.GetChangeId()); done != nil {
		return s.repeatedContract(done, c)
	}
	current := s.contract.newest(c.GetCustomer())
	if current.GetVersion() != c.GetBaseVersion() {
		s.changes.put(s.changeRecord(c, current, true))
		return &Result{Contract: current, Err: versionConflict(c.GetCustomer(), c.GetBaseVersion(), current)}
	}
	if err := s.checkContract(c); err != nil {
		return &Result{Err: err}
	}
	next := &egretmuxv1.ContractVersion{
		Customer: c.GetCustomer(), Version: current.GetVersion() + 1, CellVersion: s.contract.version() + 1,
		Text: c.GetText(), Author: c.GetAuthor(), ChangeId: c.GetChangeId(),
		AppliedUnixMs: s.now, Deleted: c.GetDelete(),
	}
	s.changes.put(s.changeRecord(c, next, false))
	s.contract.put(next)
	if s.listener != nil {
		s.listener.ContractChanged(next)
	}
	return &Result{Contract: next}
}

func checkChangeID(id string) *refusal.Error {
	if id == "" || len(id) > maxChangeIDBytes {
		return refusal.New(refusal.Invalid, "give each change an id of its own, such as a commit's hash, and repeat it when resending",
			"the change id is empty or longer than %d bytes", maxChangeIDBytes)
	}
	return nil
}

func (s *Store) checkContract(c *egretmuxv1.ApplyContract) *refusal.Error {
	if c.GetDelete() {
		return nil
	}
	parsed, err := contract.Parse(c.GetCustomer(), c.GetText())
	if err != nil {
		return refusal.New(refusal.Invalid, "mend the file", "%v", err)
	}
	if parsed.Customer != c.GetCustomer() {
		return refusal.New(refusal.Invalid, "apply it under its own name", "the file is for customer %s", parsed.Customer)
	}
	if other := contract.SharedCredential(parsed, s.ParsedContracts()); other != "" {
		return refusal.New(refusal.Invalid, "give each customer a credential of its own", "customer %s has the same credential", other)
	}
	return nil
}

// versionConflict names the change that won.
func versionConflict(customer string, base uint64, winner *egretmuxv1.ContractVersion) *refusal.Error {
	return refusal.New(refusal.VersionConflict,
		"merge the difference and apply on version "+uintName(winner.GetVersion())+" under a new change id",
		"contract %s is at version %d (by %s, change %s), not %d",
		customer, winner.GetVersion(), winner.GetAuthor(), winner.GetChangeId(), base)
}

// repeatedContract gives the first answer again, unless the id now names
// another change. The base version does not count: a client that reads it anew
// before resending still means the same change.
func (s *Store) repeatedContract(done *egretmuxv1.ChangeRecord, c *egretmuxv1.ApplyContract) *Result {
	if done.GetContentHash() != contentHash(c) {
		return &Result{Err: refusal.New(refusal.KeyConflict, "use a new change id",
			"change %s was used for another change of customer %s by %s", c.GetChangeId(), done.GetCustomer(), done.GetAuthor())}
	}
	v := s.contract.at(done.GetCustomer(), done.GetVersion())
	if v == nil { // no longer kept
		v = &egretmuxv1.ContractVersion{
			Customer: done.GetCustomer(), Version: done.GetVersion(), CellVersion: done.GetCellVersion(),
			ChangeId: done.GetWinner(), Author: done.GetWinnerAuthor(), AppliedUnixMs: done.GetAtUnixMs(),
		}
	}
	if done.GetConflict() {
		return &Result{Contract: v, Err: versionConflict(done.GetCustomer(), done.GetBaseVersion(), v)}
	}
	return &Result{Contract: v}
}

// Contract returns a version of a customer's contract, the newest for version
// zero, or nil.
func (s *Store) Contract(customer string, version uint64) *egretmuxv1.ContractVersion {
	if version == 0 {
		return s.contract.newest(customer)
	}
	return s.contract.at(customer, version)
}

// ContractHistory returns the kept versions of a contract, newest first.
func (s *Store) ContractHistory(customer string) []*egretmuxv1.ContractVersion {
	s.contract.mu.RLock()
	defer s.contract.mu.RUnlock()
	list := s.contract.versions[customer]
	out := make([]*egretmuxv1.ContractVersion, 0, len(list))
	for i := len(list) - 1; i >= 0; i-- {
		out = append(out, list[i])
	}
	return out
}

// CellVersion returns the number of contract changes so far.
func (s *Store) CellVersion() uint64 { return s.contract.version() }

// ContractsSince returns the cell version and, as of the same moment, the
// newest version of each contract that changed after the given cell version,
// deletions included, oldest change first.
func (s *Store) ContractsSince(cellVersion uint64) (uint64, []*egretmuxv1.ContractVersion) {
	return s.contract.since(cellVersion)
}

// ParsedContract returns the checked form of a customer's newest contract, or nil.
func (s *Store) ParsedContract(customer string) *contract.Contract {
	s.contract.mu.RLock()
	defer s.contract.mu.RUnlock()
	return s.contract.parsed[customer]
}

// ParsedContracts returns the checked forms of all contracts in force, by customer name.
func (s *Store) ParsedContracts() []*contract.Contract {
	s.contract.mu.RLock()
	defer s.contract.mu.RUnlock()
	out := make([]*contract.Contract, 0, len(s.contract.parsed))
	for _, c := range s.contract.parsed {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}
