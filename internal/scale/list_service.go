package scale

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"larchthread/internal/standin"
)

// traffic counts the connections, HTTP requests and bytes of a server.
type traffic struct {
	Connections int64 `json:"connections"`
	Calls       int64 `json:"calls"`
	BytesIn     int64 `json:"bytes_in"` // received, without TCP and IP headers
	BytesOut    int64 `json:"bytes_out"`
}

// sub returns the traffic since an earlier count.
func (t traffic) sub(before traffic) traffic {
	return traffic{t.Connections - before.Connections, t.Calls - before.Calls,
		t.BytesIn - before.BytesIn, t.BytesOut - before.BytesOut}
}

// discoveryServer serves discovery's host list on a loopback address and counts its traffic. It can be stopped and restarted.
type discoveryServer struct {
	handler                               http.Handler
	address                               string
	server                                *http.Server
	connections, calls, bytesIn, bytesOut atomic.Int64
}

// newDiscoveryServer starts a server for the fleet's discovery; name identifies it to the fleet.
func newDiscoveryServer(fleet *standin.Fleet, name string) (*discoveryServer, error) {
	s := &discoveryServer{address: "127.0.0.1:0"}
	s.handler = fleet.Discovery.Handler(name, func(m standin.Member) string { return m.Address })
	return s, s.start()
}

// start starts listening; after a stop, on the same address as before.
func (s *discoveryServer) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("start discovery server: %w", err)
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(countingListener{listener, s})
	return nil
}

// stop stops listening and closes all connections.
func (s *discoveryServer) stop() { s.server.Close() }

// ServeHTTP implements http.Handler.
func (s *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	s.handler.ServeHTTP(w, r)
}

// traffic returns the traffic since the server was created.
func (s *discoveryServer) traffic() traffic {
	return traffic{s.connections.Load(), s.calls.Load(), s.bytesIn.Load(), s.bytesOut.Load()}
}

// countingListener counts the connections that it accepts, and wraps them in countingConn.
type countingListener struct {
	net.Listener
	server *discoveryServer
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.connections.Add(1)
	return countingConn{c, l.server}, nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	server *discoveryServer
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.server.bytesIn.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.server.bytesOut.Add(int64(n))
	return n, err
}
