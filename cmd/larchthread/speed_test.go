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
	speedHosts   = 10
	speedKeys    = 10000
	speedRunTime = time.Second // of one run, long enough for thousands of ops
)

// speedLimits leaves enough sockets that no idle connection of the 400 clients is closed as surplus.
const speedLimits = `{"cores":1,"memory_mb":512,"sockets":8192}`

// addFastHost adds a cache host that answers each command with a value of one byte after a delay, and records nothing.
func (f *fleet) addFastHost(name string, delay time.Duration) {
	l := standin.ListenLoopback()
	f.Members = append(f.Members, standin.MemberJSON(name, l.Addr().String(), "box", "in_service"))
	f.Serve(l, func(c net.Conn) { serveFastHost(c, delay) })
}

// startFastHosts adds n fast cache hosts in a separate process, so that pauses of the clients' process do not delay them. The
// returned function kills that process.
func (f *fleet) startFastHosts(n int, delay time.Duration) (stop func()) {
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), fmt.Sprintf("LARCHTHREAD_HOSTS=%d,%v", n, delay))
	if delay > 0 { // a thread in a blocking sleep still counts against GOMAXPROCS
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

// serveHosts runs fast hosts in a separate process and prints their addresses, one a line. The spec is COUNT,DELAY. It never
// returns, and panics if the spec is invalid.
func serveHosts(spec string) {
	n, text, _ := strings.Cut(spec, ",")
	count, err := strconv.Atoi(n)
	delay, delayErr := time.ParseDuration(text)
	if err := errors.Join(err, delayErr); err != nil {
		panic(err)
	}
	f := &fleet{}
	for range count {
		l := standin.ListenLoopback()
		f.Serve(l, func(c net.Conn) { serveFastHost(c, delay) })
		fmt.Println(l.Addr())
	}
	select {}
}

// serveFastHost answers the commands of a connection with values of one byte, each after a delay.
func serveFastHost(c net.Conn, delay time.Duration) {
	var answer []byte
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		_, id, _ := bytes.Cut(line, []byte(" O"))
		id, _, _ = bytes.Cut(id, []byte(" "))
		if delay > 0 { // an idle runtime rounds its timers up to a millisecond
			wait := unix.NsecToTimespec(delay.Nanoseconds())
			unix.Nanosleep(&wait, nil)
		}
		answer = append(append(append(answer[:0], "VA 1 O"...), id...), "\r\nx\r\n"...)
		if r.Buffered() == 0 || delay > 0 {
			c.Write(answer)
		}
	}
}

// runBareRelay relays bytes between clients and hosts without parsing them, with one thread, one epoll instance, and one host
// connection for each client. It is the baseline for the cost of a balancer's socket operations. It returns only on an error.
func runBareRelay(listen string, hosts []string) error {
	runtime.GOMAXPROCS(1)
	socketAddress := func(s string) *unix.SockaddrInet4 {
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
	if err := errors.Join(unix.Bind(listener, socketAddress(listen)), unix.Listen(listener, 1024)); err != nil {
		return err
	}
	poll, err := unix.EpollCreate1(0)
	if err != nil {
		return err
	}
	register := func(fd int) {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		unix.EpollCtl(poll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(fd)})
	}
	register(listener)
	peers := map[int]int{}
	events, buffer := make([]unix.EpollEvent, 512), make([]byte, 64<<10)
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
				if err := unix.Connect(h, socketAddress(hosts[len(peers)/2%len(hosts)])); err != nil {
					return err
				}
				peers[c], peers[h] = h, c
				register(c)
				register(h)
				continue
			}
			if n, err := unix.Read(from, buffer); n > 0 && err == nil {
				unix.Write(peers[from], buffer[:n])
			} else if err != unix.EAGAIN {
				unix.Close(from)
				unix.Shutdown(peers[from], unix.SHUT_RDWR)
				delete(peers, from)
			}
		}
	}
}

// startProfiling starts a CPU profile if LARCHTHREAD_PROFILE gives a path. The returned function prints the number of allocations
// to standard error and, if there is a path, completes PATH.cpu and writes the allocation profile to PATH.allocs.
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

// loadResult counts the outcomes of the ops that clients sent in one run.
type loadResult struct {
	served, late, nacked, failed int             // late ops are also served
	latencies                    []time.Duration // of ops served
	elapsed                      time.Duration
	cpu                          time.Duration // CPU time of the measured process
}

// add adds another result's counts and latencies.
func (s *loadResult) add(o *loadResult) {
	s.served, s.late, s.nacked, s.failed = s.served+o.served, s.late+o.late, s.nacked+o.nacked, s.failed+o.failed
	s.latencies = append(s.latencies, o.latencies...)
}

// quantile returns the latency in µs that the given fraction of served ops did not exceed, or 0 if no op was served.
func (s *loadResult) quantile(fraction float64) float64 {
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return float64(s.latencies[min(int(fraction*float64(len(s.latencies))), len(s.latencies)-1)].Nanoseconds()) / 1000
}

// report reports the metrics of one run. Latencies exclude hostDelay, the time that hosts take for an answer.
func (s *loadResult) report(b *testing.B, hostDelay time.Duration) {
	ops := float64(max(s.served+s.nacked+s.failed, 1))
	hostMicros := float64(hostDelay.Nanoseconds()) / 1000
	b.ReportMetric(0, "ns/op") // meaningless for concurrent ops
	b.ReportMetric(float64(s.served-s.late)/s.elapsed.Seconds(), "served/s")
	b.ReportMetric(float64(s.nacked)/ops, "nacks/op")
	b.ReportMetric(float64(s.failed)/ops, "failed/op")
	b.ReportMetric(s.quantile(0.5)-hostMicros, "p50-µs")
	b.ReportMetric(s.quantile(0.99)-hostMicros, "p99-µs")
	b.ReportMetric(s.quantile(0.999)-hostMicros, "p99.9-µs")
	b.ReportMetric(float64(s.cpu.Microseconds())/float64(max(s.served, 1)), "cpu-µs/served")
}

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	words := strings.Fields(rest)
	user, _ := strconv.Atoi(words[11])
	system, _ := strconv.Atoi(words[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// runClosedLoop runs clients that each wait for an answer before they send the next op.
func runClosedLoop(address string, clients int, ttl time.Duration, duration time.Duration) *loadResult {
	began := time.Now()
	total := runClients(clients, func(i int) *loadResult { return runClosedLoopClient(address, i, ttl, began.Add(duration)) })
	total.elapsed = time.Since(began)
	return total
}

// runClients runs clients concurrently and returns the sum of their results.
func runClients(clients int, run func(i int) *loadResult) *loadResult {
	var total loadResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := run(i)
			mu.Lock()
			defer mu.Unlock()
			total.add(s)
		}()
	}
	wg.Wait()
	return &total
}

// runClosedLoopClient runs one client of a closed loop. It ignores the retry delay of nacks, which loads the balancer more.
func runClosedLoopClient(address string, client int, ttl time.Duration, until time.Time) *loadResult {
	s := &loadResult{}
	var out []byte
	rng := rand.New(rand.NewPCG(uint64(client), 1))
	for n := 0; time.Now().Before(until); {
		c, err := net.Dial("tcp", address)
		if err != nil {
			s.failed++
			return s
		}
		for r := bufio.NewReader(c); err == nil && time.Now().Before(until); n++ {
			out = appendRead(out[:0], client, n, rng.IntN(speedKeys), ttl)
			began := time.Now()
			if _, err = c.Write(out); err == nil && !s.readAnswer(r, began) {
				break
			}
		}
		c.Close()
	}
	return s
}

// appendRead appends a read command to out. The client and n make its id unique.
func appendRead(out []byte, client, n, key int, ttl time.Duration) []byte {
	return fmt.Appendf(out, "mg k%d v O%d-%d Pc=read,d=%d\r\n", key, client, n, ttl.Milliseconds())
}

// readAnswer reads one answer and counts it. A value that arrives more than 200 ms after began counts as late. It returns false
// once the connection has failed.
func (s *loadResult) readAnswer(r *bufio.Reader, began time.Time) (more bool) {
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
		latency := time.Since(began)
		if s.latencies = append(s.latencies, latency); latency > 200*time.Millisecond {
			s.late++
		}
	case bytes.HasPrefix(line, []byte("SERVER_ERROR busy")):
		s.nacked++
	default:
		s.failed++
	}
	return true
}

// runOpenLoop runs clients that send at a total rate, in ops per second, without waiting for answers. Each uses one connection.
func runOpenLoop(address string, clients int, rate float64, ttl, duration time.Duration) *loadResult {
	total := runClients(clients, func(i int) *loadResult {
		return runOpenLoopClient(address, i, rate/float64(clients), ttl, duration)
	})
	total.elapsed = duration
	return total
}

// runOpenLoopClient runs one client of an open loop. Latencies count from the time at which an op was due, even if it was written
// later.
func runOpenLoopClient(address string, client int, rate float64, ttl, duration time.Duration) *loadResult {
	s := &loadResult{}
	c, err := net.Dial("tcp", address)
	if err != nil {
		s.failed++
		return s
	}
	defer c.Close()
	began := time.Now().Add(time.Duration(rand.Float64() / rate * 1e9))
	dueTime := func(n int) time.Time { return began.Add(time.Duration(float64(n) / rate * 1e9)) }
	total := int(duration.Seconds() * rate)
	go func() {
		var out []byte
		rng := rand.New(rand.NewPCG(uint64(client), 2))
		for n := 0; n < total; {
			out = out[:0]
			for ; n < total && !dueTime(n).After(time.Now()); n++ {
				out = appendRead(out, client, n, rng.IntN(speedKeys), ttl)
			}
			if _, err := c.Write(out); err != nil {
				return
			}
			time.Sleep(time.Until(dueTime(n)))
		}
	}()
	c.SetReadDeadline(began.Add(duration + 2*time.Second))
	for r, n := bufio.NewReader(c), 0; n < total && s.readAnswer(r, dueTime(n)); n++ {
	}
	return s
}

// terminate stops the program with SIGTERM and the fleet with it, and returns the number of allocations that the program made.
func (f *fleet) terminate() int {
	f.process.Process.Signal(syscall.SIGTERM)
	f.process.Wait()
	f.stop()
	_, n, _ := strings.Cut(f.log.String(), "allocations=")
	allocations, _ := strconv.Atoi(strings.TrimSpace(n))
	return allocations
}

// startBareRelay starts a bare relay to the fleet's hosts, and returns its address and process.
func (f *fleet) startBareRelay() (string, *exec.Cmd) {
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

// BenchmarkSpeed compares reads in closed loops through the balancer with reads through a bare relay.
func BenchmarkSpeed(b *testing.B) {
	for _, delay := range []time.Duration{0, 200 * time.Microsecond, time.Millisecond} {
		b.Run(fmt.Sprint("host=", delay), func(b *testing.B) { benchmarkHostDelay(b, delay) })
	}
}

// benchmarkHostDelay runs the benchmark with hosts that take delay for each answer.
func benchmarkHostDelay(b *testing.B, delay time.Duration) {
	f := &fleet{limits: speedLimits}
	defer f.startFastHosts(speedHosts, delay)()
	f.start()
	relayAddress, relay := f.startBareRelay()
	defer func() {
		relay.Process.Kill()
		relay.Wait()
		fmt.Printf("allocations per op, including start and stop of the program: %.1f\n", float64(f.terminate())/float64(f.servedOps))
	}()
	for _, clients := range []int{1, 8, 32, 100, 400} {
		b.Run(fmt.Sprintf("clients=%d/relay", clients), func(b *testing.B) {
			measure(b, relay.Process.Pid, delay, func() *loadResult {
				return runClosedLoop(relayAddress, clients, time.Second, speedRunTime)
			})
		})
		for _, ttl := range []time.Duration{600 * time.Millisecond, 4 * time.Second} {
			b.Run(fmt.Sprintf("clients=%d/ttl=%v", clients, ttl), func(b *testing.B) {
				s := measure(b, f.process.Process.Pid, delay, func() *loadResult {
					return runClosedLoop(f.listenAddress, clients, ttl, speedRunTime)
				})
				f.servedOps += s.served
			})
		}
	}
}

// BenchmarkOverload sends multiples of the rate that one core can serve, without waiting for answers.
func BenchmarkOverload(b *testing.B) {
	f := &fleet{limits: speedLimits}
	defer f.startFastHosts(speedHosts, 0)()
	f.start()
	defer f.terminate()
	measureTop := func() float64 { // ops per second served to closed loops
		best := 0.0
		for _, clients := range []int{32, 100} {
			s := runClosedLoop(f.listenAddress, clients, 600*time.Millisecond, speedRunTime)
			best = max(best, float64(s.served)/s.elapsed.Seconds())
		}
		return best
	}
	for _, times := range []float64{0.5, 1, 1.5, 2, 4} {
		b.Run(fmt.Sprintf("times=%v", times), func(b *testing.B) {
			before := measureTop()
			s := measure(b, f.process.Process.Pid, 0, func() *loadResult {
				return runOpenLoop(f.listenAddress, 100, times*before, 600*time.Millisecond, 3*speedRunTime)
			})
			mean := (before + measureTop()) / 2 // the machine's speed varies during the run
			b.ReportMetric(float64(s.served-s.late)/s.elapsed.Seconds()/mean, "of-top")
		})
	}
}

// measure runs a load, and reports its result with the CPU time that the process used meanwhile.
func measure(b *testing.B, pid int, hostDelay time.Duration, run func() *loadResult) *loadResult {
	before := cpuTime(pid)
	s := run()
	s.cpu = cpuTime(pid) - before
	s.report(b, hostDelay)
	return s
}

// When far more commands than one core can serve arrive at once on many connections, each gets one answer, in order: its value
// or a nack.
func Example_moreCommandsThanCapacity() {
	f := &fleet{}
	for _, name := range []string{"x", "x2"} {
		f.addFastHost(name, 0)
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
					all = appendRead(all, i, n, n, 600*time.Millisecond)
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
	fmt.Println("all answered:", served.Load()+nacked.Load() == clients*each, "some served:", served.Load() > 0,
		"wrong:", wrong.Load())
	// Output:
	// all answered: true some served: true wrong: 0
}
