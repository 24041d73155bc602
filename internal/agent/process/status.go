package process

import (
	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/rollout"
)

// Status is an agent's state for the admin listener.
type Status struct {
	Identity mulberryspool.Identity `json:"identity"`
	rollout.View
	Leaving bool `json:"leaving"`
	// InFlight counts accepted requests that have not ended.
	InFlight int `json:"inFlight"`
	// BufferedBytes counts the bytes of retained answers.
	BufferedBytes int64                       `json:"bufferedBytes"`
	Load          mulberryspool.LoadReport    `json:"load"`
	Staging       mulberryspool.StageProgress `json:"staging"`
	// Members are the agents of the pool as this agent sees them.
	Members []mulberryspool.InstanceID `json:"members"`
}

// Status returns the state as of the last tick, with the present progress of staging.
func (p *Process) Status() Status {
	p.statusMu.Lock()
	status := p.status
	p.statusMu.Unlock()
	if p.Stager != nil {
		status.Staging = p.Stager.Progress()
	}
	return status
}

// publish takes over the loop's state for Status and the metrics.
func (p *Process) publish() {
	status := Status{
		Identity: p.Identity, View: p.rollout.View(), Leaving: p.leaving,
		InFlight: p.gate.InFlight(), BufferedBytes: p.gate.BufferedBytes(),
		Load: p.loadReport(), Members: p.members,
	}
	p.Metrics.Gauge("in_flight").Update(float64(status.InFlight))
	p.Metrics.Gauge("buffered_bytes").Update(float64(status.BufferedBytes))
	serving := 0.0
	if status.Serving {
		serving = 1
	}
	p.Metrics.Gauge("serving").Update(serving)
	p.statusMu.Lock()
	p.status = status
	p.statusMu.Unlock()
}

// heartbeat is the agent's state as told to entries and other agents. Its
// revision is the one that the rest of the state belongs to.
func (p *Process) heartbeat() mulberryspool.Heartbeat {
	view := p.rollout.View()
	if view.Serving && !p.leaving {
		// Entries send work to agents in this phase only.
		view.Phase = mulberryspool.PhaseServing
	}
	return mulberryspool.Heartbeat{
		Incarnation: p.Identity.Incarnation, AgentTime: p.now(),
		Phase: view.Phase, Served: view.Served, ServedVersion: view.ServedVersion,
		Target: view.Target.Version, FailedVersion: view.FailedVersion, Settled: view.Settled,
		Load: p.loadReport(), Revision: view.Revision, Leaving: p.leaving,
	}
}
