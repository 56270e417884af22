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

// What a plan may ask for at the most, beside mostBalancers: a trial is bounded in count and time. What the machine has no
// room for, descriptors first, breaks the start off with an error.
const (
	mostHosts  = 4096
	mostZones  = 1024
	mostSlots  = 1024
	mostRate   = 20000.0 // ops a second
	mostFor    = 10 * time.Minute
	mostFaults = 4096
	mostText   = 4 << 20 // bytes of a plan: a thousand faults that each name some hundreds of parts
	mostKeys   = 1 << 20
)

// Plan is a trial: a fleet, a load, and faults by time. Its text is YAML (docs/trial.md), and plays again as it is printed.
type Plan struct {
	Name   string  `yaml:"name"`
	Seed   uint64  `yaml:"seed"`
	Fleet  Fleet   `yaml:"fleet"`
	Load   Load    `yaml:"load"`
	Faults []Fault `yaml:"faults,omitempty"`
}

// Fleet is what is started. Balancers are b1, b2 and so on, hosts h1, h2; zones z1, z2 have their parts by turns.
type Fleet struct {
	Balancers      int      `yaml:"balancers"`
	Hosts          int      `yaml:"hosts"`
	Zones          int      `yaml:"zones"`
	Slots          int      `yaml:"slots"`       // ops that a host works at
	WorkTime       Duration `yaml:"work"`        // of an op there
	OriginWorkTime Duration `yaml:"origin_work"` // at the origin, which has as many slots as there are hosts
}

// Load is what clients send, whatever comes back.
type Load struct {
	Duration Duration       `yaml:"for"`
	Rate     float64        `yaml:"rate"`   // ops a second in all
	Keys     int            `yaml:"keys"`   // that there are
	Skew     float64        `yaml:"skew"`   // exponent of their popularity
	Shares   map[string]int `yaml:"shares"` // of the categories, to each other
	Bursts   []Burst        `yaml:"bursts,omitempty"`
}

// Burst is a while with more load.
type Burst struct {
	At       Duration `yaml:"at"`
	Duration Duration `yaml:"for"`
	Factor   float64  `yaml:"times"` // the usual rate
}

// Fault is something that goes wrong for a while. What it may be stands in the table of kinds.
type Fault struct {
	At        Duration  `yaml:"at"`
	Duration  Duration  `yaml:"for,omitempty"`
	Kind      string    `yaml:"what"`
	Parts     []string  `yaml:"of,omitempty,flow"`   // parts; or
	From      []string  `yaml:"from,omitempty,flow"` // links: of these balancers
	To        []string  `yaml:"to,omitempty,flow"`   // to these parts
	Direction string    `yaml:"way,omitempty"`       // of links: out, back, or both where it is left out
	Magnitude Magnitude `yaml:"by,omitempty"`        // how much, as the kind has it
	Program   string    `yaml:"with,omitempty"`      // of an upgrade: the path of another build

	line int // in the plan's text
}

// Duration is a time in a plan, written as 1.5s or 200ms.
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

func (f Duration) d() time.Duration { return time.Duration(f) }

// Magnitude is how much, in the unit of its kind of fault: a part, a factor, a count or a time.
type Magnitude string

// number is By as a number; a time is in ms.
func (b Magnitude) number() (float64, error) {
	if d, err := time.ParseDuration(string(b)); err == nil {
		return float64(d) / float64(time.Millisecond), nil
	}
	return strconv.ParseFloat(string(b), 64)
}

// DefaultPlan is the plan that a text fills in: three balancers, six hosts, 300 ops a second for 5 s.
func DefaultPlan() Plan {
	return Plan{Name: "a trial", Seed: 1,
		Fleet: Fleet{Balancers: 3, Hosts: 6, Zones: 2, Slots: 4, WorkTime: Duration(2 * time.Millisecond), OriginWorkTime: Duration(8 * time.Millisecond)},
		Load: Load{Duration: Duration(5 * time.Second), Rate: 300, Keys: 400, Skew: 1,
			Shares: map[string]int{"read": 16, "put": 3, "once": 1}}}
}

// ParsePlan reads a plan. What the text leaves out is as in Usual. An error names every fault that was found, with its line.
func ParsePlan(text []byte) (Plan, error) {
	p := DefaultPlan()
	if len(text) > mostText {
		return p, fmt.Errorf("plan: %d bytes, want %d at most", len(text), mostText)
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return p, fmt.Errorf("plan: %s", strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if root.Kind == 0 {
		return p, errors.New("plan: empty")
	}
	if line := grows(&root); line > 0 {
		return p, fmt.Errorf("plan: line %d: an alias; write out what it stands for", line)
	}
	p.Load.Shares = nil // a text that names some names all
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(&p); err != nil && err != io.EOF {
		e := (*yaml.TypeError)(nil)
		if !errors.As(err, &e) {
			return p, fmt.Errorf("plan: %s", strings.TrimPrefix(err.Error(), "yaml: "))
		}
		var all []error
		for _, text := range e.Errors {
			text, _, _ = strings.Cut(text, " in type ") // the library names its caller's types
			all = append(all, fmt.Errorf("plan: %s", text))
		}
		return p, errors.Join(all...)
	}
	if p.Load.Shares == nil {
		p.Load.Shares = DefaultPlan().Load.Shares
	}
	lines := linesOf(&root, "faults")
	for i := range p.Faults {
		p.Faults[i].line = lines[i]
	}
	return p, p.check(linesOf(&root, "fleet", "load"))
}

// grows finds an alias: text that uses them can be far larger than it looks.
func grows(n *yaml.Node) int {
	if n.Kind == yaml.AliasNode {
		return n.Line
	}
	for _, c := range n.Content {
		if line := grows(c); line > 0 {
			return line
		}
	}
	return 0
}

// linesOf are the lines of a list's items, or of several keys' values.
func linesOf(root *yaml.Node, keys ...string) (lines []int) {
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

// check names all that a plan asks for and can't have.
func (p Plan) check(lines []int) error {
	var all []error
	bad := func(there bool, line int, form string, a ...any) {
		if there {
			all = append(all, fmt.Errorf("plan: line %d: %s", line, fmt.Sprintf(form, a...)))
		}
	}
	fleet, load := lines[0], lines[1]
	f, l := p.Fleet, p.Load
	bad(f.Balancers < 1 || f.Balancers > mostBalancers, fleet, "fleet.balancers: %d, want 1 to %d", f.Balancers, mostBalancers)
	bad(f.Hosts < 1 || f.Hosts > mostHosts, fleet, "fleet.hosts: %d, want 1 to %d", f.Hosts, mostHosts)
	bad(f.Zones < 1 || f.Zones > mostZones, fleet, "fleet.zones: %d, want 1 to %d", f.Zones, mostZones)
	bad(f.Slots < 1 || f.Slots > mostSlots, fleet, "fleet.slots: %d, want 1 to %d", f.Slots, mostSlots)
	possible := len(all) == 0
	bad(f.WorkTime.d() > time.Second || f.OriginWorkTime.d() > time.Second, fleet, "fleet.work, origin_work: %v and %v, want 1s at most",
		f.WorkTime.d(), f.OriginWorkTime.d())
	bad(l.Duration.d() <= 0 || l.Duration.d() > mostFor, load, "load.for: %v, want above 0, at most %v", l.Duration.d(), mostFor)
	bad(!(l.Rate > 0 && l.Rate <= mostRate), load, "load.rate: %v, want above 0, at most %v", l.Rate, mostRate)
	bad(l.Keys < 1 || l.Keys > mostKeys, load, "load.keys: %d, want 1 to %d", l.Keys, mostKeys)
	bad(!(l.Skew >= 0 && l.Skew <= 3), load, "load.skew: %v, want 0 to 3", l.Skew)
	sum := 0
	for name, share := range l.Shares {
		_, known := categories[name]
		bad(!known, load, "load.shares: no category %q; there are read, put, once", name)
		bad(share < 0, load, "load.shares.%s: %d, want 0 or more", name, share)
		sum += max(share, 0)
	}
	bad(sum == 0, load, "load.shares: all 0")
	for _, b := range l.Bursts {
		bad(!(b.Factor > 0 && b.Factor*l.Rate <= mostRate), load, "load.bursts: times %v, want above 0, and at most %v ops/s",
			b.Factor, mostRate)
	}
	bad(len(p.Faults) > mostFaults, load, "faults: %d, want %d at most", len(p.Faults), mostFaults)
	if !possible { // faults are injected into parts of a fleet
		return errors.Join(all...)
	}
	for _, x := range p.Faults {
		for _, err := range x.check(p) {
			bad(true, x.line, "%v", err)
		}
	}
	return errors.Join(all...)
}

// String is the plan's text.
func (p Plan) String() string {
	text, err := yaml.Marshal(p)
	if err != nil {
		return fmt.Sprintf("# %v\n", err)
	}
	return string(text)
}

// balancers and hosts are the parts' names, and zone a part's zone, by its number from 1.
func (f Fleet) balancers() []string { return numbered("b", f.Balancers) }
func (f Fleet) hosts() []string     { return numbered("h", f.Hosts) }
func (f Fleet) zone(n int) string   { return fmt.Sprintf("z%d", (n-1)%f.Zones+1) }

func numbered(prefix string, n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("%s%d", prefix, i+1))
	}
	return all
}

// place is where a balancer or a host stands among its like, by its name: b1 and h1 come first.
func place(name string) int {
	n, err := strconv.Atoi(name[1:])
	if err != nil { // names come of the fleet's own lists
		panic(err)
	}
	return n - 1
}

// parts are what a name stands for among some: a part, a zone's parts, or all of them. It is an error where that is none.
func (f Fleet) parts(names []string, among []string) ([]string, error) {
	stands := map[string][]string{"all": among}
	for _, part := range among {
		stands[part] = append(stands[part], part)
		if i, err := strconv.Atoi(strings.TrimLeft(part, "bh")); err == nil {
			stands[f.zone(i)] = append(stands[f.zone(i)], part)
		}
	}
	var all []string
	taken := map[string]bool{}
	for _, n := range names {
		if len(stands[n]) == 0 {
			return nil, fmt.Errorf("%q is none of %s", n, strings.Join(among, ", "))
		}
		for _, part := range stands[n] {
			if !taken[part] {
				taken[part] = true
				all = append(all, part)
			}
		}
	}
	return all, nil
}
