package balance

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
)

// randomRun is a drawn day: ops, lists and troubles as its seed has them. Every action of the balancer goes into a digest, so that a
// change that is to move code alone can be seen to change no decision. A commit that changes one says which, and puts the new
// digests here.
type randomRun struct {
	*Balancer
	rng   *rand.Rand
	t     float64
	wake  float64
	hosts []*Host
	open  []*Op
	due   []scheduledEvent
	hash  io.Writer
	count map[string]int
}

// scheduledEvent is what is to happen at a time.
type scheduledEvent struct {
	at float64
	do func()
}

func (d *randomRun) record(form string, args ...any) {
	fmt.Fprintf(d.hash, "%.3f "+form+"\n", append([]any{d.t}, args...)...)
	d.count[form]++
}

func (d *randomRun) scheduleEvent(after float64, do func()) {
	d.due = append(d.due, scheduledEvent{d.t + after, do})
}

// Push implements Port, as do the methods below. What comes of a push is drawn as it is sent.
func (d *randomRun) Push(p *Push, limit float64) {
	d.record("push %v to %s, %.3f, %.3f", p.Op.Ref, p.Host.Name, limit, p.SendBy)
	x, spent := d.rng.Float64(), 2+d.rng.ExpFloat64()*15
	o := Served
	switch bad := p.Host.Size > 1.5; { // large hosts are the bad ones of the day
	case !p.Host.IsOrigin && !p.Op.IsWrite && d.CacheAside && x < 0.25:
		o = CacheMiss
	case bad && x < 0.5:
		o = []Outcome{Failed, Overloaded, ConnBroken, ConnectFailed, StaleConn, InvalidAnswer, ConnLimited}[d.rng.IntN(7)]
	case bad && x < 0.6:
		spent = math.Inf(1)
	case x > 0.97:
		o = []Outcome{Overloaded, Failed, ConnectFailed}[d.rng.IntN(3)]
	}
	if spent > limit {
		o, spent = TimedOut, limit
	}
	d.scheduleEvent(spent, func() {
		if p.ended || p.cancelled {
			return
		}
		if o == Served && d.rng.Float64() < 0.02 {
			d.StreamingStarted(p)
			d.scheduleEvent(20, func() { d.PushEnded(p, Served, spent, true, nil) })
			return
		}
		var r *LoadReport
		if d.AllowHedging {
			r = &LoadReport{Busy: d.rng.Float64()}
		}
		d.PushEnded(p, o, spent, o == Served || p.Op.state == stateSettled, r)
	})
}

func (d *randomRun) Cancel(p *Push) {
	d.record("cancel %v", p.Op.Ref)
	d.scheduleEvent(0, func() {
		if !p.ended {
			d.PushEnded(p, Cancelled, d.t-p.sentAt, p.Op.state == stateSettled, nil)
		}
	})
}
func (d *randomRun) Nack(op *Op, backoff float64) { d.record("nack %v, %.3f", op.Ref, backoff) }
func (d *randomRun) DeadLetter(op *Op)            { d.record("dead-letter %v", op.Ref) }
func (d *randomRun) SetTimer(after float64)       { d.wake = d.t + after }
func (d *randomRun) CloseIdleConns(h *Host)       { d.record("hang up %s", h.Name) }
func (d *randomRun) SubscribeHostList() {
	d.record("watch")
	d.scheduleEvent(d.rng.Float64()*300, func() {
		if d.rng.Float64() < 0.3 {
			d.HostListFailed()
			return
		}
		d.sendList(true)
	})
}

// sendList tells of all hosts, or of one that has changed.
func (d *randomRun) sendList(whole bool) {
	var entries []HostEntry
	for i, h := range d.hosts {
		l := Listing{Zone: i % 2, Cell: i % 3, Size: 1, UpSince: h.UpSince, Status: h.Status}
		if i%5 == 4 {
			l.Size = 2
		}
		if !whole {
			if d.rng.IntN(len(d.hosts)) != 0 || h.IsOrigin {
				continue
			}
			switch d.rng.IntN(4) {
			case 0:
				l.Status = Draining
			case 1:
				l.Status = Gone
			default:
				l.Status, l.UpSince = Ready, d.t
			}
		}
		entries = append(entries, HostEntry{h, l})
	}
	d.HostsListed(entries, whole, false)
}

// decisionDigest plays a day and tells what came of it.
func decisionDigest(s Config, seed uint64, change func(d *randomRun, ms int)) string {
	hash := fnv.New64a()
	d := &randomRun{rng: rand.New(rand.NewPCG(seed, 7)), hash: hash, count: map[string]int{}, wake: math.Inf(1)}
	for i := range 10 {
		d.hosts = append(d.hosts, &Host{Name: fmt.Sprint("host", i)})
	}
	if s.CacheAside {
		d.hosts = append(d.hosts, &Host{Name: "origin", IsOrigin: true})
	}
	s.Seed, s.ListOnRequest = seed, true
	d.Balancer = New(s, d, 0)
	for ms := range 12000 {
		d.t = float64(ms)
		d.Advance(d.t)
		for i := 0; i < len(d.due); {
			if x := d.due[i]; x.at <= d.t {
				d.due = append(d.due[:i], d.due[i+1:]...)
				x.do()
				continue
			}
			i++
		}
		if ms%400 == 399 {
			d.sendList(false)
		}
		if change != nil {
			change(d, ms)
		}
		for range poisson(d.rng, 0.5+0.4*math.Sin(d.t/2000)) {
			row := d.rng.IntN(len(s.Categories))
			op := &Op{Ref: len(d.open), Category: s.Categories[row], Key: fmt.Sprint("key", int(d.rng.ExpFloat64()*30)),
				Deadline: d.t + 100 + d.rng.Float64()*400, IsWrite: row > 0}
			if len(s.Tenants) > 0 {
				op.Tenant = s.Tenants[d.rng.IntN(len(s.Tenants))]
			}
			d.open = append(d.open, op)
			if room, _ := d.Admit(); room {
				d.OpArrived(op)
			}
			if d.rng.Float64() < 0.05 {
				d.scheduleEvent(d.rng.Float64()*100, func() {
					if op.state != stateSettled {
						d.ClientLeft(op)
					}
				})
			}
		}
		if d.t >= d.wake {
			d.TimerFired()
		}
	}
	n := 0
	for _, x := range d.count {
		n += x
	}
	return fmt.Sprintf("%016x of %d actions", hash.Sum64(), n)
}

func Example_decisionDigests() {
	aside := testConfig()
	aside.CacheAside = true
	fmt.Println("fetched beside:", decisionDigest(aside, 1, nil))

	twice := testConfig()
	twice.AllowHedging, twice.ZoneCount, twice.CrossZoneCost, twice.FetchCost, twice.BenefitPerWork = true, 2, 0.1, 0.05, true
	fmt.Println("second copies and zones:", decisionDigest(twice, 2, nil))

	shared := testConfig()
	shared.Tenants = []*Tenant{{Quota: 100}, {Quota: 20}, {Quota: 5}}
	shared.Categories[0].Ordered, shared.KeyQuietTime, shared.ReplySlots, shared.GroupSize = true, 50, 20, 30
	fmt.Println("tenants, order, many balancers:", decisionDigest(shared, 3, nil))

	stood := testConfig()
	stood.CacheAside, stood.AllowCancel, stood.DeadlineSkew, stood.UpSinceSkew = true, false, 30, 100
	fmt.Println("bans, stalls, an heir:", decisionDigest(stood, 4, func(d *randomRun, ms int) {
		switch ms {
		case 2000:
			d.SetBanned(d.hosts[3], true)
		case 4000:
			d.SetBanned(d.hosts[3], false)
			d.YieldColdHosts(true)
		case 5000:
			d.YieldColdHosts(false)
			for _, part := range d.Learned().Split(4) {
				d.Restore(part)
			}
		case 6000, 6100, 6200:
			d.ReportInputWait(400)
		case 7000:
			d.HostListMoved()
		case 11500:
			d.StopAdmitting()
		}
	}))
	// Output:
	// fetched beside: 2586aadf4cbbb484 of 6715 actions
	// second copies and zones: a7182d9658bb1383 of 6129 actions
	// tenants, order, many balancers: bc9248223b68c4d6 of 5999 actions
	// bans, stalls, an heir: 3e784a3ac52bd7e9 of 5231 actions
}
