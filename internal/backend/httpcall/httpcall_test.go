package httpcall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/endless"
)

const (
	answerHead  = "HTTP/1.1 200 OK\r\n"
	chunkedHead = answerHead + "Transfer-Encoding: chunked\r\n\r\n"
	chunk       = "10\r\nmmmmmmmmmmmmmmmm\r\n"
	// maxSentBytes is more than is read of an answer that has no end, and what the
	// kernel buffers.
	maxSentBytes = 4 << 20
)

func checkCutOff(t *testing.T, s *endless.Server) {
	t.Helper()
	s.AwaitClosed(t)
	if s.Requests() != 1 || s.Written() > maxSentBytes {
		t.Errorf("server got %d requests and could send %d bytes, want 1 and at most %d", s.Requests(), s.Written(), maxSentBytes)
	}
}

// Guards against the head of an answer without end that fills the memory, or after
// which the request counts as not sent.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, response := range map[string]endless.Response{
		"garbage":               {Unit: "g"},
		"status line":           {Head: "HTTP/1.1 200 ", Unit: "O"},
		"header line":           {Head: answerHead + "X-Long: ", Unit: "v"},
		"header lines":          {Head: answerHead, Unit: "X-Many: v\r\n"},
		"informational answers": {Unit: "HTTP/1.1 103 x\r\nLink: l\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(response, "")
			c := &Client{BaseURL: "http://" + s.Listen(t)}
			answer, err := c.Submit(t.Context(), mulberryspool.BackendRequest{RequestID: "r1", Method: http.MethodPost, Path: "/"})
			if err == nil {
				answer.Body.Close()
			}
			if !errors.Is(err, mulberryspool.ErrUncertain) {
				t.Errorf("error is %v, want ErrUncertain", err)
			}
			checkCutOff(t, s)
		})
	}
}

// Guards against a response whose status is none, and which is passed on to a caller.
func TestResponseWithInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		s := endless.New(endless.Response{Head: "HTTP/1.1 " + status + " x\r\nContent-Length: 2\r\n\r\nok", Unit: "m", Interval: 10 * time.Millisecond}, "")
		c := &Client{BaseURL: "http://" + s.Listen(t)}
		answer, err := c.Submit(t.Context(), mulberryspool.BackendRequest{RequestID: "r1", Method: http.MethodPost, Path: "/"})
		if err == nil {
			t.Errorf("received status %d for %s", answer.Status, status)
			answer.Body.Close()
		} else if !errors.Is(err, mulberryspool.ErrUncertain) {
			t.Errorf("status %s: error is %v, want ErrUncertain", status, err)
		}
		checkCutOff(t, s)
	}
}

// Guards against a body that is taken for complete although its framing never ends.
func TestEndlessFramingIsNoEnd(t *testing.T) {
	for name, response := range map[string]endless.Response{
		"chunk size":       {Head: chunkedHead, Unit: "0"},
		"chunk extension":  {Head: chunkedHead + "2;", Unit: "e"},
		"chunk extensions": {Head: chunkedHead, Unit: "1;" + strings.Repeat("e", 1000) + "\r\nm\r\n"},
		"trailers":         {Head: chunkedHead + "2\r\nok\r\n0\r\n", Unit: "X-Many: v\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(response, "")
			c := &Client{BaseURL: "http://" + s.Listen(t)}
			answer, err := c.Submit(t.Context(), mulberryspool.BackendRequest{RequestID: "r1", Method: http.MethodPost, Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, answer.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("body ended with %v, want an error", err)
			}
			answer.Body.Close()
			checkCutOff(t, s)
		})
	}
}

// Guards against a body that is read to its end, which may never come, when it is closed,
// and against bytes after the end of a stream that belong to its answer.
func TestClosingBodyCutsOffServer(t *testing.T) {
	const done = "data: 1\n\ndata: [DONE]\n\n"
	for name, response := range map[string]endless.Response{
		"chunks":            {Head: chunkedHead, Unit: chunk},
		"with length":       {Head: answerHead + "Content-Length: 1000000000000\r\n\r\n", Unit: "m"},
		"without length":    {Head: answerHead + "\r\n", Unit: "m"},
		"after last event":  {Head: answerHead + "Content-Type: text/event-stream\r\n\r\n" + done, Unit: "data: 2\n\n"},
		"chunks, trickling": {Head: chunkedHead, Unit: chunk, Interval: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(response, "")
			c := &Client{BaseURL: "http://" + s.Listen(t), ExpectDone: true}
			answer, err := c.Submit(t.Context(), mulberryspool.BackendRequest{RequestID: "r1", Method: http.MethodPost, Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			if isEventStream(answer.ContentType) {
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					t.Errorf("stream ended with %v", err)
				}
			}
			answer.Body.Close()
			checkCutOff(t, s)
		})
	}
}

// Guards against an answer to a control call that fills the memory or outlives the
// call's timeout.
func TestEndlessAnswerToControlCall(t *testing.T) {
	for name, response := range map[string]endless.Response{
		"chunks":            {Head: chunkedHead, Unit: chunk},
		"without length":    {Head: answerHead + "\r\n", Unit: "m"},
		"chunks, trickling": {Head: chunkedHead, Unit: chunk, Interval: 10 * time.Millisecond},
		"header lines":      {Head: answerHead, Unit: "X-Many: v\r\n", Interval: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := endless.New(response, "")
			request, err := http.NewRequest(http.MethodGet, "http://"+s.Listen(t)+"/engine/report", nil)
			if err != nil {
				t.Fatal(err)
			}
			if status, body, err := SendControl(t.Context(), clockwork.NewRealClock(), 300*time.Millisecond, request, 64<<10); err == nil {
				t.Errorf("answer is %d with %d bytes, want an error", status, len(body))
			}
			checkCutOff(t, s)
		})
	}
}

// Guards against a head that ends early, at whichever byte, and is taken for a whole
// answer, or after which the request counts as not sent.
func TestHeadThatEndsEarlyIsUncertain(t *testing.T) {
	const head = answerHead + "Content-Type: text/plain\r\nContent-Length: 10\r\n\r\n"
	for end := range head {
		c := &Client{BaseURL: "http://" + serveRaw(t, head[:end])}
		answer, err := c.Submit(t.Context(), mulberryspool.BackendRequest{RequestID: "r1", Method: http.MethodPost, Path: "/"})
		if err == nil {
			answer.Body.Close()
		}
		if !errors.Is(err, mulberryspool.ErrUncertain) {
			t.Errorf("error after %q is %v, want ErrUncertain", head[:end], err)
		}
	}
}

// Guards against an earlier refusal, written once more on a kept connection, that is
// taken for the answer to a later request.
func TestRepeatedRefusalIsNotTakenForAnswer(t *testing.T) {
	const ok, refusal = answerHead + "Content-Length: 2\r\n\r\nok", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
	c := &Client{BaseURL: "http://" + serveRaw(t, ok, refusal+ok)}
	for range 3 {
		answer, err := c.Submit(t.Context(), mulberryspool.BackendRequest{RequestID: "r1", Method: http.MethodPost, Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		if answer.Status != http.StatusOK || string(body) != "ok" || err != nil {
			t.Errorf("answer is %d %q, %v", answer.Status, body, err)
		}
		answer.Body.Close()
	}
}

// serveRaw writes the answers to the first requests on each connection, then closes it,
// and returns the address.
func serveRaw(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, answer := range answers {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}
