// Package admin serves the operators' HTTP interface: whether the balancer serves, its metrics, and cache hosts taken
// out of use for maintenance. It runs on the event loop.
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
	reservedConns  = 12     // connections at once, which are kept free for operators
	requestTimeout = 5000.0 // ms for a request to arrive
)

// server answers the requests to one balancer.
type server struct {
	loop   *transport.Loop
	log    *slog.Logger
	router *routing.Router
}

// Serve listens for operators at an address and answers them on the loop. It fails where it can't listen.
func Serve(loop *transport.Loop, log *slog.Logger, at netip.AddrPort, router *routing.Router) error {
	s := &server{loop, log, router}
	_, err := loop.Listen("operator", at, reservedConns, s.accept)
	return err
}

// operatorConn is a connection of an operator, for a single request.
type operatorConn struct {
	server   *server
	conn     *transport.Conn
	requests protocol.AdminRequestReader
	timeout  transport.Timer
	done     bool // answered, or the connection has ended
}

// accept limits the time in which the request has to arrive.
func (s *server) accept(conn *transport.Conn) {
	c := &operatorConn{server: s, conn: conn}
	conn.Handler = c
	c.timeout.Fire = func() { c.answer(http.StatusRequestTimeout, "the call did not come") }
	s.loop.SetTimer(&c.timeout, requestTimeout)
}

// Received implements transport.ConnHandler.
func (c *operatorConn) Received(conn *transport.Conn) {
	request, err := c.requests.Next(&conn.In)
	switch {
	case err != nil:
		c.answer(err.Status, err.Text)
	case request != nil:
		conn.SetPaused(true) // a connection carries one request
		c.server.serve(request, c.answer)
	}
}

// Ended implements transport.ConnHandler. A caller may close its sending side once it has sent its request.
func (c *operatorConn) Ended(_ *transport.Conn, why transport.Reason) {
	c.done = true
	c.server.loop.StopTimer(&c.timeout)
}

// answer answers the request and closes the connection. It does nothing once the connection is done.
func (c *operatorConn) answer(status int, text string) {
	if c.done {
		return
	}
	c.Ended(c.conn, "")
	protocol.WriteAdminResponse(&c.conn.Out, status, strings.TrimSuffix(text, "\n")+"\n")
	c.conn.HalfClose(transport.CloseRequested)
}

// routes maps each path to its method.
var routes = map[string]string{"/status": http.MethodGet, "/status/metrics": http.MethodGet,
	"/maintenance/enter": http.MethodPost, "/maintenance/exit": http.MethodPost}

// serve answers a request.
func (s *server) serve(request *protocol.AdminRequest, answer func(status int, text string)) {
	switch method := routes[request.Path]; method {
	case "":
		answer(http.StatusNotFound, "no such call")
		return
	case request.Method:
	default:
		answer(http.StatusMethodNotAllowed, "want "+method)
		return
	}
	switch request.Path {
	case "/status":
		if err := s.router.CheckReady(); err != nil {
			answer(http.StatusServiceUnavailable, err.Error())
			return
		}
		answer(http.StatusOK, "serving")
	case "/status/metrics":
		answer(http.StatusOK, s.metrics())
	default:
		s.setMaintenance(strings.TrimSpace(request.Body), request.Path == "/maintenance/enter", answer)
	}
}

// setMaintenance takes a cache host out of use, or puts it back.
func (s *server) setMaintenance(id string, out bool, answer func(status int, text string)) {
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

// metrics formats the metrics, a line each.
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
