package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"larchthread/internal/standin"
)

// Admin requests are answered while idle callers hold more connections than are reserved and a client floods the
// process. Metrics count what clients and hosts saw, and a host in maintenance gets no new op.
func Example_operators() {
	f := &fleet{adminAddress: freeAddress()}
	f.AddHost("a", func(words []string) string {
		switch words[1] {
		case "cold":
			return miss(words)
		case "broken":
			return "SERVER_ERROR failed\r\n"
		}
		return hit(words)
	})
	f.AddOrigin(handleOrigin)
	f.start()
	defer f.stop()
	for range 40 {
		c, _ := net.Dial("tcp", f.adminAddress)
		defer c.Close()
	}
	flood := f.newClient()
	go io.WriteString(flood, strings.Repeat("mn\r\n", 200000))
	fmt.Println(f.callAdmin("GET", "/status", ""))
	fmt.Println(f.callAdmin("POST", "/status", ""))
	fmt.Println(f.callAdmin("GET", "/maintenance/enter", ""))
	fmt.Println(f.callAdmin("GET", "/elsewhere", ""))
	c := f.newClient()
	c.sendAndPrint(2, "mg hot v O1 Pc=read,d=500\r\n")
	c.sendAndPrint(2, "mg cold v O2 Pc=read,d=500\r\n")
	c.sendAndPrint(1, "ms broken 1 O3 Pc=sing,d=500\r\nx\r\n")
	fmt.Println(f.callAdmin("GET", "/status/metrics", ""))
	f.printNotes()
	for _, call := range []string{"enter b", "enter log", "enter ", "exit a", "enter a", "enter a"} {
		word, id, _ := strings.Cut(call, " ")
		fmt.Println(call, f.callAdmin("POST", "/maintenance/"+word, id))
	}
	f.WatchAnswers <- standin.HostListJSON(2, true, f.Members...) // the next list does not end maintenance
	f.awaitNote("discovery: 2", 1)
	c.sendAndPrint(2, "mg hot v O4 Pc=read,d=500\r\n") // no host is left, so the origin is asked
	fmt.Println(regexp.MustCompile("(passed.read:3|skipped_cache_hosts:1)").
		FindAllString(f.callAdmin("GET", "/status/metrics", ""), -1))
	f.printNotes()
	fmt.Println(f.callAdmin("POST", "/maintenance/exit", "a"))
	c.sendAndPrint(2, "mg hot v O5 Pc=read,d=500\r\n")
	f.printNotes()
	// Output:
	// 200 serving
	// 405 want GET
	// 405 want POST
	// 404 no such call
	// VA 5 O1
	// value
	// VA 7 O2
	// fetched
	// CLIENT_ERROR c: unknown category "sing"
	// 200 edge_relay.passed.read:2|c
	// edge_relay.dropped.read:0|c
	// edge_relay.bad_gateway.read:0|c
	// edge_relay.passed.put:0|c
	// edge_relay.dropped.put:0|c
	// edge_relay.bad_gateway.put:0|c
	// edge_relay.passed.once:0|c
	// edge_relay.dropped.once:0|c
	// edge_relay.bad_gateway.once:0|c
	// edge_relay.upstream_tries:3|c
	// edge_relay.in_progress:0|g
	// edge_relay.known_cache_hosts:1|g
	// edge_relay.skipped_cache_hosts:0|g
	//   a: mg hot v O1 Pc=read,d=..
	//   a: mg cold v O2 Pc=read,d=..
	//   origin: GET /cold "" 2 c=read,d=..
	// enter b 404 no cache host was ever listed under that id
	// enter log 409 the origin is no cache host: without it nothing could be written or fetched
	// enter  400 the body is to hold the id of a cache host
	// exit a 200 done
	// enter a 200 done
	// enter a 200 done
	// VA 7 O4
	// fetched
	// [passed.read:3 skipped_cache_hosts:1]
	//   a: connection closed
	//   origin: GET /hot "" 4 c=read,d=..
	// 200 done
	// VA 5 O5
	// value
	//   a: mg hot v O5 Pc=read,d=..
}

// Admin requests beyond the reserved connections wait in the accept queue and are all answered.
func TestManyOperatorCalls(t *testing.T) {
	const calls = 200
	f := &fleet{adminAddress: freeAddress()}
	f.AddHost("a", hit)
	f.start()
	defer f.stop()
	caller := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var answered atomic.Int32
	var all sync.WaitGroup
	for range calls {
		all.Go(func() {
			answer, err := caller.Get("http://" + f.adminAddress + "/status")
			if err != nil {
				t.Log(err)
				return
			}
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	all.Wait()
	if n := answered.Load(); n != calls {
		t.Errorf("%d of %d calls answered", n, calls)
	}
}
