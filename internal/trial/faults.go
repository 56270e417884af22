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

// magnitudeUnit of a fault's By.
type magnitudeUnit int

const (
	noMagnitude    magnitudeUnit = iota
	fraction                     // 0 to 1
	factor                       // above 1
	count                        // a whole number, 1 or more
	duration                     // a time
	byteRate                     // bytes a second
	signedDuration               // a time, either way
	diskMode                     // one of those in spoils
)

// faultSite a kind of fault is injected.
type faultSite int

const (
	atBalancers faultSite = iota
	atHosts
	atServers   // hosts and the origin
	atDiscovery // discovery
	atLinks
)

// faultKind is a kind of fault.
type faultKind struct {
	site        faultSite
	unit        magnitudeUnit
	instant     bool   // it has no end of its own
	description string // for people
	weight      float64
}

// Discovery is its name in plans.
const discoveryID = "discovery"

// faultKinds are all of them. draw is how likely a drawn plan has one, and the mildest or worst By stands in drawn.
var faultKinds = map[string]faultKind{
	"kill":    {atBalancers, noMagnitude, false, "SIGKILL; started again at the end", 2},
	"term":    {atBalancers, noMagnitude, false, "SIGTERM; started again at the end", 1},
	"freeze":  {atBalancers, noMagnitude, false, "SIGSTOP; goes on at the end", 2},
	"wipe":    {atBalancers, noMagnitude, false, "SIGKILL, the disk lost; started again at the end", 0.5},
	"upgrade": {atBalancers, noMagnitude, true, "a new process takes over, the old one gets SIGTERM", 1},
	"disk":    {atBalancers, diskMode, false, "files fail: by write, sync, rename, full, hang or torn (program built with -tags faults)", 0},
	"clock":   {atBalancers, signedDuration, false, "the wall clock is off by so much, for what starts meanwhile too (-tags faults)", 0},
	"die":     {atHosts, noMagnitude, false, "the process ends; back at the end, empty and cold", 2},
	"hang":    {atServers, noMagnitude, false, "takes ops and answers nothing", 2},
	"slow":    {atServers, factor, false, "an op takes so many times its work", 2},
	"errors":  {atServers, fraction, false, "so many ops end in an error, once the work is done", 1},
	"resets":  {atServers, fraction, false, "so many answers are lost with their connection", 1},
	"table":   {atHosts, count, false, "takes so many connections and no more", 0.5},
	"void":    {atHosts, noMagnitude, true, "forgets all that it holds", 0.5},
	"drain":   {atHosts, noMagnitude, false, "listed as draining; back in service at the end", 1},
	"remove":  {atHosts, noMagnitude, false, "listed as draining, then gone; restarted, cold, at the end", 1},
	"ban":     {atHosts, noMagnitude, false, "taken out by hand at all balancers; put back at the end", 1},
	"silent":  {atDiscovery, noMagnitude, false, "takes calls and answers none", 1},
	"late":    {atDiscovery, duration, false, "changes are shown so much later", 1},
	"cut":     {atLinks, noMagnitude, false, "connections are reset, new ones refused", 1},
	"hole":    {atLinks, noMagnitude, false, "bytes are lost; connections hang and are reset at the end", 2},
	"delay":   {atLinks, duration, false, "each byte is so late, and up to half as much again by chance", 1},
	"rate":    {atLinks, byteRate, false, "so many bytes a second", 0.5},
	"sever":   {atLinks, count, false, "a connection is reset once so many bytes have passed", 1},
	"single":  {atLinks, noMagnitude, false, "one connection at a time; further ones are refused", 0.5},
}

// diskModes are the ways in which a process's files may fail (package machine).
var diskModes = []string{"write", "sync", "rename", "full", "hang", "torn"}

// FaultTable is a table of all kinds of fault, for people.
func FaultTable() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(faultKinds)) {
		k := faultKinds[name]
		fmt.Fprintf(&b, "%-8s %-10s %s\n", name, k.site, k.description)
	}
	return b.String()
}

func (w faultSite) String() string {
	return [...]string{"balancers", "hosts", "hosts, origin", discoveryID, "links"}[w]
}

// targets are the parts that a fault is injected into; for links the balancers and the parts.
func (x Fault) targets(f Fleet) (of, to []string, err error) {
	k := faultKinds[x.Kind]
	switch k.site {
	case atBalancers:
		of, err = f.resolveParts(x.Parts, f.balancers())
	case atHosts:
		of, err = f.resolveParts(x.Parts, f.hosts())
	case atServers:
		of, err = f.resolveParts(x.Parts, append(f.hosts(), standin.OriginID))
	case atDiscovery:
		if len(x.Parts) > 0 {
			of, err = f.resolveParts(x.Parts, []string{discoveryID})
		}
		return of, nil, err
	case atLinks:
		if of, err = f.resolveParts(x.From, f.balancers()); err != nil {
			return nil, nil, fmt.Errorf("from: %w", err)
		}
		if to, err = f.resolveParts(x.To, append(f.hosts(), standin.OriginID, discoveryID)); err != nil {
			return nil, nil, fmt.Errorf("to: %w", err)
		}
		if len(to) == 0 {
			return nil, nil, fmt.Errorf("to: missing")
		}
	}
	if err == nil && len(of) == 0 {
		err = fmt.Errorf("no part named")
	}
	if err != nil {
		return nil, nil, fmt.Errorf("of: %w", err)
	}
	return of, to, nil
}

// validate names what is wrong with a fault.
func (x Fault) validate(p Plan) (all []error) {
	k, known := faultKinds[x.Kind]
	if !known {
		return []error{fmt.Errorf("what: %.40q, want one of %s", x.Kind, strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "))}
	}
	addIf := func(invalid bool, format string, a ...any) {
		if invalid {
			all = append(all, fmt.Errorf(format, a...))
		}
	}
	_, _, err := x.targets(p.Fleet)
	addIf(err != nil, "%s: %v", x.Kind, err)
	addIf(k.site != atLinks && len(x.From)+len(x.To) > 0, "%s: applies to %v, which of names; from and to are for links", x.Kind, k.site)
	addIf(k.site == atLinks && len(x.Parts) > 0, "%s: applies to links, which from and to name", x.Kind)
	addIf(!k.instant && x.Duration <= 0, "%s: for: missing", x.Kind)
	addIf(k.instant && x.Duration > 0, "%s: for: it has no end", x.Kind)
	addIf(x.At+x.Duration > p.Load.Duration, "%s: ends at %v, after the load, which lasts %v", x.Kind, (x.At + x.Duration).d(), p.Load.Duration.d())
	addIf(x.Direction != "" && (k.site != atLinks || !slices.Contains([]string{"out", "back", "both"}, x.Direction)),
		"%s: way: %.20q, want out, back or both, and that of links", x.Kind, x.Direction)
	addIf(x.Program != "" && x.Kind != "upgrade", "%s: with: it takes none", x.Kind)
	addIf(k.unit == noMagnitude && x.Magnitude != "", "%s: by: %.20q, it takes none", x.Kind, x.Magnitude)
	if k.unit != noMagnitude {
		n, err := x.Magnitude.number()
		ok := err == nil
		switch k.unit {
		case fraction:
			ok = ok && n > 0 && n <= 1
		case factor:
			ok = ok && n > 1 && n <= 1000
		case count, byteRate:
			ok = ok && n >= 1 && n <= 1e9
		case duration:
			_, err := time.ParseDuration(string(x.Magnitude))
			ok = ok && err == nil && n >= 0 && n <= 60000
		case signedDuration:
			_, err := time.ParseDuration(string(x.Magnitude))
			ok = ok && err == nil
		case diskMode:
			ok = slices.Contains(diskModes, string(x.Magnitude))
		}
		addIf(!ok, "%s: by: %.20q, want %s", x.Kind, x.Magnitude, [...]string{"", "a part above 0, at most 1", "a factor above 1, at most 1000",
			"a count, 1 or more", "a time, at most 60s", "bytes a second, 1 or more", "a time", "one of " + strings.Join(diskModes, ", ")}[k.unit])
	}
	return all
}

// String is a fault in a line.
func (x Fault) String() string {
	text := fmt.Sprintf("%6.2fs %s", x.At.d().Seconds(), x.Kind)
	if x.Magnitude != "" {
		text += " " + string(x.Magnitude)
	}
	if len(x.From) > 0 {
		text += " " + strings.Join(x.From, ",") + " to " + strings.Join(x.To, ",") + " " + cmp.Or(x.Direction, "both")
	} else if len(x.Parts) > 0 {
		text += " " + strings.Join(x.Parts, ",")
	}
	if x.Duration > 0 {
		text += " for " + x.Duration.d().String()
	}
	return text
}

// sortedFaults are the faults by time; of one time, in the order of the plan.
func (p Plan) sortedFaults() []Fault {
	all := slices.Clone(p.Faults)
	slices.SortStableFunc(all, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return all
}

// randomMagnitude is a By for each unit and kind, between mild and bad.
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

// RandomPlan draws a plan from a seed: two faults at once at the least, on the usual fleet.
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
	// All overlap at the middle: each begins before it and ends after it.
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
		x := Fault{At: Duration(begin.Round(time.Millisecond)), Kind: name, Magnitude: randomMagnitude(rng, name)}
		if !k.instant {
			x.Duration = Duration((middle - begin + middle/8 + time.Duration(rng.Int64N(int64(middle/2)))).Round(time.Millisecond))
		}
		switch k.site {
		case atBalancers:
			x.Parts = pick(p.Fleet.balancers(), 1)
		case atHosts:
			x.Parts = pick(p.Fleet.hosts(), 2)
		case atServers:
			x.Parts = pick(append(p.Fleet.hosts(), standin.OriginID), 2)
		case atLinks:
			x.From = pick(p.Fleet.balancers(), 2)
			x.To = pick(append(p.Fleet.hosts(), standin.OriginID, discoveryID), 3)
			x.Direction = []string{"out", "back", "both"}[rng.IntN(3)]
		}
		p.Faults = append(p.Faults, x)
	}
	p.Faults = p.sortedFaults()
	return p
}
