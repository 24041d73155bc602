package exchange

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// inlineBytes is the size up to which a request is written before its
	// answer is read; a backend server may answer a longer one halfway.
	inlineBytes = 16 << 10
	// readBuffer holds the head of an answer and a few events.
	readBuffer = 4 << 10
	// maxForeign bounds the answers to other requests that are passed over.
	maxForeign = 2
	// maxForeignBytes bounds the body of an answer that is passed over.
	maxForeignBytes = 1 << 20
	// maxHeadBytes bounds what is read for one head.
	maxHeadBytes = 64 << 10
)

type (
	// Conn is a connection that carries one exchange at a time.
	Conn struct {
		target Target
		pool   *Pool
		stream net.Conn
		// limited bounds what the reader may take for a head.
		limited *io.LimitedReader
		reader  *bufio.Reader
		reused  bool
		// spoiled connections are closed after their exchange.
		spoiled bool
		// written is closed when a long request has left; nil for short ones.
		written  chan struct{}
		writeErr error
		// keep is how long the backend server keeps the connection idle; 0 when not said.
		keep      time.Duration
		idleSince time.Time
		idleUntil time.Time
	}

	// Answer is the head of a backend server's answer. The body ends with
	// io.EOF only when it is whole.
	Answer struct {
		*http.Response
		Head mulberryspool.AnswerHead
	}
)

func newConn(stream net.Conn, target Target, pool *Pool) *Conn {
	limited := &io.LimitedReader{R: stream, N: maxHeadBytes}
	return &Conn{target: target, pool: pool, stream: stream, limited: limited, reader: bufio.NewReaderSize(limited, readBuffer)}
}

// Close ends the connection; a backend server then drops the request.
func (c *Conn) Close() { c.stream.Close() }

// Send writes a request. Its end is watched by Receive.
func (c *Conn) Send(head, body []byte, deadline time.Time) error {
	if err := c.stream.SetDeadline(deadline); err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	if len(head)+len(body) > inlineBytes {
		c.written = make(chan struct{})
		go func() {
			defer close(c.written)
			_, c.writeErr = buffers.WriteTo(c.stream)
		}()
		return nil
	}
	sent, err := buffers.WriteTo(c.stream)
	if err != nil && sent == 0 {
		return errors.Mark(err, ErrNotSent)
	}
	if err != nil {
		return errors.Mark(err, ErrLost)
	}
	return nil
}

// Receive reads the head of the answer to the request with the ID. Answers to
// other requests are passed over.
func (c *Conn) Receive(method string, id mulberryspool.RequestID) (*Answer, error) {
	for range maxForeign + 1 {
		c.limited.N = maxHeadBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method}) //nolint:bodyclose // The caller closes it with the answer.
		if err != nil {
			return nil, c.failure(err)
		}
		c.limited.N = 1 << 62
		if response.StatusCode < http.StatusOK {
			continue
		}
		head := c.pool.Dialect.Answer(response.StatusCode, response.Header)
		if head.ID == id || head.ID == "" && (head.NotRun || !c.reused) {
			c.noteKeepAlive(response)
			return &Answer{Response: response, Head: head}, nil
		}
		c.spoiled = true
		read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
		if err != nil || read == maxForeignBytes || response.Close {
			break
		}
	}
	return nil, errors.Mark(errors.Newf("answer belongs to another request than %s", id), ErrInvalid)
}

// failure tells bytes that are no answer from an answer that did not come.
func (c *Conn) failure(err error) error {
	c.spoiled = true
	var timeout net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout) || errors.Is(err, net.ErrClosed) {
		return errors.Mark(errors.Wrap(err, "read answer"), ErrLost)
	}
	return errors.Mark(errors.Wrap(err, "read answer"), ErrInvalid)
}

// Watch ends reads and writes when the context ends. Call the result to stop.
func (c *Conn) Watch(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() {
		// An error means that the connection is closed already.
		_ = c.stream.SetDeadline(time.Unix(1, 0))
	})
}

// SetReadDeadline bounds the wait for the next bytes.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	return c.stream.SetReadDeadline(deadline)
}

// Release keeps the connection if its answer was read to the end and nothing
// is left on it, and closes it otherwise.
func (c *Conn) Release(whole bool) {
	if !whole || c.spoiled || c.reader.Buffered() > 0 || !c.sent() {
		c.Close()
		return
	}
	if c.stream.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.written = nil
	now := c.pool.Clock.Now()
	c.idleSince, c.idleUntil = now, now.Add(cmp.Or(c.keep, defaultIdle))
	c.pool.push(c)
}

// sent says that the whole request has left without an error.
func (c *Conn) sent() bool {
	if c.written == nil {
		return true
	}
	select {
	case <-c.written:
		return c.writeErr == nil
	default:
		return false
	}
}

// noteKeepAlive takes over how long the backend server keeps the connection.
func (c *Conn) noteKeepAlive(response *http.Response) {
	if response.Close {
		c.spoiled = true
	}
	c.keep = 0
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		kept := time.Duration(seconds)*time.Second - idleMargin
		if kept <= 0 {
			c.spoiled = true
			continue
		}
		c.keep = kept
	}
}
