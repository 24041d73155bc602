package caller

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

// LoadGenerator generates load: a number of callers that run in parallel send
// chat requests to the entries in round-robin order. Its exported fields must be
// set before Run.
type LoadGenerator struct {
	// Callers is the number of parallel callers. Each sends one request at a
	// time.
	Callers int
	// Pause is the time between two requests of a caller.
	Pause time.Duration
	// Route is sent as the model of the requests.
	Route string
	// Tokens is the length of each response, sent as max_tokens.
	Tokens int
	// Workspaces is the number of workspaces that the callers are divided
	// among; 0 sends none.
	Workspaces int
	// Entries holds the base URLs of the entries.
	Entries []string

	mu      sync.Mutex
	results []Result
	// excluded holds the entries that get no new requests.
	excluded []string
	// inFlight counts the requests without a result, by entry.
	inFlight map[string]int
}

// Run sends requests until the context ends. It returns when the requests in
// flight have ended.
func (l *LoadGenerator) Run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range l.Callers {
		group.Go(func() { l.runCaller(ctx, i) })
	}
	group.Wait()
}

func (l *LoadGenerator) runCaller(ctx context.Context, caller int) {
	// net/http may send a request again if it fails on a reused connection, so
	// each request uses a new one.
	c := Caller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if l.Workspaces > 0 {
		c.Workspace = fmt.Sprintf("workspace-%d", caller%l.Workspaces)
	}
	for n := caller; ctx.Err() == nil; n++ {
		id := uuid.NewString()
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"ledger %s"}]}`, l.Route, l.Tokens, id)
		entry := l.pickEntry(n)
		l.recordResult(entry, c.SendChat(context.WithoutCancel(ctx), entry, id, body))
		select {
		case <-ctx.Done():
		case <-time.After(l.Pause):
		}
	}
}

// pickEntry picks the entry for a request and counts the request as in flight.
func (l *LoadGenerator) pickEntry(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := slices.DeleteFunc(slices.Clone(l.Entries), func(e string) bool { return slices.Contains(l.excluded, e) })
	entry := entries[n%len(entries)]
	if l.inFlight == nil {
		l.inFlight = make(map[string]int)
	}
	l.inFlight[entry]++
	return entry
}

func (l *LoadGenerator) recordResult(entry string, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
	l.inFlight[entry]--
}

// ExcludeEntry sends no more requests to an entry. At least one other entry must
// remain.
func (l *LoadGenerator) ExcludeEntry(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excluded = append(l.excluded, entry)
}

// InFlight returns the number of requests to an entry that have no result yet.
func (l *LoadGenerator) InFlight(entry string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight[entry]
}

// Results returns the results of the requests that have ended so far.
func (l *LoadGenerator) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.results)
}
