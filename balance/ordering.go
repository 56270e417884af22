package balance

// Runs the ordered ops of a key one at a time.

import "slices"

// keyQueue runs a key's ordered ops one at a time: the first is being served, the others are in stateNew. It
// is kept until quietUntil even when empty.
type keyQueue struct {
	ops        []*Op
	quietUntil float64 // ms, when a push that may still run is certain to have ended
	quietTimer timer   // for quietUntil
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
