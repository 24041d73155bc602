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
	// modelFreshness and modelRetention are what the agents of the model
	// keep to; NeverSeenTrust is below the retention.
	modelFreshness = 20 * time.Second
	modelRetention = 90 * time.Second
)

type (
	// world is a model of agents, network and object API around two entries.
	world struct {
		t       failer
		now     time.Time
		entries []*modelEntry
		agents  []*modelAgent
		claims  map[string]claims.Claim
		// bag holds what is on its way: messages, replies and events.
		bag      []parcel
		requests map[mulberryspool.RequestID]*modelRequest
		executed map[mulberryspool.RequestID]int
		// bodies are all answers that executions of an ID have.
		bodies map[mulberryspool.RequestID][]string
	}

	// failer is a *testing.T or a *rapid.T.
	failer interface {
		Fatalf(format string, args ...any)
	}

	parcel struct {
		name    string
		deliver func()
		// lost is called in place of deliver; it may be nil.
		lost func()
		// corrupt is like deliver with changed bytes; it may be nil.
		corrupt func()
	}

	modelEntry struct {
		world   *world
		reducer *Reducer
		timer   time.Time
		conns   map[ConnID]*modelConn
	}

	modelConn struct {
		entry *modelEntry
		id    ConnID
		agent *modelAgent
		open  bool
	}

	modelAgent struct {
		id          mulberryspool.InstanceID
		incarnation int
		born        time.Time
		serving     bool
		executions  map[mulberryspool.RequestID]*execution
		refused     map[mulberryspool.RequestID]time.Time
	}

	execution struct {
		id      mulberryspool.RequestID
		body    string
		ended   time.Time
		readers map[*modelConn]int
		outcome mulberryspool.Outcome
	}

	// modelRequest is what one caller has seen.
	modelRequest struct {
		sub        Submission
		entry      *modelEntry
		idempotent bool
		left       bool
		head       bool
		got        strings.Builder
		end        *CallerEnd
		err        *Error
	}
)

func newWorld(t failer) *world {
	w := &world{
		t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		claims:   make(map[string]claims.Claim),
		requests: make(map[mulberryspool.RequestID]*modelRequest),
		executed: make(map[mulberryspool.RequestID]int),
		bodies:   make(map[mulberryspool.RequestID][]string),
	}
	var list []mulberryspool.ListedInstance
	for i := range 3 {
		a := &modelAgent{id: mulberryspool.InstanceID(fmt.Sprintf("agent-%d", i)), serving: true}
		a.restart(w.now)
		w.agents = append(w.agents, a)
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
		e := &modelEntry{world: w, conns: make(map[ConnID]*modelConn)}
		e.reducer = &Reducer{
			Self:         mulberryspool.Identity{Instance: mulberryspool.InstanceID(fmt.Sprintf("entry-%d", i))},
			NewRouter:    func(string) mulberryspool.Router { return &entrytest.Router{} },
			NewAdmission: func(string) mulberryspool.Admission { return &entrytest.Admission{Limit: 4, Queue: 4, Retries: 50} },
		}
		w.entries = append(w.entries, e)
		e.step(TablesChanged{View: mulberryspool.TablesView{Revision: 1, Tables: tables}})
		e.step(InstancesListed{Instances: list})
	}
	return w
}

func (w *world) send(p parcel) {
	w.bag = append(w.bag, p)
}

// step feeds an event and carries out the effects.
func (e *modelEntry) step(event Event) {
	for _, effect := range e.reducer.Step(e.world.now, event) {
		e.run(effect)
	}
}

func (e *modelEntry) run(effect Effect) {
	w := e.world
	switch f := effect.(type) {
	case OpenConnection:
		e.dial(f)
	case CloseConnection:
		if c := e.conns[f.Conn]; c != nil {
			c.open = false
		}
	case CallStart:
		w.send(parcel{name: "start", deliver: func() { e.agentStart(f) },
			lost: func() { e.later("startFailed", StartFailed{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt}) }})
	case CallResolve:
		w.send(parcel{name: "resolve", deliver: func() { e.agentResolve(f) },
			lost: func() { e.later("resolveFailed", ResolveFailed{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt}) }})
	case Claim:
		w.send(parcel{name: "claim", deliver: func() { e.claim(f, false) },
			lost:    func() { e.later("claimUnavailable", ClaimAnswered{ID: f.ID, Attempt: f.Attempt, Unavailable: true}) },
			corrupt: func() { e.claim(f, true) }})
	case EndClaim:
		w.send(parcel{name: "endClaim", deliver: func() { w.swap(&f.Expected, f.Next) }})
	case SetTimer:
		e.timer = f.At
	default:
		e.tell(effect)
	}
}

// tell checks that a caller is told things in a possible order.
func (e *modelEntry) tell(effect Effect) {
	var id mulberryspool.RequestID
	switch f := effect.(type) {
	case CallerHead:
		id = f.ID
	case CallerBytes:
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
	q := e.world.requests[id]
	if q.end != nil || q.err != nil || q.left {
		e.world.t.Fatalf("request %s is told %T after its end or departure", id, effect)
	}
	switch f := effect.(type) {
	case CallerHead:
		if q.head {
			e.world.t.Fatalf("request %s has two heads", id)
		}
		q.head = true
	case CallerBytes:
		if !q.head {
			e.world.t.Fatalf("request %s has bytes before its head", id)
		}
		q.got.Write(f.Data)
	case CallerReset:
		if !q.sub.Buffered {
			e.world.t.Fatalf("request %s is reset after bytes reached the caller", id)
		}
		q.got.Reset()
		q.head = false
	case CallerEnd:
		q.end = &f
	case CallerError:
		q.err = &f.Error
	}
}

// later puts an event of the entry on its way.
func (e *modelEntry) later(name string, event Event) {
	e.world.send(parcel{name: name, deliver: func() { e.step(event) }})
}

func (e *modelEntry) dial(f OpenConnection) {
	w := e.world
	a := w.agents[slices.IndexFunc(w.agents, func(a *modelAgent) bool { return string(a.id) == f.Address })]
	c := &modelConn{entry: e, id: f.Conn, agent: a, open: true}
	e.conns[f.Conn] = c
	w.send(parcel{name: "hello", deliver: func() {
		e.step(ConnOpened{Conn: f.Conn, Hello: mulberryspool.HelloResult{
			Identity: mulberryspool.Identity{Instance: a.id, Incarnation: a.name()}, Status: a.heartbeat(w.now),
		}})
	}, lost: func() {
		c.open = false
		e.step(ConnFailed{Conn: f.Conn})
	}})
}

// claim carries out a claim; a lost answer leaves its outcome uncertain.
func (e *modelEntry) claim(f Claim, lostAnswer bool) {
	present, ok := e.world.swap(f.Expected, f.Next)
	if lostAnswer {
		e.later("claimUncertain", ClaimAnswered{ID: f.ID, Attempt: f.Attempt, Uncertain: true})
		return
	}
	e.later("claimed", ClaimAnswered{ID: f.ID, Attempt: f.Attempt, Present: present, Recorded: ok, Taken: !ok})
}

func (w *world) swap(expected *claims.Claim, next claims.Claim) (claims.Claim, bool) {
	present, ok := w.claims[next.Key]
	if ok != (expected != nil) || ok && !present.Is(*expected) {
		return present, false
	}
	w.claims[next.Key] = next
	return next, true
}

func (a *modelAgent) name() mulberryspool.Incarnation {
	return mulberryspool.Incarnation(fmt.Sprintf("%s.%d", a.id, a.incarnation))
}

func (a *modelAgent) restart(now time.Time) {
	a.incarnation++
	a.born = now
	a.executions = make(map[mulberryspool.RequestID]*execution)
	a.refused = make(map[mulberryspool.RequestID]time.Time)
}

func (a *modelAgent) heartbeat(now time.Time) mulberryspool.Heartbeat {
	phase := mulberryspool.PhaseDraining
	if a.serving {
		phase = mulberryspool.PhaseServing
	}
	return mulberryspool.Heartbeat{Incarnation: a.name(), AgentTime: now.Sub(a.born), Phase: phase}
}

// forget drops what an agent no longer remembers.
func (a *modelAgent) forget(now time.Time) {
	for id, x := range a.executions {
		if !x.ended.IsZero() && now.Sub(x.ended) > modelRetention {
			delete(a.executions, id)
		}
	}
	for id, at := range a.refused {
		if now.Sub(at) > modelFreshness {
			delete(a.refused, id)
		}
	}
}

func (e *modelEntry) agentStart(f CallStart) {
	w, c := e.world, e.conns[f.Conn]
	a, id := c.agent, f.Params.RequestID
	a.forget(w.now)
	var why mulberryspool.Refusal
	switch {
	case f.Params.Incarnation != a.name():
		why = mulberryspool.RefusalIncarnation
	case a.executions[id] != nil:
		// A refusal means that the request never runs here, so an agent that
		// has run it gives no other one than this.
		why = mulberryspool.RefusalDuplicate
	case w.now.Sub(a.born)-f.Params.AgentTime > modelFreshness:
		why = mulberryspool.RefusalStale
	case !a.refused[id].IsZero():
		why = mulberryspool.RefusalResolved
	case !a.serving:
		why = mulberryspool.RefusalNotServing
	default:
		body := fmt.Sprintf("<%s at %s, run %d>", id, a.name(), w.executed[id])
		w.executed[id]++
		w.bodies[id] = append(w.bodies[id], body)
		a.executions[id] = &execution{id: id, body: body, readers: map[*modelConn]int{c: 0}}
	}
	if why != "" {
		a.refused[id] = w.now
	}
	result := mulberryspool.StartResult{Accepted: why == "", Refusal: why, Incarnation: a.name()}
	w.send(parcel{name: "startAnswered",
		deliver: func() { e.step(StartAnswered{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt, Result: result}) },
		lost:    func() { e.later("startFailed", StartFailed{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt}) }})
}

func (e *modelEntry) agentResolve(f CallResolve) {
	w, c := e.world, e.conns[f.Conn]
	a, id := c.agent, f.Params.RequestID
	a.forget(w.now)
	result := mulberryspool.ResolveResult{Incarnation: a.name()}
	x := a.executions[id]
	switch {
	case f.Params.Incarnation != a.name():
		result.State = mulberryspool.ResolveIncarnation
	case x == nil:
		a.refused[id] = w.now
		result.State = mulberryspool.ResolveNeverSeen
	default:
		x.readers[c] = int(f.Params.Offset)
		result.State = mulberryspool.ResolveRunning
	}
	w.send(parcel{name: "resolveAnswered",
		deliver: func() { e.step(ResolveAnswered{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt, Result: result}) },
		lost:    func() { e.later("resolveFailed", ResolveFailed{ID: f.ID, Conn: f.Conn, Attempt: f.Attempt}) }})
}

// work lets an execution send its next part to each of its readers.
func (w *world) work(x *execution, size int) {
	if x.outcome == "" {
		x.outcome = mulberryspool.OutcomeDone
	}
	var readers []*modelConn
	for c := range x.readers {
		readers = append(readers, c)
	}
	slices.SortFunc(readers, func(a, b *modelConn) int {
		return cmp.Or(cmp.Compare(a.entry.reducer.Self.Instance, b.entry.reducer.Self.Instance), cmp.Compare(a.id, b.id))
	})
	for _, c := range readers {
		from := x.readers[c]
		if from >= len(x.body) {
			delete(x.readers, c)
			if x.ended.IsZero() {
				x.ended = w.now
			}
			notice := mulberryspool.EndNotice{RequestID: x.id, Outcome: x.outcome, Length: int64(len(x.body)), Checksum: xxhash.Sum64String(x.body)}
			w.send(parcel{name: "end", deliver: func() { c.entry.step(EndArrived{Conn: c.id, Notice: notice}) }})
			continue
		}
		to := min(len(x.body), from+size)
		x.readers[c] = to
		notice := mulberryspool.ChunkNotice{RequestID: x.id, Offset: int64(from), Status: 200, Data: []byte(x.body[from:to])}
		wrong := notice
		wrong.Data = []byte(strings.ToUpper(x.body[from:to]))
		w.send(parcel{name: "chunk",
			deliver: func() { c.entry.step(ChunkArrived{Conn: c.id, Notice: notice}) },
			corrupt: func() { c.entry.step(ChunkArrived{Conn: c.id, Notice: wrong}) }})
	}
}
