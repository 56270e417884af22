// Package protocol reads and writes what goes over the wire: the meta commands of the memcache text
// protocol, HTTP/1.1 as the origin and discovery speak it, and discovery's lists. Readers take bytes in
// any split and touch no socket.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"larchthread/internal/transport"
)

const (
	MaxBufferedValueBytes = 64 << 10 // bytes of a value that is read whole before it is passed on
	valueMost             = 4 << 20  // bytes of a value
	lineMost              = 4 << 10  // bytes of a line: a key, an id and a list of names and values, with room to spare
	keyMost               = 250      // bytes of a key, as memcache has it
	ttlMost               = 1e9      // ms for which a client may wait, eleven days: more is a fault of the client
	attrsUsual            = 4        // names and values of a command: more take another allocation
	headMost              = 64       // lines of a response's head: a dozen are usual
	loadMost              = 16       // values of a load report: there are eight names
	bodyMost              = 8 << 20  // bytes of a body: a list of tens of thousands of hosts
)

// Verb is what a command asks for.
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
	ID       string // what stands behind O
	Category string
	TTL      float64 // ms for which the client waits
	Attrs    []Attr  // the list of names and values, as it came
	Value    transport.Chain
	Err      error // why it can't be served; the bytes behind it can be read on

	flags []string
}

// Attr is a name and a value of a command's list.
type Attr struct{ Name, Value string }

// CommandReader reads commands from the bytes of a connection.
type CommandReader struct {
	set  *Command // whose value is still on its way
	size int      // bytes of that value
	line string   // of that command
}

// Next takes a command off the front. It returns nil while none is whole. After an error nothing further
// can be read from the connection.
func (r *CommandReader) Next(in *transport.Chain) (*Command, error) {
	if r.set == nil {
		line, whole, err := takeLine(in)
		if !whole {
			return nil, err
		}
		c, size, err := command(line)
		if err != nil || c.Verb != Set {
			return c, err
		}
		r.set, r.size, r.line = c, size, line
	}
	value, whole, err := takeValue(in, r.size)
	if !whole {
		return nil, err
	}
	c := r.set
	c.Value, r.set = value, nil
	return c, nil
}

// SkipGet takes a whole command that asks for a value off the front, unread but for its category. It returns false, and takes
// nothing, where none stands there or its category is not one of those.
func SkipGet[T any](r *CommandReader, in *transport.Chain, categories map[string]T) (category T, skipped bool) {
	line := in.PeekLine()
	rest, is := bytes.CutPrefix(line, []byte("mg "))
	if !is || r.set != nil {
		return category, false
	}
	rest = bytes.TrimLeft(rest, " ")
	_, attrs, _ := bytes.Cut(rest[bytes.IndexByte(rest, ' ')+1:], []byte(" P")) // the key may look like anything
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

// takeLine takes a line off the front, once it is whole.
func takeLine(in *transport.Chain) (line string, whole bool, err error) {
	line, whole = in.ReadLine()
	if len(line) > lineMost || !whole && in.Len() > lineMost {
		return "", false, fmt.Errorf("a line of over %d bytes", lineMost)
	}
	return line, whole, nil
}

// takeValue takes a value and the line end behind it off the front, once they are whole.
func takeValue(in *transport.Chain, size int) (value transport.Chain, whole bool, err error) {
	if in.Len() < size+2 {
		return value, false, nil
	}
	value = in.SplitFront(size)
	end := in.SplitFront(2)
	defer end.Free()
	if string(end.Bytes()) != "\r\n" {
		value.Free()
		return value, false, fmt.Errorf("no line end behind a value of %d bytes", size)
	}
	return value, true, nil
}

// PendingLine is what has been taken of a command that is not whole, as it came.
func (r *CommandReader) PendingLine() string {
	if r.set == nil {
		return ""
	}
	return r.line + "\r\n"
}

// HasPending tells whether part of a command has been taken.
func (r *CommandReader) HasPending() bool { return r.set != nil }

// PendingValueBytes is how many bytes the value has that is on its way.
func (r *CommandReader) PendingValueBytes() int {
	if r.set == nil {
		return 0
	}
	return r.size
}

// command reads a command's line. The size is that of the value that follows.
func command(line string) (*Command, int, error) {
	words := words(line)
	if len(words) == 0 {
		return &Command{Err: errors.New("an empty line")}, 0, nil
	}
	c, size, rest := &Command{}, 0, words[1:]
	switch words[0] {
	case "mn":
		c.Verb = Ping
		return c, 0, nil
	case "mg":
		c.Verb = Get
	case "ms":
		c.Verb = Set
	default:
		return &Command{Err: fmt.Errorf("unknown command %q", clip(words[0]))}, 0, nil
	}
	if len(rest) > 0 {
		c.Key, rest = rest[0], rest[1:]
	}
	if c.Verb == Set {
		var err error
		if size, rest, err = length("ms", rest); err != nil {
			return nil, 0, err
		}
	}
	c.flags = rest
	c.Err = c.read()
	return c, size, nil
}

// length takes a value's length off the front of the words that follow verb.
func length(verb string, words []string) (size int, rest []string, err error) {
	if len(words) == 0 {
		return 0, nil, fmt.Errorf("%s: no length", verb)
	}
	if size, err = number(words[0], valueMost); err != nil {
		return 0, nil, fmt.Errorf("%s: length %q, want 0 to %d", verb, clip(words[0]), valueMost)
	}
	return size, words[1:], nil
}

// number reads a number written in digits alone, as all sides write them: what a looser reader takes for one may be
// a spoilt line, or mean something else to the next reader.
func number(s string, most int) (int, error) {
	if s == "" || strings.Trim(s, "0123456789") != "" {
		return 0, fmt.Errorf("%q, want digits", clip(s))
	}
	n, err := strconv.Atoi(s)
	if err != nil || n > most {
		return 0, fmt.Errorf("%q, want 0 to %d", clip(s), most)
	}
	return n, nil
}

// words splits a line at its blanks.
func words(line string) []string {
	return strings.FieldsFunc(line, func(r rune) bool { return r == ' ' })
}

// read takes what is needed from the flags.
func (c *Command) read() error {
	if !token(c.Key) || slices.ContainsFunc(c.flags, func(f string) bool { return !token(f) }) {
		return errors.New("a control character in the line")
	}
	for _, f := range c.flags {
		switch f[0] {
		case 'O':
			if c.ID != "" {
				return errors.New("O: twice")
			}
			c.ID = f[1:]
		case 'P':
			if c.Attrs != nil {
				return errors.New("P: twice")
			}
			c.Attrs = make([]Attr, 0, attrsUsual)
			for pair := range strings.SplitSeq(f[1:], ",") {
				name, value, _ := strings.Cut(pair, "=")
				c.Attrs = append(c.Attrs, Attr{name, value})
				switch name {
				case "c":
					if c.Category != "" {
						return errors.New("c: twice")
					}
					c.Category = value
				case "d":
					ms, err := strconv.ParseFloat(value, 64)
					if err != nil || strings.Trim(value, "0123456789.") != "" || ms > ttlMost || c.TTL > 0 {
						return fmt.Errorf("d: %q, want milliseconds", clip(value))
					}
					c.TTL = ms
				}
			}
		}
	}
	switch {
	case c.Key == "":
		return errors.New("key: missing")
	case len(c.Key) > keyMost:
		return fmt.Errorf("key: %d bytes, want %d at the most", len(c.Key), keyMost)
	case c.ID == "":
		return errors.New("O: missing")
	case c.Category == "":
		return errors.New("c: missing")
	case c.TTL == 0:
		return errors.New("d: missing or 0")
	}
	return nil
}

// clip shortens what is quoted in an error.
func clip(s string) string { return s[:min(len(s), 40)] }

// attrs writes the list of names and values, with d in place of the client's own.
func (c *Command) attrs(b *transport.Chain, d int) {
	var digits [20]byte
	for i, a := range c.Attrs {
		if i > 0 {
			b.WriteString(",")
		}
		b.WriteString(a.Name)
		b.WriteString("=")
		if a.Name == "d" {
			b.Write(strconv.AppendInt(digits[:0], int64(d), 10))
		} else {
			b.WriteString(a.Value)
		}
	}
}

// ValueWriter passes on a command's value by and by: all of it at once would be in memory twice.
type ValueWriter struct {
	value *transport.Chain
	at    int
	end   string // behind the value
}

// WriteNext appends the next piece to out, and tells whether there was one.
func (s *ValueWriter) WriteNext(out *transport.Chain) bool {
	if s.value == nil {
		return false
	}
	n := min(MaxBufferedValueBytes, s.value.Len()-s.at)
	out.AppendRange(s.value, s.at, n)
	if s.at += n; s.at == s.value.Len() {
		out.WriteString(s.end)
		s.value = nil
	}
	return true
}

// Done tells whether all has been passed on.
func (s *ValueWriter) Done() bool { return s.value == nil }

// WriteCommand passes a command on to a cache host, which hears that the answer is waited for d ms.
func WriteCommand(out *transport.Chain, c *Command, d int) (s ValueWriter) {
	if c.Verb == Set {
		fmt.Fprintf(out, "ms %s %d", c.Key, c.Value.Len())
	} else {
		out.WriteString("mg ")
		out.WriteString(c.Key)
	}
	for _, f := range c.flags {
		if f[0] == 'P' {
			out.WriteString(" P")
			c.attrs(out, d)
		} else {
			out.WriteString(" ")
			out.WriteString(f)
		}
	}
	out.WriteString("\r\n")
	if c.Verb == Set {
		s = ValueWriter{value: &c.Value, end: "\r\n"}
		s.WriteNext(out)
	}
	return s
}

// ErrIncomplete is the error of a command of which the rest does not come.
var ErrIncomplete = errors.New("the rest of the command did not come")

// DuplicateIDError is the error of a command under the id of an op that has no answer yet.
func DuplicateIDError(c *Command) error {
	return fmt.Errorf("O: %q is the id of an open op", clip(c.ID))
}

// UnknownCategoryError is the error of a command whose category is not known.
func UnknownCategoryError(c *Command) error {
	return fmt.Errorf("c: unknown category %q", clip(c.Category))
}
