package serverlimit

import (
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// take sends as many requests as are available until the given time and returns
// their number.
func take(l *Limit, from, until time.Time) int {
	sent := 0
	for now := from; now.Before(until); now = now.Add(time.Millisecond) {
		if !now.Before(l.AvailableAt(now)) {
			l.Take(now)
			sent++
		}
	}
	return sent
}

// Guards against more requests than the limit, and against a limit that is not used.
func TestRequestsFollowRate(t *testing.T) {
	for _, rate := range []float64{0.5, 4, 40} {
		var l Limit
		if !l.Name(rate, at(0)) || l.Name(rate, at(0)) {
			t.Errorf("rate %v: change is not reported once", rate)
		}
		want := int(20 * rate)
		if sent := take(&l, at(0), at(20*time.Second)); sent < want-1 || sent > want+1 {
			t.Errorf("rate %v: %d requests in 20 s, want %d", rate, sent, want)
		}
	}
}

// Guards against requests of other entries that are not counted, or are counted
// again when a report is repeated, lost or that of a restarted entry.
func TestRequestsOfOtherEntriesUseTheBudget(t *testing.T) {
	var l Limit
	l.Name(4, at(0))
	now := at(10 * time.Second)
	report := func(sent uint64) { l.Merge("b", Report{AgeMillis: -1, Sent: sent}, now) }
	report(100)
	if l.AvailableAt(now).After(now) {
		t.Error("requests before the first report use the budget")
	}
	// The budget is that of burstTime, 2 requests.
	report(104)
	report(104)
	wait := l.AvailableAt(now).Sub(now)
	if wait < 500*time.Millisecond || wait > 625*time.Millisecond || l.Total() != 4 {
		t.Errorf("next request in %s of %d, want 4 requests and at most the time that 2.5 take", wait, l.Total())
	}
	report(1)
	report(2)
	if longer := l.AvailableAt(now).Sub(now); longer < wait+150*time.Millisecond || longer > wait+250*time.Millisecond {
		t.Errorf("next request after that of a restarted entry in %s, before in %s", longer, wait)
	}
	report(100_000)
	if wait := l.AvailableAt(now).Sub(now); wait > maxDebtTime+time.Second {
		t.Errorf("next request in %s", wait)
	}
}

// Guards against an entry that has just restarted and sends most of what a limit allows,
// because the budgets of the others are overdrawn.
func TestRestartedEntryAdoptsBudget(t *testing.T) {
	var a, b Limit
	a.Name(4, at(0))
	for range 8 {
		a.Take(at(time.Second))
	}
	now := at(1100 * time.Millisecond)
	r, ok := a.Report(now)
	if !ok || r.Budget >= 0 {
		t.Fatalf("report is %+v, want an overdrawn budget", r)
	}
	b.Merge("a", r, now)
	if want, got := a.AvailableAt(now), b.AvailableAt(now); !got.Equal(want) {
		t.Errorf("next request of the restarted entry at %s, want %s", got, want)
	}
	// A repeated report is not adopted again.
	later := at(30 * time.Second)
	r.AgeMillis = later.Sub(at(0)).Milliseconds()
	b.Merge("a", r, later)
	if at := b.AvailableAt(later); at.After(later) {
		t.Errorf("next request 30 s later at %s, want at once", at)
	}
	if (Report{Budget: 1}).Content() != (Report{Budget: 2}).Content() {
		t.Error("a change of the budget alone is reported")
	}
}

// Guards against a limit that one entry knows and another does not, and against one
// that comes back by an older report.
func TestNewestAnswerDecides(t *testing.T) {
	var a, b Limit
	now := at(time.Second)
	a.Name(4, now)
	report, ok := a.Report(now.Add(100 * time.Millisecond))
	if !ok {
		t.Fatal("limit is not reported")
	}
	now = now.Add(120 * time.Millisecond)
	b.Merge("a", report, now)
	if !b.Active(now) || b.Rate() != 4 {
		t.Fatalf("limit after the report is %v, active %t", b.Rate(), b.Active(now))
	}
	if b.Lift(at(time.Second), now) {
		t.Error("limit is lifted by the answer to a request that was sent before it was named")
	}
	if !b.Lift(now.Add(-10*time.Millisecond), now.Add(50*time.Millisecond)) {
		t.Error("limit is not lifted by the answer to a request that was sent after it was named")
	}
	b.Merge("a", report, now.Add(10*time.Millisecond))
	if b.Active(now.Add(60 * time.Millisecond)) {
		t.Error("older report names the limit again")
	}
	report, ok = b.Report(now.Add(70 * time.Millisecond))
	if !ok || !report.Lifted {
		t.Fatalf("report is %+v, %t", report, ok)
	}
	a.Merge("b", report, now.Add(80*time.Millisecond))
	if a.Active(now.Add(80 * time.Millisecond)) {
		t.Error("limit that another entry saw lifted stays")
	}
	if _, ok := b.Report(now.Add(time.Hour)); ok {
		t.Error("lifted limit is reported for ever")
	}
}

// Guards against limits that entries keep alive by reporting them to each other.
func TestReportsDoNotKeepLimitAlive(t *testing.T) {
	var a, b Limit
	a.Name(4, at(0))
	now := at(0)
	for range 10 * memoryTime / time.Second {
		now = now.Add(time.Second)
		if r, ok := a.Report(now); ok {
			b.Merge("a", r, now.Add(20*time.Millisecond))
		}
		if r, ok := b.Report(now); ok {
			a.Merge("b", r, now.Add(20*time.Millisecond))
		}
	}
	if a.Active(now) || b.Active(now) {
		t.Error("limit without an answer that names it does not expire")
	}
}

// Guards against a server that gets no request after a limit of 0, so that no answer
// can lift it.
func TestLimitOfZeroIsTriedAgain(t *testing.T) {
	var l Limit
	l.Name(0, at(0))
	most := int(minRate*memoryTime.Seconds()) + 1
	if sent := take(&l, at(0), at(memoryTime)); sent < 1 || sent > most {
		t.Errorf("%d requests in %s, want 1 to %d", sent, memoryTime, most)
	}
}
