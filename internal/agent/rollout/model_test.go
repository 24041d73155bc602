package rollout

import (
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
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
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

const testPool = "draft-models"

func manifestOf(version string) mulberryspool.Manifest {
	return mulberryspool.Manifest{Version: version, Digest: mulberryspool.Digest("digest of " + version), Size: 1}
}

// fleet is a pool of agents with their engines, and the tables, the object API
// and the connections between them.
type fleet struct {
	now    time.Duration
	agents []*member
	// listed is the instance list, which lags.
	listed   []mulberryspool.InstanceID
	revision mulberryspool.Revision
	pool     mulberryspool.Pool
	apiDown  bool
	// broken versions fail to load on every engine.
	broken map[string]bool
	// disturbed is set when engines changed or vanished underneath: the bound
	// on swaps holds only for what the agents can see.
	disturbed bool
}

// member is one agent with its engine.
type member struct {
	fleet    *fleet
	id       mulberryspool.InstanceID
	rollout  *Rollout
	number   uint64
	dead     bool
	engine   mulberryspool.Loaded
	order    *Load
	open     bool
	weights  mulberryspool.Loaded
	inFlight int
	intruded bool
	// swapping is the target for which the agent stopped serving.
	swapping string
	pending  []func(*rapid.T)
	// beats holds a captured heartbeat of each peer that has not arrived.
	beats map[mulberryspool.InstanceID]mulberryspool.Heartbeat
	tried map[string]bool
}

func newFleet(size, unavailable int, ignoresFencing bool) *fleet {
	f := &fleet{broken: make(map[string]bool)}
	f.pool = mulberryspool.Pool{Name: testPool, MaxUnavailable: unavailable, IgnoresFencing: ignoresFencing}
	for range size {
		f.add()
	}
	f.listed = f.ids()
	return f
}

func (f *fleet) add() *member {
	m := &member{fleet: f, id: mulberryspool.InstanceID(fmt.Sprintf("surat-%d", len(f.agents))), tried: make(map[string]bool)}
	f.agents = append(f.agents, m)
	return m
}

func (f *fleet) ids() []mulberryspool.InstanceID {
	var ids []mulberryspool.InstanceID
	for _, m := range f.agents {
		if !m.dead {
			ids = append(ids, m.id)
		}
	}
	return ids
}

func (f *fleet) find(id mulberryspool.InstanceID) *member {
	return f.agents[slices.IndexFunc(f.agents, func(m *member) bool { return m.id == id })]
}

// boot starts a new incarnation beside the engine as it is.
func (m *member) boot(t *rapid.T) {
	m.rollout = New(Settings{Instance: m.id, Pool: testPool, RetryInterval: 3 * time.Second, ReadBackInterval: time.Second, LeaseDuration: 20 * time.Second})
	m.pending = nil
	m.beats = make(map[mulberryspool.InstanceID]mulberryspool.Heartbeat)
	m.open, m.inFlight, m.swapping = false, 0, ""
	m.step(t, Members{Instances: m.fleet.listed})
	m.step(t, Tick{})
}

func (m *member) step(t *rapid.T, event Event) {
	for _, effect := range m.rollout.Step(m.fleet.now, event) {
		m.apply(t, effect)
	}
	m.fleet.check(t)
}

func (m *member) later(run func(*rapid.T)) {
	m.pending = append(m.pending, run)
}

func (m *member) apply(t *rapid.T, effect Effect) {
	switch e := effect.(type) {
	case ReadManifest:
		m.later(func(t *rapid.T) {
			if m.fleet.apiDown {
				m.step(t, ManifestRead{Version: e.Version, Error: "object API is down"})
				return
			}
			m.step(t, ManifestRead{Version: e.Version, Manifest: manifestOf(e.Version)})
		})
	case Stage:
		m.later(func(t *rapid.T) { m.step(t, Staged{Digest: e.Manifest.Digest}) })
	case WriteLease:
		m.later(func(t *rapid.T) {
			if m.fleet.apiDown {
				m.step(t, LeaseFailed{Error: "object API is down"})
				return
			}
			if !e.Renew {
				m.number++
			}
			m.number = max(m.number, e.AtLeast)
			m.step(t, LeaseWritten{Number: m.number, ValidUntil: m.fleet.now + 20*time.Second})
		})
	case Load:
		m.load(t, e)
	case ReadBack:
		m.later(func(t *rapid.T) { m.step(t, EngineRead{Token: e.Token, Loaded: m.engine}) })
	case SetServing:
		m.setServing(t, e)
	}
}

func (m *member) setServing(t *rapid.T, e SetServing) {
	if e.On && !m.fleet.disturbed && e.Weights != m.engine {
		t.Fatalf("%s serves %v, its engine holds %v", m.id, e.Weights, m.engine)
	}
	if !e.On && !e.Changed && m.open {
		m.swapping = m.rollout.target.Version
	}
	if e.On {
		m.swapping = ""
	}
	m.open, m.weights = e.On, e.Weights
}

func (m *member) load(t *rapid.T, e Load) {
	if m.open || m.inFlight > 0 {
		t.Fatalf("%s orders a load while %d requests are in flight (gate open: %v)", m.id, m.inFlight, m.open)
	}
	if e.Fencing <= m.engine.Fencing && !m.fleet.disturbed {
		t.Fatalf("%s orders with number %d, the engine has seen %d", m.id, e.Fencing, m.engine.Fencing)
	}
	if e.CheckLease && m.fleet.now >= e.ValidUntil {
		t.Fatalf("%s orders at %v with a lease until %v", m.id, m.fleet.now, e.ValidUntil)
	}
	m.tried[e.Goal.Version] = true
	m.later(func(t *rapid.T) {
		failure := m.fleet.execute(m, e)
		m.later(func(t *rapid.T) { m.step(t, LoadEnded{Token: e.Token, Error: failure}) })
	})
}

// execute lets an order take effect at the engine.
func (f *fleet) execute(m *member, e Load) string {
	if e.Fencing <= m.engine.Fencing {
		return "stale fencing number"
	}
	m.engine.Fencing = e.Fencing
	if f.broken[e.Goal.Version] {
		m.engine = mulberryspool.Loaded{Fencing: e.Fencing}
		return "out of memory"
	}
	m.engine = mulberryspool.Loaded{
		Version: e.Goal.Version, Digest: manifestOf(e.Goal.Version).Digest, Adapter: e.Goal.Adapter, Role: e.Goal.Role, Fencing: e.Fencing,
	}
	return ""
}

// check compares the number of agents that swap with the bound, while all
// agents have the same revision.
func (f *fleet) check(t *rapid.T) {
	if f.disturbed {
		return
	}
	swapping := 0
	for _, m := range f.agents {
		if m.dead || m.rollout == nil {
			continue
		}
		if m.rollout.revision != f.revision {
			return
		}
		if m.swapping == f.pool.Version {
			swapping++
		}
	}
	if bound := max(f.pool.MaxUnavailable, 1); swapping > bound {
		t.Fatalf("%d agents swap to %s at once, bound %d", swapping, f.pool.Version, bound)
	}
}

func (m *member) heartbeat() mulberryspool.Heartbeat {
	v := m.rollout.View()
	return mulberryspool.Heartbeat{
		Phase: v.Phase, Served: v.Served, ServedVersion: v.ServedVersion, Target: v.Target.Version,
		FailedVersion: v.FailedVersion, Settled: v.Settled, Revision: v.Revision,
	}
}

func (m *member) adopt(t *rapid.T) {
	m.step(t, TablesChanged{Revision: m.fleet.revision, Pool: m.fleet.pool, Exists: true})
}

func (f *fleet) change(version string) {
	f.revision++
	f.pool.Version = version
}

func (f *fleet) draw(t *rapid.T) *member {
	for {
		m := f.agents[rapid.IntRange(0, len(f.agents)-1).Draw(t, "agent")]
		if !m.dead {
			return m
		}
	}
}

// runPending lets one adapter of an agent answer.
func (m *member) runPending(t *rapid.T, i int) {
	run := m.pending[i]
	m.pending = slices.Delete(m.pending, i, i+1)
	run(t)
}

// hear captures a watched peer's heartbeat, or lets a captured one arrive.
func (m *member) hear(t *rapid.T, instance mulberryspool.InstanceID) {
	if beat, ok := m.beats[instance]; ok {
		delete(m.beats, instance)
		m.step(t, PeerHeard{Instance: instance, Status: beat})
		return
	}
	peer := m.fleet.find(instance)
	if peer.dead {
		m.step(t, PeerSuspected{Instance: instance})
		m.step(t, PeerDead{Instance: instance})
		return
	}
	m.beats[instance] = peer.heartbeat()
}

// settle lets everything go on in turn, as it does when nothing fails any more.
func (f *fleet) settle(t *rapid.T) {
	f.apiDown = false
	f.listed = f.ids()
	for round := range 60 * len(f.agents) {
		if round > 20 && f.served(f.pool.Version) {
			return
		}
		f.now += 200 * time.Millisecond
		for _, m := range f.agents {
			if m.dead {
				continue
			}
			m.adopt(t)
			m.step(t, Members{Instances: f.listed})
			m.step(t, Tick{})
			for range len(m.pending) {
				m.runPending(t, 0)
			}
			m.finishRequests(t)
			for _, instance := range m.rollout.Watched() {
				m.hear(t, instance)
				m.hear(t, instance)
			}
		}
	}
}

func (m *member) finishRequests(t *rapid.T) {
	if m.inFlight > 0 {
		m.inFlight = 0
		m.step(t, InFlight{})
	}
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	work := func(t *rapid.T) {
		m := f.draw(t)
		if len(m.pending) > 0 {
			m.runPending(t, rapid.IntRange(0, len(m.pending)-1).Draw(t, "pending"))
		}
	}
	hear := func(t *rapid.T) {
		m := f.draw(t)
		if watched := m.rollout.Watched(); len(watched) > 0 {
			m.hear(t, watched[len(watched)-1])
		}
	}
	return map[string]func(*rapid.T){
		"work1": work, "work2": work, "work3": work, "work4": work,
		"hear1": hear, "hear2": hear, "hear3": hear,
		"adopt": func(t *rapid.T) { f.draw(t).adopt(t) },
		"tick": func(t *rapid.T) {
			f.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			f.draw(t).step(t, Tick{})
		},
		"request": func(t *rapid.T) {
			if m := f.draw(t); m.open {
				m.inFlight++
				m.step(t, InFlight{Count: m.inFlight})
			}
		},
		"finish": func(t *rapid.T) { f.draw(t).finishRequests(t) },
		"outage": func(t *rapid.T) { f.apiDown = rapid.Bool().Draw(t, "down") },
	}
}

// serveV1 brings up a fleet that serves v1 everywhere.
func serveV1(t *rapid.T) *fleet {
	f := newFleet(rapid.IntRange(2, 7).Draw(t, "size"), rapid.IntRange(0, 3).Draw(t, "unavailable"), rapid.Bool().Draw(t, "ignoresFencing"))
	f.change("v1")
	for _, m := range f.agents {
		m.boot(t)
	}
	f.settle(t)
	f.expect(t, "v1")
	return f
}

func (m *member) serves(version string) bool {
	return m.open && m.rollout.View().ServedVersion == version && m.engine.Version == version && m.weights.Version == version
}

func (f *fleet) served(version string) bool {
	return !slices.ContainsFunc(f.agents, func(m *member) bool { return !m.dead && !m.serves(version) })
}

func (f *fleet) expect(t *rapid.T, version string) {
	for _, m := range f.agents {
		if !m.dead && !m.serves(version) {
			t.Fatalf("%s does not serve %s (engine %v): %+v", m.id, version, m.engine, m.rollout.View())
		}
	}
}

// Guards against more swaps at once than the bound, loads under live
// requests, orders without lease or rising number, service before the read-back,
// and a fleet that stops short of the newest revision, under late and reordered
// answers, object API outages, restarts, deaths and superseding changes.
func TestRolloutUnderDisorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := serveV1(t)
		f.change("v2")
		actions := f.actions()
		actions["supersede"] = func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
				f.change(fmt.Sprintf("v%d", rapid.IntRange(1, 4).Draw(t, "version")))
			}
		}
		actions["restart"] = func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rarely") == 0 {
				m := f.draw(t)
				m.boot(t)
				m.adopt(t)
			}
		}
		actions["die"] = func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && len(f.ids()) > 1 {
				f.draw(t).dead = true
			}
		}
		actions["join"] = func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && len(f.agents) < 9 {
				f.add().boot(t)
			}
		}
		actions["list"] = func(t *rapid.T) {
			if rapid.Bool().Draw(t, "refreshed") {
				f.listed = f.ids()
			}
			f.draw(t).step(t, Members{Instances: f.listed})
		}
		t.Repeat(actions)
		f.settle(t)
		f.expect(t, f.pool.Version)
	})
}

// Guards against a version that fails to load and takes down more agents than
// the bound, does not let the old version come back, or blocks the next change.
func TestFailedVersionStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := serveV1(t)
		f.broken["v2"] = true
		f.change("v2")
		t.Repeat(f.actions())
		f.settle(t)
		f.expect(t, "v1")
		tried := 0
		for _, m := range f.agents {
			if m.tried["v2"] {
				tried++
				if v := m.rollout.View(); v.FailedVersion != "v2" || v.Cause == "" || v.Phase != mulberryspool.PhaseFailed {
					t.Fatalf("%s does not tell of the failed load: %+v", m.id, v)
				}
			}
		}
		if bound := max(f.pool.MaxUnavailable, 1); tried < 1 || tried > bound {
			t.Fatalf("%d agents tried the broken version, want 1 to %d", tried, bound)
		}
		f.change("v3")
		f.settle(t)
		f.expect(t, "v3")
	})
}

// Guards against an agent that goes on serving an engine whose content was
// changed by someone else, or that never repairs it.
func TestContentChangedUnderneath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := serveV1(t)
		f.disturbed = true
		f.change("v2")
		actions := f.actions()
		actions["intrude"] = func(t *rapid.T) {
			m := f.draw(t)
			if m.intruded {
				// Two intrusions into the same load are blamed on the version.
				return
			}
			m.intruded = true
			version := fmt.Sprintf("v%d", rapid.IntRange(0, 2).Draw(t, "version"))
			m.engine.Version, m.engine.Digest = version, manifestOf(version).Digest
			if rapid.Bool().Draw(t, "numbered") {
				m.engine.Fencing += 1 << numberShift
			}
		}
		actions["notice"] = func(t *rapid.T) { f.draw(t).step(t, ContentChanged{}) }
		t.Repeat(actions)
		f.settle(t)
		f.expect(t, "v2")
	})
}
