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

// A connection that ends inside an answer gives back all that had come of it.
func Example_unfinishedAnswer() {
	loop, err := transport.NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Println(err)
		return
	}
	r := &Router{loop: loop}
	h := &host{Host: balance.Host{IsOrigin: true}, address: netip.MustParseAddrPort("127.0.0.1:1")}
	l := h.link(r, false)
	l.push = &push{router: r, link: l, op: &op{command: &protocol.Command{}}}
	l.conn.In.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
	l.Received(l.conn)
	fmt.Println("held:", loop.Pool.UsedBytes() > 0)
	l.close(transport.Reset)
	fmt.Println("held:", loop.Pool.UsedBytes() > 0)
	// Output:
	// held: true
	// held: false
}

// A host is forgotten some time after it has gone, but not while a push is out there. The table of hosts once grew with
// each new id.
func Example_forget() {
	loop, err := transport.NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Println(err)
		return
	}
	r := &Router{loop: loop, hosts: newHostPool(0)}
	r.balancer = balance.New(balance.Config{GroupSize: 1}, r, 0)
	tell := func(whole bool, phase protocol.Phase, ids ...string) {
		l := &protocol.HostList{}
		for _, id := range ids {
			l.Members = append(l.Members, protocol.Member{ID: id, Phase: phase})
		}
		r.list(l, whole, false)
		fmt.Println(slices.Sorted(maps.Keys(r.hosts.byID)))
	}
	tell(true, protocol.InService, "a", "b", "c")
	tell(false, protocol.Terminated, "a")
	listener, err := loop.Listen("host", netip.MustParseAddrPort("127.0.0.1:0"), 0, func(*transport.Conn) {})
	pair, err2 := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil || err2 != nil {
		fmt.Println(err, err2)
		return
	}
	r.hosts.byID["b"].pushes = []*push{{state: writing, link: &link{conn: listener.AdoptConn(pair[0], nil)}}}
	tell(true, protocol.InService, "d")
	for _, h := range r.hosts.byID {
		h.gone = min(h.gone, 1) // long ago
	}
	tell(false, protocol.InService, "e")
	r.hosts.byID["b"].pushes = nil
	tell(false, protocol.InService, "b") // back in time
	// Output:
	// [a b c]
	// [a b c]
	// [a b c d]
	// [b d e]
	// [b d e]
}

// A client that is out of the books stays out, also where the command that ended it was read with others. One that came
// back would be taken out twice, and another with it.
func Example_left() {
	loop, err := transport.NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Println(err)
		return
	}
	r := &Router{loop: loop, clients: newClientSide(9)}
	for range 2 {
		r.accept(loop.Dial("client", netip.AddrPort{}, nil))
	}
	first := r.clients.all[0]
	first.proven = true
	first.attend(false)
	fmt.Println(len(r.clients.all), "clients,", r.clients.atRest.Len(), "at rest")
	first.leave()
	first.attend(true)
	fmt.Println(len(r.clients.all), "clients,", r.clients.atRest.Len(), "at rest")
	// Output:
	// 2 clients, 1 at rest
	// 1 clients, 0 at rest
}
