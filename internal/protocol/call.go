package protocol

import (
	"fmt"
	"net/http"
	"strings"

	"larchthread/internal/transport"
)

const callMost = 4 << 10 // bytes of a call's body: an id, and a line end

// AdminRequest is one call of an operator over HTTP/1.1.
type AdminRequest struct {
	Method string
	Path   string // without what follows a question mark
	Body   string
}

// RequestError is why a call can't be read, with the status that says so.
type RequestError struct {
	Status int
	Text   string
}

func (f *RequestError) Error() string { return f.Text }

func bad(form string, args ...any) *RequestError {
	return &RequestError{http.StatusBadRequest, fmt.Sprintf(form, args...)}
}

// AdminRequestReader reads the one call of a connection.
type AdminRequestReader struct {
	call   *AdminRequest
	lines  int
	size   int // bytes of the body; below 0 while not told
	inBody bool
}

// Next takes the call off the front. It returns nil while it is not whole. After an error nothing further can be read.
func (r *AdminRequestReader) Next(in *transport.Chain) (*AdminRequest, *RequestError) {
	for !r.inBody {
		line, whole, err := takeLine(in)
		switch {
		case err != nil:
			return nil, bad("%v", err)
		case !whole:
			return nil, nil
		}
		if r.lines++; r.lines > headMost {
			return nil, bad("a head of over %d lines", headMost)
		}
		if f := r.line(line); f != nil {
			return nil, f
		}
	}
	n := max(r.size, 0)
	if in.Len() < n {
		return nil, nil
	}
	text := string(in.Bytes())
	if strings.Trim(text[n:], "\r\n") != "" { // a line end too many does no harm
		return nil, bad("more than one call")
	}
	r.call.Body = text[:n]
	in.Free()
	return r.call, nil
}

// line takes a line of the head.
func (r *AdminRequestReader) line(line string) *RequestError {
	switch {
	case r.call == nil:
		words := strings.Split(line, " ")
		if len(words) != 3 || !token(words[0]) || !strings.HasPrefix(words[1], "/") || !token(words[1]) ||
			words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0" {
			return bad("request line %q", clip(line))
		}
		path, _, _ := strings.Cut(words[1], "?")
		r.call, r.size = &AdminRequest{Method: words[0], Path: path}, -1
		return nil
	case line == "":
		r.inBody = true
		return nil
	}
	name, value, found := strings.Cut(line, ":")
	if !found || !token(name) || name == "" {
		return bad("header %q", clip(line))
	}
	value = strings.TrimSpace(value)
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length":
		n, err := number(value, callMost)
		if err != nil {
			return bad("Content-Length %q, want 0 to %d", clip(value), callMost)
		}
		if r.size >= 0 && r.size != n {
			return bad("Content-Length %d and %d", r.size, n)
		}
		r.size = n
	case "Transfer-Encoding":
		return &RequestError{http.StatusLengthRequired, "a body without Content-Length"}
	}
	return nil
}

// WriteAdminResponse answers a call; the connection ends behind it.
func WriteAdminResponse(out *transport.Chain, status int, text string) {
	out.WriteString(fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"+
		"Connection: close\r\n\r\n%s", status, http.StatusText(status), len(text), text))
}
