package main

import (
	"io"
	"testing"
	"time"

	"larchthread/internal/standin"
)

// restBeforeLastByte is for how long a connection that was passed on stands amid a command.
const restBeforeLastByte = 700 * time.Millisecond

// A command whose last byte comes long after its connection was passed on in an upgrade has all of its time from that byte on.
func TestTimeLeftOfCommandPassedOnInPieces(t *testing.T) {
	f, remove := newHandoverFleet("pieces")
	t.Cleanup(remove)
	f.settings = longTTLSettings()
	c := startWithHosts(t, f, hit)
	io.WriteString(c, "ms k 4 O1 Pc=put,d=1000\r\nab")
	time.Sleep(idleDelay)
	if err := f.replaceProcess(); err != nil {
		t.Errorf("the old one ends: %v", err)
	}
	time.Sleep(restBeforeLastByte)
	if _, err := io.WriteString(c, "cd\r\n"); err != nil {
		t.Fatal(err)
	}
	r := request{id: "1", timeLeft: time.Second, sent: time.Now()}
	c.wantAnswer(t, "HD O1")
	f.checkServers(t, r, standin.OriginID)
	f.checkTimeLeft(t, r)
}
