package balance

import (
	"fmt"
)

// Under overload a tenant within its share is served before one that exceeds its share.
func Example_overloadPrefersTenantWithinShare() {
	cfg := testConfig()
	big, small := &Tenant{Quota: 20}, &Tenant{Quota: 20}
	cfg.Tenants = []*Tenant{big, small}
	sim := newHarness(cfg, "a")
	sim.silent = true
	served := map[*Tenant]int{}
	var pending []*Op
	for i := range 600 {
		sim.advance(5)
		t := big
		if i%10 == 0 {
			t = small
		}
		op := &Op{Category: sim.Categories[0], Tenant: t, Key: "page", Deadline: sim.clock + 500}
		sim.OpArrived(op)
		if pending = append(pending, op); i%3 != 0 {
			continue
		}
		for len(pending) > 0 && pending[0].inFlight == 0 {
			pending = pending[1:]
		}
		if len(pending) > 0 {
			sim.PushEnded(pendingPush(pending[0]), Served, sim.clock-pendingPush(pending[0]).sentAt, true, nil)
			served[pending[0].Tenant]++
		}
	}
	fmt.Println("big:", served[big], "of 540, small:", served[small], "of 60")
	// Output:
	// big: 149 of 540, small: 51 of 60
}

// A tenant's share is computed from the ops that this balancer gets acked. Measured against 1/100 of the
// quota, every tenant of a busy balancer would exceed its share; here only the one that sends three times as
// much does.
func Example_heavyTenantDetectedInLargeGroup() {
	cfg := testConfig()
	cfg.GroupSize = 100
	fair, heavy := &Tenant{Quota: 100}, &Tenant{Quota: 100}
	cfg.Tenants = []*Tenant{fair, heavy}
	sim := newHarness(cfg, "a", "b")
	sim.silent = true
	within := map[*Tenant]int{}
	ask := func(t *Tenant) {
		op := &Op{Category: sim.Categories[0], Tenant: t, Deadline: sim.clock + 500}
		if sim.OpArrived(op); op.priority >= 1/op.Category.avgLatency {
			within[t]++
		}
		if p := pendingPush(op); p != nil {
			sim.PushEnded(p, Served, 5, true, nil)
		}
	}
	for range 10 {
		sim.advance(3000)
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

// An op uses up its tenant's share only once it is acked. Of two tenants within their shares the one further
// behind comes first; otherwise a tenant that sends three times its share would displace the other.
func Example_tenantShareCountsAckedOps() {
	cfg := testConfig()
	greedy, modest := &Tenant{Quota: 50}, &Tenant{Quota: 50}
	cfg.Tenants = []*Tenant{greedy, modest}
	sim := newHarness(cfg, "a")
	arrive := func(t *Tenant, o Outcome) *Op {
		op := &Op{Category: sim.Categories[0], Tenant: t, Deadline: sim.clock + 500}
		sim.OpArrived(op)
		sim.PushEnded(pendingPush(op), o, 5, true, nil)
		return op
	}
	sim.silent = true
	within := 0
	for range 20 {
		if arrive(modest, TimedOut).withinQuota {
			within++
		}
	}
	fmt.Println("of 20 timed-out ops, within the share:", within)
	for range 5 {
		arrive(greedy, Served)
	}
	fmt.Println("modest first:", arrive(modest, Served).priority > arrive(greedy, Served).priority)
	// Output:
	// of 20 timed-out ops, within the share: 20
	// modest first: true
}
