package feednet

import (
	"net"

	"larchthread/internal/feed"
)

// input is an event or request that the event loop handles.
type input interface {
	handle(l *loop)
}

// discarder is an input that owns a connection. The loop calls discard if it stops without handling the input.
type discarder interface {
	discard()
}

// acceptedInput carries a connection accepted from a child.
type acceptedInput struct {
	socket net.Conn
}

// handle registers the connection.
func (in acceptedInput) handle(l *loop) {
	l.accept(in.socket)
}

// discard closes the connection.
func (in acceptedInput) discard() {
	in.socket.Close()
}

// dialledInput carries a new connection to a parent.
type dialledInput struct {
	conn *connection
}

// handle adds the connection and tells the node, or aborts it if a later attempt has superseded this one.
func (in dialledInput) handle(l *loop) {
	if in.conn.peer != l.dialPeer { // superseded by a later attempt
		in.conn.abort()
		return
	}
	l.dialPeer = 0
	l.connections[in.conn.peer] = in.conn
	l.node.PeerOpened(in.conn.peer, true)
}

// discard closes the connection.
func (in dialledInput) discard() {
	in.conn.abort()
}

// dialFailedInput reports a failed attempt to connect to a parent.
type dialFailedInput struct {
	peer    feed.PeerID
	address string
	err     error
}

// handle tells the node, unless a later attempt has superseded this one.
func (in dialFailedInput) handle(l *loop) {
	if in.peer != l.dialPeer {
		return
	}
	l.dialPeer = 0
	l.server.log.Debug("cannot connect to parent", "parent", in.address, "error", in.err)
	l.node.DialFailed()
}

// messageInput carries a message from a peer.
type messageInput struct {
	peer    feed.PeerID
	message feed.Message
}

// handle passes the message to the node, unless the connection has been removed.
func (in messageInput) handle(l *loop) {
	conn := l.connections[in.peer]
	if conn == nil { // closed by the node or aborted
		return
	}
	l.removePendingHello(conn)
	l.node.Receive(in.peer, in.message)
}

// lostInput reports the end of a connection.
type lostInput struct {
	peer feed.PeerID
	err  error
}

// handle removes the connection.
func (in lostInput) handle(l *loop) {
	l.lost(in.peer, in.err)
}

// publishInput is a request from Publish.
type publishInput struct {
	kind       feed.Kind
	key, value []byte
	reply      chan publishReply // with a buffer of one, so the loop never blocks
}

// publishReply is the result of a publishInput.
type publishReply struct {
	position feed.Position
	err      error
}

// handle publishes the change. An error is returned at once; the position, once the change is on disk.
func (in *publishInput) handle(l *loop) {
	position, err := l.node.Publish(in.kind, in.key, in.value)
	if err != nil {
		in.reply <- publishReply{err: err}
		return
	}
	l.pendingReplies = append(l.pendingReplies, pendingReply{in.reply, position})
}

// statusInput is a request from Status.
type statusInput struct {
	reply chan feed.Status // with a buffer of one, so the loop never blocks
}

// handle returns the node's status.
func (in statusInput) handle(l *loop) {
	in.reply <- l.node.Status()
}

// closeInput is a request from Close.
type closeInput struct{}

// handle shuts the loop down.
func (closeInput) handle(l *loop) {
	l.shutDown()
}
