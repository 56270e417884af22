package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Discovery serves a host list, whole or as a watch.
type Discovery struct {
	Address string

	mu       sync.Mutex
	revision int
	members  []Member
	changed  []int // revision of each member's last change
	news     chan struct{}
}

// StartDiscovery starts a discovery with an empty list.
func StartDiscovery() *Discovery {
	d := &Discovery{revision: 1, news: make(chan struct{})}
	d.Address = serveHTTP(http.HandlerFunc(d.serve))
	return d
}

// serveHTTP serves HTTP on a free loopback port and returns the address.
func serveHTTP(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	go http.Serve(l, h)
	return l.Addr().String()
}

// Set adds a member, or replaces the one with its id.
func (d *Discovery) Set(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	at := 0
	for at < len(d.members) && d.members[at].ID != m.ID {
		at++
	}
	if at == len(d.members) {
		d.members, d.changed = append(d.members, m), append(d.changed, 0)
	}
	d.members[at], d.changed[at] = m, d.revision
	close(d.news)
	d.news = make(chan struct{})
}

// List returns the whole list.
func (d *Discovery) List() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(0)
}

// list returns what has changed since a revision; all members since 0.
func (d *Discovery) list(since int) map[string]any {
	members := []Member{}
	for i, m := range d.members {
		if d.changed[i] > since {
			members = append(members, m)
		}
	}
	return map[string]any{"revision": d.revision, "complete": since == 0, "members": members}
}

// serve answers a call.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		list, news, newer := d.list(index), d.news, d.revision > index
		d.mu.Unlock()
		waiting := index > 0 && !newer
		if waiting {
			select {
			case <-news:
				continue
			case <-until:
			}
		}
		text, err := json.Marshal(list)
		Must(err)
		w.Header().Set("Content-Type", "application/json")
		w.Write(text)
		return
	}
}

// Command is a command that a cache host received, or a request that the origin received.
type Command struct {
	Host    string
	Write   bool
	Key, ID string
	Attrs   string
	Size    int // of a write's value
}

// Host is a cache host. Answer is called for each command, in a goroutine for each connection. It reports whether the
// connection stays open.
type Host struct {
	Member
	Answer func(conn net.Conn, c Command) bool
}

// StartHost starts a cache host that answers each command with a text, and lists it.
func (d *Discovery) StartHost(id, zone string, answer func(c Command) string) *Host {
	return d.StartRawHost(id, zone, func(conn net.Conn, c Command) bool {
		_, err := io.WriteString(conn, answer(c))
		return err == nil
	})
}

// StartRawHost starts a cache host and lists it.
func (d *Discovery) StartRawHost(id, zone string, answer func(conn net.Conn, c Command) bool) *Host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	h := &Host{Answer: answer, Member: Member{ID: id, HostPort: l.Addr().String(), Locality: zone, Flavor: "full",
		Phase: "in_service", Size: 1}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	d.Set(h.Member)
	return h
}

// serve answers the commands of a connection in their order.
func (h *Host) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 3 || words[0] != "mg" && words[0] != "ms" {
			fmt.Fprint(c, "CLIENT_ERROR unreadable\r\n")
			return
		}
		cmd := Command{Host: h.ID, Write: words[0] == "ms", Key: words[1]}
		for _, w := range words[2:] {
			switch w[0] {
			case 'O':
				cmd.ID = w[1:]
			case 'P':
				cmd.Attrs = w[1:]
			}
		}
		if cmd.Write {
			cmd.Size, _ = strconv.Atoi(words[2])
			if _, err := io.CopyN(io.Discard, r, int64(cmd.Size)+2); err != nil {
				return
			}
		}
		if !h.Answer(c, cmd) {
			return
		}
	}
}

// Hit is the answer of a cache host that has a key.
func Hit(c Command, value string) string {
	return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(value), c.ID, value)
}

// Miss is the answer of a cache host that lacks a key.
func Miss(c Command) string { return fmt.Sprintf("EN O%s\r\n", c.ID) }

// StartOrigin starts the origin and lists it. handle returns the value of a read or the receipt of a write.
func (d *Discovery) StartOrigin(zone string, handle func(c Command) string) {
	d.StartOriginWith(zone, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		c := Command{Host: "origin", Write: r.Method == http.MethodPut, Key: strings.TrimPrefix(r.URL.Path, "/"),
			ID: r.Header.Get("X-Request-ID"), Attrs: r.Header.Get("X-Attrs"), Size: int(n)}
		text := handle(c)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Header().Set("X-Request-ID", c.ID)
		io.WriteString(w, text)
	})
}

// StartOriginWith is StartOrigin with a handler of HTTP requests.
func (d *Discovery) StartOriginWith(zone string, handle http.HandlerFunc) {
	address := serveHTTP(handle)
	d.Set(Member{ID: "origin", HostPort: address, Locality: zone, Flavor: "origin", Phase: "in_service", Size: 1})
}

// Settings returns the settings of a small deployment, as the wire page lays them out, with the given classes.
func Settings(classes ...map[string]any) map[string]any {
	return map[string]any{"benefitBy": "work", "categories": classes, "discovery": "on_request", "groupSize": 1,
		"blend":   map[string]any{"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
		"callers": map[string]any{"marksRetry": false}, "excessBenefit": 0.1,
		"costs": map[string]any{"connection": 0.06, "crossZone": 0.03, "handshake": 0.04, "lateFail": 0.042, "origin": 0.03,
			"waste": 0.05},
		"guarantees": map[string]any{"answerSlackUs": 5000, "askWithinUs": 10000000, "coldShare": 0.32, "coldUs": 7500000,
			"drainGraceUs": 500000, "fallUs": 1000000, "tipMultiple": 3.0},
		"limits": map[string]any{"cancelling": true, "connIdleUs": 60000000, "connectTimeoutUs": 50000, "cpuUsPerS": 15000,
			"maxRetryAfterUs": 400000, "mayDuplicate": false, "mayProbe": false, "mostHeld": 20000, "mostPushes": 3,
			"peers": false, "retryAfter": true, "streamsPerConn": 100},
		"me": 0, "models": []string{"full", "small", "origin"}, "projects": []any{}, "quantumUs": 1000,
		"report": map[string]any{"fields": []string{}, "how": "none"}, "serviceType": "cache",
		"specifics": map[string]any{"mode": "aside", "originFallMultiple": 0.0, "originFallUs": 3000000, "originKind": 2},
		"tier":      0, "tiers": []string{"logcache"}, "weights": "nominal", "zone": "nashua", "zones": []string{"nashua"}}
}

// GraniteLoop returns the settings of granite-loop at a small size: its classes with their limits.
func GraniteLoop() map[string]any {
	return Settings(Class("log-read", 150, 600, "retryable"),
		Class("qsl-confirm", 400, 750, "dedup", "benefit", 8.0),
		Class("log-append", 400, 800, "dedup", "dedupWindowUs", 400000))
}

// Class returns a class of requests. Times are in ms.
func Class(name string, targetMS, ttlMS int, repeat string, more ...any) map[string]any {
	c := map[string]any{"name": name, "targetLatencyUs": targetMS * 1000, "ttlUs": ttlMS * 1000, "repeat": repeat,
		"benefit": 2.0, "tardyBenefit": 0.5, "group": "all", "dedupWindowUs": 3000000, "stream": false}
	for i := 0; i < len(more); i += 2 {
		c[more[i].(string)] = more[i+1]
	}
	return c
}
