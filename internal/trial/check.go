package trial

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"larchthread/internal/standin"
)

// History is all that was seen from outside the balancers: what checkers go by.
type History struct {
	Calls     []Call
	Pushes    []standin.ReceivedPush
	Lists     []standin.SentList
	Bans      []Ban
	Balancers []BalancerRecord // by number
	Tolerance time.Duration    // by which links and the cluster may have made anything later
}

// BalancerRecord is what is known of a balancer's process.
type BalancerRecord struct {
	Name    string
	Source  string // what hosts see it as
	Outages []Outage
	Crash   string
}

// Violation is a rule that was broken.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at_ns"` // since the fleet's start
	Text string        `json:"text"`
}

const (
	breaksMost    = 20                     // of one rule that are told in words
	deadlineSlack = 150 * time.Millisecond // by which a server may hear an attempt later than it was written, on a busy machine
)

// rules are the checkers, each apart from the others and from the program's own figures.
var rules = []struct {
	name  string
	text  string
	check func(*History) []Violation
}{
	{"answers", "each op that a balancer took gets one answer, in its time, unless that balancer ended or stood still", (*History).answers},
	{"moot", "nothing is pushed after its op's TTL", (*History).moot},
	{"deadlines", "no attempt tells its server more time than its client has left", (*History).deadlines},
	{"effects", "an at-most-once op runs once at most; one that was nacked never ran", (*History).effects},
	{"window", "a deduplicated op runs again only inside the window in which hosts drop repeats", (*History).window},
	{"drains", "nothing new to a draining, banned or gone host after the grace, by each balancer", (*History).drains},
	{"cold", "no cold host is pushed over by all balancers together", (*History).cold},
	{"values", "reads and writes of each key could have happened one after another", (*History).values},
	{"crashes", "no process ends without being told to", (*History).crashes},
}

// Check looks for broken rules, in the order of time.
func (r *History) Check() (all []Violation) {
	for _, rule := range rules {
		found := rule.check(r)
		for i := range found {
			found[i].Rule = rule.name
		}
		slices.SortStableFunc(found, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
		if more := len(found) - breaksMost; more > 0 {
			found = append(found[:breaksMost], Violation{rule.name, found[breaksMost].At, fmt.Sprintf("and %d more", more)})
		}
		all = append(all, found...)
	}
	slices.SortStableFunc(all, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	return all
}

// away tells whether a balancer was not serving at some time of a span.
func (w BalancerRecord) away(from, to time.Duration) bool {
	return slices.ContainsFunc(w.Outages, func(a Outage) bool { return a.From <= to && (a.To == 0 || a.To >= from) })
}

// answers: a balancer that ends takes its open ops with it, and one that stands still answers late.
func (r *History) answers() (all []Violation) {
	pushed := map[string]bool{}
	for _, x := range r.Pushes {
		pushed[x.OpID] = true
	}
	for _, c := range r.Calls {
		// Whoever has pushed an op had read its command: it did not cross.
		if c.Balancer < 0 || c.ClosedInTransit && !pushed[c.ID] {
			continue
		}
		w := r.Balancers[c.Balancer]
		if c.ExtraAnswers > 0 {
			all = append(all, Violation{At: c.Done, Text: fmt.Sprintf("op %s at %s: %d answers too many", c.ID, w.Name, c.ExtraAnswers)})
		}
		lost := c.Outcome == TimedOut || c.Outcome == Disconnected || c.Done > c.Sent+ttl+answerSlack
		if lost && !w.away(c.Sent-r.Tolerance, c.Sent+ttl+answerSlack) {
			all = append(all, Violation{At: c.Done, Text: fmt.Sprintf("op %s (%s %s) at %s: %s %q, %v after it was sent", c.ID, c.Category,
				c.Key, w.Name, c.Outcome, c.Text, (c.Done - c.Sent).Round(time.Millisecond))})
		}
		if strings.HasPrefix(c.Text, "answer of another op") || c.Outcome == Acked && c.Write && c.Text != "receipt-"+c.ID {
			all = append(all, Violation{At: c.Done, Text: fmt.Sprintf("op %s at %s: %q is not its answer", c.ID, w.Name, c.Text)})
		}
	}
	return all
}

// byID are the ops by their ids.
func (r *History) byID() map[string]Call {
	all := map[string]Call{}
	for _, c := range r.Calls {
		all[c.ID] = c
	}
	return all
}

// moot: what a link held up, or was in a balancer that stood still, may come late.
func (r *History) moot() (all []Violation) {
	ops := r.byID()
	for _, x := range r.Pushes {
		c, known := ops[x.OpID]
		if !known {
			continue
		}
		end := c.Sent + ttl + r.Tolerance
		if x.ReceivedAt > end && !(c.Balancer >= 0 && r.Balancers[c.Balancer].away(c.Sent, x.ReceivedAt)) {
			all = append(all, Violation{At: x.ReceivedAt, Text: fmt.Sprintf("op %s pushed to %s %v after its TTL", x.OpID, x.Host,
				(x.ReceivedAt - c.Sent - ttl).Round(time.Millisecond))})
		}
	}
	return all
}

// deadlines: also a balancer that stood still has to count that, as its client's time went on.
func (r *History) deadlines() (all []Violation) {
	ops := r.byID()
	for _, x := range r.Pushes {
		c, known := ops[x.OpID]
		if over := x.Deadline - c.Sent - ttl; known && over > deadlineSlack+r.Tolerance {
			all = append(all, Violation{At: x.ReceivedAt, Text: fmt.Sprintf("op %s: %s was told to answer until %v after its TTL", x.OpID, x.Host,
				over.Round(time.Millisecond))})
		}
	}
	return all
}

func (r *History) effects() (all []Violation) {
	ops, runs := r.byID(), map[string][]standin.ReceivedPush{}
	for _, x := range r.Pushes {
		if x.Executed && categories[x.Category] == "fragile" {
			runs[x.OpID] = append(runs[x.OpID], x)
		}
	}
	for id, ran := range runs {
		if len(ran) > 1 {
			all = append(all, Violation{At: ran[1].ReceivedAt, Text: fmt.Sprintf("at-most-once op %s ran %d times", id, len(ran))})
		}
		if c, known := ops[id]; known && c.Outcome == Nacked {
			all = append(all, Violation{At: c.Done, Text: fmt.Sprintf("at-most-once op %s was nacked and ran at %s", id, ran[0].Host)})
		}
	}
	return all
}

func (r *History) window() (all []Violation) {
	first := map[string]standin.ReceivedPush{}
	for _, x := range r.Pushes {
		if categories[x.Category] != "dedup" || !x.Executed {
			continue
		}
		f, again := first[x.OpID]
		if !again {
			first[x.OpID] = x
		} else if x.ReceivedAt-f.ReceivedAt > dropsFor+r.Tolerance {
			all = append(all, Violation{At: x.ReceivedAt, Text: fmt.Sprintf("deduplicated op %s ran again %v after it first did", x.OpID,
				(x.ReceivedAt - f.ReceivedAt).Round(time.Millisecond))})
		}
	}
	return all
}

// shut is a while in which a balancer may send nothing new to a host, the grace left out.
type shut struct {
	Span
	why string
}

// drains: lists count from when discovery wrote them. A process that starts anew knows what its start file says, and what it
// is told from then on; while it stands still it hears nothing, so the grace begins once it goes on.
func (r *History) drains() (all []Violation) {
	bySource := map[string]int{}
	for i, w := range r.Balancers {
		bySource[w.Source] = i
	}
	shuts := make([]map[string][]shut, len(r.Balancers))
	for i, w := range r.Balancers {
		shuts[i] = map[string][]shut{}
		open := func(host, why string, at time.Duration) {
			spans := shuts[i][host]
			if n := len(spans); n == 0 || spans[n-1].To != 0 {
				shuts[i][host] = append(spans, shut{Span{From: at}, why})
			}
		}
		end := func(host string, at time.Duration) {
			if n := len(shuts[i][host]); n > 0 && shuts[i][host][n-1].To == 0 {
				shuts[i][host][n-1].To = at
			}
		}
		for _, t := range r.Lists {
			if t.View != w.Name {
				continue
			}
			for host, phase := range t.Phases {
				if phase == standin.InService {
					end(host, t.SentAt)
				} else {
					open(host, "listed as "+phase, t.SentAt)
				}
			}
		}
		for _, b := range r.Bans {
			if b.Balancer != w.Name {
				continue
			}
			to := b.To
			for _, a := range w.Outages { // a ban does not outlive its process
				if !a.Frozen && a.From > b.From && (to == 0 || a.From < to) {
					to = a.From
				}
			}
			shuts[i][b.Host] = append(shuts[i][b.Host], shut{Span{b.From, to}, "banned"})
		}
	}
	for _, x := range r.Pushes {
		i, known := bySource[x.ClientIP]
		if !known {
			continue
		}
		for _, s := range shuts[i][x.Host] {
			late := x.ReceivedAt - s.From - drainGrace - r.Tolerance
			if late <= 0 || s.To != 0 && x.ReceivedAt > s.To || r.Balancers[i].away(s.From, x.ReceivedAt) {
				continue
			}
			all = append(all, Violation{At: x.ReceivedAt, Text: fmt.Sprintf("%s pushed op %s to %s, %s %v before", r.Balancers[i].Name, x.OpID,
				x.Host, s.why, (x.ReceivedAt - s.From).Round(time.Millisecond))})
		}
	}
	return all
}

func (r *History) cold() (all []Violation) {
	for _, x := range r.Pushes {
		if x.CausedCrash {
			all = append(all, Violation{At: x.ReceivedAt, Text: fmt.Sprintf("%s was pushed over while it was cold", x.Host)})
		}
	}
	return all
}

func (r *History) crashes() (all []Violation) {
	for _, w := range r.Balancers {
		if w.Crash != "" {
			at := time.Duration(0)
			if n := len(w.Outages); n > 0 {
				at = w.Outages[n-1].From
			}
			all = append(all, Violation{At: at, Text: fmt.Sprintf("%s ended by itself: %s", w.Name, w.Crash)})
		}
	}
	return all
}

// access is what a client asked of a key's value: the id that it wrote, or none for a read.
type access struct{ write string }

// register is a key's value, as the origin holds it.
var register = porcupine.Model{
	Init: func() any { return "unwritten" },
	Step: func(state, input, output any) (bool, any) {
		if w := input.(access).write; w != "" {
			return true, w
		}
		return output.(string) == state.(string), state
	},
}

const valuesMost = 10 * time.Second // for one trial's search; what is not found in it is not held against anybody

// values: a write with no yes may happen at any time after it was sent, or never; a read with none tells nothing.
func (r *History) values() (all []Violation) {
	byKey, ran := map[string][]porcupine.Operation{}, map[string]bool{}
	for _, x := range r.Pushes {
		if x.Executed && x.Write {
			ran[x.OpID] = true
		}
	}
	last := time.Duration(0)
	for _, c := range r.Calls {
		last = max(last, c.Done)
	}
	for i, c := range r.Calls {
		op := porcupine.Operation{ClientId: i, Call: int64(c.Sent), Return: int64(c.Done)}
		switch {
		case c.Write && c.Outcome == Acked:
			op.Input = access{c.ID}
		case c.Write && ran[c.ID]:
			op.Input, op.Return = access{c.ID}, int64(last)+int64(time.Hour)
		case !c.Write && c.Outcome == Acked:
			value, mine := strings.CutPrefix(c.Text, c.Key+" ")
			if !mine {
				all = append(all, Violation{At: c.Done, Text: fmt.Sprintf("read of %s gave %.60q", c.Key, c.Text)})
				continue
			}
			op.Input, op.Output = access{}, value
		default:
			continue
		}
		// The command may have been heard before the client noted that it was written.
		op.Call -= int64(time.Millisecond)
		byKey[c.Key] = append(byKey[c.Key], op)
	}
	end := time.Now().Add(valuesMost)
	for key, ops := range byKey {
		if porcupine.CheckOperationsTimeout(register, ops, max(time.Until(end), time.Millisecond)) == porcupine.Illegal {
			all = append(all, Violation{At: time.Duration(ops[0].Call), Text: fmt.Sprintf("%s: no order of its %d reads and writes explains what was read", key, len(ops))})
		}
	}
	return all
}
