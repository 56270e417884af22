package trial

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"larchthread/internal/standin"
)

// moment is a fault's beginning or end.
type moment struct {
	at    time.Duration
	fault Fault
	end   bool
}

// moments are all beginnings and ends in their order: by time, of one time ends first, then as the plan has them. So two
// faults of one instant are injected in the same order each time.
func (p Plan) moments() (all []moment) {
	for _, x := range p.ordered() {
		all = append(all, moment{x.At.d(), x, false})
		if x.Duration > 0 {
			all = append(all, moment{(x.At + x.Duration).d(), x, true})
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

// injectAll injects the plan's faults. Each has its turn, and what takes its time goes on beside the next.
func (c *Cluster) injectAll(ctx context.Context, began time.Duration) {
	var slow sync.WaitGroup
	defer slow.Wait()
	lanes := map[string]chan struct{}{} // a fault of a process waits for the one before it
	for _, m := range c.plan.moments() {
		select {
		case <-time.After(began + m.at - c.fleet.Elapsed()):
		case <-ctx.Done():
			return
		}
		text := m.fault.String()
		if m.end {
			text = fmt.Sprintf("%6.2fs end of %s", m.at.Seconds(), strings.TrimSpace(text))
		}
		c.mu.Lock()
		c.injected = append(c.injected, text)
		c.mu.Unlock()
		c.Logf("%s\n", text)
		k := kinds[m.fault.Kind]
		if k.where != balancers && m.fault.Kind != "ban" {
			c.failed(c.inject(m.fault, m.end, began))
			continue
		}
		lane := strings.Join(m.fault.Parts, ",")
		before, done := lanes[lane], make(chan struct{})
		lanes[lane] = done
		slow.Add(1)
		go func() {
			defer slow.Done()
			defer close(done)
			if before != nil {
				<-before
			}
			c.failed(c.inject(m.fault, m.end, began))
		}()
	}
}

func (c *Cluster) failed(err error) {
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.broken = append(c.broken, err)
	}
}

// inject begins a fault, or ends it.
func (c *Cluster) inject(x Fault, end bool, began time.Duration) error {
	of, to, err := x.targets(c.plan.Fleet)
	if err != nil {
		return err
	}
	switch kinds[x.Kind].where {
	case balancers:
		return each(of, func(name string) error { return c.injectProcessFault(x, name, end) })
	case hosts, servers:
		return each(of, func(name string) error { return c.injectServerFault(x, name, end) })
	case lists:
		if x.Kind == "silent" {
			c.fleet.Discovery.SetSilent(!end)
			return nil
		}
		late := time.Duration(0)
		if ms, err := x.Magnitude.number(); !end && err == nil {
			late = time.Duration(ms * float64(time.Millisecond))
		}
		c.fleet.Discovery.SetDelay(late)
	case links:
		return each(of, func(b string) error {
			return each(to, func(part string) error { c.injectLinkFault(x, c.links[[2]string{b, part}], end); return nil })
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

func (c *Cluster) injectProcessFault(x Fault, name string, end bool) error {
	i := place(name)
	p := c.processes[i]
	switch {
	case x.Kind == "disk" && end:
		return p.spoil("disk well")
	case x.Kind == "disk":
		return p.spoil("disk " + string(x.Magnitude))
	case x.Kind == "clock" && end:
		return p.spoil("clock 0s")
	case x.Kind == "clock":
		return p.spoil("clock " + string(x.Magnitude))
	case x.Kind == "freeze" && end:
		return p.Thaw()
	case end:
		return c.launch(i, func() error { return c.rewrite(i) })
	case x.Kind == "kill":
		return p.Kill()
	case x.Kind == "term":
		return p.Terminate()
	case x.Kind == "wipe":
		return errors.Join(p.Kill(), p.ClearDir())
	case x.Kind == "freeze":
		return p.Freeze()
	}
	program := c.Program // upgrade
	if x.Program != "" {
		program = x.Program
	}
	return p.replace(func() error { return c.rewrite(i) }, program, c.Args...)
}

func (c *Cluster) injectServerFault(x Fault, name string, end bool) error {
	var mode standin.FaultMode
	if by, _ := x.Magnitude.number(); !end { // a plan's figures are checked before it is played
		switch x.Kind {
		case "hang":
			mode.Hang = true
		case "slow":
			mode.SlowFactor = by
		case "errors":
			mode.ErrorRate = by
		case "resets":
			mode.ResetRate = by
		case "table":
			mode.MaxConns = int(by)
		}
	}
	if name == standin.OriginID {
		c.fleet.Origin.SetFaultMode(mode)
		return nil
	}
	h := c.fleet.Hosts()[place(name)]
	lists := c.fleet.Discovery
	switch x.Kind {
	case "die":
		if !end {
			h.Kill()
			return lists.SetPhase(name, standin.Terminated, 0)
		}
		return errors.Join(h.Start(), lists.SetPhase(name, standin.InService, c.fleet.Elapsed()))
	case "void":
		h.Clear()
	case "drain":
		if end {
			return lists.SetPhase(name, standin.InService, 0)
		}
		return lists.SetPhase(name, standin.Terminating, 0)
	case "remove":
		if end {
			h.Kill()
			return errors.Join(h.Start(), lists.SetPhase(name, standin.InService, c.fleet.Elapsed()))
		}
		return errors.Join(lists.SetPhase(name, standin.Terminating, 0), lists.SetPhase(name, standin.Terminated, 0))
	case "ban":
		return each(c.plan.Fleet.balancers(), func(b string) error { return c.ban(b, name, end) })
	default:
		h.SetFaultMode(mode)
	}
	return nil
}

// ban takes a host out by hand at one balancer, or puts it back. A balancer that is not there can't be told: what it does
// not know does not bind it.
func (c *Cluster) ban(balancer, host string, end bool) error {
	i := place(balancer)
	c.mu.Lock()
	admin := c.admins[i]
	c.mu.Unlock()
	path := "/maintenance/enter"
	if end {
		path = "/maintenance/exit"
		c.unban(balancer, host)
	}
	status, text, err := call(admin, "POST", path, host)
	if err != nil || status != 200 {
		c.Logf("        %s %s at %s: %d %s %v\n", path, host, balancer, status, text, err)
		return nil
	}
	if !end {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.bans = append(c.bans, Ban{balancer, host, Span{From: c.fleet.Elapsed()}})
	}
	return nil
}

func (c *Cluster) unban(balancer, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.bans {
		if b := &c.bans[i]; b.Balancer == balancer && b.Host == host && b.To == 0 {
			b.To = c.fleet.Elapsed()
		}
	}
}

func (c *Cluster) injectLinkFault(x Fault, l *Link, end bool) {
	switch x.Kind {
	case "cut":
		l.SetCut(!end)
		return
	case "single":
		l.SetSingle(!end)
		return
	}
	var f Impairment
	if by, _ := x.Magnitude.number(); !end {
		switch x.Kind {
		case "hole":
			f.Blackhole = true
		case "delay":
			f.Delay = time.Duration(by * float64(time.Millisecond))
			f.Jitter = f.Delay / 2
		case "rate":
			f.Rate = by
		case "sever":
			f.ResetAfter = int(by)
		}
	}
	if x.Direction != "back" {
		l.SetImpairment(Out, f)
	}
	if x.Direction != "out" {
		l.SetImpairment(Back, f)
	}
}
