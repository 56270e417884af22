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
	answerSlack = 150 * time.Millisecond // behind an op's TTL in which its answer counts still: the load generator's own lateness
	listenMore  = 400 * time.Millisecond // after the last op, for answers that nobody should send
	connectMost = 500 * time.Millisecond
	crossed     = 10 * time.Millisecond // within which the end of a kept connection crossed the command
)

// Result of an op, as its client saw it.
type Outcome string

const (
	Acked        Outcome = "acked"
	Nacked       Outcome = "nacked"  // with the word that a repeat is safe
	Failed       Outcome = "failed"  // any other answer
	Disconnected Outcome = "cut"     // its connection ended with no whole answer
	TimedOut     Outcome = "silent"  // none within its time
	NotAccepted  Outcome = "untaken" // no balancer took it
)

// Call is an op, as its client saw it. Times are since the fleet's start.
type Call struct {
	ID              string
	Key             string
	Category        string
	Write           bool
	Balancer        int           // by its number from 0, -1 where none took it
	Due             time.Duration // when it was to be sent
	Sent            time.Duration // when its last byte was written
	Done            time.Duration
	Outcome         Outcome
	Text            string // of the answer: what was read, or its first line
	ExtraAnswers    int    // further answers, or bytes of none
	ClosedInTransit bool   // its connection was closed as the command crossed, and it was sent once more, as another op
}

// load sends ops at a plan's rate, whatever comes back.
type load struct {
	plan    Plan
	listens []string
	now     func() time.Duration
	rng     *rand.Rand
	keys    []float64 // summed popularity

	mu    sync.Mutex
	calls []Call
	idle  [][]*line // connections by balancer
	late  *hdrhistogram.Histogram
}

// line is a client's connection.
type line struct {
	net.Conn
	r    *bufio.Reader
	last int // the call that was last answered on it, by its place
}

func newLoad(p Plan, listens []string, now func() time.Duration) *load {
	l := &load{plan: p, listens: listens, now: now, rng: rand.New(rand.NewPCG(p.Seed, 11)), idle: make([][]*line, len(listens)),
		late: histogram()}
	sum := 0.0
	for i := range p.Load.Keys {
		sum += math.Pow(float64(i+1), -p.Load.Skew)
		l.keys = append(l.keys, sum)
	}
	return l
}

// histogram is of microseconds, up to a minute.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }

// rate is ops a second at a time of the load.
func (l *load) rate(at time.Duration) float64 {
	rate := l.plan.Load.Rate
	for _, b := range l.plan.Load.Bursts {
		if at >= b.At.d() && at < (b.At+b.Duration).d() {
			rate *= b.Factor
		}
	}
	return rate
}

// run sends all, and waits until the last op is over. tell is told each second of how far it is.
func (l *load) run(ctx context.Context, began time.Duration, tell func(at time.Duration, sent int)) error {
	var open sync.WaitGroup
	second := time.Second
	end := l.plan.Load.Duration.d()
	for at, n := time.Duration(0), 0; ; n++ {
		at += time.Duration(l.rng.ExpFloat64() / l.rate(at) * float64(time.Second))
		for second <= min(at, end) {
			tell(second, n)
			second += time.Second
		}
		if at >= end {
			break
		}
		c := l.next(began + at)
		if wait := c.Due - l.now(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				open.Wait()
				return context.Cause(ctx)
			}
		}
		l.mu.Lock()
		l.late.RecordValue(max(0, (l.now() - c.Due).Microseconds()))
		l.calls = append(l.calls, c)
		place := len(l.calls) - 1
		l.mu.Unlock()
		open.Add(1)
		go func() {
			defer open.Done()
			l.play(place, c)
		}()
	}
	open.Wait()
	l.listen()
	return ctx.Err()
}

// next draws an op.
func (l *load) next(due time.Duration) Call {
	at, _ := slices.BinarySearch(l.keys, l.rng.Float64()*l.keys[len(l.keys)-1])
	c := Call{ID: fmt.Sprintf("%016x", l.rng.Uint64()), Key: fmt.Sprintf("key-%d", min(at, len(l.keys)-1)), Due: due,
		Balancer: l.rng.IntN(len(l.listens))}
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

// play sends an op and notes what comes of it. A balancer that takes no connection is passed over once, as a front would.
func (l *load) play(place int, c Call) {
	for range l.listens {
		conn, err := l.connect(c.Balancer)
		if err != nil {
			c.Balancer = (c.Balancer + 1) % len(l.listens)
			continue
		}
		kept := conn.last >= 0
		l.talk(conn, &c)
		if kept && c.Outcome == Disconnected && c.Text == "" && c.Done-c.Sent < crossed {
			// The connection was closed as the command crossed: clients send it once more, on a new one.
			conn.Close()
			first := c
			first.ClosedInTransit = true
			l.mu.Lock()
			l.calls = append(l.calls, first) // it may have run all the same
			l.mu.Unlock()
			c.ID = c.ID[:15] + "r"
			if conn, err = dial(l.listens[c.Balancer]); err != nil {
				c.Balancer = (c.Balancer + 1) % len(l.listens)
				continue
			}
			l.talk(conn, &c)
		}
		if c.Outcome == Disconnected || c.Outcome == TimedOut {
			conn.Close()
		} else {
			conn.last = place
			l.mu.Lock()
			l.idle[c.Balancer] = append(l.idle[c.Balancer], conn)
			l.mu.Unlock()
		}
		l.set(place, c)
		return
	}
	c.Balancer, c.Outcome, c.Done = -1, NotAccepted, l.now()
	l.set(place, c)
}

func (l *load) set(place int, c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.ExtraAnswers += l.calls[place].ExtraAnswers
	l.calls[place] = c
}

// connect is a connection to a balancer at rest, or a new one.
func (l *load) connect(balancer int) (*line, error) {
	for {
		l.mu.Lock()
		n := len(l.idle[balancer])
		if n == 0 {
			l.mu.Unlock()
			return dial(l.listens[balancer])
		}
		c := l.idle[balancer][n-1]
		l.idle[balancer] = l.idle[balancer][:n-1]
		l.mu.Unlock()
		if l.quiet(c) {
			return c, nil
		}
	}
}

// quiet tells whether a connection at rest is still usable. Bytes on it are an answer too many for the op before.
func (l *load) quiet(c *line) bool {
	c.SetReadDeadline(time.Now())
	_, err := c.r.Peek(1)
	if err == nil {
		l.mu.Lock()
		l.calls[c.last].ExtraAnswers++
		l.mu.Unlock()
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.Close()
		return false
	}
	return true
}

// listen looks at all connections once more, for answers that nobody asked for.
func (l *load) listen() {
	time.Sleep(listenMore)
	for _, conns := range l.idle {
		for _, c := range conns {
			if l.quiet(c) {
				c.Close()
			}
		}
	}
}

func dial(address string) (*line, error) {
	c, err := net.DialTimeout("tcp", address, connectMost)
	if err != nil {
		return nil, err
	}
	return &line{c, bufio.NewReader(c), -1}, nil
}

// talk sends an op's command and takes its answer.
func (l *load) talk(conn *line, c *Call) {
	text := fmt.Sprintf("mg %s v O%s Pc=%s,d=%d\r\n", c.Key, c.ID, c.Category, ttl.Milliseconds())
	if c.Write {
		mark := ""
		if categories[c.Category] == "dedup" {
			mark = ",k=" + c.ID
		}
		text = fmt.Sprintf("ms %s %d O%s Pc=%s,d=%d%s\r\n%s\r\n", c.Key, len(c.ID), c.ID, c.Category, ttl.Milliseconds(), mark, c.ID)
	}
	conn.SetDeadline(time.Now().Add(ttl + answerSlack))
	_, err := io.WriteString(conn, text)
	c.Sent = l.now()
	if err == nil {
		c.Outcome, c.Text, err = answer(conn.r, c.ID)
	}
	c.Done = l.now()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Outcome = TimedOut
	case err != nil:
		c.Outcome = Disconnected
	}
}

// answer reads an answer. One of another op is a failure, and says so.
func answer(r *bufio.Reader, id string) (Outcome, string, error) {
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
