package engine

import (
	"container/heap"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

type (
	// batch limits the requests that run at the same time to the capacity. The
	// others wait in a queue, ordered by priority and then by arrival.
	batch struct {
		mu          sync.Mutex
		capacity    int
		maxWaiting  int
		running     int
		nextArrival int
		queue       queue
		// onChange is called with mu held whenever one of its arguments may
		// have changed.
		onChange func(running, waiting, queuedTokens int)
	}

	// waiter is a request in the queue.
	waiter struct {
		priority int
		arrival  int
		// tokens is the length of the requested response.
		tokens int
		// index is the position in the heap.
		index int
		// admitted is closed when the request gets a slot.
		admitted chan struct{}
	}

	// queue is a heap with the request that runs next first.
	queue []*waiter
)

var errQueueFull = errors.New("too many requests wait")

func (b *batch) init(capacity, maxWaiting int) {
	b.capacity, b.maxWaiting = capacity, maxWaiting
}

// acquire blocks until the request has a slot in the batch. It returns
// errQueueFull if the queue is full, or an error if the context ends first.
func (b *batch) acquire(ctx context.Context, priority, tokens int) error {
	b.mu.Lock()
	if b.running < b.capacity && len(b.queue) == 0 {
		b.running++
		b.notify()
		b.mu.Unlock()
		return nil
	}
	if len(b.queue) >= b.maxWaiting {
		b.mu.Unlock()
		return errQueueFull
	}
	w := &waiter{priority: priority, arrival: b.nextArrival, tokens: tokens, admitted: make(chan struct{})}
	b.nextArrival++
	heap.Push(&b.queue, w)
	b.notify()
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
		b.releaseLocked()
	default:
		heap.Remove(&b.queue, w.index)
		b.notify()
	}
	return ctx.Err()
}

// release frees the slot of a request and admits the next one.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

// releaseLocked is release for a caller that holds b.mu.
func (b *batch) releaseLocked() {
	b.running--
	if len(b.queue) > 0 {
		w := heap.Pop(&b.queue).(*waiter)
		b.running++
		close(w.admitted)
	}
	b.notify()
}

// notify calls b.onChange. The caller must hold b.mu.
func (b *batch) notify() {
	tokens := 0
	for _, w := range b.queue {
		tokens += w.tokens
	}
	b.onChange(b.running, len(b.queue), tokens)
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
