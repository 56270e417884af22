package protocol

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"

	"larchthread/internal/transport"
)

// Guards the parsing of long lists: 1,024 or 2,000 hosts, sized or chunked, split over many reads, with a change after
// them on the same connection.
func TestListOfManyHosts(t *testing.T) {
	for _, n := range []int{1024, 2000} {
		whole := largeHostList(n)
		text, err := json.Marshal(whole)
		if err != nil {
			t.Fatal(err)
		}
		change, err := json.Marshal(&HostList{Revision: 8, Members: []Member{{ID: "cache7", Phase: Terminated}}})
		if err != nil {
			t.Fatal(err)
		}
		for _, form := range []func(body []byte) string{sizedResponse, chunkedResponse} {
			loop, err := transport.NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			in := loop.Pool.NewChain()
			var lists []*HostList
			reader := NewListReader()
			for rest := form(text) + form(change); rest != ""; {
				piece := min(len(rest), 1448)
				in.WriteString(rest[:piece])
				rest = rest[piece:]
				l, _, err := reader.Next(&in)
				if err != nil {
					t.Fatal(err)
				}
				if l != nil {
					lists = append(lists, l)
				}
			}
			if l, _, err := reader.Next(&in); l != nil || err != nil { // both lists may have ended in the last piece
				lists = append(lists, l)
			}
			if len(lists) != 2 || len(lists[0].Members) != n || len(lists[0].MemberErrors) > 0 || len(lists[1].Members) != 1 {
				t.Fatalf("%d hosts: %d lists", n, len(lists))
			}
			for i, m := range lists[0].Members {
				if m != whole.Members[i] {
					t.Fatalf("%d hosts: line %d is %+v, want %+v", n, i, m, whole.Members[i])
				}
			}
		}
	}
}

// largeHostList makes a list of n hosts whose names are as long as those of cloud providers.
func largeHostList(n int) *HostList {
	l := &HostList{Revision: 7, Complete: true}
	for i := range n {
		l.Members = append(l.Members, Member{ID: fmt.Sprintf("cache%d-%s", i, strings.Repeat("f", 32)), Locality: "north-east-2b",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 11211), Flavor: "box", Cell: i % 16,
			Phase: InService, Size: 1, UpSince: 1.7e12 + float64(i)})
	}
	return l
}

// sizedResponse makes a response with a Content-Length.
func sizedResponse(body []byte) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// chunkedResponse makes a response with the body in chunks of 4 KiB at the most.
func chunkedResponse(body []byte) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(len(body), 4<<10)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}
