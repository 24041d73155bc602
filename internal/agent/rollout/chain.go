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

// setMembers keeps two orders. In the present one, an agent that joins or goes
// may move others to a chain in which it is their turn, although one before
// them still swaps. In the ranked one nobody moves: agents that have gone keep
// their rank and later ones come last; but it differs between agents whose
// views differed when the target was set. It must be an agent's turn in both.
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
	r.present = Order(r.target.Version, r.members)
	r.forgetPeers()
}

// rank orders the agents for a new target.
func (r *Rollout) rank() {
	if len(r.members) == 0 {
		r.members = []mulberryspool.InstanceID{r.settings.Instance}
	}
	r.present = Order(r.target.Version, r.members)
	r.ranked = slices.Clone(r.present)
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

// predecessors returns the agents before this one in its chain of an order,
// the next one first.
func (r *Rollout) predecessors(order []mulberryspool.InstanceID) []mulberryspool.InstanceID {
	chains := r.chains()
	var before []mulberryspool.InstanceID
	for rank := slices.Index(order, r.settings.Instance) - chains; rank >= 0; rank -= chains {
		before = append(before, order[rank])
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
	for rank := slices.Index(r.present, r.settings.Instance) - 1; rank >= 0 && settled < r.chains(); rank-- {
		p := r.peer(r.present[rank])
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

// predecessorSettled reports whether all agents before this one in its chains
// serve the target. That the predecessor serves it is not enough: it may have
// joined with the target, while one before it has yet to swap. Predecessors
// that do not count are passed over, and the next one decides.
func (r *Rollout) predecessorSettled() bool {
	return r.firstSettled(r.predecessors(r.ranked)) && r.firstSettled(r.predecessors(r.present))
}

func (r *Rollout) firstSettled(before []mulberryspool.InstanceID) bool {
	for _, instance := range before {
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
	if r.settings.Plain || !r.hasRow {
		return nil
	}
	watched := r.watch(nil, r.predecessors(r.ranked), 1)
	watched = r.watch(watched, r.predecessors(r.present), 1)
	if r.joined && (!r.serving || r.current != r.target) {
		earlier := slices.Clone(r.present[:slices.Index(r.present, r.settings.Instance)])
		slices.Reverse(earlier)
		watched = r.watch(watched, earlier, r.chains())
	}
	return watched
}

// watch adds agents until enough of them count.
func (r *Rollout) watch(watched, before []mulberryspool.InstanceID, enough int) []mulberryspool.InstanceID {
	for _, instance := range before {
		if enough == 0 {
			break
		}
		p := r.peer(instance)
		if p.gone {
			continue
		}
		if !slices.Contains(watched, instance) {
			watched = append(watched, instance)
		}
		if !p.suspected && !p.absent() {
			enough--
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
