package leader

import (
	"context"
	"fmt"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// maxDifferenceBytes is the maximum size of the difference in a conflict.
const maxDifferenceBytes = 16 << 10

// ApplyContract commits a change of a contract. A conflict carries the
// difference from the version in force to the refused text.
func (l *Leader) ApplyContract(ctx context.Context, c *egretmuxv1.ApplyContract) (*egretmuxv1.ContractVersion, error) {
	if _, err := l.currentTenure(); err != nil {
		return nil, err
	}
	result, err := l.propose(ctx, &egretmuxv1.Command{Body: &egretmuxv1.Command_ApplyContract{ApplyContract: c}})
	if result != nil && result.Err != nil && result.Err.Kind == refusal.VersionConflict {
		conflict := *result.Err // a copy, because result.Err is shared
		conflict.Difference = contractDiff(result.Contract, c)
		return nil, &conflict
	}
	if err != nil {
		return nil, err
	}
	return result.Contract, nil
}

// contractDiff returns a unified diff from a version in force to a change.
func contractDiff(from *egretmuxv1.ContractVersion, to *egretmuxv1.ApplyContract) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from.GetText()), FromFile: fmt.Sprintf("%s version %d, change %s by %s", to.GetCustomer(), from.GetVersion(), from.GetChangeId(), from.GetAuthor()),
		B: difflib.SplitLines(to.GetText()), ToFile: fmt.Sprintf("change %s by %s", to.GetChangeId(), to.GetAuthor()),
		Context: 1,
	})
	if err != nil || len(text) > maxDifferenceBytes {
		return "the difference is too long; see 'egretmux contract diff'\n"
	}
	return text
}

// Contract returns a version of a contract, the newest for version zero.
func (l *Leader) Contract(ctx context.Context, customer string, version uint64) (*egretmuxv1.ContractVersion, error) {
	if _, err := l.confirmTenure(ctx); err != nil {
		return nil, err
	}
	c := l.store.Contract(customer, version)
	if c == nil {
		return nil, refusal.New(refusal.NotFound, "list contracts with 'egretmux contract list'", "no contract %s at version %d", customer, version)
	}
	return c, nil
}

// Contracts returns the newest version of each contract.
func (l *Leader) Contracts(ctx context.Context) ([]*egretmuxv1.ContractVersion, error) {
	if _, err := l.confirmTenure(ctx); err != nil {
		return nil, err
	}
	_, list := l.store.ContractsSince(0)
	return list, nil
}

// History returns the kept versions of a contract, newest first.
func (l *Leader) History(ctx context.Context, customer string) ([]*egretmuxv1.ContractVersion, error) {
	if _, err := l.confirmTenure(ctx); err != nil {
		return nil, err
	}
	return l.store.ContractHistory(customer), nil
}

// ForceStatus reports whether every instance that may be serving uses at least
// the given cell version.
func (l *Leader) ForceStatus(ctx context.Context, cellVersion uint64) (*egretmuxv1.ForceStatusResponse, error) {
	t, err := l.confirmTenure(ctx)
	if err != nil {
		return nil, err
	}
	if current := l.store.CellVersion(); cellVersion > current {
		return nil, refusal.New(refusal.NotFound, "use the cell version that the change was accepted with", "the cell is at version %d, not %d", current, cellVersion)
	}
	resp := &egretmuxv1.ForceStatusResponse{Everywhere: true}
	for _, in := range t.instanceStatuses(time.Now()) {
		resp.Instances++
		if in.GetLeaseValid() && in.GetContractVersion() < cellVersion {
			resp.Everywhere = false
			resp.Behind = append(resp.Behind, in)
		}
	}
	return resp, nil
}

// instanceStatuses reports on each instance of the cell.
func (t *tenure) instanceStatuses(now time.Time) []*egretmuxv1.InstanceStatus {
	status, _ := t.leader.replica.Status()
	replicas := make(map[string]*egretmuxv1.Replica)
	for _, r := range status.Membership.GetReplicas() {
		replicas[r.GetInstance()] = r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*egretmuxv1.InstanceStatus
	for _, in := range t.store.Instances() {
		s := &egretmuxv1.InstanceStatus{Instance: in, LeaseValid: t.mayServe(in, now), Role: "entry"}
		if r := replicas[in.GetId()]; r != nil {
			s.Replica = r.GetId()
			s.Role = "voter"
			if r.GetLearner() {
				s.Role = "learner"
			}
			if r.GetId() == status.Leader {
				s.Role = "leader"
				s.Leader = true
			}
		}
		lastHeard := t.started
		if latest := t.sessions[in.GetId()]; latest != nil {
			s.ContractVersion = latest.oldestVersionInUse(in, t.predecessorMayHoldLease(in, now))
			lastHeard = latest.lastReport
		}
		s.SilentMs = now.Sub(lastHeard).Milliseconds()
		out = append(out, s)
	}
	return out
}
