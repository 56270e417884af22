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

// faultEvent is the beginning or the end of a fault.
type faultEvent struct {
	at    time.Duration
	fault Fault
	end   bool
}

// events returns the beginnings and ends of all faults by time. At the same time ends come first, then the order of the plan
// decides, so that the same plan always injects its faults in the same order.
func (p Plan) events() (all []faultEvent) {
	for _, fault := range p.sortedFaults() {
		all = append(all, faultEvent{fault.At.d(), fault, false})
		if fault.Duration > 0 {
			all = append(all, faultEvent{(fault.At + fault.Duration).d(), fault, true})
		}
	}
	slices.SortStableFunc(all, func(x, y faultEvent) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(eventOrder(x.end), eventOrder(y.end)))
	})
	return all
}

// eventOrder sorts ends before beginnings.
func eventOrder(end bool) int {
	if end {
		return 0
	}
	return 1
}

// injectAll injects the plan's faults at their times. Faults of balancers and bans may take long and run concurrently, but
// those with the same targets run one after another. It returns when all have been injected, or soon after ctx ends.
func (c *Cluster) injectAll(ctx context.Context, loadStart time.Duration) {
	var pending sync.WaitGroup
	defer pending.Wait()
	queues := map[string]chan struct{}{} // by targets: closed when their last fault has been injected
	for _, event := range c.plan.events() {
		select {
		case <-time.After(loadStart + event.at - c.fleet.Elapsed()):
		case <-ctx.Done():
			return
		}
		text := event.fault.String()
		if event.end {
			text = fmt.Sprintf("%6.2fs end of %s", event.at.Seconds(), strings.TrimSpace(text))
		}
		c.mu.Lock()
		c.injected = append(c.injected, text)
		c.mu.Unlock()
		c.Logf("%s\n", text)
		k := faultKinds[event.fault.Kind]
		if k.site != atBalancers && event.fault.Kind != "ban" {
			c.recordError(c.inject(event.fault, event.end, loadStart))
			continue
		}
		queue := strings.Join(event.fault.Parts, ",")
		previous, done := queues[queue], make(chan struct{})
		queues[queue] = done
		pending.Add(1)
		go func() {
			defer pending.Done()
			defer close(done)
			if previous != nil {
				<-previous
			}
			c.recordError(c.inject(event.fault, event.end, loadStart))
		}()
	}
}

// recordError records a failure of the cluster itself, if err is not nil.
func (c *Cluster) recordError(err error) {
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.errs = append(c.errs, err)
	}
}

// inject begins a fault, or ends it.
func (c *Cluster) inject(fault Fault, end bool, loadStart time.Duration) error {
	of, to, err := fault.targets(c.plan.Fleet)
	if err != nil {
		return err
	}
	switch faultKinds[fault.Kind].site {
	case atBalancers:
		return forEach(of, func(name string) error { return c.injectProcessFault(fault, name, end) })
	case atHosts, atServers:
		return forEach(of, func(name string) error { return c.injectServerFault(fault, name, end) })
	case atDiscovery:
		if fault.Kind == "silent" {
			c.fleet.Discovery.SetSilent(!end)
			return nil
		}
		delay := time.Duration(0)
		if ms, err := fault.Magnitude.number(); !end && err == nil {
			delay = time.Duration(ms * float64(time.Millisecond))
		}
		c.fleet.Discovery.SetDelay(delay)
	case atLinks:
		return forEach(of, func(b string) error {
			return forEach(to, func(part string) error { c.injectLinkFault(fault, c.links[[2]string{b, part}], end); return nil })
		})
	}
	return nil
}

// forEach calls do with each name and joins the errors.
func forEach(names []string, do func(name string) error) error {
	var all []error
	for _, n := range names {
		all = append(all, do(n))
	}
	return errors.Join(all...)
}

// injectProcessFault begins or ends a fault of one balancer.
func (c *Cluster) injectProcessFault(fault Fault, name string, end bool) error {
	i := partIndex(name)
	p := c.processes[i]
	switch {
	case fault.Kind == "disk" && end:
		return p.sendFault("disk well")
	case fault.Kind == "disk":
		return p.sendFault("disk " + string(fault.Magnitude))
	case fault.Kind == "clock" && end:
		return p.sendFault("clock 0s")
	case fault.Kind == "clock":
		return p.sendFault("clock " + string(fault.Magnitude))
	case fault.Kind == "freeze" && end:
		return p.Thaw()
	case end:
		return c.launch(i, func() error { return c.rewriteConfig(i) })
	case fault.Kind == "kill":
		return p.Kill()
	case fault.Kind == "term":
		return p.Terminate()
	case fault.Kind == "wipe":
		return errors.Join(p.Kill(), p.ClearDir())
	case fault.Kind == "freeze":
		return p.Freeze()
	}
	program := c.Program // the fault is an upgrade
	if fault.Program != "" {
		program = fault.Program
	}
	return p.replace(func() error { return c.rewriteConfig(i) }, program, c.Args...)
}

// injectServerFault begins or ends a fault of one host or of the origin.
func (c *Cluster) injectServerFault(fault Fault, name string, end bool) error {
	var mode standin.FaultMode
	if by, _ := fault.Magnitude.number(); !end { // plans are validated before they run
		switch fault.Kind {
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
	h := c.fleet.Hosts()[partIndex(name)]
	discovery := c.fleet.Discovery
	switch fault.Kind {
	case "die":
		if !end {
			h.Kill()
			return discovery.SetPhase(name, standin.Terminated, 0)
		}
		return errors.Join(h.Start(), discovery.SetPhase(name, standin.InService, c.fleet.Elapsed()))
	case "void":
		h.Clear()
	case "drain":
		if end {
			return discovery.SetPhase(name, standin.InService, 0)
		}
		return discovery.SetPhase(name, standin.Terminating, 0)
	case "remove":
		if end {
			h.Kill()
			return errors.Join(h.Start(), discovery.SetPhase(name, standin.InService, c.fleet.Elapsed()))
		}
		return errors.Join(discovery.SetPhase(name, standin.Terminating, 0), discovery.SetPhase(name, standin.Terminated, 0))
	case "ban":
		return forEach(c.plan.Fleet.balancers(), func(b string) error { return c.setBan(b, name, end) })
	default:
		h.SetFaultMode(mode)
	}
	return nil
}

// setBan enters or exits maintenance of a host at one balancer. A balancer that can't be reached, or refuses, is logged and
// not recorded: it is not bound by a ban that it does not know.
func (c *Cluster) setBan(balancer, host string, end bool) error {
	i := partIndex(balancer)
	c.mu.Lock()
	admin := c.admins[i]
	c.mu.Unlock()
	path := "/maintenance/enter"
	if end {
		path = "/maintenance/exit"
		c.endBan(balancer, host)
	}
	status, text, err := callAdmin(admin, "POST", path, host)
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

// endBan marks the open ban of a host at a balancer as ended, if there is one.
func (c *Cluster) endBan(balancer, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.bans {
		if b := &c.bans[i]; b.Balancer == balancer && b.Host == host && b.To == 0 {
			b.To = c.fleet.Elapsed()
		}
	}
}

// injectLinkFault begins or ends a fault of one link.
func (c *Cluster) injectLinkFault(fault Fault, l *Link, end bool) {
	switch fault.Kind {
	case "cut":
		l.SetCut(!end)
		return
	case "single":
		l.SetSingle(!end)
		return
	}
	var f Impairment
	if by, _ := fault.Magnitude.number(); !end {
		switch fault.Kind {
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
	if fault.Direction != "back" {
		l.SetImpairment(Out, f)
	}
	if fault.Direction != "out" {
		l.SetImpairment(Back, f)
	}
}
