package process

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// Status is the entry's state as shown to operators.
type Status struct {
	Identity mulberryspool.Identity `json:"identity"`
	Ready    bool                   `json:"ready"`
	Stopping bool                   `json:"stopping,omitempty"`
	Revision mulberryspool.Revision `json:"revision"`
	// Rejected is the newest tables revision that was rejected as invalid.
	Rejected *mulberryspool.TablesRejection `json:"rejected,omitempty"`
	// Requests is the number of requests in progress.
	Requests int                    `json:"requests"`
	Pools    []dispatch.PoolStatus  `json:"pools"`
	Agents   []dispatch.AgentStatus `json:"agents"`
	// SuspicionTimeouts holds the current suspicion timeout of each failure domain.
	SuspicionTimeouts map[string]time.Duration `json:"suspicionTimeouts"`
	// BytesIn and BytesOut count the bytes received from and sent to agents
	// since the start.
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
}

// Status returns the current state. Before Run has started, only Identity is
// set. It is safe for concurrent use.
func (p *Process) Status() Status {
	if !p.prepared.Load() {
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
	p.inspect(func(r *dispatch.Reducer) {
		now := p.Clock.Now()
		status.Requests, status.Pools, status.Agents = r.Requests(), r.Pools(), r.Agents(now)
	})
	return status
}
