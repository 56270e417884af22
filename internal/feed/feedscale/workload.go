package feedscale

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"
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
	identityBytes = 8 // a change is identified by the start of its key (purges) or of its value (settings)
	settingKeys   = 200
)

// plannedChange is a change that the workload publishes.
type plannedChange struct {
	Kind       Kind
	Due        time.Duration // since the workload began
	Identity   uint64        // no other change of the kind has it
	Key, Value []byte
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
		identity := newIdentity(random, taken)
		change := plannedChange{Kind: kind, Due: due, Identity: identity}
		change.Key, change.Value = content(kind, identity, options.SettingBytes, random)
		plan = append(plan, change)
	}
	return plan
}

// nextArrival draws the time between two changes; arrivals are independent of each other.
func nextArrival(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}

func newIdentity(random *rand.Rand, taken map[uint64]bool) uint64 {
	for {
		identity := random.Uint64()
		if !taken[identity] {
			taken[identity] = true
			return identity
		}
	}
}

// content makes a change's key and value. A purge is the hash of an object and has no value.
func content(kind Kind, identity uint64, settingBytes int, random *rand.Rand) (key, value []byte) {
	if kind == Purges {
		return binary.BigEndian.AppendUint64(nil, identity), nil
	}
	key = fmt.Appendf(nil, "cache/setting/%03d", random.IntN(settingKeys))
	value = binary.BigEndian.AppendUint64(nil, identity)
	for len(value) < settingBytes {
		value = append(value, byte(random.Uint32()))
	}
	return key, value
}

// identityOf reads back what content wrote.
func identityOf(kind Kind, key, value []byte) (identity uint64, ok bool) {
	text := key
	if kind == Settings {
		text = value
	}
	if len(text) < identityBytes {
		return 0, false
	}
	return binary.BigEndian.Uint64(text), true
}
