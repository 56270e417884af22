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

// stage is a fleet with one host that works for a millisecond on each op, one at a time.
func stage(t *testing.T) (*Fleet, *Host) {
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

// say sends a command to a host on a connection of its own and returns the first line of the answer.
func say(h *Host, command string) string {
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

const read = "mg k v O1 Pc=read,d=400"

// ask asks the origin for a key, or writes it.
func ask(f *Fleet, method, id string) string {
	r, _ := http.NewRequest(method, "http://"+f.Origin.Address()+"/k", strings.NewReader("x"))
	r.Header.Set("X-Request-ID", id)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return "reset"
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return fmt.Sprint(answer.StatusCode, " ", string(text))
}

// What missed is kept once the origin has answered, and void once it is written.
func TestMissFetchWrite(t *testing.T) {
	f, h := stage(t)
	var said []string
	for _, do := range []func() string{
		func() string { return say(h, read) },
		func() string { return ask(f, "GET", "1") },
		func() string { return say(h, read) },
		func() string { return ask(f, "PUT", "w") },
		func() string { return say(h, read) },
		func() string { return ask(f, "GET", "1") },
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

func TestModes(t *testing.T) {
	_, h := stage(t)
	for _, c := range []struct {
		mode FaultMode
		want string
	}{
		{FaultMode{}, "EN O1"}, {FaultMode{ErrorRate: 1}, "SERVER_ERROR failed"}, {FaultMode{ResetRate: 1}, "reset"}, {FaultMode{Hang: true}, "silent"},
		{FaultMode{SlowFactor: 500}, "silent"}, {FaultMode{}, "EN O1"},
	} {
		h.SetFaultMode(c.mode)
		if got := say(h, read); got != c.want {
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
	if got := say(h, read); got != "SERVER_ERROR busy" {
		t.Errorf("a full table: %q", got)
	}
}

// A host that comes back is empty and cold, and falls when it is sent too much before it is warm; it stays down.
func TestPushedOver(t *testing.T) {
	f, h := stage(t)
	h.Kill()
	if got := say(h, read); got != "refused" {
		t.Fatalf("dead: %q", got)
	}
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	for range 60 {
		go say(h, read)
	}
	for end := time.Now().Add(2 * time.Second); !h.HasCrashed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it stands")
		}
	}
	if got := say(h, read); got != "refused" {
		t.Errorf("fallen: %q", got)
	}
	fell := 0
	for _, r := range f.ReceivedPushes() {
		if r.CausedCrash {
			fell++
		}
	}
	if fell != 1 {
		t.Errorf("fell %d times", fell)
	}
}

// A view shows changes late, and what it showed before until then; a silent service answers once it is not.
func TestLists(t *testing.T) {
	f, _ := stage(t)
	address, err := f.Discovery.ServeView("b1", func(m Member) string { return "127.0.0.9:" + strings.Split(m.Address, ":")[1] })
	if err != nil {
		t.Fatal(err)
	}
	list := func(query string) string {
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
	see := func(query, want string) {
		t.Helper()
		if got := list(query); got != want {
			t.Errorf("got  %s\nwant %s", got, want)
		}
	}
	see("", "true h1 in_service origin in_service")
	f.Discovery.SetDelay(100 * time.Millisecond)
	f.Discovery.SetPhase("h1", Terminating, 0)
	see("", "true h1 in_service origin in_service")
	see("?index=3&wait=1000", "false h1 terminating")
	f.Discovery.SetDelay(0)
	f.Discovery.SetPhase("h1", Terminated, 0)
	see("", "true origin in_service")
	see("?index=4&wait=10", "false h1 terminated")
	see("?index=5&wait=10", "false")
	f.Discovery.SetSilent(true)
	time.AfterFunc(50*time.Millisecond, func() { f.Discovery.SetSilent(false) })
	began := time.Now()
	see("?index=5&wait=1", "false")
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("it was silent for %v", took)
	}
	if told := f.SentLists(); len(told) != 7 || told[2].Phases["h1"] != Terminating || told[2].View != "b1" {
		t.Errorf("told: %+v", told)
	}
	if err := f.Discovery.SetPhase("h9", Terminated, 0); err == nil {
		t.Error("a member that is not there")
	}
}
