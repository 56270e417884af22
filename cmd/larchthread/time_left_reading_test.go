package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"larchthread/internal/standin"
)

// These tests check the remaining time that servers are told for commands that are read slowly or wait to be read.

// A command's time counts from its last byte, however slowly the rest arrived.
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
	c.checkAnswer(t, "VA 7 O1")
	f.checkServers(t, r, "a", standin.OriginID)
	f.checkTimeLeft(t, r)
}

// A command that waits because its connection has the maximum number of unanswered commands loses the time that it waits, both in
// the program's buffer and in the kernel's.
func TestTimeLeftOfUnreadCommands(t *testing.T) {
	const (
		maxPipelined = 256 // commands of a connection that the program parses before it answers the first
		batchSize    = 8   // commands sent together, at most as many as the host may have in progress
	)
	// A high target latency, so that the slow answer does not reduce the host's concurrency limit.
	f := &fleet{settings: longTTLSettings(`"targetLatencyUs":200000`, `"targetLatencyUs":2000000`)}
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
	for len(sent) < maxPipelined-batchSize {
		send(batchSize)
		time.Sleep(5 * time.Millisecond)
	}
	send(2 * batchSize) // half of them are buffered behind the last one that is parsed
	time.Sleep(100 * time.Millisecond)
	send(batchSize)
	for range sent {
		c.readAnswer(t)
	}
	countAttempts := func(requests []request) (count int) {
		for _, r := range requests {
			f.checkTimeLeft(t, r)
			count += len(f.attempts(r))
		}
		return count
	}
	pipelined, read, unread := countAttempts(sent[:maxPipelined]),
		countAttempts(sent[maxPipelined:maxPipelined+batchSize]), countAttempts(sent[maxPipelined+batchSize:])
	if pipelined == 0 || read == 0 || unread == 0 {
		t.Errorf("attempts: %d of parsed commands, %d of buffered ones, %d of those left in the kernel; want some of each",
			pipelined, read, unread)
	}
}
