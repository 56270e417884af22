package trial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	answerTolerance = 150 * time.Millisecond // after the TTL in which an answer still counts; covers delays of the load generator
	strayAnswerWait = 400 * time.Millisecond // after the last op, for unexpected answers
	connectTimeout  = 500 * time.Millisecond
	closeRaceWindow = 10 * time.Millisecond // within which the close of a reused connection counts as a race with the command
)

// Outcome is the result of an op from the client's point of view.
type Outcome string

const (
	Acked        Outcome = "acked"
	Nacked       Outcome = "nacked"  // answered as safe to repeat
	Failed       Outcome = "failed"  // any other answer
	Disconnected Outcome = "cut"     // the connection ended before a complete answer
	TimedOut     Outcome = "silent"  // no answer in time
	NotAccepted  Outcome = "untaken" // no balancer accepted a connection
)

// Call is an op from the client's point of view. Times are since the fleet was started.
type Call struct {
	ID              string
	Key             string
	Category        string
	Write           bool
	Balancer        int           // number from 0; -1: no balancer accepted a connection
	Due             time.Duration // when it was scheduled
	Begun           time.Duration // before its command was written
	Sent            time.Duration // when its command was written
	Done            time.Duration
	Outcome         Outcome
	Text            string // value or first line of the answer
	ExtraAnswers    int    // unexpected answers or data after the answer
	ClosedInTransit bool   // its reused connection was closed as the command was sent, and the op was sent again under another ID
}

// loadGenerator sends ops at the rate of a plan, independent of the answers (open loop).
type loadGenerator struct {
	plan       Plan
	addresses  []string
	now        func() time.Duration
	rng        *rand.Rand
	popularity []float64 // cumulative, by key

	mu         sync.Mutex
	calls      []Call
	idle       [][]*clientConn // reusable connections by balancer
	sendDelays *hdrhistogram.Histogram
}

// clientConn is a client's connection to a balancer.
type clientConn struct {
	net.Conn
	r        *bufio.Reader
	lastCall int // index of the call that was last answered on it, or -1
}

// newLoadGenerator returns a generator of the load of plan p on balancers that listen on the given addresses. Times are those
// of now.
func newLoadGenerator(p Plan, listens []string, now func() time.Duration) *loadGenerator {
	l := &loadGenerator{plan: p, addresses: listens, now: now, rng: rand.New(rand.NewPCG(p.Seed, 11)),
		idle: make([][]*clientConn, len(listens)), sendDelays: newHistogram()}
	sum := 0.0
	for i := range p.Load.Keys {
		sum += math.Pow(float64(i+1), -p.Load.Skew)
		l.popularity = append(l.popularity, sum)
	}
	return l
}

// newHistogram returns a histogram of microseconds, up to a minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// rate returns the ops per second at a time since the start of the load.
func (l *loadGenerator) rate(at time.Duration) float64 {
	rate := l.plan.Load.Rate
	for _, b := range l.plan.Load.Bursts {
		if at >= b.At.d() && at < (b.At+b.Duration).d() {
			rate *= b.Factor
		}
	}
	return rate
}

// run sends all ops and waits until the last one is done. Each second it calls progress with the time and the number of ops
// so far. It returns an error if ctx ends first.
func (l *loadGenerator) run(ctx context.Context, loadStart time.Duration, progress func(at time.Duration, sent int)) error {
	var inFlight sync.WaitGroup
	second := time.Second
	end := l.plan.Load.Duration.d()
	for at, n := time.Duration(0), 0; ; n++ {
		at += time.Duration(l.rng.ExpFloat64() / l.rate(at) * float64(time.Second))
		for second <= min(at, end) {
			progress(second, n)
			second += time.Second
		}
		if at >= end {
			break
		}
		c := l.nextOp(loadStart + at)
		if wait := c.Due - l.now(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				inFlight.Wait()
				return context.Cause(ctx)
			}
		}
		l.mu.Lock()
		l.sendDelays.RecordValue(max(0, (l.now() - c.Due).Microseconds()))
		l.calls = append(l.calls, c)
		index := len(l.calls) - 1
		l.mu.Unlock()
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			l.sendOp(index, c)
		}()
	}
	inFlight.Wait()
	l.checkStrayAnswers()
	return ctx.Err()
}

// nextOp draws the balancer, key and category of an op.
func (l *loadGenerator) nextOp(due time.Duration) Call {
	at, _ := slices.BinarySearch(l.popularity, l.rng.Float64()*l.popularity[len(l.popularity)-1])
	c := Call{ID: fmt.Sprintf("%016x", l.rng.Uint64()), Key: fmt.Sprintf("key-%d", min(at, len(l.popularity)-1)), Due: due,
		Balancer: l.rng.IntN(len(l.addresses))}
	sum := 0
	names := []string{"read", "put", "once"}
	for _, n := range names {
		sum += l.plan.Load.Shares[n]
	}
	for pick := l.rng.IntN(sum); ; names = names[1:] {
		if pick -= l.plan.Load.Shares[names[0]]; pick < 0 {
			c.Category = names[0]
			break
		}
	}
	c.Write = c.Category != "read"
	return c
}

// sendOp sends an op and records its outcome. If a balancer accepts no connection the next one is tried, as a load balancer
// in front would do.
func (l *loadGenerator) sendOp(index int, c Call) {
	firstID, repeats := c.ID, 0
	for range l.addresses {
		conn, err := l.acquireConn(c.Balancer)
		if err != nil {
			c.Balancer = (c.Balancer + 1) % len(l.addresses)
			continue
		}
		reused := conn.lastCall >= 0
		l.exchange(conn, &c)
		if reused && c.Outcome == Disconnected && c.Text == "" && c.Done-c.Sent < closeRaceWindow {
			// The connection was closed as the command was sent. Clients send the op again on a new connection.
			conn.Close()
			first := c
			first.ClosedInTransit = true
			l.mu.Lock()
			l.calls = append(l.calls, first) // it may have run nevertheless
			l.mu.Unlock()
			repeats++
			c.ID = repeatID(firstID, repeats)
			if conn, err = dial(l.addresses[c.Balancer]); err != nil {
				c.Balancer = (c.Balancer + 1) % len(l.addresses)
				continue
			}
			l.exchange(conn, &c)
		}
		if c.Outcome == Disconnected || c.Outcome == TimedOut {
			conn.Close()
		} else {
			conn.lastCall = index
			l.mu.Lock()
			l.idle[c.Balancer] = append(l.idle[c.Balancer], conn)
			l.mu.Unlock()
		}
		l.storeCall(index, c)
		return
	}
	c.Balancer, c.Outcome, c.Done = -1, NotAccepted, l.now()
	l.storeCall(index, c)
}

// repeatID returns the ID under which an op is sent again. Each repeat has one of its own, or its pushes would count for those
// before it, too.
func repeatID(id string, repeat int) string { return id[:len(id)-1] + string(rune('q'+repeat)) }

// storeCall stores a finished call and keeps the extra answers counted for it so far.
func (l *loadGenerator) storeCall(index int, c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.ExtraAnswers += l.calls[index].ExtraAnswers
	l.calls[index] = c
}

// acquireConn returns an idle connection to a balancer, or a new one.
func (l *loadGenerator) acquireConn(balancer int) (*clientConn, error) {
	for {
		l.mu.Lock()
		n := len(l.idle[balancer])
		if n == 0 {
			l.mu.Unlock()
			return dial(l.addresses[balancer])
		}
		c := l.idle[balancer][n-1]
		l.idle[balancer] = l.idle[balancer][:n-1]
		l.mu.Unlock()
		if l.isUsable(c) {
			return c, nil
		}
	}
}

// isUsable reports whether an idle connection can be reused, and closes it otherwise. Pending data counts as an extra answer to
// the last op on it.
func (l *loadGenerator) isUsable(c *clientConn) bool {
	c.SetReadDeadline(time.Now())
	_, err := c.r.Peek(1)
	if err == nil {
		l.mu.Lock()
		l.calls[c.lastCall].ExtraAnswers++
		l.mu.Unlock()
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.Close()
		return false
	}
	return true
}

// checkStrayAnswers waits, looks for unexpected answers on all idle connections, and closes them.
func (l *loadGenerator) checkStrayAnswers() {
	time.Sleep(strayAnswerWait)
	for _, conns := range l.idle {
		for _, c := range conns {
			if l.isUsable(c) {
				c.Close()
			}
		}
	}
}

// dial opens a new connection to a balancer.
func dial(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c), -1}, nil
}

// exchange sends the command of an op and reads its answer.
func (l *loadGenerator) exchange(conn *clientConn, c *Call) {
	text := fmt.Sprintf("mg %s v O%s Pc=%s,d=%d\r\n", c.Key, c.ID, c.Category, ttl.Milliseconds())
	if c.Write {
		dedupKey := ""
		if repeatModes[c.Category] == "dedup" {
			dedupKey = ",k=" + c.ID
		}
		text = fmt.Sprintf("ms %s %d O%s Pc=%s,d=%d%s\r\n%s\r\n", c.Key,
			len(c.ID), c.ID, c.Category, ttl.Milliseconds(), dedupKey, c.ID)
	}
	conn.SetDeadline(time.Now().Add(ttl + answerTolerance))
	c.Begun = l.now()
	_, err := io.WriteString(conn, text)
	c.Sent = l.now()
	if err == nil {
		c.Outcome, c.Text, err = readAnswer(conn.r, c.ID)
	}
	c.Done = l.now()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Outcome = TimedOut
	case err != nil:
		c.Outcome = Disconnected
	}
}

// readAnswer reads the answer to op id, and returns its outcome and text. The answer of another op counts as a failure. An
// error means that no complete answer could be read.
func readAnswer(r *bufio.Reader, id string) (Outcome, string, error) {
	first, err := r.ReadString('\n')
	if err != nil {
		return Disconnected, first, err
	}
	first = strings.TrimSpace(first)
	words := strings.Fields(first)
	switch {
	case len(words) == 3 && words[0] == "VA":
		n, err := strconv.Atoi(words[1])
		if err != nil || n < 0 || n > 1<<20 {
			return Failed, first, nil
		}
		body := make([]byte, n+2)
		if _, err := io.ReadFull(r, body); err != nil {
			return Disconnected, first, err
		}
		if words[2] != "O"+id {
			return Failed, "answer of another op: " + first, nil
		}
		return Acked, string(body[:n]), nil
	case len(words) == 3 && words[0] == "HD":
		if words[1] != "O"+id {
			return Failed, "answer of another op: " + first, nil
		}
		return Acked, strings.TrimPrefix(words[2], "c"), nil
	case strings.HasPrefix(first, "SERVER_ERROR busy"):
		return Nacked, first, nil
	}
	return Failed, first, nil
}
