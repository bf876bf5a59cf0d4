package job_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
)

// Sizes of the largest cells that are asked for.
const (
	manyQueues        = 1400
	manyCustomers     = 1000
	maxCustomersBytes = 4 << 20 // memory of manyCustomers, with their index
	maxCallCheckTime  = 2000    // nanoseconds
)

func customer(name string, keys ...string) *egretmuxv1.Customer {
	c := &egretmuxv1.Customer{Name: name, Weight: 1, Quota: &egretmuxv1.Resources{CpuMillis: 1000}}
	for _, key := range keys {
		c.CredentialSha256 = append(c.CredentialSha256, job.HashCredential(key))
	}
	return c
}

func withCustomers(version uint64, customers ...*egretmuxv1.Customer) *egretmuxv1.Catalogue {
	return &egretmuxv1.Catalogue{
		Version: version, Source: fmt.Append(nil, version), CredentialsRequired: true, Customers: customers, Pools: []*egretmuxv1.Pool{{Name: "p"}},
		Queues: []*egretmuxv1.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "p", TimeoutMs: 1}},
	}
}

func putCommand(c *egretmuxv1.Catalogue) *egretmuxv1.JobCommand {
	return &egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: c}}}
}

func ownerOf(b *job.Book, key string) string {
	return b.Catalogue().CustomerOf(job.HashCredential(key)).GetName()
}

// What a command puts into the log must never end a process, so that each of these is
// refused before.
func TestInvalidCustomersAreRefusedWithTheFaultNamed(t *testing.T) {
	for name, c := range map[string]struct {
		customers []*egretmuxv1.Customer
		fault     string
	}{
		"no name":                {[]*egretmuxv1.Customer{customer("")}, "no name"},
		"name twice":             {[]*egretmuxv1.Customer{customer("a", "x"), customer("a", "y")}, `"a" is listed twice`},
		"key of two customers":   {[]*egretmuxv1.Customer{customer("a", "x"), customer("b", "y", "x")}, `"a" and "b" share a credential`},
		"empty key":              {[]*egretmuxv1.Customer{customer("a", "x", "")}, `"a" has an empty credential`},
		"short hash":             {[]*egretmuxv1.Customer{{Name: "a", CredentialSha256: [][]byte{{1, 2, 3}}}}, "hash of 3 bytes"},
		"empty hash":             {[]*egretmuxv1.Customer{{Name: "a", CredentialSha256: [][]byte{{}}}}, "hash of 0 bytes"},
		"long hash":              {[]*egretmuxv1.Customer{{Name: "a", CredentialSha256: [][]byte{make([]byte, 33)}}}, "hash of 33 bytes"},
		"negative weight":        {[]*egretmuxv1.Customer{{Name: "a", Weight: -1}}, "weight or rate -1"},
		"huge weight":            {[]*egretmuxv1.Customer{{Name: "a", Weight: math.MaxFloat64}}, "weight or rate 1.79"},
		"weight without number":  {[]*egretmuxv1.Customer{{Name: "a", Weight: math.NaN()}}, "weight or rate NaN"},
		"infinite weight":        {[]*egretmuxv1.Customer{{Name: "a", Weight: math.Inf(1)}}, "weight or rate +Inf"},
		"rate without number":    {[]*egretmuxv1.Customer{{Name: "a", JobsPerSecond: math.NaN()}}, "weight or rate NaN"},
		"infinite rate":          {[]*egretmuxv1.Customer{{Name: "a", JobsPerSecond: math.Inf(1)}}, "weight or rate +Inf"},
		"negative cpu limit":     {[]*egretmuxv1.Customer{{Name: "a", Quota: &egretmuxv1.Resources{CpuMillis: -1}}}, "negative limit"},
		"negative memory limit":  {[]*egretmuxv1.Customer{{Name: "a", Quota: &egretmuxv1.Resources{MemoryMib: math.MinInt64}}}, "negative limit"},
		"negative limit of GPUs": {[]*egretmuxv1.Customer{{Name: "a", Quota: &egretmuxv1.Resources{Accelerators: -1}}}, "negative limit"},
	} {
		t.Run(name, func(t *testing.T) {
			err := job.CheckCatalogue(withCustomers(1, c.customers...))
			require.ErrorContains(t, err, c.fault)
			require.Equal(t, refusal.Invalid, refusal.Of(err).Kind)
			require.NotEmpty(t, refusal.Of(err).Remedy)
			require.NotPanics(t, func() { apply(t, job.NewBook(), putCommand(withCustomers(1, c.customers...))) })
		})
	}
	require.ErrorContains(t, job.CheckCatalogue(nil), "version")
}

func TestUnusualCustomersAreValid(t *testing.T) {
	for name, c := range map[string]*egretmuxv1.Customer{
		"no key":       customer("a"),
		"a key twice":  customer("a", "x", "x"),
		"long key":     customer("a", strings.Repeat("k", 1<<20)),
		"no weight":    {Name: "a"},
		"huge limit":   {Name: "a", Quota: &egretmuxv1.Resources{CpuMillis: math.MaxInt64, MemoryMib: math.MaxInt64, Accelerators: math.MaxInt64}},
		"large weight": {Name: "a", Weight: 1e9, JobsPerSecond: 1e9},
	} {
		require.NoError(t, job.CheckCatalogue(withCustomers(1, c)), name)
	}
	require.NoError(t, job.CheckCatalogue(withCustomers(1)), "no customers: only public queues are open")
}

func TestCredentialIsFoundByItsWholeHashOnly(t *testing.T) {
	c := job.NewCatalogue(withCustomers(1, customer("a", "x", "x2"), customer("b", "y"), customer("keyless")))
	require.Equal(t, "a", c.CustomerOf(job.HashCredential("x")).GetName())
	require.Equal(t, "a", c.CustomerOf(job.HashCredential("x2")).GetName())
	require.Equal(t, "b", c.CustomerOf(job.HashCredential("y")).GetName())
	for _, hash := range [][]byte{nil, {}, {1}, job.HashCredential("x")[:31], append(job.HashCredential("x"), 0), job.HashCredential("z"), job.HashCredential("")} {
		require.Nil(t, c.CustomerOf(hash))
	}
	var none *job.Catalogue
	require.Nil(t, none.CustomerOf(job.HashCredential("x")))
}

// A withdrawn credential must not come back with a replica that restarts from its
// snapshot or its log, nor with an older configuration that is sent again.
func TestWithdrawnCredentialStaysWithdrawn(t *testing.T) {
	commands := []*egretmuxv1.JobCommand{
		putCommand(withCustomers(3, customer("a", "old", "kept"))),
		putCommand(withCustomers(7, customer("a", "kept", "new"))),
		putCommand(withCustomers(3, customer("a", "old", "kept"))),
		putCommand(withCustomers(5, customer("a", "old"))),
	}
	b := job.NewBook()
	for _, command := range commands {
		apply(t, b, command)
	}
	fromSnapshot := restored(t, b)
	apply(t, fromSnapshot, commands[0])
	replayed := job.NewBook()
	for _, command := range append(commands, commands...) {
		apply(t, replayed, command)
	}
	for name, book := range map[string]*job.Book{"book": b, "snapshot": fromSnapshot, "replay": replayed} {
		require.Empty(t, ownerOf(book, "old"), name)
		require.Equal(t, "a", ownerOf(book, "kept"), name)
		require.Equal(t, "a", ownerOf(book, "new"), name)
	}
}

// snapshotWithoutCustomers was written by a release without customers: version 7 with
// queue q, and a job with two tasks, of which the first is done.
const snapshotWithoutCustomers = "0a2208071204746578741a130a01711201681a032f712f22017028e807400222030a0170" +
	"122f0a250a10303030303030303030303030303061611201681a032f712f2a040802100150025a01701a061a0410012001"

func TestStateOfReleasesWithoutCustomersIsReadAsBefore(t *testing.T) {
	data, err := hex.DecodeString(snapshotWithoutCustomers)
	require.NoError(t, err)
	b := job.NewBook()
	require.NoError(t, b.Restore(data))
	q, rest := b.Catalogue().MatchQueue(&egretmuxv1.QueueAddress{Host: "h", Path: "/q/" + jobID})
	require.Equal(t, "q", q.GetName())
	require.Equal(t, jobID, rest)
	require.False(t, b.Catalogue().NeedsCredential(q))
	b.View(jobID, func(r *job.Record) { require.Empty(t, r.Job.GetCustomer()) })
	var again bytes.Buffer
	require.NoError(t, b.Capture()(&again))
	require.Equal(t, data, again.Bytes(), "the earlier release can read it again")
	apply(t, b, ends(end(0, 1, 1, done)))
	require.Equal(t, egretmuxv1.JobPhase_JOB_PHASE_COMPLETED, phase(b))
}

// naiveMatch is the specification of MatchQueue.
func naiveMatch(c *egretmuxv1.Catalogue, a *egretmuxv1.QueueAddress) *egretmuxv1.Queue {
	host, _, _ := strings.Cut(strings.ToLower(a.GetHost()), ":")
	var longest *egretmuxv1.Queue
	for _, q := range c.GetQueues() {
		if strings.ToLower(q.GetHost()) == host && strings.HasPrefix(a.GetPath(), q.GetPrefix()) &&
			(longest == nil || len(q.GetPrefix()) > len(longest.GetPrefix())) {
			longest = q
		}
	}
	return longest
}

func TestModelQueueIsFoundAsByAScanOfAllQueues(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{0,2}){0,4}`)
	host := rapid.SampledFrom([]string{"h", "H", "g", "h:80", ""})
	rapid.Check(t, func(t *rapid.T) {
		m := &egretmuxv1.Catalogue{}
		for n := range rapid.IntRange(0, 12).Draw(t, "queues") {
			m.Queues = append(m.Queues, &egretmuxv1.Queue{Name: fmt.Sprint(n), Host: host.Draw(t, "host"), Prefix: path.Draw(t, "prefix")})
		}
		c := job.NewCatalogue(m)
		for range 10 {
			a := &egretmuxv1.QueueAddress{Host: host.Draw(t, "asked host"), Path: path.Draw(t, "path")}
			want := naiveMatch(m, a)
			got, rest := c.MatchQueue(a)
			require.Equal(t, want.GetName(), got.GetName())
			if want != nil {
				require.Equal(t, a.GetPath(), want.GetPrefix()+rest)
			}
		}
	})
}

// largeCatalogue has all its queues at one host.
func largeCatalogue(customers int) *egretmuxv1.Catalogue {
	m := withCustomers(1)
	for n := range manyQueues {
		m.Queues = append(m.Queues, &egretmuxv1.Queue{Name: fmt.Sprint(n), Host: "h", Prefix: fmt.Sprintf("/queue%d/", n), Service: "p", TimeoutMs: 1})
	}
	for n := range customers {
		m.Customers = append(m.Customers, customer(fmt.Sprintf("customer-%d", n), fmt.Sprintf("key-%d", n), fmt.Sprintf("next-%d", n)))
	}
	return m
}

func TestTenThousandCustomersAreCheckedAndFound(t *testing.T) {
	m := largeCatalogue(10_000)
	require.NoError(t, job.CheckCatalogue(m))
	c := job.NewCatalogue(m)
	require.Equal(t, "customer-9999", c.CustomerOf(job.HashCredential("next-9999")).GetName())
	m.Customers[9999].CredentialSha256[1] = m.Customers[0].CredentialSha256[0]
	require.ErrorContains(t, job.CheckCatalogue(m), "share a credential")
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func TestMemoryOfCustomersIsBounded(t *testing.T) {
	before := heapInUse()
	with := job.NewCatalogue(largeCatalogue(manyCustomers))
	require.Less(t, heapInUse()-before, int64(maxCustomersBytes))
	runtime.KeepAlive(with)
}

// checkCall does what the leader does for each call: find its queue and its customer.
func checkCall(c *job.Catalogue, a *egretmuxv1.QueueAddress, hash []byte) bool {
	q, _ := c.MatchQueue(a)
	return q != nil && c.CustomerOf(hash) != nil
}

// Answers the load of callers at the leader: each call costs it a lookup of its queue and
// of its credential.
func TestCallIsCheckedInConstantTimeWithoutAllocation(t *testing.T) {
	c := job.NewCatalogue(largeCatalogue(manyCustomers))
	address, hash := &egretmuxv1.QueueAddress{Host: "h", Path: "/queue1399/00000000000000aa"}, job.HashCredential("key-999")
	require.True(t, checkCall(c, address, hash))
	require.Zero(t, testing.AllocsPerRun(100, func() { checkCall(c, address, hash) }))
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			checkCall(c, address, hash)
		}
	})
	require.Less(t, result.NsPerOp(), int64(maxCallCheckTime))
}

func BenchmarkCallCheck(b *testing.B) {
	c := job.NewCatalogue(largeCatalogue(manyCustomers))
	address, hash := &egretmuxv1.QueueAddress{Host: "h", Path: "/queue1399/00000000000000aa"}, job.HashCredential("key-999")
	b.ReportAllocs()
	for b.Loop() {
		checkCall(c, address, hash)
	}
}
