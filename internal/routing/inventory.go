package routing

import (
	"sync/atomic"

	"larchthread/balance"
	"larchthread/internal/inventory"
	"larchthread/internal/protocol"
)

// inventoryState is the list of hosts that comes by hand, from a file, in place of discovery's.
type inventoryState struct {
	inUse   bool
	pending atomic.Pointer[[]inventory.Host] // still to be put in force
	current *[]inventory.Host                // in force
}

// SetInventory puts a list of hosts in force in place of discovery's. It may be called from any goroutine.
func (r *Router) SetInventory(hosts []inventory.Host) {
	r.inventory.pending.Store(&hosts)
	r.loop.Wake()
}

// takeInventory hands the list on, as one of discovery's: hosts that are not on it drain, and new ones join. The file does not
// tell when a host started, so one that comes later than the first list, or to another address, is taken for cold.
func (r *Router) takeInventory() {
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
		case first: // the first list: nothing tells that any is new
		case before == nil || before.listed.Address != h.Address || before.Status == balance.Gone:
			m.UpSince = r.loop.Now()
		default:
			m.UpSince = before.listed.UpSince
		}
		l.Members = append(l.Members, m)
	}
	r.log.Info("inventory", "hosts", len(l.Members))
	r.watch.revision = l.Revision
	r.list(l, true, false)
}
