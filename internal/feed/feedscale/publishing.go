package feedscale

import (
	"context"
	"sync"
	"time"
)

// publishTimeout is how long an attempt to publish may take.
const publishTimeout = 5 * time.Second

// publishWorkload publishes the changes of each kind at their due times, one after another.
func (f *fleet) publishWorkload(ctx context.Context, start time.Duration) {
	var publishers sync.WaitGroup
	for kind := range kinds {
		plan := planWorkload(f.options, kind)
		publishers.Go(func() { f.publishPlan(ctx, start, plan) })
	}
	publishers.Wait()
}

func (f *fleet) publishPlan(ctx context.Context, start time.Duration, plan []plannedChange) {
	for _, change := range plan {
		due := start + change.Due
		select {
		case <-ctx.Done():
			return
		case <-time.After(due - time.Since(f.began)):
		}
		f.publish(ctx, due, change)
	}
}

// publish makes one attempt. What came of a failed one is not known; the workload goes on with the next change.
func (f *fleet) publish(ctx context.Context, due time.Duration, change plannedChange) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	at, err := f.control.publish(ctx, change)
	f.ledger.add(change.Kind, publishedChange{Identity: change.Identity, Key: change.Name, Due: due,
		Done: time.Since(f.began), Position: at, Acknowledged: err == nil})
}
