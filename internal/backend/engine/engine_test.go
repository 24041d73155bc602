package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/mulberryspool/mulberryspool"
	standin "github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/testkit/httpserver"
)

const firstDigest mulberryspool.Digest = "1111"

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startEngine starts a simulated engine that serves v1 and returns its client.
func startEngine(t testing.TB, s *standin.Server) *Client {
	t.Helper()
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	s.InitialLoaded = mulberryspool.Loaded{Version: "v1", Digest: firstDigest, Fencing: 1}
	return &Client{BaseURL: httpserver.Start(t, s.Handler()), Clock: clockwork.NewRealClock()}
}

// chatRequest returns a chat completion request.
func chatRequest(id, prompt string, tokens int, stream bool) mulberryspool.BackendRequest {
	body := fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
	return mulberryspool.BackendRequest{
		RequestID:   mulberryspool.RequestID(id),
		Method:      http.MethodPost,
		Path:        "/v1/chat/completions",
		ContentType: "application/json",
		Body:        []byte(body),
	}
}

// submit sends a request and returns the body of the answer. A status other than
// 200 is an error.
func submit(ctx context.Context, c *Client, request mulberryspool.BackendRequest) ([]byte, error) {
	answer, err := c.Submit(ctx, request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err == nil && answer.Status != http.StatusOK {
		err = errors.Newf("status %d: %s", answer.Status, data)
	}
	return data, err
}

// generatedText returns the generated text of an answer, streamed or not.
func generatedText(t *testing.T, data []byte) string {
	t.Helper()
	type message struct {
		Content string `json:"content"`
	}
	var joined strings.Builder
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(strings.TrimPrefix(line, "data: "))
		if line == "" || line == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct{ Message, Delta message } `json:"choices"`
		}
		if err := json.Unmarshal([]byte(line), &event); err != nil {
			t.Fatalf("event %q: %v", line, err)
		}
		for _, choice := range event.Choices {
			joined.WriteString(choice.Message.Content + choice.Delta.Content)
		}
	}
	return joined.String()
}

// Checks that an answer depends only on the request and the loaded weights, and
// that each request runs once, so that tests can tell from an answer which request
// and which weights it comes from.
func TestAnswerIsDeterministic(t *testing.T) {
	s := &standin.Server{}
	c := startEngine(t, s)
	for i, stream := range []bool{false, true} {
		request := chatRequest(fmt.Sprint("r", i), "hello", 40, stream)
		data, err := submit(context.Background(), c, request)
		if err != nil {
			t.Fatal(err)
		}
		want, err := standin.ExpectedAnswer(request.Body, firstDigest)
		if err != nil {
			t.Fatal(err)
		}
		if got := generatedText(t, data); got != want {
			t.Errorf("answer is %q, want %q", got, want)
		}
		if other, _ := standin.ExpectedAnswer(request.Body, "2222"); other == want {
			t.Error("the answer does not depend on the weights")
		}
		executions := s.Executions(request.RequestID)
		if len(executions) != 1 || executions[0].Outcome != standin.ExecutionCompleted || executions[0].Tokens != 40 ||
			executions[0].StartDigest != firstDigest || executions[0].EndDigest != firstDigest {
			t.Errorf("executions are %+v", executions)
		}
	}
}

// Checks that an answer that was cut off, or whose stream ends without [DONE], is
// not taken for a complete one.
func TestCutAnswersAreNotComplete(t *testing.T) {
	s := &standin.Server{}
	c := startEngine(t, s)
	for _, stream := range []bool{false, true} {
		for _, kind := range []fault.Kind{fault.Truncate, fault.EndEarly} {
			if err := s.Faults.Add(fault.Rule{Kind: kind, Calls: 1}); err != nil {
				t.Fatal(err)
			}
			data, err := submit(context.Background(), c, chatRequest("r", "hello", 40, stream))
			if len(data) == 0 || !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("stream %v, %s: read %d bytes, %v, want io.ErrUnexpectedEOF", stream, kind, len(data), err)
			}
		}
	}
	for i, e := range s.Executions("r") {
		if e.Outcome == standin.ExecutionCompleted {
			t.Errorf("execution %d counts as completed", i)
		}
	}
}

// Checks that a stream counts as complete only after the event [DONE] with its
// blank line, however the bytes are divided among reads, and that [DONE] inside
// other data does not end the stream.
func TestEndOfStream(t *testing.T) {
	for _, test := range []struct {
		body     string
		complete bool
	}{
		{"data: x\n\ndata: [DONE]\n\n", true},
		{"data: x\r\n\r\ndata: [DONE]\r\n\r\n", true},
		{"data: x\n\ndata: [DONE]\n", false},
		{"data: x\n\ndata: [DONE]", false},
		{"data: x\n\n", false},
		{"data: {\"content\":\"data: [DONE]\"}\n\n", false},
		{": data: [DONE]\n\n", false},
		{"data: [DONE] and more\n\n", false},
		{"data: " + strings.Repeat("x", 100) + "\n\ndata: [DONE]\n\n", true},
	} {
		for _, size := range []int{1, 7, 1000} {
			url := httpserver.Start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
				for rest := []byte(test.body); len(rest) > 0; {
					n := min(size, len(rest))
					_, _ = w.Write(rest[:n])
					_ = http.NewResponseController(w).Flush()
					rest = rest[n:]
				}
			}))
			c := &Client{BaseURL: url, Clock: clockwork.NewRealClock()}
			data, err := submit(context.Background(), c, chatRequest("r", "x", 1, true))
			if string(data) != test.body {
				t.Errorf("read %q, want %q", data, test.body)
			}
			if (err == nil) != test.complete || (err != nil && !errors.Is(err, io.ErrUnexpectedEOF)) {
				t.Errorf("%q in parts of %d: %v, want complete %v", test.body, size, err, test.complete)
			}
		}
	}
}

// Checks that an answer without a length or chunked encoding is not taken for a
// complete one: it ends with its connection, exactly like one that was cut off.
func TestAnswerThatEndsWithConnection(t *testing.T) {
	c := &Client{Clock: clockwork.NewRealClock(), BaseURL: httpserver.Start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		_ = buffered.Flush()
	}))}
	if data, err := submit(context.Background(), c, chatRequest("r", "x", 1, false)); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("read %q, %v, want io.ErrUnexpectedEOF", data, err)
	}
}

// Checks that ErrUnavailable is returned only if a request did not run, because
// such a request may be sent again.
func TestSubmitErrors(t *testing.T) {
	s := &standin.Server{}
	c := startEngine(t, s)
	if err := s.Faults.Add(fault.Rule{Kind: fault.LoseAnswer, Calls: 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := submit(context.Background(), c, chatRequest("lost", "x", 1, false)); !errors.Is(err, mulberryspool.ErrUncertain) {
		t.Errorf("a lost answer gave %v, want ErrUncertain", err)
	}
	if n := len(s.Executions("lost")); n != 1 {
		t.Errorf("the request ran %d times, want once", n)
	}
	c = &Client{BaseURL: httpserver.ClosedURL(t, s.Handler()), Clock: s.Clock}
	if _, err := submit(context.Background(), c, chatRequest("never", "x", 1, false)); !errors.Is(err, mulberryspool.ErrUnavailable) {
		t.Errorf("an unreachable engine gave %v, want ErrUnavailable", err)
	}
}

// Checks that a cancel stops exactly the request with its ID, whether the request
// is running or waiting.
func TestCancel(t *testing.T) {
	s := &standin.Server{TokensPerSecond: 100, Capacity: 1}
	c := startEngine(t, s)
	ctx := context.Background()
	runningAnswer, err := c.Submit(ctx, chatRequest("running", "x", 10_000, true))
	if err != nil {
		t.Fatal(err)
	}
	defer runningAnswer.Body.Close()
	waitingErr := make(chan error, 1)
	go func() {
		_, err := submit(ctx, c, chatRequest("waiting", "x", 1, false))
		waitingErr <- err
	}()
	for c.Cancel(ctx, "waiting") != nil {
		time.Sleep(time.Millisecond)
	}
	if err := <-waitingErr; err == nil {
		t.Error("the cancelled request was answered")
	}
	if n := len(s.Executions("waiting")); n != 0 {
		t.Errorf("the request ran %d times although it was cancelled while it waited", n)
	}
	if err := c.Cancel(ctx, "other"); !errors.Is(err, mulberryspool.ErrNotFound) {
		t.Errorf("cancel of an unknown request returned %v, want ErrNotFound", err)
	}
	if got := s.Executions("running"); len(got) != 1 || got[0].Outcome != standin.ExecutionRunning {
		t.Errorf("executions are %+v, want one that runs", got)
	}
	if err := c.Cancel(ctx, "running"); err != nil {
		t.Error(err)
	}
	if _, err := io.ReadAll(runningAnswer.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cancelled stream ended with %v, want io.ErrUnexpectedEOF", err)
	}
	if got := s.Executions("running"); got[0].Outcome != standin.ExecutionCancelled {
		t.Errorf("execution is %+v, want cancelled", got[0])
	}
}

// Guards against a response whose status is none, and which is passed on to a caller.
func TestResponseWithInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "101", "600"} {
		url := httpserver.Start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			_, _ = buffered.WriteString("HTTP/1.1 " + status + " x\r\nContent-Length: 2\r\n\r\nok")
			_ = buffered.Flush()
		}))
		answer, err := (&Client{Clock: clockwork.NewRealClock(), BaseURL: url}).Submit(context.Background(), mulberryspool.BackendRequest{RequestID: "r", Method: http.MethodPost, Path: "/"})
		if err == nil {
			answer.Body.Close()
		}
		if !errors.Is(err, mulberryspool.ErrUncertain) {
			t.Errorf("status %s gave %v, want ErrUncertain", status, err)
		}
	}
}
