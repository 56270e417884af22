package feedscale

import (
	"errors"
	"fmt"
	"time"
)

// Defaults for Options: the scale that the change feed is designed for.
const (
	DefaultSubscribers       = 1700
	DefaultRelays            = 18
	DefaultRegions           = 15
	DefaultPurgesPerSecond   = 22
	DefaultSettingsPerSecond = 1
	DefaultSettingBytes      = 100
)

// The resources that the change feed may use at a balancer.
const (
	BytesPerSecondBudget = 3000
	CPUBudget            = 0.023 // of a core
	MemoryBudget         = 128 << 20
)

// Options configures a run.
type Options struct {
	Subscribers, Relays, Regions int
	PurgesPerSecond              float64
	SettingsPerSecond            float64
	SettingBytes                 int
	Duration                     time.Duration // of the workload
	Seed                         uint64
	Program                      string   // to run the publisher and relays as separate processes; empty: in the calling process
	Environment                  []string // additional variables for those processes, as KEY=VALUE
	Directory                    string   // parent of the run's temporary directory; empty: the system's default

	KillRelays   int           // relays to kill during the run, which closes their connections
	FreezeRelays int           // relays to suspend during the run, like a failed machine: their connections stay open
	CutSize      int           // subscribers in the region to cut off; 0: none is cut off
	CutDuration  time.Duration // how long the region is cut off
	RestartAll   bool          // whether to kill and restart the publisher and all relays
}

// validate returns an error that describes the first problem with the options.
func (o Options) validate() error {
	switch {
	case o.Subscribers < 1 || o.Relays < 1 || o.Regions < 1:
		return errors.New("at least one subscriber, relay and region is needed")
	case o.Duration <= 0:
		return errors.New("the duration must be positive")
	case o.PurgesPerSecond < 0 || o.SettingsPerSecond < 0:
		return errors.New("rates must not be negative")
	case o.SettingBytes < identityDigits:
		return fmt.Errorf("settings must have at least %d bytes", identityDigits)
	case o.KillRelays < 0 || o.FreezeRelays < 0 || o.KillRelays+o.FreezeRelays >= o.Relays:
		return fmt.Errorf("the number of relays to kill and freeze must be less than the %d of the fleet", o.Relays)
	case o.FreezeRelays > 0 && o.Program == "":
		return errRelayNotProcess
	case o.CutSize < 0 || o.CutSize > o.Subscribers:
		return fmt.Errorf("the number of subscribers to cut off must be between 0 and the %d of the fleet", o.Subscribers)
	case o.CutSize > 0 && (o.CutDuration <= 0 || min(o.Regions, o.Relays) < 2):
		return errors.New("cutting off a region needs a positive duration and two regions with a relay each")
	case o.CutSize > 0 && o.faultTime()+o.CutDuration >= o.Duration:
		return errors.New("the workload must last longer than the cut")
	}
	return nil
}

const (
	faultFraction   = 3                // faults begin after this fraction (1/3) of the workload
	latestFaultTime = 10 * time.Second // or at this time, if earlier
)

// faultTime returns when the faults begin, since the start of the workload.
func (o Options) faultTime() time.Duration {
	return min(o.Duration/faultFraction, latestFaultTime)
}
