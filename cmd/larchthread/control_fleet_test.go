package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"larchthread/internal/trial"
)

// controlWait is for conditions that come true in a small part of it, also on a busy machine.
const controlWait = 60 * time.Second

// controlNode is a process of the control command.
type controlNode struct {
	environment []string // besides the test's own
	t           *testing.T
	name        string
	config      string
	address     string // empty for a follower
	process     *exec.Cmd
	input       io.WriteCloser
	log         logBuffer
	outputEnded chan struct{} // closed when the process's output has ended

	mu    sync.Mutex
	lines []string // of output, since the process's start
}

// controlCluster is a cluster: a publisher, two relays, six followers, and links between them.
type controlCluster struct {
	t           *testing.T
	directory   string
	publisher   *controlNode
	relays      map[string]*controlNode
	followers   map[string]*controlNode
	links       map[string]*trial.Link             // to the publisher, by relay
	linkTargets map[string]*atomic.Pointer[string] // the publisher's address that a relay's link leads to
	published   *publishedChanges
}

// Relays, and followers with their relays by preference. Two followers have one relay alone.
var (
	controlRelays  = []string{"a", "b"}
	controlParents = map[string][]string{
		"f1": {"a", "b"}, "f2": {"a", "b"}, "f3": {"b", "a"}, "f4": {"b", "a"}, "onlya": {"a"}, "onlyb": {"b"},
	}
)

// startControlCluster starts the cluster, and returns once all followers are up to date.
func startControlCluster(t *testing.T) *controlCluster {
	t.Helper()
	if testing.Short() {
		t.Skip("it starts nine processes")
	}
	c := &controlCluster{
		t: t, directory: t.TempDir(), relays: make(map[string]*controlNode), followers: make(map[string]*controlNode),
		links: make(map[string]*trial.Link), linkTargets: make(map[string]*atomic.Pointer[string]),
		published: newPublishedChanges(),
	}
	c.publisher = c.newNode("publisher", freeAddress(), "role: publisher, epoch: 1, directory: "+c.directory)
	c.publisher.start()
	for n, name := range controlRelays {
		target := &atomic.Pointer[string]{}
		target.Store(&c.publisher.address)
		c.linkTargets[name] = target
		link, err := trial.OpenLink(name, "publisher", "127.0.0.1", net.ParseIP("127.0.0.9"), uint64(n+1),
			func() string { return *target.Load() })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		c.links[name] = link
		c.relays[name] = c.newNode(name, freeAddress(), fmt.Sprintf("role: relay, parents: [%q]", link.Address()))
		c.relays[name].start()
	}
	for name, parents := range controlParents {
		var addresses []string
		for _, relay := range parents {
			addresses = append(addresses, fmt.Sprintf("%q", c.relays[relay].address))
		}
		node := c.newNode(name, "", fmt.Sprintf("role: follower, parents: [%s]", strings.Join(addresses, ", ")))
		c.followers[name] = node
		node.start()
	}
	c.waitAll("it is fresh", func(checker *eventChecker) bool { return checker.fresh })
	return c
}

// newNode writes a node's control file. Waits are shorter than usual so that a test does not take long.
func (c *controlCluster) newNode(name, address, more string) *controlNode {
	c.t.Helper()
	if address != "" {
		more += fmt.Sprintf(", listen: %q", address)
	}
	text := fmt.Sprintf("control: {cluster: test, id: %s, batch_ms: 50, return_ms: 500, return_jitter_ms: 500, %s}\n", name, more)
	node := &controlNode{t: c.t, name: name, config: filepath.Join(c.directory, name+".yaml"), address: address}
	if err := os.WriteFile(node.config, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(node.end)
	return node
}

// start starts the process, and returns once it says that it is ready.
func (n *controlNode) start() {
	n.t.Helper()
	n.mu.Lock()
	n.lines = nil
	n.mu.Unlock()
	process := n.command()
	process.Stderr = &n.log
	input, err := process.StdinPipe()
	if err != nil {
		n.t.Fatal(err)
	}
	output, err := process.StdoutPipe()
	if err != nil {
		n.t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		n.t.Fatal(err)
	}
	n.process, n.input, n.outputEnded = process, input, make(chan struct{})
	go n.readLines(output, n.outputEnded)
	n.waitFor("it is ready", func(lines []string) bool {
		return len(lines) > 0 && lines[0] == strings.TrimSpace("ready "+n.address)
	})
}

// command is the process's command line, with the node's environment.
func (n *controlNode) command() *exec.Cmd {
	command := exec.Command(os.Args[0], "control", "--config", n.config)
	command.Env = append(append(os.Environ(), "LARCHTHREAD_SERVE=1"), n.environment...)
	return command
}

// runToFailure runs a process that is to end by itself, with an error.
func (n *controlNode) runToFailure() (said string, err error) {
	n.t.Helper()
	text, err := n.command().CombinedOutput()
	if code := (*exec.ExitError)(nil); !errors.As(err, &code) || code.ExitCode() != exitFailure {
		n.t.Errorf("%s: %v, want exit code %d", n.name, err, exitFailure)
	}
	return string(text), err
}

func (n *controlNode) readLines(output io.Reader, read chan<- struct{}) {
	defer close(read)
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		n.mu.Lock()
		n.lines = append(n.lines, scanner.Text())
		n.mu.Unlock()
	}
}

// output is the lines since the process's start.
func (n *controlNode) output() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lines[:len(n.lines):len(n.lines)]
}

// waitFor waits until the lines are as they should be.
func (n *controlNode) waitFor(what string, holds func(lines []string) bool) {
	n.t.Helper()
	waitUntil(n.t, n.name+": "+what, func() bool { return holds(n.output()) }, func() string {
		lines := n.output()
		return fmt.Sprintf("its last lines: %q\nits log:\n%s", lines[max(0, len(lines)-5):], &n.log)
	})
}

// waitUntil waits for a condition, and ends the test where it does not come true.
func waitUntil(t *testing.T, what string, holds func() bool, found func() string) {
	t.Helper()
	for end := time.Now().Add(controlWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never came: %s\n%s", what, found())
}

// signal sends the process a signal.
func (n *controlNode) signal(signal syscall.Signal) {
	n.t.Helper()
	if err := n.process.Process.Signal(signal); err != nil {
		n.t.Fatal(n.name, err)
	}
}

// kill ends the process at once, and returns when all that it had written has been read.
func (n *controlNode) kill() {
	n.t.Helper()
	n.signal(syscall.SIGKILL)
	<-n.outputEnded
	n.process.Wait()
	n.process = nil
}

// terminate ends the process in good order.
func (n *controlNode) terminate() {
	n.t.Helper()
	n.signal(syscall.SIGTERM)
	<-n.outputEnded
	if err := n.process.Wait(); err != nil {
		n.t.Errorf("%s: after SIGTERM: %v\n%s", n.name, err, &n.log)
	}
	n.process = nil
}

// end kills the process at the test's end, if it still runs.
func (n *controlNode) end() {
	if n.process != nil {
		n.process.Process.Kill()
		<-n.outputEnded
		n.process.Wait()
	}
}

// checker checks a follower's lines as far as they have come, from its start on.
func (c *controlCluster) checker(name string) *eventChecker {
	c.t.Helper()
	checker := newEventChecker(c.published)
	for _, line := range c.followers[name].output() {
		if err := checker.checkLine(line); err != nil {
			c.t.Fatalf("%s: %v", name, err)
		}
	}
	return checker
}

// waitAll waits until a condition holds for the named followers, or all of them.
func (c *controlCluster) waitAll(what string, holds func(*eventChecker) bool, names ...string) {
	c.t.Helper()
	if len(names) == 0 {
		for name := range c.followers {
			names = append(names, name)
		}
	}
	for _, name := range names {
		c.followers[name].waitFor(what, func([]string) bool { return holds(c.checker(name)) })
	}
}

// waitCurrent waits until followers have all that was acknowledged, and know that it is fresh.
func (c *controlCluster) waitCurrent(names ...string) {
	c.t.Helper()
	c.waitAll("it is current", func(checker *eventChecker) bool { return checker.fresh && checker.isCurrent() }, names...)
}
