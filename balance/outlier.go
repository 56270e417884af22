package balance

// Which hosts are to be avoided: those that fail more than others or are slower.

import "math"

const (
	// Outlier detection and ejection.
	suspectThreshold     = 0.25   // failure rate above which a host is suspect: one failure is enough
	failureWeight        = 0.3    // EWMA weight of a failure; just above suspectThreshold
	baseEjectTime        = 250.0  // ms, a first ejection; about as long as a short stall
	maxEjectTime         = 4000.0 // ms; a host that has recovered is tried again no later than this
	ejectConnectMultiple = 20.0   // longest ejection after a failed connect, in multiples of its duration

	// Bounds without a floor, after a host in use went down: the floor may have overloaded it.
	noFloorTime = 60000.0 // ms, for a wave of restarts
	inUseTime   = 15000.0 // ms since its last answer for which a host counts as in use; lists can be that late
)

// noteHostDown removes the floor of the bound for a while if h was in use: it may have gone down because the
// floors of all balancers together overloaded it.
func (b *Balancer) noteHostDown(h *Host) {
	if !h.IsOrigin && h.lastAnswer > 0 && b.now-h.lastAnswer < inUseTime {
		b.noFloorUntil = b.now + noFloorTime
	}
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
// fleet in which most hosts fail now and then has to serve on: the few that never fail could not take it all.
func (b *Balancer) isSuspect(h *Host) bool { return h.failRate > suspectThreshold+b.medianFailRate }

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

// resetHealth forgets the host's failures and latency, and ends its ejection.
func (h *Host) resetHealth() { h.failRate, h.ejectTime, h.ejectedUntil, h.slowdown = 0, 0, 0, 1 }
