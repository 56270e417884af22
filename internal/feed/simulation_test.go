package feed

import (
	"flag"
	"strings"
	"testing"
	"time"
)

// plans is the number of plans that TestDrawnPlans runs, from seed 0 on.
var plans = flag.Uint64("plans", 200, "number of plans drawn by TestDrawnPlans")

const (
	// currentWithin is how long after the end of the last fault all nodes must be current, that is, know all changes
	// published until liveDelay ago.
	currentWithin = 4 * time.Second
	liveDelay     = time.Second
)

// runPlan runs a plan and returns the simulation at its end.
func runPlan(p plan, prepare func(*simulation)) *simulation {
	s := p.build()
	if prepare != nil {
		prepare(s)
	}
	for _, step := range p.steps {
		s.schedule(step)
	}
	end := p.faultsEndAt + currentWithin
	s.publishUntil(end, 0, p.settingsPerSecond)
	s.publishUntil(end, 1, p.purgesPerSecond)
	s.runUntil(end)
	for _, node := range s.nodes {
		if node.config.Role != Publisher {
			s.checker.requireCurrent(node.name, s.now-liveDelay, s.now)
		}
	}
	s.runUntil(end + currentWithin)
	for _, node := range s.nodes {
		if node.config.Role != Publisher {
			s.checker.requireCurrent(node.name, s.now, s.now)
			s.checker.requireLatestState(node.name, s.now)
		}
	}
	return s
}

func TestDrawnPlans(t *testing.T) {
	for seed := range *plans {
		p := randomPlan(seed)
		t.Run(strings.SplitN(p.String(), ":", 2)[0], func(t *testing.T) {
			t.Parallel()
			s := runPlan(p, nil)
			if len(s.checker.violations) > 0 {
				t.Errorf("%s\n%d violations, the first:\n%s", p, len(s.checker.violations),
					strings.Join(s.checker.violations[:min(len(s.checker.violations), 5)], "\n"))
			}
		})
	}
}
