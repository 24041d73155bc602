package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/coldstart"
	"github.com/mulberryspool/mulberryspool/internal/entry/serverlimit"
	"github.com/mulberryspool/mulberryspool/internal/entry/serverload"
	"github.com/mulberryspool/mulberryspool/internal/entry/serverpause"
	"github.com/mulberryspool/mulberryspool/internal/entry/shedding"
	"github.com/mulberryspool/mulberryspool/internal/entry/silence"
)

const (
	// peerTimeout is how long the last report of another entry is valid.
	peerTimeout = time.Second
	// plainQueueFactor is the number of requests per slot that a plain service
	// is given. Its requests are short, and it has a queue of its own.
	plainQueueFactor = 2
	// defaultSlots is assumed for a backend server that reports no slots.
	defaultSlots = 4
	// responseMargin is the part of the latency objective that is reserved for
	// sending the response to the caller.
	responseMargin = 60 * time.Millisecond
	// minWait is how long any request may wait for capacity. It is about as long
	// as the entry's view of its peers' requests lags behind.
	minWait = 40 * time.Millisecond
	// fullBackoff is how long a backend server that answered Full is skipped.
	fullBackoff = 80 * time.Millisecond
	// initialServiceTime is assumed for a plain service before its first response.
	initialServiceTime = 50 * time.Millisecond
	// averageGain is the weight of a new observation in a moving average.
	averageGain = 0.1
)

type (
	// Placer is the state of one pool. Set the exported fields before the first use.
	Placer struct {
		Config Config
		Random *rand.Rand

		pool    mulberryspool.IngressPool
		servers map[mulberryspool.InstanceID]*server
		// ordered holds the servers sorted by instance ID.
		ordered []*server
		peers   map[string]peerState
		// pauses outlasts the listing of a server, which may be interrupted.
		pauses      serverpause.Pauses
		evacuations evacuations
		// cold outlasts it as well.
		cold coldstart.Servers
		// heldBack is the number of requests that found no place while a cold server had one.
		heldBack int64
		// namedVersions holds when each version became the named version.
		namedVersions map[int64]time.Time
		// meanServiceTime is the moving average of the time that requests take;
		// 0 before the first response.
		meanServiceTime time.Duration
		lastTicket      Ticket
		// silenceObservedAt is when ObserveSilence was last called.
		silenceObservedAt time.Time
		waiting           []*queuedRequest
		shedding          shedding.Pool
		outages           outages
		// noSlotAt is when a request that any server may serve last found no slot.
		noSlotAt time.Time
	}

	server struct {
		mulberryspool.BackendServer
		// version is the version that the server accepts requests for; 0 for none.
		version int64
		// misdirectedUntil is set while the version is in doubt.
		misdirectedUntil time.Time
		fullUntil        time.Time
		limit            serverlimit.Limit
		// unservedSince is when the server stopped accepting requests to change its version;
		// zero if it serves one, or that isn't known.
		unservedSince time.Time
		// cold is nil if the pool has no cold servers.
		cold *coldstart.Server
		// acceptsUntil is when the server stops accepting requests; zero if unknown.
		acceptsUntil time.Time
		ownLoad      Load
		// peerLoad is the sum of the loads that the peers reported.
		peerLoad Load
		// freedAt is when a peer last freed capacity while the server was full.
		freedAt  time.Time
		health   health
		load     serverload.Estimate
		silence  silence.Silence
		activity *Activity
		// silent is set while the server has stopped sending.
		silent bool
		// reportedSilent is what SilenceChanges returned last, probedAt when the server
		// was last probed because of its silence.
		reportedSilent bool
		probedAt       time.Time
	}

	peerState struct {
		reportedAt    time.Time
		failureDomain string
		waiting       int
		urgent        bool
		loads         map[mulberryspool.InstanceID]Load
	}

	// poolCapacity is the capacity of some servers of a pool.
	poolCapacity struct {
		servers int
		// requests is how many may be in flight, effective how many of them the rate
		// limits of the servers allow.
		requests  int
		effective float64
		inFlight  int
		// availableAt is when the first of the servers has no pause; zero if that is now.
		availableAt time.Time
		// freeAfterPause is how many requests those of them that are paused could get.
		freeAfterPause int
		// pausedUntil is the first end of the longer pauses of further servers, which are
		// not counted; zero if there are none.
		pausedUntil time.Time
	}

	queuedRequest struct {
		ticket    Ticket
		request   Request
		waitUntil time.Time
		// late is set once the request may be placed although it misses its
		// latency objective.
		late bool
		// promoted is by how much the rank of the request is more urgent than its priority's.
		promoted int
		// heldBack is set once it was counted in Placer.heldBack.
		heldBack bool
		// admitted is set for a new request that was not rejected early.
		admitted bool
	}
)

// SetPool replaces the published properties of the pool.
func (p *Placer) SetPool(pool mulberryspool.IngressPool) {
	p.pool = pool
	p.cold.SetPool(pool, p.Config.ColdOvershoot, p.Config.ColdSlack)
}

// SetServers replaces the backend servers of the pool. Leaving servers are kept
// to track their requests in flight and get no new ones.
func (p *Placer) SetServers(list []mulberryspool.BackendServer) {
	known := p.servers
	p.servers = make(map[mulberryspool.InstanceID]*server, len(list))
	p.ordered = p.ordered[:0]
	for _, b := range list {
		s := known[b.Instance]
		if s == nil || s.Born != b.Born || s.Address != b.Address {
			s = &server{}
		}
		served := b.Serves(p.pool.Model)
		if s.Instance == "" || served > s.version {
			s.version, s.misdirectedUntil = served, time.Time{}
		}
		s.BackendServer = b
		p.servers[b.Instance] = s
		p.ordered = append(p.ordered, s)
	}
	slices.SortFunc(p.ordered, func(a, b *server) int { return cmp.Compare(a.Instance, b.Instance) })
	p.sumPeerLoads()
}

// SetServedVersion records what an agent reports of its backend server: the
// version that it accepts requests for, 0 for none, and until when; the zero
// time means unknown. Reports of another incarnation are ignored.
func (p *Placer) SetServedVersion(id mulberryspool.InstanceID, born, version int64, until time.Time) {
	s := p.servers[id]
	if s == nil || born != 0 && s.Born != 0 && born != s.Born {
		return
	}
	// An incarnation never returns to an older version, so a report of a smaller
	// one is outdated.
	if version == 0 || version > s.version {
		s.version, s.misdirectedUntil = version, time.Time{}
	}
	s.acceptsUntil = until
}

// Waiting returns the number of waiting requests.
func (p *Placer) Waiting() int { return len(p.waiting) }

// Offer decides on a new request.
func (p *Placer) Offer(r Request, now time.Time) Decision {
	p.lastTicket++
	q := &queuedRequest{ticket: p.lastTicket, request: r}
	if p.shed(q, now) {
		return p.refuse(q, ReasonOverload, now)
	}
	if open, ok := p.uncontended(q); ok {
		restricted := *q
		restricted.request = open
		if d, ok := p.place(&restricted, now); ok {
			return d
		}
		q.heldBack = restricted.heldBack
	}
	return p.enqueueOrRefuse(q, now)
}

// Withdraw removes a waiting request.
func (p *Placer) Withdraw(t Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q *queuedRequest) bool {
		if q.ticket == t {
			p.recordRefused(q)
		}
		return q.ticket == t
	})
}

// RecordFirstEvent records that the first event of a request, or its whole
// response, was received, so that its prompt is no longer pending.
func (p *Placer) RecordFirstEvent(id mulberryspool.InstanceID, promptTokens int) {
	if s := p.servers[id]; s != nil {
		s.ownLoad.PendingPromptTokens = max(0, s.ownLoad.PendingPromptTokens-promptTokens)
	}
}

// RecordEnd records the end of an exchange. The argument firstEvent is whether
// RecordFirstEvent was called for it. RecordEnd reports whether it freed
// capacity at a full server.
func (p *Placer) RecordEnd(id mulberryspool.InstanceID, promptTokens int, firstEvent bool, o Outcome, took time.Duration, now time.Time) bool {
	s := p.servers[id]
	if s == nil {
		return false
	}
	s.load.RecordKnown(s.inFlight(), now)
	wasFull := s.inFlight() >= p.capacity(s)
	s.ownLoad.Requests = max(0, s.ownLoad.Requests-1)
	if !firstEvent {
		p.RecordFirstEvent(id, promptTokens)
	}
	switch o {
	case Answered:
		p.meanServiceTime = movingAverage(p.serviceTime(), took)
	case Full:
		s.fullUntil = now.Add(fullBackoff)
	case Misdirected:
		s.misdirectedUntil = now.Add(misdirectedBackoff)
	case Broken, Unreachable:
		s.cold.RecordLost(now)
	}
	s.silence.Ended()
	switch o {
	case Answered, Failed, Full, Misdirected:
		s.silence.Heard(now)
	}
	s.health.recordOutcome(o, now)
	return wasFull && s.inFlight() < p.capacity(s)
}

// RecordSlowdown records the mean interval between the events of a response, as
// a ratio to the interval in the pool's engine profile.
func (p *Placer) RecordSlowdown(id mulberryspool.InstanceID, ratio float64) {
	if s := p.servers[id]; s != nil {
		s.load.RecordInterval(ratio)
	}
}

// DecideWaiting places waiting requests while there is capacity, and ends the
// waits that have timed out. Call it after any change, and at NextWake.
func (p *Placer) DecideWaiting(now time.Time) []Decision {
	decisions := p.placeWaiting(now)
	p.waiting = slices.DeleteFunc(p.waiting, func(q *queuedRequest) bool {
		excluded := p.excludedReason(q.request, now)
		switch {
		case !now.Before(q.waitUntil):
			decisions = append(decisions, p.expire(q, now))
		case p.allPaused(q.request, q.waitUntil, now):
			decisions = append(decisions, p.refuse(q, ReasonPaused, now))
		case excluded != "":
			decisions = append(decisions, p.refuse(q, excluded, now))
		default:
			return false
		}
		return true
	})
	return decisions
}

// expire ends a wait. The request may still be placed at a server with free
// capacity whose pending prompts make it miss its latency objective: a late
// response is better than none.
func (p *Placer) expire(q *queuedRequest, now time.Time) Decision {
	q.late = true
	if d, ok := p.place(q, now); ok {
		return d
	}
	return p.refuse(q, ReasonWaitTimeout, now)
}

// NextWake returns when DecideWaiting must be called although nothing changed:
// when a wait times out, or when this entry's turn at a server comes. It returns
// false if there is no such time.
func (p *Placer) NextWake(now time.Time) (time.Time, bool) {
	var next time.Time
	earliest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, q := range p.waiting {
		earliest(q.waitUntil)
	}
	if len(p.waiting) > 0 {
		urgent := slices.ContainsFunc(p.waiting, func(q *queuedRequest) bool { return p.isKnownUrgent(q, now) })
		for _, s := range p.ordered {
			if s.inFlight() >= p.capacity(s) {
				continue
			}
			// The turn is found out when the server is available.
			if end := p.pausedUntil(s, now); !end.IsZero() {
				earliest(end)
			} else if available := s.limit.AvailableAt(now); available.After(now) {
				earliest(available)
			} else if available := s.cold.AvailableAt(now); available.After(now) {
				earliest(available)
			} else if at := p.turnAt(s, urgent, now); at.After(now) {
				earliest(at)
			}
		}
	}
	return next, !next.IsZero()
}

func (p *Placer) place(q *queuedRequest, now time.Time) (Decision, bool) {
	s := p.choose(q, now)
	if s == nil {
		return Decision{}, false
	}
	d := Decision{
		Ticket: q.ticket, Verdict: Placed, Reason: ReasonFreeCapacity, Server: s.BackendServer, Version: s.version,
		InFlight: s.inFlight(), Capacity: p.capacity(s), PendingPromptTokens: s.pendingPromptTokens(),
	}
	if p.pool.Model != "" {
		d.StartBy = p.startBy(s.FailureDomain, s.Instance, s.version, now)
	}
	if s.activity == nil {
		s.activity = &Activity{base: now}
	}
	d.Activity = s.activity
	s.silence.Sent(now)
	s.limit.Take(now)
	s.cold.Reserve(now)
	s.ownLoad.Requests++
	s.load.RecordKnown(s.inFlight(), now)
	s.ownLoad.PendingPromptTokens += q.request.PromptTokens
	s.health.recordSent(now)
	p.recordPlaced(q, now)
	return d, true
}

// enqueueOrRefuse queues a request if capacity is expected to be free in time.
func (p *Placer) enqueueOrRefuse(q *queuedRequest, now time.Time) Decision {
	if len(q.request.Exclude) == 0 && q.request.Version == 0 && q.request.Regions == nil {
		p.noSlotAt = now
	}
	limit := p.maxWait(q.request, now)
	capacity := p.usableCapacity(q.request, now, now.Add(limit))
	if capacity.servers == 0 {
		reason, excluded := ReasonNoServer, p.excludedReason(q.request, now)
		switch {
		case !capacity.pausedUntil.IsZero():
			reason = ReasonPaused
		case excluded != "":
			reason = excluded
		case len(q.request.Exclude) > 0:
			reason = ReasonNoOtherServer
		}
		return p.refuse(q, reason, now)
	}
	ahead := p.waitingAheadOf(q) - capacity.freeAfterPause
	if ahead >= 0 && max(0, capacity.availableAt.Sub(now))+p.expectedWait(capacity, ahead, now) > limit {
		return p.refuse(q, ReasonFull, now)
	}
	q.waitUntil = now.Add(limit)
	p.waiting = append(p.waiting, q)
	return Decision{Ticket: q.ticket, Verdict: Waiting, Reason: ReasonFull}
}

func (p *Placer) refuse(q *queuedRequest, reason Reason, now time.Time) Decision {
	p.recordRefused(q)
	capacity := p.usableCapacity(q.request, now, now)
	return Decision{
		Ticket: q.ticket, Verdict: Refused, Reason: reason, InFlight: capacity.inFlight, Capacity: capacity.requests,
		RetryAfter: p.retryAfter(q.request, reason, capacity, now),
	}
}
