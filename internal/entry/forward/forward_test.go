package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
)

// Guards against a wrong status for unknown routes, wrong or missing keys, and pools
// without a backend server.
func TestRefusalsWithoutBackend(t *testing.T) {
	e := newEntry(t)
	for _, c := range []struct {
		path, key string
		want      int
	}{
		{"/none/1", "Bearer key", http.StatusNotFound},
		{"/read/1", "Bearer wrong", http.StatusUnauthorized},
		{"/read/1", "", http.StatusUnauthorized},
		{"/read/1", "Bearer key", http.StatusServiceUnavailable},
		{"/open/1", "", http.StatusServiceUnavailable},
	} {
		response, _, _ := e.call(t, http.MethodGet, c.path, "", "Authorization", c.key)
		if response.StatusCode != c.want {
			t.Errorf("%s with %q: %d, want %d", c.path, c.key, response.StatusCode, c.want)
		}
	}
}

// Guards against a 404 or 401 before the configuration is known: callers don't
// retry after these, although the route or key may exist.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	e := newEntry(t)
	e.handler.Scheduler = &scheduler.Scheduler{Clock: e.handler.Clock}
	response, _, _ := e.call(t, http.MethodGet, "/none/1", "")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("%d with Retry-After %q, want 503 with one", response.StatusCode, response.Header.Get("Retry-After"))
	}
}

// Guards against a changed path, query or body, and against headers that a caller
// must not set or that are missing, in the request to the backend server.
func TestRequestSentToBackendServer(t *testing.T) {
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, 200, "ok") })
	e := newEntry(t, b)
	response, body, _ := e.call(t, http.MethodPost, "/write/a%2Fb/?q=1&r", "content",
		"X-Tenant", "forged", "X-Expected-Instance", "forged", "X-Expected-Version", "9", "X-Not-Executed", "1", "Path", "x", "X-Other", "kept")
	if response.StatusCode != http.StatusOK || body != "ok" || response.Header.Get("X-Response-Signature") != "s" {
		t.Fatalf("response is %d %q %v", response.StatusCode, body, response.Header)
	}
	r := b.request(0)
	if r.Method != http.MethodPost || r.RequestURI != "/write/a%2Fb/?q=1&r" || r.Host != "h.example" || b.seenBodies[0] != "content" {
		t.Errorf("request is %s %s at %s with %q", r.Method, r.RequestURI, r.Host, b.seenBodies[0])
	}
	for name, want := range map[string]string{
		"X-Attempt-Id": "r1", "X-Tenant": "w", "X-Expected-Instance": "i-1", "X-Expected-Version": "", "X-Not-Executed": "", "Path": "",
		"Authorization": "", "X-Other": "kept",
	} {
		if got := r.Header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err != nil || left <= 0 || left > 3000 {
		t.Errorf("forwarded deadline is %q, want 1 to 3000", r.Header.Get("X-Deadline-Ms"))
	}
}

// Guards against a late or duplicate response on a reused connection that is
// taken for the response to the current request.
func TestResponsesAreMatchedByRequestID(t *testing.T) {
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, n int) bool {
		if n == 1 {
			writeResponse(w, r, 200, "first")
			_ = w.Flush()
			// A duplicate of the first response arrives in place of the second one.
			time.Sleep(20 * time.Millisecond)
			return writeResponse(w, r, 200, "late copy of the first")
		}
		return writeResponse(w, r, 200, "second")
	})
	e := newEntry(t, b)
	for i, want := range []string{"first", "second", "second"} {
		_, body, _ := e.call(t, http.MethodGet, "/read/1", "", "X-Attempt-Id", "r"+string(rune('0'+i)))
		if body != want {
			t.Errorf("body of request %d is %q, want %q", i, body, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a response with another request's ID that reaches the caller.
func TestResponseToAnotherRequestIsNotRelayed(t *testing.T) {
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool {
		r.Header.Set("X-Attempt-Id", "somebody")
		writeResponse(w, r, 200, "foreign")
		return false
	})
	e := newEntry(t, b)
	response, body, _ := e.call(t, http.MethodPost, "/write/1", "x")
	if response.StatusCode != http.StatusBadGateway || strings.Contains(body, "foreign") {
		t.Errorf("response is %d %q, want 502", response.StatusCode, body)
	}
}

// Guards against a 503 or a second send for a non-idempotent request whose
// response was lost or invalid: the request may have run.
func TestLostResponseOfNonIdempotentRequestIsUnknown(t *testing.T) {
	for name, s := range map[string]script{
		"closed": func(*bufio.Writer, *http.Request, int) bool { return false },
		"cut body": func(w *bufio.Writer, _ *http.Request, _ int) bool {
			_, _ = w.WriteString("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n" + signatureHeader + "Content-Length: 100\r\n\r\nhalf")
			_ = w.Flush()
			return false
		},
		"garbage": func(w *bufio.Writer, _ *http.Request, _ int) bool {
			_, _ = w.WriteString("nonsense\r\n\r\n")
			return true
		},
		"unsigned": func(w *bufio.Writer, _ *http.Request, _ int) bool {
			_, _ = w.WriteString("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nContent-Length: 2\r\n\r\nok")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newBackend(t, "i-1", s), newBackend(t, "i-2", s)
			e := newEntry(t, first, second)
			response, _, _ := e.call(t, http.MethodPost, "/write/1", "x")
			if response.StatusCode != http.StatusBadGateway {
				t.Errorf("status is %d, want 502", response.StatusCode)
			}
			if n := first.requests.Load() + second.requests.Load(); n != 1 {
				t.Errorf("request was sent %d times, want once", n)
			}
		})
	}
}

// Guards against an idempotent request that fails, or is retried on the same
// server, after its connection was closed without a response.
func TestIdempotentRequestIsRetriedOnAnotherServer(t *testing.T) {
	var calls atomic.Int32
	s := func(w *bufio.Writer, r *http.Request, _ int) bool {
		if calls.Add(1) == 1 {
			return false
		}
		return writeResponse(w, r, 200, "ok")
	}
	first, second := newBackend(t, "i-1", s), newBackend(t, "i-2", s)
	e := newEntry(t, first, second)
	response, body, _ := e.call(t, http.MethodGet, "/read/1", "")
	if response.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("response is %d %q, want that of the second server", response.StatusCode, body)
	}
	if first.requests.Load() != 1 || second.requests.Load() != 1 {
		t.Errorf("servers got %d and %d requests, want one each", first.requests.Load(), second.requests.Load())
	}
}

// Guards against more attempts than the route allows while every server closes the
// connection without a response.
func TestAttemptsAreBounded(t *testing.T) {
	s := func(*bufio.Writer, *http.Request, int) bool { return false }
	backends := []*backend{newBackend(t, "i-1", s), newBackend(t, "i-2", s), newBackend(t, "i-3", s)}
	e := newEntry(t, backends...)
	response, _, _ := e.call(t, http.MethodGet, "/read/1", "")
	sent := 0
	for _, b := range backends {
		sent += int(b.requests.Load())
	}
	if sent != 2 || response.StatusCode != http.StatusBadGateway {
		t.Errorf("request was sent %d times and ended with status %d, want 2 and 502", sent, response.StatusCode)
	}
}

// A request that the backend server rejected did not run, so the caller must get
// 503 with Retry-After and not 502.
func TestRejectedRequestIsRefusedWith503(t *testing.T) {
	b := newBackend(t, "i-1", func(w *bufio.Writer, _ *http.Request, _ int) bool {
		_, _ = w.WriteString("HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	e := newEntry(t, b)
	response, _, _ := e.call(t, http.MethodPost, "/write/1", "x")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("%d with Retry-After %q, want 503 with one", response.StatusCode, response.Header.Get("Retry-After"))
	}
}

// Guards against a backend server's own error that reaches the caller with another
// status, body or signature.
func TestServerErrorIsRelayedUnchanged(t *testing.T) {
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, 500, "broken") })
	e := newEntry(t, b)
	response, body, _ := e.call(t, http.MethodGet, "/read/1", "")
	if response.StatusCode != http.StatusInternalServerError || body != "broken" || response.Header.Get("X-Response-Signature") != "s" {
		t.Errorf("response is %d %q %v, want that of the server", response.StatusCode, body, response.Header)
	}
}

// Guards against a non-idempotent request that is refused because one server
// accepts no connection: nothing was sent, so another server may get it.
func TestUnreachableServerDoesNotCountAsAttempt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := &backend{T: t, id: "i-1", address: listener.Addr().String()}
	listener.Close()
	b := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, 200, "ok") })
	e := newEntry(t, dead, b)
	for range 4 {
		if response, _, _ := e.call(t, http.MethodPost, "/write/1", "x"); response.StatusCode != http.StatusOK {
			t.Errorf("status is %d, want 200 from the other server", response.StatusCode)
		}
	}
}

// Guards against events that are lost or changed on the way to the caller.
func TestStreamIsRelayedCompletely(t *testing.T) {
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool { writeEvents(w, r, 1, 5, true); return true })
	e := newEntry(t, b)
	response, body, complete := e.call(t, http.MethodPost, "/stream/1", "x")
	if response.StatusCode != http.StatusOK || body != eventStreamBody(1, 5) || !complete {
		t.Errorf("response is %d %q, complete %v", response.StatusCode, body, complete)
	}
}

// Guards against missing, duplicate or partial events when a stream breaks off
// inside an event and is resumed on another server.
func TestBrokenStreamIsResumed(t *testing.T) {
	var broken atomic.Bool
	s := func(w *bufio.Writer, r *http.Request, _ int) bool {
		if broken.Swap(true) {
			if r.Header.Get("Last-Event-Id") != "2" {
				t.Errorf("resumed after event %q, want 2", r.Header.Get("Last-Event-Id"))
			}
			// Event 2 is sent again although the caller has received it.
			writeEvents(w, r, 2, 5, true)
			return true
		}
		writeEvents(w, r, 1, 2, false)
		_, _ = w.WriteString("8\r\nid: 3\nda")
		_ = w.Flush()
		return false
	}
	e := newEntry(t, newBackend(t, "i-1", s), newBackend(t, "i-2", s))
	_, body, complete := e.call(t, http.MethodPost, "/stream/1", "x")
	if body != eventStreamBody(1, 5) || !complete {
		t.Errorf("body is %q, complete %v, want five events", body, complete)
	}
}

// Guards against a truncated stream that looks complete to the caller because no
// other server could resume it.
func TestBrokenStreamWithoutOtherServerIsAborted(t *testing.T) {
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool { writeEvents(w, r, 1, 2, false); return false })
	e := newEntry(t, b)
	_, body, complete := e.call(t, http.MethodPost, "/stream/1", "x")
	if complete || body != eventStreamBody(1, 2) {
		t.Errorf("body is %q, complete %v, want two events of an aborted response", body, complete)
	}
}

// Guards against a stream that waits for a server that has stopped sending events,
// although another server could resume it.
func TestSilentStreamIsResumed(t *testing.T) {
	var silent atomic.Bool
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	s := func(w *bufio.Writer, r *http.Request, _ int) bool {
		if silent.Swap(true) {
			writeEvents(w, r, 3, 4, true)
			return true
		}
		writeEvents(w, r, 1, 2, false)
		<-release
		return false
	}
	e := newEntry(t, newBackend(t, "i-1", s), newBackend(t, "i-2", s))
	_, body, complete := e.call(t, http.MethodPost, "/stream/1", "x")
	if body != eventStreamBody(1, 4) || !complete {
		t.Errorf("body is %q, complete %v, want four events", body, complete)
	}
}

// Guards against a request that is given up before the caller's deadline, or not
// answered when it has passed, while its server sends nothing.
func TestPassedDeadlineIsAnsweredWith504(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	b := newBackend(t, "i-1", func(*bufio.Writer, *http.Request, int) bool { <-release; return false })
	e := newEntry(t, b)
	began := time.Now()
	response, _, _ := e.call(t, http.MethodPost, "/write/1", "x", "X-Deadline-Ms", "300")
	if response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status is %d, want 504", response.StatusCode)
	}
	if took := time.Since(began); took < 250*time.Millisecond {
		t.Errorf("gave up after %v, want the caller's deadline of 300ms", took)
	}
}

// Guards against work that continues on a backend server after its caller has
// disconnected: the connection to the server must be closed.
func TestCallerDisconnectClosesBackendConnection(t *testing.T) {
	left := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	arrived := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		close(arrived)
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) || err != nil {
			close(left)
		}
	}()
	e := newEntry(t, &backend{T: t, id: "i-1", address: listener.Addr().String()})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/stream/1", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Authorization", "Bearer key")
	go func() {
		<-arrived
		cancel()
	}()
	if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
		response.Body.Close()
		t.Error("cancelled call returned no error")
	}
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Error("connection to the backend server stayed open after the caller disconnected")
	}
}

// Guards against an entry that, during shutdown, refuses a request on an open
// connection or keeps the connection open after it.
func TestStoppingEntryClosesCallerConnections(t *testing.T) {
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, 200, "ok") })
	e := newEntry(t, b)
	e.handler.BeginStop()
	response, body, _ := e.call(t, http.MethodGet, "/read/1", "")
	if response.StatusCode != http.StatusOK || body != "ok" || !response.Close {
		t.Errorf("response is %d %q, closing %v, want a served request and a closed connection", response.StatusCode, body, response.Close)
	}
}
