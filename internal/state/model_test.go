package state_test

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/state"
)

// Runs are reproducible; -rapid.seed sets another seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// contractText returns a valid contract; different queues make different texts.
func contractText(customer string, queue int) string {
	return fmt.Sprintf("[contract]\ncustomer = %s\nshare = 0.5\ncredential_sha256 = %x\n\n[class.lookup]\nqueue = %d\n",
		customer, sha256.Sum256([]byte(customer)), queue)
}

func capture(t require.TestingT, s *state.Store) []byte {
	var out bytes.Buffer
	require.NoError(t, s.Capture()(&out))
	return out.Bytes()
}

// change is the expected answer to a change id.
type change struct {
	customer, text string
	deleted        bool
	conflict       bool
	version        uint64
}

// request is the expected record of an idempotency key.
type request struct {
	instance      string
	hash, attempt uint64
	phase         egretmuxv1.RequestPhase
	changedUnixMs int64
}

// oracle holds the expected state in plain maps beside two replicas that apply
// the same log.
type oracle struct {
	replicas    [2]*state.Store
	index       uint64
	now         int64
	cellVersion uint64
	versions    map[string][]string // texts by customer
	changes     map[string]*change
	requests    map[string]*request
	instances   map[string]*egretmuxv1.Instance
}

func newOracle() *oracle {
	return &oracle{
		replicas: [2]*state.Store{state.New(nil), state.New(nil)}, now: 1_000_000,
		versions: make(map[string][]string), changes: make(map[string]*change),
		requests: make(map[string]*request), instances: make(map[string]*egretmuxv1.Instance),
	}
}

// apply gives a command to both replicas and returns the first one's result.
func (o *oracle) apply(t *rapid.T, cmd *egretmuxv1.Command) *state.Result {
	o.index++
	o.now += int64(rapid.IntRange(0, 500).Draw(t, "elapsed"))
	cmd.NowUnixMs = o.now
	data, err := proto.Marshal(cmd)
	require.NoError(t, err)
	first := o.replicas[0].Apply(o.index, data).(*state.Result)
	second := o.replicas[1].Apply(o.index, data).(*state.Result)
	require.Equal(t, fmt.Sprint(first), fmt.Sprint(second), "replicas answer differently")
	return first
}

var customers = rapid.SampledFrom([]string{"dixie", "kalahari", "third"})

func (o *oracle) changeContract(t *rapid.T) {
	customer := customers.Draw(t, "customer")
	current := uint64(len(o.versions[customer]))
	c := &egretmuxv1.ApplyContract{
		Customer: customer, ChangeId: rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6", "7", "8"}).Draw(t, "id"),
		BaseVersion: uint64(max(0, int(current)+rapid.IntRange(-1, 1).Draw(t, "base"))),
		Author:      rapid.SampledFrom([]string{"anna", "ben"}).Draw(t, "author"),
		Delete:      rapid.IntRange(0, 9).Draw(t, "delete") == 0,
	}
	if !c.GetDelete() {
		c.Text = contractText(customer, rapid.IntRange(1, 3).Draw(t, "queue"))
	}
	r := o.apply(t, &egretmuxv1.Command{Body: &egretmuxv1.Command_ApplyContract{ApplyContract: c}})
	first := o.changes[c.GetChangeId()]
	switch {
	case first != nil && (first.customer != customer || first.text != c.GetText() || first.deleted != c.GetDelete()):
		require.NotNil(t, r.Err)
		require.Equal(t, refusal.KeyConflict, r.Err.Kind)
		return
	case first == nil:
		first = &change{customer: customer, text: c.GetText(), deleted: c.GetDelete(), version: current + 1}
		if first.conflict = c.GetBaseVersion() != current; first.conflict {
			first.version = current
		} else {
			o.versions[customer] = append(o.versions[customer], c.GetText())
			o.cellVersion++
		}
		o.changes[c.GetChangeId()] = first
	}
	require.Equal(t, first.version, r.Contract.GetVersion(), "answer differs from the first one")
	if first.conflict {
		require.Equal(t, refusal.VersionConflict, r.Err.Kind)
		return
	}
	require.Nil(t, r.Err)
	require.Equal(t, c.GetChangeId(), r.Contract.GetChangeId())
	require.Equal(t, c.GetText(), r.Contract.GetText())
}

var keys = rapid.SampledFrom([]string{"a", "b", "c"})

func (o *oracle) beginRequest(t *rapid.T) {
	key, hash, attempt := keys.Draw(t, "key"), rapid.Uint64Range(1, 2).Draw(t, "hash"), rapid.Uint64Range(1, 6).Draw(t, "attempt")
	instance := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "instance")
	r := o.apply(t, &egretmuxv1.Command{Body: &egretmuxv1.Command_BeginRequest{BeginRequest: &egretmuxv1.BeginRequest{
		Request: &egretmuxv1.RequestRecord{Customer: "dixie", Key: key, BodyHash: hash, Attempt: attempt, Instance: instance},
	}}})
	old := o.requests[key]
	switch {
	case old != nil && old.hash != hash:
		require.NotNil(t, r.Err)
		require.Equal(t, refusal.KeyConflict, r.Err.Kind)
		require.False(t, r.Run)
	case old == nil || old.phase == egretmuxv1.RequestPhase_REQUEST_PHASE_NOT_RUN && old.attempt != attempt:
		require.True(t, r.Run)
		o.requests[key] = &request{hash: hash, attempt: attempt, instance: instance, phase: egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN, changedUnixMs: o.now}
	default: // only the attempt that began may run
		require.Equal(t, old.phase == egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN && old.attempt == attempt, r.Run)
		require.Equal(t, old.phase, r.Request.GetPhase())
	}
}

func (o *oracle) endRequest(t *rapid.T) {
	key, attempt := keys.Draw(t, "key"), rapid.Uint64Range(1, 6).Draw(t, "attempt")
	phase := rapid.SampledFrom([]egretmuxv1.RequestPhase{
		egretmuxv1.RequestPhase_REQUEST_PHASE_DONE, egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN, egretmuxv1.RequestPhase_REQUEST_PHASE_NOT_RUN,
	}).Draw(t, "phase")
	o.apply(t, &egretmuxv1.Command{Body: &egretmuxv1.Command_EndRequest{EndRequest: &egretmuxv1.EndRequest{
		Customer: "dixie", Key: key, Attempt: attempt, Phase: phase,
	}}})
	old := o.requests[key]
	if old == nil || old.attempt != attempt {
		return
	}
	late := old.phase == egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN && phase == egretmuxv1.RequestPhase_REQUEST_PHASE_DONE
	if late || old.phase == egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN {
		old.phase, old.changedUnixMs = phase, o.now
	}
}

func (o *oracle) collectGarbage(t *rapid.T) {
	outcomeTimeout, retention := int64(2000), int64(6000)
	o.apply(t, &egretmuxv1.Command{Body: &egretmuxv1.Command_CollectGarbage{CollectGarbage: &egretmuxv1.CollectGarbage{
		RequestsBegunBeforeUnixMs: o.now - outcomeTimeout, RequestsEndedBeforeUnixMs: o.now - retention,
	}}})
	// The limits were computed before apply advanced o.now, so the checks use
	// bounds, not exact times.
	for key, r := range o.requests {
		record := o.replicas[0].Request("dixie", key)
		if r.phase == egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN && record.GetPhase() == egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN {
			require.Less(t, r.changedUnixMs, o.now-outcomeTimeout+1)
			r.phase, r.changedUnixMs = egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN, o.now
		}
		if record == nil {
			require.Less(t, r.changedUnixMs, o.now-retention+1)
			delete(o.requests, key)
		}
	}
}

func (o *oracle) joinInstance(t *rapid.T) {
	id, incarnation := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "instance"), rapid.Uint64Range(1, 6).Draw(t, "incarnation")
	settled := rapid.Bool().Draw(t, "settled")
	r := o.apply(t, &egretmuxv1.Command{Body: &egretmuxv1.Command_JoinInstance{JoinInstance: &egretmuxv1.JoinInstance{
		Instance: &egretmuxv1.Instance{Id: id, Incarnation: incarnation}, Settled: settled,
	}}})
	old := o.instances[id]
	require.Equal(t, old.GetIncarnation() > incarnation, r.Err != nil)
	if r.Err != nil {
		return
	}
	for _, r := range o.requests {
		if old.GetIncarnation() < incarnation && r.instance == id && r.phase == egretmuxv1.RequestPhase_REQUEST_PHASE_BEGUN {
			r.phase, r.changedUnixMs = egretmuxv1.RequestPhase_REQUEST_PHASE_UNKNOWN, o.now
		}
	}
	next := &egretmuxv1.Instance{Id: id, Incarnation: incarnation}
	next.Predecessor = old != nil && (old.GetIncarnation() < incarnation || old.GetPredecessor() && !settled)
	o.instances[id] = next
}

func (o *oracle) leaveInstance(t *rapid.T) {
	id, incarnation := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "instance"), rapid.Uint64Range(1, 6).Draw(t, "incarnation")
	o.apply(t, &egretmuxv1.Command{Body: &egretmuxv1.Command_LeaveInstance{LeaveInstance: &egretmuxv1.LeaveInstance{Id: id, Incarnation: incarnation}}})
	if in := o.instances[id]; in.GetIncarnation() == incarnation && !in.GetPredecessor() {
		delete(o.instances, id)
	}
}

// restore replaces one replica by a new one restored from the other's snapshot.
func (o *oracle) restore(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "replica")
	snapshot := capture(t, o.replicas[1-i])
	o.replicas[i] = state.New(nil)
	require.NoError(t, o.replicas[i].Restore(snapshot))
}

// check compares the replicas with the oracle and with each other.
func (o *oracle) check(t *rapid.T) {
	s := o.replicas[0]
	require.Equal(t, o.cellVersion, s.CellVersion())
	for customer, texts := range o.versions {
		require.Equal(t, uint64(len(texts)), s.Contract(customer, 0).GetVersion())
		for i, text := range texts {
			require.Equal(t, text, s.Contract(customer, uint64(i+1)).GetText(), "version %d of %s changed", i+1, customer)
		}
	}
	for key, r := range o.requests {
		require.Equal(t, r.phase, s.Request("dixie", key).GetPhase())
		require.Equal(t, r.attempt, s.Request("dixie", key).GetAttempt())
	}
	require.Len(t, s.Instances(), len(o.instances))
	for _, in := range s.Instances() {
		require.True(t, proto.Equal(o.instances[in.GetId()], in))
	}
	require.Equal(t, capture(t, s), capture(t, o.replicas[1]), "replicas differ")
}

// TestModelStore applies random commands, with duplicates, to two replicas and
// the oracle. At random points a replica is restored from the other's snapshot.
func TestModelStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"":               o.check,
			"changeContract": o.changeContract,
			"beginRequest":   o.beginRequest,
			"endRequest":     o.endRequest,
			"collectGarbage": o.collectGarbage,
			"joinInstance":   o.joinInstance,
			"leaveInstance":  o.leaveInstance,
			"restore":        o.restore,
		})
	})
}
