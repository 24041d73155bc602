package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// peer is another agent of the pool.
type peer struct {
	heard     bool
	status    mulberryspool.Heartbeat
	suspected bool
	dead      bool
	// gone is set while the agent is ranked, but no longer a member.
	gone bool
}

// Order sorts the agents of a pool by the rendezvous hash of version and
// instance, highest first.
func Order(version string, instances []mulberryspool.InstanceID) []mulberryspool.InstanceID {
	type ranked struct {
		instance mulberryspool.InstanceID
		score    uint64
	}
	all := make([]ranked, 0, len(instances))
	for _, instance := range instances {
		all = append(all, ranked{instance: instance, score: xxhash.Sum64String(version + "\x00" + string(instance))})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance, b.instance))
	})
	ordered := make([]mulberryspool.InstanceID, 0, len(all))
	for _, entry := range all {
		ordered = append(ordered, entry.instance)
	}
	return ordered
}

func (r *Rollout) peer(instance mulberryspool.InstanceID) *peer {
	p, ok := r.peers[instance]
	if !ok {
		p = &peer{}
		r.peers[instance] = p
	}
	return p
}

// setMembers keeps the ranks of the target's order: agents that have gone
// keep theirs, and later ones come last. Otherwise a join or a death in the
// middle of a rollout would move others to a chain in which it is their turn.
func (r *Rollout) setMembers(e Members) {
	r.members = slices.Clone(e.Instances)
	if !slices.Contains(r.members, r.settings.Instance) {
		r.members = append(r.members, r.settings.Instance)
	}
	var joined []mulberryspool.InstanceID
	for _, instance := range r.members {
		if !slices.Contains(r.ranked, instance) {
			joined = append(joined, instance)
		}
	}
	r.ranked = append(r.ranked, Order(r.target.Version, joined)...)
	r.forgetPeers()
}

// rank orders the agents for a new target.
func (r *Rollout) rank() {
	if len(r.members) == 0 {
		r.members = []mulberryspool.InstanceID{r.settings.Instance}
	}
	r.ranked = Order(r.target.Version, r.members)
	r.forgetPeers()
}

func (r *Rollout) forgetPeers() {
	for instance, p := range r.peers {
		p.gone = !slices.Contains(r.members, instance)
		if p.gone && !slices.Contains(r.ranked, instance) {
			delete(r.peers, instance)
		}
	}
	for _, instance := range r.ranked {
		r.peer(instance).gone = !slices.Contains(r.members, instance)
	}
}

func (r *Rollout) peerHeard(e PeerHeard) {
	p := r.peer(e.Instance)
	p.suspected, p.dead = false, false
	p.heard = true
	p.status = e.Status
	if e.Status.Served != "" && e.Status.ServedVersion != "" {
		r.digests[e.Status.ServedVersion] = e.Status.Served
	}
	// An older revision may speak of an earlier try of the same version.
	if e.Status.FailedVersion != "" && e.Status.FailedVersion == r.target.Version && e.Status.Revision >= r.rowRevision {
		r.failedPeer = e.Instance
	}
}

// predecessors returns the agents before this one in its chain, the next one first.
func (r *Rollout) predecessors() []mulberryspool.InstanceID {
	chains := r.chains()
	var before []mulberryspool.InstanceID
	for rank := slices.Index(r.ranked, r.settings.Instance) - chains; rank >= 0; rank -= chains {
		before = append(before, r.ranked[rank])
	}
	return before
}

func (r *Rollout) chains() int {
	return max(r.pool.MaxUnavailable, 1)
}

// mayDrain reports whether it is this agent's turn.
func (r *Rollout) mayDrain() bool {
	if r.goal() == r.target && r.failedPeer != "" {
		return false
	}
	if r.joined && !r.earlierSettled() {
		return false
	}
	return r.predecessorSettled()
}

// earlierSettled reports whether all chains have got as far as this agent. An
// agent that came in the middle of a rollout may rank the others differently
// from them, so its own chain is not enough.
func (r *Rollout) earlierSettled() bool {
	settled := 0
	for rank := slices.Index(r.ranked, r.settings.Instance) - 1; rank >= 0 && settled < r.chains(); rank-- {
		p := r.peer(r.ranked[rank])
		if p.absent() {
			continue
		}
		if !r.settled(p) {
			return false
		}
		settled++
	}
	return true
}

// predecessorSettled reports whether all agents before this one in its chain
// serve the target. That the predecessor serves it is not enough: it may have
// joined with the target, while one before it has yet to swap. Predecessors
// that do not count are passed over, and the next one decides.
func (r *Rollout) predecessorSettled() bool {
	for _, instance := range r.predecessors() {
		p := r.peer(instance)
		if !p.absent() {
			return r.settled(p)
		}
	}
	return true
}

// absent reports whether the agent serves nothing that a swap would interrupt.
// A starting agent does not count as absent, because it may yet find that its
// engine serves an older version.
func (p *peer) absent() bool {
	if p.dead || p.gone {
		return true
	}
	if !p.heard {
		return false
	}
	if p.status.Leaving {
		return true
	}
	switch p.status.Phase {
	case mulberryspool.PhaseFetching, mulberryspool.PhaseStaged:
		return p.status.Served == ""
	}
	return false
}

func (r *Rollout) settled(p *peer) bool {
	return p.heard && p.status.Settled && p.status.Phase == mulberryspool.PhaseServing && p.status.Revision >= r.rowRevision &&
		p.status.Target == r.target.Version && p.status.Served != "" && p.status.Served == r.digestOf(r.target.Version)
}

// servedByPeers returns the version that other agents of the pool serve.
func (r *Rollout) servedByPeers() (Goal, bool) {
	for _, instance := range sortedKeys(r.peers) {
		version := r.peers[instance].status.ServedVersion
		if version != "" && version != r.target.Version {
			return Goal{Version: version, Role: r.target.Role}, true
		}
	}
	return Goal{}, false
}

// Watched returns the agents whose heartbeats this one needs: the predecessor
// in its chain, and those before it while it is suspected or does not count.
// An agent that came in the middle of a rollout needs one of each chain.
func (r *Rollout) Watched() []mulberryspool.InstanceID {
	var watched []mulberryspool.InstanceID
	if r.settings.Plain || !r.hasRow {
		return nil
	}
	for _, instance := range r.predecessors() {
		watched = append(watched, instance)
		if p := r.peer(instance); !p.suspected && !p.absent() {
			break
		}
	}
	if !r.joined || r.serving && r.current == r.target {
		return watched
	}
	needed := r.chains()
	for rank := slices.Index(r.ranked, r.settings.Instance) - 1; rank >= 0 && needed > 0; rank-- {
		instance := r.ranked[rank]
		if !slices.Contains(watched, instance) {
			watched = append(watched, instance)
		}
		if !r.peer(instance).absent() {
			needed--
		}
	}
	return watched
}

func contains[T comparable](all []T, one T) bool {
	return slices.Contains(all, one)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
