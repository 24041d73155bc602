// Package httpclient is an HTTP client for large responses. A request has no
// total timeout; it ends when no byte arrives for the stall timeout.
package httpclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultStallTimeout is the time without a byte after which a call ends.
	DefaultStallTimeout = 10 * time.Second

	callerHeader  = "X-Caller"
	maxErrorBytes = 4 << 10
)

type (
	// Client sends requests. Set the exported fields before the first call.
	Client struct {
		// Caller is the name under which the server counts the calls.
		Caller string
		Clock  mulberryspool.Clock
		// StallTimeout is the time without a byte after which a call ends;
		// DefaultStallTimeout if it is 0.
		StallTimeout time.Duration
		// Compressed requests compressed responses. Leave it unset for weights,
		// which do not compress.
		Compressed bool

		once      sync.Once
		transport *http.Transport
	}

	body struct {
		io.ReadCloser
		call *call
	}

	// call cancels its context when no byte arrives within the timeout.
	call struct {
		ctx    context.Context
		cancel context.CancelCauseFunc
		timer  interface {
			Reset(time.Duration) bool
			Stop() bool
		}
		timeout time.Duration
	}
)

// ErrStalled ends a call during which no byte arrived for the stall timeout.
var ErrStalled = errors.New("no byte arrived within the stall timeout")

// Do sends a request and returns its response, whose body the caller must close.
// Do and reads of the body fail with ErrStalled when no byte arrives within the
// stall timeout.
func (c *Client) Do(ctx context.Context, request *http.Request) (*http.Response, error) {
	c.init()
	callCtx, cancel := context.WithCancelCause(ctx)
	current := &call{ctx: callCtx, cancel: cancel, timeout: c.StallTimeout}
	current.timer = c.Clock.AfterFunc(c.StallTimeout, func() { cancel(ErrStalled) })
	request = request.WithContext(callCtx)
	request.Header.Set(callerHeader, c.Caller)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		err = current.addStallCause(err)
		current.end()
		return nil, err
	}
	current.timer.Reset(c.StallTimeout)
	response.Body = &body{ReadCloser: response.Body, call: current}
	return response, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.init()
	c.transport.CloseIdleConnections()
}

func (c *Client) init() {
	c.once.Do(func() {
		if c.StallTimeout <= 0 {
			c.StallTimeout = DefaultStallTimeout
		}
		c.transport = &http.Transport{
			MaxIdleConnsPerHost:    8,
			IdleConnTimeout:        time.Minute,
			DisableCompression:     !c.Compressed,
			MaxResponseHeaderBytes: mulberryspool.MaxHeadBytes,
		}
	})
}

// StatusError returns an error for a response with an unexpected status. It
// wraps mulberryspool.ErrNotFound for 404 and ErrUnavailable for 429 and 503.
func StatusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	err := errors.Newf("answered %s %s", response.Status, strings.TrimSpace(string(text)))
	switch response.StatusCode {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %w", mulberryspool.ErrNotFound, err)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w", mulberryspool.ErrUnavailable, err)
	default:
		return err
	}
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.call.timer.Reset(b.call.timeout)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.call.addStallCause(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.call.end()
	return b.ReadCloser.Close()
}

// addStallCause wraps the error with ErrStalled if the stall timeout caused it.
func (c *call) addStallCause(err error) error {
	if cause := context.Cause(c.ctx); errors.Is(cause, ErrStalled) {
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return err
}

func (c *call) end() {
	c.timer.Stop()
	c.cancel(nil)
}
