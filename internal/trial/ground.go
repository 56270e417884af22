// Package trial is a ground on which several processes of the program are tried, with faults between them. A plan says what
// is started, what clients send, and what goes wrong when; Run plays it:
//
//	plan.go, faults.go   what a plan may hold, read, checked, drawn, printed
//	ground.go            plays a plan from its start to its result
//	address.go           the part of loopback that a ground has to itself
//	start.go             starts the fleet: stand-ins, links, start files, balancers
//	inject.go            brings about the plan's faults, each at its time
//	process.go           a real process, its directory as its disk, its log as it comes
//	link.go              the way from one balancer to one part, which can fail by itself
//	load.go              clients that send at a rate whatever comes back
//	check.go             rules, from what clients, hosts and discovery saw; never from the program's own word
//	shrink.go, report.go the least plan that still fails, and what people read
//
// Cache hosts, origin and discovery are stand-ins (package standin). All addresses are loopback's.
package trial

import (
	"context"
	"os"
	"sync"
	"time"

	"larchthread/internal/standin"
)

const (
	target     = 200 * time.Millisecond // of each category
	ttl        = 600 * time.Millisecond
	dropsFor   = 400 * time.Millisecond // repeats of a deduplicated op
	coldFor    = 2 * time.Second        // until a restarted host is warm
	coldShare  = 0.3                    // part of its capacity at which it starts
	tipTimes   = 3.0                    // sent so many times what it can do
	tipFor     = time.Second            // for so long, a cold host falls
	drainGrace = time.Second            // after a balancer was told, nothing new goes to a draining or banned host
	memoryMB   = 192
	sockets    = 2048
	settle     = 300 * time.Millisecond // from the fleet's start to the first op
	callMost   = 2 * time.Second        // for an operators' call
)

// categories are what ops there are, and how they may be repeated.
var categories = map[string]string{"read": "retryable", "put": "dedup", "once": "fragile"}

// Ground is what Run plays on.
type Ground struct {
	Program string   // path of the program under trial
	Args    []string // of a balancer
	Env     []string // further environment of a balancer
	Say     func(form string, a ...any)

	plan      Plan
	dir       string
	at        addresses
	shell     *shell
	fleet     *standin.Fleet
	processes []*Process
	listens   []string
	links     map[[2]string]*Link

	mu     sync.Mutex
	admins []string
	struck []string
	bans   []Ban
	broken []error // what the ground itself could not do
}

// Ban is a host taken out by hand at a balancer. It binds from that balancer's yes to the call that ends it.
type Ban struct {
	Balancer, Host string
	Span
}

// Run plays a plan, and returns what came of it. An error is the ground's own: the plan can't be played here, or was broken
// off. What the plan breaks stands in the result.
func (g *Ground) Run(ctx context.Context, p Plan) (*Result, error) {
	if err := p.check([]int{0, 0}); err != nil {
		return nil, err
	}
	if g.Say == nil {
		g.Say = func(string, ...any) {}
	}
	*g = Ground{Program: g.Program, Args: g.Args, Env: g.Env, Say: g.Say, plan: p}
	defer g.end()
	if err := g.start(); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	began := g.fleet.Now()
	l := newLoad(p, g.listens, g.fleet.Now)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		g.strikeAll(ctx, began)
	}()
	err := l.run(ctx, began, func(at time.Duration, sent int) { g.Say("%4.0f s  %d ops\n", at.Seconds(), sent) })
	both.Wait()
	if err != nil {
		return nil, err
	}
	return g.result(began, l), nil
}

// end ends all that start began.
func (g *Ground) end() {
	for _, p := range g.processes {
		p.Kill()
	}
	for _, l := range g.links {
		l.close()
	}
	if g.fleet != nil {
		g.fleet.Close()
	}
	if g.shell != nil {
		g.shell.close()
	}
	os.RemoveAll(g.dir)
}
