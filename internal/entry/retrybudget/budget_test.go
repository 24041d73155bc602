package retrybudget

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against retries that multiply the load of a failing pool, where every
// request would be retried: in any window, all entries together stay within the
// ratio and the slack.
func TestRetriesStayWithinBudgetInEveryWindow(t *testing.T) {
	const entries, slack, ratio = 4, 40, 0.2
	window := 10 * time.Second
	budgets := make([]Budget, entries)
	for i := range budgets {
		budgets[i] = Budget{Window: window, Ratio: ratio, Slack: slack}
	}
	type second struct{ requests, retries int }
	var seconds []second
	for at := range 60 {
		var s second
		for i := range budgets {
			now := start.Add(time.Duration(at) * time.Second)
			for range 5 {
				budgets[i].RecordRequest(now)
				s.requests++
				if budgets[i].Allow(now, entries) {
					s.retries++
				}
			}
		}
		seconds = append(seconds, s)
	}
	for from := 0; from+10 <= len(seconds); from++ {
		var sum second
		for _, s := range seconds[from : from+10] {
			sum.requests += s.requests
			sum.retries += s.retries
		}
		if limit := ratio*float64(sum.requests) + slack; float64(sum.retries) > limit {
			t.Errorf("from second %d: %d retries for %d requests, at most %v are allowed", from, sum.retries, sum.requests, limit)
		}
	}
}

// Guards against a pool with little traffic that cannot retry at all, and against
// an entry that uses the slack of the others.
func TestIdlePoolMayUseItsSlack(t *testing.T) {
	b := Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 8}
	allowed := 0
	for range 20 {
		if b.Allow(start, 2) {
			allowed++
		}
	}
	if allowed != 4 {
		t.Errorf("%d retries were allowed, want half of the slack of 8", allowed)
	}
	if !b.Allow(start.Add(11*time.Second), 2) {
		t.Error("no retry is allowed one window later")
	}
}
