package chunks

import (
	"context"
	"slices"
	"sync"
)

// Classes of requests that wait for an upload slot.
const (
	ordinary class = iota
	// urgent requests bring a chunk into a region that lacks it, for which the whole region
	// waits, or to one of the few agents that need a copy first.
	urgent
	classCount
)

type (
	class int

	// slotQueue limits the concurrent uploads and the requests that wait for one. In
	// each class, the request that came first is served first.
	slotQueue struct {
		mu   sync.Mutex
		free int
		// maxWaiting limits the waiting requests of each class.
		maxWaiting int
		waiting    [classCount][]chan struct{}
	}
)

func newSlotQueue(slots int) *slotQueue {
	return &slotQueue{free: slots, maxWaiting: slots}
}

// acquire takes a slot, waiting for it until the context ends, and reports whether it got
// one. It refuses at once if too many requests of the class wait already.
func (q *slotQueue) acquire(ctx context.Context, c class) bool {
	ready := q.enqueue(c)
	if ready == nil {
		return false
	}
	select {
	case <-ready:
		return true
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting[c], ready); i >= 0 {
		q.waiting[c] = slices.Delete(q.waiting[c], i, i+1)
		return false
	}
	// The slot was passed on at the same time.
	return true
}

// enqueue returns a channel that is closed once the request has a slot, or nil if it must
// not wait.
func (q *slotQueue) enqueue(c class) chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	ready := make(chan struct{})
	if q.free > 0 {
		q.free--
		close(ready)
		return ready
	}
	if len(q.waiting[c]) >= q.maxWaiting {
		return nil
	}
	q.waiting[c] = append(q.waiting[c], ready)
	return ready
}

// release passes the slot on to the next waiting request.
func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range []class{urgent, ordinary} {
		if len(q.waiting[c]) > 0 {
			close(q.waiting[c][0])
			q.waiting[c] = q.waiting[c][1:]
			return
		}
	}
	q.free++
}
