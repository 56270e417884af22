package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Scripted hosts and origins record the attributes of each attempt and the time of its last byte.
func TestAttempts(t *testing.T) {
	s := &ScriptedFleet{}
	defer s.Close()
	l := ListenLoopback()
	s.ServeHost("a", l, func([]string) string { return "EN O{id}\r\n" })
	origin := ListenLoopback()
	s.ServeOrigin(origin, func(w http.ResponseWriter, r *http.Request) {})

	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	answers := bufio.NewReader(c)
	send := func(piece string) time.Time {
		io.WriteString(c, piece)
		return time.Now()
	}
	send("mg k v O1 Pc=read,d=400.5,k=m\r\n")
	answers.ReadString('\n')
	send("ms k 4 O2 Pr=1,d=70,c=put\r\nmg")
	time.Sleep(200 * time.Millisecond)
	before := time.Now()
	last := send(" \r\r\n")
	answers.ReadString('\n')

	request, _ := http.NewRequest(http.MethodPut, "http://"+origin.Addr().String()+"/k", strings.NewReader("value"))
	request.Header.Set("X-Request-ID", "3")
	request.Header.Set("X-Attrs", "c=put,d=9")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()

	attempts := s.Attempts()
	want := []Attempt{
		{Server: "a", OpID: "1", Verb: "mg", TimeLeft: 400500 * time.Microsecond, TimeLeftText: "400.5", Attributes: "c=read,d=..,k=m"},
		{Server: "a", OpID: "2", Verb: "ms", TimeLeft: 70 * time.Millisecond, TimeLeftText: "70", Attributes: "r=1,d=..,c=put", Repeat: true},
		{Server: OriginID, OpID: "3", Verb: "PUT", TimeLeft: 9 * time.Millisecond, TimeLeftText: "9", Attributes: "c=put,d=.."},
	}
	if len(attempts) != len(want) {
		t.Fatalf("%d attempts, want %d: %+v", len(attempts), len(want), attempts)
	}
	const clockStep = 10 * time.Millisecond // resolution of the kernel's time of the last byte
	if receivedAt := attempts[1].ReceivedAt; receivedAt.Before(before.Add(-clockStep)) ||
		receivedAt.After(last.Add(time.Second)) {
		t.Errorf("the last byte arrived %v after it was sent", receivedAt.Sub(last))
	}
	for i, a := range attempts {
		a.ReceivedAt = time.Time{}
		if a != want[i] {
			t.Errorf("got  %+v\nwant %+v", a, want[i])
		}
	}
	if s.TakeNotes(); len(s.Attempts()) != 0 {
		t.Error("attempts remain after TakeNotes")
	}
}
