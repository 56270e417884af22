package scale

import (
	"testing"
	"time"
)

const (
	watchSlack = 1.5 // by how much the bytes of a balancer may grow: a slow machine has more idle calls in between
	wholeMost  = 2   // whole lists that a balancer is written at the most, in bytes: one, changes, and idle answers
)

// TestWatchGrowth checks that discovery writes each change once to each balancer, no more bytes for a balancer where
// there are more of them, and changes as changes, not as whole lists.
func TestWatchGrowth(t *testing.T) {
	const changes = 5
	var bytes []Point
	for _, balancers := range []int{20, 40, 80} {
		r := &watchRun{config: WatchConfig{Hosts: TargetHosts}, row: WatchRow{Balancers: balancers}}
		if err := r.startFleet(); err != nil {
			t.Fatal(err)
		}
		if err := r.startBalancers(); err != nil {
			t.Fatal(err)
		}
		for host := range changes {
			r.list(host, "terminating", 0)
			if _, err := r.reached(time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		for _, h := range r.balancers {
			if err := h.stop(); err != nil {
				t.Error(err)
			}
		}
		news := 0
		for _, told := range r.fleet.SentLists() {
			if len(told.Phases) > 0 {
				news++
			}
		}
		passed := r.service.traffic()
		r.service.stop()
		r.fleet.Close()
		if want := balancers * (1 + changes); news != want {
			t.Errorf("%d balancers: %d lists with hosts, want a whole one and %d changes for each", balancers, news, changes)
		}
		whole, err := listAnswer(wholeList(TargetHosts))
		if err != nil {
			t.Fatal(err)
		}
		if most := int64(wholeMost * len(whole) * balancers); passed.Out > most {
			t.Errorf("%d balancers: %d bytes written, at most %d", balancers, passed.Out, most)
		}
		bytes = append(bytes, Point{float64(balancers), float64(passed.In + passed.Out)})
	}
	if growth := worstGrowth(bytes); growth > watchSlack {
		t.Errorf("bytes a balancer grow by %.2f from %v", growth, bytes)
	}
}

// TestControlArithmetic checks that a balancer's part does not depend on how many there are, but for gossip's time, and that
// the least that can be sent fits the limit.
func TestControlArithmetic(t *testing.T) {
	small, large := CompareControl(170), CompareControl(1700)
	for i, w := range large.Strategies {
		if w.BalancerBytes != small.Strategies[i].BalancerBytes {
			t.Errorf("%s: %v bytes a second with 1,700 balancers, %v with 170", w.Name, w.BalancerBytes, small.Strategies[i].BalancerBytes)
		}
	}
	if got := wireBytes(1449); got != 1449+3*segmentHead {
		t.Errorf("1,449 bytes are two segments and an acknowledgement: %v bytes", got)
	}
}
