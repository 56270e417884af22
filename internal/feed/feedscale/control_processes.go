package feedscale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	publisherName = "publisher"
	readyTimeout  = 10 * time.Second // for a started process to report that it is ready
)

// processControlPlane runs the publisher and each relay as a separate process of the program under test.
type processControlPlane struct {
	program     string
	environment []string
	directory   string
	seed        uint64

	mutex     sync.Mutex
	processes map[string]*controlProcess
}

// controlProcess is a process that runs the program's control command.
type controlProcess struct {
	command *exec.Cmd
	input   io.WriteCloser
	lines   chan string // of its standard output; closed when it has exited

	mutex sync.Mutex // serializes requests
}

// newProcessControlPlane returns a control plane with nothing started. The directory is for configuration files and the
// publisher's log.
func newProcessControlPlane(options Options, directory string) *processControlPlane {
	return &processControlPlane{program: options.Program, environment: options.Environment, directory: directory, seed: options.Seed,
		processes: map[string]*controlProcess{}}
}

// controlFile is the configuration file of the control command, with the keys used here.
type controlFile struct {
	Control controlSection `yaml:"control"`
}

// controlSection is the control section of the file.
type controlSection struct {
	Cluster   string   `yaml:"cluster"`
	ID        string   `yaml:"id"`
	Role      string   `yaml:"role"`
	Epoch     uint64   `yaml:"epoch,omitempty"`
	Listen    string   `yaml:"listen"`
	Directory string   `yaml:"directory,omitempty"`
	Parents   []string `yaml:"parents,omitempty"`
	Seed      uint64   `yaml:"seed,omitempty"`

	Settings settingsSection `yaml:"settings"`
	Purges   purgesSection   `yaml:"purges"`
}

// settingsSection configures the settings kind.
type settingsSection struct {
	Window        int `yaml:"window"`
	MaxValueBytes int `yaml:"max_value_bytes"`
}

// purgesSection configures the purges kind.
type purgesSection struct {
	Window int `yaml:"window"`
}

// startPublisher starts the publisher and waits until it is ready.
func (c *processControlPlane) startPublisher(address string) error {
	logDirectory := filepath.Join(c.directory, "log")
	if err := os.MkdirAll(logDirectory, 0o700); err != nil {
		return err
	}
	return c.start(controlSection{Cluster: clusterName, ID: publisherName, Role: "publisher", Epoch: publisherEpoch,
		Listen: address, Directory: logDirectory})
}

// startRelay starts a relay and waits until it is ready.
func (c *processControlPlane) startRelay(relay int, address, publisher string) error {
	return c.start(controlSection{Cluster: clusterName, ID: relayName(relay), Role: "relay", Listen: address,
		Parents: []string{publisher}, Seed: c.seed + uint64(relay) + 1})
}

// relayName returns the ID and process name of a relay.
func relayName(relay int) string { return fmt.Sprintf("relay-%d", relay) }

// start writes the configuration file, starts the process and waits until it is ready.
func (c *processControlPlane) start(section controlSection) error {
	section.Settings = settingsSection{settingsWindow, maxSettingBytes}
	section.Purges = purgesSection{purgesWindow}
	text, err := yaml.Marshal(controlFile{section})
	if err != nil {
		return err
	}
	path := filepath.Join(c.directory, section.ID+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	process, err := startProcess(c.program, c.environment, path)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	c.processes[section.ID] = process
	c.mutex.Unlock()
	return process.waitReady()
}

// startProcess starts the program's control command with pipes for its standard input and output.
func startProcess(program string, environment []string, config string) (*controlProcess, error) {
	command := exec.Command(program, "control", "--config", config)
	command.Env = append(os.Environ(), environment...)
	input, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	process := &controlProcess{command: command, input: input, lines: make(chan string)}
	go process.read(output)
	return process, nil
}

// read sends the lines of the process's output to p.lines, which it closes once the process has exited.
func (p *controlProcess) read(output io.Reader) {
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		p.lines <- scanner.Text()
	}
	p.command.Wait()
	close(p.lines)
}

var (
	errProcessEnded = errors.New("the process has ended")
	errNotRunning   = errors.New("the process is not running")
	errNotReady     = errors.New("the process did not become ready")
)

// waitReady waits for the line that tells that the process is ready. It fails if another line or the end of the output
// comes first, or after readyTimeout.
func (p *controlProcess) waitReady() error {
	select {
	case line, ok := <-p.lines:
		if !ok {
			return errProcessEnded
		}
		if !strings.HasPrefix(line, "ready ") {
			return fmt.Errorf("%w: %q", errNotReady, line)
		}
		return nil
	case <-time.After(readyTimeout):
		return errNotReady
	}
}

// process returns the process of a name, or nil if it is not running.
func (c *processControlPlane) process(name string) *controlProcess {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.processes[name]
}

// publish sends the change to the publisher's standard input and waits for its answer.
func (c *processControlPlane) publish(ctx context.Context, change plannedChange) (position, error) {
	publisher := c.process(publisherName)
	if publisher == nil {
		return position{}, errNotRunning
	}
	line := fmt.Sprintf("%v %s", change.Kind, change.Name)
	if change.Kind == Settings {
		line += " " + change.Value
	}
	answer, err := publisher.request(ctx, line)
	if err != nil {
		return position{}, err
	}
	return parsePosition(answer)
}

// request sends a line to the process and returns the line that it answers. If ctx ends first, it kills the process, since
// a later request would receive the late answer.
func (p *controlProcess) request(ctx context.Context, line string) (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, err := io.WriteString(p.input, line+"\n"); err != nil {
		return "", err
	}
	select {
	case answer, ok := <-p.lines:
		if !ok {
			return "", errProcessEnded
		}
		return answer, nil
	case <-ctx.Done():
		return "", errors.Join(ctx.Err(), p.kill())
	}
}

// parsePosition parses the publisher's answer to a successful publish.
func parsePosition(answer string) (at position, err error) {
	if _, err := fmt.Sscanf(answer, "ok %d/%d", &at.Epoch, &at.Sequence); err != nil {
		return position{}, fmt.Errorf("unexpected answer from publisher: %q", answer)
	}
	return at, nil
}

// killPublisher kills the publisher's process.
func (c *processControlPlane) killPublisher() error { return c.kill(publisherName) }

// killRelay kills a relay's process.
func (c *processControlPlane) killRelay(relay int) error { return c.kill(relayName(relay)) }

// freezeRelay stops a relay's process with SIGSTOP.
func (c *processControlPlane) freezeRelay(relay int) error {
	process := c.process(relayName(relay))
	if process == nil {
		return errNotRunning
	}
	return process.command.Process.Signal(syscall.SIGSTOP)
}

// kill kills the process of a name, if it is running, and removes it.
func (c *processControlPlane) kill(name string) error {
	c.mutex.Lock()
	process := c.processes[name]
	delete(c.processes, name)
	c.mutex.Unlock()
	if process == nil {
		return nil
	}
	return process.kill()
}

// kill sends SIGKILL and waits until the process has exited.
func (p *controlProcess) kill() error {
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	for range p.lines { // until the process has exited
	}
	return nil
}

// usage reads the usage of the running processes.
func (c *processControlPlane) usage() (map[string]processUsage, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	used := map[string]processUsage{}
	for name, process := range c.processes {
		usage, err := usageOf(process.command.Process.Pid)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		used[name] = usage
	}
	return used, nil
}

// close kills all processes.
func (c *processControlPlane) close() error {
	c.mutex.Lock()
	var names []string
	for name := range c.processes {
		names = append(names, name)
	}
	c.mutex.Unlock()
	var failures []error
	for _, name := range names {
		failures = append(failures, c.kill(name))
	}
	return errors.Join(failures...)
}
