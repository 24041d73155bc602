package dispatch

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const testKey = "once/key"

// put submits a keyed request at an entry without delivering anything.
func (w *world) put(entry int, id, key, body string) *modelRequest {
	sub := Submission{ID: mulberryspool.RequestID(id), Route: "once", Method: "POST", Path: "/", Tokens: 1, Key: key, Body: []byte(body)}
	q := &modelRequest{sub: sub, entry: w.entries[entry]}
	w.requests[sub.ID] = q
	q.entry.step(Submitted{Submission: sub})
	return q
}

// take removes the oldest parcel of a name from the bag.
func (w *world) take(name string) parcel {
	for i, p := range w.bag {
		if p.name == name {
			w.bag = append(w.bag[:i:i], w.bag[i+1:]...)
			return p
		}
	}
	w.t.Fatalf("nothing named %s is on its way", name)
	return parcel{}
}

// beatAll brings every entry the present state of every agent.
func (w *world) beatAll() {
	for _, e := range w.entries {
		for id := ConnID(1); id <= e.reducer.lastConn; id++ {
			if c := e.conns[id]; c.open {
				e.step(HeartbeatArrived{Conn: id, Status: c.agent.heartbeat(w.now)})
			}
		}
	}
}

func connected(t *testing.T) *world {
	w := newWorld(t)
	w.deliverAll()
	return w
}

func (q *modelRequest) wantCode(t *testing.T, outcome mulberryspool.Outcome, code Code) {
	t.Helper()
	if q.err == nil || q.err.Outcome != outcome || q.err.Code != code {
		t.Fatalf("request %s ended with %+v, want %s %s", q.sub.ID, q.err, outcome, code)
	}
}

// Guards against a second execution of a key after its agent has forgotten
// the first one, whose outcome was never recorded.
func TestNeverSeenIsNotTrustedAfterRetention(t *testing.T) {
	w := connected(t)
	first := w.put(0, "r1", testKey, "x")
	w.take("claim").deliver()
	w.take("claimed").deliver()
	w.take("start").deliver()
	first.left = true
	first.entry.step(CallerLeft{ID: "r1"})
	for _, x := range w.agents[0].executions {
		x.ended = w.now
	}
	w.bag = nil
	w.advance(modelRetention + time.Second)
	w.beatAll()
	again := w.put(1, "r2", testKey, "x")
	w.deliverAll()
	again.wantCode(t, mulberryspool.OutcomeUnknown, CodeKeyUnknown)
	w.finish()
}

// Guards against a key that stays blocked, or runs twice, when its first
// request was claimed and never arrived at the agent.
func TestRetryRunsInPlaceOfLostStart(t *testing.T) {
	w := connected(t)
	w.put(0, "r1", testKey, "x")
	w.take("claim").deliver()
	w.take("claimed").deliver()
	late := w.take("start")
	again := w.put(1, "r2", testKey, "x")
	w.deliverAll()
	if again.end == nil {
		t.Fatalf("retry ended with %+v", again.err)
	}
	late.deliver()
	w.deliverAll()
	w.finish()
}

// Guards against a retry that runs again in place of reading the answer of a
// request that is running or done.
func TestRetryReadsTheSameAnswer(t *testing.T) {
	w := connected(t)
	first := w.put(0, "r1", testKey, "x")
	w.take("claim").deliver()
	w.take("claimed").deliver()
	w.take("start").deliver()
	during := w.put(1, "r2", testKey, "x")
	w.deliverAll()
	after := w.put(1, "r3", testKey, "x")
	w.deliverAll()
	for _, q := range []*modelRequest{first, during, after} {
		if q.end == nil || q.got.String() != w.bodies["r1"][0] {
			t.Fatalf("request %s got %q and ended with %+v", q.sub.ID, q.got.String(), q.err)
		}
	}
	w.finish()
}

// Guards against one key for two different bodies.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	w := connected(t)
	w.put(0, "r1", testKey, "x")
	w.deliverAll()
	other := w.put(1, "r2", testKey, "y")
	w.deliverAll()
	other.wantCode(t, mulberryspool.OutcomeNotRun, CodeKeyReused)
	w.finish()
}

// Guards against a dispatch without a recorded claim, and against a later
// retry that runs beside an uncertain one.
func TestUncertainClaimIsNotDispatched(t *testing.T) {
	w := connected(t)
	first := w.put(0, "r1", testKey, "x")
	w.take("claim").corrupt()
	w.deliverAll()
	first.wantCode(t, mulberryspool.OutcomeNotRun, CodeClaimUnrecorded)
	again := w.put(1, "r2", testKey, "x")
	w.deliverAll()
	if again.end == nil || w.executed["r1"] != 0 || w.executed["r2"] != 1 {
		t.Fatalf("retry ended with %+v after %v executions", again.err, w.executed)
	}
	w.finish()
}

// Guards against a refused submission without the truth about an outage.
func TestClaimInOutageIsNotRun(t *testing.T) {
	w := connected(t)
	first := w.put(0, "r1", testKey, "x")
	w.take("claim").lost()
	w.deliverAll()
	first.wantCode(t, mulberryspool.OutcomeNotRun, CodeClaimUnrecorded)
	if first.err.RetryAfter == 0 {
		t.Error("the caller is not told when to try again")
	}
	w.finish()
}

// Guards against a claim that names another agent than the one that runs the
// request after a refusal.
func TestClaimMovesBeforeSecondAgent(t *testing.T) {
	w := connected(t)
	w.agents[0].serving = false
	first := w.put(0, "r1", testKey, "x")
	w.deliverAll()
	if first.end == nil {
		t.Fatalf("request ended with %+v", first.err)
	}
	if claim := w.claims[testKey]; claim.Agent != w.agents[1].id || claim.Outcome != mulberryspool.OutcomeDone {
		t.Fatalf("claim is %+v", claim)
	}
	w.finish()
}

// Guards against a key that stays open when its agent restarted, and against
// its second execution.
func TestRestartedAgentMakesKeyUnknown(t *testing.T) {
	w := connected(t)
	first := w.put(0, "r1", testKey, "x")
	w.take("claim").deliver()
	w.take("claimed").deliver()
	w.take("start").deliver()
	w.take("startAnswered")
	w.agents[0].restart(w.now)
	first.entry.step(ConnClosed{Conn: 1})
	w.deliverAll()
	first.wantCode(t, mulberryspool.OutcomeUnknown, CodeAgentRestarted)
	again := w.put(1, "r2", testKey, "x")
	w.deliverAll()
	again.wantCode(t, mulberryspool.OutcomeUnknown, CodeKeyUnknown)
	w.finish()
}

// Guards against a claim left open by a request that ended before its claim
// was recorded, which would hold up a retry.
func TestClaimOfDepartedCallerIsReleased(t *testing.T) {
	w := connected(t)
	first := w.put(0, "r1", testKey, "x")
	first.left = true
	first.entry.step(CallerLeft{ID: "r1"})
	w.deliverAll()
	if claim := w.claims[testKey]; claim.Outcome != mulberryspool.OutcomeNotRun {
		t.Fatalf("claim is %+v", claim)
	}
	w.finish()
}

// Guards against the loss of a keyed answer when its caller leaves and comes
// back with the same request ID.
func TestCallerReturnsUnderTheSameID(t *testing.T) {
	w := connected(t)
	first := w.put(0, "r1", testKey, "x")
	w.take("claim").deliver()
	w.take("claimed").deliver()
	w.take("start").deliver()
	w.work(w.agents[0].executions["r1"], 5)
	w.take("startAnswered").deliver()
	w.take("chunk").deliver()
	first.left = true
	first.entry.step(CallerLeft{ID: "r1"})
	back := w.put(0, "r1", testKey, "x")
	w.deliverAll()
	if back.end == nil || back.got.String() != w.bodies["r1"][0] {
		t.Fatalf("returned caller got %q and ended with %+v", back.got.String(), back.err)
	}
	w.finish()
}
