package swarm

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// usualRegions is the number of regions for which space is set aside.
const usualRegions = 3

type (
	// head is the agent of a region with the highest score for a chunk.
	head struct {
		instance mulberryspool.InstanceID
		region   string
		score    uint64
	}

	// role is this agent's place in the spread of one chunk.
	role struct {
		// heads has one entry for each region, highest score first.
		heads []head
		// own is the index of the own region in heads.
		own int
		// rank is the number of agents of the own region with a higher score.
		rank int
	}

	// scored is an agent that takes part, with its hash.
	scored struct {
		member Member
		hash   uint64
	}
)

// assignRoles computes the roles for all chunks from the agents that take part.
func (p *Planner) assignRoles(now time.Time) {
	p.rolesStale, p.rolesUntil = false, time.Time{}
	taking := p.takingPart(now)
	for _, c := range p.lacking {
		before := c.role
		c.role = p.roleFor(c.hash, taking)
		// A head that lost its source turns to the next one now, so its
		// successors wait anew.
		if c.role.rank > 0 && len(before.heads) > 0 && before.own != c.role.own {
			c.since = latest(c.since, now)
		}
	}
}

func (p *Planner) roleFor(chunk uint64, taking []scored) role {
	r := role{heads: make([]head, 0, usualRegions)}
	own := score(chunk, p.selfHash)
	for _, t := range taking {
		s := score(chunk, t.hash)
		if t.member.Region == p.Self.Region && s > own {
			r.rank++
		}
		i := slices.IndexFunc(r.heads, func(h head) bool { return h.region == t.member.Region })
		if i < 0 {
			r.heads = append(r.heads, head{instance: t.member.Instance, region: t.member.Region, score: s})
		} else if s > r.heads[i].score {
			r.heads[i] = head{instance: t.member.Instance, region: t.member.Region, score: s}
		}
	}
	slices.SortFunc(r.heads, func(a, b head) int {
		if first := cmp.Compare(p.originOrder(a), p.originOrder(b)); first != 0 {
			return first
		}
		return cmp.Compare(b.score, a.score)
	})
	r.own = slices.IndexFunc(r.heads, func(h head) bool { return h.region == p.Self.Region })
	return r
}

// originOrder is 0 for heads of regions that read from the origin, else 1.
func (p *Planner) originOrder(h head) int {
	if len(p.limits.OriginRegions) == 0 || slices.Contains(p.limits.OriginRegions, h.region) {
		return 0
	}
	return 1
}

// before returns the head that the own region gets the chunk from.
func (p *Planner) before(r role) head {
	if p.limits.DirectRegions {
		return r.heads[0]
	}
	return r.heads[r.own-1]
}

// after returns the heads that get the chunk from the own region.
func (p *Planner) after(r role) []head {
	switch {
	case p.limits.DirectRegions && r.own == 0:
		return r.heads[1:]
	case p.limits.DirectRegions || r.own+1 >= len(r.heads):
		return nil
	}
	return r.heads[r.own+1 : r.own+2]
}

// takingPart returns this agent and all members that may want the manifest and
// are not known to be gone.
func (p *Planner) takingPart(now time.Time) []scored {
	taking := make([]scored, 0, len(p.members)+1)
	taking = append(taking, scored{member: p.Self, hash: p.selfHash})
	for _, m := range p.members {
		if p.pools[m.Pool] && !p.excluded(m, now) {
			taking = append(taking, scored{member: m, hash: xxhash.Sum64String(string(m.Instance))})
		}
	}
	return taking
}

// excluded reports whether the agent is known not to take part now, or sent bad data. An agent
// of the own pool that does not want the manifest yet will want it soon, so
// it keeps its roles; its successors wait for it.
func (p *Planner) excluded(m Member, now time.Time) bool {
	until := p.cut[m.Region].until
	if peer := p.peers[m.Instance]; peer != nil {
		until = latest(until, peer.suspectUntil, peer.avoidUntil)
		if m.Pool != p.Self.Pool {
			until = latest(until, peer.absentUntil)
		}
	}
	if !until.After(now) {
		return false
	}
	if p.rolesUntil.IsZero() || until.Before(p.rolesUntil) {
		p.rolesUntil = until
	}
	return true
}

// chooseNeighbours picks agents of the own region, and finds those that pick
// this agent. The choice differs between agents and changes little with the members.
func (p *Planner) chooseNeighbours(now time.Time) {
	candidates := []scored{{member: p.Self, hash: p.selfHash}}
	for _, m := range p.members {
		if m.Region == p.Self.Region && p.pools[m.Pool] && !p.excluded(m, now) {
			candidates = append(candidates, scored{member: m, hash: xxhash.Sum64String(string(m.Instance))})
		}
	}
	for _, peer := range p.known {
		peer.neighbour, peer.choseUs = false, false
	}
	for _, c := range candidates[1:] {
		if preferred(candidates, p.selfHash, c.hash) < p.limits.Neighbours {
			p.peer(c.member).neighbour = true
		}
		if preferred(candidates, c.hash, p.selfHash) < p.limits.Neighbours {
			p.peer(c.member).choseUs = true
		}
	}
}

// preferred counts the candidates that the chooser prefers to the other agent.
func preferred(candidates []scored, chooser, other uint64) int {
	count := 0
	limit := score(chooser, other)
	for _, c := range candidates {
		if c.hash != chooser && score(chooser, c.hash) > limit {
			count++
		}
	}
	return count
}

// probePools asks a few agents of each other pool whether they want the manifest.
func (p *Planner) probePools() {
	asked := make(map[string]int)
	for _, m := range p.members {
		if m.Pool != "" && !p.pools[m.Pool] && asked[m.Pool] < poolProbes {
			asked[m.Pool]++
			p.tell(p.peer(m))
		}
	}
}

func score(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
