package swarm

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
)

type (
	// Planner is the state machine of one agent's transfer. Set the exported fields
	// before the first Step.
	Planner struct {
		Self Member
		// Seed makes the random choices reproducible.
		Seed uint64
		// Limits may be left zero.
		Limits Limits
		// HasWeightStore is set if chunks may be fetched from the weight store.
		HasWeightStore bool

		limits   Limits
		random   *rand.Rand
		selfHash uint64
		now      time.Time
		effects  []Effect
		timerAt  time.Time
		// planNeeded is set if an event of this step may change the plan.
		planNeeded bool

		members     []Member
		membersByID map[mulberryspool.InstanceID]Member
		// membersKnown is set once an instance list has arrived.
		membersKnown bool
		// interestedPools are the pools whose agents want the manifest.
		interestedPools map[string]bool
		peers           map[mulberryspool.InstanceID]*peer
		// peerList contains the peers in the order in which they were added.
		peerList   []*peer
		partitions map[string]regionPartition

		manifest  mulberryspool.Manifest
		active    bool
		suspended bool
		startedAt time.Time
		held      bitset.Set
		// rare contains the held chunks that few agents of the local region held when
		// they arrived here.
		rare bitset.Set
		// rareWindowStart and rareAnnounced limit the early announcements of rare
		// chunks.
		rareWindowStart time.Time
		rareAnnounced   int
		// distinctChunks contains each distinct chunk once; missingChunks are those of
		// them that are not held.
		distinctChunks, missingChunks []*chunk
		// chunkAt maps an index in the manifest to its chunk.
		chunkAt      []*chunk
		byDigest     map[mulberryspool.Digest]*chunk
		missingCount int
		attempts     map[Attempt]*attempt
		lastAttempt  Attempt
		// meanFetchTime is a moving average of the time of fetches from other agents.
		meanFetchTime time.Duration
		rolesStale    bool
		// rolesExpireAt is when the first excluded agent may get roles again.
		rolesExpireAt time.Time
		// stores is indexed by FromOrigin and FromWeightStore.
		stores [2]storeState
		// newChunkAt is when the local region last got a chunk that it did not hold.
		newChunkAt time.Time
		// nextQueryAt is when queryRandomAgent may query the next agent.
		nextQueryAt time.Time
	}

	chunk struct {
		mulberryspool.Chunk
		offset int64
		// indexes are the positions of the chunk in the manifest.
		indexes []int
		hash    uint64
		// tieBreak orders equally rare chunks, differently on each agent.
		tieBreak uint64
		// originDue is when the chunk may be requested from the origin, at the rate of
		// the origin's link.
		originDue time.Time
		held      bool
		// holders counts the known agents of the local region that hold the chunk.
		holders int
		role    role
		// waitingSince is when the takeover delay for this chunk began.
		waitingSince    time.Time
		runningAttempts int
		// retryAt and failures back off the origin and the weight store for this chunk.
		// They are indexed by FromOrigin and FromWeightStore.
		retryAt  [2]time.Time
		failures [2]int
	}

	attempt struct {
		id        Attempt
		chunk     *chunk
		source    Source
		startedAt time.Time
		deadline  time.Time
	}

	// storeState is the backoff of the origin or the weight store while it does not
	// answer.
	storeState struct {
		backoffUntil time.Time
		failures     int
	}

	regionPartition struct {
		failures     int
		backoffUntil time.Time
	}
)

// Step processes events, oldest first, and returns the resulting effects in order.
func (p *Planner) Step(now time.Time, events ...Event) []Effect {
	p.initialize()
	p.now, p.effects, p.planNeeded = now, nil, false
	for _, e := range events {
		p.handle(e)
	}
	if p.active && p.planNeeded {
		p.cancelStalled()
		p.plan()
	}
	return p.effects
}

func (p *Planner) handle(event Event) {
	// Received bytes extend the deadline of the attempt and change nothing else, so
	// there is nothing to plan.
	if e, ok := event.(Progressed); ok {
		p.progressed(e.Attempt)
		return
	}
	p.planNeeded = true
	switch e := event.(type) {
	case Start:
		p.start(e)
	case Suspend:
		p.suspend(e.Suspended)
	case Stop:
		p.stop()
	case Members:
		p.setMembers(e.Live)
	case Have:
		p.have(e)
	case AnnounceFailed:
		p.announceFailed(e.Instance)
	case Fetched:
		p.fetched(e)
	case Failed:
		p.failed(e)
	case Tick:
		p.timerAt = time.Time{}
	}
}

// Missing returns the number of distinct chunks that are not held.
func (p *Planner) Missing() int {
	return p.missingCount
}

// ReadsOrigin reports whether this agent reads chunks from the origin, or is the first one to
// do so, and the origin answers.
func (p *Planner) ReadsOrigin() bool {
	if !p.active || p.stores[FromOrigin].failures > 0 {
		return false
	}
	for _, a := range p.attempts {
		if a.source.Kind == FromOrigin {
			return true
		}
	}
	return slices.ContainsFunc(p.missingChunks, func(c *chunk) bool { return c.role.regionIndex == 0 && c.role.rank == 0 && c.holders == 0 })
}

// Unavailable reports whether no agent of the region is known to hold some of the missing
// chunks, and the origin does not answer this agent or should have given them out.
func (p *Planner) Unavailable(now time.Time) bool {
	failed := p.stores[FromOrigin].failures > 0
	return p.active && slices.ContainsFunc(p.missingChunks, func(c *chunk) bool {
		return c.holders == 0 && (failed || c.runningAttempts == 0 && !now.Before(c.originDue.Add(overdueAfter)))
	})
}

func (p *Planner) initialize() {
	if p.random != nil {
		return
	}
	p.limits = p.Limits.WithDefaults()
	p.selfHash = xxhash.Sum64String(string(p.Self.Instance))
	p.random = rand.New(rand.NewPCG(p.Seed, p.selfHash))
	p.peers = make(map[mulberryspool.InstanceID]*peer)
	p.attempts = make(map[Attempt]*attempt)
	p.partitions = make(map[string]regionPartition)
}

func (p *Planner) start(e Start) {
	p.manifest, p.active, p.suspended, p.startedAt = e.Manifest, true, false, p.now
	if e.OriginBytesPerSecond > 0 {
		p.limits.OriginBytesPerSecond = e.OriginBytesPerSecond
	}
	p.held = e.Held.Resized(len(e.Manifest.Chunks))
	p.rare = bitset.New(len(e.Manifest.Chunks))
	p.interestedPools = map[string]bool{p.Self.Pool: true}
	p.stores = [2]storeState{}
	// The first chunk may take longer than those after it.
	p.newChunkAt = p.now.Add(recoveryAfter)
	p.indexChunks()
	for _, id := range p.attemptIDs() {
		a := p.attempts[id]
		if c := p.byDigest[a.chunk.Digest]; c != nil && !c.held {
			a.chunk = c
			c.runningAttempts++
			continue
		}
		p.cancel(a)
	}
	for _, peer := range p.peerList {
		peer.held, peer.announced, peer.answered = nil, nil, false
		peer.uninterestedUntil = time.Time{}
	}
	p.rolesStale = true
	p.chooseNeighbours(p.now)
	for _, peer := range p.peerList {
		if peer.neighbour {
			p.announce(peer)
		}
	}
	p.queryPools()
	p.finishIfComplete()
}

// indexChunks collects the distinct chunks of the manifest.
func (p *Planner) indexChunks() {
	p.byDigest = make(map[mulberryspool.Digest]*chunk, len(p.manifest.Chunks))
	p.distinctChunks, p.missingChunks, p.missingCount = nil, nil, 0
	p.chunkAt = make([]*chunk, len(p.manifest.Chunks))
	var offset int64
	for i, m := range p.manifest.Chunks {
		c := p.byDigest[m.Digest]
		if c == nil {
			hash := xxhash.Sum64String(string(m.Digest))
			c = &chunk{Chunk: m, offset: offset, hash: hash, tieBreak: score(p.Seed^p.selfHash, hash), waitingSince: p.now, held: p.held.Has(i)}
			p.byDigest[m.Digest] = c
			p.distinctChunks = append(p.distinctChunks, c)
			if !c.held {
				p.missingChunks = append(p.missingChunks, c)
				p.missingCount++
			}
		}
		p.chunkAt[i] = c
		c.indexes = append(c.indexes, i)
		offset += m.Size
	}
	p.scheduleOriginRequests(1)
}

// scheduleOriginRequests spreads the requests to the origin over the time that its
// link needs, times the pace, in an order that is the same on all agents. Chunks that the
// local region holds need none.
func (p *Planner) scheduleOriginRequests(pace float64) {
	ordered := slices.DeleteFunc(slices.Clone(p.missingChunks), func(c *chunk) bool { return c.holders > 0 })
	slices.SortFunc(ordered, func(a, b *chunk) int { return cmp.Compare(a.hash, b.hash) })
	due := p.now
	for _, c := range ordered {
		c.originDue, c.waitingSince = due, due
		if p.limits.OriginBytesPerSecond > 0 {
			due = due.Add(time.Duration(pace * float64(c.Size) / float64(p.limits.OriginBytesPerSecond) * float64(time.Second)))
		}
	}
}

// suspend stops starting fetches, or starts them again. Successors then wait for the owners
// of their chunks as long as at the start, since those were suspended too.
func (p *Planner) suspend(suspended bool) {
	if p.suspended && !suspended {
		p.restartAllTakeoverDelays()
	}
	p.suspended = suspended
}

// noteNewChunk records that the local region has got a chunk. If it had got none for long, the
// origin has recovered: without a new schedule, all agents would read from it at once, each
// chunk would take as long as the whole copy, and their successors would read them too.
func (p *Planner) noteNewChunk() {
	if p.now.Sub(p.newChunkAt) > recoveryAfter {
		p.scheduleOriginRequests(recoveryPace)
	}
	p.newChunkAt = p.now
}

func (p *Planner) stop() {
	for _, id := range p.attemptIDs() {
		p.cancel(p.attempts[id])
	}
	p.active = false
}

func (p *Planner) attemptIDs() []Attempt {
	ids := make([]Attempt, 0, len(p.attempts))
	for id := range p.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (p *Planner) cancel(a *attempt) {
	p.removeAttempt(a)
	p.effects = append(p.effects, Cancel{Attempt: a.id})
}

// removeAttempt removes an attempt and frees its slots in the pipelines.
func (p *Planner) removeAttempt(a *attempt) {
	delete(p.attempts, a.id)
	a.chunk.runningAttempts--
	if peer := p.peers[a.source.Instance]; peer != nil {
		peer.inFlight--
	}
}

func (p *Planner) fetched(e Fetched) {
	rare := false
	if a := p.attempts[e.Attempt]; a != nil {
		p.removeAttempt(a)
		rare = a.source.Kind != FromPeer || a.chunk.holders <= rareHolders
		if peer := p.peers[a.source.Instance]; peer != nil {
			peer.failures, peer.refusals = 0, 0
			p.meanFetchTime = (7*p.meanFetchTime + p.now.Sub(a.startedAt)) / 8
		}
		if a.source.Instance == "" {
			p.stores[a.source.Kind] = storeState{}
		}
	}
	c := p.byDigest[e.Chunk]
	if !p.active || c == nil || c.held {
		return
	}
	if c.holders == 0 {
		p.noteNewChunk()
	}
	c.held = true
	p.missingCount--
	p.missingChunks = slices.DeleteFunc(p.missingChunks, func(other *chunk) bool { return other == c })
	for _, i := range c.indexes {
		p.held.Add(i)
		if rare {
			p.rare.Add(i)
		}
	}
	for _, id := range p.attemptIDs() {
		if a := p.attempts[id]; a.chunk == c {
			p.cancel(a)
		}
	}
	p.announceDownstream(c)
	p.finishIfComplete()
}

func (p *Planner) finishIfComplete() {
	if p.missingCount == 0 {
		p.effects = append(p.effects, Complete{Manifest: p.manifest.Digest})
	}
}

func (p *Planner) progressed(id Attempt) {
	if a := p.attempts[id]; a != nil {
		a.deadline = p.now.Add(p.limits.ProgressTimeout)
	}
}

// cancelStalled cancels the attempts without progress.
func (p *Planner) cancelStalled() {
	stalled := false
	for _, a := range p.attempts {
		if a.deadline.After(p.now) {
			p.setTimer(a.deadline)
			continue
		}
		stalled = true
	}
	if !stalled {
		return
	}
	for _, id := range p.attemptIDs() {
		a := p.attempts[id]
		if a.deadline.After(p.now) {
			continue
		}
		p.cancel(a)
		p.backOffSource(a, Stalled)
	}
}

// setTimer requests a tick at the given time unless an earlier one is pending.
func (p *Planner) setTimer(at time.Time) {
	if !p.timerAt.IsZero() && !at.Before(p.timerAt) {
		return
	}
	p.timerAt = at
	p.effects = append(p.effects, SetTimer{At: at})
}
