// Command 1 plays clients that send two reads at once, the second of a long value whose cache host resets the connection
// within the value.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"larchthread/review/lab"
)

const (
	ttl        = 600 // ms, TTL
	hosts      = 6
	rounds     = 6
	work       = 60 * time.Millisecond // of a short read at its cache host
	longBytes  = 100000
	sentBytes  = 30000                  // of a long value, before the reset
	lateAfter  = 550 * time.Millisecond // behind the TTL
	waitBeyond = 10 * time.Second       // for an answer that is late
)

func main() { lab.Run(110*time.Second, play) }

func play(l *lab.Lab) int {
	long := strings.Repeat("0123456789", longBytes/10)
	d := lab.StartDiscovery()
	for i := range hosts {
		d.StartRawHost(fmt.Sprint("s-", i), "nashua", func(c net.Conn, cmd lab.Command) bool {
			l.Notef("%s runs %s", cmd.Host, cmd.ID)
			if !strings.HasPrefix(cmd.Key, "long") {
				time.Sleep(work)
				_, err := io.WriteString(c, lab.Hit(cmd, "short"))
				return err == nil
			}
			time.Sleep(5 * time.Millisecond)
			if !l.Trouble {
				_, err := io.WriteString(c, lab.Hit(cmd, long))
				return err == nil
			}
			io.WriteString(c, lab.Hit(cmd, long)[:sentBytes])
			time.Sleep(5 * time.Millisecond)
			l.Notef("%s resets the connection of %s", cmd.Host, cmd.ID)
			c.(*net.TCPConn).SetLinger(0)
			return false
		})
	}
	d.StartOrigin("nashua", func(c lab.Command) string {
		if strings.HasPrefix(c.Key, "long") {
			return long
		}
		return "short"
	})
	listen := lab.FreeAddress()
	b := l.StartBalancer(lab.Start{Name: "n1", Listen: listen, Admin: lab.FreeAddress(), Discovery: d.Address, MemoryMB: 192,
		Sockets: 1024, Known: d.List(), Settings: lab.GraniteLoop()})
	l.AwaitServing(b, listen)
	var all sync.WaitGroup
	var mu sync.Mutex
	silent := 0
	for i := range rounds {
		all.Go(func() {
			if !settled(l, listen, i) {
				mu.Lock()
				silent++
				mu.Unlock()
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	all.Wait()
	l.Notef("%d of %d clients have a request with neither an answer nor an end of the connection in time", silent, rounds)
	if silent > 0 {
		return lab.Broken
	}
	return lab.Held
}

// settled sends two reads on a connection and a third one later, and reports whether each was answered, or the connection
// ended, in time.
func settled(l *lab.Lab, listen string, client int) bool {
	conn, err := net.Dial("tcp", listen)
	lab.Must(err)
	defer conn.Close()
	send := func(ids ...string) {
		text := ""
		for _, id := range ids {
			text += fmt.Sprintf("mg %s%d v O%s%d Pc=log-read,d=%d\r\n", id, client, id, client, ttl)
		}
		io.WriteString(conn, text)
		l.Notef("client %d sent %v", client, ids)
	}
	send("short", "long")
	sent := time.Now()
	time.AfterFunc(400*time.Millisecond, func() { send("later") })
	r := bufio.NewReader(conn)
	for open := 3; open > 0; open-- {
		limit := sent.Add(ttl*time.Millisecond + lateAfter)
		if open == 1 {
			limit = limit.Add(400 * time.Millisecond)
		}
		conn.SetReadDeadline(limit.Add(waitBeyond))
		line, err := r.ReadString('\n')
		if os.IsTimeout(err) {
			l.Notef("client %d: %d requests open, no byte and no end of the connection", client, open)
			return false
		}
		if err == nil && strings.HasPrefix(line, "VA ") {
			n := 0
			fmt.Sscanf(line, "VA %d", &n)
			_, err = io.CopyN(io.Discard, r, int64(n)+2)
		}
		if err != nil {
			l.Notef("client %d: %d requests open, the connection ended: %v", client, open, err)
			return time.Now().Before(limit)
		}
		l.Notef("client %d: %q", client, line)
		if time.Now().After(limit) {
			return false
		}
	}
	return true
}
