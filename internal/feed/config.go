package feed

import (
	"fmt"
	"hash/crc32"
	"time"
)

// Role is a node's role in the feed.
type Role uint8

// Roles of a node.
const (
	Publisher Role = iota + 1
	Relay
	Subscriber
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Publisher:
		return "publisher"
	case Relay:
		return "relay"
	case Subscriber:
		return "subscriber"
	}
	return fmt.Sprintf("role %d", uint8(r))
}

// Defaults for the fields of Config that are zero.
const (
	DefaultMaxChildren         = 1024
	DefaultBatchEvery          = 200 * time.Millisecond
	DefaultHeartbeatEvery      = 500 * time.Millisecond
	DefaultSilenceAfter        = 1500 * time.Millisecond
	DefaultDialTimeout         = 400 * time.Millisecond
	DefaultRetryMin            = 100 * time.Millisecond
	DefaultRetryMax            = time.Second
	DefaultRelayRetryMax       = 400 * time.Millisecond
	DefaultMaxAge              = 2 * time.Second
	DefaultReturnAfter         = 30 * time.Second
	DefaultReturnJitter        = 30 * time.Second
	DefaultChildBytesPerSecond = 2400
	DefaultChildBurst          = 600
	DefaultRelayBytesPerSecond = 256 << 10
	DefaultTotalBytesPerSecond = 4 << 20
	DefaultCoarseAfter         = 256
)

const (
	maxKinds = 16
	// changeOverhead bounds the bytes of a message with one change apart from its key and value.
	changeOverhead = messageOverhead + entryOverhead + snapshotOverhead
	// heartbeatReserve is the part of a child's budget, in bytes, that only heartbeats and Hellos may use.
	heartbeatReserve = 120
	// minRelayBursts ensures that the bursts of the relay and total budgets fit a change next to the reserve.
	minRelayBursts = 2 * burstShare
)

// Config configures a Node. A zero field for which there is a Default constant takes that default.
type Config struct {
	// Cluster must be equal at both ends of a connection.
	Cluster string
	// ID names the node in logs and status.
	ID   string
	Role Role
	// Epoch orders publishers: each new publisher needs a higher epoch than all before it. Publisher only.
	Epoch uint64
	// Kinds must be the same list on all nodes.
	Kinds []KindConfig
	// Parents lists the addresses of parents in order of preference. The parents of a relay are publishers.
	Parents []string
	// MaxChildren is how many children are served. Further ones are refused and try their next parent.
	MaxChildren int

	// BatchEvery is the minimum interval between two rounds of sending changes to the children.
	BatchEvery time.Duration
	// HeartbeatEvery is the interval at which a child sends a Ping, which its parent answers with a Heartbeat.
	HeartbeatEvery time.Duration
	// SilenceAfter is how long a parent may be silent before its connection is closed.
	SilenceAfter time.Duration
	// DialTimeout limits an attempt to connect.
	DialTimeout time.Duration
	// RetryMin and RetryMax bound the delay between the starts of two attempts, which grows exponentially with full jitter.
	// The next attempt never starts before the previous one has failed. Relays have a shorter default for RetryMax, because
	// many subscribers depend on each of them.
	RetryMin, RetryMax time.Duration
	// MaxAge is the age above which data counts as stale.
	MaxAge time.Duration
	// ReturnAfter and ReturnJitter determine when a child that follows another parent checks whether its preferred parent is
	// back: between ReturnAfter and ReturnAfter plus ReturnJitter after the change of parents.
	ReturnAfter, ReturnJitter time.Duration

	// ChildBytesPerSecond and ChildBurst are the budget of each subscriber: their sum is the maximum in any second.
	ChildBytesPerSecond, ChildBurst int
	// RelayBytesPerSecond is the maximum sent to one relay in any second.
	RelayBytesPerSecond int
	// TotalBytesPerSecond is the maximum sent to all children together in any second.
	TotalBytesPerSecond int
	// CoarseAfter is how many changes a subscriber may be behind on a kind without state before it receives sets of hash
	// prefixes instead of keys.
	CoarseAfter int

	// Seed seeds the generator of random delays. Each node needs a different seed.
	Seed uint64
}

// withDefaults returns c with zero fields replaced by their defaults.
func (c Config) withDefaults() Config {
	setDefault(&c.MaxChildren, DefaultMaxChildren)
	setDefault(&c.BatchEvery, DefaultBatchEvery)
	setDefault(&c.HeartbeatEvery, DefaultHeartbeatEvery)
	setDefault(&c.SilenceAfter, DefaultSilenceAfter)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.RetryMin, DefaultRetryMin)
	if c.Role == Relay {
		setDefault(&c.RetryMax, DefaultRelayRetryMax)
	}
	setDefault(&c.RetryMax, DefaultRetryMax)
	setDefault(&c.MaxAge, DefaultMaxAge)
	setDefault(&c.ReturnAfter, DefaultReturnAfter)
	setDefault(&c.ReturnJitter, DefaultReturnJitter)
	setDefault(&c.ChildBytesPerSecond, DefaultChildBytesPerSecond)
	setDefault(&c.ChildBurst, DefaultChildBurst)
	setDefault(&c.RelayBytesPerSecond, DefaultRelayBytesPerSecond)
	setDefault(&c.TotalBytesPerSecond, DefaultTotalBytesPerSecond)
	setDefault(&c.CoarseAfter, DefaultCoarseAfter)
	return c
}

// setDefault sets a field to value if it is zero.
func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// kindsChecksum returns a checksum over the names of the kinds and whether they are stateful. Nodes exchange changes only if
// their checksums are equal.
func (c Config) kindsChecksum() uint32 {
	e := encoder{}
	for _, kind := range c.Kinds {
		e.bytes([]byte(kind.Name))
		e.flag(kind.Stateful)
	}
	return crc32.Checksum(e.buffer, castagnoli)
}

// Validate returns a *ConfigError for the first invalid field, or nil.
func (c Config) Validate() error {
	c = c.withDefaults()
	checks := []func(Config) error{
		checkIdentity, checkParents, checkTimes, checkBudgets, checkKinds,
	}
	for _, check := range checks {
		if err := check(c); err != nil {
			return err
		}
	}
	return nil
}

// newConfigError returns a *ConfigError for a field, with a formatted description of the problem.
func newConfigError(field, format string, arguments ...any) error {
	return &ConfigError{Field: field, Problem: fmt.Sprintf(format, arguments...)}
}

// checkIdentity returns a *ConfigError if the cluster, the ID, the role or the epoch is invalid, or nil.
func checkIdentity(c Config) error {
	switch {
	case c.Cluster == "" || len(c.Cluster) > maxNameLength:
		return newConfigError("Cluster", "has to be 1 to %d bytes long", maxNameLength)
	case c.ID == "" || len(c.ID) > maxNameLength:
		return newConfigError("ID", "has to be 1 to %d bytes long", maxNameLength)
	case c.Role < Publisher || c.Role > Subscriber:
		return newConfigError("Role", "%s is none of publisher, relay and subscriber", c.Role)
	case c.Role == Publisher && c.Epoch == 0:
		return newConfigError("Epoch", "a publisher needs an epoch of 1 or more")
	case c.Role != Publisher && c.Epoch != 0:
		return newConfigError("Epoch", "only a publisher has an epoch")
	}
	return nil
}

// checkParents returns a *ConfigError if the parents don't suit the role, or one is empty or given twice, or nil.
func checkParents(c Config) error {
	if c.Role == Publisher && len(c.Parents) > 0 {
		return newConfigError("Parents", "a publisher has no parents")
	}
	if c.Role != Publisher && len(c.Parents) == 0 {
		return newConfigError("Parents", "a %s needs at least one", c.Role)
	}
	seen := make(map[string]bool)
	for i, address := range c.Parents {
		if address == "" || seen[address] {
			return newConfigError(fmt.Sprintf("Parents[%d]", i), "is empty or given twice")
		}
		seen[address] = true
	}
	return nil
}

// checkTimes returns a *ConfigError if a duration is below 1 ms or too short compared with another one, or nil.
func checkTimes(c Config) error {
	durations := []struct {
		field string
		value time.Duration
	}{
		{"BatchEvery", c.BatchEvery}, {"HeartbeatEvery", c.HeartbeatEvery}, {"SilenceAfter", c.SilenceAfter},
		{"DialTimeout", c.DialTimeout}, {"RetryMin", c.RetryMin}, {"RetryMax", c.RetryMax}, {"MaxAge", c.MaxAge},
		{"ReturnAfter", c.ReturnAfter}, {"ReturnJitter", c.ReturnJitter},
	}
	for _, duration := range durations {
		if duration.value < time.Millisecond {
			return newConfigError(duration.field, "has to be 1ms or more")
		}
	}
	if c.SilenceAfter < 2*c.HeartbeatEvery {
		return newConfigError("SilenceAfter", "has to be at least twice HeartbeatEvery (%s)", c.HeartbeatEvery)
	}
	if c.RetryMax < c.RetryMin {
		return newConfigError("RetryMax", "is less than RetryMin (%s)", c.RetryMin)
	}
	if c.MaxAge < 2*c.HeartbeatEvery {
		return newConfigError("MaxAge", "has to be at least twice HeartbeatEvery (%s)", c.HeartbeatEvery)
	}
	return nil
}

// checkBudgets returns a *ConfigError if MaxChildren, CoarseAfter or a budget of bytes is too low, or nil.
func checkBudgets(c Config) error {
	switch {
	case c.MaxChildren < 1:
		return newConfigError("MaxChildren", "has to be 1 or more")
	case c.CoarseAfter < 1:
		return newConfigError("CoarseAfter", "has to be 1 or more")
	case c.ChildBurst < minBurst:
		return newConfigError("ChildBurst", "has to be %d bytes or more", minBurst)
	case c.ChildBytesPerSecond < c.ChildBurst:
		return newConfigError("ChildBytesPerSecond", "is less than ChildBurst (%d)", c.ChildBurst)
	case c.RelayBytesPerSecond < minRelayBursts*c.ChildBurst:
		return newConfigError("RelayBytesPerSecond", "has to be at least %d times ChildBurst (%d)", minRelayBursts, c.ChildBurst)
	case c.TotalBytesPerSecond < c.RelayBytesPerSecond:
		return newConfigError("TotalBytesPerSecond", "is less than RelayBytesPerSecond (%d)", c.RelayBytesPerSecond)
	}
	return nil
}

// checkKinds returns a *ConfigError if the number of kinds or a kind's name, window or MaxValue is invalid, or nil.
func checkKinds(c Config) error {
	if len(c.Kinds) == 0 || len(c.Kinds) > maxKinds {
		return newConfigError("Kinds", "has to name 1 to %d kinds", maxKinds)
	}
	largest := c.ChildBurst - heartbeatReserve - changeOverhead - MaxKeyLength
	for i, kind := range c.Kinds {
		field := fmt.Sprintf("Kinds[%d]", i)
		switch {
		case kind.Name == "":
			return newConfigError(field+".Name", "is empty")
		case kind.Window < 1:
			return newConfigError(field+".Window", "has to be 1 or more")
		case kind.MaxValue < 0 || kind.MaxValue > largest:
			return newConfigError(field+".MaxValue", "has to be 0 to %d, so that a change fits ChildBurst (%d)", largest,
				c.ChildBurst)
		}
	}
	return nil
}
