// Package trial is a ground on which several processes of the program are tried, with faults between them. A plan says what
// is started, what clients send, and what goes wrong when; Run plays it:
//
//	plan.go, faults.go   what a plan may hold, read, checked, drawn, printed
//	ground.go            starts the fleet and strikes it by the plan
//	address.go           the part of loopback that a ground has to itself
//	process.go           a real process, its folder as its disk, its log as it comes
//	link.go              the way from one balancer to one part, which can fail by itself
//	load.go              clients that send at a rate whatever comes back
//	check.go             rules, from what clients, hosts and discovery saw; never from the program's own word
//	shrink.go, report.go the least plan that still fails, and what people read
//
// Cache hosts, origin and discovery are stand-ins (package standin). All addresses are loopback's.
package trial

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
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

// start starts the whole fleet.
func (g *Ground) start() error {
	f := g.plan.Fleet
	dir, err := os.MkdirTemp("", "larchthread-trial-")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	g.dir, g.shell, g.links = dir, newShell(), map[[2]string]*Link{}
	g.at = ownAddresses()
	origin := standin.Work{Takes: f.Origin.d(), Slots: f.Hosts, Queue: 20 * f.Hosts}
	if g.fleet, err = standin.NewFleet(g.plan.Seed, origin); err != nil {
		return err
	}
	work := standin.Work{Takes: f.Work.d(), Slots: f.Slots, Queue: 8 * f.Slots}
	warming := standin.Warming{Share: coldShare, For: coldFor, Multiple: tipTimes, Within: tipFor}
	for i, id := range f.hosts() {
		if _, err := g.fleet.AddHost(id, f.zone(i+1), g.at.hosts(), g.plan.Seed+uint64(i), work, warming); err != nil {
			return err
		}
	}
	for i, name := range f.balancers() {
		if err := g.balancer(i, name); err != nil {
			return err
		}
	}
	return nil
}

// balancer starts a balancer, with its links and its view of discovery.
func (g *Ground) balancer(i int, name string) error {
	source := net.ParseIP(g.at.source(i))
	link := func(part string, target func() string) (*Link, error) {
		l, err := newLink(name, part, g.at.links(i), source, g.plan.Seed+uint64(len(g.links)), target)
		if err == nil {
			g.links[[2]string{name, part}] = l
		}
		return l, err
	}
	for _, h := range g.fleet.Hosts() {
		if _, err := link(h.ID, h.Address); err != nil {
			return err
		}
	}
	if _, err := link(standin.OriginID, g.fleet.Origin.Address); err != nil {
		return err
	}
	address := func(m standin.Member) string { return g.links[[2]string{name, m.ID}].Address() }
	view, err := g.fleet.Discovery.View(name, address)
	if err != nil {
		return err
	}
	lists, err := link(discovery, func() string { return view })
	if err != nil {
		return err
	}
	listen, err := g.free(i)
	if err != nil {
		return err
	}
	p := &Process{Name: name, Dir: filepath.Join(g.dir, name), now: g.fleet.Now, shell: g.shell, env: g.Env,
		probe: func() bool { return g.serves(i) }}
	p.config = filepath.Join(p.Dir, "start.json")
	g.processes, g.listens, g.admins = append(g.processes, p), append(g.listens, listen), append(g.admins, "")
	if err := os.Mkdir(p.Dir, 0o700); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	known, err := g.fleet.Discovery.Whole(address)
	if err != nil {
		return err
	}
	return g.launch(i, func() error { return g.write(i, lists.Address(), known) })
}

// launch starts a balancer's process, once its start file is written anew.
func (g *Ground) launch(i int, write func() error) error {
	if err := write(); err != nil {
		return err
	}
	return g.processes[i].Start(g.Program, g.Args...)
}

// free is an address that nobody has, in a balancer's own part of loopback.
func (g *Ground) free(i int) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(g.at.listen(i), "0"))
	if err != nil {
		return "", fmt.Errorf("no port free: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// write writes a balancer's start file, with an operators' address of its own.
func (g *Ground) write(i int, lists string, known json.RawMessage) error {
	admin := g.listens[i]
	for admin == g.listens[i] { // nobody listens there yet at a start
		var err error
		if admin, err = g.free(i); err != nil {
			return err
		}
	}
	f := g.plan.Fleet
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var rows []map[string]any
	for _, name := range []string{"read", "put", "once"} {
		row := map[string]any{"name": name, "benefit": 1, "targetLatencyUs": us(target), "ttlUs": us(ttl), "repeat": categories[name],
			"tardyBenefit": 0.5}
		if categories[name] == "dedup" {
			row["dedupWindowUs"] = us(dropsFor)
		}
		rows = append(rows, row)
	}
	text, err := json.Marshal(map[string]any{"name": g.processes[i].Name, "listen": g.listens[i], "admin": admin, "discovery": lists,
		"seed": fmt.Sprintf("%x", g.plan.Seed+uint64(i)), "known": known,
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"settings": map[string]any{"categories": rows, "groupSize": f.Balancers, "quantumUs": 1000, "discovery": "on_request",
			"benefitBy": "request", "models": []string{standin.KindHost, standin.KindOrigin}, "zone": f.zone(i + 1),
			"zones": zones(f), "specifics": map[string]any{"mode": "aside", "originKind": 1},
			"guarantees": map[string]any{"coldShare": coldShare, "coldUs": us(coldFor), "tipMultiple": tipTimes, "fallUs": us(tipFor)},
			"limits": map[string]any{"mostPushes": 3, "cancelling": true, "connIdleUs": us(time.Minute), "connectTimeoutUs": 50000,
				"retryAfter": true, "maxRetryAfterUs": 400000}}})
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.admins[i] = admin
	g.mu.Unlock()
	return os.WriteFile(g.processes[i].config, text, 0o600)
}

func zones(f Fleet) (all []string) {
	for i := range min(f.Zones, max(f.Hosts, f.Balancers)) {
		all = append(all, f.zone(i+1))
	}
	return all
}

// rewrite writes a start file anew for a balancer that is restarted: the list as it is now, and a new operators' address.
func (g *Ground) rewrite(i int) error {
	name := g.processes[i].Name
	known, err := g.fleet.Discovery.Whole(func(m standin.Member) string { return g.links[[2]string{name, m.ID}].Address() })
	if err != nil {
		return err
	}
	return g.write(i, g.links[[2]string{name, discovery}].Address(), known)
}

// serves tells whether a balancer says that it serves.
func (g *Ground) serves(i int) bool {
	g.mu.Lock()
	admin := g.admins[i]
	g.mu.Unlock()
	status, _, err := call(admin, "GET", "/status", "")
	return err == nil && status == 200
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

// moment is a fault's beginning or end.
type moment struct {
	at    time.Duration
	fault Fault
	end   bool
}

// moments are all beginnings and ends in their order: by time, of one time ends first, then as the plan has them. So two
// faults of one instant strike in the same order each time.
func (p Plan) moments() (all []moment) {
	for _, x := range p.ordered() {
		all = append(all, moment{x.At.d(), x, false})
		if x.For > 0 {
			all = append(all, moment{(x.At + x.For).d(), x, true})
		}
	}
	slices.SortStableFunc(all, func(x, y moment) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(order(x.end), order(y.end)))
	})
	return all
}

// order has ends come before beginnings.
func order(end bool) int {
	if end {
		return 0
	}
	return 1
}

// strikeAll strikes by the plan. Each fault is struck in its turn, and what takes its time goes on beside the next.
func (g *Ground) strikeAll(ctx context.Context, began time.Duration) {
	var slow sync.WaitGroup
	defer slow.Wait()
	lanes := map[string]chan struct{}{} // what strikes one process waits for what struck it before
	for _, m := range g.plan.moments() {
		select {
		case <-time.After(began + m.at - g.fleet.Now()):
		case <-ctx.Done():
			return
		}
		text := m.fault.String()
		if m.end {
			text = fmt.Sprintf("%6.2fs end of %s", m.at.Seconds(), strings.TrimSpace(text))
		}
		g.mu.Lock()
		g.struck = append(g.struck, text)
		g.mu.Unlock()
		g.Say("%s\n", text)
		k := kinds[m.fault.What]
		if k.where != balancers && m.fault.What != "ban" {
			g.failed(g.strike(m.fault, m.end, began))
			continue
		}
		lane := strings.Join(m.fault.Of, ",")
		before, done := lanes[lane], make(chan struct{})
		lanes[lane] = done
		slow.Add(1)
		go func() {
			defer slow.Done()
			defer close(done)
			if before != nil {
				<-before
			}
			g.failed(g.strike(m.fault, m.end, began))
		}()
	}
}

func (g *Ground) failed(err error) {
	if err != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.broken = append(g.broken, err)
	}
}

// strike begins a fault, or ends it.
func (g *Ground) strike(x Fault, end bool, began time.Duration) error {
	of, to, err := x.targets(g.plan.Fleet)
	if err != nil {
		return err
	}
	switch kinds[x.What].where {
	case balancers:
		return each(of, func(name string) error { return g.strikeProcess(x, name, end) })
	case hosts, servers:
		return each(of, func(name string) error { return g.strikeServer(x, name, end) })
	case lists:
		if x.What == "silent" {
			g.fleet.Discovery.Silent(!end)
			return nil
		}
		late := time.Duration(0)
		if ms, err := x.By.number(); !end && err == nil {
			late = time.Duration(ms * float64(time.Millisecond))
		}
		g.fleet.Discovery.Late(late)
	case links:
		return each(of, func(b string) error {
			return each(to, func(part string) error { g.strikeLink(x, g.links[[2]string{b, part}], end); return nil })
		})
	}
	return nil
}

// each does something for all names, and joins what went wrong.
func each(names []string, do func(name string) error) error {
	var all []error
	for _, n := range names {
		all = append(all, do(n))
	}
	return errors.Join(all...)
}

func (g *Ground) strikeProcess(x Fault, name string, end bool) error {
	i := place(name)
	p := g.processes[i]
	switch {
	case x.What == "disk" && end:
		return p.spoil("disk well")
	case x.What == "disk":
		return p.spoil("disk " + string(x.By))
	case x.What == "clock" && end:
		return p.spoil("clock 0s")
	case x.What == "clock":
		return p.spoil("clock " + string(x.By))
	case x.What == "freeze" && end:
		return p.Thaw()
	case end:
		return g.launch(i, func() error { return g.rewrite(i) })
	case x.What == "kill":
		return p.Kill()
	case x.What == "term":
		return p.Term()
	case x.What == "wipe":
		return errors.Join(p.Kill(), p.Empty())
	case x.What == "freeze":
		return p.Freeze()
	}
	program := g.Program // upgrade
	if x.With != "" {
		program = x.With
	}
	return p.replace(func() error { return g.rewrite(i) }, program, g.Args...)
}

func (g *Ground) strikeServer(x Fault, name string, end bool) error {
	var mode standin.Mode
	if by, _ := x.By.number(); !end { // a plan's figures are checked before it is played
		switch x.What {
		case "hang":
			mode.Hang = true
		case "slow":
			mode.Slow = by
		case "errors":
			mode.Errors = by
		case "resets":
			mode.Resets = by
		case "table":
			mode.Table = int(by)
		}
	}
	if name == standin.OriginID {
		g.fleet.Origin.Set(mode)
		return nil
	}
	h := g.fleet.Hosts()[place(name)]
	lists := g.fleet.Discovery
	switch x.What {
	case "die":
		if !end {
			h.Die()
			return lists.Phase(name, standin.Terminated, 0)
		}
		return errors.Join(h.Start(), lists.Phase(name, standin.InService, g.fleet.Now()))
	case "void":
		h.Void()
	case "drain":
		if end {
			return lists.Phase(name, standin.InService, 0)
		}
		return lists.Phase(name, standin.Terminating, 0)
	case "remove":
		if end {
			h.Die()
			return errors.Join(h.Start(), lists.Phase(name, standin.InService, g.fleet.Now()))
		}
		return errors.Join(lists.Phase(name, standin.Terminating, 0), lists.Phase(name, standin.Terminated, 0))
	case "ban":
		return each(g.plan.Fleet.balancers(), func(b string) error { return g.ban(b, name, end) })
	default:
		h.Set(mode)
	}
	return nil
}

// ban takes a host out by hand at one balancer, or puts it back. A balancer that is not there can't be told: what it does
// not know does not bind it.
func (g *Ground) ban(balancer, host string, end bool) error {
	i := place(balancer)
	g.mu.Lock()
	admin := g.admins[i]
	g.mu.Unlock()
	path := "/maintenance/enter"
	if end {
		path = "/maintenance/exit"
		g.unban(balancer, host)
	}
	status, text, err := call(admin, "POST", path, host)
	if err != nil || status != 200 {
		g.Say("        %s %s at %s: %d %s %v\n", path, host, balancer, status, text, err)
		return nil
	}
	if !end {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.bans = append(g.bans, Ban{balancer, host, Span{From: g.fleet.Now()}})
	}
	return nil
}

func (g *Ground) unban(balancer, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.bans {
		if b := &g.bans[i]; b.Balancer == balancer && b.Host == host && b.To == 0 {
			b.To = g.fleet.Now()
		}
	}
}

func (g *Ground) strikeLink(x Fault, l *Link, end bool) {
	switch x.What {
	case "cut":
		l.Cut(!end)
		return
	case "single":
		l.Single(!end)
		return
	}
	var f Flaw
	if by, _ := x.By.number(); !end {
		switch x.What {
		case "hole":
			f.Hole = true
		case "delay":
			f.Delay = time.Duration(by * float64(time.Millisecond))
			f.Jitter = f.Delay / 2
		case "rate":
			f.Rate = by
		case "sever":
			f.Sever = int(by)
		}
	}
	if x.Way != "back" {
		l.Set(Out, f)
	}
	if x.Way != "out" {
		l.Set(Back, f)
	}
}
