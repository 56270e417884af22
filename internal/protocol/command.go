// Package protocol parses and writes what is sent over connections: the meta commands of the memcache text protocol,
// HTTP/1.1 as spoken with the origin, discovery and operators, and discovery's host lists.
//
// Readers accept bytes in pieces of any size and use no sockets.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"

	"larchthread/internal/transport"
)

const (
	MaxBufferedValueBytes = 64 << 10 // longer values are streamed
	maxValueBytes         = 4 << 20
	maxLineBytes          = 4 << 10 // fits a key, an id and the attributes
	maxKeyBytes           = 250     // limit of memcache
	maxTTL                = 1e9     // ms, about eleven days: more is an error of the client
	maxHeadLines          = 64      // lines of an HTTP head
	maxLoadValues         = 16      // values of a load report
	maxBodyBytes          = 8 << 20 // fits a list of tens of thousands of hosts

	lineEnd = "\r\n"
)

// Verb is the operation that a command asks for.
type Verb uint8

const (
	Get  Verb = iota // mg
	Set              // ms
	Ping             // mn
)

// Command is one command of a client.
type Command struct {
	Verb     Verb
	Key      string
	ID       string // from flag O
	Category string
	TTL      float64 // ms that the client waits for the answer
	Value    transport.Chain
	NoValue  bool  // its value was discarded, see CommandReader.DiscardValue
	Err      error // why the command can't be served, or nil; the commands after it can still be read

	LineBytes int // bytes of its line, which it keeps in memory

	flags string // the part of the line behind the key and the length
}

// Attr is a named value of a load report.
type Attr struct{ Name, Value string }

// CommandReader parses commands from the bytes of one connection.
type CommandReader struct {
	pending   *Command // write whose value is incomplete, or nil
	valueSize int      // bytes of that value
	discarded int      // bytes of that value that have been discarded
	line      string   // line of that command
}

// Next removes the next command from in. It returns nil while the command is incomplete. After an error the
// connection's bytes can't be parsed any further.
func (r *CommandReader) Next(in *transport.Chain) (*Command, error) {
	if r.pending == nil {
		line, complete, err := takeLine(in)
		if !complete {
			return nil, err
		}
		c, size, err := parseCommand(line)
		if err != nil || c.Verb != Set {
			return c, err
		}
		r.pending, r.valueSize, r.discarded, r.line = c, size, 0, line
	}
	value, complete, err := r.takePendingValue(in)
	if !complete {
		return nil, err
	}
	c := r.pending
	c.Value, r.pending = value, nil
	return c, nil
}

// SkipGet removes a complete get command from in, of which it parses only the category, and returns the entry of
// categories. Where the next command is incomplete, not a get, or of a category that is not in categories, it returns
// false and leaves in unchanged.
func SkipGet[T any](r *CommandReader, in *transport.Chain, categories map[string]T) (category T, skipped bool) {
	line := in.PeekLine()
	rest, isGet := bytes.CutPrefix(line, []byte("mg "))
	if !isGet || r.pending != nil {
		return category, false
	}
	rest = bytes.TrimLeft(rest, " ")
	_, attrs, _ := bytes.Cut(rest[bytes.IndexByte(rest, ' ')+1:], []byte(" P")) // starts after the key, which may contain anything
	for !bytes.HasPrefix(attrs, []byte("c=")) {
		_, rest, more := bytes.Cut(attrs, []byte(","))
		if !more {
			return category, false
		}
		attrs = rest
	}
	end := bytes.IndexAny(attrs, ", \r\n")
	if end < 0 {
		return category, false
	}
	if category, skipped = categories[string(attrs[2:end])]; skipped {
		in.Drop(len(line))
	}
	return category, skipped
}

// takeLine removes a line from in once it is complete.
func takeLine(in *transport.Chain) (line string, complete bool, err error) {
	line, complete = in.ReadLine()
	if len(line) > maxLineBytes || !complete && in.Len() > maxLineBytes {
		return "", false, fmt.Errorf("a line of over %d bytes", maxLineBytes)
	}
	return line, complete, nil
}

// takePendingValue removes the value of the pending write from in once it is complete, or discards what has arrived.
func (r *CommandReader) takePendingValue(in *transport.Chain) (value transport.Chain, complete bool, err error) {
	if !r.pending.NoValue {
		return takeValue(in, r.valueSize)
	}
	r.discardArrived(in)
	if r.discarded < r.valueSize || in.Len() < len(lineEnd) {
		return value, false, nil
	}
	err = takeLineEnd(in, r.valueSize)
	return value, err == nil, err
}

// takeValue removes a value of size bytes and the line end after it from in once both are complete.
func takeValue(in *transport.Chain, size int) (value transport.Chain, complete bool, err error) {
	if in.Len() < size+len(lineEnd) {
		return value, false, nil
	}
	value = in.SplitFront(size)
	if err = takeLineEnd(in, size); err != nil {
		value.Free()
		return value, false, err
	}
	return value, true, nil
}

// takeLineEnd removes the line end behind a value of size bytes from in.
func takeLineEnd(in *transport.Chain, size int) error {
	end := in.SplitFront(len(lineEnd))
	defer end.Free()
	if string(end.Bytes()) != lineEnd {
		return fmt.Errorf("no line end behind a value of %d bytes", size)
	}
	return nil
}

// DiscardValue discards the value of the pending write: what in holds of it and what is still to come. Once its last
// byte has arrived, Next returns the command with NoValue set and without its value.
func (r *CommandReader) DiscardValue(in *transport.Chain) {
	if r.pending != nil {
		r.pending.NoValue = true
		r.discardArrived(in)
	}
}

// discardArrived removes from in what has arrived of the value that is being discarded.
func (r *CommandReader) discardArrived(in *transport.Chain) {
	n := min(in.Len(), r.valueSize-r.discarded)
	in.Drop(n)
	r.discarded += n
}

// MissingBytes returns how many bytes behind those in in complete the pending write; 0 or less if there are none.
func (r *CommandReader) MissingBytes(in *transport.Chain) int {
	if r.pending == nil {
		return 0
	}
	return r.valueSize - r.discarded + len(lineEnd) - in.Len()
}

// IsDiscarding tells whether the value of the pending write is being discarded.
func (r *CommandReader) IsDiscarding() bool { return r.pending != nil && r.pending.NoValue }

// PendingTTL returns the TTL in ms of the write whose value is incomplete; 0 if there is none or its line is invalid.
func (r *CommandReader) PendingTTL() float64 {
	if r.pending == nil {
		return 0
	}
	return r.pending.TTL
}

// PendingLine returns the line, with its line end, of a write whose value is incomplete, or "" where there is none.
// Bytes of the value are still in the connection's input.
func (r *CommandReader) PendingLine() string {
	if r.pending == nil {
		return ""
	}
	return r.line + "\r\n"
}

// HasPending tells whether the line of a write has been read, but not all of its value.
func (r *CommandReader) HasPending() bool { return r.pending != nil }

// PendingValueBytes returns the size of the value that is incomplete, or 0.
func (r *CommandReader) PendingValueBytes() int {
	if r.pending == nil {
		return 0
	}
	return r.valueSize
}

// parseCommand parses the line of a command. It returns the size of the value that follows in bytes. An invalid command
// has its Err set. An error is returned only where the length of the value is invalid, as the bytes after the line
// can't be read then.
func parseCommand(line string) (*Command, int, error) {
	verb, rest := cutField(line)
	c, size := &Command{LineBytes: len(line)}, 0
	switch verb {
	case "":
		return &Command{Err: errors.New("an empty line")}, 0, nil
	case "mn":
		c.Verb = Ping
		return c, 0, nil
	case "mg":
		c.Verb = Get
	case "ms":
		c.Verb = Set
	default:
		return &Command{Err: fmt.Errorf("unknown command %q", truncate(verb))}, 0, nil
	}
	c.Key, c.flags = cutField(rest)
	if c.Verb == Set {
		var err error
		if size, c.flags, err = takeLength("ms", c.flags); err != nil {
			return nil, 0, err
		}
	}
	c.Err = c.parseFlags()
	return c, size, nil
}

// takeLength parses the value's length, which is the first field of a line, and returns the rest of the line. Errors
// begin with verb.
func takeLength(verb, line string) (size int, rest string, err error) {
	length, rest := cutField(line)
	if length == "" {
		return 0, "", fmt.Errorf("%s: no length", verb)
	}
	if size, err = parseDigits(length, maxValueBytes); err != nil {
		return 0, "", fmt.Errorf("%s: length %q, want 0 to %d", verb, truncate(length), maxValueBytes)
	}
	return size, rest, nil
}

// parseDigits parses a number from 0 to limit. It accepts digits only: a sign or a base prefix may mean something else
// to the next reader, or come from a corrupted line.
func parseDigits(s string, limit int) (int, error) {
	if s == "" || strings.Trim(s, "0123456789") != "" {
		return 0, fmt.Errorf("%q, want digits", truncate(s))
	}
	n, err := strconv.Atoi(s)
	if err != nil || n > limit {
		return 0, fmt.Errorf("%q, want 0 to %d", truncate(s), limit)
	}
	return n, nil
}

// cutField returns the first field of a line, which ends at a blank, and the rest of the line. The field is empty where
// the line has none.
func cutField(line string) (field, rest string) {
	field, rest, _ = strings.Cut(strings.TrimLeft(line, " "), " ")
	return field, rest
}

// fields returns the fields of a line one after another. No list of them is made: it would take many times the line's
// memory where fields are short.
func fields(line string) iter.Seq[string] {
	return strings.FieldsFuncSeq(line, func(r rune) bool { return r == ' ' })
}

// parseFlags sets the fields of the command from its flags, and returns what is missing or invalid.
func (c *Command) parseFlags() error {
	if !isToken(c.Key) {
		return errControlCharacter
	}
	for f := range fields(c.flags) {
		if !isToken(f) {
			return errControlCharacter
		}
	}
	hasAttrs := false
	for f := range fields(c.flags) {
		switch f[0] {
		case 'O':
			if c.ID != "" {
				return errors.New("O: twice")
			}
			c.ID = f[1:]
		case 'P':
			if hasAttrs {
				return errors.New("P: twice")
			}
			hasAttrs = true
			if err := c.parseAttrs(f[1:]); err != nil {
				return err
			}
		}
	}
	switch {
	case c.Key == "":
		return errors.New("key: missing")
	case len(c.Key) > maxKeyBytes:
		return fmt.Errorf("key: %d bytes, want %d at the most", len(c.Key), maxKeyBytes)
	case c.ID == "":
		return errors.New("O: missing")
	case c.Category == "":
		return errors.New("c: missing")
	case c.TTL == 0:
		return errors.New("d: missing or 0")
	}
	return nil
}

// errControlCharacter is the error of a line with a control character, or with a field that is too long.
var errControlCharacter = errors.New("a control character in the line")

// parseAttrs sets the category and the TTL from the attributes.
func (c *Command) parseAttrs(attrs string) error {
	for pair := range strings.SplitSeq(attrs, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			if c.Category != "" {
				return errors.New("c: twice")
			}
			c.Category = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || strings.Trim(value, "0123456789.") != "" || ms > maxTTL || c.TTL > 0 {
				return fmt.Errorf("d: %q, want milliseconds", truncate(value))
			}
			c.TTL = ms
		}
	}
	return nil
}

// truncate limits text that is quoted in an error to 40 bytes.
func truncate(s string) string { return s[:min(len(s), 40)] }

// writeAttrs writes the attributes, with d in place of the client's own value of d.
func writeAttrs(out *transport.Chain, attrs string, d int) {
	var digits [20]byte
	first := true
	for pair := range strings.SplitSeq(attrs, ",") {
		if !first {
			out.WriteString(",")
		}
		first = false
		name, value, _ := strings.Cut(pair, "=")
		out.WriteString(name)
		out.WriteString("=")
		if name == "d" {
			out.Write(strconv.AppendInt(digits[:0], int64(d), 10))
		} else {
			out.WriteString(value)
		}
	}
}

// attrs returns the attributes of the command, from its flag P.
func (c *Command) attrs() string {
	for f := range fields(c.flags) {
		if f[0] == 'P' {
			return f[1:]
		}
	}
	return ""
}

// ValueWriter copies a command's value to a connection piece by piece, so that a long value is not held in memory
// twice.
type ValueWriter struct {
	value  *transport.Chain
	offset int    // bytes copied so far
	suffix string // written after the value
}

// WriteNext appends the next piece to out, and returns false where nothing was left.
func (w *ValueWriter) WriteNext(out *transport.Chain) bool {
	if w.value == nil {
		return false
	}
	n := min(MaxBufferedValueBytes, w.value.Len()-w.offset)
	out.AppendRange(w.value, w.offset, n)
	if w.offset += n; w.offset == w.value.Len() {
		out.WriteString(w.suffix)
		w.value = nil
	}
	return true
}

// IsLastPiece tells whether the next piece is the last one.
func (w *ValueWriter) IsLastPiece() bool {
	return w.value != nil && w.value.Len()-w.offset <= MaxBufferedValueBytes
}

// Remaining returns how many bytes are left to write.
func (w *ValueWriter) Remaining() int {
	if w.value == nil {
		return 0
	}
	return w.value.Len() - w.offset + len(w.suffix)
}

// Done tells whether all of the value has been written.
func (w *ValueWriter) Done() bool { return w.value == nil }

// WriteCommand sends a command to a cache host with d, the ms that the balancer waits for the answer, in place of the
// client's. The ValueWriter holds what is left of a long value.
func WriteCommand(out *transport.Chain, c *Command, d int) (rest ValueWriter) {
	if c.Verb == Set {
		fmt.Fprintf(out, "ms %s %d", c.Key, c.Value.Len())
	} else {
		out.WriteString("mg ")
		out.WriteString(c.Key)
	}
	for f := range fields(c.flags) {
		if f[0] == 'P' {
			out.WriteString(" P")
			writeAttrs(out, f[1:], d)
		} else {
			out.WriteString(" ")
			out.WriteString(f)
		}
	}
	out.WriteString("\r\n")
	if c.Verb == Set {
		rest = ValueWriter{value: &c.Value, suffix: "\r\n"}
		rest.WriteNext(out)
	}
	return rest
}

// ErrIncomplete is the error of a command whose remaining bytes did not arrive.
var ErrIncomplete = errors.New("the rest of the command did not come")

// DuplicateIDError is the error of a command that has the id of an op not answered yet.
func DuplicateIDError(c *Command) error {
	return fmt.Errorf("O: %q is the id of an open op", truncate(c.ID))
}

// UnknownCategoryError is the error of a command whose category is not configured.
func UnknownCategoryError(c *Command) error {
	return fmt.Errorf("c: unknown category %q", truncate(c.Category))
}
