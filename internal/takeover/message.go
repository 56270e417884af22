package takeover

import (
	"encoding/json"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

const version = 1 // of the messages; another is refused

// messageKind tells which of a message's fields count.
type messageKind string

// What the new process sends.
const (
	kindHello messageKind = "hello" // it asks for the place; Version
	kindReady messageKind = "ready" // it serves
)

// What the running process sends.
const (
	kindRefused  messageKind = "refused" // it does not hand over at all; Why
	kindLater    messageKind = "later"   // it is handing over to another; Why
	kindList     messageKind = "list"    // List
	kindPast     messageKind = "past"    // Past, Banned
	kindLearned  messageKind = "learned" // Learned
	kindListener messageKind = "door"    // Sockets, and the listening socket's descriptor
	kindClient   messageKind = "client"  // Unread, Proven, and the connection's descriptor
)

// What either sends.
const (
	kindBan    messageKind = "ban"    // ID, Out, Number
	kindBanned messageKind = "banned" // the answer to a ban: Number, Known
)

// message is what one process tells the other. What a build does not know in it is passed over. The names in JSON are those of
// earlier builds, which a new one takes over from.
type message struct {
	Kind    messageKind        `json:"word"`
	Version int                `json:"version,omitempty"`
	Why     string             `json:"why,omitempty"`     // of a refusal
	List    *protocol.HostList `json:"list,omitempty"`    // part of the list, in discovery's form
	Past    []string           `json:"past,omitempty"`    // ids of hosts there were
	Banned  []string           `json:"banned,omitempty"`  // ids of hosts that are banned
	Learned *balance.Learned   `json:"learned,omitempty"` // part of what the balancer has learned
	Sockets int                `json:"sockets,omitempty"` // that the new process may open
	Unread  []byte             `json:"unread,omitempty"`  // of a passed connection
	Proven  bool               `json:"proven,omitempty"`  // an op has come on it
	ID      string             `json:"id,omitempty"`      // of a host to be banned
	Out     bool               `json:"out,omitempty"`     // it is to be banned, not put back
	Number  int                `json:"number,omitempty"`  // of a message on a ban, and of the answer to it
	Known   bool               `json:"known,omitempty"`   // the host is known there
}

// read reads a message. One that can't be read says nothing.
func (t *Takeover) read(in transport.Message) (m message) {
	if err := json.Unmarshal(in.Data, &m); err != nil {
		t.log.Warn("a message that can't be read", "error", err)
	}
	return m
}

// encode is a message's text.
func encode(m message) []byte {
	data, err := json.Marshal(m)
	if err != nil { // no field can fail
		panic(err)
	}
	return data
}

// send sends a message, with a descriptor where fd is not below 0.
func send(c *transport.ControlChannel, m message, fd int) { c.Send(encode(m), fd) }
