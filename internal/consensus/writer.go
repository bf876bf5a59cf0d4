package consensus

import (
	"time"

	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// write is a part of the core's output that is being stored.
type write struct {
	hardState *egretmuxv1.HardState
	entries   []*egretmuxv1.Entry
	afterSync []*egretmuxv1.Message
	began     time.Time
}

// executor runs the jobs that use the log, one after the other.
type executor interface {
	enqueue(job func())    // does not wait for the job
	runAndWait(job func()) // returns once the job, and those before it, are done
}

// logWriter is an executor with a goroutine of its own, so that the replica hears and answers while its disk syncs.
type logWriter struct {
	jobs    chan func()
	stopped chan struct{}
}

// maxQueuedJobs is above the number of jobs that can be queued at once: a write, a compaction and one that is waited for.
const maxQueuedJobs = 4

func startLogWriter() *logWriter {
	w := &logWriter{jobs: make(chan func(), maxQueuedJobs), stopped: make(chan struct{})}
	go func() {
		defer close(w.stopped)
		for job := range w.jobs {
			job()
		}
	}()
	return w
}

func (w *logWriter) enqueue(job func()) { w.jobs <- job }

func (w *logWriter) runAndWait(job func()) {
	done := make(chan struct{})
	w.jobs <- func() {
		defer close(done)
		job()
	}
	<-done
}

// stop waits for the queued jobs.
func (w *logWriter) stop() {
	close(w.jobs)
	<-w.stopped
}

// inlineExecutor runs each job at once, in the goroutine of the replica.
type inlineExecutor struct{}

func (inlineExecutor) enqueue(job func())    { job() }
func (inlineExecutor) runAndWait(job func()) { job() }

const (
	// slowWriteThreshold is the duration from which a write of the log counts as slow. A
	// healthy disk syncs within 10 ms.
	slowWriteThreshold = 100 * time.Millisecond
	// slowWriteLogPeriod is the shortest time between two lines about slow writes.
	slowWriteLogPeriod = time.Second
	// maxWriteTime is the duration of a write from which on the replica takes no more events until it is done: its
	// disk hangs, and the others have to see that. It also bounds what waits to be stored.
	maxWriteTime = stallThreshold
	// maxBatchPause is the longest time for which proposals gather while the log is being
	// written. Each batch costs a message to every replica.
	maxBatchPause = 25 * time.Millisecond
	// handOverWriteTime is the duration of a write from which on a leader hands over to a
	// replica whose disk is faster, before it stands still itself.
	handOverWriteTime = time.Second
	// handOverRetryPause is the shortest time between two such hand-overs.
	handOverRetryPause = 5 * time.Second
)

// startWrite begins to store an output and sends what depends on that afterwards, at once if there is nothing to store.
func (n *Node) startWrite(out *core.Output) {
	if out.HardState == nil && len(out.Entries) == 0 {
		if n.writing == nil {
			n.core.MarkPersisted() // it may have had snapshot chunks, which are stored
			n.sendAll(out.AfterSync)
		}
		return
	}
	if n.core.Role() == core.Leader && len(out.Entries) > 0 {
		n.batchDue = time.After(maxBatchPause)
	}
	n.writing = &write{hardState: out.HardState, entries: out.Entries, afterSync: out.AfterSync, began: time.Now()}
	n.writesBegun.Add(1)
	w := n.writing
	n.jobs.enqueue(func() { n.written <- n.store(w) })
}

// store appends a write to the log.
func (n *Node) store(w *write) error {
	start := time.Now()
	err := n.cfg.Log.Append(w.hardState, w.entries)
	duration := time.Since(start)
	telemetry.ObserveSeconds("log_append", duration)
	if duration >= slowWriteThreshold {
		n.noteSlowWrite(len(w.entries), duration)
	}
	return err
}

// noteSlowWrite counts a slow write and logs it, unless one was logged a moment ago.
func (n *Node) noteSlowWrite(entries int, duration time.Duration) {
	telemetry.Count("log_writes_slow_total")
	if time.Since(n.slowWriteLogged) < slowWriteLogPeriod {
		return
	}
	n.slowWriteLogged = time.Now()
	n.cfg.Logger.Warn().Str("event", "log_write_slow").Int("entries", entries).Int64("age_ms", duration.Milliseconds()).Msg("a write of the log took long; commits that need this replica wait for it")
}

// finishWrite takes the outcome of the write in progress.
func (n *Node) finishWrite(err error) {
	w := n.writing
	n.writeRefused = errors.Is(err, wal.ErrDiskFull)
	switch {
	case n.writeRefused:
		n.noteDiskFull(err)
		return
	case err != nil:
		n.failure = err
		return
	}
	n.noteDiskFull(nil)
	n.writing = nil
	n.batchDue = nil
	n.writesDone.Add(1)
	n.core.MarkPersisted()
	n.sendAll(w.afterSync)
}

// takeWriteResult takes the outcome of the write in progress if there is one. It repeats a write that a full disk has
// refused, and returns the error that keeps the replica from going on.
func (n *Node) takeWriteResult() error {
	select {
	case err := <-n.written:
		n.finishWrite(err)
	default:
	}
	select {
	case n.failure = <-n.logStopped:
	default:
	}
	if n.failure == nil && n.writeRefused {
		var err error
		n.jobs.runAndWait(func() { err = n.store(n.writing) })
		n.finishWrite(err)
		if n.writeRefused {
			return err
		}
	}
	return n.failure
}

// hangs reports whether the write in progress takes so long that the replica counts as standing still.
func (n *Node) hangs() bool { return n.writing != nil && time.Since(n.writing.began) >= maxWriteTime }

// handOverIfDiskHangs hands leadership over while this replica's disk hangs and those of a quorum do not. If most disks
// are slow, another leader would be no better.
func (n *Node) handOverIfDiskHangs() {
	if n.writing == nil || !n.core.LacksCommitted() {
		return
	}
	now := time.Now()
	age := now.Sub(n.writing.began)
	if age < handOverWriteTime || now.Sub(n.handedOver) < handOverRetryPause {
		return
	}
	to := n.core.Successor()
	if to == 0 || !n.core.TransferLeadership(to) {
		return
	}
	n.handedOver = now
	telemetry.Count(`leadership_handed_over_total{reason="disk"}`)
	n.cfg.Logger.Warn().Str("event", "leader_slow").Uint64("term", n.core.Term()).Int64("age_ms", age.Milliseconds()).Msg("handing over leadership: a write of the log hangs here, and the others store theirs")
}

// isFull reports whether the replica waits for space on its disk.
func (n *Node) isFull() bool { return n.writeRefused || n.unstored != nil }

// storeChunks stores the snapshot chunks of an output and loads a snapshot that is complete. It removes stored chunks
// from the output, so that it can be called again after wal.ErrDiskFull.
func (n *Node) storeChunks(out *core.Output) error {
	for ; len(out.Chunks) > 0; out.Chunks = out.Chunks[1:] {
		c := out.Chunks[0]
		var err error
		n.jobs.runAndWait(func() { err = n.cfg.Log.WriteChunk(c.Meta, c.Offset, c.Data, c.Last) })
		if err != nil {
			return err
		}
		if !c.Last {
			continue
		}
		data, err := n.cfg.Log.LoadSnapshot(c.Meta)
		if err != nil {
			return err
		}
		if err := n.cfg.Machine.Restore(data); err != nil {
			return err
		}
		n.applied = c.Meta.GetIndex()
		n.lastSnapshotIndex = c.Meta.GetIndex()
		telemetry.Count("replica_snapshots_installed_total")
		n.cfg.Logger.Info().Str("event", "snapshot_installed").Uint64("index", n.applied).Msg("snapshot from the leader installed")
	}
	return nil
}

// compactLog removes log files that hold only entries up to an index, behind the writes that have begun.
func (n *Node) compactLog(index uint64) {
	if n.compactTo.Swap(index) != 0 {
		return // the job that waits takes the new index
	}
	n.jobs.enqueue(func() {
		if err := n.cfg.Log.Compact(n.compactTo.Swap(0)); err != nil {
			n.cfg.Logger.Error().Err(err).Str("event", "compaction_failed").Msg("log segments could not be removed")
			select {
			case n.logStopped <- err:
			default: // an earlier failure is enough
			}
		}
	})
}
