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
	boundFactor   = 1.5   // 1+ε, the talk's example factor
	boundFloor    = 2     // pushes; below this a host is never full
	sweepInterval = 100.0 // ms between two looks at all hosts: little beside warming, rests and idle times
	tickInterval  = 10.0  // ms, the timer's period while ops are held, and part of each margin

	slowEWMAWeight = 0.05 // weight of a new latency in a category's average, or of an end in a strand's: about 20 ops
	fastEWMAWeight = 0.2  // weight of a new outcome in a host's or their gate's averages: about 5 ops

	smallGroupSize       = 3.0    // balancers at which twice the usual latency counts twice; more see less each
	overloadedSlowdown   = 4.0    // what a push turned away counts as, in usual latencies: a full host is a crowded one
	slowdownGain         = 2.0    // to one, how a slow host's excess becomes the part of its keys that it loses
	fleetBusyThreshold   = 0.85   // part of their cores' time that all hosts say is taken where there is no room
	overloadedThreshold  = 0.25   // part turned away of pushes that walked on where ops make way; at twice that all
	slowdownSlack        = 0.25   // usual latencies above those of all hosts that chance explains
	suspectThreshold     = 0.25   // smoothed failures above which a host is suspect: one fresh failure does it
	failureWeight        = 0.3    // weight of a fresh failure, just over failFrom
	baseEjectTime        = 250.0  // ms off the walk after a first failure, about what a short stall lasts
	maxEjectTime         = 4000.0 // ms; a healed host is tried again no later than this
	ejectConnectMultiple = 20.0   // times what a failed connect took that a host rests at most
	probesPerOp          = 0.01   // ops, for each that comes, that may find a suspect host still bad: many others try it
	maxTokens            = 3.0    // of these that may do so together; of second copies, too
	maxEjectedShare      = 0.8    // part of the hosts that may rest at once; beyond it the evidence is in doubt

	noFloorTime = 60000.0 // ms after a host in use went down without a floor to the bound: a wave of restarts
	inUseTime   = 15000.0 // ms since its last answer in which a host counts as in use: lists are so late

	recheckFactor  = 1.0 // first waits more after which a push that was left is called off all the same
	zoneBusyMargin = 0.1 // by how much more the own zone's hosts have to be busy for keys to leave it
	zoneBusyMin    = 0.6 // and so busy at the least: below, they have room

	crossZoneStep  = 0.1  // part of the keys that a late fetch puts there, or a full table takes off
	crossZoneDecay = 0.01 // part of these that an answer takes back

	hedgeDevs          = 3.0 // mean deviations above the usual latency at which a second copy is sent
	hedgeRecheckFactor = 0.5 // first waits more after which it is where the host answers others: the op may be heavy
	hedgesPerOp        = 0.1 // second copies an op: more would be much of a slow fleet's load

	flowFailMargin   = 0.4 // by how much more of its ops than of all has to come to nothing for it to be held apart
	failingFlowShare = 0.1 // part of what the hosts' gate lets out, or of reply slots, that it may have then

	errorRepeatThreshold = 0.8 // smoothed part of errors that a second host repeats above which one host's word is enough
	errorRetryShare      = 0.1 // part of ops that are put to a second host all the same, so that it is seen when that ends

	keyBuckets       = 1024   // of counts of ops by key: few of an instance's keys share one
	hotKeyBusyLimit  = 0.9    // part of its cores' time that a busy key's host may have taken, where hosts tell
	keyCountHalfLife = 5000.0 // ms between two halvings of these counts: a busy key lasts for some seconds

	checkDelayDevs     = 5.0  // mean deviations above the usual latency at which a push is looked at
	fleetSilenceShare  = 0.1  // of its target for which a push is left where all hosts are as silent
	minCheckDelayShare = 0.02 // of its target: a call-off costs a connection, and gains nothing where there is time

	inputWaitShare    = 0.2        // of the shortest target for which input may wait: answers may have to wait as long
	minInputWaitShare = 1.0 / 16   // part of that below which one wait is like another
	maxAdmitFactor    = 2.0        // factor, the most by which the part of ops taken changes at once
	minAdmitShare     = 1.0 / 1024 // least part of the ops that are taken

	fleetCongestionGoal   = 0.5     // smoothed latency over target above which a gate narrows: most answers just in time
	originCongestionGoal  = 0.3     // the same for the origin, whose latency comes on top of a miss
	limitDecrease         = 0.85    // factor of one narrowing
	mediumEWMAWeight      = 0.1     // weight of a new latency of the origin, or of a report in its zone's: 10 answers
	fewOutcomesWeight     = 0.5     // the same at a gate that turns ops away by chance: two answers tell
	originFullDecrease    = 0.5     // factor of one narrowing while the origin answers nobody for a target
	originFullCongestion  = 2.0     // targets that a fetch counts as having waited then: it is told by few outcomes
	limitDecreaseInterval = 100.0   // ms between two narrowings, so that the first can show
	randomShedCongestion  = 0.5     // smoothed latency over target above which a gate turns ops away by chance
	limitRecoveryTime     = 14000.0 // ms in which it lets out all again by itself
	fleetMinPerHost       = 2.0     // pushes a host, of all balancers, that the hosts' gate lets out at least
	fleetInitialPerHost   = 16.0    // pushes a host, of all balancers, that the hosts' gate starts with
	originInitialPerHost  = 1.5     // fetches a host, of all balancers, that the origin's gate starts with
	originMinInitialLimit = 4.0     // fetches that the origin's gate starts with at the least: own ops tell of no other's
	originSilenceTime     = 200.0   // ms, a fetch's time, without an outcome: the origin's gate opens by itself
	originMinLimit        = 2.0     // fetches, of all balancers, that it lets out at least

	coldBudgetShare = 0.5    // part of the tipping load that all may send a cold host in a span; two can touch
	pushRateWindow  = 2000.0 // ms over which the usual rate of pushes is averaged

	idleTimeoutDecrease = 0.8 // factor of the time idle connections are kept, when one cannot be made
	idleTimeoutIncrease = 1.2 // the same when one is made: four in ten may fail, for a handshake costs more

	baseConnBackoff = 1000.0 // ms in which no new connection is tried to a host whose table of them was full
	maxConnBackoff  = 8000.0 // ms, the longest such wait: places come free as others hang up

	listRetryDelay  = 500.0  // ms until a failed list call is repeated, spread by as much again; then twice that
	listTimeout     = 3000.0 // ms after which an unanswered call counts as failed: it takes its turn, a second or so
	listRetryWindow = 4500.0 // ms from a failed call to the next: changes count as told after 6 s, 1.5 for an answer

	settleMarginQuanta = 2.0 // quanta before its TTL at which an op is settled, beside one tick
	maxTenantTokens    = 8.0 // ops that a tenant may be ahead of its part of those acked: chance sends some together
)

// Balancer decides for one instance.
type Balancer struct {
	Config
	frontend Frontend
	now      float64
	rng      pcg

	hosts                                []*Host // listed cache hosts, by name
	readyHosts                           []*Host // those that may be pushed to
	cycle                                cycle
	coldUntil                            float64 // ms, when the last of them is warm
	sizeUnit, totalSize                  float64 // size that gets pointsPerHost places, and the sum of the ready hosts'
	origins                              []*Host
	walkCount, ackedCount                int                 // made so far, and ops acked
	avgBusy, ownZoneBusy, otherZonesBusy float64             // smoothed part of their cores' time that hosts say is taken
	overloadedRate                       float64             // smoothed part turned away of the pushes of ops that walked on
	keyCounts                            [keyBuckets]float64 // recent ops by key, halved now and then
	keyCountSum, keyCountsHalvedAt       float64             // their sum, and ms, when they were halved
	hedgeTokens                          float64             // second copies that may be sent
	probeTokens                          float64             // ops that may be sent to suspect hosts while others have room
	crossZoneShare                       float64             // part of the keys that keep to no zone
	crossZoneCheap                       bool                // crossing costs no more than a fetch: best all of them
	lastAnswer, noFloorUntil             float64             // ms, time of the last answer; until when the bound has no floor
	failRates                            []float64           // of all ready hosts at the last look, in order
	medianFailRate, errorRepeatRate      float64             // smoothed failures of the middle host; errors that a second repeats
	ejectedCount, warmAnswers            int                 // ready hosts that rest; answers of warm ones since the last look
	pushRate                             float64             // pushes a ms for each unit of warm size
	timerAt, lastSweep                   float64             // ms, when the timer calls next, and when hosts were looked at
	fetches                              map[string]*fetch
	keyQueues                            map[string]*keyQueue  // by key, of ordered ops
	keyFlows                             [keyBuckets]flowStats // by key
	allOps                               flowStats             // of all ops
	fleetLimiter, originLimiter          limiter
	admitShare, inputWait                float64     // of new ops that there is room for; how long input waits, of round
	maxInputWait, admitAdjustedAt        float64     // ms, how long it may wait, and when that was last looked at
	coldHostsYielded                     bool        // cold hosts are another process's
	opTimers, pushTimers                 timers      // at ops, and at pushes
	avgSlowdown                          float64     // smoothed over all hosts, what slow is smoothed of for each
	connSetup                            latencyEWMA // that a connection that has to be made adds
	idleTimeout                          float64     // ms for which an idle connection is kept
	listPending                          bool        // a call for the list is out
	listCallAt, listRetryWait            float64     // ms, when it was made or the next is due, and what a failure puts that off
}

// New makes the balancer of one instance at time now.
func New(s Config, port Frontend, now float64) *Balancer {
	b := &Balancer{Config: s, frontend: port, now: now, rng: pcg(s.Seed), lastSweep: now,
		fetches: map[string]*fetch{}, keyQueues: map[string]*keyQueue{}, listRetryWait: listRetryDelay, avgSlowdown: 1, idleTimeout: s.ConnIdleTimeout,
		otherZonesBusy: 1, hedgeTokens: maxTokens, probeTokens: maxTokens, timerAt: math.Inf(1), maxInputWait: math.Inf(1), admitShare: 1}
	if b.crossZoneCheap = b.CrossZoneCost*(1-1/float64(max(b.ZoneCount, 1))) <= b.FetchCost; b.crossZoneCheap {
		b.crossZoneShare = 1
	}
	b.rng.uniform() // seeds that lie close give numbers that lie close at first
	b.fleetLimiter = limiter{congestionGoal: fleetCongestionGoal, congestionWeight: fastEWMAWeight, limit: math.Inf(1)}
	b.originLimiter = limiter{congestionGoal: originCongestionGoal, congestionWeight: mediumEWMAWeight, congestion: originCongestionGoal / 2,
		minLimit: originMinLimit / float64(s.GroupSize), limit: math.Inf(1)}
	for _, c := range s.Categories {
		c.avgLatency, c.latencyDev = c.Target/4, c.Target/8
		b.maxInputWait = math.Max(math.Min(b.maxInputWait, c.Target*inputWaitShare), 2*b.Quantum)
		b.originLimiter.avgLatency, b.originLimiter.latencyDev = max(b.originLimiter.avgLatency, c.avgLatency), max(b.originLimiter.latencyDev, c.latencyDev)
		b.fleetLimiter.avgLatency = b.originLimiter.avgLatency
	}
	quotas := 0.0
	for _, t := range s.Tenants {
		quotas += t.Quota
	}
	for _, t := range s.Tenants {
		t.tokens, t.quotaShare = maxTenantTokens, t.Quota/math.Max(quotas, 1)
	}
	if s.ListOnRequest {
		b.subscribe()
	}
	b.armTimer(now + tickInterval)
	return b
}

// Advance takes the time and does what has fallen due.
func (b *Balancer) Advance(now float64) {
	b.now = now
	for d, ok := b.opTimers.PopDue(now); ok; d, ok = b.opTimers.PopDue(now) {
		switch op := d.op; {
		case op == nil: // a key has rested
			b.startNext(d.keyQueue)
		case op.fetch != nil && op.inFlight > 0 && b.now < b.settleBy(op):
			b.schedule(&b.opTimers, d, b.settleBy(op)) // late for this op, but what it fetches is kept for others
		default:
			b.giveUp(op)
		}
	}
}

// ReportInputWait takes word that what is read in this round may have waited for so many ms. Past what one core can do
// that grows for ever. Then a part of the ops is taken, so that they wait no longer than leaves time to serve
// them. Whatever slows the process is met alike. After a long stall some ops are turned away needlessly.
func (b *Balancer) ReportInputWait(late float64) {
	if b.now < b.admitAdjustedAt+b.maxInputWait/2 {
		return
	}
	last, now := b.inputWait, math.Max(late/b.maxInputWait, minInputWaitShare)
	b.inputWait, b.admitAdjustedAt = now, b.now
	if now > 1 || b.admitShare < 1 { // by how the wait changes, and by how long it is
		change := math.Sqrt(last / now / math.Sqrt(now))
		b.admitShare = clamp(b.admitShare*clamp(change, 1/maxAdmitFactor, maxAdmitFactor), minAdmitShare, 1)
	}
}

// Admit tells whether the own process has room for one more op, by chance; else it is nacked, if need be
// unread, for reading takes the core from those that are taken, and may come back after backoff ms.
func (b *Balancer) Admit() (room bool, backoff float64) {
	if b.admitShare == 1 || b.rng.uniform() < b.admitShare {
		return true, 0
	}
	return false, b.backoff(b.maxInputWait / inputWaitShare)
}

// StopAdmitting takes word that the process ends before another op could be settled. Those that come are nacked.
func (b *Balancer) StopAdmitting() { b.admitShare, b.admitAdjustedAt = 0, math.Inf(1) }

// schedule has d looked at then.
func (b *Balancer) schedule(all *timers, d *timer, at float64) {
	all.Set(d, at)
	b.armTimer(at)
}

// TimerFired is the timer's call: all periodic work.
func (b *Balancer) TimerFired() {
	if b.now < b.timerAt-tickInterval/10 { // an earlier call has taken this one's place
		return
	}
	// Only now has all been heard that has come: the answer to a push may stand among what a round has read.
	for d, ok := b.pushTimers.PopDue(b.now); ok; d, ok = b.pushTimers.PopDue(b.now) {
		switch p := d.push; {
		case p.localWait > 0:
			if p.newConn {
				p.localWait += b.connSetup.avgLatency + checkDelayDevs*b.connSetup.latencyDev
			}
			b.schedule(&b.pushTimers, d, d.DueAt()+p.localWait)
			p.localWait = 0
		case p.Op.state < stateStreaming:
			b.checkSlowPush(p)
		}
	}
	if b.now-b.lastSweep >= sweepInterval {
		b.sweep(b.now - b.lastSweep)
	}
	switch {
	case b.listPending && b.now-b.listCallAt > listTimeout:
		b.HostListFailed()
	case b.ListOnRequest && !b.listPending && b.now >= b.listCallAt:
		b.subscribe()
	}
	for _, g := range []*limiter{&b.fleetLimiter, &b.originLimiter} {
		for _, op := range slices.Clone(g.queue) { // those that can no longer be answered in time are given up
			if op.state == stateQueued && b.now+op.Category.avgLatency+op.Category.latencyDev > op.arrivedAt+op.Category.Target {
				b.abandonPush(op)
			}
		}
		b.dispatch(g)
	}
	next := min(b.lastSweep+sweepInterval, b.opTimers.NextDue(), b.pushTimers.NextDue())
	if len(b.fleetLimiter.queue)+len(b.originLimiter.queue) > 0 {
		next = math.Min(next, b.now+tickInterval)
	}
	b.timerAt = math.Inf(1)
	b.armTimer(math.Max(next, b.now+tickInterval/10))
}

// armTimer has the timer call at a time, if it would not before.
func (b *Balancer) armTimer(at float64) {
	if at < b.timerAt {
		b.timerAt = at
		b.frontend.SetTimer(math.Max(at-b.now, 0))
	}
}

// sweep looks at all hosts. A thousand balancers that did so at each tick took more CPU than their ops.
func (b *Balancer) sweep(span float64) {
	b.lastSweep = b.now
	warm := b.totalSize
	if b.now < b.coldUntil+sweepInterval {
		for _, h := range b.readyHosts {
			if b.warmth(h) < 1 {
				warm -= h.Size
			}
			b.activatePoints(h)
		}
	}
	if warm > 0 {
		b.pushRate += (float64(b.warmAnswers)/span/warm - b.pushRate) * math.Min(1, span/pushRateWindow)
	}
	b.warmAnswers = 0
	if b.now-b.keyCountsHalvedAt > keyCountHalfLife {
		b.keyCountsHalvedAt = b.now
		b.keyCountSum /= 2
		for i := range b.keyCounts {
			b.keyCounts[i] /= 2
		}
		maps.DeleteFunc(b.keyQueues, func(_ string, t *keyQueue) bool { return len(t.ops) == 0 && b.now >= t.quietUntil })
	}
	b.countEjected()
	if len(b.readyHosts) > 0 {
		b.failRates = b.failRates[:0]
		for _, h := range b.readyHosts {
			b.failRates = append(b.failRates, h.failRate)
		}
		slices.Sort(b.failRates)
		b.medianFailRate = b.failRates[(len(b.failRates)-1)/2]
	}
	b.closeIdleConns()
	if b.originLimiter.limit < 1 && b.now-b.originLimiter.lastOutcome > originSilenceTime { // no fetch tells that it is well again
		b.originLimiter.limit += span / limitRecoveryTime
	}
}

// closeIdleConns closes idle connections. A host takes so many and no more: where there are more balancers than
// that, those that each keeps for its next op shut out the others.
func (b *Balancer) closeIdleConns() {
	for _, h := range b.readyHosts {
		if h.connOpen && h.inFlight == 0 && b.now-h.lastPush > b.idleTimeout {
			h.connOpen = false
			b.frontend.CloseIdleConns(h)
		}
	}
}

// subscribe subscribes to the list.
func (b *Balancer) subscribe() {
	b.listPending, b.listCallAt = true, b.now
	b.frontend.SubscribeHostList()
}

// HostListFailed takes word that a call for the list failed or the watch broke. The next waits a spread time,
// so not all ask together, but is soon after the call: discovery may have been back from just after it on.
func (b *Balancer) HostListFailed() {
	left := listRetryWindow
	if b.listPending {
		left -= b.now - b.listCallAt
	}
	b.listPending, b.listCallAt = false, b.now+math.Min(b.listRetryWait, left/2)*(1+b.rng.uniform())
	b.listRetryWait = math.Min(b.listRetryWait*2, listRetryDelay*2)
}

// HostListMoved takes word that the list is told elsewhere now, or the watch silent. It is asked for at once.
func (b *Balancer) HostListMoved() {
	if b.ListOnRequest {
		b.listRetryWait = listRetryDelay
		b.subscribe()
	}
}

// HostsListed takes news of hosts: the whole list, or changes to it. A saved list answers no call.
func (b *Balancer) HostsListed(entries []HostEntry, whole, saved bool) {
	if !saved {
		b.listPending, b.listCallAt, b.listRetryWait = false, math.Inf(1), listRetryDelay
	}
	if whole {
		for _, h := range slices.Concat(b.hosts, b.origins) {
			h.Status = Gone
		}
	}
	for _, e := range entries {
		h, set := e.Host, &b.hosts
		if h.IsOrigin {
			set = &b.origins
		}
		// A new process: what was learned of the old one is void. Stamps that are off may go back.
		if e.UpSince > h.UpSince || b.UpSinceSkew > 0 && e.UpSince != h.UpSince {
			b.noteHostDown(h)
			h.connOpen, h.connUnproven, h.coldBudget, h.coldBudgetSince = false, false, 0, 0
			h.resetHealth()
		}
		h.Listing = e.Listing
		if !slices.Contains(*set, h) {
			*set = append(*set, h)
		}
	}
	b.rebuildCycle()
}

// SetBanned takes a cache host out of use by hand, or puts it back, whatever lists say. What was learned of it is
// void, for it is restarted meanwhile; its budget is not, or a moment's ban would fill it again.
func (b *Balancer) SetBanned(h *Host, on bool) {
	h.Banned = on
	h.resetHealth()
	b.rebuildCycle()
}

// noteHostDown takes word that a host has gone down. In use, it may be for what all balancers had out there.
func (b *Balancer) noteHostDown(h *Host) {
	if !h.IsOrigin && h.lastAnswer > 0 && b.now-h.lastAnswer < inUseTime {
		b.noFloorUntil = b.now + noFloorTime
	}
}

// rebuildCycle puts the ready hosts on the cycle, at places that depend on a host's name and size alone.
func (b *Balancer) rebuildCycle() {
	gone := func(h *Host) bool { return h.Status == Gone }
	all := slices.Clone(b.hosts)
	b.hosts = slices.DeleteFunc(b.hosts, gone)
	b.origins = slices.DeleteFunc(b.origins, gone)
	slices.SortFunc(b.hosts, func(x, y *Host) int { return cmp.Compare(x.Name, y.Name) })
	b.readyHosts, b.totalSize = b.readyHosts[:0], 0
	for _, h := range b.hosts {
		if h.Usable() {
			b.readyHosts = append(b.readyHosts, h)
			b.totalSize += h.Size
		}
	}
	if b.sizeUnit == 0 && len(b.readyHosts) > 0 {
		// Sizes have no unit. A power of two near their mean is the same at balancers whose lists differ.
		b.sizeUnit = math.Exp2(math.Round(math.Log2(b.totalSize / float64(len(b.readyHosts)))))
	}
	b.cycle.update(all, func(h *Host) int {
		if !h.Usable() {
			return 0
		}
		return max(1, int(math.Round(pointsPerHost*math.Sqrt(h.Size/b.sizeUnit))))
	})
	for _, h := range b.readyHosts {
		b.coldUntil = math.Max(b.coldUntil, h.UpSince+b.WarmupTime+b.UpSinceSkew)
		b.activatePoints(h)
		h.slowdown = math.Max(h.slowdown, 1)
	}
	if len(b.readyHosts) == 0 {
		return
	}
	share := float64(len(b.readyHosts)) / float64(b.GroupSize)
	b.fleetLimiter.minLimit = fleetMinPerHost * share
	if math.IsInf(b.fleetLimiter.limit, 1) { // the first list
		// No host can be sure to hold a connection for each: found out by making them, where that costs little.
		if b.GroupSize > len(b.readyHosts) && b.CrossZoneCost >= b.FetchCost {
			b.crossZoneShare = 0
		}
		b.originLimiter.limit = math.Max(originInitialPerHost*share, originMinInitialLimit)
		b.fleetLimiter.limit = math.Max(1, fleetInitialPerHost*share)
	}
	b.fleetLimiter.limit = math.Max(b.fleetLimiter.limit, b.fleetLimiter.minLimit)
	b.countEjected()
	b.dispatch(&b.fleetLimiter)
}

// activatePoints lets a host stand on the cycle with as many of its points as it is warm.
func (b *Balancer) activatePoints(h *Host) {
	h.activePoints = int(math.Ceil(float64(len(h.pointHashes)) * b.warmth(h)))
}

// warmth is the share of its capacity that a host surely has by now.
func (b *Balancer) warmth(h *Host) float64 {
	age := b.now - h.UpSince - b.UpSinceSkew
	if h.UpSince <= 0 || age >= b.WarmupTime {
		return 1
	}
	return b.ColdCapacity + (1-b.ColdCapacity)*math.Max(age, 0)/b.WarmupTime
}

// hasColdBudget tells whether a cold host may be pushed to: its budget for a span of TipFor, judged from what warm
// hosts of its size get from this balancer, so that the parts of all balancers add up. Less than one push is
// granted by chance: were each of some hundred balancers to send one at once, the host would be pushed over.
func (b *Balancer) hasColdBudget(h *Host) bool {
	share := b.warmth(h)
	if share >= 1 || b.coldHostsYielded {
		return share >= 1
	}
	if b.now-h.coldBudgetSince >= b.OverloadTime {
		// With no warm host to go by, as after all restarted at once, a host takes at least one op after
		// another: without this floor a fleet that is cold as a whole would be sent nothing for ever.
		slowest := slices.MaxFunc(b.Categories, func(x, y *Category) int { return cmp.Compare(x.avgLatency, y.avgLatency) })
		pace := math.Max(b.pushRate*h.Size, 1/(math.Max(slowest.avgLatency, tickInterval)*float64(b.GroupSize)))
		h.coldBudgetSince = b.now
		h.coldBudget = math.Floor(pace*b.OverloadMultiple*share*coldBudgetShare*b.OverloadTime + b.rng.uniform())
	}
	return h.coldBudget >= 1
}

func (b *Balancer) countEjected() {
	b.ejectedCount = 0
	for _, h := range b.readyHosts {
		if b.now < h.ejectedUntil {
			b.ejectedCount++
		}
	}
}

// isSuspect tells whether a host fails clearly more than half of all do. Where most lose a part of their
// answers those have to serve on: the few that lose none could not take it all.
func (b *Balancer) isSuspect(h *Host) bool { return h.failRate > suspectThreshold+b.medianFailRate }

// isFull tells whether a host has no room by the bounded-load rule: its count against its bound. Trouble
// changes them: a resting host is full, a suspect one with anything out, a slow one early if many see it.
func (b *Balancer) isFull(op *Op, h *Host, mean float64) bool {
	count, bound := float64(h.inFlight), math.Ceil(boundFactor*mean)
	if b.now >= b.noFloorUntil {
		bound = math.Max(bound, boundFloor)
	}
	if float64(b.ejectedCount) <= maxEjectedShare*float64(len(b.readyHosts)) {
		switch {
		case b.now < h.ejectedUntil:
			return true
		case b.isSuspect(h):
			bound = 1
		case b.AllowHedging:
			excess := (h.slowdown - b.avgSlowdown - slowdownSlack) * slowdownGain
			if excess > 0 && hashFraction(op.keyHash^h.pointHashes[0]) < excess/(1+excess) {
				return true
			}
		case h.slowdown > 1:
			// Others' ops show in a host's latency alone. With a dozen balancers the floor of two each would
			// let two dozen ops crowd a host before any of them saw it full.
			count *= 1 + (h.slowdown-1)*float64(b.GroupSize)/smallGroupSize
			// With a hundred, one each is too many: a push counts on for a while after it has ended.
			more := math.Max(0, float64(b.GroupSize)/smallGroupSize-1)
			if b.now < h.lastPush+(h.slowdown-b.avgSlowdown-slowdownSlack)*more*b.fleetLimiter.avgLatency {
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
	mean := float64(b.fleetLimiter.inFlight+1) / float64(len(b.readyHosts))
	from := b.cycle.search(op.keyHash)
	b.walkCount++
	near, pass := b.prefersOwnZone(op), 0
	if spread := b.hotKeySpread(op); spread > 1 {
		pass = int(b.rng.uniform() * spread)
	}
	var spill, doubt *Host
	left := len(b.readyHosts) // each host is judged once: where most are full its other points cost too much
	for i := 0; i < len(b.cycle.points) && left > 0; i++ {
		p := b.cycle.points[(from+i)%len(b.cycle.points)]
		h := b.cycle.hosts[p.hostIndex]
		if h.lastWalk == b.walkCount || int(p.ordinal) >= h.activePoints {
			continue
		}
		h.lastWalk = b.walkCount
		left--
		if h != op.failedHost && dedupAllows(op, h) && !b.isFull(op, h, mean) && b.hasColdBudget(h) {
			switch {
			case b.isConnLimited(h) || h.ejectTime >= baseEjectTime && b.probeTokens < 1: // where all are, the one that has waited longest
				if doubt == nil || h.connBackoffUntil < doubt.connBackoffUntil {
					doubt = h
				}
			case near && (h.Zone == b.Zone) != (op.failedHost == nil):
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

// hotKeySpread is over how many hosts a key's ops have to go so that none gets more than the bound allows of what
// this balancer sends. With more hosts than ops out the bound never binds, and a busy key would be one host's
// at all balancers. It counts recent ops, less the one that chance alone would bring.
func (b *Balancer) hotKeySpread(op *Op) float64 {
	if !b.AllowHedging {
		return 0
	}
	bound := boundFactor
	if b.avgBusy > 0 { // hosts tell how much more they can take
		bound = math.Max(bound, hotKeyBusyLimit/b.avgBusy)
	}
	return (b.keyCounts[op.keyHash%keyBuckets] - 1) / b.keyCountSum * float64(len(b.readyHosts)) / bound
}

// prefersOwnZone tells whether op keeps to its balancer's zone while a host there has room. From one that failed it, it
// goes to another zone's first host: there that zone's balancers keep the key.
func (b *Balancer) prefersOwnZone(op *Op) bool {
	return b.Zone >= 0 && b.ZoneCount > 1 && hashFraction(op.keyHash) >= b.crossZoneShare
}

// isConnLimited tells whether a host's table of connections was full lately, and none to it is free.
func (b *Balancer) isConnLimited(h *Host) bool {
	return b.now < h.connBackoffUntil && (!h.connOpen || h.inFlight > 0)
}

// firstPossibleRun is the first push of op that has run, may have, or may yet; nil where all provably never ran.
func (op *Op) firstPossibleRun() *Push {
	if i := slices.IndexFunc(op.pushes, func(p *Push) bool { return !p.neverRan }); i >= 0 {
		return op.pushes[i]
	}
	return nil
}

// dedupAllows tells whether a push of op to h keeps the promise on repeats.
func dedupAllows(op *Op, h *Host) bool {
	first := op.firstPossibleRun()
	if first == nil || op.Category.Repeat == Redeliverable {
		return true
	}
	group := op.Category.DedupScope
	return (group != DedupZone || h.Zone == first.Host.Zone) && (group != DedupCell || h.Cell == first.Host.Cell)
}

// mayRepeat tells whether op may run once more, a margin of time from now.
func (b *Balancer) mayRepeat(op *Op, margin float64) bool {
	first, c := op.firstPossibleRun(), op.Category
	return first == nil || c.Repeat == Redeliverable ||
		c.Repeat == Deduplicated && b.now < first.sentAt+c.DedupWindow-margin
}

// mayPush tells whether any further push of op is allowed now, a second copy where one is out.
func (b *Balancer) mayPush(op *Op) bool {
	return op.inFlight < 2 && (op.inFlight == 0 || b.AllowHedging) && len(op.pushes) < b.MaxPushes &&
		b.mayRepeat(op, b.settleMargin())
}

// mayNack tells whether the client may be told that a repeat is safe.
func (b *Balancer) mayNack(op *Op) bool {
	c := op.Category
	return b.mayRepeat(op, 0) && (c.Repeat != Deduplicated || c.DedupScope == DedupAllHosts || op.firstPossibleRun() == nil)
}

// OpArrived takes a new op.
func (b *Balancer) OpArrived(op *Op) {
	op.arrivedAt, op.keyHash = b.now, xxhash.Sum64String(op.Key)
	op.priority = op.Category.Benefit
	if !b.BenefitPerWork {
		op.priority /= op.Category.avgLatency
	}
	if t := op.Tenant; t != nil {
		t.tokens = math.Min(t.tokens+t.quotaShare*float64(b.ackedCount-t.ackedAtRefill), maxTenantTokens)
		t.ackedAtRefill = b.ackedCount
		if op.withinQuota = t.tokens >= 1; op.withinQuota { // it counts once acked; whoever is furthest behind comes first
			op.priority *= t.tokens
			t.tokens--
		} else {
			op.priority *= b.ExcessBenefit
		}
	}
	b.keyCounts[op.keyHash%keyBuckets]++
	b.keyCountSum++
	b.hedgeTokens = math.Min(b.hedgeTokens+hedgesPerOp, maxTokens)
	b.probeTokens = math.Min(b.probeTokens+probesPerOp, maxTokens)
	if b.DeadlineSkew > 0 { // the clocks may differ: a try has its target latency at the least
		op.Deadline = math.Max(op.Deadline, math.Min(op.Deadline+b.DeadlineSkew, b.now+op.Category.Target+b.settleMargin()))
	}
	op.flows[0] = &b.keyFlows[op.keyHash%keyBuckets]
	if op.Tenant != nil {
		op.flows[1] = &op.Tenant.flow
	}
	op.giveUpAt = b.settleBy(op)
	if op.giveUpAt <= b.now { // a last try with next to no time left could be lost between two looks
		b.giveUp(op)
		return
	}
	if op.Category.LateBenefit == 0 { // a late answer is worth nothing and costs others theirs
		op.giveUpAt = math.Min(op.giveUpAt, b.now+op.Category.Target)
	}
	op.giveUpTimer.op, op.pushes = op, op.pushBuf[:0]
	b.schedule(&b.opTimers, &op.giveUpTimer, op.giveUpAt)
	if !op.Category.Ordered || op.Key == "" {
		b.route(op)
		return
	}
	if op.keyQueue = b.keyQueues[op.Key]; op.keyQueue == nil {
		op.keyQueue = &keyQueue{}
		op.keyQueue.quietTimer.keyQueue = op.keyQueue
		b.keyQueues[op.Key] = op.keyQueue
	}
	if op.keyQueue.ops = append(op.keyQueue.ops, op); len(op.keyQueue.ops) == 1 { // else an earlier one sees to it
		b.startNext(op.keyQueue)
	}
}

// startNext sends the first of a key's ordered ops on its way, once all before it are over and the key rested.
func (b *Balancer) startNext(t *keyQueue) {
	switch {
	case len(t.ops) == 0 || t.ops[0].state != stateNew:
	case b.now < t.quietUntil:
		b.schedule(&b.opTimers, &t.quietTimer, t.quietUntil)
	default:
		b.route(t.ops[0])
	}
}

// leaveKeyQueue takes an op of which nothing more can come out of its key's line, and lets the next have its turn.
func (b *Balancer) leaveKeyQueue(op *Op) {
	t := op.keyQueue
	if t == nil || !op.IsDone() {
		return
	}
	op.keyQueue = nil
	t.ops = slices.DeleteFunc(t.ops, func(x *Op) bool { return x == op })
	if len(t.ops) == 0 && b.now >= t.quietUntil {
		delete(b.keyQueues, op.Key)
	}
	b.startNext(t)
}

// settleBy is when an op has to be settled, early enough for the next look to come before its TTL.
func (b *Balancer) settleBy(op *Op) float64 { return op.Deadline - b.settleMargin() }

func (b *Balancer) settleMargin() float64 { return tickInterval + settleMarginQuanta*b.Quantum }

// route sends an op on its ordinary way: writes of an aside fleet to the origin, all else to the cycle.
// While the key is being fetched a push could only miss, so the op waits. The last push is the origin's,
// as is the first where hosts are listed and none is ready: held, the op would only be late.
func (b *Balancer) route(op *Op) {
	switch f := b.fetches[op.Key]; {
	case !b.mayPush(op) || b.now+op.Category.avgLatency/2 > op.Deadline || b.isThrottled(op): // none allowed, or answered in time
		b.abandonPush(op)
	case b.CacheAside && op.IsWrite:
		b.enqueue(&b.originLimiter, op)
	case b.CacheAside && (f != nil || len(op.pushes) == b.MaxPushes-1 || len(b.readyHosts) == 0 && len(b.hosts) > 0):
		b.fetchOrWait(op)
	default:
		b.enqueue(&b.fleetLimiter, op)
	}
}

// isThrottled tells whether op is of a strand (a key or a tenant) whose ops come to nothing at hosts that serve
// others: a lock behind all hosts, slow readers, or they are at fault themselves. Such ops hold a few places
// together, so that they take none from others, and are not tried again elsewhere.
func (b *Balancer) isThrottled(op *Op) bool {
	room := math.Max(b.fleetLimiter.limit, 1)
	if b.ReplySlots > 0 {
		room = math.Min(room, float64(b.ReplySlots))
	}
	for _, s := range op.flows {
		if b.isFailing(s) && (len(op.pushes) > 0 || float64(s.inFlight) >= math.Max(room*failingFlowShare, 1)) {
			return true
		}
	}
	return false
}

// isFailing tells whether much more of a strand comes to nothing than of all ops.
func (b *Balancer) isFailing(s *flowStats) bool {
	return s != nil && s.failRate > b.allOps.failRate+flowFailMargin
}

// recordFlow notes what came of a push of op at a host that is in order as far as is known.
func (b *Balancer) recordFlow(op *Op, vain float64) {
	for _, s := range [...]*flowStats{op.flows[0], op.flows[1], &b.allOps} {
		if s != nil {
			s.failRate += (vain - s.failRate) * slowEWMAWeight
		}
	}
}

// fetchOrWait makes op fetch its key for all that want it, or wait for the fetch that is out.
func (b *Balancer) fetchOrWait(op *Op) {
	if f := b.fetches[op.Key]; f != nil {
		b.setState(op, stateQueued)
		f.waiters = append(f.waiters, op)
		f.priority += op.priority
		return
	}
	op.fetch = &fetch{priority: op.priority}
	b.fetches[op.Key] = op.fetch
	b.enqueue(&b.originLimiter, op)
}

// enqueue puts op in line at a gate.
func (b *Balancer) enqueue(g *limiter, op *Op) {
	if b.isShedByChance(g, op) {
		b.abandonPush(op)
		return
	}
	b.setState(op, stateQueued)
	g.queue = append(g.queue, op)
	b.armTimer(b.now + tickInterval)
	b.dispatch(g)
}

// dispatch lets out what a gate has room for, the best first, and sheds the worst, of equals the last, past that.
func (b *Balancer) dispatch(g *limiter) {
	g.queue = slices.DeleteFunc(g.queue, func(op *Op) bool { return op.state != stateQueued })
	for len(g.queue) > 0 && float64(g.inFlight) < math.Max(g.limit, 1) {
		op := slices.MaxFunc(g.queue, func(x, y *Op) int { return cmp.Compare(queuePriority(x), queuePriority(y)) })
		h := b.selectHost(g, op)
		if h == nil && op.failedHost == nil {
			break
		}
		g.remove(op)
		if h != nil {
			b.push(g, op, h)
		} else { // none but the host that failed it: it must not hold up the line behind it
			b.abandonPush(op)
		}
	}
	if g == &b.fleetLimiter && len(b.readyHosts) == 0 { // no list yet, or an empty one: hold while there is hope
		return
	}
	for float64(len(g.queue)) > math.Max(2, g.limit) {
		least := slices.MinFunc(g.queue, func(x, y *Op) int { return cmp.Or(cmp.Compare(queuePriority(x), queuePriority(y)), -1) })
		g.remove(least)
		b.abandonPush(least)
	}
}

// isShedByChance tells whether chance turns an op away. A limit under one is the part of ops that go out, and more
// of those of more worth: one out at each of some hundred balancers would keep a full origin full.
func (b *Balancer) isShedByChance(g *limiter, op *Op) bool {
	g.avgPriority += (queuePriority(op) - g.avgPriority) * fastEWMAWeight
	return g.limit < 1 && b.rng.uniform()*g.avgPriority >= g.limit*queuePriority(op)
}

// selectHost is the host that a gate's op goes to.
func (b *Balancer) selectHost(g *limiter, op *Op) *Host {
	if g == &b.fleetLimiter {
		return b.walk(op)
	}
	for _, h := range b.origins {
		if h.Status == Ready && b.now >= h.ejectedUntil && dedupAllows(op, h) {
			return h
		}
	}
	return nil
}

// abandonPush gives up a push that an op was to have: the op ends with it, unless another is out.
func (b *Balancer) abandonPush(op *Op) {
	if op.inFlight == 0 {
		b.giveUp(op)
		return
	}
	b.setState(op, statePushed)
	b.finishFetch(op, false)
}

func (b *Balancer) push(g *limiter, op *Op, h *Host) {
	b.setState(op, statePushed)
	p := &Push{Op: op, Host: h, SendBy: op.giveUpAt - op.Category.avgLatency/2, sentAt: b.now, limiter: g}
	if first := op.firstPossibleRun(); first != nil && op.Category.Repeat == Deduplicated {
		p.SendBy = math.Min(p.SendBy, first.sentAt+op.Category.DedupWindow-b.settleMargin())
	}
	p.checkTimer.push = p
	op.pushes = append(op.pushes, p)
	op.inFlight++
	op.addInFlight(1)
	h.inFlight++
	h.connOpen, h.connUnproven, h.lastPush = true, h.connUnproven || !h.connOpen, b.now
	g.inFlight++
	if h.ejectTime >= baseEjectTime {
		b.probeTokens = math.Max(b.probeTokens-1, 0)
	}
	c, limit := op.Category, op.Deadline-b.now
	usual, devs := c.latencyEWMA, checkDelayDevs
	switch {
	case h.IsOrigin:
		usual = g.latencyEWMA
	case b.warmth(h) < 1:
		h.coldBudget--
	}
	if b.AllowHedging {
		devs = hedgeDevs
	}
	patience := math.Max(usual.avgLatency+devs*usual.latencyDev, c.Target*minCheckDelayShare)
	switch {
	case b.AllowHedging && (h.IsOrigin || op.inFlight > 1): // one origin, and two pushes at most
	case b.AllowHedging:
		b.schedule(&b.pushTimers, &p.checkTimer, b.now+math.Min(patience, math.Max(c.avgLatency, c.Target-2*c.avgLatency)))
	case b.AllowCancel:
		b.schedule(&b.pushTimers, &p.checkTimer, b.now+patience)
	case c.Repeat == Redeliverable:
		limit = math.Min(limit, patience)
	}
	b.frontend.Push(p, limit)
}

// PushStarted takes word that a push had to wait here for so many ms, and whether a connection is made for it.
func (b *Balancer) PushStarted(p *Push, wait float64, made bool) { p.localWait, p.newConn = wait, made }

// checkSlowPush looks at a push that has been out for unusually long. A host that has answered others since
// is at work on a heavy op; one that has answered none is suspect, and the op tries its luck elsewhere.
func (b *Balancer) checkSlowPush(p *Push) {
	op := p.Op
	if b.AllowHedging {
		b.hedge(p)
		return
	}
	c := op.Category
	bound := c.Repeat == AtMostOnce || c.Repeat == Deduplicated && c.DedupScope != DedupAllHosts
	if bound || p.cancelled || len(op.pushes) >= b.MaxPushes || b.deferWhileSilent(p) || b.recheckOnce(p, recheckFactor) ||
		p.Host.IsOrigin && p.Host.newestAnsweredPush <= p.sentAt { // the one origin is at work on it all the same
		return
	}
	p.cancelled = true
	b.frontend.Cancel(p)
}

// recheckOnce leaves a push whose host has answered others for some first waits more, once.
func (b *Balancer) recheckOnce(p *Push, waits float64) bool {
	if p.rechecked || p.Host.lastAnswer <= p.sentAt {
		return false
	}
	p.rechecked = true
	b.schedule(&b.pushTimers, &p.checkTimer, b.now+waits*(b.now-p.sentAt))
	return true
}

// deferWhileSilent tells whether nobody has answered since a push was sent, though as many are out as would have half the
// hosts answer. A short while of that is the network's pause, or the machine's, and no host is better.
func (b *Balancer) deferWhileSilent(p *Push) bool {
	if b.lastAnswer > p.sentAt || b.now-p.sentAt > p.Op.Category.Target*fleetSilenceShare ||
		2*(b.fleetLimiter.inFlight-p.Host.inFlight) < len(b.readyHosts) {
		return false
	}
	b.schedule(&b.pushTimers, &p.checkTimer, b.now+recheckFactor*(b.now-p.sentAt))
	return true
}

// hedge sends a second copy of an op whose push has been out for unusually long, which stays: what comes first
// counts. A host that has answered nobody since is suspect. Copies are few: they crowd slow hosts.
func (b *Balancer) hedge(p *Push) {
	op, h := p.Op, p.Host
	if h.lastAnswer < p.sentAt {
		b.recordFailure(h, TimedOut, b.now-p.sentAt, failureWeight)
	}
	if b.recheckOnce(p, hedgeRecheckFactor) || op.state != statePushed || op.inFlight > 1 || b.hedgeTokens < 1 || !b.mayPush(op) {
		return
	}
	b.hedgeTokens--
	op.failedHost = h
	b.enqueue(&b.fleetLimiter, op)
}

// StreamingStarted takes word that the answer has begun to flow: TTL and time-outs are over, the host's work is
// done. A slow reader must hold no place there or at the gate, nor those who wait for the key.
func (b *Balancer) StreamingStarted(p *Push) {
	if op := p.Op; op.state < stateStreaming {
		op.streamingPush = p
		b.setState(op, stateStreaming)
		p.limiter.inFlight--
		p.Host.inFlight--
		b.recordOutcome(p, Served, b.now-p.sentAt)
		b.finishFetch(op, true)
		b.dispatch(p.limiter)
	}
}

// ClientLeft takes word that nobody waits for the op any more.
func (b *Balancer) ClientLeft(op *Op) {
	if op.state == stateSettled {
		return
	}
	b.setState(op, stateSettled)
	b.cancelPushes(op)
	b.finishFetch(op, false)
	b.leaveKeyQueue(op)
}

// cancelPushes cancels pushes whose answers nobody wants.
func (b *Balancer) cancelPushes(op *Op) {
	for _, p := range op.pushes {
		if !p.ended && b.AllowCancel && !p.cancelled {
			p.cancelled = true
			b.frontend.Cancel(p)
		}
	}
}

// PushEnded takes the outcome of a push, and its host's load report or nil. last: nothing more is owed for it.
func (b *Balancer) PushEnded(p *Push, o Outcome, spent float64, last bool, r *LoadReport) {
	op, h, g := p.Op, p.Host, p.limiter
	if p.ended {
		return
	}
	p.ended = true
	b.pushTimers.Stop(&p.checkTimer)
	p.neverRan = o == Overloaded || o == ConnLimited || o == ConnectFailed || o == NotSent || o == CacheMiss
	op.inFlight--
	op.addInFlight(-1)
	if op.keyQueue != nil && !p.neverRan && o != Served && o != Failed { // it may still run
		op.keyQueue.quietUntil = b.now + b.KeyQuietTime
	}
	switch {
	case op.streamingPush != p:
		h.inFlight--
		g.inFlight--
		b.recordOutcome(p, o, spent)
	case o != Served && o != Cancelled: // it broke midway
		b.recordFailure(h, o, spent, failureWeight)
	}
	if r != nil && r.Busy >= 0 && !h.IsOrigin {
		b.recordBusy(h, math.Min(r.Busy, 1))
	}
	wrong := o == InvalidOp || o == Failed && !h.IsOrigin
	known := wrong && !b.isSuspect(h)
	twice := known && op.errorHost != nil && op.errorHost != h // two agree: it is the op that is wrong
	// Or would: an error that is no host's own gets no second push then, nor do a few of hosts that turn bad.
	alone := known && op.errorHost == nil && b.errorRepeatRate > errorRepeatThreshold && b.rng.uniform() > errorRetryShare
	if wrong {
		op.errorHost = h
	}
	if twice || alone {
		b.recordFlow(op, 1)
	}
	if twice {
		b.errorRepeatRate += (1 - b.errorRepeatRate) * fastEWMAWeight
	}
	switch {
	case op.state == stateSettled:
	case last || op.streamingPush == p:
		if o == Served {
			b.ackedCount++
			op.acked = true
		}
		b.setState(op, stateSettled)
		b.finishFetch(op, o == Served)
	case op.state == stateStreaming || op.state == stateQueued: // bound to its other push, or that is on its way
	case o == CacheMiss && b.CacheAside && !h.IsOrigin && op.fetch == nil && b.mayPush(op):
		b.fetchOrWait(op)
	case op.inFlight > 0: // its other push may be answered yet
		if h.IsOrigin {
			b.finishFetch(op, false)
		}
	case twice || alone || b.now >= op.Deadline-tickInterval:
		b.giveUp(op)
	case o == Overloaded && !h.IsOrigin && b.isShedWhenFull(op):
		if b.originLimiter.congestion > b.originLimiter.congestionGoal || !b.CacheAside || !b.mayPush(op) {
			b.giveUp(op)
		} else {
			b.fetchOrWait(op)
		}
	case op.fetch != nil && b.mayPush(op): // the origin failed the fetch; its waiters wait on
		b.enqueue(g, op)
	// A good host, which may hold the key while others would miss; one with no room for a connection does not.
	case o == ConnLimited, !b.isSuspect(h) && (o == InvalidAnswer || o == StaleConn || o == Cancelled && h.lastAnswer > p.sentAt):
		b.route(op)
	default:
		op.failedHost = h
		b.route(op)
	}
	b.leaveKeyQueue(op)
	b.dispatch(g)
}

// recordBusy takes how busy a host says it is. Where those of the own zone are busier than the others keys walk
// the whole cycle: a zone may have more traffic than its hosts can carry.
func (b *Balancer) recordBusy(h *Host, busy float64) {
	b.avgBusy += (busy - b.avgBusy) * slowEWMAWeight
	if h.Zone != b.Zone {
		b.otherZonesBusy += (busy - b.otherZonesBusy) * mediumEWMAWeight
		return
	}
	b.ownZoneBusy += (busy - b.ownZoneBusy) * mediumEWMAWeight
	if b.ownZoneBusy > math.Max(b.otherZonesBusy+zoneBusyMargin, zoneBusyMin) {
		b.crossZoneShare = math.Min(1, b.crossZoneShare+crossZoneStep/2)
	}
}

// isShedWhenFull tells whether an op that a host had no room for is to walk no further. Where most hosts have none,
// walking on fills those that have, and few are served: a part makes way, more of those of less worth.
func (b *Balancer) isShedWhenFull(op *Op) bool {
	return b.avgBusy > fleetBusyThreshold && b.rng.uniform()*queuePriority(op) < (b.overloadedRate-overloadedThreshold)/overloadedThreshold*b.fleetLimiter.avgPriority
}

// recordOutcome takes from an outcome what it tells of host and gate.
func (b *Balancer) recordOutcome(p *Push, o Outcome, spent float64) {
	op, h, g := p.Op, p.Host, p.limiter
	c, bad, suspect, step := op.Category, false, b.isSuspect(h), failureWeight
	few := float64(b.GroupSize) <= smallGroupSize // each knows its own part of hits and of full hosts
	// Pushes turned away are not counted: of a full fleet's they are half, and no measure of what it can do.
	if (o == Served || o == CacheMiss) && !h.IsOrigin && b.warmth(h) == 1 {
		b.warmAnswers++
	}
	if h.connUnproven && (o == Served || o == CacheMiss) {
		h.connUnproven, h.connBackoff = false, 0
		b.idleTimeout = math.Min(b.idleTimeout*idleTimeoutIncrease, b.ConnIdleTimeout)
		if b.crossZoneCheap {
			b.crossZoneShare = math.Min(1, b.crossZoneShare+crossZoneDecay)
		}
	}
	if g == &b.fleetLimiter && len(op.pushes) > 1 && (o == Served || o == CacheMiss || o == Overloaded) {
		b.overloadedRate -= b.overloadedRate * slowEWMAWeight
		if o == Overloaded {
			b.overloadedRate += slowEWMAWeight
		}
	}
	switch late := spent > c.Target; {
	case o == Served && !late:
		b.recordFlow(op, 0)
	case o == Served || (o == TimedOut || o == Cancelled) && h.lastAnswer > p.sentAt && !op.acked:
		if b.recordFlow(op, 1); slices.ContainsFunc(op.flows[:], b.isFailing) { // that says nothing of the host
			return
		}
	}
	switch o {
	case Served:
		seen := max(spent, b.Quantum, tickInterval/100) // less than a round can't be told: below it all are alike
		switch {
		case p.newConn:
			b.connSetup.observe(math.Max(spent-c.avgLatency, 0))
		case g == &b.fleetLimiter:
			b.recordSlowdown(h, seen/c.avgLatency)
			c.observe(seen)
		}
		g.observe(seen)
		h.lastAnswer, b.lastAnswer, h.newestAnsweredPush = b.now, b.now, math.Max(h.newestAnsweredPush, p.sentAt)
		if !b.crossZoneCheap {
			b.crossZoneShare -= b.crossZoneShare * crossZoneDecay
		}
	case CacheMiss:
		h.lastAnswer, b.lastAnswer = b.now, b.now
	case Failed: // the op may be at fault: another host has to serve it first
		bad = h.IsOrigin || !b.mayPush(op)
	case ConnBroken:
		bad = true
	case InvalidAnswer, StaleConn: // any host closes idle connections, or is at work where it answers: their share tells
		if bad, step = true, fastEWMAWeight; o == InvalidAnswer {
			h.lastAnswer = b.now
		}
	case ConnectFailed:
		b.noteHostDown(h)
		bad, h.connOpen, h.connUnproven = true, false, false
		if !h.IsOrigin {
			b.idleTimeout = math.Max(b.idleTimeout*idleTimeoutDecrease, tickInterval)
		}
	case ConnLimited: // of many balancers most are turned away: asked at fewer hosts, a key meets the same connections
		h.connOpen, h.connUnproven = h.connOpen && !h.connUnproven, false
		h.connBackoff = math.Min(math.Max(h.connBackoff*2, baseConnBackoff), maxConnBackoff)
		h.connBackoffUntil = b.now + h.connBackoff*(0.5+b.rng.uniform())
		b.crossZoneShare = math.Max(0, b.crossZoneShare-crossZoneStep)
	case Overloaded: // a host that others fill is no bad host; the op walks on
		if bad = h.IsOrigin; !bad && !few {
			b.recordSlowdown(h, overloadedSlowdown)
		}
	case TimedOut, Cancelled:
		bad = h.lastAnswer < p.sentAt
		switch known := g == &b.fleetLimiter && spent > c.avgLatency && !suspect; { // else only the quick would count as usual
		case known && p.newConn:
			b.connSetup.observe(spent - c.avgLatency)
		case known:
			c.observe(spent)
		}
	}
	if (o == Served || o == CacheMiss) && op.errorHost != nil { // another host takes the op: it is not the one to blame
		b.recordFailure(op.errorHost, o, spent, failureWeight)
		b.errorRepeatRate -= b.errorRepeatRate * fastEWMAWeight
		op.errorHost = nil
	}
	switch {
	case o == NotSent || o == Cancelled && op.state == stateSettled:
	case bad:
		b.recordFailure(h, o, spent, step)
	case o == Served || o == CacheMiss:
		if h.ejectTime >= baseEjectTime { // it is well again: that cost nothing
			b.probeTokens++
		}
		h.failRate -= h.failRate * fastEWMAWeight
		if !b.isSuspect(h) {
			h.ejectTime = 0
		}
	}
	// A gate that narrowed for hosts already known as silent would shut out what the others could serve.
	if o == CacheMiss && (few || b.originLimiter.limit < originMinInitialLimit) || o == NotSent || o == InvalidAnswer || o == StaleConn ||
		o == InvalidOp || o == ConnBroken || o == ConnLimited ||
		!h.IsOrigin && (o == ConnectFailed || o == Overloaded || o == Failed || suspect) {
		return
	}
	pain, cut := spent/c.Target, limitDecrease
	if op.IsWrite { // it comes on top of no miss: what is usual for it would shut the origin's gate
		pain *= originCongestionGoal / fleetCongestionGoal
	}
	g.lastOutcome = b.now
	switch {
	case o == Served || o == CacheMiss:
	// Its connection is dead or the op is heavy, as the host answers others; or the client went away first.
	case (o == TimedOut || o == Cancelled) && h.lastAnswer > p.sentAt,
		o == Cancelled && op.state == stateSettled && pain < g.congestionGoal:
		return
	default:
		pain = math.Max(pain, 2*g.congestionGoal)
		if h.IsOrigin && b.now-h.lastAnswer > c.Target { // it stands full: what waits there for long comes to nothing
			pain, cut = math.Max(pain, originFullCongestion), originFullDecrease
		}
	}
	if g == &b.originLimiter && pain > g.congestionGoal && !b.crossZoneCheap {
		b.crossZoneShare = math.Min(1, b.crossZoneShare+crossZoneStep)
	}
	if step = g.congestionWeight; g.limit < 1 { // of few outcomes each tells more
		step = fewOutcomesWeight
	}
	g.congestion += (pain - g.congestion) * step
	switch {
	// Timely answers do not narrow it: a heavy op, smoothed over for long, would be paid for with each of them.
	case g.congestion > g.congestionGoal && pain > g.congestionGoal && b.now >= g.nextDecrease:
		least := g.minLimit
		if g.congestion <= randomShedCongestion {
			least = math.Max(least, 1)
		}
		g.limit = math.Max(math.Min(g.limit, least), math.Min(g.limit, float64(g.inFlight+1))*cut)
		g.nextDecrease = b.now + limitDecreaseInterval
	case g.congestion < minCheckDelayShare && float64(g.inFlight+1) > g.limit/2: // there is no queue
		g.limit++
	case g.congestion < g.congestionGoal && float64(g.inFlight+1) > g.limit/2:
		g.limit += math.Min(1/g.limit, g.limit) // from next to none it doubles
	}
}

// recordFailure counts a failure against a host, and takes it off the walk for a while once it is suspect.
func (b *Balancer) recordFailure(h *Host, o Outcome, spent, step float64) {
	h.failRate += (1 - h.failRate) * step
	if !b.isSuspect(h) || b.now < h.ejectedUntil || h.IsOrigin && o != Overloaded {
		return
	}
	h.ejectTime = math.Min(math.Max(h.ejectTime*2, baseEjectTime), maxEjectTime)
	if o == ConnectFailed { // the host may just be full of connections, and a quick try costs little
		h.ejectTime = math.Min(h.ejectTime, ejectConnectMultiple*spent)
	}
	if h.IsOrigin {
		h.ejectTime = limitDecreaseInterval
	}
	h.ejectedUntil = b.now + h.ejectTime
	b.countEjected()
}

// recordSlowdown takes the latency of a push, in usual ones, as a sign of how crowded its host is.
func (b *Balancer) recordSlowdown(h *Host, ratio float64) {
	h.slowdown += (ratio - h.slowdown) * fastEWMAWeight
	b.avgSlowdown += (ratio - b.avgSlowdown) * slowEWMAWeight
}

// finishFetch ends the fetch that op led. Those that waited go on; after a failure the first that may fetches.
func (b *Balancer) finishFetch(op *Op, served bool) {
	f := op.fetch
	if f == nil {
		return
	}
	op.fetch = nil
	delete(b.fetches, op.Key)
	waiters := slices.DeleteFunc(f.waiters, func(w *Op) bool { return w.state != stateQueued })
	if !served { // passed on whole: one by one the waiters would weigh too little to hold a place in line
		for len(waiters) > 0 {
			next := waiters[0]
			waiters = waiters[1:]
			if !b.mayPush(next) {
				b.abandonPush(next)
				continue
			}
			next.fetch = &fetch{waiters: waiters, priority: f.priority - op.priority}
			b.fetches[op.Key] = next.fetch
			b.enqueue(&b.originLimiter, next)
			return
		}
	}
	for _, w := range waiters {
		b.route(w)
	}
}

// giveUp settles an op unserved, at once: with a nack where a repeat is safe, else a dead letter.
func (b *Balancer) giveUp(op *Op) {
	if op.state == stateSettled {
		return
	}
	nack := b.mayNack(op)
	b.setState(op, stateSettled)
	if nack { // the client is to come back after the time a line takes to clear, spread
		b.frontend.Nack(op, b.backoff(op.Category.Target))
	} else {
		b.frontend.DeadLetter(op)
	}
	b.cancelPushes(op)
	b.finishFetch(op, false)
	b.leaveKeyQueue(op)
}

func (b *Balancer) backoff(target float64) float64 {
	return math.Min(b.MaxBackoff, target/2*(1+b.rng.uniform()))
}

// setState is the one place where an op changes state. A settled op stays settled.
func (b *Balancer) setState(op *Op, to opState) {
	if op.state == stateSettled || op.state == stateStreaming && to != stateSettled {
		return
	}
	if op.state = to; to >= stateStreaming {
		b.opTimers.Stop(&op.giveUpTimer)
	}
	if to == stateSettled && op.withinQuota && !op.acked {
		op.Tenant.tokens++
	}
}
