package routing

import (
	"sync/atomic"

	"larchthread/balance"
	"larchthread/internal/inventory"
	"larchthread/internal/protocol"
)

// inventoryState is the host list from an inventory file, which replaces discovery's.
type inventoryState struct {
	inUse   bool
	pending atomic.Pointer[[]inventory.Host] // not applied yet
	current *[]inventory.Host                // applied
}

// SetInventory replaces the host list in the next round. It may be called from any goroutine.
func (r *Router) SetInventory(hosts []inventory.Host) {
	r.inventory.pending.Store(&hosts)
	r.loop.Wake()
}

// applyInventory applies a pending inventory as a complete host list: hosts not in it drain. The file has no
// start times, so hosts added after the first list, or with a changed address, count as just started.
func (r *Router) applyInventory() {
	hosts := r.inventory.pending.Swap(nil)
	if hosts == nil {
		return
	}
	r.inventory.current = hosts
	l := &protocol.HostList{Revision: r.watch.revision + 1, Complete: true}
	first := !r.HasListedHosts()
	for _, h := range *hosts {
		m := protocol.Member{ID: h.ID, Address: h.Address, Locality: h.Zone, Flavor: h.Kind, Phase: protocol.InService,
			Size: h.Weight}
		switch before := r.hosts.byID[h.ID]; {
		case first: // no host is known to be new
		case before == nil || before.listEntry.Address != h.Address || before.Status == balance.Gone:
			m.UpSince = r.loop.Now()
		default:
			m.UpSince = before.listEntry.UpSince
		}
		l.Members = append(l.Members, m)
	}
	r.log.Info("inventory", "hosts", len(l.Members))
	r.watch.revision = l.Revision
	r.applyList(l, true, false)
}
