package engine

import (
	"container/heap"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

type (
	// batch gives out the places of requests that run at once, by priority
	// and then by arrival.
	batch struct {
		mu         sync.Mutex
		capacity   int
		maxWaiting int
		running    int
		arrivals   int
		queue      queue
		// changed is called with the lock held.
		changed func(running, waiting, queuedTokens int)
	}

	waiter struct {
		priority int
		arrival  int
		tokens   int
		index    int
		admitted chan struct{}
	}

	queue []*waiter
)

var errBatchFull = errors.New("too many requests wait")

func (b *batch) init(capacity, maxWaiting int) {
	b.capacity, b.maxWaiting = capacity, maxWaiting
}

// enter returns when the request has a place.
func (b *batch) enter(ctx context.Context, priority, tokens int) error {
	b.mu.Lock()
	if b.running < b.capacity && len(b.queue) == 0 {
		b.running++
		b.note()
		b.mu.Unlock()
		return nil
	}
	if len(b.queue) >= b.maxWaiting {
		b.mu.Unlock()
		return errBatchFull
	}
	w := &waiter{priority: priority, arrival: b.arrivals, tokens: tokens, admitted: make(chan struct{})}
	b.arrivals++
	heap.Push(&b.queue, w)
	b.note()
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.admitted:
		b.release()
	default:
		heap.Remove(&b.queue, w.index)
		b.note()
	}
	return ctx.Err()
}

// leave gives the place to the next request.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

// release needs the lock.
func (b *batch) release() {
	b.running--
	if len(b.queue) > 0 {
		w := heap.Pop(&b.queue).(*waiter)
		b.running++
		close(w.admitted)
	}
	b.note()
}

// note needs the lock.
func (b *batch) note() {
	tokens := 0
	for _, w := range b.queue {
		tokens += w.tokens
	}
	b.changed(b.running, len(b.queue), tokens)
}

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return w
}
