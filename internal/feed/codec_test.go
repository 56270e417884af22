package feed

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// sampleMessages returns at least one message of each type.
func sampleMessages() []Message {
	from := Position{Epoch: 3, Sequence: 1000}
	purge := func(sequence uint64, key string) Change {
		return Change{Kind: 1, Position: Position{Epoch: 3, Sequence: sequence}, Key: []byte(key)}
	}
	setting := func(at Position, key, value string) Change {
		return Change{Kind: 0, Position: at, Key: []byte(key), Value: []byte(value)}
	}
	later := Position{Epoch: 4, Sequence: 1003}
	return []Message{
		Hello{
			Version: Version, Cluster: "fleet", ID: "node-1", Role: Relay, KindsChecksum: 1 << 31, Epoch: 3, Probe: true,
			Stamp: 77, Age: 5 * time.Millisecond, SinceReceived: time.Second, Positions: []Position{from, {}},
		},
		Hello{Version: Version, Cluster: "fleet", ID: "node-2", Role: Subscriber, Age: AgeUnknown},
		Refused{Reason: RefusedFull},
		Ping{Stamp: 1 << 40},
		Heartbeat{Epoch: 3, Echo: 12, Age: AgeUnknown, SourceAge: time.Second, Positions: []Position{from}},
		Batch{
			Kind: 1, From: from, Epoch: 3, Echo: 9, Age: 0,
			Changes: []Change{purge(1001, "abcdefgh"), purge(1002, "ijklmnop")},
		},
		Batch{Kind: 0, From: Position{Epoch: 3, Sequence: 1002}, Epoch: 4, Changes: []Change{setting(later, "k", "value")}},
		Batch{Kind: 1, From: from, Epoch: 3, Changes: []Change{purge(1001, "short"), purge(1002, "longer")}},
		PrefixSet{Kind: 1, From: from, To: later, Echo: 8, Age: time.Minute, PrefixBits: 24, Prefixes: []uint64{0, 1, 1<<24 - 1}},
		PrefixSet{Kind: 1, From: from, To: later, PrefixBits: 24},
		Snapshot{
			From: Position{}, At: later, Echo: 4, Age: AgeUnknown, Last: true, CompleteAt: later,
			Entries: []Change{setting(from, "a", "1"), setting(later, "b", "")},
		},
		Snapshot{Kind: 0, From: from, At: later},
		WindowReset{Kind: 1, From: from, To: later, Echo: 2, Age: time.Second},
		Goodbye{},
	}
}

func TestCodecRoundTrip(t *testing.T) {
	var stream bytes.Buffer
	for _, message := range sampleMessages() {
		normal := withoutEmptySlices(message)
		frame := Encode(message)
		got, length, err := DecodeFrame(frame, DefaultFrameLimit)
		if err != nil || length != len(frame) || !reflect.DeepEqual(got, normal) {
			t.Errorf("frame of %#v came back as %#v, length %d of %d, error %v", normal, got, length, len(frame), err)
		}
		stream.Write(frame)
	}
	decoder := NewDecoder(&stream, DefaultFrameLimit)
	for _, message := range sampleMessages() {
		got, err := decoder.Decode()
		if err != nil || !reflect.DeepEqual(got, withoutEmptySlices(message)) {
			t.Errorf("stream gave %#v, %v; want %#v", got, err, message)
		}
	}
	if _, err := decoder.Decode(); !errors.Is(err, io.EOF) {
		t.Errorf("end of the stream: error %v", err)
	}
}

// withoutEmptySlices returns a message as the decoder returns it: empty values are nil.
func withoutEmptySlices(message Message) Message {
	if snapshot, ok := message.(Snapshot); ok {
		for i := range snapshot.Entries {
			if len(snapshot.Entries[i].Value) == 0 {
				snapshot.Entries[i].Value = nil
			}
		}
	}
	return message
}

func TestCodecRefusesTruncatedFrames(t *testing.T) {
	for _, message := range sampleMessages() {
		frame := Encode(message)
		for length := range len(frame) {
			if got, _, err := DecodeFrame(frame[:length], DefaultFrameLimit); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%d of %d bytes of %T gave %v, %v", length, len(frame), message, got, err)
			}
			wanted := io.ErrUnexpectedEOF
			if length == 0 {
				wanted = io.EOF
			}
			_, err := NewDecoder(bytes.NewReader(frame[:length]), DefaultFrameLimit).Decode()
			if !errors.Is(err, wanted) {
				t.Errorf("%d of %d bytes of %T: the stream gave %v, want %v", length, len(frame), message, err, wanted)
			}
		}
	}
}

func TestCodecRefusesCorruptedFrames(t *testing.T) {
	for _, message := range sampleMessages() {
		frame := Encode(message)
		for at := range frame[1:] {
			corrupted := slices.Clone(frame)
			corrupted[at+1] ^= 1 << (at % 8)
			if got, _, err := DecodeFrame(corrupted, DefaultFrameLimit); !errors.Is(err, ErrChecksum) {
				t.Errorf("byte %d of %T corrupted: got %v, %v", at+1, message, got, err)
			}
		}
	}
}

func TestCodecRefusesLongFrames(t *testing.T) {
	frame := Encode(Ping{Stamp: 1 << 40})
	limit := len(frame) - checksumLength - 1
	if _, _, err := DecodeFrame(frame, limit); err != nil {
		t.Errorf("a payload at the limit was refused: %v", err)
	}
	if _, _, err := DecodeFrame(frame, limit-1); !errors.Is(err, ErrFrameTooLong) {
		t.Errorf("a payload over the limit gave %v", err)
	}
	if _, err := NewDecoder(bytes.NewReader(frame), limit-1).Decode(); !errors.Is(err, ErrFrameTooLong) {
		t.Errorf("a payload over the limit gave %v from the stream", err)
	}
	endless := bytes.Repeat([]byte{0xff}, 2*binary.MaxVarintLen64)
	if _, _, err := DecodeFrame(endless, DefaultFrameLimit); !errors.Is(err, ErrFrameTooLong) {
		t.Errorf("an unterminated length gave %v", err)
	}
	if _, err := NewDecoder(bytes.NewReader(endless), DefaultFrameLimit).Decode(); err == nil {
		t.Error("the stream accepted an unterminated length")
	}
}

func TestPrefixesTakeFewBits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, count := range []int{1, 50, 200, 1000} {
		prefixes := make([]uint64, count)
		for i := range prefixes {
			prefixes[i] = random.Uint64() >> (64 - prefixBits)
		}
		slices.Sort(prefixes)
		prefixes = slices.Compact(prefixes)
		e := encoder{}
		e.ricePrefixes(prefixes)
		d := decoder{rest: e.buffer}
		if got := d.ricePrefixes(prefixBits); !slices.Equal(got, prefixes) || len(d.rest) > 0 {
			t.Errorf("%d prefixes came back as %d, %d bytes left", len(prefixes), len(got), len(d.rest))
		}
		if bytesEach := float64(len(e.buffer)) / float64(count); count >= 200 && bytesEach > 2.4 {
			t.Errorf("%d prefixes take %.2f bytes each", count, bytesEach)
		}
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for _, message := range sampleMessages() {
		f.Add(Encode(message))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, length, err := DecodeFrame(data, DefaultFrameLimit)
		if err == nil && length > len(data) {
			t.Fatalf("length %d of %d bytes", length, len(data))
		}
		if err != nil {
			// Hardly any fuzzed input has a valid checksum: decode the fields without it.
			message = decodeFuzzed(data)
		}
		if message == nil {
			return
		}
		again, _, err := DecodeFrame(Encode(message), 1<<24)
		if err != nil || !reflect.DeepEqual(again, message) {
			t.Fatalf("%#v came back as %#v, %v", message, again, err)
		}
	})
}

// decodeFuzzed decodes data as a payload without a checksum.
func decodeFuzzed(data []byte) Message {
	if len(data) == 0 {
		return nil
	}
	d := decoder{rest: data[1:]}
	message := decodeFields(&d, messageType(data[0]))
	if d.failed || len(d.rest) > 0 {
		return nil
	}
	return message
}
