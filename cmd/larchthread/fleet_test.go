package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"larchthread/internal/standin"
)

// fleet is the program and all that it speaks to: cache hosts and an origin that do as they are told, and discovery.
type fleet struct {
	standin.ScriptedFleet
	process *exec.Cmd
	watched string   // discovery's address
	args    []string // of the program's command line
	tmp     string   // directory where two processes find each other; empty for the usual one
	listen  string
	admin   string // operators' address, where there is one
	path    string // of the configuration
	log     processLog
	limits  string
	sets    string // settings in place of the usual ones
	logTo   io.Writer
	served  int // ops, where speed is measured
}

// processLog is what processes have written to their logs, several at once.
type processLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// What depends on the time is left out of traces: when to come again.
var again = regexp.MustCompile(`busy [1-9][0-9]+$`)

// heard prints what has been noted since the last time, without discovery's calls: when those come is up to time.
func (f *fleet) heard() {
	for _, n := range f.Forget() {
		if !strings.HasPrefix(n, "discovery") {
			fmt.Println(" ", n)
		}
	}
}

// oneName has the hosts x and x2 noted alike: which of them a key goes to first is of no matter.
func (f *fleet) oneName() { f.Rename("x2:", "x:") }

// freeAddress is an address that nobody has.
func freeAddress() string {
	address, err := standin.FreeAddress()
	if err != nil {
		panic(err)
	}
	return address.String()
}

const settings = `{"categories":[
	{"name":"read","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"retryable","tardyBenefit":0.5},
	{"name":"put","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"dedup","dedupWindowUs":400000,"tardyBenefit":0.5},
	{"name":"once","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"fragile","tardyBenefit":0.5}],
	"groupSize":1,"quantumUs":1000,"discovery":"on_request","benefitBy":"request","models":["box","origin"],"zones":["z"],
	"specifics":{"mode":"aside","originKind":1},
	"limits":{"mostPushes":3,"cancelling":true,"connIdleUs":60000000,"connectTimeoutUs":50000,"retryAfter":true,"maxRetryAfterUs":400000}}`

// write writes the configuration.
func (f *fleet) write(discovery string) {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"admin":%q,"discovery":%q,"seed":"7","limits":%s,"known":%s,"settings":%s}`,
		f.listen, f.admin, discovery, f.limits, standin.List(1, true, f.Members...), f.sets)
	if !json.Valid([]byte(text)) {
		panic(text)
	}
	if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// start starts discovery and the program, and returns once its watch stands.
func (f *fleet) start() {
	f.Changed = make(chan string, 4)
	f.listen = freeAddress()
	if f.limits == "" {
		f.limits = `{"cores":1,"memory_mb":192,"sockets":1024}`
	}
	if f.sets == "" {
		f.sets = settings
	}
	f.path = filepath.Join(os.TempDir(), fmt.Sprintf("larchthread-test-%d.json", os.Getpid()))
	f.watched = f.Lists("discovery")
	f.write(f.watched)
	f.process = f.run()
	reach(f.listen)
	if f.args == nil {
		f.await("discovery: 1", 2)
	}
	f.Forget()
}

// reach waits until an address takes connections.
func reach(address string) {
	for range 500 {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// run starts the program with the configuration as it stands.
func (f *fleet) run() *exec.Cmd {
	p := exec.Command(os.Args[0], f.args...)
	p.Env = append(os.Environ(), "LARCHTHREAD_SERVE=1", "RELAY_CONFIG="+f.path)
	if f.tmp != "" {
		p.Env = append(p.Env, "TMPDIR="+f.tmp)
	}
	p.Stderr = &f.log
	if f.logTo != nil {
		p.Stderr = f.logTo
	}
	if err := p.Start(); err != nil {
		panic(err)
	}
	return p
}

// beside starts a second process beside the running one, and returns once it says yes.
func (f *fleet) beside() *exec.Cmd {
	f.admin = freeAddress()
	f.write(f.watched)
	p := f.run()
	for range 500 {
		if f.call("GET", "/status", "") == "200 serving" {
			return p
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Println("no yes")
	return p
}

// upgrade has a second process take the place of the running one, and prints how that ends.
func (f *fleet) upgrade() { fmt.Println("the old one ends:", f.replace()) }

// replace has a second process take the place of the running one, and returns how that ends.
func (f *fleet) replace() error {
	old := f.process
	f.process = f.beside()
	old.Process.Signal(syscall.SIGTERM)
	return old.Wait()
}

// await waits until a note has come so many times.
func (f *fleet) await(note string, times int) {
	for range 500 {
		n := 0
		for _, x := range f.Notes() {
			if x == note {
				n++
			}
		}
		if n >= times {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Printf("never came: %q\n", note)
}

// controlPath is where a process that takes over finds the running one.
func (f *fleet) controlPath() string {
	return filepath.Join(f.tmp, "larchthread-"+strings.ReplaceAll(f.listen, ":", "-"))
}

// drain has discovery tell that the first host drains.
func (f *fleet) drain() {
	f.Changed <- standin.List(2, false, strings.Replace(f.Members[0], standin.InService, standin.Terminating, 1))
}

// stop ends what start began.
func (f *fleet) stop() {
	f.process.Process.Kill()
	f.process.Wait()
	os.Remove(f.path)
	f.Close()
}

// ended prints how often connections ended for each of the reasons.
func (f *fleet) ended(reasons ...string) {
	f.process.Process.Signal(syscall.SIGTERM)
	f.process.Wait()
	for _, r := range reasons {
		fmt.Println(r, strings.Count(f.log.String(), "reason="+r+" "))
	}
}

// client is a connection of a client.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (f *fleet) client() *client {
	c, err := net.Dial("tcp", f.listen)
	if err != nil {
		panic(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

// say sends commands and prints so many lines of what comes back.
func (c *client) say(lines int, commands string) {
	io.WriteString(c, commands)
	for range lines {
		line, err := c.r.ReadString('\n')
		if err != nil {
			fmt.Println("client:", strings.TrimSpace(line), errors.Unwrap(err) != nil, err == io.EOF)
			return
		}
		fmt.Println(again.ReplaceAllString(strings.TrimSpace(line), "busy .."))
	}
}

func hit(words []string) string { return "VA 5 O{id}\r\nvalue\r\n" }

func miss(words []string) string { return "EN O{id}\r\n" }

// slowly takes so long for the key that is called slow.
func slowly(took time.Duration) func([]string) string {
	return func(words []string) string {
		if words[1] == "slow" {
			time.Sleep(took)
		}
		return hit(words)
	}
}

func fetch(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		io.WriteString(w, "receipt")
		return
	}
	io.WriteString(w, "fetched")
}

// twice has second copies allowed, and the load of hosts reported.
var twice = strings.NewReplacer(`"cancelling":true`, `"cancelling":true,"mayDuplicate":true`,
	`"groupSize"`, `"report":{"how":"answers","fields":["busy","q"]},"groupSize"`).Replace(settings)

// heardSorted prints what has been noted since the last time, in order of the alphabet and with all hosts under one name:
// two pushes of an op are heard by two of them, in either order.
func (f *fleet) heardSorted() {
	f.oneName()
	f.Sort()
	f.heard()
}

// call makes an operator's call and returns the status and the body.
func (f *fleet) call(method, path, body string) string {
	ask, _ := http.NewRequest(method, "http://"+f.admin+path, strings.NewReader(body))
	ask.Close = true
	answer, err := (&http.Client{Timeout: time.Second}).Do(ask)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return fmt.Sprint(answer.StatusCode, " ", strings.TrimSpace(string(text)))
}

// load has clients send ops one after the other, on connections that they keep, until the returned function is called. That
// prints whether many were served; what else comes, but for nacks, is printed as it comes.
func (f *fleet) load(clients int) func() {
	var served atomic.Int64
	var stop atomic.Bool
	var all sync.WaitGroup
	for i := range clients {
		c := f.client()
		all.Go(func() {
			defer c.Close()
			for n := 0; !stop.Load(); n++ {
				c.SetDeadline(time.Now().Add(5 * time.Second))
				fmt.Fprintf(c, "mg k%0*d v O%d-%d Pc=read,d=500\r\n", n%5, n, i, n)
				line, _ := c.r.ReadString('\n')
				if strings.HasPrefix(line, "VA 5 ") {
					more, _ := c.r.ReadString('\n')
					line += more
				}
				if strings.HasPrefix(line, "SERVER_ERROR busy ") { // safe to repeat: the next one does
					continue
				}
				if line != fmt.Sprintf("VA 5 O%d-%d\r\nvalue\r\n", i, n) {
					fmt.Printf("%q\n", line)
					return
				}
				served.Add(1)
				time.Sleep(time.Duration(i%3) * time.Millisecond)
			}
		})
	}
	return func() {
		stop.Store(true)
		all.Wait()
		fmt.Println("served some hundreds:", served.Load() > 200)
	}
}

// big is a value of 4 MiB of which no two pieces are alike.
var big = func() string {
	var b strings.Builder
	for i := 0; b.Len() < 4<<20; i++ {
		fmt.Fprintf(&b, "%07d.", i)
	}
	return b.String()[:4<<20]
}()

// take reads a value and tells whether it is whole and as it was. An op that is nacked is asked again, as a client would: on a busy
// machine the stand-ins' own stalls look like hosts that hang.
func (c *client) take(value, again string) bool {
	head, _ := c.r.ReadString('\n')
	for n := 0; strings.HasPrefix(head, "SERVER_ERROR busy ") && n < 50; n++ {
		time.Sleep(20 * time.Millisecond)
		c.say(0, strings.Replace(again, " O", fmt.Sprintf(" O%d-", n), 1))
		head, _ = c.r.ReadString('\n')
	}
	got := make([]byte, len(value)+2)
	n, _ := io.ReadFull(c.r, got)
	return strings.HasPrefix(head, fmt.Sprintf("VA %d O", len(value))) && string(got[:n]) == value+"\r\n"
}

// resident is how much memory the program has had at the most, in MB.
func (f *fleet) resident() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
	kb := 0
	if at := bytes.Index(text, []byte("VmHWM:")); at >= 0 {
		fmt.Sscan(string(text[at+len("VmHWM:"):]), &kb)
	}
	return kb / 1024
}

// sent counts the pushes of an op that hosts have heard.
func (f *fleet) sent(id string) int {
	return strings.Count(strings.Join(f.Notes(), "\n"), " O"+id+" ")
}

// setting is the usual settings with a part of them in place of another.
func setting(old, now string) string {
	if !strings.Contains(settings, old) {
		panic(old)
	}
	return strings.Replace(settings, old, now, 1)
}

// stopped runs do while the program stands still, so that all that do brings about reaches it in one round.
func (f *fleet) stopped(do func()) {
	f.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(30 * time.Millisecond) // until it has stopped
	do()
	time.Sleep(30 * time.Millisecond) // until the kernel has all of it
	f.process.Process.Signal(syscall.SIGCONT)
}
