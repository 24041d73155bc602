package process

import (
	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/rollout"
)

// Status is the state of an agent that the admin listener shows.
type Status struct {
	Identity mulberryspool.Identity `json:"identity"`
	rollout.View
	Leaving bool `json:"leaving"`
	// InFlight is the number of accepted requests that have not ended.
	InFlight int `json:"inFlight"`
	// BufferedBytes is the total size of buffered answers.
	BufferedBytes int64                       `json:"bufferedBytes"`
	Load          mulberryspool.LoadReport    `json:"load"`
	Staging       mulberryspool.StageProgress `json:"staging"`
	// Members are the live agents of the pool as known to this agent.
	Members []mulberryspool.InstanceID `json:"members"`
}

// Status returns the state as of the last tick, with the current staging progress.
func (p *Process) Status() Status {
	p.statusMu.Lock()
	status := p.status
	p.statusMu.Unlock()
	if p.Stager != nil {
		status.Staging = p.Stager.Progress()
	}
	return status
}

// publishStatus updates the metrics and the copy of the state that Status returns.
func (p *Process) publishStatus() {
	status := Status{
		Identity: p.Identity, View: p.rollout.View(), Leaving: p.leaving,
		InFlight: p.requests.InFlight(), BufferedBytes: p.requests.BufferedBytes(),
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

// heartbeat returns the state that is sent to entries and other agents. Its
// revision is the one that the rollout has applied, which may be older than the
// newest one in force.
func (p *Process) heartbeat() mulberryspool.Heartbeat {
	view := p.rollout.View()
	if view.Serving && !p.leaving {
		// Entries send requests only to agents in this phase.
		view.Phase = mulberryspool.PhaseServing
	}
	return mulberryspool.Heartbeat{
		Incarnation: p.Identity.Incarnation, AgentTime: p.now(),
		Phase: view.Phase, Served: view.Served, ServedVersion: view.ServedVersion,
		Target: view.Target.Version, FailedVersion: view.FailedVersion, Settled: view.Settled,
		Load: p.loadReport(), Revision: view.Revision, Leaving: p.leaving,
	}
}
