package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// rampSimulation simulates what all balancers together send to cold hosts, from their listing until they are
// warm, when demand exceeds what they may get. It counts the runs in which a host got more than it can take
// in a span of 1 s.
type rampSimulation struct {
	balancers      int
	hosts          int     // warm and cold
	coldHosts      int     // the last of the hosts
	hostRate       float64 // pushes per ms that a warm host gets and can take
	skewed         bool    // one balancer in ten has eight times the ops of the others
	newGroup       bool    // the balancers start with the hosts and have no statistics yet
	restarted      bool    // the balancers restart after a second
	demand         float64 // pushes wanted for a cold host, relative to those that a warm one gets
	listSpread     float64 // ms within which the balancers learn of the cold hosts
	exceeded, runs int     // runs in which a host got more than it can take, and all runs
}

const (
	rampWarmUp = 4000.0 // ms, twice the window of the push rate
	rampStep   = 10.0   // ms
	rampRuns   = 20     // of each case; all take a few seconds
)

// simulate makes one run with the given seed.
func (r *rampSimulation) simulate(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(r.balancers)))
	startedAt := rampWarmUp
	if r.newGroup {
		startedAt = 1
	}
	weights, totalWeight := make([]float64, r.balancers), 0.0
	for i := range weights {
		if weights[i] = 1; r.skewed && i%10 == 0 {
			weights[i] = 8
		}
		totalWeight += weights[i]
	}
	sent := make([][]float64, r.coldHosts)
	for i := range r.balancers {
		share := weights[i] / totalWeight
		listedAt := startedAt + rng.Float64()*r.listSpread
		sim, hosts := r.newBalancer(rng.Uint64())
		for t := 0.0; t < startedAt+5000; t += rampStep {
			if r.restarted && t >= startedAt+1000 && t < startedAt+1000+rampStep {
				sim, hosts = r.newBalancer(rng.Uint64())
				r.sendList(sim, hosts, startedAt)
			}
			if t <= listedAt && listedAt < t+rampStep {
				r.sendList(sim, hosts, startedAt)
			}
			warm := r.hosts
			if t >= listedAt {
				warm -= r.coldHosts
			}
			sim.now = t
			sim.warmAnswers += poisson(rng, float64(warm)*r.hostRate*share*rampStep)
			if sim.now-sim.lastSweep >= sweepInterval {
				sim.sweep(sim.now - sim.lastSweep)
			}
			for c := range r.coldHosts {
				h := hosts[r.hosts-1-c]
				for range poisson(rng, r.demand*r.hostRate*share*rampStep) {
					if t >= listedAt && sim.hasColdBudget(h) {
						h.coldBudget--
						sent[c] = append(sent[c], t)
					}
				}
			}
		}
	}
	r.runs++
	for _, times := range sent {
		slices.Sort(times)
		from := 0
		for i, t := range times {
			for t-times[from] >= 1000 {
				from++
			}
			n := 3 * (0.3 + 0.7*math.Min((t-startedAt)/5000, 1)) * r.hostRate * 1000
			if float64(i-from+1) > n+2*math.Sqrt(n)+2 {
				r.exceeded++
				return
			}
		}
	}
}

// newBalancer starts one balancer of the group, with all hosts listed as warm.
func (r *rampSimulation) newBalancer(seed uint64) (*harness, []*Host) {
	cfg := testConfig()
	cfg.Seed, cfg.GroupSize, cfg.Quantum = seed, r.balancers, 1
	sim := &harness{silent: true}
	sim.Balancer = New(cfg, sim, 0)
	for _, c := range sim.Categories { // a host serves one op at a time
		c.avgLatency = 1 / r.hostRate
	}
	var hosts []*Host
	for i := range r.hosts {
		hosts = append(hosts, &Host{Name: fmt.Sprint("host", i)})
	}
	r.sendList(sim, hosts, 0)
	return sim, hosts
}

// sendList lists all hosts; with up > 0, the cold ones as started at that time, in ms.
func (r *rampSimulation) sendList(sim *harness, hosts []*Host, up float64) {
	var entries []HostEntry
	for i, h := range hosts {
		l := Listing{Size: 1}
		if up > 0 && i >= r.hosts-r.coldHosts {
			l.UpSince = up
		}
		entries = append(entries, HostEntry{h, l})
	}
	sim.HostsListed(entries, true, false)
}

// poisson draws from the Poisson distribution with the given mean.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for left := rng.Float64(); left > math.Exp(-mean); n++ {
		left *= rng.Float64()
	}
	return n
}

// All balancers together send a cold host no more than it can take, N, plus 2√N + 2 for chance: when a host
// is replaced, when all hosts are new, when a zone returns, and when restarted balancers have forgotten what
// they sent.
func Example_coldHostBudgetHeldAcrossBalancers() {
	for _, n := range []int{1, 5, 20, 30, 300} {
		for _, c := range rampCases {
			c.ramp.balancers = n
			runs := rampRuns
			if n == 300 {
				runs = rampRuns / 5
			}
			for seed := range runs {
				c.ramp.simulate(uint64(seed))
			}
			if c.ramp.exceeded > 0 {
				fmt.Println(n, "balancers,", c.name, "over in", c.ramp.exceeded, "of", c.ramp.runs)
			}
		}
	}
	// Output:
}

var rampCases = []struct {
	name string
	ramp rampSimulation
}{
	{"a host replaced", rampSimulation{hosts: 10, coldHosts: 1, hostRate: 0.05, demand: 3, listSpread: 500}},
	{"a slow fleet", rampSimulation{hosts: 10, coldHosts: 1, hostRate: 0.004, demand: 3}},
	{"a zone's return, skewed",
		rampSimulation{hosts: 12, coldHosts: 4, hostRate: 0.08, skewed: true, demand: 2, listSpread: 1500}},
	{"all restarted", rampSimulation{hosts: 6, coldHosts: 6, hostRate: 0.08, newGroup: true, demand: 1}},
	{"balancers restarted", rampSimulation{hosts: 10, coldHosts: 3, hostRate: 0.05, restarted: true, demand: 3}},
}
