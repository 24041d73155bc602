package callers

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// maxPendingEvent limits the bytes of an incomplete server-sent event that are held
// back. A longer event is written in parts.
const maxPendingEvent = 64 << 10

// streamWriter writes one response as it is received. Server-sent events are
// written when they are complete, and the [DONE] marker only after the end of the
// response was verified, because clients take it for the end.
type streamWriter struct {
	w             http.ResponseWriter
	id            mulberryspool.RequestID
	headSent      bool
	isEventStream bool
	// pending is an incomplete event, or everything from the event with the done
	// marker on.
	pending        []byte
	doneMarkerSeen bool
	// insideEvent and insideLine are set while only a part of an event, or of a
	// line, is written.
	insideEvent, insideLine bool
}

func (s *streamWriter) writeHead(status int, contentType string) {
	if s.headSent {
		return
	}
	s.headSent = true
	s.isEventStream = strings.HasPrefix(contentType, eventStream)
	header := s.w.Header()
	header.Set(HeaderRequestID, string(s.id))
	setContentType(header, contentType)
	header.Set("Trailer", HeaderWeightsDigest+", "+HeaderModelVersion)
	if s.isEventStream {
		header.Set("Cache-Control", "no-cache")
	}
	s.w.WriteHeader(statusOrOK(status))
	s.flush()
}

func (s *streamWriter) write(data []byte) {
	if len(data) == 0 {
		return
	}
	if !s.isEventStream {
		_, _ = s.w.Write(data)
		s.flush()
		return
	}
	s.pending = append(s.pending, data...)
	wrote := false
	for writable := s.takeWritable(); len(writable) > 0; writable = s.takeWritable() {
		_, _ = s.w.Write(writable)
		wrote = true
	}
	if wrote {
		s.flush()
	}
}

// takeWritable removes from pending what may be written, and returns it: complete
// events before the one with the done marker, else a part of an event that is longer
// than maxPendingEvent.
func (s *streamWriter) takeWritable() []byte {
	events, lines := 0, 0
	for !s.doneMarkerSeen {
		length := bytes.IndexByte(s.pending[lines:], '\n')
		if length < 0 {
			break
		}
		line, isRest := s.pending[lines:lines+length], lines == 0 && s.insideLine
		if !isRest && isDoneMarker(line) {
			s.doneMarkerSeen = true
			break
		}
		lines += length + 1
		if !isRest && len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			events = lines
		}
	}
	switch {
	case events > 0:
		s.insideEvent, s.insideLine = false, false
		return s.take(events)
	case s.doneMarkerSeen || len(s.pending) <= maxPendingEvent:
		return nil
	case lines > 0:
		s.insideEvent, s.insideLine = true, false
		return s.take(lines)
	}
	s.insideEvent, s.insideLine = true, true
	return s.take(len(s.pending))
}

// take removes the first n bytes from pending and returns them.
func (s *streamWriter) take(n int) []byte {
	taken := s.pending[:n]
	s.pending = append([]byte(nil), s.pending[n:]...)
	return taken
}

func isDoneMarker(line []byte) bool {
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}

// finish completes a verified response.
func (s *streamWriter) finish(response Response) {
	s.writeHead(response.Status, response.ContentType)
	_, _ = s.w.Write(s.pending)
	s.w.Header().Set(HeaderWeightsDigest, string(response.Weights))
	s.w.Header().Set(HeaderModelVersion, response.Version)
}

// fail responds with the error. A response that has begun is aborted instead, so
// that no client takes it for complete; an event stream first gets a last event
// with the error, unless that would complete an event that broke off.
func (s *streamWriter) fail(err dispatch.Error) {
	if !s.headSent {
		writeError(s.w, s.id, err)
		return
	}
	if s.isEventStream && !s.insideEvent {
		_, _ = s.w.Write([]byte("event: error\ndata: "))
		_, _ = s.w.Write(errorJSON(s.id, err))
		_, _ = s.w.Write([]byte("\n\n"))
		s.flush()
	}
	panic(http.ErrAbortHandler)
}

func (s *streamWriter) flush() {
	// Without support for flushing, everything is sent at the end, which is
	// correct too.
	_ = http.NewResponseController(s.w).Flush()
}
