package feed

import "io"

// DefaultFrameLimit is a limit on the length of a frame that every message of a node is under.
const DefaultFrameLimit = 1 << 20

// Encode returns a message as one frame.
func Encode(message Message) []byte { return nil }

// Decoder reads messages from a stream.
type Decoder struct {
	reader io.Reader
	limit  int
}

// NewDecoder returns a decoder that refuses frames longer than limit.
func NewDecoder(reader io.Reader, limit int) *Decoder { return &Decoder{reader: reader, limit: limit} }

// Decode returns the next message, or io.EOF at the end of the stream between two frames.
func (d *Decoder) Decode() (Message, error) { return nil, io.EOF }

// DecodeFrame returns the message of the frame at the head of data, and the frame's length. It returns
// io.ErrUnexpectedEOF where the frame isn't whole.
func DecodeFrame(data []byte, limit int) (Message, int, error) { return nil, 0, nil }
