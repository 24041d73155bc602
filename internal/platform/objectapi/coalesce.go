package objectapi

import (
	"context"
	"fmt"
	"sync"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// coalescer shares the answers of identical concurrent reads.
	coalescer[T any] struct {
		// sealed keeps callers from joining a read that was sent before they
		// called: its answer may be older than a write they know of. They
		// share the read that follows it.
		sealed bool

		mu    sync.Mutex
		lanes map[string]*lane[T]
	}

	// lane holds the reads of one key. It runs one at a time.
	lane[T any] struct {
		current, next *flight[T]
	}

	// flight is one read. Its fields except for done are guarded by the
	// coalescer's lock until done is closed.
	flight[T any] struct {
		run     func(ctx context.Context, sending func(bool)) (T, error)
		ctx     context.Context
		cancel  context.CancelFunc
		waiters int
		sent    bool
		done    chan struct{}
		value   T
		err     error
	}
)

// do runs the read, or waits for an identical one and calls joined.
func (c *coalescer[T]) do(ctx context.Context, key string, run func(context.Context, func(bool)) (T, error), joined func()) (T, error) {
	f, shared := c.join(ctx, key, run)
	if shared {
		joined()
	}
	select {
	case <-f.done:
		return f.value, f.err
	case <-ctx.Done():
		c.leave(f)
		var none T
		return none, fmt.Errorf("%w: wait for read: %w", mulberryspool.ErrUnavailable, ctx.Err())
	}
}

func (c *coalescer[T]) join(ctx context.Context, key string, run func(context.Context, func(bool)) (T, error)) (f *flight[T], shared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lanes == nil {
		c.lanes = make(map[string]*lane[T])
	}
	l := c.lanes[key]
	if l == nil {
		l = &lane[T]{}
		c.lanes[key] = l
	}
	switch {
	case l.current == nil:
		l.current = newFlight(ctx, run)
		go c.fly(key, l, l.current)
		return l.current, false
	case l.current.joinable(c.sealed):
		f = l.current
	case l.next != nil:
		f = l.next
	default:
		l.next = newFlight(ctx, run)
		return l.next, false
	}
	f.waiters++
	return f, true
}

func newFlight[T any](ctx context.Context, run func(context.Context, func(bool)) (T, error)) *flight[T] {
	f := &flight[T]{run: run, waiters: 1, done: make(chan struct{})}
	// The read goes on for the others when the first caller gives up.
	f.ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return f
}

func (f *flight[T]) joinable(sealed bool) bool {
	return f.ctx.Err() == nil && (!sealed || !f.sent)
}

func (c *coalescer[T]) leave(f *flight[T]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.waiters--
	if f.waiters == 0 {
		f.cancel()
	}
}

func (c *coalescer[T]) fly(key string, l *lane[T], f *flight[T]) {
	for f != nil {
		f.value, f.err = f.run(f.ctx, func(sending bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			f.sent = sending
		})
		f.cancel()
		f = c.land(key, l, f)
	}
}

// land ends a read and returns the next one of its lane.
func (c *coalescer[T]) land(key string, l *lane[T], f *flight[T]) *flight[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(f.done)
	l.current, l.next = l.next, nil
	if l.current != nil && l.current.waiters == 0 {
		l.current = nil
	}
	if l.current == nil {
		delete(c.lanes, key)
	}
	return l.current
}
