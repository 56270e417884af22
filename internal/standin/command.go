package standin

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// command is a parsed mg or ms command.
type command struct {
	write     bool // ms, not mg
	key, opID string
	attrs     string // comma-separated name=value pairs
	value     string
}

const maxValueBytes = 4 << 20 // longest value of a write that is accepted

// readCommand reads a command with its value. It returns io.EOF if the connection ends, and another error, whose text is the
// answer to the client, if the command is invalid.
func readCommand(r *bufio.Reader) (cmd command, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return cmd, io.EOF
	}
	words := strings.Fields(line)
	if len(words) < 4 || words[0] != "mg" && words[0] != "ms" {
		return cmd, fmt.Errorf("unknown command %.40q", strings.TrimSpace(line))
	}
	cmd.write, cmd.key = words[0] == "ms", words[1]
	for _, w := range words[3:] {
		switch w[0] {
		case 'O':
			cmd.opID = w[1:]
		case 'P':
			cmd.attrs = w[1:]
		}
	}
	if !cmd.write {
		return cmd, nil
	}
	n, err := strconv.Atoi(words[2])
	if err != nil || n < 0 || n > maxValueBytes {
		return cmd, fmt.Errorf("length %.20q", words[2])
	}
	value := make([]byte, n+2)
	if _, err := io.ReadFull(r, value); err != nil {
		return cmd, io.EOF
	}
	cmd.value = string(value[:n])
	return cmd, nil
}

// attr returns the value of an attribute, or an empty string if it is missing.
func (c command) attr(name string) string { return attr(c.attrs, name) }

// timeLeft returns how long the balancer still waits, or 0 if that is missing or invalid.
func (c command) timeLeft() time.Duration { return timeLeft(c.attrs) }

// attr returns the value of a name in a comma-separated list of name=value pairs, or an empty string if it is missing.
func attr(list, name string) string {
	for _, pair := range strings.Split(list, ",") {
		if n, v, ok := strings.Cut(pair, "="); ok && n == name {
			return v
		}
	}
	return ""
}

// timeLeft returns the attribute d of a list, which is in milliseconds, or 0 if it is missing or invalid.
func timeLeft(list string) time.Duration {
	ms, err := strconv.ParseFloat(attr(list, "d"), 64)
	if err != nil || !(ms >= 0 && ms < 1e9) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}
