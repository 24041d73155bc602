package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool/internal/testkit/endless"
)

const (
	// maxEndlessBytes is more than the entry reads of any response that it does not
	// relay, and what the kernel buffers; an unbounded read takes far more.
	maxEndlessBytes = 12 << 20

	ownHead         = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
	foreignHead     = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n" + signatureHeader
	errorHead       = "HTTP/1.1 500 x\r\nX-Attempt-Id: r1\r\n" + signatureHeader
	clientErrorHead = "HTTP/1.1 404 x\r\nX-Attempt-Id: r1\r\n"
	refusalHead     = "HTTP/1.1 503 x\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n"
	streamHead      = ownHead + signatureHeader + "Content-Type: text/event-stream\r\n"
	chunkedHead     = "Transfer-Encoding: chunked\r\n\r\n"
	sizedHead       = "Content-Length: 1000000000000\r\n\r\n"
	// longTimeoutMillis leaves a slow machine enough time for a retry.
	longTimeoutMillis = "20000"
	// endlessChunk is a chunk of a body.
	endlessChunk = "10\r\nmmmmmmmmmmmmmmmm\r\n"
)

// newEndlessEntry returns an entry with several backend servers, which are all the
// same endless server. Each route allows two attempts.
func newEndlessEntry(t *testing.T, s *endless.Server, count int) (*entry, tally.TestScope) {
	t.Helper()
	var backends []*backend
	for i := range count {
		backends = append(backends, &backend{T: t, id: fmt.Sprintf("i-%d", i+1), address: s.Listen(t)})
	}
	e := newEntry(t, backends...)
	longer := ingress()
	longer.Version++
	for i := range longer.Routes {
		longer.Routes[i].Timeout, longer.Routes[i].Attempts = 20*time.Second, 2
	}
	e.scheduler.SetIngress(longer)
	metrics := tally.NewTestScope("", nil)
	e.handler.Metrics = metrics
	return e, metrics
}

// callLong sends a request with a long deadline.
func (e *entry) callLong(t *testing.T, method, path string) (responseHead, string, bool) {
	t.Helper()
	return e.call(t, method, path, "x", "X-Deadline-Ms", longTimeoutMillis)
}

func completeResponse(body string) string {
	return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", ownHead, signatureHeader, len(body), body)
}

// Guards against a refusal whose body has no end: the request did not run, so that
// another server gets it, also if it is not idempotent.
func TestEndlessBodyOfRefusal(t *testing.T) {
	for name, response := range map[string]endless.Response{
		"chunks":         {Head: refusalHead + chunkedHead, Unit: endlessChunk},
		"with length":    {Head: refusalHead + sizedHead, Unit: "m"},
		"without length": {Head: refusalHead + "\r\n", Unit: "m"},
		"trickling":      {Head: refusalHead + sizedHead, Unit: "m", Interval: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(response, completeResponse("ok"))
			e, _ := newEndlessEntry(t, s, 2)
			got, body, _ := e.callLong(t, http.MethodPost, "/write/1")
			if got.StatusCode != http.StatusOK || body != "ok" {
				t.Errorf("response is %d %q, want that of the other server", got.StatusCode, body)
			}
			s.AwaitClosed(t)
			if s.Requests() != 2 || s.Written() > maxEndlessBytes {
				t.Errorf("server got %d requests and sent %d bytes, want 2 and at most %d", s.Requests(), s.Written(), maxEndlessBytes)
			}
		})
	}
}

// Guards against a connection that is reused after a refusal of which a part is
// unread: its rest would be taken for the next answer.
func TestConnectionWithUnreadRefusalIsNotReused(t *testing.T) {
	s := endless.New(endless.Response{Head: refusalHead + chunkedHead, Unit: endlessChunk}, completeResponse("ok"))
	e, _ := newEndlessEntry(t, s, 1)
	if got, _, _ := e.callLong(t, http.MethodPost, "/write/1"); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Errorf("%d with Retry-After %q, want 503 with one", got.StatusCode, got.Header.Get("Retry-After"))
	}
	s.AwaitClosed(t)
	time.Sleep(400 * time.Millisecond)
	if got, body, _ := e.callLong(t, http.MethodPost, "/write/1"); got.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("response is %d %q, want 200", got.StatusCode, body)
	}
	if s.Conns() != 2 {
		t.Errorf("server got %d connections, want 2", s.Conns())
	}
}

// Guards against bytes after a complete answer that are taken for the next one, and
// against a connection that stays open while they arrive.
func TestEndlessBytesAfterAnswer(t *testing.T) {
	for name, interval := range map[string]time.Duration{"fast": 0, "trickling": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(endless.Response{Head: completeResponse("first"), Unit: "extra", Interval: interval}, completeResponse("second"))
			e, _ := newEndlessEntry(t, s, 1)
			for _, want := range []string{"first", "second"} {
				if got, body, complete := e.callLong(t, http.MethodPost, "/write/1"); got.StatusCode != http.StatusOK || body != want || !complete {
					t.Errorf("response is %d %q, complete %v, want %q", got.StatusCode, body, complete, want)
				}
				// Extra bytes that arrive after the next request was sent can't be
				// told apart before.
				s.AwaitWritten(t, int64(len(completeResponse("first")))+1)
				time.Sleep(20 * time.Millisecond)
			}
			s.AwaitClosed(t)
			if s.Conns() != 2 {
				t.Errorf("server got %d connections, want 2", s.Conns())
			}
		})
	}
}

// Guards against an idle connection that stays open while its server goes on sending,
// although no request uses it any more.
func TestIdleConnectionWithEndlessBytesIsClosed(t *testing.T) {
	s := endless.New(endless.Response{Head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nKeep-Alive: timeout=1\r\n" + signatureHeader +
		"Content-Length: 2\r\n\r\nok", Unit: "extra", Interval: 20 * time.Millisecond}, "")
	e, _ := newEndlessEntry(t, s, 1)
	if got, body, _ := e.callLong(t, http.MethodPost, "/write/1"); got.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("response is %d %q, want 200", got.StatusCode, body)
	}
	s.AwaitClosed(t)
}
