package routing

import (
	"net/netip"

	"larchthread/balance"
	"larchthread/internal/protocol"
)

// hostPool is the hosts that are known, those that were, and how connections to them are made and kept.
type hostPool struct {
	byID           map[string]*host
	past           past
	idleTimeout    float64 // ms for which hosts keep idle connections
	connectTimeout float64 // ms in which a connection has to come up
}

// newHostPool makes a pool without hosts. Where it is not told how long a connection may take to come up, that is as usual.
func newHostPool(connectTimeout float64) hostPool {
	if connectTimeout <= 0 {
		connectTimeout = connectFor
	}
	return hostPool{byID: map[string]*host{}, connectTimeout: connectTimeout}
}

// host is a cache host, or the origin, with the connections to it that carry nothing.
type host struct {
	balance.Host
	address netip.AddrPort
	listed  protocol.Member // the latest line on it
	idle    []*link
	heard   float64 // ms, time of its last answer
	pushes  []*push // on connections to it
	gone    float64 // ms, when it was first seen to be gone; 0 while it is not
	silent  bool    // the last push to it had to be given up, and none was answered since that began
}

// add makes a host known.
func (p *hostPool) add(id string, origin bool) *host {
	h := &host{Host: balance.Host{Name: id, IsOrigin: origin}}
	h.Ref = h
	p.byID[id] = h
	return h
}

// forget lets go of hosts that have been gone for a while: where hosts are replaced by new ones, ids are ever new. One that
// comes back sooner is still known, with what was learned of it and what it was sent.
func (p *hostPool) forget(now float64) {
	for id, h := range p.byID {
		switch {
		case h.Status != balance.Gone:
			h.gone = 0
		case h.gone == 0:
			h.gone = now
			h.leave() // a whole list does not name it
		case now-h.gone > goneFor && len(h.pushes) == 0 && !h.Banned:
			delete(p.byID, id)
			if !h.IsOrigin {
				p.past.add(id)
			}
		}
	}
}

// past holds the ids of hosts that are known no more, the latest of them: each may still be named by a call.
type past struct {
	ids   map[string]bool
	order []string
}

func (p *past) add(id string) {
	if p.ids[id] {
		return
	}
	if p.ids == nil {
		p.ids = map[string]bool{}
	}
	p.ids[id], p.order = true, append(p.order, id)
	if len(p.order) > pastMost {
		delete(p.ids, p.order[0])
		p.order = append(p.order[:0], p.order[1:]...)
	}
}
