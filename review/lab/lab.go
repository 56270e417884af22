// Package lab has what the cases of the review share: a record, the balancer as a process of its own, and small stand-ins
// for discovery, cache hosts and the origin. All addresses are on loopback.
package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule was kept
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Lab is one run of a case.
type Lab struct {
	Root    string // the repository
	Dir     string // temporary folder, also the balancers' TMPDIR
	Trouble bool   // false: the run leaves the disruption out
	began   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*Balancer
}

// Run runs a case in the folder that the process was started in, and ends the process. It ends all balancers first.
func Run(limit time.Duration, play func(*Lab) int) {
	runtime.LockOSThread() // the kernel ends the balancers with the thread that started them
	folder, err := os.Getwd()
	if err != nil {
		fail(err)
	}
	l := &Lab{Root: filepath.Join(folder, "..", ".."), Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fail(err)
	}
	if l.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		fail(err)
	}
	time.AfterFunc(limit, func() {
		l.Notef("the case took over %v", limit)
		l.end(NotRun)
	})
	l.Notef("trouble: %v", l.Trouble)
	l.end(l.play(play))
}

// play runs the case. A panic of a helper means that the case could not run.
func (l *Lab) play(play func(*Lab) int) (code int) {
	defer func() {
		if r := recover(); r != nil {
			l.Notef("could not run: %v", r)
			code = NotRun
		}
	}()
	return play(l)
}

// fail ends a case that has no record yet.
func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(NotRun)
}

// end ends all balancers and the process.
func (l *Lab) end(code int) {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	os.RemoveAll(l.Dir)
	l.Notef("exit code %d", code)
	fmt.Printf("exit code %d\n", code)
	os.Exit(code)
}

// Must stops the case if err is not nil.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// Now returns the time since the start of the case.
func (l *Lab) Now() time.Duration { return time.Since(l.began) }

// Notef writes a line to the record.
func (l *Lab) Notef(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f %s\n", l.Now().Seconds(), fmt.Sprintf(format, a...))
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	defer l.Close()
	return l.Addr().String()
}

// Balancer is a process of the program.
type Balancer struct {
	Name  string
	Admin string // address for operators
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
}

// Start is what a balancer is started with, besides settings that all cases share.
type Start struct {
	Name, Listen, Admin, Discovery string
	MemoryMB, Sockets              int
	Known                          any
	Settings                       map[string]any
}

// StartBalancer starts a balancer with the run line of the deploy file. It does not wait until it serves.
func (l *Lab) StartBalancer(s Start) *Balancer {
	deploy, err := os.ReadFile(filepath.Join(l.Root, "deploy", "balancer.toml"))
	Must(err)
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		panic("deploy/balancer.toml has no run line")
	}
	config, err := json.MarshalIndent(map[string]any{"name": s.Name, "listen": s.Listen, "admin": s.Admin,
		"discovery": s.Discovery, "seed": "8c1f30d27a5be964", "known": s.Known, "settings": s.Settings,
		"limits": map[string]any{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Sockets}}, "", " ")
	Must(err)
	path := filepath.Join(l.Dir, s.Name+".json")
	Must(os.WriteFile(path, config, 0o600))
	b := &Balancer{Name: s.Name, Admin: s.Admin, ended: make(chan struct{})}
	b.log, err = os.Create(filepath.Join(l.Dir, s.Name+".log"))
	Must(err)
	b.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	b.cmd.Dir, b.cmd.Stdout, b.cmd.Stderr = l.Root, b.log, b.log
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_NAME="+s.Name, "RELAY_LISTEN="+s.Listen,
		"RELAY_DISCOVERY="+s.Discovery, "RELAY_ADMIN="+s.Admin, "TMPDIR="+l.Dir)
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(b.cmd.Start())
	l.Notef("%s started, process %d, clients at %s", s.Name, b.cmd.Process.Pid, s.Listen)
	l.mu.Lock()
	l.procs = append(l.procs, b)
	l.mu.Unlock()
	go func() {
		err := b.cmd.Wait()
		l.Notef("%s ended: %v", s.Name, err)
		close(b.ended)
	}()
	return b
}

// Pid returns the process's id.
func (b *Balancer) Pid() int { return b.cmd.Process.Pid }

// Signal sends a signal to the process.
func (b *Balancer) Signal(s syscall.Signal) { Must(b.cmd.Process.Signal(s)) }

// Ended reports whether the process has ended.
func (b *Balancer) Ended() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// Kill ends the process.
func (b *Balancer) Kill() {
	b.cmd.Process.Kill()
	<-b.ended
}

// LogLines returns the lines of the process's log that contain a text, at most the given number.
func (b *Balancer) LogLines(text string, most int) (lines []string) {
	all, _ := os.ReadFile(b.log.Name())
	for _, line := range bytes.Split(all, []byte("\n")) {
		if bytes.Contains(line, []byte(text)) && len(lines) < most {
			lines = append(lines, string(line))
		}
	}
	return lines
}

// AwaitServing waits until the operators' address says yes and mn is answered with MN at the clients' address.
func (l *Lab) AwaitServing(b *Balancer, listen string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		r, err := http.Get("http://" + b.Admin + "/status")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode != http.StatusOK {
			continue
		}
		if c, err := net.Dial("tcp", listen); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "mn\r\n")
			answer := make([]byte, 4)
			n, _ := c.Read(answer)
			c.Close()
			if string(answer[:n]) == "MN\r\n" {
				l.Notef("%s serves", b.Name)
				return
			}
		}
	}
	panic(b.Name + " does not serve")
}
