package forward

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
)

type (
	// stream is the state of an event stream that is being sent to the caller.
	stream struct {
		status int
		// source is the attempt that received the last event or comment.
		source *attempt
		// lastEventID is the ID of the last event that was sent to the caller.
		lastEventID string
		// version is the version that generated the last event sent to the caller; 0
		// before the first one. A resumed stream continues with it.
		version      int64
		eventCount   int
		firstEventAt time.Time
		lastEventAt  time.Time
		// longestGap is the longest time between two events.
		longestGap time.Duration
		// resumeCount is the number of attempts that have resumed the stream.
		resumeCount int
	}

	// event is what is known of an event or a comment of a stream.
	event struct {
		comment bool
		// id is empty and version 0 if the event has none.
		id         string
		version    int64
		receivedAt time.Time
	}
)

// relayEvent sends an event to the caller. It ends an attempt beside the one that received
// it. A comment proves nothing: beside another attempt, only that of the stream's last
// source is sent at once.
func (q *request) relayEvent(m message) {
	a := m.attempt
	if a.superseded {
		return
	}
	if m.event.comment && len(q.running) > 1 && (q.stream == nil || q.stream.source != a) {
		a.held = append(a.held, m.data...)
		return
	}
	if !m.event.comment {
		q.supersedeOthers(a)
	}
	if err := q.writeEvent(m); err != nil {
		q.lastError = err
		q.abort()
	}
}

// writeEvent sends an event or a comment to the caller. The first one is preceded
// by the response headers.
func (q *request) writeEvent(m message) error {
	q.beginStream(m.attempt, m.response)
	if !m.event.comment {
		if q.stream.eventCount == 0 {
			q.stream.version = cmp.Or(m.response.Head.Version, m.attempt.decision.Version)
		}
		q.stream.recordEvent(m.event)
	}
	data := m.data
	if held := m.attempt.held; len(held) > 0 {
		data, m.attempt.held = append(held, data...), nil
	}
	if _, err := q.writer.Write(data); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(http.NewResponseController(q.writer).Flush(), "flush event")
}

// beginStream sends the response headers of a stream, unless they were sent before.
func (q *request) beginStream(a *attempt, response *httpconn.Answer) {
	if q.stream == nil {
		q.stream = &stream{status: response.StatusCode, lastEventID: q.head.LastEvent}
		q.lastDecision, q.queueTime = a.decision, a.queueTime
		q.handler.HeaderCodec.RemoveHopHeaders(response.Header)
		copyHeader(q.writer.Header(), response.Header)
		q.writer.Header().Del("Content-Length")
		q.writer.WriteHeader(response.StatusCode)
	}
	if q.stream.source != a && a.resumed {
		q.stream.resumeCount++
	}
	q.stream.source = a
}

// recordEvent records an event that is sent to the caller.
func (s *stream) recordEvent(e event) {
	s.lastEventID = cmp.Or(e.id, s.lastEventID)
	s.version = cmp.Or(e.version, s.version)
	if s.eventCount == 0 {
		s.firstEventAt = e.receivedAt
	} else {
		s.longestGap = max(s.longestGap, e.receivedAt.Sub(s.lastEventAt))
	}
	s.eventCount++
	s.lastEventAt = e.receivedAt
}

// finishStream ends a stream after its last event. One without events is a complete response.
func (q *request) finishStream(a *attempt) {
	q.answered = true
	if q.stream == nil && len(a.held) == 0 {
		q.writeResponse(&bufferedResponse{status: a.response.StatusCode, header: a.response.Header}, "answered")
		return
	}
	if len(a.held) > 0 {
		q.beginStream(a, a.response)
		// A write error means that the caller has disconnected.
		_, _ = q.writer.Write(a.held)
	}
	q.logEnd(q.stream.status, "answered", 0)
}

// relayPart sends a part of a long response to the caller.
func (q *request) relayPart(m message) {
	if m.attempt.superseded {
		return
	}
	if !q.relaying {
		q.relaying = true
		q.supersedeOthers(m.attempt)
		q.lastDecision, q.queueTime = m.attempt.decision, m.attempt.queueTime
		q.handler.HeaderCodec.RemoveHopHeaders(m.response.Header)
		copyHeader(q.writer.Header(), m.response.Header)
		q.writer.WriteHeader(m.response.StatusCode)
	}
	if _, err := q.writer.Write(m.data); err != nil {
		q.lastError = errors.Wrap(err, "write part of the response")
		q.abort()
	}
}

// writeResponse writes a complete response of a backend server to the caller,
// unchanged.
func (q *request) writeResponse(response *bufferedResponse, code string) {
	q.logEnd(response.status, code, 0)
	q.handler.HeaderCodec.RemoveHopHeaders(response.header)
	header := q.writer.Header()
	copyHeader(header, response.header)
	if q.incoming.Method != http.MethodHead && response.status != http.StatusNoContent && response.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	q.writer.WriteHeader(response.status)
	// A write error means that the caller has disconnected.
	_, _ = q.writer.Write(response.body)
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	if _, ok := src["Content-Type"]; !ok {
		// Keeps net/http from detecting a content type.
		dst["Content-Type"] = nil
	}
}
