package routing

import (
	"net/netip"
	"slices"
	"strings"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

const passMost = 48 << 10 // bytes of a command that is passed on half read: more would not fit a message

// PeerProcess is the other process while two live.
type PeerProcess interface {
	// TellBan has it ban a host, or lift the ban; done hears whether it knows the host.
	ForwardBan(id string, out bool, done func(known bool))
}

// Successor is the process that takes over.
type Successor interface {
	PassConnection(fd int, unread []byte, proven bool) // a client's connection, and whether an op has come on it
	HasUnsent() bool                                   // some of that is still on its way
}

// handOver is what this process knows of the other ones of its instance while there are any.
type handOver struct {
	partner   PeerProcess // the other process of an upgrade, or nil
	successor Successor   // the one that takes over, once it serves, or nil
}

// Listen listens at an address; a shared one may have listeners of several processes.
func (r *Router) Listen(at netip.AddrPort, shared bool) (err error) {
	r.clients.listener, err = r.loop.ListenAt("client", at, shared, 0, r.accept)
	return err
}

// AdoptListener listens on a socket that another process has listened on.
func (r *Router) AdoptListener(fd int) (err error) {
	r.clients.listener, err = r.loop.AdoptListener("client", fd, 0, r.accept)
	return err
}

// Listener is the clients' listener; nil while there is none.
func (r *Router) Listener() *transport.Listener { return r.clients.listener }

// SetPeerProcess tells of the other process that lives beside this one, nil where there is none; both together have the memory of
// one.
func (r *Router) SetPeerProcess(p PeerProcess) {
	r.handOver.partner = p
	r.memory.share(p != nil)
}

// SetSuccessor tells of the process that takes over, nil where it is lost. This one leaves new connections to it, and from the word to
// stop on passes its clients on.
func (r *Router) SetSuccessor(s Successor) {
	r.handOver.successor = s
	r.clients.listener.SetSuspended(s != nil)
	r.loop.SkipWait()
}

// KnownHosts is what another process has to know of hosts: the list as it stands, the ids there were, and those banned.
func (r *Router) KnownHosts() (l *protocol.HostList, past, banned []string) {
	l = &protocol.HostList{Revision: r.watch.revision, Complete: true}
	for id, h := range r.hosts.byID {
		if h.Status != balance.Gone {
			l.Members = append(l.Members, h.listed)
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

// Learned is what the balancer has learned.
func (r *Router) Learned() balance.Learned { return r.balancer.Learned() }

// AdoptHostState takes what another process knows of hosts.
func (r *Router) AdoptHostState(l *protocol.HostList, past, banned []string, learned []balance.Learned) {
	for _, id := range past {
		if r.hosts.byID[id] == nil {
			r.hosts.past.add(id)
		}
	}
	if l.Revision >= r.watch.revision && len(l.Members) > 0 {
		r.watch.revision = l.Revision
		r.list(l, true, true)
	}
	if r.inventory.inUse { // the file is this process's own, and may be newer
		r.inventory.pending.Store(r.inventory.current)
	}
	for _, part := range learned {
		r.balancer.Restore(part)
	}
	r.banAll(banned)
}

// AdoptClient takes a client's connection that another process has passed on.
func (r *Router) AdoptClient(fd int, unread []byte, proven bool) {
	c := r.clients.listener.AdoptConn(fd, unread).Handler.(*client)
	c.proven = proven
	c.attend(false)
}

// passOn passes on the clients' connections that stand between two ops.
func (r *Router) passOn() {
	for _, c := range slices.Clone(r.clients.all) {
		unread := c.commands.PendingLine()
		if len(c.line) > 0 || c.conn.Out.Len() > 0 || c.ending != "" || !c.conn.IsOpen() ||
			len(unread)+c.conn.In.Len() > passMost {
			continue
		}
		c.leave()
		fd, in := c.conn.Detach()
		r.handOver.successor.PassConnection(fd, append([]byte(unread), in...), c.proven)
	}
}
