package feednet

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"larchthread/internal/feed"
	"larchthread/internal/machine"
)

// Options configure a server.
type Options struct {
	// Feed is the node's configuration.
	Feed feed.Config
	// Listen is the address that children connect to. Publishers and relays alone have one.
	Listen string
	// Directory holds the publisher's log. It has to exist, and to outlive the process.
	Directory string
	// OnEvent is called for each event, in their order and on the server's loop: it must not block, nor call the server.
	OnEvent func(feed.Event)
	// Dial connects to a parent; nil stands for TCP.
	Dial func(context.Context, string) (net.Conn, error)
	// Log, if not nil, is told what an operator may want to know.
	Log *slog.Logger

	files machine.FileSystem // of the log; nil stands for the disk
}

// Server runs a node.
type Server struct {
	options  Options
	log      *slog.Logger
	started  time.Time
	listener net.Listener // nil without Options.Listen
	inputs   chan input
	readers  sync.WaitGroup // goroutines that connect to a parent or read from a peer
	done     chan struct{}  // closed when the loop has ended
	failure  error          // why it ended; read once done is closed
}

// Start starts a server. It returns once a publisher's log is read and the address is taken.
func Start(options Options) (*Server, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	server := &Server{
		options: options,
		log:     options.Log,
		started: time.Now(),
		inputs:  make(chan input, inputQueueLength),
		done:    make(chan struct{}),
	}
	loop, err := newLoop(server)
	if err != nil {
		return nil, err
	}
	if options.Listen != "" {
		server.listener, err = net.Listen("tcp", options.Listen)
		if err != nil {
			return nil, errors.Join(err, loop.closeLog())
		}
		go server.accept()
	}
	go loop.run()
	return server, nil
}

// validate returns an *OptionError or a *feed.ConfigError for the first field that can't be used.
func (o Options) validate() error {
	isPublisher, isSubscriber := o.Feed.Role == feed.Publisher, o.Feed.Role == feed.Subscriber
	switch {
	case isPublisher && o.Directory == "":
		return &OptionError{"Directory", "a publisher needs one"}
	case !isPublisher && o.Directory != "":
		return &OptionError{"Directory", "only a publisher has one"}
	case !isSubscriber && o.Listen == "":
		return &OptionError{"Listen", "a publisher or relay needs an address"}
	case isSubscriber && o.Listen != "":
		return &OptionError{"Listen", "a subscriber serves nobody"}
	}
	return o.Feed.Validate()
}

func (o Options) withDefaults() Options {
	if o.OnEvent == nil {
		o.OnEvent = func(feed.Event) {}
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
		}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.files == nil {
		o.files = machine.LocalFileSystem()
	}
	if o.Feed.DialTimeout == 0 {
		o.Feed.DialTimeout = feed.DefaultDialTimeout
	}
	return o
}

// Publish publishes a change and returns its position once it is on disk. After an error of ctx or a *DiskError it is
// unknown whether the change was published: it may reach the subscribers, now or after a restart. Other errors tell that
// it was not.
func (s *Server) Publish(ctx context.Context, kind feed.Kind, key, value []byte) (feed.Position, error) {
	request := &publishInput{kind: kind, key: bytes.Clone(key), value: bytes.Clone(value), reply: make(chan publishReply, 1)}
	select {
	case s.inputs <- request:
	case <-ctx.Done():
		return feed.Position{}, ctx.Err()
	case <-s.done:
		return feed.Position{}, s.closedError()
	}
	select {
	case reply := <-request.reply:
		return reply.position, reply.err
	case <-ctx.Done():
		return feed.Position{}, ctx.Err()
	case <-s.done:
	}
	select {
	case reply := <-request.reply: // the loop's last one
		return reply.position, reply.err
	default:
		return feed.Position{}, s.closedError()
	}
}

// Address is the address that children connect to, with its port; empty where there is none.
func (s *Server) Address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Status is the node's state. That of a server that was closed is the zero Status.
func (s *Server) Status() feed.Status {
	request := statusInput{reply: make(chan feed.Status, 1)}
	if !s.post(request) {
		return feed.Status{}
	}
	select {
	case status := <-request.reply:
		return status
	case <-s.done:
		return feed.Status{}
	}
}

// Done is closed when the server has ended, by Close or for an error.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Close says goodbye to all peers, closes the connections and the log, and returns once that is done. It returns the error
// for which the server had ended before, if it had.
func (s *Server) Close() error {
	s.post(closeInput{})
	<-s.done
	s.readers.Wait()
	return s.failure
}

// closedError is the error of calls after the end.
func (s *Server) closedError() error {
	if s.failure != nil {
		return s.failure
	}
	return ErrClosed
}

// post hands the loop an input. It returns false where the loop has ended; what it holds is then the caller's to close.
func (s *Server) post(in input) bool {
	select {
	case s.inputs <- in:
	case <-s.done:
	}
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// received implements connectionHandler.
func (s *Server) received(peer feed.PeerID, message feed.Message) {
	s.post(messageInput{peer, message})
}

// lost implements connectionHandler.
func (s *Server) lost(peer feed.PeerID, err error) {
	s.post(lostInput{peer, err})
}

// accept hands connections to the loop until the listener is closed.
func (s *Server) accept() {
	for {
		socket, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Error("accept", "error", err)
			time.Sleep(acceptPause)
		case !s.post(acceptedInput{socket}):
			socket.Close()
			return
		}
	}
}

// dial connects to a parent and then reads from it, on a goroutine of its own.
func (s *Server) dial(ctx context.Context, peer feed.PeerID, address string) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Feed.DialTimeout)
	socket, err := s.options.Dial(ctx, address)
	cancel()
	if err != nil {
		s.post(dialFailedInput{peer, address, err})
		return
	}
	conn := newConnection(peer, socket, true)
	if !s.post(dialledInput{conn}) {
		socket.Close()
		return
	}
	conn.read(s)
}
