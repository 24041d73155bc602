// Package gate decides which requests reach a backend server, and what is
// said of them afterwards. It is a pure reducer: it does no I/O, reads no
// clock and starts no goroutine.
//
//	start --> read back --> submit --> head, chunks, end --> read back --> end notice
//	   \--> refused permanently             \--> buffer, resent from an offset on resolve
//
// A request ID is in at most one of two sets: accepted requests, which are
// submitted at most once, and refused IDs, which are never submitted.
package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// Defaults of Settings.
const (
	// DefaultAnswerRetention covers an entry's search for a lost answer: its
	// heartbeat timeout, a new connection, and one repetition of both.
	DefaultAnswerRetention = time.Minute
	// DefaultStartFreshness is a few heartbeat intervals, so that an entry
	// whose heartbeats are answered always holds a fresh time.
	DefaultStartFreshness = 10 * time.Second
	// DefaultBufferBytes bounds the memory of all buffered answers.
	DefaultBufferBytes = 64 << 20
	// DefaultMaxConcurrent bounds accepted requests that have not ended.
	DefaultMaxConcurrent = 256
	// DefaultMaxRefused bounds remembered refused IDs. At the bound, the
	// oldest are replaced by a bound on the age of starts.
	DefaultMaxRefused = 1 << 16
	// maxRemaining keeps deadlines far from the largest duration.
	maxRemaining = 7 * 24 * time.Hour
	// resendBytes bounds the data of one chunk notice on a resolve.
	resendBytes = 64 << 10
)

type (
	// Settings are set before the first event.
	Settings struct {
		Incarnation mulberryspool.Incarnation
		Pool        string
		// ReadBack is set for engines; plain services have nothing to read back.
		ReadBack bool
		// AnswerRetention is how long an ended request is remembered. It is
		// raised to StartFreshness, so that a late copy of a start is either
		// recognized or stale.
		AnswerRetention time.Duration
		StartFreshness  time.Duration
		BufferBytes     int64
		MaxConcurrent   int
		MaxRefused      int
	}

	// Gate is the reducer's state. It is used by one goroutine.
	Gate struct {
		settings Settings
		requests map[mulberryspool.RequestID]*request
		// running holds accepted requests that have not ended, oldest first.
		running []*request
		// ended holds ended requests, in the order in which they ended.
		ended    []*request
		buffered int64
		refused  map[mulberryspool.RequestID]refusal
		// refusedOrder holds the refusals, oldest first. An entry is out of
		// date when its ID was refused again since.
		refusedOrder []refusedAt
		// staleUpTo makes starts with this agent time or an older one stale.
		staleUpTo time.Duration
		// forgotten is the newest agent time of a start whose request is no
		// longer remembered; hasForgotten says that there is one.
		forgotten    time.Duration
		hasForgotten bool
		serving      bool
		leaving      bool
		weights      mulberryspool.Loaded
		effects      []Effect
	}

	refusal struct {
		reason mulberryspool.Refusal
		// at is the agent's time of the refusal. A copy of the start that was
		// sent before it carries an older agent time.
		at time.Duration
	}

	refusedAt struct {
		id mulberryspool.RequestID
		at time.Duration
	}
)

// New returns a gate that does not serve yet. Settings that are 0 take
// their defaults.
func New(settings Settings) *Gate {
	if settings.AnswerRetention <= 0 {
		settings.AnswerRetention = DefaultAnswerRetention
	}
	if settings.StartFreshness <= 0 {
		settings.StartFreshness = DefaultStartFreshness
	}
	settings.AnswerRetention = max(settings.AnswerRetention, settings.StartFreshness)
	if settings.BufferBytes <= 0 {
		settings.BufferBytes = DefaultBufferBytes
	}
	if settings.MaxConcurrent <= 0 {
		settings.MaxConcurrent = DefaultMaxConcurrent
	}
	if settings.MaxRefused <= 0 {
		settings.MaxRefused = DefaultMaxRefused
	}
	return &Gate{
		settings:  settings,
		requests:  make(map[mulberryspool.RequestID]*request),
		refused:   make(map[mulberryspool.RequestID]refusal),
		staleUpTo: -1,
	}
}

// InFlight counts accepted requests that have not ended.
func (g *Gate) InFlight() int {
	return len(g.running)
}

// Buffered returns the bytes of all buffered answers.
func (g *Gate) Buffered() int64 {
	return g.buffered
}

// Step applies an event at the agent's time and returns the effects in order.
func (g *Gate) Step(now time.Duration, event Event) []Effect {
	g.effects = nil
	switch e := event.(type) {
	case Start:
		g.start(now, e)
	case Resolve:
		g.resolve(now, e)
	case Cancel:
		g.cancel(now, e.ID, "cancelled by the caller")
	case Head:
		g.head(e)
	case Chunk:
		g.chunk(e)
	case End:
		g.backendEnd(now, e)
	case ReadBackDone:
		g.readBack(now, e)
	case ConnLost:
		g.connLost(e.Conn)
	case Serving:
		g.setServing(now, e)
	case Leaving:
		g.leaving = true
	case Tick:
		g.tick(now)
	}
	return g.effects
}

func (g *Gate) start(now time.Duration, e Start) {
	params := e.Params
	if params.Incarnation != g.settings.Incarnation {
		g.refuse(e, mulberryspool.RefusalIncarnation)
		return
	}
	if _, ok := g.requests[params.RequestID]; ok || g.mayBeForgotten(params) {
		// The answer may belong to another caller's request with the same
		// ID, so it is only given to a resolve.
		g.refuse(e, mulberryspool.RefusalDuplicate)
		return
	}
	if known, ok := g.refused[params.RequestID]; ok {
		g.refuse(e, known.reason)
		return
	}
	if reason := g.admit(now, params); reason != "" {
		g.remember(now, params.RequestID, reason)
		g.refuse(e, reason)
		return
	}
	g.accept(now, e)
}

// admit returns why a start with a new ID is refused, or nothing.
func (g *Gate) admit(now time.Duration, params mulberryspool.StartParams) mulberryspool.Refusal {
	switch {
	case params.AgentTime <= g.staleUpTo || params.AgentTime > now || now-params.AgentTime > g.settings.StartFreshness:
		return mulberryspool.RefusalStale
	case params.Pool != g.settings.Pool:
		return mulberryspool.RefusalWrongPool
	case g.leaving:
		return mulberryspool.RefusalLeaving
	case !g.serving:
		return mulberryspool.RefusalNotServing
	case params.Remaining <= 0:
		return mulberryspool.RefusalExpired
	case len(g.running) >= g.settings.MaxConcurrent:
		return mulberryspool.RefusalOverload
	}
	return ""
}

func (g *Gate) accept(now time.Duration, e Start) {
	r := &request{
		id:        e.Params.RequestID,
		agentTime: e.Params.AgentTime,
		deadline:  now + min(e.Params.Remaining, maxRemaining),
		readers:   []ConnID{e.Conn},
		params:    e.Params,
		weights:   g.weights,
		sum:       xxhash.New(),
	}
	g.requests[r.id] = r
	g.running = append(g.running, r)
	g.emit(ReplyStart{Call: e.Call, Result: mulberryspool.StartResult{Accepted: true, Incarnation: g.settings.Incarnation}})
	g.record(mulberryspool.EventRequestAdmitted, r, "")
	if g.settings.ReadBack {
		g.emit(ReadBack{ID: r.id, Before: true})
		return
	}
	g.submit(r)
}

func (g *Gate) refuse(e Start, reason mulberryspool.Refusal) {
	g.emit(ReplyStart{Call: e.Call, Result: mulberryspool.StartResult{Refusal: reason, Incarnation: g.settings.Incarnation}})
	g.emit(Record{Event: mulberryspool.Event{
		Kind: mulberryspool.EventRequestRefused, RequestID: e.Params.RequestID,
		Route: e.Params.Route, Pool: e.Params.Pool, Detail: string(reason),
	}})
}

func (g *Gate) resolve(now time.Duration, e Resolve) {
	result := mulberryspool.ResolveResult{Incarnation: g.settings.Incarnation}
	r, known := g.requests[e.Params.RequestID]
	_, refused := g.refused[e.Params.RequestID]
	switch {
	case e.Params.Incarnation != g.settings.Incarnation:
		result.State = mulberryspool.ResolveIncarnation
	case known && r.stage == stageEnded:
		result.State = mulberryspool.ResolveDone
	case known:
		result.State = mulberryspool.ResolveRunning
	case !refused && g.wasForgotten(e.Params.AgentTime):
		// It may have run and been forgotten since, so neverSeen could be wrong.
		result.State = mulberryspool.ResolveDone
	default:
		result.State = mulberryspool.ResolveNeverSeen
		g.remember(now, e.Params.RequestID, mulberryspool.RefusalResolved)
	}
	g.emit(ReplyResolve{Call: e.Call, Result: result})
	g.emit(Record{Event: mulberryspool.Event{
		Kind: mulberryspool.EventRequestResolved, RequestID: e.Params.RequestID,
		Pool: g.settings.Pool, Detail: string(result.State),
	}})
	switch result.State {
	case mulberryspool.ResolveRunning:
		g.attach(r, e.Conn, e.Params.Offset)
	case mulberryspool.ResolveDone:
		if known {
			g.attach(r, e.Conn, e.Params.Offset)
			return
		}
		g.emit(SendEnd{Conn: e.Conn, Notice: lostNotice(e.Params.RequestID)})
	}
}

func (g *Gate) cancel(now time.Duration, id mulberryspool.RequestID, reason string) {
	r, ok := g.requests[id]
	if !ok || r.cancelled != "" {
		return
	}
	switch r.stage {
	case stageWaiting:
		g.finish(now, r, mulberryspool.OutcomeNotRun, reason+" before it was submitted")
	case stageSubmitted:
		r.cancelled = reason
		g.emit(CancelBackend{ID: id})
	}
}

func (g *Gate) setServing(now time.Duration, e Serving) {
	g.serving = e.On
	if e.On {
		g.weights = e.Weights
	}
	if !e.Changed {
		return
	}
	for _, r := range g.snapshot() {
		r.tainted = true
		g.cancel(now, r.id, "the engine's weights changed")
	}
}

func (g *Gate) connLost(conn ConnID) {
	for _, r := range g.requests {
		r.detach(conn)
	}
}

func (g *Gate) tick(now time.Duration) {
	for _, r := range g.snapshot() {
		if now >= r.deadline {
			g.cancel(now, r.id, "deadline passed")
		}
	}
	g.forgetEnded(now)
	g.forgetRefused(now)
}

// snapshot allows requests to end while they are visited.
func (g *Gate) snapshot() []*request {
	return append([]*request(nil), g.running...)
}

func (g *Gate) emit(effect Effect) {
	g.effects = append(g.effects, effect)
}

func (g *Gate) record(kind mulberryspool.EventKind, r *request, detail string) {
	g.emit(Record{Event: mulberryspool.Event{
		Kind: kind, RequestID: r.id, Route: r.params.Route, Pool: g.settings.Pool,
		Version: r.weights.Version, Detail: detail,
	}})
}
