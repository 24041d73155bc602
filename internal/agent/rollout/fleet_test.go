package rollout

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

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
	// broken versions fail to load on every engine, and corrupt ones are
	// loaded with another digest.
	broken, corrupt map[string]bool
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
	open     bool
	weights  mulberryspool.Loaded
	inFlight int
	intruded bool
	// swapping is the revision of the row for which the agent stopped
	// serving. A load that was superseded ends outside of the new order.
	swapping mulberryspool.Revision
	pending  []func(*rapid.T)
	// beats holds a captured heartbeat of each peer that has not arrived.
	beats map[mulberryspool.InstanceID]mulberryspool.Heartbeat
	tried map[string]bool
}

func newFleet(size, unavailable int, ignoresFencing bool) *fleet {
	f := &fleet{broken: make(map[string]bool), corrupt: make(map[string]bool)}
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
	m.open, m.inFlight, m.swapping = false, 0, 0
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
		read, early := m.engine, rapid.Bool().Draw(t, "early")
		m.later(func(t *rapid.T) {
			if !early {
				read = m.engine
			}
			m.step(t, EngineRead{Token: e.Token, Loaded: read})
			if m.open && !sameContent(read, m.weights) && m.rollout.token == e.Token {
				t.Fatalf("%s goes on serving %v after it read %v", m.id, m.weights, read)
			}
		})
	case SetServing:
		m.setServing(t, e)
	}
}

func (m *member) setServing(t *rapid.T, e SetServing) {
	if e.On && !m.fleet.disturbed && e.Weights != m.engine {
		t.Fatalf("%s serves %v, its engine holds %v", m.id, e.Weights, m.engine)
	}
	if !e.On && !e.Changed && m.open && m.fleet.agree() {
		m.swapping = m.rollout.rowRevision
	}
	if e.On {
		m.swapping = 0
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
	if m.swapping != 0 {
		m.swapping = m.rollout.rowRevision
	}
	m.later(func(*rapid.T) {
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
	if f.corrupt[e.Goal.Version] {
		m.engine.Digest = "another digest"
	}
	return ""
}

// agree reports whether all agents have the newest revision and see the same members.
func (f *fleet) agree() bool {
	var first *Rollout
	for _, m := range f.agents {
		if m.dead || m.rollout == nil {
			continue
		}
		if first == nil {
			first = m.rollout
		}
		if m.rollout.revision != f.revision || !slices.Equal(m.rollout.present, first.present) {
			return false
		}
	}
	return true
}

// check compares the swaps that began while all views agreed with the bound.
func (f *fleet) check(t *rapid.T) {
	swapping := 0
	for _, m := range f.agents {
		if !m.dead && m.swapping != 0 && m.swapping == m.rollout.rowRevision {
			swapping++
		}
	}
	if bound := max(f.pool.MaxUnavailable, 1); swapping > bound && !f.disturbed {
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
			m.round(t)
		}
	}
}

// round lets an agent do all that it can do now.
func (m *member) round(t *rapid.T) {
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

func (m *member) finishRequests(t *rapid.T) {
	if m.inFlight > 0 {
		m.inFlight = 0
		m.step(t, InFlight{})
	}
}
