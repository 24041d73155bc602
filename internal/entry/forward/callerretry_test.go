package forward

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a caller that sends a refused request again at once, with another ID and nearly
// all of its time left, and is taken for one with a new request.
func TestRefusedRequestThatIsSentAgainIsRecognized(t *testing.T) {
	e := newEntry(t)
	lines := make(logLines, 10)
	e.handler.Logger = zerolog.New(lines)
	sentAt := time.Now()
	send := func(id, body string) string {
		left := 3000 - time.Since(sentAt).Milliseconds()
		response, _, _ := e.call(t, http.MethodPost, "/write/1", body, "X-Attempt-Id", id, "X-Deadline-Ms", strconv.FormatInt(left, 10))
		if response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("status %d without a server, want 503", response.StatusCode)
		}
		return <-lines
	}
	if line := send("r1", "content"); strings.Contains(line, "returning") {
		t.Errorf("the first request is taken for a retry: %s", line)
	}
	for range 2 {
		if line := send("r2", "content"); !strings.Contains(line, `"returning":true`) || !strings.Contains(line, `"returnsEarly":true`) {
			t.Errorf("the request that is sent again at once isn't recognized: %s", line)
		}
	}
	if line := send("r3", "other"); strings.Contains(line, "returning") {
		t.Errorf("a request with another content is taken for a retry: %s", line)
	}
}
