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

// fleet is the process under test with scripted cache hosts, origin and discovery.
type fleet struct {
	standin.ScriptedFleet
	process          *exec.Cmd
	discoveryAddress string   // address of the discovery server
	args             []string // command-line arguments
	tempDir          string   // directory of the hand-over sockets; empty for the default
	listenAddress    string
	adminAddress     string    // empty for none
	configPath       string    // path of the start file
	log              logBuffer // logs of all processes, unless logOutput is set
	limits           string    // limits JSON of the start file; empty for a default
	settings         string    // settings JSON; empty for defaultSettings
	logOutput        io.Writer
	servedOps        int // ops served in benchmarks
}

// fleetCount numbers the fleets of this test process, which may run beside each other.
var fleetCount atomic.Int64

// logBuffer collects the logs of several processes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends p to the logs.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all that has been logged.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// retryDelayPattern matches the retry delay in nacks, which depends on timing and is removed from printed
// answers.
var retryDelayPattern = regexp.MustCompile(`busy [1-9][0-9]+$`)

// printNotes prints the notes recorded since the last call, without discovery calls, whose timing varies.
func (f *fleet) printNotes() {
	for _, n := range f.TakeNotes() {
		if !strings.HasPrefix(n, "discovery") {
			fmt.Println(" ", n)
		}
	}
}

// mergeHostNames records hosts x and x2 under one name, for tests where either may be chosen first.
func (f *fleet) mergeHostNames() { f.ReplaceInNotes("x2:", "x:") }

// freeAddress returns a free loopback address.
func freeAddress() string {
	address, err := standin.FreeAddress()
	if err != nil {
		panic(err)
	}
	return address.String()
}

// defaultSettings are the settings of most tests: retryable, deduplicated and at-most-once categories, with the
// origin behind the cache hosts.
const defaultSettings = `{"categories":[
	{"name":"read","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"retryable","tardyBenefit":0.5},
	{"name":"put","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"dedup","dedupWindowUs":400000,"tardyBenefit":0.5},
	{"name":"once","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"fragile","tardyBenefit":0.5}],
	"groupSize":1,"quantumUs":1000,"discovery":"on_request","benefitBy":"request","models":["box","origin"],"zones":["z"],
	"specifics":{"mode":"aside","originKind":1},
	"limits":{"mostPushes":3,"cancelling":true,"connIdleUs":60000000,"connectTimeoutUs":50000,"retryAfter":true,"maxRetryAfterUs":400000}}`

// writeConfig writes the start file with the given discovery address.
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

// start starts discovery and the process, and returns once the process watches discovery.
func (f *fleet) start() {
	f.WatchAnswers = make(chan string, 4)
	f.listenAddress = freeAddress()
	if f.limits == "" {
		f.limits = `{"cores":1,"memory_mb":192,"sockets":1024}`
	}
	if f.settings == "" {
		f.settings = defaultSettings
	}
	f.configPath = filepath.Join(os.TempDir(), fmt.Sprintf("larchthread-test-%d-%d.json", os.Getpid(), fleetCount.Add(1)))
	f.discoveryAddress = f.ServeDiscovery("discovery")
	f.writeConfig(f.discoveryAddress)
	f.process = f.startProcess()
	waitForListener(f.listenAddress)
	if f.args == nil {
		f.awaitNote("discovery: 1", 2)
	}
	f.TakeNotes()
}

// waitForListener waits up to 5 s until an address accepts connections.
func waitForListener(address string) {
	for range 500 {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// startProcess starts a process with the current start file.
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

// startSuccessor starts a second process next to the running one, and returns once the second reports that it
// serves.
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
	fmt.Println("the successor did not start serving")
	return p
}

// upgradeAndPrint replaces the running process and prints how the old one exits.
func (f *fleet) upgradeAndPrint() { fmt.Println("old process exited:", f.replaceProcess()) }

// replaceProcess replaces the running process by a successor, and returns the exit error of the old one.
func (f *fleet) replaceProcess() error {
	old := f.process
	f.process = f.startSuccessor()
	old.Process.Signal(syscall.SIGTERM)
	return old.Wait()
}

// awaitNote waits up to 5 s until a note has been recorded the given number of times.
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
	fmt.Printf("note was not recorded: %q\n", note)
}

// handoverSocketPath returns the path of the socket at which a successor finds the running process.
func (f *fleet) handoverSocketPath() string {
	return filepath.Join(f.tempDir, "larchthread-"+strings.ReplaceAll(f.listenAddress, ":", "-"))
}

// drainFirstHost has discovery announce that the first host drains.
func (f *fleet) drainFirstHost() {
	f.WatchAnswers <- standin.HostListJSON(2, false, strings.Replace(f.Members[0], standin.InService, standin.Terminating, 1))
}

// stop kills the process and closes what start opened.
func (f *fleet) stop() {
	f.process.Process.Kill()
	f.process.Wait()
	os.Remove(f.configPath)
	f.Close()
}

// stopAndPrintReasons stops the process and prints how often its log gives each reason for the end of a
// connection.
func (f *fleet) stopAndPrintReasons(reasons ...string) {
	f.process.Process.Signal(syscall.SIGTERM)
	f.process.Wait()
	for _, r := range reasons {
		fmt.Println(r, strings.Count(f.log.String(), "reason="+r+" "))
	}
}

// client is a client connection to the process.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// newClient connects to the process, with a deadline of 10 s for all reads and writes.
func (f *fleet) newClient() *client {
	c, err := net.Dial("tcp", f.listenAddress)
	if err != nil {
		panic(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

// sendAndPrint sends commands and prints the given number of lines that come back.
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

// addHosts adds that many cache hosts which answer alike.
func (f *fleet) addHosts(hosts int, answer func(words []string) string) {
	for i := range hosts {
		f.AddHost(fmt.Sprint("host", i), answer)
	}
}

// hit is a host that answers every command with the value "value".
func hit(words []string) string { return "VA 5 O{id}\r\nvalue\r\n" }

// miss is a host that answers every command with a miss.
func miss(words []string) string { return "EN O{id}\r\n" }

// hitWithSlowKey returns a host that answers with a hit, and delays the answer for the key "slow".
func hitWithSlowKey(delay time.Duration) func([]string) string {
	return func(words []string) string {
		if words[1] == "slow" {
			time.Sleep(delay)
		}
		return hit(words)
	}
}

// handleOrigin is an origin that answers writes with "receipt" and reads with "fetched".
func handleOrigin(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		io.WriteString(w, "receipt")
		return
	}
	io.WriteString(w, "fetched")
}

// settingsWithCopies allows a second copy of a push, and has hosts report their load.
var settingsWithCopies = strings.NewReplacer(`"cancelling":true`, `"cancelling":true,"mayDuplicate":true`,
	`"groupSize"`, `"report":{"how":"answers","fields":["busy","q"]},"groupSize"`).Replace(defaultSettings)

// printNotesSorted prints the notes like printNotes, but sorted and with both hosts under one name, because
// copies of a push reach hosts in either order.
func (f *fleet) printNotesSorted() {
	f.mergeHostNames()
	f.SortNotes()
	f.printNotes()
}

// callAdmin sends a request to the admin address and returns the status and the body.
func (f *fleet) callAdmin(method, path, body string) string {
	request, _ := http.NewRequest(method, "http://"+f.adminAddress+path, strings.NewReader(body))
	request.Close = true
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", strings.TrimSpace(string(text)))
}

// startLoad has clients send ops one after another, on persistent connections, until the returned function is
// called. That function prints whether more than 200 ops were served. Nacks are ignored; any other answer is
// printed.
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
				if strings.HasPrefix(line, "SERVER_ERROR busy ") { // a nacked op may be repeated
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
		fmt.Println("served over 200 ops:", served.Load() > 200)
	}
}

// longValue is a value of 4 MiB without repeated parts.
var longValue = func() string {
	var b strings.Builder
	for i := 0; b.Len() < 4<<20; i++ {
		fmt.Fprintf(&b, "%07d.", i)
	}
	return b.String()[:4<<20]
}()

// readValue reads an answer and reports whether it is the whole value. If the op is nacked it is repeated with
// the command again, up to 50 times, because a busy machine delays the test's hosts.
func (c *client) readValue(value, retry string) bool {
	head, _ := c.reader.ReadString('\n')
	for n := 0; strings.HasPrefix(head, "SERVER_ERROR busy ") && n < 50; n++ {
		time.Sleep(20 * time.Millisecond)
		c.sendAndPrint(0, strings.Replace(retry, " O", fmt.Sprintf(" O%d-", n), 1))
		head, _ = c.reader.ReadString('\n')
	}
	got := make([]byte, len(value)+2)
	n, _ := io.ReadFull(c.reader, got)
	return strings.HasPrefix(head, fmt.Sprintf("VA %d O", len(value))) && string(got[:n]) == value+"\r\n"
}

// peakMemoryMB returns the peak resident memory of the process in MB.
func (f *fleet) peakMemoryMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
	kb := 0
	if at := bytes.Index(text, []byte("VmHWM:")); at >= 0 {
		fmt.Sscan(string(text[at+len("VmHWM:"):]), &kb)
	}
	return kb / 1024
}

// countPushes returns how many pushes of an op hosts have received.
func (f *fleet) countPushes(id string) int {
	return strings.Count(strings.Join(f.Notes(), "\n"), " O"+id+" ")
}

// replaceSetting returns defaultSettings with one part replaced.
func replaceSetting(old, now string) string {
	if !strings.Contains(defaultSettings, old) {
		panic(old)
	}
	return strings.Replace(defaultSettings, old, now, 1)
}

// whileStopped runs do while the process is stopped, so that the process sees all of its effects in one round of
// its event loop.
func (f *fleet) whileStopped(do func()) {
	f.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(30 * time.Millisecond) // until the process has stopped
	do()
	time.Sleep(30 * time.Millisecond) // until the kernel has queued everything
	f.process.Process.Signal(syscall.SIGCONT)
}
