package feed

import (
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"
)

// Peer IDs for nodes that are tested in isolation.
const (
	parentPeer PeerID = 1
	otherPeer  PeerID = 2
)

func mustNode(t *testing.T, config Config, saved []Change) *Node {
	t.Helper()
	node, err := NewNode(config, saved, 0)
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// newTestHello returns a valid Hello of a node of the same cluster.
func newTestHello(config Config, role Role, epoch uint64, age time.Duration) Hello {
	return Hello{
		Version: Version, Cluster: config.Cluster, ID: "parent", Role: role, KindsChecksum: config.kindsChecksum(), Epoch: epoch,
		Age: age, Positions: make([]Position, len(config.Kinds)),
	}
}

// followingNode returns a node that follows a parent of epoch 5, at time 1s.
func followingNode(t *testing.T, config Config) *Node {
	t.Helper()
	node := mustNode(t, config, nil)
	node.Tick(time.Second)
	if output := node.TakeOutput(); output.Dial != config.Parents[0] {
		t.Fatalf("dials %q", output.Dial)
	}
	node.PeerOpened(parentPeer, true)
	node.Receive(parentPeer, newTestHello(config, Publisher, 5, 0))
	if !node.Status().Connected {
		t.Fatal("not connected to its parent")
	}
	node.TakeOutput()
	return node
}

// sentTo returns the messages sent to a peer.
func sentTo(output Output, peer PeerID) []Message {
	var messages []Message
	for _, envelope := range output.Send {
		if envelope.Peer == peer {
			messages = append(messages, envelope.Message)
		}
	}
	return messages
}

func purgeBatch(from Position, epoch uint64, count int) Batch {
	batch := Batch{Kind: 1, From: from, Epoch: epoch, Age: AgeUnknown}
	for i := range count {
		batch.Changes = append(batch.Changes, testChange(1, epoch, from.Sequence+uint64(i)+1))
	}
	return batch
}

func appliedSequences(events []Event) []uint64 {
	var sequences []uint64
	for _, event := range events {
		if applied, ok := event.(Applied); ok {
			sequences = append(sequences, applied.Change.Position.Sequence)
		}
	}
	return sequences
}

func TestChangesAreAppliedOnceInOrder(t *testing.T) {
	node := followingNode(t, subscriberConfig())
	node.Receive(parentPeer, purgeBatch(Position{}, 5, 3))
	node.Receive(parentPeer, purgeBatch(Position{}, 5, 3))
	node.Receive(parentPeer, purgeBatch(Position{}, 5, 5))
	node.Receive(parentPeer, purgeBatch(Position{5, 2}, 5, 1))
	output := node.TakeOutput()
	if got := appliedSequences(output.Events); !slices.Equal(got, []uint64{1, 2, 3, 4, 5}) {
		t.Errorf("applied %v", got)
	}
	if len(output.Send) > 0 {
		t.Errorf("sent %v in answer to duplicates", output.Send)
	}
}

func TestMessagesOutOfSequenceCauseAResync(t *testing.T) {
	gap := Position{5, 7}
	to := Position{5, 9}
	messages := []Message{
		purgeBatch(gap, 5, 1),
		purgeBatch(Position{4, 3}, 5, 1),
		PrefixSet{Kind: 1, From: gap, To: to, PrefixBits: prefixBits},
		PrefixSet{Kind: 0, To: to, PrefixBits: prefixBits},
		WindowReset{Kind: 1, From: gap, To: to},
		WindowReset{Kind: 0, To: to},
		Snapshot{Kind: 0, From: gap, At: to},
		Snapshot{Kind: 1, At: to},
		Batch{Kind: 9},
		Heartbeat{Epoch: 5, Age: AgeUnknown, Positions: []Position{{}, gap}},
	}
	for _, message := range messages {
		node := followingNode(t, subscriberConfig())
		node.Receive(parentPeer, message)
		// Messages are ignored until the parent has answered.
		node.Receive(parentPeer, purgeBatch(Position{}, 5, 1))
		output := node.TakeOutput()
		if len(output.Events) > 0 {
			t.Errorf("%T: events %v", message, output.Events)
		}
		sent := sentTo(output, parentPeer)
		if hello, ok := sent[0].(Hello); len(sent) != 1 || !ok || hello.Probe {
			t.Errorf("%T: sent %v", message, sent)
		}
		node.Receive(parentPeer, newTestHello(subscriberConfig(), Publisher, 5, 0))
		node.Receive(parentPeer, purgeBatch(Position{}, 5, 1))
		if got := appliedSequences(node.TakeOutput().Events); len(got) != 1 {
			t.Errorf("%T: %v applied after another Hello", message, got)
		}
	}
}

func TestRelayRefusesPrefixSets(t *testing.T) {
	config := subscriberConfig()
	config.Role = Relay
	node := followingNode(t, config)
	node.Receive(parentPeer, PrefixSet{Kind: 1, To: Position{5, 1}, PrefixBits: prefixBits, Prefixes: []uint64{1}})
	if output := node.TakeOutput(); len(output.Events) > 0 || node.Status().Counters.Resyncs != 1 {
		t.Errorf("accepted a prefix set: events %v", output.Events)
	}
}

func TestIncompatibleParentsAreRefused(t *testing.T) {
	config := subscriberConfig()
	tests := []struct {
		wanted  RefusalReason
		corrupt func(*Hello)
	}{
		{RefusedVersion, func(h *Hello) { h.Version++ }},
		{RefusedCluster, func(h *Hello) { h.Cluster = "other" }},
		{RefusedKinds, func(h *Hello) { h.KindsChecksum++ }},
		{RefusedKinds, func(h *Hello) { h.Positions = h.Positions[1:] }},
		{RefusedRole, func(h *Hello) { h.Role = Subscriber }},
	}
	for _, test := range tests {
		node := mustNode(t, config, nil)
		node.Tick(0)
		node.PeerOpened(parentPeer, true)
		hello := newTestHello(config, Relay, 1, 0)
		test.corrupt(&hello)
		node.TakeOutput()
		node.Receive(parentPeer, hello)
		output := node.TakeOutput()
		if sent := sentTo(output, parentPeer); !reflect.DeepEqual(sent, []Message{Refused{test.wanted}}) {
			t.Errorf("%s: sent %v", test.wanted, sent)
		}
		if !slices.Equal(output.Close, []PeerID{parentPeer}) {
			t.Errorf("%s: closes %v", test.wanted, output.Close)
		}
		node.Tick(config.withDefaults().RetryMax)
		if output := node.TakeOutput(); output.Dial != "b" {
			t.Errorf("%s: dials %q next", test.wanted, output.Dial)
		}
	}
}

func TestIncompatibleChildrenAreRefused(t *testing.T) {
	publisher, relay := publisherConfig(), subscriberConfig()
	relay.Role = Relay
	tests := []struct {
		name    string
		config  Config
		wanted  RefusalReason
		corrupt func(*Hello)
	}{
		{"version", publisher, RefusedVersion, func(h *Hello) { h.Version++ }},
		{"cluster", publisher, RefusedCluster, func(h *Hello) { h.Cluster = "other" }},
		{"kinds", publisher, RefusedKinds, func(h *Hello) { h.KindsChecksum++ }},
		{"publisher under a publisher", publisher, RefusedRole, func(h *Hello) { h.Role = Publisher }},
		{"relay under a relay", relay, RefusedRole, func(h *Hello) { h.Role = Relay }},
		{"under a subscriber", subscriberConfig(), RefusedRole, func(*Hello) {}},
		{"higher epoch", publisher, RefusedEpoch, func(h *Hello) { h.Epoch = 2 }},
	}
	for _, test := range tests {
		node := mustNode(t, test.config, nil)
		node.PeerOpened(otherPeer, false)
		hello := newTestHello(test.config, Subscriber, 1, AgeUnknown)
		test.corrupt(&hello)
		node.Receive(otherPeer, hello)
		output := node.TakeOutput()
		if sent := sentTo(output, otherPeer); !reflect.DeepEqual(sent, []Message{Refused{test.wanted}}) {
			t.Errorf("%s: sent %v", test.name, sent)
		}
		if !slices.Equal(output.Close, []PeerID{otherPeer}) {
			t.Errorf("%s: closes %v", test.name, output.Close)
		}
	}
}

func TestMaxChildrenIsEnforced(t *testing.T) {
	config := publisherConfig()
	config.MaxChildren = 2
	node := mustNode(t, config, nil)
	for peer := range PeerID(3) {
		node.PeerOpened(peer, false)
		node.Receive(peer, newTestHello(config, Subscriber, 0, AgeUnknown))
	}
	output := node.TakeOutput()
	if sent := sentTo(output, 2); !reflect.DeepEqual(sent, []Message{Refused{RefusedFull}}) {
		t.Errorf("the third child gets %v", sent)
	}
	if status := node.Status(); status.Children != 2 || status.Counters.Refused != 1 {
		t.Errorf("%d children, %d refused", status.Children, status.Counters.Refused)
	}
	// Another Hello of the same child does not count as a new child, and a child that leaves frees its place.
	node.Receive(1, newTestHello(config, Subscriber, 0, AgeUnknown))
	node.PeerLost(0)
	node.PeerOpened(3, false)
	node.Receive(3, newTestHello(config, Subscriber, 0, AgeUnknown))
	if status := node.Status(); status.Children != 2 || status.Counters.Refused != 1 {
		t.Errorf("%d children, %d refused after a change", status.Children, status.Counters.Refused)
	}
}

func TestPublisherIsFencedByAHigherEpoch(t *testing.T) {
	config := publisherConfig()
	node := mustNode(t, config, nil)
	node.PeerOpened(parentPeer, false)
	node.Receive(parentPeer, newTestHello(config, Subscriber, 1, AgeUnknown))
	node.PeerOpened(otherPeer, false)
	node.TakeOutput()
	node.Receive(otherPeer, newTestHello(config, Relay, 2, AgeUnknown))
	if sent := sentTo(node.TakeOutput(), parentPeer); !reflect.DeepEqual(sent, []Message{Refused{RefusedEpoch}}) {
		t.Errorf("its child gets %v", sent)
	}
	if _, err := node.Publish(0, []byte("key"), nil); !errors.Is(err, ErrFenced) {
		t.Errorf("publish: %v", err)
	}
	if status := node.Status(); !status.Fenced || status.Children != 0 || status.Age != AgeUnknown {
		t.Errorf("status %+v", status)
	}
}

func TestNodeRefusesALowerEpoch(t *testing.T) {
	config := subscriberConfig()
	t.Run("of a new parent", func(t *testing.T) {
		node := followingNode(t, config)
		node.PeerLost(parentPeer)
		node.Tick(3 * time.Second)
		node.PeerOpened(otherPeer, true)
		node.TakeOutput()
		node.Receive(otherPeer, newTestHello(config, Relay, 4, 0))
		if sent := sentTo(node.TakeOutput(), otherPeer); !reflect.DeepEqual(sent, []Message{Refused{RefusedEpoch}}) {
			t.Errorf("sent %v", sent)
		}
	})
	t.Run("in a heartbeat", func(t *testing.T) {
		node := followingNode(t, config)
		node.Receive(parentPeer, Heartbeat{Epoch: 4, Positions: node.positions()})
		if sent := sentTo(node.TakeOutput(), parentPeer); !reflect.DeepEqual(sent, []Message{Refused{RefusedEpoch}}) {
			t.Errorf("sent %v", sent)
		}
	})
	t.Run("in a batch", func(t *testing.T) {
		node := followingNode(t, config)
		node.Receive(parentPeer, purgeBatch(Position{}, 5, 2))
		node.Receive(parentPeer, purgeBatch(Position{4, 2}, 4, 1))
		if got := appliedSequences(node.TakeOutput().Events); len(got) != 2 {
			t.Errorf("applied %v", got)
		}
	})
	t.Run("after a higher epoch from a child", func(t *testing.T) {
		relayConfig := config
		relayConfig.Role = Relay
		node := followingNode(t, relayConfig)
		node.PeerOpened(otherPeer, false)
		node.Receive(otherPeer, newTestHello(config, Subscriber, 6, 0))
		output := node.TakeOutput()
		if sent := sentTo(output, parentPeer); !reflect.DeepEqual(sent, []Message{Refused{RefusedEpoch}}) {
			t.Errorf("sent %v to its parent", sent)
		}
		if status := node.Status(); status.Connected || status.Epoch != 6 || status.Children != 1 {
			t.Errorf("status %+v", status)
		}
	})
}

func TestLeaveSendsGoodbye(t *testing.T) {
	config := subscriberConfig()
	config.Role = Relay
	node := followingNode(t, config)
	node.PeerOpened(otherPeer, false)
	node.Receive(otherPeer, newTestHello(config, Subscriber, 0, AgeUnknown))
	node.TakeOutput()
	node.Leave()
	output := node.TakeOutput()
	for _, peer := range []PeerID{parentPeer, otherPeer} {
		if sent := sentTo(output, peer); !reflect.DeepEqual(sent, []Message{Goodbye{}}) {
			t.Errorf("peer %d gets %v", peer, sent)
		}
	}
	if len(output.Close) != 2 || node.NextTick() != never {
		t.Errorf("closes %v, next tick at %s", output.Close, node.NextTick())
	}
}

func TestPublisherPersistsBeforeItSends(t *testing.T) {
	config := publisherConfig()
	node := mustNode(t, config, nil)
	node.PeerOpened(otherPeer, false)
	node.Receive(otherPeer, newTestHello(config, Relay, 0, AgeUnknown))
	node.Tick(time.Second)
	node.TakeOutput()
	position, err := node.Publish(0, []byte("key"), []byte("value"))
	if err != nil {
		t.Fatal(err)
	}
	output := node.TakeOutput()
	if len(output.Persist) != 1 || output.Persist[0].Position != position || len(output.Send) > 0 {
		t.Errorf("persists %v, sends %v", output.Persist, output.Send)
	}
	node.Tick(node.NextTick())
	if sent := sentTo(node.TakeOutput(), otherPeer); len(sent) != 1 {
		t.Errorf("sent %v", sent)
	}
}
