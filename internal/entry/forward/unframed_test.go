package forward

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// writeUnframed writes the head of a stream with neither a length nor chunks, and
// the bytes of its body.
func writeUnframed(w *bufio.Writer, r *http.Request, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\r\n%s",
		r.Header.Get("X-Attempt-Id"), signatureHeader, body)
	_ = w.Flush()
}

// Guards against a stream that has neither a length nor chunks and breaks off, but
// is given to the caller as complete, and against a complete one that is not.
func TestUnframedStreamThatBreaksOffIsResumed(t *testing.T) {
	const fourth = "id: 4\ndata: e4\n\n"
	for name, test := range map[string]struct {
		body string
		// ends closes the listener of the first server, reset resets its connection. If it is
		// ending, it still accepts connections, but answers nothing.
		ends, reset, ending bool
		// resumed is the event after which the second server continues; "none" if it gets
		// no request.
		resumed string
	}{
		"complete":                          {body: eventStreamBody(1, 4), resumed: "none"},
		"ends inside an event":              {body: eventStreamBody(1, 2) + "id: 3\nda", resumed: "2"},
		"ends after a line of an event":     {body: eventStreamBody(1, 2) + "id: 3\ndata: e3\n", resumed: "2"},
		"ends inside the first event":       {body: "id: 1\nda", resumed: ""},
		"ends before its first event":       {resumed: ""},
		"server ends between two events":    {body: eventStreamBody(1, 2), ends: true, resumed: "2"},
		"server ends before the last event": {body: eventStreamBody(1, 3), ends: true, resumed: "3"},
		"server ends before any event":      {ends: true, resumed: ""},
		"server is ending":                  {body: eventStreamBody(1, 2), ending: true, resumed: "2"},
		"is reset between two events":       {body: eventStreamBody(1, 2), reset: true, resumed: "2"},
		"is reset after the last event":     {body: eventStreamBody(1, 4), reset: true, resumed: "4"},
	} {
		t.Run(name, func(t *testing.T) {
			var first *backend
			first = newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, n int) bool {
				if test.ends {
					first.listener.Close()
				}
				if test.ending && n > 1 {
					return false
				}
				writeUnframed(w, r, test.body)
				if test.reset {
					// The entry reads the events before the reset.
					time.Sleep(50 * time.Millisecond)
					first.resetOnClose()
				}
				return false
			})
			second := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool {
				rest := map[string]string{"": eventStreamBody(1, 4), "2": eventStreamBody(3, 4), "3": fourth, "4": ""}
				writeUnframed(w, r, rest[r.Header.Get("Last-Event-Id")])
				return false
			})
			e := newEntry(t, first, second)
			// The first attempt goes to the faster server.
			for range 100 {
				e.scheduler.RecordSlowdown("p", "i-2", 8)
			}
			head, body, complete := e.call(t, http.MethodPost, "/stream/x", "q", "X-Prompt-Prefix", "shared:40,own:9")
			if head.StatusCode != http.StatusOK || !complete || body != eventStreamBody(1, 4) {
				t.Errorf("response is %d, complete %t, %q", head.StatusCode, complete, body)
			}
			if sent := second.requests.Load(); sent == 0 != (test.resumed == "none") {
				t.Fatalf("second server got %d requests", sent)
			}
			if test.resumed != "none" {
				if last := second.request(0).Header.Get("Last-Event-Id"); last != test.resumed {
					t.Errorf("stream is resumed after event %q, want %q", last, test.resumed)
				}
			}
		})
	}
}

// Guards against a body without a length that breaks off, but is given to the caller as
// complete, and against one that is complete and is asked for again.
func TestUnframedBodyThatBreaksOffIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		// reset resets the connection of the first server, ends closes its listener. If it
		// is ending, it still accepts connections for a while, but answers nothing; if it is
		// closing them, for ever.
		reset, ends, ending, closing bool
		// body is what it has sent until then.
		body string
	}{
		"whole":             {body: "whole"},
		"is reset":          {reset: true, body: "wh"},
		"server has ended":  {ends: true, body: "wh"},
		"server is ending":  {ending: true, body: "wh"},
		"server is closing": {closing: true, body: "wh"},
		"nothing was sent":  {ends: true},
	} {
		for kind, target := range map[string]string{"repeatable": "/read/x", "once": "/write/x"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				var first *backend
				answer := func(w *bufio.Writer, r *http.Request, body string) bool {
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s\r\n%s", r.Header.Get("X-Attempt-Id"), signatureHeader, body)
					_ = w.Flush()
					return false
				}
				first = newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, n int) bool {
					if test.ends {
						first.listener.Close()
					}
					if test.ending && n > 1 {
						first.listener.Close()
					}
					if (test.ending || test.closing) && n > 1 {
						return false
					}
					answer(w, r, test.body)
					if test.reset {
						time.Sleep(50 * time.Millisecond)
						first.resetOnClose()
					}
					return false
				})
				second := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool { return answer(w, r, "whole") })
				e := newEntry(t, first, second)
				for range 100 {
					e.scheduler.RecordSlowdown("p", "i-2", 8)
				}
				head, body, complete := e.call(t, http.MethodGet, target, "")
				brokenOff := test.body != "whole"
				want, wantBody := http.StatusOK, "whole"
				if brokenOff && kind == "once" {
					want, wantBody = http.StatusBadGateway, body
					if test.closing {
						want = http.StatusGatewayTimeout
					}
				}
				if head.StatusCode != want || !complete || body != wantBody {
					t.Errorf("response is %d, complete %t, %q, want %d, %q", head.StatusCode, complete, body, want, wantBody)
				}
				if sent := second.requests.Load() > 0; sent != (brokenOff && kind == "repeatable") {
					t.Errorf("second server got a request: %t", sent)
				}
			})
		}
	}
}

// Guards against a whole answer without length that counts as broken off because its server is
// silent for a while after it: requests that may run once fail, others run again.
func TestUnframedAnswerOutlastsSilenceOfItsServer(t *testing.T) {
	for name, target := range map[string]string{"repeatable": "/read/x", "once": "/write/x", "stream": "/stream/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var answeredAt atomic.Int64
			first := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, n int) bool {
				if n > 1 {
					time.Sleep(time.Until(time.UnixMilli(answeredAt.Load()).Add(1500 * time.Millisecond)))
					return writeResponse(w, r, http.StatusMisdirectedRequest, "")
				}
				writeUnframed(w, r, eventStreamBody(1, 4))
				answeredAt.Store(time.Now().UnixMilli())
				return false
			})
			second := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool {
				time.Sleep(2 * time.Second)
				return writeResponse(w, r, 200, "second")
			})
			e := newOrderedEntry(t, first, second)
			head, body, complete := e.call(t, http.MethodPost, target, "q")
			if head.StatusCode != http.StatusOK || !complete || body != eventStreamBody(1, 4) {
				t.Errorf("response is %d, complete %t, %q", head.StatusCode, complete, body)
			}
		})
	}
}

// Guards against a whole answer without length that counts as broken off because its server, which
// has as many connections as it accepts, resets the next ones: requests that may run once fail,
// others run again.
func TestUnframedAnswerOutlastsConnectionLimitOfItsServer(t *testing.T) {
	for name, target := range map[string]string{"repeatable": "/read/x", "once": "/write/x", "stream": "/stream/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var first *backend
			first = newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, n int) bool {
				switch {
				case n == 1:
					writeUnframed(w, r, eventStreamBody(1, 4))
					return false
				case n < 4:
					first.resetOnClose()
					return false
				}
				return writeResponse(w, r, http.StatusMisdirectedRequest, "")
			})
			second := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool {
				time.Sleep(2 * time.Second)
				return writeResponse(w, r, 200, "second")
			})
			e := newOrderedEntry(t, first, second)
			head, body, complete := e.call(t, http.MethodPost, target, "q")
			if head.StatusCode != http.StatusOK || !complete || body != eventStreamBody(1, 4) {
				t.Errorf("response is %d, complete %t, %q", head.StatusCode, complete, body)
			}
		})
	}
}

// Guards against a second attempt beside a long answer that is being passed on: the caller
// gets the bodies of two answers as one.
func TestLongUnframedAnswerIsNotJoinedWithAnother(t *testing.T) {
	long := strings.Repeat("m", maxBufferedBytes+partBytes)
	for name, other := range map[string]string{"short one": "other", "long one": strings.Repeat("o", len(long))} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var answeredAt atomic.Int64
			first := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, n int) bool {
				if n > 1 {
					time.Sleep(time.Until(time.UnixMilli(answeredAt.Load()).Add(1500 * time.Millisecond)))
					return writeResponse(w, r, http.StatusMisdirectedRequest, "")
				}
				_, _ = w.WriteString("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n" + signatureHeader + "\r\n" + long)
				_ = w.Flush()
				answeredAt.Store(time.Now().UnixMilli())
				return false
			})
			second := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool {
				return writeResponse(w, r, http.StatusOK, other)
			})
			e := newOrderedEntry(t, first, second)
			head, body, complete := e.call(t, http.MethodGet, "/read/x", "")
			if head.StatusCode != http.StatusOK || !complete || body != long {
				t.Errorf("response is %d, complete %t, %d bytes, %d of them of the other server, want %d", head.StatusCode, complete, len(body), strings.Count(body, "o"), len(long))
			}
			if n := second.requests.Load(); n > 0 {
				t.Errorf("other server got %d requests", n)
			}
		})
	}
}

// Guards against a whole response to HEAD without a length that fails because its server ends
// afterwards, as if its body were missing.
func TestHeadResponseWithoutLengthIsComplete(t *testing.T) {
	var b *backend
	b = newBackend(t, "i-1", func(w *bufio.Writer, _ *http.Request, _ int) bool {
		b.listener.Close()
		_, _ = w.WriteString("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n" + signatureHeader + "\r\n")
		return true
	})
	e := newEntry(t, b)
	if head, _, _ := e.call(t, http.MethodHead, "/read/x", ""); head.StatusCode != http.StatusOK {
		t.Errorf("status is %d, want 200", head.StatusCode)
	}
}
