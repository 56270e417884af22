package trial

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchthread/internal/standin"
)

// magnitudeUnit is the unit of a fault's magnitude.
type magnitudeUnit int

const (
	noMagnitude    magnitudeUnit = iota
	fraction                     // above 0, at most 1
	factor                       // above 1
	count                        // a number from 1
	duration                     // a time of at most a minute
	byteRate                     // bytes per second
	signedDuration               // a time, positive or negative
	diskMode                     // an element of diskModes
)

// faultSite is the kind of part that a fault is injected into.
type faultSite int

const (
	atBalancers faultSite = iota
	atHosts
	atServers // hosts and the origin
	atDiscovery
	atLinks
)

// faultKind describes a kind of fault.
type faultKind struct {
	site        faultSite
	unit        magnitudeUnit
	instant     bool   // without a duration
	description string // for the table of faults
	weight      float64
}

// discoveryID is the name of discovery in plans.
const discoveryID = "discovery"

// faultKinds holds all kinds of faults by name. The last column is the relative probability of a kind in random plans;
// randomMagnitude sets the range of its magnitude there.
var faultKinds = map[string]faultKind{
	"kill":    {atBalancers, noMagnitude, false, "SIGKILL; restarted at the end", 2},
	"term":    {atBalancers, noMagnitude, false, "SIGTERM; restarted at the end", 1},
	"freeze":  {atBalancers, noMagnitude, false, "SIGSTOP; resumed at the end", 2},
	"wipe":    {atBalancers, noMagnitude, false, "SIGKILL and loss of the disk; restarted at the end", 0.5},
	"upgrade": {atBalancers, noMagnitude, true, "a new process takes over; the old one gets SIGTERM", 1},
	"disk": {atBalancers, diskMode, false,
		"file operations fail; by: write, sync, rename, full, hang or torn (needs a program built with -tags faults)", 0},
	"clock": {atBalancers, signedDuration, false,
		"offset of the wall clock, also of processes started meanwhile (needs -tags faults)", 0},
	"die":    {atHosts, noMagnitude, false, "the process exits; restarted at the end, empty and cold", 2},
	"hang":   {atServers, noMagnitude, false, "accepts ops but does not answer", 2},
	"slow":   {atServers, factor, false, "service times are multiplied by this factor", 2},
	"errors": {atServers, fraction, false, "this fraction of ops fails after the work is done", 1},
	"resets": {atServers, fraction, false, "this fraction of answers is lost and the connection reset", 1},
	"table":  {atHosts, count, false, "accepts at most this many connections", 0.5},
	"void":   {atHosts, noMagnitude, true, "loses all stored data", 0.5},
	"drain":  {atHosts, noMagnitude, false, "listed as draining; back in service at the end", 1},
	"remove": {atHosts, noMagnitude, false, "listed as draining, then as gone; restarted cold at the end", 1},
	"ban":    {atHosts, noMagnitude, false, "put into maintenance at all balancers; taken out of it at the end", 1},
	"silent": {atDiscovery, noMagnitude, false, "accepts calls but does not answer", 1},
	"late":   {atDiscovery, duration, false, "changes are published this much later", 1},
	"cut":    {atLinks, noMagnitude, false, "connections are reset and new ones refused", 1},
	"hole":   {atLinks, noMagnitude, false, "data is lost; connections hang and are reset at the end", 2},
	"delay":  {atLinks, duration, false, "data is delayed by this time plus a random part of up to half of it", 1},
	"rate":   {atLinks, byteRate, false, "limit in bytes per second", 0.5},
	"sever":  {atLinks, count, false, "each connection is reset after this many bytes", 1},
	"single": {atLinks, noMagnitude, false, "one connection at a time; others are refused", 0.5},
}

// diskModes lists the ways in which a process's file operations may fail (package machine).
var diskModes = []string{"write", "sync", "rename", "full", "hang", "torn"}

// FaultTable returns a table of all kinds of faults with their sites and descriptions.
func FaultTable() string {
	var table strings.Builder
	for _, name := range slices.Sorted(maps.Keys(faultKinds)) {
		k := faultKinds[name]
		fmt.Fprintf(&table, "%-8s %-10s %s\n", name, k.site, k.description)
	}
	return table.String()
}

// String returns the name of the site as it appears in tables and error messages.
func (s faultSite) String() string {
	return [...]string{"balancers", "hosts", "hosts, origin", discoveryID, "links"}[s]
}

// targets returns the names of the parts that a fault is injected into. For faults of links, of holds the balancers and to
// the other ends. It returns an error if a name is unknown or a required one is missing.
func (fault Fault) targets(f Fleet) (of, to []string, err error) {
	k := faultKinds[fault.Kind]
	switch k.site {
	case atBalancers:
		of, err = f.resolveParts(fault.Parts, f.balancers())
	case atHosts:
		of, err = f.resolveParts(fault.Parts, f.hosts())
	case atServers:
		of, err = f.resolveParts(fault.Parts, append(f.hosts(), standin.OriginID))
	case atDiscovery:
		if len(fault.Parts) > 0 {
			of, err = f.resolveParts(fault.Parts, []string{discoveryID})
		}
		return of, nil, err
	case atLinks:
		if of, err = f.resolveParts(fault.From, f.balancers()); err != nil {
			return nil, nil, fmt.Errorf("from: %w", err)
		}
		if to, err = f.resolveParts(fault.To, append(f.hosts(), standin.OriginID, discoveryID)); err != nil {
			return nil, nil, fmt.Errorf("to: %w", err)
		}
		if len(to) == 0 {
			return nil, nil, fmt.Errorf("to: missing")
		}
	}
	if err == nil && len(of) == 0 {
		err = fmt.Errorf("no part given")
	}
	if err != nil {
		return nil, nil, fmt.Errorf("of: %w", err)
	}
	return of, to, nil
}

// validate returns all errors of a fault in plan p.
func (fault Fault) validate(p Plan) (all []error) {
	k, known := faultKinds[fault.Kind]
	if !known {
		return []error{fmt.Errorf("what: %.40q, want one of %s", fault.Kind, strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "))}
	}
	addIf := func(invalid bool, format string, a ...any) {
		if invalid {
			all = append(all, fmt.Errorf(format, a...))
		}
	}
	_, _, err := fault.targets(p.Fleet)
	addIf(err != nil, "%s: %v", fault.Kind, err)
	addIf(k.site != atLinks && len(fault.From)+len(fault.To) > 0,
		"%s: applies to %v, given in of; from and to are for links", fault.Kind, k.site)
	addIf(k.site == atLinks && len(fault.Parts) > 0, "%s: applies to links, given in from and to", fault.Kind)
	addIf(!k.instant && fault.Duration <= 0, "%s: for: missing", fault.Kind)
	addIf(k.instant && fault.Duration > 0, "%s: for: not allowed, the fault has no duration", fault.Kind)
	addIf(fault.At+fault.Duration > p.Load.Duration,
		"%s: ends at %v, after the load, which ends at %v", fault.Kind, (fault.At + fault.Duration).d(), p.Load.Duration.d())
	addIf(fault.Direction != "" && (k.site != atLinks || !slices.Contains([]string{"out", "back", "both"}, fault.Direction)),
		"%s: way: %.20q, want out, back or both, and only for links", fault.Kind, fault.Direction)
	addIf(fault.Program != "" && fault.Kind != "upgrade", "%s: with: only allowed for upgrade", fault.Kind)
	addIf(k.unit == noMagnitude && fault.Magnitude != "", "%s: by: %.20q, not allowed for this fault", fault.Kind, fault.Magnitude)
	if k.unit != noMagnitude {
		n, err := fault.Magnitude.number()
		ok := err == nil
		switch k.unit {
		case fraction:
			ok = ok && n > 0 && n <= 1
		case factor:
			ok = ok && n > 1 && n <= 1000
		case count, byteRate:
			ok = ok && n >= 1 && n <= 1e9
		case duration:
			_, err := time.ParseDuration(string(fault.Magnitude))
			ok = ok && err == nil && n >= 0 && n <= 60000
		case signedDuration:
			_, err := time.ParseDuration(string(fault.Magnitude))
			ok = ok && err == nil
		case diskMode:
			ok = slices.Contains(diskModes, string(fault.Magnitude))
		}
		addIf(!ok, "%s: by: %.20q, want %s", fault.Kind, fault.Magnitude, [...]string{"",
			"a fraction above 0, at most 1", "a factor above 1, at most 1000",
			"a count, 1 or more", "a time, at most 60s", "bytes per second, 1 or more", "a time",
			"one of " + strings.Join(diskModes, ", ")}[k.unit])
	}
	return all
}

// String returns a one-line description of the fault.
func (fault Fault) String() string {
	text := fmt.Sprintf("%6.2fs %s", fault.At.d().Seconds(), fault.Kind)
	if fault.Magnitude != "" {
		text += " " + string(fault.Magnitude)
	}
	if len(fault.From) > 0 {
		text += " " + strings.Join(fault.From, ",") + " to " + strings.Join(fault.To, ",") + " " + cmp.Or(fault.Direction, "both")
	} else if len(fault.Parts) > 0 {
		text += " " + strings.Join(fault.Parts, ",")
	}
	if fault.Duration > 0 {
		text += " for " + fault.Duration.d().String()
	}
	return text
}

// sortedFaults returns the faults by time; faults of the same time stay in the order of the plan.
func (p Plan) sortedFaults() []Fault {
	all := slices.Clone(p.Faults)
	slices.SortStableFunc(all, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return all
}

// randomMagnitude draws a magnitude between mild and severe, and returns an empty one for kinds that need none.
func randomMagnitude(rng *rand.Rand, name string) Magnitude {
	between := func(least, most float64) float64 { return least + (most-least)*rng.Float64() }
	switch k := faultKinds[name]; {
	case k.unit == fraction:
		return Magnitude(strconv.FormatFloat(between(0.1, 0.9), 'f', 2, 64))
	case k.unit == factor:
		return Magnitude(strconv.FormatFloat(between(3, 40), 'f', 0, 64))
	case name == "table":
		return Magnitude(strconv.Itoa(1 + rng.IntN(8)))
	case name == "sever":
		return Magnitude(strconv.Itoa(100 + rng.IntN(20000)))
	case k.unit == byteRate:
		return Magnitude(strconv.Itoa(2000 + rng.IntN(50000)))
	case name == "late":
		return Magnitude(time.Duration(between(200, 2500) * float64(time.Millisecond)).Round(time.Millisecond).String())
	case k.unit == duration:
		return Magnitude(time.Duration(between(5, 150) * float64(time.Millisecond)).Round(time.Millisecond).String())
	}
	return ""
}

// RandomPlan generates a plan from a seed. Its fleet is that of DefaultPlan, and it has at least two faults that overlap.
func RandomPlan(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 7))
	p := DefaultPlan()
	p.Name, p.Seed = fmt.Sprintf("drawn %d", seed), seed
	p.Load.Rate = float64(100 + rng.IntN(400))
	names := slices.Sorted(maps.Keys(faultKinds))
	sum := 0.0
	for _, n := range names {
		sum += faultKinds[n].weight
	}
	pick := func(among []string, most int) (all []string) {
		for _, i := range rng.Perm(len(among))[:1+rng.IntN(min(most, len(among)))] {
			all = append(all, among[i])
		}
		slices.Sort(all)
		return all
	}
	// All faults begin before the middle of the load and end after it, so that they overlap.
	middle := p.Load.Duration.d() / 2
	for range 2 + rng.IntN(3) {
		at := rng.Float64() * sum
		name := names[len(names)-1]
		for _, n := range names {
			if at -= faultKinds[n].weight; at < 0 {
				name = n
				break
			}
		}
		k := faultKinds[name]
		begin := middle/4 + time.Duration(rng.Int64N(int64(middle/2)))
		fault := Fault{At: Duration(begin.Round(time.Millisecond)), Kind: name, Magnitude: randomMagnitude(rng, name)}
		if !k.instant {
			fault.Duration = Duration((middle - begin + middle/8 + time.Duration(rng.Int64N(int64(middle/2)))).Round(time.Millisecond))
		}
		switch k.site {
		case atBalancers:
			fault.Parts = pick(p.Fleet.balancers(), 1)
		case atHosts:
			fault.Parts = pick(p.Fleet.hosts(), 2)
		case atServers:
			fault.Parts = pick(append(p.Fleet.hosts(), standin.OriginID), 2)
		case atLinks:
			fault.From = pick(p.Fleet.balancers(), 2)
			fault.To = pick(append(p.Fleet.hosts(), standin.OriginID, discoveryID), 3)
			fault.Direction = []string{"out", "back", "both"}[rng.IntN(3)]
		}
		p.Faults = append(p.Faults, fault)
	}
	p.Faults = p.sortedFaults()
	return p
}
