package feed

import "slices"

const (
	// messageOverhead is an upper bound on the bytes of a message apart from its changes, including age and echo.
	messageOverhead = 64
	// entryOverhead bounds the bytes of the length prefixes of a change's key and value; snapshotOverhead bounds the bytes
	// that the position of a change in a snapshot adds.
	entryOverhead    = 4
	snapshotOverhead = 8
	// prefixesPerByte is the first estimate of how many prefixes fit in a byte, slightly above the actual number.
	prefixesPerByte = 0.5
)

// selectMode returns the cursor with the mode in which the child is served next: snapshot, prefix sets, or neither for
// batches and resets. A catch-up mode, once entered, is kept; prefix sets end early if the position leaves the window.
func (l *kindLog) selectMode(at cursor, role Role, coarseAfter int) cursor {
	inWindow := l.contains(at.position)
	farBehind := !inWindow || role == Subscriber && len(l.after(at.position)) > coarseAfter
	if l.config.Stateful {
		at.snapshot = at.snapshot || !inWindow || farBehind && at.position.IsZero()
		return at
	}
	at.coarse = inWindow && (at.coarse || farBehind)
	return at
}

// needsReset reports whether the changes after a cursor are no longer available, or are of no use to a new subscriber.
func (l *kindLog) needsReset(at cursor, role Role, coarseAfter int) bool {
	if l.config.Stateful {
		return false
	}
	if !l.contains(at.position) {
		return true
	}
	return role == Subscriber && at.position.IsZero() && len(l.after(at.position)) > coarseAfter
}

// nextReset moves a subscriber to the head. A relay is moved to the start of the window, which its own children need.
func (l *kindLog) nextReset(at cursor, kind Kind, role Role, allowance allowance) (Message, cursor) {
	if allowance.bytes < messageOverhead {
		return nil, at
	}
	to := l.head
	if role == Relay {
		to = l.firstContainedAfter(at.position)
	}
	return WindowReset{Kind: kind, From: at.position, To: to}, cursor{position: to}
}

// nextBatch returns as many changes of one epoch as the allowance permits, or nil, and the cursor after them.
func (l *kindLog) nextBatch(at cursor, kind Kind, allowance allowance) (Message, cursor) {
	following := l.after(at.position)
	epoch := following[0].change.Position.Epoch
	batch := Batch{Kind: kind, From: at.position, Epoch: epoch}
	size := messageOverhead
	for _, record := range following {
		size += changeSize(record.change)
		if size > allowance.bytes || record.change.Position.Epoch != epoch {
			break
		}
		batch.Changes = append(batch.Changes, record.change)
	}
	count := len(batch.Changes)
	if count == 0 || size > allowance.bytes && !allowance.allowsPartial {
		return nil, at
	}
	at.position = batch.Changes[count-1].Position
	return batch, at
}

// changeSize returns an upper bound on the encoded size of a change in a batch, in bytes.
func changeSize(change Change) int {
	return len(change.Key) + len(change.Value) + entryOverhead
}

// nextSnapshot returns as many of the latest changes as the allowance permits, or nil, and the cursor after them. A
// subscriber's snapshot ends at the head. A relay's ends at the base of the window, and the window follows change by change,
// so that the relay can serve its own children from there.
func (l *kindLog) nextSnapshot(at cursor, kind Kind, role Role, allowance allowance) (Message, cursor) {
	end := l.head
	if role == Relay && l.base.Compare(at.position) > 0 {
		end = l.base
	}
	part := Snapshot{Kind: kind, From: at.position, At: end, Last: true, CompleteAt: laterOf(l.head, l.completeAt)}
	size := messageOverhead
	for _, change := range l.latest.after(at.position) {
		if change.Position.Compare(end) > 0 {
			break
		}
		size += changeSize(change) + snapshotOverhead
		if size > allowance.bytes {
			part.Last = false
			break
		}
		part.Entries = append(part.Entries, change)
	}
	if size > allowance.bytes && (len(part.Entries) == 0 || !allowance.allowsPartial) {
		return nil, at
	}
	if !part.Last {
		part.At = part.Entries[len(part.Entries)-1].Position
	}
	at.position = part.At
	at.snapshot = !part.Last
	return part, at
}

// nextPrefixSet returns the key prefixes of as many changes as the allowance permits, or nil, and the cursor after them.
func (l *kindLog) nextPrefixSet(at cursor, kind Kind, allowance allowance) (Message, cursor) {
	following := l.after(at.position)
	count := min(len(following), int(float64(max(allowance.bytes, 0))*prefixesPerByte))
	if count == 0 || count < len(following) && !allowance.allowsPartial {
		return nil, at
	}
	for count > 0 {
		set := newPrefixSet(following[:count], at.position, kind)
		size := messageOverhead + riceSize(set.Prefixes)
		if size <= allowance.bytes {
			at.position = set.To
			return set, at
		}
		// Reduce by 5% more than proportionally: smaller sets take more bits per prefix.
		count = min(count-1, count*allowance.bytes/size*19/20)
	}
	return nil, at
}

// newPrefixSet returns the set of the key prefixes of records, which follow the position from.
func newPrefixSet(records []record, from Position, kind Kind) PrefixSet {
	prefixes := make([]uint64, len(records))
	for i, record := range records {
		prefixes[i] = keyPrefix(record.change.Key, prefixBits)
	}
	slices.Sort(prefixes)
	return PrefixSet{
		Kind:       kind,
		From:       from,
		To:         records[len(records)-1].change.Position,
		PrefixBits: prefixBits,
		Prefixes:   slices.Compact(prefixes),
	}
}

// riceSize returns the encoded size of a set of prefixes in bytes.
func riceSize(prefixes []uint64) int {
	e := encoder{}
	e.ricePrefixes(prefixes)
	return len(e.buffer)
}
