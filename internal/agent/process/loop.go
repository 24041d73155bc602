package process

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/gate"
	"github.com/mulberryspool/mulberryspool/internal/agent/rollout"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

// Events of the loop beside those of the two reducers. A func() is run in the loop.
type (
	tick       struct{}
	beat       struct{}
	leave      struct{}
	connClosed struct{ conn *rpc.Conn }
)

// loop owns both reducers and all state marked as the loop's.
func (p *Process) loop() {
	for {
		select {
		case event := <-p.events:
			p.dispatch(event)
			p.settle()
		case <-p.running.Done():
			return
		}
	}
}

func (p *Process) dispatch(event any) {
	switch e := event.(type) {
	case rpc.Message:
		p.message(e)
	case gate.Event:
		p.stepGate(e)
	case rollout.Event:
		p.stepRollout(e)
	case tick:
		p.stepGate(gate.Tick{})
		p.stepRollout(rollout.Tick{})
		p.publish()
	case beat:
		p.beatPeers()
	case connClosed:
		p.connClosed(e.conn)
	case leave:
		p.startLeaving()
	case func():
		e()
	}
}

// settle tells the rollout how many requests are in flight.
func (p *Process) settle() {
	for p.inFlight != p.gate.InFlight() {
		p.inFlight = p.gate.InFlight()
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
	p.stepGate(gate.Leaving{})
	p.stepRollout(rollout.Leaving{})
	for conn, state := range p.conns {
		if state.identity.Role == mulberryspool.RoleAgent {
			continue
		}
		if err := conn.Notify(mulberryspool.MethodLeaving, p.leavingParams()); err != nil {
			p.Logger.Debug().Err(err).Str("peer", conn.Peer()).Msg("peer was not told that the agent leaves")
		}
	}
	p.publish()
}

func (p *Process) leavingParams() mulberryspool.LeavingParams {
	return mulberryspool.LeavingParams{Instance: p.Identity.Instance, Incarnation: p.Identity.Incarnation}
}

// farewell waits until each entry has replied to a call: it has read all that
// was sent before, so that closing the connection loses nothing.
func (p *Process) farewell(ctx context.Context, said chan<- struct{}) {
	var waiting []*rpc.Conn
	for conn, state := range p.conns {
		if state.identity.Role != mulberryspool.RoleAgent {
			waiting = append(waiting, conn)
		}
	}
	params := p.leavingParams()
	p.tasks.Go(func() {
		defer close(said)
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

func (p *Process) stepGate(event gate.Event) {
	for _, effect := range p.gate.Step(p.now(), event) {
		p.runGate(effect)
	}
}

func (p *Process) runGate(effect gate.Effect) {
	switch e := effect.(type) {
	case gate.ReplyStart:
		p.reply(e.Call, e.Result)
	case gate.ReplyResolve:
		p.reply(e.Call, e.Result)
	case gate.SendChunk:
		p.notify(e.Conn, mulberryspool.MethodChunk, e.Notice)
	case gate.SendEnd:
		p.notify(e.Conn, mulberryspool.MethodEnd, e.Notice)
	case gate.ReadBack:
		p.readForGate(e, readTries)
	case gate.Submit:
		p.submit(e.Request)
	case gate.CancelBackend:
		p.cancelBackend(e.ID)
	case gate.Record:
		p.record(e.Event)
	case gate.WeightsMismatch:
		p.stepRollout(rollout.ContentChanged{})
	}
}

func (p *Process) stepRollout(event rollout.Event) {
	for _, effect := range p.rollout.Step(p.now(), event) {
		p.runRollout(effect)
	}
}

func (p *Process) runRollout(effect rollout.Effect) {
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
		p.readings.add(p, func(loaded mulberryspool.Loaded, failure string) {
			p.stepRollout(rollout.EngineRead{Token: e.Token, Loaded: loaded, Error: failure})
		})
	case rollout.SetServing:
		p.stepGate(gate.Serving{On: e.On, Weights: e.Weights, WeightsChanged: e.Changed})
	case rollout.Record:
		p.record(e.Event)
	}
}

func (p *Process) notify(id gate.ConnID, method string, notice any) {
	conn, ok := p.byID[id]
	if !ok {
		return
	}
	// A connection that takes nothing more is closed by the endpoint, which
	// then reports it as lost.
	if err := conn.Notify(method, notice); err != nil {
		p.Logger.Debug().Err(err).Str("peer", conn.Peer()).Msg("notification not sent")
	}
}

func (p *Process) reply(id gate.CallID, result any) {
	message, ok := p.calls[id]
	if !ok {
		return
	}
	delete(p.calls, id)
	if err := message.Reply(result); err != nil {
		p.Logger.Debug().Err(err).Str("peer", message.Conn.Peer()).Msg("reply not sent")
	}
}

// counter returns the counter of a kind of events. Tagged looks up its scope
// by a newly built key each time, which is too slow for each request.
func (p *Process) counter(kind mulberryspool.EventKind) tally.Counter {
	if counter, ok := p.counters.Load(kind); ok {
		return counter.(tally.Counter)
	}
	counter, _ := p.counters.LoadOrStore(kind, p.Metrics.Tagged(map[string]string{"kind": string(kind)}).Counter("events"))
	return counter.(tally.Counter)
}

// record keeps an event and counts it by kind.
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
