package trial

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Limits of a plan, beside maxBalancers. Plans within these limits may still exceed the resources of the machine, mostly
// file descriptors; the start of the fleet then fails.
const (
	maxHosts     = 4096
	maxZones     = 1024
	maxSlots     = 1024
	maxRate      = 20000.0 // ops per second
	maxDuration  = 10 * time.Minute
	maxFaults    = 4096
	maxPlanBytes = 4 << 20 // enough for a thousand faults with hundreds of parts each
	maxKeys      = 1 << 20
)

// Plan defines a trial: a fleet, a load, and faults with their times. Its text is YAML (docs/trial.md); String returns a text
// that ParsePlan reads back to the same plan.
type Plan struct {
	Name   string  `yaml:"name"`
	Seed   uint64  `yaml:"seed"`
	Fleet  Fleet   `yaml:"fleet"`
	Load   Load    `yaml:"load"`
	Faults []Fault `yaml:"faults,omitempty"`
}

// Fleet is the size of the fleet. Balancers are named b1, b2, ..., hosts h1, h2, ... and zones z1, z2, ...; balancers and
// hosts are assigned to zones in turn.
type Fleet struct {
	Balancers      int      `yaml:"balancers"`
	Hosts          int      `yaml:"hosts"`
	Zones          int      `yaml:"zones"`
	Slots          int      `yaml:"slots"`       // concurrent ops of a host
	WorkTime       Duration `yaml:"work"`        // service time of an op at a host
	OriginWorkTime Duration `yaml:"origin_work"` // service time at the origin, which has one slot per host
}

// Load is the load that clients send, independent of the answers.
type Load struct {
	Duration Duration       `yaml:"for"`
	Rate     float64        `yaml:"rate"`   // ops per second over all balancers
	Keys     int            `yaml:"keys"`   // number of distinct keys
	Skew     float64        `yaml:"skew"`   // exponent of the Zipf distribution of keys
	Shares   map[string]int `yaml:"shares"` // relative weights of the categories
	Bursts   []Burst        `yaml:"bursts,omitempty"`
}

// Burst is a span in which the load's rate is multiplied by a factor.
type Burst struct {
	At       Duration `yaml:"at"`
	Duration Duration `yaml:"for"`
	Factor   float64  `yaml:"times"`
}

// Fault is a fault to inject. Its kinds are listed by FaultTable.
type Fault struct {
	At        Duration  `yaml:"at"`
	Duration  Duration  `yaml:"for,omitempty"`
	Kind      string    `yaml:"what"`
	Parts     []string  `yaml:"of,omitempty,flow"`   // target parts, except for links
	From      []string  `yaml:"from,omitempty,flow"` // links: balancers
	To        []string  `yaml:"to,omitempty,flow"`   // links: other ends
	Direction string    `yaml:"way,omitempty"`       // links: out, back, or both (the default)
	Magnitude Magnitude `yaml:"by,omitempty"`        // in the unit of the kind
	Program   string    `yaml:"with,omitempty"`      // upgrade: path of the new program

	line int // in the text of the plan
}

// Duration is a time span in a plan, written as 1.5s or 200ms.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (f *Duration) UnmarshalYAML(n *yaml.Node) error {
	d, err := time.ParseDuration(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode || d < 0 {
		return fmt.Errorf("line %d: %.40q, want a time such as 1.5s or 200ms", n.Line, n.Value)
	}
	*f = Duration(d)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (f Duration) MarshalYAML() (any, error) { return time.Duration(f).String(), nil }

// d returns f as a time.Duration.
func (f Duration) d() time.Duration { return time.Duration(f) }

// Magnitude is the strength of a fault, in the unit of its kind: a fraction, a factor, a count, a time or a word.
type Magnitude string

// number returns the magnitude as a number; times are in milliseconds.
func (m Magnitude) number() (float64, error) {
	if d, err := time.ParseDuration(string(m)); err == nil {
		return float64(d) / float64(time.Millisecond), nil
	}
	return strconv.ParseFloat(string(m), 64)
}

// DefaultPlan returns a plan without faults: three balancers, six hosts, 300 ops per second for 5 s. ParsePlan uses it for all
// that a text leaves out.
func DefaultPlan() Plan {
	return Plan{Name: "a trial", Seed: 1,
		Fleet: Fleet{Balancers: 3, Hosts: 6, Zones: 2, Slots: 4,
			WorkTime: Duration(2 * time.Millisecond), OriginWorkTime: Duration(8 * time.Millisecond)},
		Load: Load{Duration: Duration(5 * time.Second), Rate: 300, Keys: 400, Skew: 1,
			Shares: map[string]int{"read": 16, "put": 3, "once": 1}}}
}

// ParsePlan parses and validates a plan. Omitted fields are as in DefaultPlan. The error joins all problems that were found,
// with their lines.
func ParsePlan(text []byte) (Plan, error) {
	p := DefaultPlan()
	if len(text) > maxPlanBytes {
		return p, fmt.Errorf("plan: %d bytes, want %d at most", len(text), maxPlanBytes)
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return p, fmt.Errorf("plan: %s", strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if root.Kind == 0 {
		return p, errors.New("plan: empty")
	}
	if line := findAlias(&root); line > 0 {
		return p, fmt.Errorf("plan: line %d: aliases are not allowed; write out the value", line)
	}
	p.Load.Shares = nil // given shares replace the default ones instead of being merged with them
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(&p); err != nil && err != io.EOF {
		e := (*yaml.TypeError)(nil)
		if !errors.As(err, &e) {
			return p, fmt.Errorf("plan: %s", strings.TrimPrefix(err.Error(), "yaml: "))
		}
		var all []error
		for _, text := range e.Errors {
			text, _, _ = strings.Cut(text, " in type ") // drop the names of Go types
			all = append(all, fmt.Errorf("plan: %s", text))
		}
		return p, errors.Join(all...)
	}
	if p.Load.Shares == nil {
		p.Load.Shares = DefaultPlan().Load.Shares
	}
	lines := keyLines(&root, "faults")
	for i := range p.Faults {
		p.Faults[i].line = lines[i]
	}
	return p, p.validate(keyLines(&root, "fleet", "load"))
}

// findAlias returns the line of the first alias, or 0 if there is none. Aliases are refused because they can make a small text
// expand to a huge one.
func findAlias(n *yaml.Node) int {
	if n.Kind == yaml.AliasNode {
		return n.Line
	}
	for _, c := range n.Content {
		if line := findAlias(c); line > 0 {
			return line
		}
	}
	return 0
}

// keyLines returns the lines of the items under a top-level key. For several keys it returns the line of each, 0 where the key
// is missing.
func keyLines(root *yaml.Node, keys ...string) (lines []int) {
	top := root.Content[0]
	for _, key := range keys {
		found := 0
		for i := 0; i+1 < len(top.Content); i += 2 {
			if top.Content[i].Value != key {
				continue
			}
			found = top.Content[i].Line
			if len(keys) == 1 {
				for _, item := range top.Content[i+1].Content {
					lines = append(lines, item.Line)
				}
				return lines
			}
		}
		lines = append(lines, found)
	}
	return lines
}

// validate returns all errors of a plan, joined. The lines are those of the keys fleet and load.
func (p Plan) validate(lines []int) error {
	var all []error
	addIf := func(invalid bool, line int, format string, a ...any) {
		if invalid {
			all = append(all, fmt.Errorf("plan: line %d: %s", line, fmt.Sprintf(format, a...)))
		}
	}
	fleet, load := lines[0], lines[1]
	f, l := p.Fleet, p.Load
	addIf(f.Balancers < 1 || f.Balancers > maxBalancers, fleet, "fleet.balancers: %d, want 1 to %d", f.Balancers, maxBalancers)
	addIf(f.Hosts < 1 || f.Hosts > maxHosts, fleet, "fleet.hosts: %d, want 1 to %d", f.Hosts, maxHosts)
	addIf(f.Zones < 1 || f.Zones > maxZones, fleet, "fleet.zones: %d, want 1 to %d", f.Zones, maxZones)
	addIf(f.Slots < 1 || f.Slots > maxSlots, fleet, "fleet.slots: %d, want 1 to %d", f.Slots, maxSlots)
	fleetValid := len(all) == 0
	addIf(f.WorkTime.d() > time.Second || f.OriginWorkTime.d() > time.Second, fleet,
		"fleet.work, origin_work: %v and %v, want 1s at most", f.WorkTime.d(), f.OriginWorkTime.d())
	addIf(l.Duration.d() <= 0 || l.Duration.d() > maxDuration, load,
		"load.for: %v, want above 0, at most %v", l.Duration.d(), maxDuration)
	addIf(!(l.Rate > 0 && l.Rate <= maxRate), load, "load.rate: %v, want above 0, at most %v", l.Rate, maxRate)
	addIf(l.Keys < 1 || l.Keys > maxKeys, load, "load.keys: %d, want 1 to %d", l.Keys, maxKeys)
	addIf(!(l.Skew >= 0 && l.Skew <= 3), load, "load.skew: %v, want 0 to 3", l.Skew)
	sum := 0
	for name, share := range l.Shares {
		_, known := repeatModes[name]
		addIf(!known, load, "load.shares: unknown category %q, want one of read, put, once", name)
		addIf(share < 0, load, "load.shares.%s: %d, want 0 or more", name, share)
		sum += max(share, 0)
	}
	addIf(sum == 0, load, "load.shares: all are 0")
	for _, b := range l.Bursts {
		addIf(!(b.Factor > 0 && b.Factor*l.Rate <= maxRate), load, "load.bursts: times %v, want above 0, and at most %v ops/s",
			b.Factor, maxRate)
	}
	addIf(len(p.Faults) > maxFaults, load, "faults: %d, want %d at most", len(p.Faults), maxFaults)
	if !fleetValid { // the targets of faults depend on the fleet
		return errors.Join(all...)
	}
	for _, fault := range p.Faults {
		for _, err := range fault.validate(p) {
			addIf(true, fault.line, "%v", err)
		}
	}
	return errors.Join(all...)
}

// String returns the plan as YAML.
func (p Plan) String() string {
	text, err := yaml.Marshal(p)
	if err != nil {
		return fmt.Sprintf("# %v\n", err)
	}
	return string(text)
}

// balancers and hosts return the names of these parts; zone returns the zone of a part by its number from 1.
func (f Fleet) balancers() []string { return numberedNames("b", f.Balancers) }
func (f Fleet) hosts() []string     { return numberedNames("h", f.Hosts) }
func (f Fleet) zone(n int) string   { return fmt.Sprintf("z%d", (n-1)%f.Zones+1) }

// numberedNames returns n names: the prefix with numbers from 1.
func numberedNames(prefix string, n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("%s%d", prefix, i+1))
	}
	return all
}

// partIndex returns the index of a balancer or host, from 0, by its name.
func partIndex(name string) int {
	n, err := strconv.Atoi(name[1:])
	if err != nil { // names come from the fleet's own lists
		panic(err)
	}
	return n - 1
}

// resolveParts returns the parts among the candidates that the names denote: a part, a zone or all. It returns an error for
// a name that denotes none.
func (f Fleet) resolveParts(names []string, among []string) ([]string, error) {
	named := map[string][]string{"all": among}
	for _, part := range among {
		named[part] = append(named[part], part)
		if i, err := strconv.Atoi(strings.TrimLeft(part, "bh")); err == nil {
			named[f.zone(i)] = append(named[f.zone(i)], part)
		}
	}
	var all []string
	seen := map[string]bool{}
	for _, n := range names {
		if len(named[n]) == 0 {
			return nil, fmt.Errorf("%q is none of %s", n, strings.Join(among, ", "))
		}
		for _, part := range named[n] {
			if !seen[part] {
				seen[part] = true
				all = append(all, part)
			}
		}
	}
	return all, nil
}
