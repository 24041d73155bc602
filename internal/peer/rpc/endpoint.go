// Package rpc implements jsonrpc2 over TCP between the system's own processes.
//
//	Call   --> request  --> peer's Handle --> Message.Reply --> result
//	Notify --> outbound queue --> peer's Handle
//
// Every message carries a hybrid logical clock reading. A connection is closed
// if a write does not finish within the write timeout, so that a peer that has
// stopped reading never blocks the sender.
package rpc

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
)

const (
	// DefaultWriteTimeout limits one write to a connection.
	DefaultWriteTimeout = 5 * time.Second
	// DefaultMessageTimeout is longer than DefaultWriteTimeout, after which a sender gives up.
	DefaultMessageTimeout = 10 * time.Second
	// outboundMessages is the capacity of a connection's queue of replies and
	// notifications.
	outboundMessages = 4096
)

type (
	// Endpoint opens and accepts the connections of one process. Set the exported
	// fields before the first call of Dial or Serve.
	Endpoint struct {
		// Clock is used for the write timeout and for the time of the last message.
		Clock mulberryspool.Clock
		// HLC is the process's hybrid logical clock.
		HLC *hlc.Clock
		// Handle is called for each request and notification, sequentially for each
		// connection. It must not block.
		Handle func(Message)
		// Closed is called once for each connection after it has ended; it may be nil.
		Closed func(*Conn)
		// WriteTimeout is DefaultWriteTimeout when it is 0.
		WriteTimeout time.Duration
		// MaxMessageBytes limits a received message; 0 for no limit. A connection with a longer
		// one is closed.
		MaxMessageBytes uint64
		// Memory is that for messages that are being received; nil for no bound. They wait for
		// it, and each connection for its own message.
		Memory *bodybudget.Budget
		// MessageTimeout limits the time in which a message must arrive, from its length on, and
		// the time for which it may wait for memory; DefaultMessageTimeout when it is 0. The
		// connection is closed then.
		MessageTimeout time.Duration

		traffic traffic
		mu      sync.Mutex
		conns   map[*Conn]struct{}
	}

	// Traffic counts the messages and bytes of an endpoint's connections.
	Traffic struct {
		MessagesIn, MessagesOut int64
		BytesIn, BytesOut       int64
	}

	traffic struct {
		messagesIn, messagesOut, bytesIn, bytesOut atomic.Int64
	}
)

// Traffic returns the counts since the endpoint was created.
func (e *Endpoint) Traffic() Traffic {
	return Traffic{
		MessagesIn:  e.traffic.messagesIn.Load(),
		MessagesOut: e.traffic.messagesOut.Load(),
		BytesIn:     e.traffic.bytesIn.Load(),
		BytesOut:    e.traffic.bytesOut.Load(),
	}
}

// Dial opens a connection to a peer's control address. The context applies to
// the dialling only.
func (e *Endpoint) Dial(ctx context.Context, address string) (*Conn, error) {
	var dialer net.Dialer
	stream, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, mulberryspool.AtStep(err, "dial", address)
	}
	return e.newConn(stream, address), nil
}

// Serve accepts connections until the context ends, then closes the listener
// and all connections of the endpoint.
func (e *Endpoint) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer e.Close()
	for {
		stream, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				stream.Close()
			}
			return nil
		}
		if err != nil {
			return mulberryspool.AtStep(err, "accept connection", listener.Addr().String())
		}
		e.newConn(stream, stream.RemoteAddr().String())
	}
}

// Close closes all connections.
func (e *Endpoint) Close() {
	e.mu.Lock()
	conns := make([]*Conn, 0, len(e.conns))
	for c := range e.conns {
		conns = append(conns, c)
	}
	e.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

func (e *Endpoint) newConn(stream net.Conn, peer string) *Conn {
	c := &Conn{
		peer:     peer,
		endpoint: e,
		outbound: make(chan func(context.Context) error, outboundMessages),
	}
	c.received.Store(e.Clock.Now().UnixNano())
	counted := &countedStream{Conn: stream, conn: c}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	// The handler waits for ready, because the read loop starts before c.rpc is set.
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(c.ctx, jsonrpc2.NewBufferedStream(counted, limitedCodec{
		maxBytes: e.MaxMessageBytes, memory: e.Memory, conn: c, stream: counted, timeout: cmp.Or(e.MessageTimeout, DefaultMessageTimeout),
	}), handler{conn: c, ready: ready},
		jsonrpc2.SetLogger(discardLogger{}))
	close(ready)
	// The connection is registered only now, so that Endpoint.Close does not see
	// one that is incomplete.
	e.mu.Lock()
	if e.conns == nil {
		e.conns = make(map[*Conn]struct{})
	}
	e.conns[c] = struct{}{}
	e.mu.Unlock()
	go c.writeLoop()
	go c.awaitDisconnect()
	return c
}

func (e *Endpoint) writeTimeout() time.Duration {
	if e.WriteTimeout > 0 {
		return e.WriteTimeout
	}
	return DefaultWriteTimeout
}

func (e *Endpoint) remove(c *Conn) {
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
	if e.Closed != nil {
		e.Closed(c)
	}
}

// ErrClosed is returned by calls on a connection that has ended.
var ErrClosed = errors.New("connection closed")
