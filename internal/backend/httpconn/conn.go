package httpconn

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// maxInlineBytes is the size up to which Send writes a request
	// synchronously. A longer one is written in the background, because a
	// backend server may answer before it has received all of it.
	maxInlineBytes = 16 << 10
	// readBufferBytes is enough for the head of an answer and a few events.
	readBufferBytes = 4 << 10
	// maxSkippedAnswers limits the answers that Receive skips.
	maxSkippedAnswers = 2
	// maxSkippedBytes limits the body of a skipped answer.
	maxSkippedBytes = 1 << 20
	// answerPrefix is how each answer begins.
	answerPrefix = "HTTP/"
)

type (
	// Conn is a connection to a backend server that carries one request and
	// its answer at a time.
	Conn struct {
		// OnReadTimeout is called when a read has timed out. The read continues if it
		// returns true, for which it must have set a new read deadline; nil for never. It
		// must not be set while a read is in progress.
		OnReadTimeout func() bool

		target  Target
		pool    *Pool
		netConn net.Conn
		// headLimit is the source of reader; it limits the bytes read for a head.
		headLimit *io.LimitedReader
		reader    *bufio.Reader
		// reused is set if the connection has carried a request before.
		reused bool
		// openTook is how long it took to open the connection, until openedAt.
		openTook time.Duration
		openedAt time.Time
		// unusable is set if the connection must be closed after the current request.
		unusable bool
		// interrupted is set once the context of InterruptOnDone is done.
		interrupted atomic.Bool
		// answerRead is set once the answer to the current request was read to its end.
		answerRead bool
		// written is closed when the background write of a long request has ended;
		// it is nil for short requests.
		written  chan struct{}
		writeErr error
		// keepAlive is how long the backend server keeps the connection open while
		// it is idle, less idleMargin; 0 if unknown.
		keepAlive time.Duration
		idleSince time.Time
		idleUntil time.Time
		// expiry closes the connection at idleUntil.
		expiry clockwork.Timer
	}

	// Answer is a backend server's answer with its parsed head. Reading the body
	// returns io.EOF only if the body is complete, and otherwise an error that is
	// marked like those of Receive. Closing the body reads nothing: it closes the
	// connection unless the body was read to its end.
	Answer struct {
		*http.Response
		Head mulberryspool.AnswerHead
	}

	// patientReader reads from the connection. The readers that use it can't continue after an error.
	patientReader struct{ conn *Conn }

	// answerBody is the body of an Answer. It replaces the one of net/http, whose
	// Close reads the rest of the body, however long it is.
	answerBody struct {
		io.Reader
		conn *Conn
		// endsWithConnection is Answer.EndsWithConnection.
		endsWithConnection bool
	}
)

// EndsWithConnection reports whether the body has neither a length nor chunks, so
// that its end is that of the connection.
func (a *Answer) EndsWithConnection() bool {
	return a.Request.Method != http.MethodHead && a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

func newConn(netConn net.Conn, target Target, pool *Pool) *Conn {
	c := &Conn{target: target, pool: pool, netConn: netConn}
	c.headLimit = &io.LimitedReader{R: patientReader{c}, N: mulberryspool.MaxHeadBytes}
	c.reader = bufio.NewReaderSize(c.headLimit, readBufferBytes)
	return c
}

// Read implements io.Reader.
func (r patientReader) Read(buffer []byte) (int, error) {
	c := r.conn
	for {
		n, err := c.netConn.Read(buffer)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.OnReadTimeout == nil || c.interrupted.Load() || !c.OnReadTimeout() {
			return n, err
		}
	}
}

// OpenTook returns how long it took to open the connection; false if it is reused.
func (c *Conn) OpenTook() (time.Duration, bool) {
	return c.openTook, !c.reused
}

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// Abort resets the connection of a request that is given up. Bytes that have not
// reached the backend server are dropped, and it does not mistake the end for that
// of the request only.
func (c *Conn) Abort() {
	if stream, ok := c.netConn.(*net.TCPConn); ok {
		// Fails only if the connection is closed already.
		_ = stream.SetLinger(0)
	}
	c.netConn.Close()
}

// close closes a connection that carries no request.
func (c *Conn) close() { c.netConn.Close() }

// Head returns the request line and the headers of a request.
func Head(method, target, host string, header http.Header) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// Send writes a request. A long one is written in the background; Release closes
// the connection if that write has failed or not ended.
func (c *Conn) Send(head, body []byte, deadline time.Time) error {
	c.answerRead = false
	if err := c.netConn.SetDeadline(deadline); err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	if len(head)+len(body) > maxInlineBytes {
		c.written = make(chan struct{})
		go func() {
			defer close(c.written)
			_, c.writeErr = buffers.WriteTo(c.netConn)
		}()
		return nil
	}
	sent, err := buffers.WriteTo(c.netConn)
	if err != nil && sent == 0 {
		return errors.Mark(err, ErrNotSent)
	}
	if err != nil {
		return errors.Mark(err, ErrAnswerLost)
	}
	return nil
}

// Receive reads the head of the answer to the request with the ID. It skips
// up to maxSkippedAnswers informational answers (1xx) and answers to other requests. An
// answer with a status outside 100 to 599, or 101, is invalid: it is none to any request.
// An answer without an ID is accepted on a new connection only, because on a reused one
// it may belong to an earlier request.
func (c *Conn) Receive(method string, id mulberryspool.RequestID) (*Answer, error) {
	for range maxSkippedAnswers + 1 {
		response, err := c.readHead(method) //nolint:bodyclose // The caller closes it with the answer.
		if err != nil {
			return nil, c.readError(err)
		}
		if !mulberryspool.IsResponseStatus(response.StatusCode) {
			c.unusable = true
			return nil, errors.Mark(errors.Newf("answer has status %03d", response.StatusCode), ErrInvalidAnswer)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		head := c.pool.HeaderCodec.DecodeAnswer(response.StatusCode, response.Header)
		if head.ID == "" && !c.reused || head.ID != "" && head.ID == id {
			c.applyKeepAlive(response)
			c.answerRead = response.Body == http.NoBody
			answer := &Answer{Response: response, Head: head}
			response.Body = &answerBody{Reader: response.Body, conn: c, endsWithConnection: answer.EndsWithConnection()}
			return answer, nil
		}
		c.unusable = true
		if response.Close || response.ContentLength > maxSkippedBytes {
			break
		}
		read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil || read == maxSkippedBytes {
			break
		}
	}
	return nil, errors.Mark(errors.Newf("answer does not belong to request %s", id), ErrInvalidAnswer)
}

// readHead reads at most mulberryspool.MaxHeadBytes. It fails at the first byte that no answer
// begins with, because the rest may never arrive.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.headLimit.N = mulberryspool.MaxHeadBytes
	for n := 1; n <= len(answerPrefix); n++ {
		start, err := c.reader.Peek(n)
		if err != nil {
			return nil, err
		}
		if string(start) != answerPrefix[:n] {
			return nil, errors.Newf("answer begins with %q", start)
		}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil && c.headLimit.N <= 0 {
		return nil, errors.Newf("head of the answer has more than %d bytes", mulberryspool.MaxHeadBytes)
	}
	c.headLimit.N = math.MaxInt64
	return response, err
}

// Read implements io.Reader.
func (b *answerBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		if b.endsWithConnection {
			if writeErr := b.conn.endWrite(); writeErr != nil {
				return n, b.conn.readError(writeErr)
			}
		}
		b.conn.answerRead = true
		return n, err
	}
	if err != nil {
		err = b.conn.readError(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if !b.conn.answerRead {
		b.conn.Abort()
	}
	return nil
}

// readError marks an error of reading an answer: ErrAnswerLost if the connection failed
// or timed out, ErrInvalidAnswer if the received bytes are not an HTTP answer.
func (c *Conn) readError(err error) error {
	c.unusable = true
	var networkErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &networkErr) || errors.Is(err, net.ErrClosed) {
		return errors.Mark(errors.Wrap(err, "read answer"), ErrAnswerLost)
	}
	return errors.Mark(errors.Wrap(err, "read answer"), ErrInvalidAnswer)
}

// InterruptOnDone aborts reads and writes when the context is done. The returned
// function stops watching the context.
func (c *Conn) InterruptOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() {
		c.interrupted.Store(true)
		// SetDeadline only fails if the connection is already closed.
		_ = c.netConn.SetDeadline(time.Unix(1, 0))
	})
}

// SetReadDeadline sets the time at which a read of the next bytes times out. It
// has no effect after an interruption.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	err := c.netConn.SetReadDeadline(deadline)
	// Checked after the call, because the interruption may come at any time.
	if err == nil && c.interrupted.Load() {
		err = c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Release returns the connection to the pool if reusable is set, the answer was
// read to its end and no bytes are left on the connection, and closes it otherwise.
func (c *Conn) Release(reusable bool) {
	if !reusable || !c.answerRead || !c.requestWritten() {
		c.Abort()
		return
	}
	if c.unusable || !c.healthy() || c.netConn.SetDeadline(time.Time{}) != nil {
		c.close()
		return
	}
	c.written = nil
	now := c.pool.Clock.Now()
	c.idleSince, c.idleUntil = now, now.Add(cmp.Or(c.keepAlive, defaultIdleTime))
	c.pool.push(c)
}

// requestWritten reports whether the complete request was written without an error.
func (c *Conn) requestWritten() bool {
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

// endWrite interrupts the background write of a request, after the backend server has closed the
// connection, and returns its error; nil if it had none before. The operating system reports a
// reset to either the write or the read, and the other one gets the end of the connection.
func (c *Conn) endWrite() error {
	if c.written == nil {
		return nil
	}
	// Fails only if the connection is closed, which ends the write as well.
	_ = c.netConn.SetWriteDeadline(time.Unix(1, 0))
	<-c.written
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}

// applyKeepAlive reads from the answer how long the backend server keeps the
// connection open.
func (c *Conn) applyKeepAlive(response *http.Response) {
	if response.Close {
		c.unusable = true
	}
	c.keepAlive = 0
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		keepAlive := time.Duration(seconds)*time.Second - idleMargin
		if keepAlive <= 0 {
			c.unusable = true
			continue
		}
		c.keepAlive = keepAlive
	}
}
