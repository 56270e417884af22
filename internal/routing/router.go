// Package routing carries ops between clients and cache hosts over connections. It makes no decision: each
// thing that happens on a connection becomes a call on the balancer, and the balancer's calls on its port
// become bytes on connections.
package routing

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"larchthread/balance"
	"larchthread/internal/params"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

const (
	secondFor   = 20.0     // ms behind an answer in which another to the same push may come: some ms
	idleShare   = 0.9      // part of the time that hosts keep idle connections for which they are used: a push takes a while to arrive
	connectFor  = 250.0    // ms in which a connection has to come up where the start does not say: some round trips, one lost packet
	memoryShare = 0.4      // part of the memory that buffers may take; the rest is the heap's and its collector's
	lineMost    = 256      // commands of one connection without an answer at which reading stops: well over what a client needs
	shortMost   = 1 << 10  // bytes of an answer that waits for its turn without a buffer of its own
	replyMost   = 1 << 20  // bytes of answers not taken at which reading stops: a dozen of the largest
	flowMost    = 64 << 10 // bytes of a long value that wait for the client: what a short one may have
	bulkShare   = 0.5      // part of the buffers that long values of writes may take together
	restFor     = 2600.0   // ms for the rest of a command, or the first op of a connection: a slow client takes 2 s for a head
	restShare   = 6        // one in so many sockets may be a client's with nothing open: clients hold a third in all
	heardFor    = 10.0     // ms for what has come to be heard, before an end for silence is looked at again: some rounds
	idleFor     = 2100.0   // ms that a client's connection with nothing open is kept: it may be closed after 2 s
	pastMost    = 4096     // ids of hosts no longer known that operators may still name: some days of replacements, in little memory
	goneFor     = 20000.0  // ms that a host is known after it has gone: a list that forgets one by mistake has it back by then
	stuckFor    = 5000.0   // ms without progress after which a half command or answer counts as abandoned: over any TTL

	watchFirst = 1      // ms that the first call of a watch waits: its answer tells that the watch stands
	watchWait  = 2000   // ms that each further call waits: going on costs discovery little, and a dead one shows
	watchSlack = 1000.0 // ms beyond that until the call counts as lost: answers that are due come at once
	wholePause = 4000.0 // ms between two calls for the whole list: what it would tell counts as told after 6 s

	shutdownLinger = 450.0 // ms for which connections stay open after the word to stop: new ones still come
	shutdownSweep  = 10.0  // ms between two looks for connections to close: a small part of what is left
	shutdownGrace  = 100.0 // ms that a new connection is left open for its first command to come: many round trips
	shutdownTake   = 600.0 // ms from which ops are nacked: the end may be forced 700 ms behind the longest TTL
	shutdownLast   = 250.0 // ms after the last client until the end, for the sockets to be closed in good order
)

// Router is the front of one balancer, and its port. It joins parts that have one job each.
type Router struct {
	loop          *transport.Loop
	log           *slog.Logger
	balancer      *balance.Balancer
	configuration configuration
	clients       clientSide
	hosts         hostPool
	memory        memoryBudget
	counters      counters
	watch         watch
	inventory     inventoryState
	handOver      handOver
	shutdown      shutdown
	wake          transport.Timer // the balancer's
	calledOff     []*push         // of which the balancer has still to hear
}

// New makes the front of a balancer that has been told so much, and starts the balancer. It does not listen yet. A
// list by hand comes by TakeInventory, and discovery is not asked.
func New(loop *transport.Loop, log *slog.Logger, startFile *params.StartFile, byHand bool) (*Router, error) {
	r := &Router{
		loop:          loop,
		log:           log,
		configuration: configuration{params: startFile.Params},
		inventory:     inventoryState{inUse: byHand},
		memory:        newMemoryBudget(loop.Pool, int(startFile.MemoryMB*memoryShare*(1<<20))),
		clients:       newClientSide(startFile.Sockets / restShare),
		hosts:         newHostPool(startFile.Params.Limits.Connect / 1000),
	}
	r.watch = watch{router: r, address: startFile.Discovery}
	r.watch.limit.Fire = r.watch.overdue
	r.wake.Fire = func() { r.balancer.TimerFired() }
	r.shutdown.timer.Fire = r.sweep
	var known protocol.HostList
	if len(startFile.KnownHosts) > 0 && string(startFile.KnownHosts) != "null" {
		if err := json.Unmarshal(startFile.KnownHosts, &known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	var begin balance.Config
	begin, r.configuration.categories, _ = startFile.Params.ForBalancer(startFile.Seed)
	begin.ListOnRequest = !byHand // also where lists are pushed: only to those who watch
	r.counters = newCounters()
	for _, c := range startFile.Params.Categories {
		r.counters.add(c.Name, r.configuration.categories[c.Name])
	}
	r.hosts.idleTimeout = begin.ConnIdleTimeout
	r.watch.revision = known.Revision
	r.balancer = balance.New(begin, r, loop.Now())
	if len(known.Members) > 0 {
		r.list(&known, true, true)
	}
	loop.OnRoundStart = r.round
	return r, nil
}

// round begins a round of input: the time, and the outcomes of the pushes called off in the last.
func (r *Router) round(now float64) {
	r.shutdown.heed(r)
	r.balancer.Advance(now)
	r.balancer.ReportInputWait(r.loop.InputDelay())
	r.reload()
	r.takeInventory()
	if r.shutdown.closing && r.handOver.successor != nil {
		r.passOn()
	}
	over := r.calledOff
	r.calledOff = nil
	for _, p := range over {
		r.ended(p, p.outcome)
	}
	r.spare()
}

// list hands a list on to the balancer.
func (r *Router) list(l *protocol.HostList, whole, saved bool) {
	for _, err := range l.MemberErrors {
		r.log.Warn("line of the list left out", "error", err)
	}
	entries := make([]balance.HostEntry, 0, len(l.Members))
	for _, m := range l.Members {
		h := r.hosts.byID[m.ID]
		if h == nil {
			h = r.hosts.add(m.ID, r.configuration.params.IsOrigin(m.Flavor))
		}
		listing := balance.Listing{Zone: slices.Index(r.configuration.params.Zones, m.Locality), Cell: m.Cell, Size: m.Size,
			UpSince: m.UpSince, Status: phases[m.Phase]}
		if !(listing.Size > 0) { // a list without sizes
			listing.Size = 1
		}
		h.listed = m
		if m.Address.IsValid() && m.Address != h.address {
			h.address = m.Address
			h.hangUp(transport.HostGone)
		}
		if listing.Status != balance.Ready {
			h.leave()
		}
		if listing.UpSince > h.UpSince { // connections to the process before are dead, whether they tell or not
			h.hangUp(transport.HostSilent)
		}
		entries = append(entries, balance.HostEntry{Host: &h.Host, Listing: listing})
	}
	r.balancer.HostsListed(entries, whole, saved)
	r.hosts.forget(r.loop.Now())
}

// HasListedHosts tells whether any cache host is listed.
func (r *Router) HasListedHosts() bool {
	known, _ := r.balancer.HostCounts()
	return known > 0
}

// CheckReady tells why no op can be served now, if so.
func (r *Router) CheckReady() error {
	if r.clients.listener == nil {
		return ErrNotListening
	}
	if !r.HasListedHosts() {
		return errors.New("no cache host is listed")
	}
	return nil
}

var phases = map[protocol.Phase]balance.Status{protocol.InService: balance.Ready,
	protocol.Terminating: balance.Draining, protocol.Terminated: balance.Gone}
