package scheduler_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/dispatch"
	"github.com/egretmux/egretmux/internal/refusal"
)

// soundBirth is when the worker of soundBeat was started.
var soundBirth = time.Now().Add(-time.Minute).UnixMilli()

// soundBeat is a heartbeat of a worker that is up.
func soundBeat(sequence uint64) *egretmuxv1.WorkerBeat {
	return &egretmuxv1.WorkerBeat{Sequence: sequence, Life: &egretmuxv1.WorkerLife{
		Worker: "w", BornUnixMs: soundBirth, Address: "10.0.0.9:8080", Pool: "p", Zone: "z",
		CpuMillis: 4000, MemoryMib: 1000, Labels: []string{"a", "r1-3"}, Machine: "m",
	}}
}

// malformedBeats are changes that make a heartbeat one that no worker sends.
var malformedBeats = map[string]func(*egretmuxv1.WorkerBeat){
	"name too long":                 func(b *egretmuxv1.WorkerBeat) { b.Life.Worker = strings.Repeat("w", 1<<16) },
	"born in the far future":        func(b *egretmuxv1.WorkerBeat) { b.Life.BornUnixMs = math.MaxInt64 },
	"born next year":                func(b *egretmuxv1.WorkerBeat) { b.Life.BornUnixMs = time.Now().AddDate(1, 0, 0).UnixMilli() },
	"born before 1970":              func(b *egretmuxv1.WorkerBeat) { b.Life.BornUnixMs = -1 },
	"born long before 1970":         func(b *egretmuxv1.WorkerBeat) { b.Life.BornUnixMs = math.MinInt64 },
	"port too large":                func(b *egretmuxv1.WorkerBeat) { b.Life.Address = "10.0.0.9:65536" },
	"port far too large":            func(b *egretmuxv1.WorkerBeat) { b.Life.Address = "10.0.0.9:99999999999999999999" },
	"port zero":                     func(b *egretmuxv1.WorkerBeat) { b.Life.Address = "10.0.0.9:0" },
	"port negative":                 func(b *egretmuxv1.WorkerBeat) { b.Life.Address = "10.0.0.9:-1" },
	"port missing":                  func(b *egretmuxv1.WorkerBeat) { b.Life.Address = "10.0.0.9" },
	"host missing":                  func(b *egretmuxv1.WorkerBeat) { b.Life.Address = ":8080" },
	"address with a path":           func(b *egretmuxv1.WorkerBeat) { b.Life.Address = "10.0.0.9:8080/x" },
	"address with another host":     func(b *egretmuxv1.WorkerBeat) { b.Life.Address = "x@10.0.0.9:8080" },
	"address with a line break":     func(b *egretmuxv1.WorkerBeat) { b.Life.Address = "10.0.0.9\n:8080" },
	"address too long":              func(b *egretmuxv1.WorkerBeat) { b.Life.Address = strings.Repeat("a", 1<<16) + ":8080" },
	"pool unknown":                  func(b *egretmuxv1.WorkerBeat) { b.Life.Pool = "nowhere" },
	"zone too long":                 func(b *egretmuxv1.WorkerBeat) { b.Life.Zone = strings.Repeat("z", 1<<16) },
	"machine too long":              func(b *egretmuxv1.WorkerBeat) { b.Life.Machine = strings.Repeat("m", 1<<16) },
	"too many labels":               func(b *egretmuxv1.WorkerBeat) { b.Life.Labels = make([]string, 1<<16) },
	"label too long":                func(b *egretmuxv1.WorkerBeat) { b.Life.Labels = []string{strings.Repeat("r1-", 1<<16)} },
	"cpu too large":                 func(b *egretmuxv1.WorkerBeat) { b.Life.CpuMillis = math.MaxInt64 },
	"memory too large":              func(b *egretmuxv1.WorkerBeat) { b.Life.MemoryMib = math.MaxInt64 },
	"accelerators too many":         func(b *egretmuxv1.WorkerBeat) { b.Life.Accelerators = math.MaxInt64 },
	"cpu negative":                  func(b *egretmuxv1.WorkerBeat) { b.Life.CpuMillis = -1 },
	"memory negative":               func(b *egretmuxv1.WorkerBeat) { b.Life.MemoryMib = math.MinInt64 },
	"accelerators negative":         func(b *egretmuxv1.WorkerBeat) { b.Life.Accelerators = -1 },
	"sequence too large":            func(b *egretmuxv1.WorkerBeat) { b.Sequence = math.MaxUint64 },
	"sequence large for its age":    func(b *egretmuxv1.WorkerBeat) { b.Sequence = 1 << 40 },
	"leaves in the far future":      func(b *egretmuxv1.WorkerBeat) { b.Draining, b.RemainingMs = true, math.MaxInt64 },
	"left long ago and still there": func(b *egretmuxv1.WorkerBeat) { b.Draining, b.RemainingMs = true, math.MinInt64 },
}

// conflictingBeats are changes that make a heartbeat one of another worker, sent under the
// name and birth of one that is up.
var conflictingBeats = map[string]func(*egretmuxv1.WorkerBeat){
	"other pool":    func(b *egretmuxv1.WorkerBeat) { b.Life.Pool = "p2" },
	"other address": func(b *egretmuxv1.WorkerBeat) { b.Life.Address = "10.0.0.10:8080" },
	"other zone":    func(b *egretmuxv1.WorkerBeat) { b.Life.Zone = "y" },
	"other machine": func(b *egretmuxv1.WorkerBeat) { b.Life.Machine = "m2" },
	"other labels":  func(b *egretmuxv1.WorkerBeat) { b.Life.Labels = []string{"b", "r9-9"} },
}

// Guards against a malformed entry among those of the workers, left by another writer: it must
// name no worker to use, and change nothing about those that are up, under whose name, birth
// or address it may come.
func TestMalformedHeartbeatsChangeNothing(t *testing.T) {
	f := &fakeWorkers{held: func(dispatch.StartOrder) bool { return true }}
	s := startLeader(t, f)
	ctx := t.Context()
	c := catalogue(1, "one")
	c.Pools = append(c.Pools, &egretmuxv1.Pool{Name: "p2"})
	_, err := s.PutCatalogue(ctx, c)
	require.NoError(t, err)
	require.NoError(t, s.HandleHeartbeat(ctx, soundBeat(1)))
	require.Eventually(t, func() bool { return s.WorkerCount() == 1 }, 5*time.Second, 5*time.Millisecond)
	send := func(name string, beat *egretmuxv1.WorkerBeat) {
		err := s.HandleHeartbeat(ctx, beat)
		if err == nil {
			t.Errorf("%s: taken", name)
			return
		}
		require.Equal(t, refusal.Invalid, refusal.Of(err).Kind, name)
	}
	for name, change := range malformedBeats {
		same := soundBeat(2)
		change(same)
		send(name+", same life", same)

		newer := soundBeat(2)
		newer.Life.BornUnixMs++
		change(newer)
		send(name+", newer life", newer)

		other := soundBeat(2)
		other.Life.Worker, other.Life.BornUnixMs = "x", other.Life.GetBornUnixMs()+1
		change(other)
		send(name+", same address", other)

		stranger := soundBeat(2)
		stranger.Life.Worker, stranger.Life.Address = "y", "10.0.0.10:8080"
		change(stranger)
		send(name+", new worker", stranger)
	}
	for name, change := range conflictingBeats {
		beat := soundBeat(2)
		beat.Life.CpuMillis = 64_000
		change(beat)
		send(name, beat)
	}
	require.Equal(t, 1, s.WorkerCount())
	require.NoError(t, s.HandleHeartbeat(ctx, soundBeat(3)), "the worker that is up goes on")

	smaller := soundBeat(4)
	smaller.Life.CpuMillis = 3000
	require.NoError(t, s.HandleHeartbeat(ctx, smaller), "and its capacity is followed")
	require.NoError(t, untilNotShed(func() error {
		_, err := s.CallJob(ctx, &egretmuxv1.JobCall{Address: address(jobPath), Verb: egretmuxv1.JobVerb_JOB_VERB_SUBMIT, Job: &egretmuxv1.Job{Steps: []*egretmuxv1.JobStep{
			{Count: 8, CpuMillis: 1000, MemoryMib: 10, EstimateMs: 10},
		}}})
		return err
	}))
	running := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.running)
	}
	require.Eventually(t, func() bool { return running() == 3 }, 10*time.Second, 5*time.Millisecond)
	require.Never(t, func() bool { return running() != 3 }, 300*time.Millisecond, 20*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.running {
		require.Equal(t, "10.0.0.9:8080", s.Address)
	}
}

// Guards against two heartbeats of one name and birth from two addresses at once: both were polled,
// and the runs at one address counted as lost because the other one does not list them.
func TestOneOfTwoAddressesUnderOneBirthIsPolled(t *testing.T) {
	for range 20 {
		f := &fakeWorkers{held: func(dispatch.StartOrder) bool { return true }}
		s := startLeader(t, f)
		beats := make(chan error)
		for _, address := range []string{"10.0.0.9:8080", "10.0.0.10:8080"} {
			beat := soundBeat(1)
			beat.Life.Address = address
			go func() { beats <- s.HandleHeartbeat(t.Context(), beat) }()
		}
		_, _ = <-beats, <-beats // one of them may be refused
		require.Never(t, func() bool { return s.WorkerCount() > 1 }, 20*time.Millisecond, 2*time.Millisecond)
	}
}

// Before the first catalogue, no pool is unknown.
func TestHeartbeatsBeforeTheFirstCatalogueAreTaken(t *testing.T) {
	s := startLeader(t, &fakeWorkers{})
	require.NoError(t, s.HandleHeartbeat(t.Context(), soundBeat(1)))
	require.Eventually(t, func() bool { return s.WorkerCount() == 1 }, 5*time.Second, 5*time.Millisecond)
}

// A worker of a pool that the catalogue names no more goes on to report itself: jobs that were
// accepted for it may still run there.
func TestWorkerOfARemovedPoolIsStillFollowed(t *testing.T) {
	s := startLeader(t, &fakeWorkers{})
	ctx := t.Context()
	c := catalogue(1, "one")
	c.Pools = append(c.Pools, &egretmuxv1.Pool{Name: "p2"})
	_, err := s.PutCatalogue(ctx, c)
	require.NoError(t, err)
	beat := soundBeat(1)
	beat.Life.Pool = "p2"
	require.NoError(t, s.HandleHeartbeat(ctx, beat))
	_, err = s.PutCatalogue(ctx, catalogue(2, "two"))
	require.NoError(t, err)
	beat = proto.CloneOf(beat)
	beat.Sequence, beat.Draining, beat.RemainingMs = 2, true, 2000
	require.NoError(t, s.HandleHeartbeat(ctx, beat))
}
