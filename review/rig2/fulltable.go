package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	crowdSize      = 300 // idle connections of the crowd
	crowdStays     = 60 * time.Millisecond
	usualClients   = 32
	usualPause     = 25 * time.Millisecond
	fullTableFor   = 90 * time.Second
	fullTableHosts = 4
)

// FullTable fills the balancer's descriptors with connections that say nothing and leave together, while other clients
// come on new connections and ask once. It counts the requests that were read and whose connection was closed with no
// answer.
func FullTable(r *rig) (int, error) {
	var members []member
	for i := range fullTableHosts {
		h, err := newHost(r, fmt.Sprint("box-", i), func(_ *host, c command) verdict {
			return verdict{after: 2 * time.Millisecond, answer: value(c, "hello")}
		})
		if err != nil {
			return 0, err
		}
		members = append(members, h.member("full"))
	}
	d, err := newDiscovery(members)
	if err != nil {
		return 0, err
	}
	listen, err := freeAddress()
	if err != nil {
		return 0, err
	}
	p, err := r.start("n0", startFile("n0", listen, d, 192, 256,
		settings(3, 3, category("log-read", "retryable", 150, 600, 2, 0))), r.dir)
	if err != nil {
		return 0, err
	}
	if err := r.awaitReady(p); err != nil {
		return 0, err
	}
	end := time.Now().Add(fullTableFor)
	var all sync.WaitGroup
	if r.trouble {
		all.Go(func() { crowd(r, listen, end) })
	}
	var sent, answered, unread, lost atomic.Int64
	for i := range usualClients {
		all.Go(func() {
			for n := 0; time.Now().Before(end) && !p.hasEnded(); n++ {
				id := fmt.Sprintf("%02x%08x", i, n)
				sent.Add(1)
				switch line, err := askOnce(listen, id); {
				case err == nil:
					answered.Add(1)
				case err == errReadNotAnswered:
					lost.Add(1)
					r.note("client %d: %s: sent whole on a new connection, read, and closed with no answer", i, id)
				default:
					unread.Add(1)
					r.note("client %d: %s: %q %v", i, id, line, err)
				}
				time.Sleep(usualPause)
			}
		})
	}
	all.Wait()
	r.note("sent %d, answered %d, shut unread or refused %d, read and not answered %d", sent.Load(), answered.Load(), unread.Load(),
		lost.Load())
	if p.hasEnded() {
		return 0, fmt.Errorf("the balancer ended: %v", p.result)
	}
	return int(lost.Load()), nil
}

// crowd opens connections that say nothing, closes them together some time later, and comes again.
func crowd(r *rig, listen string, end time.Time) {
	for time.Now().Before(end) {
		var conns []net.Conn
		for range crowdSize {
			conn, err := net.DialTimeout("tcp", listen, time.Second)
			if err != nil {
				break
			}
			conns = append(conns, conn)
		}
		time.Sleep(crowdStays)
		var closing sync.WaitGroup
		for i := range 4 {
			closing.Go(func() {
				for j := i; j < len(conns); j += 4 {
					conns[j].Close()
				}
			})
		}
		closing.Wait()
		r.note("crowd: %d connections came and left", len(conns))
	}
}

// errReadNotAnswered tells that a request was read and its connection closed with no answer.
var errReadNotAnswered = fmt.Errorf("read, not answered")

// askOnce sends a request on a new connection. Where the connection ends with no answer, it tells by how it ended
// whether the request had been read: a system that closes a connection over unread bytes, or gets bytes for one that is
// closed, sends a reset.
func askOnce(listen, id string) (string, error) {
	conn, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, "mg u:k"+id[len(id)-2:]+" v O"+id+" Pc=log-read,d=600\r\n"); err != nil {
		return "", err
	}
	line, err := readAnswer(bufio.NewReader(conn))
	if err != io.EOF || line != "" {
		return line, err
	}
	time.Sleep(100 * time.Millisecond)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return "", err
	}
	pending := 0
	if err := raw.Control(func(fd uintptr) { pending, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }); err != nil {
		return "", err
	}
	if pending != 0 {
		return "", syscall.Errno(pending)
	}
	return "", errReadNotAnswered
}
