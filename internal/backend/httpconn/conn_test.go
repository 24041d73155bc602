package httpconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/peer/sockets"
	"github.com/mulberryspool/mulberryspool/internal/testkit/endless"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	requestHead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	answerHead  = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
	chunk       = "10\r\nmmmmmmmmmmmmmmmm\r\n"
	// testTimeout keeps a test from hanging.
	testTimeout = 20 * time.Second
	// maxSentBytes is more than a connection reads of an answer that has no end, and
	// what the kernel buffers.
	maxSentBytes = 12 << 20
)

func newPool(t *testing.T, clock mulberryspool.Clock) *Pool {
	t.Helper()
	p := &Pool{Clock: clock, HeaderCodec: platform.Headers{}, Dial: sockets.Dialer{}.DialContext}
	t.Cleanup(p.Close)
	return p
}

// send acquires a connection and sends a request on it.
func send(t *testing.T, p *Pool, target Target) *Conn {
	t.Helper()
	c, err := p.Acquire(t.Context(), target, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Send([]byte(requestHead), nil, time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against endless bytes that are read until the deadline, or reported as
// an answer that was lost, although they show that they are no answer.
func TestEndlessHeadIsInvalid(t *testing.T) {
	for name, response := range map[string]endless.Response{
		"garbage":               {Unit: "g"},
		"garbage, trickling":    {Unit: "g", Interval: 10 * time.Millisecond},
		"prefix of an answer":   {Unit: "HTT", Interval: 10 * time.Millisecond},
		"empty lines":           {Unit: "\r\n", Interval: 10 * time.Millisecond},
		"status line":           {Head: "HTTP/1.1 200 ", Unit: "O"},
		"header line":           {Head: answerHead + "X-Long: ", Unit: "v"},
		"continued header line": {Head: answerHead + "X-Long: v\r\n", Unit: " v\r\n"},
		"header lines":          {Head: answerHead, Unit: "X-Many: v\r\n"},
		"informational answers": {Unit: "HTTP/1.1 100 Continue\r\n\r\n"},
		"foreign chunks":        {Head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: r2\r\n" + chunkedHead, Unit: chunk},
		"foreign, trickling":    {Head: "HTTP/1.1 200 OK\r\nX-Attempt-Id: r2\r\n\r\n", Unit: "m", Interval: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(response, "")
			began := time.Now()
			c := send(t, newPool(t, clockwork.NewRealClock()), Target{Address: s.Listen(t)})
			answer, err := c.Receive("GET", "r1")
			if err == nil {
				answer.Body.Close()
			}
			if time.Since(began) >= testTimeout {
				t.Error("read ended at the deadline only")
			}
			if !errors.Is(err, ErrInvalidAnswer) || errors.Is(err, ErrAnswerLost) {
				t.Errorf("error is %v, want ErrInvalidAnswer only", err)
			}
			c.Release(true)
			s.AwaitClosed(t)
			if s.Written() > maxSentBytes {
				t.Errorf("server could send %d bytes, want at most %d", s.Written(), maxSentBytes)
			}
		})
	}
}

// Guards against a response whose status is none, and which is skipped, so that its body is
// taken for the response, or passed on to a caller.
func TestResponseWithInvalidStatusIsNoResponse(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nContent-Length: 5\r\n\r\ninner"
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, rest := range map[string]string{
			"with a body":       fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner),
			"before a response": "\r\n" + inner,
		} {
			s := endless.New(endless.Response{Head: "HTTP/1.1 " + status + " x\r\nX-Attempt-Id: r1\r\n" + rest, Unit: "m", Interval: 10 * time.Millisecond}, "")
			c := send(t, newPool(t, clockwork.NewRealClock()), Target{Address: s.Listen(t)})
			answer, err := c.Receive("GET", "r1")
			if err == nil {
				t.Errorf("status %s %s: received status %d", status, name, answer.StatusCode)
				answer.Body.Close()
			} else if !errors.Is(err, ErrInvalidAnswer) || errors.Is(err, ErrAnswerLost) {
				t.Errorf("status %s %s: error is %v, want ErrInvalidAnswer only", status, name, err)
			}
			c.Release(true)
			s.AwaitClosed(t)
		}
	}
}

// Guards against informational responses that are taken for the one that follows them.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	s := endless.New(endless.Response{Head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n" + answerHead + "Content-Length: 2\r\n\r\nok", Unit: "m", Interval: 10 * time.Millisecond}, "")
	c := send(t, newPool(t, clockwork.NewRealClock()), Target{Address: s.Listen(t)})
	answer, err := c.Receive("GET", "r1")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if body, err := io.ReadAll(answer.Body); string(body) != "ok" || answer.StatusCode != http.StatusOK {
		t.Errorf("status %d, body %q, %v", answer.StatusCode, body, err)
	}
	c.Release(false)
}

// Guards against a body that is read to its end, which may never come, when it is closed.
func TestClosingBodyDoesNotReadItsRest(t *testing.T) {
	for name, response := range map[string]endless.Response{
		"chunks":            {Head: answerHead + chunkedHead, Unit: chunk},
		"chunks, trickling": {Head: answerHead + chunkedHead, Unit: chunk, Interval: 10 * time.Millisecond},
		"with length":       {Head: answerHead + "Content-Length: 1000000000000\r\n\r\n", Unit: "m"},
		"without length":    {Head: answerHead + "\r\n", Unit: "m"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(response, "")
			p := newPool(t, clockwork.NewRealClock())
			target := Target{Address: s.Listen(t)}
			c := send(t, p, target)
			answer, err := c.Receive("GET", "r1")
			if err != nil {
				t.Fatal(err)
			}
			if err := answer.Body.Close(); err != nil {
				t.Error(err)
			}
			s.AwaitClosed(t)
			if s.Written() > maxSentBytes {
				t.Errorf("server could send %d bytes, want at most %d", s.Written(), maxSentBytes)
			}
			c.Release(true)
			if len(p.idle[target]) != 0 {
				t.Error("connection with an unread answer is kept for reuse")
			}
		})
	}
}

// Guards against an unread rest of an answer that is taken for the next one.
func TestConnectionWithUnreadBodyIsNotReused(t *testing.T) {
	s := endless.New(endless.Response{Head: answerHead + chunkedHead, Unit: chunk}, "")
	p := newPool(t, clockwork.NewRealClock())
	target := Target{Address: s.Listen(t)}
	c := send(t, p, target)
	answer, err := c.Receive("GET", "r1")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if _, err := io.CopyN(io.Discard, answer.Body, 1<<20); err != nil {
		t.Fatal(err)
	}
	c.Release(true)
	if len(p.idle[target]) != 0 {
		t.Error("connection with an unread answer is kept for reuse")
	}
	s.AwaitClosed(t)
}

// Guards against an idle connection that stays open, although no request will use
// it, while its server goes on sending.
func TestIdleConnectionIsClosedWhenItExpires(t *testing.T) {
	s := endless.New(endless.Response{Head: answerHead + "Content-Length: 2\r\n\r\nok", Unit: "extra", Interval: 50 * time.Millisecond}, "")
	clock := clockwork.NewFakeClock()
	p := newPool(t, clock)
	target := Target{Address: s.Listen(t)}
	c := send(t, p, target)
	answer, err := c.Receive("GET", "r1")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil || string(body) != "ok" {
		t.Fatalf("body is %q, %v", body, err)
	}
	c.Release(true)
	if len(p.idle[target]) != 1 {
		t.Fatal("connection is not kept for reuse")
	}
	clock.Advance(defaultIdleTime)
	s.AwaitClosed(t)
}

// Guards against an interruption that a later read deadline undoes, so that a
// request goes on after its caller has disconnected.
func TestReadDeadlineDoesNotUndoInterruption(t *testing.T) {
	s := endless.New(endless.Response{Head: strings.TrimSuffix(answerHead, "\r\n"), Unit: "v", Interval: 10 * time.Millisecond}, "")
	c := send(t, newPool(t, clockwork.NewRealClock()), Target{Address: s.Listen(t)})
	ctx, cancel := context.WithCancel(t.Context())
	c.InterruptOnDone(ctx)
	cancel()
	for !c.interrupted.Load() {
		time.Sleep(time.Millisecond)
	}
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	began := time.Now()
	if _, err := c.Receive("GET", "r1"); !errors.As(err, &timeout) || !timeout.Timeout() || time.Since(began) > testTimeout/2 { //nolint:bodyclose // There is no answer.
		t.Errorf("read ended after %v with %v, want a time-out at once", time.Since(began), err)
	}
	c.Release(false)
	s.AwaitClosed(t)
}

// Guards against a backend server that takes the end of an abandoned request's
// connection for that of the request's bytes, and runs it.
func TestAbandonedRequestIsReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	c := send(t, newPool(t, clockwork.NewRealClock()), Target{Address: listener.Addr().String()})
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c.Release(false)
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q and then %v, want a reset", data, err)
	}
}
