package discovery

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

const (
	// Members in one answer, of some 80 bytes each. An instance that keeps the list only
	// to be ready for leading gets it in small parts.
	maxListMembers    = 500
	backgroundMembers = 500
	// announcedPrecedence is the time for which an instance's own announcement takes
	// precedence over what others report of it.
	announcedPrecedence = 5 * time.Second
	memberRetention     = 60 * time.Second // silence after which the leader removes a member
	tombstoneRetention  = 10 * time.Minute // time for which a removed member stays in the list as gone
)

// entry holds what is known of one member.
type entry struct {
	member        *egretmuxv1.Member
	hash          uint64    // of member; zero once it is gone
	version       uint64    // version of the list at the last change of member
	lastAnnounced time.Time // zero if only other instances reported it
	newReplicaAt  time.Time // when it was first seen with its replica, if that was empty and came after the cell's first start
	goneSince     time.Time // zero unless member is gone
}

// memberList is the versioned list of all members that an instance knows, itself
// included. Others ask for the changes since the version that they have.
type memberList struct {
	source  uint64 // random number of this list
	version uint64
	digest  uint64            // exclusive or of the hashes of all members
	entries map[string]*entry // by cell address
}

func newMemberList(source uint64) *memberList {
	return &memberList{source: source, entries: make(map[string]*entry)}
}

// set stores a member and reports whether its address is new.
func (l *memberList) set(m *egretmuxv1.Member, now time.Time) (e *entry, added bool) {
	e = l.entries[m.GetAddress()]
	added = e == nil || e.member.GetGone()
	if e == nil {
		e = &entry{}
		l.entries[m.GetAddress()] = e
	}
	hash := hashMember(m)
	if hash == e.hash && !added {
		return e, false
	}
	if m.GetReplica() != e.member.GetReplica() && m.GetEmpty() && !m.GetFounding() {
		e.newReplicaAt = now
	}
	l.digest ^= e.hash ^ hash
	l.version++
	e.member, e.hash, e.version, e.goneSince = m, hash, l.version, time.Time{}
	return e, added
}

// merge adds the members reported by another instance and returns the addresses that
// are new. Recent announcements of the members themselves take precedence.
func (l *memberList) merge(members []*egretmuxv1.Member, self string, now time.Time) []string {
	var added []string
	for _, m := range members {
		address := m.GetAddress()
		if address == "" || address == self {
			continue
		}
		if e := l.entries[address]; e != nil && !e.lastAnnounced.IsZero() && now.Sub(e.lastAnnounced) < announcedPrecedence {
			continue
		}
		if m.GetGone() {
			l.remove(address, now)
			continue
		}
		if _, isNew := l.set(m, now); isNew {
			added = append(added, address)
		}
	}
	return added
}

// remove replaces a member with a tombstone, so that others learn of the removal.
func (l *memberList) remove(address string, now time.Time) {
	e := l.entries[address]
	if e == nil || e.member.GetGone() {
		return
	}
	l.digest ^= e.hash
	l.version++
	e.member, e.hash, e.version, e.goneSince = &egretmuxv1.Member{Address: address, Gone: true}, 0, l.version, now
}

// expire removes members that have been silent since silentSince or longer, and
// deletes old tombstones.
func (l *memberList) expire(self string, silentSince, now time.Time) {
	for address, e := range l.entries {
		switch {
		case address == self:
		case e.member.GetGone():
			if now.Sub(e.goneSince) > tombstoneRetention {
				delete(l.entries, address)
			}
		case e.lastAnnounced.Before(silentSince):
			l.remove(address, now)
		}
	}
}

// position returns the newest position in the list.
func (l *memberList) position() *egretmuxv1.ListPosition {
	return &egretmuxv1.ListPosition{Source: l.source, Version: l.version}
}

// changesSince returns the members that changed since a receiver's position, oldest
// change first, the position after them, and whether more follow. A receiver with the
// same digest has all members, from whichever list it has them.
func (l *memberList) changesSince(p *egretmuxv1.ListPosition, limit int) (members []*egretmuxv1.Member, next *egretmuxv1.ListPosition, more bool) {
	next = l.position()
	since := p.GetVersion()
	if p.GetSource() != l.source || since > l.version {
		since = 0
	}
	if since == l.version || p.GetDigest() == l.digest {
		return nil, next, false
	}
	var changed []*entry
	for _, e := range l.entries {
		if e.version > since {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return int(int64(a.version) - int64(b.version)) })
	if limit = min(limit, maxListMembers); len(changed) > limit && limit > 0 {
		changed, more = changed[:limit], true
		next.Version = changed[limit-1].version
	}
	for _, e := range changed {
		members = append(members, e.member)
	}
	return members, next, more
}

// members returns all members but the given one, sorted by address.
func (l *memberList) members(except string) []*egretmuxv1.Member {
	out := make([]*egretmuxv1.Member, 0, len(l.entries))
	for address, e := range l.entries {
		if address != except && !e.member.GetGone() {
			out = append(out, e.member)
		}
	}
	sortByAddress(out)
	return out
}

func sortByAddress(m []*egretmuxv1.Member) {
	slices.SortFunc(m, func(a, b *egretmuxv1.Member) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
}

func hashMember(m *egretmuxv1.Member) uint64 {
	h := fnv.New64a()
	for _, s := range []string{m.GetAddress(), m.GetControl(), m.GetZone(), m.GetName()} {
		_, _ = h.Write([]byte(s)) // never fails
		_, _ = h.Write([]byte{0})
	}
	fields := binary.LittleEndian.AppendUint64(nil, m.GetReplica())
	for _, set := range []bool{m.GetEmpty(), m.GetFounding()} {
		if set {
			fields = append(fields, 1)
		} else {
			fields = append(fields, 0)
		}
	}
	_, _ = h.Write(fields)
	// Mixes the bits, as hashes are combined by exclusive or.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
