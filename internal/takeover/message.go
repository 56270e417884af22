package takeover

import (
	"encoding/json"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

const protocolVersion = 1 // processes of another version are refused

// messageKind is the type of a message and determines which of its fields are used.
type messageKind string

// Kinds of messages from the new process.
const (
	kindHello messageKind = "hello" // asks to take over; Version
	kindReady messageKind = "ready" // it serves
)

// Kinds of messages from the running process.
const (
	kindRefused  messageKind = "refused" // no hand-over; Why
	kindLater    messageKind = "later"   // another process is taking over at the moment; Why
	kindList     messageKind = "list"    // List
	kindPast     messageKind = "past"    // Past, Banned
	kindLearned  messageKind = "learned" // Learned
	kindListener messageKind = "door"    // Sockets, and the listening socket's descriptor
	kindClient   messageKind = "client"  // Unread, Proven, Waited, and the connection's descriptor
)

// Kinds of messages from either process.
const (
	kindBan    messageKind = "ban"    // ID, Out, Number
	kindBanned messageKind = "banned" // the answer to a ban: Number, Known
	kindIDs    messageKind = "ids"    // IDs
)

// message is a message between the two processes. Unknown fields are ignored. The JSON names must not change, since a
// process may take over from one of an earlier build.
type message struct {
	Kind    messageKind        `json:"word"`
	Version int                `json:"version,omitempty"`
	Why     string             `json:"why,omitempty"`     // reason of a refusal
	List    *protocol.HostList `json:"list,omitempty"`    // part of the host list, in discovery's form
	Past    []string           `json:"past,omitempty"`    // ids of hosts of this and earlier lists
	Banned  []string           `json:"banned,omitempty"`  // ids of banned hosts
	Learned *balance.Learned   `json:"learned,omitempty"` // part of what the balancer has learned
	Sockets int                `json:"sockets,omitempty"` // number of sockets that the new process may open
	Unread  []byte             `json:"unread,omitempty"`  // bytes received on the connection that are not processed yet
	Proven  bool               `json:"proven,omitempty"`  // an op has arrived on the connection
	Waited  float64            `json:"waited,omitempty"`  // ms that its unprocessed input may have waited
	ID      string             `json:"id,omitempty"`      // host of the ban
	Out     bool               `json:"out,omitempty"`     // true to ban the host, false to put it back
	Number  int                `json:"number,omitempty"`  // number of a ban, repeated in the answer
	Known   bool               `json:"known,omitempty"`   // the answering process knows the host
	IDs     []uint64           `json:"ids,omitempty"`     // hashes of ids of ops that may have run in the sending process
}

// decode parses a message. A malformed one is logged and yields an empty message.
func (t *Takeover) decode(in transport.Message) (m message) {
	if err := json.Unmarshal(in.Data, &m); err != nil {
		t.log.Warn("malformed message from the other process", "error", err)
	}
	return m
}

// encode returns the JSON form of a message.
func encode(m message) []byte {
	data, err := json.Marshal(m)
	if err != nil { // every field can be encoded
		panic(err)
	}
	return data
}

// send sends a message, and a descriptor with it unless fd is below 0.
func send(channel *transport.ControlChannel, m message, fd int) { channel.Send(encode(m), fd) }
