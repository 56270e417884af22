// Package balance holds every decision of the balancer: which host an op goes to, when it is pushed again,
// queued, nacked or dead-lettered, how hosts are judged, and how many pushes may be in flight.
//
// Each instance makes one Balancer with New. Before each round of input, its frontend calls Advance with the
// time, and then one method per event: HostsListed, HostListFailed, OpArrived, PushStarted, AnswerProgressed,
// AnswerWaits, StreamingStarted, PushEnded, ClientLeft and TimerFired. The Balancer acts by calling the
// Frontend, from within those calls only. It is not safe for concurrent use. Times and latencies are in ms.
package balance

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"larchthread/internal/timerqueue"
)

const (
	// Periodic work.
	sweepInterval = 100.0 // ms between two sweeps over all hosts
	tickInterval  = 10.0  // ms, period of the timer while ops are queued, and part of each margin

	probesPerOp = 0.01 // ops that may probe a suspect host, per op; other balancers probe it too
	maxTokens   = 3.0  // burst of probes, and of hedges

	// Hedging.
	hedgesPerOp = 0.1 // hedges allowed per op, to bound the extra load on a slow fleet

	// Errors that are the op's fault.
	errorRepeatThreshold = 0.8 // errorRepeatRate above which an op is not retried after a first error
	errorRetryShare      = 0.1 // share of ops that are retried all the same, to notice when that changes

	// Hot keys.
	keyBuckets       = 1024   // of ops counted by key; few of an instance's keys share one
	keyCountHalfLife = 5000.0 // ms after which the counts are halved: a key stays hot for some seconds

	// Concurrency limits. "Of all balancers" values are divided by the number of balancers.
	limitRecoveryTime = 14000.0 // ms in which a limit without outcomes rises from 0 to 1
	originSilenceTime = 200.0   // ms without an outcome, a fetch's time, until the origin's limit rises alone
	originMinLimit    = 2.0     // fetches of all balancers

	// Slow start.
	pushRateWindow = 2000.0 // ms over which pushRate is averaged

	// Subscription to the host list.
	listTimeout = 3000.0 // ms after which an unanswered call counts as failed; its turn takes a second or so

	maxTenantTokens = 8.0 // ops that a tenant may be ahead of its share, to absorb bursts
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
	// Smoothed share of answers that have not come in time behind their heads, and of ops that were answered
	// after such a push had been given up for another.
	stallRate, abandonGain float64
	stalledHosts           int // hosts of which only the head of some late answer has come
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
	killAt                        float64 // ms; when the process may be killed; 0 while it is not to end
	coldHostsYielded              bool    // another process pushes to the cold hosts
	opTimers, pushTimers          timers  // of ops and key queues, and of pushes
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
		probeTokens: maxTokens, abandonGain: initialAbandonGain,
		timerAt: math.Inf(1), maxInputWait: math.Inf(1), admitShare: 1}
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
		case b.holdForTurn(op):
		case op.fetch != nil && op.inFlight > 0 && b.now < b.settleBy(op):
			// Too late for this op, but the ops that wait for its fetch can use the result.
			b.schedule(&b.opTimers, t, b.settleBy(op))
		default:
			b.giveUp(op)
		}
	}
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
		case p.sending.isUnderWay(): // its host can't have begun
			b.schedule(&b.pushTimers, t, b.now+b.checkDelay(p))
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
		for _, op := range slices.Clone(lim.queue) { // abandon those that are too late for another push
			if op.state == stateQueued && (!b.mayPush(op) ||
				b.now+op.Category.avgLatency+op.Category.latencyDev > op.arrivedAt+op.Category.Target) {
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

// schedule sets t in queue to a time in ms.
func (b *Balancer) schedule(queue *timers, t *timer, at float64) {
	queue.Set(t, at)
	b.armTimer(at)
}

// armTimer makes the timer fire at the given time, in ms, unless it fires earlier.
func (b *Balancer) armTimer(at float64) {
	if at < b.timerAt {
		b.timerAt = at
		b.frontend.SetTimer(math.Max(at-b.now, 0))
	}
}

// sweep updates what depends on all hosts: warm-up, push rate, hot keys, failure rates and idle connections.
// span is the time since the last sweep, in ms. With a sweep at each tick, a thousand balancers took more CPU
// for it than for their ops.
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
	if op.giveUpAt <= b.now { // too late for any push, and it could be lost before the timer fires again
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

// PushStarted tells that a push was written after waiting for wait ms in this process, and whether that was
// on a new connection.
func (b *Balancer) PushStarted(p *Push, wait float64, newConn bool) {
	p.localWait, p.newConn = wait, newConn
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

// PushEnded takes the outcome of a push after latency ms, with its host's load report or nil. Where the
// outcome settles the op for the frontend (final), nothing more is done for it; otherwise it is retried,
// fetched, or given up.
func (b *Balancer) PushEnded(p *Push, o Outcome, latency float64, final bool, report *LoadReport) {
	op, h, lim := p.Op, p.Host, p.limiter
	if p.ended {
		return
	}
	p.ended = true
	b.uncountStalled(p)
	b.pushTimers.Stop(&p.checkTimer)
	p.neverRan = o.NeverRan()
	op.inFlight--
	op.addInFlight(-1)
	if op.keyQueue != nil && !p.neverRan && o != Served && o != Failed { // it may still run
		op.keyQueue.quietUntil = b.now + b.KeyQuietTime
	}
	if p.firstByteAt > 0 { // what comes behind the head tells nothing of other answers
		latency = math.Min(latency, p.firstByteAt-p.sentAt)
	}
	switch {
	case !p.placesReleased:
		h.inFlight--
		lim.inFlight--
		b.recordOutcome(p, o, latency)
	case o != Served && o != Cancelled: // the stream broke off
		b.recordFailure(h, o, latency, failureWeight)
	}
	interrupted := op.streamingPush == p && !p.passedOn && !final && op.state != stateSettled
	if interrupted {
		b.resume(op)
	}
	if report != nil && report.Busy >= 0 && !h.IsOrigin {
		b.recordBusy(h, math.Min(report.Busy, 1))
	}
	isError := o == InvalidOp || o == Failed && !h.IsOrigin
	fromSoundHost := isError && !b.isSuspect(h)
	confirmed := fromSoundHost && op.errorHost != nil && op.errorHost != h // by a second host: the op is bad
	// Where second hosts mostly confirm errors, the op is not retried, except for a few to keep the rate known.
	// That also denies a retry to some ops of hosts that are turning bad.
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
	case confirmed || presumed || b.now >= op.Deadline-tickInterval || interrupted && b.now >= op.giveUpAt,
		b.cannotBeSentInTime(p, o):
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
	case o == ConnLimited, !b.isSuspect(h) && (o == InvalidAnswer || o == StaleConn ||
		o == Cancelled && !p.hasProgress() && h.lastAnswer > p.sentAt):
		b.route(op)
	default:
		op.failedHost = h
		b.route(op)
	}
	b.leaveKeyQueue(op)
	b.dispatch(lim)
}

// timer is due when an op has to be given up, a push has to be checked, or a key queue may go on. It is
// embedded in what it belongs to.
type timer struct {
	timerqueue.Timer
	op       *Op // one of the three is set
	push     *Push
	keyQueue *keyQueue
}

// timers is a queue of timers, ordered by time.
type timers = timerqueue.Queue[*timer]
