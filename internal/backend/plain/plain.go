// Package plain implements the client of a plain HTTP service. Requests to such a
// service must not be sent twice.
package plain

import (
	"context"
	"io"
	"sync"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/httpcall"
)

type (
	// Client implements mulberryspool.Backend. A plain service neither reports
	// its load nor supports cancelling: Report counts the requests of this
	// client, and Cancel closes the connection of the request. Set the exported
	// fields before the first call.
	Client struct {
		// BaseURL is the service's URL without a final slash.
		BaseURL string
		// Capacity is the number of requests that the service can run at once;
		// Report returns it.
		Capacity int

		once    sync.Once
		client  httpcall.Client
		mu      sync.Mutex
		running map[*submission]struct{}
	}

	// submission is a request from Submit until the body of its answer is closed.
	submission struct {
		id     mulberryspool.RequestID
		cancel context.CancelFunc
	}

	// trackedBody removes the submission from the running ones on Close.
	trackedBody struct {
		io.ReadCloser
		remove func()
	}
)

var _ mulberryspool.Backend = (*Client)(nil)

// Submit implements mulberryspool.Backend. The error is
// mulberryspool.ErrUnavailable if the request was definitely not sent, and
// mulberryspool.ErrUncertain if it may have been sent.
func (c *Client) Submit(ctx context.Context, request mulberryspool.BackendRequest) (mulberryspool.BackendAnswer, error) {
	c.once.Do(func() {
		c.client = httpcall.Client{BaseURL: c.BaseURL}
		c.running = make(map[*submission]struct{})
	})
	ctx, cancel := context.WithCancel(ctx)
	s := &submission{id: request.RequestID, cancel: cancel}
	c.mu.Lock()
	c.running[s] = struct{}{}
	c.mu.Unlock()
	answer, err := c.client.Submit(ctx, request)
	if err != nil {
		c.remove(s)
		return answer, err
	}
	answer.Body = &trackedBody{ReadCloser: answer.Body, remove: func() { c.remove(s) }}
	return answer, nil
}

// Cancel implements mulberryspool.Backend. The service may still complete the
// request. The error is mulberryspool.ErrNotFound if the request is not running.
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

// remove ends a submission and closes its connection.
func (c *Client) remove(s *submission) {
	s.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, s)
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	defer b.remove()
	return b.ReadCloser.Close()
}
