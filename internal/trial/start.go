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
