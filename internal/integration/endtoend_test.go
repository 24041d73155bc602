package integration

import (
	"strings"
	"syscall"
	"testing"

	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// chatTables have a chat route to a pool of engines; tests replace VERSION.
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

// Guards against functions that work only within one process: publishing
// versions, applying tables, answering a streamed request, changing the version,
// reading status and history, and stopping an agent gracefully.
func TestEndToEnd(t *testing.T) {
	s := &system.System{Builder: &builder}
	s.Start(t)
	for range 4 {
		s.AddEngineAgent(t, "scribe")
	}
	s.AddEntry(t)
	s.AddEntry(t)
	s.PublishVersions(t)
	s.Apply(t, strings.ReplaceAll(chatTables, "VERSION", "v1"))
	s.AwaitServing(t, "v1", s.Agents...)
	s.AwaitReadyAgents(t, "scribe", 4)

	const body = `{"model":"scribe","stream":true,"messages":[{"role":"user","content":"gate 4: 17 in, 12 out"}]}`
	first := sendChat(t, s.Entries[0].CallersURL, body)
	expectAnswer(t, first)

	s.Apply(t, strings.ReplaceAll(chatTables, "VERSION", "v2"))
	s.AwaitServing(t, "v2", s.Agents...)
	s.AwaitReadyAgents(t, "scribe", 4)
	second := sendChat(t, s.Entries[1].CallersURL, body)
	expectAnswer(t, second)
	if first.Weights == second.Weights {
		t.Errorf("both versions were answered with weights %s", first.Weights)
	}
	if status := s.RunCommand(t, 0, "status"); !strings.Contains(status, "4 of 4") {
		t.Errorf("status does not report 4 of 4 agents:\n%s", status)
	}
	if history := s.RunCommand(t, 0, "tables", "history"); strings.Count(history, "test") < 2 {
		t.Errorf("history does not list both changes:\n%s", history)
	}

	stopped := s.Agents[0]
	if err := stopped.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := stopped.Process.Wait(); code != 0 {
		t.Fatalf("the agent exited with code %d after SIGTERM\n%s", code, stopped.Process.Stderr())
	}
	s.AwaitReadyAgents(t, "scribe", 3)
	expectAnswer(t, sendChat(t, s.Entries[0].CallersURL, body))
}
