package httpcall

import (
	"io"
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
