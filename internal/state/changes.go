package state

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// changeTable holds the answers to contract changes by change id. Only the
// applying goroutine uses it.
type changeTable struct {
	byID map[string]*egretmuxv1.ChangeRecord
}

func (t *changeTable) clear() { t.byID = make(map[string]*egretmuxv1.ChangeRecord) }

func (t *changeTable) get(id string) *egretmuxv1.ChangeRecord { return t.byID[id] }

func (t *changeTable) put(r *egretmuxv1.ChangeRecord) { t.byID[r.GetChangeId()] = r }

// all returns the records in no order.
func (t *changeTable) all() []*egretmuxv1.ChangeRecord {
	out := make([]*egretmuxv1.ChangeRecord, 0, len(t.byID))
	for _, r := range t.byID {
		out = append(out, r)
	}
	return out
}

func sortChanges(list []*egretmuxv1.ChangeRecord) {
	sort.Slice(list, func(i, j int) bool { return list[i].GetChangeId() < list[j].GetChangeId() })
}

// dropBefore drops the records of changes answered before the given time, Unix
// milliseconds; they are kept as long as ended tasks. A change resent after that
// conflicts with the version that it made itself.
func (t *changeTable) dropBefore(before int64) {
	for id, r := range t.byID {
		if r.GetAtUnixMs() < before {
			delete(t.byID, id)
		}
	}
}

// changeRecord returns the record of a change and its answer: the version that
// it made or, on a conflict, the current version.
func (s *Store) changeRecord(c *egretmuxv1.ApplyContract, answer *egretmuxv1.ContractVersion, conflict bool) *egretmuxv1.ChangeRecord {
	return &egretmuxv1.ChangeRecord{
		ChangeId: c.GetChangeId(), Customer: c.GetCustomer(), Author: c.GetAuthor(), BaseVersion: c.GetBaseVersion(),
		Version: answer.GetVersion(), CellVersion: answer.GetCellVersion(), Winner: answer.GetChangeId(), WinnerAuthor: answer.GetAuthor(),
		AtUnixMs: s.now, ContentHash: contentHash(c), Conflict: conflict,
	}
}

// contentHash hashes what a change does: its customer and the new text or the
// deletion.
func contentHash(c *egretmuxv1.ApplyContract) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.GetCustomer() + "\x00" + c.GetText())
	if c.GetDelete() {
		_, _ = h.WriteString("\x00deleted")
	}
	return h.Sum64()
}
