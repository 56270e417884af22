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

// lossNoter notes that a connection has been lost.
type lossNoter struct {
	loss chan error
}

func (n lossNoter) received(feed.PeerID, feed.Message) {}

func (n lossNoter) lost(_ feed.PeerID, err error) { n.loss <- err }

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

// A peer that does not read is disconnected once too much waits for it. Nothing waits for it until then.
func TestPeerThatDoesNotRead(t *testing.T) {
	near, _ := connectedPair(t)
	conn := newConnection(1, near, false)
	noter := lossNoter{make(chan error, 1)}
	go conn.read(noter)
	const frameSize, most = 32 << 10, 64 << 20
	sent := 0
	for conn.send(make([]byte, frameSize)) {
		if sent += frameSize; sent > most {
			t.Fatalf("%d bytes were taken for a peer that does not read", sent)
		}
	}
	select {
	case <-noter.loss:
	case <-time.After(waitLimit):
		t.Fatal("the connection goes on")
	}
}

// What was queued before a connection is finished arrives, then its end.
func TestFinish(t *testing.T) {
	near, far := connectedPair(t)
	conn := newConnection(1, near, false)
	noter := lossNoter{make(chan error, 1)}
	go conn.read(noter)
	const frames, frameSize = 100, 5000
	for range frames {
		conn.send(make([]byte, frameSize))
	}
	conn.finish()
	conn.send([]byte("too late"))
	got, err := io.ReadAll(far)
	if err != nil || len(got) != frames*frameSize {
		t.Errorf("%d bytes and %v, want %d", len(got), err, frames*frameSize)
	}
	far.Close()
	select {
	case <-noter.loss:
	case <-time.After(waitLimit):
		t.Fatal("the connection goes on")
	}
}

// dialRaw connects without a node.
func dialRaw(t *testing.T, address string) net.Conn {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	if err := socket.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	return socket
}

// isClosed waits until the other end has closed a connection.
func isClosed(socket net.Conn) bool {
	_, err := io.Copy(io.Discard, socket)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// Connections that say nothing keep nobody out: the oldest go as new ones come, the rest after a while.
func TestSilentConnections(t *testing.T) {
	publisher := startPublisher(t)
	var silent []net.Conn
	for range 2 * maxPending {
		silent = append(silent, dialRaw(t, publisher.Address()))
	}
	startFollower(t, "f", publisher.Address())
	for _, socket := range silent {
		if !isClosed(socket) {
			t.Fatal("a connection that says nothing stays open")
		}
	}
	waitFor(t, "one child is left", func() bool { return publisher.Status().Children == 1 })
}

// What can't be read as messages ends its connection, and nothing else.
func TestSpoiltInput(t *testing.T) {
	publisher := startPublisher(t)
	hello := feed.Encode(feed.Hello{Version: feed.Version, Cluster: "test", ID: "raw", Role: feed.Subscriber,
		Positions: make([]feed.Position, 2)})
	wrongSum := append([]byte(nil), hello...)
	wrongSum[len(wrongSum)-1] ^= 1
	for name, text := range map[string][]byte{
		"an HTTP request":      []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"a frame that is long": binary.AppendUvarint(nil, childFrameLimit+1),
		"the longest number":   binary.AppendUvarint(nil, 1<<63),
		"a wrong checksum":     wrongSum,
		"a hello cut off":      hello[:len(hello)/2],
		"a ping first":         feed.Encode(feed.Ping{Stamp: 1}),
	} {
		socket := dialRaw(t, publisher.Address())
		if _, err := socket.Write(text); err != nil {
			t.Fatal(name, err)
		}
		if !isClosed(socket) {
			t.Errorf("%s: its connection stays open", name)
		}
	}
	startFollower(t, "f", publisher.Address())
}
