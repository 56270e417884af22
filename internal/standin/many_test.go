package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"larchthread/internal/protocol"
)

// 1,024 watchers of a list of 1,024 hosts all get the same change, each in its own view. Some of them first request the full
// list, as a balancer does whose start file has none.
func TestManyWatchers(t *testing.T) {
	const n, fullListEvery = 1024, 16
	f, _ := newTestFleet(t)
	address := func(m Member) string { return m.Address }
	for i := range n - 1 { // besides the host of newTestFleet
		f.Discovery.SetMember(Member{ID: fmt.Sprint("cache", i), Zone: "z1", Phase: InService,
			Address: fmt.Sprintf("10.0.%d.%d:11211", i/250, i%250)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	revision := uint64(n + 2) // initial revision 1, the origin, and n hosts
	var waiting, notified sync.WaitGroup
	for i := range n {
		view, err := f.Discovery.ServeView(fmt.Sprint("b", i), address)
		if err != nil {
			t.Fatal(err)
		}
		waiting.Add(1)
		notified.Go(func() {
			doneWaiting := sync.OnceFunc(waiting.Done)
			defer doneWaiting()
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", view)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			end, _ := ctx.Deadline()
			conn.SetDeadline(end)
			r := bufio.NewReader(conn)
			if i%fullListEvery == 0 {
				requestList(t, conn, "")
				full, err := readList(r)
				if err != nil || !full.Complete || len(full.Members) != n+1 || full.Revision != revision {
					t.Errorf("watcher %d: %d members at %d, %v", i, len(full.Members), full.Revision, err)
					return
				}
			}
			requestList(t, conn, fmt.Sprintf("?index=%d&wait=30000", revision))
			doneWaiting()
			change, err := readList(r)
			if err != nil || change.Complete || len(change.Members) != 1 || change.Members[0].ID != "cache7" {
				t.Errorf("watcher %d: change %+v, %v", i, change, err)
			}
		})
	}
	waiting.Wait()
	if err := f.Discovery.SetPhase("cache7", Terminating, 0); err != nil {
		t.Fatal(err)
	}
	notified.Wait()
	listCounts := map[string]int{}
	for _, sent := range f.SentLists() {
		listCounts[sent.View]++
	}
	for i := range n {
		want := 1
		if i%fullListEvery == 0 {
			want = 2
		}
		if name := fmt.Sprint("b", i); listCounts[name] != want {
			t.Errorf("%s got %d lists, want %d", name, listCounts[name], want)
		}
	}
}

// requestList sends a request for a list.
func requestList(t *testing.T, conn net.Conn, query string) {
	if _, err := fmt.Fprintf(conn, "GET /discovery/hosts%s HTTP/1.1\r\nHost: d\r\n\r\n", query); err != nil {
		t.Error(err)
	}
}

// readList reads the answer to requestList.
func readList(r *bufio.Reader) (l protocol.HostList, err error) {
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return l, err
	}
	defer answer.Body.Close()
	return l, json.NewDecoder(answer.Body).Decode(&l)
}
