package placement

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/entry/shedding"
)

// minFreeShare is the part of the slots that must be free for requests to be placed that
// would be rejected early otherwise. Entries learn of each other's placements up to 25 ms
// late, in which a pool whose requests take 0.6 s fills a twenty-fifth of its slots.
const minFreeShare = 0.04

// noSlotMemory is how long after a request found no slot here free ones don't count: they may be
// those of servers that are held back, or the turn of other entries.
const noSlotMemory = 100 * time.Millisecond

// reportDelay is how long the other entries may take to learn of a waiting request.
const reportDelay = 30 * time.Millisecond

// isNew reports whether the request is one that can be in time and wasn't counted yet.
func (r Request) isNew() bool { return !r.Reattempt && !r.CallerRetry && !r.PlacedBefore }

// shed counts the request, and reports whether it is rejected early. It sets whether the
// request waits with the most urgent ones.
func (p *Placer) shed(q *queuedRequest, now time.Time) bool {
	r := q.request
	switch {
	case r.Reattempt || r.PlacedBefore:
		return false
	case r.CallerRetry:
		return (r.EarlyRetry || p.shedding.Overloaded(now)) && !p.hasSpareSlots(now)
	}
	verdict := p.shedding.Offer(r.Priority, r.Workspace, now)
	p.noteOutages(false, now)
	switch verdict {
	case shedding.AdmitFirst:
		q.promoted = 2 * (r.Priority - p.shedding.MostUrgent())
	case shedding.AdmitSecond:
		q.promoted = max(0, 2*(r.Priority-p.shedding.MostUrgent())-1)
	}
	q.admitted = verdict != shedding.Reject
	return !q.admitted && !p.hasSpareSlots(now)
}

// recordPlaced counts a slot that the request got.
func (p *Placer) recordPlaced(q *queuedRequest, now time.Time) {
	r := q.request
	p.noteOutages(true, now)
	switch {
	case r.isNew():
		p.shedding.Placed(r.Priority, r.Workspace, now)
	case r.CallerRetry && !r.Reattempt && !r.PlacedBefore:
		p.shedding.PlacedOther(r.Priority, r.Workspace, now)
	}
}

// recordRefused records that the request got no slot.
func (p *Placer) recordRefused(q *queuedRequest) {
	if q.admitted {
		p.shedding.Refused(q.request.Priority, q.request.Workspace)
	}
}

// hasSpareSlots reports whether there are free slots that no request waits for or has lacked
// recently, more than those that other entries may have filled since their last report.
func (p *Placer) hasSpareSlots(now time.Time) bool {
	if len(p.waiting) > 0 || now.Sub(p.noSlotAt) < noSlotMemory {
		return false
	}
	free, total := 0, 0
	for _, s := range p.ordered {
		if !p.usable(s, Request{}, now) || s.silent || !p.pausedUntil(s, now).IsZero() {
			continue
		}
		capacity := p.capacity(s)
		total += capacity
		if !now.Before(s.fullUntil) && !now.Before(s.limit.AvailableAt(now)) {
			free += max(0, capacity-s.inFlight())
		}
	}
	return free > 0 && float64(free) >= minFreeShare*float64(total)
}

// HasUrgent reports whether requests of the most urgent priority wait in an overloaded pool.
func (p *Placer) HasUrgent(now time.Time) bool {
	return slices.ContainsFunc(p.waiting, func(q *queuedRequest) bool { return p.isUrgent(q, now) })
}

func (p *Placer) isUrgent(q *queuedRequest, now time.Time) bool {
	return q.request.isNew() && q.rank() <= 2*p.shedding.MostUrgent() && p.shedding.Overloaded(now)
}

// isKnownUrgent reports whether the other entries know that an urgent request waits here.
// Otherwise several entries would come first at the same slot.
func (p *Placer) isKnownUrgent(q *queuedRequest, now time.Time) bool {
	return now.Sub(q.request.ArrivedAt) >= reportDelay && p.isUrgent(q, now)
}

// SetPeerDemand records what another entry reports of its load.
func (p *Placer) SetPeerDemand(peer string, report shedding.Report, now time.Time) {
	p.shedding.SetPeer(peer, report, now)
}

// Demand returns what other entries need to know of this entry's load. It returns false if
// the pool isn't overloaded.
func (p *Placer) Demand(now time.Time) (shedding.Report, bool) {
	return p.shedding.Report(now)
}

// Shares returns whether the pool is overloaded, and the part of the new requests of each
// priority that is admitted.
func (p *Placer) Shares(now time.Time) (overloaded bool, shares []shedding.Share) {
	return p.shedding.Overloaded(now), p.shedding.Shares(now)
}
