package feed

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"slices"
)

// A frame is the length of its payload as a varint, the payload, and the payload's CRC32C in four bytes. The payload is the
// message's type in one byte and its fields.

const (
	// DefaultFrameLimit is a limit on the length of a payload that every message of a node is under.
	DefaultFrameLimit = 64 << 10

	checksumLength = 4
	// typicalFrame is the capacity that a frame's buffer starts with.
	typicalFrame = 128
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns a message as one frame.
func Encode(message Message) []byte {
	// The length goes in front of a payload of unknown length: room for the longest is left, and the rest cut off.
	e := encoder{buffer: make([]byte, binary.MaxVarintLen32, typicalFrame)}
	e.buffer = append(e.buffer, byte(message.messageType()))
	encodeFields(&e, message)
	payload := e.buffer[binary.MaxVarintLen32:]
	length := binary.AppendUvarint(nil, uint64(len(payload)))
	frame := binary.LittleEndian.AppendUint32(e.buffer, crc32.Checksum(payload, castagnoli))
	start := binary.MaxVarintLen32 - len(length)
	copy(frame[start:], length)
	return frame[start:]
}

// DecodeFrame returns the message of the frame at the head of data, and the frame's length. The message shares data's
// memory. The error is io.ErrUnexpectedEOF where the frame isn't whole.
func DecodeFrame(data []byte, limit int) (Message, int, error) {
	length, head := binary.Uvarint(data)
	switch {
	case head == 0:
		return nil, 0, io.ErrUnexpectedEOF
	case head < 0 || length > uint64(limit):
		return nil, 0, ErrFrameTooLong
	}
	end := head + int(length) + checksumLength
	if len(data) < end {
		return nil, 0, io.ErrUnexpectedEOF
	}
	message, err := decodePayload(data[head:end])
	return message, end, err
}

// decodePayload takes a payload with its checksum behind it.
func decodePayload(data []byte) (Message, error) {
	payload := data[:len(data)-checksumLength]
	sum := binary.LittleEndian.Uint32(data[len(payload):])
	if sum != crc32.Checksum(payload, castagnoli) {
		return nil, ErrChecksum
	}
	if len(payload) == 0 {
		return nil, ErrMalformed
	}
	d := decoder{rest: payload[1:]}
	message := decodeFields(&d, messageType(payload[0]))
	if message == nil || d.failed || len(d.rest) > 0 {
		return nil, ErrMalformed
	}
	return message, nil
}

// Decoder reads messages from a stream.
type Decoder struct {
	reader *bufio.Reader
	limit  int
}

// NewDecoder returns a decoder that refuses payloads longer than limit.
func NewDecoder(reader io.Reader, limit int) *Decoder {
	return &Decoder{reader: bufio.NewReader(reader), limit: limit}
}

// Decode returns the next message, or io.EOF at the end of the stream between two frames. After any error the stream can't
// be read on.
func (d *Decoder) Decode() (Message, error) {
	length, err := binary.ReadUvarint(d.reader)
	if err != nil {
		return nil, err
	}
	if length > uint64(d.limit) {
		return nil, ErrFrameTooLong
	}
	data := make([]byte, int(length)+checksumLength)
	if _, err := io.ReadFull(d.reader, data); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return decodePayload(data)
}

// encoder appends fields.
type encoder struct {
	buffer []byte
}

func (e *encoder) number(value uint64) {
	e.buffer = binary.AppendUvarint(e.buffer, value)
}

func (e *encoder) flag(value bool) {
	var bit byte
	if value {
		bit = 1
	}
	e.buffer = append(e.buffer, bit)
}

func (e *encoder) bytes(value []byte) {
	e.number(uint64(len(value)))
	e.buffer = append(e.buffer, value...)
}

// decoder takes fields off the head of rest. After a field that can't be read it has failed, and returns zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) fail() {
	d.failed = true
	d.rest = nil
}

func (d *decoder) number() uint64 {
	value, length := binary.Uvarint(d.rest)
	if length <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[length:]
	return value
}

// count reads the number of items of which each takes at least itemBits in what is left.
func (d *decoder) count(itemBits int) int {
	value := d.number()
	if value > uint64(len(d.rest))*8/uint64(itemBits) {
		d.fail()
		return 0
	}
	return int(value)
}

func (d *decoder) octet() byte {
	if len(d.rest) == 0 {
		d.fail()
		return 0
	}
	value := d.rest[0]
	d.rest = d.rest[1:]
	return value
}

func (d *decoder) flag() bool {
	value := d.octet()
	if value > 1 {
		d.fail()
	}
	return value == 1
}

// take returns the next length bytes, nil where length is zero.
func (d *decoder) take(length uint64) []byte {
	if length > uint64(len(d.rest)) {
		d.fail()
		return nil
	}
	if length == 0 {
		return nil
	}
	value := d.rest[:length]
	d.rest = d.rest[length:]
	return slices.Clip(value)
}

func (d *decoder) bytes() []byte {
	return d.take(d.number())
}
