package scale

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"larchthread/internal/standin"
)

// traffic counts what passes through a server.
type traffic struct {
	Connections int64 `json:"connections"`
	Calls       int64 `json:"calls"`
	In          int64 `json:"bytes_in"` // of requests, without the headers of TCP and IP
	Out         int64 `json:"bytes_out"`
}

func (t traffic) minus(before traffic) traffic {
	return traffic{t.Connections - before.Connections, t.Calls - before.Calls, t.In - before.In, t.Out - before.Out}
}

// listService serves discovery's list on a loopback address, and counts what passes. It can be stopped and started again.
type listService struct {
	handler                     http.Handler
	address                     string
	server                      *http.Server
	connections, calls, in, out atomic.Int64
}

func newListService(fleet *standin.Fleet, name string) (*listService, error) {
	s := &listService{address: "127.0.0.1:0"}
	s.handler = fleet.Discovery.Handler(name, func(m standin.Member) string { return m.Address })
	return s, s.start()
}

// start listens, at the same address as before once there is one.
func (s *listService) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(countingListener{listener, s})
	return nil
}

// stop closes all connections; new ones are refused from then on.
func (s *listService) stop() { s.server.Close() }

// ServeHTTP implements http.Handler.
func (s *listService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	s.handler.ServeHTTP(w, r)
}

func (s *listService) traffic() traffic {
	return traffic{s.connections.Load(), s.calls.Load(), s.in.Load(), s.out.Load()}
}

type countingListener struct {
	net.Listener
	service *listService
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.service.connections.Add(1)
	return countingConn{c, l.service}, nil
}

type countingConn struct {
	net.Conn
	service *listService
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.service.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.service.out.Add(int64(n))
	return n, err
}
