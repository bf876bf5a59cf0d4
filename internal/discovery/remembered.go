package discovery

import (
	"maps"
	"slices"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// rememberedMembers are the addresses of members that this instance knew before its restart and has
// not heard of since. They are called, as they may know no other way to the cell, but they are not
// members until they are heard of.
type rememberedMembers struct {
	addresses   map[string]bool
	version     uint64    // of addresses
	calledSince time.Time // when they were first called on behalf of the present leader; zero if there is none
	last        string    // the one that was called last; at first this instance, so that each begins elsewhere
}

// Remember adds addresses of members that this instance knew before its restart.
func (d *Directory) Remember(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		if address != d.selfAddress && d.list.entries[address] == nil {
			d.remembered.addresses[address] = true
			d.remembered.version++
		}
	}
}

// Addresses returns the addresses of the members that this instance knows or remembers, sorted,
// itself excluded, and the version of them. It returns none if the version is still the given one.
func (d *Directory) Addresses(known uint64) (addresses []string, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version = d.list.version + d.remembered.version; version == known {
		return nil, version
	}
	addresses = slices.Collect(maps.Keys(d.remembered.addresses))
	for _, m := range d.list.members(d.selfAddress) {
		addresses = append(addresses, m.GetAddress())
	}
	slices.Sort(addresses)
	return addresses, version
}

// heardOf forgets members that are in the list, or of which others say that they are gone.
func (r *rememberedMembers) heardOf(members ...*egretmuxv1.Member) {
	for _, m := range members {
		if r.addresses[m.GetAddress()] {
			delete(r.addresses, m.GetAddress())
			r.version++
		}
	}
}

// forgetSilent forgets all that were called in vain for as long as a member may be silent. The
// caller holds mu.
func (d *Directory) forgetSilent(now time.Time) {
	r := &d.remembered
	switch {
	case len(r.addresses) == 0:
	case !d.local.Leads && !d.inContact(now):
		r.calledSince = time.Time{}
	case r.calledSince.IsZero():
		r.calledSince = now
	case now.Sub(r.calledSince) > memberRetention:
		clear(r.addresses)
		r.version++
	}
}

// next returns the remembered member whose turn it is to be called, if there is one.
func (r *rememberedMembers) next() []string {
	if len(r.addresses) == 0 {
		return nil
	}
	sorted := slices.Sorted(maps.Keys(r.addresses))
	at, found := slices.BinarySearch(sorted, r.last)
	if found {
		at++
	}
	r.last = sorted[at%len(sorted)]
	return []string{r.last}
}
