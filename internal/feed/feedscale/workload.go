package feedscale

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of changes in the workload. Its value is the index of the kind in the feed's configuration.
type Kind uint8

// The kinds of changes.
const (
	Settings Kind = iota // only the latest value of each key matters
	Purges               // every change matters
	kinds                // the number of kinds
)

// String returns the kind's name in the feed's configuration.
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

// Streams of the seeded random generator, one for each use.
const (
	placementStream = iota + 1
	settingsStream
	purgesStream
)

const (
	settingKeys    = 200
	identityDigits = 16 // hexadecimal digits at the start of a setting's value
	identityBits   = 64
)

// plannedChange is a change of the workload.
type plannedChange struct {
	Kind     Kind
	Due      time.Duration // since the start of the workload
	Identity uint64        // unique among the changes of the kind
	Name     string        // the setting's key, or the object to purge
	Value    string        // of a setting; empty for a purge
}

// key returns the change's key in the feed: the setting's key, or the hash of the object to purge.
func (c plannedChange) key() []byte {
	if c.Kind == Purges {
		return binary.BigEndian.AppendUint64(nil, c.Identity)
	}
	return []byte(c.Name)
}

// planWorkload generates the changes of a kind from the options' seed, in the order of their due times.
func planWorkload(options Options, kind Kind) []plannedChange {
	rate, stream := options.PurgesPerSecond, uint64(purgesStream)
	if kind == Settings {
		rate, stream = options.SettingsPerSecond, settingsStream
	}
	if rate <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(options.Seed, stream))
	used := map[uint64]bool{}
	var plan []plannedChange
	for due := nextArrival(random, rate); due < options.Duration; due += nextArrival(random, rate) {
		change := randomChange(kind, options.SettingBytes, random)
		for used[change.Identity] {
			change = randomChange(kind, options.SettingBytes, random)
		}
		used[change.Identity] = true
		change.Due = due
		plan = append(plan, change)
	}
	return plan
}

// nextArrival returns a random time between two changes of a Poisson process with the given rate per second.
func nextArrival(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}

// randomChange generates a change of a kind without a due time; a setting's value has at least settingBytes bytes.
func randomChange(kind Kind, settingBytes int, random *rand.Rand) plannedChange {
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

// identityOf extracts a change's identity from its key and value. It returns false if they contain none.
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
