package dispatch

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// AgentStatus is the entry's view of an agent.
	AgentStatus struct {
		Instance      mulberryspool.InstanceID  `json:"instance"`
		Incarnation   mulberryspool.Incarnation `json:"incarnation,omitempty"`
		Pool          string                    `json:"pool"`
		FailureDomain string                    `json:"failureDomain"`
		// InSubset is set for agents in this entry's subset.
		InSubset  bool                `json:"wanted"`
		Connected bool                `json:"connected"`
		Ready     bool                `json:"ready"`
		Suspected bool                `json:"suspected,omitempty"`
		Leaving   bool                `json:"leaving,omitempty"`
		Phase     mulberryspool.Phase `json:"phase,omitempty"`
		Version   string              `json:"version,omitempty"`
		// Requests is the number of this entry's requests at the agent.
		Requests int `json:"requests"`
		// HeartbeatAge is the time since the last status was received.
		HeartbeatAge time.Duration          `json:"heartbeatAge,omitempty"`
		Revision     mulberryspool.Revision `json:"revision"`
	}

	// PoolStatus counts the requests of a pool at this entry.
	PoolStatus struct {
		Pool string `json:"pool"`
		// Queued counts the requests that wait for admission, Parked those
		// that wait for a ready agent.
		Queued   int `json:"queued"`
		Parked   int `json:"parked"`
		Requests int `json:"requests"`
		// Listed counts the live agents in the instance list, InSubset those in
		// this entry's subset, Ready those that accept new requests.
		Listed   int `json:"listed"`
		InSubset int `json:"chosen"`
		Ready    int `json:"ready"`
	}
)

// Agents returns the state of all known agents, sorted by instance.
func (r *Reducer) Agents(now time.Time) []AgentStatus {
	list := make([]AgentStatus, 0, len(r.agents))
	for _, id := range sortedKeys(r.agents) {
		a := r.agents[id]
		status := AgentStatus{
			Instance: id, Incarnation: a.identity.Incarnation, Pool: a.identity.Pool, FailureDomain: a.identity.FailureDomain,
			InSubset: a.inSubset, Connected: a.connected, Ready: a.ready(), Suspected: a.suspected, Leaving: a.leaving,
			Phase: a.status.Phase, Version: a.status.ServedVersion, Requests: len(a.requests), Revision: a.status.Revision,
		}
		if !a.statusReceivedAt.IsZero() {
			status.HeartbeatAge = now.Sub(a.statusReceivedAt)
		}
		list = append(list, status)
	}
	return list
}

// Pools returns the counts of all pools, sorted by name.
func (r *Reducer) Pools() []PoolStatus {
	list := make([]PoolStatus, 0, len(r.pools))
	for _, name := range sortedKeys(r.pools) {
		p := r.pools[name]
		status := PoolStatus{Pool: name, Queued: p.queuedCount, Listed: p.listedCount, InSubset: p.subsetCount, Ready: r.readyAgents(p)}
		for _, q := range r.requests {
			if q.pool != p {
				continue
			}
			status.Requests++
			if q.phase == phaseSelecting {
				status.Parked++
			}
		}
		list = append(list, status)
	}
	return list
}

// Requests returns the number of requests in progress.
func (r *Reducer) Requests() int {
	return len(r.requests)
}

// Serving reports whether every pool that the route uses has a ready agent.
func (r *Reducer) Serving(route string) bool {
	if r.tablesView.Tables == nil {
		return false
	}
	row, ok := r.tablesView.Tables.Route(route)
	if !ok {
		return false
	}
	if len(row.Split) == 0 {
		return r.readyAgents(r.pools[row.Pool]) > 0
	}
	for _, share := range row.Split {
		if share.Weight > 0 && r.readyAgents(r.pools[share.Pool]) == 0 {
			return false
		}
	}
	return true
}

func (r *Reducer) readyAgents(p *pool) int {
	if p == nil {
		return 0
	}
	ready := 0
	for id := range p.candidates {
		if a := r.agents[id]; a != nil && a.ready() {
			ready++
		}
	}
	return ready
}
