package swarm

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// expectedRegions is the initial capacity of a role's list of owners.
const expectedRegions = 3

type (
	// owner is the agent of a region with the highest score for a chunk. It fetches
	// the chunk into its region.
	owner struct {
		instance mulberryspool.InstanceID
		region   string
		score    uint64
	}

	// role is this agent's part in the distribution of one chunk.
	role struct {
		// owners has one entry for each region, in the order in which the chunk passes
		// along the chain: regions that read from the origin first, then by descending
		// score.
		owners []owner
		// regionIndex is the index of the local region in owners.
		regionIndex int
		// rank is the number of agents of the local region with a higher score: 0 for
		// the owner, 1 for its first successor.
		rank int
	}

	// participant is an agent that takes part in the transfer, with the hash of its
	// instance ID.
	participant struct {
		member Member
		hash   uint64
	}
)

// assignRoles computes the roles of the participants for all missing chunks.
func (p *Planner) assignRoles(now time.Time) {
	p.rolesStale, p.rolesExpireAt = false, time.Time{}
	participants := p.participants(now)
	for _, c := range p.missingChunks {
		previous := c.role
		c.role = p.roleFor(c.hash, participants)
		// If the local region has moved in the chain, its owner starts over with another
		// upstream region, so its successors restart their takeover delay.
		if c.role.rank > 0 && len(previous.owners) > 0 && previous.regionIndex != c.role.regionIndex {
			c.waitingSince = latest(c.waitingSince, now)
		}
	}
}

func (p *Planner) roleFor(chunk uint64, participants []participant) role {
	r := role{owners: make([]owner, 0, expectedRegions)}
	ownScore := score(chunk, p.selfHash)
	for _, m := range participants {
		s := score(chunk, m.hash)
		if m.member.Region == p.Self.Region && s > ownScore {
			r.rank++
		}
		i := slices.IndexFunc(r.owners, func(o owner) bool { return o.region == m.member.Region })
		if i < 0 {
			r.owners = append(r.owners, owner{instance: m.member.Instance, region: m.member.Region, score: s})
		} else if s > r.owners[i].score {
			r.owners[i] = owner{instance: m.member.Instance, region: m.member.Region, score: s}
		}
	}
	slices.SortFunc(r.owners, func(a, b owner) int {
		if order := cmp.Compare(p.originOrder(a), p.originOrder(b)); order != 0 {
			return order
		}
		return cmp.Compare(b.score, a.score)
	})
	r.regionIndex = slices.IndexFunc(r.owners, func(o owner) bool { return o.region == p.Self.Region })
	return r
}

// originOrder returns 0 for owners in regions that read from the origin, else 1.
func (p *Planner) originOrder(o owner) int {
	if len(p.limits.OriginRegions) == 0 || slices.Contains(p.limits.OriginRegions, o.region) {
		return 0
	}
	return 1
}

// upstream returns the owner from which the local region fetches the chunk.
func (p *Planner) upstream(r role) owner {
	if p.limits.DirectRegions {
		return r.owners[0]
	}
	return r.owners[r.regionIndex-1]
}

// downstream returns the owners that fetch the chunk from the local region.
func (p *Planner) downstream(r role) []owner {
	switch {
	case p.limits.DirectRegions && r.regionIndex == 0:
		return r.owners[1:]
	case p.limits.DirectRegions || r.regionIndex+1 >= len(r.owners):
		return nil
	}
	return r.owners[r.regionIndex+1 : r.regionIndex+2]
}

// participants returns this agent and all members that may want the manifest and
// are not excluded.
func (p *Planner) participants(now time.Time) []participant {
	members := make([]participant, 0, len(p.members)+1)
	members = append(members, participant{member: p.Self, hash: p.selfHash})
	for _, m := range p.members {
		if p.interestedPools[m.Pool] && !p.excluded(m, now) {
			members = append(members, participant{member: m, hash: xxhash.Sum64String(string(m.Instance))})
		}
	}
	return members
}

// excluded reports whether the agent is known to be unreachable, not to want the
// manifest, or to have sent corrupt data. An agent of the local pool that does not
// want the manifest yet will want it soon, so it keeps its roles and its
// successors wait for it. excluded also lowers rolesExpireAt to the end of the
// exclusion, so that the roles are assigned again then.
func (p *Planner) excluded(m Member, now time.Time) bool {
	until := p.partitions[m.Region].backoffUntil
	if peer := p.peers[m.Instance]; peer != nil {
		until = latest(until, peer.unreachableUntil, peer.avoidUntil)
		if m.Pool != p.Self.Pool {
			until = latest(until, peer.uninterestedUntil)
		}
	}
	if !until.After(now) {
		return false
	}
	if p.rolesExpireAt.IsZero() || until.Before(p.rolesExpireAt) {
		p.rolesExpireAt = until
	}
	return true
}

// chooseNeighbours selects the neighbours in the local region and finds the agents
// that select this one. Rendezvous hashing makes the choice different for each
// agent and changes little of it when members join or leave.
func (p *Planner) chooseNeighbours(now time.Time) {
	candidates := []participant{{member: p.Self, hash: p.selfHash}}
	for _, m := range p.members {
		if m.Region == p.Self.Region && p.interestedPools[m.Pool] && !p.excluded(m, now) {
			candidates = append(candidates, participant{member: m, hash: xxhash.Sum64String(string(m.Instance))})
		}
	}
	for _, peer := range p.peerList {
		peer.neighbour, peer.reverseNeighbour = false, false
	}
	for _, c := range candidates[1:] {
		if preferenceRank(candidates, p.selfHash, c.hash) < p.limits.Neighbours {
			p.peer(c.member).neighbour = true
		}
		if preferenceRank(candidates, c.hash, p.selfHash) < p.limits.Neighbours {
			p.peer(c.member).reverseNeighbour = true
		}
	}
}

// preferenceRank returns the number of candidates that the chooser prefers to the
// other agent.
func preferenceRank(candidates []participant, chooser, other uint64) int {
	count := 0
	limit := score(chooser, other)
	for _, c := range candidates {
		if c.hash != chooser && score(chooser, c.hash) > limit {
			count++
		}
	}
	return count
}

// queryPools asks a few agents of each other pool whether they want the manifest.
func (p *Planner) queryPools() {
	queried := make(map[string]int)
	for _, m := range p.members {
		if m.Pool != "" && !p.interestedPools[m.Pool] && queried[m.Pool] < queriesPerPool {
			queried[m.Pool]++
			p.announce(p.peer(m))
		}
	}
}

func score(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
