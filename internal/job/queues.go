package job

import (
	"slices"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// hostQueues holds the queues of one host. A lookup tries each length that a prefix has,
// so its cost does not depend on the number of queues.
type hostQueues struct {
	byPrefix map[string]*egretmuxv1.Queue
	lengths  []int // of the prefixes, longest first, each once
}

func (h *hostQueues) add(q *egretmuxv1.Queue) {
	prefix := q.GetPrefix()
	if h.byPrefix[prefix] != nil {
		return
	}
	h.byPrefix[prefix] = q
	longestFirst := func(a, b int) int { return b - a }
	if i, found := slices.BinarySearchFunc(h.lengths, len(prefix), longestFirst); !found {
		h.lengths = slices.Insert(h.lengths, i, len(prefix))
	}
}

// longestMatch returns the queue with the longest prefix of the path, or nil.
func (h *hostQueues) longestMatch(path string) *egretmuxv1.Queue {
	if h == nil {
		return nil
	}
	for _, length := range h.lengths {
		if length > len(path) {
			continue
		}
		if q := h.byPrefix[path[:length]]; q != nil {
			return q
		}
	}
	return nil
}
