package routing

import (
	"net/netip"

	"larchthread/balance"
	"larchthread/internal/protocol"
)

// hostPool holds the known hosts, the ids of former hosts and the connection timeouts.
type hostPool struct {
	byID           map[string]*host
	past           pastHosts
	owners         addressOwners
	idleTimeout    float64 // ms for which hosts keep idle connections open
	connectTimeout float64 // ms
}

// newHostPool returns an empty pool. A connectTimeout of 0 ms or less selects the default.
func newHostPool(connectTimeout float64) hostPool {
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	return hostPool{byID: map[string]*host{}, owners: addressOwners{}, connectTimeout: connectTimeout}
}

// host is a cache host or the origin, with its idle connections and its unfinished pushes.
type host struct {
	balance.Host
	address      netip.AddrPort
	listEntry    protocol.Member // its latest entry in a host list
	idleConns    []*hostConn
	lastAnswerAt float64 // ms
	pushes       []*push // on connections to it
	goneSince    float64 // ms; 0 while it is listed
	silent       bool    // a push to it was given up, and no later answer has arrived
}

// add creates a host and registers it.
func (p *hostPool) add(id string, isOrigin bool) *host {
	h := &host{Host: balance.Host{Name: id, IsOrigin: isOrigin}}
	h.Ref = h
	p.byID[id] = h
	return h
}

// removeGone forgets hosts that have been gone for goneHostRetention, so that fleets with ever new ids don't
// grow the table without bound. A host that returns earlier keeps its state.
func (p *hostPool) removeGone(now float64) {
	for id, h := range p.byID {
		switch {
		case h.Status != balance.Gone:
			h.goneSince = 0
		case h.goneSince == 0:
			h.goneSince = now
			h.withdraw() // a complete list does not name it, so applyList has not done this
		case now-h.goneSince > goneHostRetention && len(h.pushes) == 0 && !h.Banned:
			delete(p.byID, id)
			if !h.IsOrigin {
				p.past.add(id)
			}
		}
	}
}

// pastHosts holds the ids of the latest maxPastHosts hosts that are no longer known. Operators may still name
// them.
type pastHosts struct {
	ids   map[string]bool
	order []string
}

// add records an id, and forgets the oldest one beyond maxPastHosts.
func (p *pastHosts) add(id string) {
	if p.ids[id] {
		return
	}
	if p.ids == nil {
		p.ids = map[string]bool{}
	}
	p.ids[id], p.order = true, append(p.order, id)
	if len(p.order) > maxPastHosts {
		delete(p.ids, p.order[0])
		p.order = append(p.order[:0], p.order[1:]...)
	}
}
