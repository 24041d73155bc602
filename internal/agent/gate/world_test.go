package gate

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// model is the world around a gate: entries, a network that delays, reorders
// and repeats messages, and an engine whose content may change at any moment.
type model struct {
	gate *Gate
	now  time.Duration
	// network holds messages that were sent and may arrive at any time, repeatedly.
	network []Event
	// answers are replies of the engine that have not arrived.
	answers []Event
	engine  mulberryspool.Loaded
	starts  map[mulberryspool.RequestID]time.Duration
	// neverRuns holds IDs that the gate said are not executed, now or later.
	neverRuns map[mulberryspool.RequestID]string
	jobs      map[mulberryspool.RequestID]*job
	// gated is what the gate was opened for when it accepted a request.
	gated map[mulberryspool.RequestID]mulberryspool.Loaded
	// received holds each connection's bytes of each answer.
	received map[ConnID]map[mulberryspool.RequestID][]byte
	// waiting is the connection that is owed the end of an answer.
	waiting  map[mulberryspool.RequestID]ConnID
	open     mulberryspool.Loaded
	nextConn ConnID
}

// job is a request at the engine.
type job struct {
	answer    []byte
	contents  []mulberryspool.Loaded
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
			StartFreshness: testFreshness, BufferBytes: testBuffer, MaxConcurrent: testLimit, MaxRefused: 4,
		}),
		engine:    engine,
		starts:    make(map[mulberryspool.RequestID]time.Duration),
		neverRuns: make(map[mulberryspool.RequestID]string),
		jobs:      make(map[mulberryspool.RequestID]*job),
		gated:     make(map[mulberryspool.RequestID]mulberryspool.Loaded),
		received:  make(map[ConnID]map[mulberryspool.RequestID][]byte),
		waiting:   make(map[mulberryspool.RequestID]ConnID),
		nextConn:  1,
	}
}

func (m *model) step(t *rapid.T, event Event) {
	switch e := event.(type) {
	case Serving:
		if e.On {
			m.open = e.Weights
		}
	case ConnLost:
		for id, conn := range m.waiting {
			if conn == e.Conn {
				delete(m.waiting, id)
			}
		}
	}
	for _, effect := range m.gate.Step(m.now, event) {
		m.apply(t, event, effect)
	}
	if m.gate.InFlight() > testLimit {
		t.Fatalf("%d requests in flight, limit %d", m.gate.InFlight(), testLimit)
	}
	if m.gate.Buffered() > testBuffer {
		t.Fatalf("%d bytes buffered, limit %d", m.gate.Buffered(), testBuffer)
	}
}

func (m *model) apply(t *rapid.T, event Event, effect Effect) {
	switch e := effect.(type) {
	case ReplyStart:
		start := event.(Start)
		if e.Result.Refusal == mulberryspool.RefusalDuplicate {
			if _, ok := m.gated[start.Params.RequestID]; !ok && m.now-start.Params.AgentTime <= testRetention {
				t.Fatalf("%s was refused as a duplicate, but was not accepted", start.Params.RequestID)
			}
		} else if !e.Result.Accepted {
			m.claim(t, start.Params.RequestID, string(e.Result.Refusal))
		} else if _, ok := m.gated[start.Params.RequestID]; !ok {
			m.gated[start.Params.RequestID] = m.open
			m.waiting[start.Params.RequestID] = start.Conn
		}
	case ReplyResolve:
		m.resolved(t, event.(Resolve), e.Result.State)
	case ReadBack:
		m.answers = append(m.answers, ReadBackDone{ID: e.ID, Before: e.Before})
	case Submit:
		id := e.Request.RequestID
		if reason, ok := m.neverRuns[id]; ok {
			t.Fatalf("%s was submitted after it was reported as %s", id, reason)
		}
		if m.jobs[id] != nil {
			t.Fatalf("%s was submitted twice", id)
		}
		m.jobs[id] = &job{contents: []mulberryspool.Loaded{m.engine}}
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

// claim checks that a request which is reported as not executed was not.
func (m *model) claim(t *rapid.T, id mulberryspool.RequestID, reason string) {
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
	had := m.bytes(e.Conn)[id]
	if e.Notice.Offset > int64(len(had)) {
		t.Fatalf("connection %d gets %s at %d, but has only %d bytes", e.Conn, id, e.Notice.Offset, len(had))
	}
	m.bytes(e.Conn)[id] = append(slices.Clone(had[:e.Notice.Offset]), e.Notice.Data...)
}

func (m *model) bytes(conn ConnID) map[mulberryspool.RequestID][]byte {
	if m.received[conn] == nil {
		m.received[conn] = make(map[mulberryspool.RequestID][]byte)
	}
	return m.received[conn]
}

// resolved notes what the asking connection has and is owed.
func (m *model) resolved(t *rapid.T, e Resolve, state mulberryspool.ResolveState) {
	id := e.Params.RequestID
	if state == mulberryspool.ResolveNeverSeen {
		m.claim(t, id, "neverSeen")
		return
	}
	m.waiting[id] = e.Conn
	if job := m.jobs[id]; job != nil {
		m.bytes(e.Conn)[id] = slices.Clone(job.answer[:e.Params.Offset])
	}
}

func (m *model) receiveEnd(t *rapid.T, e SendEnd) {
	n := e.Notice
	job := m.jobs[n.RequestID]
	if m.waiting[n.RequestID] == e.Conn {
		delete(m.waiting, n.RequestID)
	}
	switch n.Outcome {
	case mulberryspool.OutcomeNotRun:
		m.claim(t, n.RequestID, "notRun: "+n.Message)
	case mulberryspool.OutcomeDone:
		if job == nil || !job.complete {
			t.Fatalf("%s is done without a complete answer", n.RequestID)
		}
		if n.Length != int64(len(job.answer)) || n.Checksum != xxhash.Sum64(job.answer) {
			t.Fatalf("end of %s does not match its answer", n.RequestID)
		}
		if got := m.bytes(e.Conn)[n.RequestID]; !bytes.Equal(got, job.answer) {
			t.Fatalf("connection %d has %d bytes of %s at its end, want %d", e.Conn, len(got), n.RequestID, len(job.answer))
		}
		if n.Weights != m.gated[n.RequestID].Digest {
			t.Fatalf("%s names weights %s, but was accepted for %v", n.RequestID, n.Weights, m.gated[n.RequestID])
		}
		for _, content := range job.contents {
			if content.Digest != n.Weights {
				t.Fatalf("%s names weights %s, but was generated by %v", n.RequestID, n.Weights, job.contents)
			}
		}
	default:
		if job == nil && n.Outcome == mulberryspool.OutcomeFailed {
			t.Fatalf("%s failed without having been submitted", n.RequestID)
		}
	}
}
