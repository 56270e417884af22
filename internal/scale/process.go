package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"larchthread/internal/standin"
)

const startTimeout = 10 * time.Second

// startFileJSON holds the fields of a balancer's start file that the measurements set.
type startFileJSON struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limitsFileJSON  `json:"limits"`
	Known     json.RawMessage `json:"known,omitempty"`
	Settings  settingsJSON    `json:"settings"`
}

// limitsFileJSON holds the limits of a start file.
type limitsFileJSON struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// balancerProcess is a balancer that runs in its own process.
type balancerProcess struct {
	command *exec.Cmd
	listen  string
	dir     string
}

// startProcess writes a start file, starts the program with it and waits until the program accepts connections. It returns
// an error if that takes longer than startTimeout.
func startProcess(program string, env []string, startFile startFileJSON) (*balancerProcess, error) {
	dir, err := os.MkdirTemp("", "larchthread-scale-")
	if err != nil {
		return nil, err
	}
	p := &balancerProcess{dir: dir}
	if err := p.start(program, env, startFile); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return p, p.waitUntilReachable()
}

// start writes the start file to the process's directory and starts the program, which logs to a file there.
func (p *balancerProcess) start(program string, env []string, startFile startFileJSON) error {
	listen, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	p.listen = listen.String()
	startFile.Listen = p.listen
	text, err := json.Marshal(startFile)
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "start.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.dir, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(program, "serve")
	p.command.Env = append(append(os.Environ(), env...), "RELAY_CONFIG="+path, "TMPDIR="+p.dir)
	p.command.Stderr = log
	return p.command.Start()
}

// waitUntilReachable waits until the process accepts connections. After startTimeout it stops the process and returns an
// error.
func (p *balancerProcess) waitUntilReachable() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.listen); err == nil {
			c.Close()
			return nil
		}
	}
	p.stop()
	return fmt.Errorf("balancer does not accept connections on %s after %v", p.listen, startTimeout)
}

// stop kills the process and removes its directory.
func (p *balancerProcess) stop() {
	p.command.Process.Kill()
	p.command.Wait()
	os.RemoveAll(p.dir)
}

// cpuTime returns the processor time used so far by the live threads of the process.
func (p *balancerProcess) cpuTime() (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return 0, err
		}
		used, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(used, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", file, err)
		}
		total += ns
	}
	return time.Duration(total), nil
}

// statusBytes returns a field of /proc/PID/status that is given in kB, such as VmRSS, in bytes.
func (p *balancerProcess) statusBytes(name string) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+":"); found {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return kb * 1024, err
		}
	}
	return 0, fmt.Errorf("process status has no field %s", name)
}

// countDescriptors returns the number of open file descriptors of the process.
func (p *balancerProcess) countDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries), err
}
