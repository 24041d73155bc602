// Package endless is a server for tests whose response never ends.
//
//	request --> Head --> Unit --> Unit --> ... until the peer closes the connection
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// blockBytes is the size of a write without an interval.
	blockBytes = 16 << 10
	// writeBufferBytes keeps the bytes that the kernel has accepted, but the peer
	// has not read, few.
	writeBufferBytes = 16 << 10
	// closeTimeout limits the wait for the peer to close a connection.
	closeTimeout = 10 * time.Second
)

type (
	// Response is what the server sends. With the zero value, it sends Next at once.
	Response struct {
		// Head is sent once.
		Head string
		// Unit is sent repeatedly after Head.
		Unit string
		// Interval is the time between two units; 0 for as fast as possible.
		Interval time.Duration
	}

	// Server sends the endless response to the first request, on whichever of its
	// addresses it arrives, and Next to all further ones.
	Server struct {
		// Next is a complete response. If it is empty, all responses are endless.
		Next string

		response atomic.Pointer[Response]
		requests atomic.Int32
		conns    atomic.Int32
		written  atomic.Int64
		closed   chan struct{}
	}
)

// New returns a server that has no address yet.
func New(response Response, next string) *Server {
	// Each closed connection sends one value; tests open far fewer.
	s := &Server{Next: next, closed: make(chan struct{}, 64)}
	s.response.Store(&response)
	return s
}

// Restart makes the server send an endless response to the next request, and starts
// the counts anew. The previous one must have been cut off.
func (s *Server) Restart(response Response) {
	s.response.Store(&response)
	s.requests.Store(0)
	s.conns.Store(0)
	s.written.Store(0)
}

// Listen returns a new address of the server, which it serves until the end of
// the test.
func (s *Server) Listen(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Requests returns the number of requests that the server has received.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Conns returns the number of connections that the server has accepted.
func (s *Server) Conns() int { return int(s.conns.Load()) }

// Written returns the number of bytes of endless responses that were sent.
func (s *Server) Written() int64 { return s.written.Load() }

// AwaitWritten waits until at least n bytes of endless responses were sent.
func (s *Server) AwaitWritten(t testing.TB, n int64) {
	t.Helper()
	for end := time.Now().Add(closeTimeout); s.Written() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes were sent, want %d", s.Written(), n)
		}
	}
}

// AwaitClosed waits until the peer has closed a connection with an endless
// response.
func (s *Server) AwaitClosed(t testing.TB) {
	t.Helper()
	select {
	case <-s.closed:
	case <-time.After(closeTimeout):
		t.Errorf("connection was not closed, %d bytes were sent", s.Written())
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	if stream, ok := conn.(*net.TCPConn); ok {
		// Larger buffers only make the limits of the tests less strict.
		_ = stream.SetWriteBuffer(writeBufferBytes)
	}
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response := s.response.Load()
		if first := s.requests.Add(1) == 1; response.Unit != "" && (first || s.Next == "") {
			s.send(conn, *response)
			return
		}
		if _, err := io.WriteString(conn, s.Next); err != nil {
			return
		}
	}
}

// send sends the endless response until the peer closes the connection.
func (s *Server) send(conn net.Conn, response Response) {
	defer func() { s.closed <- struct{}{} }()
	unit := response.Unit
	if response.Interval == 0 {
		unit = strings.Repeat(unit, 1+blockBytes/len(unit))
	}
	block := []byte(unit)
	next := []byte(response.Head)
	for {
		n, err := conn.Write(next)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
		next = block
		if response.Interval > 0 {
			time.Sleep(response.Interval)
		}
	}
}
