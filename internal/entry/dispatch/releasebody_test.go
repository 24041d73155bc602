package dispatch

import (
	"testing"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against memory that is never returned, or returned twice, for bodies of requests that are
// refused at once, or that are sent again while the first one is in progress.
func TestBodiesOfRefusedRequestsAreReleased(t *testing.T) {
	s := newConnectedSimulation(t)
	e := s.entries[0]
	submit := func(id mulberryspool.RequestID, route, body string) *simHeld {
		q := &simRequest{entry: e}
		q.submission = Submission{ID: id, Route: route, IdempotencyKey: testKey, Method: "POST", Path: "/", Body: []byte(body), Tokens: 1, Buffered: true, Held: &q.held}
		if s.requests[id] == nil {
			s.requests[id] = q
		} else {
			s.requests[id].callerLeft = false
		}
		e.step(Submitted{Submission: q.submission})
		return &q.held
	}
	leave := func() {
		s.requests["r1"].callerLeft = true
		e.step(CallerDisconnected{ID: "r1"})
	}
	first := submit("r1", "once", "x")
	s.takeMessage("claim").deliver()
	s.takeMessage("claimed").deliver()
	s.takeMessage("start").deliver()
	s.sendNextPart(s.agents[0].executions["r1"], 5)
	s.takeMessage("startAnswered").deliver()
	leave()
	same := submit("r1", "once", "x")
	leave()
	other := submit("r1", "once", "y")
	unknown := submit("r2", "none", "x")
	for name, c := range map[string]struct {
		held *simHeld
		want int
	}{
		"request that is in progress": {first, 0},
		"the same request":            {same, 1},
		"other request with its ID":   {other, 1},
		"request without a route":     {unknown, 1},
	} {
		if c.held.released != c.want {
			t.Errorf("%s: body was released %d times, want %d", name, c.held.released, c.want)
		}
	}
	s.deliverAll()
	if first.released != 1 {
		t.Errorf("body was released %d times after the end of its request, want once", first.released)
	}
}
