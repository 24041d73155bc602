// Package objectapi is the client of the platform's object API.
//
//	Get, List --> coalesce --\
//	Watch     --> coalesce ---> pacer: call budget, backoff --> HTTP --> map answer or error
//	Create, Update, Delete --/                            \<-- retry while without effect
//
// A read is tried again until its deadline. A write is tried again only
// while it is certain that no earlier try took effect.
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
	// MaxValueBytes is the largest value, one megabyte.
	MaxValueBytes = 1_000_000
	// DefaultCallsPerSecond is the call budget of a process.
	DefaultCallsPerSecond = 20
	// DefaultBurst is the budget that an idle process saves up.
	DefaultBurst = 20
	// DefaultWriteCost is the ratio of the object API's rates for reads and
	// writes, so that budgets which add up to the rate of reads add up to
	// the rate of writes as well.
	DefaultWriteCost = 5
	// DefaultAttemptTimeout bounds one try. The object API answers in
	// milliseconds, so this is the time after which a connection counts as silent.
	DefaultAttemptTimeout = 2 * time.Second
	// DefaultCallTimeout bounds a call with all its tries.
	DefaultCallTimeout = 5 * time.Second
	// DefaultWatchTimeout bounds a watch. A watch on a connection that went
	// silent ends after this and DefaultAttemptTimeout, which together are
	// below the 6 s in which a change must be in force everywhere.
	DefaultWatchTimeout = 3 * time.Second
	// DefaultMinBackoff bounds the pause after the first failure.
	DefaultMinBackoff = 100 * time.Millisecond
	// DefaultMaxBackoff bounds the pause after repeated failures.
	DefaultMaxBackoff = 3 * time.Second

	// maxListBytes bounds the answer to a list.
	maxListBytes = 256 << 20
	// maxErrorBytes bounds the part of an error's body that is read.
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
		// Random is the source of jitter; the client is its only user.
		Random *rand.Rand
		// Metrics takes the counters; nil for none.
		Metrics tally.Scope
		// DialContext opens connections; nil for TCP.
		DialContext func(ctx context.Context, network, address string) (net.Conn, error)

		// StartSpread is the time over which the first calls of processes
		// that start together are spread. They then begin with an empty budget.
		// 0 sends the first call at once.
		StartSpread time.Duration

		// The defaults of this package stand for the following fields if they are 0.

		// CallsPerSecond and Burst are the call budget of the process. Each try
		// of a read or watch costs 1, each try of a write costs WriteCost.
		CallsPerSecond float64
		Burst          int
		WriteCost      int
		AttemptTimeout time.Duration
		CallTimeout    time.Duration
		WatchTimeout   time.Duration
		MinBackoff     time.Duration
		MaxBackoff     time.Duration
		// WaitSlack is the time beyond its wait in which a Request with one is
		// answered; AttemptTimeout if it is 0.
		WaitSlack time.Duration

		once      sync.Once
		transport *http.Transport
		pacer     pacer
		gets      coalescer[mulberryspool.Object]
		lists     coalescer[[]mulberryspool.Object]
		watches   coalescer[mulberryspool.Object]
	}

	// call is one call with all its tries.
	call struct {
		operation string
		method    string
		url       string
		body      []byte
		ifMatch   string
		// ifNoneMatch is set for a create.
		ifNoneMatch string
		writing     bool
		// accept decodes a successful answer; its error counts as a failed try.
		accept func(http.Header, io.Reader) error
		// sending is called with true before each try, and with false before
		// the pause that follows a failed one; nil for none.
		sending func(bool)
		// contentType is the type of the body; empty for none.
		contentType string
		// wait is how long the object API may hold the answer back; at is the
		// URL for that wait, or for none while the object API is not known to be up.
		wait time.Duration
		at   func(wait time.Duration) string
	}

	// Request is a call in another dialect of the object API. It shares the
	// budget, the backoff and the rules for repeated calls.
	Request struct {
		// Operation names the call in errors and counters.
		Operation string
		Method    string
		// URL returns the address of a call that may be held back for the wait.
		URL func(wait time.Duration) string
		// Wait is 0 for calls that are answered at once.
		Wait time.Duration
		// Body is JSON; nil for none.
		Body []byte
		// Writing is set for calls that change an object.
		Writing bool
		// Accept decodes a successful answer; its error counts as a failed try.
		Accept func(io.Reader) error
	}
)

var _ mulberryspool.ObjectStore = (*Client)(nil)

// Get implements mulberryspool.ObjectStore. Concurrent calls share an answer
// whose try began after each of them.
func (c *Client) Get(ctx context.Context, kind, name string) (mulberryspool.Object, error) {
	c.init()
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, c.CallTimeout)
	defer cancel()
	target := c.objectURL(kind, name)
	return c.gets.do(ctx, target, func(ctx context.Context, sending func(bool)) (mulberryspool.Object, error) {
		var object mulberryspool.Object
		err := c.run(ctx, call{
			operation: "get",
			method:    http.MethodGet,
			url:       target,
			accept:    acceptObject(kind, name, &object),
			sending:   sending,
		})
		return object, err
	}, c.shared("get"))
}

// List implements mulberryspool.ObjectStore. Concurrent calls share an answer
// whose try began after each of them.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]mulberryspool.Object, error) {
	c.init()
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, c.CallTimeout)
	defer cancel()
	target := c.BaseURL + "/objects/" + url.PathEscape(kind) + "?" + url.Values{"prefix": {prefix}}.Encode()
	objects, err := c.lists.do(ctx, target, func(ctx context.Context, sending func(bool)) ([]mulberryspool.Object, error) {
		var list []mulberryspool.Object
		err := c.run(ctx, call{
			operation: "list",
			method:    http.MethodGet,
			url:       target,
			accept:    acceptList(&list),
			sending:   sending,
		})
		return list, err
	}, c.shared("list"))
	// Callers that share an answer may sort or cut their own slice.
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

// Do sends a call of another dialect. Its errors are those of ObjectStore.
func (c *Client) Do(ctx context.Context, r Request) error {
	c.init()
	w := call{
		operation: r.Operation, method: r.Method, body: r.Body, writing: r.Writing, wait: r.Wait, at: r.URL,
		accept: func(_ http.Header, body io.Reader) error { return r.Accept(body) },
	}
	if r.Body != nil {
		w.contentType = "application/json"
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
	w.writing = true
	w.accept = func(header http.Header, _ io.Reader) error {
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
// version share an answer, so one may end before its own deadline. During an
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
			accept:    acceptObject(kind, name, &object),
		})
		return object, err
	}, c.shared("watch"))
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
		// A write costs at most what the budget can hold.
		c.WriteCost = min(c.WriteCost, c.Burst)
		c.transport = &http.Transport{
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			DialContext:         c.DialContext,
		}
		c.pacer.init(c)
		c.gets.sealed, c.lists.sealed = true, true
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

// run tries a call until it has a definite result or its time is over.
func (c *Client) run(ctx context.Context, r call) error {
	limit := c.CallTimeout + r.wait
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, limit)
	defer cancel()
	deadline := c.Clock.Now().Add(limit)
	cost := 1
	if r.writing {
		cost = c.WriteCost
	}
	var last error
	for {
		ticket, err := c.pacer.wait(ctx, cost, deadline)
		if err != nil {
			c.count(r.operation, "notSent")
			return mulberryspool.AtStep(unavailable(err, last), r.operation+" object", c.BaseURL)
		}
		wait := r.wait
		if ticket.probe {
			// The others wait for the answer to a probe.
			wait = 0
		}
		if r.at != nil {
			r.url = r.at(wait)
		}
		timeout := c.AttemptTimeout
		if wait > 0 {
			timeout = wait + c.WaitSlack
		}
		result := c.attempt(ctx, r, timeout)
		c.settle(ticket, r.operation, result)
		if !result.retry {
			return mulberryspool.AtStep(result.err, r.operation+" object", c.BaseURL)
		}
		r.mark(false)
		last = result.err
	}
}

// runWatch is run for a watch. While the object API is not known to be up,
// it asks without waiting, so that the first answer ends the backoff at once.
func (c *Client) runWatch(ctx context.Context, r call) error {
	deadline := c.Clock.Now().Add(c.WatchTimeout)
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, c.WatchTimeout+c.AttemptTimeout)
	defer cancel()
	base := r.url
	var last error
	for {
		ticket, err := c.pacer.wait(ctx, 1, deadline)
		if err != nil {
			c.count(r.operation, "notSent")
			// Callers watch in a loop, which must not spin during an outage.
			_ = c.pacer.sleep(ctx, turn{pause: c.Clock.Until(deadline)})
			return mulberryspool.AtStep(unavailable(err, last), "watch object", c.BaseURL)
		}
		wait := max(0, c.Clock.Until(deadline))
		if ticket.probe {
			wait = 0
		}
		r.url = base + "&timeout=" + wait.String()
		result := c.attempt(ctx, r, wait+c.AttemptTimeout)
		c.settle(ticket, r.operation, result)
		if errors.Is(result.err, mulberryspool.ErrNotModified) && ticket.probe && c.Clock.Now().Before(deadline) {
			continue
		}
		if !result.retry {
			return mulberryspool.AtStep(result.err, "watch object", c.BaseURL)
		}
		last = result.err
	}
}

func (r call) mark(sent bool) {
	if r.sending != nil {
		r.sending(sent)
	}
}

func (c *Client) settle(t ticket, operation string, result result) {
	c.count(operation, result.cause)
	switch result.health {
	case healthUp:
		c.pacer.succeeded(t)
	case healthDown:
		c.pacer.failed(t, result.retryAfter)
	default:
		c.pacer.released(t)
	}
}

func (c *Client) count(operation, cause string) {
	c.Metrics.Tagged(map[string]string{"operation": operation, "cause": cause}).Counter("objectAPICalls").Inc(1)
}

func (c *Client) shared(operation string) func() {
	return func() { c.count(operation, "coalesced") }
}
