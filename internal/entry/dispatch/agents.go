package dispatch

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

func (r *Reducer) instancesListed(list []mulberryspool.ListedInstance) {
	entries := 0
	live := make(map[mulberryspool.InstanceID]bool)
	for _, row := range list {
		if row.State == mulberryspool.InstanceLeaving {
			if a := r.agents[row.Instance]; a != nil && !a.leaving {
				a.leaving = true
				r.route(a)
			}
			continue
		}
		switch row.Role {
		case mulberryspool.RoleEntry:
			entries++
		case mulberryspool.RoleAgent:
			live[row.Instance] = true
			r.listAgent(row.Identity)
		}
	}
	for _, id := range sortedKeys(r.agents) {
		r.agents[id].listed = live[id]
	}
	r.entries = max(1, entries)
	r.chooseSubsets()
}

func (r *Reducer) listAgent(identity mulberryspool.Identity) {
	a := r.agents[identity.Instance]
	if a == nil {
		a = &agent{requests: make(map[mulberryspool.RequestID]*request)}
		r.agents[identity.Instance] = a
	}
	incarnation := a.identity.Incarnation
	a.identity = identity
	// The list knows no incarnations; the one from hello is kept.
	a.identity.Incarnation = incarnation
}

// chooseSubsets connects to the chosen agents and lets go of the others.
func (r *Reducer) chooseSubsets() {
	byPool := make(map[string][]mulberryspool.Identity)
	for _, id := range sortedKeys(r.agents) {
		a := r.agents[id]
		a.wanted = false
		if a.listed && !a.leaving && r.pools[a.identity.Pool] != nil {
			byPool[a.identity.Pool] = append(byPool[a.identity.Pool], a.identity)
		}
	}
	for _, name := range sortedKeys(r.pools) {
		p := r.pools[name]
		chosen := Subset(r.Self.Instance, byPool[name], r.Settings.SubsetSize)
		p.listed, p.chosen = len(byPool[name]), len(chosen)
		for _, identity := range chosen {
			r.agents[identity.Instance].wanted = true
		}
	}
	for _, id := range sortedKeys(r.agents) {
		a := r.agents[id]
		r.release(a)
		r.ensureConn(a)
		r.route(a)
	}
}

// release closes the connection of an agent that is not needed. One that the
// list dropped stays as long as its connection works, because the list lags.
func (r *Reducer) release(a *agent) {
	if a.wanted || len(a.requests) > 0 || len(a.cancels) > 0 || (a.open && !a.listed && !a.leaving) {
		return
	}
	if a.conn != 0 {
		delete(r.conns, a.conn)
		r.emit(CloseConnection{Conn: a.conn})
		a.conn, a.open = 0, false
	}
	if !a.listed {
		delete(r.agents, a.identity.Instance)
		r.route(a)
	}
}

// ensureConn opens a connection if one is needed and none is there.
func (r *Reducer) ensureConn(a *agent) {
	if a.conn != 0 || (!a.wanted && len(a.requests) == 0 && len(a.cancels) == 0) || a.identity.Control == "" {
		return
	}
	if a.retryAt.After(r.now) {
		r.wakeAt(timer{at: a.retryAt, agent: a.identity.Instance})
		return
	}
	r.lastConn++
	a.conn = r.lastConn
	r.conns[a.conn] = a
	r.emit(OpenConnection{Conn: a.conn, Instance: a.identity.Instance, Address: a.identity.Control,
		FailureDomain: a.identity.FailureDomain})
}

func (r *Reducer) connOpened(e ConnOpened) {
	a := r.conns[e.Conn]
	if a == nil || a.open {
		if a == nil {
			r.emit(CloseConnection{Conn: e.Conn})
		}
		return
	}
	hello := e.Hello.Identity
	if hello.Instance != a.identity.Instance {
		// Another process has taken over the address.
		r.emit(CloseConnection{Conn: e.Conn})
		r.connFailed(ConnFailed{Conn: e.Conn, Reason: "answered by instance " + string(hello.Instance)})
		return
	}
	if a.suspected {
		a.suspected = false
		r.record(mulberryspool.Event{Kind: mulberryspool.EventPeerRestored, Pool: a.identity.Pool, Peer: string(hello.Instance)})
	}
	a.open, a.failures, a.blocked = true, 0, false
	if a.identity.Incarnation != hello.Incarnation {
		// Only the earlier run was leaving, unless the instance list says it again.
		a.identity.Incarnation, a.leaving = hello.Incarnation, false
	}
	r.takeStatus(a, e.Hello.Status)
	for _, id := range a.cancels {
		r.emit(CallCancel{Conn: a.conn, Params: mulberryspool.CancelParams{RequestID: id}})
	}
	a.cancels = nil
	for _, id := range sortedKeys(a.requests) {
		q := a.requests[id]
		switch {
		case q == nil || q.phase != phaseReconnecting:
		case q.incarnation != hello.Incarnation:
			r.lose(q, CodeAgentRestarted)
		default:
			r.resolve(q)
		}
	}
	r.route(a)
	r.release(a)
}

func (r *Reducer) connFailed(e ConnFailed) {
	a := r.conns[e.Conn]
	if a == nil || a.open {
		return
	}
	delete(r.conns, e.Conn)
	a.conn = 0
	r.backOff(a)
	if !a.listed || a.failures > maxCancelFailures {
		a.cancels = nil
	}
	// The second path failed too: work that may be repeated is moved now.
	for _, id := range sortedKeys(a.requests) {
		if q := a.requests[id]; q != nil && q.phase == phaseReconnecting && r.mayRepeat(q) {
			r.lose(q, CodeAgentLost)
		}
	}
	r.route(a)
	r.ensureConn(a)
	r.release(a)
}

func (r *Reducer) backOff(a *agent) {
	wait := r.Settings.BackoffCap
	// Beyond this many doublings the cap holds anyway.
	const maxDoublings = 16
	if a.failures < maxDoublings {
		wait = min(wait, r.Settings.Backoff<<a.failures)
	}
	a.failures++
	// The spread by instance keeps entries from reconnecting all at once.
	spread := pairScore(r.Self.Instance, a.identity.Instance) % uint64(wait/2+1)
	a.retryAt = r.now.Add(wait/2 + time.Duration(spread))
}

// connLost moves the requests of a connection to a new one.
func (r *Reducer) connLost(id ConnID, reason string) {
	a := r.conns[id]
	if a == nil {
		return
	}
	if !a.open {
		r.emit(CloseConnection{Conn: id})
		r.connFailed(ConnFailed{Conn: id, Reason: reason})
		return
	}
	delete(r.conns, id)
	r.emit(CloseConnection{Conn: id})
	a.conn, a.open, a.suspected = 0, false, true
	r.record(mulberryspool.Event{Kind: mulberryspool.EventPeerSuspected, Pool: a.identity.Pool,
		Peer: string(a.identity.Instance), Detail: "connection " + reason})
	for _, rid := range sortedKeys(a.requests) {
		if q := a.requests[rid]; q.conn == id {
			q.conn, q.phase = 0, phaseReconnecting
			r.setWait(q, r.Settings.ResolveWindow)
		}
	}
	r.route(a)
	a.retryAt = r.now
	r.ensureConn(a)
	r.release(a)
}

func (r *Reducer) heartbeat(e HeartbeatArrived) {
	a := r.conns[e.Conn]
	if a == nil || !a.open || e.Status.Incarnation != a.identity.Incarnation || e.Status.AgentTime < a.status.AgentTime {
		return
	}
	a.blocked = false
	r.takeStatus(a, e.Status)
	r.route(a)
}

func (r *Reducer) takeStatus(a *agent, status mulberryspool.Heartbeat) {
	a.status, a.statusAt = status, r.now
	if status.Leaving {
		a.leaving = true
	}
}

func (r *Reducer) agentLeaving(id ConnID) {
	if a := r.conns[id]; a != nil && !a.leaving {
		a.leaving = true
		r.route(a)
	}
}

// route tells the router of the agent's pool what it may choose.
func (r *Reducer) route(a *agent) {
	p := r.pools[a.identity.Pool]
	if p == nil {
		return
	}
	id := a.identity.Instance
	if r.agents[id] != a || (!a.open && !a.suspected && len(a.requests) == 0) {
		if p.routed[id] {
			delete(p.routed, id)
			p.router.Remove(id)
		}
		return
	}
	p.routed[id] = true
	p.router.Update(mulberryspool.Candidate{
		Instance:      id,
		FailureDomain: a.identity.FailureDomain,
		Region:        a.identity.Region,
		Ready:         a.ready(),
		Load:          a.status.Load,
		ReportedAt:    a.statusAt,
	})
	r.setCapacity(p)
	if a.ready() {
		r.unpark(p)
	}
}

// setCapacity gives this entry its share of what its agents can take.
func (r *Reducer) setCapacity(p *pool) {
	slots, rate := 0, 0.0
	for _, id := range sortedKeys(p.routed) {
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
	// An agent is in the subsets of about entries*chosen/listed entries.
	share := 1.0
	if p.chosen > 0 {
		share = min(1, float64(p.listed)/float64(p.chosen*r.entries))
	}
	tokens := max(1, int(float64(slots)*r.Settings.Headroom*share*p.tokens))
	p.admission.SetCapacity(tokens, rate*share)
}

// unpark sends the parked requests to an agent that has become ready.
func (r *Reducer) unpark(p *pool) {
	waiting := p.parked
	p.parked = nil
	for i, id := range waiting {
		q := r.requests[id]
		if q == nil || q.phase != phaseChoosing {
			continue
		}
		r.choose(q)
		if q.phase == phaseChoosing && len(q.tried) == 0 {
			// No agent takes more; the rest keeps its place.
			p.parked = slices.Concat(p.parked, waiting[i+1:])
			return
		}
	}
}
