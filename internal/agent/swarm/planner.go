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
	// Planner is the state of one agent's transfer. Set the exported fields
	// before the first Step.
	Planner struct {
		Self Member
		// Seed makes the random choices repeatable.
		Seed uint64
		// Limits may be left zero.
		Limits Limits
		// HasWeightStore is set when chunks may be fetched from the weight store.
		HasWeightStore bool

		limits   Limits
		random   *rand.Rand
		selfHash uint64
		now      time.Time
		effects  []Effect
		wakeAt   time.Time
		// changed is set when an event may change the plan.
		changed bool

		members  []Member
		memberOf map[mulberryspool.InstanceID]Member
		// listed is set once the instance list was read.
		listed bool
		// pools are those whose agents want the manifest.
		pools map[string]bool
		peers map[mulberryspool.InstanceID]*peer
		// known lists the peers in the order in which they became known.
		known []*peer
		cut   map[string]regionCut

		manifest mulberryspool.Manifest
		active   bool
		started  time.Time
		held     bitset.Set
		// rare are the held chunks that few others in the region held on arrival.
		rare bitset.Set
		// rareAt and rareTold bound how many agents are told sooner.
		rareAt   time.Time
		rareTold int
		// wanted holds each distinct chunk once, lacking those not held.
		wanted, lacking []*chunk
		// at has the chunk of each place in the manifest.
		at       []*chunk
		byDigest map[mulberryspool.Digest]*chunk
		missing  int
		attempts map[Attempt]*attempt
		last     Attempt
		// duration is the moving mean of the time that fetches from peers take.
		duration   time.Duration
		rolesStale bool
		// rolesUntil is when the first excluded agent counts again.
		rolesUntil time.Time
		sources    [2]sourceState
		// searchAt is when the next agent may be asked by search.
		searchAt time.Time
	}

	chunk struct {
		mulberryspool.Chunk
		offset int64
		// indexes are the places of the chunk in the manifest.
		indexes []int
		hash    uint64
		// key orders equally rare chunks differently on each agent.
		key uint64
		// due is when the origin is asked for the chunk at the pace of its link.
		due  time.Time
		held bool
		// holders counts the known agents of the own region that hold the chunk.
		holders int
		role    role
		// since is when the wait of a successor began.
		since    time.Time
		attempts int
		// retryAt and tries hold back the origin and the weight store for this chunk.
		retryAt [2]time.Time
		tries   [2]int
	}

	attempt struct {
		id       Attempt
		chunk    *chunk
		source   Source
		begun    time.Time
		deadline time.Time
	}

	// sourceState holds back origin or weight store while it does not answer.
	sourceState struct {
		until    time.Time
		failures int
	}

	regionCut struct {
		failures int
		until    time.Time
	}
)

// Step takes in events, oldest first, and returns what is to be done, in order.
func (p *Planner) Step(now time.Time, events ...Event) []Effect {
	p.prepare()
	p.now, p.effects, p.changed = now, nil, false
	for _, e := range events {
		p.take(e)
	}
	if p.active && p.changed {
		p.expire()
		p.plan()
	}
	return p.effects
}

func (p *Planner) take(event Event) {
	// The bytes of a fetch change only its deadline.
	if e, ok := event.(Progressed); ok {
		p.progressed(e.Attempt)
		return
	}
	p.changed = true
	switch e := event.(type) {
	case Start:
		p.start(e)
	case Stop:
		p.stop()
	case Members:
		p.setMembers(e.Live)
	case Have:
		p.have(e)
	case Lost:
		p.lost(e.Instance)
	case Fetched:
		p.fetched(e)
	case Failed:
		p.failed(e)
	case Tick:
		p.wakeAt = time.Time{}
	}
}

// Missing returns how many distinct chunks are not held.
func (p *Planner) Missing() int {
	return p.missing
}

func (p *Planner) prepare() {
	if p.random != nil {
		return
	}
	p.limits = p.Limits.WithDefaults()
	p.selfHash = xxhash.Sum64String(string(p.Self.Instance))
	p.random = rand.New(rand.NewPCG(p.Seed, p.selfHash))
	p.peers = make(map[mulberryspool.InstanceID]*peer)
	p.attempts = make(map[Attempt]*attempt)
	p.cut = make(map[string]regionCut)
}

func (p *Planner) start(e Start) {
	p.manifest, p.active, p.started = e.Manifest, true, p.now
	p.held = e.Held.Fit(len(e.Manifest.Chunks))
	p.rare = bitset.New(len(e.Manifest.Chunks))
	p.pools = map[string]bool{p.Self.Pool: true}
	p.sources = [2]sourceState{}
	p.index()
	for _, id := range p.attemptIDs() {
		a := p.attempts[id]
		if c := p.byDigest[a.chunk.Digest]; c != nil && !c.held {
			a.chunk = c
			c.attempts++
			continue
		}
		p.cancel(a)
	}
	for _, peer := range p.known {
		peer.held, peer.told, peer.greeted = nil, nil, false
		peer.absentUntil = time.Time{}
	}
	p.rolesStale = true
	p.chooseNeighbours(p.now)
	for _, peer := range p.known {
		if peer.neighbour {
			p.tell(peer)
		}
	}
	p.probePools()
	p.finishIfComplete()
}

// index lists the distinct chunks of the manifest.
func (p *Planner) index() {
	p.byDigest = make(map[mulberryspool.Digest]*chunk, len(p.manifest.Chunks))
	p.wanted, p.lacking, p.missing = nil, nil, 0
	p.at = make([]*chunk, len(p.manifest.Chunks))
	var offset int64
	for i, m := range p.manifest.Chunks {
		c := p.byDigest[m.Digest]
		if c == nil {
			hash := xxhash.Sum64String(string(m.Digest))
			c = &chunk{Chunk: m, offset: offset, hash: hash, key: score(p.Seed^p.selfHash, hash), since: p.now, held: p.held.Has(i)}
			p.byDigest[m.Digest] = c
			p.wanted = append(p.wanted, c)
			if !c.held {
				p.lacking = append(p.lacking, c)
				p.missing++
			}
		}
		p.at[i] = c
		c.indexes = append(c.indexes, i)
		offset += m.Size
	}
	p.pace()
}

// pace spreads the requests to the origin over the time that its link needs,
// in an order that is the same on all agents.
func (p *Planner) pace() {
	ordered := slices.Clone(p.lacking)
	slices.SortFunc(ordered, func(a, b *chunk) int { return cmp.Compare(a.hash, b.hash) })
	due := p.now
	for _, c := range ordered {
		c.due, c.since = due, due
		if p.limits.OriginBytesPerSecond > 0 {
			due = due.Add(time.Duration(float64(c.Size) / float64(p.limits.OriginBytesPerSecond) * float64(time.Second)))
		}
	}
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
	p.drop(a)
	p.effects = append(p.effects, Cancel{Attempt: a.id})
}

// drop forgets an attempt and frees its place in the pipelines.
func (p *Planner) drop(a *attempt) {
	delete(p.attempts, a.id)
	a.chunk.attempts--
	if peer := p.peers[a.source.Instance]; peer != nil {
		peer.inflight--
	}
}

func (p *Planner) fetched(e Fetched) {
	rare := false
	if a := p.attempts[e.Attempt]; a != nil {
		p.drop(a)
		rare = a.source.Kind != FromPeer || a.chunk.holders <= rareHolders
		if peer := p.peers[a.source.Instance]; peer != nil {
			peer.strikes, peer.refusals = 0, 0
			p.duration = (7*p.duration + p.now.Sub(a.begun)) / 8
		}
		if a.source.Instance == "" {
			p.sources[a.source.Kind] = sourceState{}
		}
	}
	c := p.byDigest[e.Chunk]
	if !p.active || c == nil || c.held {
		return
	}
	c.held = true
	p.missing--
	p.lacking = slices.DeleteFunc(p.lacking, func(l *chunk) bool { return l == c })
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
	p.passOn(c)
	p.finishIfComplete()
}

func (p *Planner) finishIfComplete() {
	if p.missing == 0 {
		p.effects = append(p.effects, Complete{Manifest: p.manifest.Digest})
	}
}

func (p *Planner) progressed(id Attempt) {
	if a := p.attempts[id]; a != nil {
		a.deadline = p.now.Add(p.limits.ProgressTimeout)
	}
}

// expire ends attempts without progress.
func (p *Planner) expire() {
	expired := false
	for _, a := range p.attempts {
		if a.deadline.After(p.now) {
			p.wake(a.deadline)
			continue
		}
		expired = true
	}
	if !expired {
		return
	}
	for _, id := range p.attemptIDs() {
		a := p.attempts[id]
		if a.deadline.After(p.now) {
			continue
		}
		p.cancel(a)
		p.blame(a, Stalled)
	}
}

// wake asks for a tick at the time unless an earlier one is due.
func (p *Planner) wake(at time.Time) {
	if !p.wakeAt.IsZero() && !at.Before(p.wakeAt) {
		return
	}
	p.wakeAt = at
	p.effects = append(p.effects, Wake{At: at})
}
