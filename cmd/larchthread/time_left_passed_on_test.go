package main

import (
	"io"
	"testing"
	"time"

	"larchthread/internal/standin"
)

// pauseBeforeLastByte is how long the client pauses within a command after its connection is handed over.
const pauseBeforeLastByte = 700 * time.Millisecond

// When a connection is handed over in the middle of a command, the command's time counts from its last byte.
func TestTimeLeftOfCommandPassedOnInPieces(t *testing.T) {
	f, remove := newHandoverFleet("pieces")
	t.Cleanup(remove)
	f.settings = longTTLSettings()
	c := startWithHosts(t, f, hit)
	io.WriteString(c, "ms k 4 O1 Pc=put,d=1000\r\nab")
	time.Sleep(idleDelay)
	if err := f.replaceProcess(); err != nil {
		t.Errorf("old process: %v", err)
	}
	time.Sleep(pauseBeforeLastByte)
	if _, err := io.WriteString(c, "cd\r\n"); err != nil {
		t.Fatal(err)
	}
	r := request{id: "1", timeLeft: time.Second, sent: time.Now()}
	c.checkAnswer(t, "HD O1")
	f.checkServers(t, r, standin.OriginID)
	f.checkTimeLeft(t, r)
}
