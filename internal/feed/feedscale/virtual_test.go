package feedscale

import (
	"fmt"
	"testing"
	"time"

	"larchthread/internal/feed"
)

// virtualFleet runs the feed's nodes in virtual time, without sockets: the same seed gives the same messages on any machine.
// Node 0 is the publisher; the relays follow, and then the subscribers.
type virtualFleet struct {
	t           *testing.T
	now         time.Duration
	nodes       []*feed.Node
	relays      int
	peers       []map[feed.PeerID]virtualPeer // by node
	lastPeer    feed.PeerID
	pending     []virtualMessage
	subscribers []*hollowSubscriber
	sent        []traffic // by node: messages as segments
	ledger      ledger
}

// virtualPeer is the other end of a connection.
type virtualPeer struct {
	node int
	id   feed.PeerID
}

// virtualMessage is on its way. One without a message tells that the connection has ended.
type virtualMessage struct {
	to      virtualPeer
	message feed.Message
}

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
		fleet.subscribers = append(fleet.subscribers, &hollowSubscriber{index: subscriber, began: time.Now()})
	}
	return fleet
}

func virtualAddress(node int) string { return fmt.Sprint("node-", node) }

func (v *virtualFleet) add(config feed.Config) {
	node, err := feed.NewNode(config, nil, v.now)
	if err != nil {
		v.t.Fatal(err)
	}
	v.nodes = append(v.nodes, node)
	v.peers = append(v.peers, map[feed.PeerID]virtualPeer{})
	v.sent = append(v.sent, traffic{})
}

// run lets time go on to a given one.
func (v *virtualFleet) run(until time.Duration) {
	for {
		next := until
		for _, node := range v.nodes {
			next = min(next, node.NextTick())
		}
		v.now = max(v.now, next)
		for i, node := range v.nodes {
			node.Tick(v.now)
			v.take(i)
		}
		v.deliver()
		if v.now >= until {
			return
		}
	}
}

// deliver passes messages on until none is left. They take no time.
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
		v.take(next.to.node)
	}
}

// take does what a node wants done.
func (v *virtualFleet) take(from int) {
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
			v.subscribers[subscriber].observe(event)
		}
	}
	if output.Dial != "" {
		v.connect(from, output.Dial)
	}
}

func (v *virtualFleet) connect(from int, address string) {
	for to := range v.nodes {
		if virtualAddress(to) != address {
			continue
		}
		v.lastPeer += 2
		child, parent := virtualPeer{from, v.lastPeer}, virtualPeer{to, v.lastPeer + 1}
		v.peers[from][child.id], v.peers[to][parent.id] = parent, child
		v.nodes[to].PeerOpened(parent.id, false)
		v.take(to)
		v.nodes[from].PeerOpened(child.id, true)
		v.take(from)
		return
	}
	v.t.Fatalf("no node at %s", address)
}

// publish publishes the whole workload at its due times, from now on.
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

func (v *virtualFleet) publishOne(start time.Duration, change plannedChange) {
	v.run(start + change.Due)
	at, err := v.nodes[0].Publish(feed.Kind(change.Kind), change.key(), []byte(change.Value))
	if err != nil {
		v.t.Fatal(err)
	}
	v.take(0)
	v.deliver()
	v.ledger.add(change.Kind, publishedChange{Identity: change.Identity, Key: change.Name, Due: start + change.Due,
		Position: position(at), Acknowledged: true})
}
