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

// The kinds of changes, by their index. All nodes of a cluster have the same.
const (
	settingsKind feed.Kind = iota
	purgesKind
)

// Defaults of the control file.
const (
	defaultSettingsWindow = 4096  // changes
	defaultPurgesWindow   = 30000 // over 20 minutes at 22 a second
	defaultMaxValueBytes  = 256   // with its key, it has to fit the burst
)

// controlFile is the form of a control file. A field that is left out is zero, which stands for its default.
type controlFile struct {
	Control *controlSection `yaml:"control"`
}

// controlSection is all that a control file says.
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

	Batch       int `yaml:"batch_ms"`
	Heartbeat   int `yaml:"heartbeat_ms"`
	Silence     int `yaml:"silence_ms"`
	Dial        int `yaml:"dial_ms"`
	RetryMin    int `yaml:"retry_min_ms"`
	RetryMax    int `yaml:"retry_max_ms"`
	MaxAge      int `yaml:"max_age_ms"`
	Return      int `yaml:"return_ms"`
	ReturnExtra int `yaml:"return_jitter_ms"`

	Settings settingsSection `yaml:"settings"`
	Purges   purgesSection   `yaml:"purges"`
}

// settingsSection is what is kept of settings.
type settingsSection struct {
	Window        int `yaml:"window"`
	MaxValueBytes int `yaml:"max_value_bytes"`
}

// purgesSection is what is kept of purges.
type purgesSection struct {
	Window int `yaml:"window"`
}

// controlKeys are the keys of the fields that feed.Config refuses, by the names that its errors have for them.
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

// isControlFile tells whether a YAML text is a control file, and not an installation's own file.
func isControlFile(text []byte) bool {
	var top map[string]yaml.Node
	if yaml.Unmarshal(text, &top) != nil {
		return false
	}
	_, is := top["control"]
	return is
}

// readControlFile reads a control file. A path in it is taken from the file's directory. An error names every fault, each with
// its key.
func readControlFile(path string) (feednet.Options, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return feednet.Options{}, fmt.Errorf("control file: %w", err)
	}
	section, faults := parseControl(text)
	if len(faults) == 0 {
		faults = section.faults()
	}
	if len(faults) > 0 {
		for i, fault := range faults {
			faults[i] = fmt.Errorf("control file %s: %w", path, fault)
		}
		return feednet.Options{}, errors.Join(faults...)
	}
	return section.options(filepath.Dir(path)), nil
}

// checkControlFile reads a control file, and says what it holds.
func checkControlFile(path string) (string, error) {
	options, err := readControlFile(path)
	if err != nil {
		return "", err
	}
	what := fmt.Sprintf("a control file of a %s in cluster %s", roleName(options.Feed.Role), options.Feed.Cluster)
	if options.Listen != "" {
		what += ", listens on " + options.Listen
	}
	return what, nil
}

// parseControl reads a control file's form. Unknown keys and values of a wrong type are faults.
func parseControl(text []byte) (controlSection, []error) {
	var file controlFile
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	err := decoder.Decode(&file)
	var wrong *yaml.TypeError
	switch {
	case errors.As(err, &wrong):
		var faults []error
		for _, problem := range wrong.Errors {
			problem, _, _ = strings.Cut(problem, " in type ") // the library names its caller's types
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

// roleNames are the roles by their names in the file.
var roleNames = map[string]feed.Role{"publisher": feed.Publisher, "relay": feed.Relay, "follower": feed.Subscriber}

// role returns the role, or 0 for one that is unknown.
func (s controlSection) role() feed.Role {
	return roleNames[s.Role]
}

// roleName returns a role's name in the file.
func roleName(role feed.Role) string {
	for name, named := range roleNames {
		if named == role {
			return name
		}
	}
	return role.String()
}

// faults returns all that is wrong with the section.
func (s controlSection) faults() []error {
	var faults []error
	found := func(there bool, format string, arguments ...any) {
		if there {
			faults = append(faults, fmt.Errorf(format, arguments...))
		}
	}
	role := s.role()
	publishes, serves := role == feed.Publisher, role != feed.Subscriber
	found(role == 0, "control.role: %q, want publisher, relay or follower", s.Role)
	found(s.Cluster == "", "control.cluster: missing")
	found(s.ID == "", "control.id: missing")
	found(publishes && s.Epoch == 0, "control.epoch: missing, a publisher needs 1 or more")
	found(!publishes && s.Epoch != 0, "control.epoch: only a publisher has one, leave it out")
	found(serves && !isAddress(s.Listen), "control.listen: %q, want an IP address with a port", s.Listen)
	found(!serves && s.Listen != "", "control.listen: a follower serves nobody, leave it out")
	found(publishes && s.Directory == "", "control.directory: missing")
	found(!publishes && s.Directory != "", "control.directory: only a publisher has one, leave it out")
	found(publishes && len(s.Parents) > 0, "control.parents: a publisher has none, leave them out")
	found(!publishes && len(s.Parents) == 0, "control.parents: missing")
	for i, parent := range s.Parents {
		found(!isAddress(parent), "control.parents[%d]: %q, want an IP address with a port", i, parent)
	}
	for _, number := range s.numbers() {
		found(*number.value < 0, "control.%s: %d, want 1 or more", number.key, *number.value)
	}
	if len(faults) > 0 {
		return faults
	}
	return s.refusedNumbers()
}

// refusedNumbers returns what feed.Config refuses. It tells one fault at a time, so each number that it names is put back to
// its default before the next look.
func (s controlSection) refusedNumbers() []error {
	var faults []error
	for range s.numbers() {
		err := s.feedConfig().Validate()
		if err == nil {
			break
		}
		key, problem := namedByKey(err)
		faults = append(faults, fmt.Errorf("control.%s: %s", key, problem))
		if !s.reset(key) {
			break
		}
	}
	return faults
}

// reset puts a number back to its default. It returns false for a key that is no number's, or has its default already.
func (s *controlSection) reset(key string) bool {
	for _, number := range s.numbers() {
		if number.key == key && *number.value != 0 {
			*number.value = 0
			return true
		}
	}
	return false
}

// controlNumber is a number with its key.
type controlNumber struct {
	key   string
	value *int
}

// numbers are all numbers that may not be negative.
func (s *controlSection) numbers() []controlNumber {
	return []controlNumber{
		{"max_children", &s.MaxChildren}, {"child_bytes_per_second", &s.ChildBytesPerSecond},
		{"child_burst_bytes", &s.ChildBurstBytes}, {"relay_bytes_per_second", &s.RelayBytesPerSecond},
		{"total_bytes_per_second", &s.TotalBytesPerSecond}, {"coarse_after", &s.CoarseAfter},
		{"batch_ms", &s.Batch}, {"heartbeat_ms", &s.Heartbeat}, {"silence_ms", &s.Silence}, {"dial_ms", &s.Dial},
		{"retry_min_ms", &s.RetryMin}, {"retry_max_ms", &s.RetryMax}, {"max_age_ms", &s.MaxAge},
		{"return_ms", &s.Return}, {"return_jitter_ms", &s.ReturnExtra}, {"settings.window", &s.Settings.Window},
		{"settings.max_value_bytes", &s.Settings.MaxValueBytes}, {"purges.window", &s.Purges.Window},
	}
}

// namedByKey returns the key in the file of what feed.Config refuses, and what is wrong with it.
func namedByKey(err error) (key, problem string) {
	var refused *feed.ConfigError
	if !errors.As(err, &refused) {
		return "", err.Error()
	}
	if key, known := controlKeys[refused.Field]; known {
		return key, refused.Problem
	}
	field, index, _ := strings.Cut(refused.Field, "[")
	return controlKeys[field] + "[" + index, refused.Problem
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// options returns the server's options. A directory that is not absolute is taken from base.
func (s controlSection) options(base string) feednet.Options {
	options := feednet.Options{Feed: s.feedConfig(), Listen: s.Listen, Directory: s.Directory}
	if s.Directory != "" && !filepath.IsAbs(s.Directory) {
		options.Directory = filepath.Join(base, s.Directory)
	}
	return options
}

// feedConfig returns the node's configuration.
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
		MaxAge: milliseconds(s.MaxAge), ReturnAfter: milliseconds(s.Return), ReturnJitter: milliseconds(s.ReturnExtra),
		Seed: s.seed(),
	}
}

// seed returns the seed, or else one by the node's ID: nodes need different ones.
func (s controlSection) seed() uint64 {
	if s.Seed != 0 {
		return s.Seed
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%s", s.Cluster, s.ID)
	return hash.Sum64()
}

func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}
