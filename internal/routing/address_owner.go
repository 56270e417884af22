package routing

import (
	"net/netip"

	"larchthread/balance"
)

// addressOwners tells which host a process at an address is, where several are listed there: the one that started last.
// The others' processes have gone, though their entries are still listed.
type addressOwners map[netip.AddrPort]addressOwner

// addressOwner is the host that started last at an address.
type addressOwner struct {
	host    *host
	upSince float64 // Unix ms
}

// update takes the entries of a list, complete or not, before they are passed to the balancer. It returns the entries with
// those marked as gone whose address has another host now, and such hosts' entries added where the list lacks them.
func (owners addressOwners) update(entries []balance.HostEntry, complete bool) []balance.HostEntry {
	if complete {
		clear(owners)
	}
	for _, e := range entries {
		if h := e.Host.Ref.(*host); e.Status == balance.Gone && owners[h.address].host == h {
			delete(owners, h.address)
		}
	}
	superseded := map[*host]bool{}
	for _, e := range entries {
		if e.Status != balance.Gone {
			if loser := owners.claim(e.Host.Ref.(*host), e.UpSince); loser != nil {
				superseded[loser] = true
			}
		}
	}
	return markGone(entries, superseded)
}

// claim enters a host for its address. It returns the host that has to yield: the one there before, this one, or nil.
func (owners addressOwners) claim(h *host, upSince float64) *host {
	if !h.address.IsValid() {
		return nil
	}
	present := owners[h.address]
	switch {
	case present.host == nil || present.host == h || present.host.address != h.address:
		owners[h.address] = addressOwner{h, upSince}
		return nil
	case upSince > present.upSince:
		owners[h.address] = addressOwner{h, upSince}
		return present.host
	case upSince < present.upSince:
		return h
	}
	return nil // nothing tells which is the later one
}

// markGone marks the entries of the given hosts as gone, and adds those that are missing.
func markGone(entries []balance.HostEntry, hosts map[*host]bool) []balance.HostEntry {
	if len(hosts) == 0 {
		return entries
	}
	for i := range entries {
		if h := entries[i].Host.Ref.(*host); hosts[h] {
			entries[i].Status = balance.Gone
			delete(hosts, h)
		}
	}
	for h := range hosts { // the balancer sorts hosts by name
		entry := balance.HostEntry{Host: &h.Host, Listing: h.Listing}
		entry.Status = balance.Gone
		entries = append(entries, entry)
	}
	return entries
}
