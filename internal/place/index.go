package place

import (
	"math/bits"
	"sort"

	"github.com/egretmux/egretmux/internal/worker"
)

// Lower bounds of the levels of free processors (millicores), memory (MiB) and
// accelerators.
var (
	cpuLevels         = []int64{0, 250, 500, 1000, 2000, 3000, 4000, 6000, 8000, 12000, 16000, 24000, 32000, 48000, 64000, 96000}
	memoryLevels      = []int64{0, 512, 1024, 2048, 4096, 8192, 12288, 16384, 24576, 32768, 49152, 65536, 98304, 131072, 196608, 262144}
	acceleratorLevels = []int64{0, 1, 2, 4, 8}
)

const (
	levelCount  = 16 // of processors and of memory
	bucketCount = levelCount * levelCount * 5
	bucketWords = bucketCount / 64
)

// index finds hosts by free resources. Each bucket holds the hosts with the same levels
// of free accelerators, processors and memory. If the lower bounds of a bucket
// cover the need, all its hosts fit and none has to be checked. The cost of a
// search depends on the number of buckets, not of hosts.
type index struct {
	buckets      [bucketCount][]*host // by rank
	occupied     [bucketWords]uint64  // bit set of the ranks of non-empty buckets
	bucketByRank [bucketCount]int     // ordered from few free resources to many
	rankByBucket [bucketCount]int     // inverse of bucketByRank
}

func newIndex() *index {
	idx := &index{}
	for i := range idx.bucketByRank {
		idx.bucketByRank[i] = i
	}
	weight := func(bucket int) int {
		a, cpu, mem := bucket/(levelCount*levelCount), bucket/levelCount%levelCount, bucket%levelCount
		return a*10*levelCount + cpu + mem
	}
	sort.SliceStable(idx.bucketByRank[:], func(i, j int) bool { return weight(idx.bucketByRank[i]) < weight(idx.bucketByRank[j]) })
	for i, bucket := range idx.bucketByRank {
		idx.rankByBucket[bucket] = i
	}
	return idx
}

// floorLevel returns the highest level whose bound is at most v.
func floorLevel(levels []int64, v int64) int {
	return max(0, sort.Search(len(levels), func(i int) bool { return levels[i] > v })-1)
}

// ceilLevel returns the lowest level whose bound is at least v; it may be past
// the last one.
func ceilLevel(levels []int64, v int64) int {
	return sort.Search(len(levels), func(i int) bool { return levels[i] >= v })
}

func bucketOf(a, cpu, mem int) int { return (a*levelCount+cpu)*levelCount + mem }

func bucketOfResources(r worker.Resources) int {
	return bucketOf(floorLevel(acceleratorLevels, r.Accelerators), floorLevel(cpuLevels, r.CPUMillis), floorLevel(memoryLevels, r.MemoryMiB))
}

// put moves the host to the bucket of its free resources.
func (idx *index) put(h *host) {
	rank := idx.rankByBucket[bucketOfResources(h.free())]
	if h.indexRank == rank {
		return
	}
	idx.remove(h)
	h.indexRank = rank
	h.bucketPos = len(idx.buckets[rank])
	idx.buckets[rank] = append(idx.buckets[rank], h)
	idx.occupied[rank/64] |= 1 << (rank % 64)
}

func (idx *index) remove(h *host) {
	if h.indexRank < 0 {
		return
	}
	hosts := idx.buckets[h.indexRank]
	last := hosts[len(hosts)-1]
	hosts[h.bucketPos] = last
	last.bucketPos = h.bucketPos
	hosts[len(hosts)-1] = nil
	idx.buckets[h.indexRank] = hosts[:len(hosts)-1]
	if len(hosts) == 1 {
		idx.occupied[h.indexRank/64] &^= 1 << (h.indexRank % 64)
	}
	h.indexRank = -1
}

// search calls visit with hosts that fit the need, from buckets with few free
// resources to those with many, until visit returns false. rotation is where it
// starts in each bucket.
func (idx *index) search(need worker.Resources, rotation int, visit func(*host) bool) {
	ceilA := ceilLevel(acceleratorLevels, need.Accelerators)
	ceilC, ceilM := ceilLevel(cpuLevels, need.CPUMillis), ceilLevel(memoryLevels, need.MemoryMiB)
	floorA, floorC, floorM := floorLevel(acceleratorLevels, need.Accelerators), floorLevel(cpuLevels, need.CPUMillis), floorLevel(memoryLevels, need.MemoryMiB)
	for w := range idx.occupied {
		for word := idx.occupied[w]; word != 0; word &= word - 1 {
			rank := w*64 + bits.TrailingZeros64(word)
			bucket := idx.bucketByRank[rank]
			a, cpu, mem := bucket/(levelCount*levelCount), bucket/levelCount%levelCount, bucket%levelCount
			if a < floorA || cpu < floorC || mem < floorM {
				continue
			}
			allFit := a >= ceilA && cpu >= ceilC && mem >= ceilM
			if !visitBucket(idx.buckets[rank], need, allFit, rotation, visit) {
				return
			}
		}
	}
}

func visitBucket(hosts []*host, need worker.Resources, allFit bool, rotation int, visit func(*host) bool) bool {
	n := len(hosts)
	for i := range n {
		h := hosts[(i+rotation)%n]
		if (allFit || need.Fits(h.free())) && !visit(h) {
			return false
		}
	}
	return true
}
