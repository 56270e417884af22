package trial

import (
	"context"
	"time"
)

const (
	maxShrinkRuns = 60 // in all
	triesPerPlan  = 2  // a violation may not occur in every run
)

// Shrink searches for a smaller plan that still violates one of the rules in broken: with fewer faults, fewer targets, a
// shorter load and a smaller fleet. It runs each candidate up to triesPerPlan times and all together up to maxShrinkRuns
// times. If play returns an error, Shrink returns it with the smallest plan so far.
func Shrink(ctx context.Context, p Plan, broken []string, play func(context.Context, Plan) (*Result, error)) (Plan, error) {
	runs := 0
	fails := func(q Plan) (bool, error) {
		for range triesPerPlan {
			if runs++; runs > maxShrinkRuns {
				return false, nil
			}
			r, err := play(ctx, q)
			if err != nil {
				return false, err
			}
			for _, rule := range r.BrokenRules() {
				for _, want := range broken {
					if rule == want {
						return true, nil
					}
				}
			}
		}
		return false, nil
	}
	for smaller := true; smaller && runs < maxShrinkRuns; {
		smaller = false
		for _, q := range p.smallerPlans() {
			if q.validate([]int{0, 0}) != nil {
				continue
			}
			still, err := fails(q)
			if err != nil {
				return p, err
			}
			if still {
				p, smaller = q, true
				break
			}
		}
	}
	return p, nil
}

// smallerPlans returns plans that are one step smaller, the largest steps first.
func (p Plan) smallerPlans() (all []Plan) {
	step := func(change func(q *Plan)) {
		q := p
		q.Faults = append([]Fault(nil), p.Faults...)
		change(&q)
		all = append(all, q)
	}
	for i := range p.Faults {
		step(func(q *Plan) { q.Faults = append(q.Faults[:i:i], q.Faults[i+1:]...) })
	}
	for i, fault := range p.Faults {
		for k := range fault.Parts {
			if len(fault.Parts) > 1 {
				step(func(q *Plan) { q.Faults[i].Parts = withoutIndex(fault.Parts, k) })
			}
		}
		for k := range fault.From {
			if len(fault.From) > 1 {
				step(func(q *Plan) { q.Faults[i].From = withoutIndex(fault.From, k) })
			}
		}
		for k := range fault.To {
			if len(fault.To) > 1 {
				step(func(q *Plan) { q.Faults[i].To = withoutIndex(fault.To, k) })
			}
		}
	}
	last := time.Duration(0)
	for _, fault := range p.Faults {
		last = max(last, (fault.At + fault.Duration).d())
	}
	if short := max(last+200*time.Millisecond, time.Second); short < p.Load.Duration.d()*9/10 {
		step(func(q *Plan) { q.Load.Duration = Duration(short) })
	}
	for _, reduce := range []func(n int) int{func(n int) int { return n / 2 }, func(n int) int { return n - 1 }} {
		step(func(q *Plan) { q.Fleet.Balancers = reduce(p.Fleet.Balancers) })
		step(func(q *Plan) { q.Fleet.Hosts = reduce(p.Fleet.Hosts) })
	}
	return all
}

// withoutIndex returns a copy of all without element i.
func withoutIndex(all []string, i int) []string {
	return append(append([]string(nil), all[:i]...), all[i+1:]...)
}
