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

// unit of a fault's By.
type unit int

const (
	none   unit = iota
	part        // 0 to 1
	factor      // above 1
	count       // a whole number, 1 or more
	span        // a time
	rate        // bytes a second
	jump        // a time, either way
	word        // one of those in spoils
)

// where a kind of fault is injected.
type where int

const (
	balancers where = iota
	hosts
	servers // hosts and the origin
	lists   // discovery
	links
)

// kind is a kind of fault.
type kind struct {
	where   where
	by      unit
	instant bool   // it has no end of its own
	text    string // for people
	draw    float64
}

// Discovery is its name in plans.
const discovery = "discovery"

// kinds are all of them. draw is how likely a drawn plan has one, and the mildest or worst By stands in drawn.
var kinds = map[string]kind{
	"kill":    {balancers, none, false, "SIGKILL; started again at the end", 2},
	"term":    {balancers, none, false, "SIGTERM; started again at the end", 1},
	"freeze":  {balancers, none, false, "SIGSTOP; goes on at the end", 2},
	"wipe":    {balancers, none, false, "SIGKILL, the disk lost; started again at the end", 0.5},
	"upgrade": {balancers, none, true, "a new process takes over, the old one gets SIGTERM", 1},
	"disk":    {balancers, word, false, "files fail: by write, sync, rename, full, hang or torn (program built with -tags faults)", 0},
	"clock":   {balancers, jump, false, "the wall clock is off by so much, for what starts meanwhile too (-tags faults)", 0},
	"die":     {hosts, none, false, "the process ends; back at the end, empty and cold", 2},
	"hang":    {servers, none, false, "takes ops and answers nothing", 2},
	"slow":    {servers, factor, false, "an op takes so many times its work", 2},
	"errors":  {servers, part, false, "so many ops end in an error, once the work is done", 1},
	"resets":  {servers, part, false, "so many answers are lost with their connection", 1},
	"table":   {hosts, count, false, "takes so many connections and no more", 0.5},
	"void":    {hosts, none, true, "forgets all that it holds", 0.5},
	"drain":   {hosts, none, false, "listed as draining; back in service at the end", 1},
	"remove":  {hosts, none, false, "listed as draining, then gone; restarted, cold, at the end", 1},
	"ban":     {hosts, none, false, "taken out by hand at all balancers; put back at the end", 1},
	"silent":  {lists, none, false, "takes calls and answers none", 1},
	"late":    {lists, span, false, "changes are shown so much later", 1},
	"cut":     {links, none, false, "connections are reset, new ones refused", 1},
	"hole":    {links, none, false, "bytes are lost; connections hang and are reset at the end", 2},
	"delay":   {links, span, false, "each byte is so late, and up to half as much again by chance", 1},
	"rate":    {links, rate, false, "so many bytes a second", 0.5},
	"sever":   {links, count, false, "a connection is reset once so many bytes have passed", 1},
	"single":  {links, none, false, "one connection at a time; further ones are refused", 0.5},
}

// spoils are the ways in which a process's files may fail (package machine).
var spoils = []string{"write", "sync", "rename", "full", "hang", "torn"}

// FaultTable is a table of all kinds of fault, for people.
func FaultTable() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		k := kinds[name]
		fmt.Fprintf(&b, "%-8s %-10s %s\n", name, k.where, k.text)
	}
	return b.String()
}

func (w where) String() string {
	return [...]string{"balancers", "hosts", "hosts, origin", discovery, "links"}[w]
}

// targets are the parts that a fault is injected into; for links the balancers and the parts.
func (x Fault) targets(f Fleet) (of, to []string, err error) {
	k := kinds[x.Kind]
	switch k.where {
	case balancers:
		of, err = f.parts(x.Parts, f.balancers())
	case hosts:
		of, err = f.parts(x.Parts, f.hosts())
	case servers:
		of, err = f.parts(x.Parts, append(f.hosts(), standin.OriginID))
	case lists:
		if len(x.Parts) > 0 {
			of, err = f.parts(x.Parts, []string{discovery})
		}
		return of, nil, err
	case links:
		if of, err = f.parts(x.From, f.balancers()); err != nil {
			return nil, nil, fmt.Errorf("from: %w", err)
		}
		if to, err = f.parts(x.To, append(f.hosts(), standin.OriginID, discovery)); err != nil {
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

// check names what is wrong with a fault.
func (x Fault) check(p Plan) (all []error) {
	k, known := kinds[x.Kind]
	if !known {
		return []error{fmt.Errorf("what: %.40q, want one of %s", x.Kind, strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))}
	}
	bad := func(there bool, form string, a ...any) {
		if there {
			all = append(all, fmt.Errorf(form, a...))
		}
	}
	_, _, err := x.targets(p.Fleet)
	bad(err != nil, "%s: %v", x.Kind, err)
	bad(k.where != links && len(x.From)+len(x.To) > 0, "%s: applies to %v, which of names; from and to are for links", x.Kind, k.where)
	bad(k.where == links && len(x.Parts) > 0, "%s: applies to links, which from and to name", x.Kind)
	bad(!k.instant && x.Duration <= 0, "%s: for: missing", x.Kind)
	bad(k.instant && x.Duration > 0, "%s: for: it has no end", x.Kind)
	bad(x.At+x.Duration > p.Load.Duration, "%s: ends at %v, after the load, which lasts %v", x.Kind, (x.At + x.Duration).d(), p.Load.Duration.d())
	bad(x.Direction != "" && (k.where != links || !slices.Contains([]string{"out", "back", "both"}, x.Direction)),
		"%s: way: %.20q, want out, back or both, and that of links", x.Kind, x.Direction)
	bad(x.Program != "" && x.Kind != "upgrade", "%s: with: it takes none", x.Kind)
	bad(k.by == none && x.Magnitude != "", "%s: by: %.20q, it takes none", x.Kind, x.Magnitude)
	if k.by != none {
		n, err := x.Magnitude.number()
		ok := err == nil
		switch k.by {
		case part:
			ok = ok && n > 0 && n <= 1
		case factor:
			ok = ok && n > 1 && n <= 1000
		case count, rate:
			ok = ok && n >= 1 && n <= 1e9
		case span:
			_, err := time.ParseDuration(string(x.Magnitude))
			ok = ok && err == nil && n >= 0 && n <= 60000
		case jump:
			_, err := time.ParseDuration(string(x.Magnitude))
			ok = ok && err == nil
		case word:
			ok = slices.Contains(spoils, string(x.Magnitude))
		}
		bad(!ok, "%s: by: %.20q, want %s", x.Kind, x.Magnitude, [...]string{"", "a part above 0, at most 1", "a factor above 1, at most 1000",
			"a count, 1 or more", "a time, at most 60s", "bytes a second, 1 or more", "a time", "one of " + strings.Join(spoils, ", ")}[k.by])
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

// ordered are the faults by time; of one time, in the order of the plan.
func (p Plan) ordered() []Fault {
	all := slices.Clone(p.Faults)
	slices.SortStableFunc(all, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return all
}

// drawn is a By for each unit and kind, between mild and bad.
func drawn(rng *rand.Rand, name string) Magnitude {
	between := func(least, most float64) float64 { return least + (most-least)*rng.Float64() }
	switch k := kinds[name]; {
	case k.by == part:
		return Magnitude(strconv.FormatFloat(between(0.1, 0.9), 'f', 2, 64))
	case k.by == factor:
		return Magnitude(strconv.FormatFloat(between(3, 40), 'f', 0, 64))
	case name == "table":
		return Magnitude(strconv.Itoa(1 + rng.IntN(8)))
	case name == "sever":
		return Magnitude(strconv.Itoa(100 + rng.IntN(20000)))
	case k.by == rate:
		return Magnitude(strconv.Itoa(2000 + rng.IntN(50000)))
	case name == "late":
		return Magnitude(time.Duration(between(200, 2500) * float64(time.Millisecond)).Round(time.Millisecond).String())
	case k.by == span:
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
	names := slices.Sorted(maps.Keys(kinds))
	sum := 0.0
	for _, n := range names {
		sum += kinds[n].draw
	}
	pick := func(among []string, most int) (all []string) {
		for _, i := range rng.Perm(len(among))[:1+rng.IntN(min(most, len(among)))] {
			all = append(all, among[i])
		}
		slices.Sort(all)
		return all
	}
	// All overlap at the middle: each begins before it and ends after it.
	half := p.Load.Duration.d() / 2
	for range 2 + rng.IntN(3) {
		at := rng.Float64() * sum
		name := names[len(names)-1]
		for _, n := range names {
			if at -= kinds[n].draw; at < 0 {
				name = n
				break
			}
		}
		k := kinds[name]
		begin := half/4 + time.Duration(rng.Int64N(int64(half/2)))
		x := Fault{At: Duration(begin.Round(time.Millisecond)), Kind: name, Magnitude: drawn(rng, name)}
		if !k.instant {
			x.Duration = Duration((half - begin + half/8 + time.Duration(rng.Int64N(int64(half/2)))).Round(time.Millisecond))
		}
		switch k.where {
		case balancers:
			x.Parts = pick(p.Fleet.balancers(), 1)
		case hosts:
			x.Parts = pick(p.Fleet.hosts(), 2)
		case servers:
			x.Parts = pick(append(p.Fleet.hosts(), standin.OriginID), 2)
		case links:
			x.From = pick(p.Fleet.balancers(), 2)
			x.To = pick(append(p.Fleet.hosts(), standin.OriginID, discovery), 3)
			x.Direction = []string{"out", "back", "both"}[rng.IntN(3)]
		}
		p.Faults = append(p.Faults, x)
	}
	p.Faults = p.ordered()
	return p
}
