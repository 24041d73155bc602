package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// Reducer is the state of the entry. Set the exported fields before the
// first Step. It is used by one goroutine.
type Reducer struct {
	Self     mulberryspool.Identity
	Settings Settings
	// NewRouter and NewAdmission make the parts of a new pool.
	NewRouter    func(pool string) mulberryspool.Router
	NewAdmission func(pool string) mulberryspool.Admission

	view     mulberryspool.TablesView
	pools    map[string]*pool
	requests map[mulberryspool.RequestID]*request
	// bound finds the requests that read a request ID's answer.
	bound    map[mulberryspool.RequestID][]*request
	agents   map[mulberryspool.InstanceID]*agent
	conns    map[ConnID]*agent
	lastConn ConnID
	// entries is the number of live entries in the instance list.
	entries int
	// abandoned holds the claims being written whose request has ended undispatched.
	abandoned map[claimKey]struct{}
	timers    timerHeap
	armed     time.Time
	stopping  bool
	stopped   bool
	now       time.Time
	effects   []Effect
}

// Step takes in one event and returns what to do, in order.
func (r *Reducer) Step(now time.Time, event Event) []Effect {
	if r.requests == nil {
		r.initialize()
	}
	r.now, r.effects = now, nil
	r.handle(event)
	if r.stopping && !r.stopped && len(r.requests) == 0 {
		r.stopped = true
		r.emit(Stopped{})
	}
	r.rearm()
	return r.effects
}

func (r *Reducer) initialize() {
	r.Settings = r.Settings.withDefaults()
	r.pools = make(map[string]*pool)
	r.requests = make(map[mulberryspool.RequestID]*request)
	r.bound = make(map[mulberryspool.RequestID][]*request)
	r.agents = make(map[mulberryspool.InstanceID]*agent)
	r.conns = make(map[ConnID]*agent)
	r.abandoned = make(map[claimKey]struct{})
	r.entries = 1
}

func (r *Reducer) handle(event Event) {
	switch e := event.(type) {
	case Submitted:
		r.submit(e.Submission)
	case CallerLeft:
		r.callerLeft(e.ID)
	case CallerStalled:
		r.callerStalled(e.ID)
	case StartAnswered:
		r.startAnswered(e)
	case StartFailed:
		r.callFailed(e.ID, e.Conn, e.Attempt, phaseStarting)
	case ChunkArrived:
		r.chunkArrived(e)
	case EndArrived:
		r.endArrived(e)
	case ResolveAnswered:
		r.resolveAnswered(e)
	case ResolveFailed:
		r.callFailed(e.ID, e.Conn, e.Attempt, phaseResolving)
	case ConnOpened:
		r.connOpened(e)
	case ConnFailed:
		r.connFailed(e)
	case ConnSilent:
		r.connLost(e.Conn, "silent")
	case ConnClosed:
		r.connLost(e.Conn, "closed")
	case HeartbeatArrived:
		r.heartbeat(e)
	case AgentLeaving:
		r.agentLeaving(e.Conn)
	case InstancesListed:
		r.instancesListed(e.Instances)
	case TablesChanged:
		r.tablesChanged(e.View)
	case ClaimAnswered:
		r.claimAnswered(e)
	case Tick:
		r.tick()
	case Stop:
		r.stopping = true
	}
}

func (r *Reducer) emit(e Effect) {
	r.effects = append(r.effects, e)
}

func (r *Reducer) tablesChanged(view mulberryspool.TablesView) {
	if view.Revision < r.view.Revision || view.Tables == nil {
		return
	}
	r.view = view
	for _, p := range view.Tables.Pools {
		if r.pools[p.Name] == nil {
			r.pools[p.Name] = &pool{
				name:      p.Name,
				router:    r.NewRouter(p.Name),
				admission: r.NewAdmission(p.Name),
				routed:    make(map[mulberryspool.InstanceID]bool),
				tokens:    firstTokenEstimate,
			}
		}
	}
	r.chooseSubsets()
}

// poolOf chooses the pool of a route; a split is decided by the request ID,
// so that the choice needs no random number.
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

// sortedKeys gives iterations a fixed order, so that equal states and events
// have equal effects.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
