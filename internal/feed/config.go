package feed

import (
	"fmt"
	"hash/crc32"
	"time"
)

// Role is a node's part in the feed.
type Role uint8

// The roles.
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

// Defaults of Config: they take the place of a zero field.
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
	// changeOverhead is the most that a message with one change holds besides its key and value.
	changeOverhead = messageOverhead + entryOverhead + snapshotOverhead
	// heartbeatReserve is kept in a child's budget for heartbeats and greetings: no change may take it.
	heartbeatReserve = 120
	// leastRelayBursts makes for a burst of the larger budgets in which a change fits beside what is reserved.
	leastRelayBursts = 2 * burstShare
)

// Config is the configuration of a Node. A zero field with a Default constant takes that default.
type Config struct {
	// Cluster has to be the same at both ends of a connection.
	Cluster string
	// ID names the node in logs and status.
	ID   string
	Role Role
	// Epoch orders publishers: each new one is started with a higher epoch than all before it. Publisher only.
	Epoch uint64
	// Kinds is the same list on all nodes.
	Kinds []KindConfig
	// Parents are the addresses of parents by preference. A relay's are publishers alone.
	Parents []string
	// MaxChildren is how many children are served; more are refused and try their next parent.
	MaxChildren int

	// BatchEvery is the least time between two rounds of sending changes to the children.
	BatchEvery time.Duration
	// HeartbeatEvery is how often a child sends a Ping, which its parent answers with a Heartbeat.
	HeartbeatEvery time.Duration
	// SilenceAfter is how long a parent may be silent before it is given up.
	SilenceAfter time.Duration
	// DialTimeout is how long an attempt to connect may take.
	DialTimeout time.Duration
	// RetryMin and RetryMax bound the time from one attempt's start to the next: exponential with full jitter, and not before
	// the attempt has failed. There are few relays, and many wait for each: their default is shorter.
	RetryMin, RetryMax time.Duration
	// MaxAge is the age of knowledge beyond which it counts as stale.
	MaxAge time.Duration
	// ReturnAfter and ReturnJitter say when a child looks whether its preferred parent is back: between ReturnAfter and
	// ReturnAfter plus ReturnJitter after it took another one.
	ReturnAfter, ReturnJitter time.Duration

	// ChildBytesPerSecond and ChildBurst are the budget of each subscriber: in any second it is sent at most their sum.
	ChildBytesPerSecond, ChildBurst int
	// RelayBytesPerSecond is the most that one relay is sent in any second.
	RelayBytesPerSecond int
	// TotalBytesPerSecond is the most that all children together are sent in any second.
	TotalBytesPerSecond int
	// CoarseAfter is how many changes a subscriber may be behind on a kind without state before it gets sets of hash
	// prefixes in place of keys.
	CoarseAfter int

	// Seed starts the generator of random waits. Nodes need different seeds.
	Seed uint64
}

// withDefaults returns c with the defaults in the place of zero fields.
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

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// kindsChecksum tells lists of kinds apart that nodes can't exchange changes with.
func (c Config) kindsChecksum() uint32 {
	e := encoder{}
	for _, kind := range c.Kinds {
		e.bytes([]byte(kind.Name))
		e.flag(kind.Stateful)
	}
	return crc32.Checksum(e.buffer, castagnoli)
}

// Validate returns a *ConfigError for the first field that can't be used, or nil.
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

func invalid(field, format string, arguments ...any) error {
	return &ConfigError{Field: field, Problem: fmt.Sprintf(format, arguments...)}
}

func checkIdentity(c Config) error {
	switch {
	case c.Cluster == "" || len(c.Cluster) > maxNameLength:
		return invalid("Cluster", "has to be 1 to %d bytes long", maxNameLength)
	case c.ID == "" || len(c.ID) > maxNameLength:
		return invalid("ID", "has to be 1 to %d bytes long", maxNameLength)
	case c.Role < Publisher || c.Role > Subscriber:
		return invalid("Role", "%s is none of publisher, relay and subscriber", c.Role)
	case c.Role == Publisher && c.Epoch == 0:
		return invalid("Epoch", "a publisher needs an epoch of 1 or more")
	case c.Role != Publisher && c.Epoch != 0:
		return invalid("Epoch", "only a publisher has an epoch")
	}
	return nil
}

func checkParents(c Config) error {
	if c.Role == Publisher && len(c.Parents) > 0 {
		return invalid("Parents", "a publisher has no parents")
	}
	if c.Role != Publisher && len(c.Parents) == 0 {
		return invalid("Parents", "a %s needs at least one", c.Role)
	}
	seen := make(map[string]bool)
	for i, address := range c.Parents {
		if address == "" || seen[address] {
			return invalid(fmt.Sprintf("Parents[%d]", i), "is empty or given twice")
		}
		seen[address] = true
	}
	return nil
}

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
			return invalid(duration.field, "has to be 1ms or more")
		}
	}
	if c.SilenceAfter < 2*c.HeartbeatEvery {
		return invalid("SilenceAfter", "has to be at least twice HeartbeatEvery (%s)", c.HeartbeatEvery)
	}
	if c.RetryMax < c.RetryMin {
		return invalid("RetryMax", "is less than RetryMin (%s)", c.RetryMin)
	}
	if c.MaxAge < 2*c.HeartbeatEvery {
		return invalid("MaxAge", "has to be at least twice HeartbeatEvery (%s)", c.HeartbeatEvery)
	}
	return nil
}

func checkBudgets(c Config) error {
	switch {
	case c.MaxChildren < 1:
		return invalid("MaxChildren", "has to be 1 or more")
	case c.CoarseAfter < 1:
		return invalid("CoarseAfter", "has to be 1 or more")
	case c.ChildBurst < minBurst:
		return invalid("ChildBurst", "has to be %d bytes or more", minBurst)
	case c.ChildBytesPerSecond < c.ChildBurst:
		return invalid("ChildBytesPerSecond", "is less than ChildBurst (%d)", c.ChildBurst)
	case c.RelayBytesPerSecond < leastRelayBursts*c.ChildBurst:
		return invalid("RelayBytesPerSecond", "has to be at least %d times ChildBurst (%d)", leastRelayBursts, c.ChildBurst)
	case c.TotalBytesPerSecond < c.RelayBytesPerSecond:
		return invalid("TotalBytesPerSecond", "is less than RelayBytesPerSecond (%d)", c.RelayBytesPerSecond)
	}
	return nil
}

func checkKinds(c Config) error {
	if len(c.Kinds) == 0 || len(c.Kinds) > maxKinds {
		return invalid("Kinds", "has to name 1 to %d kinds", maxKinds)
	}
	largest := c.ChildBurst - heartbeatReserve - changeOverhead - MaxKeyLength
	for i, kind := range c.Kinds {
		field := fmt.Sprintf("Kinds[%d]", i)
		switch {
		case kind.Name == "":
			return invalid(field+".Name", "is empty")
		case kind.Window < 1:
			return invalid(field+".Window", "has to be 1 or more")
		case kind.MaxValue < 0 || kind.MaxValue > largest:
			return invalid(field+".MaxValue", "has to be 0 to %d, so that a change fits ChildBurst (%d)", largest, c.ChildBurst)
		}
	}
	return nil
}
