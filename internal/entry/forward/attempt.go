package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/backend/liveness"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/promptguard"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
)

const (
	eventStream = "text/event-stream"
	// outcomeOutdated is an attempt that was given up because the backend server's
	// version was out of date before the response started.
	outcomeOutdated = "outdated"
	// outcomeSuperseded is an attempt that was given up for another one.
	outcomeSuperseded = "superseded"
	// maxRejectedBytes and rejectedBodyTimeout limit the read of the body of a
	// rejection, for which the next attempt waits.
	maxRejectedBytes    = 64 << 10
	rejectedBodyTimeout = 50 * time.Millisecond
	// maxResetCheck is how long an attempt waits for whether its backend server has outlived a
	// reset.
	maxResetCheck = 400 * time.Millisecond
)

type (
	// attempt is one exchange of a request with a backend server. Unless said otherwise, its
	// fields are used by the goroutine of run, and by that of the request after the end.
	attempt struct {
		*request
		ctx    context.Context
		cancel context.CancelCauseFunc
		// number is that of the attempt, from 1; those that were not sent don't count.
		number int
		// beside is the attempt at a silent backend server beside which this one was started;
		// nil for none.
		beside *attempt
		// waits is set if the attempt may wait for a place.
		waits bool
		// exclude holds the backend servers that this attempt must not use.
		exclude []mulberryspool.InstanceID
		// resumed is set if the attempt continues a stream. Then, the response must have the
		// status wantStatus and come from the version, 0 for any.
		resumed    bool
		wantStatus int
		version    int64
		// lastEventID is the ID of the last event that was received, by this or an earlier
		// attempt.
		lastEventID string

		admission quarantine.Decision
		decision  placement.Decision
		queueTime time.Duration
		conn      *httpconn.Conn
		exchange  *promptguard.Exchange
		startedAt time.Time
		// sentAt is when the request was sent, after its connection was opened.
		sentAt time.Time
		// receivedAt is when the backend server last sent a part of the response.
		receivedAt time.Time
		// promptRead is set once the backend server has read the prompt, which
		// the first event or a complete response shows.
		promptRead bool
		start      startDeadline
		// silent is set while the backend server has sent nothing for a while.
		silent bool
		// posted is set once events, comments or parts were passed to the request.
		posted bool
		// complete is set once the response was read to its end, so that the
		// connection may be reused.
		complete bool

		// response is the head of the response; nil if there was none. isStream is set if
		// events follow.
		response *httpconn.Answer
		isStream bool
		// buffered is the complete response, unless it was passed on as it arrived.
		buffered *bufferedResponse
		// bodies holds the bodies in memory.
		bodies []*bodybudget.Body
		result attemptResult
		// serverError is a 5xx response.
		serverError *bufferedResponse
		err         error
		// panicked is set if a panic has ended the attempt.
		panicked bool

		// Used by the request's goroutine: superseded is set once another attempt
		// has replaced it. sentTo is the backend server of a second attempt, empty before sentToAt.
		// held holds comments that are passed on with the next event.
		superseded bool
		sentTo     mulberryspool.InstanceID
		sentToAt   time.Time
		held       []byte
	}
)

// transfer sends the request and handles the response.
func (a *attempt) transfer() (attemptResult, placement.Outcome) {
	a.sentAt = a.handler.Clock.Now()
	if err := a.conn.Send(a.requestBytes(a.outgoingHead()), a.body, a.deadline); err != nil {
		a.err = err
		a.logFailed("notSent")
		if errors.Is(err, httpconn.ErrNotSent) {
			return resultNotSent, a.attributeOutcome(placement.Broken)
		}
		a.recordBroken(err)
		return resultUnknown, a.attributeOutcome(placement.Broken)
	}
	defer a.handler.Scheduler.OnGraceChange(a.renewStartDeadline)()
	a.conn.OnReadTimeout = a.outlastSilence
	defer func() { a.conn.OnReadTimeout = nil }()
	if err := a.setStartDeadline(a.nextSilence()); err != nil {
		return a.handleLost(err)
	}
	response, err := a.conn.Receive(a.incoming.Method, a.head.ID)
	if err != nil {
		return a.handleLost(err)
	}
	defer response.Body.Close()
	a.response, a.isStream = response, isEventStream(response)
	a.recordReceived(a.handler.Clock.Now())
	a.recordAnnouncements(response)
	switch {
	case response.Head.NotRun:
		return a.handleRejected(response)
	case response.StatusCode < http.StatusMultipleChoices && !response.Head.Signed:
		a.err = errors.Newf("response with status %d has no signature", response.StatusCode)
		a.logFailed("unsigned")
		return resultUnknown, a.attributeOutcome(placement.Broken)
	case a.resumed && (response.StatusCode != a.wantStatus || !a.isStream):
		a.err = errors.Newf("resumed stream got status %d instead of events", response.StatusCode)
		a.logFailed("notResumed")
		return resultUnknown, a.attributeOutcome(placement.Failed)
	case a.resumed && a.isOtherVersion(response.Head.Version):
		return a.handleOtherVersion(response.Head.Version)
	case response.StatusCode < http.StatusMultipleChoices && a.isStream:
		return a.relayEvents(response)
	}
	return a.bufferResponse(response)
}

// isOtherVersion reports whether a part of a resumed stream with the version, 0 if it names
// none, does not continue the earlier parts.
func (a *attempt) isOtherVersion(version int64) bool {
	return version != 0 && a.version != 0 && version != a.version
}

func (a *attempt) handleOtherVersion(version int64) (attemptResult, placement.Outcome) {
	a.err = errors.Newf("resumed stream got version %d instead of %d", version, a.version)
	a.logFailed("notResumed")
	return resultUnknown, a.attributeOutcome(placement.Failed)
}

// recordReceived records that the backend server has sent something.
func (a *attempt) recordReceived(now time.Time) {
	a.receivedAt = now
	a.decision.Activity.Heard(now)
}

// outgoingHead returns the values of the headers that the entry adds to the
// request.
func (a *attempt) outgoingHead() mulberryspool.OutgoingHead {
	out := mulberryspool.OutgoingHead{
		Instance: a.decision.Server.Instance, Remaining: a.handler.Clock.Until(a.deadline), Version: a.decision.Version,
		// Priority 0 is reserved for requests that are sent again.
		Priority: 1 + a.priority(),
	}
	out.Workspace = a.workspaceName()
	if len(a.exclude) > 0 {
		out.Priority = 0
	}
	if a.resumed {
		out.LastEvent = a.lastEventID
	}
	return out
}

// handleRejected handles a response that states that the backend server did not
// run the request.
func (a *attempt) handleRejected(response *httpconn.Answer) (attemptResult, placement.Outcome) {
	a.err = errors.Newf("backend server rejected the request with status %d without running it", response.StatusCode)
	// The body is not needed; it is read so that the connection can be reused.
	a.conn.OnReadTimeout = nil
	err := a.setReadDeadline(a.handler.Clock.Now().Add(rejectedBodyTimeout))
	var read int64
	if err == nil {
		read, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxRejectedBytes))
	}
	a.complete = err == nil && read < maxRejectedBytes
	outcome := placement.Full
	switch {
	case read == maxRejectedBytes:
		a.err = errors.Wrapf(a.err, "body has more than %d bytes", maxRejectedBytes)
		outcome = placement.Broken
	case response.StatusCode == http.StatusMisdirectedRequest:
		outcome = placement.Misdirected
	}
	a.logFailed("turnedAway" + strconv.Itoa(response.StatusCode))
	return resultNotRun, outcome
}

// isWithdrawn reports whether the attempt was cancelled because its prompt is rejected.
func (a *attempt) isWithdrawn() bool { return errors.Is(context.Cause(a.ctx), errPromptRejected) }

// isSuperseded reports whether the attempt was cancelled for another one.
func (a *attempt) isSuperseded() bool { return errors.Is(context.Cause(a.ctx), errSuperseded) }

// cause returns the error of a read, or why the attempt was ended here.
func (a *attempt) cause(err error) error {
	if a.isSuperseded() || a.isWithdrawn() {
		return context.Cause(a.ctx)
	}
	return err
}

// lostCode returns the outcome of an attempt whose response did not become complete.
func (a *attempt) lostCode(err error, code string) string {
	switch {
	case errors.Is(err, httpconn.ErrInvalidAnswer):
		return "invalid"
	case a.isWithdrawn():
		return codePromptRejected
	case a.isSuperseded():
		return outcomeSuperseded
	case a.isOutdated(err):
		return outcomeOutdated
	}
	return code
}

// handleLost handles an exchange that broke before the response was complete, or
// in which the backend server sent bytes that are no response.
func (a *attempt) handleLost(err error) (attemptResult, placement.Outcome) {
	a.err = a.cause(err)
	a.recordBroken(err)
	a.logFailed(a.lostCode(err, "lost"))
	return resultUnknown, a.attributeOutcome(a.failureOutcome(err))
}

// recordBroken reports to the prompt guard an exchange whose connection the backend
// server broke, or that was ended here. It ignores bytes that are no response. A reset that
// the server has outlived counts only if other exchanges show that the server has crashed.
func (a *attempt) recordBroken(err error) {
	outlived := a.mayBeResetAtLimit(err) && a.serverOutlivedReset()
	switch {
	case a.ctx.Err() != nil || isTimeout(err) || outlived:
		a.exchange.Abandoned()
	case errors.Is(err, httpconn.ErrAnswerLost) || errors.Is(err, io.ErrUnexpectedEOF):
		a.exchange.Broken()
	}
}

// mayBeResetAtLimit reports whether the exchange ended as those do whose connections are beyond
// the limit of the backend server: new ones are reset before any response.
func (a *attempt) mayBeResetAtLimit(err error) bool {
	_, opened := a.conn.OpenTook()
	return len(a.promptParts) > 0 && opened && a.response == nil && a.ctx.Err() == nil &&
		(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// serverOutlivedReset reports whether the backend server is known to answer or to accept
// connections since the connection was reset. A process that has crashed refuses them.
func (a *attempt) serverOutlivedReset() bool {
	until := a.handler.Clock.Now().Add(maxResetCheck)
	if a.deadline.Before(until) {
		until = a.deadline
	}
	ctx, cancel := clockwork.WithDeadline(a.ctx, a.handler.Clock, until)
	defer cancel()
	err := a.handler.Liveness.Check(ctx, targetOf(a.decision))
	outlived := err == nil || errors.Is(err, liveness.ErrClosed)
	if outlived {
		a.handler.count("connection_resets_outlived", a.route.Name, a.pool.Name, "")
	}
	return outlived
}

// failureOutcome returns what a broken exchange means for the health of the
// backend server. A timeout counts as silence only if the deadline of the
// request has not passed, because a long request alone is no sign of a fault.
func (a *attempt) failureOutcome(err error) placement.Outcome {
	if a.isOutdated(err) {
		return placement.Cancelled
	}
	if isTimeout(err) && a.handler.Clock.Until(a.deadline) > 0 {
		return placement.TimedOut
	}
	return placement.Broken
}

func isEventStream(response *httpconn.Answer) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
