package refusals

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against refused requests that look like new ones when they are sent again at once, and
// against equal requests of other callers that are taken for them.
func TestRefusedRequestIsFound(t *testing.T) {
	const content = 7
	deadline, retryAt := start.Add(4*time.Second), start.Add(time.Second)
	for name, c := range map[string]struct {
		content              uint64
		deadline, now        time.Time
		wantFound, wantEarly bool
	}{
		"sent again at once": {content, deadline.Add(5 * time.Millisecond), start.Add(10 * time.Millisecond), true, true},
		"sent again as told": {content, deadline, retryAt, true, false},
		"other content":      {8, deadline, start.Add(10 * time.Millisecond), false, false},
		"of another caller":  {content, deadline.Add(200 * time.Millisecond), start.Add(200 * time.Millisecond), false, false},
		"after its deadline": {content, deadline, deadline.Add(time.Second), false, false},
	} {
		var l Log
		l.Record(content, deadline, retryAt, start)
		if recorded, early := l.Find(c.content, c.deadline, c.now); recorded.IsZero() == c.wantFound || early != c.wantEarly {
			t.Errorf("%s: found %t, early %t, want %t, %t", name, !recorded.IsZero(), early, c.wantFound, c.wantEarly)
		}
	}
}

// Guards against a series of equal requests of many callers that are all taken for retries,
// because each is recorded with a deadline a little later than the one before.
func TestEqualRequestsOfOtherCallersAreNew(t *testing.T) {
	const (
		content  = 7
		interval = 10 * time.Millisecond
		count    = 100
	)
	var l Log
	found := 0
	for i := range time.Duration(count) {
		now := start.Add(i * interval)
		deadline := now.Add(4 * time.Second)
		if recorded, _ := l.Find(content, deadline, now); !recorded.IsZero() {
			found++
			deadline = recorded
		}
		l.Record(content, deadline, now.Add(time.Second), now)
	}
	// Each new one has at most the tolerance in which others are taken for it.
	if limit := count * int(tolerance/interval) / int(1+tolerance/interval); found > limit {
		t.Errorf("%d of %d requests are taken for retries, want at most %d", found, count, limit)
	}
}

// Guards against a log that grows without bound during a long overload.
func TestLogIsBounded(t *testing.T) {
	var l Log
	for i := range uint64(2 * maxEntries) {
		l.Record(i, start.Add(time.Second), start, start)
	}
	if l.Len() != maxEntries {
		t.Errorf("%d requests are remembered, want %d", l.Len(), maxEntries)
	}
	l.Record(1, start.Add(5*time.Second), start, start.Add(2*time.Second))
	if l.Len() != 1 {
		t.Errorf("%d requests are remembered after their deadlines, want 1", l.Len())
	}
}
