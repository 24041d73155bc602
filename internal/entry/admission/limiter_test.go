package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

var start = time.Unix(100, 0)

func offer(id, workspace string, priority int) mulberryspool.AdmissionRequest {
	return mulberryspool.AdmissionRequest{
		ID: mulberryspool.RequestID(id), Workspace: workspace, Priority: priority,
		Tokens: 100, Deadline: start.Add(time.Hour),
	}
}

// Guards against low-priority requests that are admitted first, and against a
// high priority that starves another workspace.
func TestPriorityGivesABoundedHeadStart(t *testing.T) {
	l := &Limiter{MaxQueueDelay: time.Hour}
	l.SetCapacity(100, 1000)
	l.Offer(offer("running", "other", 0), start)
	l.Offer(offer("low", "a", 0), start)
	for i := range 20 {
		l.Offer(offer(fmt.Sprint("high-", i), "b", 9), start)
	}
	var order []mulberryspool.RequestID
	running := mulberryspool.RequestID("running")
	for range 21 {
		l.Release(running, start)
		admitted, _ := l.Next(start)
		if len(admitted) != 1 {
			t.Fatalf("%d requests were admitted at once, want 1", len(admitted))
		}
		running = admitted[0]
		order = append(order, running)
	}
	position := 0
	for order[position] != "low" {
		position++
	}
	// 9 priority steps of 0.05 s at 1,000 tokens/s are a head start of 450 tokens.
	if position != 5 {
		t.Errorf("the low-priority request of the other workspace was admitted at position %d, want 5: %v", position, order)
	}
}

// Guards against queues that grow without bound although MaxQueuedTokens is set.
func TestQueuedTokensAreBounded(t *testing.T) {
	l := &Limiter{MaxQueueDelay: time.Hour, MaxQueuedTokens: 250}
	l.SetCapacity(100, 1000)
	l.Offer(offer("running", "a", 0), start)
	for i, queued := range []bool{true, true, false} {
		if got := l.Offer(offer(fmt.Sprint(i), "a", 0), start); got.Queued != queued || got.Queued == (got.Reason != "") {
			t.Errorf("request %d: decision is %+v, want Queued %v", i, got, queued)
		}
	}
	l.Release("0", start)
	if got := l.Offer(offer("next", "b", 0), start); !got.Queued {
		t.Errorf("decision after a request left the queue is %+v, want Queued", got)
	}
}

// Guards against retries that multiply the load during an outage.
func TestRetriesAreAFractionOfLiveRequests(t *testing.T) {
	l := &Limiter{}
	l.SetCapacity(1<<30, 1)
	allowed := 0
	for i := range 1000 {
		l.Offer(offer(fmt.Sprint(i), "a", 0), start)
		for range 3 {
			if l.AllowRetry(start) {
				allowed++
			}
		}
	}
	if allowed > 100 || allowed < 99 {
		t.Errorf("%d retries were allowed for 1,000 requests, want 99 or 100", allowed)
	}
}

// Guards against memory that grows with the number of workspaces ever seen.
func TestIdleWorkspacesAreDropped(t *testing.T) {
	l := &Limiter{}
	l.SetCapacity(1000, 1000)
	for i := range 10000 {
		id := fmt.Sprint(i)
		l.Offer(offer(id, id, 0), start)
		l.Release(mulberryspool.RequestID(id), start)
	}
	if len(l.workspaces) > 2*minimumSweep {
		t.Errorf("%d workspaces are kept, want at most %d", len(l.workspaces), 2*minimumSweep)
	}
}

// Guards against requests that are lost in the queue, admitted twice, or
// admitted above the capacity.
func TestEveryRequestIsAdmittedOrExpiresOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Limiter{MaxQueueDelay: 10 * time.Second}
		const capacity = 500
		l.SetCapacity(capacity, 100)
		now := start
		next := 0
		queued := make(map[mulberryspool.RequestID]bool)
		running := make(map[mulberryspool.RequestID]int)
		tokens := make(map[mulberryspool.RequestID]int)
		admitQueued := func(t *rapid.T) {
			admitted, expired := l.Next(now)
			for _, id := range admitted {
				if !queued[id] {
					t.Fatalf("%s was admitted but is not queued", id)
				}
				delete(queued, id)
				running[id] = tokens[id]
			}
			for _, id := range expired {
				if !queued[id] {
					t.Fatalf("%s expired but is not queued", id)
				}
				delete(queued, id)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				request := mulberryspool.AdmissionRequest{
					ID:        mulberryspool.RequestID(fmt.Sprint(next)),
					Workspace: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace")),
					Priority:  rapid.IntRange(0, 9).Draw(t, "priority"),
					Tokens:    rapid.IntRange(1, 800).Draw(t, "tokens"),
					Deadline:  now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second),
				}
				tokens[request.ID] = request.Tokens
				switch decision := l.Offer(request, now); {
				case decision.Admitted:
					running[request.ID] = request.Tokens
				case decision.Queued:
					queued[request.ID] = true
				case decision.Reason == "":
					t.Fatal("a refusal has no reason")
				}
			},
			"release": func(t *rapid.T) {
				for id := range running {
					l.Release(id, now)
					delete(running, id)
					break
				}
				admitQueued(t)
			},
			"leave": func(*rapid.T) {
				for id := range queued {
					l.Release(id, now)
					delete(queued, id)
					break
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				admitQueued(t)
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, size := range running {
					sum += size
				}
				if sum > capacity && len(running) > 1 {
					t.Fatalf("%d tokens are in flight, above the capacity of %d", sum, capacity)
				}
				if sum != l.inFlight {
					t.Fatalf("the limiter counts %d tokens in flight, want %d", l.inFlight, sum)
				}
			},
		})
		for range 10000 {
			if len(running)+len(queued) == 0 {
				return
			}
			for id := range running {
				l.Release(id, now)
				delete(running, id)
			}
			admitQueued(t)
		}
		t.Fatalf("%d requests are still queued after all others were released", len(queued))
	})
}
