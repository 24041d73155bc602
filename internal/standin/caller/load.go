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

// Load lets a number of callers send requests in turn to all entries. Set the
// exported fields before Run.
type Load struct {
	// Callers send at the same time, each one request after the other.
	Callers int
	// Pause is the time between two requests of a caller.
	Pause time.Duration
	// Route is the model that the requests name.
	Route string
	// Tokens is the length of each answer.
	Tokens int
	// Workspaces is how many workspaces the callers belong to; 0 for none.
	Workspaces int
	// Entries are base URLs.
	Entries []string

	mu      sync.Mutex
	results []Result
	// avoided entries get no new requests.
	avoided []string
	// open counts the requests to an entry that have no result.
	open map[string]int
}

// Run sends requests until the context ends; those that have begun are finished.
func (l *Load) Run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range l.Callers {
		group.Go(func() { l.call(ctx, i) })
	}
	group.Wait()
}

func (l *Load) call(ctx context.Context, number int) {
	// A connection for each request keeps net/http from sending one twice.
	c := Caller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if l.Workspaces > 0 {
		c.Workspace = fmt.Sprintf("workspace-%d", number%l.Workspaces)
	}
	for n := number; ctx.Err() == nil; n++ {
		id := uuid.NewString()
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"ledger %s"}]}`, l.Route, l.Tokens, id)
		entry := l.choose(n)
		l.add(entry, c.Ask(context.WithoutCancel(ctx), entry, id, body))
		select {
		case <-ctx.Done():
		case <-time.After(l.Pause):
		}
	}
}

func (l *Load) choose(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := slices.DeleteFunc(slices.Clone(l.Entries), func(e string) bool { return slices.Contains(l.avoided, e) })
	entry := entries[n%len(entries)]
	if l.open == nil {
		l.open = make(map[string]int)
	}
	l.open[entry]++
	return entry
}

func (l *Load) add(entry string, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
	l.open[entry]--
}

// Avoid sends no more requests to an entry; at least one other must be left.
func (l *Load) Avoid(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoided = append(l.avoided, entry)
}

// Open counts the requests to an entry that have no result.
func (l *Load) Open(entry string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[entry]
}

// Results returns what has been seen so far.
func (l *Load) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.results)
}
