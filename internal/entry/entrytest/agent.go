package entrytest

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

type (
	// Agent is a small agent over real connections. It answers hello,
	// heartbeat and resolve; OnStart decides about each start.
	Agent struct {
		Identity mulberryspool.Identity
		// OnStart is called in the order of the starts; nil accepts and
		// answers with Answer.
		OnStart func(start *Start)
		// OnResolve sends the rest of a request that is done; nil sends it from Body.
		OnResolve func(start *Start, conn *rpc.Conn)
		// Answer is the body of answers; ContentType its type.
		Answer      []byte
		ContentType string

		mu sync.Mutex
		// silent holds the connections on which everything is dropped.
		silent  map[*rpc.Conn]bool
		conns   []*rpc.Conn
		started map[mulberryspool.RequestID]*Start
		refused map[mulberryspool.RequestID]bool
		cancels []mulberryspool.RequestID
		starts  []mulberryspool.StartParams
		phase   mulberryspool.Phase
		born    time.Time
	}

	// Start is a request at the agent.
	Start struct {
		Agent  *Agent
		Conn   *rpc.Conn
		Params mulberryspool.StartParams
		// Body is the whole answer, for resolves.
		Body []byte
		// Done is set once Body is whole.
		Done    bool
		message rpc.Message
	}
)

// Weights is the digest that agents name.
const Weights mulberryspool.Digest = "d0d0"

// Serve starts the agent on a free loopback port and returns its row.
func (a *Agent) Serve(t testing.TB) mulberryspool.ListedInstance {
	t.Helper()
	wall := clockwork.NewRealClock()
	a.born = wall.Now()
	a.silent = make(map[*rpc.Conn]bool)
	a.started = make(map[mulberryspool.RequestID]*Start)
	a.refused = make(map[mulberryspool.RequestID]bool)
	a.phase = mulberryspool.PhaseServing
	endpoint := &rpc.Endpoint{Clock: wall, Stamps: &hlc.Clock{Wall: wall}, Handle: a.handle}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- endpoint.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	a.Identity.Role, a.Identity.Control = mulberryspool.RoleAgent, listener.Addr().String()
	row := mulberryspool.ListedInstance{Identity: a.Identity, State: mulberryspool.InstanceLive}
	row.Incarnation = ""
	return row
}

// Silence makes the present connections drop everything without closing them.
func (a *Agent) Silence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		a.silent[c] = true
	}
}

// Cut closes the present connections.
func (a *Agent) Cut() {
	a.mu.Lock()
	conns := a.conns
	a.conns = nil
	a.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// SetPhase changes what heartbeats say.
func (a *Agent) SetPhase(phase mulberryspool.Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase = phase
}

// Starts returns the starts that reached the agent.
func (a *Agent) Starts() []mulberryspool.StartParams {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]mulberryspool.StartParams(nil), a.starts...)
}

// Cancels returns the cancelled requests.
func (a *Agent) Cancels() []mulberryspool.RequestID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]mulberryspool.RequestID(nil), a.cancels...)
}

// Leave tells all entries that the agent takes no new work.
func (a *Agent) Leave() {
	a.mu.Lock()
	conns := append([]*rpc.Conn(nil), a.conns...)
	a.mu.Unlock()
	for _, c := range conns {
		_ = c.Notify(mulberryspool.MethodLeaving, struct{}{})
	}
}

func (a *Agent) heartbeat() mulberryspool.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return mulberryspool.Heartbeat{
		Incarnation: a.Identity.Incarnation, AgentTime: time.Since(a.born), Phase: a.phase,
		Served: Weights, ServedVersion: "v1", Revision: 1,
	}
}

func (a *Agent) handle(m rpc.Message) {
	a.mu.Lock()
	silent := a.silent[m.Conn]
	a.mu.Unlock()
	if silent {
		return
	}
	switch m.Method {
	case mulberryspool.MethodHello:
		a.mu.Lock()
		a.conns = append(a.conns, m.Conn)
		a.mu.Unlock()
		_ = m.Reply(mulberryspool.HelloResult{Identity: a.Identity, Status: a.heartbeat()})
	case mulberryspool.MethodHeartbeat:
		_ = m.Reply(a.heartbeat())
	case mulberryspool.MethodStart:
		a.start(m)
	case mulberryspool.MethodResolve:
		a.resolve(m)
	case mulberryspool.MethodCancel:
		var params mulberryspool.CancelParams
		_ = m.Decode(&params)
		a.mu.Lock()
		a.cancels = append(a.cancels, params.RequestID)
		a.mu.Unlock()
	}
}

func (a *Agent) start(m rpc.Message) {
	var params mulberryspool.StartParams
	_ = m.Decode(&params)
	s := &Start{Agent: a, Conn: m.Conn, Params: params, message: m}
	a.mu.Lock()
	a.starts = append(a.starts, params)
	switch {
	case a.refused[params.RequestID]:
		a.mu.Unlock()
		s.Refuse(mulberryspool.RefusalResolved)
		return
	case a.started[params.RequestID] != nil:
		a.mu.Unlock()
		s.Refuse(mulberryspool.RefusalDuplicate)
		return
	}
	on := a.OnStart
	a.mu.Unlock()
	if on != nil {
		on(s)
		return
	}
	s.Accept()
	s.Finish(a.Answer)
}

// Accept replies that the request runs.
func (s *Start) Accept() {
	s.Keep(nil, false)
	_ = s.message.Reply(mulberryspool.StartResult{Accepted: true, Incarnation: s.Agent.Identity.Incarnation})
}

// Refuse replies that the request will never run here.
func (s *Start) Refuse(why mulberryspool.Refusal) {
	_ = s.message.Reply(mulberryspool.StartResult{Refusal: why, Incarnation: s.Agent.Identity.Incarnation})
}

// Keep sets what a resolve finds.
func (s *Start) Keep(body []byte, done bool) {
	s.Agent.mu.Lock()
	defer s.Agent.mu.Unlock()
	s.Body, s.Done = body, done
	s.Agent.started[s.Params.RequestID] = s
}

// Finish keeps the body and sends it whole.
func (s *Start) Finish(body []byte) {
	s.Keep(body, true)
	s.SendFrom(s.Conn, 0, len(body))
	s.End(s.Conn, body)
}

// SendFrom sends a part of the kept body.
func (s *Start) SendFrom(conn *rpc.Conn, from, to int) {
	notice := mulberryspool.ChunkNotice{RequestID: s.Params.RequestID, Offset: int64(from), Data: s.Body[from:to]}
	if from == 0 {
		notice.Status, notice.ContentType = 200, s.Agent.ContentType
	}
	_ = conn.Notify(mulberryspool.MethodChunk, notice)
}

// End sends the end of a body.
func (s *Start) End(conn *rpc.Conn, body []byte) {
	_ = conn.Notify(mulberryspool.MethodEnd, mulberryspool.EndNotice{
		RequestID: s.Params.RequestID, Outcome: mulberryspool.OutcomeDone, Length: int64(len(body)),
		Checksum: xxhash.Sum64(body), Weights: Weights, Status: 200, ContentType: s.Agent.ContentType,
	})
}

func (a *Agent) resolve(m rpc.Message) {
	var params mulberryspool.ResolveParams
	_ = m.Decode(&params)
	result := mulberryspool.ResolveResult{State: mulberryspool.ResolveNeverSeen, Incarnation: a.Identity.Incarnation}
	a.mu.Lock()
	s := a.started[params.RequestID]
	switch {
	case params.Incarnation != a.Identity.Incarnation:
		result.State = mulberryspool.ResolveIncarnation
	case s == nil:
		a.refused[params.RequestID] = true
	case s.Done:
		result.State = mulberryspool.ResolveDone
	default:
		result.State = mulberryspool.ResolveRunning
	}
	a.mu.Unlock()
	_ = m.Reply(result)
	if result.State == mulberryspool.ResolveDone && a.OnResolve != nil {
		a.OnResolve(s, m.Conn)
		return
	}
	if result.State == mulberryspool.ResolveDone {
		if int(params.Offset) < len(s.Body) {
			s.SendFrom(m.Conn, int(params.Offset), len(s.Body))
		}
		s.End(m.Conn, s.Body)
	}
}
