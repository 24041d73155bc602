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

// chatLoad generates chat requests in the background.
type chatLoad struct {
	caller.LoadGenerator
	stop context.CancelFunc
	done chan struct{}
}

// startChats starts callers that send chat requests to all entries in turn until
// the test ends or stops them.
func startChats(t *testing.T, s *system.System, callers, tokens int) *chatLoad {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	l := &chatLoad{
		LoadGenerator: caller.LoadGenerator{Callers: callers, Pause: 5 * time.Millisecond, Route: "scribe", Tokens: tokens},
		stop:          stop, done: make(chan struct{}),
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

// stopAndCollect stops the callers and returns all results.
func (l *chatLoad) stopAndCollect() []caller.Result {
	l.stop()
	<-l.done
	return l.Results()
}

// awaitAnswers waits until that many more requests are answered completely.
func (l *chatLoad) awaitAnswers(t *testing.T, s *system.System, count int) {
	t.Helper()
	start := l.countAnswers()
	s.Await(t, fmt.Sprintf("%d more answers", count), func(context.Context) bool { return l.countAnswers() >= start+count })
}

// countAnswers returns the number of requests answered completely so far.
func (l *chatLoad) countAnswers() int {
	count := 0
	for _, r := range l.Results() {
		if r.Status == http.StatusOK && r.Err == nil {
			count++
		}
	}
	return count
}

// sendChat sends one chat request and reads its streamed answer.
func sendChat(t testing.TB, entry, body string) caller.Result {
	t.Helper()
	c := caller.Caller{HTTP: http.DefaultClient}
	result := c.SendChat(context.Background(), entry, uuid.NewString(), body)
	if result.Err != nil {
		t.Fatal(result.Err)
	}
	return result
}

// streamedText returns the text of a streamed answer, and whether the end marker
// was received.
func streamedText(t *testing.T, r caller.Result) (text string, done bool) {
	t.Helper()
	text, done, err := r.Text()
	if err != nil {
		t.Fatal(err)
	}
	return text, done
}

// expectAnswer checks that a streamed answer is complete and is what the engine
// stand-in computes from the request's body and the weights.
func expectAnswer(t *testing.T, got caller.Result) {
	t.Helper()
	if got.Status != http.StatusOK {
		t.Fatalf("status is %d: %s", got.Status, got.ResponseBody)
	}
	want, err := engine.ExpectedAnswer([]byte(got.RequestBody), got.Weights)
	if err != nil {
		t.Fatal(err)
	}
	if text, done := streamedText(t, got); text != want || !done {
		t.Fatalf("answer is %q (end marker: %v), want %q", text, done, want)
	}
}

// checkChats checks each result against the executions that the engines recorded.
// It returns the number of results by kind: finished, the type of the refusal, or
// broken for an interrupted answer.
func checkChats(t *testing.T, s *system.System, results []caller.Result, published map[mulberryspool.Digest]string) map[string]int {
	t.Helper()
	executions := s.ChatExecutions(t)
	kinds := make(map[string]int)
	for _, r := range results {
		text, endMarker := streamedText(t, r)
		switch {
		case r.TimedOut:
			t.Errorf("request %s hung", r.ID)
		case r.Status == http.StatusOK && (endMarker || r.Err == nil):
			kinds["finished"]++
			checkFinished(t, r, text, endMarker, executions[r.ID], published)
		case r.Refusal.Type == mulberryspool.OutcomeNotRun:
			kinds["notRun"]++
			if n := len(executions[r.ID]); n > 0 {
				t.Errorf("request %s was refused as notRun (%+v), but ran: %+v", r.ID, r.Refusal, executions[r.ID])
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

// checkFinished checks that a complete answer has the right text and was computed
// with one published version from start to end.
func checkFinished(t *testing.T, r caller.Result, text string, endMarker bool, executions []engine.Execution, published map[mulberryspool.Digest]string) {
	t.Helper()
	want, err := engine.ExpectedAnswer([]byte(r.RequestBody), r.Weights)
	if err != nil {
		t.Fatal(err)
	}
	if text != want || !endMarker {
		t.Errorf("request %s: answer looks complete but is %q (end marker: %v), want %q for weights %q", r.ID, text, endMarker, want, r.Weights)
	}
	if published[r.Weights] == "" {
		t.Errorf("request %s: weights %q are not among the published %v", r.ID, r.Weights, published)
	}
	for _, e := range executions {
		if e.StartDigest == r.Weights && e.EndDigest == r.Weights && e.Outcome == engine.ExecutionCompleted {
			return
		}
	}
	t.Errorf("request %s: no engine completed it with weights %s from start to end: %+v", r.ID, r.Weights, executions)
}

// withVersion replaces VERSION in tables.
func withVersion(tables, version string) string {
	return strings.ReplaceAll(tables, "VERSION", version)
}
