package protocol

import (
	"fmt"
	"strconv"

	"larchthread/internal/transport"
)

// AnswerKind tells how a cache host or the origin responded to a push.
type AnswerKind uint8

const (
	Value       AnswerKind = iota // a value was read
	Stored                        // a write was done
	Miss                          // the host does not hold the key
	Busy                          // rejected before it ran
	Failure                       // an error; the command may have run
	ClientError                   // the command was rejected as invalid; it may have run
)

// Answer is the answer of a cache host or of the origin to a push.
type Answer struct {
	Kind       AnswerKind
	ID         string // id of the answered op; empty where the answer carries none, as errors do
	Value      transport.Chain
	StreamSize int    // bytes of a value that StreamValue delivers as they arrive; 0 where Value holds all of it
	Receipt    string // token that a completed write returns
	Close      bool   // the other side closes the connection after this answer
	WithoutID  bool   // a response of the origin that carries no id

	Load []Attr // names and values of the load report, unparsed

	ErrorText string // for ClientError: the line or status text that rejects the command
}

// Matches tells whether the answer can be one to c. Errors match every command. A miss has to carry c's id; so do
// values and receipts unless they are WithoutID, and they have to be of the kind that c asks for.
func (a *Answer) Matches(c *Command) bool {
	switch a.Kind {
	case Busy, Failure, ClientError:
		return true
	case Value:
		return (a.WithoutID || a.ID == c.ID) && c.Verb == Get
	case Stored:
		return (a.WithoutID || a.ID == c.ID) && c.Verb == Set && isToken(a.Receipt)
	}
	return a.ID == c.ID
}

// isToken tells whether s fits into a line as one word: it has no blanks or control characters and less than half the
// length that a line may have.
func isToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return len(s) < maxLineBytes/2
}

// AnswerReader parses answers from the bytes of one connection. After an error the connection's bytes can't be parsed
// any further.
type AnswerReader interface {
	// Next removes the next answer from in. It returns nil while the answer is incomplete.
	Next(in *transport.Chain) (*Answer, error)
	// StreamValue moves up to maxBytes bytes of the last answer's value from in to out, and returns true once all of it
	// has been moved. It is called only after an answer with a StreamSize above 0.
	StreamValue(in, out *transport.Chain, maxBytes int) (done bool, err error)
	// ArrivedShare returns the share of the current answer's value that has arrived, in being what has not been read;
	// 0 where its length is not known.
	ArrivedShare(in *transport.Chain) float64
	// Finish tells the reader that the other side has closed the connection in an orderly way. It returns the
	// answer that this completes, or nil.
	Finish() *Answer
	BufferedBytes() int // bytes of an incomplete answer that the reader itself holds
	Free()              // returns their buffers to the pool
}

// HostAnswerReader reads the answers of a cache host, in the memcache meta protocol.
type HostAnswerReader struct {
	pending   *Answer // answer whose value is incomplete, or nil
	remaining int     // bytes of that value still to be read
}

// Next implements AnswerReader.
func (r *HostAnswerReader) Next(in *transport.Chain) (*Answer, error) {
	if r.pending == nil {
		line, complete, err := takeLine(in)
		if !complete {
			return nil, err
		}
		a, size, err := parseAnswer(line)
		if err != nil || a.Kind != Value {
			return a, err
		}
		r.pending, r.remaining = a, size
	}
	if r.remaining > MaxBufferedValueBytes {
		return r.startStream()
	}
	value, complete, err := takeValue(in, r.remaining)
	if !complete {
		return nil, err
	}
	a := r.pending
	a.Value, r.pending = value, nil
	return a, nil
}

// startStream returns the pending answer before its long value has arrived. Calling it again before the value's end is
// an error.
func (r *HostAnswerReader) startStream() (*Answer, error) {
	if r.pending.StreamSize > 0 {
		return nil, fmt.Errorf("more than the value")
	}
	r.pending.StreamSize = r.remaining
	return r.pending, nil
}

// StreamValue implements AnswerReader.
func (r *HostAnswerReader) StreamValue(in, out *transport.Chain, maxBytes int) (bool, error) {
	r.remaining -= moveBytes(in, out, min(r.remaining, maxBytes))
	if r.remaining > 0 || in.Len() < 2 {
		return false, nil
	}
	end := in.SplitFront(2)
	defer end.Free()
	r.pending = nil
	if string(end.Bytes()) != "\r\n" {
		return false, fmt.Errorf("no line end behind a long value")
	}
	out.WriteString("\r\n")
	return true, nil
}

// moveBytes moves up to n bytes from in to out and returns how many.
func moveBytes(in, out *transport.Chain, n int) int {
	n = min(n, in.Len())
	piece := in.SplitFront(n)
	out.MoveFrom(&piece)
	return n
}

// ArrivedShare implements AnswerReader.
func (r *HostAnswerReader) ArrivedShare(in *transport.Chain) float64 {
	if r.pending == nil || r.remaining == 0 {
		return 0
	}
	return min(1, float64(in.Len())/float64(r.remaining))
}

// Finish implements AnswerReader. The end of a connection completes no answer of a cache host.
func (r *HostAnswerReader) Finish() *Answer { return nil }

// BufferedBytes implements AnswerReader. An incomplete answer stays in the connection's input.
func (r *HostAnswerReader) BufferedBytes() int { return 0 }

// Free implements AnswerReader.
func (r *HostAnswerReader) Free() {}

// parseAnswer parses the line of an answer. It returns the size of the value that follows in bytes.
func parseAnswer(line string) (*Answer, int, error) {
	word, flags := cutField(line)
	a, size := &Answer{}, 0
	switch word {
	case "":
		return nil, 0, fmt.Errorf("an empty line")
	case "VA":
		var err error
		if size, flags, err = takeLength("VA", flags); err != nil {
			return nil, 0, err
		}
		a.Kind = Value
	case "HD":
		a.Kind = Stored
	case "EN":
		a.Kind = Miss
	case "SERVER_ERROR":
		a.Kind = Failure
		if reason, _ := cutField(flags); reason == "busy" {
			a.Kind = Busy
		}
		return a, 0, nil
	case "CLIENT_ERROR", "ERROR":
		a.Kind, a.ErrorText = ClientError, line
		return a, 0, nil
	default:
		return nil, 0, fmt.Errorf("unknown answer %q", truncate(word))
	}
	for f := range fields(flags) {
		switch f[0] {
		case 'O':
			a.ID = f[1:]
		case 'c':
			a.Receipt = f[1:]
		}
	}
	return a, size, nil
}

// WriteStreamHeader writes the first line of a streamed answer to a client.
func WriteStreamHeader(out *transport.Chain, c *Command, a *Answer) {
	out.WriteString("VA " + strconv.Itoa(a.StreamSize) + " O" + c.ID + "\r\n")
}

// WriteAnswer sends an answer on to a client. It moves the bytes of a.Value to out.
func WriteAnswer(out *transport.Chain, c *Command, a *Answer) {
	if a.Kind == Stored {
		out.WriteString("HD O" + c.ID + " c" + a.Receipt + "\r\n")
		return
	}
	var digits [20]byte
	out.WriteString("VA ")
	out.Write(strconv.AppendInt(digits[:0], int64(a.Value.Len()), 10))
	out.WriteString(" O")
	out.WriteString(c.ID)
	out.WriteString("\r\n")
	out.MoveFrom(&a.Value)
	out.WriteString("\r\n")
}

// WriteNack tells a client that its op did not run and may be retried, after backoff ms at the earliest.
func WriteNack(out *transport.Chain, backoff float64) {
	out.Write(AppendNack(make([]byte, 0, 32), backoff))
}

// AppendNack appends the answer that WriteNack writes to a byte slice.
func AppendNack(to []byte, backoff float64) []byte {
	to = append(to, "SERVER_ERROR busy"...)
	if ms := int64(backoff + 0.5); ms > 0 {
		to = strconv.AppendInt(append(to, ' '), ms, 10)
	}
	return append(to, "\r\n"...)
}

// WriteDeadLetter tells a client that its op has failed and may or may not have run.
func WriteDeadLetter(out *transport.Chain) { out.WriteString("SERVER_ERROR failed\r\n") }

// WriteClientError tells a client what is wrong with its command.
func WriteClientError(out *transport.Chain, err error) {
	out.WriteString("CLIENT_ERROR " + err.Error() + "\r\n")
}

// WritePong answers a ping.
func WritePong(out *transport.Chain) { out.WriteString("MN\r\n") }
