package swarm

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
)

// peer is the state that the planner keeps about another agent.
type peer struct {
	Member
	// hash is the hash of the instance ID.
	hash uint64
	// neighbour is set if this agent chose the peer as a neighbour, reverseNeighbour
	// if the peer chose this agent.
	neighbour, reverseNeighbour bool
	// answered is set once the first announcement of this transfer was answered or
	// has failed.
	answered bool
	// held is nil until the peer has reported its chunks. announced is what was last
	// announced to it.
	held      bitset.Set
	announced bitset.Set
	// announcedAt is the time of the last announcement to the peer.
	announcedAt time.Time
	// answeredAt is the time of the last message from the peer.
	answeredAt time.Time
	inFlight   int
	// failures counts corrupt chunks and broken transfers since the last good chunk.
	failures int
	// refusals counts refusals for lack of an upload slot since the last good chunk.
	refusals int
	// unreachableCount counts failures to reach the peer since its last answer.
	unreachableCount  int
	busyUntil         time.Time
	avoidUntil        time.Time
	unreachableUntil  time.Time
	uninterestedUntil time.Time
}

// peer returns the state of a member and creates it on first use.
func (p *Planner) peer(m Member) *peer {
	if known := p.peers[m.Instance]; known != nil {
		known.Member = m
		return known
	}
	if len(p.peerList) >= maxKnownPerNeighbour*p.limits.Neighbours {
		p.evictPeer()
	}
	added := &peer{Member: m, hash: xxhash.Sum64String(string(m.Instance))}
	p.peers[m.Instance] = added
	p.peerList = append(p.peerList, added)
	return added
}

// evictPeer makes room for another peer. It removes the oldest one that is not a
// neighbour, has no running fetch and no recent failure.
func (p *Planner) evictPeer() {
	i := slices.IndexFunc(p.peerList, func(k *peer) bool {
		return !k.neighbour && !k.reverseNeighbour && k.inFlight == 0 && k.failures == 0 && !k.unreachableUntil.After(p.now)
	})
	if i >= 0 {
		p.setHeld(p.peerList[i], nil)
		delete(p.peers, p.peerList[i].Instance)
		p.peerList = slices.Delete(p.peerList, i, i+1)
	}
}

func (p *Planner) setMembers(live []Member) {
	others := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return m.Instance == p.Self.Instance })
	slices.SortFunc(others, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	if p.membersKnown && slices.Equal(others, p.members) {
		return
	}
	p.members, p.membersKnown = others, true
	p.membersByID = make(map[mulberryspool.InstanceID]Member, len(others))
	for _, m := range others {
		p.membersByID[m.Instance] = m
	}
	// Evict the peers that have left the list and can't be reached.
	p.peerList = slices.DeleteFunc(p.peerList, func(k *peer) bool {
		_, listed := p.membersByID[k.Instance]
		evict := !listed && k.inFlight == 0 && k.unreachableUntil.After(p.now)
		if evict {
			p.setHeld(k, nil)
			delete(p.peers, k.Instance)
		}
		return evict
	})
	p.rolesStale = true
	if p.active {
		p.chooseNeighbours(p.now)
		p.queryPools()
	}
}

// findMember looks up an agent among the peers and in the instance list.
func (p *Planner) findMember(id mulberryspool.InstanceID) (Member, bool) {
	if known := p.peers[id]; known != nil {
		return known.Member, true
	}
	m, ok := p.membersByID[id]
	return m, ok
}

// setHeld records which chunks a peer holds and updates the holder counts of the
// local region.
func (p *Planner) setHeld(peer *peer, held bitset.Set) {
	if peer.Region == p.Self.Region {
		for i := range held.SymmetricDifference(peer.held) {
			if c := p.chunkAt[i]; c.indexes[0] != i {
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
	m, ok := p.findMember(e.Instance)
	if !ok || !p.active || e.Manifest != p.manifest.Digest {
		return
	}
	peer := p.peer(m)
	peer.answered, peer.answeredAt, peer.unreachableCount = true, p.now, 0
	delete(p.partitions, m.Region)
	if peer.unreachableUntil.After(p.now) {
		peer.unreachableUntil = time.Time{}
		p.rolesStale = true
	}
	if len(e.Held) == 0 {
		p.setHeld(peer, nil)
		peer.uninterestedUntil = p.now.Add(p.limits.UnreachableBackoff)
		p.rolesStale = true
		return
	}
	if peer.uninterestedUntil.After(p.now) || !p.interestedPools[m.Pool] {
		peer.uninterestedUntil = time.Time{}
		p.interestedPools[m.Pool] = true
		p.rolesStale = true
	}
	held := e.Held.Resized(len(p.manifest.Chunks))
	p.restartTakeoverDelays(peer, held)
	if p.hasNewChunk(peer, held) {
		p.noteNewChunk()
	}
	p.setHeld(peer, held)
	if e.Announced != nil {
		peer.announced = e.Announced.Clone()
		peer.announcedAt = p.now
	}
}

// hasNewChunk reports whether a peer of the local region holds a missing chunk that none of
// them was known to hold.
func (p *Planner) hasNewChunk(from *peer, held bitset.Set) bool {
	if from.Region != p.Self.Region {
		return false
	}
	return slices.ContainsFunc(p.missingChunks, func(c *chunk) bool { return c.holders == 0 && held.Has(c.indexes[0]) })
}

// restartTakeoverDelays restarts the takeover delay of the chunks that the peer
// owns if it reports a new chunk: an owner that makes progress is not replaced.
func (p *Planner) restartTakeoverDelays(from *peer, held bitset.Set) {
	progress := false
	for i := range held.SymmetricDifference(from.held) {
		if held.Has(i) && p.chunkAt[i].ownedBy(from.Instance) {
			progress = true
			break
		}
	}
	if !progress {
		return
	}
	for _, c := range p.missingChunks {
		if c.waitingSince.Before(p.now) && c.ownedBy(from.Instance) {
			c.waitingSince = p.now
		}
	}
}

// ownedBy reports whether the agent is the owner of the chunk in one of the
// regions.
func (c *chunk) ownedBy(id mulberryspool.InstanceID) bool {
	return slices.ContainsFunc(c.role.owners, func(o owner) bool { return o.instance == id })
}

func (p *Planner) announceFailed(id mulberryspool.InstanceID) {
	m, ok := p.findMember(id)
	if !ok {
		return
	}
	peer := p.peer(m)
	peer.answered = true
	p.markUnreachable(peer)
}

// markUnreachable excludes an agent from the roles for a time. After several such
// failures in another region, the whole region counts as partitioned.
func (p *Planner) markUnreachable(peer *peer) {
	peer.unreachableUntil = p.now.Add(backoff(p.limits.UnreachableBackoff, peer.unreachableCount, maxBackoff))
	peer.unreachableCount++
	p.rolesStale = true
	p.setTimer(peer.unreachableUntil)
	if peer.Region == p.Self.Region {
		return
	}
	partition := p.partitions[peer.Region]
	partition.failures++
	if partition.failures >= partitionFailures {
		partition.backoffUntil = p.now.Add(backoff(p.limits.UnreachableBackoff, partition.failures-partitionFailures, maxBackoff))
	}
	p.partitions[peer.Region] = partition
}

func (p *Planner) failed(e Failed) {
	a := p.attempts[e.Attempt]
	if a == nil {
		return
	}
	p.removeAttempt(a)
	if e.Reason == WrongDigest {
		p.recordCorruption(a, e.Err)
	}
	p.backOffSource(a, e.Reason)
}

// backOffSource delays further requests to the source of a failed attempt.
func (p *Planner) backOffSource(a *attempt, reason Reason) {
	if reason == Abandoned {
		return
	}
	if a.source.Instance == "" {
		p.backOffStore(a, reason)
		return
	}
	peer := p.peers[a.source.Instance]
	if peer == nil {
		return
	}
	switch reason {
	case Busy:
		peer.busyUntil = p.now.Add(p.jitter(backoff(p.limits.BusyBackoff, peer.refusals, maxBusyFactor*p.limits.BusyBackoff)))
		peer.refusals++
	case NotHeld:
		held := peer.held.Clone()
		for _, i := range a.chunk.indexes {
			held.Remove(i)
		}
		p.setHeld(peer, held)
	case WrongDigest:
		peer.avoidUntil = p.now.Add(backoff(p.limits.CorruptBackoff, peer.failures, maxBackoff))
		p.rolesStale = true
		peer.failures++
	case Stalled:
		// An agent whose uplink is stalled may still answer announcements, and an answer
		// would end the time as unreachable at once.
		peer.avoidUntil = p.now.Add(backoff(p.limits.UnreachableBackoff, peer.failures, maxBackoff))
		peer.failures++
		p.rolesStale = true
	case Unreachable:
		peer.failures++
		p.markUnreachable(peer)
	}
}

// backOffStore delays further requests to the origin or the weight store: all of
// them if it does not answer, only those for this chunk if the chunk is missing or
// corrupt there.
func (p *Planner) backOffStore(a *attempt, reason Reason) {
	kind := a.source.Kind
	if reason == Unreachable || reason == Busy || reason == Stalled {
		s := &p.stores[kind]
		s.backoffUntil = p.now.Add(p.jitter(backoff(p.limits.OriginBackoff, s.failures, p.limits.OriginBackoffMax)))
		s.failures++
		if kind == FromOrigin && s.failures >= outageFailures {
			p.scheduleOriginRequests(recoveryPace)
		}
		if kind == FromOrigin {
			p.restartAllTakeoverDelays()
		}
		return
	}
	a.chunk.retryAt[kind] = p.now.Add(backoff(p.limits.OriginBackoff, a.chunk.failures[kind], maxBackoff))
	a.chunk.failures[kind]++
}

// restartAllTakeoverDelays restarts the delays of all successors. An origin that
// does not answer is not the fault of the owners, and without a restart all agents
// would ask the origin at the same time when it recovers.
func (p *Planner) restartAllTakeoverDelays() {
	for _, c := range p.missingChunks {
		if c.role.rank > 0 || c.role.regionIndex > 0 {
			c.waitingSince = latest(c.waitingSince, p.now)
		}
	}
}

func (p *Planner) recordCorruption(a *attempt, err error) {
	text := fmt.Sprintf("chunk %s at offset %d: %v", a.chunk.Digest, a.chunk.offset, err)
	if a.source.Kind == FromOrigin {
		text = "content at the origin does not match the manifest: " + text
	}
	p.effects = append(p.effects, RecordEvent{Event: mulberryspool.Event{
		Kind:    mulberryspool.EventChunkCorrupted,
		Version: p.manifest.Version,
		Step:    "fetch chunk",
		Peer:    a.source.String(),
		Detail:  text,
	}})
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func (p *Planner) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(p.random.Int64N(int64(mean)))
}

// backoff doubles the first delay with each earlier failure, up to the longest.
func backoff(first time.Duration, failures int, longest time.Duration) time.Duration {
	wait := first
	for range failures {
		wait = min(2*wait, longest)
	}
	return wait
}
