package feedscale

import (
	"context"
	"fmt"
	"time"
)

const (
	restartDelay   = time.Second     // between killing and restarting the publisher and relays
	recoveryWindow = 5 * time.Second // changes due within this time after a fault count for its result
)

// injectedFault records a fault that was injected.
type injectedFault struct {
	Text          string
	CutRegionOnly bool            // it affected only subscribers in cutRegion
	From, To      time.Duration   // since the start of the run
	Heads         [kinds]position // the last acknowledged position of each kind when the fault was over
}

// injectFaults waits for the time of the faults and injects them one after another. It returns the faults that are over,
// and an error if one could not be injected or ctx ended.
func (f *fleet) injectFaults(ctx context.Context, progress func(string)) ([]injectedFault, error) {
	faults := f.plannedFaults()
	if len(faults) == 0 {
		return nil, nil
	}
	if !sleep(ctx, f.options.faultTime()) {
		return nil, ctx.Err()
	}
	var injected []injectedFault
	for _, fault := range faults {
		record := injectedFault{Text: fault.text, CutRegionOnly: fault.cutRegionOnly, From: time.Since(f.startTime)}
		progress(fault.text)
		if err := fault.inject(ctx); err != nil {
			return injected, fmt.Errorf("%s: %w", fault.text, err)
		}
		record.To = time.Since(f.startTime)
		for kind := range kinds {
			record.Heads[kind] = f.ledger.head(kind, record.To)
		}
		injected = append(injected, record)
		progress("over: " + fault.text)
	}
	return injected, nil
}

// plannedFault is a fault requested by the options.
type plannedFault struct {
	text          string
	cutRegionOnly bool // it affects only subscribers in cutRegion
	inject        func(context.Context) error
}

// plannedFaults returns the faults requested by the options, in the order of injection.
func (f *fleet) plannedFaults() (faults []plannedFault) {
	options := f.options
	if options.KillRelays > 0 {
		faults = append(faults, plannedFault{fmt.Sprintf("%d relays killed", options.KillRelays), false, f.killRelays})
	}
	if options.FreezeRelays > 0 {
		faults = append(faults, plannedFault{fmt.Sprintf("%d relays frozen", options.FreezeRelays), false, f.freezeRelays})
	}
	if options.CutSize > 0 {
		text := fmt.Sprintf("a region of %d cut off for %v", options.CutSize, options.CutDuration)
		faults = append(faults, plannedFault{text, true, f.cutRegion})
	}
	if options.RestartAll {
		faults = append(faults, plannedFault{"publisher and relays restarted", false, f.restartAll})
	}
	return faults
}

// killRelays kills relays from the middle of the list. In a fleet of the default size each is the only one of its region.
func (f *fleet) killRelays(context.Context) error {
	return f.injectRelayFault(0, f.options.KillRelays, f.control.killRelay)
}

// freezeRelays freezes the relays that follow those to kill in the list.
func (f *fleet) freezeRelays(context.Context) error {
	return f.injectRelayFault(f.options.KillRelays, f.options.FreezeRelays, f.control.freezeRelay)
}

// injectRelayFault calls inject for a number of relays, counting from the middle of the list plus first.
func (f *fleet) injectRelayFault(first, number int, inject func(relay int) error) error {
	for i := range number {
		relay := (len(f.relays)/2 + first + i) % len(f.relays)
		if err := inject(relay); err != nil {
			return err
		}
	}
	return nil
}

// cutRegion partitions the region cutRegion from all others for the duration set in the options.
func (f *fleet) cutRegion(ctx context.Context) error {
	f.partition.begin()
	defer f.partition.heal()
	if !sleep(ctx, f.options.CutDuration) {
		return ctx.Err()
	}
	return nil
}

// restartAll kills the publisher and all relays, and restarts them after restartDelay.
func (f *fleet) restartAll(ctx context.Context) error {
	if err := f.killControl(); err != nil {
		return err
	}
	if !sleep(ctx, restartDelay) {
		return ctx.Err()
	}
	return f.restartControl()
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}
