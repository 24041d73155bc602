package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
)

const (
	// maxIdleNonRetryable is the maximum idle time of a connection that is
	// used for a non-retryable request. The server may close a connection that
	// was idle for longer, and the request lost with it can't be sent again.
	maxIdleNonRetryable = 500 * time.Millisecond
	// maxTrialWait is how long a request waits for the trial of a part of its prompt.
	maxTrialWait = time.Second
	// newConnTime is how long before the end of a version's grace requests to its servers are
	// sent on new connections only, because opening one measures the path.
	newConnTime = 2 * time.Second
)

// errSlowPath means that the path to a backend server takes too long for its response to start
// before its version is out of date.
var errSlowPath = errors.New("path to the backend server is too slow")

// run makes the attempt.
func (a *attempt) run() {
	for {
		a.admission = a.admit()
		if a.admission.Verdict != quarantine.Send {
			a.withdrawTrial()
			a.result = resultPromptRefused
			return
		}
		placingAt := a.handler.Clock.Now()
		a.decision = a.place()
		a.queueTime = a.handler.Clock.Since(placingAt)
		a.handler.Metrics.Timer("queue").Record(a.queueTime)
		if a.decision.Verdict == placement.Refused {
			a.withdrawTrial()
			a.result = resultNotPlaced
			return
		}
		if a.incoming.Context().Err() != nil || a.isSuperseded() {
			a.withdrawTrial()
			a.reportEnded(placement.Cancelled, 0)
			a.result = resultNotPlaced
			return
		}
		if a.check().Verdict == quarantine.Send {
			a.send()
			return
		}
		a.reportEnded(placement.Cancelled, 0)
	}
}

// admit waits until the prompt may be sent to a backend server, or for the time that is worth
// the wait. An attempt beside another one doesn't wait.
func (a *attempt) admit() quarantine.Decision {
	if a.beside != nil {
		return a.check()
	}
	now := a.handler.Clock.Now()
	until := now.Add(min(maxTrialWait, a.deadline.Sub(now)/2))
	return a.handler.PromptGuard.Admit(a.ctx, a.head.ID, a.promptParts, until)
}

// check decides on the prompt without waiting. A prompt that may crash backend servers is
// not sent to two of them at a time.
func (a *attempt) check() quarantine.Decision {
	if a.beside != nil {
		return a.handler.PromptGuard.CheckBeside(a.promptParts)
	}
	return a.handler.PromptGuard.Check(a.head.ID, a.promptParts)
}

// withdrawTrial ends the trial of a request that is not sent.
func (a *attempt) withdrawTrial() {
	if a.beside == nil {
		a.handler.PromptGuard.Withdraw(a.head.ID, a.promptParts)
	}
}

// place returns the placement decision.
func (a *attempt) place() placement.Decision {
	ctx := a.ctx
	if !a.waits {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		cancel()
	}
	return a.handler.Scheduler.Place(ctx, a.pool.Name, a.placementRequest())
}

func (a *attempt) placementRequest() placement.Request {
	return placement.Request{
		PromptTokens: a.head.PromptTokens, AnswerTokens: a.head.ExpectedTokens, Priority: a.rank(), CallerRetry: a.callerRetry, EarlyRetry: a.earlyRetry,
		LatencyObjective: a.route.Objective, ArrivedAt: a.arrivedAt, Deadline: a.deadline, Exclude: a.exclude,
		Version: a.version, Reattempt: len(a.exclude) > 0, Trial: a.admission.Trial, Scope: a.scope,
		Workspace: a.workspaceName(), PlacedBefore: a.withheldBefore,
	}
}

// send sends the request to the backend server of the placement decision, and handles the
// response.
func (a *attempt) send() {
	a.startedAt = a.handler.Clock.Now()
	if a.result = a.open(); a.result != resultFinished {
		a.withdrawTrial()
		return
	}
	stop := a.conn.InterruptOnDone(a.ctx)
	a.exchange = a.handler.PromptGuard.Start(a.head.ID, a.promptParts, a.decision.Server, func() { a.cancel(errPromptRejected) })
	defer a.exchange.Close()
	if a.isWithdrawn() {
		stop()
		a.conn.Release(false)
		a.err = errors.New("prompt was rejected while the connection was opened")
		a.reportEnded(placement.Cancelled, 0)
		a.logFailed(codePromptRejected)
		a.result = resultNotSent
		return
	}
	result, outcome := a.transfer()
	stop()
	a.conn.Release(a.complete && a.ctx.Err() == nil)
	a.reportEnded(outcome, a.handler.Clock.Since(a.startedAt))
	a.result = result
}

// open acquires a connection, and returns resultFinished if the request may be sent on it.
func (a *attempt) open() attemptResult {
	var err error
	a.conn, err = a.connect(targetOf(a.decision))
	if err != nil {
		outcome, code := a.attributeOutcome(placement.Unreachable), "unreached"
		if errors.Is(err, errSlowPath) {
			outcome, code = placement.Cancelled, outcomeOutdated
		}
		a.err = err
		a.reportEnded(outcome, 0)
		a.logFailed(code)
		return resultNotSent
	}
	took, opened := a.conn.OpenTook()
	if opened {
		a.handler.Scheduler.RecordConnection(a.decision.Server, took)
	}
	result, code := resultWithheld, a.withheld()
	by := a.startBy()
	switch {
	case !by.IsZero() && !a.handler.Clock.Now().Before(by):
		a.err = errors.Newf("version %d is out of date since the connection was opened", a.decision.Version)
		result, code = resultNotSent, outcomeOutdated
	case opened && !a.handler.Scheduler.StartsInTime(a.pool.Name, a.decision, a.head.PromptTokens):
		a.err = errors.Newf("version %d is out of date before the response starts: the connection took %v to open", a.decision.Version, took)
		result, code = resultNotSent, outcomeOutdated
	case code != "":
		a.err = withheldError(code)
	case !a.handler.Scheduler.RecordWrite(a.pool.Name, a.decision.Server):
		a.err = errors.New("backend server is cold and has got its share of requests")
		code = string(placement.ReasonServerCold)
	case a.beside != nil && !a.handler.Scheduler.AllowRetry(a.pool.Name):
		a.err = errors.New("retry budget is used up")
		code = codeNoRetryBudget
	case a.beside != nil && (a.post(message{kind: messageSent}) != nil || a.ctx.Err() != nil):
		a.err = context.Cause(a.ctx)
		code = outcomeSuperseded
	default:
		// The request's goroutine may have taken long to accept the message.
		if code = a.withheld(); code == "" {
			return resultFinished
		}
		a.err = withheldError(code)
	}
	a.conn.Release(true)
	a.reportEnded(placement.Cancelled, 0)
	a.logFailed(code)
	return result
}

// withheld returns why the request must not be sent now to the backend server that it was placed
// at, empty if it may be.
func (a *attempt) withheld() string {
	return string(a.handler.Scheduler.Withheld(a.pool.Name, a.decision.Server, a.scope))
}

func withheldError(code string) error {
	return errors.Newf("backend server has been withheld since the request was placed: %s", code)
}

// connect returns a connection that the request may use.
func (a *attempt) connect(target httpconn.Target) (*httpconn.Conn, error) {
	if by := a.startBy(); !by.IsZero() && a.handler.Clock.Until(by) < newConnTime {
		return a.openBefore(by, target)
	}
	switch {
	case a.head.ID == "":
		return a.handler.ConnPool.Open(a.ctx, target)
	case !a.retryable():
		return a.handler.ConnPool.Acquire(a.ctx, target, maxIdleNonRetryable)
	}
	return a.handler.ConnPool.Acquire(a.ctx, target, 0)
}

// openBefore opens a connection on which a request can reach the backend server by the time. It
// gives up with errSlowPath after half of the time that is left, because the request takes as long
// as the connection.
func (a *attempt) openBefore(by time.Time, target httpconn.Target) (*httpconn.Conn, error) {
	began := a.handler.Clock.Now()
	until := began.Add(by.Sub(began) / 2)
	ctx, cancel := clockwork.WithDeadline(a.ctx, a.handler.Clock, until)
	defer cancel()
	conn, err := a.handler.ConnPool.Replace(ctx, target)
	// The dialer times out by the same deadline, perhaps just before the context.
	if now := a.handler.Clock.Now(); err != nil && !now.Before(until) && a.ctx.Err() == nil {
		a.handler.Scheduler.RecordConnection(a.decision.Server, now.Sub(began))
		return nil, errors.Mark(errors.Wrapf(err, "version %d is out of date before a request can reach it", a.decision.Version), errSlowPath)
	}
	return conn, err
}

func targetOf(d placement.Decision) httpconn.Target {
	return httpconn.Target{Instance: d.Server.Instance, Born: d.Server.Born, Address: d.Server.Address}
}

// attributeOutcome returns the outcome, or one that doesn't count against the backend server
// if the caller has disconnected or the attempt was ended here.
func (a *attempt) attributeOutcome(outcome placement.Outcome) placement.Outcome {
	switch {
	case a.isSuperseded() && a.silent:
		return placement.TimedOut
	case a.incoming.Context().Err() != nil || errors.Is(a.ctx.Err(), context.Canceled):
		return placement.Cancelled
	}
	return outcome
}

// reportEnded records the end of an exchange for later placement decisions.
func (a *attempt) reportEnded(outcome placement.Outcome, took time.Duration) {
	a.handler.Scheduler.RecordEnd(a.pool.Name, a.decision.Server.Instance, a.head.PromptTokens, a.promptRead, outcome, took)
}
