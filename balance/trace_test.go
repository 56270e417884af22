package balance

import (
	"fmt"
	"math"
)

// scene plays a front by hand: it prints what the balancer asks for, in order, and tells it what happens.
type scene struct {
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
func rows() []*Category {
	return []*Category{
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Redeliverable},
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Deduplicated, DedupWindow: 300},
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: AtMostOnce},
		{Target: 100, Benefit: 1, LateBenefit: 0.5, Repeat: Deduplicated, DedupScope: DedupZone, DedupWindow: 300},
	}
}

func start() Config {
	return Config{Seed: 1, Categories: rows(), GroupSize: 1, Quantum: 1, MaxPushes: 3, AllowCancel: true, ConnIdleTimeout: 60000,
		ColdCapacity: 0.3, WarmupTime: 5000, OverloadMultiple: 3, OverloadTime: 1000, MaxBackoff: 50, ExcessBenefit: 0.1}
}

// open starts a balancer and lists hosts; a name that starts with o is the origin's.
func open(s Config, names ...string) *scene {
	x := boot(s)
	x.list(true, names...)
	return x
}

// boot starts a balancer that has no list yet.
func boot(s Config) *scene {
	x := &scene{ops: map[string]*Op{}, hosts: map[string]*Host{}, pushes: map[string]int{}}
	x.Balancer = New(s, x, 0)
	return x
}

// list tells of ready hosts; zone and cell are 0 for the first named, 1 for the next, and so on.
func (x *scene) list(whole bool, names ...string) {
	var entries []HostEntry
	for i, n := range names {
		if x.hosts[n] == nil {
			x.hosts[n] = &Host{Name: n, IsOrigin: n[0] == 'o'}
		}
		entries = append(entries, HostEntry{x.hosts[n], Listing{Zone: i, Cell: i, Size: 1}})
	}
	x.HostsListed(entries, whole, false)
}

// tell lists one host anew.
func (x *scene) tell(name string, status Status, upSince float64) {
	if x.hosts[name] == nil {
		x.hosts[name] = &Host{Name: name}
	}
	x.HostsListed([]HostEntry{{x.hosts[name], Listing{Size: 1, Status: status, UpSince: upSince}}}, false, false)
}

// after lets time pass, with the timer's calls.
func (x *scene) after(ms float64) {
	for end := x.t + ms; ; {
		next := math.Min(end, x.wake)
		x.t = next
		x.Advance(next)
		x.hear()
		if next == x.wake && next < end {
			x.TimerFired()
			x.hear()
			continue
		}
		return
	}
}

// hear tells of the pushes that have been called off.
func (x *scene) hear() {
	for _, p := range x.called {
		x.PushEnded(p, Cancelled, x.t-p.sentAt, p.Op.state == stateSettled, nil)
	}
	x.called = x.called[:0]
}

// ask lets an op of a row arrive for a key, with ttl ms left; its handle is its name.
func (x *scene) ask(name string, row int, key string, ttl float64, write bool) *Op {
	op := &Op{Ref: name, Category: x.Categories[row], Key: key, Deadline: x.t + ttl, IsWrite: write}
	x.ops[name] = op
	x.OpArrived(op)
	return op
}

// at is the first push of op that is out, or nil.
func at(op *Op) *Push {
	for _, p := range op.pushes {
		if !p.ended {
			return p
		}
	}
	return nil
}

// end reports the outcome of an op's push after ms.
func (x *scene) end(name string, o Outcome, spent float64) {
	if p := at(x.ops[name]); p != nil {
		x.over(p, o, spent)
	}
}

// over reports the outcome of a push after ms.
func (x *scene) over(p *Push, o Outcome, spent float64) {
	name, late := p.Op.Ref, p.Op.state == stateSettled
	x.PushEnded(p, o, spent, o == Served || late, nil)
	if o == Served && !late && !x.silent {
		fmt.Printf("%4.0f %s acked\n", x.t, name)
	}
}

func (x *scene) say(format string, a ...any) {
	if !x.silent {
		fmt.Printf("%4.0f "+format+"\n", append([]any{x.t}, a...)...)
	}
}

func (x *scene) Push(p *Push, _ float64) {
	x.pushes[p.Host.Name]++
	x.say("push %s to %s", p.Op.Ref, p.Host.Name)
}
func (x *scene) Cancel(p *Push) {
	x.called = append(x.called, p)
	x.say("cancel %s", p.Op.Ref)
}

func (x *scene) Nack(op *Op, wait float64) { x.say("nack %s", op.Ref) }
func (x *scene) DeadLetter(op *Op)         { x.say("dead-letter %s", op.Ref) }
func (x *scene) SetTimer(after float64)    { x.wake = x.t + after }
func (x *scene) SubscribeHostList()        { x.say("watch") }
func (x *scene) CloseIdleConns(h *Host)    { x.say("hang up %s", h.Name) }
