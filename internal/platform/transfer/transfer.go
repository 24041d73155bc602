// Package transfer sends HTTP requests whose answers may be large: they have
// no time limit as a whole, but end when no byte arrives for some time.
package transfer

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
		// Caller is the name under which the other side counts the calls.
		Caller string
		Clock  mulberryspool.Clock
		// StallTimeout is DefaultStallTimeout when it is 0.
		StallTimeout time.Duration
		// Compressed asks for compressed answers; weights don't get smaller.
		Compressed bool

		once      sync.Once
		transport *http.Transport
	}

	body struct {
		io.ReadCloser
		call *call
	}

	// call cancels its context when it makes no progress.
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

// Do sends a request and returns the head of its answer, whose body must be
// closed. The body ends with ErrStalled when no byte arrives.
func (c *Client) Do(ctx context.Context, request *http.Request) (*http.Response, error) {
	c.init()
	callCtx, cancel := context.WithCancelCause(ctx)
	started := &call{ctx: callCtx, cancel: cancel, timeout: c.StallTimeout}
	started.timer = c.Clock.AfterFunc(c.StallTimeout, func() { cancel(ErrStalled) })
	request = request.WithContext(callCtx)
	request.Header.Set(callerHeader, c.Caller)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		err = started.explain(err)
		started.end()
		return nil, err
	}
	started.timer.Reset(c.StallTimeout)
	response.Body = &body{ReadCloser: response.Body, call: started}
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
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  !c.Compressed,
		}
	})
}

// StatusError describes an answer that is not the expected one. It is
// mulberryspool.ErrNotFound for 404 and ErrUnavailable for 429 and 503.
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
		err = b.call.explain(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.call.end()
	return b.ReadCloser.Close()
}

// explain adds the reason for which the call was cancelled.
func (c *call) explain(err error) error {
	if cause := context.Cause(c.ctx); errors.Is(cause, ErrStalled) {
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return err
}

func (c *call) end() {
	c.timer.Stop()
	c.cancel(nil)
}
