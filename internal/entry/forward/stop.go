package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/gracefulstop"
)

// codeStopping is the code of requests that end early, or are refused, because the entry
// stops.
const codeStopping = "stopping"

// stopState is the state of a planned stop.
type stopState struct {
	begun atomic.Bool
	once  sync.Once
	// answer is done when requests in flight have to be answered.
	answer     context.Context
	endRunning context.CancelFunc

	mu   sync.Mutex
	stop gracefulstop.Stop
}

func (h *Handler) stopState() *stopState {
	s := &h.stopping
	s.once.Do(func() {
		s.answer, s.endRunning = context.WithCancel(context.Background())
		s.stop.Grace = h.GracefulStop
	})
	return s
}

// BeginStop begins a planned stop: each response closes its connection, requests that
// can't end in time are refused, and those in flight are answered in time. It returns the
// times of its steps.
func (h *Handler) BeginStop() (closeIdleBy, answerBy, endBy time.Time) {
	s := h.stopState()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := h.Clock.Now()
	s.stop.Begin(now)
	if !s.begun.Swap(true) {
		h.Clock.AfterFunc(s.stop.AnswerBy().Sub(now), s.endRunning)
	}
	return s.stop.CloseIdleBy(), s.stop.AnswerBy(), s.stop.EndBy()
}

// Stopping reports whether a planned stop has begun.
func (h *Handler) Stopping() bool { return h.stopping.begun.Load() }

// mustAnswer reports whether requests in flight have to be answered now.
func (h *Handler) mustAnswer() bool { return h.stopState().answer.Err() != nil }

// canEnd reports whether the request, or another attempt of it, can end before the process
// does.
func (q *request) canEnd() bool {
	s := q.handler.stopState()
	if !s.begun.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := gracefulstop.Request{
		Route: q.route.Name, Deadline: q.deadline, ArrivedAt: q.arrivedAt,
		Repeatable: q.retryable(), Stream: q.route.Kind == mulberryspool.Streaming,
	}
	return s.stop.Accepts(r, q.handler.Clock.Now())
}

// arrive records a request in flight. The returned function records its end.
func (q *request) arrive() (end func()) {
	s := q.handler.stopState()
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket := s.stop.Arrive(q.route.Name, q.arrivedAt)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stop.End(ticket, q.answered, q.handler.Clock.Now())
	}
}
