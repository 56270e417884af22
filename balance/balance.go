// Package balance holds every decision of the balancer: which host an op goes to, when it is pushed again,
// queued, nacked or dead-lettered, how hosts are judged, and how many pushes may be in flight.
//
// Each instance makes one Balancer with New. Before each round of input, its frontend calls Advance with the
// time, and then one method per event: HostsListed, HostListFailed, OpArrived, PushStarted, StreamingStarted,
// PushEnded, ClientLeft and TimerFired. The Balancer acts by calling the Frontend, from within those calls
// only. It is not safe for concurrent use. Times and latencies are in ms.
package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Consistent hashing with bounded loads, and periodic work.
	pointsPerHost = 100   // points on the cycle of a host of usual size; shares differ by about a tenth
	boundFactor   = 1.5   // 1+ε
	boundFloor    = 2     // pushes; least bound
	sweepInterval = 100.0 // ms between two sweeps over all hosts
	tickInterval  = 10.0  // ms, period of the timer while ops are queued, and part of each margin

	// Weights of a new sample in smoothed values.
	slowEWMAWeight   = 0.05 // about 20 samples
	mediumEWMAWeight = 0.1  // about 10 samples
	fastEWMAWeight   = 0.2  // about 5 samples

	// Outlier detection and ejection.
	suspectThreshold     = 0.25   // failure rate above which a host is suspect: one failure is enough
	failureWeight        = 0.3    // EWMA weight of a failure; just above suspectThreshold
	baseEjectTime        = 250.0  // ms, a first ejection; about as long as a short stall
	maxEjectTime         = 4000.0 // ms
	ejectConnectMultiple = 20.0   // longest ejection after a failed connect, in multiples of its duration
	maxEjectedShare      = 0.8    // share of hosts ejected above which ejections are ignored
	probesPerOp          = 0.01   // ops that may probe a suspect host, per op; other balancers probe it too
	maxTokens            = 3.0    // burst of probes, and of hedges

	// Slow hosts.
	smallGroupSize     = 3.0  // balancers; in a larger group, each sees too little of a host's load itself
	overloadedSlowdown = 4.0  // slowdown that an Overloaded outcome counts as
	slowdownGain       = 2.0  // how strongly excess slowdown moves keys away from a host
	slowdownSlack      = 0.25 // slowdown above the fleet's average that chance explains

	// Load shedding in a full fleet.
	fleetBusyThreshold  = 0.85 // share of all hosts' core time in use above which the fleet counts as full
	overloadedThreshold = 0.25 // overloadedRate at which ops start to be shed; at twice that all are

	// Bounds without a floor, after a host in use went down: the floor may have overloaded it.
	noFloorTime = 60000.0 // ms
	inUseTime   = 15000.0 // ms since its last answer for which a host counts as in use; lists can be that late

	// Share of the keys that ignore zones.
	zoneBusyMargin = 0.1  // by how much busier than others the own zone's hosts must be for it to grow
	zoneBusyMin    = 0.6  // how busy the own zone's hosts must be for it to grow
	crossZoneStep  = 0.1  // change by a late fetch (up) or a reached connection limit (down)
	crossZoneDecay = 0.01 // change by an answer

	// Hedging.
	hedgeDevs          = 3.0 // mean deviations above the usual latency after which an op is hedged
	hedgeRecheckFactor = 0.5 // recheckFactor for hedges
	hedgesPerOp        = 0.1 // hedges allowed per op, to bound the extra load on a slow fleet

	// Isolation of failing flows.
	flowFailMargin   = 0.4 // by how much a flow's failure rate must exceed that of all ops
	failingFlowShare = 0.1 // share of the fleet's limit, or of the reply slots, that a failing flow may use

	// Errors that are the op's fault.
	errorRepeatThreshold = 0.8 // errorRepeatRate above which an op is not retried after a first error
	errorRetryShare      = 0.1 // share of ops that are retried all the same, to notice when that changes

	// Hot keys.
	keyBuckets       = 1024   // of ops counted by key
	hotKeyBusyLimit  = 0.9    // share of its core time that a hot key's host may use, where hosts report it
	keyCountHalfLife = 5000.0 // ms after which the counts are halved

	// Checks of pushes that are late.
	recheckFactor      = 1.0  // wait for a second check, in multiples of the time that the push is out
	checkDelayDevs     = 5.0  // mean deviations above the usual latency after which a push is checked
	fleetSilenceShare  = 0.1  // share of the target for which a push is left alone while all hosts are silent
	minCheckDelayShare = 0.02 // share of the target; cancelling earlier costs a connection for little gain

	// Admission control, by how long input waits in this process.
	inputWaitShare    = 0.2        // share of the shortest target that input may wait; answers may wait as long
	minInputWaitShare = 1.0 / 16   // of maxInputWait; shorter waits count as this
	maxAdmitFactor    = 2.0        // by which admitShare changes at most at once
	minAdmitShare     = 1.0 / 1024 // least share of ops admitted

	// Concurrency limits. "Of all balancers" values are divided by the number of balancers.
	fleetCongestionGoal   = 0.5     // latency over target above which the fleet's limit is decreased
	originCongestionGoal  = 0.3     // the same for the origin, whose latency adds to that of a miss
	limitDecrease         = 0.85    // factor
	fewOutcomesWeight     = 0.5     // EWMA weight at limits below 1, where outcomes are rare
	originFullDecrease    = 0.5     // factor while the origin has answered nobody for a target
	originFullCongestion  = 2.0     // congestion that a fetch counts as then
	limitDecreaseInterval = 100.0   // ms between two decreases, so that the first can take effect
	randomShedCongestion  = 0.5     // congestion above which a limit may fall below 1
	limitRecoveryTime     = 14000.0 // ms in which a limit without outcomes rises from 0 to 1
	fleetMinPerHost       = 2.0     // least limit of all balancers, in pushes per host
	fleetInitialPerHost   = 16.0    // initial limit of all balancers, in pushes per host
	originInitialPerHost  = 1.5     // initial limit of all balancers, in fetches per host
	originMinInitialLimit = 4.0     // fetches of this balancer, at the least
	originSilenceTime     = 200.0   // ms without an outcome after which the origin's limit rises by itself
	originMinLimit        = 2.0     // fetches of all balancers

	// Slow start.
	coldBudgetShare = 0.5    // of a cold host's crashing load; two full budgets can fall into one OverloadTime
	pushRateWindow  = 2000.0 // ms over which pushRate is averaged

	// Idle connections.
	idleTimeoutDecrease = 0.8 // factor after a failed connect
	idleTimeoutIncrease = 1.2 // factor after a successful one: balances out at about four failures in ten

	// Backoff from hosts whose connection limit is reached.
	baseConnBackoff = 1000.0 // ms
	maxConnBackoff  = 8000.0 // ms

	// Subscription to the host list.
	listRetryDelay  = 500.0  // ms, first wait after a failed call, plus jitter of as much; doubled once
	listTimeout     = 3000.0 // ms after which an unanswered call counts as failed
	listRetryWindow = 4500.0 // ms within which the next call follows a failed one

	settleMarginQuanta = 2.0 // quanta before its TTL at which an op is settled, in addition to one tick
	maxTenantTokens    = 8.0 // ops that a tenant may be ahead of its share, to absorb bursts
)

// Balancer makes the decisions of one instance.
type Balancer struct {
	Config
	frontend Frontend
	now      float64 // ms
	rng      pcg

	hosts      []*Host // listed cache hosts, by name
	readyHosts []*Host // those that are usable
	cycle      cycle
	coldUntil  float64 // ms, when the last of them is warm
	// Size of a host with pointsPerHost points, and the sum of readyHosts' sizes.
	sizeUnit, totalSize   float64
	origins               []*Host
	walkCount, ackedCount int
	// Smoothed shares of core time in use, as hosts report them: of all hosts, of the own zone's, of others.
	avgBusy, ownZoneBusy, otherZonesBusy float64
	overloadedRate                       float64 // smoothed share of Overloaded among second and later pushes
	// Recent ops by key, their sum, and the time in ms when both were last halved.
	keyCounts                      [keyBuckets]float64
	keyCountSum, keyCountsHalvedAt float64
	hedgeTokens                    float64 // hedges that may be sent
	probeTokens                    float64 // probes that may be sent to suspect hosts while others have room
	crossZoneShare                 float64 // share of the keys that ignore zones
	crossZoneCheap                 bool    // crossing zones costs no more than a fetch
	// Time of the last answer, and until when the bound has no floor, in ms.
	lastAnswer, noFloorUntil float64
	failRates                []float64 // of readyHosts at the last sweep, sorted
	// Failure rate of the median host, and the smoothed share of errors that a second host confirms.
	medianFailRate, errorRepeatRate float64
	// Ready hosts that are ejected, and answers of warm hosts since the last sweep.
	ejectedCount, warmAnswers int
	pushRate                  float64 // answered pushes per ms and unit of warm size
	// When the timer fires next, and time of the last sweep, in ms.
	timerAt, lastSweep          float64
	fetches                     map[string]*fetch    // by key
	keyQueues                   map[string]*keyQueue // of ordered ops, by key
	keyFlows                    [keyBuckets]flowStats
	allOps                      flowStats
	fleetLimiter, originLimiter limiter // of pushes to cache hosts, and to the origin
	// Share of new ops admitted, and how long input waits, as a share of maxInputWait.
	admitShare, inputWait float64
	// How long input may wait, and when admitShare was last adjusted, in ms.
	maxInputWait, admitAdjustedAt float64
	coldHostsYielded              bool   // another process pushes to the cold hosts
	opTimers, pushTimers          timers // of ops and key queues, and of pushes
	avgSlowdown                   float64
	connSetup                     latencyEWMA // latency added by making a connection
	idleTimeout                   float64     // ms for which an idle connection is kept
	listPending                   bool        // a call for the host list is unanswered
	// Time of that call or of the next, and the wait after the next failure, in ms.
	listCallAt, listRetryWait float64
}

// New makes the Balancer of one instance at time now.
func New(config Config, frontend Frontend, now float64) *Balancer {
	b := &Balancer{Config: config, frontend: frontend, now: now, rng: pcg(config.Seed), lastSweep: now,
		fetches: map[string]*fetch{}, keyQueues: map[string]*keyQueue{}, listRetryWait: listRetryDelay,
		avgSlowdown: 1, idleTimeout: config.ConnIdleTimeout, otherZonesBusy: 1, hedgeTokens: maxTokens,
		probeTokens: maxTokens, timerAt: math.Inf(1), maxInputWait: math.Inf(1), admitShare: 1}
	if b.crossZoneCheap = b.CrossZoneCost*(1-1/float64(max(b.ZoneCount, 1))) <= b.FetchCost; b.crossZoneCheap {
		b.crossZoneShare = 1
	}
	b.rng.uniform() // the first numbers of similar seeds are similar
	b.fleetLimiter = limiter{congestionGoal: fleetCongestionGoal, congestionWeight: fastEWMAWeight,
		limit: math.Inf(1)}
	b.originLimiter = limiter{congestionGoal: originCongestionGoal, congestionWeight: mediumEWMAWeight,
		congestion: originCongestionGoal / 2, minLimit: originMinLimit / float64(config.GroupSize),
		limit: math.Inf(1)}
	for _, c := range config.Categories {
		c.avgLatency, c.latencyDev = c.Target/4, c.Target/8
		b.maxInputWait = math.Max(math.Min(b.maxInputWait, c.Target*inputWaitShare), 2*b.Quantum)
		b.originLimiter.avgLatency, b.originLimiter.latencyDev =
			max(b.originLimiter.avgLatency, c.avgLatency), max(b.originLimiter.latencyDev, c.latencyDev)
		b.fleetLimiter.avgLatency = b.originLimiter.avgLatency
	}
	quotas := 0.0
	for _, t := range config.Tenants {
		quotas += t.Quota
	}
	for _, t := range config.Tenants {
		t.tokens, t.quotaShare = maxTenantTokens, t.Quota/math.Max(quotas, 1)
	}
	if config.ListOnRequest {
		b.subscribe()
	}
	b.armTimer(now + tickInterval)
	return b
}

// Advance sets the time, in ms, and settles the ops that are due.
func (b *Balancer) Advance(now float64) {
	b.now = now
	for t, ok := b.opTimers.PopDue(now); ok; t, ok = b.opTimers.PopDue(now) {
		switch op := t.op; {
		case op == nil: // a key queue's quiet time is over
			b.startNext(t.keyQueue)
		case op.fetch != nil && op.inFlight > 0 && b.now < b.settleBy(op):
			// Too late for this op, but the ops that wait for its fetch can use the result.
			b.schedule(&b.opTimers, t, b.settleBy(op))
		default:
			b.giveUp(op)
		}
	}
}

// ReportInputWait tells how many ms the input of this round may have waited. When it waits longer than
// maxInputWait, this process is overloaded, and Admit accepts a smaller share of the ops, so that those still
// meet their targets.
func (b *Balancer) ReportInputWait(wait float64) {
	if b.now < b.admitAdjustedAt+b.maxInputWait/2 {
		return
	}
	last, current := b.inputWait, math.Max(wait/b.maxInputWait, minInputWaitShare)
	b.inputWait, b.admitAdjustedAt = current, b.now
	if current > 1 || b.admitShare < 1 { // by the trend of the wait and by its length
		factor := math.Sqrt(last / current / math.Sqrt(current))
		b.admitShare = clamp(b.admitShare*clamp(factor, 1/maxAdmitFactor, maxAdmitFactor), minAdmitShare, 1)
	}
}

// Admit tells, at random, whether this process has the capacity for one more op. An op that is not admitted
// is to be nacked, without parsing it where possible; it may be repeated after backoff ms.
func (b *Balancer) Admit() (admitted bool, backoff float64) {
	if b.admitShare == 1 || b.rng.uniform() < b.admitShare {
		return true, 0
	}
	return false, b.backoff(b.maxInputWait / inputWaitShare)
}

// StopAdmitting makes Admit refuse all further ops, as the process ends before one could be settled.
func (b *Balancer) StopAdmitting() { b.admitShare, b.admitAdjustedAt = 0, math.Inf(1) }

// schedule sets t in queue to a time in ms.
func (b *Balancer) schedule(queue *timers, t *timer, at float64) {
	queue.Set(t, at)
	b.armTimer(at)
}

// TimerFired does the periodic work after Frontend.SetTimer: checks late pushes, sweeps the hosts, subscribes
// to the host list again, and dispatches queued ops.
func (b *Balancer) TimerFired() {
	if b.now < b.timerAt-tickInterval/10 { // superseded by an earlier timer
		return
	}
	// Pushes are checked after all input of the round, which may hold their answers.
	for t, ok := b.pushTimers.PopDue(b.now); ok; t, ok = b.pushTimers.PopDue(b.now) {
		switch p := t.push; {
		case p.localWait > 0:
			if p.newConn {
				p.localWait += b.connSetup.avgLatency + checkDelayDevs*b.connSetup.latencyDev
			}
			b.schedule(&b.pushTimers, t, t.DueAt()+p.localWait)
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
	for _, lim := range []*limiter{&b.fleetLimiter, &b.originLimiter} {
		for _, op := range slices.Clone(lim.queue) { // abandon those that can no longer meet their target
			if op.state == stateQueued &&
				b.now+op.Category.avgLatency+op.Category.latencyDev > op.arrivedAt+op.Category.Target {
				b.abandonPush(op)
			}
		}
		b.dispatch(lim)
	}
	next := min(b.lastSweep+sweepInterval, b.opTimers.NextDue(), b.pushTimers.NextDue())
	if len(b.fleetLimiter.queue)+len(b.originLimiter.queue) > 0 {
		next = math.Min(next, b.now+tickInterval)
	}
	b.timerAt = math.Inf(1)
	b.armTimer(math.Max(next, b.now+tickInterval/10))
}

// armTimer makes the timer fire at the given time, in ms, unless it fires earlier.
func (b *Balancer) armTimer(at float64) {
	if at < b.timerAt {
		b.timerAt = at
		b.frontend.SetTimer(math.Max(at-b.now, 0))
	}
}

// sweep updates what depends on all hosts: warm-up, push rate, hot keys, failure rates and idle connections.
// span is the time since the last sweep, in ms.
func (b *Balancer) sweep(span float64) {
	b.lastSweep = b.now
	warmSize := b.totalSize
	if b.now < b.coldUntil+sweepInterval {
		for _, h := range b.readyHosts {
			if b.warmth(h) < 1 {
				warmSize -= h.Size
			}
			b.activatePoints(h)
		}
	}
	if warmSize > 0 {
		b.pushRate += (float64(b.warmAnswers)/span/warmSize - b.pushRate) * math.Min(1, span/pushRateWindow)
	}
	b.warmAnswers = 0
	if b.now-b.keyCountsHalvedAt > keyCountHalfLife {
		b.keyCountsHalvedAt = b.now
		b.keyCountSum /= 2
		for i := range b.keyCounts {
			b.keyCounts[i] /= 2
		}
		maps.DeleteFunc(b.keyQueues, func(_ string, q *keyQueue) bool {
			return len(q.ops) == 0 && b.now >= q.quietUntil
		})
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
	// Without fetches no outcome would show that the origin has recovered.
	if b.originLimiter.limit < 1 && b.now-b.originLimiter.lastOutcome > originSilenceTime {
		b.originLimiter.limit += span / limitRecoveryTime
	}
}

// closeIdleConns closes connections that were idle for longer than idleTimeout. Hosts accept a limited number
// of connections; idle ones would keep other balancers out.
func (b *Balancer) closeIdleConns() {
	for _, h := range b.readyHosts {
		if h.connOpen && h.inFlight == 0 && b.now-h.lastPush > b.idleTimeout {
			h.connOpen = false
			b.frontend.CloseIdleConns(h)
		}
	}
}

// subscribe subscribes to the host list.
func (b *Balancer) subscribe() {
	b.listPending, b.listCallAt = true, b.now
	b.frontend.SubscribeHostList()
}

// HostListFailed tells that a call for the host list failed or the subscription ended. The next call follows
// after a jittered wait, which is short enough to meet listRetryWindow.
func (b *Balancer) HostListFailed() {
	left := listRetryWindow
	if b.listPending {
		left -= b.now - b.listCallAt
	}
	b.listPending, b.listCallAt = false, b.now+math.Min(b.listRetryWait, left/2)*(1+b.rng.uniform())
	b.listRetryWait = math.Min(b.listRetryWait*2, listRetryDelay*2)
}

// HostListMoved tells that the host list has another source now, or that the subscription is silent. The
// Balancer subscribes again at once.
func (b *Balancer) HostListMoved() {
	if b.ListOnRequest {
		b.listRetryWait = listRetryDelay
		b.subscribe()
	}
}

// HostsListed takes a host list: a complete one, or changes to the last one. One that was saved earlier
// (saved) does not answer a pending call.
func (b *Balancer) HostsListed(entries []HostEntry, complete, saved bool) {
	if !saved {
		b.listPending, b.listCallAt, b.listRetryWait = false, math.Inf(1), listRetryDelay
	}
	if complete {
		for _, h := range slices.Concat(b.hosts, b.origins) {
			h.Status = Gone
		}
	}
	for _, e := range entries {
		h, hosts := e.Host, &b.hosts
		if h.IsOrigin {
			hosts = &b.origins
		}
		// Another UpSince means a restarted host. Where clocks differ, it may also be an earlier one.
		if e.UpSince > h.UpSince || b.UpSinceSkew > 0 && e.UpSince != h.UpSince {
			b.noteHostDown(h)
			h.connOpen, h.connUnproven, h.coldBudget, h.coldBudgetSince = false, false, 0, 0
			h.resetHealth()
		}
		h.Listing = e.Listing
		if !slices.Contains(*hosts, h) {
			*hosts = append(*hosts, h)
		}
	}
	b.rebuildCycle()
}

// SetBanned takes a cache host out of use by an operator's order, or puts it back, whatever the list says. It
// resets the host's health, but not its cold budget, which a short ban would refill.
func (b *Balancer) SetBanned(h *Host, banned bool) {
	h.Banned = banned
	h.resetHealth()
	b.rebuildCycle()
}

// noteHostDown removes the floor of the bound for a while if h was in use: it may have gone down because the
// floors of all balancers together overloaded it.
func (b *Balancer) noteHostDown(h *Host) {
	if !h.IsOrigin && h.lastAnswer > 0 && b.now-h.lastAnswer < inUseTime {
		b.noFloorUntil = b.now + noFloorTime
	}
}

// rebuildCycle puts the usable hosts on the cycle, at points that depend on a host's name and size alone, and
// adapts the limits to their number.
func (b *Balancer) rebuildCycle() {
	isGone := func(h *Host) bool { return h.Status == Gone }
	all := slices.Clone(b.hosts)
	b.hosts = slices.DeleteFunc(b.hosts, isGone)
	b.origins = slices.DeleteFunc(b.origins, isGone)
	slices.SortFunc(b.hosts, func(x, y *Host) int { return cmp.Compare(x.Name, y.Name) })
	b.readyHosts, b.totalSize = b.readyHosts[:0], 0
	for _, h := range b.hosts {
		if h.Usable() {
			b.readyHosts = append(b.readyHosts, h)
			b.totalSize += h.Size
		}
	}
	if b.sizeUnit == 0 && len(b.readyHosts) > 0 {
		// The mean size, rounded to a power of two: the same at balancers whose lists differ slightly.
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
	hostsPerBalancer := float64(len(b.readyHosts)) / float64(b.GroupSize)
	b.fleetLimiter.minLimit = fleetMinPerHost * hostsPerBalancer
	if math.IsInf(b.fleetLimiter.limit, 1) { // the first list
		// Hosts may not hold a connection from each of so many balancers. Where crossing zones is expensive,
		// keys start in the own zone; recordOutcome raises the share as new connections succeed.
		if b.GroupSize > len(b.readyHosts) && b.CrossZoneCost >= b.FetchCost {
			b.crossZoneShare = 0
		}
		b.originLimiter.limit = math.Max(originInitialPerHost*hostsPerBalancer, originMinInitialLimit)
		b.fleetLimiter.limit = math.Max(1, fleetInitialPerHost*hostsPerBalancer)
	}
	b.fleetLimiter.limit = math.Max(b.fleetLimiter.limit, b.fleetLimiter.minLimit)
	b.countEjected()
	b.dispatch(&b.fleetLimiter)
}

// activatePoints activates the share of a host's points on the cycle that matches its warmth.
func (b *Balancer) activatePoints(h *Host) {
	h.activePoints = int(math.Ceil(float64(len(h.pointHashes)) * b.warmth(h)))
}

// warmth returns the share of its capacity that a host has at the least, from ColdCapacity to 1.
func (b *Balancer) warmth(h *Host) float64 {
	age := b.now - h.UpSince - b.UpSinceSkew
	if h.UpSince <= 0 || age >= b.WarmupTime {
		return 1
	}
	return b.ColdCapacity + (1-b.ColdCapacity)*math.Max(age, 0)/b.WarmupTime
}

// hasColdBudget tells whether a host is warm or has budget left for a push. The budget of a cold host for a
// window of OverloadTime follows from what warm hosts of its size get from this balancer, so that the budgets
// of all balancers add up. Budgets below one push are granted at random, or all balancers would push at once.
func (b *Balancer) hasColdBudget(h *Host) bool {
	warmth := b.warmth(h)
	if warmth >= 1 || b.coldHostsYielded {
		return warmth >= 1
	}
	if b.now-h.coldBudgetSince >= b.OverloadTime {
		// A host can always serve one op after another. Without that minimum, a fleet without warm hosts
		// would never be pushed to.
		slowest := slices.MaxFunc(b.Categories, func(x, y *Category) int {
			return cmp.Compare(x.avgLatency, y.avgLatency)
		})
		rate := math.Max(b.pushRate*h.Size,
			1/(math.Max(slowest.avgLatency, tickInterval)*float64(b.GroupSize)))
		h.coldBudgetSince = b.now
		h.coldBudget = math.Floor(
			rate*b.OverloadMultiple*warmth*coldBudgetShare*b.OverloadTime + b.rng.uniform())
	}
	return h.coldBudget >= 1
}

// countEjected updates ejectedCount.
func (b *Balancer) countEjected() {
	b.ejectedCount = 0
	for _, h := range b.readyHosts {
		if b.now < h.ejectedUntil {
			b.ejectedCount++
		}
	}
}

// isSuspect tells whether a host fails clearly more often than the median host. It is relative because a
// fleet in which most hosts fail now and then has to serve on.
func (b *Balancer) isSuspect(h *Host) bool { return h.failRate > suspectThreshold+b.medianFailRate }

// isFull tells whether a host has no room for op by the rule for bounded loads. mean is the number of pushes
// in flight per host. Ejected hosts are full, suspect ones with a push in flight, and slow ones earlier.
func (b *Balancer) isFull(op *Op, h *Host, mean float64) bool {
	load, bound := float64(h.inFlight), math.Ceil(boundFactor*mean)
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
			// The load from other balancers shows in the host's latency alone: the more balancers there are,
			// the more a slowdown counts.
			load *= 1 + (h.slowdown-1)*float64(b.GroupSize)/smallGroupSize
			// With many balancers even one push from each is too many, so pushes are spaced out.
			excessGroups := math.Max(0, float64(b.GroupSize)/smallGroupSize-1)
			if b.now < h.lastPush+
				(h.slowdown-b.avgSlowdown-slowdownSlack)*excessGroups*b.fleetLimiter.avgLatency {
				return true
			}
		}
	}
	return load >= bound
}

// walk goes clockwise from op's place on the cycle to the first host that is not full and returns it. It
// passes over hosts outside the zone that op prefers, and over some hosts if op's key is hot, unless there
// are no others. Hosts that may not accept the push come last. It returns nil if no host has room.
func (b *Balancer) walk(op *Op) *Host {
	if len(b.cycle.points) == 0 {
		return nil
	}
	mean := float64(b.fleetLimiter.inFlight+1) / float64(len(b.readyHosts))
	from := b.cycle.search(op.keyHash)
	b.walkCount++
	zoned, skip := b.prefersOwnZone(op), 0
	if spread := b.hotKeySpread(op); spread > 1 {
		skip = int(b.rng.uniform() * spread)
	}
	var fallback, lastResort *Host
	left := len(b.readyHosts) // hosts not seen yet: each is judged once, though it has many points
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
			case b.isConnLimited(h) || h.ejectTime >= baseEjectTime && b.probeTokens < 1:
				if lastResort == nil || h.connBackoffUntil < lastResort.connBackoffUntil {
					lastResort = h
				}
			case zoned && (h.Zone == b.Zone) != (op.failedHost == nil):
				fallback = cmp.Or(fallback, h)
			case skip <= 0:
				return h
			default:
				fallback = cmp.Or(fallback, h)
				skip--
			}
		}
	}
	return cmp.Or(fallback, lastResort)
}

// hotKeySpread returns over how many hosts the ops of op's key have to be spread so that none gets more than
// the bound allows of this balancer's recent ops. The bound itself does not limit hot keys while fewer pushes
// than hosts are in flight. One op is not counted, as chance alone would bring it.
func (b *Balancer) hotKeySpread(op *Op) float64 {
	if !b.AllowHedging {
		return 0
	}
	bound := boundFactor
	if b.avgBusy > 0 { // hosts report how much more load they can take
		bound = math.Max(bound, hotKeyBusyLimit/b.avgBusy)
	}
	return (b.keyCounts[op.keyHash%keyBuckets] - 1) / b.keyCountSum * float64(len(b.readyHosts)) / bound
}

// prefersOwnZone tells whether op stays in its balancer's zone while a host there has room. After a failure
// it goes to the first host of another zone, which holds the key for that zone's balancers.
func (b *Balancer) prefersOwnZone(op *Op) bool {
	return b.Zone >= 0 && b.ZoneCount > 1 && hashFraction(op.keyHash) >= b.crossZoneShare
}

// isConnLimited tells whether a host has lately reached its connection limit and no connection to it is free.
func (b *Balancer) isConnLimited(h *Host) bool {
	return b.now < h.connBackoffUntil && (!h.connOpen || h.inFlight > 0)
}

// firstPossibleRun returns the first push of op that has run, may have run or may still run, or nil.
func (op *Op) firstPossibleRun() *Push {
	if i := slices.IndexFunc(op.pushes, func(p *Push) bool { return !p.neverRan }); i >= 0 {
		return op.pushes[i]
	}
	return nil
}

// dedupAllows tells whether h is in the dedup scope of an earlier push of op that may have run.
func dedupAllows(op *Op, h *Host) bool {
	first := op.firstPossibleRun()
	if first == nil || op.Category.Repeat == Redeliverable {
		return true
	}
	scope := op.Category.DedupScope
	return (scope != DedupZone || h.Zone == first.Host.Zone) && (scope != DedupCell || h.Cell == first.Host.Cell)
}

// mayRepeat tells whether op may run once more, up to margin ms from now.
func (b *Balancer) mayRepeat(op *Op, margin float64) bool {
	first, c := op.firstPossibleRun(), op.Category
	return first == nil || c.Repeat == Redeliverable ||
		c.Repeat == Deduplicated && b.now < first.sentAt+c.DedupWindow-margin
}

// mayPush tells whether op may have another push now, a hedge where one is in flight.
func (b *Balancer) mayPush(op *Op) bool {
	return op.inFlight < 2 && (op.inFlight == 0 || b.AllowHedging) && len(op.pushes) < b.MaxPushes &&
		b.mayRepeat(op, b.settleMargin())
}

// mayNack tells whether the client may be told that a repeat is safe.
func (b *Balancer) mayNack(op *Op) bool {
	c := op.Category
	return b.mayRepeat(op, 0) &&
		(c.Repeat != Deduplicated || c.DedupScope == DedupAllHosts || op.firstPossibleRun() == nil)
}

// OpArrived takes a new op. It is pushed, queued or settled at once.
func (b *Balancer) OpArrived(op *Op) {
	op.arrivedAt, op.keyHash = b.now, xxhash.Sum64String(op.Key)
	op.priority = op.Category.Benefit
	if !b.BenefitPerWork {
		op.priority /= op.Category.avgLatency
	}
	if t := op.Tenant; t != nil {
		t.tokens = math.Min(t.tokens+t.quotaShare*float64(b.ackedCount-t.ackedAtRefill), maxTenantTokens)
		t.ackedAtRefill = b.ackedCount
		// The tenant that is furthest behind its share comes first. An op that is not acked returns its token.
		if op.withinQuota = t.tokens >= 1; op.withinQuota {
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
	if b.DeadlineSkew > 0 { // clocks may differ: allow at least the target latency
		op.Deadline = math.Max(op.Deadline,
			math.Min(op.Deadline+b.DeadlineSkew, b.now+op.Category.Target+b.settleMargin()))
	}
	op.flows[0] = &b.keyFlows[op.keyHash%keyBuckets]
	if op.Tenant != nil {
		op.flows[1] = &op.Tenant.flow
	}
	op.giveUpAt = b.settleBy(op)
	if op.giveUpAt <= b.now { // too late for any push
		b.giveUp(op)
		return
	}
	if op.Category.LateBenefit == 0 { // a late answer is worth nothing and delays others
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
	if op.keyQueue.ops = append(op.keyQueue.ops, op); len(op.keyQueue.ops) == 1 {
		b.startNext(op.keyQueue)
	}
}

// startNext routes the first op of a key queue, once the quiet time is over.
func (b *Balancer) startNext(q *keyQueue) {
	switch {
	case len(q.ops) == 0 || q.ops[0].state != stateNew:
	case b.now < q.quietUntil:
		b.schedule(&b.opTimers, &q.quietTimer, q.quietUntil)
	default:
		b.route(q.ops[0])
	}
}

// leaveKeyQueue removes an op that is done from its key queue and starts the next one.
func (b *Balancer) leaveKeyQueue(op *Op) {
	q := op.keyQueue
	if q == nil || !op.IsDone() {
		return
	}
	op.keyQueue = nil
	q.ops = slices.DeleteFunc(q.ops, func(x *Op) bool { return x == op })
	if len(q.ops) == 0 && b.now >= q.quietUntil {
		delete(b.keyQueues, op.Key)
	}
	b.startNext(q)
}

// settleBy returns when op has to be settled, in ms: early enough for the client to hear of it in time.
func (b *Balancer) settleBy(op *Op) float64 { return op.Deadline - b.settleMargin() }

// settleMargin returns the ms before its TTL at which an op is settled.
func (b *Balancer) settleMargin() float64 { return tickInterval + settleMarginQuanta*b.Quantum }

// route starts op's next push: to the origin for the writes of a cache-aside fleet, otherwise to a host on
// the cycle. In a cache-aside fleet, an op joins or leads a fetch from the origin instead if its key is being
// fetched, for its last push, or if none of the listed hosts is usable. An op that may not be pushed, or has
// no time left for it, is given up.
func (b *Balancer) route(op *Op) {
	switch f := b.fetches[op.Key]; {
	case !b.mayPush(op) || b.now+op.Category.avgLatency/2 > op.Deadline || b.isThrottled(op):
		b.abandonPush(op)
	case b.CacheAside && op.IsWrite:
		b.enqueue(&b.originLimiter, op)
	case b.CacheAside &&
		(f != nil || len(op.pushes) == b.MaxPushes-1 || len(b.readyHosts) == 0 && len(b.hosts) > 0):
		b.fetchOrWait(op)
	default:
		b.enqueue(&b.fleetLimiter, op)
	}
}

// isThrottled tells whether op belongs to a failing flow and gets no push: such flows share a small number of
// pushes in flight, so that they take none from others, and are not retried.
func (b *Balancer) isThrottled(op *Op) bool {
	slots := math.Max(b.fleetLimiter.limit, 1)
	if b.ReplySlots > 0 {
		slots = math.Min(slots, float64(b.ReplySlots))
	}
	for _, f := range op.flows {
		if b.isFailing(f) && (len(op.pushes) > 0 || float64(f.inFlight) >= math.Max(slots*failingFlowShare, 1)) {
			return true
		}
	}
	return false
}

// isFailing tells whether a flow fails clearly more often than all ops do, at hosts that serve others: its
// ops may wait for a common lock, have slow readers, or be at fault themselves.
func (b *Balancer) isFailing(f *flowStats) bool {
	return f != nil && f.failRate > b.allOps.failRate+flowFailMargin
}

// recordFlow adds the result of a push to a sound host, 1 for a failure and 0 otherwise, to op's flows.
func (b *Balancer) recordFlow(op *Op, failure float64) {
	for _, f := range [...]*flowStats{op.flows[0], op.flows[1], &b.allOps} {
		if f != nil {
			f.failRate += (failure - f.failRate) * slowEWMAWeight
		}
	}
}

// fetchOrWait makes op fetch its key from the origin, or wait for the fetch of its key that is under way.
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

// enqueue adds op to the queue of a limiter, or abandons its push if it is shed.
func (b *Balancer) enqueue(lim *limiter, op *Op) {
	if b.isShedByChance(lim, op) {
		b.abandonPush(op)
		return
	}
	b.setState(op, stateQueued)
	lim.queue = append(lim.queue, op)
	b.armTimer(b.now + tickInterval)
	b.dispatch(lim)
}

// dispatch pushes queued ops, those of the highest priority first, until the limit is reached. If more ops
// than the limit are left, it sheds those of the lowest priority, the latest first.
func (b *Balancer) dispatch(lim *limiter) {
	lim.queue = slices.DeleteFunc(lim.queue, func(op *Op) bool { return op.state != stateQueued })
	for len(lim.queue) > 0 && float64(lim.inFlight) < math.Max(lim.limit, 1) {
		op := slices.MaxFunc(lim.queue, func(x, y *Op) int {
			return cmp.Compare(queuePriority(x), queuePriority(y))
		})
		h := b.selectHost(lim, op)
		if h == nil && op.failedHost == nil {
			break
		}
		lim.remove(op)
		if h != nil {
			b.push(lim, op, h)
		} else { // only the host that failed it is left; others in the queue must not wait for it
			b.abandonPush(op)
		}
	}
	if lim == &b.fleetLimiter && len(b.readyHosts) == 0 { // no hosts yet: ops wait for a list
		return
	}
	for float64(len(lim.queue)) > math.Max(2, lim.limit) {
		lowest := slices.MinFunc(lim.queue, func(x, y *Op) int {
			return cmp.Or(cmp.Compare(queuePriority(x), queuePriority(y)), -1)
		})
		lim.remove(lowest)
		b.abandonPush(lowest)
	}
}

// isShedByChance tells whether op is shed at random because the limit is below 1: the limit is the share of
// ops that are admitted, weighted by priority. One push in flight from each of many balancers would already
// keep an overloaded origin overloaded.
func (b *Balancer) isShedByChance(lim *limiter, op *Op) bool {
	lim.avgPriority += (queuePriority(op) - lim.avgPriority) * fastEWMAWeight
	return lim.limit < 1 && b.rng.uniform()*lim.avgPriority >= lim.limit*queuePriority(op)
}

// selectHost returns the host for the next push of an op from a limiter's queue, or nil.
func (b *Balancer) selectHost(lim *limiter, op *Op) *Host {
	if lim == &b.fleetLimiter {
		return b.walk(op)
	}
	for _, h := range b.origins {
		if h.Status == Ready && b.now >= h.ejectedUntil && dedupAllows(op, h) {
			return h
		}
	}
	return nil
}

// abandonPush drops the next push of op. The op is given up unless another push is in flight.
func (b *Balancer) abandonPush(op *Op) {
	if op.inFlight == 0 {
		b.giveUp(op)
		return
	}
	b.setState(op, statePushed)
	b.finishFetch(op, false)
}

// push sends op to h, and schedules the check of the push or, where it can be neither cancelled nor hedged,
// shortens its timeout.
func (b *Balancer) push(lim *limiter, op *Op, h *Host) {
	b.setState(op, statePushed)
	p := &Push{Op: op, Host: h, SendBy: op.giveUpAt - op.Category.avgLatency/2, sentAt: b.now, limiter: lim}
	if first := op.firstPossibleRun(); first != nil && op.Category.Repeat == Deduplicated {
		p.SendBy = math.Min(p.SendBy, first.sentAt+op.Category.DedupWindow-b.settleMargin())
	}
	p.checkTimer.push = p
	op.pushes = append(op.pushes, p)
	op.inFlight++
	op.addInFlight(1)
	h.inFlight++
	h.connOpen, h.connUnproven, h.lastPush = true, h.connUnproven || !h.connOpen, b.now
	lim.inFlight++
	if h.ejectTime >= baseEjectTime {
		b.probeTokens = math.Max(b.probeTokens-1, 0)
	}
	c, timeout := op.Category, op.Deadline-b.now
	usual, devs := c.latencyEWMA, checkDelayDevs
	switch {
	case h.IsOrigin:
		usual = lim.latencyEWMA
	case b.warmth(h) < 1:
		h.coldBudget--
	}
	if b.AllowHedging {
		devs = hedgeDevs
	}
	checkDelay := math.Max(usual.avgLatency+devs*usual.latencyDev, c.Target*minCheckDelayShare)
	switch {
	case b.AllowHedging && (h.IsOrigin || op.inFlight > 1): // hedged already, or nowhere to hedge
	case b.AllowHedging:
		b.schedule(&b.pushTimers, &p.checkTimer,
			b.now+math.Min(checkDelay, math.Max(c.avgLatency, c.Target-2*c.avgLatency)))
	case b.AllowCancel:
		b.schedule(&b.pushTimers, &p.checkTimer, b.now+checkDelay)
	case c.Repeat == Redeliverable:
		timeout = math.Min(timeout, checkDelay)
	}
	b.frontend.Push(p, timeout)
}

// PushStarted tells that a push was written after waiting for wait ms in this process, and whether that was
// on a new connection.
func (b *Balancer) PushStarted(p *Push, wait float64, newConn bool) {
	p.localWait, p.newConn = wait, newConn
}

// checkSlowPush hedges a push that is late, or cancels it so that the op is retried. A push that the host is
// probably working on is left alone: once if the host has answered others since, and always at the origin
// unless that has answered a later push.
func (b *Balancer) checkSlowPush(p *Push) {
	op := p.Op
	if b.AllowHedging {
		b.hedge(p)
		return
	}
	c := op.Category
	notElsewhere := c.Repeat == AtMostOnce || c.Repeat == Deduplicated && c.DedupScope != DedupAllHosts
	if notElsewhere || p.cancelled || len(op.pushes) >= b.MaxPushes || b.deferWhileSilent(p) ||
		b.recheckOnce(p, recheckFactor) ||
		p.Host.IsOrigin && p.Host.newestAnsweredPush <= p.sentAt {
		return
	}
	p.cancelled = true
	b.frontend.Cancel(p)
}

// recheckOnce puts off the check of a push whose host has answered others since, by factor times the time
// that the push is out. It does so once per push, and tells whether it did.
func (b *Balancer) recheckOnce(p *Push, factor float64) bool {
	if p.rechecked || p.Host.lastAnswer <= p.sentAt {
		return false
	}
	p.rechecked = true
	b.schedule(&b.pushTimers, &p.checkTimer, b.now+factor*(b.now-p.sentAt))
	return true
}

// deferWhileSilent puts off the check of a push if no host has answered since it was sent, though at least
// half the hosts should have. A short silence is a pause of the network or this machine, and no other host
// would be faster. It tells whether it did so.
func (b *Balancer) deferWhileSilent(p *Push) bool {
	if b.lastAnswer > p.sentAt || b.now-p.sentAt > p.Op.Category.Target*fleetSilenceShare ||
		2*(b.fleetLimiter.inFlight-p.Host.inFlight) < len(b.readyHosts) {
		return false
	}
	b.schedule(&b.pushTimers, &p.checkTimer, b.now+recheckFactor*(b.now-p.sentAt))
	return true
}

// hedge sends a second push of an op whose first one is late; the first answer counts. Hedges are limited by
// hedgeTokens. A host that has answered nobody since the first push has failed.
func (b *Balancer) hedge(p *Push) {
	op, h := p.Op, p.Host
	if h.lastAnswer < p.sentAt {
		b.recordFailure(h, TimedOut, b.now-p.sentAt, failureWeight)
	}
	if b.recheckOnce(p, hedgeRecheckFactor) || op.state != statePushed || op.inFlight > 1 ||
		b.hedgeTokens < 1 || !b.mayPush(op) {
		return
	}
	b.hedgeTokens--
	op.failedHost = h
	b.enqueue(&b.fleetLimiter, op)
}

// StreamingStarted tells that the answer to p has begun to flow to the client. The host's work is done: the
// push no longer counts as in flight there or at the limiter, and those who wait for its fetch go on.
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

// ClientLeft tells that no client waits for op any more.
func (b *Balancer) ClientLeft(op *Op) {
	if op.state == stateSettled {
		return
	}
	b.setState(op, stateSettled)
	b.cancelPushes(op)
	b.finishFetch(op, false)
	b.leaveKeyQueue(op)
}

// cancelPushes cancels op's pushes in flight, where that is possible.
func (b *Balancer) cancelPushes(op *Op) {
	for _, p := range op.pushes {
		if !p.ended && b.AllowCancel && !p.cancelled {
			p.cancelled = true
			b.frontend.Cancel(p)
		}
	}
}

// PushEnded takes the outcome of a push after latency ms, with its host's load report or nil. Where the
// outcome settles the op for the frontend (final), nothing more is done for it; otherwise it is retried,
// fetched, or given up.
func (b *Balancer) PushEnded(p *Push, o Outcome, latency float64, final bool, report *LoadReport) {
	op, h, lim := p.Op, p.Host, p.limiter
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
		lim.inFlight--
		b.recordOutcome(p, o, latency)
	case o != Served && o != Cancelled: // the stream broke off
		b.recordFailure(h, o, latency, failureWeight)
	}
	if report != nil && report.Busy >= 0 && !h.IsOrigin {
		b.recordBusy(h, math.Min(report.Busy, 1))
	}
	isError := o == InvalidOp || o == Failed && !h.IsOrigin
	fromSoundHost := isError && !b.isSuspect(h)
	confirmed := fromSoundHost && op.errorHost != nil && op.errorHost != h // by a second host: the op is bad
	// Where second hosts mostly confirm errors, the op is not retried, except for a few to keep the rate known.
	presumed := fromSoundHost && op.errorHost == nil && b.errorRepeatRate > errorRepeatThreshold &&
		b.rng.uniform() > errorRetryShare
	if isError {
		op.errorHost = h
	}
	if confirmed || presumed {
		b.recordFlow(op, 1)
	}
	if confirmed {
		b.errorRepeatRate += (1 - b.errorRepeatRate) * fastEWMAWeight
	}
	switch {
	case op.state == stateSettled:
	case final || op.streamingPush == p:
		if o == Served {
			b.ackedCount++
			op.acked = true
		}
		b.setState(op, stateSettled)
		b.finishFetch(op, o == Served)
	case op.state == stateStreaming || op.state == stateQueued: // another push is streaming or queued
	case o == CacheMiss && b.CacheAside && !h.IsOrigin && op.fetch == nil && b.mayPush(op):
		b.fetchOrWait(op)
	case op.inFlight > 0: // the other push may still be answered
		if h.IsOrigin {
			b.finishFetch(op, false)
		}
	case confirmed || presumed || b.now >= op.Deadline-tickInterval:
		b.giveUp(op)
	case o == Overloaded && !h.IsOrigin && b.isShedWhenFull(op):
		if b.originLimiter.congestion > b.originLimiter.congestionGoal || !b.CacheAside || !b.mayPush(op) {
			b.giveUp(op)
		} else {
			b.fetchOrWait(op)
		}
	case op.fetch != nil && b.mayPush(op): // the origin failed the fetch: retry it, its waiters wait on
		b.enqueue(lim, op)
	// The host may be tried again: it is sound and may be the only one to hold the key. At a host without room
	// for connections, the connection backoff decides.
	case o == ConnLimited,
		!b.isSuspect(h) && (o == InvalidAnswer || o == StaleConn || o == Cancelled && h.lastAnswer > p.sentAt):
		b.route(op)
	default:
		op.failedHost = h
		b.route(op)
	}
	b.leaveKeyQueue(op)
	b.dispatch(lim)
}

// recordBusy records a host's reported share of core time in use. Where the own zone's hosts are busier than
// the others, more keys ignore zones: a zone may have more traffic than its hosts can serve.
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

// isShedWhenFull tells whether an op that an overloaded host turned away goes to no further host. In a full
// fleet, retries would only fill the last hosts with room: a share of the ops is shed, more of those of low
// priority.
func (b *Balancer) isShedWhenFull(op *Op) bool {
	return b.avgBusy > fleetBusyThreshold && b.rng.uniform()*queuePriority(op) <
		(b.overloadedRate-overloadedThreshold)/overloadedThreshold*b.fleetLimiter.avgPriority
}

// recordOutcome updates what is known of the host, the flows, the zones and the limiter of p from its outcome
// after latency ms.
func (b *Balancer) recordOutcome(p *Push, o Outcome, latency float64) {
	op, h, lim := p.Op, p.Host, p.limiter
	c, failed, suspect, weight := op.Category, false, b.isSuspect(h), failureWeight
	smallGroup := float64(b.GroupSize) <= smallGroupSize // each balancer sees enough by itself
	// Overloaded does not count here: a full fleet turns much away, which is no measure of its capacity.
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
	if lim == &b.fleetLimiter && len(op.pushes) > 1 && (o == Served || o == CacheMiss || o == Overloaded) {
		b.overloadedRate -= b.overloadedRate * slowEWMAWeight
		if o == Overloaded {
			b.overloadedRate += slowEWMAWeight
		}
	}
	switch late := latency > c.Target; {
	case o == Served && !late:
		b.recordFlow(op, 0)
	case o == Served || (o == TimedOut || o == Cancelled) && h.lastAnswer > p.sentAt && !op.acked:
		// A failing flow's outcomes say nothing about the host.
		if b.recordFlow(op, 1); slices.ContainsFunc(op.flows[:], b.isFailing) {
			return
		}
	}
	switch o {
	case Served:
		measured := max(latency, b.Quantum, tickInterval/100) // shorter ones cannot be told apart
		switch {
		case p.newConn:
			b.connSetup.observe(math.Max(latency-c.avgLatency, 0))
		case lim == &b.fleetLimiter:
			b.recordSlowdown(h, measured/c.avgLatency)
			c.observe(measured)
		}
		lim.observe(measured)
		h.lastAnswer, b.lastAnswer, h.newestAnsweredPush = b.now, b.now, math.Max(h.newestAnsweredPush, p.sentAt)
		if !b.crossZoneCheap {
			b.crossZoneShare -= b.crossZoneShare * crossZoneDecay
		}
	case CacheMiss:
		h.lastAnswer, b.lastAnswer = b.now, b.now
	case Failed: // the op may be at fault, unless another host serves it
		failed = h.IsOrigin || !b.mayPush(op)
	case ConnBroken:
		failed = true
	case InvalidAnswer, StaleConn: // sound hosts have some of these too, so each weighs less
		if failed, weight = true, fastEWMAWeight; o == InvalidAnswer {
			h.lastAnswer = b.now
		}
	case ConnectFailed:
		b.noteHostDown(h)
		failed, h.connOpen, h.connUnproven = true, false, false
		if !h.IsOrigin {
			b.idleTimeout = math.Max(b.idleTimeout*idleTimeoutDecrease, tickInterval)
		}
	case ConnLimited: // keep keys in the own zone: with fewer hosts to reach, fewer connections are needed
		h.connOpen, h.connUnproven = h.connOpen && !h.connUnproven, false
		h.connBackoff = math.Min(math.Max(h.connBackoff*2, baseConnBackoff), maxConnBackoff)
		h.connBackoffUntil = b.now + h.connBackoff*(0.5+b.rng.uniform())
		b.crossZoneShare = math.Max(0, b.crossZoneShare-crossZoneStep)
	case Overloaded: // no failure of a cache host, which others may have filled; the op goes to the next one
		if failed = h.IsOrigin; !failed && !smallGroup {
			b.recordSlowdown(h, overloadedSlowdown)
		}
	case TimedOut, Cancelled:
		failed = h.lastAnswer < p.sentAt
		// Count the latency so far, or only the fast answers would make up the average.
		switch counts := lim == &b.fleetLimiter && latency > c.avgLatency && !suspect; {
		case counts && p.newConn:
			b.connSetup.observe(latency - c.avgLatency)
		case counts:
			c.observe(latency)
		}
	}
	if (o == Served || o == CacheMiss) && op.errorHost != nil { // the error was the other host's fault
		b.recordFailure(op.errorHost, o, latency, failureWeight)
		b.errorRepeatRate -= b.errorRepeatRate * fastEWMAWeight
		op.errorHost = nil
	}
	switch {
	case o == NotSent || o == Cancelled && op.state == stateSettled:
	case failed:
		b.recordFailure(h, o, latency, weight)
	case o == Served || o == CacheMiss:
		if h.ejectTime >= baseEjectTime { // a successful probe returns its token
			b.probeTokens++
		}
		h.failRate -= h.failRate * fastEWMAWeight
		if !b.isSuspect(h) {
			h.ejectTime = 0
		}
	}
	// Outcomes that say nothing about congestion. Those of suspect hosts are left out as well: a lower limit
	// would shed what the other hosts could serve.
	if o == CacheMiss && (smallGroup || b.originLimiter.limit < originMinInitialLimit) ||
		o == NotSent || o == InvalidAnswer || o == StaleConn ||
		o == InvalidOp || o == ConnBroken || o == ConnLimited ||
		!h.IsOrigin && (o == ConnectFailed || o == Overloaded || o == Failed || suspect) {
		return
	}
	congestion, decrease := latency/c.Target, limitDecrease
	if op.IsWrite { // it follows no miss, so it may take as long as a hit
		congestion *= originCongestionGoal / fleetCongestionGoal
	}
	lim.lastOutcome = b.now
	switch {
	case o == Served || o == CacheMiss:
	// The host answers others, so the connection is dead or the op is heavy; or the client left early.
	case (o == TimedOut || o == Cancelled) && h.lastAnswer > p.sentAt,
		o == Cancelled && op.state == stateSettled && congestion < lim.congestionGoal:
		return
	default:
		congestion = math.Max(congestion, 2*lim.congestionGoal)
		if h.IsOrigin && b.now-h.lastAnswer > c.Target { // the origin's queue is so long that all ops time out
			congestion, decrease = math.Max(congestion, originFullCongestion), originFullDecrease
		}
	}
	if lim == &b.originLimiter && congestion > lim.congestionGoal && !b.crossZoneCheap {
		b.crossZoneShare = math.Min(1, b.crossZoneShare+crossZoneStep)
	}
	if weight = lim.congestionWeight; lim.limit < 1 {
		weight = fewOutcomesWeight
	}
	lim.congestion += (congestion - lim.congestion) * weight
	switch {
	// Only late outcomes decrease the limit. Otherwise one heavy op, which the average remembers for long,
	// would decrease it again with each timely answer.
	case lim.congestion > lim.congestionGoal && congestion > lim.congestionGoal && b.now >= lim.nextDecrease:
		least := lim.minLimit
		if lim.congestion <= randomShedCongestion {
			least = math.Max(least, 1)
		}
		lim.limit = math.Max(math.Min(lim.limit, least), math.Min(lim.limit, float64(lim.inFlight+1))*decrease)
		lim.nextDecrease = b.now + limitDecreaseInterval
	case lim.congestion < minCheckDelayShare && float64(lim.inFlight+1) > lim.limit/2: // far from any queueing
		lim.limit++
	case lim.congestion < lim.congestionGoal && float64(lim.inFlight+1) > lim.limit/2:
		lim.limit += math.Min(1/lim.limit, lim.limit) // a limit below 1 doubles at most
	}
}

// recordFailure records a failure of a host and ejects it if that makes it suspect. latency is the time until
// the failure, in ms; weight is the failure's EWMA weight. The origin is ejected only when overloaded.
func (b *Balancer) recordFailure(h *Host, o Outcome, latency, weight float64) {
	h.failRate += (1 - h.failRate) * weight
	if !b.isSuspect(h) || b.now < h.ejectedUntil || h.IsOrigin && o != Overloaded {
		return
	}
	h.ejectTime = math.Min(math.Max(h.ejectTime*2, baseEjectTime), maxEjectTime)
	if o == ConnectFailed { // the host may only be out of connections, and a fast failure costs little
		h.ejectTime = math.Min(h.ejectTime, ejectConnectMultiple*latency)
	}
	if h.IsOrigin {
		h.ejectTime = limitDecreaseInterval
	}
	h.ejectedUntil = b.now + h.ejectTime
	b.countEjected()
}

// recordSlowdown adds the latency of a push, as a multiple of the usual one, to the averages of its host and
// of all hosts.
func (b *Balancer) recordSlowdown(h *Host, slowdown float64) {
	h.slowdown += (slowdown - h.slowdown) * fastEWMAWeight
	b.avgSlowdown += (slowdown - b.avgSlowdown) * slowEWMAWeight
}

// finishFetch ends the fetch that op leads, if any. If it was served, the waiting ops are routed on;
// otherwise the first of them that may be pushed leads the fetch for the others.
func (b *Balancer) finishFetch(op *Op, served bool) {
	f := op.fetch
	if f == nil {
		return
	}
	op.fetch = nil
	delete(b.fetches, op.Key)
	waiters := slices.DeleteFunc(f.waiters, func(w *Op) bool { return w.state != stateQueued })
	if !served { // as one fetch, the waiters keep their joint priority
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

// giveUp settles op unserved: with a nack if a repeat is safe, otherwise as a dead letter.
func (b *Balancer) giveUp(op *Op) {
	if op.state == stateSettled {
		return
	}
	nack := b.mayNack(op)
	b.setState(op, stateSettled)
	if nack {
		b.frontend.Nack(op, b.backoff(op.Category.Target))
	} else {
		b.frontend.DeadLetter(op)
	}
	b.cancelPushes(op)
	b.finishFetch(op, false)
	b.leaveKeyQueue(op)
}

// backoff returns a jittered backoff for clients, in ms: about the time in which a queue clears.
func (b *Balancer) backoff(target float64) float64 {
	return math.Min(b.MaxBackoff, target/2*(1+b.rng.uniform()))
}

// setState is the only place where an op changes state. A settled op stays settled, and a streaming one can
// only be settled. An op that is settled without being acked returns its tenant's token.
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
