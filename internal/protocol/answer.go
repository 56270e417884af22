package protocol

import (
	"fmt"
	"strconv"

	"larchthread/internal/transport"
)

// AnswerKind of an answer to a push.
type AnswerKind uint8

const (
	Value       AnswerKind = iota // a value was read
	Stored                        // a write was done
	Miss                          // the host does not hold the key
	Busy                          // turned away, never run
	Failure                       // an error; it may have run
	ClientError                   // the command is held for wrong; it may have run
)

// Answer is what a cache host or the origin says to a push.
type Answer struct {
	Kind       AnswerKind
	ID         string // of the op it answers; empty where errors don't tell
	Value      transport.Chain
	StreamSize int // bytes of a value that Flow gives as they come; 0 where Value holds it whole
	Receipt    string
	Close      bool // the other side closes the connection behind it
	WithoutID  bool // it came in a form that tells no id

	Load []Attr // what the host tells of its load: names and values, as they came

	ErrorText string // the line, where a host says that a command is not as it should be
}

// Matches tells whether an answer can be one to the command: under its id, and of its kind.
func (a *Answer) Matches(c *Command) bool {
	switch a.Kind {
	case Busy, Failure, ClientError:
		return true
	case Value:
		return (a.WithoutID || a.ID == c.ID) && c.Verb == Get
	case Stored:
		return (a.WithoutID || a.ID == c.ID) && c.Verb == Set && token(a.Receipt)
	}
	return a.ID == c.ID
}

// token tells whether s can stand as a word of a line.
func token(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return len(s) < lineMost/2
}

// AnswerReader takes an answer off the front of a connection's bytes. It returns nil while none is whole.
// After an error nothing further can be read.
type AnswerReader interface {
	Next(in *transport.Chain) (*Answer, error)
	// Flow moves up to most bytes of the value of the last answer to out, and tells whether that was its end.
	StreamValue(in, out *transport.Chain, most int) (over bool, err error)
	// End takes word that the other side has closed the connection in good order; it returns the answer that this ends.
	Finish() *Answer
	BufferedBytes() int // bytes of an unfinished answer that it holds
	Free()              // gives them back
}

// HostAnswerReader reads the answers of a cache host.
type HostAnswerReader struct {
	value *Answer // whose value is still on its way
	size  int
}

// Next implements Reader.
func (r *HostAnswerReader) Next(in *transport.Chain) (*Answer, error) {
	if r.value == nil {
		line, whole, err := takeLine(in)
		if !whole {
			return nil, err
		}
		a, size, err := answer(line)
		if err != nil || a.Kind != Value {
			return a, err
		}
		r.value, r.size = a, size
	}
	if r.size > MaxBufferedValueBytes {
		return r.flows()
	}
	value, whole, err := takeValue(in, r.size)
	if !whole {
		return nil, err
	}
	a := r.value
	a.Value, r.value = value, nil
	return a, nil
}

// flows gives the answer whose value is long as soon as its line has come.
func (r *HostAnswerReader) flows() (*Answer, error) {
	if r.value.StreamSize > 0 {
		return nil, fmt.Errorf("more than the value")
	}
	r.value.StreamSize = r.size
	return r.value, nil
}

// StreamValue implements Reader.
func (r *HostAnswerReader) StreamValue(in, out *transport.Chain, most int) (bool, error) {
	r.size -= move(in, out, min(r.size, most))
	if r.size > 0 || in.Len() < 2 {
		return false, nil
	}
	end := in.SplitFront(2)
	defer end.Free()
	r.value = nil
	if string(end.Bytes()) != "\r\n" {
		return false, fmt.Errorf("no line end behind a long value")
	}
	out.WriteString("\r\n")
	return true, nil
}

// move moves up to n bytes from one chain to the other.
func move(in, out *transport.Chain, n int) int {
	n = min(n, in.Len())
	piece := in.SplitFront(n)
	out.MoveFrom(&piece)
	return n
}

// Finish implements Reader.
func (r *HostAnswerReader) Finish() *Answer { return nil }

// BufferedBytes implements Reader: what is not whole yet still stands in the connection's bytes.
func (r *HostAnswerReader) BufferedBytes() int { return 0 }

// Free implements Reader.
func (r *HostAnswerReader) Free() {}

// answer reads an answer's line. The size is that of the value that follows.
func answer(line string) (*Answer, int, error) {
	words := words(line)
	if len(words) == 0 {
		return nil, 0, fmt.Errorf("an empty line")
	}
	a, size, flags := &Answer{}, 0, words[1:]
	switch words[0] {
	case "VA":
		var err error
		if size, flags, err = length("VA", flags); err != nil {
			return nil, 0, err
		}
		a.Kind = Value
	case "HD":
		a.Kind = Stored
	case "EN":
		a.Kind = Miss
	case "SERVER_ERROR":
		a.Kind = Failure
		if len(flags) > 0 && flags[0] == "busy" {
			a.Kind = Busy
		}
		return a, 0, nil
	case "CLIENT_ERROR", "ERROR":
		a.Kind, a.ErrorText = ClientError, line
		return a, 0, nil
	default:
		return nil, 0, fmt.Errorf("unknown answer %q", clip(words[0]))
	}
	for _, f := range flags {
		switch f[0] {
		case 'O':
			a.ID = f[1:]
		case 'c':
			a.Receipt = f[1:]
		}
	}
	return a, size, nil
}

// WriteStreamHeader begins the answer to a client whose value flows.
func WriteStreamHeader(out *transport.Chain, c *Command, a *Answer) {
	out.WriteString("VA " + strconv.Itoa(a.StreamSize) + " O" + c.ID + "\r\n")
}

// WriteAnswer passes an answer on to a client. It takes the value's bytes.
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

// WriteNack tells a client that trying again is harmless, in backoff ms at the earliest.
func WriteNack(out *transport.Chain, backoff float64) {
	out.Write(AppendNack(make([]byte, 0, 32), backoff))
}

// AppendNack appends the same to bytes.
func AppendNack(to []byte, backoff float64) []byte {
	to = append(to, "SERVER_ERROR busy"...)
	if ms := int64(backoff + 0.5); ms > 0 {
		to = strconv.AppendInt(append(to, ' '), ms, 10)
	}
	return append(to, "\r\n"...)
}

// WriteDeadLetter tells a client that its op has failed, with no word on whether it ran.
func WriteDeadLetter(out *transport.Chain) { out.WriteString("SERVER_ERROR failed\r\n") }

// WriteClientError tells a client what is wrong with its command.
func WriteClientError(out *transport.Chain, err error) {
	out.WriteString("CLIENT_ERROR " + err.Error() + "\r\n")
}

// WritePong answers a ping.
func WritePong(out *transport.Chain) { out.WriteString("MN\r\n") }
