package gate

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// model simulates the environment of a Gate: entries, a network that delays,
// reorders and repeats messages, and an engine whose weights may change at any
// time. It checks each effect of the Gate against what happened before.
type model struct {
	gate *Gate
	now  time.Duration
	// network holds the sent messages, which may be delivered at any time and repeatedly.
	network []Event
	// pendingReadBacks are the read-backs that the engine has not answered.
	pendingReadBacks []Event
	engine           mulberryspool.Loaded
	startAgentTimes  map[mulberryspool.RequestID]time.Duration
	// neverRuns maps IDs that were reported as not executed, now or later, to
	// the reported reason.
	neverRuns map[mulberryspool.RequestID]string
	jobs      map[mulberryspool.RequestID]*job
	// acceptedWeights are the weights in the last Serving event before a
	// request was accepted.
	acceptedWeights map[mulberryspool.RequestID]mulberryspool.Loaded
	// received holds the bytes of each answer that each connection has.
	received map[ConnID]map[mulberryspool.RequestID][]byte
	// awaitingEnd is the connection that must still get the end of an answer.
	awaitingEnd   map[mulberryspool.RequestID]ConnID
	servedWeights mulberryspool.Loaded
	nextConn      ConnID
}

// job is a request that runs at the engine. weights are those that the
// engine served at each step of it.
type job struct {
	answer    []byte
	weights   []mulberryspool.Loaded
	ended     bool
	cancelled bool
	complete  bool
}

func newModel(readBack bool) *model {
	engine := mulberryspool.Loaded{Version: "v1", Digest: "d1", Fencing: 1}
	if !readBack {
		engine = mulberryspool.Loaded{}
	}
	return &model{
		gate: New(Settings{
			Incarnation: "run-1", Pool: testPool, ReadBack: readBack, AnswerRetention: testRetention,
			StartFreshness: testFreshness, MaxBufferedBytes: testMaxBuffered, MaxInFlight: testMaxInFlight, MaxRefused: 4,
		}),
		engine:          engine,
		startAgentTimes: make(map[mulberryspool.RequestID]time.Duration),
		neverRuns:       make(map[mulberryspool.RequestID]string),
		jobs:            make(map[mulberryspool.RequestID]*job),
		acceptedWeights: make(map[mulberryspool.RequestID]mulberryspool.Loaded),
		received:        make(map[ConnID]map[mulberryspool.RequestID][]byte),
		awaitingEnd:     make(map[mulberryspool.RequestID]ConnID),
		nextConn:        1,
	}
}

func (m *model) step(t *rapid.T, event Event) {
	switch e := event.(type) {
	case Serving:
		if e.On {
			m.servedWeights = e.Weights
		}
	case ConnClosed:
		for id, conn := range m.awaitingEnd {
			if conn == e.Conn {
				delete(m.awaitingEnd, id)
			}
		}
	}
	for _, effect := range m.gate.Step(m.now, event) {
		m.apply(t, event, effect)
	}
	if m.gate.InFlight() > testMaxInFlight {
		t.Fatalf("%d requests in flight, limit %d", m.gate.InFlight(), testMaxInFlight)
	}
	if m.gate.BufferedBytes() > testMaxBuffered {
		t.Fatalf("%d bytes buffered, limit %d", m.gate.BufferedBytes(), testMaxBuffered)
	}
}

func (m *model) apply(t *rapid.T, event Event, effect Effect) {
	switch e := effect.(type) {
	case ReplyStart:
		start := event.(Start)
		if e.Result.Refusal == mulberryspool.RefusalDuplicate {
			if _, ok := m.acceptedWeights[start.Params.RequestID]; !ok && m.now-start.Params.AgentTime <= testRetention {
				t.Fatalf("%s was refused as a duplicate, but was not accepted", start.Params.RequestID)
			}
		} else if !e.Result.Accepted {
			m.reportNeverRuns(t, start.Params.RequestID, string(e.Result.Refusal))
		} else if _, ok := m.acceptedWeights[start.Params.RequestID]; !ok {
			m.acceptedWeights[start.Params.RequestID] = m.servedWeights
			m.awaitingEnd[start.Params.RequestID] = start.Conn
		}
	case ReplyResolve:
		m.recordResolve(t, event.(Resolve), e.Result.State)
	case ReadBack:
		m.pendingReadBacks = append(m.pendingReadBacks, ReadBackDone{ID: e.ID, Before: e.Before})
	case Submit:
		id := e.Request.RequestID
		if reason, ok := m.neverRuns[id]; ok {
			t.Fatalf("%s was submitted after it was reported as %s", id, reason)
		}
		if m.jobs[id] != nil {
			t.Fatalf("%s was submitted twice", id)
		}
		m.jobs[id] = &job{weights: []mulberryspool.Loaded{m.engine}}
	case CancelBackend:
		if m.jobs[e.ID] == nil {
			t.Fatalf("%s was cancelled before it was submitted", e.ID)
		}
		m.jobs[e.ID].cancelled = true
	case SendChunk:
		m.receive(t, e)
	case SendEnd:
		m.receiveEnd(t, e)
	}
}

// reportNeverRuns records that a request was reported as not executed, and
// checks that it was not submitted.
func (m *model) reportNeverRuns(t *rapid.T, id mulberryspool.RequestID, reason string) {
	if m.jobs[id] != nil {
		t.Fatalf("%s was reported as %s after it was submitted", id, reason)
	}
	m.neverRuns[id] = reason
}

func (m *model) receive(t *rapid.T, e SendChunk) {
	id := e.Notice.RequestID
	job := m.jobs[id]
	end := e.Notice.Offset + int64(len(e.Notice.Data))
	if job == nil || end > int64(len(job.answer)) || !bytes.Equal(e.Notice.Data, job.answer[e.Notice.Offset:end]) {
		t.Fatalf("chunk %q at %d of %s is not part of its answer", e.Notice.Data, e.Notice.Offset, id)
	}
	if e.Notice.Offset == 0 && e.Notice.Status != 200 {
		t.Fatalf("first chunk of %s has status %d", id, e.Notice.Status)
	}
	had := m.receivedBy(e.Conn)[id]
	if e.Notice.Offset > int64(len(had)) {
		t.Fatalf("connection %d gets %s at %d, but has only %d bytes", e.Conn, id, e.Notice.Offset, len(had))
	}
	m.receivedBy(e.Conn)[id] = append(slices.Clone(had[:e.Notice.Offset]), e.Notice.Data...)
}

func (m *model) receivedBy(conn ConnID) map[mulberryspool.RequestID][]byte {
	if m.received[conn] == nil {
		m.received[conn] = make(map[mulberryspool.RequestID][]byte)
	}
	return m.received[conn]
}

// recordResolve records which bytes the connection has that asked, and that it
// must get the end of the answer.
func (m *model) recordResolve(t *rapid.T, e Resolve, state mulberryspool.ResolveState) {
	id := e.Params.RequestID
	if state == mulberryspool.ResolveNeverSeen {
		m.reportNeverRuns(t, id, "neverSeen")
		return
	}
	m.awaitingEnd[id] = e.Conn
	if job := m.jobs[id]; job != nil {
		m.receivedBy(e.Conn)[id] = slices.Clone(job.answer[:e.Params.Offset])
	}
}

func (m *model) receiveEnd(t *rapid.T, e SendEnd) {
	n := e.Notice
	job := m.jobs[n.RequestID]
	if m.awaitingEnd[n.RequestID] == e.Conn {
		delete(m.awaitingEnd, n.RequestID)
	}
	switch n.Outcome {
	case mulberryspool.OutcomeNotRun:
		m.reportNeverRuns(t, n.RequestID, "notRun: "+n.Message)
	case mulberryspool.OutcomeDone:
		if job == nil || !job.complete {
			t.Fatalf("%s is done without a complete answer", n.RequestID)
		}
		if n.Length != int64(len(job.answer)) || n.Checksum != xxhash.Sum64(job.answer) {
			t.Fatalf("end of %s does not match its answer", n.RequestID)
		}
		if got := m.receivedBy(e.Conn)[n.RequestID]; !bytes.Equal(got, job.answer) {
			t.Fatalf("connection %d has %d bytes of %s at its end, want %d", e.Conn, len(got), n.RequestID, len(job.answer))
		}
		if n.Weights != m.acceptedWeights[n.RequestID].Digest {
			t.Fatalf("%s names weights %s, but was accepted for %v", n.RequestID, n.Weights, m.acceptedWeights[n.RequestID])
		}
		for _, weights := range job.weights {
			if weights.Digest != n.Weights {
				t.Fatalf("%s names weights %s, but was generated by %v", n.RequestID, n.Weights, job.weights)
			}
		}
	default:
		if job == nil && n.Outcome == mulberryspool.OutcomeFailed {
			t.Fatalf("%s failed without having been submitted", n.RequestID)
		}
	}
}
