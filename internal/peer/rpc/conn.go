package rpc

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Conn is a connection to one peer. It is safe for concurrent use.
	Conn struct {
		peer     string
		endpoint *Endpoint
		rpc      *jsonrpc2.Conn
		ctx      context.Context
		cancel   context.CancelFunc
		outbound chan func(context.Context) error
		// received is the time of the last byte from the peer, in Unix nanoseconds.
		received atomic.Int64
	}

	// Message is a request or notification from a peer.
	Message struct {
		// Conn is the connection on which the message arrived.
		Conn   *Conn
		Method string
		params json.RawMessage
		id     jsonrpc2.ID
		// notification is set when no reply is expected.
		notification bool
	}

	// envelope wraps a message body with the sender's clock reading.
	envelope struct {
		Time mulberryspool.Timestamp `json:"time"`
		Body json.RawMessage         `json:"body,omitempty"`
	}

	handler struct {
		conn  *Conn
		ready <-chan struct{}
	}

	countedStream struct {
		net.Conn
		conn *Conn
	}

	// discardLogger drops the log messages of jsonrpc2, which repeat errors that
	// the calls return.
	discardLogger struct{}
)

// Peer returns the remote address.
func (c *Conn) Peer() string {
	return c.peer
}

// LastReceived returns when the last byte from the peer was read.
func (c *Conn) LastReceived() time.Time {
	return time.Unix(0, c.received.Load())
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.ctx.Done()
}

// Close ends the connection.
func (c *Conn) Close() {
	_ = c.rpc.Close()
}

// Call sends a request and decodes the reply into result, which may be nil.
// The context must have a deadline or be cancelled by the caller.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	request, err := c.wrap(params)
	if err != nil {
		return mulberryspool.AtStep(err, method, c.peer)
	}
	c.endpoint.traffic.messagesOut.Add(1)
	var reply envelope
	if err := c.rpc.Call(ctx, method, request, &reply); err != nil {
		if errors.Is(err, jsonrpc2.ErrClosed) {
			err = ErrClosed
		}
		return mulberryspool.AtStep(err, method, c.peer)
	}
	c.endpoint.traffic.messagesIn.Add(1)
	c.endpoint.HLC.Observe(reply.Time)
	if result == nil {
		return nil
	}
	return mulberryspool.AtStep(json.Unmarshal(reply.Body, result), method, c.peer)
}

// Notify queues a notification. Notifications are sent in the order of the
// calls. If the queue is full, the connection is closed.
func (c *Conn) Notify(method string, params any) error {
	body, err := c.wrap(params)
	if err != nil {
		return mulberryspool.AtStep(err, method, c.peer)
	}
	return mulberryspool.AtStep(c.enqueue(func(ctx context.Context) error {
		return c.rpc.Notify(ctx, method, body)
	}), method, c.peer)
}

// Flush waits until all messages queued before it have been written.
func (c *Conn) Flush(ctx context.Context) error {
	written := make(chan struct{})
	err := c.enqueue(func(context.Context) error {
		close(written)
		return nil
	})
	if err != nil {
		return mulberryspool.AtStep(err, "flush", c.peer)
	}
	select {
	case <-written:
		return nil
	case <-c.Done():
		return mulberryspool.AtStep(ErrClosed, "flush", c.peer)
	case <-ctx.Done():
		return mulberryspool.AtStep(ctx.Err(), "flush", c.peer)
	}
}

// Decode decodes the parameters.
func (m Message) Decode(params any) error {
	return mulberryspool.AtStep(json.Unmarshal(m.params, params), m.Method, m.Conn.peer)
}

// Reply queues the result. It is sent in order with the connection's
// notifications. Reply does nothing if the message is a notification.
func (m Message) Reply(result any) error {
	if m.notification {
		return nil
	}
	body, err := m.Conn.wrap(result)
	if err != nil {
		return mulberryspool.AtStep(err, m.Method, m.Conn.peer)
	}
	return mulberryspool.AtStep(m.Conn.enqueue(func(ctx context.Context) error {
		return m.Conn.rpc.Reply(ctx, m.id, body)
	}), m.Method, m.Conn.peer)
}

// ReplyError queues an error as the reply. It does nothing if the message is a
// notification.
func (m Message) ReplyError(code int64, text string) error {
	if m.notification {
		return nil
	}
	return mulberryspool.AtStep(m.Conn.enqueue(func(ctx context.Context) error {
		return m.Conn.rpc.ReplyWithError(ctx, m.id, &jsonrpc2.Error{Code: code, Message: text})
	}), m.Method, m.Conn.peer)
}

func (c *Conn) wrap(body any) (envelope, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return envelope{}, errors.Wrap(err, "encode message")
	}
	return envelope{Time: c.endpoint.HLC.Now(), Body: encoded}, nil
}

func (c *Conn) enqueue(send func(context.Context) error) error {
	if c.ctx.Err() != nil {
		return ErrClosed
	}
	select {
	case c.outbound <- send:
		return nil
	default:
		c.Close()
		return errors.New("outbound queue is full")
	}
}

// writeLoop sends queued messages until the connection ends.
func (c *Conn) writeLoop() {
	for {
		select {
		case send := <-c.outbound:
			c.endpoint.traffic.messagesOut.Add(1)
			if err := send(c.ctx); err != nil {
				c.Close()
				return
			}
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Conn) awaitDisconnect() {
	<-c.rpc.DisconnectNotify()
	c.cancel()
	c.endpoint.remove(c)
}

// Handle passes a request or notification on to the endpoint's handler.
func (h handler) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-h.ready
	h.conn.endpoint.traffic.messagesIn.Add(1)
	message := Message{Conn: h.conn, Method: request.Method, id: request.ID, notification: request.Notif}
	var received envelope
	if request.Params != nil {
		if err := json.Unmarshal(*request.Params, &received); err != nil {
			_ = message.ReplyError(jsonrpc2.CodeInvalidParams, "message has no envelope")
			return
		}
	}
	h.conn.endpoint.HLC.Observe(received.Time)
	message.params = received.Body
	if h.conn.endpoint.Handle == nil {
		_ = message.ReplyError(jsonrpc2.CodeMethodNotFound, "this process takes no requests")
		return
	}
	h.conn.endpoint.Handle(message)
}

func (s *countedStream) Read(buffer []byte) (int, error) {
	n, err := s.Conn.Read(buffer)
	if n > 0 {
		s.conn.received.Store(s.conn.endpoint.Clock.Now().UnixNano())
		s.conn.endpoint.traffic.bytesIn.Add(int64(n))
	}
	return n, err
}

// Write closes the connection on an error such as a timeout: part of a message
// may have been sent, so the stream cannot be continued.
func (s *countedStream) Write(buffer []byte) (int, error) {
	// The deadline is enforced by the operating system, so it is in real time
	// instead of the endpoint's clock.
	if err := s.SetWriteDeadline(time.Now().Add(s.conn.endpoint.writeTimeout())); err != nil {
		return 0, err
	}
	n, err := s.Conn.Write(buffer)
	s.conn.endpoint.traffic.bytesOut.Add(int64(n))
	if err != nil {
		s.Close()
	}
	return n, err
}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
