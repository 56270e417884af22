package routing

import (
	"net/netip"
	"slices"
	"strings"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

const maxPassedBytes = 48 << 10 // bytes of a partly read command that are handed over: more would not fit into a message

// PeerProcess is the other process of the instance during an upgrade.
type PeerProcess interface {
	// ForwardBan bans a host in the other process, or lifts the ban. done is called with whether it knows the
	// host.
	ForwardBan(id string, banned bool, done func(known bool))
}

// Successor is the process that takes over.
type Successor interface {
	// PassConnection hands over a client's connection with its unread input. proven tells whether an op has arrived
	// on it. The descriptor is the successor's from then on.
	PassConnection(fd int, unread []byte, proven bool)
	// HasUnsent reports whether connections are still being handed over.
	HasUnsent() bool
}

// handOver refers to the other processes of the instance during an upgrade.
type handOver struct {
	peer      PeerProcess // nil if there is none
	successor Successor   // set once it serves; nil if there is none
}

// Listen starts to accept clients at an address. A shared address may have listeners of several processes.
func (r *Router) Listen(at netip.AddrPort, shared bool) (err error) {
	r.clients.listener, err = r.loop.ListenAt("client", at, shared, 0, r.acceptClient)
	return err
}

// AdoptListener starts to accept clients on a listening socket of another process, given by its descriptor.
func (r *Router) AdoptListener(fd int) (err error) {
	r.clients.listener, err = r.loop.AdoptListener("client", fd, 0, r.acceptClient)
	return err
}

// Listener returns the clients' listener, or nil before the router listens.
func (r *Router) Listener() *transport.Listener { return r.clients.listener }

// SetPeerProcess sets the other process of the instance, or nil once it is gone. Two processes share the buffer
// memory equally.
func (r *Router) SetPeerProcess(p PeerProcess) {
	r.handOver.peer = p
	r.memory.setShared(p != nil)
}

// SetSuccessor sets the process that takes over, or nil if it is lost. While it is set, this process accepts no
// connections, and during shutdown it hands its clients over.
func (r *Router) SetSuccessor(s Successor) {
	r.handOver.successor = s
	r.clients.listener.SetSuspended(s != nil)
	r.loop.SkipWait()
}

// KnownHosts returns what another process needs to know about hosts: the current list, the ids of all past and
// present cache hosts, and the banned ids.
func (r *Router) KnownHosts() (l *protocol.HostList, past, banned []string) {
	l = &protocol.HostList{Revision: r.watch.revision, Complete: true}
	for id, h := range r.hosts.byID {
		if h.Status != balance.Gone {
			l.Members = append(l.Members, h.listEntry)
		}
		if h.Banned {
			banned = append(banned, id)
		}
		if !h.IsOrigin {
			past = append(past, id)
		}
	}
	slices.SortFunc(l.Members, func(x, y protocol.Member) int { return strings.Compare(x.ID, y.ID) })
	slices.Sort(banned)
	slices.Sort(past)
	return l, append(slices.Clone(r.hosts.past.order), past...), banned
}

// YieldColdBudgets leaves the budgets for cold hosts to another process, or takes them back.
func (r *Router) YieldColdBudgets(on bool) { r.balancer.YieldColdHosts(on) }

// Learned returns what the balancer has learned.
func (r *Router) Learned() balance.Learned { return r.balancer.Learned() }

// AdoptHostState takes over another process's host list, past and banned ids, and what its balancer has
// learned.
func (r *Router) AdoptHostState(l *protocol.HostList, past, banned []string, learned []balance.Learned) {
	for _, id := range past {
		if r.hosts.byID[id] == nil {
			r.hosts.past.add(id)
		}
	}
	if l.Revision >= r.watch.revision && len(l.Members) > 0 {
		r.watch.revision = l.Revision
		r.applyList(l, true, true)
	}
	if r.inventory.inUse { // this process's inventory may be newer than that of the other
		r.inventory.pending.Store(r.inventory.current)
	}
	for _, part := range learned {
		r.balancer.Restore(part)
	}
	r.banAll(banned)
}

// AdoptClient takes over a client's connection from another process, with its unread input and whether an op
// has arrived on it.
func (r *Router) AdoptClient(fd int, unread []byte, proven bool) {
	c := r.clients.listener.AdoptConn(fd, unread).Handler.(*client)
	c.proven = proven
	c.updateTimer(false)
}

// handOverClients hands over the client connections that have no open op and no unsent answer.
func (r *Router) handOverClients() {
	for _, c := range slices.Clone(r.clients.all) {
		unread := c.decoder.PendingLine()
		if len(c.pipeline) > 0 || c.conn.Out.Len() > 0 || c.closeReason != "" || !c.conn.IsOpen() || c.decoder.IsDiscarding() ||
			len(unread)+c.conn.In.Len() > maxPassedBytes {
			continue
		}
		c.deregister()
		fd, in := c.conn.Detach()
		r.handOver.successor.PassConnection(fd, append([]byte(unread), in...), c.proven)
	}
}
