package rpc

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
)

type numbered struct {
	Number int `json:"number"`
}

func newEndpoint() *Endpoint {
	wall := clockwork.NewRealClock()
	return &Endpoint{Clock: wall, HLC: &hlc.Clock{Wall: wall}}
}

func serve(t *testing.T, e *Endpoint) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// Guards against notifications that are delivered out of order, with each other
// or with the reply sent before them.
func TestNotificationsKeepTheirOrder(t *testing.T) {
	const count = 500
	server, client := newEndpoint(), newEndpoint()
	server.Handle = func(m Message) {
		_ = m.Reply(numbered{Number: 7})
		for i := range count {
			_ = m.Conn.Notify("test.number", numbered{Number: i})
		}
	}
	numbers := make(chan int, count)
	client.Handle = func(m Message) {
		var n numbered
		if err := m.Decode(&n); err != nil {
			t.Error(err)
		}
		numbers <- n.Number
	}
	c, err := client.Dial(context.Background(), serve(t, server))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var reply numbered
	if err := c.Call(context.Background(), "test.start", numbered{}, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Number != 7 {
		t.Fatalf("reply is %d, want 7", reply.Number)
	}
	for i := range count {
		if n := <-numbers; n != i {
			t.Fatalf("notification %d arrived in place of %d", n, i)
		}
	}
}

// Guards against a sender that blocks forever on a peer that has stopped reading.
func TestStalledPeerClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := newEndpoint()
	client.WriteTimeout = 50 * time.Millisecond
	c, err := client.Dial(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	large := make([]byte, 1<<20)
	for c.Notify("test.large", large) == nil {
		select {
		case <-c.Done():
			return
		default:
		}
	}
	<-c.Done()
}

// Guards against calls that never return after the peer has closed the
// connection, and against leaked goroutines.
func TestCallEndsWhenConnectionCloses(t *testing.T) {
	defer goleak.VerifyNone(t)
	server, client := newEndpoint(), newEndpoint()
	server.Handle = func(m Message) { m.Conn.Close() }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	c, err := client.Dial(ctx, listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Call(ctx, "test.call", numbered{}, nil); !errors.Is(err, ErrClosed) {
		t.Fatalf("call on a closed connection returned %v, want ErrClosed", err)
	}
	<-c.Done()
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against Endpoint.Close reaching a connection that Dial has not set up
// completely; the race detector reports it.
func TestCloseWhileDialling(t *testing.T) {
	server, client := newEndpoint(), newEndpoint()
	address := serve(t, server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 50 {
			c, err := client.Dial(context.Background(), address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
			client.Close()
		}
	}
}

// Guards against a message that fills the memory of the process that receives it, and against
// a limit that ordinary messages reach.
func TestTooLongMessageEndsConnection(t *testing.T) {
	server, client := newEndpoint(), newEndpoint()
	server.MaxMessageBytes = 2000
	server.Handle = func(m Message) { _ = m.Reply(numbered{Number: 7}) }
	address := serve(t, server)
	c, err := client.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 3 {
		var reply numbered
		if err := c.Call(t.Context(), "test.call", strings.Repeat("m", 1500), &reply); err != nil || reply.Number != 7 {
			t.Fatalf("reply %v, %v", reply, err)
		}
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(binary.AppendUvarint(nil, 2001)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection ended with %v", err)
	}
}
