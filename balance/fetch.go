package balance

// Which op fetches a key from the origin while others wait for the result.

import "slices"

// fetch is a coalesced fetch of a key from the origin: one op leads it, other ops of the key wait for it.
type fetch struct {
	waiters  []*Op
	priority float64 // sum over the leader and the waiters
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
	if !served { // as one fetch, the waiters keep their joint priority; alone, each would be shed from the queue
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
