package process

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// Status is the state of the entry for operators.
type Status struct {
	Identity mulberryspool.Identity `json:"identity"`
	Ready    bool                   `json:"ready"`
	Stopping bool                   `json:"stopping,omitempty"`
	Revision mulberryspool.Revision `json:"revision"`
	// Rejected is the newest invalid tables revision.
	Rejected *mulberryspool.TablesRejection `json:"rejected,omitempty"`
	// Requests counts those in progress.
	Requests int                    `json:"requests"`
	Pools    []dispatch.PoolStatus  `json:"pools"`
	Agents   []dispatch.AgentStatus `json:"agents"`
	// SuspicionTimeouts are in force per failure domain.
	SuspicionTimeouts map[string]time.Duration `json:"suspicionTimeouts"`
	// BytesIn and BytesOut count the traffic with agents since the start.
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
}

// Status returns the present state; before Run has begun only the identity.
// It is safe for concurrent use.
func (p *Process) Status() Status {
	if !p.running.Load() {
		return Status{Identity: p.Identity}
	}
	view, _ := p.Tables.Current()
	traffic := p.Endpoint.Traffic()
	status := Status{
		Identity: p.Identity, Ready: p.Ready(), Stopping: p.stopping.Load(),
		Revision: view.Revision, Rejected: view.Rejected,
		SuspicionTimeouts: p.delays.timeouts(),
		BytesIn:           traffic.BytesIn, BytesOut: traffic.BytesOut,
	}
	p.look(func(r *dispatch.Reducer) {
		now := p.Clock.Now()
		status.Requests, status.Pools, status.Agents = r.Requests(), r.Pools(), r.Agents(now)
	})
	return status
}
