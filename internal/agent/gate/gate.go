// Package gate is the admission gate of an agent: the state machine of all its
// requests. It accepts or refuses them, submits the accepted ones to the backend
// server, buffers their answers, resumes an answer on another connection, and
// resolves what happened to a request.
//
// It is a pure reducer: it does no I/O, reads no clock and starts no goroutine.
//
//	start --> read back --> submit --> head, chunks, end --> read back --> end notice
//	   \--> refused permanently             \--> buffer, resent from an offset on resolve
//
// To read back means to ask the engine which weights it serves, so that an answer
// counts as done only if the same weights produced all of it.
//
// A request ID is in at most one of two sets: accepted requests, which are
// submitted at most once, and refused IDs, which are never submitted.
//
// Agent time is the time since the agent started. Heartbeats carry it to the
// entries, which return the newest one that they have with each start, so the
// agent can tell how old a start is at most.
package gate

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// Defaults of Settings.
const (
	// DefaultAnswerRetention leaves an entry enough time to ask for an answer
	// again: its heartbeat timeout, a new connection, and one retry of both.
	DefaultAnswerRetention = time.Minute
	// DefaultStartFreshness is a few heartbeat intervals, so that an entry
	// whose heartbeats are answered always has a recent enough agent time.
	DefaultStartFreshness = 10 * time.Second
	// DefaultMaxBufferedBytes limits the total size of all buffered answers.
	DefaultMaxBufferedBytes = 64 << 20
	// DefaultMaxInFlight limits the requests in flight.
	DefaultMaxInFlight = 256
	// DefaultMaxRefused limits the stored refused IDs. Beyond it the oldest
	// IDs are dropped, and all starts as old as them are refused instead.
	DefaultMaxRefused = 1 << 16
	// maxRemaining caps the time to a deadline, so that adding it to the
	// current time can't overflow.
	maxRemaining = 7 * 24 * time.Hour
	// maxResendChunk is the maximum data size of one chunk notice after a resolve.
	maxResendChunk = 64 << 10
)

type (
	// Settings configures a Gate. In New, zero values select the defaults.
	Settings struct {
		Incarnation mulberryspool.Incarnation
		Pool        string
		// ReadBack is set for engines. Plain services can't report what they serve.
		ReadBack bool
		// AnswerRetention is how long an ended request is kept. It is at least
		// StartFreshness, so that a delayed duplicate of a start is either
		// recognized by its ID or refused as stale.
		AnswerRetention time.Duration
		// StartFreshness is the maximum age of a start; older ones are refused as
		// stale.
		StartFreshness   time.Duration
		MaxBufferedBytes int64
		MaxInFlight      int
		MaxRefused       int
	}

	// Gate holds the state of all requests. It is not safe for concurrent use.
	Gate struct {
		settings Settings
		requests map[mulberryspool.RequestID]*request
		// inFlight holds accepted requests that have not ended, oldest first.
		inFlight []*request
		// ended holds ended requests, in the order in which they ended.
		ended         []*request
		bufferedBytes int64
		refused       map[mulberryspool.RequestID]refusal
		// refusalOrder holds the refusals, oldest first. An element is outdated
		// if its ID has been refused again since.
		refusalOrder []refusedID
		// Starts with an agent time up to staleUpTo are refused as stale.
		staleUpTo time.Duration
		// newestDropped is the newest agent time among starts whose requests
		// were dropped after AnswerRetention; valid if hasDropped is set.
		newestDropped time.Duration
		hasDropped    bool
		serving       bool
		leaving       bool
		weights       mulberryspool.Loaded
		effects       []Effect
	}

	refusal struct {
		reason mulberryspool.Refusal
		// at is the agent time of the refusal. Any copy of the start that was
		// sent before the refusal carries an older agent time.
		at time.Duration
	}

	refusedID struct {
		id mulberryspool.RequestID
		at time.Duration
	}
)

// New returns a Gate that refuses requests until a Serving event. Zero
// durations and limits in settings take their defaults.
func New(settings Settings) *Gate {
	if settings.AnswerRetention <= 0 {
		settings.AnswerRetention = DefaultAnswerRetention
	}
	if settings.StartFreshness <= 0 {
		settings.StartFreshness = DefaultStartFreshness
	}
	settings.AnswerRetention = max(settings.AnswerRetention, settings.StartFreshness)
	if settings.MaxBufferedBytes <= 0 {
		settings.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	if settings.MaxInFlight <= 0 {
		settings.MaxInFlight = DefaultMaxInFlight
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

// InFlight returns the number of accepted requests that have not ended.
func (g *Gate) InFlight() int {
	return len(g.inFlight)
}

// BufferedBytes returns the total size of all buffered answers.
func (g *Gate) BufferedBytes() int64 {
	return g.bufferedBytes
}

// Subscribers returns the connections that receive the answer to a request.
func (g *Gate) Subscribers(id mulberryspool.RequestID) []ConnID {
	r, ok := g.requests[id]
	if !ok {
		return nil
	}
	return slices.Clone(r.subscribers)
}

// Step applies an event at the agent time now and returns the effects, which
// the caller must run in order.
func (g *Gate) Step(now time.Duration, event Event) []Effect {
	g.effects = nil
	switch e := event.(type) {
	case Start:
		g.start(now, e)
	case Resolve:
		g.resolve(now, e)
	case Cancel:
		g.cancel(now, e.ID, "cancelled by the caller")
	case AnswerHead:
		g.answerHead(e)
	case AnswerChunk:
		g.answerChunk(e)
	case AnswerEnd:
		g.answerEnd(now, e)
	case ReadBackDone:
		g.readBackDone(now, e)
	case ConnClosed:
		g.connClosed(e.Conn)
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
	if _, ok := g.requests[params.RequestID]; ok || g.mayHaveBeenDropped(params) {
		// The ID may be that of another caller's request, so the answer is
		// sent only on a resolve.
		g.refuse(e, mulberryspool.RefusalDuplicate)
		return
	}
	if known, ok := g.refused[params.RequestID]; ok {
		g.refuse(e, known.reason)
		return
	}
	if reason := g.refusalReason(now, params); reason != "" {
		g.storeRefusal(now, params.RequestID, reason)
		g.refuse(e, reason)
		return
	}
	g.accept(now, e)
}

// refusalReason returns why a start with a new ID is refused; empty to accept it.
func (g *Gate) refusalReason(now time.Duration, params mulberryspool.StartParams) mulberryspool.Refusal {
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
	case len(g.inFlight) >= g.settings.MaxInFlight:
		return mulberryspool.RefusalOverload
	}
	return ""
}

func (g *Gate) accept(now time.Duration, e Start) {
	r := &request{
		id:          e.Params.RequestID,
		agentTime:   e.Params.AgentTime,
		deadline:    now + min(e.Params.Remaining, maxRemaining),
		subscribers: []ConnID{e.Conn},
		params:      e.Params,
		weights:     g.weights,
		checksum:    xxhash.New(),
	}
	g.requests[r.id] = r
	g.inFlight = append(g.inFlight, r)
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
	case !refused && g.hasDroppedSince(e.Params.AgentTime):
		// The request may have run and been dropped since, so neverSeen could be wrong.
		result.State = mulberryspool.ResolveDone
	default:
		result.State = mulberryspool.ResolveNeverSeen
		g.storeRefusal(now, e.Params.RequestID, mulberryspool.RefusalResolved)
	}
	g.emit(ReplyResolve{Call: e.Call, Result: result})
	g.emit(Record{Event: mulberryspool.Event{
		Kind: mulberryspool.EventRequestResolved, RequestID: e.Params.RequestID,
		Pool: g.settings.Pool, Detail: string(result.State),
	}})
	switch result.State {
	case mulberryspool.ResolveRunning:
		g.subscribe(r, e.Conn, e.Params.Offset)
	case mulberryspool.ResolveDone:
		if known {
			g.subscribe(r, e.Conn, e.Params.Offset)
			return
		}
		g.emit(SendEnd{Conn: e.Conn, Notice: answerLostNotice(e.Params.RequestID)})
	}
}

// cancel ends a request that is not submitted yet, or asks the backend server
// to stop it.
func (g *Gate) cancel(now time.Duration, id mulberryspool.RequestID, reason string) {
	r, ok := g.requests[id]
	if !ok || r.cancelled != "" {
		return
	}
	switch r.stage {
	case stageAccepted:
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
	if !e.WeightsChanged {
		return
	}
	for _, r := range g.inFlightSnapshot() {
		r.weightsChanged = true
		g.cancel(now, r.id, "the engine's weights changed")
	}
}

func (g *Gate) connClosed(conn ConnID) {
	for _, r := range g.requests {
		r.unsubscribe(conn)
	}
}

func (g *Gate) tick(now time.Duration) {
	for _, r := range g.inFlightSnapshot() {
		if now >= r.deadline {
			g.cancel(now, r.id, "deadline passed")
		}
	}
	g.dropEnded(now)
	g.dropRefused(now)
}

// inFlightSnapshot copies the list, so that requests can end while it is iterated.
func (g *Gate) inFlightSnapshot() []*request {
	return append([]*request(nil), g.inFlight...)
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
