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

// History holds everything observed from outside the balancers during a trial. The rules are checked against it alone.
type History struct {
	Calls     []Call
	Pushes    []standin.ReceivedPush
	Lists     []standin.SentList
	Bans      []Ban
	Balancers []BalancerRecord // indexed by balancer number, from 0
	Tolerance time.Duration    // how much links and machine load may delay an event
}

// BalancerRecord is what is known about one balancer process.
type BalancerRecord struct {
	Name    string
	Source  string // IP address from which the balancer connects to hosts
	Outages []Outage
	Crash   string
}

// Violation is one violation of a rule.
type Violation struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at_ns"` // since the fleet was started
	Text string        `json:"text"`
}

const (
	maxViolationsPerRule = 20                     // that are described individually
	deadlineSlack        = 150 * time.Millisecond // allowed between sending an attempt and its receipt by the server
)

// rules lists the checkers. Each is independent of the others and of the metrics that the program reports about itself.
var rules = []struct {
	name  string
	text  string
	check func(*History) []Violation
}{
	{"answers", "each op that a balancer accepts gets exactly one answer in time, unless the balancer exits or is frozen",
		(*History).checkAnswers},
	{"moot", "no op is pushed after its TTL", (*History).checkExpired},
	{"deadlines", "no push carries a deadline after that of its client", (*History).checkDeadlines},
	{"effects", "an at-most-once op runs at most once, and never if it is nacked", (*History).checkAtMostOnce},
	{"window", "a deduplicated op runs again only within the deduplication window", (*History).checkDedupWindow},
	{"drains", "no balancer pushes to a draining, banned or gone host after the grace", (*History).checkDrains},
	{"cold", "the balancers together do not overload a cold host until it crashes", (*History).checkColdHosts},
	{"values", "reads and writes of each key are linearizable", (*History).checkValues},
	{"crashes", "no process exits on its own", (*History).checkCrashes},
}

// Check returns all violations in order of time. Of each rule, violations beyond the first maxViolationsPerRule are
// summarized in a single entry.
func (h *History) Check() (violations []Violation) {
	for _, rule := range rules {
		found := rule.check(h)
		for i := range found {
			found[i].Rule = rule.name
		}
		slices.SortStableFunc(found, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
		if more := len(found) - maxViolationsPerRule; more > 0 {
			found = append(found[:maxViolationsPerRule], Violation{rule.name, found[maxViolationsPerRule].At,
				fmt.Sprintf("and %d more", more)})
		}
		violations = append(violations, found...)
	}
	slices.SortStableFunc(violations, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	return violations
}

// wasOut reports whether the balancer was not serving at any time between from and to.
func (b BalancerRecord) wasOut(from, to time.Duration) bool {
	return slices.ContainsFunc(b.Outages, func(o Outage) bool { return o.From <= to && (o.To == 0 || o.To >= from) })
}

// checkAnswers reports ops with a missing, late, repeated or wrong answer. A missing or late answer is excused if the
// balancer was not serving at some time while the op was open.
func (h *History) checkAnswers() (violations []Violation) {
	pushed := map[string]bool{}
	for _, push := range h.Pushes {
		pushed[push.OpID] = true
	}
	for _, c := range h.Calls {
		// A balancer that has pushed an op has read its command, so the connection was not closed before.
		if c.Balancer < 0 || c.ClosedInTransit && !pushed[c.ID] {
			continue
		}
		b := h.Balancers[c.Balancer]
		if c.ExtraAnswers > 0 {
			violations = append(violations, Violation{At: c.Done,
				Text: fmt.Sprintf("op %s at %s: %d unexpected answers", c.ID, b.Name, c.ExtraAnswers)})
		}
		unanswered := c.Outcome == TimedOut || c.Outcome == Disconnected || c.Done > c.Sent+ttl+answerTolerance
		if unanswered && !b.wasOut(c.Sent-h.Tolerance, c.Sent+ttl+answerTolerance) {
			violations = append(violations, Violation{At: c.Done,
				Text: fmt.Sprintf("op %s (%s %s) at %s: %s %q, %v after sending", c.ID, c.Category,
					c.Key, b.Name, c.Outcome, c.Text, (c.Done - c.Sent).Round(time.Millisecond))})
		}
		if strings.HasPrefix(c.Text, "answer of another op") || c.Outcome == Acked && c.Write && c.Text != "receipt-"+c.ID {
			violations = append(violations, Violation{At: c.Done,
				Text: fmt.Sprintf("op %s at %s: %q is not the answer to it", c.ID, b.Name, c.Text)})
		}
	}
	return violations
}

// callsByID returns the calls, keyed by op ID.
func (h *History) callsByID() map[string]Call {
	calls := map[string]Call{}
	for _, c := range h.Calls {
		calls[c.ID] = c
	}
	return calls
}

// checkExpired reports pushes received after the TTL of their op. A push is excused if its balancer was not serving at some
// time between sending the op and the push, as a frozen balancer may still have had it buffered.
func (h *History) checkExpired() (violations []Violation) {
	ops := h.callsByID()
	for _, push := range h.Pushes {
		c, known := ops[push.OpID]
		if !known {
			continue
		}
		end := c.Sent + ttl + h.Tolerance
		if push.ReceivedAt > end && !(c.Balancer >= 0 && h.Balancers[c.Balancer].wasOut(c.Sent, push.ReceivedAt)) {
			violations = append(violations, Violation{At: push.ReceivedAt,
				Text: fmt.Sprintf("op %s pushed to %s %v after its TTL", push.OpID, push.Host,
					(push.ReceivedAt - c.Sent - ttl).Round(time.Millisecond))})
		}
	}
	return violations
}

// checkDeadlines reports pushes whose deadline lies after the TTL of their op. Time for which a balancer was frozen is not
// excused: the client's deadline does not move.
func (h *History) checkDeadlines() (violations []Violation) {
	ops := h.callsByID()
	for _, push := range h.Pushes {
		c, known := ops[push.OpID]
		if excess := push.Deadline - c.Sent - ttl; known && excess > deadlineSlack+h.Tolerance {
			violations = append(violations, Violation{At: push.ReceivedAt,
				Text: fmt.Sprintf("op %s: the deadline given to %s is %v after its TTL", push.OpID, push.Host,
					excess.Round(time.Millisecond))})
		}
	}
	return violations
}

// checkAtMostOnce reports at-most-once ops that ran more than once, or ran although they were nacked.
func (h *History) checkAtMostOnce() (violations []Violation) {
	ops, runs := h.callsByID(), map[string][]standin.ReceivedPush{}
	for _, push := range h.Pushes {
		if push.Executed && repeatModes[push.Category] == "fragile" {
			runs[push.OpID] = append(runs[push.OpID], push)
		}
	}
	for id, ran := range runs {
		if len(ran) > 1 {
			violations = append(violations, Violation{At: ran[1].ReceivedAt,
				Text: fmt.Sprintf("at-most-once op %s ran %d times", id, len(ran))})
		}
		if c, known := ops[id]; known && c.Outcome == Nacked {
			violations = append(violations, Violation{At: c.Done,
				Text: fmt.Sprintf("at-most-once op %s was nacked but ran at %s", id, ran[0].Host)})
		}
	}
	return violations
}

// checkDedupWindow reports deduplicated ops that ran again after the window in which hosts drop repeats.
func (h *History) checkDedupWindow() (violations []Violation) {
	firstRuns := map[string]standin.ReceivedPush{}
	for _, push := range h.Pushes {
		if repeatModes[push.Category] != "dedup" || !push.Executed {
			continue
		}
		firstRun, again := firstRuns[push.OpID]
		if !again {
			firstRuns[push.OpID] = push
		} else if push.ReceivedAt-firstRun.ReceivedAt > dedupWindow+h.Tolerance {
			violations = append(violations, Violation{At: push.ReceivedAt,
				Text: fmt.Sprintf("deduplicated op %s ran again %v after its first run", push.OpID,
					(push.ReceivedAt - firstRun.ReceivedAt).Round(time.Millisecond))})
		}
	}
	return violations
}

// exclusion is a span in which a balancer must not push new ops to a host, apart from the grace at its beginning.
type exclusion struct {
	Span
	reason string
}

// checkDrains reports pushes to hosts that were draining, gone or banned for longer than the grace. A listed phase counts
// from the time at which discovery sent the list. A balancer that was out in the meantime is excused: a frozen one learns of
// the change only after it resumes, and a restarted one starts with the list of its start file.
func (h *History) checkDrains() (violations []Violation) {
	bySource := map[string]int{}
	for i, b := range h.Balancers {
		bySource[b.Source] = i
	}
	exclusions := make([]map[string][]exclusion, len(h.Balancers))
	for i, b := range h.Balancers {
		exclusions[i] = map[string][]exclusion{}
		beginExclusion := func(host, why string, at time.Duration) {
			spans := exclusions[i][host]
			if n := len(spans); n == 0 || spans[n-1].To != 0 {
				exclusions[i][host] = append(spans, exclusion{Span{From: at}, why})
			}
		}
		endExclusion := func(host string, at time.Duration) {
			if n := len(exclusions[i][host]); n > 0 && exclusions[i][host][n-1].To == 0 {
				exclusions[i][host][n-1].To = at
			}
		}
		for _, list := range h.Lists {
			if list.View != b.Name {
				continue
			}
			for host, phase := range list.Phases {
				if phase == standin.InService {
					endExclusion(host, list.SentAt)
				} else {
					beginExclusion(host, "listed as "+phase, list.SentAt)
				}
			}
		}
		for _, ban := range h.Bans {
			if ban.Balancer != b.Name {
				continue
			}
			to := ban.To
			for _, o := range b.Outages { // a ban ends with the balancer process
				if !o.Frozen && o.From > ban.From && (to == 0 || o.From < to) {
					to = o.From
				}
			}
			exclusions[i][ban.Host] = append(exclusions[i][ban.Host], exclusion{Span{ban.From, to}, "banned"})
		}
	}
	for _, push := range h.Pushes {
		i, known := bySource[push.ClientIP]
		if !known {
			continue
		}
		for _, s := range exclusions[i][push.Host] {
			overdue := push.ReceivedAt - s.From - drainGrace - h.Tolerance
			if overdue <= 0 || s.To != 0 && push.ReceivedAt > s.To || h.Balancers[i].wasOut(s.From, push.ReceivedAt) {
				continue
			}
			violations = append(violations, Violation{At: push.ReceivedAt,
				Text: fmt.Sprintf("%s pushed op %s to %s, which was %s %v earlier", h.Balancers[i].Name, push.OpID,
					push.Host, s.reason, (push.ReceivedAt - s.From).Round(time.Millisecond))})
		}
	}
	return violations
}

// checkColdHosts reports cold hosts that crashed from overload.
func (h *History) checkColdHosts() (violations []Violation) {
	for _, push := range h.Pushes {
		if push.CausedCrash {
			violations = append(violations, Violation{At: push.ReceivedAt,
				Text: fmt.Sprintf("%s crashed from overload while cold", push.Host)})
		}
	}
	return violations
}

// checkCrashes reports balancer processes that exited on their own.
func (h *History) checkCrashes() (violations []Violation) {
	for _, b := range h.Balancers {
		if b.Crash != "" {
			at := time.Duration(0)
			if n := len(b.Outages); n > 0 {
				at = b.Outages[n-1].From
			}
			violations = append(violations, Violation{At: at, Text: fmt.Sprintf("%s exited on its own: %s", b.Name, b.Crash)})
		}
	}
	return violations
}

// access is the input of an operation on a key: the ID that a write stores, or an empty string for a read.
type access struct{ write string }

// register models the value of a key at the origin.
var register = porcupine.Model{
	Init: func() any { return "unwritten" },
	Step: func(state, input, output any) (bool, any) {
		if w := input.(access).write; w != "" {
			return true, w
		}
		return output.(string) == state.(string), state
	},
}

const valuesTimeout = 10 * time.Second // limit for one trial; keys not decided by then count as valid

// checkValues reports keys whose reads and writes are not linearizable. A write that was not acked may take effect at any
// time after it was sent, or never. A read that was not acked is ignored.
func (h *History) checkValues() (violations []Violation) {
	byKey, ran := map[string][]porcupine.Operation{}, map[string]bool{}
	for _, push := range h.Pushes {
		if push.Executed && push.Write {
			ran[push.OpID] = true
		}
	}
	last := time.Duration(0)
	for _, c := range h.Calls {
		last = max(last, c.Done)
	}
	for i, c := range h.Calls {
		op := porcupine.Operation{ClientId: i, Call: int64(c.Begun), Return: int64(c.Done)}
		switch {
		case c.Write && c.Outcome == Acked:
			op.Input = access{c.ID}
		case c.Write && ran[c.ID]:
			op.Input, op.Return = access{c.ID}, int64(last)+int64(time.Hour)
		case !c.Write && c.Outcome == Acked:
			value, isOwn := strings.CutPrefix(c.Text, c.Key+" ")
			if !isOwn {
				violations = append(violations, Violation{At: c.Done,
					Text: fmt.Sprintf("read of %s returned %.60q, a value of another key", c.Key, c.Text)})
				continue
			}
			op.Input, op.Output = access{}, value
		default:
			continue
		}
		byKey[c.Key] = append(byKey[c.Key], op)
	}
	deadline := time.Now().Add(valuesTimeout)
	for key, ops := range byKey {
		if porcupine.CheckOperationsTimeout(register, ops, max(time.Until(deadline), time.Millisecond)) == porcupine.Illegal {
			violations = append(violations, Violation{At: time.Duration(ops[0].Call),
				Text: fmt.Sprintf("%s: its %d reads and writes are not linearizable", key, len(ops))})
		}
	}
	return violations
}
