package state

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/task"
)

const taskShards = 16

// taskTable holds the tasks in shards, each under its own lock. Ended tasks,
// which are many and never change, are kept in encoded form.
type taskTable struct {
	shards [taskShards]taskShard

	// Only the applying goroutine uses these.
	byChangeIDHash map[uint64]uint64 // hash of customer and change id -> task number
	endOrder       []endedTask       // ended tasks, in order of their end
}

type taskShard struct {
	mu    sync.RWMutex
	live  map[uint64]*egretmuxv1.Task
	ended map[uint64][]byte
}

// endedTask is an entry of taskTable.endOrder.
type endedTask struct {
	id          uint64
	endedUnixMs int64
}

// encodedTask is an ended task in the form in which it is kept and written to
// snapshots.
type encodedTask struct {
	id   uint64
	data []byte
}

func (t *taskTable) clear() {
	for i := range t.shards {
		t.shards[i].mu.Lock()
		t.shards[i].live = make(map[uint64]*egretmuxv1.Task)
		t.shards[i].ended = make(map[uint64][]byte)
		t.shards[i].mu.Unlock()
	}
	t.byChangeIDHash = make(map[uint64]uint64)
	t.endOrder = nil
}

func (t *taskTable) shard(id uint64) *taskShard { return &t.shards[id%taskShards] }

// get returns a task or nil.
func (t *taskTable) get(id uint64) *egretmuxv1.Task {
	s := t.shard(id)
	s.mu.RLock()
	live, ended := s.live[id], s.ended[id]
	s.mu.RUnlock()
	if live != nil || ended == nil {
		return live
	}
	return decodeTask(ended)
}

// decodeTask decodes a task that the table encoded, or that was decoded once
// when a snapshot was restored. It panics on an error.
func decodeTask(data []byte) *egretmuxv1.Task {
	record := &egretmuxv1.Task{}
	if err := proto.Unmarshal(data, record); err != nil {
		panic("state: an ended task cannot be decoded: " + err.Error())
	}
	return record
}

func encodeTask(record *egretmuxv1.Task) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		panic("state: a task cannot be encoded: " + err.Error())
	}
	return data
}

// put stores a task, in encoded form if it has ended.
func (t *taskTable) put(record *egretmuxv1.Task) {
	if record.GetChangeIdHash() != 0 {
		t.byChangeIDHash[record.GetChangeIdHash()] = record.GetId()
	}
	if task.Final(record.GetPhase()) {
		t.putEnded(record, encodeTask(record))
		return
	}
	s := t.shard(record.GetId())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live[record.GetId()] = record
}

func (t *taskTable) putEnded(record *egretmuxv1.Task, data []byte) {
	t.endOrder = append(t.endOrder, endedTask{id: record.GetId(), endedUnixMs: record.GetEndedUnixMs()})
	s := t.shard(record.GetId())
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, record.GetId())
	s.ended[record.GetId()] = data
}

// restoreEnded stores an ended task in the encoded form that the snapshot has.
func (t *taskTable) restoreEnded(record *egretmuxv1.Task, data []byte) {
	if record.GetChangeIdHash() != 0 {
		t.byChangeIDHash[record.GetChangeIdHash()] = record.GetId()
	}
	t.putEnded(record, slices.Clone(data))
}

// sortEnded restores the order of endOrder after a restore.
func (t *taskTable) sortEnded() {
	slices.SortFunc(t.endOrder, func(a, b endedTask) int {
		if a.endedUnixMs != b.endedUnixMs {
			return int(a.endedUnixMs - b.endedUnixMs)
		}
		return int(a.id) - int(b.id)
	})
}

// dropEndedBefore drops the tasks that ended before the given time, Unix
// milliseconds, and returns their number.
func (t *taskTable) dropEndedBefore(before int64) int {
	n := 0
	for n < len(t.endOrder) && t.endOrder[n].endedUnixMs < before {
		t.removeEnded(t.endOrder[n].id)
		n++
	}
	t.endOrder = t.endOrder[n:]
	return n
}

func (t *taskTable) removeEnded(id uint64) {
	record := t.get(id)
	if t.byChangeIDHash[record.GetChangeIdHash()] == id {
		delete(t.byChangeIDHash, record.GetChangeIdHash())
	}
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ended, id)
}

func (t *taskTable) len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.RLock()
		n += len(t.shards[i].live) + len(t.shards[i].ended)
		t.shards[i].mu.RUnlock()
	}
	return n
}

// idsAfter returns the numbers of all tasks above the given one, in order.
func (t *taskTable) idsAfter(after uint64) []uint64 {
	var out []uint64
	for i := range t.shards {
		t.shards[i].mu.RLock()
		for id := range t.shards[i].live {
			if id > after {
				out = append(out, id)
			}
		}
		for id := range t.shards[i].ended {
			if id > after {
				out = append(out, id)
			}
		}
		t.shards[i].mu.RUnlock()
	}
	slices.Sort(out)
	return out
}

// liveTasks returns the tasks that are not final, in order of their numbers.
func (t *taskTable) liveTasks() []*egretmuxv1.Task {
	var out []*egretmuxv1.Task
	for i := range t.shards {
		t.shards[i].mu.RLock()
		for _, record := range t.shards[i].live {
			out = append(out, record)
		}
		t.shards[i].mu.RUnlock()
	}
	slices.SortFunc(out, func(a, b *egretmuxv1.Task) int { return int(a.GetId()) - int(b.GetId()) })
	return out
}

// encodedEnded returns the ended tasks in no order.
func (t *taskTable) encodedEnded() []encodedTask {
	out := make([]encodedTask, 0, len(t.endOrder))
	for i := range t.shards {
		t.shards[i].mu.RLock()
		for id, data := range t.shards[i].ended {
			out = append(out, encodedTask{id: id, data: data})
		}
		t.shards[i].mu.RUnlock()
	}
	return out
}
