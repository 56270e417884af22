package balance

// Which cache host an op is pushed to.

import (
	"cmp"
	"math"
)

const (
	// Consistent hashing with bounded loads.
	boundFactor = 1.5 // 1+ε; the example factor of the talk on bounded loads
	boundFloor  = 2   // pushes; least bound

	maxEjectedShare = 0.8 // share of hosts ejected above which ejections are ignored, as evidence in doubt

	// Slow hosts.
	// Balancers at which a slowdown of 2 counts twice; in a larger group, each sees too little of a host's
	// load itself.
	smallGroupSize = 3.0
	slowdownGain   = 2.0  // how strongly excess slowdown moves keys away from a host
	slowdownSlack  = 0.25 // slowdown above the fleet's average that chance explains

	// Hot keys.
	hotKeyBusyLimit = 0.9 // share of its core time that a hot key's host may use, where hosts report it
)

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
			// the more a slowdown counts. With a dozen, the floor of two pushes each would let two dozen
			// crowd a host before any of them saw it full.
			load *= 1 + (h.slowdown-1)*float64(b.GroupSize)/smallGroupSize
			// With a hundred balancers even one push from each is too many, so pushes are spaced out: a push
			// counts on for a while after it has ended.
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
	// Hosts not seen yet: each is judged once, since in a full fleet its other points cost too much.
	left := len(b.readyHosts)
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
