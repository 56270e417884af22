package feed

import (
	"flag"
	"strings"
	"testing"
	"time"
)

// plans is how many plans are drawn, from seed 0 on.
var plans = flag.Uint64("plans", 200, "number of plans drawn by TestDrawnPlans")

const (
	// currentWithin is how long after the last fault's end everyone has to be current, by which is meant: to know all that
	// was published until liveDelay ago.
	currentWithin = 4 * time.Second
	liveDelay     = time.Second
)

// runPlan sees a plan through and returns the simulation after it.
func runPlan(p plan, prepare func(*simulation)) *simulation {
	s := p.build()
	if prepare != nil {
		prepare(s)
	}
	for _, step := range p.steps {
		s.enact(step)
	}
	end := p.healed + currentWithin
	s.publishUntil(end, 0, p.settingsPerSecond)
	s.publishUntil(end, 1, p.purgesPerSecond)
	s.runUntil(end)
	for _, node := range s.nodes {
		if node.config.Role != Publisher {
			s.checker.current(node.name, s.now-liveDelay, s.now)
		}
	}
	s.runUntil(end + currentWithin)
	for _, node := range s.nodes {
		if node.config.Role != Publisher {
			s.checker.current(node.name, s.now, s.now)
			s.checker.latestState(node.name, s.now)
		}
	}
	return s
}

func TestDrawnPlans(t *testing.T) {
	for seed := range *plans {
		p := drawPlan(seed)
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
