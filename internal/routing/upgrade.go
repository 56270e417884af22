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
	// ShareIDs tells the other process of ids of ops, by their hashes, that may have run here and must not run there.
	ShareIDs(hashes []uint64)
}

// Successor is the process that takes over.
type Successor interface {
	// PassConnection hands over a client's connection with its unread input. proven tells whether an op has arrived
	// on it, waited for how many ms the input may have waited. The descriptor is the successor's from then on.
	PassConnection(fd int, unread []byte, proven bool, waited float64)
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
	if p != nil && r.handOver.peer == nil {
		p.ShareIDs(r.clients.ids.hashesToShare(r.loop.Now()))
	}
	r.handOver.peer = p
	r.memory.setShared(p != nil)
}

// SetSuccessor sets the process that takes over, or nil if it is lost. While it is set, this process accepts no
// connections, and during shutdown it hands its clients over.
func (r *Router) SetSuccessor(s Successor) {
	r.handOver.successor = s
	r.clients.listener.SetSuspended(s != nil)
	if s == nil {
		r.resumeClients()
	}
	r.loop.SkipWait()
}

// SuccessorReplaced tells that the process that took over has ended, and that another accepts connections in its place.
// This process serves the connections that it has.
func (r *Router) SuccessorReplaced() {
	r.handOver.successor = nil
	r.resumeClients()
	r.loop.SkipWait()
}

// resumeClients reads on from the clients that were to be handed over.
func (r *Router) resumeClients() {
	for _, c := range r.clients.all {
		c.conn.ReadLimit = 0
		r.loop.ScheduleReceive(c.conn)
	}
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

// AdoptClient takes over a client's connection from another process, with its unread input, whether an op has
// arrived on it, and for how many ms its input may have waited.
func (r *Router) AdoptClient(fd int, unread []byte, proven bool, waited float64) {
	c := r.clients.listener.AdoptConn(fd, unread, waited).Handler.(*client)
	c.proven = proven
	c.updateTimer(false)
}

// isHandingOver reports whether clients are being handed over to the successor.
func (r *Router) isHandingOver() bool { return r.shutdown.closing && r.handOver.successor != nil }

// handOverClients hands over the clients that have no open op and no unsent answer. From the others nothing more is
// read than the rest of a command that is too long to be handed over, or a client that always has an op open would
// stay, with its ops, until this process is killed.
func (r *Router) handOverClients() {
	for _, c := range slices.Clone(r.clients.all) {
		switch {
		case c.closeReason != "" || !c.conn.IsOpen():
		case !c.fitsHandOver():
			c.conn.ReadLimit = max(1, c.decoder.MissingBytes(&c.conn.In))
		case len(c.pipeline) == 0 && c.conn.Out.Len() == 0:
			c.handOver()
		case len(c.pipeline) == 0 && r.loop.Now()-c.conn.LastUsed > progressTimeout:
			c.closeNow(transport.SlowReader)
		default:
			c.conn.SetPaused(true)
			c.updateTimer(false)
		}
	}
}

// handOver hands the client over to the successor.
func (c *client) handOver() {
	unread := []byte(c.decoder.PendingLine())
	c.deregister()
	fd, in, waited := c.conn.Detach()
	c.router.handOver.successor.PassConnection(fd, append(unread, in...), c.proven, waited)
}

// fitsHandOver reports whether the client's unprocessed input can be handed over.
func (c *client) fitsHandOver() bool {
	return !c.decoder.IsDiscarding() && len(c.decoder.PendingLine())+c.conn.In.Len() <= maxPassedBytes
}

// awaitsHandOver reports whether the client's unprocessed input is left to the successor.
func (c *client) awaitsHandOver() bool { return c.router.isHandingOver() && c.fitsHandOver() }
