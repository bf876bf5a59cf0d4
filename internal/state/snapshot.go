package state

import (
	"bufio"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

// tasksField is the number of StateSnapshot's field tasks. Tasks are written
// and read one by one, so that the ended ones are never all decoded at once.
const tasksField protowire.Number = 7

const snapshotBuffer = 64 << 10 // bytes

// Capture implements consensus.StateMachine. It only copies pointers; the
// returned function sorts, encodes and writes.
func (s *Store) Capture() func(io.Writer) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	snap := &egretmuxv1.StateSnapshot{
		AppliedIndex: s.applied, LastTask: s.lastIDs.task, LastAttempt: s.lastIDs.attempt, NowUnixMs: s.now,
		CellVersion: s.contracts.loadCellVersion(), LastWorkerEpoch: s.lastIDs.workerEpoch,
		Contracts: s.contracts.all(), Workers: s.workers.all(),
		Instances: s.instances.all(), Requests: s.requests.all(), Changes: s.changes.all(),
	}
	live, ended := s.tasks.liveTasks(), s.tasks.encodedEnded()
	return func(w io.Writer) error {
		sortRequests(snap.Requests)
		sortChanges(snap.Changes)
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snap)
		if err != nil {
			return errors.Wrap(err, "snapshot cannot be encoded")
		}
		return writeSnapshot(w, data, live, ended)
	}
}

func writeSnapshot(w io.Writer, otherFields []byte, live []*egretmuxv1.Task, ended []encodedTask) error {
	out := bufio.NewWriterSize(w, snapshotBuffer)
	_, _ = out.Write(otherFields) // the writer keeps its first error for Flush
	slices.SortFunc(ended, func(a, b encodedTask) int { return int(a.id) - int(b.id) })
	for _, t := range ended {
		writeTask(out, t.data)
	}
	for _, t := range live {
		writeTask(out, encodeTask(t))
	}
	return errors.Wrap(out.Flush(), "snapshot cannot be written")
}

func writeTask(out *bufio.Writer, data []byte) {
	header := protowire.AppendTag(nil, tasksField, protowire.BytesType)
	header = protowire.AppendVarint(header, uint64(len(data)))
	_, _ = out.Write(header)
	_, _ = out.Write(data)
}

// Restore implements consensus.StateMachine.
func (s *Store) Restore(data []byte) error {
	otherFields, tasks, err := splitSnapshot(data)
	if err != nil {
		return err
	}
	snap := &egretmuxv1.StateSnapshot{}
	if err := proto.Unmarshal(otherFields, snap); err != nil {
		return errors.Wrap(err, "snapshot of the state cannot be decoded")
	}
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.clear()
	s.now = snap.GetNowUnixMs()
	s.mu.Lock()
	s.applied = snap.GetAppliedIndex()
	s.lastIDs = lastIDs{snap.GetLastTask(), snap.GetLastAttempt(), snap.GetLastWorkerEpoch()}
	s.mu.Unlock()
	s.contracts.replace(snap.GetCellVersion(), snap.GetContracts())
	s.restoreRecords(snap)
	if err := s.restoreTasks(tasks); err != nil {
		return err
	}
	if s.listener != nil {
		s.listener.Restored()
	}
	return nil
}

// splitSnapshot separates the encoded tasks from the other fields.
func splitSnapshot(data []byte) (otherFields []byte, tasks [][]byte, err error) {
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return nil, nil, errors.Wrap(protowire.ParseError(n), "snapshot of the state cannot be decoded")
		}
		size := protowire.ConsumeFieldValue(number, kind, data[n:])
		if size < 0 {
			return nil, nil, errors.Wrap(protowire.ParseError(size), "snapshot of the state cannot be decoded")
		}
		if number == tasksField && kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(data[n:])
			tasks = append(tasks, value)
		} else {
			otherFields = append(otherFields, data[:n+size]...)
		}
		data = data[n+size:]
	}
	return otherFields, tasks, nil
}

func (s *Store) restoreRecords(snap *egretmuxv1.StateSnapshot) {
	for _, w := range snap.GetWorkers() {
		s.workers.put(w)
	}
	for _, in := range snap.GetInstances() {
		s.instances.put(in)
	}
	for _, r := range snap.GetRequests() {
		s.requests.put(r)
	}
	for _, c := range snap.GetChanges() {
		s.changes.put(c)
	}
}

func (s *Store) restoreTasks(tasks [][]byte) error {
	for _, data := range tasks {
		t := &egretmuxv1.Task{}
		if err := proto.Unmarshal(data, t); err != nil {
			return errors.Wrap(err, "a task in the snapshot cannot be decoded")
		}
		if task.Final(t.GetPhase()) {
			s.tasks.restoreEnded(t, data)
		} else {
			s.putTask(t)
		}
	}
	s.tasks.sortEnded()
	return nil
}
