package callers

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// maxHeldLine bounds an unfinished line of a server-sent event that is kept
// back; a longer one is written in parts.
const maxHeldLine = 64 << 10

// streamWriter writes one answer. Of server-sent events it writes whole
// lines only, and the done marker only after the end was verified.
type streamWriter struct {
	w       http.ResponseWriter
	id      mulberryspool.RequestID
	started bool
	events  bool
	// held is an unfinished line, or everything from the done marker on.
	held []byte
	done bool
}

func (s *streamWriter) head(status int, contentType string) {
	if s.started {
		return
	}
	s.started = true
	s.events = strings.HasPrefix(contentType, eventStream)
	header := s.w.Header()
	header.Set(HeaderRequestID, string(s.id))
	setContentType(header, contentType)
	header.Set("Trailer", HeaderWeights+", "+HeaderVersion)
	if s.events {
		header.Set("Cache-Control", "no-cache")
	}
	s.w.WriteHeader(orOK(status))
	s.flush()
}

func (s *streamWriter) write(data []byte) {
	if len(data) == 0 {
		return
	}
	if !s.events {
		_, _ = s.w.Write(data)
		s.flush()
		return
	}
	s.held = append(s.held, data...)
	ready := s.whole()
	if ready == 0 {
		return
	}
	_, _ = s.w.Write(s.held[:ready])
	s.held = append([]byte(nil), s.held[ready:]...)
	s.flush()
}

// whole returns how many held bytes may be written: whole lines before the
// done marker.
func (s *streamWriter) whole() int {
	ready := 0
	for !s.done {
		line := bytes.IndexByte(s.held[ready:], '\n')
		if line < 0 {
			if len(s.held)-ready > maxHeldLine {
				return len(s.held)
			}
			return ready
		}
		if isDoneMarker(s.held[ready : ready+line]) {
			s.done = true
			return ready
		}
		ready += line + 1
	}
	return 0
}

func isDoneMarker(line []byte) bool {
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}

// end finishes a verified answer.
func (s *streamWriter) end(answer Answer) {
	s.head(answer.Status, answer.ContentType)
	_, _ = s.w.Write(s.held)
	s.w.Header().Set(HeaderWeights, string(answer.Weights))
	s.w.Header().Set(HeaderVersion, answer.Version)
}

// fail answers with the error, or breaks off an answer that has begun, in a
// way that no client takes for its end.
func (s *streamWriter) fail(err dispatch.Error) {
	if !s.started {
		writeError(s.w, s.id, err)
		return
	}
	if s.events {
		_, _ = s.w.Write([]byte("\nevent: error\ndata: "))
		_, _ = s.w.Write(errorJSON(s.id, err))
		_, _ = s.w.Write([]byte("\n\n"))
		s.flush()
	}
	panic(http.ErrAbortHandler)
}

func (s *streamWriter) flush() {
	// A writer that can't flush sends everything at the end, which is as correct.
	_ = http.NewResponseController(s.w).Flush()
}
