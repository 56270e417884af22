package trial

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// script is a process that runs a shell text in place of the program.
func script(t *testing.T, serves bool) (*Process, func(text string) error) {
	began := time.Now()
	p := &Process{Name: "b1", Dir: t.TempDir(), now: func() time.Duration { return time.Since(began) }, shell: newShell(),
		probe: func() bool { return serves }}
	p.config = filepath.Join(p.Dir, "start.json")
	t.Cleanup(func() { p.Kill(); p.shell.close() })
	return p, func(text string) error { return p.Start("/bin/sh", "-c", text) }
}

func TestDiesAmidItsStart(t *testing.T) {
	p, start := script(t, false)
	err := start("echo no room >&2; exit 3")
	if err == nil || !strings.Contains(err.Error(), "b1: ended amid its start: no room") {
		t.Fatal(err)
	}
	if p.State() != "absent" || p.Crash() == "" {
		t.Fatal(p.State(), p.Crash())
	}
}

func TestIgnoresTerm(t *testing.T) {
	p, start := script(t, true)
	if err := start(`trap "" TERM; echo deaf; while :; do sleep 0.1; done`); err != nil {
		t.Fatal(err)
	}
	for len(p.Log()) == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := p.Terminate(); err == nil || !strings.Contains(err.Error(), "killed") {
		t.Fatal(err)
	}
	if p.State() != "absent" || p.Crash() != "" {
		t.Fatal(p.State(), p.Crash())
	}
}

// A process is stopped, goes on, is killed, and starts again from an empty disk. What can't be done says why.
func TestConditions(t *testing.T) {
	p, start := script(t, true)
	text := "touch kept; exec sleep 60"
	steps := []struct {
		name string
		do   func() error
	}{
		{"thaw", p.Thaw}, {"start", func() error { return start(text) }}, {"start", func() error { return start(text) }},
		{"empty", p.ClearDir}, {"freeze", p.Freeze}, {"term", p.Terminate}, {"thaw", p.Thaw}, {"kill", p.Kill}, {"kill", p.Kill},
		{"empty", p.ClearDir}, {"start", func() error { return start("exec sleep 60") }},
	}
	var said strings.Builder
	for _, s := range steps {
		err := s.do()
		fmt.Fprintf(&said, "%s: %v: %s\n", s.name, err, p.State())
		time.Sleep(50 * time.Millisecond)
	}
	want := `thaw: b1: is absent: absent
start: <nil>: serving
start: b1: is serving already: serving
empty: b1: is serving, its disk is in use: serving
freeze: <nil>: frozen
term: b1: is frozen: frozen
thaw: <nil>: serving
kill: <nil>: absent
kill: b1: is absent: absent
empty: <nil>: absent
start: <nil>: serving
`
	if said.String() != want {
		t.Errorf("got\n%swant\n%s", said.String(), want)
	}
	if _, err := os.Stat(filepath.Join(p.Dir, "kept")); err == nil {
		t.Error("the disk was not emptied")
	}
	if away := p.Outages(); len(away) != 2 || !away[0].Frozen || away[1].Frozen || away[1].To == 0 {
		t.Errorf("away: %v", away)
	}
}
