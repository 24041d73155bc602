package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minDiscardTime is how long the rest of a refused body is discarded if its request has
	// no time left.
	minDiscardTime = 500 * time.Millisecond
	// maxContinueTime is how long the first byte of a refused body is awaited whose caller
	// was not told to continue, and may send nothing.
	maxContinueTime = 2 * time.Second
	// maxDiscardTime and maxDiscardBytes limit the rest of a refused body that is discarded.
	maxDiscardTime  = 30 * time.Second
	maxDiscardBytes = 64 << 20
)

// refuseBodyAndClose refuses a request for its body, and closes the connection.
func (q *request) refuseBodyAndClose(status int, kind, code string) {
	q.writer.Header().Set("Connection", "close")
	q.refuseUnread(status, kind, code, 0)
}

// refuseUnread refuses a request whose body was not read to its end. The answer is sent at
// once. The rest of the body is discarded, because a caller that sends all of it before it
// reads the answer would find the connection reset.
func (q *request) refuseUnread(status int, kind, code string, retryAfter time.Duration) {
	q.releaseBodies()
	q.body, q.bodies = nil, nil
	if q.incoming.ContentLength == 0 {
		q.writeError(status, kind, code, retryAfter)
		return
	}
	controller := http.NewResponseController(q.writer)
	// Otherwise, the server reads a part of the body, without a time limit, before it sends
	// the answer. Writers that do not support this, as in tests, have no connection.
	_ = controller.EnableFullDuplex()
	q.writeError(status, kind, code, retryAfter)
	if controller.Flush() != nil || !q.discardBody() {
		// The server would read the next request from inside the body.
		panic(http.ErrAbortHandler)
	}
}

// discardBody reads the rest of the body until its request's deadline, or the last answers of
// a planned stop, and reports whether it has come to its end.
func (q *request) discardBody() bool {
	limit := min(q.head.Deadline, maxDiscardTime)
	if limit <= 0 {
		limit = maxDiscardTime
	}
	now, end, stopped := q.handler.Clock.Now(), q.arrivedAt.Add(limit), q.handler.stopState().answer
	if q.handler.mustAnswer() {
		end, stopped = now, context.Background()
	}
	if shortest := now.Add(minDiscardTime); end.Before(shortest) {
		end = shortest
	}
	if q.incoming.Header.Get("Expect") != "" {
		if err := q.discardBytes(stopped, earlier(now.Add(maxContinueTime), end), 1); err != nil {
			return errors.Is(err, io.EOF)
		}
	}
	return errors.Is(q.discardBytes(stopped, end, maxDiscardBytes), io.EOF)
}

// discardBytes reads so many bytes of the body until ctx ends, and returns io.EOF if it has
// fewer.
func (q *request) discardBytes(ctx context.Context, until time.Time, n int64) error {
	q.setBodyReadDeadline(until)
	inTime := q.limitBodyRead(ctx)
	defer inTime()
	_, err := io.CopyN(io.Discard, q.incoming.Body, n)
	return err
}
