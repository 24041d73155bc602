package rollout

import (
	"fmt"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// order sends a load order. Everything that it needs has been prepared.
func (r *Rollout) order(goal Goal) {
	r.sequence++
	r.fencing = r.lease.number<<numberShift + r.sequence
	r.ordered = goal
	r.loadError = ""
	r.vanished = false
	r.step = stepLoading
	r.token++
	// An older reading that is still under way says nothing of this order.
	r.reading = false
	r.hasAdopting = false
	load := Load{
		Token:      r.token,
		Goal:       goal,
		Content:    r.manifests[goal.Version].manifest,
		Fencing:    r.fencing,
		CheckLease: r.pool.IgnoresFencing,
		ValidUntil: r.lease.validUntil,
	}
	if goal.Adapter != "" {
		load.Adapter = r.manifests[goal.Adapter].manifest
	}
	r.emit(load)
	r.record(mulberryspool.EventEngineOrdered, goal.Version, fmt.Sprintf("fencing number %d", r.fencing))
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
	if e.Unstaged {
		// The stager dropped the content, which says nothing of the version.
		delete(r.stages, r.digestOf(r.ordered.Version))
		delete(r.stages, r.digestOf(r.ordered.Adapter))
	}
	r.blameless = e.Unstaged || e.Unreached
	r.vanished = e.Uncertain
	r.loadError = e.Error
	r.step = stepVerifying
	r.readBack()
}

func (r *Rollout) readBack() {
	r.token++
	r.reading = true
	r.emit(ReadBack{Token: r.token})
}

// periodicRead reads the engine back while no order is under way.
func (r *Rollout) periodicRead(now time.Duration) {
	if r.settings.Plain || r.reading || r.step == stepLoading {
		return
	}
	if r.readAt == 0 || now-r.readAt >= r.settings.ReadBackInterval {
		r.readBack()
	}
}

func (r *Rollout) engineRead(now time.Duration, e EngineRead) {
	if !r.reading || e.Token != r.token {
		return
	}
	r.reading = false
	r.readAt = max(now, 1)
	if e.Error != "" {
		r.engineUnreadable()
		return
	}
	first := !r.engineKnown && !r.hasPrevious && r.sequence == 0
	r.unreadable = 0
	r.engine = e.Loaded
	r.engineKnown = true
	if first {
		r.adopting = Goal{Version: e.Loaded.Version, Adapter: e.Loaded.Adapter, Role: e.Loaded.Role}
		r.hasAdopting = e.Loaded.Version != ""
	}
	switch {
	case r.step == stepVerifying:
		r.verify(now)
	case (r.serving || r.step == stepDraining) && !sameContent(r.engine, r.served):
		r.record(mulberryspool.EventEngineReadBack, e.Loaded.Version, "the engine's content changed without an order")
		r.closeGate(true)
		r.step = stepIdle
	}
}

func (r *Rollout) engineUnreadable() {
	r.unreadable++
	if r.step == stepVerifying {
		r.vanished = true
		return
	}
	if r.unreadable < unreadableReadings {
		return
	}
	r.engineKnown = false
	r.closeGate(false)
	if r.step == stepDraining {
		r.step = stepIdle
	}
}

// verify compares what the engine serves after an order with what was ordered.
func (r *Rollout) verify(now time.Duration) {
	r.step = stepIdle
	if r.holds(r.ordered) {
		// It is served until this agent's next turn, even if it was superseded.
		r.previous, r.hasPrevious = r.ordered, true
		r.record(mulberryspool.EventEngineReadBack, r.ordered.Version, "loaded")
		return
	}
	if r.engine.Fencing > r.fencing {
		// Another incarnation has ordered something else. The lease says which one is newer.
		return
	}
	cause := r.loadError
	if cause == "" {
		cause = fmt.Sprintf("the engine serves version %q with digest %q, want digest %q",
			r.engine.Version, r.engine.Digest, r.digestOf(r.ordered.Version))
	}
	if r.blameless {
		r.notBefore = now + r.settings.ReadBackInterval
		return
	}
	r.attempts++
	// Another version, without an error, was ordered by someone else.
	intruder := r.loadError == "" && r.engine.Version != r.ordered.Version
	if (r.vanished || intruder) && r.attempts < loadAttempts {
		return
	}
	r.fail(now, cause)
}

func (r *Rollout) fail(now time.Duration, cause string) {
	r.attempts = 0
	r.record(mulberryspool.EventEngineReadBack, r.ordered.Version, "load failed: "+cause)
	if r.ordered == r.target {
		r.failure = &Failure{Goal: r.ordered, Cause: cause}
	}
	if r.goal() == r.ordered {
		// There is nothing else to load, so the same is tried again later.
		r.notBefore = now + r.settings.RetryInterval
	}
}

// sameContent compares what the engine serves, whoever ordered it.
func sameContent(a, b mulberryspool.Loaded) bool {
	a.Fencing, b.Fencing = 0, 0
	return a == b
}
