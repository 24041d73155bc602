package callers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// fixture serves the API under test, with a function in place of the dispatcher.
type fixture struct {
	server *Server
	url    string
	// submissions holds what was submitted to the dispatcher.
	submissions  chan dispatch.Submission
	disconnected chan mulberryspool.RequestID
}

func newFixture(t *testing.T, respond func(submission dispatch.Submission, b *ResponseBuffer)) *fixture {
	t.Helper()
	f := &fixture{submissions: make(chan dispatch.Submission, 10), disconnected: make(chan mulberryspool.RequestID, 10)}
	tables := &mulberryspool.Tables{Routes: []mulberryspool.Route{
		{Name: "scribe", Kind: mulberryspool.RouteChat, Pool: "p", Priority: 4},
		{Name: "ledger", Kind: mulberryspool.RoutePlain, Pool: "p"},
	}}
	f.server = &Server{
		Submit: func(submission dispatch.Submission, b *ResponseBuffer) bool {
			f.submissions <- submission
			go respond(submission, b)
			return true
		},
		OnDisconnect: func(id mulberryspool.RequestID) { f.disconnected <- id },
		OnBufferFull: func(mulberryspool.RequestID) {},
		Tables: func() (mulberryspool.TablesView, bool) {
			return mulberryspool.TablesView{Revision: 1, Tables: tables}, true
		},
		Clock:   clockwork.NewFakeClock(),
		MaxBody: 1000,
	}
	server := httptest.NewServer(f.server.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

type callerResponse struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (f *fixture) do(t *testing.T, method, path, body string, headers ...string) callerResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, response.Trailer, string(content), err}
}

func (r callerResponse) errorCode(t *testing.T) string {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		t.Fatalf("response %d %q is not an error in JSON", r.status, r.body)
	}
	return string(body.Error.Type) + " " + string(body.Error.Code)
}

// respondWith returns a dispatcher that sends a complete response.
func respondWith(contentType, body string) func(dispatch.Submission, *ResponseBuffer) {
	return func(_ dispatch.Submission, b *ResponseBuffer) {
		b.SetHead(http.StatusOK, contentType)
		b.Append([]byte(body))
		b.Complete("d0d0", "v1")
	}
}

// Guards against invalid input that reaches the dispatcher, or that gets the wrong
// status or error code.
func TestBadInputIsNotRun(t *testing.T) {
	f := newFixture(t, respondWith("text/plain", "x"))
	for name, c := range map[string]struct {
		method, path, body string
		headers            []string
		status             int
		code               string
	}{
		"no JSON":        {"POST", chatPath, "{", nil, 400, "notRun badRequest"},
		"no model":       {"POST", chatPath, "{}", nil, 400, "notRun badRequest"},
		"unknown model":  {"POST", chatPath, `{"model":"x"}`, nil, 404, "notRun noRoute"},
		"plain as chat":  {"POST", chatPath, `{"model":"ledger"}`, nil, 404, "notRun noRoute"},
		"chat as plain":  {"GET", "/scribe/x", "", nil, 404, "notRun noRoute"},
		"unknown path":   {"GET", "/v1/other", "", nil, 404, "notRun noRoute"},
		"wrong method":   {"DELETE", chatPath, "", nil, 405, "notRun methodNotAllowed"},
		"large body":     {"POST", "/ledger/x", strings.Repeat("x", 1001), nil, 413, "notRun bodyTooLarge"},
		"bad deadline":   {"POST", "/ledger/x", "", []string{HeaderDeadline, "soon"}, 400, "notRun badRequest"},
		"past deadline":  {"POST", "/ledger/x", "", []string{HeaderDeadline, "-1s"}, 400, "notRun badRequest"},
		"bad priority":   {"POST", "/ledger/x", "", []string{HeaderPriority, "high"}, 400, "notRun badRequest"},
		"bad request ID": {"POST", "/ledger/x", "", []string{HeaderRequestID, "a/b"}, 400, "notRun badRequest"},
		"long key":       {"POST", "/ledger/x", "", []string{HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400, "notRun badRequest"},
		"not deferred":   {"POST", "/ledger/x", "", []string{"Prefer", "respond-async"}, 400, "notRun routeNotDeferred"},
	} {
		t.Run(name, func(t *testing.T) {
			got := f.do(t, c.method, c.path, c.body, c.headers...)
			if got.status != c.status || got.errorCode(t) != c.code {
				t.Errorf("response is %d %s, want %d %s", got.status, got.errorCode(t), c.status, c.code)
			}
		})
	}
	if n := len(f.submissions); n != 0 {
		t.Errorf("%d invalid requests reached the dispatcher", n)
	}
}

// Guards against headers that are ignored, and against a caller that raises the
// priority of its route.
func TestHeadersReachTheDispatcher(t *testing.T) {
	f := newFixture(t, respondWith("application/json", "{}"))
	f.do(t, "POST", chatPath, `{"model":"scribe","max_tokens":7}`, HeaderRequestID, "r-1", HeaderIdempotencyKey, "k",
		HeaderWorkspace, "w", HeaderDeadline, "30s", HeaderPriority, "9")
	submission := <-f.submissions
	if submission.ID != "r-1" || submission.Workspace != "w" || submission.IdempotencyKey != `"scribe"/"w"/"k"` || !submission.Buffered {
		t.Errorf("submission is %+v", submission)
	}
	if submission.Priority != 4 {
		t.Errorf("priority is %d, want the route's 4", submission.Priority)
	}
	if remaining := submission.Deadline.Sub(f.server.Clock.Now()); remaining != 30*time.Second {
		t.Errorf("deadline is in %v", remaining)
	}
}

// Guards against buffered or streamed responses without the digest and version of
// the weights.
func TestResponsesCarryWeightsAndVersion(t *testing.T) {
	f := newFixture(t, respondWith("application/json", `{"a":1}`))
	got := f.do(t, "POST", chatPath, `{"model":"scribe"}`)
	if got.body != `{"a":1}` || got.header.Get(HeaderWeightsDigest) != "d0d0" || got.header.Get(HeaderModelVersion) != "v1" || got.header.Get(HeaderRequestID) == "" {
		t.Errorf("buffered response is %q with %v", got.body, got.header)
	}
	f = newFixture(t, respondWith("text/event-stream", "data: 1\n\ndata: [DONE]\n\n"))
	got = f.do(t, "POST", chatPath, `{"model":"scribe","stream":true}`)
	if got.err != nil || got.body != "data: 1\n\ndata: [DONE]\n\n" || got.trailer.Get(HeaderWeightsDigest) != "d0d0" || got.trailer.Get(HeaderModelVersion) != "v1" {
		t.Errorf("stream is %q with %v, %v", got.body, got.trailer, got.err)
	}
}

// Guards against a [DONE] marker that is sent before the end was verified, and
// against changed bytes, however the stream is split into parts.
func TestDoneMarkerIsWithheldUntilVerified(t *testing.T) {
	const stream = "data: {\"text\":\"data: [DONE]\"}\n\ndata:[DONE]\n\n"
	for size := 1; size < len(stream); size++ {
		parts := func(b *ResponseBuffer) {
			b.SetHead(http.StatusOK, "text/event-stream; charset=utf-8")
			for from := 0; from < len(stream); from += size {
				b.Append([]byte(stream[from:min(len(stream), from+size)]))
			}
		}
		f := newFixture(t, func(_ dispatch.Submission, b *ResponseBuffer) {
			parts(b)
			b.Complete("d0d0", "v1")
		})
		if got := f.do(t, "POST", chatPath, `{"model":"scribe","stream":true}`); got.body != stream || got.err != nil {
			t.Fatalf("in parts of %d the stream is %q, %v", size, got.body, got.err)
		}
		f = newFixture(t, func(_ dispatch.Submission, b *ResponseBuffer) {
			parts(b)
			b.Fail(dispatch.Error{Outcome: mulberryspool.OutcomeUnknown, Code: dispatch.CodeAnswerLost})
		})
		got := f.do(t, "POST", chatPath, `{"model":"scribe","stream":true}`)
		if got.err == nil || strings.Contains(got.body, "data:[DONE]") || !strings.Contains(got.body, "event: error") {
			t.Fatalf("in parts of %d the broken stream is %q, %v", size, got.body, got.err)
		}
	}
}

// Guards against a broken event that the error event at the end of its stream completes,
// or joins, so that the caller takes a part of it for the whole.
func TestBrokenEventIsNotCompleted(t *testing.T) {
	const whole, broken, failure = "id: 1\ndata: a\n\n", "id: 2\r\ndata: first line\r\ndata: second line", "event: error\n"
	longLine := "data: " + strings.Repeat("x", maxPendingEvent)
	for _, test := range []struct {
		parts []string
		want  string
	}{
		{[]string{whole + broken}, whole + failure},
		{[]string{whole + broken + "\r\n"}, whole + failure},
		{[]string{whole, broken, "\r\n\r\n", "id: 3"}, whole + broken + "\r\n\r\n" + failure},
		{[]string{whole + "\n" + broken[:3]}, whole + "\n" + failure},
		{[]string{broken}, failure},
		{[]string{whole + longLine + "\nda"}, whole + longLine + "\n"},
		{[]string{longLine, "\nid: 2"}, longLine},
		{[]string{longLine, "\n\nid: 2"}, longLine + "\n\n" + failure},
	} {
		recorder := httptest.NewRecorder()
		writer := &streamWriter{w: recorder}
		writer.writeHead(http.StatusOK, eventStream)
		for _, part := range test.parts {
			writer.write([]byte(part))
		}
		func() {
			defer func() {
				if recover() == nil {
					t.Error("response is not aborted")
				}
			}()
			writer.fail(dispatch.Error{Outcome: mulberryspool.OutcomeUnknown, Code: dispatch.CodeAnswerLost})
		}()
		if got, _, _ := strings.Cut(recorder.Body.String(), `data: {"error"`); got != test.want {
			t.Errorf("%.60q is written as %.60q, %d bytes, want %d", test.parts, got, len(got), len(test.want))
		}
	}
}

// Guards against a truncated plain response that looks complete to the caller.
func TestFailedBodyIsAborted(t *testing.T) {
	f := newFixture(t, func(_ dispatch.Submission, b *ResponseBuffer) {
		b.SetHead(http.StatusOK, "application/octet-stream")
		b.Append([]byte("half"))
		b.Fail(dispatch.Error{Outcome: mulberryspool.OutcomeFailed, Code: dispatch.CodeBackendFailed})
	})
	if got := f.do(t, "GET", "/ledger/x", ""); got.err == nil {
		t.Fatalf("caller read the truncated body %q without an error", got.body)
	}
}

// Guards against errors with a wrong status code or without Retry-After.
func TestErrorsHaveStatusAndRetryAfter(t *testing.T) {
	for code, status := range map[dispatch.Code]int{
		dispatch.CodeOverload: 429, dispatch.CodeNoAgent: 503, dispatch.CodeKeyReused: 422, dispatch.CodeNoRoute: 404,
	} {
		f := newFixture(t, func(_ dispatch.Submission, b *ResponseBuffer) {
			b.Fail(dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, RetryAfter: 1200 * time.Millisecond})
		})
		got := f.do(t, "GET", "/ledger/x", "")
		if got.status != status || got.header.Get("Retry-After") != "2" || got.errorCode(t) != "notRun "+string(code) {
			t.Errorf("%s has status %d and error %s, Retry-After %q", code, got.status, got.errorCode(t), got.header.Get("Retry-After"))
		}
	}
}

// Guards against unlimited buffering for a caller that doesn't read: the full
// buffer must be reported, and only once.
func TestFullBufferIsReportedOnce(t *testing.T) {
	reports := 0
	b := NewResponseBuffer(10, func() { reports++ })
	for range 5 {
		b.Append([]byte("12345"))
	}
	if reports != 1 {
		t.Fatalf("the full buffer was reported %d times, want once", reports)
	}
}

// Guards against a list of models that omits chat routes or contains plain routes.
func TestModelsListsChatRoutes(t *testing.T) {
	f := newFixture(t, respondWith("", ""))
	var list modelList
	got := f.do(t, "GET", "/v1/models", "")
	if err := json.Unmarshal([]byte(got.body), &list); err != nil {
		t.Fatal(err)
	}
	if len(list.Data) != 1 || list.Data[0].ID != "scribe" {
		t.Fatalf("models are %+v", list)
	}
}

// Guards against bodies that take more memory together than there is, and against memory that is
// returned before the request has ended, or never.
func TestBodiesShareBudget(t *testing.T) {
	proceed := make(chan struct{})
	f := newFixture(t, func(submission dispatch.Submission, b *ResponseBuffer) {
		<-proceed
		submission.Held.Release()
		respondWith("text/plain", "x")(submission, b)
	})
	f.server.Bodies = &bodybudget.Budget{Limit: 1500}
	body := strings.Repeat("x", 900)
	first := make(chan callerResponse)
	go func() { first <- f.do(t, "POST", "/ledger/x", body) }()
	<-f.submissions
	got := f.do(t, "POST", "/ledger/x", body)
	if got.status != http.StatusServiceUnavailable || got.errorCode(t) != "notRun noMemory" || got.header.Get("Retry-After") == "" {
		t.Errorf("response without memory is %d %s, %v", got.status, got.errorCode(t), got.header)
	}
	close(proceed)
	if got := <-first; got.status != http.StatusOK {
		t.Errorf("response is %d", got.status)
	}
	<-f.disconnected
	for range 5 {
		if got := f.do(t, "POST", "/ledger/x", body); got.status != http.StatusOK {
			t.Fatalf("response afterwards is %d", got.status)
		}
		<-f.submissions
		<-f.disconnected
	}
	f.do(t, "POST", "/ledger/x", strings.Repeat("x", 1001))
	f.do(t, "POST", chatPath, body)
	for deadline := time.Now().Add(10 * time.Second); f.server.Bodies.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are reserved after all requests have ended", f.server.Bodies.Used())
		}
	}
}
