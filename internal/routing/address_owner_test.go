package routing

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"

	"larchthread/balance"
	"larchthread/internal/protocol"
	"larchthread/internal/transport"
)

// Guards against a new process that is taken for the one that had its address before: work for the old host went to it
// as long as both were listed.
func TestNewHostAtListedAddress(t *testing.T) {
	loop, err := transport.NewLoop(256, 64<<20, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort("127.0.0.9:11211")
	member := func(id string, address netip.AddrPort, upSince float64, phase protocol.Phase) protocol.Member {
		return protocol.Member{ID: id, Address: address, UpSince: upSince, Phase: phase}
	}
	first := member("old", at, 1000, protocol.InService)
	second := member("new", at, 2000, protocol.InService)
	other := member("other", netip.MustParseAddrPort("127.0.0.8:11211"), 1000, protocol.InService)
	moved := member("old", netip.MustParseAddrPort("127.0.0.7:11211"), 1000, protocol.InService)
	type update struct {
		complete bool
		members  []protocol.Member
	}
	for name, c := range map[string]struct {
		updates []update
		want    string // hosts that are not gone
	}{
		"new one added":        {[]update{{true, []protocol.Member{first, other}}, {false, []protocol.Member{second}}}, "[new other]"},
		"both in one list":     {[]update{{true, []protocol.Member{second, first, other}}}, "[new other]"},
		"old one listed again": {[]update{{true, []protocol.Member{second, other}}, {false, []protocol.Member{first}}}, "[new other]"},
		"both listed again": {[]update{{true, []protocol.Member{first, second}}, {true, []protocol.Member{first, second, other}}},
			"[new other]"},
		"old one moved": {[]update{{true, []protocol.Member{first, second}}, {false, []protocol.Member{moved}}}, "[new old]"},
		"new one ended": {[]update{{true, []protocol.Member{first, second}},
			{false, []protocol.Member{member("new", at, 2000, protocol.Terminated)}}, {false, []protocol.Member{first}}}, "[old]"},
		"same start": {[]update{{true, []protocol.Member{first, member("new", at, 1000, protocol.InService)}}}, "[new old]"},
	} {
		r := &Router{loop: loop, hosts: newHostPool(0)}
		r.balancer = balance.New(balance.Config{GroupSize: 1, Categories: []*balance.Category{{Target: 100}}}, r, 0)
		for _, u := range c.updates {
			r.applyList(&protocol.HostList{Members: u.members}, u.complete, false)
		}
		list, _, _ := r.KnownHosts()
		var ids []string
		for _, m := range list.Members {
			ids = append(ids, m.ID)
		}
		if got := fmt.Sprint(ids); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}
