package swarm

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// plan starts fetches up to the limits and announces held chunks.
func (p *Planner) plan() {
	if p.rolesStale || !p.rolesExpireAt.IsZero() && p.hasPassed(p.rolesExpireAt) {
		p.assignRoles(p.now)
		p.chooseNeighbours(p.now)
	}
	if p.missingCount > 0 && !p.suspended {
		p.fetchFromPeers()
		p.fetchIntoRegion()
		p.duplicateSlowFetches()
	}
	p.announceToNeighbours()
}

// availablePeers returns the peers, inside or outside of the local region, from
// which another chunk may be fetched now.
func (p *Planner) availablePeers(ownRegion bool) []*peer {
	var available []*peer
	for _, k := range p.peerList {
		if k.held == nil || (k.Region == p.Self.Region) != ownRegion || k.inFlight >= p.limits.MaxPerPeer {
			continue
		}
		if until := latest(k.busyUntil, k.avoidUntil, k.unreachableUntil); until.After(p.now) {
			p.setTimer(until)
			continue
		}
		available = append(available, k)
	}
	return available
}

// fetchFromPeers fills the pipeline of the local region, rarest chunk first.
func (p *Planner) fetchFromPeers() {
	running := p.countRunning(FromPeer)
	for running < p.limits.Pipeline && p.canStartFetch() {
		peers := p.availablePeers(true)
		c := p.rarest(peers)
		if c == nil {
			return
		}
		p.startFetch(c, Source{Kind: FromPeer, Instance: leastLoaded(peers, c).Instance})
		running++
	}
}

// canStartFetch reports whether the limits on all fetches permit another one.
func (p *Planner) canStartFetch() bool {
	if p.limits.SlowFetchThreshold > 0 && p.meanFetchTime > p.limits.SlowFetchThreshold {
		return len(p.attempts) == 0
	}
	return p.limits.MaxFetches == 0 || len(p.attempts) < p.limits.MaxFetches
}

// rarest returns the chunk that the fewest known agents of the local region hold,
// among those that one of the peers holds.
func (p *Planner) rarest(peers []*peer) *chunk {
	if len(peers) == 0 {
		return nil
	}
	var best *chunk
	for _, c := range p.missingChunks {
		if c.runningAttempts > 0 || c.holders == 0 || best != nil && !c.rarerThan(best) {
			continue
		}
		if leastLoaded(peers, c) != nil {
			best = c
		}
	}
	return best
}

// rarerThan orders chunks by the number of holders, then by a tie-break that
// differs between agents.
func (c *chunk) rarerThan(other *chunk) bool {
	return c.holders < other.holders || c.holders == other.holders && c.tieBreak < other.tieBreak
}

// leastLoaded returns the peer that holds the chunk and from which the fewest fetches run.
// Which one of several it is differs between agents and chunks, so that agents with the
// same peers don't all ask the same one.
func leastLoaded(peers []*peer, c *chunk) *peer {
	var best *peer
	for _, k := range peers {
		if !k.held.Has(c.indexes[0]) {
			continue
		}
		if best == nil || k.inFlight < best.inFlight || k.inFlight == best.inFlight && k.hash^c.tieBreak < best.hash^c.tieBreak {
			best = k
		}
	}
	return best
}

// fetchIntoRegion fetches the chunks that no known agent of the local region holds
// from another region or the origin, if this agent is responsible for them.
func (p *Planner) fetchIntoRegion() {
	synced := p.neighboursAnswered()
	fromRegion := p.countRunning(FromRegion)
	fromStore := p.countRunning(FromOrigin) + p.countRunning(FromWeightStore)
	storePipeline := p.limits.OriginPipeline
	if p.stores[FromOrigin].failures >= outageFailures {
		storePipeline = 1
	}
	for _, c := range p.missingChunks {
		if !p.canStartFetch() {
			return
		}
		if c.runningAttempts > 0 || c.holders > 0 && !p.holdersUnavailable(c) {
			continue
		}
		fromOrigin, responsible := p.shouldFetch(c)
		if !responsible || p.fetchFromRegion(c, &fromRegion) || !fromOrigin || !synced || fromStore >= storePipeline {
			continue
		}
		if p.fetchFromStore(c) {
			fromStore++
			continue
		}
		p.queryRandomAgent(c)
	}
}

// queryRandomAgent asks a random agent for its chunks, at most once per query
// interval, while neither the origin nor the weight store can be asked. After a
// takeover a chunk may be held by an agent that is not its owner by hash.
func (p *Planner) queryRandomAgent(c *chunk) {
	if len(p.members) == 0 || !p.hasPassed(p.nextQueryAt) {
		return
	}
	p.nextQueryAt = p.now.Add(p.limits.QueryInterval)
	m := p.members[p.random.IntN(len(p.members))]
	if o := c.role.owners[p.random.IntN(len(c.role.owners))]; o.region != p.Self.Region && p.random.IntN(2) == 0 {
		m = p.membersByID[o.instance]
	}
	if p.interestedPools[m.Pool] {
		p.announce(p.peer(m))
	}
}

// holdersUnavailable reports whether all known holders in the local region sent
// corrupt data or are unreachable, so that waiting for them is pointless.
func (p *Planner) holdersUnavailable(c *chunk) bool {
	for _, k := range p.peerList {
		if k.Region == p.Self.Region && k.held.Has(c.indexes[0]) &&
			!k.avoidUntil.After(p.now) && !k.unreachableUntil.After(p.now) {
			return false
		}
	}
	return true
}

// shouldFetch reports whether this agent is responsible for fetching the chunk
// into its region now, and whether it may read it from the origin. It takes over
// from another agent only after querying that agent.
func (p *Planner) shouldFetch(c *chunk) (fromOrigin, responsible bool) {
	if c.role.rank > 0 && !p.takeoverDue(c, c.role.owners[c.role.regionIndex].instance, c.role.rank) {
		return false, false
	}
	if c.role.regionIndex == 0 {
		return p.hasPassed(c.originDue), true
	}
	return p.takeoverDue(c, p.upstream(c.role).instance, c.role.regionIndex+c.role.rank), true
}

// takeoverDue reports whether this agent is to act in place of another one that
// should have delivered the chunk: the other agent was queried, did not report the
// chunk, and the takeover delay has passed. The delay is proportional to the rank,
// so successors act one after the other.
func (p *Planner) takeoverDue(c *chunk, id mulberryspool.InstanceID, rank int) bool {
	delay := p.limits.takeoverDelay()
	queryAt := c.waitingSince.Add(time.Duration(rank) * min(p.limits.QueryInterval, delay/2))
	if !p.hasPassed(queryAt) || !p.queriedSince(id, queryAt) {
		return false
	}
	return p.hasPassed(c.waitingSince.Add(time.Duration(rank) * delay))
}

// queriedSince reports whether the agent has answered, or failed to answer, a
// query sent after the given time. If no such query was sent, it sends one.
func (p *Planner) queriedSince(id mulberryspool.InstanceID, at time.Time) bool {
	m, ok := p.findMember(id)
	if !ok {
		return true
	}
	peer := p.peer(m)
	if peer.announcedAt.Before(at) && p.hasPassed(peer.announcedAt.Add(p.limits.QueryInterval)) {
		p.announce(peer)
	}
	if !peer.answeredAt.Before(at) {
		// Repeat the query until the takeover delay has passed.
		if p.hasPassed(peer.announcedAt.Add(p.limits.QueryInterval)) {
			p.announce(peer)
		}
		return true
	}
	return !peer.announcedAt.Before(at) && p.hasPassed(peer.announcedAt.Add(p.limits.ProgressTimeout))
}

// hasPassed reports whether the time has come. If not, it sets the timer.
func (p *Planner) hasPassed(at time.Time) bool {
	if at.After(p.now) {
		p.setTimer(at)
		return false
	}
	return true
}

// fetchFromRegion fetches the chunk from an agent of another region that holds it.
// It reports whether such an agent is known, even if no fetch can start now.
func (p *Planner) fetchFromRegion(c *chunk, running *int) bool {
	known := slices.ContainsFunc(p.peerList, func(k *peer) bool {
		return k.Region != p.Self.Region && k.held.Has(c.indexes[0]) && !latest(k.avoidUntil, k.unreachableUntil).After(p.now)
	})
	if !known || *running >= p.limits.RegionPipeline {
		return known
	}
	if source := leastLoaded(p.availablePeers(false), c); source != nil {
		p.startFetch(c, Source{Kind: FromRegion, Instance: source.Instance})
		*running++
	}
	return true
}

// fetchFromStore fetches the chunk from the origin, or from the weight store while
// the origin is backed off. It reports whether it started a fetch.
func (p *Planner) fetchFromStore(c *chunk) bool {
	kinds := []SourceKind{FromOrigin}
	if p.HasWeightStore {
		kinds = append(kinds, FromWeightStore)
	}
	for _, kind := range kinds {
		until := latest(p.stores[kind].backoffUntil, c.retryAt[kind])
		if p.hasPassed(until) {
			p.startFetch(c, Source{Kind: kind})
			return true
		}
	}
	return false
}

// duplicateSlowFetches implements endgame mode: when few chunks are missing, it
// repeats slow fetches, also those from the origin, at a second agent.
func (p *Planner) duplicateSlowFetches() {
	if p.missingCount > p.limits.EndgameChunks || p.meanFetchTime == 0 {
		return
	}
	for _, id := range p.attemptIDs() {
		a := p.attempts[id]
		if a.chunk.runningAttempts != 1 || !p.hasPassed(a.startedAt.Add(slowFetchFactor*p.meanFetchTime)) {
			continue
		}
		var others []*peer
		for _, k := range p.availablePeers(true) {
			if k.Instance != a.source.Instance {
				others = append(others, k)
			}
		}
		if second := leastLoaded(others, a.chunk); second != nil {
			p.startFetch(a.chunk, Source{Kind: FromPeer, Instance: second.Instance})
		}
	}
}

func (p *Planner) startFetch(c *chunk, source Source) {
	p.lastAttempt++
	a := &attempt{id: p.lastAttempt, chunk: c, source: source, startedAt: p.now, deadline: p.now.Add(p.limits.ProgressTimeout)}
	p.attempts[a.id] = a
	c.runningAttempts++
	if peer := p.peers[source.Instance]; peer != nil {
		peer.inFlight++
	}
	p.setTimer(a.deadline)
	p.effects = append(p.effects, Fetch{
		Attempt: a.id, Source: source, Manifest: p.manifest.Digest, Chunk: c.Chunk, Path: p.manifest.OriginPath, Offset: c.offset,
	})
}

func (p *Planner) countRunning(kind SourceKind) int {
	count := 0
	for _, a := range p.attempts {
		if a.source.Kind == kind {
			count++
		}
	}
	return count
}

// neighboursAnswered reports whether all neighbours have answered, so that chunks
// held in the local region are known before the origin is asked. Without an
// instance list the agent would consider itself the only one, so it then waits for
// the takeover delay.
func (p *Planner) neighboursAnswered() bool {
	if !p.membersKnown {
		return p.hasPassed(p.startedAt.Add(p.limits.takeoverDelay()))
	}
	for _, k := range p.peerList {
		if k.neighbour && !k.answered {
			return p.hasPassed(p.startedAt.Add(p.limits.InitialSyncTimeout))
		}
	}
	return true
}

// announceDownstream tells the owners in the next regions of the chain that they
// can fetch the chunk here.
func (p *Planner) announceDownstream(c *chunk) {
	if c.role.rank > 0 {
		return
	}
	for _, next := range p.downstream(c.role) {
		m, ok := p.findMember(next.instance)
		if !ok {
			continue
		}
		if peer := p.peer(m); !peer.held.Has(c.indexes[0]) {
			p.announce(peer)
		}
	}
}

// announceToNeighbours announces held chunks to the neighbours in both directions
// that lack them. The spread of rare chunks limits the start of a transfer, so a
// few neighbours get announcements of rare chunks earlier and pass the chunks on.
func (p *Planner) announceToNeighbours() {
	if len(p.peerList) == 0 {
		return
	}
	rareInterval := p.limits.AnnounceInterval / rareFactor
	if !p.rareWindowStart.Add(rareInterval).After(p.now) {
		p.rareWindowStart, p.rareAnnounced = p.now, 0
	}
	first := p.random.IntN(len(p.peerList))
	for i := range p.peerList {
		k := p.peerList[(first+i)%len(p.peerList)]
		if !k.neighbour && !k.reverseNeighbour || k.unreachableUntil.After(p.now) || k.uninterestedUntil.After(p.now) {
			continue
		}
		if !p.held.AnyNotInEither(k.held, k.announced) {
			continue
		}
		rare := p.rareAnnounced < maxRareAnnouncements && p.rare.AnyNotInEither(k.held, k.announced)
		switch {
		case rare && p.hasPassed(k.announcedAt.Add(rareInterval)):
			p.rareAnnounced++
			p.announce(k)
		case p.hasPassed(k.announcedAt.Add(p.limits.AnnounceInterval)):
			p.announce(k)
		}
	}
}

func (p *Planner) announce(k *peer) {
	k.announcedAt = p.now
	k.announced = p.held.Clone()
	p.effects = append(p.effects, Announce{Instance: k.Instance, Manifest: p.manifest.Digest, Held: k.announced})
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
