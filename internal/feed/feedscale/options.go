package feedscale

import (
	"errors"
	"fmt"
	"time"
)

// The size to design for.
const (
	DefaultSubscribers       = 1700
	DefaultRelays            = 18
	DefaultRegions           = 15
	DefaultPurgesPerSecond   = 22
	DefaultSettingsPerSecond = 1
	DefaultSettingBytes      = 100
)

// What control may cost a balancer.
const (
	BytesPerSecondBudget = 3000
	CPUBudget            = 0.023 // of a core
	MemoryBudget         = 128 << 20
)

// Options describe a run.
type Options struct {
	Subscribers, Relays, Regions int
	PurgesPerSecond              float64
	SettingsPerSecond            float64
	SettingBytes                 int
	Duration                     time.Duration // of the workload
	Seed                         uint64
	Program                      string   // the program to start the publisher and relays from; empty: in this process
	Environment                  []string // more for its processes
	Directory                    string   // for the publisher's log and the configuration of processes

	KillRelays   int           // relays killed in mid-run: their connections end at once
	FreezeRelays int           // relays that fall silent in mid-run, as a machine does that fails: their connections stay
	CutSize      int           // subscribers of the region that is cut off; 0: none is
	CutDuration  time.Duration // for how long
	RestartAll   bool          // publisher and relays are killed at once, and started again
}

// validate tells what makes the options unusable.
func (o Options) validate() error {
	switch {
	case o.Subscribers < 1 || o.Relays < 1 || o.Regions < 1:
		return errors.New("want at least one subscriber, relay and region")
	case o.Duration <= 0:
		return errors.New("want a duration")
	case o.PurgesPerSecond < 0 || o.SettingsPerSecond < 0:
		return errors.New("want rates that are not negative")
	case o.SettingBytes < identityDigits:
		return fmt.Errorf("want settings of at least %d bytes", identityDigits)
	case o.KillRelays < 0 || o.FreezeRelays < 0 || o.KillRelays+o.FreezeRelays >= o.Relays:
		return fmt.Errorf("want to kill and freeze fewer relays than the %d there are", o.Relays)
	case o.FreezeRelays > 0 && o.Program == "":
		return errOneProcess
	case o.CutSize < 0 || o.CutSize > o.Subscribers:
		return fmt.Errorf("want to cut off at most the %d subscribers there are", o.Subscribers)
	case o.CutSize > 0 && (o.CutDuration <= 0 || min(o.Regions, o.Relays) < 2):
		return errors.New("a cut needs a duration and two regions with a relay each")
	case o.CutSize > 0 && o.faultAt()+o.CutDuration >= o.Duration:
		return errors.New("want a workload that goes on after the cut")
	}
	return nil
}

const (
	faultPart   = 3                // faults come after one part in so many of the workload
	latestFault = 10 * time.Second // or at this time, if that is earlier
)

// faultAt is when faults begin.
func (o Options) faultAt() time.Duration {
	return min(o.Duration/faultPart, latestFault)
}
