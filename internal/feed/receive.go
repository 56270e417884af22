package feed

import (
	"slices"
	"time"
)

// receiveChanges takes a message that brings changes. One that doesn't follow the node's position is dropped, and the parent
// asked anew; one that brings nothing new is ignored.
func (n *Node) receiveChanges(link *link, message Message) {
	if link.state != linkFollowing || link.awaitsHello {
		return
	}
	if !n.apply(message) {
		n.helloAgain(link)
		return
	}
	link.changed = n.now
}

// apply returns false for a message that doesn't fit.
func (n *Node) apply(message Message) bool {
	switch m := message.(type) {
	case Batch:
		return n.hasKind(m.Kind) && n.applyBatch(&n.kinds[m.Kind], m)
	case PrefixSet:
		return n.hasKind(m.Kind) && n.applyPrefixSet(&n.kinds[m.Kind], m)
	case Snapshot:
		return n.hasKind(m.Kind) && n.applySnapshot(&n.kinds[m.Kind], m)
	case WindowReset:
		return n.hasKind(m.Kind) && n.applyReset(&n.kinds[m.Kind], m)
	}
	return true
}

func (n *Node) hasKind(kind Kind) bool {
	return int(kind) < len(n.kinds)
}

func (n *Node) applyBatch(log *kindLog, m Batch) bool {
	changes, fits := changesAfter(log.head, m)
	if !fits {
		return false
	}
	before := n.known
	for _, change := range changes {
		log.append(change, before)
		n.emit(Applied{Change: change})
	}
	if len(changes) >= n.config.CoarseAfter {
		// This node is catching up, and its children with it: they aren't to wait for the next round.
		n.children.roundAt = n.now
	}
	n.applied(m.Echo, m.Age)
	return true
}

// changesAfter returns the changes of a batch that follow a position. It returns false where the position is neither the
// batch's beginning nor that of one of its changes, nor later than all of them.
func changesAfter(position Position, m Batch) ([]Change, bool) {
	if position == m.From {
		return m.Changes, true
	}
	for i, change := range m.Changes {
		if change.Position == position {
			return m.Changes[i+1:], true
		}
	}
	end := m.From
	if len(m.Changes) > 0 {
		end = m.Changes[len(m.Changes)-1].Position
	}
	return nil, position.Compare(end) > 0
}

// fit says how a span of positions fits a node's position.
type fit uint8

const (
	fitFollows fit = iota + 1
	fitRepeats
	fitNot
)

func fitOf(head, from, to Position) fit {
	switch {
	case head == from && to.Compare(from) > 0:
		return fitFollows
	case to.Compare(head) <= 0:
		return fitRepeats
	}
	return fitNot
}

func (n *Node) applyPrefixSet(log *kindLog, m PrefixSet) bool {
	// A node that keeps changes needs all of them.
	if log.keeps || log.config.Stateful {
		return false
	}
	switch fitOf(log.head, m.From, m.To) {
	case fitNot:
		return false
	case fitFollows:
		log.restart(m.To)
		n.emit(AppliedSet{Kind: m.Kind, From: m.From, To: m.To, PrefixBits: m.PrefixBits, Prefixes: m.Prefixes})
	}
	n.applied(m.Echo, m.Age)
	return true
}

func (n *Node) applySnapshot(log *kindLog, m Snapshot) bool {
	if !log.config.Stateful {
		return false
	}
	switch fitOf(log.head, m.From, m.At) {
	case fitNot:
		return false
	case fitFollows:
		log.applySnapshot(m.Entries, m.At)
		log.wholeAt = laterOf(log.wholeAt, m.CompleteAt)
		n.emit(AppliedSnapshot{Kind: m.Kind, From: m.From, To: m.At, Changes: slices.Clone(m.Entries), Last: m.Last})
	}
	n.applied(m.Echo, m.Age)
	return true
}

func (n *Node) applyReset(log *kindLog, m WindowReset) bool {
	if log.config.Stateful {
		return false
	}
	switch fitOf(log.head, m.From, m.To) {
	case fitNot:
		return false
	case fitFollows:
		log.restart(m.To)
		n.emit(Reset{Kind: m.Kind, From: m.From, To: m.To})
	}
	n.applied(m.Echo, m.Age)
	return true
}

// applied ends the taking of a message with changes.
func (n *Node) applied(echo Stamp, age time.Duration) {
	n.children.pending = true
	n.learn(echo, age)
}
