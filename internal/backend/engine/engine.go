// Package engine implements the client of a model engine.
//
//	Submit --> /v1/chat/completions      Load   --> /engine/load
//	Cancel --> /v1/requests/{id}/cancel  Loaded --> /engine/loaded
//	                                     Report --> /engine/report
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/httpcall"
)

const (
	// DefaultTimeout limits the calls Cancel, Report and Loaded.
	DefaultTimeout = 2 * time.Second
	// maxAnswerBytes limits the size of answers to control calls.
	maxAnswerBytes = 1 << 20
)

// ErrLoadFailed means that the engine tried to carry out a load order and failed.
// It still serves the weights that it served before.
var ErrLoadFailed = errors.New("engine could not load the order")

// Client implements mulberryspool.Engine. Set the exported fields before the
// first call.
type Client struct {
	// BaseURL is the engine's URL without a final slash.
	BaseURL string
	Clock   mulberryspool.Clock
	// Timeout limits the calls Cancel, Report and Loaded; if it is 0,
	// DefaultTimeout is used. Submit and Load are only limited by their contexts.
	Timeout time.Duration

	once   sync.Once
	client httpcall.Client
}

var _ mulberryspool.Engine = (*Client)(nil)

// Submit implements mulberryspool.Backend. The error is
// mulberryspool.ErrUnavailable if the request was definitely not sent, and
// mulberryspool.ErrUncertain if it may have been sent.
func (c *Client) Submit(ctx context.Context, request mulberryspool.BackendRequest) (mulberryspool.BackendAnswer, error) {
	c.init()
	return c.client.Submit(ctx, request)
}

// Cancel implements mulberryspool.Backend. The error is
// mulberryspool.ErrNotFound if the request is neither running nor waiting.
func (c *Client) Cancel(ctx context.Context, id mulberryspool.RequestID) error {
	c.init()
	path := "/v1/requests/" + url.PathEscape(string(id)) + "/cancel"
	status, body, err := c.control(ctx, c.Timeout, http.MethodPost, path, nil)
	if err == nil && status != http.StatusNoContent {
		err = httpcall.StatusError(status, body)
	}
	return mulberryspool.AtStep(err, "cancel request", c.BaseURL)
}

// Report implements mulberryspool.Backend.
func (c *Client) Report(ctx context.Context) (mulberryspool.LoadReport, error) {
	c.init()
	var report mulberryspool.LoadReport
	err := c.readJSON(ctx, "/engine/report", &report)
	return report, mulberryspool.AtStep(err, "read load report", c.BaseURL)
}

// Loaded implements mulberryspool.Engine.
func (c *Client) Loaded(ctx context.Context) (mulberryspool.Loaded, error) {
	c.init()
	var loaded mulberryspool.Loaded
	err := c.readJSON(ctx, "/engine/loaded", &loaded)
	return loaded, mulberryspool.AtStep(err, "read back loaded version", c.BaseURL)
}

// Load implements mulberryspool.Engine. The error is
// mulberryspool.ErrConflict for a stale fencing number, ErrLoadFailed if the
// engine failed to load the version and kept its weights,
// mulberryspool.ErrUnavailable if the order definitely had no effect, and
// mulberryspool.ErrUncertain if the order may still take effect.
func (c *Client) Load(ctx context.Context, order mulberryspool.LoadOrder) error {
	c.init()
	return mulberryspool.AtStep(c.load(ctx, order), "order load of "+order.Version, c.BaseURL)
}

func (c *Client) load(ctx context.Context, order mulberryspool.LoadOrder) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	status, body, err := c.control(ctx, 0, http.MethodPost, "/engine/load", encoded)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("%w: %w", mulberryspool.ErrConflict, httpcall.StatusError(status, body))
	case http.StatusUnprocessableEntity:
		return fmt.Errorf("%w: %w", ErrLoadFailed, httpcall.StatusError(status, body))
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return fmt.Errorf("%w: %w", mulberryspool.ErrUncertain, httpcall.StatusError(status, body))
	default:
		return httpcall.StatusError(status, body)
	}
}

// init sets the defaults on the first call.
func (c *Client) init() {
	c.once.Do(func() {
		if c.Timeout <= 0 {
			c.Timeout = DefaultTimeout
		}
		c.client = httpcall.Client{BaseURL: c.BaseURL, ExpectDone: true}
	})
}

// readJSON fetches the path and decodes the answer into value.
func (c *Client) readJSON(ctx context.Context, path string, value any) error {
	status, body, err := c.control(ctx, c.Timeout, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return httpcall.StatusError(status, body)
	}
	return errors.Wrap(json.Unmarshal(body, value), "decode answer")
}

// control sends a control request to the path; a non-empty body is JSON.
func (c *Client) control(ctx context.Context, timeout time.Duration, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "make request")
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	return httpcall.SendControl(ctx, c.Clock, timeout, request, maxAnswerBytes)
}
