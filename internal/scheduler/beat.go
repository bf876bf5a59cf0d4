package scheduler

import (
	"net"
	"net/url"
	"slices"
	"strconv"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// Limits of what a worker says of itself. Other writers may leave heartbeats that no worker
// sends, also under the name of one that is up.
const (
	maxNameBytes   = 256 // also of the address, the pool, the zone, the machine and each label
	maxLabels      = 64
	maxWorkerSize  = 1 << 32            // of each resource: thousandths of a core, MiB, accelerators
	maxClockAhead  = 10 * time.Minute   // of a worker's time of day
	maxRemaining   = 7 * 24 * time.Hour // until a draining worker leaves
	maxBeatsPerSec = 10
)

// CheckBeat returns a refusal if no worker can have sent a heartbeat at the given time.
func CheckBeat(b *egretmuxv1.WorkerBeat, now time.Time) error {
	life := b.GetLife()
	if life.GetWorker() == "" || !b.GetLeaving() && (life.GetAddress() == "" || life.GetPool() == "") {
		return refuseBeat("incomplete", "send the worker's name, address and pool", "the heartbeat is not complete")
	}
	texts := append([]string{life.GetWorker(), life.GetAddress(), life.GetPool(), life.GetZone(), life.GetMachine()}, life.GetLabels()...)
	if len(life.GetLabels()) > maxLabels || slices.ContainsFunc(texts, func(s string) bool { return len(s) > maxNameBytes }) {
		return refuseBeat("too-long", "send at most 64 labels, and names of at most 256 bytes", "the heartbeat of worker %.50q has too many labels or too long a name", life.GetWorker())
	}
	if age := now.Add(maxClockAhead).UnixMilli() - max(0, life.GetBornUnixMs()); life.GetBornUnixMs() < 0 || age < 0 {
		return refuseBeat("birth", "send the time at which the worker was started", "worker %q was started at %d ms, which is no past time", life.GetWorker(), life.GetBornUnixMs())
	} else if b.GetSequence() > uint64(age/1000+1)*maxBeatsPerSec {
		return refuseBeat("sequence", "count the heartbeats of the worker's life", "worker %q cannot have sent %d heartbeats", life.GetWorker(), b.GetSequence())
	}
	if b.GetLeaving() {
		return nil
	}
	if !validAddress(life.GetAddress()) {
		return refuseBeat("address", "send a host and a port from 1 to 65535", "worker %q has no address to call: %q", life.GetWorker(), life.GetAddress())
	}
	for _, size := range []int64{life.GetCpuMillis(), life.GetMemoryMib(), life.GetAccelerators()} {
		if size < 0 || size > maxWorkerSize {
			return refuseBeat("capacity", "send the worker's capacity", "worker %q cannot have a capacity of %d", life.GetWorker(), size)
		}
	}
	if b.GetRemainingMs() < 0 || b.GetRemainingMs() > maxRemaining.Milliseconds() {
		return refuseBeat("remaining", "send the time until the worker leaves", "worker %q cannot leave in %d ms", life.GetWorker(), b.GetRemainingMs())
	}
	return nil
}

func refuseBeat(reason, remedy, format string, args ...any) error {
	telemetry.Count(`heartbeats_refused_total{reason="` + reason + `"}`)
	return refusal.New(refusal.Invalid, remedy, format, args...)
}

// validAddress reports whether a call can be sent to an address.
func validAddress(address string) bool {
	host, portText, err := net.SplitHostPort(address)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err != nil || portErr != nil || host == "" || port == 0 {
		return false
	}
	u, err := url.Parse("http://" + address)
	return err == nil && u.Host == address && u.User == nil
}

// checkKnownLife returns a refusal unless a heartbeat fits what is stored: the catalogue names
// its pool, and a life does not change but for its capacity.
func (t *tenure) checkKnownLife(life *egretmuxv1.WorkerLife) error {
	t.mu.Lock()
	known := t.core.Life(life.GetWorker())
	t.mu.Unlock()
	if known != nil && known.GetBornUnixMs() == life.GetBornUnixMs() &&
		(known.GetAddress() != life.GetAddress() || known.GetPool() != life.GetPool() || known.GetZone() != life.GetZone() ||
			known.GetMachine() != life.GetMachine() || !slices.Equal(known.GetLabels(), life.GetLabels())) {
		return refuseBeat("conflict", "start under another name, or with a later birth", "worker %q has reported itself otherwise", life.GetWorker())
	}
	catalogue := t.book.Catalogue()
	if catalogue != nil && catalogue.Pool(life.GetPool()) == nil && known.GetPool() != life.GetPool() {
		return refuseBeat("pool", "report the worker once a configuration names its pool", "worker %q is of pool %q, which no configuration names", life.GetWorker(), life.GetPool())
	}
	return nil
}
