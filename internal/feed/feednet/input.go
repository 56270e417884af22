package feednet

import (
	"net"

	"larchthread/internal/feed"
)

// input is something that the loop has to handle.
type input interface {
	handle(l *loop)
}

// discarder is an input that holds a connection, to be closed where the loop ends without handling it.
type discarder interface {
	discard()
}

// acceptedInput is a new connection from a child.
type acceptedInput struct {
	socket net.Conn
}

func (in acceptedInput) handle(l *loop) {
	l.accept(in.socket)
}

func (in acceptedInput) discard() {
	in.socket.Close()
}

// dialledInput is a new connection to a parent. Its reader runs already.
type dialledInput struct {
	conn *connection
}

func (in dialledInput) handle(l *loop) {
	if in.conn.peer != l.dialling { // another attempt has taken its place
		in.conn.abort()
		return
	}
	l.dialling = 0
	l.connections[in.conn.peer] = in.conn
	l.node.PeerOpened(in.conn.peer, true)
}

func (in dialledInput) discard() {
	in.conn.abort()
}

// dialFailedInput is an attempt to connect to a parent that has failed.
type dialFailedInput struct {
	peer    feed.PeerID
	address string
	err     error
}

func (in dialFailedInput) handle(l *loop) {
	if in.peer != l.dialling {
		return
	}
	l.dialling = 0
	l.server.log.Debug("parent not reached", "parent", in.address, "error", in.err)
	l.node.DialFailed()
}

// messageInput is a message from a peer.
type messageInput struct {
	peer    feed.PeerID
	message feed.Message
}

func (in messageInput) handle(l *loop) {
	conn := l.connections[in.peer]
	if conn == nil { // it is being finished
		return
	}
	l.saidHello(conn)
	l.node.Receive(in.peer, in.message)
}

// lostInput is the end of a connection.
type lostInput struct {
	peer feed.PeerID
	err  error
}

func (in lostInput) handle(l *loop) {
	l.lost(in.peer, in.err)
}

// publishInput is a call of Publish.
type publishInput struct {
	kind       feed.Kind
	key, value []byte
	reply      chan publishReply // holds one
}

// publishReply is what a call of Publish returns.
type publishReply struct {
	position feed.Position
	err      error
}

func (in *publishInput) handle(l *loop) {
	position, err := l.node.Publish(in.kind, in.key, in.value)
	if err != nil {
		in.reply <- publishReply{err: err}
		return
	}
	l.replies = append(l.replies, pendingReply{in.reply, position})
}

// statusInput is a call of Status.
type statusInput struct {
	reply chan feed.Status // holds one
}

func (in statusInput) handle(l *loop) {
	in.reply <- l.node.Status()
}

// closeInput is a call of Close.
type closeInput struct{}

func (closeInput) handle(l *loop) {
	l.leave()
}
