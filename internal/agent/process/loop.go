package process

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/gate"
	"github.com/mulberryspool/mulberryspool/internal/agent/rollout"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

// Events of the loop in addition to those of the two reducers. A func() is
// also an event; the loop calls it.
type (
	tick          struct{}
	heartbeatTick struct{}
	leave         struct{}
	connClosed    struct{ conn *rpc.Conn }
)

// loop processes events one at a time. Only it accesses the reducers and the
// fields of Process that are marked as the loop's.
func (p *Process) loop() {
	for {
		select {
		case event := <-p.events:
			p.dispatch(event)
			p.updateInFlight()
		case <-p.runCtx.Done():
			return
		}
	}
}

func (p *Process) dispatch(event any) {
	switch e := event.(type) {
	case rpc.Message:
		p.handleMessage(e)
	case gate.Event:
		p.stepRequests(e)
	case rollout.Event:
		p.stepRollout(e)
	case tick:
		p.stepRequests(gate.Tick{})
		p.stepRollout(rollout.Tick{})
		p.publishStatus()
	case heartbeatTick:
		p.sendHeartbeats()
	case connClosed:
		p.connClosed(e.conn)
	case leave:
		p.startLeaving()
	case func():
		e()
	}
}

// updateInFlight passes the number of requests in flight to the rollout, and
// closes drained once a leaving agent has none.
func (p *Process) updateInFlight() {
	for p.inFlight != p.requests.InFlight() {
		p.inFlight = p.requests.InFlight()
		p.stepRollout(rollout.InFlight{Count: p.inFlight})
	}
	if p.leaving && p.inFlight == 0 {
		select {
		case <-p.drained:
		default:
			close(p.drained)
		}
	}
}

func (p *Process) startLeaving() {
	p.leaving = true
	p.stepRequests(gate.Leaving{})
	p.stepRollout(rollout.Leaving{})
	for conn, state := range p.conns {
		if state.identity.Role == mulberryspool.RoleAgent {
			continue
		}
		if err := conn.Notify(mulberryspool.MethodLeaving, p.leavingParams()); err != nil {
			p.Logger.Debug().Err(err).Str("peer", conn.Peer()).Msg("could not notify peer that this agent is leaving")
		}
	}
	p.publishStatus()
}

func (p *Process) leavingParams() mulberryspool.LeavingParams {
	return mulberryspool.LeavingParams{Instance: p.Identity.Instance, Incarnation: p.Identity.Incarnation}
}

// flushEntries waits until each entry has replied to a call. An entry that
// replies has read all that was sent before, so that closing the connection
// loses no data.
func (p *Process) flushEntries(ctx context.Context, flushed chan<- struct{}) {
	var waiting []*rpc.Conn
	for conn, state := range p.conns {
		if state.identity.Role != mulberryspool.RoleAgent {
			waiting = append(waiting, conn)
		}
	}
	params := p.leavingParams()
	p.tasks.Go(func() {
		defer close(flushed)
		done := make(chan struct{}, len(waiting))
		for _, conn := range waiting {
			p.tasks.Go(func() {
				defer func() { done <- struct{}{} }()
				if err := conn.Flush(ctx); err != nil {
					return
				}
				_ = conn.Call(ctx, mulberryspool.MethodLeaving, params, nil)
			})
		}
		for range waiting {
			<-done
		}
	})
}

func (p *Process) stepRequests(event gate.Event) {
	for _, effect := range p.requests.Step(p.now(), event) {
		p.runRequestEffect(effect)
	}
}

func (p *Process) runRequestEffect(effect gate.Effect) {
	switch e := effect.(type) {
	case gate.ReplyStart:
		p.replyToCall(e.Call, e.Result)
	case gate.ReplyResolve:
		p.replyToCall(e.Call, e.Result)
	case gate.SendChunk:
		p.notify(e.Conn, mulberryspool.MethodChunk, e.Notice)
	case gate.SendEnd:
		p.notify(e.Conn, mulberryspool.MethodEnd, e.Notice)
	case gate.ReadBack:
		p.readBackForRequest(e, readBackAttempts)
	case gate.Submit:
		p.submit(e.Request)
	case gate.CancelBackend:
		p.cancelBackend(e.ID)
	case gate.Record:
		p.record(e.Event)
	case gate.WeightsMismatch:
		p.stepRollout(rollout.WeightsMismatch{})
	}
}

func (p *Process) stepRollout(event rollout.Event) {
	for _, effect := range p.rollout.Step(p.now(), event) {
		p.runRolloutEffect(effect)
	}
}

func (p *Process) runRolloutEffect(effect rollout.Effect) {
	switch e := effect.(type) {
	case rollout.ReadManifest:
		p.readManifest(e.Version)
	case rollout.Stage:
		p.stage(e.Manifest)
	case rollout.StopStaging:
		p.stopStaging(e.Digest)
	case rollout.Release:
		p.Stager.Release(e.Digest)
	case rollout.WriteLease:
		p.writeLease(e)
	case rollout.Load:
		p.loading.Store(true)
		p.load(e)
	case rollout.ReadBack:
		p.readBacks.request(p, func(loaded mulberryspool.Loaded, failure string) {
			p.stepRollout(rollout.EngineRead{Token: e.Token, Loaded: loaded, Error: failure})
		})
	case rollout.SetServing:
		p.stepRequests(gate.Serving{On: e.On, Weights: e.Weights, WeightsChanged: e.WeightsChanged})
	case rollout.Record:
		p.record(e.Event)
	}
}

func (p *Process) notify(id gate.ConnID, method string, notice any) {
	conn, ok := p.connsByID[id]
	if !ok {
		return
	}
	// If the peer stops reading, the endpoint closes the connection and
	// reports that to Closed.
	if err := conn.Notify(method, notice); err != nil {
		p.Logger.Debug().Err(err).Str("peer", conn.Peer()).Msg("could not send notification")
	}
}

func (p *Process) replyToCall(id gate.CallID, result any) {
	message, ok := p.pendingCalls[id]
	if !ok {
		return
	}
	delete(p.pendingCalls, id)
	if err := message.Reply(result); err != nil {
		p.Logger.Debug().Err(err).Str("peer", message.Conn.Peer()).Msg("could not send reply")
	}
}

// counter returns the metric that counts events of this kind. Counters are
// cached, because Scope.Tagged builds a lookup key on each call, which is too
// slow to do for each request.
func (p *Process) counter(kind mulberryspool.EventKind) tally.Counter {
	if counter, ok := p.counters.Load(kind); ok {
		return counter.(tally.Counter)
	}
	counter, _ := p.counters.LoadOrStore(kind, p.Metrics.Tagged(map[string]string{"kind": string(kind)}).Counter("events"))
	return counter.(tally.Counter)
}

// record adds an event to the timeline and counts it by kind.
func (p *Process) record(event mulberryspool.Event) {
	if p.Recorder != nil {
		p.Recorder.Record(event)
	}
	p.counter(event.Kind).Inc(1)
	if event.Kind == mulberryspool.EventPhaseChanged || event.Kind == mulberryspool.EventEngineReadBack {
		p.Logger.Info().Str("pool", event.Pool).
			Str("version", event.Version).Str("step", string(event.Kind)).Msg(event.Detail)
	}
}
