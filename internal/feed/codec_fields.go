package feed

import (
	"math"
	"time"
)

// maxAgeMilliseconds is the largest age that a time.Duration holds, AgeUnknown apart.
const maxAgeMilliseconds = uint64(math.MaxInt64/int64(time.Millisecond)) - 1

func encodeFields(e *encoder, message Message) {
	switch m := message.(type) {
	case Hello:
		encodeHello(e, m)
	case Refused:
		e.buffer = append(e.buffer, byte(m.Reason))
	case Ping:
		e.number(uint64(m.Stamp))
	case Heartbeat:
		e.number(m.Epoch)
		e.number(uint64(m.Echo))
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
		e.number(uint64(m.Echo))
		e.age(m.Age)
	case Goodbye:
	}
}

// decodeFields returns nil for an unknown type.
func decodeFields(d *decoder, kind messageType) Message {
	switch kind {
	case typeHello:
		return decodeHello(d)
	case typeRefused:
		return Refused{Reason: RefusalReason(d.octet())}
	case typePing:
		return Ping{Stamp: Stamp(d.number())}
	case typeHeartbeat:
		return Heartbeat{
			Epoch: d.number(), Echo: Stamp(d.number()), Age: d.age(), SourceAge: d.age(), Positions: d.positions(),
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
		m.Echo, m.Age = Stamp(d.number()), d.age()
		return m
	case typeGoodbye:
		return Goodbye{}
	}
	return nil
}

func encodeHello(e *encoder, m Hello) {
	e.number(m.Version)
	e.bytes([]byte(m.Cluster))
	e.bytes([]byte(m.ID))
	e.buffer = append(e.buffer, byte(m.Role))
	e.number(uint64(m.KindsChecksum))
	e.number(m.Epoch)
	e.flag(m.Probe)
	e.number(uint64(m.Stamp))
	e.age(m.Age)
	e.age(m.SinceReceived)
	e.positions(m.Positions)
}

func decodeHello(d *decoder) Message {
	return Hello{
		Version: d.number(), Cluster: d.name(), ID: d.name(), Role: Role(d.octet()), KindsChecksum: d.checksum(), Epoch: d.number(),
		Probe: d.flag(), Stamp: Stamp(d.number()), Age: d.age(), SinceReceived: d.age(),
		Positions: d.positions(),
	}
}

// encodeBatch writes the length of keys and of values once where all have the same, as those of purges do.
func encodeBatch(e *encoder, m Batch) {
	e.buffer = append(e.buffer, byte(m.Kind))
	e.position(m.From)
	e.number(m.Epoch - m.From.Epoch)
	e.number(uint64(m.Echo))
	e.age(m.Age)
	e.number(uint64(len(m.Changes)))
	keyLength := commonLength(m.Changes, Change.key)
	valueLength := commonLength(m.Changes, Change.value)
	e.number(keyLength)
	e.number(valueLength)
	for _, change := range m.Changes {
		e.field(change.Key, keyLength)
		e.field(change.Value, valueLength)
	}
}

func decodeBatch(d *decoder) Message {
	m := Batch{Kind: Kind(d.octet()), From: d.position()}
	m.Epoch = m.From.Epoch + d.number()
	m.Echo, m.Age = Stamp(d.number()), d.age()
	count := d.number()
	keyLength, valueLength := d.number(), d.number()
	// A key is at least one byte long.
	if count > uint64(len(d.rest)) || m.Epoch < m.From.Epoch {
		d.fail()
		return m
	}
	m.Changes = make([]Change, count)
	for i := range m.Changes {
		position := Position{Epoch: m.Epoch, Sequence: m.From.Sequence + uint64(i) + 1}
		m.Changes[i] = Change{Kind: m.Kind, Position: position, Key: d.field(keyLength), Value: d.field(valueLength)}
		d.requireKey(m.Changes[i].Key)
	}
	return m
}

func (c Change) key() []byte   { return c.Key }
func (c Change) value() []byte { return c.Value }

// commonLength returns the length of a field plus one where it is the same in all changes, else zero.
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

// field writes a value with its length, unless that is common to all.
func (e *encoder) field(value []byte, common uint64) {
	if common == 0 {
		e.bytes(value)
		return
	}
	e.buffer = append(e.buffer, value...)
}

func (d *decoder) field(common uint64) []byte {
	if common == 0 {
		return d.bytes()
	}
	return d.take(common - 1)
}

func (d *decoder) requireKey(key []byte) {
	if len(key) == 0 || len(key) > MaxKeyLength {
		d.fail()
	}
}

func encodePrefixSet(e *encoder, m PrefixSet) {
	e.span(m.Kind, m.From, m.To)
	e.number(uint64(m.Echo))
	e.age(m.Age)
	e.buffer = append(e.buffer, byte(m.PrefixBits))
	e.riceCoded(m.Prefixes)
}

func decodePrefixSet(d *decoder) Message {
	m := PrefixSet{}
	m.Kind, m.From, m.To = d.span()
	m.Echo, m.Age = Stamp(d.number()), d.age()
	m.PrefixBits = int(d.octet())
	if m.PrefixBits < 1 || m.PrefixBits > maxPrefixBits {
		d.fail()
		return m
	}
	m.Prefixes = d.riceCoded(m.PrefixBits)
	return m
}

func encodeSnapshot(e *encoder, m Snapshot) {
	e.span(m.Kind, m.From, m.At)
	e.number(uint64(m.Echo))
	e.age(m.Age)
	e.flag(m.Last)
	e.position(m.CompleteAt)
	e.number(uint64(len(m.Entries)))
	previous := m.From
	for _, entry := range m.Entries {
		e.step(previous, entry.Position)
		e.bytes(entry.Key)
		e.bytes(entry.Value)
		previous = entry.Position
	}
}

func decodeSnapshot(d *decoder) Message {
	m := Snapshot{}
	m.Kind, m.From, m.At = d.span()
	m.Echo, m.Age, m.Last, m.CompleteAt = Stamp(d.number()), d.age(), d.flag(), d.position()
	const leastEntryBits = 5 * 8 // the step's two numbers, the two lengths, and one byte of key
	count := d.count(leastEntryBits)
	previous := m.From
	for range count {
		entry := Change{Kind: m.Kind, Position: d.step(previous), Key: d.bytes(), Value: d.bytes()}
		d.requireKey(entry.Key)
		m.Entries = append(m.Entries, entry)
		previous = entry.Position
	}
	if previous.Compare(m.At) > 0 {
		d.fail()
	}
	return m
}

func (e *encoder) position(p Position) {
	e.number(p.Epoch)
	e.number(p.Sequence)
}

func (d *decoder) position() Position {
	return Position{Epoch: d.number(), Sequence: d.number()}
}

// step writes a position as its way from an earlier one.
func (e *encoder) step(from, to Position) {
	e.number(to.Epoch - from.Epoch)
	if to.Epoch == from.Epoch {
		e.number(to.Sequence - from.Sequence)
		return
	}
	e.number(to.Sequence)
}

// step reads a position that has to be later than from.
func (d *decoder) step(from Position) Position {
	epoch, sequence := d.number(), d.number()
	if epoch == 0 {
		sequence += from.Sequence
	}
	to := Position{Epoch: from.Epoch + epoch, Sequence: sequence}
	if to.Compare(from) <= 0 {
		d.fail()
	}
	return to
}

// span writes a kind and two positions of it, of which the second is later.
func (e *encoder) span(kind Kind, from, to Position) {
	e.buffer = append(e.buffer, byte(kind))
	e.position(from)
	e.step(from, to)
}

func (d *decoder) span() (Kind, Position, Position) {
	kind := Kind(d.octet())
	from := d.position()
	return kind, from, d.step(from)
}

func (e *encoder) positions(positions []Position) {
	e.number(uint64(len(positions)))
	for _, position := range positions {
		e.position(position)
	}
}

func (d *decoder) positions() []Position {
	const leastPositionBits = 2 * 8
	count := d.count(leastPositionBits)
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

// age writes an age in milliseconds, rounded up, plus one. Zero stands for AgeUnknown.
func (e *encoder) age(age time.Duration) {
	if age == AgeUnknown {
		e.number(0)
		return
	}
	milliseconds := uint64(age / time.Millisecond)
	if age%time.Millisecond > 0 {
		milliseconds++
	}
	e.number(milliseconds + 1)
}

func (d *decoder) age() time.Duration {
	value := d.number()
	if value == 0 {
		return AgeUnknown
	}
	if value-1 > maxAgeMilliseconds {
		d.fail()
		return AgeUnknown
	}
	return time.Duration(value-1) * time.Millisecond
}

// name reads a string that is not longer than a name may be.
func (d *decoder) name() string {
	value := d.bytes()
	if len(value) > maxNameLength {
		d.fail()
	}
	return string(value)
}

func (d *decoder) checksum() uint32 {
	value := d.number()
	if value > math.MaxUint32 {
		d.fail()
	}
	return uint32(value)
}
