package dispatch

import (
	"container/heap"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// timer names what to look at again; whether it is still due is decided then.
	timer struct {
		at      time.Time
		request mulberryspool.RequestID
		agent   mulberryspool.InstanceID
		pool    string
	}

	timerHeap []timer
)

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (r *Reducer) wakeAt(t timer) {
	heap.Push(&r.timers, t)
}

// rearm emits a timer for the earliest entry if it changed.
func (r *Reducer) rearm() {
	if len(r.timers) == 0 || r.timers[0].at.Equal(r.armed) {
		return
	}
	r.armed = r.timers[0].at
	r.emit(SetTimer{At: r.armed})
}

func (r *Reducer) tick() {
	for len(r.timers) > 0 && !r.timers[0].at.After(r.now) {
		t := heap.Pop(&r.timers).(timer)
		switch {
		case t.request != "":
			if q := r.requests[t.request]; q != nil {
				r.checkWaits(q)
			}
		case t.agent != "":
			if a := r.agents[t.agent]; a != nil {
				r.ensureConn(a)
			}
		case t.pool != "":
			if p := r.pools[t.pool]; p != nil {
				p.ticking = false
				r.pump(p)
			}
		}
	}
	// A timer that fired is no longer armed.
	r.armed = time.Time{}
}

// checkWaits ends the waits of a request that have lasted too long.
func (r *Reducer) checkWaits(q *request) {
	if !q.deadline.After(r.now) {
		r.deadlinePassed(q)
		return
	}
	if q.waitUntil.IsZero() || q.waitUntil.After(r.now) {
		return
	}
	q.waitUntil = time.Time{}
	switch q.phase {
	case phaseChoosing:
		r.fail(q, r.refusedError(q))
	case phaseReconnecting, phaseResolving:
		r.lose(q, CodeAgentLost)
	}
}

func (r *Reducer) setWait(q *request, bound time.Duration) {
	q.waitUntil = r.now.Add(bound)
	r.wakeAt(timer{at: q.waitUntil, request: q.sub.ID})
}
