package feednet

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"

	"larchthread/internal/feed"
)

// A log is a sequence of records. The first is its header, each other one holds the changes of one write:
//
//	marker   4 bytes
//	length   4 bytes, of the payload, little endian
//	checksum 4 bytes, CRC32C of length and payload, little endian
//	payload
//
// The marker serves to find whole records behind one that can't be read.
const (
	logVersion       = 1
	recordHeaderSize = 12
	maxRecordSize    = 64 << 20
)

var (
	recordMarker = []byte{0xfe, 'L', 'T', 'F'}
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)

	errRecordDamaged  = errors.New("a record is cut off or has a wrong checksum")
	errPayloadInvalid = errors.New("a record has a right checksum but can't be read")
)

// logHeader says what a log holds.
type logHeader struct {
	Version uint64
	Cluster string
	Kinds   []string
}

// newLogHeader returns the header of a publisher's log.
func newLogHeader(config feed.Config) logHeader {
	header := logHeader{Version: logVersion, Cluster: config.Cluster}
	for _, kind := range config.Kinds {
		header.Kinds = append(header.Kinds, kind.Name)
	}
	return header
}

// String names the header in errors.
func (h logHeader) String() string {
	return fmt.Sprintf("cluster %q with kinds %s (format %d)", h.Cluster, strings.Join(h.Kinds, ", "), h.Version)
}

func (h logHeader) encode() []byte {
	payload := binary.AppendUvarint(nil, h.Version)
	payload = appendBytes(payload, []byte(h.Cluster))
	payload = binary.AppendUvarint(payload, uint64(len(h.Kinds)))
	for _, kind := range h.Kinds {
		payload = appendBytes(payload, []byte(kind))
	}
	return payload
}

func decodeLogHeader(payload []byte) (logHeader, error) {
	reader := payloadReader{rest: payload}
	header := logHeader{Version: reader.uvarint(), Cluster: string(reader.bytes())}
	for count := reader.uvarint(); count > 0 && !reader.failed; count-- {
		header.Kinds = append(header.Kinds, string(reader.bytes()))
	}
	if reader.failed || len(reader.rest) > 0 {
		return logHeader{}, errPayloadInvalid
	}
	return header, nil
}

func encodeChanges(changes []feed.Change) []byte {
	var payload []byte
	for _, change := range changes {
		payload = append(payload, byte(change.Kind))
		payload = binary.AppendUvarint(payload, change.Position.Epoch)
		payload = binary.AppendUvarint(payload, change.Position.Sequence)
		payload = appendBytes(payload, change.Key)
		payload = appendBytes(payload, change.Value)
	}
	return payload
}

func decodeChanges(payload []byte) ([]feed.Change, error) {
	var changes []feed.Change
	reader := payloadReader{rest: payload}
	for len(reader.rest) > 0 {
		change := feed.Change{Kind: feed.Kind(reader.byte())}
		change.Position.Epoch = reader.uvarint()
		change.Position.Sequence = reader.uvarint()
		change.Key = bytes.Clone(reader.bytes())
		change.Value = bytes.Clone(reader.bytes())
		if reader.failed {
			return nil, errPayloadInvalid
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func appendBytes(to, value []byte) []byte {
	to = binary.AppendUvarint(to, uint64(len(value)))
	return append(to, value...)
}

// payloadReader takes values off a payload. Once one is not there it has failed, and gives zero values.
type payloadReader struct {
	rest   []byte
	failed bool
}

func (r *payloadReader) fail() {
	r.rest, r.failed = nil, true
}

func (r *payloadReader) byte() byte {
	if len(r.rest) == 0 {
		r.fail()
		return 0
	}
	value := r.rest[0]
	r.rest = r.rest[1:]
	return value
}

func (r *payloadReader) uvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *payloadReader) bytes() []byte {
	length := r.uvarint()
	if length > uint64(len(r.rest)) {
		r.fail()
		return nil
	}
	value := r.rest[:length]
	r.rest = r.rest[length:]
	return value
}

// appendRecord appends a record with a payload.
func appendRecord(to, payload []byte) []byte {
	length := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	to = append(to, recordMarker...)
	to = append(to, length...)
	to = binary.LittleEndian.AppendUint32(to, recordChecksum(length, payload))
	return append(to, payload...)
}

func recordChecksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// readRecord returns the payload of the record at the head of data, and the record's size.
func readRecord(data []byte) (payload []byte, size int, err error) {
	if len(data) < recordHeaderSize || !bytes.HasPrefix(data, recordMarker) {
		return nil, 0, errRecordDamaged
	}
	length := data[4:8]
	payloadSize := binary.LittleEndian.Uint32(length)
	if payloadSize > maxRecordSize || int(payloadSize) > len(data)-recordHeaderSize {
		return nil, 0, errRecordDamaged
	}
	size = recordHeaderSize + int(payloadSize)
	payload = data[recordHeaderSize:size]
	if binary.LittleEndian.Uint32(data[8:12]) != recordChecksum(length, payload) {
		return nil, 0, errRecordDamaged
	}
	return payload, size, nil
}

// holdsRecord tells whether a whole record begins anywhere in data.
func holdsRecord(data []byte) bool {
	for {
		at := bytes.Index(data, recordMarker)
		if at < 0 {
			return false
		}
		if _, _, err := readRecord(data[at:]); err == nil {
			return true
		}
		data = data[at+1:]
	}
}
