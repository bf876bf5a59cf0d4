package endpoint

import (
	"sort"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// orphan is an endpoint that entries hold slots of but that has not been
// announced to this leader: it ended around a change of leader.
type orphan struct {
	since   time.Time // when the first holding of it was seen
	version uint64    // table version at which it was declared gone; zero: not yet
}

// expireOrphans declares those orphans gone that have been silent for longer
// than the silence limit. It returns whether entries must be told of any.
func (t *Table) expireOrphans(now time.Time) bool {
	changed := false
	for id := range t.orphanGrants {
		o := t.orphans[id]
		if o == nil {
			o = &orphan{since: now}
			t.orphans[id] = o
		}
		if o.version == 0 && now.Sub(o.since) > t.silenceLimit {
			t.version++
			o.version = t.version
			changed = true
		}
	}
	return changed
}

// orphansSince returns the orphans declared gone after the given version, sorted
// by id.
func (t *Table) orphansSince(version uint64) []*egretmuxv1.EndpointState {
	var out []*egretmuxv1.EndpointState
	for id, o := range t.orphans {
		if o.version > version {
			out = append(out, &egretmuxv1.EndpointState{Id: id, Gone: true, Leaving: true, Grant: t.Term << termShift})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetId() < out[j].GetId() })
	return out
}
