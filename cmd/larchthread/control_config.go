package main

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"larchthread/internal/feed"
	"larchthread/internal/feed/feednet"
)

// Kinds of changes by index. The indices are part of the protocol and must be the same on all nodes of a
// cluster.
const (
	settingsKind feed.Kind = iota
	purgesKind
)

// Defaults of the control file.
const (
	defaultSettingsWindow = 4096  // number of changes
	defaultPurgesWindow   = 30000 // number of changes: over 20 minutes at 22 changes per second
	defaultMaxValueBytes  = 256   // including the key, a change must fit into child_burst_bytes
)

// controlFile is the top level of a control file.
type controlFile struct {
	Control *controlSection `yaml:"control"`
}

// controlSection is the content of a control file. Zero stands for the default of a field. Fields without
// another unit in their key are counts; keys that end in _ms are milliseconds.
type controlSection struct {
	Cluster   string   `yaml:"cluster"`
	ID        string   `yaml:"id"`
	Role      string   `yaml:"role"`
	Epoch     uint64   `yaml:"epoch"`
	Listen    string   `yaml:"listen"`
	Directory string   `yaml:"directory"`
	Parents   []string `yaml:"parents"`
	Seed      uint64   `yaml:"seed"`

	MaxChildren         int `yaml:"max_children"`
	ChildBytesPerSecond int `yaml:"child_bytes_per_second"`
	ChildBurstBytes     int `yaml:"child_burst_bytes"`
	RelayBytesPerSecond int `yaml:"relay_bytes_per_second"`
	TotalBytesPerSecond int `yaml:"total_bytes_per_second"`
	CoarseAfter         int `yaml:"coarse_after"`

	Batch        int `yaml:"batch_ms"`
	Heartbeat    int `yaml:"heartbeat_ms"`
	Silence      int `yaml:"silence_ms"`
	Dial         int `yaml:"dial_ms"`
	RetryMin     int `yaml:"retry_min_ms"`
	RetryMax     int `yaml:"retry_max_ms"`
	MaxAge       int `yaml:"max_age_ms"`
	Return       int `yaml:"return_ms"`
	ReturnJitter int `yaml:"return_jitter_ms"`

	Settings settingsSection `yaml:"settings"`
	Purges   purgesSection   `yaml:"purges"`
}

// settingsSection limits how much of the settings changes is kept.
type settingsSection struct {
	Window        int `yaml:"window"`
	MaxValueBytes int `yaml:"max_value_bytes"`
}

// purgesSection limits how much of the purges is kept.
type purgesSection struct {
	Window int `yaml:"window"`
}

// controlKeys maps field names in errors of feed.Config to keys of the control file.
var controlKeys = map[string]string{
	"Cluster": "cluster", "ID": "id", "Role": "role", "Epoch": "epoch", "Parents": "parents",
	"MaxChildren": "max_children", "ChildBytesPerSecond": "child_bytes_per_second", "ChildBurst": "child_burst_bytes",
	"RelayBytesPerSecond": "relay_bytes_per_second", "TotalBytesPerSecond": "total_bytes_per_second",
	"CoarseAfter": "coarse_after", "BatchEvery": "batch_ms", "HeartbeatEvery": "heartbeat_ms",
	"SilenceAfter": "silence_ms", "DialTimeout": "dial_ms", "RetryMin": "retry_min_ms", "RetryMax": "retry_max_ms",
	"MaxAge": "max_age_ms", "ReturnAfter": "return_ms", "ReturnJitter": "return_jitter_ms",
	"Kinds[0].Window": "settings.window", "Kinds[0].MaxValue": "settings.max_value_bytes",
	"Kinds[1].Window": "purges.window",
}

// isControlFile reports whether a YAML text is a control file rather than an own file.
func isControlFile(text []byte) bool {
	var top map[string]yaml.Node
	if yaml.Unmarshal(text, &top) != nil {
		return false
	}
	_, ok := top["control"]
	return ok
}

// readControlFile reads and validates a control file. Relative paths in it are resolved against the file's
// directory. The error lists every problem with its key.
func readControlFile(path string) (feednet.Options, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return feednet.Options{}, fmt.Errorf("control file: %w", err)
	}
	section, faults := parseControl(text)
	if len(faults) == 0 {
		faults = section.validate()
	}
	if len(faults) > 0 {
		for i, fault := range faults {
			faults[i] = fmt.Errorf("control file %s: %w", path, fault)
		}
		return feednet.Options{}, errors.Join(faults...)
	}
	return section.options(filepath.Dir(path)), nil
}

// checkControlFile validates a control file and returns a one-line summary.
func checkControlFile(path string) (string, error) {
	options, err := readControlFile(path)
	if err != nil {
		return "", err
	}
	summary := fmt.Sprintf("a control file of a %s in cluster %s", roleName(options.Feed.Role), options.Feed.Cluster)
	if options.Listen != "" {
		summary += ", listens on " + options.Listen
	}
	return summary, nil
}

// parseControl decodes a control file. Unknown keys and values of a wrong type are errors.
func parseControl(text []byte) (controlSection, []error) {
	var file controlFile
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	err := decoder.Decode(&file)
	var typeError *yaml.TypeError
	switch {
	case errors.As(err, &typeError):
		var faults []error
		for _, problem := range typeError.Errors {
			problem, _, _ = strings.Cut(problem, " in type ") // drops the name of the Go type
			faults = append(faults, errors.New(problem))
		}
		return controlSection{}, faults
	case err != nil && err != io.EOF:
		return controlSection{}, []error{errors.New(strings.TrimPrefix(err.Error(), "yaml: "))}
	case file.Control == nil:
		return controlSection{}, []error{errors.New("control: missing")}
	}
	return *file.Control, nil
}

// rolesByName maps role names of the control file to roles.
var rolesByName = map[string]feed.Role{"publisher": feed.Publisher, "relay": feed.Relay, "follower": feed.Subscriber}

// role returns the node's role, or 0 if its name is unknown.
func (s controlSection) role() feed.Role {
	return rolesByName[s.Role]
}

// roleName returns the name of a role in the control file.
func roleName(role feed.Role) string {
	for name, candidate := range rolesByName {
		if candidate == role {
			return name
		}
	}
	return role.String()
}

// validate returns all errors of the section.
func (s controlSection) validate() []error {
	var faults []error
	check := func(invalid bool, format string, arguments ...any) {
		if invalid {
			faults = append(faults, fmt.Errorf(format, arguments...))
		}
	}
	role := s.role()
	publishes, serves := role == feed.Publisher, role != feed.Subscriber
	check(role == 0, "control.role: %q, want publisher, relay or follower", s.Role)
	check(s.Cluster == "", "control.cluster: missing")
	check(s.ID == "", "control.id: missing")
	check(publishes && s.Epoch == 0, "control.epoch: missing, a publisher needs 1 or more")
	check(!publishes && s.Epoch != 0, "control.epoch: only a publisher has one, leave it out")
	check(serves && !isAddress(s.Listen), "control.listen: %q, want an IP address with a port", s.Listen)
	check(!serves && s.Listen != "", "control.listen: a follower serves nobody, leave it out")
	check(publishes && s.Directory == "", "control.directory: missing")
	check(!publishes && s.Directory != "", "control.directory: only a publisher has one, leave it out")
	check(publishes && len(s.Parents) > 0, "control.parents: a publisher has none, leave them out")
	check(!publishes && len(s.Parents) == 0, "control.parents: missing")
	for i, parent := range s.Parents {
		check(!isAddress(parent), "control.parents[%d]: %q, want an IP address with a port", i, parent)
	}
	for _, number := range s.numbers() {
		check(*number.value < 0, "control.%s: %d, want 1 or more", number.key, *number.value)
	}
	if len(faults) > 0 {
		return faults
	}
	return s.validateNumbers()
}

// validateNumbers returns the errors of feed.Config. Config.Validate reports only its first error, so each
// rejected number is reset to its default before the next call.
func (s controlSection) validateNumbers() []error {
	var faults []error
	for range s.numbers() {
		err := s.feedConfig().Validate()
		if err == nil {
			break
		}
		key, problem := configErrorKey(err)
		faults = append(faults, fmt.Errorf("control.%s: %s", key, problem))
		if !s.reset(key) {
			break
		}
	}
	return faults
}

// reset sets a number to its default. It returns false if the key is not that of a number or the number already
// has its default.
func (s *controlSection) reset(key string) bool {
	for _, number := range s.numbers() {
		if number.key == key && *number.value != 0 {
			*number.value = 0
			return true
		}
	}
	return false
}

// numericField is a numeric field and its key.
type numericField struct {
	key   string
	value *int
}

// numbers returns all fields that must not be negative.
func (s *controlSection) numbers() []numericField {
	return []numericField{
		{"max_children", &s.MaxChildren}, {"child_bytes_per_second", &s.ChildBytesPerSecond},
		{"child_burst_bytes", &s.ChildBurstBytes}, {"relay_bytes_per_second", &s.RelayBytesPerSecond},
		{"total_bytes_per_second", &s.TotalBytesPerSecond}, {"coarse_after", &s.CoarseAfter},
		{"batch_ms", &s.Batch}, {"heartbeat_ms", &s.Heartbeat}, {"silence_ms", &s.Silence}, {"dial_ms", &s.Dial},
		{"retry_min_ms", &s.RetryMin}, {"retry_max_ms", &s.RetryMax}, {"max_age_ms", &s.MaxAge},
		{"return_ms", &s.Return}, {"return_jitter_ms", &s.ReturnJitter}, {"settings.window", &s.Settings.Window},
		{"settings.max_value_bytes", &s.Settings.MaxValueBytes}, {"purges.window", &s.Purges.Window},
	}
}

// configErrorKey returns the control file's key for an error of feed.Config, and the problem without the field
// name.
func configErrorKey(err error) (key, problem string) {
	var configError *feed.ConfigError
	if !errors.As(err, &configError) {
		return "", err.Error()
	}
	if key, ok := controlKeys[configError.Field]; ok {
		return key, configError.Problem
	}
	field, index, _ := strings.Cut(configError.Field, "[")
	return controlKeys[field] + "[" + index, configError.Problem
}

// isAddress reports whether a text is an IP address with a port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// options returns the options of the node's server. A relative directory is resolved against base.
func (s controlSection) options(baseDir string) feednet.Options {
	options := feednet.Options{Feed: s.feedConfig(), Listen: s.Listen, Directory: s.Directory}
	if s.Directory != "" && !filepath.IsAbs(s.Directory) {
		options.Directory = filepath.Join(baseDir, s.Directory)
	}
	return options
}

// feedConfig returns the node's feed configuration.
func (s controlSection) feedConfig() feed.Config {
	return feed.Config{
		Cluster: s.Cluster, ID: s.ID, Role: s.role(), Epoch: s.Epoch, Parents: s.Parents,
		Kinds: []feed.KindConfig{
			settingsKind: {Name: "settings", Stateful: true, Window: cmp.Or(s.Settings.Window, defaultSettingsWindow),
				MaxValue: cmp.Or(s.Settings.MaxValueBytes, defaultMaxValueBytes)},
			purgesKind: {Name: "purges", Window: cmp.Or(s.Purges.Window, defaultPurgesWindow)},
		},
		MaxChildren: s.MaxChildren, ChildBytesPerSecond: s.ChildBytesPerSecond, ChildBurst: s.ChildBurstBytes,
		RelayBytesPerSecond: s.RelayBytesPerSecond, TotalBytesPerSecond: s.TotalBytesPerSecond, CoarseAfter: s.CoarseAfter,
		BatchEvery: milliseconds(s.Batch), HeartbeatEvery: milliseconds(s.Heartbeat), SilenceAfter: milliseconds(s.Silence),
		DialTimeout: milliseconds(s.Dial), RetryMin: milliseconds(s.RetryMin), RetryMax: milliseconds(s.RetryMax),
		MaxAge: milliseconds(s.MaxAge), ReturnAfter: milliseconds(s.Return), ReturnJitter: milliseconds(s.ReturnJitter),
		Seed: s.seed(),
	}
}

// seed returns the configured seed, or one derived from cluster and node ID, because nodes need different seeds.
func (s controlSection) seed() uint64 {
	if s.Seed != 0 {
		return s.Seed
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%s", s.Cluster, s.ID)
	return hash.Sum64()
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}
