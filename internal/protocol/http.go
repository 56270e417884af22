package protocol

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"larchthread/internal/transport"
)

// part of a response that is read next.
type part uint8

const (
	statusLine part = iota
	head
	sizedBody
	chunkSize
	chunkBody
	trailer
	bodyToEnd
	flowing // a long body, which its reader is given as it comes
)

// Response is an HTTP response.
type Response struct {
	Status       int
	RequestID    string // of the op that it says it answers; empty where it tells none
	NotProcessed bool   // the origin says that the op never ran
	Close        bool   // the connection closes behind it
	Body         transport.Chain
	Load         []Attr // the load report
	StreamSize   int    // bytes of a body that is still to come
}

// ResponseReader reads HTTP/1.1 responses from the bytes of a connection.
type ResponseReader struct {
	MaxBodyBytes   int  // bytes of a body
	RequireFraming bool // the head has to tell how the body ends: in a length, in chunks, or with a connection that it says closes
	StreamAbove    int  // bytes of a body above which the response is given before its body, if it tells a length; 0 for never

	part    part
	closes  bool // the head says that the connection closes behind the response
	size    int  // bytes to come of the body or the chunk; below 0 while not told
	chunked bool // the chunks tell the body's size
	lines   int
	answer  *Response
}

// Next takes a response off the front. It returns nil while none is whole.
func (r *ResponseReader) Next(in *transport.Chain) (*Response, error) {
	for {
		switch r.part {
		case sizedBody, chunkBody:
			n := min(r.size, in.Len())
			if n > 0 {
				piece := in.SplitFront(n)
				r.answer.Body.MoveFrom(&piece)
				r.size -= n
			}
			if r.size > 0 {
				return nil, nil
			}
			if r.part == sizedBody {
				return r.done(), nil
			}
			if in.Len() < 2 {
				return nil, nil
			}
			if line, whole := in.ReadLine(); !whole || line != "" {
				return nil, fmt.Errorf("no line end behind a chunk")
			}
			r.part = chunkSize
		case flowing:
			return nil, errors.New("more than the body")
		case bodyToEnd:
			r.answer.Body.MoveFrom(in)
			if r.answer.Body.Len() > r.MaxBodyBytes {
				return nil, fmt.Errorf("a body of over %d bytes", r.MaxBodyBytes)
			}
			return nil, nil
		default:
			line, whole, err := takeLine(in)
			if !whole {
				return nil, err
			}
			a, err := r.line(in, line)
			if a != nil || err != nil {
				return a, err
			}
		}
	}
}

// Finish takes word that the connection has ended; it returns the response that this makes whole.
func (r *ResponseReader) Finish() *Response {
	if r.part != bodyToEnd {
		return nil
	}
	return r.done()
}

// Free gives back what an unfinished response holds.
func (r *ResponseReader) Free() {
	if r.answer != nil {
		r.answer.Body.Free()
	}
}

func (r *ResponseReader) done() *Response {
	a := r.answer
	r.part, r.answer = statusLine, nil
	return a
}

// line takes a line of a head, of a chunk's size or of a trailer.
func (r *ResponseReader) line(in *transport.Chain, line string) (*Response, error) {
	switch r.part {
	case statusLine:
		version, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := number(code, 999)
		if version != "HTTP/1.1" && version != "HTTP/1.0" || err != nil || len(code) != 3 || status < 100 {
			return nil, fmt.Errorf("status line %q", clip(line))
		}
		r.part, r.lines, r.size, r.chunked, r.closes = head, 0, -1, false, false
		r.answer = &Response{Status: status, Close: version == "HTTP/1.0", Body: in.NewSibling()}
	case chunkSize:
		hex, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(hex), 16, 31)
		switch {
		case err != nil:
			return nil, fmt.Errorf("chunk size %q", clip(line))
		case int(n)+r.answer.Body.Len() > r.MaxBodyBytes:
			return nil, fmt.Errorf("a body of over %d bytes", r.MaxBodyBytes)
		}
		if r.size, r.part = int(n), chunkBody; n == 0 {
			r.part, r.lines = trailer, 0
		}
	case trailer:
		if line == "" {
			return r.done(), nil
		}
		return nil, r.count()
	case head:
		if line != "" {
			return nil, r.header(line)
		}
		switch {
		case r.answer.Status < 200: // word that the answer is on its way
			r.done()
		case r.chunked && r.size >= 0:
			return nil, errors.New("a length and chunks")
		case r.chunked:
			r.part = chunkSize
		case r.StreamAbove > 0 && r.size > r.StreamAbove:
			r.part, r.answer.StreamSize = flowing, r.size
			return r.answer, nil
		case r.size >= 0:
			r.part = sizedBody
		case r.answer.Status == http.StatusNoContent || r.answer.Status == http.StatusNotModified:
			return r.done(), nil
		case r.RequireFraming && !r.closes:
			return nil, errors.New("a body without a length")
		default:
			r.part, r.answer.Close = bodyToEnd, true
		}
	}
	return nil, nil
}

func (r *ResponseReader) count() error {
	if r.lines++; r.lines > headMost {
		return fmt.Errorf("a head of over %d lines", headMost)
	}
	return nil
}

// header takes a line of a head.
func (r *ResponseReader) header(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found {
		return fmt.Errorf("header %q", clip(line))
	}
	value = strings.TrimSpace(value)
	switch http.CanonicalHeaderKey(strings.TrimSpace(name)) {
	case "Content-Length":
		n, err := number(value, r.MaxBodyBytes)
		if err != nil {
			return fmt.Errorf("Content-Length %q, want 0 to %d", clip(value), r.MaxBodyBytes)
		}
		if r.size >= 0 && r.size != n { // nobody can tell which of them is true
			return fmt.Errorf("Content-Length %d and %d", r.size, n)
		}
		r.size = n
	case "Transfer-Encoding":
		if r.chunked || !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("Transfer-Encoding %q", clip(value))
		}
		r.chunked = true
	case "X-Request-Id":
		r.answer.RequestID = value
	case "Connection":
		if strings.EqualFold(value, "close") {
			r.answer.Close, r.closes = true, true
		}
	case "X-Server-Load":
		r.answer.Load = loads(value)
	case "X-Not-Processed":
		r.answer.NotProcessed = value == "1"
	}
	return r.count()
}

// loads reads a load report. What is no name with a value is left out: a report that can't be read costs nothing but
// itself.
func loads(text string) (all []Attr) {
	for pair := range strings.SplitSeq(text, ",") {
		if name, value, found := strings.Cut(strings.TrimSpace(pair), "="); found && name != "" && len(all) < loadMost {
			all = append(all, Attr{name, value})
		}
	}
	return all
}

// OriginAnswerReader reads the origin's answers.
type OriginAnswerReader struct {
	IsWrite   bool // whether the push on the connection is a write
	responses ResponseReader
}

// NewOriginAnswerReader makes a reader of the origin's answers.
func NewOriginAnswerReader() *OriginAnswerReader {
	return &OriginAnswerReader{responses: ResponseReader{MaxBodyBytes: valueMost, RequireFraming: true, StreamAbove: MaxBufferedValueBytes}}
}

// Next implements Reader.
func (f *OriginAnswerReader) Next(in *transport.Chain) (*Answer, error) {
	r, err := f.responses.Next(in)
	if r == nil {
		return nil, err
	}
	return f.answer(r), nil
}

// StreamValue implements Reader.
func (f *OriginAnswerReader) StreamValue(in, out *transport.Chain, most int) (bool, error) {
	r := &f.responses
	if r.size -= move(in, out, min(r.size, most)); r.size > 0 {
		return false, nil
	}
	r.done()
	out.WriteString("\r\n")
	return true, nil
}

// Finish implements Reader.
func (f *OriginAnswerReader) Finish() *Answer {
	if r := f.responses.Finish(); r != nil {
		return f.answer(r)
	}
	return nil
}

// BufferedBytes implements Reader.
func (f *OriginAnswerReader) BufferedBytes() int {
	if f.responses.answer == nil {
		return 0
	}
	return f.responses.answer.Body.Len()
}

// Free implements Reader.
func (f *OriginAnswerReader) Free() { f.responses.Free() }

func (f *OriginAnswerReader) answer(r *Response) *Answer {
	a := &Answer{Kind: Failure, ID: r.RequestID, Close: r.Close, WithoutID: r.RequestID == "", Load: r.Load}
	long := r.StreamSize > 0 && (f.IsWrite || r.Status != http.StatusOK) // nobody wants that: the connection is of no more use
	a.Close = a.Close || long
	switch {
	case r.Status == http.StatusOK && long:
	case r.Status == http.StatusOK && f.IsWrite:
		a.Kind, a.Receipt = Stored, string(r.Body.Bytes())
	case r.Status == http.StatusOK:
		a.Kind, a.Value, a.StreamSize = Value, r.Body, r.StreamSize
		return a
	case r.Status >= 400 && r.Status < 500:
		a.Kind, a.ErrorText = ClientError, http.StatusText(r.Status)
	case r.NotProcessed && (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusGatewayTimeout):
		a.Kind = Busy
	}
	r.Body.Free()
	return a
}

// WriteOriginRequest passes a command on to the origin, which hears that the answer is waited for d ms.
func WriteOriginRequest(out *transport.Chain, c *Command, host string, d int) (s ValueWriter) {
	method := http.MethodGet
	if c.Verb == Set {
		method = http.MethodPut
	}
	fmt.Fprintf(out, "%s /%s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Attrs: ", method,
		url.PathEscape(c.Key), host, c.ID)
	c.attrs(out, d)
	if c.Verb == Set {
		fmt.Fprintf(out, "\r\nContent-Length: %d", c.Value.Len())
	}
	out.WriteString("\r\n\r\n")
	if c.Verb == Set {
		s = ValueWriter{value: &c.Value}
		s.WriteNext(out)
	}
	return s
}
