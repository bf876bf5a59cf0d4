package endpoint

import (
	"sort"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// lost is an endpoint that entries hold slots of and that nobody announces. It
// was lost while the leader changed.
type lost struct {
	since   time.Time // when the first holding of it was seen
	version uint64    // of the table when entries were told; zero: not yet
}

// expireOrphans notes the endpoints that are held and have not been announced
// for the time of silence. It returns whether entries must hear of any.
func (t *Table) expireOrphans(now time.Time) bool {
	changed := false
	for id := range t.orphans {
		l := t.lost[id]
		if l == nil {
			l = &lost{since: now}
			t.lost[id] = l
		}
		if l.version == 0 && now.Sub(l.since) > t.silent {
			t.version++
			l.version = t.version
			changed = true
		}
	}
	return changed
}

// lostSince returns the lost endpoints that entries must hear of, by name.
func (t *Table) lostSince(version uint64) []*egretmuxv1.EndpointState {
	var out []*egretmuxv1.EndpointState
	for id, l := range t.lost {
		if l.version > version {
			out = append(out, &egretmuxv1.EndpointState{Id: id, Gone: true, Leaving: true, Grant: t.Term << termShift})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}
