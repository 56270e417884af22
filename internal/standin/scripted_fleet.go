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

// ScriptedFleet runs fake servers whose answers are scripted by a test, while those of a Fleet have a state of their own. It
// records what the servers receive as notes. Its methods panic if they cannot listen.
type ScriptedFleet struct {
	Members      []string    // members of the discovery list, as JSON
	WatchAnswers chan string // next answers of the discovery service; "down" for a failure
	Closers      []io.Closer

	mu       sync.Mutex
	notes    []string
	attempts []Attempt
}

// Notef adds a formatted note, with the time left masked.
func (s *ScriptedFleet) Notef(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, timeLeftPattern.ReplaceAllString(fmt.Sprintf(format, args...), "d=.."))
}

// Notes returns all notes since the last call of TakeNotes.
func (s *ScriptedFleet) Notes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.notes...)
}

// TakeNotes returns all notes, then removes them and all attempts.
func (s *ScriptedFleet) TakeNotes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.notes
	s.notes, s.attempts = nil, nil
	return all
}

// ReplaceInNotes replaces the first occurrence of old in each note.
func (s *ScriptedFleet) ReplaceInNotes(old, replacement string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, n := range s.notes {
		s.notes[i] = strings.Replace(n, old, replacement, 1)
	}
}

// SortNotes sorts the notes alphabetically.
func (s *ScriptedFleet) SortNotes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.notes)
}

// Serve calls handle in a goroutine for each connection to a listener, and closes the connection when handle returns.
func (s *ScriptedFleet) Serve(l net.Listener, handle func(net.Conn)) {
	s.Closers = append(s.Closers, l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
}

// ListenLoopback listens on an unused port of 127.0.0.1.
func ListenLoopback() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// AddHost adds a cache host to Members. The function answer is called with the words of each command and returns the bytes
// to send; a final "drop" closes the connection after them, an empty string sends nothing, and {id} stands for the op's id.
func (s *ScriptedFleet) AddHost(name string, answer func(words []string) string) {
	l := ListenLoopback()
	s.Members = append(s.Members, MemberJSON(name, l.Addr().String(), KindHost, InService))
	s.ServeHost(name, l, answer)
}

const minCommandWords = 4 // "mg KEY v O..."

// ServeHost runs a host like AddHost, but on the given listener and without adding it to Members.
func (s *ScriptedFleet) ServeHost(name string, l net.Listener, answerCommand func(words []string) string) {
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
			if len(words) < minCommandWords {
				panic(fmt.Sprintf("%s, from %s: no command: %q", name, c.RemoteAddr(), line))
			}
			if err := skipValue(r, words); err != nil {
				return
			}
			s.addAttempt(commandAttempt(name, words, LastReceived(c)))
			s.Notef("%s: %s", name, strings.TrimSpace(line))
			reply := strings.ReplaceAll(answerCommand(words), "{id}", strings.TrimPrefix(words[3], "O"))
			last := strings.HasSuffix(reply, "drop")
			if last {
				corkConn(c)
			}
			io.WriteString(c, strings.TrimSuffix(reply, "drop"))
			if last {
				return
			}
		}
	})
}

// skipValue discards the value and line end that follow the command line of a write.
func skipValue(r *bufio.Reader, words []string) error {
	if words[0] != "ms" {
		return nil
	}
	length, err := strconv.Atoi(words[2])
	if err != nil || length < 0 || length > maxValueBytes {
		return fmt.Errorf("length %.20q", words[2])
	}
	_, err = r.Discard(length + len("\r\n"))
	return err
}

// corkConn sets TCP_CORK, so that the end of the connection is sent together with its last bytes.
func corkConn(c net.Conn) {
	if raw, err := c.(*net.TCPConn).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1) })
	}
}

// AddOrigin adds an origin with the given HTTP handler to Members.
func (s *ScriptedFleet) AddOrigin(handle func(w http.ResponseWriter, r *http.Request)) {
	l := ListenLoopback()
	s.Members = append(s.Members, MemberJSON("log", l.Addr().String(), KindOrigin, InService))
	s.ServeOrigin(l, handle)
}

// ServeOrigin runs an origin like AddOrigin, but on the given listener and without adding it to Members.
func (s *ScriptedFleet) ServeOrigin(l net.Listener, handle func(w http.ResponseWriter, r *http.Request)) {
	s.Closers = append(s.Closers, l)
	server := &http.Server{
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err == nil {
				receivedAt := LastReceived(r.Context().Value(connContextKey{}).(net.Conn))
				s.addAttempt(newAttempt(OriginID, r.Header.Get("X-Request-ID"), r.Method, r.Header.Get("X-Attrs"), receivedAt))
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

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// MemberJSON returns a member in the JSON format of discovery.
func MemberJSON(id, address, kind, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":%q,"cell":0,"phase":%q,"size":1,"up_since_ms":0}`,
		id, address, kind, phase)
}

// HostListJSON returns a list of members, each from MemberJSON, in the JSON format of discovery.
func HostListJSON(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// ServeDiscovery starts a discovery service and returns its address. It answers each request with the next of WatchAnswers. If
// there is none, a request with wait=1 gets an empty change, and others wait. Notes name the service by the given name.
func (s *ScriptedFleet) ServeDiscovery(name string) string {
	l := ListenLoopback()
	s.Closers = append(s.Closers, l)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		s.Notef("%s: %s", name, query.Get("index"))
		w.Header().Set("Content-Type", "application/json")
		select {
		case l := <-s.WatchAnswers:
			if l == "down" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			io.WriteString(w, l)
		case <-time.After(time.Millisecond):
			if query.Get("wait") != "1" {
				select {
				case l := <-s.WatchAnswers:
					io.WriteString(w, l)
				case <-r.Context().Done():
				}
				return
			}
			fmt.Fprintf(w, `{"revision":%s,"complete":false,"members":[]}`, query.Get("index"))
		}
	}))
	return l.Addr().String()
}

// Close closes all Closers, among them all listeners.
func (s *ScriptedFleet) Close() {
	for _, c := range s.Closers {
		c.Close()
	}
}
