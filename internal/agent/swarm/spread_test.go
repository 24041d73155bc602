package swarm

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
)

const (
	spreadTick = 100 * time.Millisecond
	// spreadTicks bounds a run. Every wait of the planner is far shorter, so a
	// run that has not ended then is stuck.
	spreadTicks = 20000
)

type (
	// spread runs some planners against each other with faulty messages.
	spread struct {
		t        *rapid.T
		manifest mulberryspool.Manifest
		agents   map[mulberryspool.InstanceID]*spreadAgent
		order    []mulberryspool.InstanceID
		now      time.Time
		// loss, late and wrong are percentages.
		loss, late, wrong int
		originDown        bool
		// parted regions do not reach each other.
		parted bool
		// random is seeded by rapid; single draws for each message would be slow.
		random       *rand.Rand
		originServed map[mulberryspool.Digest]int
	}

	spreadAgent struct {
		*Planner
		alive bool
		// verified are the chunks that the agent has really got.
		verified bitset.Set
		running  map[mulberryspool.Digest]int
		inbox    []delayed
		done     bool
	}

	delayed struct {
		at    time.Time
		event Event
	}
)

// TestMain gives rapid a fixed seed, so that every run is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newSpread(t *rapid.T, agents, chunks int) *spread {
	s := &spread{
		t: t, manifest: testManifest("v1", numbered("c", chunks)...), now: time.Unix(1000, 0),
		agents: map[mulberryspool.InstanceID]*spreadAgent{}, originServed: map[mulberryspool.Digest]int{},
	}
	var members []Member
	for i := range agents {
		members = append(members, member(fmt.Sprintf("agent%d", i), fmt.Sprintf("region%d", i%3)))
	}
	seed := rapid.Uint64().Draw(t, "seed")
	s.random = rand.New(rand.NewPCG(seed, 0))
	for _, m := range members {
		s.order = append(s.order, m.Instance)
		s.agents[m.Instance] = &spreadAgent{Planner: &Planner{Self: m, Seed: seed}, alive: true}
		s.step(m.Instance, Members{Live: members})
	}
	return s
}

func (s *spread) startAll() {
	for _, id := range s.order {
		a := s.agents[id]
		a.verified, a.running = bitset.New(len(s.manifest.Chunks)), map[mulberryspool.Digest]int{}
		s.step(id, Start{Manifest: s.manifest, Held: a.verified})
	}
}

func (s *spread) chance(percent int) bool {
	return s.random.IntN(100) < percent
}

func (s *spread) apart(a, b mulberryspool.InstanceID) bool {
	return s.parted && s.agents[a].Self.Region != s.agents[b].Self.Region
}

// deliver puts an event into an inbox: lost, late, twice or as it is.
func (s *spread) deliver(to mulberryspool.InstanceID, event Event, mayBeLost bool) {
	if mayBeLost && s.chance(s.loss) {
		return
	}
	delay := spreadTick
	if s.chance(s.late) {
		delay += time.Duration(1+s.random.IntN(60)) * spreadTick
	}
	a := s.agents[to]
	a.inbox = append(a.inbox, delayed{at: s.now.Add(delay), event: event})
	if s.chance(s.late) {
		a.inbox = append(a.inbox, delayed{at: s.now.Add(2 * delay), event: event})
	}
}

func (s *spread) step(id mulberryspool.InstanceID, events ...Event) {
	a := s.agents[id]
	for _, effect := range a.Step(s.now, events...) {
		switch e := effect.(type) {
		case Fetch:
			s.fetch(id, e)
		case Tell:
			s.tell(id, e)
		case Complete:
			a.done = true
		}
	}
}

func (s *spread) tell(from mulberryspool.InstanceID, e Tell) {
	if e.Held.Exceeds(s.agents[from].verified) {
		s.t.Fatalf("%s tells of chunks that it did not verify", from)
	}
	to := s.agents[e.Instance]
	if !to.alive || s.apart(from, e.Instance) || s.chance(s.loss) {
		s.deliver(from, Lost{Instance: e.Instance}, false)
		return
	}
	s.deliver(e.Instance, Have{Instance: from, Manifest: e.Manifest, Held: e.Held.Clone(), Told: to.verified.Clone()}, true)
	s.deliver(from, Have{Instance: e.Instance, Manifest: e.Manifest, Held: to.verified.Clone(), Told: e.Held}, true)
}

// fetch answers at once and delivers the end of the fetch later. The end is
// never lost, because it comes from inside the process.
func (s *spread) fetch(id mulberryspool.InstanceID, e Fetch) {
	a := s.agents[id]
	index := a.byDigest[e.Chunk.Digest].indexes[0]
	if a.verified.Has(index) {
		return
	}
	fail := func(reason Reason) { s.deliver(id, Failed{Attempt: e.Attempt, Reason: reason}, false) }
	switch {
	case e.Source.Kind == FromOrigin && s.originDown:
		fail(Unreachable)
		return
	case e.Source.Kind == FromOrigin:
		s.originServed[e.Chunk.Digest]++
		if a.running[e.Chunk.Digest]++; a.running[e.Chunk.Digest] > 1 && s.wrong == 0 && s.late == 0 {
			s.t.Fatalf("%s asks the origin for chunk %s again", id, e.Chunk.Digest)
		}
	default:
		source := s.agents[e.Source.Instance]
		if !source.alive || s.apart(id, e.Source.Instance) {
			fail(Unreachable)
			return
		}
		if !source.verified.Has(index) {
			fail(NotHeld)
			return
		}
	}
	if s.chance(s.wrong) {
		fail(WrongDigest)
		return
	}
	s.deliver(id, verifiedChunk{Fetched: Fetched{Attempt: e.Attempt, Chunk: e.Chunk.Digest}, index: index}, false)
}

// verifiedChunk marks the chunk as verified when its end is delivered.
type verifiedChunk struct {
	Fetched
	index int
}

// run goes on until all live agents are complete.
func (s *spread) run(until func() bool) {
	for range spreadTicks {
		if until() {
			return
		}
		s.now = s.now.Add(spreadTick)
		for _, id := range s.order {
			s.wakeAgent(id)
		}
	}
	for _, id := range s.order {
		if a := s.agents[id]; a.alive && !a.done {
			s.t.Fatalf("%s still misses %d chunks", id, a.Missing())
		}
	}
	s.t.Fatal("the run did not end")
}

func (s *spread) wakeAgent(id mulberryspool.InstanceID) {
	a := s.agents[id]
	due, rest := []Event{Tick{}}, []delayed(nil)
	for _, d := range a.inbox {
		if d.at.After(s.now) {
			rest = append(rest, d)
			continue
		}
		if v, ok := d.event.(verifiedChunk); ok {
			a.verified.Add(v.index)
			d.event = v.Fetched
		}
		due = append(due, d.event)
	}
	a.inbox = rest
	if a.alive {
		s.step(id, due...)
	}
}

func (s *spread) allDone() bool {
	for _, a := range s.agents {
		if a.alive && !a.done {
			return false
		}
	}
	return true
}

// Guards against a transfer that gets stuck, or gives out unverified chunks,
// under lost, late and duplicate messages, bad data and the death of agents
// while the origin is up.
func TestSpreadCompletesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpread(t, rapid.IntRange(1, 9).Draw(t, "agents"), rapid.IntRange(1, 24).Draw(t, "chunks"))
		s.loss = rapid.IntRange(0, 30).Draw(t, "loss")
		s.late = rapid.IntRange(0, 30).Draw(t, "late")
		s.wrong = rapid.IntRange(0, 20).Draw(t, "wrong")
		s.startAll()
		s.run(func() bool { return s.now.Sub(time.Unix(1000, 0)) >= 2*time.Second })
		for _, id := range s.order[1:] {
			s.agents[id].alive = !s.chance(20)
		}
		s.run(s.allDone)
	})
}

// Guards against asking the origin twice for a chunk while nothing fails.
func TestSpreadTakesOneCopyFromOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpread(t, rapid.IntRange(1, 12).Draw(t, "agents"), rapid.IntRange(1, 40).Draw(t, "chunks"))
		s.startAll()
		s.run(s.allDone)
		for digest, count := range s.originServed {
			if count != 1 {
				t.Fatalf("the origin gave chunk %s %d times, want once", digest, count)
			}
		}
	})
}

// Guards against a fleet that needs the origin although live agents hold all
// chunks between them: the origin goes away when one copy is out.
func TestSpreadNeedsOriginForOneCopyOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpread(t, rapid.IntRange(2, 9).Draw(t, "agents"), rapid.IntRange(1, 24).Draw(t, "chunks"))
		s.loss = rapid.IntRange(0, 30).Draw(t, "loss")
		s.startAll()
		s.run(func() bool { return len(s.originServed) == len(s.manifest.Chunks) })
		s.originDown = true
		s.run(s.allDone)
	})
}

// Guards against regions that wait for each other while they are parted, that
// ask the origin for more than one copy each, or that do not exchange chunks
// again after they have rejoined.
func TestSpreadOverPartedRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpread(t, rapid.IntRange(3, 12).Draw(t, "agents"), rapid.IntRange(4, 24).Draw(t, "chunks"))
		s.parted = true
		s.startAll()
		ticks := rapid.IntRange(0, 600).Draw(t, "ticks")
		s.run(func() bool { ticks--; return ticks < 0 || s.allDone() })
		s.parted = false
		s.originDown = len(s.originServed) == len(s.manifest.Chunks)
		s.run(s.allDone)
		for digest, count := range s.originServed {
			if count > 3 {
				t.Fatalf("the origin gave chunk %s %d times to three parted regions", digest, count)
			}
		}
	})
}
