package dispatch

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const testKey = "once/key"

// submitKeyed submits a request with an idempotency key to an entry without
// delivering anything.
func (s *simulation) submitKeyed(entry int, id, key, body string) *simRequest {
	submission := Submission{ID: mulberryspool.RequestID(id), Route: "once", Method: "POST", Path: "/", Tokens: 1, IdempotencyKey: key, Body: []byte(body)}
	q := &simRequest{submission: submission, entry: s.entries[entry]}
	s.requests[submission.ID] = q
	q.entry.step(Submitted{Submission: submission})
	return q
}

// takeMessage removes the oldest delivery in flight with the name.
func (s *simulation) takeMessage(name string) pendingDelivery {
	for i, p := range s.inFlight {
		if p.name == name {
			s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
			return p
		}
	}
	s.t.Fatalf("no %s is in flight", name)
	return pendingDelivery{}
}

// deliverHeartbeats delivers the current status of every agent to every entry.
func (s *simulation) deliverHeartbeats() {
	for _, e := range s.entries {
		for id := ConnID(1); id <= e.reducer.lastConnID; id++ {
			if c := e.conns[id]; c.open {
				e.step(HeartbeatArrived{Conn: id, Status: c.agent.heartbeat(s.now)})
			}
		}
	}
}

func newConnectedSimulation(t *testing.T) *simulation {
	s := newSimulation(t)
	s.deliverAll()
	return s
}

func (q *simRequest) wantError(t *testing.T, outcome mulberryspool.Outcome, code Code) {
	t.Helper()
	if q.err == nil || q.err.Outcome != outcome || q.err.Code != code {
		t.Fatalf("request %s ended with %+v, want %s %s", q.submission.ID, q.err, outcome, code)
	}
}

// Guards against a second execution of a key whose outcome was never recorded:
// after the retention time, the agent reports the first execution as neverSeen.
func TestNeverSeenIsNotTrustedAfterRetention(t *testing.T) {
	s := newConnectedSimulation(t)
	first := s.submitKeyed(0, "r1", testKey, "x")
	s.takeMessage("claim").deliver()
	s.takeMessage("claimed").deliver()
	s.takeMessage("start").deliver()
	first.callerLeft = true
	first.entry.step(CallerDisconnected{ID: "r1"})
	for _, x := range s.agents[0].executions {
		x.endedAt = s.now
	}
	s.inFlight = nil
	s.advance(simResponseRetention + time.Second)
	s.deliverHeartbeats()
	again := s.submitKeyed(1, "r2", testKey, "x")
	s.deliverAll()
	again.wantError(t, mulberryspool.OutcomeUnknown, CodeEarlierOutcomeUnknown)
	s.finishAndCheck()
}

// Guards against a key that is unusable, or runs twice, after its first request
// was claimed but the start did not reach the agent in time.
func TestRetryRunsInPlaceOfLostStart(t *testing.T) {
	s := newConnectedSimulation(t)
	s.submitKeyed(0, "r1", testKey, "x")
	s.takeMessage("claim").deliver()
	s.takeMessage("claimed").deliver()
	late := s.takeMessage("start")
	again := s.submitKeyed(1, "r2", testKey, "x")
	s.deliverAll()
	if again.end == nil {
		t.Fatalf("retry ended with %+v", again.err)
	}
	late.deliver()
	s.deliverAll()
	s.finishAndCheck()
}

// Guards against a retry that executes the request again instead of reading the
// response of the first request, while that runs or after it has completed.
func TestRetryReadsResponseOfFirstRequest(t *testing.T) {
	s := newConnectedSimulation(t)
	first := s.submitKeyed(0, "r1", testKey, "x")
	s.takeMessage("claim").deliver()
	s.takeMessage("claimed").deliver()
	s.takeMessage("start").deliver()
	during := s.submitKeyed(1, "r2", testKey, "x")
	s.deliverAll()
	after := s.submitKeyed(1, "r3", testKey, "x")
	s.deliverAll()
	for _, q := range []*simRequest{first, during, after} {
		if q.end == nil || q.received.String() != s.responseBodies["r1"][0] {
			t.Fatalf("request %s got %q and ended with %+v", q.submission.ID, q.received.String(), q.err)
		}
	}
	s.finishAndCheck()
}

// Guards against a key that is reused with another body and gets the response
// to the first one.
func TestKeyReusedWithOtherBodyIsRefused(t *testing.T) {
	s := newConnectedSimulation(t)
	s.submitKeyed(0, "r1", testKey, "x")
	s.deliverAll()
	other := s.submitKeyed(1, "r2", testKey, "y")
	s.deliverAll()
	other.wantError(t, mulberryspool.OutcomeNotRun, CodeKeyReused)
	s.finishAndCheck()
}

// Guards against a request that is dispatched although the reply to its claim
// was lost: a later retry with the same key would run it a second time.
func TestUncertainClaimIsNotDispatched(t *testing.T) {
	s := newConnectedSimulation(t)
	first := s.submitKeyed(0, "r1", testKey, "x")
	s.takeMessage("claim").corrupt()
	s.deliverAll()
	first.wantError(t, mulberryspool.OutcomeNotRun, CodeClaimUnrecorded)
	again := s.submitKeyed(1, "r2", testKey, "x")
	s.deliverAll()
	if again.end == nil || s.executionCounts["r1"] != 0 || s.executionCounts["r2"] != 1 {
		t.Fatalf("retry ended with %+v after %v executions", again.err, s.executionCounts)
	}
	s.finishAndCheck()
}

// Guards against a misleading error while the object API is unavailable: the
// request did not run, and the caller is told when to retry.
func TestKeyedRequestIsNotRunWhenStoreIsUnavailable(t *testing.T) {
	s := newConnectedSimulation(t)
	first := s.submitKeyed(0, "r1", testKey, "x")
	s.takeMessage("claim").lost()
	s.deliverAll()
	first.wantError(t, mulberryspool.OutcomeNotRun, CodeClaimUnrecorded)
	if first.err.RetryAfter == 0 {
		t.Error("the error has no RetryAfter")
	}
	s.finishAndCheck()
}

// Guards against a claim that still names the first agent after that agent has
// refused the request and another one has run it.
func TestClaimNamesAgentThatRunsRequest(t *testing.T) {
	s := newConnectedSimulation(t)
	s.agents[0].serving = false
	first := s.submitKeyed(0, "r1", testKey, "x")
	s.deliverAll()
	if first.end == nil {
		t.Fatalf("request ended with %+v", first.err)
	}
	if claim := s.claims[testKey]; claim.Agent != s.agents[1].id || claim.Outcome != mulberryspool.OutcomeDone {
		t.Fatalf("claim is %+v", claim)
	}
	s.finishAndCheck()
}

// Guards against a second execution of a key, or a key without an outcome, after
// the agent restarted while it ran the request.
func TestAgentRestartMakesKeyOutcomeUnknown(t *testing.T) {
	s := newConnectedSimulation(t)
	first := s.submitKeyed(0, "r1", testKey, "x")
	s.takeMessage("claim").deliver()
	s.takeMessage("claimed").deliver()
	s.takeMessage("start").deliver()
	s.takeMessage("startAnswered")
	s.agents[0].restart(s.now)
	first.entry.step(ConnClosed{Conn: 1})
	s.deliverAll()
	first.wantError(t, mulberryspool.OutcomeUnknown, CodeAgentRestarted)
	again := s.submitKeyed(1, "r2", testKey, "x")
	s.deliverAll()
	again.wantError(t, mulberryspool.OutcomeUnknown, CodeEarlierOutcomeUnknown)
	s.finishAndCheck()
}

// Guards against a claim that stays without an outcome, and so delays a retry,
// because its request ended while the claim was being written.
func TestClaimOfDisconnectedCallerIsReleased(t *testing.T) {
	s := newConnectedSimulation(t)
	first := s.submitKeyed(0, "r1", testKey, "x")
	first.callerLeft = true
	first.entry.step(CallerDisconnected{ID: "r1"})
	s.deliverAll()
	if claim := s.claims[testKey]; claim.Outcome != mulberryspool.OutcomeNotRun {
		t.Fatalf("claim is %+v", claim)
	}
	s.finishAndCheck()
}

// Guards against a lost response when the caller of a keyed request disconnects
// and retries the request under the same ID.
func TestCallerReconnectsWithSameRequestID(t *testing.T) {
	s := newConnectedSimulation(t)
	first := s.submitKeyed(0, "r1", testKey, "x")
	s.takeMessage("claim").deliver()
	s.takeMessage("claimed").deliver()
	s.takeMessage("start").deliver()
	s.sendNextPart(s.agents[0].executions["r1"], 5)
	s.takeMessage("startAnswered").deliver()
	s.takeMessage("chunk").deliver()
	first.callerLeft = true
	first.entry.step(CallerDisconnected{ID: "r1"})
	back := s.submitKeyed(0, "r1", testKey, "x")
	s.deliverAll()
	if back.end == nil || back.received.String() != s.responseBodies["r1"][0] {
		t.Fatalf("reconnected caller got %q and ended with %+v", back.received.String(), back.err)
	}
	s.finishAndCheck()
}
