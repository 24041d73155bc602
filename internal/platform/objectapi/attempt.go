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
	// health is what one try says of the object API.
	health int

	// result is what one try came to.
	result struct {
		// err is nil for success.
		err error
		// cause names the result in the counters.
		cause string
		// retry permits another try: the call is a read, or it had no effect.
		retry      bool
		health     health
		retryAfter time.Duration
	}

	listing struct {
		Objects []mulberryspool.Object `json:"objects"`
	}
)

const (
	// healthUnknown is for a try that the caller gave up.
	healthUnknown health = iota
	healthUp
	healthDown
)

// attempt makes one try.
func (c *Client) attempt(ctx context.Context, r call, timeout time.Duration) result {
	parent := ctx
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, timeout)
	defer cancel()
	var connections atomic.Int32
	request, err := c.newRequest(ctx, r, &connections)
	if err != nil {
		return result{err: err, cause: "invalid"}
	}
	r.mark(true)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return c.failure(parent, r, err, connections.Load() > 0)
	}
	defer response.Body.Close()
	return c.answer(parent, r, response)
}

func (c *Client) newRequest(ctx context.Context, r call, connections *atomic.Int32) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		// The transport repeats a read by itself when the connection turns
		// out to be closed; the object API counts that try as well.
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

// failure maps an error of the transport. A write is uncertain from the
// moment that it had a connection.
func (c *Client) failure(parent context.Context, r call, err error, connected bool) result {
	if connected {
		// Other idle connections may be as silent as this one.
		c.transport.CloseIdleConnections()
	}
	failed := result{err: fmt.Errorf("%w: %w", mulberryspool.ErrUnavailable, err), cause: "unreachable", retry: true, health: healthDown}
	if connected {
		failed.cause = "answerLost"
	}
	if parent.Err() != nil {
		failed.cause, failed.retry, failed.health = "cancelled", false, healthUnknown
	}
	if r.writing && connected {
		failed.err = fmt.Errorf("%w: %w", mulberryspool.ErrUncertain, err)
		failed.cause, failed.retry = "uncertain", false
	}
	return failed
}

// answer maps an HTTP answer.
func (c *Client) answer(parent context.Context, r call, response *http.Response) result {
	switch status := response.StatusCode; status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		if err := r.accept(response.Header, response.Body); err != nil {
			return c.failure(parent, r, err, true)
		}
		return result{cause: "ok", health: healthUp}
	case http.StatusNotModified:
		return result{err: mulberryspool.ErrNotModified, cause: "notModified", health: healthUp}
	case http.StatusNotFound:
		if r.writing {
			// An object that does not exist has no version, so not the expected one.
			return result{err: mulberryspool.ErrConflict, cause: "conflict", health: healthUp}
		}
		return result{err: mulberryspool.ErrNotFound, cause: "notFound", health: healthUp}
	case http.StatusGone:
		return result{err: mulberryspool.ErrCompacted, cause: "compacted", health: healthUp}
	case http.StatusPreconditionFailed, http.StatusConflict:
		return result{err: mulberryspool.ErrConflict, cause: "conflict", health: healthUp}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// By the protocol, a call with one of these answers had no effect.
		cause := "unavailable"
		if status == http.StatusTooManyRequests {
			cause = "throttled"
		}
		return result{
			err:        fmt.Errorf("%w: %s", mulberryspool.ErrUnavailable, describe(response)),
			cause:      cause,
			retry:      true,
			health:     healthDown,
			retryAfter: retryAfterOf(response),
		}
	default:
		err := errors.Newf("object API answered %s", describe(response))
		if status >= http.StatusInternalServerError {
			return c.failure(parent, r, err, true)
		}
		return result{err: err, cause: "rejected", health: healthUp}
	}
}

func acceptObject(kind, name string, object *mulberryspool.Object) func(http.Header, io.Reader) error {
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

func acceptList(list *[]mulberryspool.Object) func(http.Header, io.Reader) error {
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

func describe(response *http.Response) string {
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

// unavailable describes a call that was not sent again, with the error of
// its last try.
func unavailable(err, last error) error {
	if last != nil {
		return fmt.Errorf("%w: %w, after %w", mulberryspool.ErrUnavailable, err, last)
	}
	return fmt.Errorf("%w: %w", mulberryspool.ErrUnavailable, err)
}
