// Package routing chooses the agent that runs a request.
//
//	prefix --> bucket --> preferred agents (rendezvous order)
//	              |  all of them unready or above the load bound
//	              v
//	the preferred ones and two random ready agents --> the lowest cost
//
// The preferred agents of a bucket are recomputed when the set of agents
// changes, so that a choice costs the same at any number of agents.
package routing

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// buckets is how many groups the prefixes are hashed into.
	buckets = 1024
	// preferred is how many agents a bucket prefers, in rendezvous order.
	preferred = 4
	// loadBound is how far above the average an agent's cost may be before
	// its prefixes go elsewhere. The bounded-load analysis of consistent
	// hashing asks for a factor above 1. A larger one lets requests queue at
	// busy agents while others have free capacity.
	loadBound = 1.1
	// freeCost is the cost below which an agent still has free capacity, so
	// that its prefixes never have to go elsewhere. It leaves room for
	// requests that arrived after the last report.
	freeCost = idleCost + 0.7
	// idleCost is the cost of an idle agent of average speed, beside a cost
	// of 1 for each time its capacity is filled. It makes a slow agent cost
	// more even when it is idle.
	idleCost = 0.5
	// randomChoices is how many random agents are compared; two choices
	// already remove most of the imbalance of one.
	randomChoices = 2
	// reportHorizon is the age at which a load report counts nothing any more.
	// Entries that trust old reports all send to the agent that was idle: with
	// 3 s in place of 1 s the trace test lost to least in flight on half of 12 seeds.
	reportHorizon = time.Second
	// failuresToEject is how many failures in a row eject an agent.
	failuresToEject = 3
	// firstEjection doubles with each ejection in a row, up to longestEjection.
	firstEjection   = 2 * time.Second
	longestEjection = time.Minute
	// speedGain is the weight of one observation in a moving average.
	speedGain = 0.1
	// slownessAge is the age of the last observation after which one request
	// at a time ignores an agent's slowness, so that an agent that has become
	// fast again is noticed.
	slownessAge = 10 * time.Second
)

type (
	// Pool implements mulberryspool.Router for the agents of one pool.
	Pool struct {
		// Rand is set before the first use. Tests pass a seeded one.
		Rand *rand.Rand

		agents []*agent
		index  map[mulberryspool.InstanceID]*agent
		table  [buckets][preferred]*agent
		stale  bool
		ready  []*agent
		// inFlight and others are sums over all agents.
		inFlight float64
		others   float64
		// firstByte holds moving averages of the time to the first byte in
		// seconds, without and with a prefix cache hit.
		firstByte [2]float64
	}

	candidate struct {
		agent *agent
		cost  float64
	}

	agent struct {
		id   mulberryspool.InstanceID
		hash uint64
		// readyIndex is the position in Pool.ready, or -1.
		readyIndex int
		ready      bool
		// inFlight counts requests of this entry.
		inFlight int
		// others estimates the requests of other entries when the last
		// report came; it counts less as the report ages.
		others     float64
		reportedAt time.Time
		capacity   float64
		// slowness is the moving average of the time to the first byte over
		// that of the pool; 0 before the first answer.
		slowness   float64
		observedAt time.Time
		// failures counts failures in a row.
		failures     int
		ejections    int
		ejectedUntil time.Time
		// probing is set while the only request to an ejected agent runs.
		probing bool
	}
)

// New returns an empty pool.
func New(random *rand.Rand) *Pool {
	return &Pool{Rand: random, index: make(map[mulberryspool.InstanceID]*agent)}
}

// Update adds an agent or takes over its newest heartbeat.
func (p *Pool) Update(candidate mulberryspool.Candidate) {
	a, found := p.index[candidate.Instance]
	if !found {
		a = &agent{id: candidate.Instance, hash: xxhash.Sum64String(string(candidate.Instance)), readyIndex: -1}
		p.index[a.id] = a
		p.agents = append(p.agents, a)
		p.stale = true
	}
	a.capacity = max(1, float64(candidate.Load.Capacity))
	if !candidate.ReportedAt.IsZero() {
		p.others -= a.others
		a.others = max(0, float64(candidate.Load.Running+candidate.Load.Waiting-a.inFlight))
		p.others += a.others
		a.reportedAt = candidate.ReportedAt.Add(-candidate.Load.Age)
	}
	p.setReady(a, candidate.Ready)
}

// Remove drops an agent.
func (p *Pool) Remove(id mulberryspool.InstanceID) {
	a, found := p.index[id]
	if !found {
		return
	}
	p.setReady(a, false)
	p.inFlight -= float64(a.inFlight)
	p.others -= a.others
	delete(p.index, id)
	for i, other := range p.agents {
		if other == a {
			p.agents[i] = p.agents[len(p.agents)-1]
			p.agents = p.agents[:len(p.agents)-1]
			break
		}
	}
	p.stale = true
}

// Choose returns false when no agent is ready.
func (p *Pool) Choose(request mulberryspool.RoutingRequest) (mulberryspool.InstanceID, bool) {
	if len(p.ready) == 0 {
		return "", false
	}
	best := candidate{cost: math.Inf(1)}
	if request.Prefix != 0 {
		bound := p.bound()
		best = p.choosePreferred(request, bound)
		if best.agent != nil && best.cost <= bound {
			return best.agent.id, true
		}
	}
	for range randomChoices {
		p.consider(&best, p.ready[p.Rand.IntN(len(p.ready))], request)
	}
	if best.agent == nil {
		// The random agents were ejected or tried already.
		for _, a := range p.ready {
			p.consider(&best, a, request)
		}
	}
	if best.agent == nil {
		return "", false
	}
	return best.agent.id, true
}

// Started counts a request that was sent to an agent.
func (p *Pool) Started(id mulberryspool.InstanceID, _ int, now time.Time) {
	a, found := p.index[id]
	if !found {
		return
	}
	a.inFlight++
	p.inFlight++
	if a.failures >= failuresToEject && !now.Before(a.ejectedUntil) {
		a.probing = true
	}
}

// Ended takes in how a request at an agent ended.
func (p *Pool) Ended(id mulberryspool.InstanceID, result mulberryspool.RoutingResult) {
	a, found := p.index[id]
	if !found {
		return
	}
	if a.inFlight > 0 {
		a.inFlight--
		p.inFlight--
	}
	a.probing = false
	switch result.Outcome {
	case mulberryspool.OutcomeDone:
		a.failures, a.ejections = 0, 0
		p.observeSpeed(a, result)
	case mulberryspool.OutcomeFailed, mulberryspool.OutcomeUnknown:
		a.failures++
		p.eject(a, result.Now)
	case mulberryspool.OutcomeNotRun:
		// A refusal says nothing about the agent's health.
	}
}

// eject keeps work from an agent that failed several times in a row, unless
// half of the pool is ejected already.
func (p *Pool) eject(a *agent, now time.Time) {
	if a.failures < failuresToEject {
		return
	}
	ejected := 0
	for _, other := range p.ready {
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if 2*(ejected+1) > len(p.ready) {
		return
	}
	pause := min(longestEjection, firstEjection<<min(a.ejections, 5))
	a.ejections++
	a.ejectedUntil = now.Add(pause)
}

func (p *Pool) observeSpeed(a *agent, result mulberryspool.RoutingResult) {
	if result.FirstByte <= 0 {
		return
	}
	// The first byte of a request that queued comes later, so the time is
	// divided by the load under which it was seen.
	seconds := result.FirstByte.Seconds() / (1 + p.load(a, result.Now)/a.capacity)
	kind := 0
	if result.CacheHit {
		kind = 1
	}
	p.firstByte[kind] = average(p.firstByte[kind], seconds)
	a.slowness = average(a.slowness, seconds/p.firstByte[kind])
	a.observedAt = result.Now
}

// average is an exponential moving average that starts at the first value.
func average(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + speedGain*(value-old)
}

// choosePreferred returns the first of the bucket's agents whose cost is
// within the bound, else the one with the lowest cost.
func (p *Pool) choosePreferred(request mulberryspool.RoutingRequest, bound float64) candidate {
	if p.stale {
		p.rebuild()
	}
	best := candidate{cost: math.Inf(1)}
	for _, a := range p.table[bucketOf(request)] {
		if a == nil {
			break
		}
		p.consider(&best, a, request)
		if best.cost <= bound {
			break
		}
	}
	return best
}

// consider takes the agent if it is usable and cheaper than the best so far.
func (p *Pool) consider(best *candidate, a *agent, request mulberryspool.RoutingRequest) {
	if !p.usable(a, request) {
		return
	}
	if cost := p.cost(a, request.Now); cost < best.cost {
		*best = candidate{agent: a, cost: cost}
	}
}

// bound is the cost above which an agent's prefixes go elsewhere.
func (p *Pool) bound() float64 {
	load := (p.inFlight + p.others) / float64(len(p.agents))
	return max(freeCost, loadBound*(idleCost+load/p.ready[0].capacity))
}

func (p *Pool) usable(a *agent, request mulberryspool.RoutingRequest) bool {
	if !a.ready || a.probing || request.Now.Before(a.ejectedUntil) {
		return false
	}
	for _, excluded := range request.Exclude {
		if excluded == a.id {
			return false
		}
	}
	return true
}

// load estimates the requests at an agent. As its report ages, the part that
// belongs to other entries moves towards the mean of the pool, so that only
// the local count tells agents apart.
func (p *Pool) load(a *agent, now time.Time) float64 {
	fresh := freshness(now.Sub(a.reportedAt), reportHorizon)
	return float64(a.inFlight) + fresh*a.others + (1-fresh)*p.others/float64(len(p.agents))
}

// cost is an agent's load for each unit of its capacity, scaled by how slow
// it is compared with the pool.
func (p *Pool) cost(a *agent, now time.Time) float64 {
	cost := idleCost + p.load(a, now)/a.capacity
	if a.slowness <= 1 || a.inFlight == 0 && now.Sub(a.observedAt) > slownessAge {
		return cost
	}
	return cost * a.slowness
}

// freshness falls from 1 at age 0 to 0 at the horizon.
func freshness(age, horizon time.Duration) float64 {
	return min(1, max(0, 1-float64(age)/float64(horizon)))
}

func (p *Pool) setReady(a *agent, ready bool) {
	if a.ready == ready {
		return
	}
	a.ready = ready
	if ready {
		a.readyIndex = len(p.ready)
		p.ready = append(p.ready, a)
		return
	}
	last := p.ready[len(p.ready)-1]
	p.ready[a.readyIndex] = last
	last.readyIndex = a.readyIndex
	p.ready = p.ready[:len(p.ready)-1]
	a.readyIndex = -1
}

// rebuild computes the preferred agents of all buckets.
func (p *Pool) rebuild() {
	p.stale = false
	for bucket := range p.table {
		var weights [preferred]uint64
		row := &p.table[bucket]
		*row = [preferred]*agent{}
		for _, a := range p.agents {
			insertPreferred(row, &weights, a, rendezvousWeight(a.hash, uint64(bucket)))
		}
	}
}

// insertPreferred keeps the agents with the highest weights in falling order.
func insertPreferred(row *[preferred]*agent, weights *[preferred]uint64, a *agent, weight uint64) {
	for i := range row {
		if row[i] != nil && weights[i] >= weight {
			continue
		}
		copy(row[i+1:], row[i:preferred-1])
		copy(weights[i+1:], weights[i:preferred-1])
		row[i], weights[i] = a, weight
		return
	}
}

func rendezvousWeight(instance, bucket uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], instance)
	binary.LittleEndian.PutUint64(key[8:], bucket)
	return xxhash.Sum64(key[:])
}

// bucketOf keeps the prefixes of different workspaces apart: backend servers
// share a cached prefix only within a workspace.
func bucketOf(request mulberryspool.RoutingRequest) uint64 {
	return (xxhash.Sum64String(request.Workspace) ^ request.Prefix) % buckets
}
