package trial

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newScriptProcess returns a process, and a function that starts it with a shell script in place of the program.
func newScriptProcess(t *testing.T, isServing bool) (*Process, func(text string) error) {
	start := time.Now()
	p := &Process{Name: "b1", Dir: t.TempDir(), now: func() time.Duration { return time.Since(start) }, launcher: newLauncher(),
		isServing: func() bool { return isServing }}
	p.config = filepath.Join(p.Dir, "start.json")
	t.Cleanup(func() { p.Kill(); p.launcher.close() })
	return p, func(text string) error { return p.Start("/bin/sh", "-c", text) }
}

// Start must fail with the last log line if the process exits early.
func TestProcessExitsDuringStart(t *testing.T) {
	p, start := newScriptProcess(t, false)
	err := start("echo no room >&2; exit 3")
	if err == nil || !strings.Contains(err.Error(), "b1: exited during its start: no room") {
		t.Fatal(err)
	}
	if p.State() != "absent" || p.Crash() == "" {
		t.Fatal(p.State(), p.Crash())
	}
}

// A process that ignores SIGTERM must be killed, which is an error but not a crash.
func TestProcessIgnoresSIGTERM(t *testing.T) {
	p, start := newScriptProcess(t, true)
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

// A process can be frozen, resumed, killed and restarted with an empty directory; operations not allowed in a state fail.
func TestProcessStates(t *testing.T) {
	p, start := newScriptProcess(t, true)
	text := "touch kept; exec sleep 60"
	steps := []struct {
		name string
		do   func() error
	}{
		{"thaw", p.Thaw}, {"start", func() error { return start(text) }}, {"start", func() error { return start(text) }},
		{"empty", p.ClearDir}, {"freeze", p.Freeze}, {"term", p.Terminate}, {"thaw", p.Thaw}, {"kill", p.Kill}, {"kill", p.Kill},
		{"empty", p.ClearDir}, {"start", func() error { return start("exec sleep 60") }},
	}
	var got strings.Builder
	for _, s := range steps {
		err := s.do()
		fmt.Fprintf(&got, "%s: %v: %s\n", s.name, err, p.State())
		time.Sleep(50 * time.Millisecond)
	}
	want := `thaw: b1: is absent: absent
start: <nil>: serving
start: b1: already serving: serving
empty: b1: is serving, its directory is in use: serving
freeze: <nil>: frozen
term: b1: is frozen: frozen
thaw: <nil>: serving
kill: <nil>: absent
kill: b1: is absent: absent
empty: <nil>: absent
start: <nil>: serving
`
	if got.String() != want {
		t.Errorf("got\n%swant\n%s", got.String(), want)
	}
	if _, err := os.Stat(filepath.Join(p.Dir, "kept")); err == nil {
		t.Error("the directory was not cleared")
	}
	if outages := p.Outages(); len(outages) != 2 || !outages[0].Frozen || outages[1].Frozen || outages[1].To == 0 {
		t.Errorf("outages: %v", outages)
	}
}
