package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

// sendTo makes an attempt at the backend server of a placement decision.
func (q *request) sendTo(ctx context.Context, decision placement.Decision) attemptResult {
	startedAt := q.handler.Clock.Now()
	conn, err := q.connect(ctx, targetOf(decision))
	if err != nil {
		q.withdrawTrial()
		q.lastError = err
		q.reportEnded(decision, false, q.attributeOutcome(ctx, placement.Unreachable), 0)
		q.logAttempt(decision, "unreached", startedAt)
		return resultNotSent
	}
	if took, opened := conn.OpenTook(); opened {
		q.handler.Scheduler.RecordPathDelay(decision.Server.FailureDomain, took)
	}
	if by := q.handler.Scheduler.StartBy(q.pool.Name, decision); !by.IsZero() && !q.handler.Clock.Now().Before(by) {
		conn.Release(true)
		q.withdrawTrial()
		q.lastError = errors.Newf("version %d is out of date since the connection was opened", decision.Version)
		q.reportEnded(decision, false, placement.Cancelled, 0)
		q.logAttempt(decision, outcomeOutdated, startedAt)
		return resultNotSent
	}
	if q.withhold(decision, startedAt) {
		conn.Release(true)
		return resultWithheld
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := conn.InterruptOnDone(ctx)
	a := &attempt{request: q, decision: decision, conn: conn, startedAt: startedAt}
	a.exchange = q.handler.PromptGuard.Start(q.head.ID, q.promptParts, decision.Server, cancel)
	defer a.exchange.Close()
	if a.isWithdrawn(ctx) {
		stop()
		conn.Release(false)
		q.lastError = errors.New("prompt was rejected while the connection was opened")
		q.reportEnded(decision, false, placement.Cancelled, 0)
		q.logAttempt(decision, codePromptRejected, startedAt)
		return resultNotSent
	}
	result, outcome := a.run(ctx)
	stop()
	conn.Release(a.complete && ctx.Err() == nil)
	q.reportEnded(decision, a.promptRead, outcome, q.handler.Clock.Since(startedAt))
	return result
}

// connect returns a connection that the request may use.
func (q *request) connect(ctx context.Context, target httpconn.Target) (*httpconn.Conn, error) {
	switch {
	case q.head.ID == "":
		return q.handler.ConnPool.Open(ctx, target)
	case !q.retryable():
		return q.handler.ConnPool.Acquire(ctx, target, maxIdleNonRetryable)
	}
	return q.handler.ConnPool.Acquire(ctx, target, 0)
}

func targetOf(d placement.Decision) httpconn.Target {
	return httpconn.Target{Instance: d.Server.Instance, Born: d.Server.Born, Address: d.Server.Address}
}

// attributeOutcome returns the outcome, or placement.Cancelled if the caller has
// disconnected, so that a cancelled exchange doesn't count against the backend
// server.
func (q *request) attributeOutcome(ctx context.Context, outcome placement.Outcome) placement.Outcome {
	if q.incoming.Context().Err() != nil || errors.Is(ctx.Err(), context.Canceled) {
		return placement.Cancelled
	}
	return outcome
}

// reportEnded records the end of an exchange for later placement decisions.
func (q *request) reportEnded(decision placement.Decision, promptRead bool, outcome placement.Outcome, took time.Duration) {
	q.handler.Scheduler.RecordEnd(q.pool.Name, decision.Server.Instance, q.head.PromptTokens, promptRead, outcome, took)
}
