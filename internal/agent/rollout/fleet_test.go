package rollout

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// simulation is a pool of agents with their engines, the tables, the object API
// and the connections between the agents.
type simulation struct {
	now    time.Duration
	agents []*simAgent
	// listed is the instance list, which lags behind the live agents.
	listed   []mulberryspool.InstanceID
	revision mulberryspool.Revision
	pool     mulberryspool.Pool
	apiDown  bool
	// broken versions fail to load on every engine. corrupt versions load with
	// a wrong digest.
	broken, corrupt map[string]bool
	// enginesModified is set when the test changes engines without an order.
	// The bound on concurrent swaps and the checks on served weights and fencing
	// numbers then don't apply, because they hold only for changes that the
	// agents can see.
	enginesModified bool
}

// simAgent is one agent with its engine.
type simAgent struct {
	sim         *simulation
	id          mulberryspool.InstanceID
	rollout     *Rollout
	leaseNumber uint64
	dead        bool
	engine      mulberryspool.Loaded
	serving     bool
	weights     mulberryspool.Loaded
	inFlight    int
	modified    bool
	// swapRevision is the revision of the row for which the agent stopped
	// serving, or 0. A load whose change was superseded does not count towards
	// the bound of the newer change.
	swapRevision mulberryspool.Revision
	pending      []func(*rapid.T)
	// heartbeats holds the heartbeat of each peer that was sent but has not yet
	// arrived.
	heartbeats map[mulberryspool.InstanceID]mulberryspool.Heartbeat
	attempted  map[string]bool
}

func newSimulation(size, unavailable int, ignoresFencing bool) *simulation {
	s := &simulation{broken: make(map[string]bool), corrupt: make(map[string]bool)}
	s.pool = mulberryspool.Pool{Name: testPool, MaxUnavailable: unavailable, IgnoresFencing: ignoresFencing}
	for range size {
		s.add()
	}
	s.listed = s.ids()
	return s
}

func (s *simulation) add() *simAgent {
	a := &simAgent{sim: s, id: mulberryspool.InstanceID(fmt.Sprintf("surat-%d", len(s.agents))), attempted: make(map[string]bool)}
	s.agents = append(s.agents, a)
	return a
}

func (s *simulation) ids() []mulberryspool.InstanceID {
	var ids []mulberryspool.InstanceID
	for _, a := range s.agents {
		if !a.dead {
			ids = append(ids, a.id)
		}
	}
	return ids
}

func (s *simulation) agent(id mulberryspool.InstanceID) *simAgent {
	return s.agents[slices.IndexFunc(s.agents, func(a *simAgent) bool { return a.id == id })]
}

// start starts a new incarnation of the agent. The engine keeps its state.
func (a *simAgent) start(t *rapid.T) {
	a.rollout = New(Settings{Instance: a.id, Pool: testPool, RetryInterval: 3 * time.Second, ReadBackInterval: time.Second, LeaseDuration: 20 * time.Second})
	a.pending = nil
	a.heartbeats = make(map[mulberryspool.InstanceID]mulberryspool.Heartbeat)
	a.serving, a.inFlight, a.swapRevision = false, 0, 0
	a.step(t, Members{Instances: a.sim.listed})
	a.step(t, Tick{})
}

func (a *simAgent) step(t *rapid.T, event Event) {
	for _, effect := range a.rollout.Step(a.sim.now, event) {
		a.apply(t, effect)
	}
	a.sim.checkSwapBound(t)
}

func (a *simAgent) enqueue(run func(*rapid.T)) {
	a.pending = append(a.pending, run)
}

func (a *simAgent) apply(t *rapid.T, effect Effect) {
	switch e := effect.(type) {
	case ReadManifest:
		a.enqueue(func(t *rapid.T) {
			if a.sim.apiDown {
				a.step(t, ManifestRead{Version: e.Version, Error: "object API unavailable"})
				return
			}
			a.step(t, ManifestRead{Version: e.Version, Manifest: testManifest(e.Version)})
		})
	case Stage:
		a.enqueue(func(t *rapid.T) { a.step(t, Staged{Digest: e.Manifest.Digest}) })
	case WriteLease:
		a.enqueue(func(t *rapid.T) {
			if a.sim.apiDown {
				a.step(t, LeaseFailed{Error: "object API unavailable"})
				return
			}
			if !e.Renew {
				a.leaseNumber++
			}
			a.leaseNumber = max(a.leaseNumber, e.AtLeast)
			a.step(t, LeaseWritten{Number: a.leaseNumber, ValidUntil: a.sim.now + 20*time.Second})
		})
	case Load:
		a.load(t, e)
	case ReadBack:
		read, readsEarly := a.engine, rapid.Bool().Draw(t, "early")
		a.enqueue(func(t *rapid.T) {
			if !readsEarly {
				read = a.engine
			}
			a.step(t, EngineRead{Token: e.Token, Loaded: read})
			if a.serving && !sameWeights(read, a.weights) && a.rollout.token == e.Token {
				t.Fatalf("%s still serves %v after reading back %v", a.id, a.weights, read)
			}
		})
	case SetServing:
		a.setServing(t, e)
	}
}

func (a *simAgent) setServing(t *rapid.T, e SetServing) {
	if e.On && !a.sim.enginesModified && e.Weights != a.engine {
		t.Fatalf("%s serves %v, but its engine has %v loaded", a.id, e.Weights, a.engine)
	}
	if !e.On && !e.WeightsChanged && a.serving && a.sim.viewsAgree() {
		a.swapRevision = a.rollout.rowRevision
	}
	if e.On {
		a.swapRevision = 0
	}
	a.serving, a.weights = e.On, e.Weights
}

func (a *simAgent) load(t *rapid.T, e Load) {
	if a.serving || a.inFlight > 0 {
		t.Fatalf("%s orders a load with %d requests in flight (serving: %v)", a.id, a.inFlight, a.serving)
	}
	if e.Fencing <= a.engine.Fencing && !a.sim.enginesModified {
		t.Fatalf("%s sends an order with fencing number %d, but the engine has seen %d", a.id, e.Fencing, a.engine.Fencing)
	}
	if e.CheckLease && a.sim.now >= e.ValidUntil {
		t.Fatalf("%s sends an order at %v, but its lease expired at %v", a.id, a.sim.now, e.ValidUntil)
	}
	a.attempted[e.Goal.Version] = true
	if a.swapRevision != 0 {
		a.swapRevision = a.rollout.rowRevision
	}
	a.enqueue(func(*rapid.T) {
		loadError := a.sim.execute(a, e)
		a.enqueue(func(t *rapid.T) { a.step(t, LoadEnded{Token: e.Token, Error: loadError}) })
	})
}

// execute applies a load order to the engine and returns the engine's error, or
// an empty string.
func (s *simulation) execute(a *simAgent, e Load) string {
	if e.Fencing <= a.engine.Fencing {
		return "stale fencing number"
	}
	a.engine.Fencing = e.Fencing
	if s.broken[e.Goal.Version] {
		a.engine = mulberryspool.Loaded{Fencing: e.Fencing}
		return "out of memory"
	}
	a.engine = mulberryspool.Loaded{
		Version: e.Goal.Version, Digest: testManifest(e.Goal.Version).Digest, Adapter: e.Goal.Adapter, Role: e.Goal.Role, Fencing: e.Fencing,
	}
	if s.corrupt[e.Goal.Version] {
		a.engine.Digest = "another digest"
	}
	return ""
}

// viewsAgree reports whether all agents have the newest revision and the same
// order of members.
func (s *simulation) viewsAgree() bool {
	var first *Rollout
	for _, a := range s.agents {
		if a.dead || a.rollout == nil {
			continue
		}
		if first == nil {
			first = a.rollout
		}
		if a.rollout.revision != s.revision || !slices.Equal(a.rollout.currentOrder, first.currentOrder) {
			return false
		}
	}
	return true
}

// checkSwapBound checks that no more agents than the bound swap at the same time.
// Only swaps that began while all views agreed count.
func (s *simulation) checkSwapBound(t *rapid.T) {
	swapping := 0
	for _, a := range s.agents {
		if !a.dead && a.swapRevision != 0 && a.swapRevision == a.rollout.rowRevision {
			swapping++
		}
	}
	if bound := max(s.pool.MaxUnavailable, 1); swapping > bound && !s.enginesModified {
		t.Fatalf("%d agents swap to %s at the same time, want at most %d", swapping, s.pool.Version, bound)
	}
}

func (a *simAgent) heartbeat() mulberryspool.Heartbeat {
	v := a.rollout.View()
	return mulberryspool.Heartbeat{
		Phase: v.Phase, Served: v.Served, ServedVersion: v.ServedVersion, Target: v.Target.Version,
		FailedVersion: v.FailedVersion, Settled: v.Settled, Revision: v.Revision,
	}
}

func (a *simAgent) updateTables(t *rapid.T) {
	a.step(t, TablesChanged{Revision: a.sim.revision, Pool: a.sim.pool, Exists: true})
}

func (s *simulation) setVersion(version string) {
	s.revision++
	s.pool.Version = version
}

func (s *simulation) drawAgent(t *rapid.T) *simAgent {
	for {
		a := s.agents[rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent")]
		if !a.dead {
			return a
		}
	}
}

// runPending delivers the result of one pending effect.
func (a *simAgent) runPending(t *rapid.T, i int) {
	run := a.pending[i]
	a.pending = slices.Delete(a.pending, i, i+1)
	run(t)
}

// exchangeHeartbeat delivers the pending heartbeat of a watched peer, or takes a
// new one if none is pending.
func (a *simAgent) exchangeHeartbeat(t *rapid.T, instance mulberryspool.InstanceID) {
	if heartbeat, ok := a.heartbeats[instance]; ok {
		delete(a.heartbeats, instance)
		a.step(t, PeerHeartbeat{Instance: instance, Status: heartbeat})
		return
	}
	peer := a.sim.agent(instance)
	if peer.dead {
		a.step(t, PeerSuspected{Instance: instance})
		a.step(t, PeerDead{Instance: instance})
		return
	}
	a.heartbeats[instance] = peer.heartbeat()
}

// converge runs all agents in turn without faults, until all serve the target or
// the rounds are used up.
func (s *simulation) converge(t *rapid.T) {
	s.apiDown = false
	s.listed = s.ids()
	for round := range 60 * len(s.agents) {
		if round > 20 && s.allServe(s.pool.Version) {
			return
		}
		s.now += 200 * time.Millisecond
		for _, a := range s.agents {
			if a.dead {
				continue
			}
			a.updateTables(t)
			a.step(t, Members{Instances: s.listed})
			a.runAll(t)
		}
	}
}

// runAll delivers everything that is pending for an agent.
func (a *simAgent) runAll(t *rapid.T) {
	a.step(t, Tick{})
	for range len(a.pending) {
		a.runPending(t, 0)
	}
	a.finishRequests(t)
	for _, instance := range a.rollout.Watched() {
		a.exchangeHeartbeat(t, instance)
		a.exchangeHeartbeat(t, instance)
	}
}

func (a *simAgent) finishRequests(t *rapid.T) {
	if a.inFlight > 0 {
		a.inFlight = 0
		a.step(t, InFlight{})
	}
}
