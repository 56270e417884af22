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

// With 1,024 hosts listed, 1,024 watchers wait at once, and all hear of one change, each in its own view. Some of them ask for the
// whole list before that, as a balancer does whose start file has none.
func TestManyWatchers(t *testing.T) {
	const n, wholeEvery = 1024, 16
	f, _ := stage(t)
	address := func(m Member) string { return m.Address }
	for i := range n - 1 { // and the host of the stage
		f.Discovery.SetMember(Member{ID: fmt.Sprint("cache", i), Zone: "z1", Phase: InService,
			Address: fmt.Sprintf("10.0.%d.%d:11211", i/250, i%250)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	revision := uint64(n + 2) // one, the origin's, and a host's each
	var waiting, heard sync.WaitGroup
	for i := range n {
		view, err := f.Discovery.ServeView(fmt.Sprint("b", i), address)
		if err != nil {
			t.Fatal(err)
		}
		waiting.Add(1)
		heard.Go(func() {
			ended := sync.OnceFunc(waiting.Done)
			defer ended()
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
			if i%wholeEvery == 0 {
				askList(t, conn, "")
				whole, err := readList(r)
				if err != nil || !whole.Complete || len(whole.Members) != n+1 || whole.Revision != revision {
					t.Errorf("watcher %d: %d members at %d, %v", i, len(whole.Members), whole.Revision, err)
					return
				}
			}
			askList(t, conn, fmt.Sprintf("?index=%d&wait=30000", revision))
			ended()
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
	heard.Wait()
	views := map[string]int{}
	for _, told := range f.SentLists() {
		views[told.View]++
	}
	for i := range n {
		want := 1
		if i%wholeEvery == 0 {
			want = 2
		}
		if name := fmt.Sprint("b", i); views[name] != want {
			t.Errorf("%s was told %d lists, want %d", name, views[name], want)
		}
	}
}

// askList asks for a list.
func askList(t *testing.T, conn net.Conn, query string) {
	if _, err := fmt.Fprintf(conn, "GET /discovery/hosts%s HTTP/1.1\r\nHost: d\r\n\r\n", query); err != nil {
		t.Error(err)
	}
}

// readList reads the answer to that.
func readList(r *bufio.Reader) (l protocol.HostList, err error) {
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return l, err
	}
	defer answer.Body.Close()
	return l, json.NewDecoder(answer.Body).Decode(&l)
}
