package trial

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// A plan with 1,024 balancers, hosts and zones, and with faults that list all of them, is parsed, validated and printed.
func TestPlanOfManyParts(t *testing.T) {
	const n = 1024
	var text strings.Builder
	fmt.Fprintf(&text, "fleet: {balancers: %d, hosts: %d, zones: %d}\nfaults:\n", n, n, n)
	for i := range n {
		fmt.Fprintf(&text, "- {at: 1s, for: 1s, what: hang, of: [h%d]}\n", i+1)
	}
	hosts := strings.Join(numberedNames("h", n), ", ")
	fmt.Fprintf(&text, "- {at: 2s, for: 1s, what: slow, by: 2, of: [%s]}\n", hosts)
	fmt.Fprintf(&text, "- {at: 2s, for: 1s, what: cut, from: [all], to: [%s, origin, discovery]}\n", hosts)
	start := time.Now()
	p, err := ParsePlan([]byte(text.String()))
	t.Logf("%d bytes read in %v", text.Len(), time.Since(start).Round(time.Millisecond))
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
		if partIndex(name) != i {
			t.Fatalf("%s at place %d, want %d", name, partIndex(name), i)
		}
	}
	again, err := ParsePlan([]byte(p.String()))
	if err != nil || len(again.Faults) != n+2 || len(zoneNames(again.Fleet)) != n {
		t.Errorf("printed and read: %d faults, %.400v", len(again.Faults), err)
	}
}

// All balancers of the largest plan have distinct loopback addresses, so that hosts can tell them apart.
func TestAddressesOfManyBalancers(t *testing.T) {
	for _, pid := range []int{0, 1, 255, 1023, 1 << 22} {
		a := addressSpace{pid}
		seen := map[string]bool{a.hostsIP(): true}
		for i := range maxBalancers {
			for _, ip := range []string{a.listenIP(i), a.linksIP(i), a.sourceIP(i)} {
				if parsed := net.ParseIP(ip); parsed == nil || !parsed.IsLoopback() || seen[ip] {
					t.Fatalf("balancer %d of process %d: %s is invalid or already in use", i, pid, ip)
				}
				seen[ip] = true
			}
		}
	}
}

// The link of the highest balancer number accepts connections at its address, and connects from its balancer's source address.
func TestLinkOfLastBalancer(t *testing.T) {
	a := processAddresses()
	part, err := net.Listen("tcp", a.hostsIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer part.Close()
	last := maxBalancers - 1
	l, err := newLink("b", "h", a.linksIP(last), net.ParseIP(a.sourceIP(last)), 1, func() string { return part.Addr().String() })
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
	if from, _, _ := net.SplitHostPort(far.RemoteAddr().String()); from != a.sourceIP(last) {
		t.Errorf("connected from %s, want %s", from, a.sourceIP(last))
	}
}

// An invalid fleet is refused before the faults are validated, which would build its list of parts.
func TestPlanOfImpossibleFleet(t *testing.T) {
	for _, fleet := range []string{"zones: 0", "zones: -1", "hosts: 2000000000", "balancers: 2000000000"} {
		_, err := ParsePlan([]byte("fleet: {" + fleet + "}\nfaults: [{at: 1s, for: 1s, what: kill, of: [b1]}]"))
		if name, _, _ := strings.Cut(fleet, ":"); err == nil || !strings.Contains(err.Error(), "plan: line 1: fleet."+name) {
			t.Errorf("%s: %v", fleet, err)
		}
	}
}
