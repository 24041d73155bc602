package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

var start = time.Unix(100, 0)

func ready(id mulberryspool.InstanceID, at time.Time, running int) mulberryspool.Candidate {
	return mulberryspool.Candidate{
		Instance: id, Ready: true, ReportedAt: at,
		Load: mulberryspool.LoadReport{Running: running, Capacity: 8},
	}
}

// Guards against requests that are still routed to an agent that fails them, and
// against an agent that gets no requests after it has recovered.
func TestFailingAgentIsEjectedAndProbed(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)))
	p.Update(ready("good", start, 0))
	p.Update(ready("bad", start, 0))
	for range failuresToEject {
		p.RecordStart("bad", 1, start)
		p.RecordEnd("bad", mulberryspool.RoutingResult{Outcome: mulberryspool.OutcomeFailed, Now: start})
	}
	for i := range uint64(200) {
		if id, ok := p.Choose(mulberryspool.RoutingRequest{Prefix: i, Now: start}); !ok || id != "good" {
			t.Fatalf("Choose returned %q, %v, want the agent that does not fail", id, ok)
		}
	}
	later := start.Add(minEjection)
	p.RecordStart("bad", 1, later)
	if id, _ := p.Choose(mulberryspool.RoutingRequest{Now: later, Exclude: []mulberryspool.InstanceID{"good"}}); id != "" {
		t.Fatalf("Choose returned %q while the probe is in flight, want none", id)
	}
	p.RecordEnd("bad", mulberryspool.RoutingResult{Outcome: mulberryspool.OutcomeDone, Now: later})
	if id, _ := p.Choose(mulberryspool.RoutingRequest{Now: later, Exclude: []mulberryspool.InstanceID{"good"}}); id != "bad" {
		t.Fatalf("Choose returned %q after the probe succeeded, want the recovered agent", id)
	}
}

// Guards against the ejection of so many agents that the others are overloaded.
func TestAtMostHalfOfThePoolIsEjected(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)))
	const agents = 10
	for i := range agents {
		p.Update(ready(mulberryspool.InstanceID(fmt.Sprint(i)), start, 0))
	}
	for i := range agents {
		for range failuresToEject {
			p.RecordEnd(mulberryspool.InstanceID(fmt.Sprint(i)), mulberryspool.RoutingResult{Outcome: mulberryspool.OutcomeFailed, Now: start})
		}
	}
	ejected := 0
	for _, a := range p.agents {
		if start.Before(a.ejectedUntil) {
			ejected++
		}
	}
	if ejected != agents/2 {
		t.Fatalf("%d of %d agents are ejected, want half", ejected, agents)
	}
}

// Guards against old reports that still influence the choice of an agent.
func TestOldReportsLeaveOnlyLocalCount(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)))
	p.Update(ready("busy", start, 6))
	p.Update(ready("idle", start, 0))
	p.RecordStart("idle", 1, start)
	busy, idle := p.byID["busy"], p.byID["idle"]
	if p.load(busy, start) != 6 || p.load(idle, start) != 1 {
		t.Errorf("loads with fresh reports are %v and %v, want 6 and 1", p.load(busy, start), p.load(idle, start))
	}
	later := start.Add(reportHorizon)
	if difference := p.load(idle, later) - p.load(busy, later); difference != 1 {
		t.Errorf("loads with old reports differ by %v, want 1, the number of local requests", difference)
	}
}

// Guards against lost cache hits after a change of the agents: the removal of an
// agent may move only the prefixes that preferred it.
func TestRemovalMovesOnlyTheRemovedAgentsPrefixes(t *testing.T) {
	p := newPool(20, 1)
	before := p.table
	removed := p.agents[5]
	p.Remove(removed.id)
	p.rebuild()
	for bucket := range before {
		if before[bucket][0] != removed && p.table[bucket][0] != before[bucket][0] {
			t.Fatalf("bucket %d moved from %s to %s", bucket, before[bucket][0].id, p.table[bucket][0].id)
		}
	}
}

// Guards against the choice of an agent that is not ready, excluded or removed,
// and against in-flight counts that differ from the actual requests.
func TestChosenAgentsAreUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		known := make(map[mulberryspool.InstanceID]bool)
		running := make(map[mulberryspool.InstanceID]int)
		now := start
		id := rapid.Custom(func(t *rapid.T) mulberryspool.InstanceID {
			return mulberryspool.InstanceID(fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "agent")))
		})
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				c := ready(id.Draw(t, "id"), now, rapid.IntRange(0, 20).Draw(t, "running"))
				c.Ready = rapid.Bool().Draw(t, "ready")
				p.Update(c)
				known[c.Instance] = c.Ready
			},
			"remove": func(t *rapid.T) {
				i := id.Draw(t, "id")
				p.Remove(i)
				delete(known, i)
				delete(running, i)
			},
			"choose": func(t *rapid.T) {
				request := mulberryspool.RoutingRequest{Prefix: rapid.Uint64().Draw(t, "prefix"), Now: now, Exclude: []mulberryspool.InstanceID{id.Draw(t, "excluded")}}
				chosen, ok := p.Choose(request)
				if ok && (!known[chosen] || chosen == request.Exclude[0]) {
					t.Fatalf("chose %q, which is not ready or is excluded", chosen)
				}
				if ok {
					p.RecordStart(chosen, 1, now)
					running[chosen]++
				}
			},
			"end": func(t *rapid.T) {
				i := id.Draw(t, "id")
				if running[i] == 0 {
					return
				}
				running[i]--
				outcome := rapid.SampledFrom([]mulberryspool.Outcome{mulberryspool.OutcomeDone, mulberryspool.OutcomeFailed, mulberryspool.OutcomeNotRun}).Draw(t, "outcome")
				p.RecordEnd(i, mulberryspool.RoutingResult{Outcome: outcome, FirstByte: time.Millisecond, Now: now})
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				sum := 0
				for i, count := range running {
					sum += count
					if a := p.byID[i]; a != nil && a.inFlight != count {
						t.Fatalf("agent %s has %d in flight, want %d", i, a.inFlight, count)
					}
				}
				if int(p.inFlight) != sum {
					t.Fatalf("the pool has %v in flight, want %d", p.inFlight, sum)
				}
			},
		})
	})
}
