package dispatch

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// handleInstanceList updates the known agents and the number of live entries.
func (r *Reducer) handleInstanceList(list []mulberryspool.ListedInstance) {
	entries := 0
	live := make(map[mulberryspool.InstanceID]bool)
	for _, row := range list {
		if row.State == mulberryspool.InstanceLeaving {
			if a := r.agents[row.Instance]; a != nil && !a.leaving {
				a.leaving = true
				r.updateRouter(a)
			}
			continue
		}
		switch row.Role {
		case mulberryspool.RoleEntry:
			entries++
		case mulberryspool.RoleAgent:
			live[row.Instance] = true
			r.addListedAgent(row.Identity)
		}
	}
	for _, id := range sortedKeys(r.agents) {
		r.agents[id].listed = live[id]
	}
	r.liveEntries = max(1, entries)
	r.updateSubsets()
}

func (r *Reducer) addListedAgent(identity mulberryspool.Identity) {
	a := r.agents[identity.Instance]
	if a == nil {
		a = &agent{requests: make(map[mulberryspool.RequestID]*request)}
		r.agents[identity.Instance] = a
	}
	incarnation := a.identity.Incarnation
	a.identity = identity
	// The instance list contains no incarnations, so the one from hello is kept.
	a.identity.Incarnation = incarnation
}

// updateSubsets recomputes the subset of each pool, connects to the agents in
// it and closes connections that are no longer needed.
func (r *Reducer) updateSubsets() {
	byPool := make(map[string][]mulberryspool.Identity)
	for _, id := range sortedKeys(r.agents) {
		a := r.agents[id]
		a.inSubset = false
		if a.listed && !a.leaving && r.pools[a.identity.Pool] != nil {
			byPool[a.identity.Pool] = append(byPool[a.identity.Pool], a.identity)
		}
	}
	for _, name := range sortedKeys(r.pools) {
		p := r.pools[name]
		subset := Subset(r.Self.Instance, byPool[name], r.Settings.SubsetSize)
		p.listedCount, p.subsetCount = len(byPool[name]), len(subset)
		for _, identity := range subset {
			r.agents[identity.Instance].inSubset = true
		}
	}
	for _, id := range sortedKeys(r.agents) {
		a := r.agents[id]
		r.closeIfUnused(a)
		r.openConnIfNeeded(a)
		r.updateRouter(a)
	}
}

// closeIfUnused closes the connection to an agent that is no longer needed and
// forgets the agent if it is not listed. An agent that is missing from the
// instance list is kept while its connection works, because the list lags.
func (r *Reducer) closeIfUnused(a *agent) {
	if a.inSubset || len(a.requests) > 0 || len(a.pendingCancels) > 0 || (a.connected && !a.listed && !a.leaving) {
		return
	}
	if a.conn != 0 {
		delete(r.conns, a.conn)
		r.emit(CloseConnection{Conn: a.conn})
		a.conn, a.connected = 0, false
	}
	if !a.listed {
		delete(r.agents, a.identity.Instance)
		r.updateRouter(a)
	}
}

// openConnIfNeeded opens a connection to the agent if one is needed and none
// exists, or sets a timer for the end of the backoff.
func (r *Reducer) openConnIfNeeded(a *agent) {
	if a.conn != 0 || (!a.inSubset && len(a.requests) == 0 && len(a.pendingCancels) == 0) || a.identity.Control == "" {
		return
	}
	if a.redialAt.After(r.now) {
		r.addTimer(timer{due: a.redialAt, agent: a.identity.Instance})
		return
	}
	r.lastConnID++
	a.conn = r.lastConnID
	r.conns[a.conn] = a
	r.emit(OpenConnection{Conn: a.conn, Instance: a.identity.Instance, Address: a.identity.Control,
		FailureDomain: a.identity.FailureDomain})
}

// handleConnOpened stores the agent's status, sends the pending cancels and
// resolves the requests that wait for a new connection.
func (r *Reducer) handleConnOpened(e ConnOpened) {
	a := r.conns[e.Conn]
	if a == nil || a.connected {
		if a == nil {
			r.emit(CloseConnection{Conn: e.Conn})
		}
		return
	}
	hello := e.Hello.Identity
	if hello.Instance != a.identity.Instance {
		// Another instance has taken over the address.
		r.emit(CloseConnection{Conn: e.Conn})
		r.handleConnFailed(ConnFailed{Conn: e.Conn, Reason: "answered by instance " + string(hello.Instance)})
		return
	}
	if a.suspected {
		a.suspected = false
		r.recordEvent(mulberryspool.Event{Kind: mulberryspool.EventPeerRestored, Pool: a.identity.Pool, Peer: string(hello.Instance)})
	}
	a.connected, a.dialFailures, a.awaitingHeartbeat = true, 0, false
	if a.identity.Incarnation != hello.Incarnation {
		// The leaving flag belonged to the previous incarnation. The instance
		// list sets it again if it also applies to this one.
		a.identity.Incarnation, a.leaving = hello.Incarnation, false
	}
	r.setStatus(a, e.Hello.Status)
	for _, id := range a.pendingCancels {
		r.emit(CallCancel{Conn: a.conn, Params: mulberryspool.CancelParams{RequestID: id}})
	}
	a.pendingCancels = nil
	for _, id := range sortedKeys(a.requests) {
		q := a.requests[id]
		switch {
		case q == nil || q.phase != phaseReconnecting:
		case q.incarnation != hello.Incarnation:
			r.handleLostAttempt(q, CodeAgentRestarted)
		default:
			r.sendResolve(q)
		}
	}
	r.updateRouter(a)
	r.closeIfUnused(a)
}

// handleConnFailed schedules the next dial after one that failed.
func (r *Reducer) handleConnFailed(e ConnFailed) {
	a := r.conns[e.Conn]
	if a == nil || a.connected {
		return
	}
	delete(r.conns, e.Conn)
	a.conn = 0
	r.backOff(a)
	if !a.listed || a.dialFailures > maxDialFailuresForCancels {
		a.pendingCancels = nil
	}
	// The connection was lost and the new dial failed as well, so requests
	// that may be retried are moved to other agents now.
	for _, id := range sortedKeys(a.requests) {
		if q := a.requests[id]; q != nil && q.phase == phaseReconnecting && r.mayRetry(q) {
			r.handleLostAttempt(q, CodeAgentLost)
		}
	}
	r.updateRouter(a)
	r.openConnIfNeeded(a)
	r.closeIfUnused(a)
}

// backOff sets the time of the next dial, with exponential backoff.
func (r *Reducer) backOff(a *agent) {
	wait := r.Settings.MaxBackoff
	// Limits the shift to avoid an overflow; MaxBackoff applies well before.
	const maxDoublings = 16
	if a.dialFailures < maxDoublings {
		wait = min(wait, r.Settings.Backoff<<a.dialFailures)
	}
	a.dialFailures++
	// A jitter derived from the instance IDs keeps entries from reconnecting
	// at the same time.
	spread := rendezvousScore(r.Self.Instance, a.identity.Instance) % uint64(wait/2+1)
	a.redialAt = r.now.Add(wait/2 + time.Duration(spread))
}

// handleConnLost marks the agent as suspected, opens a new connection and lets
// the requests of the lost one wait for it.
func (r *Reducer) handleConnLost(id ConnID, reason string) {
	a := r.conns[id]
	if a == nil {
		return
	}
	if !a.connected {
		r.emit(CloseConnection{Conn: id})
		r.handleConnFailed(ConnFailed{Conn: id, Reason: reason})
		return
	}
	delete(r.conns, id)
	r.emit(CloseConnection{Conn: id})
	a.conn, a.connected, a.suspected = 0, false, true
	r.recordEvent(mulberryspool.Event{Kind: mulberryspool.EventPeerSuspected, Pool: a.identity.Pool,
		Peer: string(a.identity.Instance), Detail: "connection " + reason})
	for _, requestID := range sortedKeys(a.requests) {
		if q := a.requests[requestID]; q.conn == id {
			q.conn, q.phase = 0, phaseReconnecting
			r.setPhaseTimeout(q, r.Settings.ResolveTimeout)
		}
	}
	r.updateRouter(a)
	a.redialAt = r.now
	r.openConnIfNeeded(a)
	r.closeIfUnused(a)
}

func (r *Reducer) handleHeartbeat(e HeartbeatArrived) {
	a := r.conns[e.Conn]
	if a == nil || !a.connected || e.Status.Incarnation != a.identity.Incarnation || e.Status.AgentTime < a.status.AgentTime {
		return
	}
	a.awaitingHeartbeat = false
	r.setStatus(a, e.Status)
	r.updateRouter(a)
}

func (r *Reducer) setStatus(a *agent, status mulberryspool.Heartbeat) {
	a.status, a.statusReceivedAt = status, r.now
	if status.Leaving {
		a.leaving = true
	}
}

func (r *Reducer) handleAgentLeaving(id ConnID) {
	if a := r.conns[id]; a != nil && !a.leaving {
		a.leaving = true
		r.updateRouter(a)
	}
}

// updateRouter passes the agent's state to the router of its pool. An agent
// that can't be used is removed from it.
func (r *Reducer) updateRouter(a *agent) {
	p := r.pools[a.identity.Pool]
	if p == nil {
		return
	}
	id := a.identity.Instance
	if r.agents[id] != a || (!a.connected && !a.suspected && len(a.requests) == 0) {
		if p.candidates[id] {
			delete(p.candidates, id)
			p.router.Remove(id)
		}
		return
	}
	p.candidates[id] = true
	p.router.Update(mulberryspool.Candidate{
		Instance:      id,
		FailureDomain: a.identity.FailureDomain,
		Region:        a.identity.Region,
		Ready:         a.ready(),
		Load:          a.status.Load,
		ReportedAt:    a.statusReceivedAt,
	})
	r.updateCapacity(p)
	if a.ready() {
		r.dispatchParked(p)
	}
}

// updateCapacity sets the admission limit of the pool to this entry's share of
// the capacity of its ready agents.
func (r *Reducer) updateCapacity(p *pool) {
	slots, rate := 0, 0.0
	for _, id := range sortedKeys(p.candidates) {
		a := r.agents[id]
		if a == nil || !a.ready() {
			continue
		}
		capacity := a.status.Load.Capacity
		if capacity == 0 {
			capacity = r.Settings.AgentCapacity
		}
		slots += capacity
		rate += a.status.Load.TokensPerSecond
	}
	if slots == 0 {
		return
	}
	// Each agent is in the subsets of about liveEntries*subsetCount/listedCount
	// entries, which share its capacity.
	share := 1.0
	if p.subsetCount > 0 {
		share = min(1, float64(p.listedCount)/float64(p.subsetCount*r.liveEntries))
	}
	tokens := max(1, int(float64(slots)*r.Settings.OvercommitFactor*share*p.averageTokens))
	p.admission.SetCapacity(tokens, rate*share)
}

// dispatchParked selects agents for the parked requests after an agent has
// become ready.
func (r *Reducer) dispatchParked(p *pool) {
	parked := p.parked
	p.parked = nil
	for i, id := range parked {
		q := r.requests[id]
		if q == nil || q.phase != phaseSelecting {
			continue
		}
		r.selectAgent(q)
		if q.phase == phaseSelecting && len(q.tried) == 0 {
			// No agent accepts more requests; the rest stay parked in order.
			p.parked = slices.Concat(p.parked, parked[i+1:])
			return
		}
	}
}
