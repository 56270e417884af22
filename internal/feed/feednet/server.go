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

// Options configures a Server.
type Options struct {
	// Feed is the node's configuration.
	Feed feed.Config
	// Listen is the TCP address, host:port, that children connect to. Publishers and relays need one; a subscriber has none.
	Listen string
	// Directory is an existing directory on durable storage for the publisher's log. Only a publisher has one.
	Directory string
	// OnEvent, if not nil, is called for each event in order. It runs on the event loop, so it must not block or call the
	// server.
	OnEvent func(feed.Event)
	// Dial connects to the address of a parent; nil means a TCP connection.
	Dial func(context.Context, string) (net.Conn, error)
	// Log, if not nil, receives messages for the operator.
	Log *slog.Logger

	files machine.FileSystem // holds the publisher's log; nil means the local file system
}

// Server runs a feed node on TCP connections. Its methods are safe for concurrent use.
type Server struct {
	options     Options
	log         *slog.Logger
	startTime   time.Time
	listener    net.Listener // nil without Options.Listen
	inputs      chan input
	readerGroup sync.WaitGroup // goroutines that dial a parent or read from a peer
	done        chan struct{}  // closed when the loop has stopped
	exitErr     error          // why the loop stopped; valid once done is closed
}

// Start starts a server. It returns after a publisher's log has been read and the listening socket is open. Invalid options
// are an *OptionError or a *feed.ConfigError; an unusable log is a *LockedError, *DiskError, *CorruptLogError or
// *ForeignLogError.
func Start(options Options) (*Server, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	server := &Server{
		options:   options,
		log:       options.Log,
		startTime: time.Now(),
		inputs:    make(chan input, inputQueueSize),
		done:      make(chan struct{}),
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

// validate returns an *OptionError or a *feed.ConfigError for the first invalid field.
func (o Options) validate() error {
	isPublisher, isSubscriber := o.Feed.Role == feed.Publisher, o.Feed.Role == feed.Subscriber
	switch {
	case isPublisher && o.Directory == "":
		return &OptionError{"Directory", "a publisher needs a directory"}
	case !isPublisher && o.Directory != "":
		return &OptionError{"Directory", "only a publisher has a directory"}
	case !isSubscriber && o.Listen == "":
		return &OptionError{"Listen", "a publisher or relay needs a listening address"}
	case isSubscriber && o.Listen != "":
		return &OptionError{"Listen", "a subscriber does not listen"}
	}
	return o.Feed.Validate()
}

// withDefaults returns the options with the unset optional fields filled in.
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
// unknown whether the change was published: it may still reach subscribers, now or after a restart. After any other error,
// such as ErrClosed or a rejection by the node, it was not published.
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
	case reply := <-request.reply: // sent just before the loop stopped
		return reply.position, reply.err
	default:
		return feed.Position{}, s.closedError()
	}
}

// Address returns the address, with the actual port, that children connect to. It is empty for a subscriber.
func (s *Server) Address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Status returns the node's state, or the zero Status if the server has stopped.
func (s *Server) Status() feed.Status {
	request := statusInput{reply: make(chan feed.Status, 1)}
	if !s.enqueue(request) {
		return feed.Status{}
	}
	select {
	case status := <-request.reply:
		return status
	case <-s.done:
		return feed.Status{}
	}
}

// Done returns a channel that is closed when the server has stopped, by Close or because of an error.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Close notifies all peers, closes the log and waits until all connections have ended. It returns the error that
// stopped the server, if any, or the error of closing the log. It may be called repeatedly.
func (s *Server) Close() error {
	s.enqueue(closeInput{})
	<-s.done
	s.readerGroup.Wait()
	return s.exitErr
}

// closedError returns the error that stopped the server, or ErrClosed. It may be called once done is closed.
func (s *Server) closedError() error {
	if s.exitErr != nil {
		return s.exitErr
	}
	return ErrClosed
}

// enqueue passes an input to the loop. It returns false if the loop has stopped; the caller must then close any connection in
// the input.
func (s *Server) enqueue(in input) bool {
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

// received passes a message to the loop. It implements connectionHandler.
func (s *Server) received(peer feed.PeerID, message feed.Message) {
	s.enqueue(messageInput{peer, message})
}

// lost passes the end of a connection to the loop. It implements connectionHandler.
func (s *Server) lost(peer feed.PeerID, err error) {
	s.enqueue(lostInput{peer, err})
}

// accept passes accepted connections to the loop until the listener is closed. After any other error it waits and retries.
func (s *Server) accept() {
	for {
		socket, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Error("accept", "error", err)
			time.Sleep(acceptRetryDelay)
		case !s.enqueue(acceptedInput{socket}):
			socket.Close()
			return
		}
	}
}

// dial connects to a parent within the node's dial timeout, and reads from the connection until it ends. It reports the
// outcome to the loop.
func (s *Server) dial(ctx context.Context, peer feed.PeerID, address string) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Feed.DialTimeout)
	socket, err := s.options.Dial(ctx, address)
	cancel()
	if err != nil {
		s.enqueue(dialFailedInput{peer, address, err})
		return
	}
	conn := newConnection(peer, socket, true)
	if !s.enqueue(dialledInput{conn}) {
		socket.Close()
		return
	}
	conn.read(s)
}
