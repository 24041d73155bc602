package placement

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// newDomainPlacer returns a placer with a server of four slots in each of the failure domains a and
// b.
func newDomainPlacer() *Placer {
	p := newRegionalPlacer()
	p.SetServers(regionalEngines("a", "b"))
	return p
}

// Guards against requests, new, placed, waiting or tried elsewhere before, that are sent to an
// evacuated failure domain, against waits for its capacity, and against one that is not used again.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	p := newDomainPlacer()
	p.fill(t, "r-b", 4, start)
	placed := p.Offer(regional(start, "r-a"), start)
	p.SetEvacuated([]string{"a"}, start)
	if got := p.Withheld(placed.Server, nil, start); got != ReasonServerEvacuated {
		t.Errorf("placed request is withheld for %q, want %q", got, ReasonServerEvacuated)
	}
	// It finishes as usual, and its slot is not used again.
	p.RecordEnd("i-a", 0, true, Answered, 10*time.Millisecond, start)
	waiting := p.Offer(regional(start), start)
	if waiting.Verdict != Waiting {
		t.Fatalf("request is %+v, want waiting for the other failure domain", waiting)
	}
	if _, capacity, inFlight := p.Summary(start); capacity != 4 || inFlight != 4 {
		t.Errorf("capacity is %d with %d in flight, want 4 and 4", capacity, inFlight)
	}
	reattempt := regional(start)
	reattempt.Exclude, reattempt.Reattempt = []mulberryspool.InstanceID{"i-b"}, true
	for name, r := range map[string]Request{"reattempt": reattempt, "restricted": regional(start, "r-a")} {
		if d := p.Offer(r, start); d.Verdict != Refused || d.Reason != ReasonEvacuated || d.RetryAfter <= 0 {
			t.Errorf("%s request is %+v, want refused", name, d)
		}
	}
	if _, ok := p.EvacuationEndedAt("a"); ok || !p.Evacuated("a") || p.Evacuated("b") {
		t.Errorf("evacuated are a %t and b %t", p.Evacuated("a"), p.Evacuated("b"))
	}
	ended := start.Add(time.Second / 10)
	p.SetEvacuated(nil, ended)
	if d := p.DecideWaiting(ended); len(d) != 1 || d[0].Ticket != waiting.Ticket || d[0].Server.Instance != "i-a" {
		t.Errorf("decided %+v after the end of the evacuation", d)
	}
	if at, ok := p.EvacuationEndedAt("a"); !ok || !at.Equal(ended) {
		t.Errorf("evacuation ended at %v %t, want %v", at, ok, ended)
	}
}

// Guards against a request that keeps waiting when the last failure domain that could serve it is
// evacuated.
func TestWaitEndsWithEvacuationOfAllServers(t *testing.T) {
	p := newDomainPlacer()
	p.fill(t, "r-a", 4, start)
	p.fill(t, "r-b", 4, start)
	waiting := p.Offer(regional(start), start)
	p.SetEvacuated([]string{"a"}, start)
	if d := p.DecideWaiting(start); waiting.Verdict != Waiting || len(d) != 0 {
		t.Fatalf("request is %+v, decided %+v, want waiting", waiting, d)
	}
	p.SetEvacuated([]string{"a", "b"}, start)
	if d := p.DecideWaiting(start); len(d) != 1 || d[0].Verdict != Refused || d[0].Reason != ReasonEvacuated {
		t.Errorf("decided %+v, want refused", d)
	}
}

// Guards against silent servers that are avoided although the others are evacuated, so that no
// server is left.
func TestEvacuatedServersDoNotCountAsSound(t *testing.T) {
	p := newDomainPlacer()
	p.servers["i-b"].silent = true
	p.SetEvacuated([]string{"a"}, start)
	if d := p.Offer(regional(start), start); d.Verdict != Placed || d.Server.Instance != "i-b" {
		t.Errorf("request is %+v, want placed at the only server", d)
	}
}
