package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// rampSimulation plays what n balancers together send hosts that have come up cold, from the moment they are listed until they are warm,
// where more wants to go there than may. It counts the draws in which one of them got more in some span than it can bear.
type rampSimulation struct {
	n           int     // balancers
	hosts       int     // all
	cold        int     // of these
	rate        float64 // pushes a ms that a warm host can take, and gets
	skewed      bool    // one balancer in ten has eight times the ops of the others
	fresh       bool    // the balancers are as new as the hosts: nothing has been seen yet
	restarted   bool    // they are started anew a second later
	wants       float64 // pushes that want to go to a cold host, to those that a warm one gets
	late        float64 // ms by which lists are spread
	over, drawn int     // draws with a host over its budget and chance, and draws
}

const (
	rampWarmUp = 4000.0 // ms, twice what rates are averaged over
	rampStep   = 10.0   // ms
	rampRuns   = 20     // of each kind: a few seconds; a thousand were drawn once (docs/standing.md)
)

func (r *rampSimulation) simulate(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(r.n)))
	begins := rampWarmUp
	if r.fresh {
		begins = 1
	}
	weights, all := make([]float64, r.n), 0.0
	for i := range weights {
		if weights[i] = 1; r.skewed && i%10 == 0 {
			weights[i] = 8
		}
		all += weights[i]
	}
	sent := make([][]float64, r.cold)
	for i := range r.n {
		part := weights[i] / all
		lists := begins + rng.Float64()*r.late
		x, hosts := r.newBalancer(rng.Uint64())
		for t := 0.0; t < begins+5000; t += rampStep {
			if r.restarted && t >= begins+1000 && t < begins+1000+rampStep {
				x, hosts = r.newBalancer(rng.Uint64())
				r.sendList(x, hosts, begins)
			}
			if t <= lists && lists < t+rampStep {
				r.sendList(x, hosts, begins)
			}
			warm := r.hosts
			if t >= lists {
				warm -= r.cold
			}
			x.now = t
			x.warmAnswers += poisson(rng, float64(warm)*r.rate*part*rampStep)
			if x.now-x.lastSweep >= sweepInterval {
				x.sweep(x.now - x.lastSweep)
			}
			for c := range r.cold {
				h := hosts[r.hosts-1-c]
				for range poisson(rng, r.wants*r.rate*part*rampStep) {
					if t >= lists && x.hasColdBudget(h) {
						h.coldBudget--
						sent[c] = append(sent[c], t)
					}
				}
			}
		}
	}
	r.drawn++
	for _, times := range sent {
		slices.Sort(times)
		from := 0
		for i, t := range times {
			for t-times[from] >= 1000 {
				from++
			}
			n := 3 * (0.3 + 0.7*math.Min((t-begins)/5000, 1)) * r.rate * 1000
			if float64(i-from+1) > n+2*math.Sqrt(n)+2 {
				r.over++
				return
			}
		}
	}
}

func (r *rampSimulation) newBalancer(seed uint64) (*harness, []*Host) {
	s := testConfig()
	s.Seed, s.GroupSize, s.Quantum = seed, r.n, 1
	x := &harness{silent: true}
	x.Balancer = New(s, x, 0)
	for _, c := range x.Categories { // a host is at work on one op after another
		c.avgLatency = 1 / r.rate
	}
	var hosts []*Host
	for i := range r.hosts {
		hosts = append(hosts, &Host{Name: fmt.Sprint("host", i)})
	}
	r.sendList(x, hosts, 0)
	return x, hosts
}

func (r *rampSimulation) sendList(x *harness, hosts []*Host, up float64) {
	var entries []HostEntry
	for i, h := range hosts {
		l := Listing{Size: 1}
		if up > 0 && i >= r.hosts-r.cold {
			l.UpSince = up
		}
		entries = append(entries, HostEntry{h, l})
	}
	x.HostsListed(entries, true, false)
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for left := rng.Float64(); left > math.Exp(-mean); n++ {
		left *= rng.Float64()
	}
	return n
}

// What all balancers together send a cold host stays within what it can bear, N, and chance, 2√N + 2: at the end of a
// replacement, where all is new, as a zone comes back, and where balancers that are restarted have forgotten what they sent.
func Example_coldHostBudgetHeldAcrossBalancers() {
	for _, n := range []int{1, 5, 20, 30, 300} {
		for _, k := range rampCases {
			k.r.n = n
			draws := rampRuns
			if n == 300 {
				draws = rampRuns / 5
			}
			for seed := range draws {
				k.r.simulate(uint64(seed))
			}
			if k.r.over > 0 {
				fmt.Println(n, "balancers,", k.name, "over in", k.r.over, "of", k.r.drawn)
			}
		}
	}
	// Output:
}

var rampCases = []struct {
	name string
	r    rampSimulation
}{
	{"a host replaced", rampSimulation{hosts: 10, cold: 1, rate: 0.05, wants: 3, late: 500}},
	{"a slow fleet", rampSimulation{hosts: 10, cold: 1, rate: 0.004, wants: 3}},
	{"a zone's return, skewed", rampSimulation{hosts: 12, cold: 4, rate: 0.08, skewed: true, wants: 2, late: 1500}},
	{"all restarted", rampSimulation{hosts: 6, cold: 6, rate: 0.08, fresh: true, wants: 1}},
	{"balancers restarted", rampSimulation{hosts: 10, cold: 3, rate: 0.05, restarted: true, wants: 3}},
}
