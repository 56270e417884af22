package routing

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"

	"larchthread/balance"
	"larchthread/internal/inventory"
	"larchthread/internal/transport"
)

// hostList returns an inventory of n cache hosts with distinct addresses.
func hostList(n int) (hosts []inventory.Host) {
	for i := range n {
		hosts = append(hosts, inventory.Host{ID: fmt.Sprint("cache", i), Weight: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 11211)})
	}
	return hosts
}

// inventoryRouter returns a router whose hosts come from SetInventory.
func inventoryRouter() *Router {
	loop, err := transport.NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		panic(err)
	}
	r := &Router{loop: loop, log: loop.Log, hosts: newHostPool(0), inventory: inventoryState{inUse: true}}
	r.balancer = balance.New(balance.Config{GroupSize: 1, WarmupTime: 5000, ColdCapacity: 0.5, ConnIdleTimeout: 1,
		Categories: []*balance.Category{{Target: 100}}}, r, loop.Now())
	return r
}

// Hosts of the first list count as warm. A host that is added later, returns or changes its address is cold;
// the others keep their state.
func Example_inventoryCold() {
	r := inventoryRouter()
	apply := func(hosts ...inventory.Host) {
		r.SetInventory(hosts)
		r.applyInventory()
		var cold []string
		for _, h := range hosts {
			if r.hosts.byID[h.ID].UpSince > 0 {
				cold = append(cold, h.ID)
			}
		}
		listed, _ := r.balancer.HostCounts()
		fmt.Println(listed, "listed; cold:", cold)
	}
	f := hostList(3)
	apply(f[0], f[1])
	apply(f[0], f[1], f[2])
	apply(f[1], f[2])
	apply(f...)
	f[1].Address = f[0].Address
	f[0].Address = netip.MustParseAddrPort("10.9.9.9:1")
	apply(f...)
	// Output:
	// 2 listed; cold: []
	// 3 listed; cold: [cache2]
	// 2 listed; cold: [cache2]
	// 3 listed; cold: [cache0 cache2]
	// 3 listed; cold: [cache0 cache1 cache2]
}

// BenchmarkSetInventory measures applying an inventory that gains or loses one host.
func BenchmarkSetInventory(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, hosts := inventoryRouter(), hostList(n+1)
			for i := 0; b.Loop(); i++ {
				r.SetInventory(hosts[:n+i%2])
				r.applyInventory()
			}
		})
	}
}
