package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"larchthread/internal/standin"
)

const lateAnswerSlack = 150 * time.Millisecond // of an answer behind its op's TTL: the rules allow 50 ms, and the test's load takes some

// writeSlowly writes pieces of a text with a pause behind each.
func writeSlowly(w io.Writer, text string, pieceBytes int, pause time.Duration) {
	for len(text) > 0 {
		n := min(pieceBytes, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return
		}
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// addSlowWriter adds a cache host that writes its answers piece by piece.
func (f *fleet) addSlowWriter(name string, valueBytes, pieceBytes int, pause time.Duration) {
	l := standin.ListenLoopback()
	f.Members = append(f.Members, standin.MemberJSON(name, l.Addr().String(), standin.KindHost, standin.InService))
	f.Serve(l, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			words := strings.Fields(line)
			if strings.HasPrefix(words[1], "far") {
				fmt.Fprintf(c, "EN %s\r\n", words[3])
				continue
			}
			fmt.Fprintf(c, "VA %d %s\r\n", valueBytes, words[3])
			writeSlowly(c, longValue[:valueBytes], pieceBytes, pause)
			io.WriteString(c, "\r\n")
		}
	})
}

// Guards against a long answer that is cut off while its server is still writing it, slowly but steadily.
func TestSlowlyWrittenAnswers(t *testing.T) {
	const valueBytes, pieceBytes, pause = 400_000, 8_000, 60 * time.Millisecond // 3 s, five times the TTL
	for _, c := range []struct {
		name              string
		memoryMB, clients int
		fromOrigin        bool
	}{
		{"hosts, 32 MB", 32, 150, false},
		{"hosts, 192 MB", 192, 300, false},
		{"origin, 192 MB", 192, 60, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{limits: fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":1024}`, c.memoryMB)}
			for i := range 8 {
				f.addSlowWriter(fmt.Sprint("host", i), valueBytes, pieceBytes, pause)
			}
			f.AddOrigin(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(valueBytes))
				writeSlowly(w, longValue[:valueBytes], pieceBytes, pause)
			})
			f.start()
			defer f.stop()
			peak := f.sampleMemory()
			prefix := "k"
			if c.fromOrigin {
				prefix = "far"
			}
			counts := f.sendAtOnce(c.clients, 1, func(i int) string {
				return fmt.Sprintf("mg %s%d v O%d Pc=read,d=600\r\n", prefix, i, i)
			})
			f.checkMemory(t, c.memoryMB, peak(), counts)
		})
	}
}

// Guards against a final answer that comes long after its time, as the origin reads a large request slowly.
func TestSlowlyReadRequests(t *testing.T) {
	const ttl = 600 * time.Millisecond
	for _, c := range []struct {
		memoryMB, clients, valueBytes int
		pause                         time.Duration
	}{{32, 40, 200_000, 100 * time.Millisecond}, {192, 100, 400_000, 100 * time.Millisecond}, {192, 12, 4 << 20, 20 * time.Millisecond},
		{192, 100, 60_000, time.Second}, {192, 100, 400_000, 10 * time.Second}} {
		t.Run(fmt.Sprintf("%d MB, %d clients, %d bytes, %v", c.memoryMB, c.clients, c.valueBytes, c.pause), func(t *testing.T) {
			f := &fleet{limits: fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":1024}`, c.memoryMB)}
			f.AddHost("a", hit)
			l := standin.ListenLoopback()
			f.Members = append(f.Members, standin.MemberJSON("log", l.Addr().String(), standin.KindOrigin, standin.InService))
			f.Serve(l, func(conn net.Conn) {
				conn.(*net.TCPConn).SetReadBuffer(16 << 10)
				request, err := http.ReadRequest(bufio.NewReader(&slowReader{conn, 16 << 10, c.pause}))
				if err != nil {
					return
				}
				io.Copy(io.Discard, request.Body)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nreceipt")
			})
			f.start()
			defer f.stop()
			counts := &answerCounts{}
			var all sync.WaitGroup
			var mu sync.Mutex
			worst, late := time.Duration(0), 0
			for i := range c.clients {
				client := f.newClient()
				client.Conn.(*net.TCPConn).SetWriteBuffer(16 << 10) // what is written has reached the process's socket
				all.Go(func() {
					defer client.Close()
					fmt.Fprintf(client, "ms k%d %d O%d Pc=put,d=%d\r\n%s\r\n", i, c.valueBytes, i, ttl.Milliseconds(), longValue[:c.valueBytes])
					sentAt := time.Now()
					counts.readAnswers(client.reader, 1)
					took := time.Since(sentAt)
					mu.Lock()
					defer mu.Unlock()
					worst = max(worst, took)
					if took > ttl+lateAnswerSlack {
						late++
					}
				})
			}
			all.Wait()
			t.Log(counts, "worst", worst, "late", late)
			if late > 0 || counts.missing.Load() > 0 {
				t.Errorf("%d answers late, the latest after %v; %d missing: %v", late, worst, counts.missing.Load(), f.endReasons())
			}
		})
	}
}
