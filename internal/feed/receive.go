package feed

import (
	"slices"
	"time"
)

// receiveChanges handles a message with changes. If it does not follow the node's position, it is dropped and the node
// resynchronizes with the parent. Duplicates are ignored.
func (n *Node) receiveChanges(link *link, message Message) {
	if link.state != linkFollowing || link.awaitsHello {
		return
	}
	if !n.apply(message) {
		n.resync(link)
		return
	}
	link.lastChanged = n.now
}

// apply applies a message with changes. It returns false if the message does not follow the node's position.
// Messages of other types are ignored.
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

// applyBatch applies the changes of a batch that are new. It returns false if the batch does not follow the log's position.
func (n *Node) applyBatch(log *kindLog, m Batch) bool {
	changes, fits := changesAfter(log.head, m)
	if !fits {
		return false
	}
	before := n.watermark
	for _, change := range changes {
		log.append(change, before)
		n.emit(Applied{Change: change})
	}
	if len(changes) >= n.config.CoarseAfter {
		// This node is catching up: pass the changes on to its children at once instead of in the next round.
		n.children.nextRoundAt = n.now
	}
	n.finishApply(m.Echo, m.Age)
	return true
}

// changesAfter returns the changes of a batch that follow a position, which is none if the position is past the batch. It
// returns false if the position is before the batch, or within it but not that of one of its changes.
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

// spanFit describes how a span of positions relates to a node's position.
type spanFit uint8

const (
	fitFollows spanFit = iota + 1
	fitDuplicate
	fitMismatch
)

// classifySpan compares the span between two positions of a message with the head of a log.
func classifySpan(head, from, to Position) spanFit {
	switch {
	case head == from && to.Compare(from) > 0:
		return fitFollows
	case to.Compare(head) <= 0:
		return fitDuplicate
	}
	return fitMismatch
}

// applyPrefixSet moves a log past the changes that a prefix set replaces. It returns false if the set does not follow the
// log's position, or is not allowed for this node or kind.
func (n *Node) applyPrefixSet(log *kindLog, m PrefixSet) bool {
	// A node that stores changes needs each of them.
	if log.storesChanges || log.config.Stateful {
		return false
	}
	switch classifySpan(log.head, m.From, m.To) {
	case fitMismatch:
		return false
	case fitFollows:
		log.resetTo(m.To)
		n.emit(AppliedSet{Kind: m.Kind, From: m.From, To: m.To, PrefixBits: m.PrefixBits, Prefixes: m.Prefixes})
	}
	n.finishApply(m.Echo, m.Age)
	return true
}

// applySnapshot applies a part of a snapshot. It returns false if the part does not follow the log's position, or the kind
// is not stateful.
func (n *Node) applySnapshot(log *kindLog, m Snapshot) bool {
	if !log.config.Stateful {
		return false
	}
	switch classifySpan(log.head, m.From, m.At) {
	case fitMismatch:
		return false
	case fitFollows:
		log.applySnapshot(m.Entries, m.At)
		log.completeAt = laterOf(log.completeAt, m.CompleteAt)
		n.emit(AppliedSnapshot{Kind: m.Kind, From: m.From, To: m.At, Changes: slices.Clone(m.Entries), Last: m.Last})
	}
	n.finishApply(m.Echo, m.Age)
	return true
}

// applyReset moves a log past changes that are no longer available. It returns false if the reset does not follow the log's
// position, or the kind is stateful.
func (n *Node) applyReset(log *kindLog, m WindowReset) bool {
	if log.config.Stateful {
		return false
	}
	switch classifySpan(log.head, m.From, m.To) {
	case fitMismatch:
		return false
	case fitFollows:
		log.resetTo(m.To)
		n.emit(Reset{Kind: m.Kind, From: m.From, To: m.To})
	}
	n.finishApply(m.Echo, m.Age)
	return true
}

// finishApply completes a message with changes: children may be due something, and the watermark may advance.
func (n *Node) finishApply(echo Stamp, age time.Duration) {
	n.children.pending = true
	n.updateWatermark(echo, age)
}
