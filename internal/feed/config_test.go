package feed

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// subscriberConfig returns a valid configuration.
func subscriberConfig() Config {
	config := planConfig(3000)
	config.ID, config.Role, config.Parents = "node", Subscriber, []string{"a", "b"}
	return config
}

func publisherConfig() Config {
	config := subscriberConfig()
	config.Role, config.Epoch, config.Parents = Publisher, 1, nil
	return config
}

func TestConfigErrorNamesTheInvalidField(t *testing.T) {
	tests := []struct {
		field   string
		corrupt func(*Config)
	}{
		{"Cluster", func(c *Config) { c.Cluster = "" }},
		{"Cluster", func(c *Config) { c.Cluster = strings.Repeat("x", maxNameLength+1) }},
		{"ID", func(c *Config) { c.ID = "" }},
		{"Role", func(c *Config) { c.Role = 0 }},
		{"Role", func(c *Config) { c.Role = Subscriber + 1 }},
		{"Epoch", func(c *Config) { c.Epoch = 1 }},
		{"Epoch", func(c *Config) { c.Role, c.Parents = Publisher, nil }},
		{"Parents", func(c *Config) { c.Parents = nil }},
		{"Parents", func(c *Config) { c.Role, c.Epoch = Publisher, 1 }},
		{"Parents[1]", func(c *Config) { c.Parents[1] = "a" }},
		{"Parents[0]", func(c *Config) { c.Parents[0] = "" }},
		{"BatchEvery", func(c *Config) { c.BatchEvery = -time.Second }},
		{"SilenceAfter", func(c *Config) { c.SilenceAfter = time.Millisecond }},
		{"MaxAge", func(c *Config) { c.MaxAge = time.Millisecond }},
		{"RetryMax", func(c *Config) { c.RetryMax = time.Millisecond }},
		{"MaxChildren", func(c *Config) { c.MaxChildren = -1 }},
		{"CoarseAfter", func(c *Config) { c.CoarseAfter = -1 }},
		{"ChildBurst", func(c *Config) { c.ChildBurst = 10 }},
		{"ChildBytesPerSecond", func(c *Config) { c.ChildBytesPerSecond = 10 }},
		{"RelayBytesPerSecond", func(c *Config) { c.RelayBytesPerSecond = 10 }},
		{"TotalBytesPerSecond", func(c *Config) { c.TotalBytesPerSecond = 10 }},
		{"Kinds", func(c *Config) { c.Kinds = nil }},
		{"Kinds[1].Name", func(c *Config) { c.Kinds[1].Name = "" }},
		{"Kinds[1].Window", func(c *Config) { c.Kinds[1].Window = 0 }},
		{"Kinds[0].MaxValue", func(c *Config) { c.Kinds[0].MaxValue = DefaultChildBurst }},
	}
	for _, test := range tests {
		config := subscriberConfig()
		test.corrupt(&config)
		_, err := NewNode(config, nil, 0)
		var wrong *ConfigError
		if !errors.As(err, &wrong) || wrong.Field != test.field || !strings.Contains(err.Error(), test.field) {
			t.Errorf("invalid %s: %v", test.field, err)
		}
	}
	if err := subscriberConfig().Validate(); err != nil {
		t.Errorf("a valid configuration: %v", err)
	}
	if err := publisherConfig().Validate(); err != nil {
		t.Errorf("a publisher's valid configuration: %v", err)
	}
}

func TestNewNodeRefusesInvalidSavedChanges(t *testing.T) {
	tests := []struct {
		name  string
		saved []Change
	}{
		{"unknown kind", []Change{testChange(9, 1, 1)}},
		{"repeated position", []Change{testChange(0, 1, 1), testChange(0, 1, 1)}},
		{"falling sequence", []Change{testChange(0, 1, 5), testChange(0, 2, 4)}},
		{"falling epoch", []Change{testChange(0, 2, 5), testChange(0, 1, 6)}},
	}
	config := publisherConfig()
	config.Epoch = 2
	for _, test := range tests {
		var wrong *SavedChangeError
		if _, err := NewNode(config, test.saved, 0); !errors.As(err, &wrong) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	var wrong *ConfigError
	if _, err := NewNode(config, []Change{testChange(0, 3, 1)}, 0); !errors.As(err, &wrong) || wrong.Field != "Epoch" {
		t.Errorf("a change of a higher epoch: %v", err)
	}
	if _, err := NewNode(subscriberConfig(), []Change{testChange(0, 1, 1)}, 0); !errors.Is(err, ErrNotPublisher) {
		t.Errorf("a subscriber with saved changes: %v", err)
	}
}

func TestPublishRefusesInvalidChanges(t *testing.T) {
	publisher, err := NewNode(publisherConfig(), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	subscriber, err := NewNode(subscriberConfig(), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	key := []byte("abcdefgh")
	tests := []struct {
		name   string
		node   *Node
		kind   Kind
		key    []byte
		value  []byte
		wanted error
	}{
		{"subscriber", subscriber, 0, key, nil, ErrNotPublisher},
		{"unknown kind", publisher, 2, key, nil, ErrUnknownKind},
		{"no key", publisher, 0, nil, nil, ErrKeyLength},
		{"long key", publisher, 0, make([]byte, MaxKeyLength+1), nil, ErrKeyLength},
		{"key without a whole prefix", publisher, 1, key[:minEventKeyLength-1], nil, ErrKeyLength},
		{"long value", publisher, 0, key, make([]byte, 65), ErrValueLength},
	}
	for _, test := range tests {
		if _, err := test.node.Publish(test.kind, test.key, test.value); !errors.Is(err, test.wanted) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	if position, err := publisher.Publish(0, key, nil); err != nil || position != (Position{1, 1}) {
		t.Errorf("a change that fits: %s, %v", position, err)
	}
}
