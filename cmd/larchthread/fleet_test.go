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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fleet stands in for all that a balancer speaks to: cache hosts and an origin that do as they are told, and
// discovery. It notes what they hear.
type fleet struct {
	mu      sync.Mutex
	notes   []string
	members []string
	changed chan string // the answer to a watch
	process *exec.Cmd
	watched string   // discovery's address
	args    []string // of the program's command line
	tmp     string   // folder where two processes find each other; empty for the usual one
	listen  string
	admin   string // operators' address, where there is one
	path    string // of the configuration
	log     bytes.Buffer
	limits  string
	sets    string // settings in place of the usual ones
	logTo   io.Writer
	closers []io.Closer
	served  int // ops, where speed is measured
}

// What depends on the time is left out of traces: how long is waited, and when to come again.
var told, again = regexp.MustCompile(`d=[0-9.]+`), regexp.MustCompile(`busy [1-9][0-9]+$`)

func (f *fleet) note(form string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, told.ReplaceAllString(fmt.Sprintf(form, args...), "d=.."))
}

// heard prints what has been noted since the last time, without discovery's calls: when those come is up to time.
func (f *fleet) heard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.notes {
		if !strings.HasPrefix(n, "discovery") {
			fmt.Println(" ", n)
		}
	}
	f.notes = nil
}

// oneName has the hosts x and x2 noted alike: which of them a key goes to first is of no matter.
func (f *fleet) oneName() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, n := range f.notes {
		f.notes[i] = strings.Replace(n, "x2:", "x:", 1)
	}
}

func (f *fleet) serve(l net.Listener, each func(net.Conn)) {
	f.closers = append(f.closers, l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				each(c)
			}()
		}
	}()
}

func listenAnywhere() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// freeAddress is an address that nobody has. It is this process's own part of loopback: on the usual one a connection that
// is just being made may take the port before the program does.
func freeAddress() string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.2:0", os.Getpid()>>8&255, os.Getpid()&255))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// host adds a cache host that answers each command with what say returns: bytes, "drop" to close the
// connection behind them, or "" to stay silent. {id} stands for the op's id.
func (f *fleet) host(name string, say func(words []string) string) {
	l := listenAnywhere()
	f.members = append(f.members, member(name, l.Addr().String(), "box", "in_service"))
	f.serve(l, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				if !errors.Is(err, io.EOF) || line != "" {
					return
				}
				f.note("%s: connection closed", name)
				return
			}
			words := strings.Fields(line)
			f.note("%s: %s", name, strings.TrimSpace(line))
			answer := strings.ReplaceAll(say(words), "{id}", strings.TrimPrefix(words[3], "O"))
			last := strings.HasSuffix(answer, "drop")
			if last { // the end comes with the last bytes, not some time behind them
				raw, err := c.(*net.TCPConn).SyscallConn()
				if err == nil {
					raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1) })
				}
			}
			io.WriteString(c, strings.TrimSuffix(answer, "drop"))
			if last {
				return
			}
		}
	})
}

// origin adds the origin.
func (f *fleet) origin(handle func(w http.ResponseWriter, r *http.Request)) {
	l := listenAnywhere()
	f.members = append(f.members, member("log", l.Addr().String(), "origin", "in_service"))
	f.closers = append(f.closers, l)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if len(body) > 100 {
			body = []byte(fmt.Sprint(len(body), " bytes"))
		}
		f.note("origin: %s %s %q %s %s", r.Method, r.URL.Path, body, r.Header.Get("X-Request-ID"), r.Header.Get("X-Attrs"))
		handle(w, r)
	}))
}

func member(id, address, flavor, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":%q,"cell":0,"phase":%q,"size":1,"up_since_ms":0}`,
		id, address, flavor, phase)
}

func list(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

const settings = `{"categories":[
	{"name":"read","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"retryable","tardyBenefit":0.5},
	{"name":"put","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"dedup","dedupWindowUs":400000,"tardyBenefit":0.5},
	{"name":"once","benefit":1,"targetLatencyUs":200000,"ttlUs":600000,"repeat":"fragile","tardyBenefit":0.5}],
	"groupSize":1,"quantumUs":1000,"discovery":"on_request","benefitBy":"request","models":["box","origin"],"zones":["z"],
	"specifics":{"mode":"aside","originKind":1},
	"limits":{"mostPushes":3,"cancelling":true,"connIdleUs":60000000,"connectTimeoutUs":50000,"retryAfter":true,"maxRetryAfterUs":400000}}`

// discovery starts a list service under a name, and returns its address.
func (f *fleet) discovery(name string) string {
	l := listenAnywhere()
	f.closers = append(f.closers, l)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked := r.URL.Query()
		f.note("%s: %s", name, asked.Get("index"))
		w.Header().Set("Content-Type", "application/json")
		select {
		case l := <-f.changed:
			if l == "down" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			io.WriteString(w, l)
		case <-time.After(time.Millisecond):
			if asked.Get("wait") != "1" {
				select {
				case l := <-f.changed:
					io.WriteString(w, l)
				case <-r.Context().Done():
				}
				return
			}
			fmt.Fprintf(w, `{"revision":%s,"complete":false,"members":[]}`, asked.Get("index"))
		}
	}))
	return l.Addr().String()
}

// write writes the configuration.
func (f *fleet) write(discovery string) {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"admin":%q,"discovery":%q,"seed":"7","limits":%s,"known":%s,"settings":%s}`,
		f.listen, f.admin, discovery, f.limits, list(1, true, f.members...), f.sets)
	if !json.Valid([]byte(text)) {
		panic(text)
	}
	if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// start starts discovery and the program, and returns once its watch stands.
func (f *fleet) start() {
	f.changed = make(chan string, 4)
	f.listen = freeAddress()
	if f.limits == "" {
		f.limits = `{"cores":1,"memory_mb":192,"sockets":1024}`
	}
	if f.sets == "" {
		f.sets = settings
	}
	f.path = filepath.Join(os.TempDir(), fmt.Sprintf("larchthread-test-%d.json", os.Getpid()))
	f.watched = f.discovery("discovery")
	f.write(f.watched)
	f.process = f.run()
	reach(f.listen)
	if f.args == nil {
		f.await("discovery: 1", 2)
	}
	f.mu.Lock()
	f.notes = nil
	f.mu.Unlock()
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
func (f *fleet) upgrade() {
	old := f.process
	f.process = f.beside()
	old.Process.Signal(syscall.SIGTERM)
	fmt.Println("the old one ends:", old.Wait())
}

// await waits until a note has come so many times.
func (f *fleet) await(note string, times int) {
	for range 500 {
		f.mu.Lock()
		n := 0
		for _, x := range f.notes {
			if x == note {
				n++
			}
		}
		f.mu.Unlock()
		if n >= times {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Printf("never came: %q\n", note)
}

// stop ends what start began.
func (f *fleet) stop() {
	f.process.Process.Kill()
	f.process.Wait()
	os.Remove(f.path)
	for _, c := range f.closers {
		c.Close()
	}
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
	f.mu.Lock()
	slices.Sort(f.notes)
	f.mu.Unlock()
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
