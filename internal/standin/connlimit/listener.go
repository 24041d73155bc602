// Package connlimit is a listener that resets connections beyond a limit, as the platform's
// backend servers do.
//
//	net.Listener --> Listener --> http.Server
//	                    \--> reset, while as many as the limit are open
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

type (
	// Listener accepts a limited number of connections at a time. It is safe for concurrent
	// use.
	Listener struct {
		net.Listener

		// limit is 0 for none.
		limit, open, resets atomic.Int64
	}

	conn struct {
		net.Conn
		listener *Listener
		closed   sync.Once
	}
)

// SetLimit sets how many connections may be open from now on; 0 means any number. Those that
// are open stay so.
func (l *Listener) SetLimit(limit int) { l.limit.Store(int64(limit)) }

// Resets returns how many connections were reset.
func (l *Listener) Resets() int { return int(l.resets.Load()) }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limit := l.limit.Load(); limit == 0 || l.open.Load() < limit {
			l.open.Add(1)
			return &conn{Conn: accepted, listener: l}, nil
		}
		l.resets.Add(1)
		if err := reset(accepted); err != nil {
			return nil, err
		}
	}
}

func reset(c net.Conn) error {
	stream, ok := c.(*net.TCPConn)
	if !ok {
		return errors.Newf("connection of type %T can't be reset", c)
	}
	return errors.Wrap(errors.CombineErrors(stream.SetLinger(0), stream.Close()), "reset connection")
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
