package process

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// endClaimTries bounds the attempts to record an outcome. One that is not
// recorded is learned from the agent when the key is repeated.
const endClaimTries = 5

// run carries out one effect without blocking.
func (p *Process) run(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.OpenConnection:
		p.open(e)
	case dispatch.CloseConnection:
		p.peers.close(e.Conn)
	case dispatch.CallStart:
		p.goCall(func(ctx context.Context) { p.start(ctx, e) })
	case dispatch.CallResolve:
		p.goCall(func(ctx context.Context) { p.resolve(ctx, e) })
	case dispatch.CallCancel:
		p.goCall(func(ctx context.Context) { p.cancel(ctx, e) })
	case dispatch.Claim:
		p.goCall(func(ctx context.Context) { p.claim(ctx, e) })
	case dispatch.EndClaim:
		p.outcomes.Add(1)
		p.goCall(func(ctx context.Context) {
			defer p.outcomes.Add(-1)
			p.endClaim(ctx, e)
		})
	case dispatch.CallerHead, dispatch.CallerBytes, dispatch.CallerReset, dispatch.CallerEnd, dispatch.CallerError:
		p.exchanges.tell(p, effect)
	case dispatch.RecordEvent:
		if p.Recorder != nil {
			p.Recorder.Record(e.Event)
		}
	case dispatch.SetTimer:
		p.timer.set(p, e.At)
	case dispatch.Stopped:
		close(p.stopped)
	}
}

func (p *Process) goCall(call func(ctx context.Context)) {
	p.helpers.Add(1)
	go func() {
		defer p.helpers.Done()
		call(p.calls)
	}()
}

func (p *Process) start(ctx context.Context, e dispatch.CallStart) {
	var result mulberryspool.StartResult
	if !p.callAgent(ctx, e.Conn, mulberryspool.MethodStart, e.ID, e.Params, &result) {
		p.inbox.post(dispatch.StartFailed{ID: e.ID, Conn: e.Conn, Attempt: e.Attempt})
		return
	}
	p.inbox.post(dispatch.StartAnswered{ID: e.ID, Conn: e.Conn, Attempt: e.Attempt, Result: result})
}

func (p *Process) resolve(ctx context.Context, e dispatch.CallResolve) {
	var result mulberryspool.ResolveResult
	if !p.callAgent(ctx, e.Conn, mulberryspool.MethodResolve, e.ID, e.Params, &result) {
		p.inbox.post(dispatch.ResolveFailed{ID: e.ID, Conn: e.Conn, Attempt: e.Attempt})
		return
	}
	p.inbox.post(dispatch.ResolveAnswered{ID: e.ID, Conn: e.Conn, Attempt: e.Attempt, Result: result})
}

// callAgent returns false when no reply came.
func (p *Process) callAgent(ctx context.Context, conn dispatch.ConnID, method string, id mulberryspool.RequestID, params, result any) bool {
	peer := p.peers.get(conn)
	if peer == nil {
		return false
	}
	ctx, cancel := p.withTimeout(ctx, p.StartTimeout)
	defer cancel()
	if err := peer.conn.Call(ctx, method, params, result); err != nil {
		p.logCall(err, method, peer, id)
		return false
	}
	return true
}

func (p *Process) cancel(_ context.Context, e dispatch.CallCancel) {
	peer := p.peers.get(e.Conn)
	if peer == nil {
		return
	}
	if err := peer.conn.Notify(mulberryspool.MethodCancel, e.Params); err != nil {
		p.logCall(err, mulberryspool.MethodCancel, peer, e.Params.RequestID)
	}
}

func (p *Process) logCall(err error, step string, peer *peer, id mulberryspool.RequestID) {
	p.Logger.Info().Err(err).Str("step", step).Str("peer", string(peer.instance)).Str("requestID", string(id)).Msg("call failed")
}

func (p *Process) claim(ctx context.Context, e dispatch.Claim) {
	ctx, cancel := p.withTimeout(ctx, p.ClaimTimeout)
	defer cancel()
	present, err := p.Claims.CompareAndSwap(ctx, e.Expected, e.Next)
	answer := dispatch.ClaimAnswered{ID: e.ID, Attempt: e.Attempt, Present: present}
	switch {
	case err == nil:
		answer.Recorded = true
	case errors.Is(err, claims.ErrTaken):
		answer.Taken = true
	case errors.Is(err, mulberryspool.ErrUnavailable):
		answer.Unavailable = true
	default:
		answer.Uncertain = true
	}
	if err != nil && !answer.Taken {
		p.Logger.Warn().Err(err).Str("step", "record claim").Str("requestID", string(e.ID)).Msg("claim not recorded")
	}
	p.inbox.post(answer)
}

func (p *Process) endClaim(ctx context.Context, e dispatch.EndClaim) {
	for try := range endClaimTries {
		_, err := p.Claims.CompareAndSwap(ctx, &e.Expected, e.Next)
		if err == nil || errors.Is(err, claims.ErrTaken) || ctx.Err() != nil {
			return
		}
		p.Logger.Warn().Err(err).Str("step", "record outcome of claim").Str("requestID", string(e.Next.RequestID)).Msg("outcome not recorded")
		p.sleep(ctx, time.Second<<try)
	}
}

// withTimeout is context.WithTimeout on the process's clock.
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
