package swarm

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
)

// peer is what is known of another agent.
type peer struct {
	Member
	// neighbour is set for agents chosen by this one, choseUs for those that
	// chose this one.
	neighbour, choseUs bool
	// greeted is set once the first exchange of this transfer has ended.
	greeted bool
	// held is nil until the agent said what it holds.
	held bitset.Set
	told bitset.Set
	// toldAt is the time of the last message sent.
	toldAt time.Time
	// heardAt is the time of the last answer.
	heardAt  time.Time
	inflight int
	// strikes counts bad data and broken transfers since the last good chunk.
	strikes int
	// refusals counts those for lack of a slot since the last good chunk.
	refusals int
	// losses counts how often the agent was not reached since its last answer.
	losses       int
	busyUntil    time.Time
	avoidUntil   time.Time
	suspectUntil time.Time
	absentUntil  time.Time
}

// peer returns the state for a member, made at the first use.
func (p *Planner) peer(m Member) *peer {
	if known := p.peers[m.Instance]; known != nil {
		known.Member = m
		return known
	}
	if len(p.known) >= knownPerNeighbour*p.limits.Neighbours {
		p.forgetOne()
	}
	added := &peer{Member: m}
	p.peers[m.Instance] = added
	p.known = append(p.known, added)
	return added
}

// forgetOne makes room for another peer; those in use stay.
func (p *Planner) forgetOne() {
	i := slices.IndexFunc(p.known, func(k *peer) bool {
		return !k.neighbour && !k.choseUs && k.inflight == 0 && k.strikes == 0 && !k.suspectUntil.After(p.now)
	})
	if i >= 0 {
		p.setHeld(p.known[i], nil)
		delete(p.peers, p.known[i].Instance)
		p.known = slices.Delete(p.known, i, i+1)
	}
}

func (p *Planner) setMembers(live []Member) {
	others := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return m.Instance == p.Self.Instance })
	slices.SortFunc(others, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	if p.listed && slices.Equal(others, p.members) {
		return
	}
	p.members, p.listed = others, true
	p.memberOf = make(map[mulberryspool.InstanceID]Member, len(others))
	for _, m := range others {
		p.memberOf[m.Instance] = m
	}
	// Agents that left the list and can't be reached are forgotten.
	p.known = slices.DeleteFunc(p.known, func(k *peer) bool {
		_, listed := p.memberOf[k.Instance]
		gone := !listed && k.inflight == 0 && k.suspectUntil.After(p.now)
		if gone {
			p.setHeld(k, nil)
			delete(p.peers, k.Instance)
		}
		return gone
	})
	p.rolesStale = true
	if p.active {
		p.chooseNeighbours(p.now)
		p.probePools()
	}
}

// member finds an agent in the instance list or among the peers.
func (p *Planner) member(id mulberryspool.InstanceID) (Member, bool) {
	if known := p.peers[id]; known != nil {
		return known.Member, true
	}
	m, ok := p.memberOf[id]
	return m, ok
}

// setHeld takes in what a peer holds and keeps the counts of holders.
func (p *Planner) setHeld(peer *peer, held bitset.Set) {
	if peer.Region == p.Self.Region {
		for i := range held.Differences(peer.held) {
			if c := p.at[i]; c.indexes[0] != i {
				continue
			} else if held.Has(i) {
				c.holders++
			} else {
				c.holders--
			}
		}
	}
	peer.held = held
}

func (p *Planner) have(e Have) {
	m, ok := p.member(e.Instance)
	if !ok || !p.active || e.Manifest != p.manifest.Digest {
		return
	}
	peer := p.peer(m)
	peer.greeted, peer.heardAt, peer.losses = true, p.now, 0
	delete(p.cut, m.Region)
	if peer.suspectUntil.After(p.now) {
		peer.suspectUntil = time.Time{}
		p.rolesStale = true
	}
	if len(e.Held) == 0 {
		p.setHeld(peer, nil)
		peer.absentUntil = p.now.Add(p.limits.SuspectFor)
		p.rolesStale = true
		return
	}
	if peer.absentUntil.After(p.now) || !p.pools[m.Pool] {
		peer.absentUntil = time.Time{}
		p.pools[m.Pool] = true
		p.rolesStale = true
	}
	held := e.Held.Fit(len(p.manifest.Chunks))
	p.restartWaits(peer, held)
	p.setHeld(peer, held)
	if e.Told != nil {
		peer.told = e.Told.Clone()
		peer.toldAt = p.now
	}
}

// restartWaits lets successors wait anew for an agent that brings chunks of
// which it is the head.
func (p *Planner) restartWaits(from *peer, held bitset.Set) {
	brought := false
	for i := range held.Differences(from.held) {
		if held.Has(i) && p.at[i].expects(from.Instance) {
			brought = true
			break
		}
	}
	if !brought {
		return
	}
	for _, c := range p.lacking {
		if c.since.Before(p.now) && c.expects(from.Instance) {
			c.since = p.now
		}
	}
}

// expects reports whether the agent is to bring the chunk into a region.
func (c *chunk) expects(id mulberryspool.InstanceID) bool {
	return slices.ContainsFunc(c.role.heads, func(h head) bool { return h.instance == id })
}

func (p *Planner) lost(id mulberryspool.InstanceID) {
	m, ok := p.member(id)
	if !ok {
		return
	}
	peer := p.peer(m)
	peer.greeted = true
	p.suspect(peer)
}

// suspect takes an agent out of the roles for a time.
func (p *Planner) suspect(peer *peer) {
	peer.suspectUntil = p.now.Add(backoff(p.limits.SuspectFor, peer.losses, maximumBackoff))
	peer.losses++
	p.rolesStale = true
	p.wake(peer.suspectUntil)
	if peer.Region == p.Self.Region {
		return
	}
	cut := p.cut[peer.Region]
	cut.failures++
	if cut.failures >= cutFailures {
		cut.until = p.now.Add(backoff(p.limits.SuspectFor, cut.failures-cutFailures, maximumBackoff))
	}
	p.cut[peer.Region] = cut
}

func (p *Planner) failed(e Failed) {
	a := p.attempts[e.Attempt]
	if a == nil {
		return
	}
	p.drop(a)
	if e.Reason == WrongDigest {
		p.record(a, e.Err)
	}
	p.blame(a, e.Reason)
}

// blame holds back the source of a failed attempt.
func (p *Planner) blame(a *attempt, reason Reason) {
	if reason == Abandoned {
		return
	}
	if a.source.Instance == "" {
		p.blameStore(a, reason)
		return
	}
	peer := p.peers[a.source.Instance]
	if peer == nil {
		return
	}
	switch reason {
	case Busy:
		peer.busyUntil = p.now.Add(p.jitter(backoff(p.limits.BusyWait, peer.refusals, busyFactor*p.limits.BusyWait)))
		peer.refusals++
	case NotHeld:
		held := peer.held.Clone()
		for _, i := range a.chunk.indexes {
			held.Remove(i)
		}
		p.setHeld(peer, held)
	case WrongDigest:
		peer.avoidUntil = p.now.Add(backoff(p.limits.AvoidFor, peer.strikes, maximumBackoff))
		p.rolesStale = true
		peer.strikes++
	case Stalled:
		// An agent whose uplink stalls may still answer messages, so that
		// suspicion would end at once.
		peer.avoidUntil = p.now.Add(backoff(p.limits.SuspectFor, peer.strikes, maximumBackoff))
		peer.strikes++
		p.rolesStale = true
	case Unreachable:
		peer.strikes++
		p.suspect(peer)
	}
}

// blameStore holds back the origin or the weight store: as a whole when it
// does not answer, for one chunk when the chunk is absent or wrong.
func (p *Planner) blameStore(a *attempt, reason Reason) {
	kind := a.source.Kind
	if reason == Unreachable || reason == Busy || reason == Stalled {
		s := &p.sources[kind]
		s.until = p.now.Add(p.jitter(backoff(p.limits.OriginRetry, s.failures, p.limits.OriginRetryMax)))
		s.failures++
		if kind == FromOrigin {
			p.restartSuccessors()
		}
		return
	}
	a.chunk.retryAt[kind] = p.now.Add(backoff(p.limits.OriginRetry, a.chunk.tries[kind], maximumBackoff))
	a.chunk.tries[kind]++
}

// restartSuccessors lets successors wait anew: an origin that does not answer
// is no fault of the heads, and all agents would ask it at once when it is back.
func (p *Planner) restartSuccessors() {
	for _, c := range p.lacking {
		if c.role.rank > 0 || c.role.own > 0 {
			c.since = p.now
		}
	}
}

func (p *Planner) record(a *attempt, err error) {
	text := fmt.Sprintf("chunk %s at offset %d: %v", a.chunk.Digest, a.chunk.offset, err)
	if a.source.Kind == FromOrigin {
		text = "content at the origin does not match the manifest: " + text
	}
	p.effects = append(p.effects, Record{Event: mulberryspool.Event{
		Kind:    mulberryspool.EventChunkCorrupted,
		Version: p.manifest.Version,
		Step:    "fetch chunk",
		Peer:    a.source.String(),
		Detail:  text,
	}})
}

// jitter returns a random duration between half and one and a half of the mean.
func (p *Planner) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(p.random.Int64N(int64(mean)))
}

// backoff doubles the first wait with each earlier failure, up to the longest.
func backoff(first time.Duration, failures int, longest time.Duration) time.Duration {
	wait := first
	for range failures {
		wait = min(2*wait, longest)
	}
	return wait
}
