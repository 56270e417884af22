package trial

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"larchthread/internal/standin"
)

const (
	chunkSize       = 16 << 10 // read at once
	maxQueuedChunks = 64       // per direction of a connection; beyond that the sender is blocked
)

// Direction is a direction of traffic on a link.
type Direction int

const (
	Out  Direction = iota // from the balancer
	Back                  // to the balancer
)

// Impairment describes how one direction of a link is impaired. The zero value is no impairment.
type Impairment struct {
	Blackhole  bool          // data is read and discarded; affected connections are reset when the blackhole ends
	Delay      time.Duration // added to all data
	Jitter     time.Duration // upper limit of a further random delay, which keeps the order of data
	Rate       float64       // bytes per second; 0: unlimited
	ResetAfter int           // bytes after which each connection is reset; 0: never
}

// Link is a TCP proxy from one balancer to one other part, so that each such path can fail on its own. A cut link resets its
// connections and refuses new ones.
type Link struct {
	Balancer, Part string

	target   func() string // returns the address of the part
	source   net.IP        // source address of connections to the part
	address  string
	listener net.Listener

	mu          sync.Mutex
	rng         *rand.Rand
	cut         bool
	single      bool // only one connection at a time is accepted
	impairments [2]Impairment
	changed     chan struct{} // closed and replaced when a setting changes
	connections map[*proxiedConn]bool
	closed      bool
}

// proxiedConn is a pair of connections: near from the balancer, far to the part.
type proxiedConn struct {
	near, far  net.Conn
	lostBytes  bool // data was discarded in a blackhole
	untilReset [2]int
}

// newLink opens a link; see OpenLink.
func newLink(balancer, part, ip string, source net.IP, seed uint64, target func() string) (*Link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("link %s to %s: %w", balancer, part, err)
	}
	l := &Link{Balancer: balancer, Part: part, target: target, source: source, address: listener.Addr().String(),
		listener: listener, rng: rand.New(rand.NewPCG(seed, 3)), changed: make(chan struct{}), connections: map[*proxiedConn]bool{}}
	go l.accept()
	return l, nil
}

// OpenLink opens a link between two processes outside a Cluster. It listens on a free port of ip, connects from the address
// source to the address that target returns at that time, and draws its jitter from seed. It returns an error if it can't
// listen.
func OpenLink(from, to, ip string, source net.IP, seed uint64, target func() string) (*Link, error) {
	return newLink(from, to, ip, source, seed, target)
}

// Close closes the link and resets all its connections.
func (l *Link) Close() { l.close() }

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.address }

// SetCut cuts the link or restores it. A cut link resets all connections and refuses new ones.
func (l *Link) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut = on; on {
		for conn := range l.connections {
			conn.reset()
		}
	}
	l.notifyChanged()
}

// SetSingle limits the link to one connection at a time, or lifts that limit. Further connections are refused.
func (l *Link) SetSingle(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.single = on
}

// SetImpairment sets the impairment of one direction. If that ends a blackhole, connections that lost data are reset.
func (l *Link) SetImpairment(d Direction, impairment Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.impairments[d]
	l.impairments[d] = impairment
	for conn := range l.connections {
		conn.untilReset[d] = impairment.ResetAfter
		if was.Blackhole && !impairment.Blackhole && conn.lostBytes {
			conn.reset()
		}
	}
	l.notifyChanged()
}

// notifyChanged wakes the goroutines that wait for a change. The caller holds l.mu.
func (l *Link) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.connections {
		conn.reset()
	}
	l.notifyChanged()
}

// reset resets both connections of the pair.
func (conn *proxiedConn) reset() {
	standin.ResetConn(conn.near)
	standin.ResetConn(conn.far)
}

// accept serves connections until the listener is closed.
func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(near)
	}
}

// proxy connects an accepted connection to the part and forwards data both ways until both are done. If that is not
// possible, the connection is reset. During a blackhole nothing is connected; connections accepted in the meantime are reset
// when it ends.
func (l *Link) proxy(near net.Conn) {
	conn := &proxiedConn{near: near, far: near}
	for hasWaited := false; ; hasWaited = true {
		l.mu.Lock()
		refused := l.cut || l.closed || l.single && len(l.connections) > 0
		blackholed, changed := l.impairments[Out].Blackhole || l.impairments[Back].Blackhole, l.changed
		l.mu.Unlock()
		if refused || hasWaited && !blackholed {
			conn.reset()
			return
		}
		if !blackholed {
			break
		}
		<-changed
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: l.source}, Timeout: 2 * time.Second}
	far, err := d.Dial("tcp", l.target())
	if err != nil {
		conn.reset()
		return
	}
	conn.far = far
	l.mu.Lock()
	if l.cut || l.closed {
		l.mu.Unlock()
		conn.reset()
		return
	}
	for dir := range conn.untilReset {
		conn.untilReset[dir] = l.impairments[dir].ResetAfter
	}
	l.connections[conn] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go l.forward(conn, Out, far, near, &wg)
	go l.forward(conn, Back, near, far, &wg)
	wg.Wait()
	l.mu.Lock()
	delete(l.connections, conn)
	l.mu.Unlock()
	near.Close()
	far.Close()
}

// chunk is data in transit and the time at which it is delivered.
type chunk struct {
	data []byte
	due  time.Time
}

// forward forwards one direction of a connection until it ends, and passes on a half-close or a reset.
func (l *Link) forward(conn *proxiedConn, d Direction, to, from net.Conn, wg *sync.WaitGroup) {
	defer wg.Done()
	queue := make(chan chunk, maxQueuedChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.deliver(conn, d, to, queue)
	}()
	var last time.Time
	for buf := make([]byte, chunkSize); ; {
		n, err := from.Read(buf)
		if n > 0 {
			l.mu.Lock()
			impairment := l.impairments[d]
			delay := impairment.Delay
			if impairment.Jitter > 0 {
				delay += time.Duration(l.rng.Int64N(int64(impairment.Jitter)))
			}
			if impairment.Blackhole {
				conn.lostBytes = true
			}
			l.mu.Unlock()
			if !impairment.Blackhole {
				due := time.Now().Add(delay)
				if due.Before(last) {
					due = last
				}
				last = due
				queue <- chunk{append([]byte(nil), buf[:n]...), due}
			}
		}
		if err != nil {
			close(queue)
			<-done
			if err == io.EOF {
				if t, ok := to.(*net.TCPConn); ok {
					t.CloseWrite()
				}
			} else {
				conn.reset()
			}
			return
		}
	}
}

// deliver writes chunks when they are due.
func (l *Link) deliver(conn *proxiedConn, d Direction, to net.Conn, queue <-chan chunk) {
	for p := range queue {
		if wait := time.Until(p.due); wait > 0 {
			time.Sleep(wait)
		}
		l.mu.Lock()
		rate, shouldReset := l.impairments[d].Rate, false
		if blackholed := l.impairments[d].Blackhole; blackholed { // data in transit is lost too
			conn.lostBytes = true
			l.mu.Unlock()
			continue
		}
		if remaining := conn.untilReset[d]; remaining > 0 {
			if shouldReset = len(p.data) >= remaining; shouldReset {
				p.data = p.data[:remaining]
			}
			conn.untilReset[d] = max(remaining-len(p.data), 0)
		}
		l.mu.Unlock()
		if rate > 0 {
			time.Sleep(time.Duration(float64(len(p.data)) / rate * float64(time.Second)))
		}
		if _, err := to.Write(p.data); err != nil {
			conn.reset()
		}
		if shouldReset {
			time.Sleep(time.Millisecond) // lets the data arrive before the reset
			conn.reset()
		}
	}
}
