package forward

import (
	"cmp"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
)

const (
	// maxLoggedStack limits the bytes of a stack in a log line.
	maxLoggedStack = 2 << 10
	// maxLoggedParts limits the parts of a prompt in a log line.
	maxLoggedParts = 8
	// loggedStartWindow is the last part of a version's grace in which each start of
	// a response on the older version is logged.
	loggedStartWindow = 250 * time.Millisecond
	// refusedBodyLogInterval is the minimum interval between two lines of requests that are
	// refused for want of memory, or because their bodies have stalled.
	refusedBodyLogInterval = 100 * time.Millisecond
)

// logEnd records the metrics and writes the log line of a request that has
// ended. The lines of requests that succeeded without a failed attempt are
// sampled, and those of requests refused for their bodies limited.
func (q *request) logEnd(status int, code string, retryAfter time.Duration) {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	q.handler.count("requests", route, q.pool.Name, code)
	took := q.handler.Clock.Since(q.arrivedAt)
	if q.stream != nil && q.stream.eventCount > 0 {
		q.handler.Metrics.Timer("first_event").Record(q.stream.firstEventAt.Sub(q.arrivedAt))
	}
	q.handler.Metrics.Timer("answer").Record(took)
	succeeded := status > 0 && status < http.StatusMultipleChoices && q.lastError == nil
	if succeeded && !q.handler.Sampled(q.head.ID) || (code == codeNoMemory || code == codeBodyStalled) && !q.handler.logsRefusedBody() {
		return
	}
	e := q.handler.Logger.Info().EmbedObject(logging.Fields{Route: route, Pool: q.pool.Name, RequestID: q.head.ID, Peer: string(q.lastDecision.Server.Instance)}).
		Int("status", status).Str("outcome", code).Dur("took", took).Int64("config", q.configVersion).Str("caller", q.incoming.RemoteAddr)
	q.addDecisionFields(e)
	if retryAfter > 0 {
		e.Dur("retryAfter", retryAfter)
	}
	if !succeeded {
		e.Strs("prompt", q.loggedPrompt())
	}
	e.Msg("request ended")
}

// abortOnPanic aborts a request that a panic ends, and records it unless it is an abort.
func (q *request) abortOnPanic() {
	if cause := recover(); cause != nil {
		q.recordPanic(cause)
		panic(http.ErrAbortHandler)
	}
}

// recordPanic records the metric and writes the log line of a panic that is not an abort.
func (q *request) recordPanic(cause any) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		return
	}
	q.handler.Metrics.Counter("panics").Inc(1)
	stack := debug.Stack()
	q.handler.Logger.Error().Str("requestID", string(q.head.ID)).Str("cause", fmt.Sprintf("%.200v", cause)).
		Bytes("stack", stack[:min(len(stack), maxLoggedStack)]).Msg("request was ended by a panic")
}

// logsRefusedBody reports whether the next refusal for want of memory, or of a body that has
// stalled, is logged.
func (h *Handler) logsRefusedBody() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if now.Sub(h.refusedBodyLoggedAt) < refusedBodyLogInterval {
		return false
	}
	h.refusedBodyLoggedAt = now
	return true
}

// addDecisionFields adds the data behind the decisions on the request.
func (q *request) addDecisionFields(e *zerolog.Event) {
	if q.head.Deadline > 0 {
		e.Dur("callerWaits", q.head.Deadline)
	}
	if q.callerRetry {
		e.Bool("returning", true)
	}
	if q.earlyRetry {
		e.Bool("returnsEarly", true)
	}
	if q.lastDecision.Capacity > 0 {
		e.Int("inFlight", q.lastDecision.InFlight).Int("places", q.lastDecision.Capacity).Int("unread", q.lastDecision.PendingPromptTokens).Dur("waited", q.queueTime)
	}
	if q.lastDecision.Version > 0 {
		e.Int64("version", q.lastDecision.Version)
	}
	if len(q.tried) > 0 {
		e.Int("sent", len(q.tried))
	}
	if q.stream != nil {
		e.Int("events", q.stream.eventCount).Dur("longestGap", q.stream.longestGap).Int("resumed", q.stream.resumeCount)
	}
	if q.stream != nil && q.stream.eventCount > 0 {
		e.Dur("firstEvent", q.stream.firstEventAt.Sub(q.arrivedAt))
	}
	if q.incoming.ContentLength > 0 {
		e.Int64("bodyBytes", q.incoming.ContentLength)
	}
	if q.incoming.ContentLength != 0 && !q.bodyRead {
		e.Bool("unreadBody", true)
	}
	if q.lastError != nil {
		e.AnErr("cause", q.lastError)
	}
}

// logFailed records the metric and writes the log line of an attempt that failed or was
// rejected.
func (a *attempt) logFailed(code string) {
	a.handler.count("attempts", a.route.Name, a.pool.Name, code)
	a.handler.Logger.Info().EmbedObject(logging.Fields{Route: a.route.Name, Pool: a.pool.Name, RequestID: a.head.ID, Peer: string(a.decision.Server.Instance)}).
		Str("outcome", code).Int("attempt", a.number).Bool("beside", a.beside != nil).Dur("took", a.handler.Clock.Since(a.startedAt)).
		Dur("sinceByte", a.handler.Clock.Since(later(a.startedAt, a.receivedAt))).Int64("born", a.decision.Server.Born).Strs("prompt", a.loggedPrompt()).
		Int("inFlight", a.decision.InFlight).Int64("version", a.decision.Version).AnErr("cause", a.err).Msg("attempt at backend server failed")
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// loggedPrompt returns the IDs of the first parts of the prompt.
func (q *request) loggedPrompt() []string {
	return q.head.PromptParts[:min(len(q.head.PromptParts), maxLoggedParts)]
}

// logOutdatedStart records the metric and writes the log line of a response that
// began on an older version after the grace of a newer named one. One that began
// shortly before its end is logged too, because the grace itself may end late.
func (a *attempt) logOutdatedStart(response *httpconn.Answer, startedAt time.Time) {
	version := cmp.Or(response.Head.Version, a.decision.Version)
	if version == 0 {
		return
	}
	newer, since := a.handler.Scheduler.FirstNewerVersion(a.pool.Name, version)
	left := since.Add(a.handler.Scheduler.Placement.VersionGrace).Sub(startedAt)
	if newer == 0 || left > loggedStartWindow {
		return
	}
	level, message := zerolog.InfoLevel, "response began on an older version shortly before the bound of a newer one"
	if left < 0 {
		level, message = zerolog.WarnLevel, "response began on an older version after the bound of a newer one"
		a.handler.count("outdated_starts", a.route.Name, a.pool.Name, strconv.FormatInt(version, 10))
	}
	e := a.handler.Logger.WithLevel(level).EmbedObject(logging.Fields{Route: a.route.Name, Pool: a.pool.Name, RequestID: a.head.ID, Peer: string(a.decision.Server.Instance)}).
		Int64("version", version).Int64("newer", newer).Dur("newerAge", startedAt.Sub(since)).Dur("newerAgeWhenSent", a.sentAt.Sub(since)).
		Int("inFlight", a.decision.InFlight).Int("places", a.decision.Capacity).Int("unread", a.decision.PendingPromptTokens)
	if by := a.decision.StartBy; !by.IsZero() {
		e.Dur("leftWhenPlaced", by.Sub(a.startedAt))
	}
	e.Msg(message)
}
