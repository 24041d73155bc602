package rollout

import (
	"github.com/mulberryspool/mulberryspool"
)

// View is what an agent tells of its version.
type View struct {
	Phase    mulberryspool.Phase    `json:"phase"`
	Revision mulberryspool.Revision `json:"revision"`
	Target   Goal                   `json:"target"`
	// Served and ServedVersion are empty unless requests may start.
	Served        mulberryspool.Digest `json:"served,omitempty"`
	ServedVersion string               `json:"servedVersion,omitempty"`
	// FailedVersion is the target if it failed here or at a peer.
	FailedVersion string `json:"failedVersion,omitempty"`
	// Cause says why FailedVersion is not served.
	Cause string `json:"cause,omitempty"`
	// Waiting says what a swap waits for.
	Waiting string `json:"waiting,omitempty"`
	Serving bool   `json:"serving"`
	// Settled is told to the successor in the chain.
	Settled bool `json:"settled"`
}

// View returns the state as told to others.
func (r *Rollout) View() View {
	v := View{Phase: r.phase, Revision: r.revision, Target: r.target, Serving: r.serving, Waiting: r.waiting()}
	v.Settled = r.serving && r.current == r.target && r.predecessorSettled()
	if r.serving && !r.settings.Plain {
		v.Served, v.ServedVersion = r.served.Digest, r.current.Version
	}
	switch {
	case r.failure != nil && r.failure.Goal == r.target:
		v.FailedVersion, v.Cause = r.target.Version, r.failure.Cause
	case r.failedPeer != "":
		v.FailedVersion, v.Cause = r.target.Version, "failed at "+string(r.failedPeer)
	}
	return v
}

// waiting names the first thing that keeps the engine from its goal.
func (r *Rollout) waiting() string {
	goal := r.goal()
	switch {
	case r.settings.Plain || r.leaving:
		return ""
	case !r.hasRow:
		return "tables"
	case !r.engineKnown:
		return "engine"
	case r.holds(goal):
		return ""
	case r.step != stepIdle:
		return string(r.phaseNow())
	case !r.manifests[goal.Version].known:
		return withCause("manifest of "+goal.Version, r.manifests[goal.Version].failed)
	case goal.Adapter != "" && !r.manifests[goal.Adapter].known:
		return withCause("manifest of "+goal.Adapter, r.manifests[goal.Adapter].failed)
	case !r.isStaged(goal):
		return withCause("chunks", r.stageError(goal))
	case r.lease.lost:
		return "nothing: a newer incarnation holds the lease"
	case !r.lease.held || r.behind():
		return withCause("lease", r.lease.err)
	case r.serving && !r.mayDrain():
		return "its turn"
	}
	return "lease or earlier requests"
}

func withCause(what, cause string) string {
	if cause == "" {
		return what
	}
	return what + ": " + cause
}

func (r *Rollout) stageError(goal Goal) string {
	for _, version := range []string{goal.Version, goal.Adapter} {
		if s, ok := r.stages[r.digestOf(version)]; ok && s.err != "" {
			return s.err
		}
	}
	return ""
}

func (r *Rollout) isStaged(goal Goal) bool {
	for _, version := range []string{goal.Version, goal.Adapter} {
		if version == "" {
			continue
		}
		s, ok := r.stages[r.digestOf(version)]
		if !ok || !s.done {
			return false
		}
	}
	return true
}

// phaseNow is how far the agent is with the target.
func (r *Rollout) phaseNow() mulberryspool.Phase {
	switch {
	case r.leaving:
		return mulberryspool.PhaseLeaving
	case r.lease.lost:
		return mulberryspool.PhaseFailed
	case r.step == stepDraining:
		return mulberryspool.PhaseDraining
	case r.step == stepLoading:
		return mulberryspool.PhaseLoading
	case r.step == stepVerifying:
		return mulberryspool.PhaseVerifying
	case r.failure != nil && r.failure.Goal == r.target:
		return mulberryspool.PhaseFailed
	case r.serving && r.current == r.target:
		return mulberryspool.PhaseServing
	case !r.hasRow || r.settings.Plain || r.hasAdopting || !r.engineKnown && r.unreadable < unreadableReadings:
		return mulberryspool.PhaseStarting
	case !r.isStaged(r.target):
		return mulberryspool.PhaseFetching
	}
	return mulberryspool.PhaseStaged
}

func (r *Rollout) notePhase() {
	phase := r.phaseNow()
	if phase == r.phase {
		return
	}
	r.phase = phase
	r.record(mulberryspool.EventPhaseChanged, r.target.Version, string(phase))
}
