package gate

import (
	"reflect"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

var testWeights = mulberryspool.Loaded{Version: "v1", Digest: "d1", Fencing: 1}

func servingGate() *Gate {
	g := New(Settings{Incarnation: "run-1", Pool: testPool, ReadBack: true, StartFreshness: testFreshness})
	g.Step(0, Serving{On: true, Weights: testWeights})
	return g
}

func startOf(id mulberryspool.RequestID, conn ConnID, agentTime time.Duration) Start {
	return Start{Conn: conn, Params: mulberryspool.StartParams{
		RequestID: id, Incarnation: "run-1", AgentTime: agentTime, Pool: testPool, Remaining: time.Minute,
	}}
}

func resolveOf(id mulberryspool.RequestID, conn ConnID, offset int64) Resolve {
	return Resolve{Conn: conn, Params: mulberryspool.ResolveParams{RequestID: id, Incarnation: "run-1", Offset: offset}}
}

// find returns the effects of one type.
func find[E Effect](effects []Effect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func submitted(t *testing.T, g *Gate, id mulberryspool.RequestID) {
	t.Helper()
	g.Step(0, startOf(id, 1, 0))
	if got := find[Submit](g.Step(0, ReadBackDone{ID: id, Before: true, Loaded: testWeights})); len(got) != 1 {
		t.Fatalf("%d submits, want 1", len(got))
	}
}

// Guards against a start that arrives after its ID was reported as never seen
// and is executed nevertheless.
func TestLateStartAfterNeverSeen(t *testing.T) {
	g := servingGate()
	if got := find[ReplyResolve](g.Step(time.Second, resolveOf("r1", 2, 0))); got[0].Result.State != mulberryspool.ResolveNeverSeen {
		t.Fatalf("resolve answered %+v", got[0].Result)
	}
	for _, at := range []time.Duration{time.Second, testFreshness, testFreshness + 2*time.Second} {
		g.Step(at, Tick{})
		effects := g.Step(at, startOf("r1", 1, 0))
		if got := find[ReplyStart](effects); got[0].Result.Accepted || len(find[ReadBack](effects)) > 0 {
			t.Fatalf("late start at %v was answered %+v", at, got[0].Result)
		}
	}
}

// Guards against an ID that is refused, resolved, and then run by a second
// start that the entry sent between the two with a newer agent time.
func TestResolveRenewsRefusal(t *testing.T) {
	g := New(Settings{Incarnation: "run-1", Pool: testPool, StartFreshness: testFreshness})
	g.Step(0, startOf("r1", 1, 0))
	second := startOf("r1", 1, 3*time.Second)
	g.Step(4*time.Second, resolveOf("r1", 2, 0))
	g.Step(testFreshness+time.Second, Tick{})
	g.Step(testFreshness+time.Second, Serving{On: true})
	if got := find[ReplyStart](g.Step(testFreshness+time.Second, second)); got[0].Result.Accepted {
		t.Fatal("a start from before the resolve was accepted")
	}
}

// Guards against an answer by mixed weights when the engine's content changed
// and changed back during it, which only the fencing number shows.
func TestWeightsChangedAndChangedBack(t *testing.T) {
	g := servingGate()
	submitted(t, g, "r1")
	g.Step(0, Head{ID: "r1", Status: 200})
	g.Step(0, Chunk{ID: "r1", Data: []byte("mixed")})
	g.Step(0, End{ID: "r1"})
	again := testWeights
	again.Fencing += 2
	effects := g.Step(0, ReadBackDone{ID: "r1", Loaded: again})
	if got := find[SendEnd](effects); len(got) != 1 || got[0].Notice.Outcome != mulberryspool.OutcomeUnknown {
		t.Fatalf("answer ended as %+v, want unknown", got)
	}
	if len(find[Mismatch](effects)) != 1 {
		t.Fatal("the rollout is not told of the change")
	}
	if got := find[SendChunk](g.Step(0, resolveOf("r1", 2, 0))); len(got) != 0 {
		t.Fatalf("the withheld answer is sent on a resolve: %+v", got)
	}
}

// Guards against an answer that is lost with its first connection, or whose
// rest is sent from a wrong offset on the second one.
func TestAnswerRetainedForSecondConnection(t *testing.T) {
	g := servingGate()
	submitted(t, g, "r1")
	g.Step(0, Head{ID: "r1", Status: 200, ContentType: "text/plain"})
	g.Step(0, Chunk{ID: "r1", Data: []byte("first,")})
	g.Step(0, ConnLost{Conn: 1})
	if effects := g.Step(0, Chunk{ID: "r1", Data: []byte("second")}); len(effects) != 0 {
		t.Fatalf("effects without a connection: %+v", effects)
	}
	g.Step(0, End{ID: "r1"})
	g.Step(0, ReadBackDone{ID: "r1", Loaded: testWeights})
	g.Step(DefaultAnswerRetention, Tick{})
	effects := g.Step(DefaultAnswerRetention, resolveOf("r1", 2, 3))
	if got := find[ReplyResolve](effects)[0].Result.State; got != mulberryspool.ResolveDone {
		t.Fatalf("resolve answered %s", got)
	}
	want := mulberryspool.ChunkNotice{RequestID: "r1", Offset: 3, Data: []byte("st,second")}
	if got := find[SendChunk](effects); len(got) != 1 || got[0].Conn != 2 || !reflect.DeepEqual(got[0].Notice, want) {
		t.Fatalf("rest of the answer is %+v", got)
	}
	if got := find[SendEnd](effects); len(got) != 1 || got[0].Notice.Outcome != mulberryspool.OutcomeDone || got[0].Notice.Length != 12 {
		t.Fatalf("end of the answer is %+v", got)
	}
	g.Step(2*DefaultAnswerRetention, Tick{})
	effects = g.Step(2*DefaultAnswerRetention, resolveOf("r1", 3, 0))
	if got := find[SendEnd](effects); len(got) != 1 || got[0].Notice.Outcome != mulberryspool.OutcomeUnknown {
		t.Fatalf("a forgotten request is reported as %+v, want unknown", effects)
	}
}

// Guards against a first caller that gets nothing more once a repeated key
// reads the same answer.
func TestTwoReadersGetTheWholeAnswer(t *testing.T) {
	g := servingGate()
	submitted(t, g, "r1")
	g.Step(0, Chunk{ID: "r1", Data: []byte("first,")})
	g.Step(0, resolveOf("r1", 2, 0))
	g.Step(0, resolveOf("r1", 2, 0))
	byConn := make(map[ConnID]string)
	effects := g.Step(0, Chunk{ID: "r1", Data: []byte("second")})
	for _, e := range find[SendChunk](effects) {
		byConn[e.Conn] += string(e.Notice.Data)
	}
	if byConn[1] != "second" || byConn[2] != "second" {
		t.Fatalf("readers got %v, want the second part once each", byConn)
	}
	g.Step(0, End{ID: "r1"})
	if got := find[SendEnd](g.Step(0, ReadBackDone{ID: "r1", Loaded: testWeights})); len(got) != 2 {
		t.Fatalf("%d readers got the end, want 2", len(got))
	}
}

// Guards against a request that runs although its caller was told that it
// does not, and against a deadline that the backend server never hears of.
func TestCancelAndDeadline(t *testing.T) {
	g := servingGate()
	g.Step(0, startOf("r1", 1, 0))
	if got := find[SendEnd](g.Step(0, Cancel{ID: "r1"})); len(got) != 1 || got[0].Notice.Outcome != mulberryspool.OutcomeNotRun {
		t.Fatalf("cancel before submission ended as %+v", got)
	}
	if got := g.Step(0, ReadBackDone{ID: "r1", Before: true, Loaded: testWeights}); len(got) != 0 {
		t.Fatalf("the cancelled request goes on: %+v", got)
	}
	submitted(t, g, "r2")
	g.Step(time.Minute-1, Tick{})
	if got := find[CancelBackend](g.Step(time.Minute, Tick{})); len(got) != 1 || got[0].ID != "r2" {
		t.Fatalf("deadline passed, cancels are %+v", got)
	}
	if got := find[SendEnd](g.Step(time.Minute, End{ID: "r2", Error: "cancelled"})); got[0].Notice.Outcome != mulberryspool.OutcomeUnknown {
		t.Fatalf("request cancelled while it ran ended as %+v", got)
	}
	submitted(t, g, "r3")
	if got := find[SendEnd](g.Step(0, End{ID: "r3", Error: "no answer", Uncertain: true})); got[0].Notice.Outcome != mulberryspool.OutcomeUnknown {
		t.Fatalf("request that may have run ended as %+v", got)
	}
}
