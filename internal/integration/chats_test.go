package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/caller"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// chatLoad is a running load of chat requests.
type chatLoad struct {
	caller.Load
	stop context.CancelFunc
	done chan struct{}
}

// startChats lets callers send requests in turn to all entries.
func startChats(t *testing.T, s *system.System, callers, tokens int) *chatLoad {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	l := &chatLoad{
		Load: caller.Load{Callers: callers, Pause: 5 * time.Millisecond, Route: "scribe", Tokens: tokens},
		stop: stop, done: make(chan struct{}),
	}
	for _, m := range s.Entries {
		l.Entries = append(l.Entries, m.CallersURL)
	}
	go func() {
		defer close(l.done)
		l.Run(ctx)
	}()
	t.Cleanup(stop)
	return l
}

// end stops the load and returns all results.
func (l *chatLoad) end() []caller.Result {
	l.stop()
	<-l.done
	return l.Results()
}

// wait waits until more answers are finished.
func (l *chatLoad) wait(t *testing.T, s *system.System, more int) {
	t.Helper()
	start := l.finished()
	s.Await(t, fmt.Sprintf("%d more answers", more), func(context.Context) bool { return l.finished() >= start+more })
}

func (l *chatLoad) finished() int {
	count := 0
	for _, r := range l.Results() {
		if r.Status == http.StatusOK && r.Failure == nil {
			count++
		}
	}
	return count
}

// chat sends one streamed chat request.
func chat(t testing.TB, entry, body string) caller.Result {
	t.Helper()
	c := caller.Caller{HTTP: http.DefaultClient}
	result := c.Ask(context.Background(), entry, uuid.NewString(), body)
	if result.Failure != nil {
		t.Fatal(result.Failure)
	}
	return result
}

// streamedText returns the text of an answer and whether its end marker was there.
func streamedText(t *testing.T, r caller.Result) (text string, done bool) {
	t.Helper()
	text, done, err := r.Text()
	if err != nil {
		t.Fatal(err)
	}
	return text, done
}

// expectAnswer checks a streamed answer against what the engine stand-in
// makes of the body with the weights.
func expectAnswer(t *testing.T, got caller.Result) {
	t.Helper()
	if got.Status != http.StatusOK {
		t.Fatalf("status is %d: %s", got.Status, got.Stream)
	}
	want, err := engine.Answer([]byte(got.Body), got.Weights)
	if err != nil {
		t.Fatal(err)
	}
	if text, done := streamedText(t, got); text != want || !done {
		t.Fatalf("answer is %q (end marker: %v), want %q", text, done, want)
	}
}

// checkChats checks each result against the engines' records and returns the
// number of results by kind: finished, or the type of the error.
func checkChats(t *testing.T, s *system.System, results []caller.Result, published map[mulberryspool.Digest]string) map[string]int {
	t.Helper()
	executions := s.ChatExecutions(t)
	kinds := make(map[string]int)
	for _, r := range results {
		text, marked := streamedText(t, r)
		switch {
		case r.Hung:
			t.Errorf("request %s hung", r.ID)
		case r.Status == http.StatusOK && (marked || r.Failure == nil):
			kinds["finished"]++
			checkFinished(t, r, text, marked, executions[r.ID], published)
		case r.Refusal.Type == mulberryspool.OutcomeNotRun:
			kinds["notRun"]++
			if n := len(executions[r.ID]); n > 0 {
				t.Errorf("request %s was refused as not run (%+v) and ran: %+v", r.ID, r.Refusal, executions[r.ID])
			}
		case r.Refusal.Type != "":
			kinds[string(r.Refusal.Type)]++
		default:
			kinds["broken"]++
		}
	}
	t.Logf("%d requests: %v", len(results), kinds)
	if kinds["finished"] == 0 {
		t.Error("no request was answered")
	}
	return kinds
}

func checkFinished(t *testing.T, r caller.Result, text string, marked bool, executions []engine.Execution, published map[mulberryspool.Digest]string) {
	t.Helper()
	want, err := engine.Answer([]byte(r.Body), r.Weights)
	if err != nil {
		t.Fatal(err)
	}
	if text != want || !marked {
		t.Errorf("request %s: answer looks finished and is %q (end marker: %v), want %q of weights %q", r.ID, text, marked, want, r.Weights)
	}
	if published[r.Weights] == "" {
		t.Errorf("request %s: weights %q are none of the published %v", r.ID, r.Weights, published)
	}
	for _, e := range executions {
		if e.StartDigest == r.Weights && e.EndDigest == r.Weights && e.Outcome == engine.ExecutionCompleted {
			return
		}
	}
	t.Errorf("request %s: no engine completed it with weights %s from start to end: %+v", r.ID, r.Weights, executions)
}

func withVersion(tables, version string) string {
	return strings.ReplaceAll(tables, "VERSION", version)
}
