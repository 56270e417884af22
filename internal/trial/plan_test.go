package trial

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// Errors of invalid plans name the line and the field.
func Example_invalidPlans() {
	for _, text := range []string{
		"",
		"name: [",
		"fleet: {balancers: 0, hosts: 5000}\nload: {for: 0s}",
		"a: &a [1]\nb: *a",
		"fleet: {hots: 3}",
		"load: {for: soon}",
		"load: {shares: {reed: 1}}",
		`
faults:
- {at: 1s, for: 1s, what: kill, of: [b4]}
- {at: 1s, for: 1s, what: explode, of: [b1]}
- {at: 1s, what: hang, of: [h1]}
- {at: 4s, for: 2s, what: cut, from: [b1], to: [h9]}
- {at: 1s, for: 1s, what: slow, of: [origin], by: 0.5, way: up}
- {at: 1s, for: 1s, what: cut, of: [b1]}`,
	} {
		_, err := ParsePlan([]byte(text))
		fmt.Println(err)
	}
	// Output:
	// plan: empty
	// plan: line 1: did not find expected node content
	// plan: line 1: fleet.balancers: 0, want 1 to 1280
	// plan: line 1: fleet.hosts: 5000, want 1 to 4096
	// plan: line 2: load.for: 0s, want above 0, at most 10m0s
	// plan: line 2: aliases are not allowed; write out the value
	// plan: line 1: field hots not found
	// plan: line 1: "soon", want a time such as 1.5s or 200ms
	// plan: line 1: load.shares: unknown category "reed", want one of read, put, once
	// plan: line 3: kill: of: "b4" is none of b1, b2, b3
	// plan: line 4: what: "explode", want one of ban, clock, cut, delay, die, disk, drain, errors, freeze, hang, hole, kill, late, rate, remove, resets, sever, silent, single, slow, table, term, upgrade, void, wipe
	// plan: line 5: hang: for: missing
	// plan: line 6: cut: to: "h9" is none of h1, h2, h3, h4, h5, h6, origin, discovery
	// plan: line 6: cut: ends at 6s, after the load, which ends at 5s
	// plan: line 7: slow: way: "up", want out, back or both, and only for links
	// plan: line 7: slow: by: "0.5", want a factor above 1, at most 1000
	// plan: line 8: cut: to: missing
	// plan: line 8: cut: applies to links, given in from and to
}

// Omitted fields have their defaults, and zones and "all" are resolved to their parts.
func Example_planDefaults() {
	p, err := ParsePlan([]byte(`
name: two at one instant
load: {for: 3s, rate: 50}
faults:
- {at: 1s, for: 1s, what: cut, from: [z1], to: [z2, discovery], way: out}
- {at: 0.5s, for: 0.5s, what: slow, of: [h1, origin], by: 10}
- {at: 1s, what: void, of: [all]}
`))
	fmt.Println(err)
	for _, event := range p.events() {
		fmt.Println(event.end, event.fault)
	}
	of, to, err := p.Faults[0].targets(p.Fleet)
	fmt.Println(of, to, err)
	// Output:
	// <nil>
	// false   0.50s slow 10 h1,origin for 500ms
	// true   0.50s slow 10 h1,origin for 500ms
	// false   1.00s cut z1 to z2,discovery out for 1s
	// false   1.00s void all
	// true   1.00s cut z1 to z2,discovery out for 1s
	// [b1 b3] [h2 h4 h6 discovery] <nil>
}

// The text of a random plan must parse to the same plan with the same order of events, and its faults must overlap.
func TestRandomPlansRoundTrip(t *testing.T) {
	for seed := range uint64(300) {
		p := RandomPlan(seed)
		again, err := ParsePlan([]byte(p.String()))
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, p)
		}
		for i := range again.Faults {
			again.Faults[i].line = 0
		}
		if !reflect.DeepEqual(p, again) {
			t.Fatalf("seed %d: printed and read\n%s\nis\n%s", seed, p, again)
		}
		if !reflect.DeepEqual(p.events(), again.events()) || !reflect.DeepEqual(p, RandomPlan(seed)) {
			t.Fatalf("seed %d: the order of events differs", seed)
		}
		half := p.Load.Duration / 2
		for _, x := range p.Faults {
			if x.At > half || !faultKinds[x.Kind].instant && x.At+x.Duration < half {
				t.Fatalf("seed %d: %v does not overlap the others", seed, x)
			}
		}
	}
}

// Any plan that parses must parse again from its printed text.
func FuzzRead(f *testing.F) {
	f.Add(RandomPlan(1).String())
	f.Add("faults: [{what: kill}]")
	f.Add("a: &a {b: *a}")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := ParsePlan([]byte(text))
		if err != nil {
			return
		}
		if again, err := ParsePlan([]byte(p.String())); err != nil || len(again.Faults) != len(p.Faults) {
			t.Fatalf("%v\n%s", err, p)
		}
	})
}

// A plan that fails whenever b2 is killed and h3 hangs must shrink to these two faults on the smallest fleet with both parts.
func TestShrink(t *testing.T) {
	p := DefaultPlan()
	for _, x := range []Fault{
		{Kind: "slow", Parts: []string{"h1", "h2"}, Magnitude: "4"},
		{Kind: "kill", Parts: []string{"b1", "b2"}},
		{Kind: "hang", Parts: []string{"h2", "h3", "origin"}},
		{Kind: "delay", From: []string{"b1"}, To: []string{"h1"}, Magnitude: "20ms"},
	} {
		x.At, x.Duration = Duration(time.Second), Duration(time.Second)
		p.Faults = append(p.Faults, x)
	}
	least, err := Shrink(context.Background(), p, []string{"answers"}, func(_ context.Context, q Plan) (*Result, error) {
		injected := map[string]bool{}
		for _, x := range q.Faults {
			for _, name := range x.Parts {
				injected[x.Kind+name] = true
			}
		}
		if injected["killb2"] && injected["hangh3"] {
			return &Result{Violations: []Violation{{Rule: "answers"}}}, nil
		}
		return &Result{Violations: []Violation{{Rule: "another"}}}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(least.Fleet.Balancers, least.Fleet.Hosts, least.Load.Duration.d(), least.Faults)
	if want := "2 3 2.2s [  1.00s kill b2 for 1s   1.00s hang h3 for 1s]"; got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
