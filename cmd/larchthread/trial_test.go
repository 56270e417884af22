package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"larchthread/internal/trial"
)

// runPlan plays a plan on processes of this binary.
func runPlan(t *testing.T, p trial.Plan) *trial.Result {
	t.Helper()
	cluster := &trial.Cluster{Program: os.Args[0], Args: []string{"serve"}, Env: []string{"LARCHTHREAD_SERVE=1"}}
	r, err := cluster.Run(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if r.Failed() || len(r.ClusterErrors) > 0 {
		var b bytes.Buffer
		r.WriteTable(&b)
		t.Errorf("%s\n%s", &b, r.Plan)
	}
	return r
}

// A fixed dozen of plans, three balancers each: all rules are kept. Two are played at a time.
func TestDozen(t *testing.T) {
	if testing.Short() {
		t.Skip("it takes half a minute")
	}
	two := make(chan bool, 2)
	var all sync.WaitGroup
	for name, faults := range map[string]string{
		"nothing": "",
		"killed while a host hangs": `
- {at: 0.8s, for: 0.8s, what: kill, of: [b1]}
- {at: 0.8s, for: 0.8s, what: hang, of: [h1]}`,
		"upgraded while a host dies": `
- {at: 0.5s, what: upgrade, of: [b1]}
- {at: 0.6s, for: 0.8s, what: die, of: [h2]}`,
		"frozen while a host drains": `
- {at: 0.6s, for: 0.9s, what: freeze, of: [b2]}
- {at: 0.8s, for: 1s, what: drain, of: [h3]}`,
		"a partition by zones": `
- {at: 0.6s, for: 1s, what: cut, from: [z1], to: [z2]}
- {at: 0.6s, for: 1s, what: hole, from: [z2], to: [z1], way: back}`,
		"the origin is slow and copies go void": `
- {at: 0.5s, for: 1.2s, what: slow, of: [origin], by: 10}
- {at: 0.7s, what: void, of: [all]}`,
		"discovery is silent while a host is replaced": `
- {at: 0.4s, for: 1.2s, what: silent}
- {at: 0.6s, for: 1.2s, what: remove, of: [h1]}`,
		"answers are lost on many links": `
- {at: 0.5s, for: 1.2s, what: sever, from: [all], to: [h1, h2, h3], by: 3000}
- {at: 0.5s, for: 1.2s, what: resets, of: [h4], by: 0.5}`,
		"far away, with few connections": `
- {at: 0.4s, for: 1.3s, what: delay, from: [b1, b2], to: [all], by: 20ms}
- {at: 0.5s, for: 1.2s, what: table, of: [h1, h2], by: 2}`,
		"banned by hand, and a disk lost": `
- {at: 0.4s, for: 1.4s, what: ban, of: [h5]}
- {at: 0.6s, for: 0.8s, what: wipe, of: [b3]}`,
		"errors beside late lists": `
- {at: 0.4s, for: 1.2s, what: errors, of: [h1, h2, origin], by: 0.4}
- {at: 0.5s, for: 1.2s, what: late, by: 400ms}`,
		"ended and started again, one after another": `
- {at: 0.3s, for: 0.6s, what: term, of: [b1]}
- {at: 1s, for: 0.7s, what: term, of: [b2]}`,
	} {
		text := "name: " + name + "\nload: {for: 2.2s, rate: 200}\n"
		if faults != "" {
			text += "faults:" + faults
		}
		p, err := trial.ParsePlan([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		all.Add(1)
		go func() {
			defer all.Done() // also where the subtest is not asked for
			t.Run(name, func(t *testing.T) {
				two <- true
				defer func() { <-two }()
				r := runPlan(t, p)
				if least := 0.3; r.InTimeShare() < least {
					t.Errorf("%.2f of the ops in time, want %v", r.InTimeShare(), least)
				}
			})
		}()
	}
	all.Wait()
}

// The trial itself is killed: nothing that it started lives on.
func TestTrialKilled(t *testing.T) {
	plan := filepath.Join(t.TempDir(), "plan.yaml")
	if err := os.WriteFile(plan, []byte("load: {for: 30s, rate: 20}"), 0o600); err != nil {
		t.Fatal(err)
	}
	g := exec.Command(os.Args[0], "trial", plan, "--quiet")
	g.Env = append(os.Environ(), "LARCHTHREAD_SERVE=1", "TMPDIR="+t.TempDir()) // it leaves its directory
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	var started []int
	for end := time.Now().Add(20 * time.Second); len(started) < 3 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		started = children(g.Process.Pid)
	}
	g.Process.Kill()
	g.Wait()
	if len(started) != 3 {
		t.Fatalf("started: %v", started)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		alive := 0
		for _, pid := range started {
			if syscall.Kill(pid, 0) == nil && !zombie(pid) {
				alive++
			}
		}
		if alive == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %v live on", alive, started)
		}
	}
}

// children are the processes that a process's threads have started.
func children(pid int) (all []int) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, path := range tasks {
		text, _ := os.ReadFile(path)
		for _, word := range strings.Fields(string(text)) {
			if n, err := strconv.Atoi(word); err == nil {
				all = append(all, n)
			}
		}
	}
	return all
}

// zombie tells whether a process has ended and only its parent has not looked.
func zombie(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(rest, "Z")
}

// What trial says and returns where a plan can't be played.
func Example_trialBadly() {
	dir, _ := os.MkdirTemp("", "larchthread-test-")
	defer os.RemoveAll(dir)
	bad, empty := filepath.Join(dir, "bad.yaml"), filepath.Join(dir, "empty.yaml")
	os.WriteFile(bad, []byte("faults:\n- {at: 1s, for: 1s, what: kill, of: [b7]}\n"), 0o600)
	os.WriteFile(empty, nil, 0o600)
	for _, args := range [][]string{{}, {bad}, {empty}, {"--draw", "2", bad}, {bad + "x"}} {
		c := newRootCommand()
		var said bytes.Buffer
		c.SetOut(&said)
		c.SetErr(&said)
		c.SetArgs(append([]string{"trial"}, args...))
		code := execute(c)
		fmt.Println(code, strings.TrimSpace(strings.ReplaceAll(said.String(), dir, "DIR")))
	}
	// Output:
	// 2 no plan: name a file, or draw some with --draw
	// 2 DIR/bad.yaml: plan: line 2: kill: of: "b7" is none of b1, b2, b3
	// 2 DIR/empty.yaml: plan: empty
	// 2 want plans by file or by --draw, not both
	// 2 open DIR/bad.yamlx: no such file or directory
}

// A report is one file with everything in it.
func TestTrialReport(t *testing.T) {
	p, err := trial.ParsePlan([]byte("fleet: {balancers: 1, hosts: 2}\nload: {for: 1s, rate: 50}\nfaults: [{at: 0.2s, for: 0.3s, what: slow, of: [h1], by: 5}]"))
	if err != nil {
		t.Fatal(err)
	}
	r := runPlan(t, p)
	var html bytes.Buffer
	if err := r.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"all rules kept", "pushes by host: h1 ", "0.20s slow 5 h1 for 300ms", "what: slow"} {
		if !strings.Contains(html.String(), want) {
			t.Errorf("no %q in the report", want)
		}
	}
	if n := strings.Count(html.String(), "<svg"); n != 3 {
		t.Errorf("%d plots, want 3", n)
	}
	if strings.Contains(html.String(), "src=") {
		t.Error("the report asks for another file")
	}
}

// Where no more sockets are to be had the trial says so.
func TestNoRoom(t *testing.T) {
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	few := old
	few.Cur = 40
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few); err != nil {
		t.Fatal(err)
	}
	p := trial.DefaultPlan()
	p.Fleet.Hosts = 100
	cluster := &trial.Cluster{Program: os.Args[0], Args: []string{"serve"}, Env: []string{"LARCHTHREAD_SERVE=1"}}
	_, err := cluster.Run(context.Background(), p)
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old)
	if err == nil || !strings.Contains(err.Error(), "too many open files") {
		t.Fatal(err)
	}
}

// The build that ships holds nothing that could spoil its files or clock.
func TestShippedBuildSpoilsNothing(t *testing.T) {
	program, err := os.ReadFile(os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	has := func(name string) bool { return bytes.Contains(program, []byte("larchthread/internal/machine."+name)) }
	if spoils := has("spo" + "il"); !has("Wa"+"ll") || spoils != builtWithFaults {
		t.Errorf("it can spoil: %t, want %t", spoils, builtWithFaults)
	}
}
