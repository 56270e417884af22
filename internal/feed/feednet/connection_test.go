package feednet

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"larchthread/internal/feed"
)

// lossRecorder is a connectionHandler that records the end of a connection.
type lossRecorder struct {
	loss chan error
}

func (n lossRecorder) received(feed.PeerID, feed.Message) {}

func (n lossRecorder) lost(_ feed.PeerID, err error) { n.loss <- err }

// connectedPair returns the two ends of a TCP connection.
func connectedPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	far, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// A peer that does not read must be disconnected once its queue is full; sending to it must not block.
func TestPeerThatDoesNotRead(t *testing.T) {
	near, _ := connectedPair(t)
	conn := newConnection(1, near, false)
	recorder := lossRecorder{make(chan error, 1)}
	go conn.read(recorder)
	const frameSize, maxSent = 32 << 10, 64 << 20
	sent := 0
	for conn.send(make([]byte, frameSize)) {
		if sent += frameSize; sent > maxSent {
			t.Fatalf("%d bytes accepted for a peer that does not read", sent)
		}
	}
	select {
	case <-recorder.loss:
	case <-time.After(waitTimeout):
		t.Fatal("the connection goes on")
	}
}

// Frames queued before a graceful close must arrive, followed by the end of the stream.
func TestFinish(t *testing.T) {
	near, far := connectedPair(t)
	conn := newConnection(1, near, false)
	recorder := lossRecorder{make(chan error, 1)}
	go conn.read(recorder)
	const frames, frameSize = 100, 5000
	for range frames {
		conn.send(make([]byte, frameSize))
	}
	conn.closeGracefully()
	conn.send([]byte("too late"))
	got, err := io.ReadAll(far)
	if err != nil || len(got) != frames*frameSize {
		t.Errorf("%d bytes and %v, want %d", len(got), err, frames*frameSize)
	}
	far.Close()
	select {
	case <-recorder.loss:
	case <-time.After(waitTimeout):
		t.Fatal("the connection goes on")
	}
}

// dialSocket opens a TCP connection without a node behind it.
func dialSocket(t *testing.T, address string) net.Conn {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	if err := socket.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return socket
}

// waitClosed waits until the peer has closed the connection. It returns false if the socket's deadline passes first.
func waitClosed(socket net.Conn) bool {
	_, err := io.Copy(io.Discard, socket)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// Connections without a hello must not keep others out: the oldest are closed for new ones, the rest after a timeout.
func TestSilentConnections(t *testing.T) {
	publisher := startPublisher(t)
	var silent []net.Conn
	for range 2 * maxPendingHellos {
		silent = append(silent, dialSocket(t, publisher.Address()))
	}
	startSubscriber(t, "f", publisher.Address())
	for _, socket := range silent {
		if !waitClosed(socket) {
			t.Fatal("a connection without a hello stays open")
		}
	}
	waitFor(t, "only one child to remain", func() bool { return publisher.Status().Children == 1 })
}

// Malformed input must end its own connection only.
func TestMalformedInput(t *testing.T) {
	publisher := startPublisher(t)
	hello := feed.Encode(feed.Hello{Version: feed.Version, Cluster: "test", ID: "raw", Role: feed.Subscriber,
		Positions: make([]feed.Position, 2)})
	wrongChecksum := append([]byte(nil), hello...)
	wrongChecksum[len(wrongChecksum)-1] ^= 1
	for name, text := range map[string][]byte{
		"an HTTP request":    []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"an oversized frame": binary.AppendUvarint(nil, maxChildFrameSize+1),
		"the largest length": binary.AppendUvarint(nil, 1<<63),
		"a wrong checksum":   wrongChecksum,
		"a truncated hello":  hello[:len(hello)/2],
		"a ping first":       feed.Encode(feed.Ping{Stamp: 1}),
	} {
		socket := dialSocket(t, publisher.Address())
		if _, err := socket.Write(text); err != nil {
			t.Fatal(name, err)
		}
		if !waitClosed(socket) {
			t.Errorf("%s: the connection stays open", name)
		}
	}
	startSubscriber(t, "f", publisher.Address())
}
