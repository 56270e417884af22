package routing

import (
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// A connection that ends within an answer returns all its buffers to the pool.
func Example_unfinishedAnswer() {
	loop, err := transport.NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Println(err)
		return
	}
	r := &Router{loop: loop}
	r.balancer = balance.New(balance.Config{GroupSize: 1}, r, 0)
	h := &host{Host: balance.Host{IsOrigin: true}, address: netip.MustParseAddrPort("127.0.0.1:1")}
	hc := h.acquireConn(r, false)
	hc.push = &push{Push: &balance.Push{}, router: r, hostConn: hc, op: &op{command: &protocol.Command{}}}
	hc.conn.In.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
	hc.Received(hc.conn)
	fmt.Println("held:", loop.Pool.UsedBytes() > 0)
	hc.close(transport.Reset)
	fmt.Println("held:", loop.Pool.UsedBytes() > 0)
	// Output:
	// held: true
	// held: false
}

// A gone host is removed after a while, but not while a push to it is unfinished, so the table does not grow
// with each new id.
func Example_removeGone() {
	loop, err := transport.NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Println(err)
		return
	}
	r := &Router{loop: loop, hosts: newHostPool(0)}
	r.balancer = balance.New(balance.Config{GroupSize: 1}, r, 0)
	apply := func(complete bool, phase protocol.Phase, ids ...string) {
		l := &protocol.HostList{}
		for _, id := range ids {
			l.Members = append(l.Members, protocol.Member{ID: id, Phase: phase})
		}
		r.applyList(l, complete, false)
		fmt.Println(slices.Sorted(maps.Keys(r.hosts.byID)))
	}
	apply(true, protocol.InService, "a", "b", "c")
	apply(false, protocol.Terminated, "a")
	listener, err := loop.Listen("host", netip.MustParseAddrPort("127.0.0.1:0"), 0, func(*transport.Conn) {})
	pair, err2 := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil || err2 != nil {
		fmt.Println(err, err2)
		return
	}
	r.hosts.byID["b"].pushes = []*push{{state: pushWriting, hostConn: &hostConn{conn: listener.AdoptConn(pair[0], nil, 0)}}}
	apply(true, protocol.InService, "d")
	for _, h := range r.hosts.byID {
		h.goneSince = min(h.goneSince, 1) // long ago
	}
	apply(false, protocol.InService, "e")
	r.hosts.byID["b"].pushes = nil
	apply(false, protocol.InService, "b") // back in time
	// Output:
	// [a b c]
	// [a b c]
	// [a b c d]
	// [b d e]
	// [b d e]
}

// A deregistered client must not become idle again when its last command was read together with others, or it
// would be removed twice.
func Example_deregister() {
	loop, err := transport.NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Println(err)
		return
	}
	r := &Router{loop: loop, clients: newClientRegistry(9)}
	for range 2 {
		r.acceptClient(loop.Dial("client", netip.AddrPort{}, nil))
	}
	first := r.clients.all[0]
	first.proven = true
	first.updateTimer(false)
	fmt.Println(len(r.clients.all), "clients,", r.clients.idle.Len(), "of them idle")
	first.deregister()
	first.updateTimer(true)
	fmt.Println(len(r.clients.all), "clients,", r.clients.idle.Len(), "of them idle")
	// Output:
	// 2 clients, 1 of them idle
	// 1 clients, 0 of them idle
}
