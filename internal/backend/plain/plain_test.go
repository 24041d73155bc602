package plain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	standin "github.com/mulberryspool/mulberryspool/internal/standin/plainservice"
	"github.com/mulberryspool/mulberryspool/internal/testkit/httpserver"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startService starts a simulated plain service and returns its client.
func startService(t *testing.T, s *standin.Server) *Client {
	t.Helper()
	s.Clock = clockwork.NewRealClock()
	return &Client{BaseURL: httpserver.Start(t, s.Handler()), Capacity: 3}
}

// Checks that each request runs at most once, in particular requests with methods
// that net/http resends automatically when a connection fails, and that each
// request gets its own answer.
func TestCallsRunOnce(t *testing.T) {
	s := &standin.Server{}
	c := startService(t, s)
	ctx := context.Background()
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, kind := range []fault.Kind{"", fault.LoseAnswer, fault.Refuse, fault.Fail} {
			if kind != "" {
				if err := s.Faults.Add(fault.Rule{Kind: kind, Calls: 1}); err != nil {
					t.Fatal(err)
				}
			}
			id := mulberryspool.RequestID(method + string(kind))
			request := mulberryspool.BackendRequest{RequestID: id, Method: method, Path: "/book/a%2Fb?x=1", Body: []byte(id)}
			answer, err := c.Submit(ctx, request)
			if kind == fault.LoseAnswer || kind == fault.Refuse {
				if !errors.Is(err, mulberryspool.ErrUncertain) {
					t.Errorf("%s: %v, want ErrUncertain", id, err)
				}
			} else if err != nil {
				t.Errorf("%s: %v", id, err)
			} else {
				checkAnswer(t, request, answer, kind)
			}
			want := 1
			if kind == fault.Refuse {
				want = 0
			}
			if got := len(s.Executions(id)); got != want {
				t.Errorf("%s ran %d times, want %d", id, got, want)
			}
		}
	}
}

// checkAnswer checks that the answer belongs to the request.
func checkAnswer(t *testing.T, request mulberryspool.BackendRequest, answer mulberryspool.BackendAnswer, kind fault.Kind) {
	t.Helper()
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Errorf("%s: %v", request.RequestID, err)
	}
	if kind == fault.Fail {
		if answer.Status != http.StatusInternalServerError {
			t.Errorf("%s: status %d, want 500", request.RequestID, answer.Status)
		}
		return
	}
	if request.Method == http.MethodHead {
		return
	}
	var got standin.Answer
	if err := json.Unmarshal(data, &got); err != nil || got.RequestID != request.RequestID || got.Body != standin.Digest(request.Body) {
		t.Errorf("%s: answer is %+v, %v", request.RequestID, got, err)
	}
}

// Checks that Report counts a running request until it is cancelled, and that a
// cancel stops only the request with its ID.
func TestCancelAndReport(t *testing.T) {
	s := &standin.Server{Delay: time.Hour}
	c := startService(t, s)
	ctx := context.Background()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Submit(ctx, mulberryspool.BackendRequest{RequestID: "a", Method: http.MethodPost, Path: "/"})
		ended <- err
	}()
	for len(s.Executions("a")) == 0 {
		time.Sleep(time.Millisecond)
	}
	if report, err := c.Report(ctx); err != nil || report.Running != 1 || report.Capacity != 3 {
		t.Errorf("report is %+v, %v", report, err)
	}
	if err := c.Cancel(ctx, "b"); !errors.Is(err, mulberryspool.ErrNotFound) {
		t.Errorf("cancel of another request returned %v, want ErrNotFound", err)
	}
	if err := c.Cancel(ctx, "a"); err != nil {
		t.Error(err)
	}
	if err := <-ended; !errors.Is(err, mulberryspool.ErrUncertain) || !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled call returned %v, want ErrUncertain and context.Canceled", err)
	}
	if report, err := c.Report(ctx); err != nil || report.Running != 0 {
		t.Errorf("report is %+v, %v", report, err)
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
		answer, err := (&Client{BaseURL: url}).Submit(context.Background(), mulberryspool.BackendRequest{RequestID: "r", Method: http.MethodPost, Path: "/"})
		if err == nil {
			answer.Body.Close()
		}
		if !errors.Is(err, mulberryspool.ErrUncertain) {
			t.Errorf("status %s gave %v, want ErrUncertain", status, err)
		}
	}
}
