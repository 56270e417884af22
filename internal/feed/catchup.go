package feed

import "slices"

const (
	// messageOverhead is more than a message with changes takes besides them, age and echo included.
	messageOverhead = 64
	// entryOverhead is the most that the lengths of a change's key and value take, snapshotOverhead what its position in a
	// snapshot may take besides.
	entryOverhead    = 4
	snapshotOverhead = 8
	// prefixesPerByte is a little more than the prefixes that a byte holds: the first guess at how many fit.
	prefixesPerByte = 0.5
)

// classify says how a child that is at a cursor is served next. A catch-up that has begun is kept to until it is done.
func (l *kindLog) classify(at cursor, role Role, coarseAfter int) cursor {
	inWindow := l.contains(at.position)
	farBehind := !inWindow || role == Subscriber && len(l.after(at.position)) > coarseAfter
	if l.config.Stateful {
		at.snapshot = at.snapshot || !inWindow || farBehind && at.position.IsZero()
		return at
	}
	at.coarse = inWindow && (at.coarse || farBehind)
	return at
}

// needsReset tells whether what follows a cursor is not to be had, or is of no use to a newcomer.
func (l *kindLog) needsReset(at cursor, role Role, coarseAfter int) bool {
	if l.config.Stateful {
		return false
	}
	if !l.contains(at.position) {
		return true
	}
	return role == Subscriber && at.position.IsZero() && len(l.after(at.position)) > coarseAfter
}

// nextReset moves a subscriber to the head. A relay gets all of the window, for its children.
func (l *kindLog) nextReset(at cursor, kind Kind, role Role, room room) (Message, cursor) {
	if room.bytes < messageOverhead {
		return nil, at
	}
	to := l.head
	if role == Relay {
		to = l.firstContainedAfter(at.position)
	}
	return WindowReset{Kind: kind, From: at.position, To: to}, cursor{position: to}
}

// nextBatch returns as many changes of one epoch as there is room for.
func (l *kindLog) nextBatch(at cursor, kind Kind, room room) (Message, cursor) {
	following := l.after(at.position)
	epoch := following[0].change.Position.Epoch
	batch := Batch{Kind: kind, From: at.position, Epoch: epoch}
	size := messageOverhead
	for _, record := range following {
		size += changeSize(record.change)
		if size > room.bytes || record.change.Position.Epoch != epoch {
			break
		}
		batch.Changes = append(batch.Changes, record.change)
	}
	count := len(batch.Changes)
	if count == 0 || size > room.bytes && !room.worthwhile {
		return nil, at
	}
	at.position = batch.Changes[count-1].Position
	return batch, at
}

func changeSize(change Change) int {
	return len(change.Key) + len(change.Value) + entryOverhead
}

// nextSnapshot returns as many of the latest changes as there is room for. A subscriber's snapshot ends at the head. A relay's
// ends at the base of the window, which follows change by change, so that the relay can serve its own children from there.
func (l *kindLog) nextSnapshot(at cursor, kind Kind, role Role, room room) (Message, cursor) {
	end := l.head
	if role == Relay && l.base.Compare(at.position) > 0 {
		end = l.base
	}
	part := Snapshot{Kind: kind, From: at.position, At: end, Last: true, CompleteAt: laterOf(l.head, l.wholeAt)}
	size := messageOverhead
	for _, change := range l.latest.after(at.position) {
		if change.Position.Compare(end) > 0 {
			break
		}
		size += changeSize(change) + snapshotOverhead
		if size > room.bytes {
			part.Last = false
			break
		}
		part.Entries = append(part.Entries, change)
	}
	if size > room.bytes && (len(part.Entries) == 0 || !room.worthwhile) {
		return nil, at
	}
	if !part.Last {
		part.At = part.Entries[len(part.Entries)-1].Position
	}
	at.position = part.At
	at.snapshot = !part.Last
	return part, at
}

// nextPrefixSet returns the prefixes of as many changes as there is room for.
func (l *kindLog) nextPrefixSet(at cursor, kind Kind, room room) (Message, cursor) {
	following := l.after(at.position)
	count := min(len(following), int(float64(max(room.bytes, 0))*prefixesPerByte))
	if count == 0 || count < len(following) && !room.worthwhile {
		return nil, at
	}
	for count > 0 {
		set := prefixSetOf(following[:count], at.position, kind)
		size := messageOverhead + riceSize(set.Prefixes)
		if size <= room.bytes {
			at.position = set.To
			return set, at
		}
		// A twentieth less than in proportion: smaller sets take more bits for each prefix.
		count = min(count-1, count*room.bytes/size*19/20)
	}
	return nil, at
}

func prefixSetOf(records []record, from Position, kind Kind) PrefixSet {
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

// riceSize returns how many bytes a set of prefixes takes.
func riceSize(prefixes []uint64) int {
	e := encoder{}
	e.riceCoded(prefixes)
	return len(e.buffer)
}
