package rollout

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// singleAgent is one agent whose effects complete immediately.
type singleAgent struct {
	r       *Rollout
	now     time.Duration
	engine  mulberryspool.Loaded
	serving bool
	loads   []string
	broken  string
	// capacity is the number of contents that fit into staging; 0 is no limit.
	capacity int
	staged   map[mulberryspool.Digest]bool
	revision mulberryspool.Revision
	// nextResult, if set, is the result of the next order, which then does not
	// take effect.
	nextResult *LoadEnded
	// onLoad is called when an order arrives, before it takes effect.
	onLoad func()
}

// v2Order is the pool's order for v2.
var v2Order = RendezvousOrder("v2", []mulberryspool.InstanceID{"a", "b", "c"})

// newSingleAgent starts the last agent of v2Order with an engine that has the
// version loaded; an empty version stands for none.
func newSingleAgent(version string) *singleAgent {
	return newSingleAgentAt(version, v2Order, 2)
}

func newSingleAgentAt(version string, members []mulberryspool.InstanceID, rank int) *singleAgent {
	s := &singleAgent{r: New(Settings{Instance: members[rank], Pool: testPool}), staged: make(map[mulberryspool.Digest]bool)}
	if version != "" {
		s.engine = mulberryspool.Loaded{Version: version, Digest: testManifest(version).Digest}
	}
	s.apply(Members{Instances: members})
	s.apply(Tick{})
	return s
}

func (s *singleAgent) apply(event Event) {
	for _, effect := range s.r.Step(s.now, event) {
		switch e := effect.(type) {
		case ReadManifest:
			s.apply(ManifestRead{Version: e.Version, Manifest: testManifest(e.Version)})
		case Stage:
			if s.capacity > 0 && len(s.staged) >= s.capacity && !s.staged[e.Manifest.Digest] {
				s.apply(Staged{Digest: e.Manifest.Digest, Error: "staging limit reached"})
				break
			}
			s.staged[e.Manifest.Digest] = true
			s.apply(Staged{Digest: e.Manifest.Digest})
		case Release:
			delete(s.staged, e.Digest)
		case WriteLease:
			s.apply(LeaseWritten{Number: 1, ValidUntil: time.Hour})
		case ReadBack:
			s.apply(EngineRead{Token: e.Token, Loaded: s.engine})
		case SetServing:
			s.serving = e.On
		case Load:
			s.loads = append(s.loads, e.Goal.Version)
			if s.onLoad != nil {
				s.onLoad()
			}
			if s.nextResult != nil {
				ended := *s.nextResult
				s.nextResult, ended.Token = nil, e.Token
				s.apply(ended)
				break
			}
			failure := "out of memory"
			if e.Goal.Version != s.broken {
				failure = ""
				s.engine = mulberryspool.Loaded{Version: e.Goal.Version, Digest: e.Content.Digest, Adapter: e.Goal.Adapter, Fencing: e.Fencing}
			}
			s.apply(LoadEnded{Token: e.Token, Error: failure})
		}
	}
}

func (s *singleAgent) setTarget(version string, unavailable int) {
	s.revision++
	change := version + " at " + s.now.String()
	pool := mulberryspool.Pool{Name: testPool, Version: version, MaxUnavailable: unavailable}
	s.apply(TablesChanged{Revision: s.revision, Pool: pool, Exists: true, Change: change})
}

func (s *singleAgent) receiveHeartbeat(instance mulberryspool.InstanceID, status mulberryspool.Heartbeat) {
	status.Target = "v2"
	s.apply(PeerHeartbeat{Instance: instance, Status: status})
}

func settledHeartbeat(revision mulberryspool.Revision) mulberryspool.Heartbeat {
	return mulberryspool.Heartbeat{Phase: mulberryspool.PhaseServing, Settled: true, Served: testManifest("v2").Digest, ServedVersion: "v2", Revision: revision}
}

func (s *singleAgent) expect(t *testing.T, when string, serving bool, version string, loadCount int) {
	t.Helper()
	if s.serving != serving || s.engine.Version != version || len(s.loads) != loadCount {
		t.Fatalf("%s: serving %v, engine %q, loads %v; want %v, %q, %d loads: view %+v", when, s.serving, s.engine.Version, s.loads, serving, version, loadCount, s.r.View())
	}
}

// Guards against an agent that is restarted in the middle of a rollout and then
// does not serve the old version, or swaps before its turn.
func TestRestartWaitsForTurn(t *testing.T) {
	s := newSingleAgent("v1")
	s.setTarget("v2", 2)
	s.expect(t, "after the restart", true, "v1", 0)
	s.receiveHeartbeat(v2Order[0], settledHeartbeat(1))
	s.expect(t, "while the other chain has not settled", true, "v1", 0)
	s.receiveHeartbeat(v2Order[1], mulberryspool.Heartbeat{Phase: mulberryspool.PhaseStarting, Revision: 1})
	s.expect(t, "while the other chain's agent is starting", true, "v1", 0)
	s.receiveHeartbeat(v2Order[1], settledHeartbeat(1))
	s.expect(t, "in its turn", true, "v2", 1)
}

// Guards against an agent that swaps while its predecessor still does, because
// the death of a settled agent moved it to another chain in which it is its turn.
func TestPeerDeathDoesNotSkipPredecessor(t *testing.T) {
	five := RendezvousOrder("v2", []mulberryspool.InstanceID{"a", "b", "c", "d", "e"})
	s := newSingleAgentAt("v1", five, 3)
	s.setTarget("v1", 2)
	s.setTarget("v2", 2)
	s.receiveHeartbeat(five[0], settledHeartbeat(2))
	s.receiveHeartbeat(five[1], mulberryspool.Heartbeat{Phase: mulberryspool.PhaseLoading, Revision: 2})
	s.apply(Members{Instances: []mulberryspool.InstanceID{five[0], five[1], five[3], five[4]}})
	s.expect(t, "while its predecessor is loading", true, "v1", 0)
	s.receiveHeartbeat(five[1], settledHeartbeat(1))
	s.expect(t, "after its predecessor settled at an earlier revision", true, "v1", 0)
	unsettled := settledHeartbeat(2)
	unsettled.Settled = false
	s.receiveHeartbeat(five[1], unsettled)
	s.expect(t, "while an agent before its predecessor has not settled", true, "v1", 0)
	s.receiveHeartbeat(five[1], settledHeartbeat(2))
	s.expect(t, "in its turn", true, "v2", 1)
}

// Guards against an agent that swaps to a version that failed at a peer which
// has died since, and against a failure that still blocks the version after an
// operator has ordered it again.
func TestFailureAtPeerStopsRollout(t *testing.T) {
	s := newSingleAgent("v1")
	s.setTarget("v1", 1)
	s.setTarget("v2", 1)
	for _, instance := range v2Order[:2] {
		s.receiveHeartbeat(instance, mulberryspool.Heartbeat{Phase: mulberryspool.PhaseFailed, FailedVersion: "v2", Revision: 2})
		s.apply(PeerDead{Instance: instance})
	}
	s.expect(t, "after the failure at a peer", true, "v1", 0)
	s.now += time.Second
	s.setTarget("v2", 1)
	s.expect(t, "after a new change to the same version", true, "v2", 1)

	s = newSingleAgent("v1")
	s.setTarget("v1", 1)
	s.setTarget("v2", 1)
	s.receiveHeartbeat(v2Order[0], mulberryspool.Heartbeat{FailedVersion: "v2", Revision: 1})
	s.apply(PeerDead{Instance: v2Order[0]})
	s.apply(PeerDead{Instance: v2Order[1]})
	s.expect(t, "after a failure at an earlier revision", true, "v2", 1)
}

// Guards against a failed version that is never retried, although an operator
// ordered it again or there is no other version to serve.
func TestFailedLoadIsTriedAgain(t *testing.T) {
	s := newSingleAgent("v1")
	s.setTarget("v1", 1)
	s.apply(Members{Instances: v2Order[2:]})
	s.broken = "v2"
	s.setTarget("v2", 1)
	s.expect(t, "after the failed load", true, "v1", 1)
	s.broken = ""
	s.now += time.Second
	s.setTarget("v2", 1)
	s.expect(t, "after the second change", true, "v2", 2)

	s = newSingleAgent("")
	s.broken = "v2"
	s.setTarget("v2", 1)
	s.broken = ""
	s.now += DefaultRetryInterval
	s.apply(Tick{})
	s.expect(t, "after a failed load without a previous version", true, "v2", 2)
}

// Guards against a version that counts as failed because an order was not sent,
// was lost or has an uncertain outcome, or because the content was no longer
// staged.
func TestUnrelatedLoadFailureIsRetried(t *testing.T) {
	for _, ended := range []LoadEnded{{NotSent: true}, {Error: "refused", NotReceived: true}, {Error: "reset", Uncertain: true}, {Error: "gone", ContentMissing: true}} {
		s := newSingleAgent("v1")
		s.setTarget("v1", 1)
		s.apply(Members{Instances: v2Order[2:]})
		s.nextResult = &ended
		s.setTarget("v2", 1)
		s.now += DefaultReadBackInterval
		s.apply(Tick{})
		s.expect(t, "after the second order", true, "v2", 2)
	}
}

// Guards against a new version that never fits into staging beside a loaded one
// that is kept only for peers, and against the transfers of a base content and
// its adapter that cancel each other.
func TestStagingReleasesUnneededContent(t *testing.T) {
	s := newSingleAgent("")
	s.setTarget("v1", 1)
	s.apply(Members{Instances: v2Order[2:]})
	s.capacity = 1
	s.setTarget("v2", 1)
	s.expect(t, "with capacity for one version", true, "v2", 2)
	s.capacity = 2
	s.apply(TablesChanged{Revision: 9, Pool: mulberryspool.Pool{Name: testPool, Version: "v2", Adapter: "a1"}, Exists: true})
	s.expect(t, "with an adapter", true, "v2", 3)
	if s.engine.Adapter != "a1" {
		t.Fatalf("engine has %+v loaded, want adapter a1", s.engine)
	}
}

// Guards against an agent that does not serve again after the change that it
// drained or loaded for was superseded.
func TestSupersededSwapResumesServing(t *testing.T) {
	s := newSingleAgent("v1")
	s.setTarget("v1", 1)
	s.apply(Members{Instances: v2Order[2:]})
	s.apply(InFlight{Count: 1})
	s.setTarget("v2", 1)
	s.expect(t, "while draining", false, "v1", 0)
	s.setTarget("v1", 1)
	s.expect(t, "after the change was superseded while draining", true, "v1", 0)

	s.apply(Members{Instances: v2Order})
	s.apply(PeerDead{Instance: v2Order[0]})
	s.apply(PeerDead{Instance: v2Order[1]})
	s.onLoad = func() {
		s.onLoad = nil
		s.receiveHeartbeat(v2Order[0], mulberryspool.Heartbeat{Phase: mulberryspool.PhaseServing, Revision: 1})
		s.receiveHeartbeat(v2Order[1], mulberryspool.Heartbeat{Phase: mulberryspool.PhaseServing, Revision: 1})
		s.setTarget("v3", 1)
	}
	s.setTarget("v2", 1)
	s.apply(InFlight{})
	s.expect(t, "after the change was superseded while loading", true, "v2", 1)
}

// Guards against two incarnations that repeatedly take the lease from each other:
// the superseded one must stop serving and send no more orders.
func TestSupersededIncarnationSendsNoOrders(t *testing.T) {
	s := newSingleAgent("v1")
	s.setTarget("v1", 1)
	s.apply(LeaseFailed{Superseded: true})
	s.setTarget("v2", 1)
	s.now += time.Hour
	s.apply(Tick{})
	s.expect(t, "after another incarnation took the lease", false, "v1", 0)
}
