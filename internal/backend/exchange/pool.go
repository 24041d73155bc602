// Package exchange sends live requests to backend servers over connections
// that carry one request at a time.
//
//	Acquire --> Conn.Send --> Conn.Receive --> Answer.Body --> Release
//
// Nothing is sent twice: a request that met a dead connection is reported as
// lost, or as not sent when no byte of it left. An answer belongs to a request
// by its ID, not by its place on the connection, and a connection with
// surplus bytes is not used again.
package exchange

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// defaultIdle is how long an idle connection is kept when the backend
	// server names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that a backend server names, for the
	// way of the request.
	idleMargin = 300 * time.Millisecond
	// maxIdle bounds the idle connections to one backend server.
	maxIdle = 16
)

// Errors of an exchange. Test for them with errors.Is.
var (
	// ErrNotSent says that no byte of the request left.
	ErrNotSent = errors.New("request not sent")
	// ErrLost says that the request left and its answer did not come.
	ErrLost = errors.New("answer lost")
	// ErrInvalid says that what came is not an answer to the request.
	ErrInvalid = errors.New("answer not valid")
)

type (
	// Target is a backend server; connections of an earlier one at the same
	// address are not used for it.
	Target struct {
		Instance mulberryspool.InstanceID
		Born     int64
		Address  string
	}

	// Pool keeps idle connections. Set the exported fields before the first call.
	Pool struct {
		Clock mulberryspool.Clock
		Dial  func(ctx context.Context, network, address string) (net.Conn, error)
		// Dialect reads the heads of answers.
		Dialect mulberryspool.Dialect
		// Opened is called for each new connection; it may be nil.
		Opened func(Target)

		mu   sync.Mutex
		idle map[Target][]*Conn
	}
)

// Acquire returns an idle connection that still looks sound, or a new one.
// With a longest idle time, connections that were idle for longer are passed over.
func (p *Pool) Acquire(ctx context.Context, target Target, longestIdle time.Duration) (*Conn, error) {
	for {
		c := p.pop(target)
		if c == nil {
			break
		}
		now := p.Clock.Now()
		if now.Before(c.idleUntil) && (longestIdle == 0 || now.Sub(c.idleSince) <= longestIdle) && c.quiet() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	stream, err := p.Dial(ctx, "tcp", target.Address)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if p.Opened != nil {
		p.Opened(target)
	}
	return newConn(stream, target, p), nil
}

// Forget closes the idle connections to a backend server that is gone.
func (p *Pool) Forget(target Target) {
	p.mu.Lock()
	idle := p.idle[target]
	delete(p.idle, target)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
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
			c.Close()
		}
	}
}

// pop takes the connection that was used last.
func (p *Pool) pop(target Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[target]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[target] = conns[:len(conns)-1]
	return c
}

func (p *Pool) push(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[Target][]*Conn)
	}
	if len(p.idle[c.target]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// quiet says that the peer neither closed the connection nor sent bytes that
// no request asked for.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	connection, ok := c.stream.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, peeked := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peeked, unix.EAGAIN)
	})
	return err == nil && quiet
}
