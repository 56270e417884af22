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

const startLimit = 10 * time.Second

// startForm is the form of a balancer's start file, as far as the measurements set it.
type startForm struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    processLimits   `json:"limits"`
	Known     json.RawMessage `json:"known,omitempty"`
	Settings  settingsForm    `json:"settings"`
}

type processLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// process is a real balancer, in a process of its own.
type process struct {
	command *exec.Cmd
	listen  string
	dir     string
}

// startProcess starts the program with a start file, and returns once it takes connections.
func startProcess(program string, env []string, form startForm) (*process, error) {
	dir, err := os.MkdirTemp("", "larchthread-scale-")
	if err != nil {
		return nil, err
	}
	p := &process{dir: dir}
	if err := p.start(program, env, form); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return p, p.reach()
}

func (p *process) start(program string, env []string, form startForm) error {
	listen, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	p.listen = listen.String()
	form.Listen = p.listen
	text, err := json.Marshal(form)
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

// reach waits until the process takes connections.
func (p *process) reach() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.listen); err == nil {
			c.Close()
			return nil
		}
	}
	p.stop()
	return fmt.Errorf("the balancer does not listen on %s after %v", p.listen, startLimit)
}

func (p *process) stop() {
	p.command.Process.Kill()
	p.command.Wait()
	os.RemoveAll(p.dir)
}

// processorTime is what all threads of the process have used so far.
func (p *process) processorTime() (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	sum := int64(0)
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
		sum += ns
	}
	return time.Duration(sum), nil
}

// memory is a figure of the process's status, such as VmRSS, in bytes.
func (p *process) memory(name string) (float64, error) {
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
	return 0, fmt.Errorf("process status: no %s", name)
}

// descriptors counts the open files of the process.
func (p *process) descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries), err
}
