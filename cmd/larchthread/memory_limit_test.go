package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	memorySampleInterval = 2 * time.Millisecond
	bufferedValueBytes   = 60_000 // of a value that is buffered whole
	longTTL              = 3000   // ms
)

// patientSettings are defaultSettings with a TTL that answers which wait for others do not exceed.
var patientSettings = strings.NewReplacer(`"ttlUs":600000`, `"ttlUs":3000000`, `"connectTimeoutUs":50000`,
	`"connectTimeoutUs":500000`).Replace(defaultSettings)

// sampleMemory samples the anonymous memory of the process until the returned function is called, which returns the
// peak in MB. A process that has ended counts as over any limit.
func (f *fleet) sampleMemory() (stop func() int) {
	done, result := make(chan struct{}), make(chan int)
	go func() {
		peak := 0
		for {
			text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
			kb := 0
			if at := bytes.Index(text, []byte("RssAnon:")); at >= 0 && err == nil {
				fmt.Sscan(string(text[at+len("RssAnon:"):]), &kb)
			} else {
				kb = 1 << 30
			}
			peak = max(peak, kb)
			select {
			case <-done:
				result <- (peak + 1023) / 1024
				return
			case <-time.After(memorySampleInterval):
			}
		}
	}()
	return func() int {
		close(done)
		return <-result
	}
}

// endReasons counts the connections of clients that have ended by the reason in the log.
func (f *fleet) endReasons() map[string]int {
	counts := map[string]int{}
	for line := range strings.SplitSeq(f.log.String(), "\n") {
		if _, rest, ok := strings.Cut(line, "reason="); ok && strings.Contains(line, "kind=client") {
			reason, _, _ := strings.Cut(rest, " ")
			counts[reason]++
		}
	}
	return counts
}

// answerCounts counts answers by kind.
type answerCounts struct{ served, refused, failed, missing atomic.Int64 }

func (a *answerCounts) String() string {
	return fmt.Sprintf("served %d, refused %d, failed %d, missing %d", a.served.Load(), a.refused.Load(), a.failed.Load(),
		a.missing.Load())
}

// readAnswers reads that many answers, and counts those that do not come as missing.
func (a *answerCounts) readAnswers(in *bufio.Reader, want int) {
	for n := range want {
		line, err := in.ReadString('\n')
		size := 0
		if _, scanErr := fmt.Sscanf(line, "VA %d ", &size); scanErr == nil && err == nil {
			_, err = io.CopyN(io.Discard, in, int64(size+len("\r\n")))
		}
		switch {
		case err != nil:
			a.missing.Add(int64(want - n))
			return
		case strings.HasPrefix(line, "VA "), strings.HasPrefix(line, "HD "):
			a.served.Add(1)
		case strings.HasPrefix(line, "SERVER_ERROR busy"):
			a.refused.Add(1)
		default:
			a.failed.Add(1)
		}
	}
}

// sendAtOnce has each of the clients send its commands in one go and read all answers at full speed.
func (f *fleet) sendAtOnce(clients, answersEach int, commands func(client int) string) *answerCounts {
	counts := &answerCounts{}
	var all sync.WaitGroup
	for i := range clients {
		c := f.newClient()
		all.Go(func() {
			defer c.Close()
			go io.WriteString(c, commands(i))
			counts.readAnswers(c.reader, answersEach)
		})
	}
	all.Wait()
	return counts
}

// addValueHosts adds cache hosts that answer reads with a value of bufferedValueBytes after the delay.
func (f *fleet) addValueHosts(hosts int, delay time.Duration) {
	answer := fmt.Sprintf("VA %d O{id}\r\n%s\r\n", bufferedValueBytes, longValue[:bufferedValueBytes])
	for i := range hosts {
		f.AddHost(fmt.Sprint("host", i), func([]string) string {
			time.Sleep(delay)
			return answer
		})
	}
}

// Guards against a process that is killed for memory, and against answers that never come: the answers to commands that
// are sent many at once wait behind a slow one, or for a client that has not read the earlier ones yet.
func TestMemoryOfManyCommandsAtOnce(t *testing.T) {
	for _, c := range []struct{ memoryMB, clients, reads int }{
		{32, 40, 249}, {32, 300, 40}, {64, 40, 249}, {64, 300, 40}, {192, 60, 200}, {192, 300, 40},
	} {
		t.Run(fmt.Sprintf("%d MB, %d clients", c.memoryMB, c.clients), func(t *testing.T) {
			f := &fleet{limits: fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":1024}`, c.memoryMB), settings: patientSettings}
			f.addValueHosts(8, 2*time.Millisecond)
			f.AddOrigin(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(250 * time.Millisecond)
				io.WriteString(w, "receipt")
			})
			f.start()
			defer f.stop()
			peak := f.sampleMemory()
			counts := f.sendAtOnce(c.clients, 1+c.reads, func(i int) string {
				var text strings.Builder
				fmt.Fprintf(&text, "ms w%d 5 Ow%d Pc=put,d=%d\r\nhello\r\n", i, i, longTTL)
				for n := range c.reads {
					fmt.Fprintf(&text, "mg k%d v Or%d-%d Pc=read,d=%d\r\n", n, i, n, longTTL)
				}
				return text.String()
			})
			used := peak()
			t.Log(counts, "peak MB", used)
			if used >= c.memoryMB {
				t.Errorf("held %d MB, limit %d", used, c.memoryMB)
			}
			if n := counts.missing.Load(); n > 0 {
				t.Errorf("%d answers missing, connections ended: %v", n, f.endReasons())
			}
			if counts.served.Load() < int64(c.clients) {
				t.Errorf("served %d", counts.served.Load())
			}
		})
	}
}
