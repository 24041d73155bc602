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
	// Agent is a fake agent that speaks the agent's protocol over loopback
	// connections. It answers hello, heartbeat and resolve; OnStart handles
	// each start.
	Agent struct {
		Identity mulberryspool.Identity
		// OnStart is called for each start, in order of arrival. If it is nil,
		// the agent accepts the request and answers with Answer.
		OnStart func(start *Start)
		// OnResolve is called after a resolve of a request whose answer is
		// complete. If it is nil, the agent sends the rest of Body and the end.
		OnResolve func(start *Start, conn *rpc.Conn)
		// Answer is the body of answers, ContentType their media type.
		Answer      []byte
		ContentType string

		mu sync.Mutex
		// dropped holds the connections whose messages are ignored.
		dropped   map[*rpc.Conn]bool
		conns     []*rpc.Conn
		started   map[mulberryspool.RequestID]*Start
		refused   map[mulberryspool.RequestID]bool
		cancels   []mulberryspool.RequestID
		starts    []mulberryspool.StartParams
		phase     mulberryspool.Phase
		startedAt time.Time
	}

	// Start is a request that the agent has received.
	Start struct {
		Agent  *Agent
		Conn   *rpc.Conn
		Params mulberryspool.StartParams
		// Body is the answer that is sent after a resolve.
		Body []byte
		// Complete is set once Body is the complete answer.
		Complete bool
		message  rpc.Message
	}
)

// WeightsDigest is the weights digest that agents report.
const WeightsDigest mulberryspool.Digest = "d0d0"

// Serve starts the agent on a free loopback port and returns its row of the
// instance list.
func (a *Agent) Serve(t testing.TB) mulberryspool.ListedInstance {
	t.Helper()
	wall := clockwork.NewRealClock()
	a.startedAt = wall.Now()
	a.dropped = make(map[*rpc.Conn]bool)
	a.started = make(map[mulberryspool.RequestID]*Start)
	a.refused = make(map[mulberryspool.RequestID]bool)
	a.phase = mulberryspool.PhaseServing
	endpoint := &rpc.Endpoint{Clock: wall, HLC: &hlc.Clock{Wall: wall}, Handle: a.handle}
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

// DropTraffic makes the agent ignore all messages on the open connections,
// without closing them.
func (a *Agent) DropTraffic() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		a.dropped[c] = true
	}
}

// CloseConnections closes the open connections.
func (a *Agent) CloseConnections() {
	a.mu.Lock()
	conns := a.conns
	a.conns = nil
	a.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// SetPhase sets the phase that heartbeats report.
func (a *Agent) SetPhase(phase mulberryspool.Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase = phase
}

// Starts returns the starts that the agent has received.
func (a *Agent) Starts() []mulberryspool.StartParams {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]mulberryspool.StartParams(nil), a.starts...)
}

// Cancels returns the requests that the agent was asked to cancel.
func (a *Agent) Cancels() []mulberryspool.RequestID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]mulberryspool.RequestID(nil), a.cancels...)
}

// AnnounceLeaving notifies all connected entries that the agent accepts no new
// requests.
func (a *Agent) AnnounceLeaving() {
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
		Incarnation: a.Identity.Incarnation, AgentTime: time.Since(a.startedAt), Phase: a.phase,
		Served: WeightsDigest, ServedVersion: "v1", Revision: 1,
	}
}

func (a *Agent) handle(m rpc.Message) {
	a.mu.Lock()
	silent := a.dropped[m.Conn]
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
	onStart := a.OnStart
	a.mu.Unlock()
	if onStart != nil {
		onStart(s)
		return
	}
	s.Accept()
	s.Finish(a.Answer)
}

// Accept replies that the agent runs the request.
func (s *Start) Accept() {
	s.SetAnswer(nil, false)
	_ = s.message.Reply(mulberryspool.StartResult{Accepted: true, Incarnation: s.Agent.Identity.Incarnation})
}

// Refuse replies that the agent will not run the request.
func (s *Start) Refuse(reason mulberryspool.Refusal) {
	_ = s.message.Reply(mulberryspool.StartResult{Refusal: reason, Incarnation: s.Agent.Identity.Incarnation})
}

// SetAnswer sets the body that is sent after a resolve, and whether it is
// complete.
func (s *Start) SetAnswer(body []byte, done bool) {
	s.Agent.mu.Lock()
	defer s.Agent.mu.Unlock()
	s.Body, s.Complete = body, done
	s.Agent.started[s.Params.RequestID] = s
}

// Finish sets the body as the answer and sends all of it, followed by the end.
func (s *Start) Finish(body []byte) {
	s.SetAnswer(body, true)
	s.SendPart(s.Conn, 0, len(body))
	s.End(s.Conn, body)
}

// SendPart sends bytes from up to, not including, to of the body.
func (s *Start) SendPart(conn *rpc.Conn, from, to int) {
	notice := mulberryspool.ChunkNotice{RequestID: s.Params.RequestID, Offset: int64(from), Data: s.Body[from:to]}
	if from == 0 {
		notice.Status, notice.ContentType = 200, s.Agent.ContentType
	}
	_ = conn.Notify(mulberryspool.MethodChunk, notice)
}

// End sends the end message of an answer with the body.
func (s *Start) End(conn *rpc.Conn, body []byte) {
	_ = conn.Notify(mulberryspool.MethodEnd, mulberryspool.EndNotice{
		RequestID: s.Params.RequestID, Outcome: mulberryspool.OutcomeDone, Length: int64(len(body)),
		Checksum: xxhash.Sum64(body), Weights: WeightsDigest, Status: 200, ContentType: s.Agent.ContentType,
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
	case s.Complete:
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
			s.SendPart(m.Conn, int(params.Offset), len(s.Body))
		}
		s.End(m.Conn, s.Body)
	}
}
