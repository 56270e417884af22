package feedscale

import (
	"context"
	"sync"
	"time"
)

// publishTimeout bounds an attempt to publish a change.
const publishTimeout = 5 * time.Second

// publishWorkload publishes the workload, which begins at a time since the start of the run. The kinds are published
// concurrently, the changes of a kind one after another. It returns when all are done or ctx ends.
func (f *fleet) publishWorkload(ctx context.Context, start time.Duration) {
	var publishers sync.WaitGroup
	for kind := range kinds {
		plan := planWorkload(f.options, kind)
		publishers.Go(func() { f.publishPlan(ctx, start, plan) })
	}
	publishers.Wait()
}

// publishPlan publishes each change of a plan when it is due, or later if the one before takes longer.
func (f *fleet) publishPlan(ctx context.Context, start time.Duration, plan []plannedChange) {
	for _, change := range plan {
		due := start + change.Due
		select {
		case <-ctx.Done():
			return
		case <-time.After(due - time.Since(f.startTime)):
		}
		f.publish(ctx, due, change)
	}
}

// publish makes one attempt to publish a change and records it. A failed attempt is not retried.
func (f *fleet) publish(ctx context.Context, due time.Duration, change plannedChange) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	at, err := f.control.publish(ctx, change)
	f.ledger.add(change.Kind, publishAttempt{Identity: change.Identity, Key: change.Name, Due: due,
		Done: time.Since(f.startTime), Position: at, Acknowledged: err == nil})
}
