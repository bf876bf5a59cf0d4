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
	shards  [taskShards]taskShard
	changes map[uint64]uint64 // hash of customer and change id -> task number; used by the applying goroutine only
	ended   []endedTask       // in order of their end; used by the applying goroutine only
}

type taskShard struct {
	mu    sync.RWMutex
	live  map[uint64]*egretmuxv1.Task
	ended map[uint64][]byte
}

type endedTask struct {
	id uint64
	at int64 // Unix milliseconds
}

// encodedTask is an ended task as kept and as written to snapshots.
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
	t.changes = make(map[uint64]uint64)
	t.ended = nil
}

func (t *taskTable) shard(id uint64) *taskShard { return &t.shards[id%taskShards] }

// get returns a task or nil.
func (t *taskTable) get(id uint64) *egretmuxv1.Task {
	s := t.shard(id)
	s.mu.RLock()
	x, data := s.live[id], s.ended[id]
	s.mu.RUnlock()
	if x != nil || data == nil {
		return x
	}
	return decodeTask(data)
}

// decodeTask reads a task that this table encoded or checked.
func decodeTask(data []byte) *egretmuxv1.Task {
	x := &egretmuxv1.Task{}
	if err := proto.Unmarshal(data, x); err != nil {
		panic("state: an ended task cannot be decoded: " + err.Error())
	}
	return x
}

func encodeTask(x *egretmuxv1.Task) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(x)
	if err != nil {
		panic("state: an ended task cannot be encoded: " + err.Error())
	}
	return data
}

// put stores a task.
func (t *taskTable) put(x *egretmuxv1.Task) {
	if x.GetChangeIdHash() != 0 {
		t.changes[x.GetChangeIdHash()] = x.GetId()
	}
	if task.Final(x.GetPhase()) {
		t.putEnded(x, encodeTask(x))
		return
	}
	s := t.shard(x.GetId())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live[x.GetId()] = x
}

func (t *taskTable) putEnded(x *egretmuxv1.Task, data []byte) {
	t.ended = append(t.ended, endedTask{id: x.GetId(), at: x.GetEndedUnixMs()})
	s := t.shard(x.GetId())
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, x.GetId())
	s.ended[x.GetId()] = data
}

// restoreEnded stores an ended task in the encoded form that it came in.
func (t *taskTable) restoreEnded(x *egretmuxv1.Task, data []byte) {
	if x.GetChangeIdHash() != 0 {
		t.changes[x.GetChangeIdHash()] = x.GetId()
	}
	t.putEnded(x, slices.Clone(data))
}

// sortEnded orders the ended tasks after a restore.
func (t *taskTable) sortEnded() {
	slices.SortFunc(t.ended, func(a, b endedTask) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return int(a.id) - int(b.id)
	})
}

// collect drops the tasks that ended before the given time and returns their number.
func (t *taskTable) collect(before int64) int {
	n := 0
	for n < len(t.ended) && t.ended[n].at < before {
		t.remove(t.ended[n].id)
		n++
	}
	t.ended = t.ended[n:]
	return n
}

func (t *taskTable) remove(id uint64) {
	x := t.get(id)
	if t.changes[x.GetChangeIdHash()] == id {
		delete(t.changes, x.GetChangeIdHash())
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

// ids returns the numbers of all tasks above the given one, in order.
func (t *taskTable) ids(after uint64) []uint64 {
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
		for _, x := range t.shards[i].live {
			out = append(out, x)
		}
		t.shards[i].mu.RUnlock()
	}
	slices.SortFunc(out, func(a, b *egretmuxv1.Task) int { return int(a.GetId()) - int(b.GetId()) })
	return out
}

// encoded returns the ended tasks in no order.
func (t *taskTable) encoded() []encodedTask {
	out := make([]encodedTask, 0, len(t.ended))
	for i := range t.shards {
		t.shards[i].mu.RLock()
		for id, data := range t.shards[i].ended {
			out = append(out, encodedTask{id: id, data: data})
		}
		t.shards[i].mu.RUnlock()
	}
	return out
}
