// Package admin answers operators' calls: whether the balancer serves, its figures, and cache hosts taken out of use by
// hand. It runs on the loop and decides nothing.
package admin

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"

	"larchthread/internal/protocol"
	"larchthread/internal/routing"
	"larchthread/internal/transport"
)

const (
	reserve  = 12     // connections at once: a few callers that say nothing, and some that do
	callMost = 5000.0 // ms for a call to come: a slow line, and the end of those that say nothing
)

// server answers calls for one balancer.
type server struct {
	loop   *transport.Loop
	log    *slog.Logger
	router *routing.Router
}

// Serve opens the operators' address.
func Serve(loop *transport.Loop, log *slog.Logger, at netip.AddrPort, router *routing.Router) error {
	s := &server{loop, log, router}
	_, err := loop.Listen("operator", at, reserve, s.accept)
	return err
}

// caller is a connection of an operator.
type caller struct {
	server *server
	conn   *transport.Conn
	calls  protocol.AdminRequestReader
	limit  transport.Timer
	ended  bool // answered, or gone
}

func (s *server) accept(conn *transport.Conn) {
	c := &caller{server: s, conn: conn}
	conn.Handler = c
	c.limit.Fire = func() { c.answer(http.StatusRequestTimeout, "the call did not come") }
	s.loop.SetTimer(&c.limit, callMost)
}

// Received implements transport.Owner.
func (c *caller) Received(conn *transport.Conn) {
	call, fault := c.calls.Next(&conn.In)
	switch {
	case fault != nil:
		c.answer(fault.Status, fault.Text)
	case call != nil:
		conn.SetPaused(true) // what comes behind the call is nobody's
		c.server.serve(call, c.answer)
	}
}

// Ended implements transport.Owner. A caller may close its side once it has asked.
func (c *caller) Ended(_ *transport.Conn, why transport.Reason) {
	c.ended = true
	c.server.loop.StopTimer(&c.limit)
}

// answer answers the call and ends the connection.
func (c *caller) answer(status int, text string) {
	if c.ended {
		return
	}
	c.Ended(c.conn, "")
	protocol.WriteAdminResponse(&c.conn.Out, status, strings.TrimSuffix(text, "\n")+"\n")
	c.conn.HalfClose(transport.CloseRequested)
}

// methods are the calls there are.
var methods = map[string]string{"/status": http.MethodGet, "/status/metrics": http.MethodGet,
	"/maintenance/enter": http.MethodPost, "/maintenance/exit": http.MethodPost}

// serve answers a call.
func (s *server) serve(call *protocol.AdminRequest, answer func(status int, text string)) {
	switch method := methods[call.Path]; method {
	case "":
		answer(http.StatusNotFound, "no such call")
		return
	case call.Method:
	default:
		answer(http.StatusMethodNotAllowed, "want "+method)
		return
	}
	switch call.Path {
	case "/status":
		if err := s.router.CheckReady(); err != nil {
			answer(http.StatusServiceUnavailable, err.Error())
			return
		}
		answer(http.StatusOK, "serving")
	case "/status/metrics":
		answer(http.StatusOK, s.metrics())
	default:
		s.maintain(strings.TrimSpace(call.Body), call.Path == "/maintenance/enter", answer)
	}
}

// maintain takes a cache host out of use, or puts it back.
func (s *server) maintain(id string, out bool, answer func(status int, text string)) {
	if id == "" {
		answer(http.StatusBadRequest, "the body is to hold the id of a cache host")
		return
	}
	s.router.Ban(id, out, func(err error) {
		s.log.Info("maintenance", "host", id, "out", out, "error", err)
		switch err {
		case nil:
			answer(http.StatusOK, "done")
		case routing.ErrNeverListed:
			answer(http.StatusNotFound, err.Error())
		case routing.ErrNotListening:
			answer(http.StatusServiceUnavailable, err.Error())
		default:
			answer(http.StatusConflict, err.Error())
		}
	})
}

// metrics writes the figures, a line each.
func (s *server) metrics() string {
	var b strings.Builder
	f := s.router.Stats()
	for _, c := range f.Categories {
		fmt.Fprintf(&b, "edge_relay.passed.%s:%d|c\nedge_relay.dropped.%s:%d|c\nedge_relay.bad_gateway.%s:%d|c\n",
			c.Name, c.Acked, c.Name, c.Nacked, c.Name, c.DeadLettered)
	}
	fmt.Fprintf(&b, "edge_relay.upstream_tries:%d|c\nedge_relay.in_progress:%d|g\n", f.Pushes, f.OpenOps)
	fmt.Fprintf(&b, "edge_relay.known_cache_hosts:%d|g\nedge_relay.skipped_cache_hosts:%d|g\n", f.Hosts, f.Avoided)
	return b.String()
}
