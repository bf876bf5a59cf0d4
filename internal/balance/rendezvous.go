package balance

import "math"

// Choose returns the instance for a key by weighted rendezvous hashing: instances get
// parts in proportion to their weights, and a changed weight moves only the keys that
// the instance gains or loses. It returns an empty string if there are no instances.
func Choose(key string, instances []string, weights *Weights) string {
	best, bestScore := "", math.Inf(-1)
	for _, name := range instances {
		if score := -weights.Of(name) / math.Log(uniform(name, key)); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// uniform returns a hash of two strings as a number above 0 and at most 1.
func uniform(a, b string) float64 {
	h := uint64(fnvOffset)
	for i := range len(a) {
		h = (h ^ uint64(a[i])) * fnvPrime
	}
	for i := range len(b) {
		h = (h ^ uint64(b[i])) * fnvPrime
	}
	// FNV spreads the last bytes badly over the upper bits (finalizer of MurmurHash3).
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return (float64(h>>11) + 0.5) / (1 << 53)
}
