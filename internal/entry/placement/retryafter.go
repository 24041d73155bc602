package placement

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// minRetryAfter and maxSlotRetryAfter bound the hint for a refused caller while slots
	// become free.
	minRetryAfter     = 400 * time.Millisecond
	maxSlotRetryAfter = 1900 * time.Millisecond
	// maxRetryAfter bounds the hint while it isn't known when a slot will be free for the
	// caller.
	maxRetryAfter = 6 * time.Second
)

// outages holds what is known of the times in which requests can't be served.
type outages struct {
	// overloadedSince and unservedSince are when the pool became overloaded, and when a
	// request was first refused because no server serves it; zero if that is over.
	overloadedSince, unservedSince time.Time
	// meanSwapTime is the moving average of the time between two versions of a server; 0 if
	// there was none.
	meanSwapTime time.Duration
}

// retryAfter is the time until there may be a slot for a refused request. A caller that
// returns earlier would be refused again.
func (p *Placer) retryAfter(r Request, reason Reason, c poolCapacity, now time.Time) time.Duration {
	if c.servers == 0 && !c.pausedUntil.IsZero() {
		return c.pausedUntil.Sub(now) + time.Duration(p.Random.Float64()*float64(minRetryAfter))
	}
	after := min(max(2*p.expectedWait(c, len(p.waiting), now), minRetryAfter), maxSlotRetryAfter)
	if c.requests > 0 && c.inFlight >= c.requests {
		after = maxSlotRetryAfter
	}
	switch {
	case c.servers == 0 && reason != ReasonNoOtherServer:
		if p.outages.unservedSince.IsZero() {
			p.outages.unservedSince = now
		}
		if at, ok := p.nextVersionAt(r, now); ok {
			return min(at.Sub(now), maxRetryAfter) + time.Duration(p.Random.Float64()*float64(minRetryAfter))
		}
		after = lasting(p.outages.unservedSince, now)
	case reason == ReasonNoServer:
		after = maxSlotRetryAfter
	case p.shedding.Overloaded(now):
		// Retries get what new requests leave, which is nothing until the overload ends.
		after = max(after, lasting(p.outages.overloadedSince, now))
	}
	// The jitter spreads the retries of callers that were refused together.
	return time.Duration((0.7 + 0.3*p.Random.Float64()) * float64(after))
}

// lasting is the expected remaining time of a condition whose end isn't known. One that has
// lasted for long is expected to last as long again.
func lasting(since, now time.Time) time.Duration {
	if since.IsZero() {
		return maxSlotRetryAfter
	}
	return min(max(maxSlotRetryAfter, now.Sub(since)), maxRetryAfter)
}

// nextVersionAt returns when the first server that changes its version, or whose version is
// in doubt, is expected to serve the request. It returns false if there is none.
func (p *Placer) nextVersionAt(r Request, now time.Time) (time.Time, bool) {
	var next time.Time
	for _, s := range p.ordered {
		if s.Leaving || p.pool.Model == "" {
			continue
		}
		at := s.misdirectedUntil
		if s.version == 0 {
			if s.unservedSince.IsZero() || p.outages.meanSwapTime == 0 {
				continue
			}
			at = s.unservedSince.Add(p.outages.meanSwapTime)
		} else if r.Version != 0 && s.version != r.Version {
			continue
		}
		// An estimate that has passed was wrong.
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// RecordSwap records when a server stops and resumes to accept requests for a version. Call it
// before SetServedVersion.
func (p *Placer) RecordSwap(id mulberryspool.InstanceID, version int64, now time.Time) {
	s := p.servers[id]
	switch {
	case s == nil:
	case version == 0 && s.version != 0:
		s.unservedSince = now
	case version != 0 && s.version == 0 && !s.unservedSince.IsZero():
		if took := now.Sub(s.unservedSince); p.outages.meanSwapTime == 0 {
			p.outages.meanSwapTime = took
		} else {
			p.outages.meanSwapTime = movingAverage(p.outages.meanSwapTime, took)
		}
		s.unservedSince = time.Time{}
	}
}

// noteOutages updates which outages go on.
func (p *Placer) noteOutages(placed bool, now time.Time) {
	if placed {
		p.outages.unservedSince = time.Time{}
	}
	switch overloaded := p.shedding.Overloaded(now); {
	case !overloaded:
		p.outages.overloadedSince = time.Time{}
	case p.outages.overloadedSince.IsZero():
		p.outages.overloadedSince = now
	}
}
