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

// condition of a process.
type condition int

const (
	absent   condition = iota // not started, or ended
	starting                  // started, does not answer yet
	serving                   // has answered
	frozen                    // stopped by SIGSTOP
	ending                    // told to end
)

func (c condition) String() string {
	return [...]string{"absent", "starting", "serving", "frozen", "ending"}[c]
}

const (
	logLines   = 2000                  // of a process that are kept
	startMost  = 10 * time.Second      // until a process answers
	startLook  = 10 * time.Millisecond // between two looks whether it does
	faultsName = "faults"              // socket in its directory, of a program built with the tag
	termMost   = 4 * time.Second       // from SIGTERM to SIGKILL
)

// LogLine is a line of a process's log.
type LogLine struct {
	At   time.Duration
	Text string
}

// Span is a while.
type Span struct {
	From, To time.Duration // To is 0 while it lasts
}

// Outage is a while in which a process did not serve.
type Outage struct {
	Span
	Frozen bool // it stood still, and went on; else it ended
}

// Process is a real process of the program. Its directory is its disk and holds its start file.
type Process struct {
	Name   string
	Dir    string
	now    func() time.Duration
	shell  *shell
	config string
	env    []string
	probe  func() bool // tells whether it serves

	mu    sync.Mutex
	state condition
	cmd   *exec.Cmd
	over  chan struct{} // closed when cmd has ended
	lines []LogLine
	away  []Outage
	wall  string // by how much its clock is off when it starts
	crash string // its last word, where it ended by itself
}

// shell starts processes. Each dies with the trial's process, however that ends: the kernel kills a child when the
// thread that started it ends, so one thread starts them all and lives as long as the cluster.
type shell struct {
	calls chan func()
	done  chan struct{}
}

func newShell() *shell {
	s := &shell{calls: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case call := <-s.calls:
				call()
			case <-s.done:
				return // locked still: the thread ends with it
			}
		}
	}()
	return s
}

func (s *shell) start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	s.calls <- func() { failed <- c.Start() }
	return <-failed
}

func (s *shell) close() { close(s.done) }

// move is the one place where a process changes its condition.
func (p *Process) move(to condition) {
	now := max(p.now(), 1)
	was := p.state
	p.state = to
	switch {
	case to == serving && len(p.away) > 0 && p.away[len(p.away)-1].To == 0:
		p.away[len(p.away)-1].To = now
	case was == serving && to != serving:
		p.away = append(p.away, Outage{Span{From: now}, to == frozen})
	case was == frozen && to != serving:
		p.away[len(p.away)-1].Frozen = false
	}
}

// State is what the process is in.
func (p *Process) State() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.String()
}

// Outages are the spans in which the process did not serve, since it first did.
func (p *Process) Outages() []Outage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Outage(nil), p.away...)
}

// Crash is the last word of a process that ended without being told to, empty where none did.
func (p *Process) Crash() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crash
}

// Log is what the process has written, the last lines of it.
func (p *Process) Log() []LogLine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]LogLine(nil), p.lines...)
}

// Start starts the process by a program, and waits until it serves.
func (p *Process) Start(program string, args ...string) error {
	p.mu.Lock()
	if p.state != absent {
		defer p.mu.Unlock()
		return fmt.Errorf("%s: is %v already", p.Name, p.state)
	}
	over, err := p.spawn(program, args)
	if err == nil {
		p.move(starting)
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	return p.await(over)
}

// replace starts a process beside the one that serves, and tells that one to end once the new one says that it serves.
func (p *Process) replace(prepare func() error, program string, args ...string) error {
	p.mu.Lock()
	if p.state != serving {
		defer p.mu.Unlock()
		return fmt.Errorf("%s: is %v, no process to replace", p.Name, p.state)
	}
	old, gone := p.cmd, p.over
	err := prepare()
	var over <-chan struct{}
	if err == nil {
		over, err = p.spawn(program, args)
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	if err := p.await(over); err != nil {
		return err
	}
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-gone:
		return nil
	case <-time.After(termMost):
		old.Process.Kill()
		return fmt.Errorf("%s: the old process went on %v after SIGTERM, killed", p.Name, termMost)
	}
}

// spawn starts a process, which is the one from then on.
func (p *Process) spawn(program string, args []string) (over chan struct{}, err error) {
	c := exec.Command(program, args...)
	c.Env = append(append(os.Environ(), p.env...), "RELAY_CONFIG="+p.config, "TMPDIR="+p.Dir,
		"LARCHTHREAD_FAULTS="+filepath.Join(p.Dir, faultsName), "LARCHTHREAD_WALL="+p.wall)
	c.Dir = p.Dir
	r, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	c.Stdout, c.Stderr = w, w
	err = p.shell.start(c)
	w.Close()
	if err != nil {
		r.Close()
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	over = make(chan struct{})
	p.cmd, p.over = c, over
	read := make(chan struct{})
	go func() {
		defer close(read)
		p.read(r)
	}()
	go func() {
		defer close(over)
		c.Wait()
		<-read
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd != c {
			return
		}
		if p.state != ending {
			p.crash = "it said nothing"
			if n := len(p.lines); n > 0 {
				p.crash = p.lines[n-1].Text
			}
		}
		p.move(absent)
	}()
	return over, nil
}

// spoil tells a program that was built for it what to spoil (package machine). A clock counts for what is started later, too.
func (p *Process) spoil(line string) error {
	if off, is := strings.CutPrefix(line, "clock "); is {
		p.mu.Lock()
		p.wall = off
		p.mu.Unlock()
	}
	c, err := net.Dial("unix", filepath.Join(p.Dir, faultsName))
	if err != nil {
		return fmt.Errorf("%s: %q: no faults in this program, or it does not run (build it with -tags faults): %w", p.Name, line, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callMost))
	fmt.Fprintln(c, line)
	said, err := bufio.NewReader(c).ReadString('\n')
	if said = strings.TrimSpace(said); err != nil || said != "ok" {
		return fmt.Errorf("%s: %q: %s %w", p.Name, line, said, err)
	}
	return nil
}

// await waits until the process serves.
func (p *Process) await(over <-chan struct{}) error {
	for end := time.Now().Add(startMost); time.Now().Before(end); {
		select {
		case <-over:
			return fmt.Errorf("%s: ended amid its start: %s", p.Name, p.last())
		case <-time.After(startLook):
		}
		if p.probe() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.state == starting {
				p.move(serving)
			}
			return nil
		}
	}
	return fmt.Errorf("%s: does not serve %v after its start: %s", p.Name, startMost, p.last())
}

func (p *Process) last() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) == 0 {
		return "it said nothing"
	}
	return p.lines[len(p.lines)-1].Text
}

// read takes the log as it comes.
func (p *Process) read(r io.ReadCloser) {
	defer r.Close()
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, LogLine{p.now(), s.Text()})
		if len(p.lines) > logLines {
			p.lines = p.lines[len(p.lines)-logLines:]
		}
		p.mu.Unlock()
	}
}

// signal sends a signal to the process, if it is in one of the conditions, and moves it on.
func (p *Process) signal(s syscall.Signal, to condition, in ...condition) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range in {
		if p.state == c {
			if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
				return fmt.Errorf("%s: %w", p.Name, err)
			}
			p.move(to)
			return nil
		}
	}
	return fmt.Errorf("%s: is %v", p.Name, p.state)
}

// Freeze stops the process where it stands.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP, frozen, serving) }

// Thaw lets it go on.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT, serving, frozen) }

// Kill ends the process at once, and waits for that.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL, ending, starting, serving, frozen, ending); err != nil {
		return err
	}
	p.Wait()
	return nil
}

// Terminate tells the process to end. One that does not within some seconds is killed, which is told as an error.
func (p *Process) Terminate() error {
	if err := p.signal(syscall.SIGTERM, ending, starting, serving); err != nil {
		return err
	}
	p.mu.Lock()
	over := p.over
	p.mu.Unlock()
	select {
	case <-over:
		return nil
	case <-time.After(termMost):
		p.Kill()
		return fmt.Errorf("%s: went on %v after SIGTERM, killed", p.Name, termMost)
	}
}

// Wait waits until the process has ended.
func (p *Process) Wait() {
	p.mu.Lock()
	over := p.over
	p.mu.Unlock()
	if over != nil {
		<-over
	}
}

// ClearDir clears the disk of a process that is absent, but for its start file.
func (p *Process) ClearDir() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != absent {
		return fmt.Errorf("%s: is %v, its disk is in use", p.Name, p.state)
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
