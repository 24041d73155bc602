// Package weightstore is the client of the platform's rate-limited store for
// chunks of weights.
package weightstore

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/httpclient"
	"github.com/mulberryspool/mulberryspool/internal/platform/progressreader"
)

// MaxChunkBytes is the largest chunk, because a chunk is held in memory.
const MaxChunkBytes = 64 << 20

// Client implements mulberryspool.WeightStore. It does not retry, because
// callers have other sources to try. Set the exported fields before the first
// call.
type Client struct {
	// BaseURL is the weight store's URL without a final slash.
	BaseURL string
	// Caller is the name under which the weight store counts the calls.
	Caller string
	Clock  mulberryspool.Clock
	// StallTimeout is the time without a byte after which a call ends;
	// httpclient.DefaultStallTimeout if it is 0.
	StallTimeout time.Duration

	once   sync.Once
	client httpclient.Client
}

var _ mulberryspool.WeightStore = (*Client)(nil)

// ReadChunk implements mulberryspool.WeightStore.
func (c *Client) ReadChunk(ctx context.Context, digest mulberryspool.Digest, received func(count int)) ([]byte, error) {
	data, err := c.read(ctx, digest, received)
	return data, mulberryspool.AtStep(err, "read chunk "+string(digest), c.BaseURL)
}

func (c *Client) read(ctx context.Context, digest mulberryspool.Digest, received func(count int)) ([]byte, error) {
	response, err := c.do(ctx, http.MethodGet, digest, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, httpclient.StatusError(response)
	}
	if size := response.ContentLength; size < 0 || size > MaxChunkBytes {
		return nil, errors.Newf("weight store sent Content-Length %d, want 0 to %d", size, MaxChunkBytes)
	}
	data := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(progressreader.Reader{Reader: response.Body, Received: received}, data); err != nil {
		return nil, errors.Wrap(err, "read chunk")
	}
	return data, nil
}

// WriteChunk implements mulberryspool.WeightStore.
func (c *Client) WriteChunk(ctx context.Context, digest mulberryspool.Digest, data []byte) error {
	return mulberryspool.AtStep(c.write(ctx, digest, data), "write chunk "+string(digest), c.BaseURL)
}

func (c *Client) write(ctx context.Context, digest mulberryspool.Digest, data []byte) error {
	response, err := c.do(ctx, http.MethodPut, digest, data)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return httpclient.StatusError(response)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method string, digest mulberryspool.Digest, data []byte) (*http.Response, error) {
	c.once.Do(func() {
		c.client = httpclient.Client{Caller: c.Caller, Clock: c.Clock, StallTimeout: c.StallTimeout}
	})
	var content io.Reader
	if method == http.MethodPut {
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, c.BaseURL+"/chunks/"+string(digest), content)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	return c.client.Do(ctx, request)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.client.Close()
}
