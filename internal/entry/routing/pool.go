// Package routing selects the agent that runs a request. It combines rendezvous
// hashing of prompt prefixes with bounded loads and random choices.
//
//	prefix --> bucket --> preferred agents in rendezvous order
//	              |  all of them unusable or above the cost bound
//	              v
//	preferred agents and two random ready agents --> the one with the lowest cost
//
// The preferred agents of all buckets are recomputed only when the set of agents
// changes, so that the time of a choice does not depend on the number of agents.
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
	// buckets is the number of buckets that prefixes are hashed into.
	buckets = 1024
	// preferred is the number of preferred agents of a bucket.
	preferred = 4
	// loadBound is the factor by which an agent's cost may exceed the average
	// before its prefixes are routed to other agents. Consistent hashing with
	// bounded loads requires a factor above 1. A larger one lets requests queue
	// at busy agents while others have free capacity.
	loadBound = 1.1
	// freeCost is the cost up to which an agent has free capacity, so that its
	// prefixes stay with it whatever the average is. It leaves a margin for
	// requests that arrived after the last report.
	freeCost = idleCost + 0.7
	// idleCost is the cost of an idle agent of average speed; a load equal to its
	// capacity adds 1. Because it is above 0, a slow agent costs more even when
	// it is idle.
	idleCost = 0.5
	// randomChoices is the number of random agents that are compared. Two remove
	// most of the imbalance that a single one leaves.
	randomChoices = 2
	// reportHorizon is the age from which a load report no longer distinguishes an
	// agent from the others. Entries that trust old reports all route to the agent
	// that was idle then: with 3 s instead of 1 s, this router lost to the
	// least-in-flight policy in TestTraceAgainstBaselines on half of 12 seeds.
	reportHorizon = time.Second
	// failuresToEject is the number of consecutive failures that eject an agent.
	failuresToEject = 3
	// minEjection is the duration of the first ejection. It doubles with each
	// consecutive one, up to maxEjection.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// averageGain is the weight of one observation in a moving average.
	averageGain = 0.1
	// slownessProbeAge is how long a slow agent may go without an observation.
	// After that, its slowness is ignored for one request at a time, to detect
	// that it has recovered.
	slownessProbeAge = 10 * time.Second
)

type (
	// Pool implements mulberryspool.Router for the agents of one pool.
	Pool struct {
		// Rand must be set before the first use.
		Rand *rand.Rand

		agents []*agent
		byID   map[mulberryspool.InstanceID]*agent
		// table holds the preferred agents of each bucket; outdated is set when
		// it must be rebuilt.
		table    [buckets][preferred]*agent
		outdated bool
		ready    []*agent
		// inFlight and otherEntries are sums over all agents.
		inFlight     float64
		otherEntries float64
		// meanFirstByte holds moving averages of the time to the first byte in
		// seconds, without and with a prefix cache hit.
		meanFirstByte [2]float64
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
		// inFlight is the number of requests of this entry.
		inFlight int
		// otherEntries is the estimated number of requests of other entries at the
		// time of the last report. Its weight decreases as the report ages.
		otherEntries float64
		reportedAt   time.Time
		capacity     float64
		// slowness is the moving average of the time to the first byte, relative
		// to that of the pool; 0 before the first response.
		slowness   float64
		observedAt time.Time
		// failures and ejections count consecutive ones.
		failures     int
		ejections    int
		ejectedUntil time.Time
		// probing is set while a request tests an agent whose ejection has ended.
		// Until it ends, no other request is routed to the agent.
		probing bool
	}
)

// New returns an empty pool.
func New(random *rand.Rand) *Pool {
	return &Pool{Rand: random, byID: make(map[mulberryspool.InstanceID]*agent)}
}

// Update adds an agent, or updates it from its newest heartbeat.
func (p *Pool) Update(candidate mulberryspool.Candidate) {
	a, found := p.byID[candidate.Instance]
	if !found {
		a = &agent{id: candidate.Instance, hash: xxhash.Sum64String(string(candidate.Instance)), readyIndex: -1}
		p.byID[a.id] = a
		p.agents = append(p.agents, a)
		p.outdated = true
	}
	a.capacity = max(1, float64(candidate.Load.Capacity))
	if !candidate.ReportedAt.IsZero() {
		p.otherEntries -= a.otherEntries
		a.otherEntries = max(0, float64(candidate.Load.Running+candidate.Load.Waiting-a.inFlight))
		p.otherEntries += a.otherEntries
		a.reportedAt = candidate.ReportedAt.Add(-candidate.Load.Age)
	}
	p.setReady(a, candidate.Ready)
}

// Remove removes an agent, with the requests that are counted for it.
func (p *Pool) Remove(id mulberryspool.InstanceID) {
	a, found := p.byID[id]
	if !found {
		return
	}
	p.setReady(a, false)
	p.inFlight -= float64(a.inFlight)
	p.otherEntries -= a.otherEntries
	delete(p.byID, id)
	for i, other := range p.agents {
		if other == a {
			p.agents[i] = p.agents[len(p.agents)-1]
			p.agents = p.agents[:len(p.agents)-1]
			break
		}
	}
	p.outdated = true
}

// Choose selects an agent for a request. It returns false if no agent is usable.
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
		// All agents that were considered are ejected or excluded.
		for _, a := range p.ready {
			p.consider(&best, a, request)
		}
	}
	if best.agent == nil {
		return "", false
	}
	return best.agent.id, true
}

// RecordStart records that a request was sent to an agent.
func (p *Pool) RecordStart(id mulberryspool.InstanceID, _ int, now time.Time) {
	a, found := p.byID[id]
	if !found {
		return
	}
	a.inFlight++
	p.inFlight++
	if a.failures >= failuresToEject && !now.Before(a.ejectedUntil) {
		a.probing = true
	}
}

// RecordEnd records how a request at an agent ended.
func (p *Pool) RecordEnd(id mulberryspool.InstanceID, result mulberryspool.RoutingResult) {
	a, found := p.byID[id]
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
		p.recordFirstByte(a, result)
	case mulberryspool.OutcomeFailed, mulberryspool.OutcomeUnknown:
		a.failures++
		p.eject(a, result.Now)
	case mulberryspool.OutcomeNotRun:
		// The agent refused the request, which is no sign of a fault.
	}
}

// eject stops routing to an agent that failed several times in a row. At most
// half of the ready agents are ejected at a time.
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
	duration := min(maxEjection, minEjection<<min(a.ejections, 5))
	a.ejections++
	a.ejectedUntil = now.Add(duration)
}

// recordFirstByte updates the agent's slowness.
func (p *Pool) recordFirstByte(a *agent, result mulberryspool.RoutingResult) {
	if result.FirstByte <= 0 {
		return
	}
	// Queuing at the agent delays the first byte, so the time is normalized by
	// the load at the agent.
	seconds := result.FirstByte.Seconds() / (1 + p.load(a, result.Now)/a.capacity)
	kind := 0
	if result.CacheHit {
		kind = 1
	}
	p.meanFirstByte[kind] = movingAverage(p.meanFirstByte[kind], seconds)
	a.slowness = movingAverage(a.slowness, seconds/p.meanFirstByte[kind])
	a.observedAt = result.Now
}

// movingAverage is an exponential moving average that starts at the first value.
func movingAverage(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + averageGain*(value-old)
}

// choosePreferred returns the first preferred agent of the bucket whose cost is
// within the bound, or else the one with the lowest cost.
func (p *Pool) choosePreferred(request mulberryspool.RoutingRequest, bound float64) candidate {
	if p.outdated {
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

// consider replaces best by the agent if that is usable and has a lower cost.
func (p *Pool) consider(best *candidate, a *agent, request mulberryspool.RoutingRequest) {
	if !p.usable(a, request) {
		return
	}
	if cost := p.cost(a, request.Now); cost < best.cost {
		*best = candidate{agent: a, cost: cost}
	}
}

// bound is the cost above which an agent's prefixes are routed to other agents.
func (p *Pool) bound() float64 {
	load := (p.inFlight + p.otherEntries) / float64(len(p.agents))
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

// load is the estimated number of requests at an agent. As its report ages, the
// part of other entries approaches the mean of the pool, so that agents differ
// only in the number of local requests.
func (p *Pool) load(a *agent, now time.Time) float64 {
	fresh := freshness(now.Sub(a.reportedAt), reportHorizon)
	return float64(a.inFlight) + fresh*a.otherEntries + (1-fresh)*p.otherEntries/float64(len(p.agents))
}

// cost is an agent's load relative to its capacity, scaled by its slowness
// relative to the pool.
func (p *Pool) cost(a *agent, now time.Time) float64 {
	cost := idleCost + p.load(a, now)/a.capacity
	if a.slowness <= 1 || a.inFlight == 0 && now.Sub(a.observedAt) > slownessProbeAge {
		return cost
	}
	return cost * a.slowness
}

// freshness decreases linearly from 1 at age 0 to 0 at the horizon.
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
	p.outdated = false
	for bucket := range p.table {
		var weights [preferred]uint64
		row := &p.table[bucket]
		*row = [preferred]*agent{}
		for _, a := range p.agents {
			insertPreferred(row, &weights, a, rendezvousWeight(a.hash, uint64(bucket)))
		}
	}
}

// insertPreferred inserts an agent if its weight is among the highest. The row
// is in descending order of weights.
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

// bucketOf hashes the workspace together with the prefix, because backend servers
// share a cached prefix only within a workspace.
func bucketOf(request mulberryspool.RoutingRequest) uint64 {
	return (xxhash.Sum64String(request.Workspace) ^ request.Prefix) % buckets
}
