package gate

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// TestMain sets rapid's seed and sizes unless they are given on the command
// line, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if given {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	testPool        = "draft-models"
	testFreshness   = 5 * time.Second
	testRetention   = 8 * time.Second
	testMaxBuffered = 100
	testMaxInFlight = 2
)

func (m *model) drawID(t *rapid.T) mulberryspool.RequestID {
	return mulberryspool.RequestID(fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "id")))
}

// send sends a start, unless the entry has been told that the request never
// runs. All copies of a start carry the agent time of the first.
func (m *model) send(t *rapid.T) {
	id := m.drawID(t)
	if m.neverRuns[id] != "" {
		return
	}
	if _, ok := m.startAgentTimes[id]; !ok {
		m.startAgentTimes[id] = m.now
	}
	m.network = append(m.network, Start{Conn: m.nextConn, Call: 1, Params: mulberryspool.StartParams{
		RequestID: id, Incarnation: "run-1", AgentTime: m.startAgentTimes[id], Pool: testPool,
		Remaining: time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second,
	}})
}

// deliver delivers a message; it may be delivered again later.
func (m *model) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	m.deliverAt(t, rapid.IntRange(0, len(m.network)-1).Draw(t, "message"))
}

func (m *model) deliverAt(t *rapid.T, i int) {
	if i < 0 {
		return
	}
	event := m.network[i]
	if !rapid.Bool().Draw(t, "repeated") {
		m.network = slices.Delete(m.network, i, i+1)
	}
	m.step(t, event)
}

func (m *model) resolve(t *rapid.T) {
	id := m.drawID(t)
	sent, ok := m.startAgentTimes[id]
	if !ok {
		return
	}
	m.nextConn++
	offset := int64(0)
	if job := m.jobs[id]; job != nil {
		offset = rapid.Int64Range(0, int64(len(job.answer))).Draw(t, "offset")
	}
	m.network = append(m.network, Resolve{Conn: m.nextConn, Call: 1, Params: mulberryspool.ResolveParams{
		RequestID: id, Incarnation: "run-1", AgentTime: sent, Offset: offset,
	}})
}

// generate makes the engine produce a part of an answer.
func (m *model) generate(t *rapid.T) {
	id := m.drawID(t)
	job := m.jobs[id]
	if job == nil || job.ended {
		return
	}
	if len(job.answer) == 0 {
		m.step(t, AnswerHead{ID: id, Status: 200})
	}
	data := []byte(fmt.Sprintf("%s/%d;", id, len(job.answer)))
	data = bytes.Repeat(data, rapid.IntRange(1, 12).Draw(t, "size"))
	job.answer = append(job.answer, data...)
	job.weights = append(job.weights, m.engine)
	m.step(t, AnswerChunk{ID: id, Data: data})
}

func (m *model) finishJob(t *rapid.T, id mulberryspool.RequestID, complete bool) {
	job := m.jobs[id]
	if job == nil || job.ended {
		return
	}
	job.ended = true
	job.complete = complete
	job.weights = append(job.weights, m.engine)
	end := AnswerEnd{ID: id}
	if !complete {
		end.Error = "broken off"
	}
	m.step(t, end)
}

// failSubmission makes a submission fail before it reaches the engine.
func (m *model) failSubmission(t *rapid.T) {
	id := m.drawID(t)
	if job := m.jobs[id]; job != nil && !job.ended && len(job.answer) == 0 {
		delete(m.jobs, id)
		m.step(t, AnswerEnd{ID: id, Error: "connection refused", NotSent: true})
	}
}

// readBack completes a pending read-back with the engine's present weights.
func (m *model) readBack(t *rapid.T) {
	if len(m.pendingReadBacks) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pendingReadBacks)-1).Draw(t, "reading")
	answer := m.pendingReadBacks[i].(ReadBackDone)
	m.pendingReadBacks = slices.Delete(m.pendingReadBacks, i, i+1)
	answer.Loaded = m.engine
	if rapid.IntRange(0, 9).Draw(t, "error") == 0 {
		answer.Error = "engine did not answer"
	}
	m.step(t, answer)
}

// changeEngine replaces the engine's weights without the agent's knowledge.
func (m *model) changeEngine(t *rapid.T) {
	if !m.gate.settings.ReadBack {
		return
	}
	n := rapid.IntRange(1, 2).Draw(t, "content")
	m.engine = mulberryspool.Loaded{
		Version: fmt.Sprintf("v%d", n), Digest: mulberryspool.Digest(fmt.Sprintf("d%d", n)), Fencing: m.engine.Fencing + 1,
	}
}

// Checks these invariants while messages are lost, delayed, repeated and
// reordered: no request is submitted twice or after it was reported as notRun or
// neverSeen, no answer from mixed weights counts as done, no answer is truncated
// or sent for another request, and the requests in flight and the buffered bytes
// stay within their limits.
func TestInvariantsUnderMessageFaults(t *testing.T) {
	for _, readBack := range []bool{true, false} {
		t.Run(fmt.Sprintf("readBack=%v", readBack), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkMessageFaults(t, newModel(readBack)) })
		})
	}
}

func checkMessageFaults(t *rapid.T, m *model) {
	m.step(t, Serving{On: true, Weights: m.engine})
	t.Repeat(map[string]func(*rapid.T){
		"send":     m.send,
		"deliver":  m.deliver,
		"deliver2": m.deliver,
		"begin": func(t *rapid.T) {
			m.send(t)
			m.deliverAt(t, len(m.network)-1)
			m.readBack(t)
		},
		"resolve":   m.resolve,
		"generate":  m.generate,
		"readBack":  m.readBack,
		"complete":  func(t *rapid.T) { m.finishJob(t, m.drawID(t), true) },
		"break":     func(t *rapid.T) { m.finishJob(t, m.drawID(t), false) },
		"unreached": m.failSubmission,
		"cancel":    func(t *rapid.T) { m.network = append(m.network, Cancel{ID: m.drawID(t)}) },
		"connLost": func(t *rapid.T) {
			m.step(t, ConnClosed{Conn: ConnID(rapid.IntRange(1, int(m.nextConn)).Draw(t, "conn"))})
		},
		"tick": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			m.step(t, Tick{})
		},
		"engine": func(t *rapid.T) {
			if rapid.IntRange(0, 2).Draw(t, "rarely") == 0 {
				m.changeEngine(t)
			}
		},
		"serving": func(t *rapid.T) {
			on := rapid.IntRange(0, 2).Draw(t, "on") > 0
			m.step(t, Serving{On: on, Weights: m.engine, WeightsChanged: !on && rapid.Bool().Draw(t, "changed")})
		},
	})
	m.finishAllRequests(t)
}

// finishAllRequests completes all requests and delivers all messages.
func (m *model) finishAllRequests(t *rapid.T) {
	m.step(t, Leaving{})
	for range 3 {
		for len(m.pendingReadBacks) > 0 {
			m.readBack(t)
		}
		for i := range 8 {
			m.finishJob(t, mulberryspool.RequestID(fmt.Sprintf("r%d", i)), true)
		}
	}
	if n := m.gate.InFlight(); n != 0 {
		t.Fatalf("%d requests never end", n)
	}
	for len(m.network) > 0 {
		event := m.network[0]
		m.network = m.network[1:]
		m.step(t, event)
	}
	if n := m.gate.InFlight(); n != 0 {
		t.Fatal("a leaving gate accepted a request")
	}
	if len(m.awaitingEnd) > 0 {
		t.Fatalf("connections never got the end of these answers: %v", m.awaitingEnd)
	}
}
