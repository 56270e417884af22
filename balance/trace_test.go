package balance

import (
	"fmt"
	"math"
)

// harness is a simulated frontend driven by a test: it prints the balancer's actions in order and reports
// events to it.
type harness struct {
	*Balancer
	clock     float64 // ms
	timerDue  float64 // ms
	silent    bool
	ops       map[string]*Op
	hosts     map[string]*Host
	pushes    map[string]int // sent so far, by host
	cancelled []*Push        // their outcome is still to be reported
}

// testCategories returns a redeliverable read, a deduplicated write, an at-most-once write, and a write that
// is deduplicated only within a zone.
func testCategories() []*Category {
	return []*Category{
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Redeliverable},
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Deduplicated, DedupWindow: 300},
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: AtMostOnce},
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Deduplicated, DedupScope: DedupZone, DedupWindow: 300},
	}
}

// testConfig returns the configuration that most tests start from.
func testConfig() Config {
	return Config{Seed: 1, Categories: testCategories(), GroupSize: 1, Quantum: 1, MaxPushes: 3,
		AllowCancel: true, ConnIdleTimeout: 60000, ColdCapacity: 0.3, WarmupTime: 5000, OverloadMultiple: 3,
		OverloadTime: 1000, MaxBackoff: 50, ExcessBenefit: 0.1}
}

// newHarness starts a balancer and lists ready hosts. A name that starts with o is that of the origin.
func newHarness(cfg Config, names ...string) *harness {
	sim := newUnlistedHarness(cfg)
	sim.listHosts(true, names...)
	return sim
}

// newUnlistedHarness starts a balancer that has no host list yet.
func newUnlistedHarness(cfg Config) *harness {
	sim := &harness{ops: map[string]*Op{}, hosts: map[string]*Host{}, pushes: map[string]int{}}
	sim.Balancer = New(cfg, sim, 0)
	return sim
}

// listHosts reports ready hosts. Zone and cell are 0 for the first name, 1 for the second, and so on.
func (sim *harness) listHosts(whole bool, names ...string) {
	var entries []HostEntry
	for i, n := range names {
		if sim.hosts[n] == nil {
			sim.hosts[n] = &Host{Name: n, IsOrigin: n[0] == 'o'}
		}
		entries = append(entries, HostEntry{sim.hosts[n], Listing{Zone: i, Cell: i, Size: 1}})
	}
	sim.HostsListed(entries, whole, false)
}

// updateHost reports a change of one host.
func (sim *harness) updateHost(name string, status Status, upSince float64) {
	if sim.hosts[name] == nil {
		sim.hosts[name] = &Host{Name: name}
	}
	sim.HostsListed([]HostEntry{{sim.hosts[name], Listing{Size: 1, Status: status, UpSince: upSince}}},
		false, false)
}

// advance lets ms pass, firing the timer whenever it is due.
func (sim *harness) advance(ms float64) {
	for end := sim.clock + ms; ; {
		next := math.Min(end, sim.timerDue)
		sim.clock = next
		sim.Advance(next)
		sim.confirmCancels()
		if next == sim.timerDue && next < end {
			sim.TimerFired()
			sim.confirmCancels()
			continue
		}
		return
	}
}

// confirmCancels reports the outcome of the cancelled pushes.
func (sim *harness) confirmCancels() {
	for _, p := range sim.cancelled {
		sim.PushEnded(p, Cancelled, sim.clock-p.sentAt, p.Op.state == stateSettled, nil)
	}
	sim.cancelled = sim.cancelled[:0]
}

// sendOp has an op of the category at index row arrive, with ttl ms until its deadline. Its Ref is its name.
func (sim *harness) sendOp(name string, row int, key string, ttl float64, write bool) *Op {
	op := &Op{Ref: name, Category: sim.Categories[row], Key: key, Deadline: sim.clock + ttl, IsWrite: write}
	sim.ops[name] = op
	sim.OpArrived(op)
	return op
}

// pendingPush returns the first push of op that is in flight, or nil.
func pendingPush(op *Op) *Push {
	for _, p := range op.pushes {
		if !p.ended {
			return p
		}
	}
	return nil
}

// finish reports the outcome of the op's first push in flight, which took spent ms. Without one it does
// nothing.
func (sim *harness) finish(name string, o Outcome, spent float64) {
	if p := pendingPush(sim.ops[name]); p != nil {
		sim.finishPush(p, o, spent)
	}
}

// finishPush reports the outcome of a push, which took spent ms.
func (sim *harness) finishPush(p *Push, o Outcome, spent float64) {
	name, late := p.Op.Ref, p.Op.state == stateSettled
	sim.PushEnded(p, o, spent, o == Served || late, nil)
	if o == Served && !late && !sim.silent {
		fmt.Printf("%4.0f %s acked\n", sim.clock, name)
	}
}

// logAction prints an action with the time, unless the harness is silent.
func (sim *harness) logAction(format string, a ...any) {
	if !sim.silent {
		fmt.Printf("%4.0f "+format+"\n", append([]any{sim.clock}, a...)...)
	}
}

// Push implements Frontend, as the methods below do.
func (sim *harness) Push(p *Push, _ float64) {
	sim.pushes[p.Host.Name]++
	sim.logAction("push %s to %s", p.Op.Ref, p.Host.Name)
}
func (sim *harness) Cancel(p *Push) {
	sim.cancelled = append(sim.cancelled, p)
	sim.logAction("cancel %s", p.Op.Ref)
}

func (sim *harness) Nack(op *Op, wait float64) { sim.logAction("nack %s", op.Ref) }
func (sim *harness) DeadLetter(op *Op)         { sim.logAction("dead-letter %s", op.Ref) }
func (sim *harness) SetTimer(after float64)    { sim.timerDue = sim.clock + after }
func (sim *harness) SubscribeHostList()        { sim.logAction("watch") }
func (sim *harness) CloseIdleConns(h *Host)    { sim.logAction("hang up %s", h.Name) }
