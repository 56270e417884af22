// Package rig2 plays the cases of the second review: it starts the project's own programs as separate processes, and
// stands in for clients, cache hosts, the origin, discovery and the platform on loopback addresses.
package rig2

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A Case plays one case on a rig and returns how often the rule was broken, or an error if it could not run.
type Case func(r *rig) (broken int, err error)

// Play plays a case, with its record in the file record.txt of a folder under the repository's root, which is the working
// directory. It returns the exit code of the case's script.
func Play(folder string, play Case) int { return run(filepath.Join(folder, "record.txt"), play) }

// run plays a case with its record in a file.
func run(record string, play Case) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	r := &rig{file: file, dir: dir, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	defer r.endAll()
	giveUp := func(why string) {
		r.note("given up: %s", why)
		r.endAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() { giveUp("the case takes too long") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { giveUp((<-stop).String()) }()
	broken, err := play(r)
	switch {
	case err != nil:
		r.note("can't run: %v", err)
		fmt.Println("the case can't run:", err)
		return 2
	case broken > 0:
		fmt.Println("the rule was broken, times:", broken)
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// rig is one run of a case.
type rig struct {
	file    *os.File
	dir     string
	began   time.Time
	trouble bool

	mu        sync.Mutex
	processes []*process
}

// ms returns the ms since the run began.
func (r *rig) ms() float64 { return float64(time.Since(r.began).Microseconds()) / 1000 }

// note writes a line to the record, behind the ms since the run began.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%9.1f %s\n", r.ms(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.WriteString(line)
}

// process is a balancer that the run has started.
type process struct {
	cmd    *exec.Cmd
	name   string
	listen string
	ended  chan struct{}
	result error // how it ended; valid once ended is closed
}

// runCommand returns the operators' command for one balancer.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "run = "); found {
			return strings.Trim(strings.TrimSpace(rest), `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run")
}

// start starts a balancer with a start file.
func (r *rig) start(name string, file map[string]any, tmp string) (*process, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(file)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{name: name, listen: file["listen"].(string), ended: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "TMPDIR="+tmp)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.note("%s: started as process %d, listens on %s", name, p.cmd.Process.Pid, p.listen)
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	go func() {
		p.result = p.cmd.Wait()
		r.note("%s: ended: %v", name, p.cmd.ProcessState)
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to the balancer.
func (r *rig) signal(p *process, s syscall.Signal) {
	r.note("%s: %v", p.name, s)
	p.cmd.Process.Signal(s)
}

// hasEnded tells whether the balancer has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// endAll kills all that the run has started and waits for its end.
func (r *rig) endAll() {
	r.mu.Lock()
	all := r.processes
	r.processes = nil
	r.mu.Unlock()
	for _, p := range all {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// awaitReady waits until the balancer answers a ping.
func (r *rig) awaitReady(p *process) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.hasEnded() {
			return fmt.Errorf("%s ended: %v", p.name, p.result)
		}
		conn, err := net.DialTimeout("tcp", p.listen, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(conn, "mn\r\n")
		answer := make([]byte, 4)
		_, err = io.ReadFull(conn, answer)
		conn.Close()
		if err == nil && string(answer) == "MN\r\n" {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// freeAddress returns a loopback address with a port that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// category returns the settings of a category. Times are in ms.
func category(name, repeat string, target, ttl, benefit, window float64) map[string]any {
	return map[string]any{"name": name, "repeat": repeat, "group": "all", "stream": false, "benefit": benefit, "tardyBenefit": 0.25,
		"targetLatencyUs": target * 1000, "ttlUs": ttl * 1000, "dedupWindowUs": window * 1000}
}

// settings returns the settings of a small deployment, after the example of the wire page.
func settings(group, pushes int, categories ...map[string]any) map[string]any {
	return map[string]any{
		"benefitBy": "work", "categories": categories, "discovery": "on_request", "excessBenefit": 0.1, "groupSize": group, "me": 0,
		"callers":   map[string]any{"marksRetry": false},
		"blend":     map[string]any{"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
		"costs":     map[string]any{"crossZone": 0.03, "handshake": 0.04, "origin": 0.03, "waste": 0.05},
		"models":    []string{"full", "small", "origin"},
		"projects":  []any{},
		"quantumUs": 1000,
		"guarantees": map[string]any{"answerSlackUs": 5000, "askWithinUs": 10000000, "coldShare": 0.32, "coldUs": 7500000,
			"drainGraceUs": 500000, "fallUs": 1000000, "tipMultiple": 3.0},
		"limits": map[string]any{"cancelling": true, "connIdleUs": 60000000, "connectTimeoutUs": 50000, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 15000, "maxRetryAfterUs": 400000, "mayDuplicate": false, "mayProbe": false, "mostHeld": 20000,
			"mostPushes": pushes, "peers": false, "retryAfter": true, "streamsPerConn": 100},
		"report":      map[string]any{"fields": []string{}, "how": "none"},
		"serviceType": "cache",
		"specifics": map[string]any{"mode": "aside", "originFallMultiple": 0.0, "originFallUs": 3000000, "originKind": 2,
			"notes": "1 hit, 2 miss"},
		"tier": 0, "tiers": []string{"logcache"}, "weights": "nominal", "zone": "a", "zones": []string{"a"},
	}
}

// startFile returns the start file of a balancer.
func startFile(name, listen string, d *discovery, memory, sockets int, settings map[string]any) map[string]any {
	return map[string]any{"name": name, "listen": listen, "discovery": d.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memory, "sockets": sockets}, "known": d.whole(), "settings": settings}
}
