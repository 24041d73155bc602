package callers

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// maxPendingLine limits the bytes of an incomplete line of a server-sent event
// that are held back. A longer line is written in parts.
const maxPendingLine = 64 << 10

// streamWriter writes one response as it is received. Server-sent events are
// written in complete lines, and the [DONE] marker only after the end of the
// response was verified, because clients take it for the end.
type streamWriter struct {
	w             http.ResponseWriter
	id            mulberryspool.RequestID
	headSent      bool
	isEventStream bool
	// pending is an incomplete line, or everything from the done marker on.
	pending        []byte
	doneMarkerSeen bool
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
	writable := s.writableBytes()
	if writable == 0 {
		return
	}
	_, _ = s.w.Write(s.pending[:writable])
	s.pending = append([]byte(nil), s.pending[writable:]...)
	s.flush()
}

// writableBytes returns the number of pending bytes that may be written:
// complete lines before the done marker.
func (s *streamWriter) writableBytes() int {
	writable := 0
	for !s.doneMarkerSeen {
		lineEnd := bytes.IndexByte(s.pending[writable:], '\n')
		if lineEnd < 0 {
			if len(s.pending)-writable > maxPendingLine {
				return len(s.pending)
			}
			return writable
		}
		if isDoneMarker(s.pending[writable : writable+lineEnd]) {
			s.doneMarkerSeen = true
			return writable
		}
		writable += lineEnd + 1
	}
	return 0
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
// with the error.
func (s *streamWriter) fail(err dispatch.Error) {
	if !s.headSent {
		writeError(s.w, s.id, err)
		return
	}
	if s.isEventStream {
		_, _ = s.w.Write([]byte("\nevent: error\ndata: "))
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
