package standin

import (
	"net"
	"regexp"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Attempt is a command or HTTP request that a scripted host or origin has received completely.
type Attempt struct {
	Server       string        // name of the host, or OriginID
	OpID         string        // the op's id
	Verb         string        // "mg" or "ms" at a host, the HTTP method at the origin
	TimeLeft     time.Duration // how long the client still waits, according to the attempt; 0 if missing or invalid
	TimeLeftText string        // TimeLeft in milliseconds, as received
	Attributes   string        // the list of names and values, with the time left masked as in notes
	Repeat       bool          // the client has marked the op as a repeat
	ReceivedAt   time.Time     // when the kernel received the last byte
}

// timeLeftPattern matches the attribute with the time left, which varies between runs and is masked in notes and attributes.
var timeLeftPattern = regexp.MustCompile(`d=[0-9.]+`)

// repeatValue is the value of the attribute r that marks a repeated op.
const repeatValue = "1"

// newAttempt returns an attempt with the given list of attributes, parsed.
func newAttempt(server, opID, verb, attributes string, receivedAt time.Time) Attempt {
	return Attempt{
		Server:       server,
		OpID:         opID,
		Verb:         verb,
		TimeLeft:     timeLeft(attributes),
		TimeLeftText: attr(attributes, "d"),
		Attributes:   timeLeftPattern.ReplaceAllString(attributes, "d=.."),
		Repeat:       attr(attributes, "r") == repeatValue,
		ReceivedAt:   receivedAt,
	}
}

// commandAttempt returns the attempt for a meta command, given as its words.
func commandAttempt(server string, words []string, receivedAt time.Time) Attempt {
	var opID, attributes string
	for _, word := range words[2:] {
		switch word[0] {
		case 'O':
			opID = word[1:]
		case 'P':
			attributes = word[1:]
		}
	}
	return newAttempt(server, opID, words[0], attributes, receivedAt)
}

// Attempts returns all attempts since the last call of TakeNotes, in the order of their arrival.
func (s *ScriptedFleet) Attempts() []Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Attempt(nil), s.attempts...)
}

// addAttempt records an attempt.
func (s *ScriptedFleet) addAttempt(a Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
}

// LastReceived returns when the kernel received the last data of a connection, which on a busy machine may be well before the
// data is read. It returns the current time if the kernel does not tell.
func LastReceived(c net.Conn) time.Time {
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
