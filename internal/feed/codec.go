package feed

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"slices"
)

// A frame consists of the payload's length as a varint, the payload, and the payload's CRC-32C as four little-endian bytes.
// The payload is a byte for the message type followed by the message's fields.

const (
	// DefaultFrameLimit is a limit on the payload length in bytes that no message of a node exceeds.
	DefaultFrameLimit = 64 << 10

	checksumLength = 4
	// initialFrameCapacity is the initial capacity of a frame's buffer in bytes.
	initialFrameCapacity = 128
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns a message encoded as one frame.
func Encode(message Message) []byte {
	// The length precedes a payload of unknown size: reserve space for the longest varint and trim what is unused.
	e := encoder{buffer: make([]byte, binary.MaxVarintLen32, initialFrameCapacity)}
	e.buffer = append(e.buffer, byte(message.messageType()))
	encodeFields(&e, message)
	payload := e.buffer[binary.MaxVarintLen32:]
	length := binary.AppendUvarint(nil, uint64(len(payload)))
	frame := binary.LittleEndian.AppendUint32(e.buffer, crc32.Checksum(payload, castagnoli))
	start := binary.MaxVarintLen32 - len(length)
	copy(frame[start:], length)
	return frame[start:]
}

// DecodeFrame decodes the frame at the start of data and returns its message and the frame's length in bytes. The message
// shares memory with data. A payload longer than limit bytes gives ErrFrameTooLong, an incomplete frame
// io.ErrUnexpectedEOF, and a corrupt one ErrChecksum or ErrMalformed.
func DecodeFrame(data []byte, limit int) (Message, int, error) {
	length, headerLength := binary.Uvarint(data)
	switch {
	case headerLength == 0:
		return nil, 0, io.ErrUnexpectedEOF
	case headerLength < 0 || length > uint64(limit):
		return nil, 0, ErrFrameTooLong
	}
	end := headerLength + int(length) + checksumLength
	if len(data) < end {
		return nil, 0, io.ErrUnexpectedEOF
	}
	message, err := decodePayload(data[headerLength:end])
	return message, end, err
}

// decodePayload decodes a payload that is followed by its checksum. It returns ErrChecksum or ErrMalformed if it is corrupt.
func decodePayload(data []byte) (Message, error) {
	payload := data[:len(data)-checksumLength]
	checksum := binary.LittleEndian.Uint32(data[len(payload):])
	if checksum != crc32.Checksum(payload, castagnoli) {
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

// NewDecoder returns a decoder that rejects payloads longer than limit bytes.
func NewDecoder(reader io.Reader, limit int) *Decoder {
	return &Decoder{reader: bufio.NewReader(reader), limit: limit}
}

// Decode returns the next message, or io.EOF if the stream ends between two frames. After any error the decoder must not be
// used again.
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

// encoder appends encoded fields to a buffer.
type encoder struct {
	buffer []byte
}

func (e *encoder) uvarint(value uint64) {
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
	e.uvarint(uint64(len(value)))
	e.buffer = append(e.buffer, value...)
}

// decoder consumes fields from the start of rest. After the first invalid field, failed is set and all further fields read
// as zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) fail() {
	d.failed = true
	d.rest = nil
}

func (d *decoder) uvarint() uint64 {
	value, length := binary.Uvarint(d.rest)
	if length <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[length:]
	return value
}

// count reads a number of items, and fails if the remaining data is too short for that many items of itemBits bits each.
func (d *decoder) count(itemBits int) int {
	value := d.uvarint()
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

// take returns the next length bytes, or nil if length is zero.
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
	return d.take(d.uvarint())
}
