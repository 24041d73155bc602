package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
)

const (
	// minRetryTime is the remaining time below which a request is not sent again.
	minRetryTime = 150 * time.Millisecond
	// maxUnreachable is how many servers may be tried beyond the route's
	// attempts. Servers to which nothing could be sent don't count as attempts.
	maxUnreachable = 2
	// rejectedRetryAfter is the Retry-After hint when the backend servers
	// rejected a request.
	rejectedRetryAfter = 300 * time.Millisecond
	// routeRanks is the number of priorities of routes that are told apart within one of
	// workspaces.
	routeRanks = 10
	// stoppingRetryAfter is the Retry-After hint of an entry that stops.
	stoppingRetryAfter = 10 * time.Millisecond
)

// Codes of requests that are refused because a part of their prompt crashes, or may
// crash, backend servers.
const (
	codePromptRejected  = "promptRejected"
	codePromptSuspected = "promptSuspected"
)

type (
	// request is a caller's request from its arrival to its response. Its attempts run in
	// goroutines of their own, which only read the fields that are set before serve.
	request struct {
		handler       *Handler
		writer        http.ResponseWriter
		incoming      *http.Request
		head          mulberryspool.RequestHead
		arrivedAt     time.Time
		configVersion int64
		route         *mulberryspool.IngressRoute
		pool          mulberryspool.IngressPool
		workspace     *mulberryspool.Workspace
		scope         scheduler.Scope
		target        string
		body          []byte
		callerRetry   bool
		// earlyRetry is set if the caller retries earlier than it was told.
		earlyRetry bool
		// callerDeadline is the deadline that the caller gave, at the first of its attempts
		// that are known.
		callerDeadline time.Time
		// bodyRead is set once the body was read to its end.
		bodyRead bool
		// promptParts holds the parts of the prompt that other requests may share.
		promptParts []quarantine.Part
		deadline    time.Time
		// messages carries what the attempts receive and how they end.
		messages chan message

		// running holds the attempts that have not ended, the older one first. There are two
		// while the older one is silent.
		running []*attempt
		// supersededCount is the number of attempts that were superseded and have not ended.
		supersededCount int
		// waitedBeside is set once a second attempt has waited for a place. Later ones don't,
		// and none of a stream that has begun does, because others wait behind it.
		waitedBeside bool
		// bodies holds the bodies in memory until the request ends.
		bodies []*bodybudget.Body
		// tried holds the backend servers whose attempts have failed.
		tried []mulberryspool.InstanceID
		// withheldBefore is set once the request was placed and not sent, as its server must not
		// get it any more.
		withheldBefore bool
		// sentCount is the number of failed attempts that were sent.
		sentCount int
		// mayHaveRun is set once a failed attempt may have run.
		mayHaveRun bool
		// serverError is a 5xx response of a backend server. The caller gets it
		// if no other attempt succeeds.
		serverError *bufferedResponse
		// stream is set once events were sent to the caller.
		stream *stream
		// relaying is set once a part of a long response was sent to the caller.
		relaying bool
		// lastDecision is the last placement decision, queueTime the time that
		// the request waited for it.
		lastDecision placement.Decision
		queueTime    time.Duration
		// lastError is the error of the last failed attempt.
		lastError error
		// answered is set once the caller got a complete successful response.
		answered bool
	}

	// bufferedResponse is a complete response.
	bufferedResponse struct {
		status int
		header http.Header
		body   []byte
	}
)

// context sets the deadline of the request and returns a context that ends with it, when the
// caller disconnects, or when requests in flight have to be answered in a planned stop.
func (q *request) context() (context.Context, context.CancelFunc) {
	timeout := q.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.head.Deadline > 0 {
		timeout = min(timeout, q.head.Deadline)
	}
	q.deadline = q.arrivedAt.Add(timeout)
	ctx, cancel := clockwork.WithDeadline(q.incoming.Context(), q.handler.Clock, q.deadline)
	stop := context.AfterFunc(q.handler.stopState().answer, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// serve sends the request to backend servers until it has a response or may not
// be sent again.
func (q *request) serve(ctx context.Context) {
	defer q.arrive()()
	if !q.canEnd() {
		// Another entry can serve it at once.
		q.writeError(http.StatusServiceUnavailable, typeNotRun, codeStopping, stoppingRetryAfter)
		return
	}
	q.handler.Scheduler.RecordRequest(q.pool.Name)
	q.messages = make(chan message)
	defer q.endAttempts()
	q.start(ctx, nil)
	for {
		m := <-q.messages
		switch m.kind {
		case messageEvent:
			q.relayEvent(m)
		case messagePart:
			q.relayPart(m)
		case messageSent:
			q.recordSecondAttempt(m.attempt)
		case messageSilent:
			q.startBeside(ctx, m.attempt)
		case messageEnded:
			q.remove(m.attempt)
			if q.handleEnded(ctx, m.attempt) {
				return
			}
		}
	}
}

// handleEnded handles the end of an attempt and reports whether that of the request follows.
func (q *request) handleEnded(ctx context.Context, a *attempt) bool {
	if a.panicked {
		panic(http.ErrAbortHandler)
	}
	q.bodies = append(q.bodies, a.bodies...)
	if a.superseded {
		return false
	}
	q.lastDecision, q.queueTime = a.decision, a.queueTime
	if a.err != nil {
		q.lastError = a.err
	}
	if a.result == resultFinished {
		q.finish(a)
		return true
	}
	if q.incoming.Context().Err() != nil {
		q.abort()
	}
	if len(q.running) > 0 {
		q.logRace(q.running[0], a, a.result.String())
	}
	if a.result == resultBrokenOff && !q.relaying {
		a.result = resultUnknown
	}
	switch a.result {
	case resultBrokenOff:
		q.logEnd(a.response.StatusCode, "broken:long", 0)
		q.abortResponse()
	case resultPromptRefused, resultNotPlaced, resultWithheld:
		return q.handleNotSent(ctx, a)
	case resultNotRun:
		q.sentCount++
	case resultUnknown, resultServerError:
		q.sentCount++
		q.mayHaveRun = true
		if a.serverError != nil {
			q.serverError = a.serverError
		}
	}
	q.tried = append(q.tried, a.decision.Server.Instance)
	if len(q.running) > 0 {
		return false
	}
	return q.retry(ctx, a)
}

// retry starts an attempt after a failed one, or ends the request and returns true.
func (q *request) retry(ctx context.Context, failed *attempt) bool {
	if reason := q.noRetryReason(); reason != "" {
		q.giveUp(reason)
		return true
	}
	q.handler.count("repeats", q.route.Name, q.pool.Name, string(failed.decision.Reason))
	q.start(ctx, nil)
	return false
}

// handleNotSent handles an attempt that was not sent for a reason other than its server, and
// reports whether the request ends.
func (q *request) handleNotSent(ctx context.Context, a *attempt) bool {
	switch {
	case len(q.running) > 0:
		return false
	case a.beside != nil:
		return q.retry(ctx, a)
	case a.result == resultWithheld:
		// The server isn't excluded: the placement knows until when it takes none.
		q.withheldBefore = true
		q.start(ctx, nil)
		return false
	case a.result == resultPromptRefused:
		q.refusePrompt(a.admission)
	default:
		q.handleRefusedPlacement(a.decision)
	}
	return true
}

// finish ends a request with the response of an attempt.
func (q *request) finish(a *attempt) {
	q.supersedeOthers(a)
	switch {
	case a.buffered != nil:
		q.answered = a.buffered.status < http.StatusMultipleChoices
		q.writeResponse(a.buffered, "answered")
	case a.isStream:
		q.finishStream(a)
	default:
		q.answered = a.response.StatusCode < http.StatusMultipleChoices
		q.logEnd(a.response.StatusCode, "answered", 0)
	}
}

// releaseBodies returns the memory of the bodies.
func (q *request) releaseBodies() {
	for _, b := range q.bodies {
		b.Release()
	}
}

// refusePrompt ends a request whose prompt is kept from backend servers.
func (q *request) refusePrompt(admission quarantine.Decision) {
	code := codePromptSuspected
	if admission.Verdict == quarantine.Reject {
		code = codePromptRejected
	}
	if q.mayHaveRun || q.stream != nil {
		q.giveUp(code)
		return
	}
	q.writeError(http.StatusServiceUnavailable, typeNotRun, code, q.capRetryAfter(q.handler.Clock.Until(admission.Until)))
}

// rank is the priority of the request at this entry: that of its workspace, if it has one, and
// within it that of its route. Workspaces of the same priority send requests of all routes, and
// the less urgent ones, which may wait for longer, would be served more often.
func (q *request) rank() int {
	return routeRanks*max(0, q.priority()) + min(max(0, q.route.Priority), routeRanks-1)
}

func (q *request) priority() int {
	if q.workspace != nil && q.workspace.Priority != nil {
		return *q.workspace.Priority
	}
	return q.route.Priority
}

// workspaceName returns the name of the caller's workspace, empty if there is none.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// retryable reports whether the request may run more than once.
func (q *request) retryable() bool {
	switch q.route.Kind {
	case mulberryspool.Idempotent:
		return true
	case mulberryspool.Streaming:
		return q.route.Resumable
	}
	return false
}

// noRetryReason returns the reason why the request must not be sent again, empty if it may
// be. The retry is taken from the budget.
func (q *request) noRetryReason() string {
	switch reason := q.retryRefusal(q.mayHaveRun); {
	case reason != "":
		return reason
	case q.sentCount > 0 && !q.handler.Scheduler.AllowRetry(q.pool.Name):
		return codeNoRetryBudget
	}
	return ""
}

// retryRefusal returns the reason other than the budget why the request must not be sent
// once more, empty if it may be.
func (q *request) retryRefusal(mayHaveRun bool) string {
	sent := q.sentCount + len(q.running)
	switch {
	case q.handler.mustAnswer():
		return codeStopping
	case mayHaveRun && !q.retryable():
		return "notRepeatable"
	case sent >= q.route.Attempts || len(q.tried)+len(q.running) >= q.route.Attempts+maxUnreachable:
		return "attemptsUsed"
	case q.handler.Clock.Until(q.deadline) < minRetryTime:
		return "noTimeLeft"
	case !q.canEnd():
		return codeStopping
	}
	return ""
}

// handleRefusedPlacement ends a request that can't be placed on any backend server.
func (q *request) handleRefusedPlacement(decision placement.Decision) {
	if q.mayHaveRun || q.stream != nil {
		q.giveUp(string(decision.Reason))
		return
	}
	retryAfter := q.capRetryAfter(decision.RetryAfter)
	q.recordRefusal(retryAfter)
	q.writeError(http.StatusServiceUnavailable, typeNotRun, string(decision.Reason), retryAfter)
}

// capRetryAfter limits a Retry-After hint to the longest one that callers
// follow, which is a third of the time to their deadline.
func (q *request) capRetryAfter(retryAfter time.Duration) time.Duration {
	if q.head.Deadline <= 0 {
		return retryAfter
	}
	left := q.head.Deadline - q.handler.Clock.Since(q.arrivedAt)
	return max(0, min(retryAfter, left/3-20*time.Millisecond))
}

// giveUp ends a request that is not sent again.
func (q *request) giveUp(reason string) {
	switch {
	case q.stream != nil:
		q.logEnd(q.stream.status, "broken:"+reason, 0)
		q.abortResponse()
	case q.serverError != nil:
		q.writeResponse(q.serverError, "failure:"+reason)
	case !q.mayHaveRun:
		retryAfter := max(rejectedRetryAfter, q.handler.Scheduler.PauseLeft(q.pool.Name, q.scope))
		q.writeError(http.StatusServiceUnavailable, typeNotRun, reason, q.capRetryAfter(retryAfter))
	case q.handler.Clock.Until(q.deadline) <= 0:
		q.writeError(http.StatusGatewayTimeout, typeUnknown, reason, 0)
	default:
		q.writeError(http.StatusBadGateway, typeUnknown, reason, 0)
	}
}

// abortResponse ends a response that has begun, so that it does not look complete. It
// does not return.
func (q *request) abortResponse() {
	if !q.incoming.ProtoAtLeast(1, 1) {
		// Without chunks, the end of the connection is that of the body.
		q.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the caller's connection.
func (q *request) resetConnection() {
	conn, _, err := http.NewResponseController(q.writer).Hijack()
	if err != nil {
		q.handler.Logger.Warn().Err(err).Str("requestID", string(q.head.ID)).Msg("connection of a broken response could not be reset")
		return
	}
	if stream, ok := conn.(interface{ SetLinger(int) error }); ok {
		// Fails only if the connection is closed already.
		_ = stream.SetLinger(0)
	}
	conn.Close()
}

// abort ends a request whose caller has disconnected.
func (q *request) abort() {
	q.logEnd(0, "callerLeft", 0)
	panic(http.ErrAbortHandler)
}
