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
	simulationTick = 100 * time.Millisecond
	// maxSimulationTicks limits the length of a run. All timeouts of the planner are
	// far shorter, so a run that has not finished by then is stuck.
	maxSimulationTicks = 20000
)

type (
	// simulation runs several planners against each other over an unreliable network.
	simulation struct {
		t        *rapid.T
		manifest mulberryspool.Manifest
		agents   map[mulberryspool.InstanceID]*simulatedAgent
		order    []mulberryspool.InstanceID
		now      time.Time
		// lossPercent, delayPercent and corruptPercent are probabilities of faults.
		lossPercent, delayPercent, corruptPercent int
		originDown                                bool
		// partitioned separates the regions from each other.
		partitioned bool
		// random is seeded by rapid. Drawing each message fault from rapid would be
		// slow.
		random       *rand.Rand
		originServed map[mulberryspool.Digest]int
	}

	simulatedAgent struct {
		*Planner
		alive bool
		// verified contains the chunks that the agent has received and verified.
		verified      bitset.Set
		originFetches map[mulberryspool.Digest]int
		inbox         []delayedEvent
		done          bool
	}

	delayedEvent struct {
		at    time.Time
		event Event
	}
)

// TestMain sets a fixed seed for rapid, so that every run is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newSimulation(t *rapid.T, agents, chunks int) *simulation {
	s := &simulation{
		t: t, manifest: testManifest("v1", numberedNames("c", chunks)...), now: time.Unix(1000, 0),
		agents: map[mulberryspool.InstanceID]*simulatedAgent{}, originServed: map[mulberryspool.Digest]int{},
	}
	var members []Member
	for i := range agents {
		members = append(members, newMember(fmt.Sprintf("agent%d", i), fmt.Sprintf("region%d", i%3)))
	}
	seed := rapid.Uint64().Draw(t, "seed")
	s.random = rand.New(rand.NewPCG(seed, 0))
	for _, m := range members {
		s.order = append(s.order, m.Instance)
		s.agents[m.Instance] = &simulatedAgent{Planner: &Planner{Self: m, Seed: seed}, alive: true}
		s.step(m.Instance, Members{Live: members})
	}
	return s
}

func (s *simulation) startAll() {
	for _, id := range s.order {
		a := s.agents[id]
		a.verified, a.originFetches = bitset.New(len(s.manifest.Chunks)), map[mulberryspool.Digest]int{}
		s.step(id, Start{Manifest: s.manifest, Held: a.verified})
	}
}

func (s *simulation) chance(percent int) bool {
	return s.random.IntN(100) < percent
}

func (s *simulation) unreachable(a, b mulberryspool.InstanceID) bool {
	return s.partitioned && s.agents[a].Self.Region != s.agents[b].Self.Region
}

// deliver queues an event for an agent: lost, delayed, duplicated or unchanged.
func (s *simulation) deliver(to mulberryspool.InstanceID, event Event, lossy bool) {
	if lossy && s.chance(s.lossPercent) {
		return
	}
	delay := simulationTick
	if s.chance(s.delayPercent) {
		delay += time.Duration(1+s.random.IntN(60)) * simulationTick
	}
	a := s.agents[to]
	a.inbox = append(a.inbox, delayedEvent{at: s.now.Add(delay), event: event})
	if s.chance(s.delayPercent) {
		a.inbox = append(a.inbox, delayedEvent{at: s.now.Add(2 * delay), event: event})
	}
}

func (s *simulation) step(id mulberryspool.InstanceID, events ...Event) {
	a := s.agents[id]
	for _, effect := range a.Step(s.now, events...) {
		switch e := effect.(type) {
		case Fetch:
			s.fetch(id, e)
		case Announce:
			s.announce(id, e)
		case Complete:
			a.done = true
		}
	}
}

func (s *simulation) announce(from mulberryspool.InstanceID, e Announce) {
	if e.Held.AnyNotIn(s.agents[from].verified) {
		s.t.Fatalf("%s announces chunks that it has not verified", from)
	}
	to := s.agents[e.Instance]
	if !to.alive || s.unreachable(from, e.Instance) || s.chance(s.lossPercent) {
		s.deliver(from, AnnounceFailed{Instance: e.Instance}, false)
		return
	}
	s.deliver(e.Instance, Have{Instance: from, Manifest: e.Manifest, Held: e.Held.Clone(), Announced: to.verified.Clone()}, true)
	s.deliver(from, Have{Instance: e.Instance, Manifest: e.Manifest, Held: to.verified.Clone(), Announced: e.Held}, true)
}

// fetch decides the result of a fetch at once and delivers it later. The result is
// never lost, because it does not cross the network.
func (s *simulation) fetch(id mulberryspool.InstanceID, e Fetch) {
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
		if a.originFetches[e.Chunk.Digest]++; a.originFetches[e.Chunk.Digest] > 1 && s.corruptPercent == 0 && s.delayPercent == 0 {
			s.t.Fatalf("%s requests chunk %s from the origin again", id, e.Chunk.Digest)
		}
	default:
		source := s.agents[e.Source.Instance]
		if !source.alive || s.unreachable(id, e.Source.Instance) {
			fail(Unreachable)
			return
		}
		if !source.verified.Has(index) {
			fail(NotHeld)
			return
		}
	}
	if s.chance(s.corruptPercent) {
		fail(WrongDigest)
		return
	}
	s.deliver(id, verifiedChunk{Fetched: Fetched{Attempt: e.Attempt, Chunk: e.Chunk.Digest}, index: index}, false)
}

// verifiedChunk marks the chunk as verified when the result is delivered.
type verifiedChunk struct {
	Fetched
	index int
}

// runUntil advances the simulation until done returns true, and fails if it takes
// too long.
func (s *simulation) runUntil(done func() bool) {
	for range maxSimulationTicks {
		if done() {
			return
		}
		s.now = s.now.Add(simulationTick)
		for _, id := range s.order {
			s.stepAgent(id)
		}
	}
	for _, id := range s.order {
		if a := s.agents[id]; a.alive && !a.done {
			s.t.Fatalf("%s is still missing %d chunks", id, a.Missing())
		}
	}
	s.t.Fatal("the condition was not met within the run")
}

func (s *simulation) stepAgent(id mulberryspool.InstanceID) {
	a := s.agents[id]
	due, pending := []Event{Tick{}}, []delayedEvent(nil)
	for _, d := range a.inbox {
		if d.at.After(s.now) {
			pending = append(pending, d)
			continue
		}
		if v, ok := d.event.(verifiedChunk); ok {
			a.verified.Add(v.index)
			d.event = v.Fetched
		}
		due = append(due, d.event)
	}
	a.inbox = pending
	if a.alive {
		s.step(id, due...)
	}
}

func (s *simulation) allDone() bool {
	for _, a := range s.agents {
		if a.alive && !a.done {
			return false
		}
	}
	return true
}

// Guards against a transfer that gets stuck or announces unverified chunks when
// messages are lost, delayed or duplicated, data is corrupt and agents die, with
// the origin up.
func TestSimulationCompletesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 9).Draw(t, "agents"), rapid.IntRange(1, 24).Draw(t, "chunks"))
		s.lossPercent = rapid.IntRange(0, 30).Draw(t, "loss")
		s.delayPercent = rapid.IntRange(0, 30).Draw(t, "late")
		s.corruptPercent = rapid.IntRange(0, 20).Draw(t, "wrong")
		s.startAll()
		s.runUntil(func() bool { return s.now.Sub(time.Unix(1000, 0)) >= 2*time.Second })
		for _, id := range s.order[1:] {
			s.agents[id].alive = !s.chance(20)
		}
		s.runUntil(s.allDone)
	})
}

// Guards against reading a chunk from the origin twice while nothing fails.
func TestSimulationReadsOneCopyFromOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 12).Draw(t, "agents"), rapid.IntRange(1, 40).Draw(t, "chunks"))
		s.startAll()
		s.runUntil(s.allDone)
		for digest, count := range s.originServed {
			if count != 1 {
				t.Fatalf("the origin served chunk %s %d times, want once", digest, count)
			}
		}
	})
}

// Guards against a fleet that still needs the origin although the live agents
// together hold all chunks: the origin goes down as soon as each chunk was read
// once.
func TestSimulationNeedsOriginForOneCopyOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(2, 9).Draw(t, "agents"), rapid.IntRange(1, 24).Draw(t, "chunks"))
		s.lossPercent = rapid.IntRange(0, 30).Draw(t, "loss")
		s.startAll()
		s.runUntil(func() bool { return len(s.originServed) == len(s.manifest.Chunks) })
		s.originDown = true
		s.runUntil(s.allDone)
	})
}

// Guards against regions that wait for each other while they are partitioned, that
// read more than one copy each from the origin, or that do not exchange chunks
// after the partition has healed.
func TestSimulationCompletesAfterPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(3, 12).Draw(t, "agents"), rapid.IntRange(4, 24).Draw(t, "chunks"))
		s.partitioned = true
		s.startAll()
		ticks := rapid.IntRange(0, 600).Draw(t, "ticks")
		s.runUntil(func() bool { ticks--; return ticks < 0 || s.allDone() })
		s.partitioned = false
		s.originDown = len(s.originServed) == len(s.manifest.Chunks)
		s.runUntil(s.allDone)
		for digest, count := range s.originServed {
			if count > 3 {
				t.Fatalf("the origin served chunk %s %d times to three partitioned regions, want at most 3", digest, count)
			}
		}
	})
}
