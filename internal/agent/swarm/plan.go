package swarm

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// plan starts fetches up to the limits and sends what others need to know.
func (p *Planner) plan() {
	if p.rolesStale || !p.rolesUntil.IsZero() && p.reached(p.rolesUntil) {
		p.assignRoles(p.now)
		p.chooseNeighbours(p.now)
	}
	if p.missing > 0 {
		p.fetchFromPeers()
		p.fetchIntoRegion()
		p.askSecondSources()
	}
	p.tellPeers()
}

// usable lists the agents from which a further chunk may be fetched now.
func (p *Planner) usable(ownRegion bool) []*peer {
	var usable []*peer
	for _, k := range p.known {
		if k.held == nil || (k.Region == p.Self.Region) != ownRegion || k.inflight >= p.limits.PerPeer {
			continue
		}
		if until := latest(k.busyUntil, k.avoidUntil, k.suspectUntil); until.After(p.now) {
			p.wake(until)
			continue
		}
		usable = append(usable, k)
	}
	return usable
}

// fetchFromPeers fills the pipeline from the own region, rarest chunk first.
func (p *Planner) fetchFromPeers() {
	running := p.running(FromPeer)
	for running < p.limits.Pipeline && p.room() {
		peers := p.usable(true)
		c := p.rarest(peers)
		if c == nil {
			return
		}
		p.fetch(c, Source{Kind: FromPeer, Instance: leastLoaded(peers, c).Instance})
		running++
	}
}

// room says whether one more fetch may run.
func (p *Planner) room() bool {
	if p.limits.SlowFetch > 0 && p.duration > p.limits.SlowFetch {
		return len(p.attempts) == 0
	}
	return p.limits.Total == 0 || len(p.attempts) < p.limits.Total
}

// rarest returns the chunk that the fewest known agents of the region hold and
// one of the peers can give.
func (p *Planner) rarest(peers []*peer) *chunk {
	if len(peers) == 0 {
		return nil
	}
	var best *chunk
	for _, c := range p.lacking {
		if c.attempts > 0 || c.holders == 0 || best != nil && !c.before(best) {
			continue
		}
		if leastLoaded(peers, c) != nil {
			best = c
		}
	}
	return best
}

// before orders chunks by rarity.
func (c *chunk) before(other *chunk) bool {
	return c.holders < other.holders || c.holders == other.holders && c.key < other.key
}

func leastLoaded(peers []*peer, c *chunk) *peer {
	var best *peer
	for _, k := range peers {
		if k.held.Has(c.indexes[0]) && (best == nil || k.inflight < best.inflight) {
			best = k
		}
	}
	return best
}

// fetchIntoRegion brings chunks that no known agent of the region holds from
// another region or the origin, when it is this agent's turn.
func (p *Planner) fetchIntoRegion() {
	greeted := p.greeted()
	fromRegion := p.running(FromRegion)
	fromStore := p.running(FromOrigin) + p.running(FromWeightStore)
	for _, c := range p.lacking {
		if !p.room() {
			return
		}
		if c.attempts > 0 || c.holders > 0 && !p.unusableHolders(c) {
			continue
		}
		origin, own := p.turn(c)
		if !own || p.fetchFromRegion(c, &fromRegion) || !origin || !greeted || fromStore >= p.limits.OriginPipeline {
			continue
		}
		if p.fetchFromStore(c) {
			fromStore++
			continue
		}
		p.search(c)
	}
}

// search asks other agents for a chunk, one in each ProbeWait, while neither
// origin nor weight store can be asked. The chunk may be held where the hash
// does not tell, because somebody took the place of its head.
func (p *Planner) search(c *chunk) {
	if len(p.members) == 0 || !p.reached(p.searchAt) {
		return
	}
	p.searchAt = p.now.Add(p.limits.ProbeWait)
	m := p.members[p.random.IntN(len(p.members))]
	if h := c.role.heads[p.random.IntN(len(c.role.heads))]; h.region != p.Self.Region && p.random.IntN(2) == 0 {
		m = p.memberOf[h.instance]
	}
	if p.pools[m.Pool] {
		p.tell(p.peer(m))
	}
}

// unusableHolders reports whether all known holders in the region sent bad
// data or are gone, so that waiting for them is in vain.
func (p *Planner) unusableHolders(c *chunk) bool {
	for _, k := range p.known {
		if k.Region == p.Self.Region && k.held.Has(c.indexes[0]) &&
			!k.avoidUntil.After(p.now) && !k.suspectUntil.After(p.now) {
			return false
		}
	}
	return true
}

// turn reports whether this agent brings the chunk into its region now, and
// whether it does so from the origin. It takes the place of another agent
// only after it has asked that one.
func (p *Planner) turn(c *chunk) (origin, own bool) {
	if c.role.rank > 0 && !p.replaces(c, c.role.heads[c.role.own].instance, c.role.rank) {
		return false, false
	}
	if c.role.own == 0 {
		return p.reached(c.due), true
	}
	return p.replaces(c, p.before(c.role).instance, c.role.own+c.role.rank), true
}

// replaces reports whether the agent has to be replaced as the one that brings
// the chunk: it was asked, does not hold the chunk, and the time that it is
// given has passed. The time is longer for successors of higher rank.
func (p *Planner) replaces(c *chunk, id mulberryspool.InstanceID, rank int) bool {
	takeover := p.limits.takeoverWait()
	askAt := c.since.Add(time.Duration(rank) * min(p.limits.ProbeWait, takeover/2))
	if !p.reached(askAt) || !p.askedSince(id, askAt) {
		return false
	}
	return p.reached(c.since.Add(time.Duration(rank) * takeover))
}

// askedSince reports whether an exchange with the agent began after the time
// and has ended; if none has begun yet, it begins one.
func (p *Planner) askedSince(id mulberryspool.InstanceID, at time.Time) bool {
	m, ok := p.member(id)
	if !ok {
		return true
	}
	peer := p.peer(m)
	if peer.toldAt.Before(at) && p.reached(peer.toldAt.Add(p.limits.ProbeWait)) {
		p.tell(peer)
	}
	if !peer.heardAt.Before(at) {
		// The agent is asked again for as long as the wait lasts.
		if p.reached(peer.toldAt.Add(p.limits.ProbeWait)) {
			p.tell(peer)
		}
		return true
	}
	return !peer.toldAt.Before(at) && p.reached(peer.toldAt.Add(p.limits.ProgressTimeout))
}

// reached reports whether the time has come, else it asks for a tick then.
func (p *Planner) reached(at time.Time) bool {
	if at.After(p.now) {
		p.wake(at)
		return false
	}
	return true
}

// fetchFromRegion fetches the chunk from an agent of another region that is
// known to hold it. It reports whether there is one, be it busy now.
func (p *Planner) fetchFromRegion(c *chunk, running *int) bool {
	known := slices.ContainsFunc(p.known, func(k *peer) bool {
		return k.Region != p.Self.Region && k.held.Has(c.indexes[0]) && !latest(k.avoidUntil, k.suspectUntil).After(p.now)
	})
	if !known || *running >= p.limits.RegionPipeline {
		return known
	}
	if source := leastLoaded(p.usable(false), c); source != nil {
		p.fetch(c, Source{Kind: FromRegion, Instance: source.Instance})
		*running++
	}
	return true
}

// fetchFromStore asks the origin, or the weight store while the origin is held back.
func (p *Planner) fetchFromStore(c *chunk) bool {
	kinds := []SourceKind{FromOrigin}
	if p.HasWeightStore {
		kinds = append(kinds, FromWeightStore)
	}
	for _, kind := range kinds {
		until := latest(p.sources[kind].until, c.retryAt[kind])
		if p.reached(until) {
			p.fetch(c, Source{Kind: kind})
			return true
		}
	}
	return false
}

// askSecondSources repeats slow fetches near the end at another agent.
func (p *Planner) askSecondSources() {
	if p.missing > p.limits.SecondSource || p.duration == 0 {
		return
	}
	for _, id := range p.attemptIDs() {
		a := p.attempts[id]
		if a.chunk.attempts != 1 || a.source.Kind != FromPeer || !p.reached(a.begun.Add(slowFactor*p.duration)) {
			continue
		}
		var others []*peer
		for _, k := range p.usable(true) {
			if k.Instance != a.source.Instance {
				others = append(others, k)
			}
		}
		if second := leastLoaded(others, a.chunk); second != nil {
			p.fetch(a.chunk, Source{Kind: FromPeer, Instance: second.Instance})
		}
	}
}

func (p *Planner) fetch(c *chunk, source Source) {
	p.last++
	a := &attempt{id: p.last, chunk: c, source: source, begun: p.now, deadline: p.now.Add(p.limits.ProgressTimeout)}
	p.attempts[a.id] = a
	c.attempts++
	if peer := p.peers[source.Instance]; peer != nil {
		peer.inflight++
	}
	p.wake(a.deadline)
	p.effects = append(p.effects, Fetch{
		Attempt: a.id, Source: source, Manifest: p.manifest.Digest, Chunk: c.Chunk, Path: p.manifest.OriginPath, Offset: c.offset,
	})
}

func (p *Planner) running(kind SourceKind) int {
	count := 0
	for _, a := range p.attempts {
		if a.source.Kind == kind {
			count++
		}
	}
	return count
}

// greeted reports whether the neighbours have answered, so that chunks held in
// the region are known before the origin is asked. Without an instance list
// the agent would take itself for the only one, so it waits as a successor does.
func (p *Planner) greeted() bool {
	if !p.listed {
		return p.reached(p.started.Add(p.limits.takeoverWait()))
	}
	for _, k := range p.known {
		if k.neighbour && !k.greeted {
			return p.reached(p.started.Add(p.limits.StartWait))
		}
	}
	return true
}

// passOn tells the heads of the next regions that they can fetch the chunk here.
func (p *Planner) passOn(c *chunk) {
	if c.role.rank > 0 {
		return
	}
	for _, next := range p.after(c.role) {
		m, ok := p.member(next.instance)
		if !ok {
			continue
		}
		if peer := p.peer(m); !peer.held.Has(c.indexes[0]) {
			p.tell(peer)
		}
	}
}

// tellPeers tells the chosen neighbours, and those that chose this agent,
// about chunks that they miss. Rare chunks limit the start of a transfer, so a
// few agents are told of them sooner; these pass them on.
func (p *Planner) tellPeers() {
	if len(p.known) == 0 {
		return
	}
	sooner := p.limits.TellInterval / rareFactor
	if !p.rareAt.Add(sooner).After(p.now) {
		p.rareAt, p.rareTold = p.now, 0
	}
	first := p.random.IntN(len(p.known))
	for i := range p.known {
		k := p.known[(first+i)%len(p.known)]
		if !k.neighbour && !k.choseUs || k.suspectUntil.After(p.now) || k.absentUntil.After(p.now) {
			continue
		}
		if !p.held.ExceedsBoth(k.held, k.told) {
			continue
		}
		rare := p.rareTold < rareTells && p.rare.ExceedsBoth(k.held, k.told)
		switch {
		case rare && p.reached(k.toldAt.Add(sooner)):
			p.rareTold++
			p.tell(k)
		case p.reached(k.toldAt.Add(p.limits.TellInterval)):
			p.tell(k)
		}
	}
}

func (p *Planner) tell(k *peer) {
	k.toldAt = p.now
	k.told = p.held.Clone()
	p.effects = append(p.effects, Tell{Instance: k.Instance, Manifest: p.manifest.Digest, Held: k.told})
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
