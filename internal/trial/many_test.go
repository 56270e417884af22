package trial

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// A plan may have 1,024 balancers, hosts and zones, a fault for each host, and faults that name all of them. It is read, checked
// and printed; nothing is played.
func TestPlanOfManyParts(t *testing.T) {
	const n = 1024
	var text strings.Builder
	fmt.Fprintf(&text, "fleet: {balancers: %d, hosts: %d, zones: %d}\nfaults:\n", n, n, n)
	for i := range n {
		fmt.Fprintf(&text, "- {at: 1s, for: 1s, what: hang, of: [h%d]}\n", i+1)
	}
	hosts := strings.Join(numbered("h", n), ", ")
	fmt.Fprintf(&text, "- {at: 2s, for: 1s, what: slow, by: 2, of: [%s]}\n", hosts)
	fmt.Fprintf(&text, "- {at: 2s, for: 1s, what: cut, from: [all], to: [%s, origin, discovery]}\n", hosts)
	began := time.Now()
	p, err := ParsePlan([]byte(text.String()))
	t.Logf("%d bytes read in %v", text.Len(), time.Since(began).Round(time.Millisecond))
	if err != nil {
		t.Fatalf("%.400s", err)
	}
	of, _, err := p.Faults[n].targets(p.Fleet)
	if err != nil || !slices.Equal(of, p.Fleet.hosts()) {
		t.Errorf("%d hosts, %v", len(of), err)
	}
	from, to, err := p.Faults[n+1].targets(p.Fleet)
	if err != nil || !slices.Equal(from, p.Fleet.balancers()) || len(to) != n+2 {
		t.Errorf("%d balancers, %d parts, %v", len(from), len(to), err)
	}
	for i, name := range of {
		if place(name) != i {
			t.Fatalf("%s at place %d, want %d", name, place(name), i)
		}
	}
	again, err := ParsePlan([]byte(p.String()))
	if err != nil || len(again.Faults) != n+2 || len(zones(again.Fleet)) != n {
		t.Errorf("printed and read: %d faults, %.400v", len(again.Faults), err)
	}
}

// Each balancer has addresses of its own, for as many as a plan may have: what hosts see tells balancers apart.
func TestAddressesOfManyBalancers(t *testing.T) {
	for _, pid := range []int{0, 1, 255, 1023, 1 << 22} {
		a := addresses{pid}
		seen := map[string]bool{a.hosts(): true}
		for i := range mostBalancers {
			for _, ip := range []string{a.listen(i), a.links(i), a.source(i)} {
				if parsed := net.ParseIP(ip); parsed == nil || !parsed.IsLoopback() || seen[ip] {
					t.Fatalf("balancer %d of process %d: %s is no address, or another's", i, pid, ip)
				}
				seen[ip] = true
			}
		}
	}
}

// A link of the last balancer that a plan may have is reached at its address, and comes from its balancer's source.
func TestLinkOfLastBalancer(t *testing.T) {
	a := ownAddresses()
	part, err := net.Listen("tcp", a.hosts()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer part.Close()
	last := mostBalancers - 1
	l, err := newLink("b", "h", a.links(last), net.ParseIP(a.source(last)), 1, func() string { return part.Addr().String() })
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	near, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	part.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	far, err := part.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	if from, _, _ := net.SplitHostPort(far.RemoteAddr().String()); from != a.source(last) {
		t.Errorf("it comes from %s, want %s", from, a.source(last))
	}
}

// A fleet that can't be is refused before its faults are looked at: they would be checked against its parts.
func TestPlanOfImpossibleFleet(t *testing.T) {
	for _, fleet := range []string{"zones: 0", "zones: -1", "hosts: 2000000000", "balancers: 2000000000"} {
		_, err := ParsePlan([]byte("fleet: {" + fleet + "}\nfaults: [{at: 1s, for: 1s, what: kill, of: [b1]}]"))
		if name, _, _ := strings.Cut(fleet, ":"); err == nil || !strings.Contains(err.Error(), "plan: line 1: fleet."+name) {
			t.Errorf("%s: %v", fleet, err)
		}
	}
}
