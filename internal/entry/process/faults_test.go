package process

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
	"github.com/mulberryspool/mulberryspool/internal/entry/entrytest"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

// wantError checks the JSON body of an error.
func wantError(t *testing.T, got reply, outcome mulberryspool.Outcome, code dispatch.Code) {
	t.Helper()
	var body struct {
		Error struct {
			Type      mulberryspool.Outcome
			Code      dispatch.Code
			RequestID string
		}
	}
	if err := json.Unmarshal(got.body, &body); err != nil {
		t.Fatalf("answer %d %q is no error: %v", got.status, got.body, err)
	}
	if body.Error.Type != outcome || body.Error.Code != code || body.Error.RequestID == "" {
		t.Fatalf("answer %d %q, want %s %s", got.status, got.body, outcome, code)
	}
}

// Guards against a request that hangs or is run again when its connection goes
// silent after part of the answer was delivered.
func TestSilentConnectionIsResumed(t *testing.T) {
	a := newAgent("agent-1")
	whole := []byte(strings.Repeat("0123456789", 100))
	a.OnStart = func(start *entrytest.Start) {
		start.Accept()
		start.SetAnswer(whole, true)
		start.SendPart(start.Conn, 0, 333)
		a.DropTraffic()
	}
	s := startSystem(t, a)
	got, err := s.send(t, http.MethodPost, "/ledger/x", "")
	if err != nil {
		t.Fatal(err)
	}
	if got.status != http.StatusOK || !bytes.Equal(got.body, whole) {
		t.Fatalf("answer is %d with %d bytes", got.status, len(got.body))
	}
	if n := len(a.Starts()); n != 1 {
		t.Fatalf("agent got %d starts", n)
	}
	if s.events.Count(mulberryspool.EventPeerSuspected) == 0 || s.events.Count(mulberryspool.EventRequestResolved) == 0 {
		t.Error("events of suspicion and resolve are not both recorded")
	}
}

// Guards against a second execution or an unknown outcome when the connection
// is closed after the start was delivered and before the reply to it.
func TestCutAfterDeliveryIsResolved(t *testing.T) {
	a := newAgent("agent-1")
	a.OnStart = func(start *entrytest.Start) {
		start.SetAnswer([]byte("ran once"), true)
		a.CloseConnections()
	}
	s := startSystem(t, a)
	got, err := s.send(t, http.MethodPost, "/ledger/x", "")
	if err != nil {
		t.Fatal(err)
	}
	if got.status != http.StatusOK || string(got.body) != "ran once" {
		t.Fatalf("answer is %d %q", got.status, got.body)
	}
	if n := len(a.Starts()); n != 1 {
		t.Fatalf("agent got %d starts", n)
	}
}

// Guards against delivering an answer to the caller of another request, and
// against bytes of another request within an answer. The agent sends chunks of
// one request under the IDs of others.
func TestMisroutedChunksAreDropped(t *testing.T) {
	a := newAgent("agent-1")
	first := make(chan *entrytest.Start, 1)
	a.OnStart = func(start *entrytest.Start) {
		start.Accept()
		if start.Params.RequestID == "r-1" {
			first <- start
			return
		}
		other := <-first
		// The second request's bytes are sent under the first one's ID at a
		// wrong offset, and under an ID that is not in progress.
		wrong := mulberryspool.ChunkNotice{RequestID: "r-1", Offset: 7, Data: []byte("for r-2")}
		_ = start.Conn.Notify(mulberryspool.MethodChunk, wrong)
		wrong.RequestID, wrong.Offset = "r-3", 0
		_ = start.Conn.Notify(mulberryspool.MethodChunk, wrong)
		start.Finish([]byte("answer to r-2"))
		other.Finish([]byte("answer to r-1"))
	}
	s := startSystem(t, a)
	type result struct {
		got reply
		err error
	}
	firstResult := make(chan result, 1)
	go func() {
		got, err := s.send(t, http.MethodPost, "/ledger/x", "", "X-Request-ID", "r-1")
		firstResult <- result{got, err}
	}()
	s.await(t, func() bool { return len(a.Starts()) == 1 })
	second, err := s.send(t, http.MethodPost, "/ledger/x", "", "X-Request-ID", "r-2")
	if err != nil || string(second.body) != "answer to r-2" {
		t.Fatalf("second answer is %q, %v", second.body, err)
	}
	if r := <-firstResult; r.err != nil || string(r.got.body) != "answer to r-1" {
		t.Fatalf("first answer is %q, %v", r.got.body, r.err)
	}
}

// Guards against an answer without chunks that did not arrive although the
// agent retains them.
func TestMissingBytesAreFetched(t *testing.T) {
	a := newAgent("agent-1")
	whole := []byte("the first part and the rest")
	a.OnStart = func(start *entrytest.Start) {
		start.Accept()
		start.SetAnswer(whole, true)
		start.SendPart(start.Conn, 0, 4)
		start.End(start.Conn, whole)
	}
	s := startSystem(t, a)
	got, err := s.send(t, http.MethodPost, "/ledger/x", "")
	if err != nil || !bytes.Equal(got.body, whole) {
		t.Fatalf("answer is %d %q, %v", got.status, got.body, err)
	}
}

// Guards against a truncated answer that looks complete to the caller. The
// agent ends it with the length and checksum of the whole answer and never
// sends the rest.
func TestTruncatedAnswerIsNotReportedComplete(t *testing.T) {
	a := newAgent("agent-1")
	whole := []byte("the first part and the rest")
	a.OnStart = func(start *entrytest.Start) {
		start.Accept()
		start.SetAnswer([]byte("the first part"), true)
		start.SendPart(start.Conn, 0, 4)
		start.End(start.Conn, whole)
	}
	a.OnResolve = func(start *entrytest.Start, conn *rpc.Conn) { start.End(conn, whole) }
	s := startSystem(t, a)
	got, err := s.send(t, http.MethodPost, "/ledger/x", "")
	if err == nil {
		t.Fatalf("caller got %d %q as a complete answer", got.status, got.body)
	}
}

// Guards against forwarding the [DONE] marker of an event stream to the caller
// before the end of the answer was verified.
func TestBrokenStreamHasNoDoneMarker(t *testing.T) {
	a := newAgent("agent-1")
	a.ContentType = "text/event-stream"
	stream := []byte("data: {\"n\":1}\n\ndata: [DONE]\n\n")
	a.OnStart = func(start *entrytest.Start) {
		start.Accept()
		start.SetAnswer(stream, true)
		start.SendPart(start.Conn, 0, len(stream))
		_ = start.Conn.Notify(mulberryspool.MethodEnd, mulberryspool.EndNotice{
			RequestID: start.Params.RequestID, Outcome: mulberryspool.OutcomeUnknown, Length: int64(len(stream)),
			Checksum: xxhash.Sum64(stream), Message: "the weights changed during the answer",
		})
	}
	s := startSystem(t, a)
	got, err := s.send(t, http.MethodPost, "/v1/chat/completions", `{"model":"scribe","stream":true,"messages":[]}`)
	if err == nil {
		t.Error("the connection ended as if the answer were complete")
	}
	if bytes.Contains(got.body, []byte("[DONE]")) || !bytes.Contains(got.body, []byte("event: error")) ||
		!bytes.Contains(got.body, []byte(`{"n":1}`)) {
		t.Fatalf("caller read %q", got.body)
	}
}

// Guards against failing a request after one agent has refused it although
// another agent is ready.
func TestRefusedRequestRunsAtSecondAgent(t *testing.T) {
	a, b := newAgent("agent-1"), newAgent("agent-2")
	a.OnStart = func(start *entrytest.Start) { start.Refuse(mulberryspool.RefusalOverload) }
	s := startSystem(t, a, b)
	got, err := s.send(t, http.MethodPost, "/ledger/x", "")
	if err != nil {
		t.Fatal(err)
	}
	if got.status != http.StatusOK || !bytes.Equal(got.body, b.Answer) {
		t.Fatalf("answer is %d %q", got.status, got.body)
	}
}

// Guards against a notRun error without a reason or a retry hint when all agents
// refuse a request.
func TestAllRefusedIsNotRun(t *testing.T) {
	a := newAgent("agent-1")
	a.OnStart = func(start *entrytest.Start) { start.Refuse(mulberryspool.RefusalOverload) }
	s := startSystem(t, a)
	got, err := s.send(t, http.MethodPost, "/ledger/x", "", "X-Deadline", "500ms")
	if err != nil {
		t.Fatal(err)
	}
	if got.status < 400 || got.status == http.StatusBadGateway {
		t.Errorf("status is %d", got.status)
	}
	if !bytes.Contains(got.body, []byte(`"type":"notRun"`)) {
		t.Fatalf("answer is %q", got.body)
	}
}

// Guards against an agent that continues to run a request whose caller has
// disconnected.
func TestDisconnectedCallerCancelsAtAgent(t *testing.T) {
	a := newAgent("agent-1")
	a.OnStart = func(start *entrytest.Start) { start.Accept() }
	s := startSystem(t, a)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/ledger/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-ID", "r-1")
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if response, err := http.DefaultClient.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}()
	s.await(t, func() bool { return len(a.Starts()) == 1 })
	cancel()
	<-gone
	s.await(t, func() bool { c := a.Cancels(); return len(c) == 1 && c[0] == "r-1" })
}

// Guards against a deadline that passes without an error to the caller or
// without a cancel to the agent.
func TestDeadlineEndsRequestAndCancels(t *testing.T) {
	a := newAgent("agent-1")
	a.OnStart = func(start *entrytest.Start) { start.Accept() }
	s := startSystem(t, a)
	got, err := s.send(t, http.MethodPost, "/ledger/x", "", "X-Deadline", "100ms")
	if err != nil {
		t.Fatal(err)
	}
	wantError(t, got, mulberryspool.OutcomeUnknown, dispatch.CodeDeadline)
	s.await(t, func() bool { return len(a.Cancels()) == 1 })
}

// Guards against dispatching new requests to an agent that has announced that
// it is leaving.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	a, b := newAgent("agent-1"), newAgent("agent-2")
	s := startSystem(t, a, b)
	a.AnnounceLeaving()
	s.await(t, func() bool { return s.process.Status().Agents[0].Leaving })
	if _, err := s.send(t, http.MethodPost, "/ledger/x", ""); err != nil {
		t.Fatal(err)
	}
	if len(a.Starts()) != 0 || len(b.Starts()) != 1 {
		t.Fatalf("leaving agent got %d starts, the other %d", len(a.Starts()), len(b.Starts()))
	}
}

// Guards against running a request again when its idempotency key is repeated,
// and against claims that are not recorded in the object API.
func TestRepeatedKeyReturnsTheAnswer(t *testing.T) {
	a := newAgent("agent-1")
	s := startSystem(t, a)
	for i := range 2 {
		got, err := s.send(t, http.MethodPost, "/ledger/x", "pay 5", "Idempotency-Key", "k1")
		if err != nil {
			t.Fatal(err)
		}
		if got.status != http.StatusOK || !bytes.Equal(got.body, a.Answer) {
			t.Fatalf("answer %d is %d %q", i, got.status, got.body)
		}
	}
	if n := len(a.Starts()); n != 1 {
		t.Fatalf("agent got %d starts", n)
	}
	got, err := s.send(t, http.MethodPost, "/ledger/x", "pay 6", "Idempotency-Key", "k1")
	if err != nil {
		t.Fatal(err)
	}
	wantError(t, got, mulberryspool.OutcomeNotRun, dispatch.CodeKeyReused)
}

// Guards against running a request with an idempotency key when its claim
// can't be recorded.
func TestKeyedRequestInOutageIsNotRun(t *testing.T) {
	a := newAgent("agent-1")
	s := startSystem(t, a)
	s.store.SetError(mulberryspool.ErrUnavailable)
	got, err := s.send(t, http.MethodPost, "/ledger/x", "pay 5", "Idempotency-Key", "k1")
	if err != nil {
		t.Fatal(err)
	}
	wantError(t, got, mulberryspool.OutcomeNotRun, dispatch.CodeClaimUnrecorded)
	if len(a.Starts()) != 0 || got.header.Get("Retry-After") == "" {
		t.Errorf("agent got %d starts, Retry-After is %q", len(a.Starts()), got.header.Get("Retry-After"))
	}
}

// Guards against losing a deferred submission, and against running it before it
// is durable.
func TestDeferredSubmissionRuns(t *testing.T) {
	a := newAgent("agent-1")
	s := startSystem(t, a)
	got, err := s.send(t, http.MethodPost, "/orders/x", "order", "Prefer", "respond-async")
	if err != nil {
		t.Fatal(err)
	}
	location := got.header.Get("Location")
	if got.status != http.StatusAccepted || location == "" {
		t.Fatalf("answer is %d %q", got.status, got.body)
	}
	var receipt struct {
		State  string
		Answer struct{ Body []byte }
	}
	s.await(t, func() bool {
		got, err := s.send(t, http.MethodGet, location, "")
		return err == nil && json.Unmarshal(got.body, &receipt) == nil && receipt.State == "done"
	})
	if !bytes.Equal(receipt.Answer.Body, a.Answer) || len(a.Starts()) != 1 {
		t.Fatalf("receipt is %+v after %d starts", receipt, len(a.Starts()))
	}
	if got, err := s.send(t, http.MethodDelete, location, ""); err != nil || got.status != http.StatusNoContent {
		t.Fatalf("delete answered %d, %v", got.status, err)
	}
	if got, err := s.send(t, http.MethodGet, location, ""); err != nil || got.status != http.StatusNotFound {
		t.Fatalf("get of a removed receipt answered %d, %v", got.status, err)
	}
}

// Guards against a graceful stop that interrupts a request in flight.
func TestStopLetsRequestsFinish(t *testing.T) {
	a := newAgent("agent-1")
	started := make(chan *entrytest.Start, 1)
	a.OnStart = func(start *entrytest.Start) {
		start.Accept()
		started <- start
	}
	s := startSystem(t, a)
	type result struct {
		got reply
		err error
	}
	answered := make(chan result, 1)
	go func() {
		got, err := s.send(t, http.MethodPost, "/ledger/x", "")
		answered <- result{got, err}
	}()
	start := <-started
	s.stop()
	s.await(t, func() bool { return !s.process.Ready() })
	time.Sleep(4 * s.process.GracePeriod)
	start.Finish([]byte("in time"))
	if r := <-answered; r.err != nil || string(r.got.body) != "in time" {
		t.Fatalf("answer is %q, %v", r.got.body, r.err)
	}
}

// Guards against losing an outcome that is queued for a later write when the
// entry stops.
func TestStopRecordsOutcomes(t *testing.T) {
	s := startSystem(t, newAgent("agent-1"))
	if _, err := s.send(t, http.MethodPost, "/ledger/x", "pay 5", "Idempotency-Key", "k1"); err != nil {
		t.Fatal(err)
	}
	s.stop()
	err := <-s.done
	s.done <- err
	claimStore := &claims.ShardedLog{Objects: s.store, Clock: s.process.Clock}
	present, err := claimStore.CompareAndSwap(context.Background(), nil, claims.Claim{Key: `"ledger"/""/"k1"`, ChangedAt: time.Now()})
	if !errors.Is(err, claims.ErrTaken) || present.Outcome != mulberryspool.OutcomeDone {
		t.Fatalf("claim is %+v, %v", present, err)
	}
}
