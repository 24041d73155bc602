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
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// fixture is a front whose dispatcher is a function.
type fixture struct {
	front *Front
	url   string
	// subs holds what was submitted.
	subs chan dispatch.Submission
	left chan mulberryspool.RequestID
}

func newFixture(t *testing.T, answer func(sub dispatch.Submission, x *Exchange)) *fixture {
	t.Helper()
	f := &fixture{subs: make(chan dispatch.Submission, 10), left: make(chan mulberryspool.RequestID, 10)}
	tables := &mulberryspool.Tables{Routes: []mulberryspool.Route{
		{Name: "scribe", Kind: mulberryspool.RouteChat, Pool: "p", Priority: 4},
		{Name: "ledger", Kind: mulberryspool.RoutePlain, Pool: "p"},
	}}
	f.front = &Front{
		Submit: func(sub dispatch.Submission, x *Exchange) bool {
			f.subs <- sub
			go answer(sub, x)
			return true
		},
		Leave:   func(id mulberryspool.RequestID) { f.left <- id },
		Stalled: func(mulberryspool.RequestID) {},
		Tables: func() (mulberryspool.TablesView, bool) {
			return mulberryspool.TablesView{Revision: 1, Tables: tables}, true
		},
		Clock:   clockwork.NewFakeClock(),
		MaxBody: 1000,
	}
	server := httptest.NewServer(f.front.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

type read struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (f *fixture) do(t *testing.T, method, path, body string, headers ...string) read {
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
	return read{response.StatusCode, response.Header, response.Trailer, string(content), err}
}

func (r read) code(t *testing.T) string {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		t.Fatalf("answer %d %q is no error", r.status, r.body)
	}
	return string(body.Error.Type) + " " + string(body.Error.Code)
}

func whole(contentType, body string) func(dispatch.Submission, *Exchange) {
	return func(_ dispatch.Submission, x *Exchange) {
		x.Head(http.StatusOK, contentType)
		x.Bytes([]byte(body))
		x.End("d0d0", "v1")
	}
}

// Guards against bad input that is passed on or answered without a clear error.
func TestBadInputIsNotRun(t *testing.T) {
	f := newFixture(t, whole("text/plain", "x"))
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
		"long key":       {"POST", "/ledger/x", "", []string{HeaderKey, strings.Repeat("k", 300)}, 400, "notRun badRequest"},
		"not deferred":   {"POST", "/ledger/x", "", []string{"Prefer", "respond-async"}, 400, "notRun routeNotDeferred"},
	} {
		t.Run(name, func(t *testing.T) {
			got := f.do(t, c.method, c.path, c.body, c.headers...)
			if got.status != c.status || got.code(t) != c.code {
				t.Errorf("answer is %d %s, want %d %s", got.status, got.code(t), c.status, c.code)
			}
		})
	}
	if n := len(f.subs); n != 0 {
		t.Errorf("%d requests were passed on", n)
	}
}

// Guards against headers that are lost or taken beyond what the route permits.
func TestHeadersReachTheDispatcher(t *testing.T) {
	f := newFixture(t, whole("application/json", "{}"))
	f.do(t, "POST", chatPath, `{"model":"scribe","max_tokens":7}`, HeaderRequestID, "r-1", HeaderKey, "k",
		HeaderWorkspace, "w", HeaderDeadline, "30s", HeaderPriority, "9")
	sub := <-f.subs
	if sub.ID != "r-1" || sub.Workspace != "w" || sub.Key != `"scribe"/"w"/"k"` || !sub.Buffered {
		t.Errorf("submission is %+v", sub)
	}
	if sub.Priority != 4 {
		t.Errorf("priority is %d, the route permits 4", sub.Priority)
	}
	if left := sub.Deadline.Sub(f.front.Clock.Now()); left != 30*time.Second {
		t.Errorf("deadline is in %v", left)
	}
}

// Guards against an answer without its names, in both forms.
func TestAnswersAreNamed(t *testing.T) {
	f := newFixture(t, whole("application/json", `{"a":1}`))
	got := f.do(t, "POST", chatPath, `{"model":"scribe"}`)
	if got.body != `{"a":1}` || got.header.Get(HeaderWeights) != "d0d0" || got.header.Get(HeaderVersion) != "v1" || got.header.Get(HeaderRequestID) == "" {
		t.Errorf("whole answer is %q with %v", got.body, got.header)
	}
	f = newFixture(t, whole("text/event-stream", "data: 1\n\ndata: [DONE]\n\n"))
	got = f.do(t, "POST", chatPath, `{"model":"scribe","stream":true}`)
	if got.err != nil || got.body != "data: 1\n\ndata: [DONE]\n\n" || got.trailer.Get(HeaderWeights) != "d0d0" || got.trailer.Get(HeaderVersion) != "v1" {
		t.Errorf("stream is %q with %v, %v", got.body, got.trailer, got.err)
	}
}

// Guards against a done marker that slips out before the end, however the
// stream is cut into parts, and against changed bytes.
func TestDoneMarkerWaitsForTheEnd(t *testing.T) {
	const stream = "data: {\"text\":\"data: [DONE]\"}\n\ndata:[DONE]\n\n"
	for size := 1; size < len(stream); size++ {
		parts := func(x *Exchange) {
			x.Head(http.StatusOK, "text/event-stream; charset=utf-8")
			for from := 0; from < len(stream); from += size {
				x.Bytes([]byte(stream[from:min(len(stream), from+size)]))
			}
		}
		f := newFixture(t, func(_ dispatch.Submission, x *Exchange) {
			parts(x)
			x.End("d0d0", "v1")
		})
		if got := f.do(t, "POST", chatPath, `{"model":"scribe","stream":true}`); got.body != stream || got.err != nil {
			t.Fatalf("in parts of %d the stream is %q, %v", size, got.body, got.err)
		}
		f = newFixture(t, func(_ dispatch.Submission, x *Exchange) {
			parts(x)
			x.Fail(dispatch.Error{Outcome: mulberryspool.OutcomeUnknown, Code: dispatch.CodeAnswerLost})
		})
		got := f.do(t, "POST", chatPath, `{"model":"scribe","stream":true}`)
		if got.err == nil || strings.Contains(got.body, "data:[DONE]") || !strings.Contains(got.body, "event: error") {
			t.Fatalf("in parts of %d the broken stream is %q, %v", size, got.body, got.err)
		}
	}
}

// Guards against a broken body of a plain answer that ends like a whole one.
func TestBrokenBodyIsCutOff(t *testing.T) {
	f := newFixture(t, func(_ dispatch.Submission, x *Exchange) {
		x.Head(http.StatusOK, "application/octet-stream")
		x.Bytes([]byte("half"))
		x.Fail(dispatch.Error{Outcome: mulberryspool.OutcomeFailed, Code: dispatch.CodeBackendFailed})
	})
	if got := f.do(t, "GET", "/ledger/x", ""); got.err == nil {
		t.Fatalf("caller read %q as a whole answer", got.body)
	}
}

// Guards against errors without a fitting status or a hint when to retry.
func TestErrorsHaveStatusAndHint(t *testing.T) {
	for code, status := range map[dispatch.Code]int{
		dispatch.CodeOverload: 429, dispatch.CodeNoAgent: 503, dispatch.CodeKeyReused: 422, dispatch.CodeNoRoute: 404,
	} {
		f := newFixture(t, func(_ dispatch.Submission, x *Exchange) {
			x.Fail(dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, RetryAfter: 1200 * time.Millisecond})
		})
		got := f.do(t, "GET", "/ledger/x", "")
		if got.status != status || got.header.Get("Retry-After") != "2" || got.code(t) != "notRun "+string(code) {
			t.Errorf("%s is answered %d %s, Retry-After %q", code, got.status, got.code(t), got.header.Get("Retry-After"))
		}
	}
}

// Guards against an answer that fills the memory when its caller doesn't read.
func TestSlowCallerIsReported(t *testing.T) {
	stalls := 0
	x := NewExchange(10, func() { stalls++ })
	for range 5 {
		x.Bytes([]byte("12345"))
	}
	if stalls != 1 {
		t.Fatalf("the stall was reported %d times", stalls)
	}
}

// Guards against a list of models that omits routes or names plain ones.
func TestModelsListsChatRoutes(t *testing.T) {
	f := newFixture(t, whole("", ""))
	var list modelList
	got := f.do(t, "GET", "/v1/models", "")
	if err := json.Unmarshal([]byte(got.body), &list); err != nil {
		t.Fatal(err)
	}
	if len(list.Data) != 1 || list.Data[0].ID != "scribe" {
		t.Fatalf("models are %+v", list)
	}
}
