package process

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// maxOutcomeAttempts limits the attempts to record the outcome of a claim. If
// all fail, a request that repeats the key gets the outcome from the agent.
const maxOutcomeAttempts = 5

// runEffect carries out one effect of the reducer without blocking.
func (p *Process) runEffect(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.OpenConnection:
		p.openConnection(e)
	case dispatch.CloseConnection:
		p.conns.close(e.Conn)
	case dispatch.CallStart:
		release := retain(e.Held)
		p.runAsync(func(ctx context.Context) {
			defer release()
			p.callStart(ctx, e)
		})
	case dispatch.ReleaseBody:
		e.Held.Release()
	case dispatch.CallResolve:
		p.runAsync(func(ctx context.Context) { p.callResolve(ctx, e) })
	case dispatch.CallCancel:
		p.runAsync(func(ctx context.Context) { p.notifyCancel(ctx, e) })
	case dispatch.WriteClaim:
		p.runAsync(func(ctx context.Context) { p.recordClaim(ctx, e) })
	case dispatch.WriteClaimOutcome:
		p.outcomesInProgress.Add(1)
		p.runAsync(func(ctx context.Context) {
			defer p.outcomesInProgress.Add(-1)
			p.recordOutcome(ctx, e)
		})
	case dispatch.CallerHead, dispatch.CallerData, dispatch.CallerReset, dispatch.CallerEnd, dispatch.CallerError:
		p.responses.deliver(p, effect)
	case dispatch.RecordEvent:
		if p.Recorder != nil {
			p.Recorder.Record(e.Event)
		}
	case dispatch.SetTimer:
		p.timer.set(p, e.At)
	case dispatch.Stopped:
		close(p.reducerStopped)
	}
}

// runAsync calls the function in a goroutine that Run waits for.
func (p *Process) runAsync(call func(ctx context.Context)) {
	p.callGoroutines.Add(1)
	go func() {
		defer p.callGoroutines.Done()
		call(p.callContext)
	}()
}

func (p *Process) callStart(ctx context.Context, e dispatch.CallStart) {
	var result mulberryspool.StartResult
	ctx, cancel := p.withTimeout(ctx, p.StartTimeout)
	defer cancel()
	release, err := p.encoding.acquire(ctx, len(e.Params.Body))
	if err != nil {
		p.Logger.Info().Err(err).Str("step", mulberryspool.MethodStart).Str("requestID", string(e.ID)).Int("bodyBytes", len(e.Params.Body)).
			Msg("no memory to send a body to an agent")
		p.inbox.post(dispatch.StartFailed{ID: e.ID, Conn: e.Conn, Attempt: e.Attempt})
		return
	}
	defer release()
	if !p.callAgent(ctx, e.Conn, mulberryspool.MethodStart, e.ID, e.Params, &result) {
		p.inbox.post(dispatch.StartFailed{ID: e.ID, Conn: e.Conn, Attempt: e.Attempt})
		return
	}
	p.inbox.post(dispatch.StartAnswered{ID: e.ID, Conn: e.Conn, Attempt: e.Attempt, Result: result})
}

func (p *Process) callResolve(ctx context.Context, e dispatch.CallResolve) {
	var result mulberryspool.ResolveResult
	if !p.callAgent(ctx, e.Conn, mulberryspool.MethodResolve, e.ID, e.Params, &result) {
		p.inbox.post(dispatch.ResolveFailed{ID: e.ID, Conn: e.Conn, Attempt: e.Attempt})
		return
	}
	p.inbox.post(dispatch.ResolveAnswered{ID: e.ID, Conn: e.Conn, Attempt: e.Attempt, Result: result})
}

// callAgent sends a request on the connection and decodes the reply into
// result. It returns false if no reply arrives within StartTimeout.
func (p *Process) callAgent(ctx context.Context, conn dispatch.ConnID, method string, id mulberryspool.RequestID, params, result any) bool {
	agent := p.conns.get(conn)
	if agent == nil {
		return false
	}
	ctx, cancel := p.withTimeout(ctx, p.StartTimeout)
	defer cancel()
	if err := agent.conn.Call(ctx, method, params, result); err != nil {
		p.logCallError(err, method, agent, id)
		return false
	}
	return true
}

func (p *Process) notifyCancel(_ context.Context, e dispatch.CallCancel) {
	agent := p.conns.get(e.Conn)
	if agent == nil {
		return
	}
	if err := agent.conn.Notify(mulberryspool.MethodCancel, e.Params); err != nil {
		p.logCallError(err, mulberryspool.MethodCancel, agent, e.Params.RequestID)
	}
}

func (p *Process) logCallError(err error, step string, agent *agentConn, id mulberryspool.RequestID) {
	p.Logger.Info().Err(err).Str("step", step).Str("peer", string(agent.instance)).Str("requestID", string(id)).Msg("call to agent failed")
}

func (p *Process) recordClaim(ctx context.Context, e dispatch.WriteClaim) {
	ctx, cancel := p.withTimeout(ctx, p.ClaimTimeout)
	defer cancel()
	present, err := p.Claims.CompareAndSwap(ctx, e.Expected, e.Next)
	answer := dispatch.ClaimAnswered{ID: e.ID, Attempt: e.Attempt, Stored: present}
	switch {
	case err == nil:
		answer.Recorded = true
	case errors.Is(err, claims.ErrTaken):
		answer.KeyInUse = true
	case errors.Is(err, mulberryspool.ErrUnavailable):
		answer.Unavailable = true
	default:
		answer.Uncertain = true
	}
	if err != nil && !answer.KeyInUse {
		p.Logger.Warn().Err(err).Str("step", "record claim").Str("requestID", string(e.ID)).Msg("claim not recorded before dispatch")
	}
	p.inbox.post(answer)
}

// recordOutcome records the outcome of a claim, with exponential backoff
// between attempts.
func (p *Process) recordOutcome(ctx context.Context, e dispatch.WriteClaimOutcome) {
	for attempt := range maxOutcomeAttempts {
		_, err := p.Claims.CompareAndSwap(ctx, &e.Expected, e.Next)
		if err == nil || errors.Is(err, claims.ErrTaken) || ctx.Err() != nil {
			return
		}
		p.Logger.Warn().Err(err).Str("step", "record outcome of claim").Str("requestID", string(e.Next.RequestID)).Msg("outcome of claim not recorded")
		p.sleep(ctx, time.Second<<attempt)
	}
}

// withTimeout is like context.WithTimeout but uses the process's clock.
func (p *Process) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := p.Clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

func (p *Process) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-p.Clock.After(d):
	case <-ctx.Done():
	}
}
