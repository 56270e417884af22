package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ScriptedFleet is stand-ins that answer by the word of a test, one answer at a time, where a Fleet's go by what they hold. It
// notes what they hear. Its methods panic where the machine has no room for them.
type ScriptedFleet struct {
	Members      []string    // of discovery's list, in its form
	WatchAnswers chan string // the answers to watches; "down" for a failure
	Closers      []io.Closer

	mu       sync.Mutex
	notes    []string
	attempts []Attempt
}

// Notef notes something.
func (s *ScriptedFleet) Notef(form string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, waited.ReplaceAllString(fmt.Sprintf(form, args...), "d=.."))
}

// Notes are all notes since the last call of Forget.
func (s *ScriptedFleet) Notes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.notes...)
}

// TakeNotes takes all notes, and has noted nothing from then on; attempts are forgotten too.
func (s *ScriptedFleet) TakeNotes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.notes
	s.notes, s.attempts = nil, nil
	return all
}

// ReplaceInNotes changes a part of all notes.
func (s *ScriptedFleet) ReplaceInNotes(old, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, n := range s.notes {
		s.notes[i] = strings.Replace(n, old, name, 1)
	}
}

// SortNotes puts all notes in order of the alphabet.
func (s *ScriptedFleet) SortNotes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.notes)
}

// Serve has each connection to a listener served.
func (s *ScriptedFleet) Serve(l net.Listener, each func(net.Conn)) {
	s.Closers = append(s.Closers, l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				each(c)
			}()
		}
	}()
}

// ListenLoopback listens on an address of loopback that nobody has.
func ListenLoopback() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// AddHost adds a cache host that answers each command with what say returns: bytes, "drop" to close the connection behind them,
// or "" to stay silent. {id} stands for the op's id.
func (s *ScriptedFleet) AddHost(name string, say func(words []string) string) {
	l := ListenLoopback()
	s.Members = append(s.Members, MemberJSON(name, l.Addr().String(), KindHost, InService))
	s.ServeHost(name, l, say)
}

// ServeHost answers on a listener as Host does; it is for the caller to list the host.
func (s *ScriptedFleet) ServeHost(name string, l net.Listener, say func(words []string) string) {
	s.Serve(l, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				if !errors.Is(err, io.EOF) || line != "" {
					return
				}
				s.Notef("%s: connection closed", name)
				return
			}
			words := strings.Fields(line)
			if err := skipValue(r, words); err != nil {
				return
			}
			s.attempted(commandAttempt(name, words, lastReceived(c)))
			s.Notef("%s: %s", name, strings.TrimSpace(line))
			answer := strings.ReplaceAll(say(words), "{id}", strings.TrimPrefix(words[3], "O"))
			last := strings.HasSuffix(answer, "drop")
			if last {
				cork(c)
			}
			io.WriteString(c, strings.TrimSuffix(answer, "drop"))
			if last {
				return
			}
		}
	})
}

// skipValue reads the value that follows the line of a write, and its line end.
func skipValue(r *bufio.Reader, words []string) error {
	if words[0] != "ms" {
		return nil
	}
	length, err := strconv.Atoi(words[2])
	if err != nil || length < 0 || length > longestValue {
		return fmt.Errorf("length %.20q", words[2])
	}
	_, err = r.Discard(length + len("\r\n"))
	return err
}

// cork has the end of a connection come with its last bytes, not some time behind them.
func cork(c net.Conn) {
	if raw, err := c.(*net.TCPConn).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1) })
	}
}

// AddOrigin adds the origin.
func (s *ScriptedFleet) AddOrigin(handle func(w http.ResponseWriter, r *http.Request)) {
	l := ListenLoopback()
	s.Members = append(s.Members, MemberJSON("log", l.Addr().String(), KindOrigin, InService))
	s.ServeOrigin(l, handle)
}

// ServeOrigin answers on a listener as Origin does; it is for the caller to list the origin.
func (s *ScriptedFleet) ServeOrigin(l net.Listener, handle func(w http.ResponseWriter, r *http.Request)) {
	s.Closers = append(s.Closers, l)
	server := &http.Server{
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connection{}, c) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err == nil {
				came := lastReceived(r.Context().Value(connection{}).(net.Conn))
				s.attempted(newAttempt(OriginID, r.Header.Get("X-Request-ID"), r.Method, r.Header.Get("X-Attrs"), came))
			}
			if len(body) > 100 {
				body = []byte(fmt.Sprint(len(body), " bytes"))
			}
			s.Notef("origin: %s %s %q %s %s", r.Method, r.URL.Path, body, r.Header.Get("X-Request-ID"), r.Header.Get("X-Attrs"))
			handle(w, r)
		}),
	}
	go server.Serve(l)
}

// connection is the key of a request's connection in its context.
type connection struct{}

// MemberJSON is a member in discovery's form.
func MemberJSON(id, address, kind, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":%q,"cell":0,"phase":%q,"size":1,"up_since_ms":0}`,
		id, address, kind, phase)
}

// HostListJSON is a list of members in discovery's form.
func HostListJSON(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// ServeDiscovery starts a list service under a name, and returns its address.
func (s *ScriptedFleet) ServeDiscovery(name string) string {
	l := ListenLoopback()
	s.Closers = append(s.Closers, l)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked := r.URL.Query()
		s.Notef("%s: %s", name, asked.Get("index"))
		w.Header().Set("Content-Type", "application/json")
		select {
		case l := <-s.WatchAnswers:
			if l == "down" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			io.WriteString(w, l)
		case <-time.After(time.Millisecond):
			if asked.Get("wait") != "1" {
				select {
				case l := <-s.WatchAnswers:
					io.WriteString(w, l)
				case <-r.Context().Done():
				}
				return
			}
			fmt.Fprintf(w, `{"revision":%s,"complete":false,"members":[]}`, asked.Get("index"))
		}
	}))
	return l.Addr().String()
}

// Close ends all that listens.
func (s *ScriptedFleet) Close() {
	for _, c := range s.Closers {
		c.Close()
	}
}
