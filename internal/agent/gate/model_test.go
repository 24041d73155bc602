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

// TestMain fixes the seed, so that every run checks the same cases.
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
	testPool      = "draft-models"
	testFreshness = 5 * time.Second
	testRetention = 8 * time.Second
	testBuffer    = 100
	testLimit     = 2
)

func (m *model) drawID(t *rapid.T) mulberryspool.RequestID {
	return mulberryspool.RequestID(fmt.Sprintf("r%d", rapid.IntRange(0, 7).Draw(t, "id")))
}

// send puts a start on the network, as an entry does that has not been told
// that the request never runs. All copies carry the agent time of the first.
func (m *model) send(t *rapid.T) {
	id := m.drawID(t)
	if m.neverRuns[id] != "" {
		return
	}
	if _, ok := m.starts[id]; !ok {
		m.starts[id] = m.now
	}
	m.network = append(m.network, Start{Conn: m.nextConn, Call: 1, Params: mulberryspool.StartParams{
		RequestID: id, Incarnation: "run-1", AgentTime: m.starts[id], Pool: testPool,
		Remaining: time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second,
	}})
}

// deliver lets a message arrive; it may arrive again later.
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
	sent, ok := m.starts[id]
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

// generate lets the engine make a part of an answer.
func (m *model) generate(t *rapid.T) {
	id := m.drawID(t)
	job := m.jobs[id]
	if job == nil || job.ended {
		return
	}
	if len(job.answer) == 0 {
		m.step(t, Head{ID: id, Status: 200})
	}
	data := []byte(fmt.Sprintf("%s/%d;", id, len(job.answer)))
	data = bytes.Repeat(data, rapid.IntRange(1, 12).Draw(t, "size"))
	job.answer = append(job.answer, data...)
	job.contents = append(job.contents, m.engine)
	m.step(t, Chunk{ID: id, Data: data})
}

func (m *model) finishJob(t *rapid.T, id mulberryspool.RequestID, complete bool) {
	job := m.jobs[id]
	if job == nil || job.ended {
		return
	}
	job.ended = true
	job.complete = complete
	job.contents = append(job.contents, m.engine)
	end := End{ID: id}
	if !complete {
		end.Error = "broken off"
	}
	m.step(t, end)
}

// unreached lets a submission fail before it gets to the engine.
func (m *model) unreached(t *rapid.T) {
	id := m.drawID(t)
	if job := m.jobs[id]; job != nil && !job.ended && len(job.answer) == 0 {
		delete(m.jobs, id)
		m.step(t, End{ID: id, Error: "connection refused", NotSent: true})
	}
}

// readBack answers a reading with the content of this moment.
func (m *model) readBack(t *rapid.T) {
	if len(m.answers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.answers)-1).Draw(t, "reading")
	answer := m.answers[i].(ReadBackDone)
	m.answers = slices.Delete(m.answers, i, i+1)
	answer.Loaded = m.engine
	if rapid.IntRange(0, 9).Draw(t, "error") == 0 {
		answer.Error = "engine did not answer"
	}
	m.step(t, answer)
}

// changeEngine swaps the engine's content underneath the gate.
func (m *model) changeEngine(t *rapid.T) {
	if !m.gate.settings.ReadBack {
		return
	}
	n := rapid.IntRange(1, 2).Draw(t, "content")
	m.engine = mulberryspool.Loaded{
		Version: fmt.Sprintf("v%d", n), Digest: mulberryspool.Digest(fmt.Sprintf("d%d", n)), Fencing: m.engine.Fencing + 1,
	}
}

// Guards against a second execution, a notRun or neverSeen for a request that
// runs, an answer by mixed weights, a truncated or crossed answer, and
// unbounded memory, under lost, late, repeated and reordered messages.
func TestGateUnderDisorder(t *testing.T) {
	for _, readBack := range []bool{true, false} {
		t.Run(fmt.Sprintf("readBack=%v", readBack), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkDisorder(t, newModel(readBack)) })
		})
	}
}

func checkDisorder(t *rapid.T, m *model) {
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
		"unreached": m.unreached,
		"cancel":    func(t *rapid.T) { m.network = append(m.network, Cancel{ID: m.drawID(t)}) },
		"connLost": func(t *rapid.T) {
			m.step(t, ConnLost{Conn: ConnID(rapid.IntRange(1, int(m.nextConn)).Draw(t, "conn"))})
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
			m.step(t, Serving{On: on, Weights: m.engine, Changed: !on && rapid.Bool().Draw(t, "changed")})
		},
	})
	m.finishAll(t)
}

// finishAll lets everything end that is under way.
func (m *model) finishAll(t *rapid.T) {
	m.step(t, Leaving{})
	for range 3 {
		for len(m.answers) > 0 {
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
	if len(m.waiting) > 0 {
		t.Fatalf("connections never got the end of these answers: %v", m.waiting)
	}
}
