package feedscale

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of changes in the workload. Its value is the kind's index in the feed's configuration.
type Kind uint8

// The kinds of changes.
const (
	Settings Kind = iota // the latest value by key counts
	Purges               // each one counts
	kinds                // the number of kinds
)

// String names the kind as the feed's configuration does.
func (k Kind) String() string {
	switch k {
	case Settings:
		return "settings"
	case Purges:
		return "purges"
	default:
		return fmt.Sprintf("kind %d", uint8(k))
	}
}

// Streams of the seeded generator, one for each use.
const (
	seedOfPlacement = iota + 1
	seedOfSettings
	seedOfPurges
)

const (
	settingKeys    = 200
	identityDigits = 16 // at the start of a setting's value, hexadecimal
	identityBits   = 64
)

// plannedChange is a change that the workload publishes.
type plannedChange struct {
	Kind     Kind
	Due      time.Duration // since the workload began
	Identity uint64        // no other change of the kind has it
	Name     string        // the setting's key, or the object that is purged
	Value    string        // of a setting
}

// key is the change's key in the feed: a purge has the hash of its object.
func (c plannedChange) key() []byte {
	if c.Kind == Purges {
		return binary.BigEndian.AppendUint64(nil, c.Identity)
	}
	return []byte(c.Name)
}

// planWorkload draws the changes of a kind, in the order of their due times.
func planWorkload(options Options, kind Kind) []plannedChange {
	rate, stream := options.PurgesPerSecond, uint64(seedOfPurges)
	if kind == Settings {
		rate, stream = options.SettingsPerSecond, seedOfSettings
	}
	if rate <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(options.Seed, stream))
	taken := map[uint64]bool{}
	var plan []plannedChange
	for due := nextArrival(random, rate); due < options.Duration; due += nextArrival(random, rate) {
		change := drawChange(kind, options.SettingBytes, random)
		for taken[change.Identity] {
			change = drawChange(kind, options.SettingBytes, random)
		}
		taken[change.Identity] = true
		change.Due = due
		plan = append(plan, change)
	}
	return plan
}

// nextArrival draws the time between two changes; arrivals are independent of each other.
func nextArrival(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}

func drawChange(kind Kind, settingBytes int, random *rand.Rand) plannedChange {
	if kind == Purges {
		object := fmt.Sprintf("object/%016x", random.Uint64())
		return plannedChange{Kind: Purges, Identity: xxhash.Sum64String(object), Name: object}
	}
	identity := random.Uint64()
	value := fmt.Appendf(nil, "%0*x", identityDigits, identity)
	for len(value) < settingBytes {
		value = append(value, 'a'+byte(random.IntN(26)))
	}
	name := fmt.Sprintf("cache/setting/%03d", random.IntN(settingKeys))
	return plannedChange{Kind: Settings, Identity: identity, Name: name, Value: string(value)}
}

// identityOf reads a change's identity back from its key and value.
func identityOf(kind Kind, key, value []byte) (identity uint64, ok bool) {
	if kind == Purges {
		if len(key) != identityBits/8 {
			return 0, false
		}
		return binary.BigEndian.Uint64(key), true
	}
	if len(value) < identityDigits {
		return 0, false
	}
	identity, err := strconv.ParseUint(string(value[:identityDigits]), 16, identityBits)
	return identity, err == nil
}
