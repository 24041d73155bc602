// Package httpcall sends live requests to a backend server over HTTP. It sends each
// request at most once, and distinguishes a complete answer from one that was
// cut off.
//
//	BackendRequest --> new connection --> head of the answer --> body, which
//	returns io.EOF only if the answer is complete
package httpcall

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// RequestIDHeader is the header with the request's ID.
	RequestIDHeader = "X-Request-ID"
	// PriorityHeader is the header with the request's priority.
	PriorityHeader = "X-Priority"
	// WorkspaceHeader is the header with the request's workspace.
	WorkspaceHeader = "X-Workspace"

	// dialTimeout limits the connection setup to a backend server, which runs
	// on the same machine as its agent.
	dialTimeout = 2 * time.Second
	// maxErrorBytes limits the part of an answer's body that an error quotes.
	maxErrorBytes = 4 << 10
)

// Client sends requests to one backend server. Set the fields before the
// first call.
type Client struct {
	// BaseURL is the backend server's URL without a final slash.
	BaseURL string
	// ExpectDone is set for backend servers that end a stream of server-sent
	// events with [DONE]. A stream that ends without it counts as cut off.
	ExpectDone bool
}

// transport opens a new connection for each request, because net/http
// automatically resends some requests if a reused connection turns out to be
// closed. It does not follow redirects.
var transport = &http.Transport{
	DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
	DisableKeepAlives:      true,
	DisableCompression:     true,
	MaxResponseHeaderBytes: mulberryspool.MaxHeadBytes,
}

// Submit sends a request and returns the head of its answer. The error is
// mulberryspool.ErrUnavailable if the request was definitely not sent, and
// mulberryspool.ErrUncertain if it may have been sent.
func (c *Client) Submit(ctx context.Context, request mulberryspool.BackendRequest) (mulberryspool.BackendAnswer, error) {
	outbound, err := http.NewRequest(request.Method, c.BaseURL+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		err = fmt.Errorf("%w: make request: %w", mulberryspool.ErrUnavailable, err)
		return mulberryspool.BackendAnswer{}, mulberryspool.AtStep(err, "submit request", c.BaseURL)
	}
	outbound.Header.Set(RequestIDHeader, string(request.RequestID))
	outbound.Header.Set(PriorityHeader, strconv.Itoa(request.Priority))
	if request.Workspace != "" {
		outbound.Header.Set(WorkspaceHeader, request.Workspace)
	}
	if request.ContentType != "" {
		outbound.Header.Set("Content-Type", request.ContentType)
	}
	response, err := Send(ctx, outbound)
	if err != nil {
		return mulberryspool.BackendAnswer{}, mulberryspool.AtStep(err, "submit request", c.BaseURL)
	}
	contentType := response.Header.Get("Content-Type")
	return mulberryspool.BackendAnswer{
		Status:      response.StatusCode,
		ContentType: contentType,
		Body:        newBody(response, c.ExpectDone && isEventStream(contentType)),
	}, nil
}

// Send sends a request once. Errors are the same as those of Submit. An answer with a status
// outside 100 to 599, or 101, is none, and the request may have run. The caller
// must close the response's body.
func Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err == nil && !mulberryspool.IsResponseStatus(response.StatusCode) {
		response.Body.Close()
		return nil, fmt.Errorf("%w: answer has status %03d", mulberryspool.ErrUncertain, response.StatusCode)
	}
	if err == nil {
		return response, nil
	}
	if connected.Load() {
		return nil, fmt.Errorf("%w: %w", mulberryspool.ErrUncertain, err)
	}
	return nil, fmt.Errorf("%w: %w", mulberryspool.ErrUnavailable, err)
}

// SendControl sends a control request and returns the status and the body of its
// answer. An answer of more than maxBytes is an error. A timeout of 0 means that
// only the context limits the call.
func SendControl(ctx context.Context, clock mulberryspool.Clock, timeout time.Duration, request *http.Request, maxBytes int64) (int, []byte, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithTimeout(ctx, clock, timeout)
		defer cancel()
	}
	response, err := Send(ctx, request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: read answer: %w", mulberryspool.ErrUncertain, err)
	}
	if int64(len(body)) > maxBytes {
		return 0, nil, errors.Newf("answer has more than %d bytes", maxBytes)
	}
	return response.StatusCode, body, nil
}

// StatusError returns the error for an answer with an unexpected status. It is
// mulberryspool.ErrNotFound for 404, and mulberryspool.ErrUnavailable for 429
// and 503, with which a backend server states that the call had no effect.
func StatusError(status int, body []byte) error {
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorBytes)]))
	err := errors.Newf("answered %d %s", status, text)
	switch status {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %w", mulberryspool.ErrNotFound, err)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w", mulberryspool.ErrUnavailable, err)
	default:
		return err
	}
}

func isEventStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// isDelimited reports whether the HTTP message marks where it ends. A message
// without a length or chunked encoding ends when the connection is closed, which
// cannot be distinguished from an answer that was cut off.
func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") ||
		response.Request.Method == http.MethodHead
}
