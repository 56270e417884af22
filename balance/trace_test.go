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
		{Target: 100, Benefit: 1, Tardy: 0.5, Repeat: Redeliverable},
		{Target: 100, Benefit: 1, Tardy: 0.5, Repeat: Deduplicated, Window: 300},
		{Target: 100, Benefit: 1, Tardy: 0.5, Repeat: AtMostOnce},
		{Target: 100, Benefit: 1, Tardy: 0.5, Repeat: Deduplicated, Group: ZoneHosts, Window: 300},
	}
}

func start() Start {
	return Start{Seed: 1, Categories: rows(), Group: 1, Quantum: 1, MostPushes: 3, MayCancel: true, ConnIdle: 60000,
		ColdShare: 0.3, ColdFor: 5000, TipMultiple: 3, TipFor: 1000, MaxBackoff: 50, ExcessBenefit: 0.1}
}

// open starts a balancer and lists hosts; a name that starts with o is the origin's.
func open(s Start, names ...string) *scene {
	x := boot(s)
	x.list(true, names...)
	return x
}

// boot starts a balancer that has no list yet.
func boot(s Start) *scene {
	x := &scene{ops: map[string]*Op{}, hosts: map[string]*Host{}, pushes: map[string]int{}}
	x.Balancer = New(s, x, 0)
	return x
}

// list tells of ready hosts; zone and cell are 0 for the first named, 1 for the next, and so on.
func (x *scene) list(whole bool, names ...string) {
	var entries []Entry
	for i, n := range names {
		if x.hosts[n] == nil {
			x.hosts[n] = &Host{Name: n, Origin: n[0] == 'o'}
		}
		entries = append(entries, Entry{x.hosts[n], Listing{Zone: i, Cell: i, Size: 1}})
	}
	x.List(entries, whole, false)
}

// tell lists one host anew.
func (x *scene) tell(name string, status Status, upSince float64) {
	if x.hosts[name] == nil {
		x.hosts[name] = &Host{Name: name}
	}
	x.List([]Entry{{x.hosts[name], Listing{Size: 1, Status: status, UpSince: upSince}}}, false, false)
}

// after lets time pass, with the timer's calls.
func (x *scene) after(ms float64) {
	for end := x.t + ms; ; {
		next := math.Min(end, x.wake)
		x.t = next
		x.At(next)
		x.hear()
		if next == x.wake && next < end {
			x.Woke()
			x.hear()
			continue
		}
		return
	}
}

// hear tells of the pushes that have been called off.
func (x *scene) hear() {
	for _, p := range x.called {
		x.Ended(p, Cancelled, x.t-p.sent, p.Op.state == settled, nil)
	}
	x.called = x.called[:0]
}

// ask lets an op of a row arrive for a key, with ttl ms left; its handle is its name.
func (x *scene) ask(name string, row int, key string, ttl float64, write bool) *Op {
	op := &Op{Ref: name, Category: x.Categories[row], Key: key, Due: x.t + ttl, Write: write}
	x.ops[name] = op
	x.Arrive(op)
	return op
}

// at is the first push of op that is out, or nil.
func at(op *Op) *Push {
	for _, p := range op.tried {
		if !p.over {
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
	name, late := p.Op.Ref, p.Op.state == settled
	x.Ended(p, o, spent, o == Served || late, nil)
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
func (x *scene) Wake(after float64)        { x.wake = x.t + after }
func (x *scene) Watch()                    { x.say("watch") }
func (x *scene) HangUp(h *Host)            { x.say("hang up %s", h.Name) }
