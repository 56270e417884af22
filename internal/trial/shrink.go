package trial

import (
	"context"
	"time"
)

const (
	shrinkRuns  = 60 // trials that a shrinking may take
	shrinkTries = 2  // times that a smaller plan is played before it counts as well
)

// Shrink looks for the least plan that still breaks one of the rules that a failing one does: with fewer faults in fewer
// parts, a shorter load and a smaller fleet. Each smaller plan is played up to twice, for a break may need luck.
func Shrink(ctx context.Context, p Plan, broken []string, play func(context.Context, Plan) (*Result, error)) (Plan, error) {
	runs := 0
	fails := func(q Plan) (bool, error) {
		for range shrinkTries {
			if runs++; runs > shrinkRuns {
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
	for smaller := true; smaller && runs < shrinkRuns; {
		smaller = false
		for _, q := range p.less() {
			if q.check([]int{0, 0}) != nil {
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

// less are the plans that are a step smaller, the largest steps first.
func (p Plan) less() (all []Plan) {
	step := func(change func(q *Plan)) {
		q := p
		q.Faults = append([]Fault(nil), p.Faults...)
		change(&q)
		all = append(all, q)
	}
	for i := range p.Faults {
		step(func(q *Plan) { q.Faults = append(q.Faults[:i:i], q.Faults[i+1:]...) })
	}
	for i, x := range p.Faults {
		for k := range x.Parts {
			if len(x.Parts) > 1 {
				step(func(q *Plan) { q.Faults[i].Parts = without(x.Parts, k) })
			}
		}
		for k := range x.From {
			if len(x.From) > 1 {
				step(func(q *Plan) { q.Faults[i].From = without(x.From, k) })
			}
		}
		for k := range x.To {
			if len(x.To) > 1 {
				step(func(q *Plan) { q.Faults[i].To = without(x.To, k) })
			}
		}
	}
	last := time.Duration(0)
	for _, x := range p.Faults {
		last = max(last, (x.At + x.Duration).d())
	}
	if short := max(last+200*time.Millisecond, time.Second); short < p.Load.Duration.d()*9/10 {
		step(func(q *Plan) { q.Load.Duration = Duration(short) })
	}
	for _, less := range []func(n int) int{func(n int) int { return n / 2 }, func(n int) int { return n - 1 }} {
		step(func(q *Plan) { q.Fleet.Balancers = less(p.Fleet.Balancers) })
		step(func(q *Plan) { q.Fleet.Hosts = less(p.Fleet.Hosts) })
	}
	return all
}

func without(all []string, i int) []string {
	return append(append([]string(nil), all[:i]...), all[i+1:]...)
}
