package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"runtime"
	"runtime/pprof"

	"larchthread/internal/standin"
)

const (
	speedHosts = 10
	speedKeys  = 10000
	speedFor   = time.Second // of one run: some thousand ops at the least
)

const speedLimits = `{"cores":1,"memory_mb":512,"sockets":8192}` // 400 clients at rest between two ops are no surplus

// quick adds a cache host that answers each command with one byte after a while, and notes nothing.
func (f *fleet) quick(name string, delay time.Duration) {
	l := standin.ListenLoopback()
	f.Members = append(f.Members, standin.MemberJSON(name, l.Addr().String(), "box", "in_service"))
	f.Serve(l, func(c net.Conn) { quickly(c, delay) })
}

// apart adds such hosts in a process of their own, which no pause of the clients' holds up.
func (f *fleet) apart(n int, delay time.Duration) (end func()) {
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), fmt.Sprintf("LARCHTHREAD_HOSTS=%d,%v", n, delay))
	if delay > 0 { // a thread that sleeps keeps its place among those that may run
		p.Env = append(p.Env, "GOMAXPROCS=400")
	}
	out, err := p.StdoutPipe()
	if err := errors.Join(err, p.Start()); err != nil {
		panic(err)
	}
	for lines, i := bufio.NewScanner(out), 0; i < n && lines.Scan(); i++ {
		f.Members = append(f.Members, standin.MemberJSON(fmt.Sprint("h", i), lines.Text(), "box", "in_service"))
	}
	return func() {
		p.Process.Kill()
		p.Wait()
	}
}

// serveHosts is that process: it prints the hosts' addresses.
func serveHosts(told string) {
	n, text, _ := strings.Cut(told, ",")
	many, err := strconv.Atoi(n)
	delay, bad := time.ParseDuration(text)
	if err := errors.Join(err, bad); err != nil {
		panic(err)
	}
	f := &fleet{}
	for range many {
		l := standin.ListenLoopback()
		f.Serve(l, func(c net.Conn) { quickly(c, delay) })
		fmt.Println(l.Addr())
	}
	select {}
}

func quickly(c net.Conn, delay time.Duration) {
	var answer []byte
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		_, id, _ := bytes.Cut(line, []byte(" O"))
		id, _, _ = bytes.Cut(id, []byte(" "))
		if delay > 0 { // the runtime's own timers round up to a millisecond where all is idle
			wait := unix.NsecToTimespec(delay.Nanoseconds())
			unix.Nanosleep(&wait, nil)
		}
		answer = append(append(append(answer[:0], "VA 1 O"...), id...), "\r\nx\r\n"...)
		if r.Buffered() == 0 || delay > 0 {
			c.Write(answer)
		}
	}
}

// runBareRelay is what a balancer's sockets cost at the least: one thread, one epoll, and for each client one
// connection to a host, to which bytes are passed on unread.
func runBareRelay(listen string, hosts []string) error {
	runtime.GOMAXPROCS(1)
	address := func(s string) *unix.SockaddrInet4 {
		a, err := net.ResolveTCPAddr("tcp4", s)
		if err != nil {
			panic(err)
		}
		return &unix.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}
	}
	listener, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return err
	}
	if err := errors.Join(unix.Bind(listener, address(listen)), unix.Listen(listener, 1024)); err != nil {
		return err
	}
	poll, err := unix.EpollCreate1(0)
	if err != nil {
		return err
	}
	watch := func(fd int) {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		unix.EpollCtl(poll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(fd)})
	}
	watch(listener)
	other := map[int]int{}
	events, bytes := make([]unix.EpollEvent, 512), make([]byte, 64<<10)
	for {
		n, err := unix.EpollWait(poll, events, -1)
		if err != nil && err != unix.EINTR {
			return err
		}
		for _, e := range events[:max(n, 0)] {
			from := int(e.Fd)
			if from == listener {
				c, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK)
				if err != nil {
					continue
				}
				h, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
				if err != nil {
					return err
				}
				if err := unix.Connect(h, address(hosts[len(other)/2%len(hosts)])); err != nil {
					return err
				}
				other[c], other[h] = h, c
				watch(c)
				watch(h)
				continue
			}
			if n, err := unix.Read(from, bytes); n > 0 && err == nil {
				unix.Write(other[from], bytes[:n])
			} else if err != unix.EAGAIN {
				unix.Close(from)
				unix.Shutdown(other[from], unix.SHUT_RDWR)
				delete(other, from)
			}
		}
	}
}

// startProfiling lets the program write what it has allocated as it ends, and its profiles where a path for them is given.
func startProfiling() (done func()) {
	path := os.Getenv("LARCHTHREAD_PROFILE")
	if path != "" {
		f, err := os.Create(path + ".cpu")
		if err != nil {
			panic(err)
		}
		pprof.StartCPUProfile(f)
	}
	return func() {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fmt.Fprintf(os.Stderr, "allocations=%d\n", m.Mallocs)
		if path == "" {
			return
		}
		pprof.StopCPUProfile()
		if f, err := os.Create(path + ".allocs"); err == nil {
			pprof.Lookup("allocs").WriteTo(f, 0)
			f.Close()
		}
	}
}

// speed is what clients saw of a run.
type speed struct {
	served, late, nacked, failed int
	latencies                    []time.Duration // of ops served
	took                         time.Duration
	cpu                          time.Duration // of the process between
}

func (s *speed) add(o *speed) {
	s.served, s.late, s.nacked, s.failed = s.served+o.served, s.late+o.late, s.nacked+o.nacked, s.failed+o.failed
	s.latencies = append(s.latencies, o.latencies...)
}

// quantile is the latency over which a part of the ops served were, in µs.
func (s *speed) quantile(part float64) float64 {
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return float64(s.latencies[min(int(part*float64(len(s.latencies))), len(s.latencies)-1)].Nanoseconds()) / 1000
}

// report gives the figures of one run; added is what the hosts take.
func (s *speed) report(b *testing.B, hosts time.Duration) {
	ops := float64(max(s.served+s.nacked+s.failed, 1))
	own := float64(hosts.Nanoseconds()) / 1000
	b.ReportMetric(0, "ns/op") // says nothing where many ops are under way
	b.ReportMetric(float64(s.served-s.late)/s.took.Seconds(), "served/s")
	b.ReportMetric(float64(s.nacked)/ops, "nacks/op")
	b.ReportMetric(float64(s.failed)/ops, "failed/op")
	b.ReportMetric(s.quantile(0.5)-own, "p50-µs")
	b.ReportMetric(s.quantile(0.99)-own, "p99-µs")
	b.ReportMetric(s.quantile(0.999)-own, "p99.9-µs")
	b.ReportMetric(float64(s.cpu.Microseconds())/float64(max(s.served, 1)), "cpu-µs/served")
}

// cpuOf is the time that a process has had of its cores.
func cpuOf(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	words := strings.Fields(rest)
	user, _ := strconv.Atoi(words[11])
	system, _ := strconv.Atoi(words[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// closed has so many clients send one op after another for a while.
func closed(address string, clients int, ttl time.Duration, span time.Duration) *speed {
	began := time.Now()
	all := together(clients, func(i int) *speed { return one(address, i, ttl, began.Add(span)) })
	all.took = time.Since(began)
	return all
}

// together adds up what so many clients see.
func together(clients int, each func(i int) *speed) *speed {
	var all speed
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := each(i)
			mu.Lock()
			defer mu.Unlock()
			all.add(s)
		}()
	}
	wg.Wait()
	return &all
}

// one is a client in a closed loop. It heeds no word on when to come back: that is the harder case.
func one(address string, name int, ttl time.Duration, until time.Time) *speed {
	s := &speed{}
	var out []byte
	rng := rand.New(rand.NewPCG(uint64(name), 1))
	for n := 0; time.Now().Before(until); {
		c, err := net.Dial("tcp", address)
		if err != nil {
			s.failed++
			return s
		}
		for r := bufio.NewReader(c); err == nil && time.Now().Before(until); n++ {
			out = get(out[:0], name, n, rng.IntN(speedKeys), ttl)
			began := time.Now()
			if _, err = c.Write(out); err == nil && !s.take(r, began) {
				break
			}
		}
		c.Close()
	}
	return s
}

func get(out []byte, client, n, key int, ttl time.Duration) []byte {
	return fmt.Appendf(out, "mg k%d v O%d-%d Pc=read,d=%d\r\n", key, client, n, ttl.Milliseconds())
}

// take reads one answer.
func (s *speed) take(r *bufio.Reader, began time.Time) (more bool) {
	line, err := r.ReadSlice('\n')
	switch {
	case err != nil:
		s.failed++
		return false
	case bytes.HasPrefix(line, []byte("VA")):
		if _, err := r.ReadSlice('\n'); err != nil {
			s.failed++
			return false
		}
		s.served++
		took := time.Since(began)
		if s.latencies = append(s.latencies, took); took > 200*time.Millisecond {
			s.late++
		}
	case bytes.HasPrefix(line, []byte("SERVER_ERROR busy")):
		s.nacked++
	default:
		s.failed++
	}
	return true
}

// streams has clients send at a rate whatever comes back, each on one connection, for a while.
func streams(address string, clients int, rate float64, ttl, span time.Duration) *speed {
	all := together(clients, func(i int) *speed { return stream(address, i, rate/float64(clients), ttl, span) })
	all.took = span
	return all
}

// stream is a client that sends at a rate. Its ops count from when they were due, also where they could not be written.
func stream(address string, name int, rate float64, ttl, span time.Duration) *speed {
	s := &speed{}
	c, err := net.Dial("tcp", address)
	if err != nil {
		s.failed++
		return s
	}
	defer c.Close()
	began := time.Now().Add(time.Duration(rand.Float64() / rate * 1e9))
	due := func(n int) time.Time { return began.Add(time.Duration(float64(n) / rate * 1e9)) }
	most := int(span.Seconds() * rate)
	go func() {
		var out []byte
		rng := rand.New(rand.NewPCG(uint64(name), 2))
		for n := 0; n < most; {
			out = out[:0]
			for ; n < most && !due(n).After(time.Now()); n++ {
				out = get(out, name, n, rng.IntN(speedKeys), ttl)
			}
			if _, err := c.Write(out); err != nil {
				return
			}
			time.Sleep(time.Until(due(n)))
		}
	}()
	c.SetReadDeadline(began.Add(span + 2*time.Second))
	for r, n := bufio.NewReader(c), 0; n < most && s.take(r, due(n)); n++ {
	}
	return s
}

// end stops what start began in good order, and tells how many allocations the program made.
func (f *fleet) end() int {
	f.process.Process.Signal(syscall.SIGTERM)
	f.process.Wait()
	f.stop()
	_, n, _ := strings.Cut(f.log.String(), "allocations=")
	all, _ := strconv.Atoi(strings.TrimSpace(n))
	return all
}

// relay runs a bare relay to the same hosts, and gives its address and process.
func (f *fleet) relay() (string, *exec.Cmd) {
	listen := freeAddress()
	var hosts []string
	for _, m := range f.Members {
		_, rest, _ := strings.Cut(m, `"host_port":"`)
		host, _, _ := strings.Cut(rest, `"`)
		hosts = append(hosts, host)
	}
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "LARCHTHREAD_RELAY="+strings.Join(append([]string{listen}, hosts...), ","))
	p.Stderr = os.Stderr
	if err := p.Start(); err != nil {
		panic(err)
	}
	waitForListener(listen)
	return listen, p
}

// BenchmarkSpeed has clients in closed loops ask fast hosts through the balancer, and through a bare relay in the same run.
func BenchmarkSpeed(b *testing.B) {
	for _, delay := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond} {
		b.Run(fmt.Sprint("host=", delay), func(b *testing.B) { speedAt(b, delay) })
	}
}

func speedAt(b *testing.B, delay time.Duration) {
	f := &fleet{limits: speedLimits}
	defer f.apart(speedHosts, delay)()
	f.start()
	bare, p := f.relay()
	defer func() {
		p.Process.Kill()
		p.Wait()
		fmt.Printf("allocations an op, start and end of the program included: %.1f\n", float64(f.end())/float64(f.servedOps))
	}()
	for _, clients := range []int{1, 8, 32, 100, 400} {
		b.Run(fmt.Sprintf("clients=%d/relay", clients), func(b *testing.B) {
			measure(b, p.Process.Pid, delay, func() *speed { return closed(bare, clients, time.Second, speedFor) })
		})
		for _, ttl := range []time.Duration{600 * time.Millisecond, 4 * time.Second} {
			b.Run(fmt.Sprintf("clients=%d/ttl=%v", clients, ttl), func(b *testing.B) {
				s := measure(b, f.process.Process.Pid, delay, func() *speed { return closed(f.listenAddress, clients, ttl, speedFor) })
				f.servedOps += s.served
			})
		}
	}
}

// BenchmarkOverload sends what a core serves, and more, whatever comes back.
func BenchmarkOverload(b *testing.B) {
	f := &fleet{limits: speedLimits}
	defer f.apart(speedHosts, 0)()
	f.start()
	defer f.end()
	top := func() float64 { // what it serves to clients that wait for their answers
		best := 0.0
		for _, clients := range []int{32, 100} {
			s := closed(f.listenAddress, clients, 600*time.Millisecond, speedFor)
			best = max(best, float64(s.served)/s.took.Seconds())
		}
		return best
	}
	for _, times := range []float64{0.5, 1, 1.5, 2, 4} {
		b.Run(fmt.Sprintf("times=%v", times), func(b *testing.B) {
			before := top()
			s := measure(b, f.process.Process.Pid, 0, func() *speed {
				return streams(f.listenAddress, 100, times*before, 600*time.Millisecond, 3*speedFor)
			})
			mean := (before + top()) / 2 // the machine's own speed changes
			b.ReportMetric(float64(s.served-s.late)/s.took.Seconds()/mean, "of-top")
		})
	}
}

func measure(b *testing.B, pid int, hosts time.Duration, run func() *speed) *speed {
	before := cpuOf(pid)
	s := run()
	s.cpu = cpuOf(pid) - before
	s.report(b, hosts)
	return s
}

// Far more commands than one core serves come at once on many connections. Each gets one answer, in its place: its value, or
// word to come back.
func Example_tooMany() {
	f := &fleet{}
	for _, name := range []string{"x", "x2"} {
		f.quick(name, 0)
	}
	f.start()
	defer f.stop()
	const clients, each = 20, 5000
	var wg sync.WaitGroup
	var served, nacked, wrong atomic.Int64
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", f.listenAddress)
			if err != nil {
				return
			}
			defer c.Close()
			go func() {
				var all []byte
				for n := range each {
					all = get(all, i, n, n, 600*time.Millisecond)
				}
				c.Write(all)
			}()
			r := bufio.NewReader(c)
			for n := range each {
				switch line, _ := r.ReadString('\n'); {
				case line == fmt.Sprintf("VA 1 O%d-%d\r\n", i, n):
					r.ReadString('\n')
					served.Add(1)
				case strings.HasPrefix(line, "SERVER_ERROR busy "):
					nacked.Add(1)
				default:
					wrong.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	fmt.Println("all answered:", served.Load()+nacked.Load() == clients*each, "some served:", served.Load() > 0, "wrong:", wrong.Load())
	// Output:
	// all answered: true some served: true wrong: 0
}
