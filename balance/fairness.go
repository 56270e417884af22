package balance

// Keeps failing flows from taking the capacity of others. A flow is the ops of one key or of one tenant.

import "math"

const (
	// Isolation of failing flows.
	flowFailMargin   = 0.4 // by how much a flow's failure rate must exceed that of all ops
	failingFlowShare = 0.1 // share of the fleet's limit, or of the reply slots, that a failing flow may use
)

// flowStats describes a flow: the ops of one key or of one tenant.
type flowStats struct {
	failRate float64 // smoothed share of the ops that failed at hosts that served others
	inFlight int     // pushes
}

// addInFlight adds n to the pushes in flight of op's flows.
func (op *Op) addInFlight(n int) {
	for _, f := range op.flows {
		if f != nil {
			f.inFlight += n
		}
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
