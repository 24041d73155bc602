package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const refused = "X-Not-Executed: 1\r\n"

// respond writes a response with the headers.
func respond(w *bufio.Writer, r *http.Request, status int, headers string) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d x\r\nX-Attempt-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", status, r.Header.Get("X-Attempt-Id"), headers)
	return true
}

// pauseFor writes a refusal that asks for a pause.
func pauseFor(w *bufio.Writer, r *http.Request, pause time.Duration) bool {
	return respond(w, r, http.StatusServiceUnavailable, fmt.Sprintf("%sRetry-After: %g\r\n", refused, pause.Seconds()))
}

// pauseOnce refuses the first request.
func pauseOnce(pause time.Duration) script {
	return func(w *bufio.Writer, r *http.Request, n int) bool {
		if n == 1 {
			return pauseFor(w, r, pause)
		}
		return writeResponse(w, r, http.StatusOK, "ok")
	}
}

// delayDials makes connections to the address take the time.
func (e *entry) delayDials(address string, delay func() time.Duration) {
	dial := e.handler.ConnPool.Dial
	e.handler.ConnPool.Dial = func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == address {
			time.Sleep(delay())
		}
		return dial(ctx, network, to)
	}
}

// Guards against a server that gets requests after it has refused others and wants none
// for a time, also those that waited for a connection, against requests that fail although
// another server has capacity, and against a server that gets none afterwards.
func TestPausedServerGetsRequests(t *testing.T) {
	const (
		rate     = 60
		length   = 4 * time.Second
		refusing = 1400 * time.Millisecond
	)
	type refusal struct{ at, until time.Time }
	var (
		mu       sync.Mutex
		arrivals []time.Time
		refusals []refusal
		served   atomic.Int32
		dials    atomic.Int32
	)
	started := time.Now()
	paused := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		arrivals = append(arrivals, now)
		if now.Sub(started) > refusing {
			return writeResponse(w, r, http.StatusOK, "ok")
		}
		// Later refusals ask for less.
		pause := []time.Duration{1800 * time.Millisecond, 600 * time.Millisecond}[min(1, len(refusals))]
		refusals = append(refusals, refusal{now, now.Add(pause)})
		return pauseFor(w, r, pause)
	})
	open := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool {
		// Several in flight here make the entry open several connections to the other.
		time.Sleep(60 * time.Millisecond)
		return writeResponse(w, r, http.StatusOK, "ok")
	})
	e := newEntry(t, paused, open)
	e.delayDials(paused.address, func() time.Duration {
		if dials.Add(1) == 1 {
			return 300 * time.Millisecond
		}
		return time.Second
	})
	var calls sync.WaitGroup
	count := int(length.Seconds() * rate)
	for i := range count {
		calls.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / rate)
			if head, _, _ := e.call(t, http.MethodGet, "/read/x", "", "X-Attempt-Id", "r"+strconv.Itoa(i)); head.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
	}
	calls.Wait()
	for _, r := range refusals {
		in := 0
		for _, at := range arrivals {
			if at.After(r.at.Add(500*time.Millisecond)) && at.Before(r.until) {
				in++
			}
		}
		if in > 2 {
			t.Errorf("server got %d requests from 0.5 s after a refusal to the end of its pause of %s, want at most 2", in, r.until.Sub(r.at))
		}
	}
	if served.Load() < int32(count) {
		t.Errorf("%d of %d requests were served", served.Load(), count)
	}
	if after := len(arrivals) - len(refusals); len(refusals) == 0 || after < rate/4 {
		t.Errorf("server refused %d requests and served %d, want at least 1 and %d", len(refusals), after, rate/4)
	}
}

// Guards against callers that return before the only server wants requests, and against
// requests that reach it or are held meanwhile.
func TestCallersOfPausedPoolWaitForItsEnd(t *testing.T) {
	const pause = 900 * time.Millisecond
	b := newBackend(t, "i-1", pauseOnce(pause))
	e := newEntry(t, b)
	began := time.Now()
	for i, path := range []string{"/write/1", "/write/2", "/read/3"} {
		head, _, _ := e.call(t, http.MethodPost, path, "x")
		seconds, err := strconv.ParseFloat(head.Header.Get("Retry-After"), 64)
		end := began.Add(pause)
		if hint := time.Now().Add(time.Duration(seconds * float64(time.Second))); head.StatusCode != http.StatusServiceUnavailable || err != nil || hint.Before(end.Add(-10*time.Millisecond)) {
			t.Errorf("response %d is %d with Retry-After %q, want 503 with the rest of %s", i, head.StatusCode, head.Header.Get("Retry-After"), pause)
		}
	}
	if took, n := time.Since(began), b.requests.Load(); took > pause/2 || n != 1 {
		t.Errorf("three requests took %s and %d reached the server, want 1", took, n)
	}
	// One that comes shortly before the end waits for it.
	time.Sleep(time.Until(began.Add(pause - 100*time.Millisecond)))
	if head, _, _ := e.call(t, http.MethodPost, "/write/4", "x"); head.StatusCode != http.StatusOK || time.Since(began) < pause {
		t.Errorf("response is %d after %s, want 200 after %s", head.StatusCode, time.Since(began), pause)
	}
}

// Guards against a request that fails because its server paused while the connection was
// opened, although the pause ends in time.
func TestRequestWithheldDuringPauseIsSentAfterIt(t *testing.T) {
	const pause = 300 * time.Millisecond
	dialing, paused := make(chan struct{}), make(chan struct{})
	b := newBackend(t, "i-1", pauseOnce(pause))
	e := newEntry(t, b)
	patient := ingress()
	patient.Version = 2
	for i := range patient.Routes {
		patient.Routes[i].Objective = 2 * time.Second
	}
	e.scheduler.SetIngress(patient)
	var dials atomic.Int32
	e.delayDials(b.address, func() time.Duration {
		if dials.Add(1) == 1 {
			close(dialing)
			wait(paused)
		}
		return 0
	})
	go func() {
		wait(dialing)
		e.call(t, http.MethodPost, "/write/1", "x")
		close(paused)
	}()
	began := time.Now()
	if head, _, _ := e.call(t, http.MethodPost, "/write/2", "x"); head.StatusCode != http.StatusOK || time.Since(began) < pause {
		t.Errorf("response is %d after %s, want 200 after the pause of %s", head.StatusCode, time.Since(began), pause)
	}
}

// Guards against a leaving server that gets requests: whatever it answers, the scheduler
// must know before the caller does, and a request that waits for a connection meanwhile
// goes to another server.
func TestLeavingServerGetsRequests(t *testing.T) {
	const leaving = "Server-Leaving: 1\r\n"
	for name, c := range map[string]struct {
		path   string
		answer func(w *bufio.Writer, r *http.Request, marked <-chan struct{}) bool
	}{
		"stream at its head": {"/stream/1", func(w *bufio.Writer, r *http.Request, marked <-chan struct{}) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Attempt-Id"), signatureHeader, leaving)
			_ = w.Flush()
			wait(marked)
			r.Header.Del("Last-Event-Id")
			writeEvents(w, r, 2, 3, true)
			return true
		}},
		"refusal without a signature": {"/read/1", func(w *bufio.Writer, r *http.Request, _ <-chan struct{}) bool {
			return respond(w, r, 503, refused+leaving)
		}},
		"server error": {"/write/1", func(w *bufio.Writer, r *http.Request, _ <-chan struct{}) bool {
			return respond(w, r, 500, leaving+signatureHeader)
		}},
		"plain answer": {"/read/1", func(w *bufio.Writer, r *http.Request, _ <-chan struct{}) bool {
			return respond(w, r, 200, leaving+signatureHeader)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			marked, dialing := make(chan struct{}), make(chan struct{})
			left := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool { return c.answer(w, r, marked) })
			other := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, http.StatusOK, "ok") })
			e := newEntry(t, left)
			var calls, dials atomic.Int32
			e.handler.ServerLeaving = func(instance mulberryspool.InstanceID, born int64) {
				if instance != "i-1" || born != 1 {
					t.Errorf("%s born %d leaves, want i-1 born 1", instance, born)
				}
				gone := left.server("p")
				gone.Leaving = true
				e.scheduler.SetServers(map[mulberryspool.InstanceID]mulberryspool.BackendServer{"i-1": gone, "i-2": other.server("p")})
				if calls.Add(1) == 1 {
					close(marked)
				}
			}
			e.delayDials(left.address, func() time.Duration {
				if dials.Add(1) == 1 {
					close(dialing)
					wait(marked)
				}
				return 0
			})
			waited := make(chan responseHead)
			go func() {
				head, _, _ := e.call(t, http.MethodPost, "/write/2", "x")
				waited <- head
			}()
			wait(dialing)
			if _, _, complete := e.call(t, http.MethodPost, c.path, "x"); !complete || calls.Load() != 1 {
				t.Errorf("complete %t, reported %d times", complete, calls.Load())
			}
			if head := <-waited; head.StatusCode != http.StatusOK {
				t.Errorf("response to the request that waited for a connection is %d", head.StatusCode)
			}
			if n := left.requests.Load(); n != 1 {
				t.Errorf("the leaving server got %d requests, want 1", n)
			}
		})
	}
}

func wait(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(2 * time.Second):
	}
}
