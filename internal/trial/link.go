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
	pieceSize = 16 << 10 // bytes that a link reads at once
	pieces    = 64       // that it holds for each direction of a connection; then the sender has to wait
)

// Direction is a direction of a link.
type Direction int

const (
	Out  Direction = iota // from the balancer
	Back                  // to it
)

// Impairment is what is wrong with a direction of a link. The zero Impairment is nothing.
type Impairment struct {
	Blackhole  bool          // bytes are taken and never passed on; connections are reset once it is over
	Delay      time.Duration // each byte is so late
	Jitter     time.Duration // and at most so much later still, in their order
	Rate       float64       // bytes a second; 0: as many as come
	ResetAfter int           // once this many bytes more have passed the connection is reset amid them; 0: never
}

// Link is the way from one balancer to one part: a relay of its own, so that each can fail by itself. Cut, it resets what
// there is and refuses what is new.
type Link struct {
	Balancer, Part string

	target   func() string // the part's address
	source   net.IP        // what the part sees the balancer as
	address  string
	listener net.Listener

	mu          sync.Mutex
	rng         *rand.Rand
	cut         bool
	single      bool // one connection at a time: further ones are refused
	impairments [2]Impairment
	change      chan struct{} // closed with each change
	connections map[*proxiedConn]bool
	ended       bool
}

// proxiedConn is a connection and the one that goes on behind the link.
type proxiedConn struct {
	near, far net.Conn
	tainted   bool // bytes were lost on it
	left      [2]int
}

func newLink(balancer, part, ip string, source net.IP, seed uint64, target func() string) (*Link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("link %s to %s: %w", balancer, part, err)
	}
	l := &Link{Balancer: balancer, Part: part, target: target, source: source, address: listener.Addr().String(),
		listener: listener, rng: rand.New(rand.NewPCG(seed, 3)), change: make(chan struct{}), connections: map[*proxiedConn]bool{}}
	go l.accept()
	return l, nil
}

// OpenLink opens a link that belongs to no ground, from one process to another. It listens on ip, connects to what target
// returns at the time, and is seen there as source. The seed is that of its jitter.
func OpenLink(from, to, ip string, source net.IP, seed uint64, target func() string) (*Link, error) {
	return newLink(from, to, ip, source, seed, target)
}

// Close ends the link and resets all its connections.
func (l *Link) Close() { l.close() }

// Address is what the balancer is told as the part's.
func (l *Link) Address() string { return l.address }

// SetCut resets all connections and refuses new ones while it is on.
func (l *Link) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut = on; on {
		for j := range l.connections {
			j.reset()
		}
	}
	l.changed()
}

// SetSingle has a second connection refused while one is open.
func (l *Link) SetSingle(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.single = on
}

// SetImpairment changes what is wrong with a direction. The end of a hole resets what has lost bytes in it.
func (l *Link) SetImpairment(w Direction, f Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.impairments[w]
	l.impairments[w] = f
	for j := range l.connections {
		j.left[w] = f.ResetAfter
		if was.Blackhole && !f.Blackhole && j.tainted {
			j.reset()
		}
	}
	l.changed()
}

func (l *Link) changed() {
	close(l.change)
	l.change = make(chan struct{})
}

func (l *Link) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for j := range l.connections {
		j.reset()
	}
	l.changed()
}

func (j *proxiedConn) reset() {
	standin.ResetConn(j.near)
	standin.ResetConn(j.far)
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(c)
	}
}

// join goes on behind the link. A connection that can't is reset, as if it had been refused. In a hole none comes up: what
// asked for one is reset once that is over, with all that it has sent.
func (l *Link) join(c net.Conn) {
	j := &proxiedConn{near: c, far: c}
	for waited := false; ; waited = true {
		l.mu.Lock()
		refused := l.cut || l.ended || l.single && len(l.connections) > 0
		hole, change := l.impairments[Out].Blackhole || l.impairments[Back].Blackhole, l.change
		l.mu.Unlock()
		if refused || waited && !hole {
			j.reset()
			return
		}
		if !hole {
			break
		}
		<-change
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: l.source}, Timeout: 2 * time.Second}
	far, err := d.Dial("tcp", l.target())
	if err != nil {
		j.reset()
		return
	}
	j.far = far
	l.mu.Lock()
	if l.cut || l.ended {
		l.mu.Unlock()
		j.reset()
		return
	}
	for w := range j.left {
		j.left[w] = l.impairments[w].ResetAfter
	}
	l.connections[j] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go l.pass(j, Out, far, c, &both)
	go l.pass(j, Back, c, far, &both)
	both.Wait()
	l.mu.Lock()
	delete(l.connections, j)
	l.mu.Unlock()
	c.Close()
	far.Close()
}

// piece is bytes on their way.
type piece struct {
	data []byte
	due  time.Time
}

// pass carries one direction to its end.
func (l *Link) pass(j *proxiedConn, w Direction, to, from net.Conn, both *sync.WaitGroup) {
	defer both.Done()
	way := make(chan piece, pieces)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.deliver(j, w, to, way)
	}()
	var last time.Time
	for buf := make([]byte, pieceSize); ; {
		n, err := from.Read(buf)
		if n > 0 {
			l.mu.Lock()
			f := l.impairments[w]
			late := f.Delay
			if f.Jitter > 0 {
				late += time.Duration(l.rng.Int64N(int64(f.Jitter)))
			}
			if f.Blackhole {
				j.tainted = true
			}
			l.mu.Unlock()
			if !f.Blackhole {
				due := time.Now().Add(late)
				if due.Before(last) {
					due = last
				}
				last = due
				way <- piece{append([]byte(nil), buf[:n]...), due}
			}
		}
		if err != nil {
			close(way)
			<-done
			if err == io.EOF {
				if t, ok := to.(*net.TCPConn); ok {
					t.CloseWrite()
				}
			} else {
				j.reset()
			}
			return
		}
	}
}

// deliver writes pieces as they fall due.
func (l *Link) deliver(j *proxiedConn, w Direction, to net.Conn, way <-chan piece) {
	for p := range way {
		if wait := time.Until(p.due); wait > 0 {
			time.Sleep(wait)
		}
		l.mu.Lock()
		rate, severed := l.impairments[w].Rate, false
		if hole := l.impairments[w].Blackhole; hole { // what was on its way is lost with it
			j.tainted = true
			l.mu.Unlock()
			continue
		}
		if left := j.left[w]; left > 0 {
			if severed = len(p.data) >= left; severed {
				p.data = p.data[:left]
			}
			j.left[w] = max(left-len(p.data), 0)
		}
		l.mu.Unlock()
		if rate > 0 {
			time.Sleep(time.Duration(float64(len(p.data)) / rate * float64(time.Second)))
		}
		if _, err := to.Write(p.data); err != nil {
			j.reset()
		}
		if severed {
			time.Sleep(time.Millisecond) // so that the bytes before the reset arrive
			j.reset()
		}
	}
}
