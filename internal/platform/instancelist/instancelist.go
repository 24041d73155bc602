// Package instancelist is the client of the platform's list of live and
// leaving instances.
package instancelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/httpclient"
)

const (
	// DefaultTimeout bounds one call.
	DefaultTimeout = 2 * time.Second
	// maxListBytes is far above the size of a list of 1,000 instances, the
	// largest deployment that the system is designed for.
	maxListBytes = 16 << 20
)

type (
	// Client implements mulberryspool.InstanceList. It does not retry, because
	// callers poll the list. An unchanged list is not sent again: with 990
	// processes, a poll of 200 KB every 2 s would be fifty times the 2 KB/s that
	// a node may spend on control traffic. Set the exported fields before the
	// first call.
	Client struct {
		// BaseURL is the instance list's URL without a final slash.
		BaseURL string
		// Caller is the name under which the instance list counts the calls.
		Caller string
		Clock  mulberryspool.Clock
		// Timeout bounds one call; DefaultTimeout if it is 0.
		Timeout time.Duration

		once   sync.Once
		client httpclient.Client

		mu sync.Mutex
		// etag is the ETag of rows, the last list that was read; empty for none.
		etag string
		rows []mulberryspool.ListedInstance
	}

	listing struct {
		// Instances is a pointer, so that an answer without the field is not
		// mistaken for an empty list.
		Instances *[]mulberryspool.ListedInstance `json:"instances"`
	}
)

var _ mulberryspool.InstanceList = (*Client)(nil)

// Instances implements mulberryspool.InstanceList.
func (c *Client) Instances(ctx context.Context) ([]mulberryspool.ListedInstance, error) {
	c.once.Do(func() {
		if c.Timeout <= 0 {
			c.Timeout = DefaultTimeout
		}
		c.client = httpclient.Client{Caller: c.Caller, Clock: c.Clock, StallTimeout: c.Timeout, Compressed: true}
	})
	instances, err := c.instances(ctx)
	return instances, mulberryspool.AtStep(err, "list instances", c.BaseURL)
}

func (c *Client) instances(ctx context.Context) ([]mulberryspool.ListedInstance, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, c.Timeout)
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, c.BaseURL+"/instances", nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	tag, known := c.cached()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.client.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && tag != "" {
		return known, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, httpclient.StatusError(response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read list")
	}
	if len(body) > maxListBytes {
		return nil, errors.Newf("list has more than %d bytes", maxListBytes)
	}
	var decoded listing
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, errors.Wrap(err, "decode list")
	}
	if decoded.Instances == nil {
		return nil, errors.New("answer has no list of instances")
	}
	for _, instance := range *decoded.Instances {
		if err := check(instance); err != nil {
			return nil, err
		}
	}
	c.setCached(response.Header.Get("ETag"), *decoded.Instances)
	return slices.Clone(*decoded.Instances), nil
}

// cached returns the last list that was read, and its ETag.
func (c *Client) cached() (string, []mulberryspool.ListedInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, slices.Clone(c.rows)
}

func (c *Client) setCached(tag string, rows []mulberryspool.ListedInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.rows = tag, rows
}

// check rejects instances without a name or with an unknown state.
func check(instance mulberryspool.ListedInstance) error {
	if instance.Instance == "" {
		return errors.New("list has a row without an instance")
	}
	if instance.State != mulberryspool.InstanceLive && instance.State != mulberryspool.InstanceLeaving {
		return errors.Newf("list has instance %s in unknown state %q", instance.Instance, instance.State)
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.client.Close()
}
