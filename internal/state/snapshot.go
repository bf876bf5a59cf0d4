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

// Capture implements consensus.StateMachine. Only pointers are copied here;
// what takes long is left to the returned function.
func (s *Store) Capture() func(io.Writer) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	snap := &egretmuxv1.StateSnapshot{
		AppliedIndex: s.applied, LastTask: s.last.task, LastAttempt: s.last.attempt, NowUnixMs: s.now,
		CellVersion: s.contract.version(), LastWorkerEpoch: s.last.workerEpoch,
		Contracts: s.contract.all(), Workers: s.workers.all(),
		Instances: s.members.all(), Requests: s.requests.all(), Changes: s.changes.all(),
	}
	live, ended := s.tasks.liveTasks(), s.tasks.encoded()
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

func writeSnapshot(w io.Writer, rest []byte, live []*egretmuxv1.Task, ended []encodedTask) error {
	out := bufio.NewWriterSize(w, snapshotBuffer)
	_, _ = out.Write(rest) // the writer keeps its first error for Flush
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
	head := protowire.AppendTag(nil, tasksField, protowire.BytesType)
	head = protowire.AppendVarint(head, uint64(len(data)))
	_, _ = out.Write(head)
	_, _ = out.Write(data)
}

// Restore implements consensus.StateMachine.
func (s *Store) Restore(data []byte) error {
	rest, tasks, err := splitSnapshot(data)
	if err != nil {
		return err
	}
	snap := &egretmuxv1.StateSnapshot{}
	if err := proto.Unmarshal(rest, snap); err != nil {
		return errors.Wrap(err, "snapshot of the state cannot be decoded")
	}
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.clear()
	s.now = snap.GetNowUnixMs()
	s.mu.Lock()
	s.applied = snap.GetAppliedIndex()
	s.last = counters{snap.GetLastTask(), snap.GetLastAttempt(), snap.GetLastWorkerEpoch()}
	s.mu.Unlock()
	s.contract.replace(snap.GetCellVersion(), snap.GetContracts())
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
func splitSnapshot(data []byte) (rest []byte, tasks [][]byte, err error) {
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
			rest = append(rest, data[:n+size]...)
		}
		data = data[n+size:]
	}
	return rest, tasks, nil
}

func (s *Store) restoreRecords(snap *egretmuxv1.StateSnapshot) {
	for _, w := range snap.GetWorkers() {
		s.workers.put(w)
	}
	for _, m := range snap.GetInstances() {
		s.members.put(m)
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
