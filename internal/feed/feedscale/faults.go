package feedscale

import (
	"context"
	"fmt"
	"time"
)

const (
	restartPause = time.Second     // between the death of publisher and relays and their restart
	faultWindow  = 5 * time.Second // changes that are due so long after a fault are summed up apart
)

// faultMark is a fault on the run's time line.
type faultMark struct {
	Text      string
	Isolating bool            // it met the subscribers of cutRegion alone
	From, To  time.Duration   // since the run began
	Heads     [kinds]position // what had been published when it was over
}

// strike waits for the time of the faults and brings them about, one after another. It returns what it did.
func (f *fleet) strike(ctx context.Context, say func(string)) ([]faultMark, error) {
	faults := f.faults()
	if len(faults) == 0 {
		return nil, nil
	}
	if !sleep(ctx, f.options.faultAt()) {
		return nil, ctx.Err()
	}
	var marks []faultMark
	for _, fault := range faults {
		mark := faultMark{Text: fault.text, Isolating: fault.isolating, From: time.Since(f.began)}
		say(fault.text)
		if err := fault.strike(ctx); err != nil {
			return marks, fmt.Errorf("%s: %w", fault.text, err)
		}
		mark.To = time.Since(f.began)
		for kind := range kinds {
			mark.Heads[kind] = f.ledger.head(kind, mark.To)
		}
		marks = append(marks, mark)
		say("over: " + fault.text)
	}
	return marks, nil
}

// plannedFault is a fault that the options ask for.
type plannedFault struct {
	text      string
	isolating bool // it meets the subscribers of cutRegion alone
	strike    func(context.Context) error
}

func (f *fleet) faults() (faults []plannedFault) {
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

// killRelays ends relays from the middle of the list, which are alone in their regions in a fleet of the default size.
func (f *fleet) killRelays(context.Context) error {
	return f.strikeRelays(0, f.options.KillRelays, f.control.killRelay)
}

// freezeRelays freezes those that come behind them in the list.
func (f *fleet) freezeRelays(context.Context) error {
	return f.strikeRelays(f.options.KillRelays, f.options.FreezeRelays, f.control.freezeRelay)
}

func (f *fleet) strikeRelays(first, number int, strike func(relay int) error) error {
	for i := range number {
		relay := (len(f.relays)/2 + first + i) % len(f.relays)
		if err := strike(relay); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) cutRegion(ctx context.Context) error {
	f.partition.begin()
	defer f.partition.heal()
	if !sleep(ctx, f.options.CutDuration) {
		return ctx.Err()
	}
	return nil
}

func (f *fleet) restartAll(ctx context.Context) error {
	if err := f.killControl(); err != nil {
		return err
	}
	if !sleep(ctx, restartPause) {
		return ctx.Err()
	}
	return f.restartControl()
}

// sleep waits, and tells whether it did so to the end.
func sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}
