package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against a second execution of a non-idempotent request or key, a
// notRun that ran, an answer with other or missing bytes, and a request
// without an end, under lost, late, duplicate and reordered events.
func TestRequestsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		if rapid.IntRange(0, 3).Draw(t, "late connections") > 0 {
			w.deliverAll()
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":    w.submit,
			"leave":     w.leave,
			"deliver":   w.deliverSome,
			"deliver2":  w.deliverSome,
			"deliver3":  w.deliverSome,
			"work":      w.workSome,
			"work2":     w.workSome,
			"advance":   w.advanceSome,
			"heartbeat": w.beat,
			"breakConn": w.breakConn,
			"restart":   w.restartOne,
			"phase":     w.changePhase,
		})
		w.finish()
	})
}

// Guards against a run of the model in which nothing succeeds, which would
// make the test above pass for the wrong reason.
func TestModelAnswersWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.deliverAll()
		for range rapid.IntRange(1, 10).Draw(t, "requests") {
			w.submit(t)
			w.deliverAll()
		}
		for id, q := range w.requests {
			if q.err != nil && q.err.Code != CodeKeyReused {
				t.Fatalf("request %s ended with %+v", id, *q.err)
			}
		}
		w.finish()
	})
}

// deliverAll lets everything arrive in order and all executions end.
func (w *world) deliverAll() {
	for len(w.bag) > 0 {
		p := w.bag[0]
		w.bag = w.bag[1:]
		p.deliver()
		if len(w.bag) > 0 {
			continue
		}
		for _, a := range w.agents {
			for _, id := range sortedKeys(a.executions) {
				w.work(a.executions[id], 100)
			}
		}
	}
}

func (w *world) submit(t *rapid.T) {
	id := mulberryspool.RequestID(fmt.Sprintf("r%d", len(w.requests)))
	route := rapid.SampledFrom([]string{"once", "again"}).Draw(t, "route")
	sub := Submission{ID: id, Route: route, Method: "POST", Path: "/", Tokens: 1, Buffered: rapid.Bool().Draw(t, "buffered")}
	if rapid.Bool().Draw(t, "keyed") {
		sub.Key = route + rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
		sub.Body = []byte(rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"))
	}
	e := w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")]
	w.requests[id] = &modelRequest{sub: sub, entry: e, idempotent: route == "again"}
	e.step(Submitted{Submission: sub})
}

func (w *world) leave(t *rapid.T) {
	if q := w.openRequest(t); q != nil {
		q.left = true
		q.entry.step(CallerLeft{ID: q.sub.ID})
	}
}

func (w *world) openRequest(t *rapid.T) *modelRequest {
	var open []mulberryspool.RequestID
	for _, id := range sortedKeys(w.requests) {
		if q := w.requests[id]; q.end == nil && q.err == nil && !q.left {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return w.requests[rapid.SampledFrom(open).Draw(t, "request")]
}

func (w *world) deliverSome(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "deliveries") {
		w.deliver(t)
	}
}

func (w *world) workSome(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "parts") {
		w.workOne(t)
	}
}

// deliver decides about one thing on its way, most often one of the oldest.
func (w *world) deliver(t *rapid.T) {
	if len(w.bag) == 0 {
		return
	}
	near := min(len(w.bag)-1, 3)
	i := rapid.OneOf(rapid.Just(0), rapid.IntRange(0, near), rapid.IntRange(0, len(w.bag)-1)).Draw(t, "index")
	p := w.bag[i]
	fate := rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "arrive", "arrive", "arrive", "lose", "twice", "corrupt"}).Draw(t, "fate of "+p.name)
	if fate != "twice" {
		w.bag = slices.Delete(w.bag, i, i+1)
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

func (w *world) workOne(t *rapid.T) {
	var busy []*execution
	for _, a := range w.agents {
		for _, id := range sortedKeys(a.executions) {
			if x := a.executions[id]; len(x.readers) > 0 {
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
	w.work(x, rapid.IntRange(5, 40).Draw(t, "size"))
}

func (w *world) advanceSome(t *rapid.T) {
	bound := rapid.SampledFrom([]int{100, 1_000, 5_000, 110_000}).Draw(t, "bound")
	w.advance(time.Duration(rapid.IntRange(1, bound).Draw(t, "milliseconds")) * time.Millisecond)
}

// advance lets time pass and fires the timers on the way.
func (w *world) advance(by time.Duration) {
	end := w.now.Add(by)
	for {
		var next *modelEntry
		for _, e := range w.entries {
			if !e.timer.IsZero() && !e.timer.After(end) && (next == nil || e.timer.Before(next.timer)) {
				next = e
			}
		}
		if next == nil {
			break
		}
		if next.timer.After(w.now) {
			w.now = next.timer
		}
		next.timer = time.Time{}
		next.step(Tick{})
	}
	w.now = end
}

func (w *world) conn(t *rapid.T) *modelConn {
	e := w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")]
	var open []ConnID
	for id := ConnID(1); id <= e.reducer.lastConn; id++ {
		if c := e.conns[id]; c != nil && c.open {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return e.conns[rapid.SampledFrom(open).Draw(t, "connection")]
}

func (w *world) beat(t *rapid.T) {
	if c := w.conn(t); c != nil {
		status := c.agent.heartbeat(w.now)
		c.entry.later("heartbeat", HeartbeatArrived{Conn: c.id, Status: status})
	}
}

func (w *world) breakConn(t *rapid.T) {
	c := w.conn(t)
	if c == nil {
		return
	}
	if rapid.Bool().Draw(t, "silent") {
		c.entry.step(ConnSilent{Conn: c.id})
	} else {
		c.entry.step(ConnClosed{Conn: c.id})
	}
	c.open = false
}

func (w *world) restartOne(t *rapid.T) {
	a := w.agents[rapid.IntRange(0, len(w.agents)-1).Draw(t, "agent")]
	a.restart(w.now)
	for _, e := range w.entries {
		for id := ConnID(1); id <= e.reducer.lastConn; id++ {
			if c := e.conns[id]; c != nil && c.open && c.agent == a {
				e.later("closed", ConnClosed{Conn: id})
			}
		}
	}
}

func (w *world) changePhase(t *rapid.T) {
	a := w.agents[rapid.IntRange(0, len(w.agents)-1).Draw(t, "agent")]
	a.serving = !a.serving
}

// finish lets all deadlines pass without any further event, then lets what is
// left arrive late, and checks what the callers were told.
func (w *world) finish() {
	w.advance(10 * time.Minute)
	for _, e := range w.entries {
		if n := e.reducer.Requests(); n > 0 {
			w.t.Fatalf("%d requests have no end", n)
		}
		for name, p := range e.reducer.pools {
			if p.queued != 0 {
				w.t.Fatalf("pool %s counts %d queued requests after the end of all", name, p.queued)
			}
		}
	}
	for i := 0; i < len(w.bag); i++ {
		w.bag[i].deliver()
	}
	perKey := make(map[string]int)
	for id, q := range w.requests {
		w.checkRequest(id, q)
		if !q.idempotent && q.sub.Key != "" {
			perKey[q.sub.Key] += w.executed[id]
		}
	}
	for key, n := range perKey {
		if n > 1 {
			w.t.Fatalf("key %s has run %d times", key, n)
		}
	}
}

func (w *world) checkRequest(id mulberryspool.RequestID, q *modelRequest) {
	if !q.idempotent && w.executed[id] > 1 {
		w.t.Fatalf("request %s has run %d times", id, w.executed[id])
	}
	switch {
	case q.left:
	case q.end == nil && q.err == nil:
		w.t.Fatalf("request %s has no end", id)
	case q.end != nil:
		if !w.isAnswer(q) {
			w.t.Fatalf("request %s got %q, which is no answer to it", id, q.got.String())
		}
	case q.err.Outcome == mulberryspool.OutcomeNotRun && w.executed[id] > 0:
		w.t.Fatalf("request %s was told notRun (%s) and has run", id, q.err.Code)
	}
}

// isAnswer reports whether the bytes are a whole answer to the request or,
// for a repeated key, to an earlier one with the same key.
func (w *world) isAnswer(q *modelRequest) bool {
	for id, other := range w.requests {
		if id != q.sub.ID && (q.sub.Key == "" || other.sub.Key != q.sub.Key) {
			continue
		}
		if slices.Contains(w.bodies[id], q.got.String()) {
			return true
		}
	}
	return false
}
