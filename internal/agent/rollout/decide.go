package rollout

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// decide takes the next step towards the goal, if there is one to take.
func (r *Rollout) decide(now time.Duration) {
	if r.leaving || !r.hasRow {
		r.periodicRead(now)
		return
	}
	if r.settings.Plain {
		r.openGate(now, r.target)
		return
	}
	r.periodicRead(now)
	r.keepLease(now)
	if r.lease.lost {
		return
	}
	if !r.engineKnown {
		// The content is there when the engine comes back.
		r.prepare(now, r.goal())
		return
	}
	switch r.step {
	case stepIdle:
		r.serveOrSwap(now)
	case stepDraining:
		r.drain(now)
	}
	r.releaseStaged(now)
}

// goal is the target, or what to return to after the target has failed.
func (r *Rollout) goal() Goal {
	if r.failure == nil || r.failure.Goal != r.target {
		return r.target
	}
	if r.hasPrevious && r.previous != r.target {
		return r.previous
	}
	if fallback, ok := r.servedByPeers(); ok {
		return fallback
	}
	return r.target
}

// serveOrSwap serves what the engine holds if that is known to be right, and
// swaps when the engine holds something else than the goal.
func (r *Rollout) serveOrSwap(now time.Duration) {
	goal := r.goal()
	if r.holds(goal) {
		r.openGate(now, goal)
		return
	}
	ready := r.prepare(now, goal)
	if !r.serving && r.serveOld(now, ready) {
		return
	}
	if !ready || now < r.notBefore {
		return
	}
	if r.serving {
		if !r.mayDrain() {
			return
		}
		r.closeGate(false)
		r.step = stepDraining
	}
	r.drain(now)
}

// serveOld serves an older goal that the engine still holds, until this
// agent's turn to swap. It returns true while that is still to be found out.
func (r *Rollout) serveOld(now time.Duration, ready bool) bool {
	if r.hasPrevious && r.holds(r.previous) {
		r.openGate(now, r.previous)
		return false
	}
	if !r.hasAdopting {
		return false
	}
	if r.holds(r.adopting) {
		r.openGate(now, r.adopting)
		return false
	}
	entry := r.manifests[r.adopting.Version]
	if entry.known || r.engine.Version != r.adopting.Version {
		r.hasAdopting = false
		return false
	}
	r.manifest(now, r.adopting.Version)
	// A swap that is ready does not wait for an object API that is down.
	return !ready || entry.failed == ""
}

// drain orders the load once no request is in flight. It returns to serving
// when there is no reason to swap any more.
func (r *Rollout) drain(now time.Duration) {
	goal := r.goal()
	if r.step == stepDraining && (r.holds(goal) || !r.prepare(now, goal) || !r.mayDrain()) {
		r.step = stepIdle
		r.serveOrSwap(now)
		return
	}
	if r.inFlight > 0 || !r.prepare(now, goal) {
		return
	}
	r.order(goal)
}

// prepare returns true when everything is there that an order needs.
func (r *Rollout) prepare(now time.Duration, goal Goal) bool {
	content, ok := r.manifest(now, goal.Version)
	adapter := mulberryspool.Manifest{}
	if goal.Adapter != "" {
		var found bool
		adapter, found = r.manifest(now, goal.Adapter)
		ok = ok && found
	}
	if !ok {
		return false
	}
	r.stopOtherStages(content.Digest, adapter.Digest)
	// One after the other, because a stager has one transfer at a time.
	staged := r.stage(now, content)
	if staged && goal.Adapter != "" {
		staged = r.stage(now, adapter)
	}
	return staged && r.mayOrder(now)
}

// manifest returns a version's manifest, or asks for it.
func (r *Rollout) manifest(now time.Duration, version string) (mulberryspool.Manifest, bool) {
	entry := r.manifests[version]
	if entry.known {
		return entry.manifest, true
	}
	if !entry.reading && now >= entry.retryAt {
		entry.reading = true
		r.manifests[version] = entry
		r.emit(ReadManifest{Version: version})
	}
	return mulberryspool.Manifest{}, false
}

func (r *Rollout) stage(now time.Duration, manifest mulberryspool.Manifest) bool {
	s, ok := r.stages[manifest.Digest]
	if !ok {
		s = &stageEntry{}
		r.stages[manifest.Digest] = s
	}
	if !s.done && !s.running && now >= s.retryAt {
		s.running = true
		r.emit(Stage{Manifest: manifest})
	}
	return s.done
}

// stopOtherStages ends transfers that a superseding change has made useless.
func (r *Rollout) stopOtherStages(keep ...mulberryspool.Digest) {
	for _, digest := range sortedKeys(r.stages) {
		if contains(keep, digest) || !r.stages[digest].running {
			continue
		}
		delete(r.stages, digest)
		r.emit(StopStaging{Digest: digest})
	}
}

// releaseStaged drops contents that no peer is likely to ask for.
func (r *Rollout) releaseStaged(now time.Duration) {
	if !r.serving || r.current != r.goal() {
		return
	}
	keep := r.digestOf(r.current.Version)
	keepAdapter := r.digestOf(r.current.Adapter)
	for _, digest := range sortedKeys(r.stages) {
		old := digest != keep && digest != keepAdapter
		if !r.stages[digest].done || !old && now-r.servedAt < r.settings.ReleaseAfter {
			continue
		}
		delete(r.stages, digest)
		r.emit(Release{Digest: digest})
	}
}

// digestOf returns a version's digest as far as it is known.
func (r *Rollout) digestOf(version string) mulberryspool.Digest {
	if entry := r.manifests[version]; entry.known {
		return entry.manifest.Digest
	}
	return r.digests[version]
}

// holds reports whether the last reading of the engine is the goal.
func (r *Rollout) holds(goal Goal) bool {
	digest := r.digestOf(goal.Version)
	return r.engineKnown && digest != "" && r.engine.Digest == digest &&
		r.engine.Adapter == goal.Adapter && (goal.Role == "" || r.engine.Role == goal.Role)
}

func (r *Rollout) openGate(now time.Duration, goal Goal) {
	if r.serving && r.current == goal && r.served == r.engine {
		return
	}
	if !r.serving || r.current != goal {
		r.servedAt = now
	}
	r.serving, r.current, r.served = true, goal, r.engine
	r.previous, r.hasPrevious = goal, true
	r.hasAdopting = false
	if goal == r.target {
		r.attempts = 0
	}
	r.emit(SetServing{On: true, Weights: r.engine})
}

func (r *Rollout) closeGate(changed bool) {
	if !r.serving && !changed {
		return
	}
	r.serving = false
	r.emit(SetServing{Changed: changed})
}
