package dispatch

import (
	"container/heap"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// timer schedules a check of a request, an agent or a pool. The check
	// itself decides whether anything is due, so timers are never cancelled.
	timer struct {
		due     time.Time
		request mulberryspool.RequestID
		agent   mulberryspool.InstanceID
		pool    string
	}

	timerHeap []timer
)

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

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

func (r *Reducer) addTimer(t timer) {
	heap.Push(&r.timers, t)
}

// updateTimer emits SetTimer if the time of the earliest timer has changed.
func (r *Reducer) updateTimer() {
	if len(r.timers) == 0 || r.timers[0].due.Equal(r.timerSetFor) {
		return
	}
	r.timerSetFor = r.timers[0].due
	r.emit(SetTimer{At: r.timerSetFor})
}

func (r *Reducer) fireTimers() {
	for len(r.timers) > 0 && !r.timers[0].due.After(r.now) {
		t := heap.Pop(&r.timers).(timer)
		switch {
		case t.request != "":
			if q := r.requests[t.request]; q != nil {
				r.checkTimeouts(q)
			}
		case t.agent != "":
			if a := r.agents[t.agent]; a != nil {
				r.openConnIfNeeded(a)
			}
		case t.pool != "":
			if p := r.pools[t.pool]; p != nil {
				p.queueTimerSet = false
				r.processQueue(p)
			}
		}
	}
	// The timer has fired, so updateTimer must set it again.
	r.timerSetFor = time.Time{}
}

// checkTimeouts ends a request whose deadline has passed, or the current phase
// if it has lasted too long.
func (r *Reducer) checkTimeouts(q *request) {
	if !q.deadline.After(r.now) {
		r.deadlinePassed(q)
		return
	}
	if q.phaseDeadline.IsZero() || q.phaseDeadline.After(r.now) {
		return
	}
	q.phaseDeadline = time.Time{}
	switch q.phase {
	case phaseSelecting:
		r.fail(q, r.notRunError(q))
	case phaseReconnecting, phaseResolving:
		r.handleLostAttempt(q, CodeAgentLost)
	}
}

func (r *Reducer) setPhaseTimeout(q *request, timeout time.Duration) {
	q.phaseDeadline = r.now.Add(timeout)
	r.addTimer(timer{due: q.phaseDeadline, request: q.submission.ID})
}
