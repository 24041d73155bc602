package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// peer is the state of another agent of the pool, as far as it is known.
type peer struct {
	hasStatus bool
	status    mulberryspool.Heartbeat
	suspected bool
	dead      bool
	// removed is set while the agent is in the stable order, but not a member.
	removed bool
}

// RendezvousOrder sorts agents by the rendezvous hash of version and instance,
// highest first, so every agent computes the same order for a version.
func RendezvousOrder(version string, instances []mulberryspool.InstanceID) []mulberryspool.InstanceID {
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
	for _, item := range all {
		ordered = append(ordered, item.instance)
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

// setMembers updates both orders of the agents; an agent may swap only when it is
// its turn in both. Neither is sufficient alone. In the current order, a member
// that joins or leaves may move others to another chain in which it is their turn,
// although an agent before them still swaps. In the stable order ranks never
// change: agents that left keep theirs, and agents that join are appended. But
// agents whose member lists differed when the target was set have different stable
// orders.
func (r *Rollout) setMembers(e Members) {
	r.members = slices.Clone(e.Instances)
	if !slices.Contains(r.members, r.settings.Instance) {
		r.members = append(r.members, r.settings.Instance)
	}
	var added []mulberryspool.InstanceID
	for _, instance := range r.members {
		if !slices.Contains(r.stableOrder, instance) {
			added = append(added, instance)
		}
	}
	r.stableOrder = append(r.stableOrder, RendezvousOrder(r.target.Version, added)...)
	r.currentOrder = RendezvousOrder(r.target.Version, r.members)
	r.prunePeers()
}

// resetOrders computes both orders of the agents for a new target.
func (r *Rollout) resetOrders() {
	if len(r.members) == 0 {
		r.members = []mulberryspool.InstanceID{r.settings.Instance}
	}
	r.currentOrder = RendezvousOrder(r.target.Version, r.members)
	r.stableOrder = slices.Clone(r.currentOrder)
	r.prunePeers()
}

// prunePeers deletes peers that are in neither order and marks those that are
// no longer members.
func (r *Rollout) prunePeers() {
	for instance, p := range r.peers {
		p.removed = !slices.Contains(r.members, instance)
		if p.removed && !slices.Contains(r.stableOrder, instance) {
			delete(r.peers, instance)
		}
	}
	for _, instance := range r.stableOrder {
		r.peer(instance).removed = !slices.Contains(r.members, instance)
	}
}

func (r *Rollout) peerHeartbeat(e PeerHeartbeat) {
	p := r.peer(e.Instance)
	p.suspected, p.dead = false, false
	p.hasStatus = true
	p.status = e.Status
	if e.Status.Served != "" && e.Status.ServedVersion != "" {
		r.digests[e.Status.ServedVersion] = e.Status.Served
	}
	// A heartbeat of an older revision may report the failure of an earlier
	// rollout of the same version.
	if e.Status.FailedVersion != "" && e.Status.FailedVersion == r.target.Version && e.Status.Revision >= r.rowRevision {
		r.failedPeer = e.Instance
	}
}

// predecessors returns the agents before this one in its chain of an order, the
// nearest one first. An order is split into chains, in each of which one agent
// at a time swaps: with n chains, the agent at rank i follows the one at i-n.
func (r *Rollout) predecessors(order []mulberryspool.InstanceID) []mulberryspool.InstanceID {
	chains := r.chains()
	var preceding []mulberryspool.InstanceID
	for rank := slices.Index(order, r.settings.Instance) - chains; rank >= 0; rank -= chains {
		preceding = append(preceding, order[rank])
	}
	return preceding
}

// chains returns the number of chains, which is the number of agents that may
// swap at the same time.
func (r *Rollout) chains() int {
	return max(r.pool.MaxUnavailable, 1)
}

// mayDrain reports whether it is this agent's turn to swap.
func (r *Rollout) mayDrain() bool {
	if r.goal() == r.target && r.failedPeer != "" {
		return false
	}
	if r.firstTarget && !r.allChainsSettled() {
		return false
	}
	return r.predecessorSettled()
}

// allChainsSettled reports whether the nearest agents before this one that are not
// skippable, as many as there are chains, have settled. An agent that joined in the
// middle of a rollout checks it: its order of the agents may differ from that of
// the others, so it is not sufficient to check its own chain.
func (r *Rollout) allChainsSettled() bool {
	settled := 0
	for rank := slices.Index(r.currentOrder, r.settings.Instance) - 1; rank >= 0 && settled < r.chains(); rank-- {
		p := r.peer(r.currentOrder[rank])
		if p.skippable() {
			continue
		}
		if !r.settled(p) {
			return false
		}
		settled++
	}
	return true
}

// predecessorSettled reports whether all agents before this one serve the target,
// in its chain of each order. The predecessor says so with Settled in its
// heartbeat. It is not sufficient that the predecessor itself serves the target:
// it may have had the target loaded when it joined, while an agent before it has
// yet to swap. If a predecessor is skippable, the one before it is checked instead.
func (r *Rollout) predecessorSettled() bool {
	return r.nearestSettled(r.predecessors(r.stableOrder)) && r.nearestSettled(r.predecessors(r.currentOrder))
}

func (r *Rollout) nearestSettled(predecessors []mulberryspool.InstanceID) bool {
	for _, instance := range predecessors {
		p := r.peer(instance)
		if !p.skippable() {
			return r.settled(p)
		}
	}
	return true
}

// skippable reports whether the chain can skip the agent, because it serves
// nothing that a swap would interrupt. A starting agent is not skippable,
// because it may yet find that its engine serves an older version.
func (p *peer) skippable() bool {
	if p.dead || p.removed {
		return true
	}
	if !p.hasStatus {
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

// settled reports whether a peer's last heartbeat says that it and all agents
// before it in its chain serve the target.
func (r *Rollout) settled(p *peer) bool {
	return p.hasStatus && p.status.Settled && p.status.Phase == mulberryspool.PhaseServing && p.status.Revision >= r.rowRevision &&
		p.status.Target == r.target.Version && p.status.Served != "" && p.status.Served == r.digestOf(r.target.Version)
}

// servedByPeers returns a version other than the target that a peer serves, and
// false if there is none.
func (r *Rollout) servedByPeers() (Goal, bool) {
	for _, instance := range sortedKeys(r.peers) {
		version := r.peers[instance].status.ServedVersion
		if version != "" && version != r.target.Version {
			return Goal{Version: version, Role: r.target.Role}, true
		}
	}
	return Goal{}, false
}

// Watched returns the agents whose heartbeats this one needs: the predecessor in
// its chain of each order, and those before it while it is suspected or
// skippable. An agent that joined in the middle of a rollout also needs those that
// allChainsSettled checks.
func (r *Rollout) Watched() []mulberryspool.InstanceID {
	if r.settings.Plain || !r.hasRow {
		return nil
	}
	watched := r.appendWatched(nil, r.predecessors(r.stableOrder), 1)
	watched = r.appendWatched(watched, r.predecessors(r.currentOrder), 1)
	if r.firstTarget && (!r.serving || r.servedGoal != r.target) {
		earlier := slices.Clone(r.currentOrder[:slices.Index(r.currentOrder, r.settings.Instance)])
		slices.Reverse(earlier)
		watched = r.appendWatched(watched, earlier, r.chains())
	}
	return watched
}

// appendWatched appends candidates until count of them are neither suspected
// nor skippable.
func (r *Rollout) appendWatched(watched, candidates []mulberryspool.InstanceID, count int) []mulberryspool.InstanceID {
	for _, instance := range candidates {
		if count == 0 {
			break
		}
		p := r.peer(instance)
		if p.removed {
			continue
		}
		if !slices.Contains(watched, instance) {
			watched = append(watched, instance)
		}
		if !p.suspected && !p.skippable() {
			count--
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
