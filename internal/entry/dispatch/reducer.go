package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// Reducer is the request state machine of an entry. Set the exported fields
// before the first call to Step. It is not safe for concurrent use.
type Reducer struct {
	Self     mulberryspool.Identity
	Settings Settings
	// NewRouter and NewAdmission create the router and the admission control
	// of a new pool.
	NewRouter    func(pool string) mulberryspool.Router
	NewAdmission func(pool string) mulberryspool.Admission

	tablesView mulberryspool.TablesView
	pools      map[string]*pool
	requests   map[mulberryspool.RequestID]*request
	// byAgentRequestID holds the requests that read the response to a request
	// ID at an agent: its own request and those attached to it.
	byAgentRequestID map[mulberryspool.RequestID][]*request
	agents           map[mulberryspool.InstanceID]*agent
	conns            map[ConnID]*agent
	lastConnID       ConnID
	// liveEntries is the number of live entries in the instance list.
	liveEntries int
	// abandonedClaims holds the claim writes in progress whose request has
	// ended without being dispatched.
	abandonedClaims map[claimKey]struct{}
	timers          timerHeap
	// timerSetFor is the time of the last SetTimer effect; zero once it fired.
	timerSetFor time.Time
	stopping    bool
	stopped     bool
	now         time.Time
	effects     []Effect
}

// Step processes one event and returns the resulting effects, to be carried
// out in order.
func (r *Reducer) Step(now time.Time, event Event) []Effect {
	if r.requests == nil {
		r.initialize()
	}
	r.now, r.effects = now, nil
	r.handleEvent(event)
	if r.stopping && !r.stopped && len(r.requests) == 0 {
		r.stopped = true
		r.emit(Stopped{})
	}
	r.updateTimer()
	return r.effects
}

func (r *Reducer) initialize() {
	r.Settings = r.Settings.withDefaults()
	r.pools = make(map[string]*pool)
	r.requests = make(map[mulberryspool.RequestID]*request)
	r.byAgentRequestID = make(map[mulberryspool.RequestID][]*request)
	r.agents = make(map[mulberryspool.InstanceID]*agent)
	r.conns = make(map[ConnID]*agent)
	r.abandonedClaims = make(map[claimKey]struct{})
	r.liveEntries = 1
}

func (r *Reducer) handleEvent(event Event) {
	switch e := event.(type) {
	case Submitted:
		r.handleSubmission(e.Submission)
	case CallerDisconnected:
		r.handleCallerDisconnected(e.ID)
	case CallerTooSlow:
		r.handleCallerTooSlow(e.ID)
	case StartAnswered:
		r.handleStartResult(e)
	case StartFailed:
		r.handleCallFailure(e.ID, e.Conn, e.Attempt, phaseStarting)
	case ChunkArrived:
		r.handleChunk(e)
	case EndArrived:
		r.handleEnd(e)
	case ResolveAnswered:
		r.handleResolveResult(e)
	case ResolveFailed:
		r.handleCallFailure(e.ID, e.Conn, e.Attempt, phaseResolving)
	case ConnOpened:
		r.handleConnOpened(e)
	case ConnFailed:
		r.handleConnFailed(e)
	case ConnTimedOut:
		r.handleConnLost(e.Conn, "silent")
	case ConnClosed:
		r.handleConnLost(e.Conn, "closed")
	case HeartbeatArrived:
		r.handleHeartbeat(e)
	case AgentLeaving:
		r.handleAgentLeaving(e.Conn)
	case InstancesListed:
		r.handleInstanceList(e.Instances)
	case TablesChanged:
		r.handleTables(e.View)
	case ClaimAnswered:
		r.handleClaimResult(e)
	case TimerFired:
		r.fireTimers()
	case Stop:
		r.stopping = true
	}
}

func (r *Reducer) emit(e Effect) {
	r.effects = append(r.effects, e)
}

func (r *Reducer) handleTables(view mulberryspool.TablesView) {
	if view.Revision < r.tablesView.Revision || view.Tables == nil {
		return
	}
	r.tablesView = view
	for _, p := range view.Tables.Pools {
		if r.pools[p.Name] == nil {
			r.pools[p.Name] = &pool{
				name:          p.Name,
				router:        r.NewRouter(p.Name),
				admission:     r.NewAdmission(p.Name),
				candidates:    make(map[mulberryspool.InstanceID]bool),
				averageTokens: initialTokenEstimate,
			}
		}
	}
	r.updateSubsets()
}

// poolOf returns the pool for a request on the route. A split is decided by
// the hash of the request ID, which keeps the reducer deterministic.
func poolOf(route mulberryspool.Route, id mulberryspool.RequestID) string {
	if len(route.Split) == 0 {
		return route.Pool
	}
	const percent = 100
	point := int(xxhash.Sum64String(string(id)) % percent)
	for _, share := range route.Split {
		if point < share.Weight {
			return share.Pool
		}
		point -= share.Weight
	}
	return route.Split[len(route.Split)-1].Pool
}

// sortedKeys returns the keys of a map in order. Iterating in a fixed order
// makes equal states and events produce equal effects.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
