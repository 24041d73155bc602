package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against faults in the handling of lost, delayed, duplicated and
// reordered events: a second execution of a non-idempotent request or key, a
// request reported as notRun that ran, a response with wrong or missing bytes,
// and a request that never ends.
func TestRequestsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		if rapid.IntRange(0, 3).Draw(t, "late connections") > 0 {
			s.deliverAll()
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":    s.submitRandom,
			"leave":     s.disconnectCaller,
			"deliver":   s.deliverSeveral,
			"deliver2":  s.deliverSeveral,
			"deliver3":  s.deliverSeveral,
			"work":      s.sendSeveralParts,
			"work2":     s.sendSeveralParts,
			"advance":   s.advanceRandom,
			"heartbeat": s.sendHeartbeat,
			"breakConn": s.breakRandomConn,
			"restart":   s.restartRandomAgent,
			"phase":     s.toggleServing,
		})
		s.finishAndCheck()
	})
}

// Guards against a simulation in which every request fails, which would make
// TestRequestsUnderFaults pass without testing anything.
func TestSimulationCompletesRequestsWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.deliverAll()
		for range rapid.IntRange(1, 10).Draw(t, "requests") {
			s.submitRandom(t)
			s.deliverAll()
		}
		for id, q := range s.requests {
			if q.err != nil && q.err.Code != CodeKeyReused {
				t.Fatalf("request %s ended with %+v", id, *q.err)
			}
		}
		s.finishAndCheck()
	})
}

// deliverAll delivers everything in order until all executions have ended.
func (s *simulation) deliverAll() {
	for len(s.inFlight) > 0 {
		p := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		p.deliver()
		if len(s.inFlight) > 0 {
			continue
		}
		for _, a := range s.agents {
			for _, id := range sortedKeys(a.executions) {
				s.sendNextPart(a.executions[id], 100)
			}
		}
	}
}

func (s *simulation) submitRandom(t *rapid.T) {
	id := mulberryspool.RequestID(fmt.Sprintf("r%d", len(s.requests)))
	route := rapid.SampledFrom([]string{"once", "again"}).Draw(t, "route")
	submission := Submission{ID: id, Route: route, Method: "POST", Path: "/", Tokens: 1, Buffered: rapid.Bool().Draw(t, "buffered")}
	if rapid.Bool().Draw(t, "keyed") {
		submission.IdempotencyKey = route + rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
		submission.Body = []byte(rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"))
	}
	e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")]
	q := &simRequest{entry: e, idempotent: route == "again"}
	submission.Held = &q.held
	q.submission = submission
	s.requests[id] = q
	e.step(Submitted{Submission: submission})
}

func (s *simulation) disconnectCaller(t *rapid.T) {
	if q := s.randomOpenRequest(t); q != nil {
		q.callerLeft = true
		q.entry.step(CallerDisconnected{ID: q.submission.ID})
	}
}

func (s *simulation) randomOpenRequest(t *rapid.T) *simRequest {
	var open []mulberryspool.RequestID
	for _, id := range sortedKeys(s.requests) {
		if q := s.requests[id]; q.end == nil && q.err == nil && !q.callerLeft {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return s.requests[rapid.SampledFrom(open).Draw(t, "request")]
}

func (s *simulation) deliverSeveral(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "deliveries") {
		s.deliverOne(t)
	}
}

func (s *simulation) sendSeveralParts(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "parts") {
		s.sendRandomPart(t)
	}
}

// deliverOne delivers, loses, duplicates or corrupts one delivery in flight,
// preferably one of the oldest.
func (s *simulation) deliverOne(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	near := min(len(s.inFlight)-1, 3)
	i := rapid.OneOf(rapid.Just(0), rapid.IntRange(0, near), rapid.IntRange(0, len(s.inFlight)-1)).Draw(t, "index")
	p := s.inFlight[i]
	fate := rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "arrive", "arrive", "arrive", "lose", "twice", "corrupt"}).Draw(t, "fate of "+p.name)
	if fate != "twice" {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	switch {
	case fate == "lose" && p.lost != nil:
		p.lost()
	case fate == "lose":
	case fate == "corrupt" && p.corrupt != nil:
		p.corrupt()
	default:
		p.deliver()
	}
}

func (s *simulation) sendRandomPart(t *rapid.T) {
	var busy []*execution
	for _, a := range s.agents {
		for _, id := range sortedKeys(a.executions) {
			if x := a.executions[id]; len(x.readOffsets) > 0 {
				busy = append(busy, x)
			}
		}
	}
	if len(busy) == 0 {
		return
	}
	x := busy[rapid.IntRange(0, len(busy)-1).Draw(t, "execution")]
	if x.outcome == "" {
		x.outcome = rapid.SampledFrom([]mulberryspool.Outcome{mulberryspool.OutcomeDone, mulberryspool.OutcomeDone,
			mulberryspool.OutcomeDone, mulberryspool.OutcomeFailed, mulberryspool.OutcomeUnknown}).Draw(t, "outcome")
	}
	s.sendNextPart(x, rapid.IntRange(5, 40).Draw(t, "size"))
}

func (s *simulation) advanceRandom(t *rapid.T) {
	bound := rapid.SampledFrom([]int{100, 1_000, 5_000, 110_000}).Draw(t, "bound")
	s.advance(time.Duration(rapid.IntRange(1, bound).Draw(t, "milliseconds")) * time.Millisecond)
}

// advance moves the clock forward and fires the timers that become due.
func (s *simulation) advance(by time.Duration) {
	end := s.now.Add(by)
	for {
		var next *simEntry
		for _, e := range s.entries {
			if !e.timerAt.IsZero() && !e.timerAt.After(end) && (next == nil || e.timerAt.Before(next.timerAt)) {
				next = e
			}
		}
		if next == nil {
			break
		}
		if next.timerAt.After(s.now) {
			s.now = next.timerAt
		}
		next.timerAt = time.Time{}
		next.step(TimerFired{})
	}
	s.now = end
}

func (s *simulation) randomOpenConn(t *rapid.T) *simConn {
	e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")]
	var open []ConnID
	for id := ConnID(1); id <= e.reducer.lastConnID; id++ {
		if c := e.conns[id]; c != nil && c.open {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return e.conns[rapid.SampledFrom(open).Draw(t, "connection")]
}

func (s *simulation) sendHeartbeat(t *rapid.T) {
	if c := s.randomOpenConn(t); c != nil {
		status := c.agent.heartbeat(s.now)
		c.entry.sendEvent("heartbeat", HeartbeatArrived{Conn: c.id, Status: status})
	}
}

func (s *simulation) breakRandomConn(t *rapid.T) {
	c := s.randomOpenConn(t)
	if c == nil {
		return
	}
	if rapid.Bool().Draw(t, "silent") {
		c.entry.step(ConnTimedOut{Conn: c.id})
	} else {
		c.entry.step(ConnClosed{Conn: c.id})
	}
	c.open = false
}

func (s *simulation) restartRandomAgent(t *rapid.T) {
	a := s.agents[rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent")]
	a.restart(s.now)
	for _, e := range s.entries {
		for id := ConnID(1); id <= e.reducer.lastConnID; id++ {
			if c := e.conns[id]; c != nil && c.open && c.agent == a {
				e.sendEvent("closed", ConnClosed{Conn: id})
			}
		}
	}
}

func (s *simulation) toggleServing(t *rapid.T) {
	a := s.agents[rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent")]
	a.serving = !a.serving
}

// finishAndCheck lets all deadlines pass without any further event, delivers
// what is still in flight, and checks what the callers received.
func (s *simulation) finishAndCheck() {
	s.advance(10 * time.Minute)
	for _, e := range s.entries {
		if n := e.reducer.Requests(); n > 0 {
			s.t.Fatalf("%d requests have not ended after their deadlines", n)
		}
		for name, p := range e.reducer.pools {
			if p.queuedCount != 0 {
				s.t.Fatalf("pool %s counts %d queued requests after all have ended", name, p.queuedCount)
			}
		}
	}
	for i := 0; i < len(s.inFlight); i++ {
		s.inFlight[i].deliver()
	}
	perKey := make(map[string]int)
	for id, q := range s.requests {
		s.checkRequest(id, q)
		if !q.idempotent && q.submission.IdempotencyKey != "" {
			perKey[q.submission.IdempotencyKey] += s.executionCounts[id]
		}
	}
	for key, n := range perKey {
		if n > 1 {
			s.t.Fatalf("requests with key %s ran %d times, want at most once", key, n)
		}
	}
}

func (s *simulation) checkRequest(id mulberryspool.RequestID, q *simRequest) {
	if q.submission.Held != nil && q.held.released != 1 {
		s.t.Fatalf("the memory of the body of request %s was released %d times, want once", id, q.held.released)
	}
	if !q.idempotent && s.executionCounts[id] > 1 {
		s.t.Fatalf("request %s ran %d times, want at most once", id, s.executionCounts[id])
	}
	switch {
	case q.callerLeft:
	case q.end == nil && q.err == nil:
		s.t.Fatalf("request %s has not ended", id)
	case q.end != nil:
		if !s.isValidResponse(q) {
			s.t.Fatalf("request %s got %q, which is not a response to it", id, q.received.String())
		}
	case q.err.Outcome == mulberryspool.OutcomeNotRun && s.executionCounts[id] > 0:
		s.t.Fatalf("request %s was reported as notRun (%s) but ran", id, q.err.Code)
	}
}

// isValidResponse reports whether the received bytes are a complete response to
// the request or to another request with the same key.
func (s *simulation) isValidResponse(q *simRequest) bool {
	for id, other := range s.requests {
		if id != q.submission.ID && (q.submission.IdempotencyKey == "" || other.submission.IdempotencyKey != q.submission.IdempotencyKey) {
			continue
		}
		if slices.Contains(s.responseBodies[id], q.received.String()) {
			return true
		}
	}
	return false
}
