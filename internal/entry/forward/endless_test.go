package forward

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
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

// nonAnswers are the endless responses that show by their bytes that they are no
// answer to the request.
var nonAnswers = map[string]endless.Response{
	"garbage":                     {Head: "garbage", Unit: "g"},
	"status line":                 {Head: "HTTP/1.1 200 ", Unit: "O"},
	"header line":                 {Head: ownHead + "X-Long: ", Unit: "v"},
	"header lines":                {Head: ownHead, Unit: "X-Many: v\r\n"},
	"informational answers":       {Unit: "HTTP/1.1 103 x\r\nLink: l\r\n\r\n"},
	"informational header lines":  {Head: "HTTP/1.1 103 x\r\n", Unit: "X-Many: v\r\n"},
	"unsigned chunks":             {Head: ownHead + chunkedHead, Unit: endlessChunk},
	"unsigned with length":        {Head: ownHead + sizedHead, Unit: "m"},
	"unsigned without length":     {Head: ownHead + "\r\n", Unit: "m"},
	"foreign chunks":              {Head: foreignHead + chunkedHead, Unit: endlessChunk},
	"foreign with length":         {Head: foreignHead + sizedHead, Unit: "m"},
	"foreign without length":      {Head: foreignHead + "\r\n", Unit: "m"},
	"foreign answers":             {Unit: foreignHead + "Content-Length: 2\r\n\r\nok"},
	"chunk size":                  {Head: ownHead + signatureHeader + chunkedHead, Unit: "0"},
	"chunk extension":             {Head: ownHead + signatureHeader + chunkedHead + "2;", Unit: "e"},
	"chunk extensions":            {Head: ownHead + signatureHeader + chunkedHead, Unit: "1;" + strings.Repeat("e", 1000) + "\r\nm\r\n"},
	"trailers":                    {Head: ownHead + signatureHeader + chunkedHead + "2\r\nok\r\n0\r\n", Unit: "X-Many: v\r\n"},
	"server error chunks":         {Head: errorHead + chunkedHead, Unit: endlessChunk},
	"server error with length":    {Head: errorHead + sizedHead, Unit: "m"},
	"client error chunks":         {Head: clientErrorHead + chunkedHead, Unit: endlessChunk},
	"server error without length": {Head: errorHead + "\r\n", Unit: "m"},
	// Each is followed by what would be a response if the first one were skipped.
	"status 000":            {Head: statusHead("000") + "\r\n" + completeResponse("mm"), Unit: "m"},
	"status 000 with body":  {Head: statusHead("000") + "Content-Length: 1000\r\n\r\n" + completeResponse("mm"), Unit: "m"},
	"status 101":            {Head: statusHead("101") + "\r\n" + completeResponse("mm"), Unit: "m"},
	"status 600":            {Head: statusHead("600") + sizedHead, Unit: "m"},
	"status 999 and a body": {Head: statusHead("999") + "Content-Length: 2\r\n\r\nmm", Unit: "m"},
}

// statusHead is the head of a signed response with a status, without its empty line.
func statusHead(status string) string {
	return "HTTP/1.1 " + status + " x\r\nX-Attempt-Id: r1\r\n" + signatureHeader
}

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

// attemptOutcomes returns how often the attempts ended with each outcome.
func attemptOutcomes(metrics tally.TestScope) map[string]int64 {
	counts := make(map[string]int64)
	for _, c := range metrics.Snapshot().Counters() {
		if c.Name() == "attempts" {
			counts[c.Tags()["reason"]] += c.Value()
		}
	}
	return counts
}

// Guards against a non-idempotent request that waits for its deadline, fills the
// memory, is repeated or is refused as not run while its server sends bytes without end
// that are no answer.
func TestEndlessNonAnswerIsCutOff(t *testing.T) {
	for name, response := range nonAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(response, "")
			e, metrics := newEndlessEntry(t, s, 2)
			got, body, complete := e.callLong(t, http.MethodPost, "/write/1")
			// 504 would mean that the entry has read until the deadline.
			if got.StatusCode != http.StatusBadGateway || !complete {
				t.Errorf("status is %d, complete %v, want 502", got.StatusCode, complete)
			}
			if strings.Contains(body, "mm") || got.Header.Get("X-Response-Signature") != "" {
				t.Errorf("response %v with %d bytes has parts of the endless one", got.Header, len(body))
			}
			s.AwaitClosed(t)
			if s.Requests() != 1 || s.Written() > maxEndlessBytes {
				t.Errorf("server got %d requests and sent %d bytes, want 1 and at most %d", s.Requests(), s.Written(), maxEndlessBytes)
			}
			if n := attemptOutcomes(metrics); n["invalid"]+n["unsigned"] != 1 {
				t.Errorf("attempts are %v, want one invalid or unsigned", n)
			}
		})
	}
}

// Guards against an idempotent request that fails although another server has its
// answer, or whose retry waits until an endless response is read.
func TestEndlessNonAnswerIsRetriedOnAnotherServer(t *testing.T) {
	for name, response := range nonAnswers {
		for speed, interval := range map[string]time.Duration{"fast": 0, "trickling": 20 * time.Millisecond} {
			response.Interval = interval
			current := response
			t.Run(name+" "+speed, func(t *testing.T) {
				t.Parallel()
				s := endless.New(current, completeResponse("ok"))
				e, _ := newEndlessEntry(t, s, 2)
				got, body, _ := e.callLong(t, http.MethodGet, "/read/1")
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
}

// Guards against a non-idempotent request that outlives its deadline, or is refused
// as not run, while bytes trickle in.
func TestTricklingNonAnswerEndsAtDeadline(t *testing.T) {
	for name, response := range nonAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			response.Interval = 20 * time.Millisecond
			s := endless.New(response, "")
			e, _ := newEndlessEntry(t, s, 2)
			got, _, complete := e.call(t, http.MethodPost, "/write/1", "x", "X-Deadline-Ms", "400")
			if got.StatusCode != http.StatusBadGateway && got.StatusCode != http.StatusGatewayTimeout || !complete {
				t.Errorf("status is %d, complete %v, want 502 or 504", got.StatusCode, complete)
			}
			s.AwaitClosed(t)
			if s.Requests() != 1 {
				t.Errorf("server got %d requests, want 1", s.Requests())
			}
		})
	}
}

// Guards against a server that sends endless non-answers and is still chosen
// as often as one that serves.
func TestServerWithEndlessNonAnswersIsAvoided(t *testing.T) {
	s := endless.New(nonAnswers["garbage"], "")
	good := newBackend(t, "i-good", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, 200, "ok") })
	e := newEntry(t, &backend{T: t, id: "i-bad", address: s.Listen(t)}, good)
	for range 30 {
		if got, _, _ := e.callLong(t, http.MethodGet, "/read/1"); got.StatusCode != http.StatusOK {
			t.Fatalf("status is %d, want 200 from the other server", got.StatusCode)
		}
	}
	if n := s.Requests(); n > 10 {
		t.Errorf("faulty server got %d of 30 requests", n)
	}
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

// Guards against an endless body that looks complete to the caller or outlives the
// deadline: a signed answer may be long, so that its end shows first.
func TestEndlessSignedBodyIsAborted(t *testing.T) {
	for name, head := range map[string]string{"chunks": chunkedHead, "without length": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(endless.Response{Head: ownHead + signatureHeader + head, Unit: endlessChunk}, "")
			e, _ := newEndlessEntry(t, s, 2)
			got, _, complete := e.call(t, http.MethodPost, "/write/1", "x", "X-Deadline-Ms", "500")
			// The entry's own answer, if the deadline passes before the server's begins.
			if complete && got.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("response %d looks complete", got.StatusCode)
			}
			s.AwaitClosed(t)
		})
	}
}

// Guards against a long answer that is cut off.
func TestLongAnswerIsRelayedCompletely(t *testing.T) {
	const size = 5 << 20
	b := newBackend(t, "i-1", func(w *bufio.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = fmt.Fprintf(w, "%s%sContent-Length: %d\r\n\r\n%s", ownHead, signatureHeader, size, strings.Repeat("m", size))
			return true
		}
		_, _ = fmt.Fprintf(w, "%s%s%s%x\r\n%s\r\n0\r\n\r\n", ownHead, signatureHeader, chunkedHead, size, strings.Repeat("m", size))
		return true
	})
	e := newEntry(t, b)
	for range 2 {
		got, body, complete := e.callLong(t, http.MethodPost, "/write/1")
		if got.StatusCode != http.StatusOK || len(body) != size || !complete {
			t.Errorf("response is %d with %d bytes, complete %v, want 200 with %d", got.StatusCode, len(body), complete, size)
		}
	}
	if b.conns != 1 {
		t.Errorf("server got %d connections, want 1", b.conns)
	}
}

// Guards against a stream that waits for its deadline, or ends as if it were complete,
// while its server sends endless bytes that are no event.
func TestEndlessNonEventsAreResumed(t *testing.T) {
	const event1 = "id: 1\ndata: e1\n\n"
	resumed := "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n" + signatureHeader + "Content-Type: text/event-stream\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(eventStreamBody(2, 3)), eventStreamBody(2, 3))
	for name, unit := range map[string]string{
		"line":       "m",
		"lines":      "data: m\n",
		"comments":   ": m\n\n",
		"old events": event1,
	} {
		for speed, interval := range map[string]time.Duration{"fast": 0, "trickling": 20 * time.Millisecond} {
			t.Run(name+" "+speed, func(t *testing.T) {
				t.Parallel()
				s := endless.New(endless.Response{Head: streamHead + "\r\n" + event1, Unit: unit, Interval: interval}, resumed)
				e, _ := newEndlessEntry(t, s, 2)
				got, body, complete := e.callLong(t, http.MethodPost, "/stream/1")
				if events := withoutComments(body); got.StatusCode != http.StatusOK || events != eventStreamBody(1, 3) || !complete {
					t.Errorf("response is %d with %d bytes, complete %v, want three events", got.StatusCode, len(body), complete)
				}
				s.AwaitClosed(t)
			})
		}
	}
}

// Guards against an endless stream that looks complete to the caller or outlives
// the deadline.
func TestEndlessStreamIsAborted(t *testing.T) {
	for name, unit := range map[string]string{
		"line": "m", "lines": "data: m\n", "comments": ": m\n\n", "old events": "id: 1\ndata: e1\n\n", "events without ID": "data: m\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(endless.Response{Head: streamHead + "\r\nid: 1\ndata: e1\n\n", Unit: unit}, "")
			e, _ := newEndlessEntry(t, s, 1)
			got, _, complete := e.call(t, http.MethodPost, "/stream/1", "x", "X-Deadline-Ms", "600")
			// The entry's own answer, if the deadline passes before the server's begins.
			if complete && got.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("response %d looks complete", got.StatusCode)
			}
			s.AwaitClosed(t)
		})
	}
}

func withoutComments(body string) string {
	return strings.ReplaceAll(body, ": m\n\n", "")
}
