package forward

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

// partBytes is the size of the parts in which a long response is passed on.
const partBytes = 32 << 10

// stallReader reads a body that must begin within the attempt's read timeout.
type stallReader struct {
	*attempt
	body io.Reader
	// renew allows the read timeout again after each part of the body. Without
	// it, the whole body must arrive within the timeout.
	renew   bool
	started bool
}

// bufferResponse reads a response to its end before any of it is sent to the
// caller, so that the request can still be retried if the response breaks off.
func (a *attempt) bufferResponse(response *httpconn.Answer) (attemptResult, placement.Outcome) {
	succeeded := response.StatusCode < http.StatusMultipleChoices
	body, err := a.handler.Bodies.Read(&stallReader{attempt: a, body: response.Body, renew: succeeded}, response.ContentLength, maxBufferedBytes)
	a.bodies = append(a.bodies, body)
	full := errors.Is(err, bodybudget.ErrFull)
	if err != nil && !full {
		body.Release()
		return a.handleLost(errors.Wrap(err, "read body"))
	}
	if full {
		a.handler.count("bodies_without_memory", a.route.Name, a.pool.Name, "answer")
	}
	if full || len(body.Bytes) == maxBufferedBytes {
		if !succeeded {
			err := errors.Newf("body of the response with status %d has more than %d bytes, or there is no memory for it", response.StatusCode, maxBufferedBytes)
			return a.handleLost(errors.Mark(err, httpconn.ErrInvalidAnswer))
		}
		return a.relayOversized(response, body.Bytes)
	}
	if err := a.checkUnframedEnd(response); err != nil {
		body.Release()
		return a.handleLost(err)
	}
	a.complete, a.promptRead = true, true
	if succeeded {
		a.exchange.Complete()
	}
	a.logOutdatedStart(response, a.handler.Clock.Now())
	a.handler.Scheduler.RecordFirstEvent(a.pool.Name, a.decision.Server.Instance, a.head.PromptTokens)
	if isPromise(response.StatusCode) && !a.retryable() {
		a.err = errors.Newf("backend server responded with status %d, but not that it did not run the request", response.StatusCode)
		a.logFailed("unmarked" + strconv.Itoa(response.StatusCode))
		return resultUnknown, placement.Failed
	}
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body.Bytes}
	if response.StatusCode >= http.StatusInternalServerError {
		a.serverError = buffered
		a.err = errors.Newf("backend server responded with status %d", response.StatusCode)
		a.logFailed("failed" + strconv.Itoa(response.StatusCode))
		return resultServerError, placement.Failed
	}
	a.buffered = buffered
	return resultFinished, placement.Answered
}

// relayOversized passes a response on that can't be buffered. If it breaks off or has no
// end, the caller's connection is aborted.
func (a *attempt) relayOversized(response *httpconn.Answer, prefix []byte) (attemptResult, placement.Outcome) {
	if err := a.setReadDeadline(a.deadline); err != nil {
		return a.handleLost(err)
	}
	var err error
	// The head alone does not show that the body arrives.
	if len(prefix) > 0 {
		err = a.post(message{kind: messagePart, response: response, data: prefix})
		a.posted = true
	}
	for err == nil {
		part := make([]byte, partBytes)
		var n int
		if n, err = response.Body.Read(part); n > 0 {
			if postErr := a.post(message{kind: messagePart, response: response, data: part[:n]}); postErr != nil {
				err = postErr
			}
			a.posted = true
		}
	}
	if errors.Is(err, io.EOF) {
		err = a.checkUnframedEnd(response)
	}
	switch {
	case err != nil && !a.posted:
		return a.handleLost(err)
	case err != nil:
		a.err = err
		return resultBrokenOff, a.attributeOutcome(placement.Broken)
	case !a.posted:
		a.buffered = &bufferedResponse{status: response.StatusCode, header: response.Header}
	}
	a.complete = true
	a.exchange.Complete()
	return resultFinished, placement.Answered
}

// Read implements io.Reader.
func (r *stallReader) Read(buffer []byte) (int, error) {
	if r.renew || !r.started {
		r.started = true
		if err := r.setReadDeadline(r.nextSilence()); err != nil {
			return 0, err
		}
	}
	n, err := r.body.Read(buffer)
	if n > 0 {
		r.recordReceived(r.handler.Clock.Now())
		r.endSilence()
	}
	return n, err
}

// isPromise reports whether a response with the status says to the caller of a
// non-retryable request that it did not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
