package feedscale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	startTimeout     = 90 * time.Second // for all subscribers to become fresh at the start
	settleTimeout    = 30 * time.Second // for all subscribers to become current after the workload
	progressInterval = time.Second
)

// Run runs a fleet as the options describe it. It passes progress lines, about one per second, to progress, which must be
// safe for concurrent use. An error means that the run could not be completed; violations found by the audit are part of
// the result.
func Run(ctx context.Context, options Options, progress func(line string)) (*Result, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp(options.Directory, "feedscale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(directory)
	control := newControlPlane(options, directory)
	length := startTimeout + options.Duration + settleTimeout
	fleet, err := newFleet(options, control, length)
	if err != nil {
		return nil, err
	}
	result, err := fleet.run(ctx, length, progress)
	return result, errors.Join(err, fleet.close())
}

// newControlPlane returns the control plane for the options: in the calling process, or in processes of the program.
func newControlPlane(options Options, directory string) controlPlane {
	if options.Program == "" {
		return newLocalControlPlane(directory, options.Seed)
	}
	return newProcessControlPlane(options, directory)
}

// run starts the fleet, runs the workload with the faults and computes the result.
func (f *fleet) run(ctx context.Context, length time.Duration, progress func(string)) (*Result, error) {
	if err := f.startControl(length); err != nil {
		return nil, err
	}
	before := memoryInUse()
	if err := f.startSubscribers(); err != nil {
		return nil, err
	}
	progress(fmt.Sprintf("%d subscribers started", len(f.subscribers)))
	if err := f.waitForAll(ctx, "fresh", f.countFresh, startTimeout); err != nil {
		return nil, err
	}
	progress(fmt.Sprintf("all fresh after %.1f s", time.Since(f.startTime).Seconds()))
	measured, err := f.runWorkload(ctx, progress)
	if err != nil {
		return nil, err
	}
	measured.memory = memoryInUse() - before
	return f.result(measured), ctx.Err()
}

// measurement holds what was measured over the workload.
type measurement struct {
	from, to       time.Duration // of the workload, since the start of the run
	settled        time.Duration // when waiting for all subscribers to become current ended
	convergenceErr error         // why not all became current; nil if they did
	faults         []injectedFault
	cpuTime        time.Duration           // of the calling process
	memory         int                     // bytes used by the subscribers, with their histories
	usageAfter     map[string]processUsage // of the publisher and relays, by process name
	usageBefore    map[string]processUsage
	messages       messageCounts
}

// runWorkload publishes the workload, injects the faults concurrently, and waits until all subscribers are current.
func (f *fleet) runWorkload(ctx context.Context, progress func(string)) (measurement, error) {
	usageBefore, err := f.control.usage()
	if err != nil {
		return measurement{}, err
	}
	messagesBefore := f.countMessages()
	cpuTimeBefore := processCPUTime()
	m := measurement{from: time.Since(f.startTime), usageBefore: usageBefore}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.reportProgress(ctx, m.from, progress)
	faultsDone := make(chan error, 1)
	go func() {
		var err error
		m.faults, err = f.injectFaults(ctx, progress)
		faultsDone <- err
	}()
	f.publishWorkload(ctx, m.from)
	if err := <-faultsDone; err != nil {
		return m, err
	}
	m.to = time.Since(f.startTime)
	m.cpuTime = processCPUTime() - cpuTimeBefore
	m.messages = f.countMessages().subtract(messagesBefore)
	if m.usageAfter, err = f.control.usage(); err != nil {
		return m, err
	}
	m.convergenceErr = f.waitForAll(ctx, "current", f.countCurrent, settleTimeout)
	m.settled = time.Since(f.startTime)
	return m, ctx.Err()
}

// reportProgress reports the state of the fleet once per progressInterval until ctx ends.
func (f *fleet) reportProgress(ctx context.Context, start time.Duration, progress func(string)) {
	for sleep(ctx, progressInterval) {
		settings, failedSettings := f.ledger.counts(Settings)
		purges, failedPurges := f.ledger.counts(Purges)
		now := time.Since(f.startTime)
		progress(fmt.Sprintf(
			"%4.0f s: %d settings, %d purges published, %d failed; %d subscribers, %d have all up to 1 s ago, %d fresh",
			(now - start).Seconds(), settings, purges, failedSettings+failedPurges, len(f.subscribers),
			f.countCaughtUp(now-time.Second), f.countFresh()))
	}
}
