package feedscale

import (
	"fmt"
	"testing"
	"time"

	"larchthread/internal/feed"
)

// virtualFleet simulates a fleet of feed nodes in virtual time without sockets, so that equal seeds give equal messages on
// any machine. Node 0 is the publisher, followed by the relays and then the subscribers.
type virtualFleet struct {
	t           *testing.T
	now         time.Duration
	nodes       []*feed.Node
	relays      int
	peers       []map[feed.PeerID]virtualPeer // by node
	lastPeerID  feed.PeerID
	pending     []virtualMessage
	subscribers []*recordingSubscriber
	sent        []traffic // by node; each message counts as a segment
	ledger      ledger
}

// virtualPeer identifies an end of a connection: a node and the node's ID for the connection.
type virtualPeer struct {
	node int
	id   feed.PeerID
}

// virtualMessage is a message in flight. A nil message reports the end of the connection.
type virtualMessage struct {
	to      virtualPeer
	message feed.Message
}

// newVirtualFleet creates a fleet whose relays are in one region each.
func newVirtualFleet(t *testing.T, subscribers, relays int) *virtualFleet {
	fleet := &virtualFleet{t: t, relays: relays}
	fleet.add(publisherConfig())
	for relay := range relays {
		fleet.add(relayConfig(relay, virtualAddress(0), 1))
	}
	place := newPlacement(Options{Subscribers: subscribers, Relays: relays, Regions: relays, Seed: 1})
	for subscriber := range subscribers {
		var addresses []string
		for _, relay := range place.parents[subscriber] {
			addresses = append(addresses, virtualAddress(1+relay))
		}
		fleet.add(subscriberConfig(subscriber, addresses, 100))
		fleet.subscribers = append(fleet.subscribers, &recordingSubscriber{index: subscriber, runStart: time.Now()})
	}
	return fleet
}

func virtualAddress(node int) string { return fmt.Sprint("node-", node) }

// add adds a node to the fleet.
func (v *virtualFleet) add(config feed.Config) {
	node, err := feed.NewNode(config, nil, v.now)
	if err != nil {
		v.t.Fatal(err)
	}
	v.nodes = append(v.nodes, node)
	v.peers = append(v.peers, map[feed.PeerID]virtualPeer{})
	v.sent = append(v.sent, traffic{})
}

// run advances the virtual time to the given time.
func (v *virtualFleet) run(until time.Duration) {
	for {
		next := until
		for _, node := range v.nodes {
			next = min(next, node.NextTick())
		}
		v.now = max(v.now, next)
		for i, node := range v.nodes {
			node.Tick(v.now)
			v.applyOutput(i)
		}
		v.deliver()
		if v.now >= until {
			return
		}
	}
}

// deliver delivers messages, without any latency, until none is pending.
func (v *virtualFleet) deliver() {
	for len(v.pending) > 0 {
		next := v.pending[0]
		v.pending = v.pending[1:]
		if _, open := v.peers[next.to.node][next.to.id]; !open {
			continue
		}
		node := v.nodes[next.to.node]
		if next.message == nil {
			delete(v.peers[next.to.node], next.to.id)
			node.PeerLost(next.to.id)
		} else {
			node.Receive(next.to.id, next.message)
		}
		v.applyOutput(next.to.node)
	}
}

// applyOutput carries out a node's output: it queues messages, records events and opens connections.
func (v *virtualFleet) applyOutput(from int) {
	output := v.nodes[from].TakeOutput()
	for _, envelope := range output.Send {
		v.sent[from].add(traffic{len(envelope.Frame), 1})
		v.pending = append(v.pending, virtualMessage{v.peers[from][envelope.Peer], envelope.Message})
	}
	for _, id := range output.Close {
		v.pending = append(v.pending, virtualMessage{to: v.peers[from][id]})
		delete(v.peers[from], id)
	}
	if subscriber := from - 1 - v.relays; subscriber >= 0 {
		for _, event := range output.Events {
			v.subscribers[subscriber].recordEvent(event)
		}
	}
	if output.Dial != "" {
		v.connect(from, output.Dial)
	}
}

// connect opens a connection from a node to the one with the given address.
func (v *virtualFleet) connect(from int, address string) {
	for to := range v.nodes {
		if virtualAddress(to) != address {
			continue
		}
		v.lastPeerID += 2
		child, parent := virtualPeer{from, v.lastPeerID}, virtualPeer{to, v.lastPeerID + 1}
		v.peers[from][child.id], v.peers[to][parent.id] = parent, child
		v.nodes[to].PeerOpened(parent.id, false)
		v.applyOutput(to)
		v.nodes[from].PeerOpened(child.id, true)
		v.applyOutput(from)
		return
	}
	v.t.Fatalf("no node at %s", address)
}

// publish publishes the workload at its due times, starting at the current virtual time.
func (v *virtualFleet) publish(options Options) {
	start := v.now
	plans := [kinds][]plannedChange{}
	for kind := range kinds {
		plans[kind] = planWorkload(options, kind)
	}
	for len(plans[Settings])+len(plans[Purges]) > 0 {
		kind := Settings
		if len(plans[Settings]) == 0 || len(plans[Purges]) > 0 && plans[Purges][0].Due < plans[Settings][0].Due {
			kind = Purges
		}
		v.publishOne(start, plans[kind][0])
		plans[kind] = plans[kind][1:]
	}
}

// publishOne advances the time to the change's due time and publishes the change.
func (v *virtualFleet) publishOne(start time.Duration, change plannedChange) {
	v.run(start + change.Due)
	at, err := v.nodes[0].Publish(feed.Kind(change.Kind), change.key(), []byte(change.Value))
	if err != nil {
		v.t.Fatal(err)
	}
	v.applyOutput(0)
	v.deliver()
	v.ledger.add(change.Kind, publishAttempt{Identity: change.Identity, Key: change.Name, Due: start + change.Due,
		Position: position(at), Acknowledged: true})
}
