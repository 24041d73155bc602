package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// tailAllowance is how long a response may continue after its server has
	// stopped accepting requests without adding a cost to the server's score.
	tailAllowance = 300 * time.Millisecond
	// tailCostFactor is the share of the time beyond the allowance that is added
	// to the score.
	tailCostFactor = 0.15
	// firstEventFactor and firstEventMargin make the estimated start of a response
	// pessimistic, so that the actual start is earlier. queuedSlotDelay does the
	// same for a request that has to wait for a slot at the server.
	firstEventFactor = 2
	firstEventMargin = 150 * time.Millisecond
	queuedSlotDelay  = 300 * time.Millisecond
	// trialCost is added to the score of a trial for each request that it may cut.
	trialCost = time.Second
	// maxTail bounds the time beyond the allowance that is counted.
	maxTail = 2 * time.Second
	// turnInterval is the time between the turns of two entries. It is long
	// enough for a placement to be reported to the other entries.
	turnInterval = 9 * time.Millisecond
)

// choose returns the backend server with the earliest expected first event, or
// nil if none has free capacity or none would meet the latency objective.
func (p *Placer) choose(q *queuedRequest, now time.Time) *server {
	r := q.request
	var (
		best       *server
		bestScore  time.Duration
		fallback   *server
		lastResort *server
		heldBack   bool
	)
	avoid, urgent := p.mayAvoid(now), p.isKnownUrgent(q, now)
	for _, s := range p.ordered {
		if !p.usable(s, r, now) || now.Before(s.fullUntil) || p.occupied(s, now) >= p.capacity(s) || !q.late && !p.meetsObjective(s, r, now) {
			continue
		}
		if !p.pausedUntil(s, now).IsZero() || now.Before(s.limit.AvailableAt(now)) || !r.Reattempt && now.Before(p.turnAt(s, urgent, now)) {
			continue
		}
		if now.Before(s.cold.AvailableAt(now)) {
			heldBack = true
			continue
		}
		if s.silent {
			if !avoid {
				lastResort = s
			}
			continue
		}
		if avoid && s.health.avoided(now) {
			if fallback == nil || s.health.suspicion < fallback.health.suspicion {
				fallback = s
			}
			continue
		}
		score := p.score(s, now) + p.tailCost(s, r, now) + p.coldCost(s, r, now)
		if r.Trial {
			score += time.Duration(s.inFlight()) * trialCost
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil && r.Reattempt && fallback != nil {
		return fallback
	}
	if best == nil && lastResort == nil && heldBack {
		p.recordHeldBack(q)
	}
	if best == nil {
		return lastResort
	}
	return best
}

// usable reports whether the backend server may get the request at all; free
// capacity is not checked here.
func (p *Placer) usable(s *server, r Request, now time.Time) bool {
	return p.admits(s.BackendServer, r) && p.able(s, r, now)
}

// able reports whether the backend server could serve the request.
func (p *Placer) able(s *server, r Request, now time.Time) bool {
	if s.Leaving || slices.Contains(r.Exclude, s.Instance) {
		return false
	}
	if p.pool.Model == "" {
		return true
	}
	if s.version == 0 || now.Before(s.misdirectedUntil) || r.Version != 0 && s.version != r.Version {
		return false
	}
	return p.startsWithinGrace(s, r, now)
}

// score is the expected time to the first event.
func (p *Placer) score(s *server, now time.Time) time.Duration {
	n := p.occupied(s, now)
	capacity := p.capacity(s)
	var expected time.Duration
	if p.pool.Engine != nil {
		expected = p.passTime() + p.prefillTime(s.pendingPromptTokens())
		// The fuller the batch, the less capacity is left for the next arrivals.
		expected += time.Duration(float64(p.serviceTime()) * float64(n) / float64(2*capacity))
	} else {
		expected = time.Duration(float64(p.serviceTime()) * float64(n+1) / float64(max(1, s.slots())))
	}
	expected = time.Duration(float64(expected) * s.load.Slowdown(now))
	if s.FailureDomain != p.Config.FailureDomain {
		expected += p.Config.CrossDomainDelay
	}
	expected += s.health.penalty(now)
	// Without jitter, entries with the same view would all choose the same server.
	return expected + time.Duration(p.Random.Float64()*float64(scoreJitter))
}

// meetsObjective reports whether the request can meet its latency objective
// behind the prompts that the server still has to process. Without this check,
// a server that rejoins empty would be given all waiting requests at once, and
// all of them would be late.
func (p *Placer) meetsObjective(s *server, r Request, now time.Time) bool {
	pending := s.pendingPromptTokens()
	if p.pool.Engine == nil || pending == 0 || r.Reattempt || r.CallerRetry {
		return true
	}
	expected := 2*p.passTime() + p.prefillTime(pending+r.PromptTokens)
	expected = time.Duration(float64(expected) * s.load.Work(now))
	return now.Add(expected).Before(r.ArrivedAt.Add(r.LatencyObjective - responseMargin))
}

// tailCost is added to the score if the response would outlast the time at which
// the server stops accepting requests: the server's other slots stay empty
// until its last response ends.
func (p *Placer) tailCost(s *server, r Request, now time.Time) time.Duration {
	e := p.pool.Engine
	if e == nil || s.acceptsUntil.IsZero() {
		return 0
	}
	tokens := cmp.Or(r.AnswerTokens, e.MeanAnswerTokens)
	duration := time.Duration(float64(p.serviceTime()) * float64(tokens) / float64(max(1, e.MeanAnswerTokens)))
	excess := now.Add(duration).Sub(s.acceptsUntil.Add(tailAllowance))
	return time.Duration(tailCostFactor * float64(min(max(0, excess), maxTail)))
}

// capacity is the number of requests that may be in flight at a backend server.
func (p *Placer) capacity(s *server) int {
	if p.pool.Engine == nil {
		return plainQueueFactor * s.slots()
	}
	// A request beyond the slots starts only when another one ends. At the entry
	// it can still go to whichever server has a free slot first.
	return s.slots()
}

// usableCapacity returns the capacity of the usable servers whose pauses end by the
// given time.
func (p *Placer) usableCapacity(r Request, now, by time.Time) poolCapacity {
	var c poolCapacity
	avoid := p.mayAvoid(now)
	for _, s := range p.ordered {
		if !p.usable(s, r, now) || avoid && s.silent {
			continue
		}
		end := p.pausedUntil(s, now)
		if !end.IsZero() && end.After(by) {
			if c.pausedUntil.IsZero() || end.Before(c.pausedUntil) {
				c.pausedUntil = end
			}
			continue
		}
		if c.servers == 0 || end.Before(c.availableAt) {
			c.availableAt = end
		}
		c.servers++
		capacity := p.capacity(s)
		c.requests += capacity
		occupied := p.occupied(s, now)
		c.inFlight += occupied
		if !end.IsZero() {
			c.freeAfterPause += max(0, capacity-occupied)
		}
		effective := p.effectiveCapacity(s, now)
		if s.limit.Active(now) {
			effective = min(effective, s.limit.Rate()*p.serviceTime().Seconds())
		}
		c.effective += effective
	}
	return c
}

// turnAt is when this entry may use capacity that another entry has freed, or the
// next request that a rate limit allows. All entries learn of it at the same moment,
// so those with waiting requests take turns: first those in the server's failure
// domain, then in an order that differs from server to server. With a rate limit the
// order differs from request to request and prefers no failure domain, since the
// server may be the only one. While the pool is overloaded, all entries with requests for it
// take turns: each of them has a request for the slot within a few milliseconds. Those that are
// known to have urgent ones waiting come first.
func (p *Placer) turnAt(s *server, urgent bool, now time.Time) time.Time {
	available := s.limit.AvailableAt(now)
	limited := !available.IsZero()
	from := s.freedAt
	if available.After(from) {
		from = available
	}
	if now.Sub(from) > time.Duration(len(p.peers))*turnInterval {
		return time.Time{}
	}
	rank := 0
	local, key := limited || p.Config.FailureDomain == s.FailureDomain, turnKey(p.Config.EntryName, s)
	for name, peer := range p.peers {
		if peer.waiting == 0 && !p.shedding.Competes(name) {
			continue
		}
		if peer.urgent != urgent {
			if peer.urgent {
				rank++
			}
			continue
		}
		peerLocal := limited || peer.failureDomain == s.FailureDomain
		if peerLocal && !local || peerLocal == local && turnKey(name, s) < key {
			rank++
		}
	}
	return from.Add(time.Duration(rank) * turnInterval)
}

// turnKey orders the entries that take turns at a server.
func turnKey(entry string, s *server) uint64 {
	key := entry + "@" + string(s.Instance)
	if total := s.limit.Total(); total > 0 {
		key += "#" + strconv.FormatUint(total, 10)
	}
	return xxhash.Sum64String(key)
}

// Summary returns the number of usable servers, their total capacity and what
// is in flight there, for metrics.
func (p *Placer) Summary(now time.Time) (usable, capacity, inFlight int) {
	c := p.usableCapacity(Request{}, now, now)
	return c.servers, c.requests, c.inFlight
}

func (s *server) inFlight() int {
	return s.ownLoad.Requests + s.peerLoad.Requests
}

// pendingPromptTokens is the number of prompt tokens that the server still has to
// process.
func (s *server) pendingPromptTokens() int {
	return s.ownLoad.PendingPromptTokens + s.peerLoad.PendingPromptTokens
}

func (s *server) slots() int {
	return cmp.Or(max(0, s.Slots), defaultSlots)
}

func movingAverage(old, value time.Duration) time.Duration {
	return old + time.Duration(averageGain*float64(value-old))
}
