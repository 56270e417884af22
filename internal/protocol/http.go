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

// responsePart is the part of a response that is parsed next.
type responsePart uint8

const (
	statusLine responsePart = iota
	head
	sizedBody
	chunkSize
	chunkBody
	trailer
	bodyToEnd
	streaming // a long body, which the caller reads by itself
)

// Response is a parsed HTTP response.
type Response struct {
	Status       int
	RequestID    string // id of the op from X-Request-Id; empty where the header is missing
	NotProcessed bool   // the origin states that the op did not run
	Close        bool   // the connection closes after it
	Body         transport.Chain
	Load         []Attr // the load report
	StreamSize   int    // bytes of a body that is not in Body but still to be read; 0 for none
}

// ResponseReader parses HTTP/1.1 responses from the bytes of one connection.
type ResponseReader struct {
	MaxBodyBytes   int  // longer bodies are an error
	RequireFraming bool // the head has to tell how the body ends: by Content-Length, chunks, or Connection: close
	StreamAbove    int  // a body with a Content-Length of more bytes is streamed: the response is returned before it; 0 for never

	part          responsePart
	closeDeclared bool // the response has the header Connection: close
	remaining     int  // bytes left of the body or chunk; below 0 while unknown
	chunked       bool // the body is in chunks
	headLines     int
	response      *Response
}

// Next removes the next response from in. It returns nil while the response is incomplete. After an error the
// connection's bytes can't be parsed any further.
func (r *ResponseReader) Next(in *transport.Chain) (*Response, error) {
	for {
		switch r.part {
		case sizedBody, chunkBody:
			n := min(r.remaining, in.Len())
			if n > 0 {
				piece := in.SplitFront(n)
				r.response.Body.MoveFrom(&piece)
				r.remaining -= n
			}
			if r.remaining > 0 {
				return nil, nil
			}
			if r.part == sizedBody {
				return r.takeResponse(), nil
			}
			if in.Len() < 2 {
				return nil, nil
			}
			if line, complete := in.ReadLine(); !complete || line != "" {
				return nil, fmt.Errorf("no line end behind a chunk")
			}
			r.part = chunkSize
		case streaming:
			return nil, errors.New("more than the body")
		case bodyToEnd:
			r.response.Body.MoveFrom(in)
			if r.response.Body.Len() > r.MaxBodyBytes {
				return nil, fmt.Errorf("a body of over %d bytes", r.MaxBodyBytes)
			}
			return nil, nil
		default:
			line, complete, err := takeLine(in)
			if !complete {
				return nil, err
			}
			a, err := r.parseLine(in, line)
			if a != nil || err != nil {
				return a, err
			}
		}
	}
}

// Finish tells the reader that the connection has ended. It returns the response that this completes, or nil.
func (r *ResponseReader) Finish() *Response {
	if r.part != bodyToEnd {
		return nil
	}
	return r.takeResponse()
}

// Free releases the buffers of an incomplete response.
func (r *ResponseReader) Free() {
	if r.response != nil {
		r.response.Body.Free()
	}
}

// takeResponse returns the current response and prepares for the next.
func (r *ResponseReader) takeResponse() *Response {
	a := r.response
	r.part, r.response = statusLine, nil
	return a
}

// parseLine parses a line of a head, of a chunk's size or of a trailer. It returns the response where the line ends it,
// or where its body is streamed.
func (r *ResponseReader) parseLine(in *transport.Chain, line string) (*Response, error) {
	switch r.part {
	case statusLine:
		version, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := parseDigits(code, 999)
		if version != "HTTP/1.1" && version != "HTTP/1.0" || err != nil || len(code) != 3 || status < 100 {
			return nil, fmt.Errorf("status line %q", truncate(line))
		}
		r.part, r.headLines, r.remaining, r.chunked, r.closeDeclared = head, 0, -1, false, false
		r.response = &Response{Status: status, Close: version == "HTTP/1.0", Body: in.NewSibling()}
	case chunkSize:
		hex, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(hex), 16, 31)
		switch {
		case err != nil:
			return nil, fmt.Errorf("chunk size %q", truncate(line))
		case int(n)+r.response.Body.Len() > r.MaxBodyBytes:
			return nil, fmt.Errorf("a body of over %d bytes", r.MaxBodyBytes)
		}
		if r.remaining, r.part = int(n), chunkBody; n == 0 {
			r.part, r.headLines = trailer, 0
		}
	case trailer:
		if line == "" {
			return r.takeResponse(), nil
		}
		return nil, r.countHeadLine()
	case head:
		if line != "" {
			return nil, r.parseHeader(line)
		}
		switch {
		case r.response.Status < 200: // informational: the final response follows
			r.takeResponse()
		case r.chunked && r.remaining >= 0:
			return nil, errors.New("a length and chunks")
		case r.chunked:
			r.part = chunkSize
		case r.StreamAbove > 0 && r.remaining > r.StreamAbove:
			r.part, r.response.StreamSize = streaming, r.remaining
			return r.response, nil
		case r.remaining >= 0:
			r.part = sizedBody
		case r.response.Status == http.StatusNoContent || r.response.Status == http.StatusNotModified:
			return r.takeResponse(), nil
		case r.RequireFraming && !r.closeDeclared:
			return nil, errors.New("a body without a length")
		default:
			r.part, r.response.Close = bodyToEnd, true
		}
	}
	return nil, nil
}

// countHeadLine fails once a head or trailer has too many lines.
func (r *ResponseReader) countHeadLine() error {
	if r.headLines++; r.headLines > maxHeadLines {
		return fmt.Errorf("a head of over %d lines", maxHeadLines)
	}
	return nil
}

// parseHeader parses a header of the response.
func (r *ResponseReader) parseHeader(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found {
		return fmt.Errorf("header %q", truncate(line))
	}
	value = strings.TrimSpace(value)
	switch http.CanonicalHeaderKey(strings.TrimSpace(name)) {
	case "Content-Length":
		n, err := parseDigits(value, r.MaxBodyBytes)
		if err != nil {
			return fmt.Errorf("Content-Length %q, want 0 to %d", truncate(value), r.MaxBodyBytes)
		}
		if r.remaining >= 0 && r.remaining != n { // either may be wrong
			return fmt.Errorf("Content-Length %d and %d", r.remaining, n)
		}
		r.remaining = n
	case "Transfer-Encoding":
		if r.chunked || !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("Transfer-Encoding %q", truncate(value))
		}
		r.chunked = true
	case "X-Request-Id":
		r.response.RequestID = value
	case "Connection":
		if strings.EqualFold(value, "close") {
			r.response.Close, r.closeDeclared = true, true
		}
	case "X-Server-Load":
		r.response.Load = parseLoad(value)
	case "X-Not-Processed":
		r.response.NotProcessed = value == "1"
	}
	return r.countHeadLine()
}

// parseLoad parses a load report. What is not a name with a value is left out, so that a malformed report does not
// invalidate the response.
func parseLoad(text string) (all []Attr) {
	for pair := range strings.SplitSeq(text, ",") {
		if name, value, found := strings.Cut(strings.TrimSpace(pair), "="); found && name != "" && len(all) < maxLoadValues {
			all = append(all, Attr{name, value})
		}
	}
	return all
}

// OriginAnswerReader reads the origin's answers from HTTP responses.
type OriginAnswerReader struct {
	IsWrite   bool // the push on the connection is a write
	responses ResponseReader
}

// NewOriginAnswerReader makes a reader for the bytes of one connection.
func NewOriginAnswerReader() *OriginAnswerReader {
	return &OriginAnswerReader{responses: ResponseReader{
		MaxBodyBytes: maxValueBytes, RequireFraming: true, StreamAbove: MaxBufferedValueBytes}}
}

// Next implements AnswerReader.
func (f *OriginAnswerReader) Next(in *transport.Chain) (*Answer, error) {
	r, err := f.responses.Next(in)
	if r == nil {
		return nil, err
	}
	return f.toAnswer(r), nil
}

// StreamValue implements AnswerReader.
func (f *OriginAnswerReader) StreamValue(in, out *transport.Chain, maxBytes int) (bool, error) {
	r := &f.responses
	if r.remaining -= moveBytes(in, out, min(r.remaining, maxBytes)); r.remaining > 0 {
		return false, nil
	}
	r.takeResponse()
	out.WriteString("\r\n")
	return true, nil
}

// ArrivedShare implements AnswerReader. A body is taken out of the input as it arrives.
func (f *OriginAnswerReader) ArrivedShare(*transport.Chain) float64 {
	r := &f.responses
	if r.part != sizedBody {
		return 0
	}
	arrived := r.response.Body.Len()
	return float64(arrived) / float64(arrived+r.remaining)
}

// Finish implements AnswerReader.
func (f *OriginAnswerReader) Finish() *Answer {
	if r := f.responses.Finish(); r != nil {
		return f.toAnswer(r)
	}
	return nil
}

// BufferedBytes implements AnswerReader.
func (f *OriginAnswerReader) BufferedBytes() int {
	if f.responses.response == nil {
		return 0
	}
	return f.responses.response.Body.Len()
}

// Free implements AnswerReader.
func (f *OriginAnswerReader) Free() { f.responses.Free() }

// toAnswer converts a response to an answer. A streamed body of anything but a read value can't be used: the answer
// then has Close set, as the connection can't be used after it.
func (f *OriginAnswerReader) toAnswer(r *Response) *Answer {
	a := &Answer{Kind: Failure, ID: r.RequestID, Close: r.Close, WithoutID: r.RequestID == "", Load: r.Load}
	oversized := r.StreamSize > 0 && (f.IsWrite || r.Status != http.StatusOK) // streamed, but not a value
	a.Close = a.Close || oversized
	switch {
	case r.Status == http.StatusOK && oversized:
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

// WriteOriginRequest sends a command to the origin with d, the ms that the balancer waits for the answer, in place of
// the client's. The ValueWriter holds what is left of a long value.
func WriteOriginRequest(out *transport.Chain, c *Command, host string, d int) (rest ValueWriter) {
	method := http.MethodGet
	if c.Verb == Set {
		method = http.MethodPut
	}
	fmt.Fprintf(out, "%s /%s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Attrs: ", method,
		url.PathEscape(c.Key), host, c.ID)
	writeAttrs(out, c.attrs(), d)
	if c.Verb == Set {
		fmt.Fprintf(out, "\r\nContent-Length: %d", c.Value.Len())
	}
	out.WriteString("\r\n\r\n")
	if c.Verb == Set {
		rest = ValueWriter{value: &c.Value}
		rest.WriteNext(out)
	}
	return rest
}
