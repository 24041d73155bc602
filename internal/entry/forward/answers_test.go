package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	notRunMark  = "X-Not-Executed: 1\r\n"
	earlierID   = "X-Attempt-Id: r0\r\n"
	emptyLength = "Content-Length: 0\r\n\r\n"
)

// newOrderedEntry returns an entry that sends each request to the first of two backend
// servers, if it may, and allows two attempts on each route.
func newOrderedEntry(t *testing.T, first, second *backend) *entry {
	t.Helper()
	e := newEntry(t, first, second)
	table := ingress()
	table.Version++
	for i := range table.Routes {
		table.Routes[i].Attempts = 2
	}
	e.scheduler.SetIngress(table)
	for range 100 {
		e.scheduler.RecordSlowdown("p", "i-2", 8)
	}
	return e
}

// Guards against an earlier refusal, written once more on a kept connection, that
// is treated as the answer to a request that the server runs: its caller learns that
// it did not run, or another server runs it again.
func TestRepeatedRefusalIsNotTakenForAnswer(t *testing.T) {
	const unnamed = "HTTP/1.1 503 x\r\n" + notRunMark
	refusals := map[string]string{
		"in chunks":                  unnamed + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"after an informational one": "HTTP/1.1 103 x\r\n\r\n" + unnamed + emptyLength,
		"without length":             unnamed + "\r\nno",
		"closing":                    unnamed + "Connection: close\r\n" + emptyLength,
	}
	for _, status := range []int{400, 408, 421, 429, 503} {
		for _, fields := range []string{"", notRunMark, earlierID, earlierID + notRunMark} {
			refusals[strconv.Itoa(status)+fields] = fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 2\r\n\r\nno", status, fields)
		}
	}
	for name, refusal := range refusals {
		for _, moment := range []string{"with the earlier answer", "while idle", "after the request"} {
			t.Run(name+"/"+moment, func(t *testing.T) {
				t.Parallel()
				first := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, n int) bool {
					repeat := func() {
						_ = w.Flush()
						time.Sleep(10 * time.Millisecond)
						_, _ = w.WriteString(refusal)
						_ = w.Flush()
					}
					if n == 2 && moment == "after the request" {
						repeat()
					}
					writeResponse(w, r, 200, "ok")
					if n == 1 && moment == "while idle" {
						repeat()
					}
					if n == 1 && moment == "with the earlier answer" {
						_, _ = w.WriteString(refusal)
					}
					return true
				})
				second := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, 200, "ok") })
				e := newOrderedEntry(t, first, second)
				e.call(t, http.MethodPost, "/write/1", "x", "X-Attempt-Id", "r0")
				time.Sleep(30 * time.Millisecond)
				want := http.StatusOK
				if moment == "after the request" && (name == "without length" || name == "closing") {
					// The connection ends with the refusal, before the answer.
					want = http.StatusBadGateway
				}
				if got, body, _ := e.call(t, http.MethodPost, "/write/1", "x"); got.StatusCode != want || want == http.StatusOK && body != "ok" {
					t.Errorf("response is %d %q, want %d", got.StatusCode, body, want)
				}
				if n := second.requests.Load(); n > 0 {
					t.Errorf("second server got %d requests", n)
				}
			})
		}
	}
}

// Guards against an answer to an earlier request that is taken for that to a request
// without an ID.
func TestRequestWithoutIDGetsNewConnection(t *testing.T) {
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, 200, "ok") })
	e := newEntry(t, b)
	for _, id := range []string{"r0", "r1", "", ""} {
		if got, body, _ := e.call(t, http.MethodGet, "/read/1", "", "X-Attempt-Id", id); got.StatusCode != http.StatusOK || body != "ok" {
			t.Errorf("response to request %q is %d %q", id, got.StatusCode, body)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns != 3 {
		t.Errorf("server got %d connections, want one for the requests with an ID and one for each without", b.conns)
	}
}

// Guards against a caller whose request is reported as not run by a backend server's
// status alone, without the header that promises it.
func TestUnmarkedRefusalIsNoPromise(t *testing.T) {
	const own = "own text"
	for path, unknown := range map[string]bool{"/write/1": true, "/oneshot/1": true, "/read/1": false, "/stream/1": false} {
		for _, status := range []int{404, 408, 429, 500, 503} {
			t.Run(strconv.Itoa(status)+path, func(t *testing.T) {
				b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, status, own) })
				e := newEntry(t, b)
				table := ingress()
				table.Version++
				once := route("oneshot", mulberryspool.Streaming, 2)
				once.Resumable = false
				table.Routes = append(table.Routes, once)
				e.scheduler.SetIngress(table)
				want := status
				if unknown && (status == 408 || status == 429 || status == 503) {
					want = http.StatusBadGateway
				}
				got, body, _ := e.call(t, http.MethodPost, path, "x")
				if relayed := body == own && got.Header.Get("X-Response-Signature") != ""; got.StatusCode != want || relayed != (want == status) {
					t.Errorf("response is %d %q, want %d", got.StatusCode, body, want)
				}
			})
		}
	}
}

// Guards against an answer that does not continue a stream that has begun, but is given
// to the caller as a part of it or as its end.
func TestStreamIsContinuedByEventsOnly(t *testing.T) {
	const (
		part   = "id: 3\nda"
		events = "Content-Type: text/event-stream\r\n"
		boom   = "id: 3\ndata: boom\n\n"
	)
	chunk := func(text string) string { return fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(text), text) }
	answer := func(status int, fields, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\nX-Attempt-Id: r1\r\n%s\r\n%s", status, fields, body)
	}
	firsts := map[string]string{
		"in chunks, inside an event":   streamHead + chunk(eventStreamBody(1, 2)+part),
		"in chunks, before the end":    streamHead + chunk(eventStreamBody(1, 2)) + "0\r\n",
		"with length, between events":  streamHead + "Content-Length: 99\r\n\r\n" + eventStreamBody(1, 2),
		"with length, inside an event": streamHead + "Content-Length: 99\r\n\r\n" + eventStreamBody(1, 2) + part,
		"until close, inside an event": streamHead + "\r\n" + eventStreamBody(1, 2) + part,
	}
	seconds := map[string]string{
		"error with text":                answer(500, "Content-Type: text/plain\r\n"+signatureHeader, "boom"),
		"error with events":              answer(500, events+signatureHeader+"Content-Length: 18\r\n", boom),
		"error after informational head": "HTTP/1.1 103 x\r\n\r\n" + answer(502, events, boom),
		"redirection":                    answer(302, events+signatureHeader, boom),
		"refusal":                        answer(429, notRunMark, "boom"),
		"unmarked refusal":               answer(503, events+signatureHeader, boom),
		"no content":                     answer(204, events+signatureHeader, ""),
		"other success":                  answer(206, events+signatureHeader+"Content-Length: 18\r\n", boom),
		"other content type":             answer(200, "Content-Type: text/plain\r\n"+signatureHeader, boom),
		"unsigned":                       answer(200, events+"Content-Length: 18\r\n", boom),
		"encoded":                        answer(200, events+signatureHeader+"Content-Encoding: gzip\r\n", boom),
		"to another request":             foreignHead + events + "Content-Length: 18\r\n\r\n" + boom,
		"head that ends early":           streamHead,
		"event that ends early":          streamHead + "\r\n" + part,
		"nothing":                        "",
	}
	writing := func(text string) script {
		return func(w *bufio.Writer, _ *http.Request, _ int) bool {
			_, _ = w.WriteString(text)
			_ = w.Flush()
			return false
		}
	}
	for name, first := range firsts {
		for secondName, second := range seconds {
			t.Run(name+"/"+secondName, func(t *testing.T) {
				t.Parallel()
				a, b := newBackend(t, "i-1", writing(first)), newBackend(t, "i-2", writing(second))
				e := newOrderedEntry(t, a, b)
				got, body, complete := e.call(t, http.MethodPost, "/stream/x", "q")
				if got.StatusCode != http.StatusOK || complete || body != eventStreamBody(1, 2) {
					t.Errorf("response is %d, complete %t, %q", got.StatusCode, complete, body)
				}
				if n := b.requests.Load(); n != 1 {
					t.Errorf("second server got %d requests", n)
				}
			})
		}
	}
}

// Guards against a broken response that looks complete to a caller with HTTP/1.0, which
// has no chunks: the end of the connection is that of the body, unless it is reset.
func TestBrokenResponseToOldCallerIsReset(t *testing.T) {
	for name, s := range map[string]script{
		"stream": func(w *bufio.Writer, r *http.Request, _ int) bool { writeEvents(w, r, 1, 2, false); return false },
		"long body": func(w *bufio.Writer, _ *http.Request, _ int) bool {
			_, _ = w.WriteString(ownHead + signatureHeader + chunkedHead + strings.Repeat("100000\r\n"+strings.Repeat("m", 1<<20)+"\r\n", 2))
			_ = w.Flush()
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, newBackend(t, "i-1", s))
			conn, err := net.Dial("tcp", e.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "POST /stream/1 HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer key\r\n\r\n")
			if data, err := io.ReadAll(conn); err == nil {
				t.Errorf("response with %d bytes ends like a complete one", len(data))
			}
		})
	}
}

// Guards against a head that ends early, at whichever byte, and is taken for a whole
// response: as an empty or short success, as a refusal, or as an empty stream.
func TestHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	for _, head := range []string{
		ownHead + signatureHeader + "Content-Length: 25\r\n\r\n",
		ownHead + signatureHeader + "\r\n",
		streamHead + chunkedHead,
		refusalHead + emptyLength,
		"HTTP/1.1 103 x\r\nLink: l\r\n\r\nHTTP/1.1 204 x\r\nX-Attempt-Id: r1\r\n" + signatureHeader + "\r\n",
	} {
		for end := range head {
			for path, want := range map[string]int{"/write/1": http.StatusBadGateway, "/read/1": http.StatusOK, "/stream/1": http.StatusOK} {
				t.Run(fmt.Sprintf("%.12q to %d%s", head, end, path), func(t *testing.T) {
					t.Parallel()
					first := newBackend(t, "i-1", func(w *bufio.Writer, _ *http.Request, _ int) bool {
						_, _ = w.WriteString(head[:end])
						_ = w.Flush()
						return false
					})
					second := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, 200, "whole") })
					got, body, complete := newOrderedEntry(t, first, second).call(t, http.MethodPost, path, "x")
					if retried := second.requests.Load() == 1; got.StatusCode != want || !complete || retried != (want == http.StatusOK) || retried != (body == "whole") {
						t.Errorf("response after %q is %d %q, complete %t", head[:end], got.StatusCode, body, complete)
					}
				})
			}
		}
	}
}
