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

// controlTimeout is how long the tests wait for a condition; it leaves room for a busy machine.
const controlTimeout = 60 * time.Second

// controlNode is a process that runs the control command.
type controlNode struct {
	environment []string // added to the test's own environment
	t           *testing.T
	name        string
	config      string
	address     string // empty for a follower
	process     *exec.Cmd
	input       io.WriteCloser
	log         logBuffer
	outputEnded chan struct{} // closed at the end of the process's standard output

	mu    sync.Mutex
	lines []string // of standard output since the process started
}

// controlCluster is a publisher, two relays and six followers. Each relay reaches the publisher through a link that can be
// impaired.
type controlCluster struct {
	t           *testing.T
	directory   string
	publisher   *controlNode
	relays      map[string]*controlNode
	followers   map[string]*controlNode
	links       map[string]*trial.Link             // by relay
	linkTargets map[string]*atomic.Pointer[string] // by relay: the publisher's address that the link connects to
	published   *publishedChanges
}

// The relays, and each follower's relays in order of preference. Two followers have a single relay.
var (
	controlRelays  = []string{"a", "b"}
	controlParents = map[string][]string{
		"f1": {"a", "b"}, "f2": {"a", "b"}, "f3": {"b", "a"}, "f4": {"b", "a"}, "onlya": {"a"}, "onlyb": {"b"},
	}
)

// startControlCluster starts a cluster, and returns once all followers are fresh.
func startControlCluster(t *testing.T) *controlCluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts nine processes")
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
	c.waitFollowers("follower is fresh", func(checker *eventChecker) bool { return checker.fresh })
	return c
}

// newNode writes the control file of a node, with shorter delays than the defaults, and returns the node. It is not started yet,
// and is killed at the end of the test.
func (c *controlCluster) newNode(name, address, options string) *controlNode {
	c.t.Helper()
	if address != "" {
		options += fmt.Sprintf(", listen: %q", address)
	}
	text := fmt.Sprintf("control: {cluster: test, id: %s, batch_ms: 50, return_ms: 500, return_jitter_ms: 500, %s}\n", name, options)
	node := &controlNode{t: c.t, name: name, config: filepath.Join(c.directory, name+".yaml"), address: address}
	if err := os.WriteFile(node.config, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(node.cleanup)
	return node
}

// start starts the process, and returns once it prints its ready line.
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
	n.waitFor("prints ready", func(lines []string) bool {
		return len(lines) > 0 && lines[0] == strings.TrimSpace("ready "+n.address)
	})
}

// command returns the node's command, with its arguments and environment.
func (n *controlNode) command() *exec.Cmd {
	command := exec.Command(os.Args[0], "control", "--config", n.config)
	command.Env = append(append(os.Environ(), "LARCHTHREAD_SERVE=1"), n.environment...)
	return command
}

// runToFailure runs the process to its end, and returns its output and error. The test fails unless the exit code is
// exitFailure.
func (n *controlNode) runToFailure() (output string, err error) {
	n.t.Helper()
	text, err := n.command().CombinedOutput()
	if exitErr := (*exec.ExitError)(nil); !errors.As(err, &exitErr) || exitErr.ExitCode() != exitFailure {
		n.t.Errorf("%s: %v, want exit code %d", n.name, err, exitFailure)
	}
	return string(text), err
}

// readLines appends the lines of output to the node's until the output ends, then closes done.
func (n *controlNode) readLines(output io.Reader, done chan<- struct{}) {
	defer close(done)
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		n.mu.Lock()
		n.lines = append(n.lines, scanner.Text())
		n.mu.Unlock()
	}
}

// output returns the lines of standard output since the process started.
func (n *controlNode) output() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lines[:len(n.lines):len(n.lines)]
}

// waitFor waits until the output satisfies a condition, and fails the test after controlTimeout.
func (n *controlNode) waitFor(description string, condition func(lines []string) bool) {
	n.t.Helper()
	waitUntil(n.t, n.name+": "+description, func() bool { return condition(n.output()) }, func() string {
		lines := n.output()
		return fmt.Sprintf("last lines of output: %q\nlog:\n%s", lines[max(0, len(lines)-5):], &n.log)
	})
}

// waitUntil waits until a condition holds. After controlTimeout it fails the test with the description and the text of diagnose.
func waitUntil(t *testing.T, description string, condition func() bool, diagnose func() string) {
	t.Helper()
	for deadline := time.Now().Add(controlTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s\n%s", description, diagnose())
}

// signal sends the process a signal.
func (n *controlNode) signal(signal syscall.Signal) {
	n.t.Helper()
	if err := n.process.Process.Signal(signal); err != nil {
		n.t.Fatal(n.name, err)
	}
}

// kill kills the process, and returns once all of its output has been read.
func (n *controlNode) kill() {
	n.t.Helper()
	n.signal(syscall.SIGKILL)
	<-n.outputEnded
	n.process.Wait()
	n.process = nil
}

// terminate stops the process with SIGTERM. The test fails unless its exit code is 0.
func (n *controlNode) terminate() {
	n.t.Helper()
	n.signal(syscall.SIGTERM)
	<-n.outputEnded
	if err := n.process.Wait(); err != nil {
		n.t.Errorf("%s: after SIGTERM: %v\n%s", n.name, err, &n.log)
	}
	n.process = nil
}

// cleanup kills the process if it is still running.
func (n *controlNode) cleanup() {
	if n.process != nil {
		n.process.Process.Kill()
		<-n.outputEnded
		n.process.Wait()
	}
}

// checkOutput checks all lines that a follower has printed since its start, and returns the checker's state.
func (c *controlCluster) checkOutput(name string) *eventChecker {
	c.t.Helper()
	checker := newEventChecker(c.published)
	for _, line := range c.followers[name].output() {
		if err := checker.checkLine(line); err != nil {
			c.t.Fatalf("%s: %v", name, err)
		}
	}
	return checker
}

// waitFollowers waits until a condition holds for each of the named followers, or for all followers if none is named.
func (c *controlCluster) waitFollowers(description string, condition func(*eventChecker) bool, names ...string) {
	c.t.Helper()
	if len(names) == 0 {
		for name := range c.followers {
			names = append(names, name)
		}
	}
	for _, name := range names {
		c.followers[name].waitFor(description, func([]string) bool { return condition(c.checkOutput(name)) })
	}
}

// waitCurrent waits until each of the named followers, or all if none is named, has reached every acknowledged change and is
// fresh.
func (c *controlCluster) waitCurrent(names ...string) {
	c.t.Helper()
	c.waitFollowers("follower is current", func(checker *eventChecker) bool {
		return checker.fresh && checker.isCurrent()
	}, names...)
}
