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

// A log is a sequence of records. The first holds the log's header, each following one the changes of one write:
//
//	marker   4 bytes
//	length   4 bytes, little endian, of the payload in bytes
//	checksum 4 bytes, little endian, CRC32C of length and payload
//	payload
//
// The marker serves to find intact records after a damaged one.
const (
	logVersion       = 1
	recordHeaderSize = 12
	maxRecordSize    = 64 << 20
)

var (
	recordMarker = []byte{0xfe, 'L', 'T', 'F'}
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)

	errRecordDamaged  = errors.New("record is truncated or its checksum does not match")
	errPayloadInvalid = errors.New("record's checksum matches but its payload is malformed")
)

// logHeader identifies a log's format, cluster and kinds of changes.
type logHeader struct {
	Version uint64
	Cluster string
	Kinds   []string
}

// newLogHeader returns the header of the log for a publisher's configuration.
func newLogHeader(config feed.Config) logHeader {
	header := logHeader{Version: logVersion, Cluster: config.Cluster}
	for _, kind := range config.Kinds {
		header.Kinds = append(header.Kinds, kind.Name)
	}
	return header
}

// String describes the header for error messages.
func (h logHeader) String() string {
	return fmt.Sprintf("cluster %q with kinds %s (format %d)", h.Cluster, strings.Join(h.Kinds, ", "), h.Version)
}

// encode returns the header as a record's payload.
func (h logHeader) encode() []byte {
	payload := binary.AppendUvarint(nil, h.Version)
	payload = appendBytes(payload, []byte(h.Cluster))
	payload = binary.AppendUvarint(payload, uint64(len(h.Kinds)))
	for _, kind := range h.Kinds {
		payload = appendBytes(payload, []byte(kind))
	}
	return payload
}

// decodeLogHeader decodes a payload made by encode. It returns errPayloadInvalid for malformed or trailing bytes.
func decodeLogHeader(payload []byte) (logHeader, error) {
	reader := payloadDecoder{rest: payload}
	header := logHeader{Version: reader.uvarint(), Cluster: string(reader.bytes())}
	for count := reader.uvarint(); count > 0 && !reader.failed; count-- {
		header.Kinds = append(header.Kinds, string(reader.bytes()))
	}
	if reader.failed || len(reader.rest) > 0 {
		return logHeader{}, errPayloadInvalid
	}
	return header, nil
}

// encodeChanges returns changes as a record's payload.
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

// decodeChanges decodes a payload made by encodeChanges. It returns errPayloadInvalid if the payload is malformed.
func decodeChanges(payload []byte) ([]feed.Change, error) {
	var changes []feed.Change
	reader := payloadDecoder{rest: payload}
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

// appendBytes appends a value with its length in front, as an unsigned varint.
func appendBytes(to, value []byte) []byte {
	to = binary.AppendUvarint(to, uint64(len(value)))
	return append(to, value...)
}

// payloadDecoder reads values from a payload. After the first malformed or missing value, failed is set and all reads return
// zero values.
type payloadDecoder struct {
	rest   []byte
	failed bool
}

// fail marks the payload as malformed and drops the rest of it.
func (r *payloadDecoder) fail() {
	r.rest, r.failed = nil, true
}

// byte reads one byte.
func (r *payloadDecoder) byte() byte {
	if len(r.rest) == 0 {
		r.fail()
		return 0
	}
	value := r.rest[0]
	r.rest = r.rest[1:]
	return value
}

// uvarint reads an unsigned varint.
func (r *payloadDecoder) uvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// bytes reads a value written by appendBytes. It shares memory with the payload.
func (r *payloadDecoder) bytes() []byte {
	length := r.uvarint()
	if length > uint64(len(r.rest)) {
		r.fail()
		return nil
	}
	value := r.rest[:length]
	r.rest = r.rest[length:]
	return value
}

// appendRecord appends a record with the given payload.
func appendRecord(to, payload []byte) []byte {
	length := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	to = append(to, recordMarker...)
	to = append(to, length...)
	to = binary.LittleEndian.AppendUint32(to, recordChecksum(length, payload))
	return append(to, payload...)
}

// recordChecksum returns the CRC32C of a record's encoded length and payload.
func recordChecksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// readRecord returns the payload of the record at the start of data and the size, in bytes, of the whole record. It returns
// errRecordDamaged if the record is truncated, too large or fails its checksum.
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

// containsRecord reports whether an intact record begins anywhere in data.
func containsRecord(data []byte) bool {
	for {
		offset := bytes.Index(data, recordMarker)
		if offset < 0 {
			return false
		}
		if _, _, err := readRecord(data[offset:]); err == nil {
			return true
		}
		data = data[offset+1:]
	}
}
