// Package forward is the HTTP reverse proxy that serves callers' requests with
// backend servers.
//
//	route, key, body --> request --> attempt: prompt guard --> placement --> backend server
//	                        ^   <-- events, parts, silence, end --/
//	                        \--> response or stream to the caller; retry within attempts and budget
//
// A backend server that sends nothing for a while may be dead or slow, which can't be told
// apart. Its attempt is kept, and a second one runs beside it. The first that makes progress,
// with the next event of the stream or a complete response, serves the caller.
//
// A request that was sent and whose response is lost ends with status 502 or
// 504. Status 503 is used only for requests that did not run: those that were
// never sent, and those that the backend server reported as not run.
package forward

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/backend/liveness"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/promptguard"
	"github.com/mulberryspool/mulberryspool/internal/entry/refusals"
	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
)

const (
	// defaultTimeout applies to requests for which neither the route nor the
	// caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes limits request bodies if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// maxBufferedBytes limits the responses that are buffered until they are
	// complete. Longer ones are streamed.
	maxBufferedBytes = 1 << 20
	// notReadyRetryAfter is the Retry-After hint while no configuration is known.
	notReadyRetryAfter = time.Second
	// callerRetryRatio detects callers' retries: a request counts as one if its
	// deadline is below this fraction of the longest seen on its route.
	callerRetryRatio = 0.84
)

// Error types in the bodies of error responses.
const (
	typeNotRun  = "notRun"
	typeUnknown = "unknown"
	typeFailed  = "failed"
)

type (
	// Handler is the HTTP handler for callers. Set the exported fields before
	// the first request.
	Handler struct {
		Clock       mulberryspool.Clock
		HeaderCodec mulberryspool.HeaderCodec
		Scheduler   *scheduler.Scheduler
		PromptGuard *promptguard.Guard
		ConnPool    *httpconn.Pool
		Liveness    *liveness.Checker
		Logger      zerolog.Logger
		Metrics     tally.Scope
		// GracefulStop is the time from the beginning of a planned stop until the process
		// is killed.
		GracefulStop time.Duration
		// Bodies is the memory for bodies; nil for no bound.
		Bodies *bodybudget.Budget
		// Sampled reports whether the log line of a successful request is written.
		Sampled func(mulberryspool.RequestID) bool
		// ServerLeaving is called, before the response is passed on, when one says that
		// this incarnation of a backend server leaves; may be nil.
		ServerLeaving func(instance mulberryspool.InstanceID, born int64)

		stopping stopState

		mu sync.Mutex
		// longestDeadline holds the longest deadline seen on each route.
		longestDeadline map[string]time.Duration
		refusals        refusals.Log
		// refusedBodyLoggedAt is when a refusal for want of memory, or of a body that has
		// stalled, was logged.
		refusedBodyLoggedAt time.Time
	}

	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Type      string                  `json:"type"`
		Code      string                  `json:"code"`
		Message   string                  `json:"message"`
		RequestID mulberryspool.RequestID `json:"requestID,omitempty"`
	}
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.Clock.Now()
	if h.Stopping() {
		w.Header().Set("Connection", "close")
	}
	head := h.HeaderCodec.DecodeRequest(r.Header)
	q := &request{handler: h, writer: w, incoming: r, head: head, arrivedAt: arrived}
	defer q.releaseBodies()
	defer q.abortOnPanic()
	table := h.Scheduler.Table()
	if table == nil {
		q.refuseUnread(http.StatusServiceUnavailable, typeNotRun, "notReady", notReadyRetryAfter)
		return
	}
	q.configVersion = table.Ingress.Version
	q.target = target(r)
	path, _, _ := strings.Cut(q.target, "?")
	q.route = table.Route(r.Host, path)
	if q.route == nil {
		q.refuseUnread(http.StatusNotFound, typeFailed, "noRoute", 0)
		return
	}
	if table.RequiresKey() && !q.route.Public {
		q.workspace = table.Workspace(head.Key)
		if q.workspace == nil {
			q.refuseUnread(http.StatusUnauthorized, typeFailed, "unknownKey", 0)
			return
		}
	}
	q.scope = scheduler.Scope{Host: r.Host, Path: path, Key: head.Key, Route: q.route, Workspace: q.workspace}
	limit := table.Ingress.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	q.pool = table.Pool(q.route, head.ID)
	ctx, cancel := q.context()
	defer cancel()
	if !q.readBody(ctx, limit) {
		return
	}
	q.promptParts = promptguard.Parts(cmp.Or(head.Model, q.pool.Model), head.PromptParts)
	q.recognizeRetry()
	q.serve(ctx)
}

// target returns the path and the query exactly as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// isCallerRetry reports whether the caller has already used up a part of its
// deadline, which shows that it retries a request that was refused before.
func (h *Handler) isCallerRetry(route string, deadline time.Duration) bool {
	if deadline <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.longestDeadline == nil {
		h.longestDeadline = make(map[string]time.Duration)
	}
	h.longestDeadline[route] = max(h.longestDeadline[route], deadline)
	return float64(deadline) < callerRetryRatio*float64(h.longestDeadline[route])
}

func (h *Handler) count(name, route, pool, reason string) {
	h.Metrics.Tagged(map[string]string{"route": route, "pool": pool, "reason": reason}).Counter(name).Inc(1)
}

// writeError responds with an error of the entry itself.
func (q *request) writeError(status int, kind, code string, retryAfter time.Duration) {
	q.logEnd(status, code, retryAfter)
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Type: kind, Code: code, Message: http.StatusText(status), RequestID: q.head.ID,
	}})
	if err != nil {
		// The fields are plain strings, so this is a programming error.
		panic(err)
	}
	header := q.writer.Header()
	q.handler.HeaderCodec.SetRefusal(header, q.head.ID, retryAfter)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	q.writer.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = q.writer.Write(body)
}

// requestBytes returns the request line and headers as sent to a backend server.
func (q *request) requestBytes(out mulberryspool.OutgoingHead) []byte {
	header := q.incoming.Header.Clone()
	q.handler.HeaderCodec.PrepareRequest(header, out)
	header.Del("Content-Length")
	header.Del("Expect")
	if len(q.body) > 0 || q.incoming.ContentLength >= 0 && q.incoming.Method != http.MethodGet && q.incoming.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(q.body)))
	}
	return httpconn.Head(q.incoming.Method, q.target, q.incoming.Host, header)
}
