// Package httpconn sends live requests to backend servers over pooled HTTP/1.1
// connections, each of which carries one request at a time.
//
//	Acquire --> Conn.Send --> Conn.Receive --> Answer.Body --> Release
//
// No request is resent automatically: if the connection fails, the request is
// reported as not sent if none of its bytes was written, and as lost otherwise.
// Answers are matched to requests by the request ID, not by their order on the
// connection, and a connection with unread bytes is not reused. An answer may have
// no end: heads and skipped answers are limited, and the rest of a body is never
// read to close it.
package httpconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// defaultIdleTime is how long an idle connection is kept if the backend server
	// sends no keep-alive time-out.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the keep-alive time-out of the backend
	// server, because a request takes time to reach it.
	idleMargin = 300 * time.Millisecond
	// maxIdleConns limits the idle connections to one backend server.
	maxIdleConns = 16
)

// Errors of an exchange. Test for them with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrAnswerLost means that the request was sent, at least in part, and its answer
	// did not arrive.
	ErrAnswerLost = errors.New("answer lost")
	// ErrInvalidAnswer means that the received bytes are not an answer to the request.
	ErrInvalidAnswer = errors.New("answer not valid")
)

type (
	// Target identifies an incarnation of a backend server. Connections to an
	// earlier server at the same address are not used for it.
	Target struct {
		Instance mulberryspool.InstanceID
		Born     int64
		Address  string
	}

	// Pool keeps idle connections for reuse. Set the exported fields before the
	// first call.
	Pool struct {
		Clock mulberryspool.Clock
		Dial  func(ctx context.Context, network, address string) (net.Conn, error)
		// HeaderCodec parses the heads of answers.
		HeaderCodec mulberryspool.HeaderCodec
		// OnOpen is called after each new connection is opened; may be nil.
		OnOpen func(Target)

		mu   sync.Mutex
		idle map[Target][]*Conn
	}
)

// Acquire returns an idle connection that is still usable, or opens a new one.
// Idle connections that cannot be used are closed; unless maxIdleTime is 0, so
// are those that were idle for longer than that.
func (p *Pool) Acquire(ctx context.Context, target Target, maxIdleTime time.Duration) (*Conn, error) {
	for {
		c := p.pop(target)
		if c == nil {
			break
		}
		now := p.Clock.Now()
		if now.Before(c.idleUntil) && (maxIdleTime == 0 || now.Sub(c.idleSince) <= maxIdleTime) && c.healthy() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
	return p.Open(ctx, target)
}

// Open opens a new connection. Requests without an ID need one, because Receive can't
// match their answers on a reused connection.
func (p *Pool) Open(ctx context.Context, target Target) (*Conn, error) {
	startedAt := p.Clock.Now()
	netConn, err := p.Dial(ctx, "tcp", target.Address)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	openedAt := p.Clock.Now()
	if p.OnOpen != nil {
		p.OnOpen(target)
	}
	c := newConn(netConn, target, p)
	c.openTook, c.openedAt = openedAt.Sub(startedAt), openedAt
	return c, nil
}

// Replace opens a new connection in place of an idle one, if there is one, so that the server
// has no more connections than before.
func (p *Pool) Replace(ctx context.Context, target Target) (*Conn, error) {
	if c := p.pop(target); c != nil {
		c.close()
	}
	return p.Open(ctx, target)
}

// CloseIdle closes the idle connections to a backend server that no longer
// exists.
func (p *Pool) CloseIdle(target Target) {
	p.mu.Lock()
	idle := p.idle[target]
	delete(p.idle, target)
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			c.close()
		}
	}
}

// pop removes and returns the most recently used idle connection, or nil.
func (p *Pool) pop(target Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[target]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[target] = conns[:len(conns)-1]
	c.expiry.Stop()
	return c
}

// expire closes a connection that is still idle when its idle time has passed. A
// backend server may go on sending on it, and it may never be acquired again.
func (p *Pool) expire(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.target]
	i := slices.Index(conns, c)
	if i < 0 || p.Clock.Now().Before(c.idleUntil) {
		return
	}
	c.close()
	if len(conns) == 1 {
		delete(p.idle, c.target)
		return
	}
	p.idle[c.target] = slices.Delete(conns, i, i+1)
}

// push keeps an idle connection until its idle time has passed, or closes it if
// there are maxIdleConns already.
func (p *Pool) push(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[Target][]*Conn)
	}
	if len(p.idle[c.target]) >= maxIdleConns {
		c.close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
	c.expiry = p.Clock.AfterFunc(p.Clock.Until(c.idleUntil), func() { p.expire(c) })
}

// healthy reports whether an idle connection is still open and has no unread
// bytes, which would belong to no request.
func (c *Conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		healthy = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && healthy
}
