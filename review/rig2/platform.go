package rig2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// member is an entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// list is an answer of discovery.
type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery stands in for discovery. Its list stays as it is.
type discovery struct {
	address string

	members []member
}

// newDiscovery starts a discovery that lists the members.
func newDiscovery(members []member) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: l.Addr().String(), members: members}
	go http.Serve(l, d)
	return d, nil
}

// whole returns the whole list.
func (d *discovery) whole() list { return list{1, true, d.members} }

// ServeHTTP answers a call for the list, or a watch, which is told that nothing has changed.
func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	answer := d.whole()
	if index, err := strconv.Atoi(q.FormValue("index")); err == nil && index == answer.Revision {
		wait, _ := strconv.Atoi(q.FormValue("wait"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
		answer.Complete, answer.Members = false, []member{}
	}
	text, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

// command is a command as a cache host receives it.
type command struct {
	verb, key, id, attrs string
	value                []byte
	arrived              float64 // ms since the run began, of its last byte
}

// verdict is what a host does with a command.
type verdict struct {
	after  time.Duration
	answer string
}

// host stands in for a cache host: commands on a connection are answered in order, those on several side by side.
type host struct {
	rig     *rig
	id      string
	address string
	serve   func(h *host, c command) verdict
}

// newHost starts a cache host.
func newHost(r *rig, id string, serve func(h *host, c command) verdict) (*host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{rig: r, id: id, address: l.Addr().String(), serve: serve}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go h.handle(conn)
		}
	}()
	return h, nil
}

// member returns the host's entry in the list.
func (h *host) member(flavor string) member {
	return member{ID: h.id, HostPort: h.address, Locality: "a", Flavor: flavor, Phase: "in_service", Size: 1}
}

// handle serves a connection.
func (h *host) handle(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		c, size, ok := parse(line)
		if !ok {
			io.WriteString(conn, "CLIENT_ERROR bad command\r\n")
			return
		}
		if c.verb == "ms" {
			c.value = make([]byte, size+2)
			if _, err := io.ReadFull(in, c.value); err != nil {
				return
			}
		}
		c.arrived = h.rig.ms()
		v := h.serve(h, c)
		time.Sleep(v.after)
		if _, err := io.WriteString(conn, v.answer); err != nil {
			return
		}
	}
}

// parse reads the line of a command.
func parse(line string) (c command, size int, ok bool) {
	words := strings.Fields(line)
	if len(words) < 3 || words[0] != "mg" && words[0] != "ms" {
		return c, 0, false
	}
	c.verb, c.key = words[0], words[1]
	for _, w := range words[2:] {
		switch w[0] {
		case 'O':
			c.id = w[1:]
		case 'P':
			c.attrs = w[1:]
		}
	}
	if c.verb == "ms" {
		size, _ = strconv.Atoi(words[2])
	}
	return c, size, c.id != ""
}

// value answers a read with a value.
func value(c command, text string) string {
	return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(text), c.id, text)
}

// miss answers a read for a key that the host lacks.
func miss(c command) string { return "EN O" + c.id + "\r\n" }

// newOrigin starts an origin, an HTTP server. It is listed as the member returned.
func newOrigin(serve http.HandlerFunc) (member, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return member{}, err
	}
	go http.Serve(l, serve)
	return member{ID: "origin", HostPort: l.Addr().String(), Locality: "a", Flavor: "origin", Phase: "in_service", Size: 1}, nil
}

// resetConn ends the connection of a call with a reset.
func resetConn(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// readAnswer reads one answer of a balancer: its first line, and whether it came whole.
func readAnswer(in *bufio.Reader) (line string, err error) {
	line, err = in.ReadString('\n')
	if err != nil {
		return line, err
	}
	line = strings.TrimRight(line, "\r\n")
	words := strings.Fields(line)
	if len(words) > 1 && words[0] == "VA" {
		size, err := strconv.Atoi(words[1])
		if err != nil {
			return line, err
		}
		_, err = io.CopyN(io.Discard, in, int64(size)+2)
		return line, err
	}
	return line, nil
}
