package standin

import (
	"net"
	"regexp"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Attempt is one command or HTTP request as a scripted host or origin received it, once its last byte had come.
type Attempt struct {
	Server       string        // name of the host or the origin
	OpID         string        // id of the op
	Verb         string        // "mg" or "ms" at a host, the HTTP method at the origin
	TimeLeft     time.Duration // for how long the client still waits, as the attempt tells it; 0 where that can't be read
	TimeLeftText string        // the same as it was written
	Attributes   string        // the whole list of names and values, with the time left masked as in notes
	Repeat       bool          // the list has the mark of a client's repeat
	ReceivedAt   time.Time     // when the kernel received the last byte
}

// waited is what notes and attributes leave out, as it depends on the time: for how long a balancer waits.
var waited = regexp.MustCompile(`d=[0-9.]+`)

// repeatMark is the value of the attribute r of an op that its client sends once more.
const repeatMark = "1"

// newAttempt reads an attempt's list of attributes.
func newAttempt(server, op, verb, attributes string, came time.Time) Attempt {
	return Attempt{
		Server:       server,
		OpID:         op,
		Verb:         verb,
		TimeLeft:     waits(attributes),
		TimeLeftText: attr(attributes, "d"),
		Attributes:   waited.ReplaceAllString(attributes, "d=.."),
		Repeat:       attr(attributes, "r") == repeatMark,
		ReceivedAt:   came,
	}
}

// commandAttempt is the attempt that a meta command makes.
func commandAttempt(server string, words []string, came time.Time) Attempt {
	var op, attributes string
	for _, word := range words[2:] {
		switch word[0] {
		case 'O':
			op = word[1:]
		case 'P':
			attributes = word[1:]
		}
	}
	return newAttempt(server, op, words[0], attributes, came)
}

// Attempts are all attempts since the last call of Forget, in the order in which they came.
func (s *ScriptedFleet) Attempts() []Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Attempt(nil), s.attempts...)
}

func (s *ScriptedFleet) attempted(a Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
}

// lastReceived is when the kernel received the last byte that has come on a connection: a reader on a busy machine may be
// later. Where the kernel does not tell it is now.
func lastReceived(c net.Conn) time.Time {
	now := time.Now()
	socket, ok := c.(syscall.Conn)
	if !ok {
		return now
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return now
	}
	var info *unix.TCPInfo
	raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || info == nil {
		return now
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}
