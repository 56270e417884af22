package takeover

import (
	"encoding/json"
	"slices"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

const idsMost = 500 // ids, hosts or categories in a letter: usually some tens of KB; fewer where they take more

// letter is what one process tells the other. What a build does not know in it is passed over.
type letter struct {
	Word    string           `json:"word"`
	Version int              `json:"version,omitempty"`
	Why     string           `json:"why,omitempty"`     // of a refusal
	List    *protocol.List   `json:"list,omitempty"`    // part of the list, in discovery's form
	Past    []string         `json:"past,omitempty"`    // ids of hosts there were
	Banned  []string         `json:"banned,omitempty"`  // ids of hosts that are banned
	Learned *balance.Learned `json:"learned,omitempty"` // part of what the balancer has learned
	Sockets int              `json:"sockets,omitempty"` // that the new process may open
	Unread  []byte           `json:"unread,omitempty"`  // of a passed connection
	Proven  bool             `json:"proven,omitempty"`  // an op has come on it
	ID      string           `json:"id,omitempty"`      // of a host to be banned
	Out     bool             `json:"out,omitempty"`     // it is to be banned, not put back
	Number  int              `json:"number,omitempty"`  // of a word on a ban, and of the answer to it
	Known   bool             `json:"known,omitempty"`   // the host is known there
}

// encode is a letter's text.
func encode(l letter) []byte {
	text, err := json.Marshal(l)
	if err != nil { // no field can fail
		panic(err)
	}
	return text
}

// send sends a letter, perhaps with a descriptor.
func send(p *transport.Post, l letter, fd int) { p.Send(encode(l), fd) }

// sendParts sends a list in as many letters as it takes.
func sendParts[T any](p *transport.Post, items []T, write func(part []T) letter) {
	for part := range slices.Chunk(items, idsMost) {
		sendHalves(p, part, write)
	}
}

// sendHalves sends a part of a list, by halves where its letter would be too long.
func sendHalves[T any](p *transport.Post, items []T, write func(part []T) letter) {
	text := encode(write(items))
	if len(text) <= transport.LetterMost || len(items) == 1 {
		p.Send(text, -1)
		return
	}
	half := len(items) / 2
	sendHalves(p, items[:half], write)
	sendHalves(p, items[half:], write)
}

// sendLearned sends what was learned in parts of so many categories or hosts, or fewer where a letter would be too long.
func sendLearned(p *transport.Post, all balance.Learned, most int) {
	for _, part := range all.Split(most) {
		text := encode(letter{Word: "learned", Learned: &part})
		if len(text) <= transport.LetterMost || most == 1 {
			p.Send(text, -1)
			continue
		}
		sendLearned(p, part, most/2)
	}
}
