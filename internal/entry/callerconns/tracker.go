// Package callerconns ends the connections of callers in a planned stop without losing
// requests.
//
//	net.Listener --> Tracker --> http.Server
//	                    ^              |
//	                    \-- Record <---/ state of each connection
//
// The load pattern: callers keep connections and send requests at any moment, also while a
// process stops. The HTTP server itself closes a connection as idle while its next request is
// being read, and serves that request nevertheless; its Shutdown closes connections whose
// request is being read without an answer.
package callerconns

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// headOvertime is how long a head is read on after its time limit, which may have passed
	// while the process had no processor, and the bytes arrived.
	headOvertime = 500 * time.Millisecond
	// quietTime is the time without new connections after which none is expected.
	quietTime = 500 * time.Millisecond
	// drainPollInterval is how often Drain checks whether any connection is left.
	drainPollInterval = 10 * time.Millisecond
)

type (
	// Tracker knows which connections of callers have a request in flight, and closes the
	// others. It is the listener of an HTTP server, whose ConnState is Record. Set the
	// exported fields before the first use. It is safe for concurrent use.
	Tracker struct {
		net.Listener
		Clock mulberryspool.Clock
		// Unanswered is called when a connection has ended after a byte of a request was read
		// and before one of its answer was written; nil for never.
		Unanswered func(Unanswered)
		// NoOvertime is set if the listener around this one decides when a head has taken too
		// long. Otherwise reads continue for a moment after the deadline of a head.
		NoOvertime bool

		mu    sync.Mutex
		conns map[*trackedConn]struct{}
		// lastNew is when the last connection was accepted.
		lastNew time.Time
	}

	// Unanswered is a connection that has ended without an answer to its last request.
	Unanswered struct {
		Caller net.Addr
		// Age is the time since it was accepted.
		Age time.Duration
		// CallerClosed is set if the caller has closed it.
		CallerClosed bool
		// HeadRead is set if the head of the request was read to its end.
		HeadRead bool
		// Err is the error of its last read or write, such as a time-out of the network; nil
		// for none, or if the connection was closed here first.
		Err error
	}

	// trackedConn is a caller's connection.
	trackedConn struct {
		*net.TCPConn
		clock      mulberryspool.Clock
		acceptedAt time.Time

		mu sync.Mutex
		// used is set once a request was answered.
		used bool
		// busy is set from the first byte of a request to the end of its answer.
		busy bool
		// answering is set once a byte of the answer was written.
		answering bool
		// callerClosed is set once the caller is known to have closed the connection.
		callerClosed bool
		// err is the first error that shows the end of the connection.
		err error
		// closing is set before the connection is closed as idle.
		closing bool
		// headRead is set from the end of a request's head to the end of its answer.
		headRead bool
		// overtime is set once the time to wait for the head of the next request, or to read
		// it, was extended; noOvertime is set if it never is.
		overtime, noOvertime bool
	}
)

// errIdleClosed is the error of reads from a connection that was closed as idle.
var errIdleClosed = errors.New("connection was closed while it was idle")

// Accept implements net.Listener.
func (t *Tracker) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	stream, ok := conn.(*net.TCPConn)
	if !ok {
		// Not expected: the listener is one for TCP.
		return conn, nil
	}
	c := &trackedConn{TCPConn: stream, clock: t.Clock, acceptedAt: t.Clock.Now(), noOvertime: t.NoOvertime}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = make(map[*trackedConn]struct{})
	}
	t.conns[c] = struct{}{}
	t.lastNew = c.acceptedAt
	return c, nil
}

// Record is a http.Server.ConnState.
func (t *Tracker) Record(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy, c.answering, c.used, c.headRead, c.overtime = false, false, true, false, false
	case http.StateActive:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.headRead = true
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.busy && !c.answering && t.Unanswered != nil {
			t.Unanswered(Unanswered{Caller: c.RemoteAddr(), Age: c.clock.Since(c.acceptedAt), CallerClosed: c.callerClosed, HeadRead: c.headRead, Err: c.err})
		}
	}
}

// NextBegun marks the connection as one with a request in flight, whose first bytes were read
// before the end of the last answer.
func (c *trackedConn) NextBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
}

func (t *Tracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// Read implements io.Reader.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendHead() {
		n, err = c.TCPConn.Read(buffer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, errIdleClosed
	}
	c.busy = c.busy || n > 0
	c.callerClosed = c.callerClosed || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	c.recordError(err)
	return n, err
}

// Write implements io.Writer.
func (c *trackedConn) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = c.answering || n > 0
	c.callerClosed = c.callerClosed || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	c.recordError(err)
	return n, err
}

// recordError records an error of a read or write. The HTTP server ends reads with a deadline,
// or by closing the connection.
func (c *trackedConn) recordError(err error) {
	if c.err == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.err = err
	}
}

// extendHead extends the time limit of a head, once, and reports whether it did.
func (c *trackedConn) extendHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headRead || c.overtime || c.noOvertime || c.closing {
		return false
	}
	c.overtime = true
	return c.TCPConn.SetReadDeadline(c.clock.Now().Add(headOvertime)) == nil
}

// closeIdle closes the connection unless a byte of a request was read, or the connection
// is new and its first request may be on its way.
func (c *trackedConn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing || !c.used && now.Sub(c.acceptedAt) < quietTime {
		return
	}
	c.closing = true
	// The read that waits for the next request returns with an error.
	_ = c.TCPConn.Close()
}

// list returns the connections.
func (t *Tracker) list() []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*trackedConn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	return conns
}

// CloseIdle closes the connections without a request, but for new ones.
func (t *Tracker) CloseIdle() {
	for _, c := range t.list() {
		c.closeIdle(t.Clock.Now())
	}
}

// Quiet reports whether no request is in flight and no connection was accepted for half a
// second, so that none is expected.
func (t *Tracker) Quiet() bool {
	for _, c := range t.list() {
		if c.isBusy() {
			return false
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Clock.Since(t.lastNew) >= quietTime
}

// Drain waits until no connection is left, at most until endBy, and reports whether that is
// so. It closes connections without a request. The listener must be closed, and Serve of the
// server must have returned, so that all connections are known.
func (t *Tracker) Drain(endBy time.Time) bool {
	for {
		t.CloseIdle()
		if len(t.list()) == 0 {
			return true
		}
		if !t.Clock.Now().Before(endBy) {
			return false
		}
		t.Clock.Sleep(drainPollInterval)
	}
}

func (c *trackedConn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}
