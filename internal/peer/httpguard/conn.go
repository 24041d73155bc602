package httpguard

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxWrite is the size of the parts in which responses are written, so that progress is
	// seen.
	maxWrite = 64 << 10
	// maxIdleWeight is less than half of the weight of a connection that has stalled.
	maxIdleWeight = 1000
	// maxChunkedRead limits a read of a body in chunks. What follows the body is kept.
	maxChunkedRead = 16 << 10
)

type (
	// conn is a guarded connection. Only one read is in progress at a time.
	conn struct {
		net.Conn
		listener *Listener
		guard    *Guard

		mu sync.Mutex
		// framing is that of the bytes that were received.
		framing framing
		// buffer holds what was received and not passed on, from the beginning of a head or in
		// a body. Of a head, scanned bytes were looked at, and given bytes passed on.
		buffer         []byte
		scanned, given int
		// headEnd is the length of the complete head in buffer; 0 for none.
		headEnd int
		// inRequest is set from the end of a request's head to the end of its response.
		inRequest bool
		// used is set once a request was answered.
		used bool
		// changedAt is when inRequest was changed, or the connection accepted.
		changedAt time.Time
		// headAt is when the first byte of a head arrived; zero if none has.
		headAt time.Time
		// received counts the bytes, bodyRead those of the body, and heldBody is its announced
		// length, if that is larger.
		received, heldBody, bodyRead int64
		// reading is set while a read waits, since when the caller has sent fewer than
		// progressBytes after receivedMark.
		reading      bool
		receivedAt   time.Time
		receivedMark int64
		// writing is set while a write waits, with so many pending bytes, since when the caller
		// has taken fewer than progressBytes after takenMark, which is -1 if it isn't known.
		writing          bool
		pending, written int64
		takenAt          time.Time
		takenMark        int64
		// overdueSince is when a sweep first found the connection past a time limit.
		overdueSince time.Time
		// reserved is the part of the budget that the connection and its head take.
		reserved int64
		// failed is why the connection is being closed, or nil. idleFailed is set if it was idle
		// then.
		failed     error
		idleFailed bool
		// refused is set once a request whose head was not passed on was answered.
		refused, closed bool
	}

	// resumer is a connection that wants to know of a request whose first bytes were read
	// before the end of the last response.
	resumer interface{ NextBegun() }
)

// Read implements io.Reader. Bytes of a head are returned when it is complete, except for the
// first one while a response is in progress, by which net/http sees that the caller is there.
func (c *conn) Read(p []byte) (int, error) {
	if c.listener.raw {
		return c.readRaw(p)
	}
	if len(p) == 0 {
		return 0, nil
	}
	for {
		n, limit, ok := c.take(p)
		if n > 0 {
			return n, nil
		}
		if !ok {
			if c.resume() {
				continue
			}
			return 0, c.cause(nil)
		}
		c.beginRead()
		n, err := c.Conn.Read(p[:limit])
		if n = c.put(p[:n]); n > 0 {
			return n, nil
		}
		if err != nil {
			if c.resume() {
				continue
			}
			return 0, c.cause(err)
		}
	}
}

// readRaw reads from a connection that doesn't carry HTTP.
func (c *conn) readRaw(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = c.inRequest || n > 0
	return n, err
}

// beginRead begins a period in which the caller must send a part of a body.
func (c *conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	if c.receivedAt.Before(c.changedAt) {
		c.receivedAt, c.receivedMark = c.guard.Clock.Now(), c.received
	}
}

// cause returns the error of a read of a connection that is being closed.
func (c *conn) cause(err error) error {
	c.mu.Lock()
	failed, refuses := c.failed, !c.inRequest && !c.headAt.IsZero() && !c.refused
	c.refused = c.refused || refuses
	c.mu.Unlock()
	if failed == nil {
		return err
	}
	if refuses {
		c.refuse(failed)
	}
	return readError(failed)
}

// resume reports whether a request has arrived on a connection that is being closed because it was
// idle, and makes it be served. The process may have had no processor since it arrived.
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleFailed || c.closed || c.headAt.IsZero() && !c.arrived() {
		return false
	}
	c.failed, c.idleFailed, c.overdueSince = nil, false, time.Time{}
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	c.guard.Metrics.Tagged(map[string]string{"listener": c.listener.name}).Counter("guarded_connections_resumed").Inc(1)
	return true
}

// arrived reports whether bytes have arrived that were not read.
func (c *conn) arrived() bool {
	arrived := false
	c.control(func(descriptor int) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(descriptor, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		arrived = err == nil && n > 0
	})
	return arrived
}

// control calls a function with the descriptor of the connection, if it has one.
func (c *conn) control(call func(descriptor int)) {
	stream, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := stream.SyscallConn()
	if err != nil {
		return
	}
	// Fails only if the connection is closed.
	_ = raw.Control(func(descriptor uintptr) { call(int(descriptor)) })
}

// readError returns an error after which net/http writes nothing.
func readError(cause error) error { return &net.OpError{Op: "read", Net: "tcp", Err: cause} }

// take passes on what was received before. It returns how many bytes, or up to how many may be
// read from the network, and false if the connection is being closed.
func (c *conn) take(p []byte) (n, limit int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if !c.inRequest && c.framing.part == partHead && c.headEnd == 0 && c.scanned < len(c.buffer) {
			c.scanHead()
		}
		switch {
		case c.failed != nil:
			return 0, 0, false
		case c.headEnd > 0:
			n := copy(p, c.buffer[c.given:c.headEnd])
			c.given += n
			if c.given == c.headEnd {
				c.beginBody()
			}
			if n > 0 {
				return n, 0, true
			}
		case c.framing.part != partHead && len(c.buffer) > 0:
			data := c.buffer[:min(len(p), len(c.buffer))]
			n := c.scanBody(data)
			copy(p, data[:n])
			c.keep(c.buffer[n:])
			return n, 0, true
		case c.framing.part == partLength:
			// What follows the body belongs to the next head.
			return 0, int(min(int64(len(p)), c.framing.left)), true
		case c.framing.part != partHead:
			return 0, min(len(p), maxChunkedRead), true
		case c.inRequest && c.given < len(c.buffer):
			p[0] = c.buffer[c.given]
			c.given++
			return 1, 0, true
		default:
			return 0, len(p), true
		}
	}
}

// put handles bytes from the network, and returns how many of them are passed on.
func (c *conn) put(data []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if len(data) == 0 {
		return 0
	}
	c.received += int64(len(data))
	if c.received-c.receivedMark >= progressBytes {
		c.receivedAt, c.receivedMark = c.guard.Clock.Now(), c.received
	}
	n := 0
	if c.framing.part != partHead {
		n = c.scanBody(data)
	}
	if n < len(data) {
		c.beginHead()
		c.buffer = append(c.buffer, data[n:]...)
	}
	return n
}

// scanBody returns how many of the bytes belong to the body.
func (c *conn) scanBody(data []byte) int {
	n, _ := c.framing.scanBody(data)
	c.heldBody = max(c.heldBody, c.bodyRead+int64(n))
	c.bodyRead += int64(n)
	return n
}

// keep replaces the buffer by a part of it that begins a head, or is in a body.
func (c *conn) keep(rest []byte) {
	c.buffer, c.scanned, c.given = nil, 0, 0
	if len(rest) > 0 {
		c.buffer = bytes.Clone(rest)
		c.beginHead()
	}
}

// beginHead records the arrival of a head's first byte.
func (c *conn) beginHead() {
	if c.framing.part == partHead && c.headAt.IsZero() {
		c.headAt = c.guard.Clock.Now()
	}
}

// scanHead looks for the end of the head. It sets failed if the head is too large, or doesn't
// fit into the budget.
func (c *conn) scanHead() {
	n, ended := c.framing.scanHead(c.buffer[c.scanned:])
	c.scanned += n
	if int64(c.scanned) > c.listener.limits.Load().MaxHeadBytes+headSlack {
		c.setFailed(errHeadTooLarge)
		return
	}
	need := int64(c.scanned / reserveStep * reserveStep)
	if ended {
		need = int64(c.scanned + c.framing.lines*lineBytes)
	}
	if more := connBytes + need - c.reserved; more > 0 {
		held := c.reserved - connBytes
		// Connections are closed to make room, which locks them.
		c.mu.Unlock()
		fits := c.guard.Budget.Reserve(held, more)
		c.mu.Lock()
		if !fits {
			c.setFailed(ErrNoMemory)
			return
		}
		c.reserved += more
		if c.closed {
			c.release(0)
		}
	}
	if ended {
		c.headEnd = c.scanned
	}
}

// setFailed makes all further reads fail.
func (c *conn) setFailed(cause error) {
	if c.failed == nil {
		c.failed = cause
		c.guard.note(c, cause)
	}
}

// beginBody follows a head that was passed on.
func (c *conn) beginBody() {
	head, rest := c.buffer[:c.headEnd], c.buffer[c.headEnd:]
	if c.framing.lines > 0 {
		// The server's state follows when it has parsed the head.
		c.setInRequest(true)
	}
	c.heldBody, c.bodyRead = max(0, c.framing.beginBody(head)), 0
	c.headEnd, c.headAt = 0, time.Time{}
	c.keep(rest)
}

// refuse answers a request whose head was not passed on, and reads on for a moment unless the
// connection has to make room.
func (c *conn) refuse(cause error) {
	status := map[error]int{errHeadTooLarge: http.StatusRequestHeaderFieldsTooLarge, errHeadTooSlow: http.StatusRequestTimeout}[cause]
	header := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	if status == 0 {
		status = http.StatusServiceUnavailable
		if c.guard.SetRefusal != nil {
			c.guard.SetRefusal(header, refusalRetryAfter)
		}
	}
	var response bytes.Buffer
	response.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = header.Write(&response)
	response.WriteString("\r\n")
	c.mu.Lock()
	c.buffer = nil
	c.release(connBytes)
	c.mu.Unlock()
	// Real time, because the operating system enforces it.
	if c.Conn.SetDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, err := c.Conn.Write(response.Bytes())
	if err != nil || errors.Is(cause, ErrNoMemory) || errors.Is(cause, errDescriptors) || c.CloseWrite() != nil {
		// Others need what the connection takes.
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	total := 0
	var err error
	for total < len(p) && err == nil {
		c.beginWrite(len(p)-total, total == 0)
		var n int
		n, err = c.Conn.Write(p[total:min(len(p), total+maxWrite)])
		total += n
		c.endWrite(n)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.failed != nil {
		err = &net.OpError{Op: "write", Net: "tcp", Err: c.failed}
	}
	return total, err
}

// beginWrite begins a period in which the caller must take a part of a response.
func (c *conn) beginWrite(pending int, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.pending = true, int64(pending)
	if first {
		c.takenAt, c.takenMark = c.guard.Clock.Now(), -1
	}
}

func (c *conn) endWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.pending = false, 0
	c.written += int64(n)
}

// sinceTaken returns how long the caller has taken next to nothing of a response that is being
// written.
func (c *conn) sinceTaken(now time.Time) time.Duration {
	taken := c.written - int64(c.unsent())
	switch {
	case c.takenMark == -1:
		c.takenMark = taken
	case taken-c.takenMark >= progressBytes:
		c.takenAt, c.takenMark = now, taken
	}
	return now.Sub(c.takenAt)
}

// unsent returns how many bytes the operating system holds that the caller's has not
// acknowledged.
func (c *conn) unsent() (n int) {
	c.control(func(descriptor int) {
		if queued, err := unix.IoctlGetInt(descriptor, unix.TIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// record is a http.Server.ConnState.
func (c *conn) record(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.setInRequest(true)
	case http.StateIdle:
		c.setInRequest(false)
		c.used, c.heldBody = true, 0
		c.release(connBytes)
		if len(c.buffer) > 0 {
			c.headAt = c.changedAt
			if next, ok := c.Conn.(resumer); ok {
				next.NextBegun()
			}
		}
	case http.StateClosed, http.StateHijacked:
		c.end()
	}
}

func (c *conn) setInRequest(inRequest bool) {
	c.inRequest, c.changedAt, c.overdueSince = inRequest, c.guard.Clock.Now(), time.Time{}
}

// release returns all but a part of what is reserved.
func (c *conn) release(kept int64) {
	if c.reserved > kept {
		c.guard.Budget.Release(c.reserved - kept)
		c.reserved = kept
	}
}

// end forgets the connection.
func (c *conn) end() {
	c.closed, c.buffer = true, nil
	c.release(0)
	c.guard.remove(c)
}

// Close implements io.Closer.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	return err
}

// CloseWrite ends what is sent to the caller.
func (c *conn) CloseWrite() error {
	if stream, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return stream.CloseWrite()
	}
	return errors.New("connection can't be closed in one direction")
}

// SetLinger implements the method of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if stream, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return stream.SetLinger(seconds)
	}
	return errors.New("connection has no linger time")
}

// SetReadDeadline implements net.Conn. A connection that is being closed keeps a past one.
func (c *conn) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.failed != nil {
		err = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// fail begins to close the connection, and reports whether it does. A request whose body is
// being read is answered by its handler.
func (c *conn) fail(cause error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || c.closed {
		return false
	}
	c.setFailed(cause)
	switch {
	case c.writing:
		// What the operating system holds of the response is dropped.
		_ = c.SetLinger(0)
		_ = c.Conn.Close()
	case c.listener.raw:
		_ = c.Conn.Close()
	default:
		// The read in progress ends, and the request is refused, if there is one. Fails only if
		// the connection is closed already.
		c.idleFailed = c.headAt.IsZero() && !c.inRequest
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return true
}

// overdue returns why the connection has to be closed, or nil.
func (c *conn) overdue(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	cause := c.pastLimit(now)
	if cause == nil {
		c.overdueSince = time.Time{}
		return nil
	}
	if c.overdueSince.IsZero() {
		c.overdueSince = now
	}
	if now.Sub(c.overdueSince) < overtime {
		return nil
	}
	return cause
}

// pastLimit returns the time limit that the connection is past, or nil.
func (c *conn) pastLimit(now time.Time) error {
	limits := c.listener.limits.Load()
	switch {
	case c.failed != nil || c.closed || c.listener.raw:
		return nil
	case c.writing:
		if c.sinceTaken(now) > progressTimeout {
			return errUnread
		}
	case c.inRequest:
		if c.reading && c.framing.part != partHead && now.Sub(c.receivedAt) > progressTimeout {
			return ErrNoProgress
		}
	case c.headAt.IsZero():
		if now.Sub(c.changedAt) > limits.IdleTimeout {
			return errIdle
		}
	case now.Sub(c.headAt) > limits.HeadTimeout:
		return errHeadTooSlow
	}
	return nil
}

// weight is how much the connection holds, times how long it has made no progress; 0 if it must
// not be closed in favor of another one.
func (c *conn) weight(now time.Time, cause error) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || c.closed {
		return 0
	}
	stalled, idle := time.Duration(0), time.Duration(0)
	switch {
	case c.listener.raw:
		if !c.inRequest {
			idle = now.Sub(c.changedAt)
		}
	case c.writing:
		stalled = c.sinceTaken(now)
	case c.inRequest:
		if c.reading && c.framing.part != partHead {
			stalled = now.Sub(c.receivedAt)
		}
	case c.headAt.IsZero():
		idle = now.Sub(c.changedAt)
	default:
		stalled = now.Sub(c.headAt)
	}
	if stalled >= minStall {
		return float64(c.reserved+c.heldBody+c.pending) * stalled.Seconds()
	}
	// Both are less than the weight of any connection that has stalled. A caller that opens a
	// connection sends its request at once, but may still use one again that it has used.
	switch {
	case !errors.Is(cause, errDescriptors):
	case !c.used && idle >= minStall:
		return maxIdleWeight + min(idle.Seconds(), maxIdleWeight)
	case idle >= minIdle:
		return min(idle.Seconds(), maxIdleWeight)
	}
	return 0
}
