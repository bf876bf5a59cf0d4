package state

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

const requestShards = 16

// requestKey identifies a non-idempotent request of a customer.
type requestKey struct{ customer, key string }

// requestTable holds the records of non-idempotent requests in shards.
type requestTable struct {
	shards [requestShards]requestShard
}

type requestShard struct {
	mu    sync.RWMutex
	byKey map[requestKey]*egretmuxv1.RequestRecord
}

func (t *requestTable) clear() {
	for i := range t.shards {
		t.shards[i].mu.Lock()
		t.shards[i].byKey = make(map[requestKey]*egretmuxv1.RequestRecord)
		t.shards[i].mu.Unlock()
	}
}

func (t *requestTable) shard(k requestKey) *requestShard {
	return &t.shards[xxhash.Sum64String(k.key)%requestShards]
}

func (t *requestTable) get(k requestKey) *egretmuxv1.RequestRecord {
	s := t.shard(k)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byKey[k]
}

func (t *requestTable) put(r *egretmuxv1.RequestRecord) {
	k := requestKey{r.GetCustomer(), r.GetKey()}
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKey[k] = r
}

func (t *requestTable) len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.RLock()
		n += len(t.shards[i].byKey)
		t.shards[i].mu.RUnlock()
	}
	return n
}

// all returns the records in no order.
func (t *requestTable) all() []*egretmuxv1.RequestRecord {
	var out []*egretmuxv1.RequestRecord
	for i := range t.shards {
		t.shards[i].mu.RLock()
		for _, r := range t.shards[i].byKey {
			out = append(out, r)
		}
		t.shards[i].mu.RUnlock()
	}
	return out
}

func sortRequests(out []*egretmuxv1.RequestRecord) {
	sort.Slice(out, func(i, j int) bool {
		if out[i].GetCustomer() != out[j].GetCustomer() {
			return out[i].GetCustomer() < out[j].GetCustomer()
		}
		return out[i].GetKey() < out[j].GetKey()
	})
}

// dropBefore drops the requests whose last change was before the given time,
// Unix milliseconds, and returns their number.
func (t *requestTable) dropBefore(before int64) int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, r := range s.byKey {
			if max(r.GetBegunUnixMs(), r.GetEndedUnixMs()) < before {
				delete(s.byKey, k)
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// markUnknownBegunBefore sets to unknown the outcome of the requests that began
// before the given time and have not ended: their entries no longer wait for them.
func (t *requestTable) markUnknownBegunBefore(before, now int64) int {
	return t.markUnknown(now, func(r *egretmuxv1.RequestRecord) bool { return r.GetBegunUnixMs() < before })
}

// markUnknownByInstance sets to unknown the outcome of the requests that the
// instance has begun but not ended.
func (t *requestTable) markUnknownByInstance(instance string, now int64) int {
	return t.markUnknown(now, func(r *egretmuxv1.RequestRecord) bool { return r.GetInstance() == instance })
}

// markUnknown sets the outcome of the begun requests that match to unknown. An
// outcome that becomes known later may still be recorded.
func (t *requestTable) markUnknown(now int64, match func(*egretmuxv1.RequestRecord) bool) int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, r := range s.byKey {
			if r.GetPhase() != egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN || !match(r) {
				continue
			}
			next := clone(r)
			next.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN
			next.EndedUnixMs = now
			s.byKey[k] = next
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// beginRequest records an attempt before its first byte is sent. Only the
// proposer whose Result has Run set may send it.
func (s *Store) beginRequest(c *egretmuxv1.BeginRequest) *Result {
	r := c.GetRequest()
	k := requestKey{r.GetCustomer(), r.GetKey()}
	old := s.requests.get(k)
	if old != nil && old.GetBodyHash() != r.GetBodyHash() {
		return &Result{Request: old, Err: refusal.New(refusal.KeyConflict, "use a new Idempotency-Key for another request",
			"key %s was used for another request", r.GetKey())}
	}
	if old != nil && s.outcomeOverdue(old) {
		old = clone(old)
		old.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN
		old.EndedUnixMs = s.now
		s.requests.put(old)
	}
	if old != nil && old.GetPhase() != egretmuxv1.RequestPhase_REQUEST_PHASE_NOT_RUN {
		// An entry that missed the first answer proposes the same attempt again.
		return &Result{Request: old, Run: old.GetPhase() == egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN && old.GetAttempt() == r.GetAttempt()}
	}
	if old != nil && old.GetAttempt() == r.GetAttempt() {
		return &Result{Request: old} // a late copy of an attempt that has ended
	}
	next := clone(r)
	next.Phase = egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN
	next.BegunUnixMs = s.now
	s.requests.put(next)
	return &Result{Request: next, Run: true}
}

// outcomeGraceMs is the time after a request's deadline in which its entry may
// still commit the outcome.
const outcomeGraceMs = 30_000

// outcomeOverdue reports whether the entry that began a request must have ended
// without committing an outcome. The request may have run.
func (s *Store) outcomeOverdue(r *egretmuxv1.RequestRecord) bool {
	return r.GetPhase() == egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN && r.GetLimitMs() > 0 && s.now > r.GetBegunUnixMs()+r.GetLimitMs()+outcomeGraceMs
}

// endRequest records the outcome of an attempt. The first outcome is final,
// except that an unknown one may still become done.
func (s *Store) endRequest(c *egretmuxv1.EndRequest) *Result {
	old := s.requests.get(requestKey{c.GetCustomer(), c.GetKey()})
	if old == nil || old.GetAttempt() != c.GetAttempt() || !validRequestTransition(old.GetPhase(), c.GetPhase()) {
		return &Result{Request: old}
	}
	next := clone(old)
	next.Phase = c.GetPhase()
	next.EndedUnixMs = s.now
	next.Status = c.GetStatus()
	next.Answer = c.GetAnswer()
	next.AnswerKept = c.GetAnswerKept()
	s.requests.put(next)
	return &Result{Request: next, Applied: 1}
}

// validRequestTransition reports whether a request in one phase may end in
// another.
func validRequestTransition(from, to egretmuxv1.RequestPhase) bool {
	switch to {
	case egretmuxv1.RequestPhase_REQUEST_PHASE_DONE:
		return from == egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN || from == egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN
	case egretmuxv1.RequestPhase_REQUEST_PHASE_NOT_RUN, egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN:
		return from == egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN
	}
	return false
}

// Request returns the record of a non-idempotent request, or nil.
func (s *Store) Request(customer, key string) *egretmuxv1.RequestRecord {
	return s.requests.get(requestKey{customer, key})
}
