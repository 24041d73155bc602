package placement

import (
	"slices"
	"time"
)

// maxTries is the number of waiting requests bound to the same regions that are tried although
// they can't use any of the free slots. Trying one takes time in proportion to the servers.
const maxTries = 5

// placeWaiting places waiting requests in their order while there are free slots. A request
// that can't use any of them, as its prompt is too long to be in time or it is bound to other
// servers, doesn't keep the next ones from them.
func (p *Placer) placeWaiting(now time.Time) []Decision {
	if !p.hasFreeSlot(now) {
		return nil
	}
	var (
		decisions []Decision
		skipped   skippedRequests
	)
	slices.SortStableFunc(p.waiting, func(a, b *queuedRequest) int {
		switch {
		case p.precedes(a, b):
			return -1
		case p.precedes(b, a):
			return 1
		}
		return 0
	})
	p.waiting = slices.DeleteFunc(p.waiting, func(q *queuedRequest) bool {
		if skipped.exhausted(q.request) {
			return false
		}
		d, ok := p.place(q, now)
		if !ok {
			skipped = skipped.add(q.request)
			return false
		}
		decisions = append(decisions, d)
		return true
	})
	return decisions
}

// hasFreeSlot reports whether a server has a free slot, whatever request may use it.
func (p *Placer) hasFreeSlot(now time.Time) bool {
	return slices.ContainsFunc(p.ordered, func(s *server) bool {
		return s.inFlight() < p.capacity(s) && !now.Before(s.fullUntil) && !s.Leaving
	})
}

// waitingAheadOf returns the number of waiting requests for the same backend servers that the
// request does not precede.
func (p *Placer) waitingAheadOf(q *queuedRequest) int {
	ahead := 0
	for _, w := range p.waiting {
		if w != q && competes(q.request, w.request) && !p.precedes(q, w) {
			ahead++
		}
	}
	return ahead
}

// precedes orders waiting requests: those that were tried at another server first, new ones
// before retries of the caller, then by priority, then by the time at which the first event is
// due. A request that was refused before is late in any case. During a long overload, each
// slot that it takes makes a new request late as well.
func (p *Placer) precedes(a, b *queuedRequest) bool {
	if a.request.Reattempt != b.request.Reattempt {
		return a.request.Reattempt
	}
	if a.request.CallerRetry != b.request.CallerRetry {
		return b.request.CallerRetry
	}
	if a.rank() != b.rank() {
		return a.rank() < b.rank()
	}
	return a.request.dueAt().Before(b.request.dueAt())
}

// rank is the place of the request's priority in the queue. There is one between each two
// priorities.
func (q *queuedRequest) rank() int {
	return 2*q.request.Priority - q.promoted
}

// dueAt is when the first event is due.
func (r Request) dueAt() time.Time { return r.ArrivedAt.Add(r.LatencyObjective) }
