// Package routing carries ops between clients and cache hosts. It makes no routing decisions: events on
// connections become calls on the balancer, and the balancer's calls on its Frontend become bytes on connections.
//
// Everything here runs on the event loop's goroutine, except where a method says otherwise. Times and durations
// are float64 milliseconds; times are Unix time.
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
	duplicateAnswerWindow = 20.0     // ms after an answer within which a second answer to the same push may arrive
	idleTimeoutShare      = 0.9      // share of the hosts' idle timeout for which connections are reused: a push takes a while to arrive
	defaultConnectTimeout = 250.0    // ms; applies where the start file sets no connect timeout: some round trips and one lost packet
	runtimeMemoryMB       = 6.0      // MB that the process takes whatever it does
	bufferMemoryShare     = 0.4      // share of the other memory for buffers; the heap and the garbage collector use the rest
	maxPipelinedCommands  = 256      // unanswered commands on a connection at which reading from it stops: well over what a client needs
	maxUnpooledBytes      = 1 << 10  // bytes of a queued answer that are copied out of its pooled buffer
	maxUnsentBytes        = 1 << 20  // unsent answer bytes at which reading from a client stops: a dozen of the largest buffered values
	streamWindowBytes     = 64 << 10 // bytes of a streamed value that are buffered for the client: as many as of the largest buffered value
	openCommandBytes      = 2 << 10  // bytes of the heap for an open command, beside its line
	pipelineShare         = 0.5      // share of the buffer limit up to which a client may have further ops open behind its first
	answerSizeRiseWeight  = 0.25     // weight of an answer that is larger than expected
	answerSizeFallWeight  = 1.0 / 32 // weight of one that is smaller: some large ones among them are still expected
	evictionShare         = 0.85     // share of the buffer limit in use above which clients that stall are closed
	criticalShare         = 1.125    // share above which those that read slowly are closed too
	sendingGrace          = 100.0    // ms behind its latest input for which a client counts as sending: many round trips
	slowReaderGrace       = 1000.0   // ms for which a client may read nothing while memory is short: a slow one pauses for less
	largeWriteShare       = 0.5      // share of the buffers that large values of writes may take together
	memoryWaitShare       = 0.5      // share of its TTL for which a large write may wait for memory: a later nack counts as late
	commandTimeout        = 2600.0   // ms for the rest of a command, or for the first op on a connection: a slow client may take 2 s for a line
	idleClientDivisor     = 6        // at most 1 in 6 sockets may belong to idle clients; usual clients hold a third in all
	pendingInputGrace     = 10.0     // ms to deliver input that is already pending before a timeout is checked again
	clientIdleTimeout     = 2100.0   // ms that an idle client connection is kept; clients expect at least 2 s
	maxPastHosts          = 4096     // ids of former hosts that operators may still name: some days of replacements, in little memory
	goneHostRetention     = 20000.0  // ms that a removed host is remembered, in case a list dropped it by mistake
	progressTimeout       = 5000.0   // ms without progress after which a client is given up; longer than any TTL
	minFirstByteTime      = 0.01     // ms; least time in which an answer can begin

	firstWatchWait   = 1      // ms that the first request of a watch waits: its answer confirms the watch
	watchWait        = 2000   // ms that each later request waits: repeating it costs discovery little, and a dead connection shows soon
	watchSlack       = 1000.0 // ms beyond the wait until a request counts as lost
	fullListInterval = 4000.0 // ms between two requests for the full list: what it tells binds after 6 s

	shutdownLinger            = 450.0 // ms after the shutdown request for which connections stay open: new ones may still arrive
	shutdownSweepInterval     = 10.0  // ms between two passes over the connections to close
	shutdownFirstCommandGrace = 100.0 // ms that a new connection stays open to deliver its first command: many round trips
	shutdownNackAfter         = 600.0 // ms after which new ops are nacked: the process may be killed 700 ms beyond the longest TTL
	shutdownCloseGrace        = 250.0 // ms between the last client's end and exit, so that sockets close in order
)

// Router connects one balancer to its clients and hosts. It implements balance.Frontend.
type Router struct {
	loop            *transport.Loop
	log             *slog.Logger
	balancer        *balance.Balancer
	configuration   configuration
	clients         clientRegistry
	hosts           hostPool
	memory          memoryBudget
	counters        counters
	watch           watch
	inventory       inventoryState
	handOver        handOver
	shutdown        shutdown
	wakeTimer       transport.Timer // set by the balancer through SetTimer
	cancelledPushes []*push         // not yet reported to the balancer
}

// New creates a Router and starts its balancer with the given start file. The Router does not listen yet. With
// useInventory, hosts come from SetInventory and discovery is not queried. New returns an error if the start
// file's known hosts can't be decoded.
func New(loop *transport.Loop, log *slog.Logger, startFile *params.StartFile, useInventory bool) (*Router, error) {
	r := &Router{
		loop:          loop,
		log:           log,
		configuration: configuration{params: startFile.Params},
		inventory:     inventoryState{inUse: useInventory},
		memory:        newMemoryBudget(loop.Pool, bufferBytes(startFile.MemoryMB)),
		clients:       newClientRegistry(startFile.Sockets / idleClientDivisor),
		hosts:         newHostPool(startFile.Params.Limits.Connect / 1000),
	}
	r.watch = watch{router: r, address: startFile.Discovery}
	r.watch.callTimer.Fire = r.watch.onTimeout
	r.wakeTimer.Fire = func() { r.balancer.TimerFired() }
	r.shutdown.timer.Fire = r.sweep
	var known protocol.HostList
	if len(startFile.KnownHosts) > 0 && string(startFile.KnownHosts) != "null" {
		if err := json.Unmarshal(startFile.KnownHosts, &known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	var config balance.Config
	config, r.configuration.categories, _ = startFile.Params.ForBalancer(startFile.Seed)
	config.ListOnRequest = !useInventory // discovery pushes lists only to those who request them first
	r.counters = newCounters()
	for _, c := range startFile.Params.Categories {
		r.counters.add(c.Name, r.configuration.categories[c.Name])
	}
	r.hosts.idleTimeout = config.ConnIdleTimeout
	r.watch.revision = known.Revision
	r.balancer = balance.New(config, r, loop.Now())
	if len(known.Members) > 0 {
		r.applyList(&known, true, true)
	}
	loop.OnRoundStart = r.startRound
	return r, nil
}

// bufferBytes returns how many bytes the buffers may take of that much memory.
func bufferBytes(memoryMB float64) int {
	return int(max(memoryMB-runtimeMemoryMB, memoryMB/2) * bufferMemoryShare * (1 << 20))
}

// startRound begins a round of the event loop: it advances the balancer's clock, applies pending requests from
// other goroutines and reports the pushes that were cancelled in the previous round.
func (r *Router) startRound(now float64) {
	r.balancer.Advance(now)
	r.shutdown.startIfRequested(r)
	r.balancer.ReportInputWait(r.loop.InputDelay())
	r.applyReload()
	r.applyInventory()
	if r.isHandingOver() {
		r.handOverClients()
	}
	cancelled := r.cancelledPushes
	r.cancelledPushes = nil
	for _, p := range cancelled {
		r.reportEnd(p, p.outcome)
	}
	r.evictForMemory()
}

// applyList passes a host list to the balancer. complete tells whether hosts missing from it are gone; saved
// marks a list that was stored earlier or came from another process.
func (r *Router) applyList(l *protocol.HostList, complete, saved bool) {
	for _, err := range l.MemberErrors {
		r.log.Warn("skipped invalid entry of the host list", "error", err)
	}
	entries := make([]balance.HostEntry, 0, len(l.Members))
	for _, m := range l.Members {
		h := r.hosts.byID[m.ID]
		if h == nil {
			h = r.hosts.add(m.ID, r.configuration.params.IsOrigin(m.Flavor))
		}
		listing := balance.Listing{Zone: slices.Index(r.configuration.params.Zones, m.Locality), Cell: m.Cell, Size: m.Size,
			UpSince: m.UpSince, Status: statusByPhase[m.Phase]}
		if !(listing.Size > 0) { // the list has no sizes
			listing.Size = 1
		}
		h.listEntry = m
		if m.Address.IsValid() && m.Address != h.address {
			h.address = m.Address
			h.withdraw() // a connection that is still coming up may reach another host there
		}
		if listing.Status != balance.Ready {
			h.withdraw()
		}
		if listing.UpSince > h.UpSince {
			// The host restarted: connections to its previous process are dead even where no reset arrived.
			h.closeIdle(transport.HostSilent)
		}
		entries = append(entries, balance.HostEntry{Host: &h.Host, Listing: listing})
	}
	entries = r.hosts.owners.update(entries, complete)
	r.balancer.HostsListed(entries, complete, saved)
	r.hosts.removeGone(r.loop.Now())
}

// HasListedHosts reports whether any cache host is listed.
func (r *Router) HasListedHosts() bool {
	known, _ := r.balancer.HostCounts()
	return known > 0
}

// CheckReady returns nil if ops can be served, else an error that tells why not.
func (r *Router) CheckReady() error {
	if r.clients.listener == nil {
		return ErrNotListening
	}
	if !r.HasListedHosts() {
		return errors.New("no cache host is listed")
	}
	return nil
}

// statusByPhase maps discovery's phases to the balancer's statuses.
var statusByPhase = map[protocol.Phase]balance.Status{protocol.InService: balance.Ready,
	protocol.Terminating: balance.Draining, protocol.Terminated: balance.Gone}
