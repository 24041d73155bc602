package placement

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/entry/shedding"
)

// Guards against callers that are told to return before any server can serve them, and are
// refused again.
func TestRetryAfterIsWhenServerIsExpected(t *testing.T) {
	for name, c := range map[string]struct {
		prepare  func(p *Placer)
		min, max time.Duration
	}{
		"a server changes its version, which took 4 s before": {func(p *Placer) {
			p.RecordSwap("i-1", 0, start.Add(-10*time.Second))
			p.SetServedVersion("i-1", 1, 0, time.Time{})
			p.RecordSwap("i-1", 2, start.Add(-6*time.Second))
			p.SetServedVersion("i-1", 1, 2, time.Time{})
			p.RecordSwap("i-0", 0, start.Add(-time.Second))
			p.SetServedVersion("i-0", 1, 0, time.Time{})
			p.RecordSwap("i-1", 0, start)
			p.SetServedVersion("i-1", 1, 0, time.Time{})
		}, 3 * time.Second, 3*time.Second + minRetryAfter},
		"all servers are paused": {func(p *Placer) {
			for _, s := range p.ordered {
				p.RecordPause(s.BackendServer, 3*time.Second, start)
			}
		}, 3 * time.Second, 3*time.Second + minRetryAfter},
		"no server is listed for 5 s": {func(p *Placer) {
			p.SetServers(nil)
			p.Offer(request(start.Add(-5*time.Second)), start.Add(-5*time.Second))
		}, 3500 * time.Millisecond, 5 * time.Second},
		"the pool has been overloaded for 4 s": {func(p *Placer) {
			for id := range p.servers {
				p.servers[id].ownLoad.Requests = 4
			}
			for at := start.Add(-4 * time.Second); !at.After(start); at = at.Add(100 * time.Millisecond) {
				p.SetPeerDemand("other", shedding.Report{Counts: []shedding.Count{{Offered: 100, Placed: 40}}}, at)
				p.Offer(request(at), at)
			}
			p.waiting = nil
		}, 2700 * time.Millisecond, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(2)
			c.prepare(p)
			r := request(start)
			r.CallerRetry = true
			if d := p.Offer(r, start); d.Verdict != Refused || d.RetryAfter < c.min || d.RetryAfter > c.max {
				t.Errorf("decision is %+v, want refused with RetryAfter from %s to %s", d, c.min, c.max)
			}
		})
	}
}

// Guards against a retry that gets a slot during an overload, and so makes a new request late.
func TestCallerRetryIsRefusedDuringOverload(t *testing.T) {
	p := newPlacer(10)
	p.SetPeerDemand("other", shedding.Report{Counts: []shedding.Count{{Offered: 20, Placed: 20}, {Priority: 1, Offered: 80, Placed: 20}}}, start)
	for i, s := range p.ordered {
		if s.ownLoad.Requests = 4; i == 0 {
			s.ownLoad.Requests = 3
		}
	}
	retry := request(start)
	retry.CallerRetry = true
	if d := p.Offer(retry, start); d.Verdict != Refused || d.Reason != ReasonOverload {
		t.Errorf("retry got %+v, want refused", d)
	}
	if d := p.Offer(request(start), start); d.Verdict != Placed {
		t.Errorf("new request got %+v, want placed", d)
	}
	for _, s := range p.ordered {
		s.ownLoad.Requests = 3
	}
	if d := p.Offer(retry, start); d.Verdict != Placed {
		t.Errorf("with a quarter of the slots free, the retry got %+v, want placed", d)
	}
}

// Guards against callers that return earlier than they were told and wait beside new requests.
func TestEarlyRetryDoesNotWait(t *testing.T) {
	p := newPlacer(10)
	for _, s := range p.ordered {
		s.ownLoad.Requests = 4
	}
	early := request(start)
	early.CallerRetry, early.EarlyRetry = true, true
	if d := p.Offer(early, start); d.Verdict != Refused || d.RetryAfter < minRetryAfter {
		t.Errorf("decision is %+v, want refused with RetryAfter of at least %s", d, minRetryAfter)
	}
	if d := p.Offer(request(start), start); d.Verdict != Waiting {
		t.Errorf("new request got %+v, want waiting", d)
	}
}

// Guards against early rejections that are suspended by the free slots of servers that can't be
// given any requests, such as those that are held back after a start.
func TestSlotsThatCannotBeUsedAreNotSpare(t *testing.T) {
	p := newPlacer(10)
	p.SetPeerDemand("other", shedding.Report{Counts: []shedding.Count{{Offered: 60, Placed: 40}, {Priority: 1, Offered: 140}}}, start)
	retry := request(start)
	retry.CallerRetry = true
	if d := p.Offer(retry, start); d.Verdict != Placed {
		t.Fatalf("retry got %+v with free slots, want placed", d)
	}
	for _, s := range p.ordered {
		s.ownLoad = Load{Requests: 1, PendingPromptTokens: 1_000_000}
	}
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Fatalf("request was placed at %s", d.Server.Instance)
	}
	p.waiting = nil
	if d := p.Offer(retry, start); d.Verdict != Refused || d.Reason != ReasonOverload {
		t.Errorf("retry got %+v, want refused", d)
	}
}
