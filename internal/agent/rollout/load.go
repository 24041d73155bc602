package rollout

import (
	"fmt"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// sendLoad sends a load order. The caller has checked with prepare that nothing
// is missing.
func (r *Rollout) sendLoad(goal Goal) {
	r.sequence++
	r.orderedFencing = r.lease.number<<leaseNumberShift + r.sequence
	r.orderedGoal = goal
	r.loadError = ""
	r.outcomeUncertain = false
	r.step = stepLoading
	r.token++
	// The result of a pending read-back is ignored, since it may precede this order.
	r.readPending = false
	r.hasInherited = false
	load := Load{
		Token:      r.token,
		Goal:       goal,
		Content:    r.manifests[goal.Version].manifest,
		Fencing:    r.orderedFencing,
		CheckLease: r.pool.IgnoresFencing,
		ValidUntil: r.lease.validUntil,
	}
	if goal.Adapter != "" {
		load.Adapter = r.manifests[goal.Adapter].manifest
	}
	r.emit(load)
	r.record(mulberryspool.EventEngineOrdered, goal.Version, fmt.Sprintf("fencing number %d", r.orderedFencing))
}

func (r *Rollout) loadEnded(e LoadEnded) {
	if r.step != stepLoading || e.Token != r.token {
		return
	}
	if e.NotSent {
		r.step = stepIdle
		r.lease.validUntil = 0
		return
	}
	if e.ContentMissing {
		// The stager released the content early; the version is not at fault.
		delete(r.contents, r.digestOf(r.orderedGoal.Version))
		delete(r.contents, r.digestOf(r.orderedGoal.Adapter))
	}
	r.unrelatedFailure = e.ContentMissing || e.NotReceived
	r.outcomeUncertain = e.Uncertain
	r.loadError = e.Error
	r.step = stepVerifying
	r.readBack()
}

func (r *Rollout) readBack() {
	r.token++
	r.readPending = true
	r.emit(ReadBack{Token: r.token})
}

// periodicRead reads the engine back at intervals while no load order is running.
func (r *Rollout) periodicRead(now time.Duration) {
	if r.settings.Plain || r.readPending || r.step == stepLoading {
		return
	}
	if r.lastReadAt == 0 || now-r.lastReadAt >= r.settings.ReadBackInterval {
		r.readBack()
	}
}

func (r *Rollout) engineRead(now time.Duration, e EngineRead) {
	if !r.readPending || e.Token != r.token {
		return
	}
	r.readPending = false
	r.lastReadAt = max(now, 1)
	if e.Error != "" {
		r.engineReadFailed()
		return
	}
	first := !r.engineKnown && !r.hasPrevious && r.sequence == 0
	r.failedReads = 0
	r.engine = e.Loaded
	r.engineKnown = true
	if first {
		r.inheritedGoal = Goal{Version: e.Loaded.Version, Adapter: e.Loaded.Adapter, Role: e.Loaded.Role}
		r.hasInherited = e.Loaded.Version != ""
	}
	switch {
	case r.step == stepVerifying:
		r.verify(now)
	case (r.serving || r.step == stepDraining) && !sameWeights(r.engine, r.servedWeights):
		r.record(mulberryspool.EventEngineReadBack, e.Loaded.Version, "the engine's content changed without an order")
		r.stopServing(true)
		r.step = stepIdle
	}
}

// engineReadFailed counts a failed read-back. After an order, one of them makes
// the outcome uncertain; otherwise the engine becomes unknown after
// maxFailedReads.
func (r *Rollout) engineReadFailed() {
	r.failedReads++
	if r.step == stepVerifying {
		r.outcomeUncertain = true
		return
	}
	if r.failedReads < maxFailedReads {
		return
	}
	r.engineKnown = false
	r.stopServing(false)
	if r.step == stepDraining {
		r.step = stepIdle
	}
}

// verify compares the read-back after a load order with the ordered goal.
func (r *Rollout) verify(now time.Duration) {
	r.step = stepIdle
	if r.engineMatches(r.orderedGoal) {
		// It is served until the next swap, even if a newer change superseded it.
		r.previousGoal, r.hasPrevious = r.orderedGoal, true
		r.record(mulberryspool.EventEngineReadBack, r.orderedGoal.Version, "loaded")
		return
	}
	if r.engine.Fencing > r.orderedFencing {
		// Another incarnation sent a later order. The lease shows which one is newer.
		return
	}
	cause := r.loadError
	if cause == "" {
		cause = fmt.Sprintf("the engine serves version %q with digest %q, want digest %q",
			r.engine.Version, r.engine.Digest, r.digestOf(r.orderedGoal.Version))
	}
	if r.unrelatedFailure {
		r.notBefore = now + r.settings.ReadBackInterval
		return
	}
	r.loadAttempts++
	// A different version without an error means that it was loaded by someone else.
	foreignLoad := r.loadError == "" && r.engine.Version != r.orderedGoal.Version
	if (r.outcomeUncertain || foreignLoad) && r.loadAttempts < maxLoadAttempts {
		return
	}
	r.loadFailed(now, cause)
}

// loadFailed records a failed load. If the target failed, goal returns the
// fallback from then on.
func (r *Rollout) loadFailed(now time.Duration, cause string) {
	r.loadAttempts = 0
	r.record(mulberryspool.EventEngineReadBack, r.orderedGoal.Version, "load failed: "+cause)
	if r.orderedGoal == r.target {
		r.failure = &Failure{Goal: r.orderedGoal, Cause: cause}
	}
	if r.goal() == r.orderedGoal {
		// There is no other goal to load, so this one is retried later.
		r.notBefore = now + r.settings.RetryInterval
	}
}

// sameWeights reports whether two read-backs show the same weights, whatever
// their fencing numbers.
func sameWeights(a, b mulberryspool.Loaded) bool {
	a.Fencing, b.Fencing = 0, 0
	return a == b
}
