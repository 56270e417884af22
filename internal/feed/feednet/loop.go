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
	inputQueueSize   = 16
	maxBatchInputs   = 256 // inputs handled before the node's output; their changes share one write to disk
	maxPendingHellos = 128 // connections from children that await a hello; a new one beyond that closes the oldest
	acceptRetryDelay = 50 * time.Millisecond
)

// loop is the event loop. It owns the node, its connections and its log; all its methods run on one goroutine.
type loop struct {
	server         *Server
	node           *feed.Node
	changeLog      *changeLog // nil unless the node is a publisher
	connections    map[feed.PeerID]*connection
	pendingHellos  []*connection // from children that have not sent a hello, oldest first
	lastPeerID     feed.PeerID
	dialPeer       feed.PeerID        // of the connection attempt in progress; 0 if none
	cancelDial     context.CancelFunc // cancels the latest connection attempt
	pendingReplies []pendingReply     // to callers of Publish, sent once the batch's changes are on disk
	batch          []input            // reused between batches
	closing        bool
}

// pendingReply is a reply to Publish that waits until its change is on disk.
type pendingReply struct {
	reply    chan<- publishReply
	position feed.Position
}

// newLoop creates the loop and its node; a publisher's node is restored from the log. Errors are those of openChangeLog and
// feed.NewNode.
func newLoop(server *Server) (*loop, error) {
	l := &loop{server: server, connections: make(map[feed.PeerID]*connection), cancelDial: func() {}}
	options := server.options
	var saved []feed.Change
	if options.Feed.Role == feed.Publisher {
		var err error
		l.changeLog, saved, err = openChangeLog(options.files, options.Directory, newLogHeader(options.Feed), server.log)
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

// now returns the node's time: the time since the server was created.
func (s *Server) now() time.Duration {
	return time.Since(s.startTime)
}

// run handles inputs in batches until the server is closed or writing the log fails.
func (l *loop) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !l.closing {
		l.collectBatch(timer)
		l.node.Tick(l.server.now()) // read the clock after collecting messages, so that the age of data is not understated
		for _, in := range l.batch {
			in.handle(l)
		}
		if err := l.applyOutput(l.node.TakeOutput()); err != nil {
			l.failWithDiskError(err)
			return
		}
		timer.Reset(l.node.NextTick() - l.server.now())
	}
	l.stop(l.closeLog())
}

// collectBatch waits for an input or the node's next tick, then takes the inputs that are ready, at most maxBatchInputs.
func (l *loop) collectBatch(timer *time.Timer) {
	clear(l.batch)
	l.batch = l.batch[:0]
	select {
	case in := <-l.server.inputs:
		l.batch = append(l.batch, in)
	case <-timer.C:
	}
	for len(l.batch) < maxBatchInputs {
		select {
		case in := <-l.server.inputs:
			l.batch = append(l.batch, in)
		default:
			return
		}
	}
}

// applyOutput carries out the node's output. Changes are persisted before anything is sent or acknowledged. It returns the
// error of the log.
func (l *loop) applyOutput(output feed.Output) error {
	if err := l.persist(output.Persist); err != nil {
		return err
	}
	l.replyToPublishers(nil)
	for _, envelope := range output.Send {
		l.send(envelope)
	}
	for _, peer := range output.Close {
		l.closePeer(peer)
	}
	if output.Dial != "" {
		l.dial(output.Dial)
	}
	for _, event := range output.Events {
		l.server.options.OnEvent(event)
	}
	return nil
}

// persist appends changes to the log, and compacts the log if needed.
func (l *loop) persist(changes []feed.Change) error {
	if len(changes) == 0 {
		return nil
	}
	if err := l.changeLog.append(changes); err != nil {
		return err
	}
	if !l.changeLog.needsCompaction() {
		return nil
	}
	return l.changeLog.compact(l.node.Retained())
}

// replyToPublishers sends the pending replies: the error if there is one, else each change's position.
func (l *loop) replyToPublishers(err error) {
	for _, pending := range l.pendingReplies {
		if err != nil {
			pending.reply <- publishReply{err: err}
			continue
		}
		pending.reply <- publishReply{position: pending.position}
	}
	l.pendingReplies = nil
}

// send queues a frame for a peer. A peer whose queue is full is disconnected; one that is gone is ignored.
func (l *loop) send(envelope feed.Envelope) {
	conn := l.connections[envelope.Peer]
	if conn == nil {
		return
	}
	if !conn.send(envelope.Frame) {
		l.server.log.Warn("peer disconnected: it reads too slowly", "peer", conn.socket.RemoteAddr())
	}
}

// closePeer closes the connection of a peer that the node has dropped, once its queued frames are written.
func (l *loop) closePeer(peer feed.PeerID) {
	if conn := l.connections[peer]; conn != nil {
		l.removeConnection(conn)
		conn.closeGracefully()
	}
}

// dial starts a connection attempt and cancels the previous one.
func (l *loop) dial(address string) {
	l.cancelDial()
	l.lastPeerID++
	l.dialPeer = l.lastPeerID
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelDial = cancel
	peer := l.dialPeer
	l.server.readerGroup.Go(func() { l.server.dial(ctx, peer, address) })
}

// accept registers a connection from a child. If too many connections await a hello, it closes the oldest of them.
func (l *loop) accept(socket net.Conn) {
	if len(l.pendingHellos) >= maxPendingHellos {
		oldest := l.pendingHellos[0]
		l.server.log.Warn("peer disconnected: too many peers have not sent a hello", "peer", oldest.socket.RemoteAddr())
		l.pendingHellos = l.pendingHellos[1:]
		oldest.abort()
	}
	l.lastPeerID++
	conn := newConnection(l.lastPeerID, socket, false)
	l.connections[conn.peer] = conn
	l.pendingHellos = append(l.pendingHellos, conn)
	l.node.PeerOpened(conn.peer, false)
	l.server.readerGroup.Go(func() { conn.read(l.server) })
}

// removePendingHello removes a connection from those that await a hello, if it is one of them.
func (l *loop) removePendingHello(conn *connection) {
	if at := slices.Index(l.pendingHellos, conn); at >= 0 {
		l.pendingHellos = slices.Delete(l.pendingHellos, at, at+1)
	}
}

// removeConnection removes a connection from the loop's tables without closing it.
func (l *loop) removeConnection(conn *connection) {
	delete(l.connections, conn.peer)
	l.removePendingHello(conn)
}

// lost reports the end of a connection to the node. It logs any error but io.EOF.
func (l *loop) lost(peer feed.PeerID, err error) {
	conn := l.connections[peer]
	if conn == nil {
		return
	}
	l.removeConnection(conn)
	l.node.PeerLost(peer)
	if !errors.Is(err, io.EOF) {
		l.server.log.Info("connection lost", "peer", conn.socket.RemoteAddr(), "parent", conn.toParent, "error", err)
	}
}

// failWithDiskError stops the server after an error of the log. The node's output is dropped, since it may contain changes
// that are not on disk.
func (l *loop) failWithDiskError(err error) {
	l.server.log.Error("publisher stopped: cannot write its log", "error", err)
	l.replyToPublishers(err)
	for _, conn := range l.connections {
		conn.abort()
	}
	_ = l.closeLog() // the first error is the one to report
	l.stop(err)
}

// shutDown has the node announce its departure to all peers. The loop stops after this batch.
func (l *loop) shutDown() {
	l.node.Leave()
	l.closing = true
}

// closeLog closes the log, if the node has one.
func (l *loop) closeLog() error {
	if l.changeLog == nil {
		return nil
	}
	return l.changeLog.close()
}

// stop stops the loop: it closes the listener, records the error and closes done. Connections write their queued frames in
// the background, for closeTimeout at most.
func (l *loop) stop(err error) {
	l.cancelDial()
	if l.server.listener != nil {
		l.server.listener.Close()
	}
	for _, conn := range l.connections {
		conn.closeGracefully()
	}
	l.server.exitErr = err
	close(l.server.done)
	l.discardInputs()
}

// discardInputs closes the connections in unhandled inputs.
func (l *loop) discardInputs() {
	for {
		select {
		case in := <-l.server.inputs:
			if holder, ok := in.(discarder); ok {
				holder.discard()
			}
		default:
			return
		}
	}
}
