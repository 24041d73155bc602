package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// health is what an attempt shows about the object API.
	health int

	// result is the outcome of one attempt.
	result struct {
		// err is nil for success.
		err error
		// cause is the tag of the result in the counters.
		cause string
		// retry permits another attempt: the call is a read, or it had no effect.
		retry      bool
		health     health
		retryAfter time.Duration
	}

	// renewingBody renews the timeout of an attempt with each part of its response.
	renewingBody struct {
		io.ReadCloser
		timer   clockwork.Timer
		timeout time.Duration
	}

	listing struct {
		Objects []mulberryspool.Object `json:"objects"`
	}
)

const (
	// healthUnknown is for an attempt that the caller cancelled.
	healthUnknown health = iota
	healthUp
	healthDown
)

// attempt sends a call once. The response must begin within the timeout, and each further
// part must arrive within AttemptTimeout of the previous one: over a slow link, a large
// response that was given up would only be sent again.
func (c *Client) attempt(ctx context.Context, r call, timeout time.Duration) result {
	parent := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.Clock.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	var connections atomic.Int32
	request, err := c.newRequest(ctx, r, &connections)
	if err != nil {
		return result{err: err, cause: "invalid"}
	}
	r.notifySend(true)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return c.failedResult(parent, r, err, connections.Load() > 0)
	}
	response.Body = &renewingBody{ReadCloser: response.Body, timer: timer, timeout: c.AttemptTimeout}
	defer response.Body.Close()
	return c.responseResult(parent, r, response)
}

// Read implements io.Reader.
func (b *renewingBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.timer.Reset(b.timeout)
	}
	return n, err
}

func (c *Client) newRequest(ctx context.Context, r call, connections *atomic.Int32) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		// The transport resends a read by itself when the connection turns out
		// to be closed; the object API counts that request as well.
		if connections.Add(1) > 1 {
			c.pacer.charge(1)
		}
	}})
	var body io.Reader
	if r.body != nil || r.method == http.MethodPut {
		body = bytes.NewReader(r.body)
	}
	request, err := http.NewRequestWithContext(ctx, r.method, r.url, body)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if c.Caller != "" {
		request.Header.Set(callerHeader, c.Caller)
	}
	if r.contentType != "" {
		request.Header.Set("Content-Type", r.contentType)
	}
	if r.ifMatch != "" {
		request.Header.Set("If-Match", r.ifMatch)
	}
	if r.ifNoneMatch != "" {
		request.Header.Set("If-None-Match", r.ifNoneMatch)
	}
	return request, nil
}

// failedResult returns the result for an attempt without a valid response. A write
// that had a connection may have taken effect, so its outcome is uncertain.
func (c *Client) failedResult(parent context.Context, r call, err error, connected bool) result {
	if connected {
		// Other idle connections may be dead like this one.
		c.transport.CloseIdleConnections()
	}
	failed := result{err: fmt.Errorf("%w: %w", mulberryspool.ErrUnavailable, err), cause: "unreachable", retry: true, health: healthDown}
	if connected {
		failed.cause = "answerLost"
	}
	if parent.Err() != nil {
		failed.cause, failed.retry, failed.health = "cancelled", false, healthUnknown
	}
	if r.isWrite && connected {
		failed.err = fmt.Errorf("%w: %w", mulberryspool.ErrUncertain, err)
		failed.cause, failed.retry = "uncertain", false
	}
	return failed
}

// responseResult returns the result for a response.
func (c *Client) responseResult(parent context.Context, r call, response *http.Response) result {
	switch status := response.StatusCode; status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		if err := r.decode(response.Header, response.Body); err != nil {
			return c.failedResult(parent, r, err, true)
		}
		return result{cause: "ok", health: healthUp}
	case http.StatusNotModified:
		return result{err: mulberryspool.ErrNotModified, cause: "notModified", health: healthUp}
	case http.StatusNotFound:
		if r.isWrite {
			// A missing object does not have the expected version.
			return result{err: mulberryspool.ErrConflict, cause: "conflict", health: healthUp}
		}
		return result{err: mulberryspool.ErrNotFound, cause: "notFound", health: healthUp}
	case http.StatusGone:
		return result{err: mulberryspool.ErrCompacted, cause: "compacted", health: healthUp}
	case http.StatusPreconditionFailed, http.StatusConflict:
		return result{err: mulberryspool.ErrConflict, cause: "conflict", health: healthUp}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// The protocol guarantees that a call with one of these statuses had no
		// effect.
		cause := "unavailable"
		if status == http.StatusTooManyRequests {
			cause = "throttled"
		}
		return result{
			err:        fmt.Errorf("%w: %s", mulberryspool.ErrUnavailable, describeResponse(response)),
			cause:      cause,
			retry:      true,
			health:     healthDown,
			retryAfter: retryAfterOf(response),
		}
	default:
		err := errors.Newf("object API answered %s", describeResponse(response))
		if status >= http.StatusInternalServerError {
			return c.failedResult(parent, r, err, true)
		}
		return result{err: err, cause: "rejected", health: healthUp}
	}
}

func decodeObject(kind, name string, object *mulberryspool.Object) func(http.Header, io.Reader) error {
	return func(header http.Header, body io.Reader) error {
		version, err := versionOf(header)
		if err != nil {
			return err
		}
		value, err := readAll(body, MaxValueBytes)
		if err != nil {
			return err
		}
		*object = mulberryspool.Object{Kind: kind, Name: name, Version: version, Value: value}
		return nil
	}
}

func decodeList(list *[]mulberryspool.Object) func(http.Header, io.Reader) error {
	return func(_ http.Header, body io.Reader) error {
		encoded, err := readAll(body, maxListBytes)
		if err != nil {
			return err
		}
		var decoded listing
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			return errors.Wrap(err, "decode list of objects")
		}
		*list = decoded.Objects
		return nil
	}
}

func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		return nil, errors.Newf("answer has more than %d bytes", limit)
	}
	return data, nil
}

func versionOf(header http.Header) (mulberryspool.Revision, error) {
	tag := header.Get("ETag")
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, errors.Newf("ETag %q of the answer is not a version", tag)
	}
	return mulberryspool.Revision(version), nil
}

func etag(version mulberryspool.Revision) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

func describeResponse(response *http.Response) string {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return response.Status + " " + strings.TrimSpace(string(body))
}

func retryAfterOf(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// unavailable returns the error of a call that was not sent, or not sent again
// after the error of its last attempt.
func unavailable(err, lastErr error) error {
	if lastErr != nil {
		return fmt.Errorf("%w: %w, after %w", mulberryspool.ErrUnavailable, err, lastErr)
	}
	return fmt.Errorf("%w: %w", mulberryspool.ErrUnavailable, err)
}
