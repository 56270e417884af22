// Package trial runs a cluster of real processes of the program on one machine, injects faults into it, and checks from
// outside that its guarantees hold. A Plan defines the fleet, the load and the faults; Cluster.Run executes it.
//
//	plan.go, faults.go   plans: parsing, validation, random generation
//	cluster.go           execution of a plan
//	address.go           loopback addresses of a cluster
//	start.go             start of the fleet: stand-ins, links, start files, balancers
//	inject.go            fault injection
//	process.go           balancer processes, their directories and logs
//	link.go              proxied connections between balancers and other parts
//	load.go              open-loop load generator
//	check.go             rules, checked against what clients, hosts and discovery observed
//	result.go, report.go results and their presentation
//	shrink.go            search for a smaller plan that still fails
//
// Cache hosts, the origin and discovery are stand-ins (package standin). All addresses are loopback addresses.
package trial

import (
	"context"
	"os"
	"sync"
	"time"

	"larchthread/internal/standin"
)

const (
	targetLatency    = 200 * time.Millisecond // of every category
	ttl              = 600 * time.Millisecond
	dedupWindow      = 400 * time.Millisecond // in which repeats of a deduplicated op are dropped
	warmupTime       = 2 * time.Second        // until a restarted host is warm
	coldShare        = 0.3                    // share of its capacity that a cold host starts with
	overloadMultiple = 3.0                    // multiple of its current capacity that overloads a cold host
	overloadWindow   = time.Second            // after which an overloaded cold host crashes
	drainGrace       = time.Second            // for a balancer to stop pushing to a draining or banned host
	memoryMB         = 192
	sockets          = 2048
	settleTime       = 300 * time.Millisecond // between the start of the fleet and the first op
	adminTimeout     = 2 * time.Second        // of a request to a balancer's admin address or fault channel
)

// repeatModes maps each category of ops to the way in which its ops may be repeated.
var repeatModes = map[string]string{"read": "retryable", "put": "dedup", "once": "fragile"}

// Cluster runs plans on balancer processes, links and stand-ins. The exported fields configure it; Run resets all others.
type Cluster struct {
	Program string   // path of the program under test
	Args    []string // command line of a balancer
	Env     []string // additional environment variables of a balancer
	Logf    func(format string, a ...any)

	plan      Plan
	dir       string
	addresses addressSpace
	launcher  *launcher
	fleet     *standin.Fleet
	processes []*Process
	listens   []string
	links     map[[2]string]*Link

	mu       sync.Mutex
	admins   []string
	injected []string
	bans     []Ban
	errs     []error // failures of the cluster itself
}

// Ban is a host that an operator excluded at a balancer. It lasts from the balancer's confirmation to the request that lifts
// it.
type Ban struct {
	Balancer, Host string
	Span
}

// Run executes a plan and returns its result, which holds any rule violations and any faults that could not be injected.
// It returns an error if the plan is invalid, if the fleet can't be started, or if ctx ends before the load does.
func (c *Cluster) Run(ctx context.Context, p Plan) (*Result, error) {
	if err := p.validate([]int{0, 0}); err != nil {
		return nil, err
	}
	if c.Logf == nil {
		c.Logf = func(string, ...any) {}
	}
	*c = Cluster{Program: c.Program, Args: c.Args, Env: c.Env, Logf: c.Logf, plan: p}
	defer c.cleanup()
	if err := c.start(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	loadStart := c.fleet.Elapsed()
	l := newLoadGenerator(p, c.listens, c.fleet.Elapsed)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.injectAll(ctx, loadStart)
	}()
	err := l.run(ctx, loadStart, func(at time.Duration, sent int) { c.Logf("%4.0f s  %d ops\n", at.Seconds(), sent) })
	wg.Wait()
	if err != nil {
		return nil, err
	}
	return c.buildResult(loadStart, l), nil
}

// cleanup stops all processes, links and stand-ins and removes the cluster's directory.
func (c *Cluster) cleanup() {
	for _, p := range c.processes {
		p.Kill()
	}
	for _, l := range c.links {
		l.close()
	}
	if c.fleet != nil {
		c.fleet.Close()
	}
	if c.launcher != nil {
		c.launcher.close()
	}
	os.RemoveAll(c.dir)
}
