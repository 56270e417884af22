package balance

import (
	"fmt"
	"math"
)

// harness plays a front by hand: it prints what the balancer asks for, in order, and tells it what happens.
type harness struct {
	*Balancer
	t      float64
	wake   float64
	silent bool
	ops    map[string]*Op
	hosts  map[string]*Host
	pushes map[string]int // by host
	called []*Push        // called off
}

// rows: a redeliverable read, a deduplicated write, an at-most-once one, and one dropped by its zone alone.
func testCategories() []*Category {
	return []*Category{
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Redeliverable},
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Deduplicated, DedupWindow: 300},
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: AtMostOnce},
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Deduplicated, DedupScope: DedupZone, DedupWindow: 300},
	}
}

func testConfig() Config {
	return Config{Seed: 1, Categories: testCategories(), GroupSize: 1, Quantum: 1, MaxPushes: 3, AllowCancel: true, ConnIdleTimeout: 60000,
		ColdCapacity: 0.3, WarmupTime: 5000, OverloadMultiple: 3, OverloadTime: 1000, MaxBackoff: 50, ExcessBenefit: 0.1}
}

// newHarness starts a balancer and lists hosts; a name that starts with o is the origin's.
func newHarness(s Config, names ...string) *harness {
	x := newUnlistedHarness(s)
	x.listHosts(true, names...)
	return x
}

// newUnlistedHarness starts a balancer that has no list yet.
func newUnlistedHarness(s Config) *harness {
	x := &harness{ops: map[string]*Op{}, hosts: map[string]*Host{}, pushes: map[string]int{}}
	x.Balancer = New(s, x, 0)
	return x
}

// listHosts tells of ready hosts; zone and cell are 0 for the first named, 1 for the next, and so on.
func (x *harness) listHosts(whole bool, names ...string) {
	var entries []HostEntry
	for i, n := range names {
		if x.hosts[n] == nil {
			x.hosts[n] = &Host{Name: n, IsOrigin: n[0] == 'o'}
		}
		entries = append(entries, HostEntry{x.hosts[n], Listing{Zone: i, Cell: i, Size: 1}})
	}
	x.HostsListed(entries, whole, false)
}

// updateHost lists one host anew.
func (x *harness) updateHost(name string, status Status, upSince float64) {
	if x.hosts[name] == nil {
		x.hosts[name] = &Host{Name: name}
	}
	x.HostsListed([]HostEntry{{x.hosts[name], Listing{Size: 1, Status: status, UpSince: upSince}}}, false, false)
}

// advance lets time pass, with the timer's calls.
func (x *harness) advance(ms float64) {
	for end := x.t + ms; ; {
		next := math.Min(end, x.wake)
		x.t = next
		x.Advance(next)
		x.confirmCancels()
		if next == x.wake && next < end {
			x.TimerFired()
			x.confirmCancels()
			continue
		}
		return
	}
}

// confirmCancels tells of the pushes that have been called off.
func (x *harness) confirmCancels() {
	for _, p := range x.called {
		x.PushEnded(p, Cancelled, x.t-p.sentAt, p.Op.state == stateSettled, nil)
	}
	x.called = x.called[:0]
}

// sendOp lets an op of a row arrive for a key, with ttl ms left; its handle is its name.
func (x *harness) sendOp(name string, row int, key string, ttl float64, write bool) *Op {
	op := &Op{Ref: name, Category: x.Categories[row], Key: key, Deadline: x.t + ttl, IsWrite: write}
	x.ops[name] = op
	x.OpArrived(op)
	return op
}

// pendingPush is the first push of op that is out, or nil.
func pendingPush(op *Op) *Push {
	for _, p := range op.pushes {
		if !p.ended {
			return p
		}
	}
	return nil
}

// finish reports the outcome of an op's push after ms.
func (x *harness) finish(name string, o Outcome, spent float64) {
	if p := pendingPush(x.ops[name]); p != nil {
		x.finishPush(p, o, spent)
	}
}

// finishPush reports the outcome of a push after ms.
func (x *harness) finishPush(p *Push, o Outcome, spent float64) {
	name, late := p.Op.Ref, p.Op.state == stateSettled
	x.PushEnded(p, o, spent, o == Served || late, nil)
	if o == Served && !late && !x.silent {
		fmt.Printf("%4.0f %s acked\n", x.t, name)
	}
}

func (x *harness) logAction(format string, a ...any) {
	if !x.silent {
		fmt.Printf("%4.0f "+format+"\n", append([]any{x.t}, a...)...)
	}
}

func (x *harness) Push(p *Push, _ float64) {
	x.pushes[p.Host.Name]++
	x.logAction("push %s to %s", p.Op.Ref, p.Host.Name)
}
func (x *harness) Cancel(p *Push) {
	x.called = append(x.called, p)
	x.logAction("cancel %s", p.Op.Ref)
}

func (x *harness) Nack(op *Op, wait float64) { x.logAction("nack %s", op.Ref) }
func (x *harness) DeadLetter(op *Op)         { x.logAction("dead-letter %s", op.Ref) }
func (x *harness) SetTimer(after float64)    { x.wake = x.t + after }
func (x *harness) SubscribeHostList()        { x.logAction("watch") }
func (x *harness) CloseIdleConns(h *Host)    { x.logAction("hang up %s", h.Name) }
