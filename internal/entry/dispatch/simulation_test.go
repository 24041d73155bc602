package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
	"github.com/mulberryspool/mulberryspool/internal/entry/entrytest"
)

const (
	// simStartFreshness and simResponseRetention are the limits of the
	// simulated agents. NeverSeenValidity is below the retention.
	simStartFreshness    = 20 * time.Second
	simResponseRetention = 90 * time.Second
)

type (
	// simulation runs two entries with simulated agents, network and object API.
	simulation struct {
		t       fataler
		now     time.Time
		entries []*simEntry
		agents  []*simAgent
		claims  map[string]claims.Claim
		// inFlight holds the messages, replies and events that were sent and
		// have not arrived yet.
		inFlight        []pendingDelivery
		requests        map[mulberryspool.RequestID]*simRequest
		executionCounts map[mulberryspool.RequestID]int
		// responseBodies holds the responses of all executions of a request ID.
		responseBodies map[mulberryspool.RequestID][]string
	}

	// fataler is a *testing.T or a *rapid.T.
	fataler interface {
		Fatalf(format string, args ...any)
	}

	// pendingDelivery is a message, reply or event in flight.
	pendingDelivery struct {
		name    string
		deliver func()
		// lost is called instead of deliver when the message is lost; may be nil.
		lost func()
		// corrupt is called instead of deliver when the content is changed, or
		// for a claim when its reply is lost; may be nil.
		corrupt func()
	}

	simEntry struct {
		sim     *simulation
		reducer *Reducer
		timerAt time.Time
		conns   map[ConnID]*simConn
	}

	simConn struct {
		entry *simEntry
		id    ConnID
		agent *simAgent
		open  bool
	}

	simAgent struct {
		id          mulberryspool.InstanceID
		incarnation int
		startedAt   time.Time
		serving     bool
		executions  map[mulberryspool.RequestID]*execution
		refusedAt   map[mulberryspool.RequestID]time.Time
	}

	execution struct {
		id          mulberryspool.RequestID
		body        string
		endedAt     time.Time
		readOffsets map[*simConn]int
		outcome     mulberryspool.Outcome
	}

	// simRequest is a request with everything that its caller was sent.
	simRequest struct {
		submission Submission
		entry      *simEntry
		idempotent bool
		callerLeft bool
		head       bool
		received   strings.Builder
		end        *CallerEnd
		err        *Error
		// held is the memory of the body.
		held simHeld
	}

	// simHeld counts the calls for the memory of a body.
	simHeld struct{ retained, released int }
)

// Retain implements Held.
func (h *simHeld) Retain() { h.retained++ }

// Release implements Held.
func (h *simHeld) Release() { h.released++ }

func newSimulation(t fataler) *simulation {
	s := &simulation{
		t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		claims:          make(map[string]claims.Claim),
		requests:        make(map[mulberryspool.RequestID]*simRequest),
		executionCounts: make(map[mulberryspool.RequestID]int),
		responseBodies:  make(map[mulberryspool.RequestID][]string),
	}
	var list []mulberryspool.ListedInstance
	for i := range 3 {
		a := &simAgent{id: mulberryspool.InstanceID(fmt.Sprintf("agent-%d", i)), serving: true}
		a.restart(s.now)
		s.agents = append(s.agents, a)
		list = append(list, mulberryspool.ListedInstance{State: mulberryspool.InstanceLive, Identity: mulberryspool.Identity{
			Instance: a.id, Role: mulberryspool.RoleAgent, Pool: "pool", FailureDomain: "north", Control: string(a.id),
		}})
	}
	tables := &mulberryspool.Tables{
		Routes: []mulberryspool.Route{
			{Name: "once", Kind: mulberryspool.RoutePlain, Pool: "pool", Timeout: 2 * time.Minute},
			{Name: "again", Kind: mulberryspool.RoutePlain, Pool: "pool", Timeout: 2 * time.Minute, Idempotent: true},
		},
		Pools: []mulberryspool.Pool{{Name: "pool", Kind: mulberryspool.PoolPlain}},
	}
	for i := range 2 {
		e := &simEntry{sim: s, conns: make(map[ConnID]*simConn)}
		e.reducer = &Reducer{
			Self:         mulberryspool.Identity{Instance: mulberryspool.InstanceID(fmt.Sprintf("entry-%d", i))},
			NewRouter:    func(string) mulberryspool.Router { return &entrytest.Router{} },
			NewAdmission: func(string) mulberryspool.Admission { return &entrytest.Admission{Limit: 4, Queue: 4, Retries: 50} },
		}
		s.entries = append(s.entries, e)
		e.step(TablesChanged{View: mulberryspool.TablesView{Revision: 1, Tables: tables}})
		e.step(InstancesListed{Instances: list})
	}
	return s
}

func (s *simulation) enqueue(p pendingDelivery) {
	s.inFlight = append(s.inFlight, p)
}

// step passes an event to the reducer and carries out the effects.
func (e *simEntry) step(event Event) {
	for _, effect := range e.reducer.Step(e.sim.now, event) {
		e.apply(effect)
	}
}

func (e *simEntry) apply(effect Effect) {
	s := e.sim
	switch f := effect.(type) {
	case OpenConnection:
		e.dial(f)
	case CloseConnection:
		if c := e.conns[f.Conn]; c != nil {
			c.open = false
		}
	case CallStart:
		s.enqueue(pendingDelivery{name: "start", deliver: func() { e.handleStartAtAgent(f) },
			lost: func() { e.sendEvent("startFailed", StartFailed{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt}) }})
	case CallResolve:
		s.enqueue(pendingDelivery{name: "resolve", deliver: func() { e.handleResolveAtAgent(f) },
			lost: func() { e.sendEvent("resolveFailed", ResolveFailed{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt}) }})
	case WriteClaim:
		s.enqueue(pendingDelivery{name: "claim", deliver: func() { e.applyClaim(f, false) },
			lost: func() {
				e.sendEvent("claimUnavailable", ClaimAnswered{ID: f.ID, Attempt: f.Attempt, Unavailable: true})
			},
			corrupt: func() { e.applyClaim(f, true) }})
	case WriteClaimOutcome:
		s.enqueue(pendingDelivery{name: "endClaim", deliver: func() { s.compareAndSwapClaim(&f.Expected, f.Next) }})
	case SetTimer:
		e.timerAt = f.At
	case ReleaseBody:
		f.Held.Release()
	default:
		e.checkCallerEffect(effect)
	}
}

// checkCallerEffect applies an effect for a caller and fails the test if the
// effects for a caller come in an invalid order.
func (e *simEntry) checkCallerEffect(effect Effect) {
	var id mulberryspool.RequestID
	switch f := effect.(type) {
	case CallerHead:
		id = f.ID
	case CallerData:
		id = f.ID
	case CallerReset:
		id = f.ID
	case CallerEnd:
		id = f.ID
	case CallerError:
		id = f.ID
	default:
		return
	}
	q := e.sim.requests[id]
	if q.end != nil || q.err != nil || q.callerLeft {
		e.sim.t.Fatalf("request %s got %T after its end or the disconnection of its caller", id, effect)
	}
	switch f := effect.(type) {
	case CallerHead:
		if q.head {
			e.sim.t.Fatalf("request %s got two heads", id)
		}
		q.head = true
	case CallerData:
		if !q.head {
			e.sim.t.Fatalf("request %s got bytes before the head", id)
		}
		q.received.Write(f.Data)
	case CallerReset:
		if !q.submission.Buffered {
			e.sim.t.Fatalf("request %s was reset after bytes reached the caller", id)
		}
		q.received.Reset()
		q.head = false
	case CallerEnd:
		q.end = &f
	case CallerError:
		q.err = &f.Error
	}
}

// sendEvent enqueues an event for the entry.
func (e *simEntry) sendEvent(name string, event Event) {
	e.sim.enqueue(pendingDelivery{name: name, deliver: func() { e.step(event) }})
}

func (e *simEntry) dial(f OpenConnection) {
	s := e.sim
	a := s.agents[slices.IndexFunc(s.agents, func(a *simAgent) bool { return string(a.id) == f.Address })]
	c := &simConn{entry: e, id: f.Conn, agent: a, open: true}
	e.conns[f.Conn] = c
	s.enqueue(pendingDelivery{name: "hello", deliver: func() {
		e.step(ConnOpened{Conn: f.Conn, Hello: mulberryspool.HelloResult{
			Identity: mulberryspool.Identity{Instance: a.id, Incarnation: a.incarnationName()}, Status: a.heartbeat(s.now),
		}})
	}, lost: func() {
		c.open = false
		e.step(ConnFailed{Conn: f.Conn})
	}})
}

// applyClaim writes a claim. If the reply is lost, the result is uncertain.
func (e *simEntry) applyClaim(f WriteClaim, replyLost bool) {
	current, ok := e.sim.compareAndSwapClaim(f.Expected, f.Next)
	if replyLost {
		e.sendEvent("claimUncertain", ClaimAnswered{ID: f.ID, Attempt: f.Attempt, Uncertain: true})
		return
	}
	e.sendEvent("claimed", ClaimAnswered{ID: f.ID, Attempt: f.Attempt, Stored: current, Recorded: ok, KeyInUse: !ok})
}

func (s *simulation) compareAndSwapClaim(expected *claims.Claim, next claims.Claim) (claims.Claim, bool) {
	current, ok := s.claims[next.Key]
	if ok != (expected != nil) || ok && !current.SameState(*expected) {
		return current, false
	}
	s.claims[next.Key] = next
	return next, true
}

func (a *simAgent) incarnationName() mulberryspool.Incarnation {
	return mulberryspool.Incarnation(fmt.Sprintf("%s.%d", a.id, a.incarnation))
}

func (a *simAgent) restart(now time.Time) {
	a.incarnation++
	a.startedAt = now
	a.executions = make(map[mulberryspool.RequestID]*execution)
	a.refusedAt = make(map[mulberryspool.RequestID]time.Time)
}

func (a *simAgent) heartbeat(now time.Time) mulberryspool.Heartbeat {
	phase := mulberryspool.PhaseDraining
	if a.serving {
		phase = mulberryspool.PhaseServing
	}
	return mulberryspool.Heartbeat{Incarnation: a.incarnationName(), AgentTime: now.Sub(a.startedAt), Phase: phase}
}

// dropExpired drops the records whose retention time has passed.
func (a *simAgent) dropExpired(now time.Time) {
	for id, x := range a.executions {
		if !x.endedAt.IsZero() && now.Sub(x.endedAt) > simResponseRetention {
			delete(a.executions, id)
		}
	}
	for id, at := range a.refusedAt {
		if now.Sub(at) > simStartFreshness {
			delete(a.refusedAt, id)
		}
	}
}

func (e *simEntry) handleStartAtAgent(f CallStart) {
	s, c := e.sim, e.conns[f.Conn]
	a, id := c.agent, f.Params.RequestID
	a.dropExpired(s.now)
	var refusal mulberryspool.Refusal
	switch {
	case f.Params.Incarnation != a.incarnationName():
		refusal = mulberryspool.RefusalIncarnation
	case a.executions[id] != nil:
		// Any other refusal would state that the request never ran here.
		refusal = mulberryspool.RefusalDuplicate
	case s.now.Sub(a.startedAt)-f.Params.AgentTime > simStartFreshness:
		refusal = mulberryspool.RefusalStale
	case !a.refusedAt[id].IsZero():
		refusal = mulberryspool.RefusalResolved
	case !a.serving:
		refusal = mulberryspool.RefusalNotServing
	default:
		body := fmt.Sprintf("<%s at %s, run %d>", id, a.incarnationName(), s.executionCounts[id])
		s.executionCounts[id]++
		s.responseBodies[id] = append(s.responseBodies[id], body)
		a.executions[id] = &execution{id: id, body: body, readOffsets: map[*simConn]int{c: 0}}
	}
	if refusal != "" {
		a.refusedAt[id] = s.now
	}
	result := mulberryspool.StartResult{Accepted: refusal == "", Refusal: refusal, Incarnation: a.incarnationName()}
	s.enqueue(pendingDelivery{name: "startAnswered",
		deliver: func() { e.step(StartAnswered{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt, Result: result}) },
		lost:    func() { e.sendEvent("startFailed", StartFailed{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt}) }})
}

func (e *simEntry) handleResolveAtAgent(f CallResolve) {
	s, c := e.sim, e.conns[f.Conn]
	a, id := c.agent, f.Params.RequestID
	a.dropExpired(s.now)
	result := mulberryspool.ResolveResult{Incarnation: a.incarnationName()}
	x := a.executions[id]
	switch {
	case f.Params.Incarnation != a.incarnationName():
		result.State = mulberryspool.ResolveIncarnation
	case x == nil:
		a.refusedAt[id] = s.now
		result.State = mulberryspool.ResolveNeverSeen
	default:
		x.readOffsets[c] = int(f.Params.Offset)
		result.State = mulberryspool.ResolveRunning
	}
	s.enqueue(pendingDelivery{name: "resolveAnswered",
		deliver: func() { e.step(ResolveAnswered{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt, Result: result}) },
		lost:    func() { e.sendEvent("resolveFailed", ResolveFailed{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt}) }})
}

// sendNextPart sends the next part of the response to each of its readers.
func (s *simulation) sendNextPart(x *execution, size int) {
	if x.outcome == "" {
		x.outcome = mulberryspool.OutcomeDone
	}
	var readers []*simConn
	for c := range x.readOffsets {
		readers = append(readers, c)
	}
	slices.SortFunc(readers, func(a, b *simConn) int {
		return cmp.Or(cmp.Compare(a.entry.reducer.Self.Instance, b.entry.reducer.Self.Instance), cmp.Compare(a.id, b.id))
	})
	for _, c := range readers {
		from := x.readOffsets[c]
		if from >= len(x.body) {
			delete(x.readOffsets, c)
			if x.endedAt.IsZero() {
				x.endedAt = s.now
			}
			notice := mulberryspool.EndNotice{RequestID: x.id, Outcome: x.outcome, Length: int64(len(x.body)), Checksum: xxhash.Sum64String(x.body)}
			s.enqueue(pendingDelivery{name: "end", deliver: func() { c.entry.step(EndArrived{Conn: c.id, Notice: notice}) }})
			continue
		}
		to := min(len(x.body), from+size)
		x.readOffsets[c] = to
		notice := mulberryspool.ChunkNotice{RequestID: x.id, Offset: int64(from), Status: 200, Data: []byte(x.body[from:to])}
		wrong := notice
		wrong.Data = []byte(strings.ToUpper(x.body[from:to]))
		s.enqueue(pendingDelivery{name: "chunk",
			deliver: func() { c.entry.step(ChunkArrived{Conn: c.id, Notice: notice}) },
			corrupt: func() { c.entry.step(ChunkArrived{Conn: c.id, Notice: wrong}) }})
	}
}
