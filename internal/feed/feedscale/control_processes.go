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
	readyLimit    = 10 * time.Second // until a process that was started says that it is ready
)

// processControl runs the publisher and each relay as a process of the program.
type processControl struct {
	program     string
	environment []string
	directory   string
	seed        uint64

	mutex     sync.Mutex
	processes map[string]*controlProcess
}

// controlProcess is a process of the program's control command.
type controlProcess struct {
	command *exec.Cmd
	input   io.WriteCloser
	lines   chan string // of its output; closed at its end

	mutex sync.Mutex // of one attempt to publish at a time
}

func newProcessControl(options Options, directory string) *processControl {
	return &processControl{program: options.Program, environment: options.Environment, directory: directory, seed: options.Seed,
		processes: map[string]*controlProcess{}}
}

// controlFile is the program's control file, as far as it is used here.
type controlFile struct {
	Control controlSection `yaml:"control"`
}

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

type settingsSection struct {
	Window        int `yaml:"window"`
	MaxValueBytes int `yaml:"max_value_bytes"`
}

type purgesSection struct {
	Window int `yaml:"window"`
}

func (c *processControl) startPublisher(address string) error {
	log := filepath.Join(c.directory, "log")
	if err := os.MkdirAll(log, 0o700); err != nil {
		return err
	}
	return c.start(controlSection{Cluster: clusterName, ID: publisherName, Role: "publisher", Epoch: publisherEpoch,
		Listen: address, Directory: log})
}

func (c *processControl) startRelay(relay int, address, publisher string) error {
	return c.start(controlSection{Cluster: clusterName, ID: relayName(relay), Role: "relay", Listen: address,
		Parents: []string{publisher}, Seed: c.seed + uint64(relay) + 1})
}

func relayName(relay int) string { return fmt.Sprintf("relay-%d", relay) }

// start starts a process, and returns once it is ready.
func (c *processControl) start(section controlSection) error {
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
	return process.awaitReady()
}

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

// read passes the lines of the output on to whoever waits for one, and collects the process at its end.
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
	errNotReady     = errors.New("the process is not ready in time")
)

func (p *controlProcess) awaitReady() error {
	select {
	case line, open := <-p.lines:
		if !open {
			return errProcessEnded
		}
		if !strings.HasPrefix(line, "ready ") {
			return fmt.Errorf("%w: %q", errNotReady, line)
		}
		return nil
	case <-time.After(readyLimit):
		return errNotReady
	}
}

func (c *processControl) process(name string) *controlProcess {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.processes[name]
}

func (c *processControl) publish(ctx context.Context, change plannedChange) (position, error) {
	publisher := c.process(publisherName)
	if publisher == nil {
		return position{}, errNotRunning
	}
	line := fmt.Sprintf("%v %s", change.Kind, change.Name)
	if change.Kind == Settings {
		line += " " + change.Value
	}
	answer, err := publisher.ask(ctx, line)
	if err != nil {
		return position{}, err
	}
	return parsePosition(answer)
}

// ask writes a line and returns the answer. Where the answer does not come in time the process is of no more use, since a later
// line would get it.
func (p *controlProcess) ask(ctx context.Context, line string) (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, err := io.WriteString(p.input, line+"\n"); err != nil {
		return "", err
	}
	select {
	case answer, open := <-p.lines:
		if !open {
			return "", errProcessEnded
		}
		return answer, nil
	case <-ctx.Done():
		return "", errors.Join(ctx.Err(), p.kill())
	}
}

func parsePosition(answer string) (at position, err error) {
	if _, err := fmt.Sscanf(answer, "ok %d/%d", &at.Epoch, &at.Sequence); err != nil {
		return position{}, fmt.Errorf("publisher said %q", answer)
	}
	return at, nil
}

func (c *processControl) killPublisher() error { return c.kill(publisherName) }

func (c *processControl) killRelay(relay int) error { return c.kill(relayName(relay)) }

func (c *processControl) freezeRelay(relay int) error {
	process := c.process(relayName(relay))
	if process == nil {
		return errNotRunning
	}
	return process.command.Process.Signal(syscall.SIGSTOP)
}

// kill ends a process as SIGKILL does, and forgets it.
func (c *processControl) kill(name string) error {
	c.mutex.Lock()
	process := c.processes[name]
	delete(c.processes, name)
	c.mutex.Unlock()
	if process == nil {
		return nil
	}
	return process.kill()
}

// kill returns once the process is gone.
func (p *controlProcess) kill() error {
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	for range p.lines { // until it is collected
	}
	return nil
}

func (c *processControl) usage() (map[string]processUsage, error) {
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

func (c *processControl) close() error {
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
