// Package forward answers callers' requests through backend servers.
//
//	route, key, body --> flight --> desk.Place --> attempt --> relay or return
//	                       ^                          |
//	                       \------- what may be repeated, within attempts and budget
//
// A request that was sent and whose answer is lost ends as 502 or 504. Only
// one that was never sent, or of which the backend server said that it did
// not run, is refused with 503.
package forward

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/exchange"
	"github.com/mulberryspool/mulberryspool/internal/entry/desk"
)

const (
	// defaultTimeout bounds a request whose route and caller name no time.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a body when the configuration does not.
	defaultBodyBytes = 4 << 20
	// maxAnswerBytes bounds an answer that is held until it is whole; longer
	// ones are passed on as they come.
	maxAnswerBytes = 1 << 20
	// notReadyRetry is the hint while no configuration is known.
	notReadyRetry = time.Second
	// returningBelow is the share of the longest deadline seen on a route
	// below which a caller has been here before.
	returningBelow = 0.84
)

// Types of refusals in their bodies.
const (
	typeNotRun  = "notRun"
	typeUnknown = "unknown"
	typeFailed  = "failed"
)

type (
	// Handler serves callers. Set the exported fields before the first request.
	Handler struct {
		Clock   mulberryspool.Clock
		Dialect mulberryspool.Dialect
		Desk    *desk.Desk
		Pool    *exchange.Pool
		Logger  zerolog.Logger
		Metrics tally.Scope
		// Stopping is set once no new connections are wanted.
		Stopping atomic.Bool
		// Sampled says whether the lines of a request that went well are kept.
		Sampled func(mulberryspool.RequestID) bool

		mu sync.Mutex
		// longest is the longest deadline that callers of a route named.
		longest map[string]time.Duration
	}

	refusal struct {
		Error refusalBody `json:"error"`
	}

	refusalBody struct {
		Type      string                  `json:"type"`
		Code      string                  `json:"code"`
		Message   string                  `json:"message"`
		RequestID mulberryspool.RequestID `json:"requestID,omitempty"`
	}
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.Clock.Now()
	if h.Stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	head := h.Dialect.Request(r.Header)
	f := &flight{h: h, w: w, r: r, head: head, arrived: arrived}
	table := h.Desk.Table()
	if table == nil {
		f.refuse(http.StatusServiceUnavailable, typeNotRun, "notReady", notReadyRetry)
		return
	}
	f.config = table.Ingress.Version
	f.target = target(r)
	path, _, _ := strings.Cut(f.target, "?")
	f.route = table.Route(r.Host, path)
	if f.route == nil {
		f.refuse(http.StatusNotFound, typeFailed, "noRoute", 0)
		return
	}
	if table.Keyed() && !f.route.Public {
		f.workspace = table.Workspace(head.Key)
		if f.workspace == nil {
			f.refuse(http.StatusUnauthorized, typeFailed, "unknownKey", 0)
			return
		}
	}
	limit := table.Ingress.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		f.refuse(http.StatusRequestEntityTooLarge, typeFailed, "bodyTooLarge", 0)
		return
	}
	if err != nil {
		h.Logger.Info().Err(err).Str("requestID", string(head.ID)).Msg("caller left before its request was read")
		panic(http.ErrAbortHandler)
	}
	f.body = body
	f.pool = table.Pool(f.route, head.ID)
	f.returning = h.returning(f.route.Name, head.Deadline)
	f.run()
}

// target returns the path and the query as the caller wrote them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// returning says whether the caller has used up part of its time already,
// which shows that it was refused before.
func (h *Handler) returning(route string, deadline time.Duration) bool {
	if deadline <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.longest == nil {
		h.longest = make(map[string]time.Duration)
	}
	h.longest[route] = max(h.longest[route], deadline)
	return float64(deadline) < returningBelow*float64(h.longest[route])
}

func (h *Handler) count(name, route, pool, reason string) {
	h.Metrics.Tagged(map[string]string{"route": route, "pool": pool, "reason": reason}).Counter(name).Inc(1)
}

// refuse writes an answer of the entry's own.
func (f *flight) refuse(status int, kind, code string, retryAfter time.Duration) {
	f.logEnd(status, code, retryAfter)
	body, err := json.Marshal(refusal{Error: refusalBody{
		Type: kind, Code: code, Message: http.StatusText(status), RequestID: f.head.ID,
	}})
	if err != nil {
		// The fields are plain strings, so this is a programming error.
		panic(err)
	}
	header := f.w.Header()
	f.h.Dialect.Refusal(header, f.head.ID, retryAfter)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	f.w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_, _ = f.w.Write(body)
}

// requestBytes is the request as it goes to a backend server.
func (f *flight) requestBytes(d mulberryspool.Delivery) []byte {
	header := f.r.Header.Clone()
	f.h.Dialect.Outgoing(header, d)
	header.Del("Content-Length")
	header.Del("Expect")
	if len(f.body) > 0 || f.r.ContentLength >= 0 && f.r.Method != http.MethodGet && f.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(f.body)))
	}
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(f.r.Method + " " + f.target + " HTTP/1.1\r\nHost: " + f.r.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
