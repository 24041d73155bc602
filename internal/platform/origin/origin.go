// Package origin is the client of the origin that holds the weights.
//
//	ReadRange --GET with Range--> check status, Content-Range and Content-Length --> read the body
package origin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/httpclient"
	"github.com/mulberryspool/mulberryspool/internal/platform/progressreader"
)

// MaxRangeBytes is the largest range of one read, because it is held in memory.
const MaxRangeBytes = 256 << 20

// Client implements mulberryspool.Origin. It does not retry, because callers
// have other sources to try. Set the exported fields before the first call.
type Client struct {
	// BaseURL is the origin's URL without a final slash.
	BaseURL string
	// Caller is the name under which the origin counts the calls.
	Caller string
	Clock  mulberryspool.Clock
	// StallTimeout is the time without a byte after which a call ends;
	// httpclient.DefaultStallTimeout if it is 0.
	StallTimeout time.Duration

	once   sync.Once
	client httpclient.Client
}

var _ mulberryspool.Origin = (*Client)(nil)

// ReadRange implements mulberryspool.Origin.
func (c *Client) ReadRange(ctx context.Context, path string, offset, size int64, received func(count int)) ([]byte, error) {
	c.init()
	data, err := c.readRange(ctx, path, offset, size, received)
	return data, mulberryspool.AtStep(err, fmt.Sprintf("read %s bytes %d+%d", path, offset, size), c.BaseURL)
}

func (c *Client) readRange(ctx context.Context, path string, offset, size int64, received func(count int)) ([]byte, error) {
	if offset < 0 || size <= 0 || size > MaxRangeBytes {
		return nil, errors.Newf("range must start at 0 or above and have 1 to %d bytes", MaxRangeBytes)
	}
	request, err := http.NewRequest(http.MethodGet, c.contentURL(path), nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", offset, offset+size-1))
	response, err := c.client.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if err := checkRange(response, offset, size); err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(progressreader.Reader{Reader: response.Body, Received: received}, data); err != nil {
		return nil, errors.Wrap(err, "read content")
	}
	return data, nil
}

// checkRange returns an error unless the headers announce exactly the requested
// bytes.
func checkRange(response *http.Response, offset, size int64) error {
	switch response.StatusCode {
	case http.StatusPartialContent:
	case http.StatusOK:
		if offset > 0 || response.ContentLength != size {
			return errors.Newf("origin sent the whole content of %d bytes in place of a range", response.ContentLength)
		}
		return nil
	default:
		return httpclient.StatusError(response)
	}
	header := response.Header.Get("Content-Range")
	want := fmt.Sprintf("bytes %d-%d/", offset, offset+size-1)
	if total, found := strings.CutPrefix(header, want); !found || !isTotal(total, offset+size) {
		return errors.Newf("origin sent Content-Range %q, want %q and the total", header, want)
	}
	if response.ContentLength != size {
		return errors.Newf("origin sent Content-Length %d, want %d", response.ContentLength, size)
	}
	return nil
}

// isTotal reports whether the text is a size of at least the given one, or "*"
// for an unknown size.
func isTotal(text string, minimum int64) bool {
	if text == "*" {
		return true
	}
	total, err := strconv.ParseInt(text, 10, 64)
	return err == nil && total >= minimum
}

// Size implements mulberryspool.Origin.
func (c *Client) Size(ctx context.Context, path string) (int64, error) {
	c.init()
	size, err := c.size(ctx, path)
	return size, mulberryspool.AtStep(err, "read size of "+path, c.BaseURL)
}

func (c *Client) size(ctx context.Context, path string) (int64, error) {
	request, err := http.NewRequest(http.MethodHead, c.contentURL(path), nil)
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	response, err := c.client.Do(ctx, request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, httpclient.StatusError(response)
	}
	if response.ContentLength < 0 {
		return 0, errors.New("origin does not say how long the content is")
	}
	return response.ContentLength, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.init()
	c.client.Close()
}

func (c *Client) init() {
	c.once.Do(func() {
		c.client = httpclient.Client{Caller: c.Caller, Clock: c.Clock, StallTimeout: c.StallTimeout}
	})
}

func (c *Client) contentURL(path string) string {
	return c.BaseURL + "/content/" + (&url.URL{Path: strings.TrimPrefix(path, "/")}).EscapedPath()
}
