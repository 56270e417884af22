package protocol

import (
	"fmt"
	"net/http"
	"strings"

	"larchthread/internal/transport"
)

const maxAdminBodyBytes = 4 << 10 // an operator's request holds one id and a line end

// AdminRequest is a request of an operator over HTTP/1.1.
type AdminRequest struct {
	Method string
	Path   string // without the query
	Body   string
}

// RequestError is the reason why a request can't be parsed, with the HTTP status to answer.
type RequestError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Text }

// badRequest makes an error with status 400.
func badRequest(form string, args ...any) *RequestError {
	return &RequestError{http.StatusBadRequest, fmt.Sprintf(form, args...)}
}

// AdminRequestReader parses the only request of a connection.
type AdminRequestReader struct {
	request       *AdminRequest
	headLines     int
	contentLength int // bytes of the body; below 0 while there is no Content-Length
	inBody        bool
}

// Next removes the request from in. It returns nil while the request is incomplete. After an error nothing further can
// be parsed.
func (r *AdminRequestReader) Next(in *transport.Chain) (*AdminRequest, *RequestError) {
	for !r.inBody {
		line, complete, err := takeLine(in)
		switch {
		case err != nil:
			return nil, badRequest("%v", err)
		case !complete:
			return nil, nil
		}
		if r.headLines++; r.headLines > maxHeadLines {
			return nil, badRequest("a head of over %d lines", maxHeadLines)
		}
		if f := r.parseHeadLine(line); f != nil {
			return nil, f
		}
	}
	n := max(r.contentLength, 0)
	if in.Len() < n {
		return nil, nil
	}
	text := string(in.Bytes())
	if strings.Trim(text[n:], "\r\n") != "" { // an extra line end is tolerated
		return nil, badRequest("more than one call")
	}
	r.request.Body = text[:n]
	in.Free()
	return r.request, nil
}

// parseHeadLine parses the request line, a header or the empty line that ends the head.
func (r *AdminRequestReader) parseHeadLine(line string) *RequestError {
	switch {
	case r.request == nil:
		fields := strings.Split(line, " ")
		if len(fields) != 3 || !isToken(fields[0]) || !strings.HasPrefix(fields[1], "/") || !isToken(fields[1]) ||
			fields[2] != "HTTP/1.1" && fields[2] != "HTTP/1.0" {
			return badRequest("request line %q", truncate(line))
		}
		path, _, _ := strings.Cut(fields[1], "?")
		r.request, r.contentLength = &AdminRequest{Method: fields[0], Path: path}, -1
		return nil
	case line == "":
		r.inBody = true
		return nil
	}
	name, value, found := strings.Cut(line, ":")
	if !found || !isToken(name) || name == "" {
		return badRequest("header %q", truncate(line))
	}
	value = strings.TrimSpace(value)
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length":
		n, err := parseDigits(value, maxAdminBodyBytes)
		if err != nil {
			return badRequest("Content-Length %q, want 0 to %d", truncate(value), maxAdminBodyBytes)
		}
		if r.contentLength >= 0 && r.contentLength != n {
			return badRequest("Content-Length %d and %d", r.contentLength, n)
		}
		r.contentLength = n
	case "Transfer-Encoding":
		return &RequestError{http.StatusLengthRequired, "a body without Content-Length"}
	}
	return nil
}

// WriteAdminResponse writes a plain-text response that announces the end of the connection.
func WriteAdminResponse(out *transport.Chain, status int, text string) {
	out.WriteString(fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"+
		"Connection: close\r\n\r\n%s", status, http.StatusText(status), len(text), text))
}
