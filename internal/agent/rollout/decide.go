package rollout

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// decide takes the next possible step towards the goal. It is called after every
// event.
func (r *Rollout) decide(now time.Duration) {
	if r.leaving || !r.hasRow {
		r.periodicRead(now)
		return
	}
	if r.settings.Plain {
		r.startServing(now, r.target)
		return
	}
	r.periodicRead(now)
	r.maintainLease(now)
	if r.lease.lost {
		return
	}
	if !r.engineKnown {
		// Stage the content meanwhile, so that it can be loaded as soon as the
		// engine is available again.
		r.prepare(now, r.goal())
		return
	}
	switch r.step {
	case stepIdle:
		r.serveOrSwap(now)
	case stepDraining:
		r.drain(now)
	}
	r.releaseUnused(now)
}

// goal returns the target, or the goal to fall back to after the target failed:
// the previous one, else the version that peers serve. Without either, it is
// the target again.
func (r *Rollout) goal() Goal {
	if r.failure == nil || r.failure.Goal != r.target {
		return r.target
	}
	if r.hasPrevious && r.previousGoal != r.target {
		return r.previousGoal
	}
	if fallback, ok := r.servedByPeers(); ok {
		return fallback
	}
	return r.target
}

// serveOrSwap starts serving if the engine has the goal loaded, and otherwise
// prepares and begins the swap to it.
func (r *Rollout) serveOrSwap(now time.Duration) {
	goal := r.goal()
	if r.engineMatches(goal) {
		r.startServing(now, goal)
		return
	}
	ready := r.prepare(now, goal)
	if !r.serving && r.servePrevious(now, ready) {
		return
	}
	if !ready || now < r.notBefore {
		return
	}
	if r.serving {
		if !r.mayDrain() {
			return
		}
		r.stopServing(false)
		r.step = stepDraining
	}
	r.drain(now)
}

// servePrevious serves the previous or inherited goal if the engine still has
// it loaded, until it is this agent's turn to swap. It returns true if the swap
// must wait for the manifest that shows whether the engine has the inherited goal.
func (r *Rollout) servePrevious(now time.Duration, ready bool) bool {
	if r.hasPrevious && r.engineMatches(r.previousGoal) {
		r.startServing(now, r.previousGoal)
		return false
	}
	if !r.hasInherited {
		return false
	}
	if r.engineMatches(r.inheritedGoal) {
		r.startServing(now, r.inheritedGoal)
		return false
	}
	state := r.manifests[r.inheritedGoal.Version]
	if state.known || r.engine.Version != r.inheritedGoal.Version {
		r.hasInherited = false
		return false
	}
	r.lookupManifest(now, r.inheritedGoal.Version)
	// A swap that is ready does not wait for an unavailable object API.
	return !ready || state.err == ""
}

// drain sends the load order once no request is in flight. If the swap is no
// longer needed or no longer allowed, it resumes serving.
func (r *Rollout) drain(now time.Duration) {
	goal := r.goal()
	if r.step == stepDraining && (r.engineMatches(goal) || !r.prepare(now, goal) || !r.mayDrain()) {
		r.step = stepIdle
		r.serveOrSwap(now)
		return
	}
	if r.inFlight > 0 || !r.prepare(now, goal) {
		return
	}
	r.sendLoad(goal)
}

// prepare requests the manifests and contents that a load order needs. It
// returns true when they are present and the lease permits the order.
func (r *Rollout) prepare(now time.Duration, goal Goal) bool {
	content, ok := r.lookupManifest(now, goal.Version)
	adapter := mulberryspool.Manifest{}
	if goal.Adapter != "" {
		var found bool
		adapter, found = r.lookupManifest(now, goal.Adapter)
		ok = ok && found
	}
	if !ok {
		return false
	}
	r.cancelOtherTransfers(content.Digest, adapter.Digest)
	// The adapter is staged after the base content, because a stager runs one
	// transfer at a time.
	staged := r.ensureStaged(now, content)
	if staged && goal.Adapter != "" {
		staged = r.ensureStaged(now, adapter)
	}
	return staged && r.leaseAllowsLoad(now)
}

// lookupManifest returns a version's manifest, or requests it if it is not
// known.
func (r *Rollout) lookupManifest(now time.Duration, version string) (mulberryspool.Manifest, bool) {
	state := r.manifests[version]
	if state.known {
		return state.manifest, true
	}
	if !state.requested && now >= state.retryAt {
		state.requested = true
		r.manifests[version] = state
		r.emit(ReadManifest{Version: version})
	}
	return mulberryspool.Manifest{}, false
}

// ensureStaged reports whether a content is staged, and starts its transfer if
// it is not.
func (r *Rollout) ensureStaged(now time.Duration, manifest mulberryspool.Manifest) bool {
	s, ok := r.contents[manifest.Digest]
	if !ok {
		s = &contentState{}
		r.contents[manifest.Digest] = s
	}
	if !s.staged && !s.staging && now >= s.retryAt {
		s.staging = true
		r.emit(Stage{Manifest: manifest})
	}
	return s.staged
}

// cancelOtherTransfers stops transfers that are no longer needed since a newer
// change superseded theirs.
func (r *Rollout) cancelOtherTransfers(keep ...mulberryspool.Digest) {
	for _, digest := range sortedKeys(r.contents) {
		if contains(keep, digest) || !r.contents[digest].staging {
			continue
		}
		delete(r.contents, digest)
		r.emit(StopStaging{Digest: digest})
	}
}

// releaseUnused releases, while the goal is served, the contents that peers are
// unlikely to fetch: all but the served one, and that one too after ReleaseAfter.
func (r *Rollout) releaseUnused(now time.Duration) {
	if !r.serving || r.servedGoal != r.goal() {
		return
	}
	keep := r.digestOf(r.servedGoal.Version)
	keepAdapter := r.digestOf(r.servedGoal.Adapter)
	for _, digest := range sortedKeys(r.contents) {
		unneeded := digest != keep && digest != keepAdapter
		if !r.contents[digest].staged || !unneeded && now-r.servedSince < r.settings.ReleaseAfter {
			continue
		}
		delete(r.contents, digest)
		r.emit(Release{Digest: digest})
	}
}

// digestOf returns a version's digest from its manifest or from a peer that
// serves it, or the empty digest if neither is known.
func (r *Rollout) digestOf(version string) mulberryspool.Digest {
	if state := r.manifests[version]; state.known {
		return state.manifest.Digest
	}
	return r.digests[version]
}

// engineMatches reports whether the last read-back of the engine shows the goal.
func (r *Rollout) engineMatches(goal Goal) bool {
	digest := r.digestOf(goal.Version)
	return r.engineKnown && digest != "" && r.engine.Digest == digest &&
		r.engine.Adapter == goal.Adapter && (goal.Role == "" || r.engine.Role == goal.Role)
}

// startServing lets requests start with the weights that were read back.
func (r *Rollout) startServing(now time.Duration, goal Goal) {
	if r.serving && r.servedGoal == goal && r.servedWeights == r.engine {
		return
	}
	if !r.serving || r.servedGoal != goal {
		r.servedSince = now
	}
	r.serving, r.servedGoal, r.servedWeights = true, goal, r.engine
	r.previousGoal, r.hasPrevious = goal, true
	r.hasInherited = false
	if goal == r.target {
		r.loadAttempts = 0
	}
	r.emit(SetServing{On: true, Weights: r.engine})
}

// stopServing lets no more requests start. changed is set if the engine's
// weights changed without an order; this is reported even when the agent is not
// serving, because answers in progress may mix both weights.
func (r *Rollout) stopServing(changed bool) {
	if !r.serving && !changed {
		return
	}
	r.serving = false
	r.emit(SetServing{WeightsChanged: changed})
}
