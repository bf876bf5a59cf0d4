package place

// heapOrder compares a heap's elements and tells where each keeps its position.
// Implementations are empty types.
type heapOrder[T any] interface {
	before(a, b T) bool
	position(x T) *int
}

// indexedHeap implements heap.Interface. Each element stores its position, or -1
// when it is in no heap, so that it can be moved or removed.
type indexedHeap[T any, O heapOrder[T]] []T

// Len implements heap.Interface.
func (h indexedHeap[T, O]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h indexedHeap[T, O]) Less(i, j int) bool {
	var order O
	return order.before(h[i], h[j])
}

// Swap implements heap.Interface.
func (h indexedHeap[T, O]) Swap(i, j int) {
	var order O
	h[i], h[j] = h[j], h[i]
	*order.position(h[i]), *order.position(h[j]) = i, j
}

// Push implements heap.Interface.
func (h *indexedHeap[T, O]) Push(x any) {
	var order O
	*order.position(x.(T)) = len(*h)
	*h = append(*h, x.(T))
}

// Pop implements heap.Interface.
func (h *indexedHeap[T, O]) Pop() any {
	var order O
	var none T
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = none
	*h = old[:len(old)-1]
	*order.position(x) = -1
	return x
}

// Heaps of the planner.
type (
	jobHeap   = indexedHeap[*job, byQueueOrder]   // jobs of a group
	groupHeap = indexedHeap[*group, byFirstJob]   // an account's groups
	delayHeap = indexedHeap[*job, byEndOfBackoff] // jobs in backoff after a failure
)

type byQueueOrder struct{}

func (byQueueOrder) before(a, b *job) bool { return a.before(b) }
func (byQueueOrder) position(j *job) *int  { return &j.heapPos }

type byFirstJob struct{}

func (byFirstJob) before(a, b *group) bool { return a.jobs[0].before(b.jobs[0]) }
func (byFirstJob) position(g *group) *int  { return &g.queuePos }

type byEndOfBackoff struct{}

func (byEndOfBackoff) before(a, b *job) bool { return a.notBefore < b.notBefore }
func (byEndOfBackoff) position(j *job) *int  { return &j.delayedPos }
