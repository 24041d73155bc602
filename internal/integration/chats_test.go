package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/standin/plainservice"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// chatLimit keeps a request that hangs from blocking a test; it is far above
// the timeout of every route here.
const chatLimit = 60 * time.Second

type (
	// chatResult is what a caller saw of one streamed chat request.
	chatResult struct {
		id, body string
		status   int
		text     string
		weights  mulberryspool.Digest
		// failure is set when the answer was not read to its end.
		failure error
		// hung is set when the request was not over within chatLimit.
		hung bool
		// refusal is the body of an error.
		refusal refusal
	}

	// refusal is the error of an answer.
	refusal struct {
		Error struct {
			Type    mulberryspool.Outcome `json:"type"`
			Code    string                `json:"code"`
			Message string                `json:"message"`
		} `json:"error"`
	}

	// chatLoad sends chat requests until it is stopped.
	chatLoad struct {
		tokens int
		stop   context.CancelFunc
		done   chan struct{}

		mu      sync.Mutex
		results []chatResult
		// entries are those that get new requests.
		entries []*system.Member
		// sent counts the requests without a result.
		sent map[*system.Member]int
	}
)

// ask sends one streamed chat request and reads it to its end.
func ask(client *http.Client, entry, id, body string) chatResult {
	result := chatResult{id: id, body: body}
	ctx, cancel := context.WithTimeout(context.Background(), chatLimit)
	defer cancel()
	defer func() { result.hung = ctx.Err() != nil }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		result.failure = err
		return result
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-ID", id)
	response, err := client.Do(request)
	if err != nil {
		result.failure, result.hung = err, ctx.Err() != nil
		return result
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	result.status, result.text, result.failure = response.StatusCode, string(text), err
	result.hung = ctx.Err() != nil
	result.weights = mulberryspool.Digest(response.Trailer.Get("X-Weights-Digest"))
	if result.status != http.StatusOK {
		_ = json.Unmarshal(text, &result.refusal)
	}
	for _, line := range strings.Split(result.text, "\n") {
		// A stream that breaks off after its start carries the error in its last event.
		if data, found := strings.CutPrefix(line, "data: "); found && strings.HasPrefix(data, `{"error"`) {
			_ = json.Unmarshal([]byte(data), &result.refusal)
		}
	}
	return result
}

// chatBody returns a request body that no other request has.
func chatBody(id string, tokens int) string {
	return fmt.Sprintf(`{"model":"scribe","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"ledger %s"}]}`, tokens, id)
}

// startChats lets callers send requests in turn to all entries.
func startChats(t *testing.T, s *system.System, callers, tokens int) *chatLoad {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	l := &chatLoad{
		tokens: tokens, stop: stop, done: make(chan struct{}),
		entries: slices.Clone(s.Entries), sent: make(map[*system.Member]int),
	}
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for n := i; ctx.Err() == nil; n++ {
				id := uuid.NewString()
				entry := l.choose(n)
				l.add(entry, ask(client, entry.Callers, id, chatBody(id, l.tokens)))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	go func() {
		defer close(l.done)
		group.Wait()
	}()
	t.Cleanup(stop)
	return l
}

func (l *chatLoad) choose(n int) *system.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[n%len(l.entries)]
	l.sent[entry]++
	return entry
}

func (l *chatLoad) add(entry *system.Member, result chatResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
	l.sent[entry]--
}

// avoid sends no more requests to an entry.
func (l *chatLoad) avoid(entry *system.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(m *system.Member) bool { return m == entry })
}

// open counts the requests to an entry that have no result.
func (l *chatLoad) open(entry *system.Member) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent[entry]
}

// end stops the load and returns all results.
func (l *chatLoad) end() []chatResult {
	l.stop()
	<-l.done
	return l.results
}

// wait waits until more answers are finished.
func (l *chatLoad) wait(t *testing.T, s *system.System, more int) {
	t.Helper()
	start := l.finished()
	s.Await(t, fmt.Sprintf("%d more answers", more), func(context.Context) bool { return l.finished() >= start+more })
}

func (l *chatLoad) finished() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, r := range l.results {
		if r.status == http.StatusOK && r.failure == nil {
			count++
		}
	}
	return count
}

// chatExecutions reads the engines' records by request.
func chatExecutions(t *testing.T, s *system.System) map[string][]engine.Execution {
	t.Helper()
	executions := make(map[string][]engine.Execution)
	for _, m := range s.Agents {
		if m.Identity.Pool != "scribe" {
			continue
		}
		var list engine.ExecutionList
		s.Send(t, http.MethodGet, m.Backend+"/admin/executions", nil, &list)
		for _, e := range list.Executions {
			executions[string(e.RequestID)] = append(executions[string(e.RequestID)], e)
		}
	}
	return executions
}

// checkChats checks each result against the engines' records and returns the
// number of results by kind: finished, or the type of the error.
func checkChats(t *testing.T, s *system.System, results []chatResult, published map[mulberryspool.Digest]string) map[string]int {
	t.Helper()
	executions := chatExecutions(t, s)
	kinds := make(map[string]int)
	for _, r := range results {
		text, marked := streamedText(t, wholeLines(r.text))
		switch {
		case r.hung:
			t.Errorf("request %s hung", r.id)
		case r.status == http.StatusOK && (marked || r.failure == nil):
			kinds["finished"]++
			checkFinished(t, r, text, marked, executions[r.id], published)
		case r.refusal.Error.Type == mulberryspool.OutcomeNotRun:
			kinds["notRun"]++
			if n := len(executions[r.id]); n > 0 {
				t.Errorf("request %s was refused as not run (%+v) and ran: %+v", r.id, r.refusal.Error, executions[r.id])
			}
		case r.refusal.Error.Type != "":
			kinds[string(r.refusal.Error.Type)]++
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

// wholeLines drops a line that was cut.
func wholeLines(text string) string {
	return text[:strings.LastIndexByte(text, '\n')+1]
}

func checkFinished(t *testing.T, r chatResult, text string, marked bool, executions []engine.Execution, published map[mulberryspool.Digest]string) {
	t.Helper()
	want, err := engine.Answer([]byte(r.body), r.weights)
	if err != nil {
		t.Fatal(err)
	}
	if text != want || !marked {
		t.Errorf("request %s: answer looks finished and is %q (end marker: %v), want %q of weights %q", r.id, text, marked, want, r.weights)
	}
	if published[r.weights] == "" {
		t.Errorf("request %s: weights %q are none of the published %v", r.id, r.weights, published)
	}
	for _, e := range executions {
		if e.StartDigest == r.weights && e.EndDigest == r.weights && e.Outcome == engine.ExecutionCompleted {
			return
		}
	}
	t.Errorf("request %s: no engine completed it with weights %s from start to end: %+v", r.id, r.weights, executions)
}

// publishedDigests reads the digests of versions.
func publishedDigests(t *testing.T, s *system.System, versions ...string) map[mulberryspool.Digest]string {
	t.Helper()
	digests := make(map[mulberryspool.Digest]string)
	for _, version := range versions {
		var manifest mulberryspool.Manifest
		if err := json.Unmarshal([]byte(s.Run(t, 0, "weights", "show", version, "--json")), &manifest); err != nil {
			t.Fatal(err)
		}
		digests[manifest.Digest] = version
	}
	return digests
}

// streamedText joins the pieces of a stream of server-sent events; done says
// whether the end marker was there.
func streamedText(t *testing.T, stream string) (text string, done bool) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(stream))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var piece struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &piece); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		for _, c := range piece.Choices {
			text += c.Delta.Content
		}
	}
	return text, false
}

// startEngines starts agents with engines and entries, publishes all versions,
// waits until v1 is served and returns the published digests.
func startEngines(t *testing.T, s *system.System, tables string, agents, entries int) map[mulberryspool.Digest]string {
	t.Helper()
	s.Start(t)
	publishVersions(t, s)
	for range agents {
		s.AddEngineAgent(t, "scribe")
	}
	for range entries {
		s.AddEntry(t)
	}
	s.Apply(t, withVersion(tables, "v1"))
	s.AwaitServing(t, "v1", s.Agents...)
	s.AwaitAgents(t, "scribe", agents)
	return publishedDigests(t, s, "v1", "v2", "v3", "v4")
}

// publishVersions publishes v1 to v4, which share half of their content.
func publishVersions(t *testing.T, s *system.System) {
	t.Helper()
	for i := range uint64(4) {
		path := fmt.Sprintf("scribe-%d", i+1)
		s.PutContent(t, path, origin.Generated{Seed: 99, Size: 1 << 19}, origin.Generated{Seed: i, Size: 1 << 19})
		s.Publish(t, fmt.Sprintf("v%d", i+1), path, "64 KiB")
	}
}

func withVersion(tables, version string) string {
	return strings.ReplaceAll(tables, "VERSION", version)
}

// submissionExecutions reads the plain services' records by body, which is
// the key, for the keys that are known to the caller.
func submissionExecutions(t *testing.T, s *system.System, keys ...string) map[string][]mulberryspool.RequestID {
	t.Helper()
	byDigest := make(map[mulberryspool.Digest]string)
	for _, key := range keys {
		byDigest[plainservice.Digest([]byte(key))] = key
	}
	executions := make(map[string][]mulberryspool.RequestID)
	for _, m := range s.Agents {
		if m.Identity.Pool != "booking" {
			continue
		}
		var list plainservice.ExecutionList
		s.Send(t, http.MethodGet, m.Backend+"/admin/executions", nil, &list)
		for _, e := range list.Executions {
			if key, known := byDigest[e.Body]; known {
				executions[key] = append(executions[key], e.RequestID)
			}
		}
	}
	return executions
}
