package feedscale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	startLimit  = 90 * time.Second // until all subscribers know everything at the start
	settleLimit = 30 * time.Second // until all are current after the workload
	progressing = time.Second
)

// Run plays a fleet as the options describe it, and tells how it goes on with a line a second. An error means that the run
// could not be carried out; what the audit found is in the result.
func Run(ctx context.Context, options Options, say func(line string)) (*Result, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp(options.Directory, "feedscale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(directory)
	control := newControl(options, directory)
	length := startLimit + options.Duration + settleLimit
	fleet, err := newFleet(options, control, length)
	if err != nil {
		return nil, err
	}
	result, err := fleet.run(ctx, length, say)
	return result, errors.Join(err, fleet.close())
}

// newControl runs publisher and relays as the options ask for.
func newControl(options Options, directory string) control {
	if options.Program == "" {
		return newLocalControl(directory, options.Seed)
	}
	return newProcessControl(options, directory)
}

// run starts everything, plays the workload and the faults, and sums up what came of it.
func (f *fleet) run(ctx context.Context, length time.Duration, say func(string)) (*Result, error) {
	if err := f.startControl(length); err != nil {
		return nil, err
	}
	before := memoryInUse()
	if err := f.startSubscribers(); err != nil {
		return nil, err
	}
	say(fmt.Sprintf("%d subscribers started", len(f.subscribers)))
	if err := f.await(ctx, "fresh", f.fresh, startLimit); err != nil {
		return nil, err
	}
	say(fmt.Sprintf("all fresh after %.1f s", time.Since(f.began).Seconds()))
	window, err := f.playWorkload(ctx, say)
	if err != nil {
		return nil, err
	}
	window.memory = memoryInUse() - before
	return f.result(window), ctx.Err()
}

// window is the time of the workload, and what was used in it.
type window struct {
	from, to      time.Duration // since the run began
	settled       time.Duration // when all were current again
	unsettled     error         // why that did not come about
	marks         []faultMark
	processor     time.Duration
	memory        int
	control       map[string]processUsage // at the end
	controlBefore map[string]processUsage
	counted       subscriberCounts
}

// playWorkload publishes the workload, with the faults beside it.
func (f *fleet) playWorkload(ctx context.Context, say func(string)) (window, error) {
	usageBefore, err := f.control.usage()
	if err != nil {
		return window{}, err
	}
	countedBefore := f.countMessages()
	processorBefore := processorTime()
	w := window{from: time.Since(f.began), controlBefore: usageBefore}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.tellProgress(ctx, w.from, say)
	struck := make(chan error, 1)
	go func() {
		var err error
		w.marks, err = f.strike(ctx, say)
		struck <- err
	}()
	f.publishWorkload(ctx, w.from)
	if err := <-struck; err != nil {
		return w, err
	}
	w.to = time.Since(f.began)
	w.processor = processorTime() - processorBefore
	w.counted = f.countMessages().minus(countedBefore)
	if w.control, err = f.control.usage(); err != nil {
		return w, err
	}
	w.unsettled = f.await(ctx, "current", f.current, settleLimit)
	w.settled = time.Since(f.began)
	return w, ctx.Err()
}

// tellProgress says once a second how far the fleet is.
func (f *fleet) tellProgress(ctx context.Context, start time.Duration, say func(string)) {
	for sleep(ctx, progressing) {
		settings, failedSettings := f.ledger.counts(Settings)
		purges, failedPurges := f.ledger.counts(Purges)
		now := time.Since(f.began)
		say(fmt.Sprintf("%4.0f s: %d settings and %d purges published, %d failed; of %d subscribers %d have all up to 1 s ago, %d are fresh",
			(now - start).Seconds(), settings, purges, failedSettings+failedPurges, len(f.subscribers), f.have(now-time.Second), f.fresh()))
	}
}
