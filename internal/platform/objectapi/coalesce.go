package objectapi

import (
	"context"
	"fmt"
	"sync"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// coalescer shares the responses of identical concurrent reads.
	coalescer[T any] struct {
		// freshOnly stops callers from joining a read that was already sent,
		// because its response may be older than a write that they know of. They
		// share the next read instead.
		freshOnly bool

		mu     sync.Mutex
		queues map[string]*readQueue[T]
	}

	// readQueue holds the running and the next read of one key.
	readQueue[T any] struct {
		current, next *sharedRead[T]
	}

	// sharedRead is one read that callers share. Its fields except done are
	// guarded by the coalescer's lock until done is closed.
	sharedRead[T any] struct {
		run     func(ctx context.Context, onSend func(bool)) (T, error)
		ctx     context.Context
		cancel  context.CancelFunc
		waiters int
		sent    bool
		done    chan struct{}
		value   T
		err     error
	}
)

// do runs the read, or calls joined and waits for an identical read.
func (c *coalescer[T]) do(ctx context.Context, key string, run func(context.Context, func(bool)) (T, error), joined func()) (T, error) {
	r, shared := c.join(ctx, key, run)
	if shared {
		joined()
	}
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		c.leave(r)
		var zero T
		return zero, fmt.Errorf("%w: wait for read: %w", mulberryspool.ErrUnavailable, ctx.Err())
	}
}

// join returns the read to wait for, and whether another caller started it.
func (c *coalescer[T]) join(ctx context.Context, key string, run func(context.Context, func(bool)) (T, error)) (r *sharedRead[T], shared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queues == nil {
		c.queues = make(map[string]*readQueue[T])
	}
	q := c.queues[key]
	if q == nil {
		q = &readQueue[T]{}
		c.queues[key] = q
	}
	switch {
	case q.current == nil:
		q.current = newSharedRead(ctx, run)
		go c.runQueue(key, q, q.current)
		return q.current, false
	case q.current.joinable(c.freshOnly):
		r = q.current
	case q.next != nil && q.next.ctx.Err() == nil:
		r = q.next
	default:
		// A queued read that its callers cancelled is replaced.
		q.next = newSharedRead(ctx, run)
		return q.next, false
	}
	r.waiters++
	return r, true
}

func newSharedRead[T any](ctx context.Context, run func(context.Context, func(bool)) (T, error)) *sharedRead[T] {
	r := &sharedRead[T]{run: run, waiters: 1, done: make(chan struct{})}
	// The read continues for the other callers if the first one cancels.
	r.ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return r
}

func (r *sharedRead[T]) joinable(freshOnly bool) bool {
	return r.ctx.Err() == nil && (!freshOnly || !r.sent)
}

// leave cancels the read when its last caller is gone.
func (c *coalescer[T]) leave(r *sharedRead[T]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.waiters--
	if r.waiters == 0 {
		r.cancel()
	}
}

// runQueue runs a read and those that are queued behind it.
func (c *coalescer[T]) runQueue(key string, q *readQueue[T], r *sharedRead[T]) {
	for r != nil {
		r.value, r.err = r.run(r.ctx, func(sending bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			r.sent = sending
		})
		r.cancel()
		r = c.finish(key, q, r)
	}
}

// finish completes a read and returns the next one of the queue, or nil.
func (c *coalescer[T]) finish(key string, q *readQueue[T], r *sharedRead[T]) *sharedRead[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(r.done)
	q.current, q.next = q.next, nil
	if q.current != nil && q.current.waiters == 0 {
		q.current = nil
	}
	if q.current == nil {
		delete(c.queues, key)
	}
	return q.current
}
