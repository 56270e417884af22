package feed

import (
	"math"
	"time"
)

// maxAgeMilliseconds is the largest age other than AgeUnknown that fits a time.Duration.
const maxAgeMilliseconds = uint64(math.MaxInt64/int64(time.Millisecond)) - 1

// encodeFields appends the fields of a message to the encoder's buffer, in the format that decodeFields reads.
func encodeFields(e *encoder, message Message) {
	switch m := message.(type) {
	case Hello:
		encodeHello(e, m)
	case Refused:
		e.buffer = append(e.buffer, byte(m.Reason))
	case Ping:
		e.uvarint(uint64(m.Stamp))
	case Heartbeat:
		e.uvarint(m.Epoch)
		e.uvarint(uint64(m.Echo))
		e.age(m.Age)
		e.age(m.SourceAge)
		e.positions(m.Positions)
	case Batch:
		encodeBatch(e, m)
	case PrefixSet:
		encodePrefixSet(e, m)
	case Snapshot:
		encodeSnapshot(e, m)
	case WindowReset:
		e.span(m.Kind, m.From, m.To)
		e.uvarint(uint64(m.Echo))
		e.age(m.Age)
	case Goodbye:
	}
}

// decodeFields decodes the fields of a message. It returns nil for an unknown type.
func decodeFields(d *decoder, kind messageType) Message {
	switch kind {
	case typeHello:
		return decodeHello(d)
	case typeRefused:
		return Refused{Reason: RefusalReason(d.octet())}
	case typePing:
		return Ping{Stamp: Stamp(d.uvarint())}
	case typeHeartbeat:
		return Heartbeat{
			Epoch: d.uvarint(), Echo: Stamp(d.uvarint()), Age: d.age(), SourceAge: d.age(), Positions: d.positions(),
		}
	case typeBatch:
		return decodeBatch(d)
	case typePrefixSet:
		return decodePrefixSet(d)
	case typeSnapshot:
		return decodeSnapshot(d)
	case typeWindowReset:
		m := WindowReset{}
		m.Kind, m.From, m.To = d.span()
		m.Echo, m.Age = Stamp(d.uvarint()), d.age()
		return m
	case typeGoodbye:
		return Goodbye{}
	}
	return nil
}

func encodeHello(e *encoder, m Hello) {
	e.uvarint(m.Version)
	e.bytes([]byte(m.Cluster))
	e.bytes([]byte(m.ID))
	e.buffer = append(e.buffer, byte(m.Role))
	e.uvarint(uint64(m.KindsChecksum))
	e.uvarint(m.Epoch)
	e.flag(m.Probe)
	e.uvarint(uint64(m.Stamp))
	e.age(m.Age)
	e.age(m.SinceReceived)
	e.positions(m.Positions)
}

func decodeHello(d *decoder) Message {
	return Hello{
		Version: d.uvarint(), Cluster: d.name(), ID: d.name(), Role: Role(d.octet()),
		KindsChecksum: d.checksum(), Epoch: d.uvarint(), Probe: d.flag(),
		Stamp: Stamp(d.uvarint()), Age: d.age(), SinceReceived: d.age(), Positions: d.positions(),
	}
}

// encodeBatch writes the length of the keys, and of the values, only once if all are equal, as those of purges are.
func encodeBatch(e *encoder, m Batch) {
	e.buffer = append(e.buffer, byte(m.Kind))
	e.position(m.From)
	e.uvarint(m.Epoch - m.From.Epoch)
	e.uvarint(uint64(m.Echo))
	e.age(m.Age)
	e.uvarint(uint64(len(m.Changes)))
	keyLength := commonLength(m.Changes, Change.key)
	valueLength := commonLength(m.Changes, Change.value)
	e.uvarint(keyLength)
	e.uvarint(valueLength)
	for _, change := range m.Changes {
		e.field(change.Key, keyLength)
		e.field(change.Value, valueLength)
	}
}

func decodeBatch(d *decoder) Message {
	m := Batch{Kind: Kind(d.octet()), From: d.position()}
	m.Epoch = m.From.Epoch + d.uvarint()
	m.Echo, m.Age = Stamp(d.uvarint()), d.age()
	count := d.uvarint()
	keyLength, valueLength := d.uvarint(), d.uvarint()
	// Each key takes at least one byte.
	if count > uint64(len(d.rest)) || m.Epoch < m.From.Epoch {
		d.fail()
		return m
	}
	m.Changes = make([]Change, count)
	for i := range m.Changes {
		position := Position{Epoch: m.Epoch, Sequence: m.From.Sequence + uint64(i) + 1}
		m.Changes[i] = Change{Kind: m.Kind, Position: position, Key: d.field(keyLength), Value: d.field(valueLength)}
		d.validateKey(m.Changes[i].Key)
	}
	return m
}

func (c Change) key() []byte   { return c.Key }
func (c Change) value() []byte { return c.Value }

// commonLength returns one plus the length of a field if it is equal in all changes, otherwise zero.
func commonLength(changes []Change, field func(Change) []byte) uint64 {
	if len(changes) == 0 {
		return 0
	}
	length := len(field(changes[0]))
	for _, change := range changes[1:] {
		if len(field(change)) != length {
			return 0
		}
	}
	return uint64(length) + 1
}

// field writes a value, preceded by its length unless common (see commonLength) already gives it.
func (e *encoder) field(value []byte, common uint64) {
	if common == 0 {
		e.bytes(value)
		return
	}
	e.buffer = append(e.buffer, value...)
}

// field reads a value whose length is given by common (see commonLength) or, if common is zero, precedes the value.
func (d *decoder) field(common uint64) []byte {
	if common == 0 {
		return d.bytes()
	}
	return d.take(common - 1)
}

// validateKey fails if the length of a key is not within 1 to MaxKeyLength.
func (d *decoder) validateKey(key []byte) {
	if len(key) == 0 || len(key) > MaxKeyLength {
		d.fail()
	}
}

func encodePrefixSet(e *encoder, m PrefixSet) {
	e.span(m.Kind, m.From, m.To)
	e.uvarint(uint64(m.Echo))
	e.age(m.Age)
	e.buffer = append(e.buffer, byte(m.PrefixBits))
	e.ricePrefixes(m.Prefixes)
}

func decodePrefixSet(d *decoder) Message {
	m := PrefixSet{}
	m.Kind, m.From, m.To = d.span()
	m.Echo, m.Age = Stamp(d.uvarint()), d.age()
	m.PrefixBits = int(d.octet())
	if m.PrefixBits < 1 || m.PrefixBits > maxPrefixBits {
		d.fail()
		return m
	}
	m.Prefixes = d.ricePrefixes(m.PrefixBits)
	return m
}

func encodeSnapshot(e *encoder, m Snapshot) {
	e.span(m.Kind, m.From, m.At)
	e.uvarint(uint64(m.Echo))
	e.age(m.Age)
	e.flag(m.Last)
	e.position(m.CompleteAt)
	e.uvarint(uint64(len(m.Entries)))
	previous := m.From
	for _, entry := range m.Entries {
		e.positionDelta(previous, entry.Position)
		e.bytes(entry.Key)
		e.bytes(entry.Value)
		previous = entry.Position
	}
}

func decodeSnapshot(d *decoder) Message {
	m := Snapshot{}
	m.Kind, m.From, m.At = d.span()
	m.Echo, m.Age, m.Last, m.CompleteAt = Stamp(d.uvarint()), d.age(), d.flag(), d.position()
	const minEntryBits = 5 * 8 // the step's two numbers, the two lengths, and one byte of key
	count := d.count(minEntryBits)
	previous := m.From
	for range count {
		entry := Change{Kind: m.Kind, Position: d.positionDelta(previous), Key: d.bytes(), Value: d.bytes()}
		d.validateKey(entry.Key)
		m.Entries = append(m.Entries, entry)
		previous = entry.Position
	}
	if previous.Compare(m.At) > 0 {
		d.fail()
	}
	return m
}

func (e *encoder) position(p Position) {
	e.uvarint(p.Epoch)
	e.uvarint(p.Sequence)
}

func (d *decoder) position() Position {
	return Position{Epoch: d.uvarint(), Sequence: d.uvarint()}
}

// positionDelta writes a position as the difference from an earlier one.
func (e *encoder) positionDelta(from, to Position) {
	e.uvarint(to.Epoch - from.Epoch)
	if to.Epoch == from.Epoch {
		e.uvarint(to.Sequence - from.Sequence)
		return
	}
	e.uvarint(to.Sequence)
}

// positionDelta reads a position, which must be later than from.
func (d *decoder) positionDelta(from Position) Position {
	epoch, sequence := d.uvarint(), d.uvarint()
	if epoch == 0 {
		sequence += from.Sequence
	}
	to := Position{Epoch: from.Epoch + epoch, Sequence: sequence}
	if to.Compare(from) <= 0 {
		d.fail()
	}
	return to
}

// span writes a kind and two of its positions, the second one as a difference from the first.
func (e *encoder) span(kind Kind, from, to Position) {
	e.buffer = append(e.buffer, byte(kind))
	e.position(from)
	e.positionDelta(from, to)
}

// span reads a kind and two of its positions. It fails if the second one is not later than the first.
func (d *decoder) span() (Kind, Position, Position) {
	kind := Kind(d.octet())
	from := d.position()
	return kind, from, d.positionDelta(from)
}

// positions writes the number of positions, then each of them.
func (e *encoder) positions(positions []Position) {
	e.uvarint(uint64(len(positions)))
	for _, position := range positions {
		e.position(position)
	}
}

// positions reads a list of positions. It fails if there are more than maxKinds.
func (d *decoder) positions() []Position {
	const minPositionBits = 2 * 8
	count := d.count(minPositionBits)
	if count > maxKinds {
		d.fail()
		return nil
	}
	var positions []Position
	for range count {
		positions = append(positions, d.position())
	}
	return positions
}

// age writes an age as one plus its milliseconds, rounded up. Zero stands for AgeUnknown.
func (e *encoder) age(age time.Duration) {
	if age == AgeUnknown {
		e.uvarint(0)
		return
	}
	milliseconds := uint64(age / time.Millisecond)
	if age%time.Millisecond > 0 {
		milliseconds++
	}
	e.uvarint(milliseconds + 1)
}

// age reads an age in whole milliseconds, or AgeUnknown. It fails if the age exceeds maxAgeMilliseconds.
func (d *decoder) age() time.Duration {
	value := d.uvarint()
	if value == 0 {
		return AgeUnknown
	}
	if value-1 > maxAgeMilliseconds {
		d.fail()
		return AgeUnknown
	}
	return time.Duration(value-1) * time.Millisecond
}

// name reads a string of at most maxNameLength bytes.
func (d *decoder) name() string {
	value := d.bytes()
	if len(value) > maxNameLength {
		d.fail()
	}
	return string(value)
}

func (d *decoder) checksum() uint32 {
	value := d.uvarint()
	if value > math.MaxUint32 {
		d.fail()
	}
	return uint32(value)
}
