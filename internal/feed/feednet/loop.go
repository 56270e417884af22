package feednet

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"larchthread/internal/feed"
)

const (
	inputQueueLength = 16
	maxRoundInputs   = 256 // inputs that are handled before the node's output is: their changes share one write to the disk
	maxPending       = 128 // connections from children that have not said hello; with more the oldest is closed
	acceptPause      = 50 * time.Millisecond
)

// loop owns the node, its connections and its log. All its methods run on one goroutine.
type loop struct {
	server      *Server
	node        *feed.Node
	changes     *changeLog // nil unless this is a publisher
	connections map[feed.PeerID]*connection
	pending     []*connection // from children that have not said hello, the oldest first
	lastPeer    feed.PeerID
	dialling    feed.PeerID        // the attempt to connect that is under way; 0: none
	cancelDial  context.CancelFunc // of the latest attempt
	replies     []pendingReply     // to publishers, once the round's changes are on disk
	round       []input            // reused from round to round
	closing     bool
}

// pendingReply is a reply that waits for the disk.
type pendingReply struct {
	reply    chan<- publishReply
	position feed.Position
}

// newLoop makes the node, from the log where it is a publisher's.
func newLoop(server *Server) (*loop, error) {
	l := &loop{server: server, connections: make(map[feed.PeerID]*connection), cancelDial: func() {}}
	options := server.options
	var saved []feed.Change
	if options.Feed.Role == feed.Publisher {
		var err error
		l.changes, saved, err = openChangeLog(options.files, options.Directory, newLogHeader(options.Feed), server.log)
		if err != nil {
			return nil, err
		}
	}
	node, err := feed.NewNode(options.Feed, saved, server.now())
	if err != nil {
		return nil, errors.Join(err, l.closeLog())
	}
	l.node = node
	return l, nil
}

// now is the time on the node's clock.
func (s *Server) now() time.Duration {
	return time.Since(s.started)
}

// run handles inputs in rounds until the server is closed or the disk fails.
func (l *loop) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !l.closing {
		l.collect(timer)
		l.node.Tick(l.server.now()) // read after the messages: the age of knowledge must not be understated
		for _, in := range l.round {
			in.handle(l)
		}
		if err := l.carryOut(l.node.TakeOutput()); err != nil {
			l.fail(err)
			return
		}
		timer.Reset(l.node.NextTick() - l.server.now())
	}
	l.end(l.closeLog())
}

// collect waits for an input or the node's next tick, and takes all inputs that are there as the next round.
func (l *loop) collect(timer *time.Timer) {
	clear(l.round)
	l.round = l.round[:0]
	select {
	case in := <-l.server.inputs:
		l.round = append(l.round, in)
	case <-timer.C:
	}
	for len(l.round) < maxRoundInputs {
		select {
		case in := <-l.server.inputs:
			l.round = append(l.round, in)
		default:
			return
		}
	}
}

// carryOut does what the node wants done. What has to be kept is on disk before anything is sent or acknowledged.
func (l *loop) carryOut(output feed.Output) error {
	if err := l.keep(output.Persist); err != nil {
		return err
	}
	l.reply(nil)
	for _, envelope := range output.Send {
		l.send(envelope)
	}
	for _, peer := range output.Close {
		l.finish(peer)
	}
	if output.Dial != "" {
		l.dial(output.Dial)
	}
	for _, event := range output.Events {
		l.server.options.OnEvent(event)
	}
	return nil
}

// keep writes changes to the log, and compacts it when it has grown.
func (l *loop) keep(changes []feed.Change) error {
	if len(changes) == 0 {
		return nil
	}
	if err := l.changes.append(changes); err != nil {
		return err
	}
	if !l.changes.full() {
		return nil
	}
	return l.changes.compact(l.node.Retained())
}

// reply answers all publishers of the round, with an error or each with its position.
func (l *loop) reply(err error) {
	for _, pending := range l.replies {
		if err != nil {
			pending.reply <- publishReply{err: err}
			continue
		}
		pending.reply <- publishReply{position: pending.position}
	}
	l.replies = nil
}

func (l *loop) send(envelope feed.Envelope) {
	conn := l.connections[envelope.Peer]
	if conn == nil {
		return
	}
	if !conn.send(envelope.Frame) {
		l.server.log.Warn("peer disconnected: it does not read", "peer", conn.socket.RemoteAddr())
	}
}

// finish ends a connection that the node has given up.
func (l *loop) finish(peer feed.PeerID) {
	if conn := l.connections[peer]; conn != nil {
		l.forget(conn)
		conn.finish()
	}
}

// dial starts an attempt to connect in place of the one that may be under way.
func (l *loop) dial(address string) {
	l.cancelDial()
	l.lastPeer++
	l.dialling = l.lastPeer
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelDial = cancel
	peer := l.dialling
	l.server.readers.Go(func() { l.server.dial(ctx, peer, address) })
}

// accept takes a connection from a child. Those that do not say hello make room for new ones.
func (l *loop) accept(socket net.Conn) {
	if len(l.pending) >= maxPending {
		oldest := l.pending[0]
		l.server.log.Warn("peer disconnected: too many have not said hello", "peer", oldest.socket.RemoteAddr())
		l.pending = l.pending[1:]
		oldest.abort()
	}
	l.lastPeer++
	conn := newConnection(l.lastPeer, socket, false)
	l.connections[conn.peer] = conn
	l.pending = append(l.pending, conn)
	l.node.PeerOpened(conn.peer, false)
	l.server.readers.Go(func() { conn.read(l.server) })
}

// saidHello takes a connection off those that have not sent anything yet.
func (l *loop) saidHello(conn *connection) {
	if at := slices.Index(l.pending, conn); at >= 0 {
		l.pending = slices.Delete(l.pending, at, at+1)
	}
}

func (l *loop) forget(conn *connection) {
	delete(l.connections, conn.peer)
	l.saidHello(conn)
}

// lost tells the node of a connection that has ended.
func (l *loop) lost(peer feed.PeerID, err error) {
	conn := l.connections[peer]
	if conn == nil {
		return
	}
	l.forget(conn)
	l.node.PeerLost(peer)
	if !errors.Is(err, io.EOF) {
		l.server.log.Info("connection lost", "peer", conn.socket.RemoteAddr(), "parent", conn.dialled, "error", err)
	}
}

// fail ends the server for an error of the disk. What the node wanted to send is dropped: it may tell of changes that are
// not on disk.
func (l *loop) fail(err error) {
	l.server.log.Error("publisher stopped: its log can't be written", "error", err)
	l.reply(err)
	for _, conn := range l.connections {
		conn.abort()
	}
	_ = l.closeLog() // the first error is the one to tell
	l.end(err)
}

// leave says goodbye to all peers. The loop ends with this round.
func (l *loop) leave() {
	l.node.Leave()
	l.closing = true
}

func (l *loop) closeLog() error {
	if l.changes == nil {
		return nil
	}
	return l.changes.close()
}

// end ends the loop. Connections that are being finished go on by themselves for a moment.
func (l *loop) end(err error) {
	l.cancelDial()
	if l.server.listener != nil {
		l.server.listener.Close()
	}
	for _, conn := range l.connections {
		conn.finish()
	}
	l.server.failure = err
	close(l.server.done)
	l.discardInputs()
}

// discardInputs closes connections that came too late for the last round.
func (l *loop) discardInputs() {
	for {
		select {
		case in := <-l.server.inputs:
			if held, ok := in.(discarder); ok {
				held.discard()
			}
		default:
			return
		}
	}
}
