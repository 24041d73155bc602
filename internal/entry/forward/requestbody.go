package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/peer/httpguard"
)

const (
	// codeNoMemory is the code of requests that are refused because there is no memory for
	// their bodies.
	codeNoMemory = "noMemory"
	// codeBodyStalled is the code of requests that are refused because hardly any of their
	// bodies arrives.
	codeBodyStalled = "bodyStalled"
	// noMemoryRetryAfter is the Retry-After hint of such a refusal. Bodies are kept until
	// their requests end.
	noMemoryRetryAfter = time.Second
)

// readBody reads the body of the request, which has at most limit bytes, into memory, and
// reports whether the request can be served. If it can't, it has been answered. The body must
// arrive before ctx ends, so that a slow caller does not hold memory for longer.
func (q *request) readBody(ctx context.Context, limit int64) bool {
	length := q.incoming.ContentLength
	if length > limit {
		q.refuseBody(http.StatusRequestEntityTooLarge, typeFailed, "bodyTooLarge", 0)
		return false
	}
	inTime := func() bool { return true }
	if length != 0 {
		inTime = q.limitBodyRead(ctx)
	}
	body, err := q.handler.Bodies.Read(q.incoming.Body, length, limit+1)
	q.bodies = append(q.bodies, body)
	q.body = body.Bytes
	arrivedInTime := inTime()
	switch {
	case errors.Is(err, bodybudget.ErrFull), errors.Is(err, httpguard.ErrNoMemory):
		q.handler.count("bodies_without_memory", q.route.Name, q.pool.Name, "request")
		q.refuseBody(http.StatusServiceUnavailable, typeNotRun, codeNoMemory, q.capRetryAfter(noMemoryRetryAfter))
	case !arrivedInTime && q.handler.mustAnswer():
		q.refuseBody(http.StatusServiceUnavailable, typeNotRun, codeStopping, stoppingRetryAfter)
	case !arrivedInTime:
		q.refuseBody(http.StatusRequestTimeout, typeNotRun, "bodyTooSlow", 0)
	case errors.Is(err, httpguard.ErrNoProgress):
		q.refuseBody(http.StatusRequestTimeout, typeNotRun, codeBodyStalled, 0)
	case err != nil:
		q.handler.Logger.Info().Err(err).Str("requestID", string(q.head.ID)).Msg("caller disconnected before its request was read")
		panic(http.ErrAbortHandler)
	case int64(len(body.Bytes)) > limit:
		q.refuseBody(http.StatusRequestEntityTooLarge, typeFailed, "bodyTooLarge", 0)
	default:
		q.bodyRead = true
		return true
	}
	return false
}

// limitBodyRead makes reads of the body fail when ctx ends. The returned function ends that
// and reports whether ctx has not ended.
func (q *request) limitBodyRead(ctx context.Context) (inTime func() bool) {
	return context.AfterFunc(ctx, func() { q.setBodyReadDeadline(time.Unix(1, 0)) })
}

func (q *request) setBodyReadDeadline(at time.Time) {
	// Writers that support no deadlines, as in tests, have no connection that could stall.
	_ = http.NewResponseController(q.writer).SetReadDeadline(at)
}
