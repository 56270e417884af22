package standin

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// command is one of the meta commands, as a balancer sends it.
type command struct {
	write   bool
	key, id string
	attrs   string
	value   string
}

const longestValue = 4 << 20 // bytes; what says more is not read

func readCommand(r *bufio.Reader) (k command, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return k, io.EOF
	}
	words := strings.Fields(line)
	if len(words) < 4 || words[0] != "mg" && words[0] != "ms" {
		return k, fmt.Errorf("unknown command %.40q", strings.TrimSpace(line))
	}
	k.write, k.key = words[0] == "ms", words[1]
	for _, w := range words[3:] {
		switch w[0] {
		case 'O':
			k.id = w[1:]
		case 'P':
			k.attrs = w[1:]
		}
	}
	if !k.write {
		return k, nil
	}
	n, err := strconv.Atoi(words[2])
	if err != nil || n < 0 || n > longestValue {
		return k, fmt.Errorf("length %.20q", words[2])
	}
	value := make([]byte, n+2)
	if _, err := io.ReadFull(r, value); err != nil {
		return k, io.EOF
	}
	k.value = string(value[:n])
	return k, nil
}

// attr is the value of a name in the command's list, empty where there is none.
func (k command) attr(name string) string { return attr(k.attrs, name) }

// wait is for how long the balancer says that it will wait.
func (k command) wait() time.Duration { return waits(k.attrs) }

func attr(list, name string) string {
	for _, pair := range strings.Split(list, ",") {
		if n, v, ok := strings.Cut(pair, "="); ok && n == name {
			return v
		}
	}
	return ""
}

func waits(list string) time.Duration {
	ms, err := strconv.ParseFloat(attr(list, "d"), 64)
	if err != nil || !(ms >= 0 && ms < 1e9) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}
