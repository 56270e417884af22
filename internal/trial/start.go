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
	c.dir, c.launcher, c.links = dir, newLauncher(), map[[2]string]*Link{}
	c.addresses = processAddresses()
	origin := standin.Capacity{ServiceTime: f.OriginWorkTime.d(), Slots: f.Hosts, QueueLimit: 20 * f.Hosts}
	if c.fleet, err = standin.NewFleet(c.plan.Seed, origin); err != nil {
		return err
	}
	work := standin.Capacity{ServiceTime: f.WorkTime.d(), Slots: f.Slots, QueueLimit: 8 * f.Slots}
	warming := standin.Warming{InitialShare: coldShare, Duration: warmupTime,
		OverloadMultiple: overloadMultiple, OverloadWindow: overloadWindow}
	for i, id := range f.hosts() {
		if _, err := c.fleet.AddHost(id, f.zone(i+1), c.addresses.hostsIP(), c.plan.Seed+uint64(i), work, warming); err != nil {
			return err
		}
	}
	for i, name := range f.balancers() {
		if err := c.startBalancer(i, name); err != nil {
			return err
		}
	}
	return nil
}

// startBalancer opens a balancer's links, serves its view of discovery and starts its process.
func (c *Cluster) startBalancer(i int, name string) error {
	source := net.ParseIP(c.addresses.sourceIP(i))
	link := func(part string, target func() string) (*Link, error) {
		l, err := newLink(name, part, c.addresses.linksIP(i), source, c.plan.Seed+uint64(len(c.links)), target)
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
	discovery, err := link(discoveryID, func() string { return view })
	if err != nil {
		return err
	}
	listen, err := c.freeAddress(i)
	if err != nil {
		return err
	}
	p := &Process{Name: name, Dir: filepath.Join(c.dir, name), now: c.fleet.Elapsed, launcher: c.launcher, env: c.Env,
		isServing: func() bool { return c.isServing(i) }}
	p.config = filepath.Join(p.Dir, "start.json")
	c.processes, c.listens, c.admins = append(c.processes, p), append(c.listens, listen), append(c.admins, "")
	if err := os.Mkdir(p.Dir, 0o700); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	known, err := c.fleet.Discovery.FullList(address)
	if err != nil {
		return err
	}
	return c.launch(i, func() error { return c.writeConfig(i, discovery.Address(), known) })
}

// launch writes the start file of a balancer and starts its process.
func (c *Cluster) launch(i int, writeConfig func() error) error {
	if err := writeConfig(); err != nil {
		return err
	}
	return c.processes[i].Start(c.Program, c.Args...)
}

// freeAddress returns an address with a free port on a balancer's listen IP.
func (c *Cluster) freeAddress(i int) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(c.addresses.listenIP(i), "0"))
	if err != nil {
		return "", fmt.Errorf("no free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// writeConfig writes a balancer's start file, with a new admin address.
func (c *Cluster) writeConfig(i int, discovery string, known json.RawMessage) error {
	admin := c.listens[i]
	for admin == c.listens[i] { // at the first start the listen port is still free
		var err error
		if admin, err = c.freeAddress(i); err != nil {
			return err
		}
	}
	f := c.plan.Fleet
	microseconds := func(d time.Duration) int64 { return d.Microseconds() }
	var rows []map[string]any
	for _, name := range []string{"read", "put", "once"} {
		row := map[string]any{"name": name, "benefit": 1, "targetLatencyUs": microseconds(targetLatency), "ttlUs": microseconds(ttl),
			"repeat": repeatModes[name], "tardyBenefit": 0.5}
		if repeatModes[name] == "dedup" {
			row["dedupWindowUs"] = microseconds(dedupWindow)
		}
		rows = append(rows, row)
	}
	text, err := json.Marshal(map[string]any{"name": c.processes[i].Name, "listen": c.listens[i],
		"admin": admin, "discovery": discovery, "seed": fmt.Sprintf("%x", c.plan.Seed+uint64(i)), "known": known,
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"settings": map[string]any{"categories": rows, "groupSize": f.Balancers, "quantumUs": 1000, "discovery": "on_request",
			"benefitBy": "request", "models": []string{standin.KindHost, standin.KindOrigin}, "zone": f.zone(i + 1),
			"zones": zoneNames(f), "specifics": map[string]any{"mode": "aside", "originKind": 1},
			"guarantees": map[string]any{"coldShare": coldShare, "coldUs": microseconds(warmupTime),
				"tipMultiple": overloadMultiple, "fallUs": microseconds(overloadWindow)},
			"limits": map[string]any{"mostPushes": 3, "cancelling": true, "connIdleUs": microseconds(time.Minute),
				"connectTimeoutUs": 50000, "retryAfter": true, "maxRetryAfterUs": 400000}}})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.admins[i] = admin
	c.mu.Unlock()
	return os.WriteFile(c.processes[i].config, text, 0o600)
}

// zoneNames returns the names of all zones that have a part.
func zoneNames(f Fleet) (all []string) {
	for i := range min(f.Zones, max(f.Hosts, f.Balancers)) {
		all = append(all, f.zone(i+1))
	}
	return all
}

// rewriteConfig writes the start file of a restarted balancer, with the current member list and a new admin address.
func (c *Cluster) rewriteConfig(i int) error {
	name := c.processes[i].Name
	known, err := c.fleet.Discovery.FullList(func(m standin.Member) string { return c.links[[2]string{name, m.ID}].Address() })
	if err != nil {
		return err
	}
	return c.writeConfig(i, c.links[[2]string{name, discoveryID}].Address(), known)
}

// isServing reports whether a balancer answers that it serves.
func (c *Cluster) isServing(i int) bool {
	c.mu.Lock()
	admin := c.admins[i]
	c.mu.Unlock()
	status, _, err := callAdmin(admin, "GET", "/status", "")
	return err == nil && status == 200
}
