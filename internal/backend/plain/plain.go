// Package plain is the client of a plain HTTP service, whose calls must not
// be repeated.
package plain

import (
	"context"
	"io"
	"sync"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/call"
)

type (
	// Client implements mulberryspool.Backend. A plain service reports no load
	// and knows no cancel: Report counts the client's own requests, and Cancel
	// closes the request's connection. Set the exported fields before the
	// first call.
	Client struct {
		// BaseURL is the service's URL without a final slash.
		BaseURL string
		// Capacity is the number of requests that the service takes at once,
		// as reported by Report.
		Capacity int

		once    sync.Once
		calls   call.Client
		mu      sync.Mutex
		running map[*submission]struct{}
	}

	submission struct {
		id     mulberryspool.RequestID
		cancel context.CancelFunc
	}

	// trackedBody ends the submission when it is closed.
	trackedBody struct {
		io.ReadCloser
		end func()
	}
)

var _ mulberryspool.Backend = (*Client)(nil)

// Submit implements mulberryspool.Backend. The error is
// mulberryspool.ErrUnavailable if the request was certainly not sent, and
// mulberryspool.ErrUncertain if it may have been.
func (c *Client) Submit(ctx context.Context, request mulberryspool.BackendRequest) (mulberryspool.BackendAnswer, error) {
	c.once.Do(func() {
		c.calls = call.Client{BaseURL: c.BaseURL}
		c.running = make(map[*submission]struct{})
	})
	ctx, cancel := context.WithCancel(ctx)
	s := &submission{id: request.RequestID, cancel: cancel}
	c.mu.Lock()
	c.running[s] = struct{}{}
	c.mu.Unlock()
	answer, err := c.calls.Submit(ctx, request)
	if err != nil {
		c.end(s)
		return answer, err
	}
	answer.Body = &trackedBody{ReadCloser: answer.Body, end: func() { c.end(s) }}
	return answer, nil
}

// Cancel implements mulberryspool.Backend. The service may carry the request
// out all the same. The error is mulberryspool.ErrNotFound if the request is
// not running.
func (c *Client) Cancel(_ context.Context, id mulberryspool.RequestID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := false
	for s := range c.running {
		if s.id == id {
			s.cancel()
			found = true
		}
	}
	if !found {
		return mulberryspool.AtStep(mulberryspool.ErrNotFound, "cancel request", c.BaseURL)
	}
	return nil
}

// Report implements mulberryspool.Backend.
func (c *Client) Report(context.Context) (mulberryspool.LoadReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return mulberryspool.LoadReport{Running: len(c.running), Capacity: c.Capacity}, nil
}

func (c *Client) end(s *submission) {
	s.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, s)
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}
