// Package balance holds every decision of the balancer: which host an op goes to, when it is pushed
// again, held, nacked or dead-lettered, and how hosts are judged. The interface to a front, and the
// types that pass through it, are defined in port.go.
//
// A front makes one Balancer an instance with New. It calls At with the time before each round of
// input, then a method for each thing that happened: List, ListFailed, Arrive, Streaming, Ended, Left
// and Woke. The Balancer answers by calling the Port, from within those calls only.
package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	pointsPerHost = 100   // places on the cycle of a host of usual size; evens shares out to about a tenth
	overMean      = 1.5   // 1+ε, the talk's example factor
	floorCount    = 2     // pushes; below this a host is never full
	sweepEvery    = 100.0 // ms between two looks at all hosts: little beside warming, rests and idle times
	tick          = 10.0  // ms, the timer's period while ops are held, and part of each margin

	latStep  = 0.05 // weight of a new latency in a category's average, or of an end in a strand's: about 20 ops
	hostStep = 0.2  // weight of a new outcome in a host's or their gate's averages: about 5 ops

	crowdGroup  = 3.0    // balancers at which twice the usual latency counts twice; more see less each
	refusedSlow = 4.0    // what a push turned away counts as, in usual latencies: a full host is a crowded one
	crowdPart   = 2.0    // to one, how a slow host's excess becomes the part of its keys that it loses
	busyAll     = 0.85   // part of their cores' time that all hosts say is taken where there is no room
	refusedFrom = 0.25   // part turned away of pushes that walked on where ops make way; at twice that all
	crowdSlack  = 0.25   // usual latencies above those of all hosts that chance explains
	failFrom    = 0.25   // smoothed failures above which a host is suspect: one fresh failure does it
	failStep    = 0.3    // weight of a fresh failure, just over failFrom
	restFirst   = 250.0  // ms off the walk after a first failure, about what a short stall lasts
	restLongest = 4000.0 // ms; a healed host is tried again no later than this
	restCost    = 20.0   // times what a failed connect took that a host rests at most
	tryShare    = 0.01   // ops, for each that comes, that may find a suspect host still bad: many others try it
	mostAtOnce  = 3.0    // of these that may do so together; of second copies, too
	restShare   = 0.8    // part of the hosts that may rest at once; beyond it the evidence is in doubt

	carefulFor = 60000.0 // ms after a host in use went down without a floor to the bound: a wave of restarts
	fellLately = 15000.0 // ms since its last answer in which a host counts as in use: lists are so late

	secondLook    = 1.0 // first waits more after which a push that was left is called off all the same
	farSlack      = 0.1 // by how much more the own zone's hosts have to be busy for keys to leave it
	busyNearLeast = 0.6 // and so busy at the least: below, they have room

	poolStep = 0.1  // part of the keys that a late fetch puts there, or a full table takes off
	poolFall = 0.01 // part of these that an answer takes back

	copyDevs  = 3.0 // mean deviations above the usual latency at which a second copy is sent
	copyLook  = 0.5 // first waits more after which it is where the host answers others: the op may be heavy
	copyShare = 0.1 // second copies an op: more would be much of a slow fleet's load

	strandOff  = 0.4 // by how much more of its ops than of all has to come to nothing for it to be held apart
	strandPart = 0.1 // part of what the hosts' gate lets out, or of reply slots, that it may have then

	agreeMost = 0.8 // smoothed part of errors that a second host repeats above which one host's word is enough
	agreeTry  = 0.1 // part of ops that are put to a second host all the same, so that it is seen when that ends

	cells      = 1024   // of counts of ops by key: few of an instance's keys share one
	spreadBusy = 0.9    // part of its cores' time that a busy key's host may have taken, where hosts tell
	heatHalf   = 5000.0 // ms between two halvings of these counts: a busy key lasts for some seconds

	patienceDevs  = 5.0  // mean deviations above the usual latency at which a push is looked at
	hushPart      = 0.1  // of its target for which a push is left where all hosts are as silent
	patienceLeast = 0.02 // of its target: a call-off costs a connection, and gains nothing where there is time

	ownGoal  = 0.2        // of the shortest target for which input may wait: answers may have to wait as long
	ownLeast = 1.0 / 16   // part of that below which one wait is like another
	ownStep  = 2.0        // factor, the most by which the part of ops taken changes at once
	ownFloor = 1.0 / 1024 // least part of the ops that are taken

	gateGoal     = 0.5     // smoothed latency over target above which a gate narrows: most answers just in time
	originGoal   = 0.3     // the same for the origin, whose latency comes on top of a miss
	gateCut      = 0.85    // factor of one narrowing
	originStep   = 0.1     // weight of a new latency of the origin, or of a report in its zone's: 10 answers
	fewStep      = 0.5     // the same at a gate that turns ops away by chance: two answers tell
	fullCut      = 0.5     // factor of one narrowing while the origin answers nobody for a target
	fullPain     = 2.0     // targets that a fetch counts as having waited then: it is told by few outcomes
	gatePause    = 100.0   // ms between two narrowings, so that the first can show
	chancePain   = 0.5     // smoothed latency over target above which a gate turns ops away by chance
	chanceSpan   = 14000.0 // ms in which it lets out all again by itself
	fleetFloor   = 2.0     // pushes a host, of all balancers, that the hosts' gate lets out at least
	fleetStart   = 16.0    // pushes a host, of all balancers, that the hosts' gate starts with
	originStart  = 1.5     // fetches a host, of all balancers, that the origin's gate starts with
	originOwn    = 4.0     // fetches that the origin's gate starts with at the least: own ops tell of no other's
	originSilent = 200.0   // ms, a fetch's time, without an outcome: the origin's gate opens by itself
	originFloor  = 2.0     // fetches, of all balancers, that it lets out at least

	coldSafety = 0.5    // part of the tipping load that all may send a cold host in a span; two can touch
	rateSpan   = 2000.0 // ms over which the usual rate of pushes is averaged

	keepCut  = 0.8 // factor of the time idle connections are kept, when one cannot be made
	keepGrow = 1.2 // the same when one is made: four in ten may fail, for a handshake costs more

	shutFirst   = 1000.0 // ms in which no new connection is tried to a host whose table of them was full
	shutLongest = 8000.0 // ms, the longest such wait: places come free as others hang up

	askFirst  = 500.0  // ms until a failed list call is repeated, spread by as much again; then twice that
	askAnswer = 3000.0 // ms after which an unanswered call counts as failed: it takes its turn, a second or so
	askSpan   = 4500.0 // ms from a failed call to the next: changes count as told after 6 s, 1.5 for an answer

	settleTicks = 2.0 // quanta before its TTL at which an op is settled, beside one tick
	shareLeast  = 8.0 // ops that a tenant may be ahead of its part of those acked: chance sends some together
)

// Balancer decides for one instance.
type Balancer struct {
	Start
	port Port
	now  float64
	rng  pcg

	hosts                   []*Host // listed cache hosts, by name
	ready                   []*Host // those that may be pushed to
	cycle                   cycle
	coldUntil               float64 // ms, when the last of them is warm
	unit, sizes             float64 // size that gets pointsPerHost places, and the sum of the ready hosts'
	origins                 []*Host
	walks, served           int            // made so far, and ops acked
	busy, busyNear, busyFar float64        // smoothed part of their cores' time that hosts say is taken
	refused                 float64        // smoothed part turned away of the pushes of ops that walked on
	heat                    [cells]float64 // recent ops by key, halved now and then
	heatAll, cooled         float64        // their sum, and ms, when they were halved
	copies                  float64        // second copies that may be sent
	tries                   float64        // ops that may be sent to suspect hosts while others have room
	pool                    float64        // part of the keys that keep to no zone
	pooled                  bool           // crossing costs no more than a fetch: best all of them
	answered, careful       float64        // ms, time of the last answer; until when the bound has no floor
	fails                   []float64      // of all ready hosts at the last look, in order
	failing, agree          float64        // smoothed failures of the middle host; errors that a second repeats
	resting, counted        int            // ready hosts that rest; answers of warm ones since the last look
	rate                    float64        // pushes a ms for each unit of warm size
	wakeAt, ticked          float64        // ms, when the timer calls next, and when hosts were looked at
	fetches                 map[string]*fetch
	turns                   map[string]*turn // by key, of ordered ops
	strands                 [cells]strand    // by key
	all                     strand           // of all ops
	fleet, origin           gate
	part, behind            float64 // of new ops that there is room for; how long input waits, of round
	round, steered          float64 // ms, how long it may wait, and when that was last looked at
	yielded                 bool    // cold hosts are another process's
	ends, looks             dues    // at ops, and at pushes
	usual                   float64 // smoothed over all hosts, what slow is smoothed of for each
	making                  latency // that a connection that has to be made adds
	keep                    float64 // ms for which an idle connection is kept
	asking                  bool    // a call for the list is out
	askAt, askWait          float64 // ms, when it was made or the next is due, and what a failure puts that off
}

// New makes the balancer of one instance at time now.
func New(s Start, port Port, now float64) *Balancer {
	b := &Balancer{Start: s, port: port, now: now, rng: pcg(s.Seed), ticked: now,
		fetches: map[string]*fetch{}, turns: map[string]*turn{}, askWait: askFirst, usual: 1, keep: s.ConnIdle,
		busyFar: 1, copies: mostAtOnce, tries: mostAtOnce, wakeAt: math.Inf(1), round: math.Inf(1), part: 1}
	if b.pooled = b.CrossCost*(1-1/float64(max(b.Zones, 1))) <= b.FetchCost; b.pooled {
		b.pool = 1
	}
	b.rng.float() // seeds that lie close give numbers that lie close at first
	b.fleet = gate{goal: gateGoal, step: hostStep, limit: math.Inf(1)}
	b.origin = gate{goal: originGoal, step: originStep, pain: originGoal / 2,
		floor: originFloor / float64(s.Group), limit: math.Inf(1)}
	for _, c := range s.Categories {
		c.lat, c.dev = c.Target/4, c.Target/8
		b.round = math.Max(math.Min(b.round, c.Target*ownGoal), 2*b.Quantum)
		b.origin.lat, b.origin.dev = max(b.origin.lat, c.lat), max(b.origin.dev, c.dev)
		b.fleet.lat = b.origin.lat
	}
	quotas := 0.0
	for _, t := range s.Tenants {
		quotas += t.Quota
	}
	for _, t := range s.Tenants {
		t.tokens, t.part = shareLeast, t.Quota/math.Max(quotas, 1)
	}
	if s.OnRequest {
		b.ask()
	}
	b.arm(now + tick)
	return b
}

// At takes the time and does what has fallen due.
func (b *Balancer) At(now float64) {
	b.now = now
	for d, ok := b.ends.Due(now); ok; d, ok = b.ends.Due(now) {
		switch op := d.op; {
		case op == nil: // a key has rested
			b.begin(d.turn)
		case op.fetch != nil && op.out > 0 && b.now < b.end(op):
			b.look(&b.ends, d, b.end(op)) // late for this op, but what it fetches is kept for others
		default:
			b.giveUp(op)
		}
	}
}

// Behind takes word that what is read in this round may have waited for so many ms. Past what one core can do
// that grows for ever. Then a part of the ops is taken, so that they wait no longer than leaves time to serve
// them. Whatever slows the process is met alike. After a long stall some ops are turned away needlessly.
func (b *Balancer) Behind(late float64) {
	if b.now < b.steered+b.round/2 {
		return
	}
	last, now := b.behind, math.Max(late/b.round, ownLeast)
	b.behind, b.steered = now, b.now
	if now > 1 || b.part < 1 { // by how the wait changes, and by how long it is
		change := math.Sqrt(last / now / math.Sqrt(now))
		b.part = clamp(b.part*clamp(change, 1/ownStep, ownStep), ownFloor, 1)
	}
}

// Room tells whether the own process has room for one more op, by chance; else it is nacked, if need be
// unread, for reading takes the core from those that are taken, and may come back after backoff ms.
func (b *Balancer) Room() (room bool, backoff float64) {
	if b.part == 1 || b.rng.float() < b.part {
		return true, 0
	}
	return false, b.backoff(b.round / ownGoal)
}

// Close takes word that the process ends before another op could be settled. Those that come are nacked.
func (b *Balancer) Close() { b.part, b.steered = 0, math.Inf(1) }

// look has d looked at then.
func (b *Balancer) look(all *dues, d *due, at float64) {
	all.Set(d, at)
	b.arm(at)
}

// Woke is the timer's call: all periodic work.
func (b *Balancer) Woke() {
	if b.now < b.wakeAt-tick/10 { // an earlier call has taken this one's place
		return
	}
	// Only now has all been heard that has come: the answer to a push may stand among what a round has read.
	for d, ok := b.looks.Due(b.now); ok; d, ok = b.looks.Due(b.now) {
		switch p := d.push; {
		case p.waited > 0:
			if p.made {
				p.waited += b.making.lat + patienceDevs*b.making.dev
			}
			b.look(&b.looks, d, d.At()+p.waited)
			p.waited = 0
		case p.Op.state < streaming:
			b.impatient(p)
		}
	}
	if b.now-b.ticked >= sweepEvery {
		b.sweep(b.now - b.ticked)
	}
	switch {
	case b.asking && b.now-b.askAt > askAnswer:
		b.ListFailed()
	case b.OnRequest && !b.asking && b.now >= b.askAt:
		b.ask()
	}
	for _, g := range []*gate{&b.fleet, &b.origin} {
		for _, op := range slices.Clone(g.line) { // those that can no longer be answered in time are given up
			if op.state == held && b.now+op.Category.lat+op.Category.dev > op.arrived+op.Category.Target {
				b.drop(op)
			}
		}
		b.pump(g)
	}
	next := min(b.ticked+sweepEvery, b.ends.Next(), b.looks.Next())
	if len(b.fleet.line)+len(b.origin.line) > 0 {
		next = math.Min(next, b.now+tick)
	}
	b.wakeAt = math.Inf(1)
	b.arm(math.Max(next, b.now+tick/10))
}

// arm has the timer call at a time, if it would not before.
func (b *Balancer) arm(at float64) {
	if at < b.wakeAt {
		b.wakeAt = at
		b.port.Wake(math.Max(at-b.now, 0))
	}
}

// sweep looks at all hosts. A thousand balancers that did so at each tick took more CPU than their ops.
func (b *Balancer) sweep(span float64) {
	b.ticked = b.now
	warm := b.sizes
	if b.now < b.coldUntil+sweepEvery {
		for _, h := range b.ready {
			if b.warmth(h) < 1 {
				warm -= h.Size
			}
			b.join(h)
		}
	}
	if warm > 0 {
		b.rate += (float64(b.counted)/span/warm - b.rate) * math.Min(1, span/rateSpan)
	}
	b.counted = 0
	if b.now-b.cooled > heatHalf {
		b.cooled = b.now
		b.heatAll /= 2
		for i := range b.heat {
			b.heat[i] /= 2
		}
		maps.DeleteFunc(b.turns, func(_ string, t *turn) bool { return len(t.line) == 0 && b.now >= t.quiet })
	}
	b.countResting()
	if len(b.ready) > 0 {
		b.fails = b.fails[:0]
		for _, h := range b.ready {
			b.fails = append(b.fails, h.fail)
		}
		slices.Sort(b.fails)
		b.failing = b.fails[(len(b.fails)-1)/2]
	}
	b.hangUp()
	if b.origin.limit < 1 && b.now-b.origin.told > originSilent { // no fetch tells that it is well again
		b.origin.limit += span / chanceSpan
	}
}

// hangUp closes idle connections. A host takes so many and no more: where there are more balancers than
// that, those that each keeps for its next op shut out the others.
func (b *Balancer) hangUp() {
	for _, h := range b.ready {
		if h.open && h.out == 0 && b.now-h.pushed > b.keep {
			h.open = false
			b.port.HangUp(h)
		}
	}
}

// ask subscribes to the list.
func (b *Balancer) ask() {
	b.asking, b.askAt = true, b.now
	b.port.Watch()
}

// ListFailed takes word that a call for the list failed or the watch broke. The next waits a spread time,
// so not all ask together, but is soon after the call: discovery may have been back from just after it on.
func (b *Balancer) ListFailed() {
	left := askSpan
	if b.asking {
		left -= b.now - b.askAt
	}
	b.asking, b.askAt = false, b.now+math.Min(b.askWait, left/2)*(1+b.rng.float())
	b.askWait = math.Min(b.askWait*2, askFirst*2)
}

// ListMoved takes word that the list is told elsewhere now, or the watch silent. It is asked for at once.
func (b *Balancer) ListMoved() {
	if b.OnRequest {
		b.askWait = askFirst
		b.ask()
	}
}

// List takes news of hosts: the whole list, or changes to it. A saved list answers no call.
func (b *Balancer) List(entries []Entry, whole, saved bool) {
	if !saved {
		b.asking, b.askAt, b.askWait = false, math.Inf(1), askFirst
	}
	if whole {
		for _, h := range slices.Concat(b.hosts, b.origins) {
			h.Status = Gone
		}
	}
	for _, e := range entries {
		h, set := e.Host, &b.hosts
		if h.Origin {
			set = &b.origins
		}
		// A new process: what was learned of the old one is void. Stamps that are off may go back.
		if e.UpSince > h.UpSince || b.StampDoubt > 0 && e.UpSince != h.UpSince {
			b.fell(h)
			h.open, h.fresh, h.budget, h.budgeted = false, false, 0, 0
			h.forgive()
		}
		h.Listing = e.Listing
		if !slices.Contains(*set, h) {
			*set = append(*set, h)
		}
	}
	b.layOut()
}

// Ban takes a cache host out of use by hand, or puts it back, whatever lists say. What was learned of it is
// void, for it is restarted meanwhile; its budget is not, or a moment's ban would fill it again.
func (b *Balancer) Ban(h *Host, on bool) {
	h.Banned = on
	h.forgive()
	b.layOut()
}

// fell takes word that a host has gone down. In use, it may be for what all balancers had out there.
func (b *Balancer) fell(h *Host) {
	if !h.Origin && h.answered > 0 && b.now-h.answered < fellLately {
		b.careful = b.now + carefulFor
	}
}

// layOut puts the ready hosts on the cycle, at places that depend on a host's name and size alone.
func (b *Balancer) layOut() {
	gone := func(h *Host) bool { return h.Status == Gone }
	all := slices.Clone(b.hosts)
	b.hosts = slices.DeleteFunc(b.hosts, gone)
	b.origins = slices.DeleteFunc(b.origins, gone)
	slices.SortFunc(b.hosts, func(x, y *Host) int { return cmp.Compare(x.Name, y.Name) })
	b.ready, b.sizes = b.ready[:0], 0
	for _, h := range b.hosts {
		if h.Usable() {
			b.ready = append(b.ready, h)
			b.sizes += h.Size
		}
	}
	if b.unit == 0 && len(b.ready) > 0 {
		// Sizes have no unit. A power of two near their mean is the same at balancers whose lists differ.
		b.unit = math.Exp2(math.Round(math.Log2(b.sizes / float64(len(b.ready)))))
	}
	b.cycle.lay(all, func(h *Host) int {
		if !h.Usable() {
			return 0
		}
		return max(1, int(math.Round(pointsPerHost*math.Sqrt(h.Size/b.unit))))
	})
	for _, h := range b.ready {
		b.coldUntil = math.Max(b.coldUntil, h.UpSince+b.ColdFor+b.StampDoubt)
		b.join(h)
		h.slow = math.Max(h.slow, 1)
	}
	if len(b.ready) == 0 {
		return
	}
	share := float64(len(b.ready)) / float64(b.Group)
	b.fleet.floor = fleetFloor * share
	if math.IsInf(b.fleet.limit, 1) { // the first list
		// No host can be sure to hold a connection for each: found out by making them, where that costs little.
		if b.Group > len(b.ready) && b.CrossCost >= b.FetchCost {
			b.pool = 0
		}
		b.origin.limit = math.Max(originStart*share, originOwn)
		b.fleet.limit = math.Max(1, fleetStart*share)
	}
	b.fleet.limit = math.Max(b.fleet.limit, b.fleet.floor)
	b.countResting()
	b.pump(&b.fleet)
}

// join lets a host stand on the cycle with as many of its points as it is warm.
func (b *Balancer) join(h *Host) { h.active = int(math.Ceil(float64(len(h.points)) * b.warmth(h))) }

// warmth is the share of its capacity that a host surely has by now.
func (b *Balancer) warmth(h *Host) float64 {
	age := b.now - h.UpSince - b.StampDoubt
	if h.UpSince <= 0 || age >= b.ColdFor {
		return 1
	}
	return b.ColdShare + (1-b.ColdShare)*math.Max(age, 0)/b.ColdFor
}

// afford tells whether a cold host may be pushed to: its budget for a span of TipFor, judged from what warm
// hosts of its size get from this balancer, so that the parts of all balancers add up. Less than one push is
// granted by chance: were each of some hundred balancers to send one at once, the host would be pushed over.
func (b *Balancer) afford(h *Host) bool {
	share := b.warmth(h)
	if share >= 1 || b.yielded {
		return share >= 1
	}
	if b.now-h.budgeted >= b.TipFor {
		// With no warm host to go by, as after all restarted at once, a host takes at least one op after
		// another: without this floor a fleet that is cold as a whole would be sent nothing for ever.
		slowest := slices.MaxFunc(b.Categories, func(x, y *Category) int { return cmp.Compare(x.lat, y.lat) })
		pace := math.Max(b.rate*h.Size, 1/(math.Max(slowest.lat, tick)*float64(b.Group)))
		h.budgeted = b.now
		h.budget = math.Floor(pace*b.TipMultiple*share*coldSafety*b.TipFor + b.rng.float())
	}
	return h.budget >= 1
}

func (b *Balancer) countResting() {
	b.resting = 0
	for _, h := range b.ready {
		if b.now < h.restUntil {
			b.resting++
		}
	}
}

// suspect tells whether a host fails clearly more than half of all do. Where most lose a part of their
// answers those have to serve on: the few that lose none could not take it all.
func (b *Balancer) suspect(h *Host) bool { return h.fail > failFrom+b.failing }

// full tells whether a host has no room by the bounded-load rule: its count against its bound. Trouble
// changes them: a resting host is full, a suspect one with anything out, a slow one early if many see it.
func (b *Balancer) full(op *Op, h *Host, mean float64) bool {
	count, bound := float64(h.out), math.Ceil(overMean*mean)
	if b.now >= b.careful {
		bound = math.Max(bound, floorCount)
	}
	if float64(b.resting) <= restShare*float64(len(b.ready)) {
		switch {
		case b.now < h.restUntil:
			return true
		case b.suspect(h):
			bound = 1
		case b.MayDuplicate:
			excess := (h.slow - b.usual - crowdSlack) * crowdPart
			if excess > 0 && part(op.hash^h.points[0]) < excess/(1+excess) {
				return true
			}
		case h.slow > 1:
			// Others' ops show in a host's latency alone. With a dozen balancers the floor of two each would
			// let two dozen ops crowd a host before any of them saw it full.
			count *= 1 + (h.slow-1)*float64(b.Group)/crowdGroup
			// With a hundred, one each is too many: a push counts on for a while after it has ended.
			more := math.Max(0, float64(b.Group)/crowdGroup-1)
			if b.now < h.pushed+(h.slow-b.usual-crowdSlack)*more*b.fleet.lat {
				return true
			}
		}
	}
	return count >= bound
}

// walk goes clockwise from the op's place to the first host that is not full.
func (b *Balancer) walk(op *Op) *Host {
	if len(b.cycle.points) == 0 {
		return nil
	}
	mean := float64(b.fleet.out+1) / float64(len(b.ready))
	from := b.cycle.from(op.hash)
	b.walks++
	near, pass := b.near(op), 0
	if spread := b.spread(op); spread > 1 {
		pass = int(b.rng.float() * spread)
	}
	var spill, doubt *Host
	left := len(b.ready) // each host is judged once: where most are full its other points cost too much
	for i := 0; i < len(b.cycle.points) && left > 0; i++ {
		p := b.cycle.points[(from+i)%len(b.cycle.points)]
		h := b.cycle.slots[p.slot]
		if h.walked == b.walks || int(p.nth) >= h.active {
			continue
		}
		h.walked = b.walks
		left--
		if h != op.failed && allowed(op, h) && !b.full(op, h, mean) && b.afford(h) {
			switch {
			case b.shut(h) || h.rest >= restFirst && b.tries < 1: // where all are, the one that has waited longest
				if doubt == nil || h.shutUntil < doubt.shutUntil {
					doubt = h
				}
			case near && (h.Zone == b.Zone) != (op.failed == nil):
				spill = cmp.Or(spill, h)
			case pass <= 0:
				return h
			default:
				spill = cmp.Or(spill, h)
				pass--
			}
		}
	}
	return cmp.Or(spill, doubt)
}

// spread is over how many hosts a key's ops have to go so that none gets more than the bound allows of what
// this balancer sends. With more hosts than ops out the bound never binds, and a busy key would be one host's
// at all balancers. It counts recent ops, less the one that chance alone would bring.
func (b *Balancer) spread(op *Op) float64 {
	if !b.MayDuplicate {
		return 0
	}
	bound := overMean
	if b.busy > 0 { // hosts tell how much more they can take
		bound = math.Max(bound, spreadBusy/b.busy)
	}
	return (b.heat[op.hash%cells] - 1) / b.heatAll * float64(len(b.ready)) / bound
}

// near tells whether op keeps to its balancer's zone while a host there has room. From one that failed it, it
// goes to another zone's first host: there that zone's balancers keep the key.
func (b *Balancer) near(op *Op) bool { return b.Zone >= 0 && b.Zones > 1 && part(op.hash) >= b.pool }

// shut tells whether a host's table of connections was full lately, and none to it is free.
func (b *Balancer) shut(h *Host) bool { return b.now < h.shutUntil && (!h.open || h.out > 0) }

// mayHaveRun is the first push of op that has run, may have, or may yet; nil where all provably never ran.
func (op *Op) mayHaveRun() *Push {
	if i := slices.IndexFunc(op.tried, func(p *Push) bool { return !p.never }); i >= 0 {
		return op.tried[i]
	}
	return nil
}

// allowed tells whether a push of op to h keeps the promise on repeats.
func allowed(op *Op, h *Host) bool {
	first := op.mayHaveRun()
	if first == nil || op.Category.Repeat == Redeliverable {
		return true
	}
	group := op.Category.Group
	return (group != ZoneHosts || h.Zone == first.Host.Zone) && (group != CellHosts || h.Cell == first.Host.Cell)
}

// repeatable tells whether op may run once more, a margin of time from now.
func (b *Balancer) repeatable(op *Op, margin float64) bool {
	first, c := op.mayHaveRun(), op.Category
	return first == nil || c.Repeat == Redeliverable ||
		c.Repeat == Deduplicated && b.now < first.sent+c.Window-margin
}

// mayPush tells whether any further push of op is allowed now, a second copy where one is out.
func (b *Balancer) mayPush(op *Op) bool {
	return op.out < 2 && (op.out == 0 || b.MayDuplicate) && len(op.tried) < b.MostPushes &&
		b.repeatable(op, b.margin())
}

// mayNack tells whether the client may be told that a repeat is safe.
func (b *Balancer) mayNack(op *Op) bool {
	c := op.Category
	return b.repeatable(op, 0) && (c.Repeat != Deduplicated || c.Group == AllHosts || op.mayHaveRun() == nil)
}

// Arrive takes a new op.
func (b *Balancer) Arrive(op *Op) {
	op.arrived, op.hash = b.now, xxhash.Sum64String(op.Key)
	op.value = op.Category.Benefit
	if !b.ByWork {
		op.value /= op.Category.lat
	}
	if t := op.Tenant; t != nil {
		t.tokens = math.Min(t.tokens+t.part*float64(b.served-t.filled), shareLeast)
		t.filled = b.served
		if op.paid = t.tokens >= 1; op.paid { // it counts once acked; whoever is furthest behind comes first
			op.value *= t.tokens
			t.tokens--
		} else {
			op.value *= b.ExcessBenefit
		}
	}
	b.heat[op.hash%cells]++
	b.heatAll++
	b.copies = math.Min(b.copies+copyShare, mostAtOnce)
	b.tries = math.Min(b.tries+tryShare, mostAtOnce)
	if b.LeftOff > 0 { // the clocks may differ: a try has its target latency at the least
		op.Due = math.Max(op.Due, math.Min(op.Due+b.LeftOff, b.now+op.Category.Target+b.margin()))
	}
	op.strands[0] = &b.strands[op.hash%cells]
	if op.Tenant != nil {
		op.strands[1] = &op.Tenant.strand
	}
	op.until = b.end(op)
	if op.until <= b.now { // a last try with next to no time left could be lost between two looks
		b.giveUp(op)
		return
	}
	if op.Category.Tardy == 0 { // a late answer is worth nothing and costs others theirs
		op.until = math.Min(op.until, b.now+op.Category.Target)
	}
	op.ends.op, op.tried = op, op.first[:0]
	b.look(&b.ends, &op.ends, op.until)
	if !op.Category.Ordered || op.Key == "" {
		b.route(op)
		return
	}
	if op.turn = b.turns[op.Key]; op.turn == nil {
		op.turn = &turn{}
		op.turn.rest.turn = op.turn
		b.turns[op.Key] = op.turn
	}
	if op.turn.line = append(op.turn.line, op); len(op.turn.line) == 1 { // else an earlier one sees to it
		b.begin(op.turn)
	}
}

// begin sends the first of a key's ordered ops on its way, once all before it are over and the key rested.
func (b *Balancer) begin(t *turn) {
	switch {
	case len(t.line) == 0 || t.line[0].state != fresh:
	case b.now < t.quiet:
		b.look(&b.ends, &t.rest, t.quiet)
	default:
		b.route(t.line[0])
	}
}

// pass takes an op of which nothing more can come out of its key's line, and lets the next have its turn.
func (b *Balancer) pass(op *Op) {
	t := op.turn
	if t == nil || !op.Over() {
		return
	}
	op.turn = nil
	t.line = slices.DeleteFunc(t.line, func(x *Op) bool { return x == op })
	if len(t.line) == 0 && b.now >= t.quiet {
		delete(b.turns, op.Key)
	}
	b.begin(t)
}

// end is when an op has to be settled, early enough for the next look to come before its TTL.
func (b *Balancer) end(op *Op) float64 { return op.Due - b.margin() }

func (b *Balancer) margin() float64 { return tick + settleTicks*b.Quantum }

// route sends an op on its ordinary way: writes of an aside fleet to the origin, all else to the cycle.
// While the key is being fetched a push could only miss, so the op waits. The last push is the origin's,
// as is the first where hosts are listed and none is ready: held, the op would only be late.
func (b *Balancer) route(op *Op) {
	switch f := b.fetches[op.Key]; {
	case !b.mayPush(op) || b.now+op.Category.lat/2 > op.Due || b.apart(op): // none allowed, or answered in time
		b.drop(op)
	case b.Aside && op.Write:
		b.offer(&b.origin, op)
	case b.Aside && (f != nil || len(op.tried) == b.MostPushes-1 || len(b.ready) == 0 && len(b.hosts) > 0):
		b.lead(op)
	default:
		b.offer(&b.fleet, op)
	}
}

// apart tells whether op is of a strand (a key or a tenant) whose ops come to nothing at hosts that serve
// others: a lock behind all hosts, slow readers, or they are at fault themselves. Such ops hold a few places
// together, so that they take none from others, and are not tried again elsewhere.
func (b *Balancer) apart(op *Op) bool {
	room := math.Max(b.fleet.limit, 1)
	if b.ReplySlots > 0 {
		room = math.Min(room, float64(b.ReplySlots))
	}
	for _, s := range op.strands {
		if b.off(s) && (len(op.tried) > 0 || float64(s.out) >= math.Max(room*strandPart, 1)) {
			return true
		}
	}
	return false
}

// off tells whether much more of a strand comes to nothing than of all ops.
func (b *Balancer) off(s *strand) bool { return s != nil && s.vain > b.all.vain+strandOff }

// strand notes what came of a push of op at a host that is in order as far as is known.
func (b *Balancer) strand(op *Op, vain float64) {
	for _, s := range [...]*strand{op.strands[0], op.strands[1], &b.all} {
		if s != nil {
			s.vain += (vain - s.vain) * latStep
		}
	}
}

// lead makes op fetch its key for all that want it, or wait for the fetch that is out.
func (b *Balancer) lead(op *Op) {
	if f := b.fetches[op.Key]; f != nil {
		b.move(op, held)
		f.waiters = append(f.waiters, op)
		f.value += op.value
		return
	}
	op.fetch = &fetch{value: op.value}
	b.fetches[op.Key] = op.fetch
	b.offer(&b.origin, op)
}

// offer puts op in line at a gate.
func (b *Balancer) offer(g *gate, op *Op) {
	if b.unlucky(g, op) {
		b.drop(op)
		return
	}
	b.move(op, held)
	g.line = append(g.line, op)
	b.arm(b.now + tick)
	b.pump(g)
}

// pump lets out what a gate has room for, the best first, and sheds the worst, of equals the last, past that.
func (b *Balancer) pump(g *gate) {
	g.line = slices.DeleteFunc(g.line, func(op *Op) bool { return op.state != held })
	for len(g.line) > 0 && float64(g.out) < math.Max(g.limit, 1) {
		op := slices.MaxFunc(g.line, func(x, y *Op) int { return cmp.Compare(worth(x), worth(y)) })
		h := b.target(g, op)
		if h == nil && op.failed == nil {
			break
		}
		g.remove(op)
		if h != nil {
			b.push(g, op, h)
		} else { // none but the host that failed it: it must not hold up the line behind it
			b.drop(op)
		}
	}
	if g == &b.fleet && len(b.ready) == 0 { // no list yet, or an empty one: hold while there is hope
		return
	}
	for float64(len(g.line)) > math.Max(2, g.limit) {
		least := slices.MinFunc(g.line, func(x, y *Op) int { return cmp.Or(cmp.Compare(worth(x), worth(y)), -1) })
		g.remove(least)
		b.drop(least)
	}
}

// unlucky tells whether chance turns an op away. A limit under one is the part of ops that go out, and more
// of those of more worth: one out at each of some hundred balancers would keep a full origin full.
func (b *Balancer) unlucky(g *gate, op *Op) bool {
	g.worth += (worth(op) - g.worth) * hostStep
	return g.limit < 1 && b.rng.float()*g.worth >= g.limit*worth(op)
}

// target is the host that a gate's op goes to.
func (b *Balancer) target(g *gate, op *Op) *Host {
	if g == &b.fleet {
		return b.walk(op)
	}
	for _, h := range b.origins {
		if h.Status == Ready && b.now >= h.restUntil && allowed(op, h) {
			return h
		}
	}
	return nil
}

// drop gives up a push that an op was to have: the op ends with it, unless another is out.
func (b *Balancer) drop(op *Op) {
	if op.out == 0 {
		b.giveUp(op)
		return
	}
	b.move(op, out)
	b.landed(op, false)
}

func (b *Balancer) push(g *gate, op *Op, h *Host) {
	b.move(op, out)
	p := &Push{Op: op, Host: h, Before: op.until - op.Category.lat/2, sent: b.now, gate: g}
	if first := op.mayHaveRun(); first != nil && op.Category.Repeat == Deduplicated {
		p.Before = math.Min(p.Before, first.sent+op.Category.Window-b.margin())
	}
	p.look.push = p
	op.tried = append(op.tried, p)
	op.out++
	op.count(1)
	h.out++
	h.open, h.fresh, h.pushed = true, h.fresh || !h.open, b.now
	g.out++
	if h.rest >= restFirst {
		b.tries = math.Max(b.tries-1, 0)
	}
	c, limit := op.Category, op.Due-b.now
	usual, devs := c.latency, patienceDevs
	switch {
	case h.Origin:
		usual = g.latency
	case b.warmth(h) < 1:
		h.budget--
	}
	if b.MayDuplicate {
		devs = copyDevs
	}
	patience := math.Max(usual.lat+devs*usual.dev, c.Target*patienceLeast)
	switch {
	case b.MayDuplicate && (h.Origin || op.out > 1): // one origin, and two pushes at most
	case b.MayDuplicate:
		b.look(&b.looks, &p.look, b.now+math.Min(patience, math.Max(c.lat, c.Target-2*c.lat)))
	case b.MayCancel:
		b.look(&b.looks, &p.look, b.now+patience)
	case c.Repeat == Redeliverable:
		limit = math.Min(limit, patience)
	}
	b.port.Push(p, limit)
}

// Went takes word that a push had to wait here for so many ms, and whether a connection is made for it.
func (b *Balancer) Went(p *Push, wait float64, made bool) { p.waited, p.made = wait, made }

// impatient looks at a push that has been out for unusually long. A host that has answered others since
// is at work on a heavy op; one that has answered none is suspect, and the op tries its luck elsewhere.
func (b *Balancer) impatient(p *Push) {
	op := p.Op
	if b.MayDuplicate {
		b.copy(p)
		return
	}
	c := op.Category
	bound := c.Repeat == AtMostOnce || c.Repeat == Deduplicated && c.Group != AllHosts
	if bound || p.called || len(op.tried) >= b.MostPushes || b.hush(p) || b.lookAgain(p, secondLook) ||
		p.Host.Origin && p.Host.passed <= p.sent { // the one origin is at work on it all the same
		return
	}
	p.called = true
	b.port.Cancel(p)
}

// lookAgain leaves a push whose host has answered others for some first waits more, once.
func (b *Balancer) lookAgain(p *Push, waits float64) bool {
	if p.looked || p.Host.answered <= p.sent {
		return false
	}
	p.looked = true
	b.look(&b.looks, &p.look, b.now+waits*(b.now-p.sent))
	return true
}

// hush tells whether nobody has answered since a push was sent, though as many are out as would have half the
// hosts answer. A short while of that is the network's pause, or the machine's, and no host is better.
func (b *Balancer) hush(p *Push) bool {
	if b.answered > p.sent || b.now-p.sent > p.Op.Category.Target*hushPart ||
		2*(b.fleet.out-p.Host.out) < len(b.ready) {
		return false
	}
	b.look(&b.looks, &p.look, b.now+secondLook*(b.now-p.sent))
	return true
}

// copy sends a second copy of an op whose push has been out for unusually long, which stays: what comes first
// counts. A host that has answered nobody since is suspect. Copies are few: they crowd slow hosts.
func (b *Balancer) copy(p *Push) {
	op, h := p.Op, p.Host
	if h.answered < p.sent {
		b.blame(h, TimedOut, b.now-p.sent, failStep)
	}
	if b.lookAgain(p, copyLook) || op.state != out || op.out > 1 || b.copies < 1 || !b.mayPush(op) {
		return
	}
	b.copies--
	op.failed = h
	b.offer(&b.fleet, op)
}

// Streaming takes word that the answer has begun to flow: TTL and time-outs are over, the host's work is
// done. A slow reader must hold no place there or at the gate, nor those who wait for the key.
func (b *Balancer) Streaming(p *Push) {
	if op := p.Op; op.state < streaming {
		op.bound = p
		b.move(op, streaming)
		p.gate.out--
		p.Host.out--
		b.learn(p, Served, b.now-p.sent)
		b.landed(op, true)
		b.pump(p.gate)
	}
}

// Left takes word that nobody waits for the op any more.
func (b *Balancer) Left(op *Op) {
	if op.state == settled {
		return
	}
	b.move(op, settled)
	b.callOff(op)
	b.landed(op, false)
	b.pass(op)
}

// callOff cancels pushes whose answers nobody wants.
func (b *Balancer) callOff(op *Op) {
	for _, p := range op.tried {
		if !p.over && b.MayCancel && !p.called {
			p.called = true
			b.port.Cancel(p)
		}
	}
}

// Ended takes the outcome of a push, and its host's load report or nil. last: nothing more is owed for it.
func (b *Balancer) Ended(p *Push, o Outcome, spent float64, last bool, r *Report) {
	op, h, g := p.Op, p.Host, p.gate
	if p.over {
		return
	}
	p.over = true
	b.looks.Stop(&p.look)
	p.never = o == Refused || o == Shut || o == NoConn || o == NotSent || o == Missed
	op.out--
	op.count(-1)
	if op.turn != nil && !p.never && o != Served && o != Failed { // it may still run
		op.turn.quiet = b.now + b.KeyRest
	}
	switch {
	case op.bound != p:
		h.out--
		g.out--
		b.learn(p, o, spent)
	case o != Served && o != Cancelled: // it broke midway
		b.blame(h, o, spent, failStep)
	}
	if r != nil && r.Busy >= 0 && !h.Origin {
		b.reported(h, math.Min(r.Busy, 1))
	}
	wrong := o == Rejected || o == Failed && !h.Origin
	known := wrong && !b.suspect(h)
	twice := known && op.wrong != nil && op.wrong != h // two agree: it is the op that is wrong
	// Or would: an error that is no host's own gets no second push then, nor do a few of hosts that turn bad.
	alone := known && op.wrong == nil && b.agree > agreeMost && b.rng.float() > agreeTry
	if wrong {
		op.wrong = h
	}
	if twice || alone {
		b.strand(op, 1)
	}
	if twice {
		b.agree += (1 - b.agree) * hostStep
	}
	switch {
	case op.state == settled:
	case last || op.bound == p:
		if o == Served {
			b.served++
			op.acked = true
		}
		b.move(op, settled)
		b.landed(op, o == Served)
	case op.state == streaming || op.state == held: // bound to its other push, or that is on its way
	case o == Missed && b.Aside && !h.Origin && op.fetch == nil && b.mayPush(op):
		b.lead(op)
	case op.out > 0: // its other push may be answered yet
		if h.Origin {
			b.landed(op, false)
		}
	case twice || alone || b.now >= op.Due-tick:
		b.giveUp(op)
	case o == Refused && !h.Origin && b.crowded(op):
		if b.origin.pain > b.origin.goal || !b.Aside || !b.mayPush(op) {
			b.giveUp(op)
		} else {
			b.lead(op)
		}
	case op.fetch != nil && b.mayPush(op): // the origin failed the fetch; its waiters wait on
		b.offer(g, op)
	// A good host, which may hold the key while others would miss; one with no room for a connection does not.
	case o == Shut, !b.suspect(h) && (o == Spoilt || o == Stale || o == Cancelled && h.answered > p.sent):
		b.route(op)
	default:
		op.failed = h
		b.route(op)
	}
	b.pass(op)
	b.pump(g)
}

// reported takes how busy a host says it is. Where those of the own zone are busier than the others keys walk
// the whole cycle: a zone may have more traffic than its hosts can carry.
func (b *Balancer) reported(h *Host, busy float64) {
	b.busy += (busy - b.busy) * latStep
	if h.Zone != b.Zone {
		b.busyFar += (busy - b.busyFar) * originStep
		return
	}
	b.busyNear += (busy - b.busyNear) * originStep
	if b.busyNear > math.Max(b.busyFar+farSlack, busyNearLeast) {
		b.pool = math.Min(1, b.pool+poolStep/2)
	}
}

// crowded tells whether an op that a host had no room for is to walk no further. Where most hosts have none,
// walking on fills those that have, and few are served: a part makes way, more of those of less worth.
func (b *Balancer) crowded(op *Op) bool {
	return b.busy > busyAll && b.rng.float()*worth(op) < (b.refused-refusedFrom)/refusedFrom*b.fleet.worth
}

// learn takes from an outcome what it tells of host and gate.
func (b *Balancer) learn(p *Push, o Outcome, spent float64) {
	op, h, g := p.Op, p.Host, p.gate
	c, bad, suspect, step := op.Category, false, b.suspect(h), failStep
	few := float64(b.Group) <= crowdGroup // each knows its own part of hits and of full hosts
	// Pushes turned away are not counted: of a full fleet's they are half, and no measure of what it can do.
	if (o == Served || o == Missed) && !h.Origin && b.warmth(h) == 1 {
		b.counted++
	}
	if h.fresh && (o == Served || o == Missed) {
		h.fresh, h.shutWait = false, 0
		b.keep = math.Min(b.keep*keepGrow, b.ConnIdle)
		if b.pooled {
			b.pool = math.Min(1, b.pool+poolFall)
		}
	}
	if g == &b.fleet && len(op.tried) > 1 && (o == Served || o == Missed || o == Refused) {
		b.refused -= b.refused * latStep
		if o == Refused {
			b.refused += latStep
		}
	}
	switch late := spent > c.Target; {
	case o == Served && !late:
		b.strand(op, 0)
	case o == Served || (o == TimedOut || o == Cancelled) && h.answered > p.sent && !op.acked:
		if b.strand(op, 1); slices.ContainsFunc(op.strands[:], b.off) { // that says nothing of the host
			return
		}
	}
	switch o {
	case Served:
		seen := max(spent, b.Quantum, tick/100) // less than a round can't be told: below it all are alike
		switch {
		case p.made:
			b.making.take(math.Max(spent-c.lat, 0))
		case g == &b.fleet:
			b.slowed(h, seen/c.lat)
			c.take(seen)
		}
		g.take(seen)
		h.answered, b.answered, h.passed = b.now, b.now, math.Max(h.passed, p.sent)
		if !b.pooled {
			b.pool -= b.pool * poolFall
		}
	case Missed:
		h.answered, b.answered = b.now, b.now
	case Failed: // the op may be at fault: another host has to serve it first
		bad = h.Origin || !b.mayPush(op)
	case Broken:
		bad = true
	case Spoilt, Stale: // any host closes idle connections, or is at work where it answers: their share tells
		if bad, step = true, hostStep; o == Spoilt {
			h.answered = b.now
		}
	case NoConn:
		b.fell(h)
		bad, h.open, h.fresh = true, false, false
		if !h.Origin {
			b.keep = math.Max(b.keep*keepCut, tick)
		}
	case Shut: // of many balancers most are turned away: asked at fewer hosts, a key meets the same connections
		h.open, h.fresh = h.open && !h.fresh, false
		h.shutWait = math.Min(math.Max(h.shutWait*2, shutFirst), shutLongest)
		h.shutUntil = b.now + h.shutWait*(0.5+b.rng.float())
		b.pool = math.Max(0, b.pool-poolStep)
	case Refused: // a host that others fill is no bad host; the op walks on
		if bad = h.Origin; !bad && !few {
			b.slowed(h, refusedSlow)
		}
	case TimedOut, Cancelled:
		bad = h.answered < p.sent
		switch known := g == &b.fleet && spent > c.lat && !suspect; { // else only the quick would count as usual
		case known && p.made:
			b.making.take(spent - c.lat)
		case known:
			c.take(spent)
		}
	}
	if (o == Served || o == Missed) && op.wrong != nil { // another host takes the op: it is not the one to blame
		b.blame(op.wrong, o, spent, failStep)
		b.agree -= b.agree * hostStep
		op.wrong = nil
	}
	switch {
	case o == NotSent || o == Cancelled && op.state == settled:
	case bad:
		b.blame(h, o, spent, step)
	case o == Served || o == Missed:
		if h.rest >= restFirst { // it is well again: that cost nothing
			b.tries++
		}
		h.fail -= h.fail * hostStep
		if !b.suspect(h) {
			h.rest = 0
		}
	}
	// A gate that narrowed for hosts already known as silent would shut out what the others could serve.
	if o == Missed && (few || b.origin.limit < originOwn) || o == NotSent || o == Spoilt || o == Stale ||
		o == Rejected || o == Broken || o == Shut ||
		!h.Origin && (o == NoConn || o == Refused || o == Failed || suspect) {
		return
	}
	pain, cut := spent/c.Target, gateCut
	if op.Write { // it comes on top of no miss: what is usual for it would shut the origin's gate
		pain *= originGoal / gateGoal
	}
	g.told = b.now
	switch {
	case o == Served || o == Missed:
	// Its connection is dead or the op is heavy, as the host answers others; or the client went away first.
	case (o == TimedOut || o == Cancelled) && h.answered > p.sent,
		o == Cancelled && op.state == settled && pain < g.goal:
		return
	default:
		pain = math.Max(pain, 2*g.goal)
		if h.Origin && b.now-h.answered > c.Target { // it stands full: what waits there for long comes to nothing
			pain, cut = math.Max(pain, fullPain), fullCut
		}
	}
	if g == &b.origin && pain > g.goal && !b.pooled {
		b.pool = math.Min(1, b.pool+poolStep)
	}
	if step = g.step; g.limit < 1 { // of few outcomes each tells more
		step = fewStep
	}
	g.pain += (pain - g.pain) * step
	switch {
	// Timely answers do not narrow it: a heavy op, smoothed over for long, would be paid for with each of them.
	case g.pain > g.goal && pain > g.goal && b.now >= g.cutAt:
		least := g.floor
		if g.pain <= chancePain {
			least = math.Max(least, 1)
		}
		g.limit = math.Max(math.Min(g.limit, least), math.Min(g.limit, float64(g.out+1))*cut)
		g.cutAt = b.now + gatePause
	case g.pain < patienceLeast && float64(g.out+1) > g.limit/2: // there is no queue
		g.limit++
	case g.pain < g.goal && float64(g.out+1) > g.limit/2:
		g.limit += math.Min(1/g.limit, g.limit) // from next to none it doubles
	}
}

// blame counts a failure against a host, and takes it off the walk for a while once it is suspect.
func (b *Balancer) blame(h *Host, o Outcome, spent, step float64) {
	h.fail += (1 - h.fail) * step
	if !b.suspect(h) || b.now < h.restUntil || h.Origin && o != Refused {
		return
	}
	h.rest = math.Min(math.Max(h.rest*2, restFirst), restLongest)
	if o == NoConn { // the host may just be full of connections, and a quick try costs little
		h.rest = math.Min(h.rest, restCost*spent)
	}
	if h.Origin {
		h.rest = gatePause
	}
	h.restUntil = b.now + h.rest
	b.countResting()
}

// slowed takes the latency of a push, in usual ones, as a sign of how crowded its host is.
func (b *Balancer) slowed(h *Host, ratio float64) {
	h.slow += (ratio - h.slow) * hostStep
	b.usual += (ratio - b.usual) * latStep
}

// landed ends the fetch that op led. Those that waited go on; after a failure the first that may fetches.
func (b *Balancer) landed(op *Op, served bool) {
	f := op.fetch
	if f == nil {
		return
	}
	op.fetch = nil
	delete(b.fetches, op.Key)
	waiters := slices.DeleteFunc(f.waiters, func(w *Op) bool { return w.state != held })
	if !served { // passed on whole: one by one the waiters would weigh too little to hold a place in line
		for len(waiters) > 0 {
			next := waiters[0]
			waiters = waiters[1:]
			if !b.mayPush(next) {
				b.drop(next)
				continue
			}
			next.fetch = &fetch{waiters: waiters, value: f.value - op.value}
			b.fetches[op.Key] = next.fetch
			b.offer(&b.origin, next)
			return
		}
	}
	for _, w := range waiters {
		b.route(w)
	}
}

// giveUp settles an op unserved, at once: with a nack where a repeat is safe, else a dead letter.
func (b *Balancer) giveUp(op *Op) {
	if op.state == settled {
		return
	}
	nack := b.mayNack(op)
	b.move(op, settled)
	if nack { // the client is to come back after the time a line takes to clear, spread
		b.port.Nack(op, b.backoff(op.Category.Target))
	} else {
		b.port.DeadLetter(op)
	}
	b.callOff(op)
	b.landed(op, false)
	b.pass(op)
}

func (b *Balancer) backoff(target float64) float64 {
	return math.Min(b.MaxBackoff, target/2*(1+b.rng.float()))
}

// move is the one place where an op changes state. A settled op stays settled.
func (b *Balancer) move(op *Op, to state) {
	if op.state == settled || op.state == streaming && to != settled {
		return
	}
	if op.state = to; to >= streaming {
		b.ends.Stop(&op.ends)
	}
	if to == settled && op.paid && !op.acked {
		op.Tenant.tokens++
	}
}
