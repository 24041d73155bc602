package engine

import (
	"bytes"
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
	"github.com/mulberryspool/mulberryspool/internal/standin/content"
	standin "github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

const firstDigest mulberryspool.Digest = "1111"

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func start(t testing.TB, handler http.Handler) string {
	t.Helper()
	running, err := serve.Start(handler, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	return running.URL
}

func startEngine(t testing.TB, s *standin.Server) *Client {
	t.Helper()
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	s.Initial = mulberryspool.Loaded{Version: "v1", Digest: firstDigest, Fencing: 1}
	return &Client{BaseURL: start(t, s.Handler()), Clock: clockwork.NewRealClock()}
}

func chat(id, prompt string, tokens int, stream bool) mulberryspool.BackendRequest {
	body := fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
	return mulberryspool.BackendRequest{
		RequestID:   mulberryspool.RequestID(id),
		Method:      http.MethodPost,
		Path:        "/v1/chat/completions",
		ContentType: "application/json",
		Body:        []byte(body),
	}
}

// ask returns the raw answer.
func ask(ctx context.Context, c *Client, request mulberryspool.BackendRequest) ([]byte, error) {
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

// text returns the generated text of a whole or streamed answer.
func text(t *testing.T, data []byte) string {
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

// Guards against answers that do not show whose they are and which weights made them.
func TestAnswerIsDeterministic(t *testing.T) {
	s := &standin.Server{}
	c := startEngine(t, s)
	for i, stream := range []bool{false, true} {
		request := chat(fmt.Sprint("r", i), "hello", 40, stream)
		data, err := ask(context.Background(), c, request)
		if err != nil {
			t.Fatal(err)
		}
		want, err := standin.Answer(request.Body, firstDigest)
		if err != nil {
			t.Fatal(err)
		}
		if got := text(t, data); got != want {
			t.Errorf("answer is %q, want %q", got, want)
		}
		if other, _ := standin.Answer(request.Body, "2222"); other == want {
			t.Error("the answer does not depend on the weights")
		}
		executions := s.Executions(request.RequestID)
		if len(executions) != 1 || executions[0].Outcome != standin.ExecutionCompleted || executions[0].Tokens != 40 ||
			executions[0].StartDigest != firstDigest || executions[0].EndDigest != firstDigest {
			t.Errorf("executions are %+v", executions)
		}
	}
}

// Guards against a cut answer that looks complete.
func TestCutAnswersAreNotComplete(t *testing.T) {
	s := &standin.Server{}
	c := startEngine(t, s)
	for _, stream := range []bool{false, true} {
		for _, kind := range []fault.Kind{fault.Truncate, fault.EndEarly} {
			if err := s.Faults.Add(fault.Rule{Kind: kind, Calls: 1}); err != nil {
				t.Fatal(err)
			}
			data, err := ask(context.Background(), c, chat("r", "hello", 40, stream))
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

// Guards against ends that are recognized too early, too late or in the wrong place.
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
			url := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
				for rest := []byte(test.body); len(rest) > 0; {
					n := min(size, len(rest))
					_, _ = w.Write(rest[:n])
					_ = http.NewResponseController(w).Flush()
					rest = rest[n:]
				}
			}))
			c := &Client{BaseURL: url, Clock: clockwork.NewRealClock()}
			data, err := ask(context.Background(), c, chat("r", "x", 1, true))
			if string(data) != test.body {
				t.Errorf("read %q, want %q", data, test.body)
			}
			if (err == nil) != test.complete || (err != nil && !errors.Is(err, io.ErrUnexpectedEOF)) {
				t.Errorf("%q in parts of %d: %v, want complete %v", test.body, size, err, test.complete)
			}
		}
	}
}

// Guards against answers without a length that broke off unnoticed.
func TestAnswerThatEndsWithConnection(t *testing.T) {
	c := &Client{Clock: clockwork.NewRealClock(), BaseURL: start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		_ = buffered.Flush()
	}))}
	if data, err := ask(context.Background(), c, chat("r", "x", 1, false)); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("read %q, %v, want io.ErrUnexpectedEOF", data, err)
	}
}

// Guards against a request that is reported as not sent though it ran.
func TestSubmitErrors(t *testing.T) {
	s := &standin.Server{}
	c := startEngine(t, s)
	if err := s.Faults.Add(fault.Rule{Kind: fault.LoseAnswer, Calls: 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := ask(context.Background(), c, chat("lost", "x", 1, false)); !errors.Is(err, mulberryspool.ErrUncertain) {
		t.Errorf("a lost answer gave %v, want ErrUncertain", err)
	}
	if n := len(s.Executions("lost")); n != 1 {
		t.Errorf("the request ran %d times, want once", n)
	}
	gone, err := serve.Start(s.Handler(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	c = &Client{BaseURL: gone.URL, Clock: s.Clock}
	if _, err := ask(context.Background(), c, chat("never", "x", 1, false)); !errors.Is(err, mulberryspool.ErrUnavailable) {
		t.Errorf("an unreachable engine gave %v, want ErrUnavailable", err)
	}
}

// Guards against cancels that do not stop an execution or hit another one.
func TestCancel(t *testing.T) {
	s := &standin.Server{TokensPerSecond: 100, Capacity: 1}
	c := startEngine(t, s)
	ctx := context.Background()
	running, err := c.Submit(ctx, chat("running", "x", 10_000, true))
	if err != nil {
		t.Fatal(err)
	}
	defer running.Body.Close()
	waiting := make(chan error, 1)
	go func() {
		_, err := ask(ctx, c, chat("waiting", "x", 1, false))
		waiting <- err
	}()
	for c.Cancel(ctx, "waiting") != nil {
		time.Sleep(time.Millisecond)
	}
	if err := <-waiting; err == nil {
		t.Error("the cancelled request was answered")
	}
	if n := len(s.Executions("waiting")); n != 0 {
		t.Errorf("the request ran %d times though it was cancelled while it waited", n)
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
	if _, err := io.ReadAll(running.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cancelled stream ended with %v, want io.ErrUnexpectedEOF", err)
	}
	if got := s.Executions("running"); got[0].Outcome != standin.ExecutionCancelled {
		t.Errorf("execution is %+v, want cancelled", got[0])
	}
}

func startOrigin(t *testing.T, size int64) (order mulberryspool.LoadOrder, manifest mulberryspool.Manifest) {
	t.Helper()
	s := &origin.Server{Clock: clockwork.NewRealClock()}
	weights := content.Generate(2, size)
	manifest, err := content.Manifest("v2", "v2", weights, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	s.Put("v2", weights, manifest.Chunks)
	source := start(t, s.Handler()) + origin.PathPrefix + "v2"
	return mulberryspool.LoadOrder{Version: "v2", Source: source, Size: size, Fencing: 2}, manifest
}

// Guards against loads that change what is served though they failed, and
// against a digest that the engine did not compute itself.
func TestLoad(t *testing.T) {
	ctx := context.Background()
	s := &standin.Server{RefusesStaleOrders: true}
	c := startEngine(t, s)
	order, manifest := startOrigin(t, 300_000)
	before, err := c.Loaded(ctx)
	if err != nil || before.Version != "v1" || before.Digest != firstDigest {
		t.Fatalf("loaded is %+v, %v", before, err)
	}
	stale, short, foreign := order, order, order
	stale.Fencing, short.Size, foreign.Source = 0, 299_999, "http://192.0.2.1/v2"
	if err := c.Load(ctx, stale); !errors.Is(err, mulberryspool.ErrConflict) {
		t.Errorf("stale order returned %v, want ErrConflict", err)
	}
	if err := c.Load(ctx, short); !errors.Is(err, ErrLoadFailed) {
		t.Errorf("order with a wrong size returned %v, want ErrLoadFailed", err)
	}
	if err := c.Load(ctx, foreign); err == nil {
		t.Error("an order with a source on another machine was obeyed")
	}
	if err := s.Faults.Add(fault.Rule{Kind: fault.Fail, Operations: []string{standin.OperationLoad}, Calls: 1}); err != nil {
		t.Fatal(err)
	}
	if err := c.Load(ctx, order); !errors.Is(err, ErrLoadFailed) {
		t.Errorf("failing load returned %v, want ErrLoadFailed", err)
	}
	if got, err := c.Loaded(ctx); err != nil || got.Version != "v1" || got.Digest != firstDigest {
		t.Errorf("after failed loads %+v, %v is loaded", got, err)
	}
	order.Role, order.Adapter, order.AdapterSource = "decode", "a1", order.Source
	if err := c.Load(ctx, order); err != nil {
		t.Fatal(err)
	}
	want := mulberryspool.Loaded{Version: "v2", Digest: manifest.Digest, Role: "decode", Adapter: "a1", Fencing: 2}
	if got, err := c.Loaded(ctx); err != nil || got != want {
		t.Errorf("loaded is %+v, %v, want %+v", got, err, want)
	}
	order.Source, order.AdapterSource, order.Adapter, order.Role, order.Fencing = "", "", "", "prefill", 3
	if err := c.Load(ctx, order); err != nil {
		t.Errorf("change of role without a source: %v", err)
	}
	if orders := s.Orders(); len(orders) != 6 || orders[4].AdapterDigest != manifest.Digest {
		t.Errorf("orders are %+v", orders)
	}
}

// Guards against an order that takes effect late, after its sender is gone,
// and that a checking engine obeys in spite of a newer one.
func TestLateOrder(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		clock := clockwork.NewFakeClock()
		s := &standin.Server{Clock: clock, RefusesStaleOrders: refuses}
		c := startEngine(t, s)
		order, manifest := startOrigin(t, 1000)
		rule := fault.Rule{Kind: fault.Late, Operations: []string{standin.OperationLoad}, Calls: 1, Delay: time.Minute}
		if err := s.Faults.Add(rule); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- c.Load(ctx, order) }()
		if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
			t.Fatal(err)
		}
		cancel()
		if err := <-ended; !errors.Is(err, mulberryspool.ErrUncertain) {
			t.Errorf("cancelled order returned %v, want ErrUncertain", err)
		}
		if refuses {
			// A newer order that arrives meanwhile and changes nothing else.
			newer := mulberryspool.LoadOrder{Version: "v1", Fencing: order.Fencing + 1}
			go func() { ended <- c.Load(context.Background(), newer) }()
			for s.Loaded().Fencing < newer.Fencing {
				time.Sleep(time.Millisecond)
			}
		}
		clock.Advance(time.Minute)
		if refuses {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		for s.Orders()[0].Status == 0 {
			time.Sleep(time.Millisecond)
		}
		want := manifest.Digest
		if refuses {
			want = firstDigest
		}
		if got := s.Loaded().Digest; got != want {
			t.Errorf("refuses %v: digest %s is loaded, want %s", refuses, got, want)
		}
	}
}

// Guards against a stand-in that hides an order obeyed in spite of its old
// fencing number, or an answer made with two versions.
func TestSwapDuringAnswer(t *testing.T) {
	ctx := context.Background()
	s := &standin.Server{TokensPerSecond: 2}
	c := startEngine(t, s)
	order, manifest := startOrigin(t, 1000)
	order.Fencing = 0
	request := chat("r", "x", 100, true)
	answer, err := c.Submit(ctx, request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	first := make([]byte, 10)
	if _, err := io.ReadFull(answer.Body, first); err != nil {
		t.Fatal(err)
	}
	if err := c.Load(ctx, order); err != nil {
		t.Fatalf("engine that ignores fencing refused an old order: %v", err)
	}
	s.SetSettings(standin.Settings{})
	rest, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := text(t, bytes.Join([][]byte{first, rest}, nil))
	for _, digest := range []mulberryspool.Digest{firstDigest, manifest.Digest} {
		if want, _ := standin.Answer(request.Body, digest); got == want {
			t.Errorf("answer during a swap is that of digest %s alone", digest)
		}
	}
	if e := s.Executions("r")[0]; e.StartDigest != firstDigest || e.EndDigest != manifest.Digest {
		t.Errorf("execution is %+v", e)
	}
}
