package rig2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	tailSockets = 256
	tailClients = tailSockets/3 - 1
	tailBytes   = 120 * 1000 // of a value
	tailPiece   = 16 << 10
	tailPause   = 180 * time.Millisecond // between two pieces that a client reads
	tailNext    = 60 << 10               // bytes of an answer that are left when the next command is sent, at the most
	tailRest    = time.Second            // of a client that reads at full speed, behind each answer
	tailSlow    = 12                     // clients that read slowly; one in seven
	tailFor     = 30 * time.Second
)

// Tail has some clients read answers slowly. All send their next command before they have read all of an answer. It
// counts the answers that the balancer cut off.
func Tail(r *rig) (int, error) {
	text := strings.Repeat("x", tailBytes)
	var members []member
	for i := range 6 {
		h, err := newHost(r, fmt.Sprint("box-", i), func(_ *host, c command) verdict {
			return verdict{after: 2 * time.Millisecond, answer: value(c, text)}
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
	p, err := r.start("n0", startFile("n0", listen, d, 192, tailSockets,
		settings(3, 3, category("stav-batoziny", "retryable", 300, 750, 1, 0))), r.dir)
	if err != nil {
		return 0, err
	}
	if err := r.awaitReady(p); err != nil {
		return 0, err
	}
	t := &tailReaders{rig: r, listen: listen, end: time.Now().Add(tailFor)}
	var all sync.WaitGroup
	for i := range tailClients {
		all.Go(func() {
			random := rand.New(rand.NewSource(int64(i)))
			time.Sleep(time.Duration(random.Int63n(int64(tailRest))))
			for n := 0; time.Now().Before(t.end); n++ {
				t.read(fmt.Sprintf("t%dn%d", i, n), i, r.trouble && i < tailSlow, random)
			}
		})
	}
	all.Wait()
	r.note("answers: %d whole, %d cut off, %d others; %d commands crossed the end of a connection", t.whole.Load(), t.cut.Load(),
		t.others.Load(), t.crossed.Load())
	if p.hasEnded() {
		return 0, fmt.Errorf("the balancer ended: %v", p.result)
	}
	return int(t.cut.Load()), nil
}

// tailReaders are the clients of one run.
type tailReaders struct {
	rig                         *rig
	listen                      string
	end                         time.Time
	whole, cut, others, crossed atomic.Int64
}

// read asks for values on one connection, one after another, until the connection ends.
func (t *tailReaders) read(name string, client int, slow bool, random *rand.Rand) {
	conn, err := net.Dial("tcp", t.listen)
	if err != nil {
		t.rig.note("client %d: %v", client, err)
		time.Sleep(tailRest)
		return
	}
	defer conn.Close()
	if slow {
		conn.(*net.TCPConn).SetReadBuffer(tailPiece)
	}
	in, sent := bufio.NewReaderSize(conn, 256), 0
	ask := func() {
		fmt.Fprintf(conn, "mg u:k%d v O%sa%d Pc=stav-batoziny,d=750\r\n", (client+sent)%50, name, sent)
		sent++
	}
	ask()
	for time.Now().Before(t.end) {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, err := in.ReadString('\n')
		if err != nil {
			t.crossed.Add(1)
			return
		}
		if !strings.HasPrefix(line, "VA ") {
			t.others.Add(1)
			time.Sleep(tailRest)
			ask()
			continue
		}
		left, asked := tailBytes+2, false
		early := random.Intn(tailNext)
		for left > 0 {
			if slow {
				time.Sleep(tailPause)
			}
			n, err := io.CopyN(io.Discard, in, int64(min(left, tailPiece)))
			left -= int(n)
			if err != nil {
				t.cut.Add(1)
				t.rig.note("client %d: %s: cut off, %d of its bytes are missing: %v", client, strings.TrimSpace(line), left, err)
				return
			}
			if left < early && !asked {
				asked = true
				ask()
			}
		}
		t.whole.Add(1)
		if !slow {
			time.Sleep(tailRest)
		}
		if !asked {
			ask()
		}
	}
}
