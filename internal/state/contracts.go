package state

import (
	"sort"
	"sync"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/refusal"
)

const (
	maxContractVersions = 50 // kept for each contract
	maxChangeIDBytes    = 256
)

// contractTable holds the versions of each contract, oldest first, and the
// newest one in parsed form. The cell version changes under the same lock, so
// that no reader sees a cell version without the change that made it.
type contractTable struct {
	mu          sync.RWMutex
	cellVersion uint64 // contract changes so far
	versions    map[string][]*egretmuxv1.ContractVersion
	parsed      map[string]*contract.Contract
}

// replace sets the whole content. The list must be in order of cell versions.
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

// put adds the next contract version of the cell and drops the customer's
// oldest one beyond maxContractVersions.
func (t *contractTable) put(c *egretmuxv1.ContractVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := append(t.versions[c.GetCustomer()], c)
	if len(list) > maxContractVersions {
		list = append([]*egretmuxv1.ContractVersion(nil), list[len(list)-maxContractVersions:]...)
	}
	t.versions[c.GetCustomer()] = list
	t.cellVersion = c.GetCellVersion()
	t.parseNewest(c.GetCustomer())
}

func (t *contractTable) parseNewest(customer string) {
	delete(t.parsed, customer)
	newest := lastVersion(t.versions[customer])
	if newest.GetDeleted() {
		return
	}
	if parsed, err := contract.Parse(customer, newest.GetText()); err == nil {
		t.parsed[customer] = parsed
	}
}

func lastVersion(list []*egretmuxv1.ContractVersion) *egretmuxv1.ContractVersion {
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

func (t *contractTable) newest(customer string) *egretmuxv1.ContractVersion {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return lastVersion(t.versions[customer])
}

// get returns a version, or nil if it is not kept.
func (t *contractTable) get(customer string, version uint64) *egretmuxv1.ContractVersion {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, v := range t.versions[customer] {
		if v.GetVersion() == version {
			return v
		}
	}
	return nil
}

func (t *contractTable) loadCellVersion() uint64 {
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

// changedSince returns the cell version and the newest version of each contract
// that changed after the given one, as of the same moment.
func (t *contractTable) changedSince(cellVersion uint64) (uint64, []*egretmuxv1.ContractVersion) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []*egretmuxv1.ContractVersion
	for _, list := range t.versions {
		if newest := lastVersion(list); newest.GetCellVersion() > cellVersion {
			out = append(out, newest)
		}
	}
	sortByCellVersion(out)
	return t.cellVersion, out
}

// applyContract is a compare-and-set on the version of the customer's contract.
// A change id that was answered before, with success or a conflict, gets the
// same answer again.
func (s *Store) applyContract(c *egretmuxv1.ApplyContract) *Result {
	if err := checkChangeID(c.GetChangeId()); err != nil {
		return &Result{Err: err}
	}
	if first := s.changes.get(c.GetChangeId()); first != nil {
		return s.answerRepeatedChange(first, c)
	}
	current := s.contracts.newest(c.GetCustomer())
	if current.GetVersion() != c.GetBaseVersion() {
		s.changes.put(s.changeRecord(c, current, true))
		return &Result{Contract: current, Err: versionConflict(c.GetCustomer(), c.GetBaseVersion(), current)}
	}
	if err := s.checkContract(c); err != nil {
		return &Result{Err: err}
	}
	next := &egretmuxv1.ContractVersion{
		Customer: c.GetCustomer(), Version: current.GetVersion() + 1, CellVersion: s.contracts.loadCellVersion() + 1,
		Text: c.GetText(), Author: c.GetAuthor(), ChangeId: c.GetChangeId(),
		AppliedUnixMs: s.now, Deleted: c.GetDelete(),
	}
	s.changes.put(s.changeRecord(c, next, false))
	s.contracts.put(next)
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
		return refusal.New(refusal.Invalid, "correct the file", "%v", err)
	}
	if parsed.Customer != c.GetCustomer() {
		return refusal.New(refusal.Invalid, "apply it under its own name", "the file is for customer %s", parsed.Customer)
	}
	if other := contract.SharedCredential(parsed, s.ParsedContracts()); other != "" {
		return refusal.New(refusal.Invalid, "give each customer a credential of its own", "customer %s has the same credential", other)
	}
	return nil
}

// versionConflict returns the error for a change that isn't based on the
// current version. It names the change that made the current version.
func versionConflict(customer string, base uint64, winner *egretmuxv1.ContractVersion) *refusal.Error {
	return refusal.New(refusal.VersionConflict,
		"merge the difference and apply on version "+formatUint(winner.GetVersion())+" under a new change id",
		"contract %s is at version %d (by %s, change %s), not %d",
		customer, winner.GetVersion(), winner.GetAuthor(), winner.GetChangeId(), base)
}

// answerRepeatedChange returns the first answer to a change id, or a key
// conflict if the id was used for a different change. The base version is not
// compared: a client may read it again before it resends the same change.
func (s *Store) answerRepeatedChange(first *egretmuxv1.ChangeRecord, c *egretmuxv1.ApplyContract) *Result {
	if first.GetContentHash() != contentHash(c) {
		return &Result{Err: refusal.New(refusal.KeyConflict, "use a new change id",
			"change %s was used for another change of customer %s by %s", c.GetChangeId(), first.GetCustomer(), first.GetAuthor())}
	}
	v := s.contracts.get(first.GetCustomer(), first.GetVersion())
	if v == nil { // no longer kept
		v = &egretmuxv1.ContractVersion{
			Customer: first.GetCustomer(), Version: first.GetVersion(), CellVersion: first.GetCellVersion(),
			ChangeId: first.GetWinner(), Author: first.GetWinnerAuthor(), AppliedUnixMs: first.GetAtUnixMs(),
		}
	}
	if first.GetConflict() {
		return &Result{Contract: v, Err: versionConflict(first.GetCustomer(), first.GetBaseVersion(), v)}
	}
	return &Result{Contract: v}
}

// Contract returns a version of a customer's contract, the newest for version
// zero, or nil.
func (s *Store) Contract(customer string, version uint64) *egretmuxv1.ContractVersion {
	if version == 0 {
		return s.contracts.newest(customer)
	}
	return s.contracts.get(customer, version)
}

// ContractHistory returns the kept versions of a contract, newest first.
func (s *Store) ContractHistory(customer string) []*egretmuxv1.ContractVersion {
	s.contracts.mu.RLock()
	defer s.contracts.mu.RUnlock()
	list := s.contracts.versions[customer]
	out := make([]*egretmuxv1.ContractVersion, 0, len(list))
	for i := len(list) - 1; i >= 0; i-- {
		out = append(out, list[i])
	}
	return out
}

// CellVersion returns the number of contract changes so far.
func (s *Store) CellVersion() uint64 { return s.contracts.loadCellVersion() }

// ContractsSince returns the cell version and, as of the same moment, the
// newest version of each contract that changed after the given cell version,
// deletions included, oldest change first.
func (s *Store) ContractsSince(cellVersion uint64) (uint64, []*egretmuxv1.ContractVersion) {
	return s.contracts.changedSince(cellVersion)
}

// ParsedContract returns a customer's contract in force in parsed form, or nil.
func (s *Store) ParsedContract(customer string) *contract.Contract {
	s.contracts.mu.RLock()
	defer s.contracts.mu.RUnlock()
	return s.contracts.parsed[customer]
}

// ParsedContracts returns all contracts in force in parsed form, ordered by
// customer name.
func (s *Store) ParsedContracts() []*contract.Contract {
	s.contracts.mu.RLock()
	defer s.contracts.mu.RUnlock()
	out := make([]*contract.Contract, 0, len(s.contracts.parsed))
	for _, c := range s.contracts.parsed {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}
