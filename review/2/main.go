// Command 2 plays some clients that write long values slowly, and others that write shorter ones in two pieces.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"larchthread/review/lab"
)

const (
	ttl         = 800     // ms, TTL of all writes
	slowWriters = 10      // clients that write long values
	longBytes   = 4 << 20 // length of their values
	slowPiece   = 30000   // bytes of them that are written at once
	pieceEvery  = 100 * time.Millisecond
	others      = 6         // clients that write shorter values, one a second
	otherBytes  = 85 * 1000 // length of their values
	firstBytes  = 70 * 1000 // of such a command, in its first piece; the rest follows in a second one
	otherPause  = 50 * time.Millisecond
	slack       = 550 * time.Millisecond
)

func main() { lab.Run(110*time.Second, play) }

func play(l *lab.Lab) int {
	d := lab.StartDiscovery()
	for i := range 3 {
		d.StartHost(fmt.Sprint("s-", i), "nashua", lab.Miss)
	}
	d.StartOrigin("nashua", func(c lab.Command) string {
		l.Notef("origin ran %s, %d bytes", c.ID, c.Size)
		time.Sleep(20 * time.Millisecond)
		return "receipt"
	})
	listen := lab.FreeAddress()
	b := l.StartBalancer(lab.Start{Name: "n1", Listen: listen, Admin: lab.FreeAddress(), Discovery: d.Address, MemoryMB: 192,
		Sockets: 1024, Known: d.List(), Settings: lab.GraniteLoop()})
	l.AwaitServing(b, listen)
	var all sync.WaitGroup
	var lost atomic.Int32
	write := func(id string, size, piece int, every time.Duration) {
		if !inTime(l, listen, id, size, piece, every) {
			lost.Add(1)
		}
	}
	for i := range slowWriters {
		every := pieceEvery
		if !l.Trouble {
			every = 0
		}
		all.Go(func() { write(fmt.Sprintf("slow%d", i), longBytes, slowPiece, every) })
	}
	time.Sleep(2 * time.Second)
	for i := range others {
		all.Go(func() { write(fmt.Sprintf("other%d", i), otherBytes, firstBytes, otherPause) })
		time.Sleep(time.Second)
	}
	all.Wait()
	l.Notef("%d writes without an answer within their time and %v", lost.Load(), slack)
	if lost.Load() > 0 {
		return lab.Broken
	}
	return lab.Held
}

// awaitArrival waits until the other side's kernel has acknowledged all that was written.
func awaitArrival(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	lab.Must(err)
	for unacknowledged := 1; unacknowledged > 0; time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		lab.Must(err)
	}
}

// inTime writes a value and reports whether the answer came in time, counted from when the
// last byte is at the balancer's machine.
func inTime(l *lab.Lab, listen, id string, size, piece int, every time.Duration) bool {
	conn, err := net.Dial("tcp", listen)
	lab.Must(err)
	defer conn.Close()
	conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
	text := fmt.Sprintf("ms k-%s %d O%s Pc=log-append,d=%d,k=mark-%s\r\n%s\r\n", id, size, id, ttl, id, strings.Repeat("v", size))
	for rest := text; rest != ""; {
		n := min(piece, len(rest))
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			l.Notef("%s: write: %v", id, err)
			return false
		}
		if rest = rest[n:]; rest != "" {
			time.Sleep(every)
		}
	}
	l.Notef("%s: last byte written", id)
	awaitArrival(conn)
	sent := time.Now()
	l.Notef("%s: last byte is at the balancer's machine", id)
	conn.SetReadDeadline(sent.Add(60 * time.Second))
	line, err := bufio.NewReader(conn).ReadString('\n')
	took := time.Since(sent)
	l.Notef("%s: answer %q after %v %v", id, line, took.Round(time.Millisecond), err)
	return err == nil && took <= ttl*time.Millisecond+slack
}
