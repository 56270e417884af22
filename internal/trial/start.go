package trial

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"larchthread/internal/standin"
)

// start starts the whole fleet.
func (c *Cluster) start() error {
	f := c.plan.Fleet
	dir, err := os.MkdirTemp("", "larchthread-trial-")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	c.dir, c.shell, c.links = dir, newShell(), map[[2]string]*Link{}
	c.at = ownAddresses()
	origin := standin.Capacity{ServiceTime: f.OriginWorkTime.d(), Slots: f.Hosts, QueueLimit: 20 * f.Hosts}
	if c.fleet, err = standin.NewFleet(c.plan.Seed, origin); err != nil {
		return err
	}
	work := standin.Capacity{ServiceTime: f.WorkTime.d(), Slots: f.Slots, QueueLimit: 8 * f.Slots}
	warming := standin.Warming{InitialShare: coldShare, Duration: coldFor, OverloadMultiple: tipTimes, OverloadWindow: tipFor}
	for i, id := range f.hosts() {
		if _, err := c.fleet.AddHost(id, f.zone(i+1), c.at.hosts(), c.plan.Seed+uint64(i), work, warming); err != nil {
			return err
		}
	}
	for i, name := range f.balancers() {
		if err := c.balancer(i, name); err != nil {
			return err
		}
	}
	return nil
}

// balancer starts a balancer, with its links and its view of discovery.
func (c *Cluster) balancer(i int, name string) error {
	source := net.ParseIP(c.at.source(i))
	link := func(part string, target func() string) (*Link, error) {
		l, err := newLink(name, part, c.at.links(i), source, c.plan.Seed+uint64(len(c.links)), target)
		if err == nil {
			c.links[[2]string{name, part}] = l
		}
		return l, err
	}
	for _, h := range c.fleet.Hosts() {
		if _, err := link(h.ID, h.Address); err != nil {
			return err
		}
	}
	if _, err := link(standin.OriginID, c.fleet.Origin.Address); err != nil {
		return err
	}
	address := func(m standin.Member) string { return c.links[[2]string{name, m.ID}].Address() }
	view, err := c.fleet.Discovery.ServeView(name, address)
	if err != nil {
		return err
	}
	lists, err := link(discovery, func() string { return view })
	if err != nil {
		return err
	}
	listen, err := c.free(i)
	if err != nil {
		return err
	}
	p := &Process{Name: name, Dir: filepath.Join(c.dir, name), now: c.fleet.Elapsed, shell: c.shell, env: c.Env,
		probe: func() bool { return c.serves(i) }}
	p.config = filepath.Join(p.Dir, "start.json")
	c.processes, c.listens, c.admins = append(c.processes, p), append(c.listens, listen), append(c.admins, "")
	if err := os.Mkdir(p.Dir, 0o700); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	known, err := c.fleet.Discovery.FullList(address)
	if err != nil {
		return err
	}
	return c.launch(i, func() error { return c.write(i, lists.Address(), known) })
}

// launch starts a balancer's process, once its start file is written anew.
func (c *Cluster) launch(i int, write func() error) error {
	if err := write(); err != nil {
		return err
	}
	return c.processes[i].Start(c.Program, c.Args...)
}

// free is an address that nobody has, in a balancer's own part of loopback.
func (c *Cluster) free(i int) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(c.at.listen(i), "0"))
	if err != nil {
		return "", fmt.Errorf("no port free: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// write writes a balancer's start file, with an operators' address of its own.
func (c *Cluster) write(i int, lists string, known json.RawMessage) error {
	admin := c.listens[i]
	for admin == c.listens[i] { // nobody listens there yet at a start
		var err error
		if admin, err = c.free(i); err != nil {
			return err
		}
	}
	f := c.plan.Fleet
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
	text, err := json.Marshal(map[string]any{"name": c.processes[i].Name, "listen": c.listens[i], "admin": admin, "discovery": lists,
		"seed": fmt.Sprintf("%x", c.plan.Seed+uint64(i)), "known": known,
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
	c.mu.Lock()
	c.admins[i] = admin
	c.mu.Unlock()
	return os.WriteFile(c.processes[i].config, text, 0o600)
}

func zones(f Fleet) (all []string) {
	for i := range min(f.Zones, max(f.Hosts, f.Balancers)) {
		all = append(all, f.zone(i+1))
	}
	return all
}

// rewrite writes a start file anew for a balancer that is restarted: the list as it is now, and a new operators' address.
func (c *Cluster) rewrite(i int) error {
	name := c.processes[i].Name
	known, err := c.fleet.Discovery.FullList(func(m standin.Member) string { return c.links[[2]string{name, m.ID}].Address() })
	if err != nil {
		return err
	}
	return c.write(i, c.links[[2]string{name, discovery}].Address(), known)
}

// serves tells whether a balancer says that it serves.
func (c *Cluster) serves(i int) bool {
	c.mu.Lock()
	admin := c.admins[i]
	c.mu.Unlock()
	status, _, err := call(admin, "GET", "/status", "")
	return err == nil && status == 200
}
