package gate

import (
	"reflect"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

var testWeights = mulberryspool.Loaded{Version: "v1", Digest: "d1", Fencing: 1}

func newServingGate() *Gate {
	g := New(Settings{Incarnation: "run-1", Pool: testPool, ReadBack: true, StartFreshness: testFreshness})
	g.Step(0, Serving{On: true, Weights: testWeights})
	return g
}

func newStart(id mulberryspool.RequestID, conn ConnID, agentTime time.Duration) Start {
	return Start{Conn: conn, Params: mulberryspool.StartParams{
		RequestID: id, Incarnation: "run-1", AgentTime: agentTime, Pool: testPool, Remaining: time.Minute,
	}}
}

func newResolve(id mulberryspool.RequestID, conn ConnID, offset int64) Resolve {
	return Resolve{Conn: conn, Params: mulberryspool.ResolveParams{RequestID: id, Incarnation: "run-1", Offset: offset}}
}

// effectsOf returns the effects of type E.
func effectsOf[E Effect](effects []Effect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// startAndSubmit brings a request to the point where it runs at the engine.
func startAndSubmit(t *testing.T, g *Gate, id mulberryspool.RequestID) {
	t.Helper()
	g.Step(0, newStart(id, 1, 0))
	if got := effectsOf[Submit](g.Step(0, ReadBackDone{ID: id, Before: true, Loaded: testWeights})); len(got) != 1 {
		t.Fatalf("%d submits, want 1", len(got))
	}
}

// A start may be delayed in the network until after a resolve reported its ID
// as never seen. It must not be executed then, as the entry may have retried
// the request elsewhere.
func TestLateStartAfterNeverSeen(t *testing.T) {
	g := newServingGate()
	if got := effectsOf[ReplyResolve](g.Step(time.Second, newResolve("r1", 2, 0))); got[0].Result.State != mulberryspool.ResolveNeverSeen {
		t.Fatalf("resolve answered %+v", got[0].Result)
	}
	for _, at := range []time.Duration{time.Second, testFreshness, testFreshness + 2*time.Second} {
		g.Step(at, Tick{})
		effects := g.Step(at, newStart("r1", 1, 0))
		if got := effectsOf[ReplyStart](effects); got[0].Result.Accepted || len(effectsOf[ReadBack](effects)) > 0 {
			t.Fatalf("delayed start at %v was answered %+v", at, got[0].Result)
		}
	}
}

// An ID is refused and later resolved. A second start that the entry sent in
// between carries a newer agent time than the refusal; it must not be executed
// once the refusal alone would have expired.
func TestResolveRenewsRefusal(t *testing.T) {
	g := New(Settings{Incarnation: "run-1", Pool: testPool, StartFreshness: testFreshness})
	g.Step(0, newStart("r1", 1, 0))
	second := newStart("r1", 1, 3*time.Second)
	g.Step(4*time.Second, newResolve("r1", 2, 0))
	g.Step(testFreshness+time.Second, Tick{})
	g.Step(testFreshness+time.Second, Serving{On: true})
	if got := effectsOf[ReplyStart](g.Step(testFreshness+time.Second, second)); got[0].Result.Accepted {
		t.Fatal("a start from before the resolve was accepted")
	}
}

// The engine's weights are replaced and restored during an answer, so that only
// the fencing number shows the change. The answer may be mixed and must not end
// as done.
func TestWeightsChangedAndChangedBack(t *testing.T) {
	g := newServingGate()
	startAndSubmit(t, g, "r1")
	g.Step(0, AnswerHead{ID: "r1", Status: 200})
	g.Step(0, AnswerChunk{ID: "r1", Data: []byte("mixed")})
	g.Step(0, AnswerEnd{ID: "r1"})
	again := testWeights
	again.Fencing += 2
	effects := g.Step(0, ReadBackDone{ID: "r1", Loaded: again})
	if got := effectsOf[SendEnd](effects); len(got) != 1 || got[0].Notice.Outcome != mulberryspool.OutcomeUnknown {
		t.Fatalf("answer ended as %+v, want unknown", got)
	}
	if len(effectsOf[WeightsMismatch](effects)) != 1 {
		t.Fatal("no WeightsMismatch effect for the changed weights")
	}
	if got := effectsOf[SendChunk](g.Step(0, newResolve("r1", 2, 0))); len(got) != 0 {
		t.Fatalf("an answer with outcome unknown is sent on a resolve: %+v", got)
	}
}

// A connection is lost in the middle of an answer. The answer must be kept and
// its rest be sent on a second connection from the offset that it asks for.
func TestAnswerRetainedForSecondConnection(t *testing.T) {
	g := newServingGate()
	startAndSubmit(t, g, "r1")
	g.Step(0, AnswerHead{ID: "r1", Status: 200, ContentType: "text/plain"})
	g.Step(0, AnswerChunk{ID: "r1", Data: []byte("first,")})
	g.Step(0, ConnClosed{Conn: 1})
	if effects := g.Step(0, AnswerChunk{ID: "r1", Data: []byte("second")}); len(effects) != 0 {
		t.Fatalf("effects without a connection: %+v", effects)
	}
	g.Step(0, AnswerEnd{ID: "r1"})
	g.Step(0, ReadBackDone{ID: "r1", Loaded: testWeights})
	g.Step(DefaultAnswerRetention, Tick{})
	effects := g.Step(DefaultAnswerRetention, newResolve("r1", 2, 3))
	if got := effectsOf[ReplyResolve](effects)[0].Result.State; got != mulberryspool.ResolveDone {
		t.Fatalf("resolve answered %s", got)
	}
	want := mulberryspool.ChunkNotice{RequestID: "r1", Offset: 3, Data: []byte("st,second")}
	if got := effectsOf[SendChunk](effects); len(got) != 1 || got[0].Conn != 2 || !reflect.DeepEqual(got[0].Notice, want) {
		t.Fatalf("rest of the answer is %+v", got)
	}
	if got := effectsOf[SendEnd](effects); len(got) != 1 || got[0].Notice.Outcome != mulberryspool.OutcomeDone || got[0].Notice.Length != 12 {
		t.Fatalf("end of the answer is %+v", got)
	}
	g.Step(2*DefaultAnswerRetention, Tick{})
	effects = g.Step(2*DefaultAnswerRetention, newResolve("r1", 3, 0))
	if got := effectsOf[SendEnd](effects); len(got) != 1 || got[0].Notice.Outcome != mulberryspool.OutcomeUnknown {
		t.Fatalf("a request past its retention is reported as %+v, want unknown", effects)
	}
}

// A repeated idempotency key subscribes a second connection to an answer. The
// first connection must still receive the rest of it.
func TestTwoSubscribersGetTheWholeAnswer(t *testing.T) {
	g := newServingGate()
	startAndSubmit(t, g, "r1")
	g.Step(0, AnswerChunk{ID: "r1", Data: []byte("first,")})
	g.Step(0, newResolve("r1", 2, 0))
	g.Step(0, newResolve("r1", 2, 0))
	byConn := make(map[ConnID]string)
	effects := g.Step(0, AnswerChunk{ID: "r1", Data: []byte("second")})
	for _, e := range effectsOf[SendChunk](effects) {
		byConn[e.Conn] += string(e.Notice.Data)
	}
	if byConn[1] != "second" || byConn[2] != "second" {
		t.Fatalf("subscribers got %v, want the second part once each", byConn)
	}
	g.Step(0, AnswerEnd{ID: "r1"})
	if got := effectsOf[SendEnd](g.Step(0, ReadBackDone{ID: "r1", Loaded: testWeights})); len(got) != 2 {
		t.Fatalf("%d subscribers got the end, want 2", len(got))
	}
}

// A request that is cancelled before its submission ends as notRun and must not
// be submitted later. A deadline that passes during execution must cancel the
// request at the backend server.
func TestCancelAndDeadline(t *testing.T) {
	g := newServingGate()
	g.Step(0, newStart("r1", 1, 0))
	if got := effectsOf[SendEnd](g.Step(0, Cancel{ID: "r1"})); len(got) != 1 || got[0].Notice.Outcome != mulberryspool.OutcomeNotRun {
		t.Fatalf("cancel before submission ended as %+v", got)
	}
	if got := g.Step(0, ReadBackDone{ID: "r1", Before: true, Loaded: testWeights}); len(got) != 0 {
		t.Fatalf("the cancelled request continues: %+v", got)
	}
	startAndSubmit(t, g, "r2")
	g.Step(time.Minute-1, Tick{})
	if got := effectsOf[CancelBackend](g.Step(time.Minute, Tick{})); len(got) != 1 || got[0].ID != "r2" {
		t.Fatalf("deadline passed, cancels are %+v", got)
	}
	if got := effectsOf[SendEnd](g.Step(time.Minute, AnswerEnd{ID: "r2", Error: "cancelled"})); got[0].Notice.Outcome != mulberryspool.OutcomeUnknown {
		t.Fatalf("request cancelled while it ran ended as %+v", got)
	}
	startAndSubmit(t, g, "r3")
	if got := effectsOf[SendEnd](g.Step(0, AnswerEnd{ID: "r3", Error: "no answer", Uncertain: true})); got[0].Notice.Outcome != mulberryspool.OutcomeUnknown {
		t.Fatalf("request that may have run ended as %+v", got)
	}
}

// Guards against an answer without end that pushes the retained answers of other
// requests out of the buffer.
func TestEndlessAnswerDoesNotEvictRetainedAnswers(t *testing.T) {
	const limit = 1000
	g := New(Settings{Incarnation: "run-1", Pool: testPool, MaxBufferedBytes: limit})
	g.Step(0, Serving{On: true})
	for _, id := range []mulberryspool.RequestID{"r1", "r2"} {
		g.Step(0, newStart(id, 1, 0))
		g.Step(0, AnswerHead{ID: id, Status: 200})
	}
	g.Step(0, AnswerChunk{ID: "r1", Data: make([]byte, 100)})
	g.Step(0, AnswerEnd{ID: "r1"})
	for range 100 {
		g.Step(0, AnswerChunk{ID: "r2", Data: make([]byte, 100)})
		if g.BufferedBytes() > limit {
			t.Fatalf("%d bytes are buffered, want at most %d", g.BufferedBytes(), limit)
		}
	}
	effects := g.Step(0, newResolve("r1", 2, 0))
	chunks, ends := effectsOf[SendChunk](effects), effectsOf[SendEnd](effects)
	if len(chunks) != 1 || len(chunks[0].Notice.Data) != 100 || len(ends) != 1 || ends[0].Notice.Outcome != mulberryspool.OutcomeDone {
		t.Errorf("retained answer is sent as %+v %+v, want 100 bytes and its end", chunks, ends)
	}
}
