package rollout

import (
	"github.com/mulberryspool/mulberryspool"
)

// View is the part of an agent's state that it reports to others.
type View struct {
	Phase    mulberryspool.Phase    `json:"phase"`
	Revision mulberryspool.Revision `json:"revision"`
	Target   Goal                   `json:"target"`
	// Served and ServedVersion are empty while no requests may start.
	Served        mulberryspool.Digest `json:"served,omitempty"`
	ServedVersion string               `json:"servedVersion,omitempty"`
	// FailedVersion is the target if loading it failed here or at a peer.
	FailedVersion string `json:"failedVersion,omitempty"`
	// Cause says why FailedVersion is not served.
	Cause string `json:"cause,omitempty"`
	// Waiting names what the swap to the target waits for, in free text.
	Waiting string `json:"waiting,omitempty"`
	Serving bool   `json:"serving"`
	// Settled is set while this agent and all agents before it in its chains
	// serve the target. The successor in the chain may then swap.
	Settled bool `json:"settled"`
}

// View returns the state to report.
func (r *Rollout) View() View {
	v := View{Phase: r.phase, Revision: r.revision, Target: r.target, Serving: r.serving, Waiting: r.waitingFor()}
	v.Settled = r.serving && r.servedGoal == r.target && r.predecessorSettled()
	if r.serving && !r.settings.Plain {
		v.Served, v.ServedVersion = r.servedWeights.Digest, r.servedGoal.Version
	}
	switch {
	case r.failure != nil && r.failure.Goal == r.target:
		v.FailedVersion, v.Cause = r.target.Version, r.failure.Cause
	case r.failedPeer != "":
		v.FailedVersion, v.Cause = r.target.Version, "failed at "+string(r.failedPeer)
	}
	return v
}

// waitingFor names the first missing condition for serving the goal, or is empty
// if the engine has the goal loaded.
func (r *Rollout) waitingFor() string {
	goal := r.goal()
	switch {
	case r.settings.Plain || r.leaving:
		return ""
	case !r.hasRow:
		return "tables"
	case !r.engineKnown:
		return "engine"
	case r.engineMatches(goal):
		return ""
	case r.step != stepIdle:
		return string(r.computePhase())
	case !r.manifests[goal.Version].known:
		return withCause("manifest of "+goal.Version, r.manifests[goal.Version].err)
	case goal.Adapter != "" && !r.manifests[goal.Adapter].known:
		return withCause("manifest of "+goal.Adapter, r.manifests[goal.Adapter].err)
	case !r.isStaged(goal):
		return withCause("chunks", r.stagingError(goal))
	case r.lease.lost:
		return "nothing: a newer incarnation holds the lease"
	case !r.lease.held || r.fencedOut():
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

// stagingError returns the last error of staging the goal's contents.
func (r *Rollout) stagingError(goal Goal) string {
	for _, version := range []string{goal.Version, goal.Adapter} {
		if s, ok := r.contents[r.digestOf(version)]; ok && s.err != "" {
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
		s, ok := r.contents[r.digestOf(version)]
		if !ok || !s.staged {
			return false
		}
	}
	return true
}

// computePhase derives the phase, the agent's progress towards the target.
func (r *Rollout) computePhase() mulberryspool.Phase {
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
	case r.serving && r.servedGoal == r.target:
		return mulberryspool.PhaseServing
	case !r.hasRow || r.settings.Plain || r.hasInherited || !r.engineKnown && r.failedReads < maxFailedReads:
		return mulberryspool.PhaseStarting
	case !r.isStaged(r.target):
		return mulberryspool.PhaseFetching
	}
	return mulberryspool.PhaseStaged
}

// updatePhase records a change of the phase.
func (r *Rollout) updatePhase() {
	phase := r.computePhase()
	if phase == r.phase {
		return
	}
	r.phase = phase
	r.record(mulberryspool.EventPhaseChanged, r.target.Version, string(phase))
}
