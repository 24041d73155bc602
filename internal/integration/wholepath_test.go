package integration

import (
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

const chatTables = `
routes:
  - name: scribe
    kind: chat
    pool: scribe
    idempotent: true
pools:
  - name: scribe
    kind: engine
    version: VERSION
    maxUnavailable: 2
`

// answer is a caller's view of a finished request.
type answer struct {
	status  int
	text    string
	weights mulberryspool.Digest
	header  http.Header
}

// chat sends a streamed chat request and reads it to the end.
func chat(t testing.TB, entry, body string) answer {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{
		status: response.StatusCode, text: string(text), header: response.Header,
		weights: mulberryspool.Digest(response.Trailer.Get("X-Weights-Digest")),
	}
}

// expectAnswer checks a streamed answer against what the engine stand-in
// makes of the body with the weights.
func expectAnswer(t *testing.T, got answer, body string) {
	t.Helper()
	if got.status != http.StatusOK {
		t.Fatalf("status is %d: %s", got.status, got.text)
	}
	want, err := engine.Answer([]byte(body), got.weights)
	if err != nil {
		t.Fatal(err)
	}
	if text, done := streamedText(t, got.text); text != want || !done {
		t.Fatalf("answer is %q (end marker: %v), want %q", text, done, want)
	}
}

// Guards against a path that only works inside one process: publish, apply,
// answer, change the version, read back what is in force, stop gracefully.
func TestWholePath(t *testing.T) {
	s := &system.System{Builder: &builder}
	s.Start(t)
	for range 4 {
		s.AddEngineAgent(t, "scribe")
	}
	s.AddEntry(t)
	s.AddEntry(t)
	publishVersions(t, s)
	s.Apply(t, strings.ReplaceAll(chatTables, "VERSION", "v1"))
	s.AwaitServing(t, "v1", s.Agents...)
	s.AwaitAgents(t, "scribe", 4)

	const body = `{"model":"scribe","stream":true,"messages":[{"role":"user","content":"gate 4: 17 in, 12 out"}]}`
	first := chat(t, s.Entries[0].Callers, body)
	expectAnswer(t, first, body)

	s.Apply(t, strings.ReplaceAll(chatTables, "VERSION", "v2"))
	s.AwaitServing(t, "v2", s.Agents...)
	s.AwaitAgents(t, "scribe", 4)
	second := chat(t, s.Entries[1].Callers, body)
	expectAnswer(t, second, body)
	if first.weights == second.weights {
		t.Errorf("both versions were answered by weights %s", first.weights)
	}
	if status := s.Run(t, 0, "status"); !strings.Contains(status, "4 of 4") {
		t.Errorf("status does not report 4 of 4 agents:\n%s", status)
	}
	if history := s.Run(t, 0, "tables", "history"); strings.Count(history, "test") < 2 {
		t.Errorf("history does not list both changes:\n%s", history)
	}

	stopped := s.Agents[0]
	if err := stopped.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := stopped.Process.Wait(); code != 0 {
		t.Fatalf("the agent ended with %d after SIGTERM\n%s", code, stopped.Process.Stderr())
	}
	s.AwaitAgents(t, "scribe", 3)
	expectAnswer(t, chat(t, s.Entries[0].Callers, body), body)
}
