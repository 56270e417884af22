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
	process          *exec.Cmd
	discoveryAddress string   // discovery's address
	args             []string // of the program's command line
	tempDir          string   // directory where two processes find each other; empty for the usual one
	listenAddress    string
	adminAddress     string // operators' address, where there is one
	configPath       string // of the configuration
	log              logBuffer
	limits           string
	settings         string // settings in place of the usual ones
	logOutput        io.Writer
	servedOps        int // ops, where speed is measured
}

// logBuffer is what processes have written to their logs, several at once.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// What depends on the time is left out of traces: when to come again.
var retryDelayPattern = regexp.MustCompile(`busy [1-9][0-9]+$`)

// printNotes prints what has been noted since the last time, without discovery's calls: when those come is up to time.
func (f *fleet) printNotes() {
	for _, n := range f.TakeNotes() {
		if !strings.HasPrefix(n, "discovery") {
			fmt.Println(" ", n)
		}
	}
}

// oneName has the hosts x and x2 noted alike: which of them a key goes to first is of no matter.
func (f *fleet) oneName() { f.ReplaceInNotes("x2:", "x:") }

// freeAddress is an address that nobody has.
func freeAddress() string {
	address, err := standin.FreeAddress()
	if err != nil {
		panic(err)
	}
	return address.String()
}

const defaultSettings = `{"categories":[
	{"name":"read","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"retryable","tardyBenefit":0.5},
	{"name":"put","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"dedup","dedupWindowUs":400000,"tardyBenefit":0.5},
	{"name":"once","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"fragile","tardyBenefit":0.5}],
	"groupSize":1,"quantumUs":1000,"discovery":"on_request","benefitBy":"request","models":["box","origin"],"zones":["z"],
	"specifics":{"mode":"aside","originKind":1},
	"limits":{"mostPushes":3,"cancelling":true,"connIdleUs":60000000,"connectTimeoutUs":50000,"retryAfter":true,"maxRetryAfterUs":400000}}`

// writeConfig writes the configuration.
func (f *fleet) writeConfig(discovery string) {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"admin":%q,"discovery":%q,"seed":"7","limits":%s,"known":%s,"settings":%s}`,
		f.listenAddress, f.adminAddress, discovery, f.limits, standin.HostListJSON(1, true, f.Members...), f.settings)
	if !json.Valid([]byte(text)) {
		panic(text)
	}
	if err := os.WriteFile(f.configPath, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// start starts discovery and the program, and returns once its watch stands.
func (f *fleet) start() {
	f.WatchAnswers = make(chan string, 4)
	f.listenAddress = freeAddress()
	if f.limits == "" {
		f.limits = `{"cores":1,"memory_mb":192,"sockets":1024}`
	}
	if f.settings == "" {
		f.settings = defaultSettings
	}
	f.configPath = filepath.Join(os.TempDir(), fmt.Sprintf("larchthread-test-%d.json", os.Getpid()))
	f.discoveryAddress = f.ServeDiscovery("discovery")
	f.writeConfig(f.discoveryAddress)
	f.process = f.startProcess()
	waitForListener(f.listenAddress)
	if f.args == nil {
		f.awaitNote("discovery: 1", 2)
	}
	f.TakeNotes()
}

// waitForListener waits until an address takes connections.
func waitForListener(address string) {
	for range 500 {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// startProcess starts the program with the configuration as it stands.
func (f *fleet) startProcess() *exec.Cmd {
	p := exec.Command(os.Args[0], f.args...)
	p.Env = append(os.Environ(), "LARCHTHREAD_SERVE=1", "RELAY_CONFIG="+f.configPath)
	if f.tempDir != "" {
		p.Env = append(p.Env, "TMPDIR="+f.tempDir)
	}
	p.Stderr = &f.log
	if f.logOutput != nil {
		p.Stderr = f.logOutput
	}
	if err := p.Start(); err != nil {
		panic(err)
	}
	return p
}

// startSuccessor starts a second process beside the running one, and returns once it says yes.
func (f *fleet) startSuccessor() *exec.Cmd {
	f.adminAddress = freeAddress()
	f.writeConfig(f.discoveryAddress)
	p := f.startProcess()
	for range 500 {
		if f.callAdmin("GET", "/status", "") == "200 serving" {
			return p
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Println("no yes")
	return p
}

// upgradeAndPrint has a second process take the place of the running one, and prints how that ends.
func (f *fleet) upgradeAndPrint() { fmt.Println("the old one ends:", f.replaceProcess()) }

// replaceProcess has a second process take the place of the running one, and returns how that ends.
func (f *fleet) replaceProcess() error {
	old := f.process
	f.process = f.startSuccessor()
	old.Process.Signal(syscall.SIGTERM)
	return old.Wait()
}

// awaitNote waits until a note has come so many times.
func (f *fleet) awaitNote(note string, times int) {
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

// handoverSocketPath is where a process that takes over finds the running one.
func (f *fleet) handoverSocketPath() string {
	return filepath.Join(f.tempDir, "larchthread-"+strings.ReplaceAll(f.listenAddress, ":", "-"))
}

// drainFirstHost has discovery tell that the first host drains.
func (f *fleet) drainFirstHost() {
	f.WatchAnswers <- standin.HostListJSON(2, false, strings.Replace(f.Members[0], standin.InService, standin.Terminating, 1))
}

// stop ends what start began.
func (f *fleet) stop() {
	f.process.Process.Kill()
	f.process.Wait()
	os.Remove(f.configPath)
	f.Close()
}

// stopAndPrintReasons prints how often connections ended for each of the reasons.
func (f *fleet) stopAndPrintReasons(reasons ...string) {
	f.process.Process.Signal(syscall.SIGTERM)
	f.process.Wait()
	for _, r := range reasons {
		fmt.Println(r, strings.Count(f.log.String(), "reason="+r+" "))
	}
}

// client is a connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fleet) newClient() *client {
	c, err := net.Dial("tcp", f.listenAddress)
	if err != nil {
		panic(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

// sendAndPrint sends commands and prints so many lines of what comes back.
func (c *client) sendAndPrint(lines int, commands string) {
	io.WriteString(c, commands)
	for range lines {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			fmt.Println("client:", strings.TrimSpace(line), errors.Unwrap(err) != nil, err == io.EOF)
			return
		}
		fmt.Println(retryDelayPattern.ReplaceAllString(strings.TrimSpace(line), "busy .."))
	}
}

func hit(words []string) string { return "VA 5 O{id}\r\nvalue\r\n" }

func miss(words []string) string { return "EN O{id}\r\n" }

// hitWithSlowKey takes so long for the key that is called slow.
func hitWithSlowKey(took time.Duration) func([]string) string {
	return func(words []string) string {
		if words[1] == "slow" {
			time.Sleep(took)
		}
		return hit(words)
	}
}

func handleOrigin(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		io.WriteString(w, "receipt")
		return
	}
	io.WriteString(w, "fetched")
}

// settingsWithCopies has second copies allowed, and the load of hosts reported.
var settingsWithCopies = strings.NewReplacer(`"cancelling":true`, `"cancelling":true,"mayDuplicate":true`,
	`"groupSize"`, `"report":{"how":"answers","fields":["busy","q"]},"groupSize"`).Replace(defaultSettings)

// printNotesSorted prints what has been noted since the last time, in order of the alphabet and with all hosts under one name:
// two pushes of an op are heard by two of them, in either order.
func (f *fleet) printNotesSorted() {
	f.oneName()
	f.SortNotes()
	f.printNotes()
}

// callAdmin makes an operator's call and returns the status and the body.
func (f *fleet) callAdmin(method, path, body string) string {
	ask, _ := http.NewRequest(method, "http://"+f.adminAddress+path, strings.NewReader(body))
	ask.Close = true
	answer, err := (&http.Client{Timeout: time.Second}).Do(ask)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return fmt.Sprint(answer.StatusCode, " ", strings.TrimSpace(string(text)))
}

// startLoad has clients send ops one after the other, on connections that they keep, until the returned function is called. That
// prints whether many were served; what else comes, but for nacks, is printed as it comes.
func (f *fleet) startLoad(clients int) func() {
	var served atomic.Int64
	var stop atomic.Bool
	var all sync.WaitGroup
	for i := range clients {
		c := f.newClient()
		all.Go(func() {
			defer c.Close()
			for n := 0; !stop.Load(); n++ {
				c.SetDeadline(time.Now().Add(5 * time.Second))
				fmt.Fprintf(c, "mg k%0*d v O%d-%d Pc=read,d=500\r\n", n%5, n, i, n)
				line, _ := c.reader.ReadString('\n')
				if strings.HasPrefix(line, "VA 5 ") {
					more, _ := c.reader.ReadString('\n')
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

// longValue is a value of 4 MiB of which no two pieces are alike.
var longValue = func() string {
	var b strings.Builder
	for i := 0; b.Len() < 4<<20; i++ {
		fmt.Fprintf(&b, "%07d.", i)
	}
	return b.String()[:4<<20]
}()

// readValue reads a value and tells whether it is whole and as it was. An op that is nacked is asked again, as a client would: on a busy
// machine the stand-ins' own stalls look like hosts that hang.
func (c *client) readValue(value, again string) bool {
	head, _ := c.reader.ReadString('\n')
	for n := 0; strings.HasPrefix(head, "SERVER_ERROR busy ") && n < 50; n++ {
		time.Sleep(20 * time.Millisecond)
		c.sendAndPrint(0, strings.Replace(again, " O", fmt.Sprintf(" O%d-", n), 1))
		head, _ = c.reader.ReadString('\n')
	}
	got := make([]byte, len(value)+2)
	n, _ := io.ReadFull(c.reader, got)
	return strings.HasPrefix(head, fmt.Sprintf("VA %d O", len(value))) && string(got[:n]) == value+"\r\n"
}

// peakMemoryMB is how much memory the program has had at the most, in MB.
func (f *fleet) peakMemoryMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
	kb := 0
	if at := bytes.Index(text, []byte("VmHWM:")); at >= 0 {
		fmt.Sscan(string(text[at+len("VmHWM:"):]), &kb)
	}
	return kb / 1024
}

// countPushes counts the pushes of an op that hosts have heard.
func (f *fleet) countPushes(id string) int {
	return strings.Count(strings.Join(f.Notes(), "\n"), " O"+id+" ")
}

// replaceSetting is the usual settings with a part of them in place of another.
func replaceSetting(old, now string) string {
	if !strings.Contains(defaultSettings, old) {
		panic(old)
	}
	return strings.Replace(defaultSettings, old, now, 1)
}

// whileStopped runs do while the program stands still, so that all that do brings about reaches it in one round.
func (f *fleet) whileStopped(do func()) {
	f.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(30 * time.Millisecond) // until it has stopped
	do()
	time.Sleep(30 * time.Millisecond) // until the kernel has all of it
	f.process.Process.Signal(syscall.SIGCONT)
}
