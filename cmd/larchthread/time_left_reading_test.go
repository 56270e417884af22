package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"larchthread/internal/standin"
)

// Time that passes while a command is read, or waits to be.

// A client's time counts from the last byte of its command, however long the pieces before have taken.
func TestTimeLeftOfCommandInPieces(t *testing.T) {
	f := &fleet{settings: longTTLSettings()}
	c := startWithHosts(t, f, delayed(300*time.Millisecond, miss))
	for _, piece := range []string{"mg k", " v O1 Pc=on", "ce,d="} {
		c.sendAndPrint(0, piece)
		time.Sleep(300 * time.Millisecond)
	}
	c.sendAndPrint(0, "1500\r")
	time.Sleep(300 * time.Millisecond)
	c.sendAndPrint(0, "\n")
	r := request{id: "1", timeLeft: 1500 * time.Millisecond, sent: time.Now()}
	c.wantAnswer(t, "VA 7 O1")
	f.checkServers(t, r, "a", standin.OriginID)
	f.checkTimeLeft(t, r)
}

// A command that waits unread, as its connection has as many in line as may be, loses that time: both where it has been read
// with those before it and where it stands in the kernel.
func TestTimeLeftOfCommandsUnread(t *testing.T) {
	const (
		mostInLine = 256 // commands of a connection that the program reads before it answers the first
		atOnce     = 8   // commands that are sent together, no more than its host may have out
	)
	f := &fleet{settings: longTTLSettings(`"targetLatencyUs":200000`, `"targetLatencyUs":2000000`)} // so that the slow one narrows no gate
	f.AddHost("a", hitWithSlowKey(900*time.Millisecond))
	c := startFleet(t, f)
	var sent []request
	send := func(n int) {
		var text strings.Builder
		first := len(sent)
		for i := range n {
			key := fmt.Sprint("fast", first+i)
			if first+i == 0 {
				key = "slow"
			}
			fmt.Fprintf(&text, "mg %s v O%d Pc=once,d=2000\r\n", key, first+i)
		}
		r := c.sendRequest(t, text.String())
		for i := range n {
			r.id = fmt.Sprint(first + i)
			sent = append(sent, r)
		}
	}
	for len(sent) < mostInLine-atOnce {
		send(atOnce)
		time.Sleep(5 * time.Millisecond)
	}
	send(2 * atOnce) // half of them are read with the last in line
	time.Sleep(100 * time.Millisecond)
	send(atOnce)
	for range sent {
		c.readAnswer(t)
	}
	attempts := func(part []request) (n int) {
		for _, r := range part {
			f.checkTimeLeft(t, r)
			n += len(f.attempts(r))
		}
		return n
	}
	inLine, read, unread := attempts(sent[:mostInLine]), attempts(sent[mostInLine:mostInLine+atOnce]), attempts(sent[mostInLine+atOnce:])
	if inLine == 0 || read == 0 || unread == 0 {
		t.Errorf("attempts: %d of commands in line, %d of those read behind them, %d of those unread; want some of each", inLine, read, unread)
	}
}
