// Package trial starts a cluster of several processes of the program and injects faults into it. A plan says what
// is started, what clients send, and what goes wrong when; Run plays it:
//
//	plan.go, faults.go   what a plan may hold, read, checked, drawn, printed
//	cluster.go           plays a plan from its start to its result
//	address.go           the part of loopback that a cluster has to itself
//	start.go             starts the fleet: stand-ins, links, start files, balancers
//	inject.go            injects the plan's faults, each at its time
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

// Cluster is the processes, links and stand-ins of a trial, on which Run plays a plan.
type Cluster struct {
	Program string   // path of the program under trial
	Args    []string // of a balancer
	Env     []string // further environment of a balancer
	Logf    func(form string, a ...any)

	plan      Plan
	dir       string
	at        addresses
	shell     *shell
	fleet     *standin.Fleet
	processes []*Process
	listens   []string
	links     map[[2]string]*Link

	mu       sync.Mutex
	admins   []string
	injected []string
	bans     []Ban
	broken   []error // what the cluster itself could not do
}

// Ban is a host taken out by hand at a balancer. It binds from that balancer's yes to the call that ends it.
type Ban struct {
	Balancer, Host string
	Span
}

// Run plays a plan, and returns what came of it. An error is the cluster's own: the plan can't be played here, or was broken
// off. What the plan breaks stands in the result.
func (c *Cluster) Run(ctx context.Context, p Plan) (*Result, error) {
	if err := p.check([]int{0, 0}); err != nil {
		return nil, err
	}
	if c.Logf == nil {
		c.Logf = func(string, ...any) {}
	}
	*c = Cluster{Program: c.Program, Args: c.Args, Env: c.Env, Logf: c.Logf, plan: p}
	defer c.end()
	if err := c.start(); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	began := c.fleet.Elapsed()
	l := newLoad(p, c.listens, c.fleet.Elapsed)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		c.injectAll(ctx, began)
	}()
	err := l.run(ctx, began, func(at time.Duration, sent int) { c.Logf("%4.0f s  %d ops\n", at.Seconds(), sent) })
	both.Wait()
	if err != nil {
		return nil, err
	}
	return c.result(began, l), nil
}

// end ends all that start began.
func (c *Cluster) end() {
	for _, p := range c.processes {
		p.Kill()
	}
	for _, l := range c.links {
		l.close()
	}
	if c.fleet != nil {
		c.fleet.Close()
	}
	if c.shell != nil {
		c.shell.close()
	}
	os.RemoveAll(c.dir)
}
