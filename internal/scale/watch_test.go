package scale

import (
	"testing"
	"time"
)

const (
	maxWatchGrowth      = 1.5 // allowed growth of the bytes per balancer; slow machines make more idle calls
	maxListsPerBalancer = 2   // limit of the bytes sent to a balancer, in full lists: one list, the changes, and idle responses
)

// TestWatchGrowth guards against changes that are sent twice or as full lists, and against traffic per balancer that grows with
// the number of balancers.
func TestWatchGrowth(t *testing.T) {
	const changes = 5
	var traffic []Point
	for _, balancers := range []int{20, 40, 80} {
		r := &watchRun{config: WatchConfig{Hosts: TargetHosts}, row: WatchRow{Balancers: balancers}}
		if err := r.startFleet(); err != nil {
			t.Fatal(err)
		}
		if err := r.startBalancers(); err != nil {
			t.Fatal(err)
		}
		for host := range changes {
			r.setHost(host, "terminating", 0)
			if _, err := r.awaitCurrentList(time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		for _, h := range r.balancers {
			if err := h.stop(); err != nil {
				t.Error(err)
			}
		}
		listsWithHosts := 0
		for _, sent := range r.fleet.SentLists() {
			if len(sent.Phases) > 0 {
				listsWithHosts++
			}
		}
		total := r.server.traffic()
		r.server.stop()
		r.fleet.Close()
		if want := balancers * (1 + changes); listsWithHosts != want {
			t.Errorf("%d balancers: %d lists with hosts, want a full list and %d changes for each", balancers, listsWithHosts, changes)
		}
		fullResponse, err := listResponse(fullList(TargetHosts))
		if err != nil {
			t.Fatal(err)
		}
		if maxBytes := int64(maxListsPerBalancer * len(fullResponse) * balancers); total.BytesOut > maxBytes {
			t.Errorf("%d balancers: %d bytes written, want at most %d", balancers, total.BytesOut, maxBytes)
		}
		traffic = append(traffic, Point{float64(balancers), float64(total.BytesIn + total.BytesOut)})
	}
	if growth := largestGrowth(traffic); growth > maxWatchGrowth {
		t.Errorf("bytes per balancer grow by a factor of %.2f: %v", growth, traffic)
	}
}

// TestControlArithmetic checks that the traffic per balancer does not depend on the number of balancers, and that wireBytes
// counts segments and acknowledgements.
func TestControlArithmetic(t *testing.T) {
	small, large := CompareControl(170), CompareControl(1700)
	for i, strategy := range large.Strategies {
		if strategy.BalancerBytes != small.Strategies[i].BalancerBytes {
			t.Errorf("%s: %v bytes/s per balancer with 1,700 balancers, %v with 170",
				strategy.Name, strategy.BalancerBytes, small.Strategies[i].BalancerBytes)
		}
	}
	if got := wireBytes(1449); got != 1449+3*segmentOverheadBytes {
		t.Errorf("1,449 bytes take %v bytes on the wire, want two segments and one acknowledgement", got)
	}
}
