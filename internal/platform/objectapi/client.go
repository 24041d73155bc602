// Package objectapi is the client of the platform's object API.
//
//	Get, List --> coalesce --\
//	Watch     --> coalesce ---> pacer: call budget, backoff --> HTTP --> map response or error
//	Create, Update, Delete --/                            \<-- retry if it had no effect
//
// A read is retried until its deadline. A write is retried only while it is
// certain that no earlier attempt took effect.
package objectapi

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// MaxValueBytes is the largest size of a value, one megabyte.
	MaxValueBytes = 1_000_000
	// DefaultCallsPerSecond is the call budget of a process.
	DefaultCallsPerSecond = 20
	// DefaultBurst is the number of calls that an idle process may send at once.
	DefaultBurst = 20
	// DefaultWriteCost is the ratio of the object API's rate limits for reads
	// and writes, so that processes whose budgets add up to the limit for reads
	// stay within the limit for writes as well.
	DefaultWriteCost = 5
	// DefaultAttemptTimeout bounds one attempt. The object API answers in
	// milliseconds, so a connection without an answer for this long is
	// considered dead.
	DefaultAttemptTimeout = 2 * time.Second
	// DefaultCallTimeout bounds a call with all its attempts.
	DefaultCallTimeout = 5 * time.Second
	// DefaultWatchTimeout bounds a watch. A watch on a dead connection ends
	// after this plus DefaultAttemptTimeout, which together are below the 6 s
	// within which a change must be in force everywhere.
	DefaultWatchTimeout = 3 * time.Second
	// DefaultMinBackoff is the maximum pause after the first failure.
	DefaultMinBackoff = 100 * time.Millisecond
	// DefaultMaxBackoff is the maximum pause after repeated failures.
	DefaultMaxBackoff = 3 * time.Second

	// maxListBytes bounds the response to a list.
	maxListBytes = 256 << 20
	// maxErrorBytes bounds how much of an error response's body is read.
	maxErrorBytes = 4 << 10

	callerHeader = "X-Caller"
)

type (
	// Client implements mulberryspool.ObjectStore. Set the exported fields
	// before the first call. It is safe for concurrent use.
	Client struct {
		// BaseURL is the object API's URL without a final slash.
		BaseURL string
		// Caller is the name under which the object API counts the calls.
		Caller string
		Clock  mulberryspool.Clock
		// Random is the source of jitter. It must not be used elsewhere.
		Random *rand.Rand
		// Metrics receives the counters; nil for none.
		Metrics tally.Scope
		// DialContext opens connections; nil for TCP.
		DialContext func(ctx context.Context, network, address string) (net.Conn, error)

		// HealthChanged is called when the value of Answers has changed. It must not block,
		// and may be nil.
		HealthChanged func()

		// StartJitter is the maximum random delay of the first call, which
		// spreads processes that start together. They then begin with an empty
		// budget. 0 sends the first call at once.
		StartJitter time.Duration

		// The following fields have the defaults of this package if they are 0.

		// CallsPerSecond and Burst are the call budget of the process. Each
		// attempt of a read or watch costs 1, each attempt of a write WriteCost.
		CallsPerSecond float64
		Burst          int
		WriteCost      int
		AttemptTimeout time.Duration
		CallTimeout    time.Duration
		WatchTimeout   time.Duration
		MinBackoff     time.Duration
		MaxBackoff     time.Duration
		// WaitSlack is added to Request.Wait to get the timeout of an attempt;
		// AttemptTimeout if it is 0.
		WaitSlack time.Duration

		once      sync.Once
		transport *http.Transport
		pacer     pacer
		gets      coalescer[mulberryspool.Object]
		lists     coalescer[[]mulberryspool.Object]
		watches   coalescer[mulberryspool.Object]
	}

	// call is one call with all its attempts.
	call struct {
		operation string
		method    string
		url       string
		body      []byte
		ifMatch   string
		// ifNoneMatch is set to "*" for a create.
		ifNoneMatch string
		isWrite     bool
		// decode decodes a successful response; its error counts as a failed
		// attempt.
		decode func(http.Header, io.Reader) error
		// onSend is called with true before each attempt, and with false before
		// the pause that follows a failed one; may be nil.
		onSend func(bool)
		// contentType is the type of the body; empty for none.
		contentType string
		// wait is how long the object API may delay its response. at returns the
		// URL for a wait, which is 0 while the object API is not known to be up.
		wait   time.Duration
		urlFor func(wait time.Duration) string
	}

	// Request is a call to an HTTP API with other paths and bodies than those of
	// Client's methods. It shares the budget, the backoff and the rules for
	// retries with them.
	Request struct {
		// Operation names the call in errors and counters.
		Operation string
		Method    string
		// URL returns the URL of a call whose response may be delayed by wait.
		URL func(wait time.Duration) string
		// Wait is how long the response may be delayed; 0 for not at all.
		Wait time.Duration
		// Body is JSON; nil for none.
		Body []byte
		// IsWrite is set for calls that change an object.
		IsWrite bool
		// Decode decodes a successful response; its error counts as a failed
		// attempt.
		Decode func(http.Header, io.Reader) error
		// OnAttempt is called before each attempt; may be nil.
		OnAttempt func()
	}
)

var _ mulberryspool.ObjectStore = (*Client)(nil)

// Get implements mulberryspool.ObjectStore. Concurrent calls share a response if
// its request was sent after each of them began.
func (c *Client) Get(ctx context.Context, kind, name string) (mulberryspool.Object, error) {
	c.init()
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, c.CallTimeout)
	defer cancel()
	target := c.objectURL(kind, name)
	return c.gets.do(ctx, target, func(ctx context.Context, onSend func(bool)) (mulberryspool.Object, error) {
		var object mulberryspool.Object
		err := c.run(ctx, call{
			operation: "get",
			method:    http.MethodGet,
			url:       target,
			decode:    decodeObject(kind, name, &object),
			onSend:    onSend,
		})
		return object, err
	}, c.countCoalesced("get"))
}

// List implements mulberryspool.ObjectStore. Concurrent calls share a response
// if its request was sent after each of them began.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]mulberryspool.Object, error) {
	c.init()
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, c.CallTimeout)
	defer cancel()
	target := c.BaseURL + "/objects/" + url.PathEscape(kind) + "?" + url.Values{"prefix": {prefix}}.Encode()
	objects, err := c.lists.do(ctx, target, func(ctx context.Context, onSend func(bool)) ([]mulberryspool.Object, error) {
		var list []mulberryspool.Object
		err := c.run(ctx, call{
			operation: "list",
			method:    http.MethodGet,
			url:       target,
			decode:    decodeList(&list),
			onSend:    onSend,
		})
		return list, err
	}, c.countCoalesced("list"))
	// Copied, because callers that share the response may sort or truncate it.
	return append([]mulberryspool.Object(nil), objects...), err
}

// Create implements mulberryspool.ObjectStore.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (mulberryspool.Object, error) {
	return c.write(ctx, kind, name, value, call{operation: "create", method: http.MethodPut, ifNoneMatch: "*"})
}

// Update implements mulberryspool.ObjectStore.
func (c *Client) Update(ctx context.Context, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	return c.write(ctx, kind, name, value, call{operation: "update", method: http.MethodPut, ifMatch: etag(version)})
}

// Delete implements mulberryspool.ObjectStore.
func (c *Client) Delete(ctx context.Context, kind, name string, version mulberryspool.Revision) error {
	_, err := c.write(ctx, kind, name, nil, call{operation: "delete", method: http.MethodDelete, ifMatch: etag(version)})
	return err
}

// Do sends a Request. It returns the errors of mulberryspool.ObjectStore.
func (c *Client) Do(ctx context.Context, r Request) error {
	c.init()
	w := call{
		operation: r.Operation, method: r.Method, body: r.Body, isWrite: r.IsWrite, wait: r.Wait, urlFor: r.URL, decode: r.Decode,
	}
	if r.Body != nil {
		w.contentType = "application/json"
	}
	if r.OnAttempt != nil {
		w.onSend = func(sent bool) {
			if sent {
				r.OnAttempt()
			}
		}
	}
	return c.run(ctx, w)
}

func (c *Client) write(ctx context.Context, kind, name string, value []byte, w call) (mulberryspool.Object, error) {
	c.init()
	if len(value) > MaxValueBytes {
		return mulberryspool.Object{}, mulberryspool.AtStep(
			errors.Newf("value of %s/%s has %d bytes, at most %d are allowed", kind, name, len(value), MaxValueBytes),
			w.operation+" object", c.BaseURL)
	}
	object := mulberryspool.Object{Kind: kind, Name: name, Value: value}
	w.url = c.objectURL(kind, name)
	w.body = value
	w.isWrite = true
	w.decode = func(header http.Header, _ io.Reader) error {
		version, err := versionOf(header)
		object.Version = version
		return err
	}
	if err := c.run(ctx, w); err != nil {
		return mulberryspool.Object{}, err
	}
	return object, nil
}

// Watch implements mulberryspool.ObjectStore. Concurrent calls for the same
// version share a response, so one may end before its own deadline. During an
// outage it fails at its deadline, not at once as other calls do.
func (c *Client) Watch(ctx context.Context, kind, name string, after mulberryspool.Revision) (mulberryspool.Object, error) {
	c.init()
	target := c.objectURL(kind, name) + "?after=" + strconv.FormatUint(uint64(after), 10)
	return c.watches.do(ctx, target, func(ctx context.Context, _ func(bool)) (mulberryspool.Object, error) {
		var object mulberryspool.Object
		err := c.runWatch(ctx, call{
			operation: "watch",
			method:    http.MethodGet,
			url:       target,
			decode:    decodeObject(kind, name, &object),
		})
		return object, err
	}, c.countCoalesced("watch"))
}

// Close closes idle connections.
func (c *Client) Close() {
	c.init()
	c.transport.CloseIdleConnections()
}

func (c *Client) init() {
	c.once.Do(func() {
		setDefault(&c.CallsPerSecond, DefaultCallsPerSecond)
		setDefault(&c.Burst, DefaultBurst)
		setDefault(&c.WriteCost, DefaultWriteCost)
		setDefault(&c.AttemptTimeout, DefaultAttemptTimeout)
		setDefault(&c.CallTimeout, DefaultCallTimeout)
		setDefault(&c.WatchTimeout, DefaultWatchTimeout)
		setDefault(&c.MinBackoff, DefaultMinBackoff)
		setDefault(&c.MaxBackoff, DefaultMaxBackoff)
		setDefault(&c.WaitSlack, c.AttemptTimeout)
		if c.Metrics == nil {
			c.Metrics = tally.NoopScope
		}
		// A write that costs more than the burst could never be sent.
		c.WriteCost = min(c.WriteCost, c.Burst)
		c.transport = &http.Transport{
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			DialContext:         c.DialContext,
		}
		c.pacer.init(c)
		c.gets.freshOnly, c.lists.freshOnly = true, true
	})
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func (c *Client) objectURL(kind, name string) string {
	return c.BaseURL + "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// run repeats attempts of a call until one has a final result or the call times
// out.
func (c *Client) run(ctx context.Context, r call) error {
	limit := c.CallTimeout + r.wait
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, limit)
	defer cancel()
	deadline := c.Clock.Now().Add(limit)
	cost := 1
	if r.isWrite {
		cost = c.WriteCost
	}
	var lastErr error
	for {
		granted, err := c.pacer.wait(ctx, cost, deadline)
		if err != nil {
			c.count(r.operation, "notSent")
			return mulberryspool.AtStep(unavailable(err, lastErr), r.operation+" object", c.BaseURL)
		}
		wait := r.wait
		if granted.probe {
			// Other calls wait for the response to a probe.
			wait = 0
		}
		if r.urlFor != nil {
			r.url = r.urlFor(wait)
		}
		timeout := c.AttemptTimeout
		if wait > 0 {
			timeout = wait + c.WaitSlack
		}
		result := c.attempt(ctx, r, timeout)
		c.recordResult(granted, r.operation, result)
		if !result.retry {
			return mulberryspool.AtStep(result.err, r.operation+" object", c.BaseURL)
		}
		r.notifySend(false)
		lastErr = result.err
	}
}

// runWatch is run for a watch. While the object API is not known to be up, it
// requests an immediate response, which ends the backoff as soon as possible.
func (c *Client) runWatch(ctx context.Context, r call) error {
	deadline := c.Clock.Now().Add(c.WatchTimeout)
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, c.WatchTimeout+c.AttemptTimeout)
	defer cancel()
	base := r.url
	var lastErr error
	for {
		granted, err := c.pacer.wait(ctx, 1, deadline)
		if err != nil {
			c.count(r.operation, "notSent")
			// Callers watch in a loop, which must not busy-loop during an outage.
			_ = c.pacer.sleep(ctx, decision{pause: c.Clock.Until(deadline)})
			return mulberryspool.AtStep(unavailable(err, lastErr), "watch object", c.BaseURL)
		}
		wait := max(0, c.Clock.Until(deadline))
		if granted.probe {
			wait = 0
		}
		r.url = base + "&timeout=" + wait.String()
		result := c.attempt(ctx, r, wait+c.AttemptTimeout)
		c.recordResult(granted, r.operation, result)
		if errors.Is(result.err, mulberryspool.ErrNotModified) && granted.probe && c.Clock.Now().Before(deadline) {
			continue
		}
		if !result.retry {
			return mulberryspool.AtStep(result.err, "watch object", c.BaseURL)
		}
		lastErr = result.err
	}
}

// notifySend calls onSend if it is set.
func (r call) notifySend(sent bool) {
	if r.onSend != nil {
		r.onSend(sent)
	}
}

// Answers reports whether the object API answered the last attempt of any call.
func (c *Client) Answers() bool {
	c.init()
	return c.pacer.answers()
}

// recordResult counts the result of an attempt and reports it to the pacer.
func (c *Client) recordResult(granted permit, operation string, result result) {
	c.count(operation, result.cause)
	changed := false
	switch result.health {
	case healthUp:
		changed = c.pacer.recordSuccess(granted)
	case healthDown:
		changed = c.pacer.recordFailure(granted, result.retryAfter)
	default:
		c.pacer.release(granted)
	}
	if changed && c.HealthChanged != nil {
		c.HealthChanged()
	}
}

func (c *Client) count(operation, cause string) {
	c.Metrics.Tagged(map[string]string{"operation": operation, "cause": cause}).Counter("objectAPICalls").Inc(1)
}

func (c *Client) countCoalesced(operation string) func() {
	return func() { c.count(operation, "coalesced") }
}
