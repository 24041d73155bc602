package placement

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against requests that are held although all servers are paused for longer than
// they can wait, that are refused although a pause ends in time, and against callers that
// return before the first pause ends.
func TestRequestsOfPausedPool(t *testing.T) {
	const jitter = minRetryAfter
	servers := engines(2, 1)
	for name, c := range map[string]struct {
		pauses  [2]time.Duration
		exclude bool
		want    Verdict
		reason  Reason
		first   time.Duration
	}{
		"one":                   {[2]time.Duration{5 * time.Second, 0}, false, Placed, ReasonFreeCapacity, 0},
		"both for long":         {[2]time.Duration{5 * time.Second, 3 * time.Second}, false, Refused, ReasonPaused, 3 * time.Second},
		"one not for long":      {[2]time.Duration{5 * time.Second, 50 * time.Millisecond}, false, Waiting, ReasonFull, 50 * time.Millisecond},
		"one was tried already": {[2]time.Duration{0, 4 * time.Second}, true, Refused, ReasonPaused, 4 * time.Second},
	} {
		p, r := newPlacer(2), request(start)
		for i, pause := range c.pauses {
			if pause > 0 {
				p.RecordPause(servers[i], pause, start)
			}
		}
		if c.exclude {
			r.Exclude, r.Reattempt = []mulberryspool.InstanceID{"i-0"}, true
		}
		d := p.Offer(r, start)
		if d.Verdict != c.want || d.Reason != c.reason {
			t.Errorf("%s: decision is %+v", name, d)
		}
		switch d.Verdict {
		case Placed:
			if d.Server.Instance != "i-1" {
				t.Errorf("%s: placed at the paused server", name)
			}
		case Refused:
			if d.RetryAfter < c.first || d.RetryAfter > c.first+jitter {
				t.Errorf("%s: retry after %s, want at most %s more than %s", name, d.RetryAfter, jitter, c.first)
			}
		case Waiting:
			if next, ok := p.NextWake(start); !ok || next.After(start.Add(c.first)) {
				t.Errorf("%s: next wake at %s, want the end of the pause", name, next)
			}
			if decided := p.DecideWaiting(start.Add(c.first)); len(decided) != 1 || decided[0].Verdict != Placed || decided[0].Server.Instance != "i-1" {
				t.Errorf("%s: decided %+v at the end of the pause", name, decided)
			}
		}
	}
}

// Guards against waiting requests that are held although all servers were paused
// meanwhile, and against a pause that ends because its server was not listed for a while,
// or applies to its next incarnation.
func TestPauseDuringWait(t *testing.T) {
	p, servers := newPlacer(1), engines(1, 1)
	p.SetPeer("other", PeerReport{Loads: map[mulberryspool.InstanceID]Load{"i-0": {Requests: 4}}}, start)
	r := request(start)
	r.LatencyObjective = time.Second
	if d := p.Offer(r, start); d.Verdict != Waiting {
		t.Fatalf("decision at a full server is %+v", d)
	}
	p.RecordPause(servers[0], time.Minute, start)
	now := start.Add(time.Millisecond)
	if decided := p.DecideWaiting(now); len(decided) != 1 || decided[0].Reason != ReasonPaused || decided[0].RetryAfter < 59*time.Second {
		t.Errorf("decided %+v, want a refusal with the pause", decided)
	}
	p.SetServers(nil)
	if reason := p.Withheld(servers[0], nil, now); reason != ReasonServerGone {
		t.Errorf("request to a removed server: %q", reason)
	}
	p.SetServers(servers)
	if reason := p.Withheld(servers[0], nil, now); reason != ReasonServerPaused {
		t.Errorf("request to a paused server that is listed again: %q", reason)
	}
	servers[0].Leaving = true
	p.SetServers(servers)
	if reason := p.Withheld(servers[0], nil, now); reason != ReasonServerLeaving {
		t.Errorf("request to a leaving server: %q", reason)
	}
	servers[0].Leaving, servers[0].Born = false, 2
	p.SetServers(servers)
	p.SetPeer("other", PeerReport{}, now)
	if d := p.Offer(request(now), now); d.Verdict != Placed || p.Withheld(d.Server, nil, now) != "" {
		t.Errorf("decision at the next incarnation is %+v", d)
	}
}
