package forward

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
)

// logLines is a writer of log lines.
type logLines chan string

// Write implements io.Writer.
func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// Guards against requests that a panic ends without a trace, in the goroutine of the request or
// of an attempt.
func TestPanicsAreLogged(t *testing.T) {
	for name, fail := range map[string]func(*Handler){
		"request": func(h *Handler) { h.Sampled = func(mulberryspool.RequestID) bool { panic("test") } },
		"attempt": func(h *Handler) { h.ConnPool = nil },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool {
				return writeResponse(w, r, http.StatusOK, "whole")
			})
			e := newEntry(t, b)
			lines := make(logLines, 10)
			e.handler.Logger = zerolog.New(lines)
			fail(e.handler)
			r, err := http.NewRequest(http.MethodGet, e.URL+"/read/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "h.example"
			r.Header.Set("Authorization", "Bearer key")
			response, err := http.DefaultTransport.RoundTrip(r)
			if err == nil {
				response.Body.Close()
				t.Fatalf("request is answered with status %d", response.StatusCode)
			}
			for {
				select {
				case line := <-lines:
					if strings.Contains(line, `"stack"`) {
						return
					}
				default:
					t.Fatal("no log line has the stack")
				}
			}
		})
	}
}
