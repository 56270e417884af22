package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// newTestFleet starts a fleet with one host, h1, that executes one op at a time, with a mean service time of a millisecond.
func newTestFleet(t *testing.T) (*Fleet, *Host) {
	f, err := NewFleet(1, Capacity{ServiceTime: time.Millisecond, Slots: 2, QueueLimit: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	h, err := f.AddHost("h1", "z1", "127.0.0.1", 1, Capacity{ServiceTime: time.Millisecond, Slots: 1, QueueLimit: 2},
		Warming{InitialShare: 0.2, Duration: time.Hour, OverloadMultiple: 2, OverloadWindow: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return f, h
}

// sendCommand sends a command to a host on a new connection. It returns the first line of the answer, or "refused", "silent" or
// "reset".
func sendCommand(h *Host, command string) string {
	c, err := net.Dial("tcp", h.Address())
	if err != nil {
		return "refused"
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	io.WriteString(c, command+"\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	switch {
	case err == nil:
		return strings.TrimSpace(line)
	case strings.Contains(err.Error(), "timeout"):
		return "silent"
	}
	return "reset"
}

const readCommandLine = "mg k v O1 Pc=read,d=400"

// requestOrigin reads or writes the key k at the origin and returns the status and the body, or "reset".
func requestOrigin(f *Fleet, method, opID string) string {
	r, _ := http.NewRequest(method, "http://"+f.Origin.Address()+"/k", strings.NewReader("x"))
	r.Header.Set("X-Request-ID", opID)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return "reset"
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return fmt.Sprint(answer.StatusCode, " ", string(text))
}

// A value that a host missed is cached once the origin has answered, and removed when the key is written.
func TestMissFetchWrite(t *testing.T) {
	f, h := newTestFleet(t)
	var said []string
	for _, do := range []func() string{
		func() string { return sendCommand(h, readCommandLine) },
		func() string { return requestOrigin(f, "GET", "1") },
		func() string { return sendCommand(h, readCommandLine) },
		func() string { return requestOrigin(f, "PUT", "w") },
		func() string { return sendCommand(h, readCommandLine) },
		func() string { return requestOrigin(f, "GET", "1") },
	} {
		said = append(said, do())
	}
	want := "EN O1|200 k unwritten|VA 11 O1|200 receipt-w|EN O1|200 k w"
	if got := strings.Join(said, "|"); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	ran := ""
	for _, r := range f.ReceivedPushes() {
		ran += fmt.Sprintf("%s %s %t;", r.Host, r.OpID, r.Executed)
	}
	if want := "h1 1 false;origin 1 true;h1 1 true;origin w true;h1 1 false;origin 1 true;"; ran != want {
		t.Errorf("runs: got  %s\nwant %s", ran, want)
	}
}

// Each fault mode has the intended effect, and the host works again afterwards.
func TestFaultModes(t *testing.T) {
	_, h := newTestFleet(t)
	for _, c := range []struct {
		mode FaultMode
		want string
	}{
		{FaultMode{}, "EN O1"}, {FaultMode{ErrorRate: 1}, "SERVER_ERROR failed"}, {FaultMode{ResetRate: 1}, "reset"}, {FaultMode{Hang: true}, "silent"},
		{FaultMode{SlowFactor: 500}, "silent"}, {FaultMode{}, "EN O1"},
	} {
		h.SetFaultMode(c.mode)
		if got := sendCommand(h, readCommandLine); got != c.want {
			t.Errorf("%+v: %q, want %q", c.mode, got, c.want)
		}
		time.Sleep(20 * time.Millisecond)
	}
	h.SetFaultMode(FaultMode{MaxConns: 1})
	c, err := net.Dial("tcp", h.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(20 * time.Millisecond)
	if got := sendCommand(h, readCommandLine); got != "SERVER_ERROR busy" {
		t.Errorf("above the connection limit: %q", got)
	}
}

// A restarted host is cold and crashes under too many pushes; it stays down.
func TestColdHostOverload(t *testing.T) {
	f, h := newTestFleet(t)
	h.Kill()
	if got := sendCommand(h, readCommandLine); got != "refused" {
		t.Fatalf("killed host: %q", got)
	}
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	for range 60 {
		go sendCommand(h, readCommandLine)
	}
	for end := time.Now().Add(2 * time.Second); !h.HasCrashed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host did not crash")
		}
	}
	if got := sendCommand(h, readCommandLine); got != "refused" {
		t.Errorf("crashed host: %q", got)
	}
	fell := 0
	for _, r := range f.ReceivedPushes() {
		if r.CausedCrash {
			fell++
		}
	}
	if fell != 1 {
		t.Errorf("%d pushes caused a crash, want 1", fell)
	}
}

// A delayed view shows the earlier list until the delay has passed; a silent service answers once it is no longer silent.
func TestLists(t *testing.T) {
	f, _ := newTestFleet(t)
	address, err := f.Discovery.ServeView("b1", func(m Member) string { return "127.0.0.9:" + strings.Split(m.Address, ":")[1] })
	if err != nil {
		t.Fatal(err)
	}
	fetchList := func(query string) string {
		answer, err := http.Get("http://" + address + "/discovery/hosts" + query)
		if err != nil {
			return err.Error()
		}
		defer answer.Body.Close()
		var l struct {
			Complete bool
			Members  []struct{ ID, Phase string }
		}
		json.NewDecoder(answer.Body).Decode(&l)
		text := fmt.Sprint(l.Complete)
		for _, m := range l.Members {
			text += " " + m.ID + " " + m.Phase
		}
		return text
	}
	expectList := func(query, want string) {
		t.Helper()
		if got := fetchList(query); got != want {
			t.Errorf("got  %s\nwant %s", got, want)
		}
	}
	expectList("", "true h1 in_service origin in_service")
	f.Discovery.SetDelay(100 * time.Millisecond)
	f.Discovery.SetPhase("h1", Terminating, 0)
	expectList("", "true h1 in_service origin in_service")
	expectList("?index=3&wait=1000", "false h1 terminating")
	f.Discovery.SetDelay(0)
	f.Discovery.SetPhase("h1", Terminated, 0)
	expectList("", "true origin in_service")
	expectList("?index=4&wait=10", "false h1 terminated")
	expectList("?index=5&wait=10", "false")
	f.Discovery.SetSilent(true)
	time.AfterFunc(50*time.Millisecond, func() { f.Discovery.SetSilent(false) })
	began := time.Now()
	expectList("?index=5&wait=1", "false")
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("answered after %v, want at least 50 ms", took)
	}
	if sent := f.SentLists(); len(sent) != 7 || sent[2].Phases["h1"] != Terminating || sent[2].View != "b1" {
		t.Errorf("sent lists: %+v", sent)
	}
	if err := f.Discovery.SetPhase("h9", Terminated, 0); err == nil {
		t.Error("no error for an unknown member")
	}
}
