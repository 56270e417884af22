package trial

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// processState is the state of a process.
type processState int

const (
	absent   processState = iota // not started, or exited
	starting                     // started, not serving yet
	serving
	frozen // stopped by SIGSTOP
	ending // signaled to end, not exited yet
)

// String returns the name of the state.
func (s processState) String() string {
	return [...]string{"absent", "starting", "serving", "frozen", "ending"}[s]
}

const (
	maxLogLines     = 2000             // kept per process
	startTimeout    = 10 * time.Second // until a process serves
	probeInterval   = 10 * time.Millisecond
	faultSocketName = "faults"        // socket in the process's directory, of programs built with -tags faults
	termTimeout     = 4 * time.Second // between SIGTERM and SIGKILL
)

// LogLine is a line of a process's log and the time at which it was read.
type LogLine struct {
	At   time.Duration
	Text string
}

// Span is a time span, since the fleet was started.
type Span struct {
	From, To time.Duration // To is 0 while the span lasts
}

// Outage is a span in which a process did not serve.
type Outage struct {
	Span
	Frozen bool // the process was frozen and resumed; otherwise it exited
}

// Process runs the program in a directory of its own, which holds its start file and all files that it writes.
type Process struct {
	Name      string
	Dir       string
	now       func() time.Duration
	launcher  *launcher
	config    string
	env       []string
	isServing func() bool // reports whether the process serves

	mu           sync.Mutex
	state        processState
	cmd          *exec.Cmd
	exited       chan struct{} // closed when cmd has exited
	lines        []LogLine
	outages      []Outage
	clockOffset  string // of the wall clock of processes started from now on
	crashMessage string // last log line of a process that exited on its own
}

// launcher starts processes that the kernel kills if this process dies. Pdeathsig acts when the thread that started the
// child ends, so a single locked thread starts them all and lives until close.
type launcher struct {
	jobs chan func()
	done chan struct{}
}

// newLauncher returns a launcher with a running thread.
func newLauncher() *launcher {
	l := &launcher{jobs: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case call := <-l.jobs:
				call()
			case <-l.done:
				return // returning while locked ends the thread
			}
		}
	}()
	return l
}

// start starts a command on the thread of the launcher.
func (l *launcher) start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	l.jobs <- func() { failed <- c.Start() }
	return <-failed
}

// close ends the thread, and with it all processes that still run.
func (l *launcher) close() { close(l.done) }

// setState changes the state and records outages. All state changes go through it; the caller holds p.mu.
func (p *Process) setState(to processState) {
	now := max(p.now(), 1)
	was := p.state
	p.state = to
	switch {
	case to == serving && len(p.outages) > 0 && p.outages[len(p.outages)-1].To == 0:
		p.outages[len(p.outages)-1].To = now
	case was == serving && to != serving:
		p.outages = append(p.outages, Outage{Span{From: now}, to == frozen})
	case was == frozen && to != serving:
		p.outages[len(p.outages)-1].Frozen = false
	}
}

// State returns the name of the current state.
func (p *Process) State() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.String()
}

// Outages returns the spans in which the process did not serve, after it first served.
func (p *Process) Outages() []Outage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Outage(nil), p.outages...)
}

// Crash returns the last log line of a process that exited on its own, or an empty string.
func (p *Process) Crash() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashMessage
}

// Log returns the last lines that the process has written.
func (p *Process) Log() []LogLine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]LogLine(nil), p.lines...)
}

// Start starts the program and waits until it serves. It returns an error if the process already runs, exits early, or does
// not serve within startTimeout.
func (p *Process) Start(program string, args ...string) error {
	p.mu.Lock()
	if p.state != absent {
		defer p.mu.Unlock()
		return fmt.Errorf("%s: already %v", p.Name, p.state)
	}
	exited, err := p.spawn(program, args)
	if err == nil {
		p.setState(starting)
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	return p.awaitServing(exited)
}

// replace starts a second process after prepare, waits until it serves, and ends the old one with SIGTERM. If the old one does
// not exit within termTimeout it is killed, and an error is returned.
func (p *Process) replace(prepare func() error, program string, args ...string) error {
	p.mu.Lock()
	if p.state != serving {
		defer p.mu.Unlock()
		return fmt.Errorf("%s: is %v, want serving", p.Name, p.state)
	}
	old, oldExited := p.cmd, p.exited
	err := prepare()
	var exited <-chan struct{}
	if err == nil {
		exited, err = p.spawn(program, args)
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	if err := p.awaitServing(exited); err != nil {
		return err
	}
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-oldExited:
		return nil
	case <-time.After(termTimeout):
		old.Process.Kill()
		return fmt.Errorf("%s: the old process did not exit within %v after SIGTERM, killed", p.Name, termTimeout)
	}
}

// spawn starts a process and makes it the current one. The caller holds p.mu.
func (p *Process) spawn(program string, args []string) (exited chan struct{}, err error) {
	c := exec.Command(program, args...)
	c.Env = append(append(os.Environ(), p.env...), "RELAY_CONFIG="+p.config, "TMPDIR="+p.Dir,
		"LARCHTHREAD_FAULTS="+filepath.Join(p.Dir, faultSocketName), "LARCHTHREAD_WALL="+p.clockOffset)
	c.Dir = p.Dir
	r, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	c.Stdout, c.Stderr = w, w
	err = p.launcher.start(c)
	w.Close()
	if err != nil {
		r.Close()
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	exited = make(chan struct{})
	p.cmd, p.exited = c, exited
	logRead := make(chan struct{})
	go func() {
		defer close(logRead)
		p.readLog(r)
	}()
	go func() {
		defer close(exited)
		c.Wait()
		<-logRead
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd != c {
			return
		}
		if p.state != ending {
			p.crashMessage = "no output"
			if n := len(p.lines); n > 0 {
				p.crashMessage = p.lines[n-1].Text
			}
		}
		p.setState(absent)
	}()
	return exited, nil
}

// sendFault sends a line to the fault channel of a program built with -tags faults (package machine). A clock offset also
// applies to processes started later.
func (p *Process) sendFault(line string) error {
	if offset, isClock := strings.CutPrefix(line, "clock "); isClock {
		p.mu.Lock()
		p.clockOffset = offset
		p.mu.Unlock()
	}
	c, err := net.Dial("unix", filepath.Join(p.Dir, faultSocketName))
	if err != nil {
		return fmt.Errorf("%s: %q: the process is not running, or its program was built without -tags faults: %w", p.Name, line, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(adminTimeout))
	fmt.Fprintln(c, line)
	reply, err := bufio.NewReader(c).ReadString('\n')
	if reply = strings.TrimSpace(reply); err != nil || reply != "ok" {
		return fmt.Errorf("%s: %q: %s %w", p.Name, line, reply, err)
	}
	return nil
}

// awaitServing waits until the process serves, and returns an error if it exits first or startTimeout passes.
func (p *Process) awaitServing(exited <-chan struct{}) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		select {
		case <-exited:
			return fmt.Errorf("%s: exited during its start: %s", p.Name, p.lastLine())
		case <-time.After(probeInterval):
		}
		if p.isServing() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.state == starting {
				p.setState(serving)
			}
			return nil
		}
	}
	return fmt.Errorf("%s: not serving %v after its start: %s", p.Name, startTimeout, p.lastLine())
}

// lastLine returns the last log line.
func (p *Process) lastLine() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) == 0 {
		return "no output"
	}
	return p.lines[len(p.lines)-1].Text
}

// readLog reads the process's output until it ends, and keeps the last lines.
func (p *Process) readLog(r io.ReadCloser) {
	defer r.Close()
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, LogLine{p.now(), s.Text()})
		if len(p.lines) > maxLogLines {
			p.lines = p.lines[len(p.lines)-maxLogLines:]
		}
		p.mu.Unlock()
	}
}

// signal sends a signal and changes the state, if the current state is one of in; otherwise it returns an error.
func (p *Process) signal(s syscall.Signal, to processState, in ...processState) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range in {
		if p.state == c {
			if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
				return fmt.Errorf("%s: %w", p.Name, err)
			}
			p.setState(to)
			return nil
		}
	}
	return fmt.Errorf("%s: is %v", p.Name, p.state)
}

// Freeze stops the process with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP, frozen, serving) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT, serving, frozen) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL, ending, starting, serving, frozen, ending); err != nil {
		return err
	}
	p.Wait()
	return nil
}

// Terminate sends SIGTERM and waits until the process has exited. After termTimeout it kills the process and returns an
// error.
func (p *Process) Terminate() error {
	if err := p.signal(syscall.SIGTERM, ending, starting, serving); err != nil {
		return err
	}
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(termTimeout):
		p.Kill()
		return fmt.Errorf("%s: did not exit within %v after SIGTERM, killed", p.Name, termTimeout)
	}
}

// Wait waits until the process has exited.
func (p *Process) Wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ClearDir removes everything but the start file from the directory of a process, which must be absent.
func (p *Process) ClearDir() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != absent {
		return fmt.Errorf("%s: is %v, its directory is in use", p.Name, p.state)
	}
	entries, err := os.ReadDir(p.Dir)
	if err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	for _, e := range entries {
		if path := filepath.Join(p.Dir, e.Name()); path != p.config {
			if err := os.RemoveAll(path); err != nil {
				return fmt.Errorf("%s: %w", p.Name, err)
			}
		}
	}
	return nil
}
