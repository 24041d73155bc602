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
	"github.com/mulberryspool/mulberryspool/internal/platform/transfer"
)

const (
	// DefaultTimeout bounds one call.
	DefaultTimeout = 2 * time.Second
	// maxListBytes is far above the 1,000 rows of the target size.
	maxListBytes = 16 << 20
)

type (
	// Client implements mulberryspool.InstanceList. It makes one try for each
	// call: whoever polls the list asks again anyway. An unchanged list is not
	// sent again: at 990 processes a poll of 200 KB every 2 s would be fifty
	// times the 2 KB/s that a node may spend for control. Set the exported
	// fields before the first call.
	Client struct {
		// BaseURL is the instance list's URL without a final slash.
		BaseURL string
		// Caller is the name under which the instance list counts the calls.
		Caller string
		Clock  mulberryspool.Clock
		// Timeout is DefaultTimeout when it is 0.
		Timeout time.Duration

		once   sync.Once
		client transfer.Client

		mu sync.Mutex
		// tag is the entity tag of rows, the last list read; empty for none.
		tag  string
		rows []mulberryspool.ListedInstance
	}

	listing struct {
		// Instances is nil if the answer is something else than a list, which
		// must not be taken for a list without instances.
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
		c.client = transfer.Client{Caller: c.Caller, Clock: c.Clock, StallTimeout: c.Timeout, Compressed: true}
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
	tag, known := c.last()
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
		return nil, transfer.StatusError(response)
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
	c.keep(response.Header.Get("ETag"), *decoded.Instances)
	return slices.Clone(*decoded.Instances), nil
}

// last returns the list read last with its entity tag.
func (c *Client) last() (string, []mulberryspool.ListedInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, slices.Clone(c.rows)
}

func (c *Client) keep(tag string, rows []mulberryspool.ListedInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.rows = tag, rows
}

// check keeps a row that can't be used from being taken for one that can.
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
