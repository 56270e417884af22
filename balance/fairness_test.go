package balance

import (
	"fmt"
)

// Under overload a tenant beyond its share gives way to one within it.
func Example_overloadPrefersTenantWithinShare() {
	s := testConfig()
	big, small := &Tenant{Quota: 20}, &Tenant{Quota: 20}
	s.Tenants = []*Tenant{big, small}
	x := newHarness(s, "a")
	x.silent = true
	served := map[*Tenant]int{}
	var outs []*Op
	for i := range 600 {
		x.advance(5)
		t := big
		if i%10 == 0 {
			t = small
		}
		op := &Op{Category: x.Categories[0], Tenant: t, Key: "page", Deadline: x.t + 500}
		x.OpArrived(op)
		if outs = append(outs, op); i%3 != 0 {
			continue
		}
		for len(outs) > 0 && outs[0].inFlight == 0 {
			outs = outs[1:]
		}
		if len(outs) > 0 {
			x.PushEnded(pendingPush(outs[0]), Served, x.t-pendingPush(outs[0]).sentAt, true, nil)
			served[outs[0].Tenant]++
		}
	}
	fmt.Println("big:", served[big], "of 540, small:", served[small], "of 60")
	// Output:
	// big: 149 of 540, small: 51 of 60
}

// A tenant's share is reckoned from what this balancer gets acked: with a part of 1/100 of the quota one that carries far more
// than its fellows once took all tenants for greedy. One that sends three times what the other does is found out in time.
func Example_heavyTenantDetectedInLargeGroup() {
	s := testConfig()
	s.GroupSize = 100
	fair, heavy := &Tenant{Quota: 100}, &Tenant{Quota: 100}
	s.Tenants = []*Tenant{fair, heavy}
	x := newHarness(s, "a", "b")
	x.silent = true
	within := map[*Tenant]int{}
	ask := func(t *Tenant) {
		op := &Op{Category: x.Categories[0], Tenant: t, Deadline: x.t + 500}
		if x.OpArrived(op); op.priority >= 1/op.Category.avgLatency {
			within[t]++
		}
		if p := pendingPush(op); p != nil {
			x.PushEnded(p, Served, 5, true, nil)
		}
	}
	for range 10 {
		x.advance(3000)
		for range 3 {
			ask(fair)
		}
		for range 9 {
			ask(heavy)
		}
	}
	fmt.Println("fair:", within[fair], "of 30, heavy:", within[heavy], "of 90")
	// Output:
	// fair: 30 of 30, heavy: 66 of 90
}

// An op counts for its tenant's share once it is acked. Of two within theirs the tenant further behind comes first: one that
// sends three times its share would else have it all, for what is turned away of its ops others of them replace.
func Example_tenantShareCountsAckedOps() {
	s := testConfig()
	greedy, modest := &Tenant{Quota: 50}, &Tenant{Quota: 50}
	s.Tenants = []*Tenant{greedy, modest}
	x := newHarness(s, "a")
	arrive := func(t *Tenant, o Outcome) *Op {
		op := &Op{Category: x.Categories[0], Tenant: t, Deadline: x.t + 500}
		x.OpArrived(op)
		x.PushEnded(pendingPush(op), o, 5, true, nil)
		return op
	}
	x.silent = true
	within := 0
	for range 20 {
		if arrive(modest, TimedOut).withinQuota {
			within++
		}
	}
	fmt.Println("of 20 that came to nothing, within the share:", within)
	for range 5 {
		arrive(greedy, Served)
	}
	fmt.Println("modest first:", arrive(modest, Served).priority > arrive(greedy, Served).priority)
	// Output:
	// of 20 that came to nothing, within the share: 20
	// modest first: true
}
