package rollout

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// solo is one agent whose adapters answer at once.
type solo struct {
	r      *Rollout
	now    time.Duration
	engine mulberryspool.Loaded
	open   bool
	loads  []string
	broken string
	// room is how many contents fit; 0 is no limit.
	room     int
	held     map[mulberryspool.Digest]bool
	revision mulberryspool.Revision
	// ended is how the next order ends without taking effect.
	ended *LoadEnded
	// during is called when an order arrives, before it takes effect.
	during func()
}

// order is the pool's order for v2, whichever agent is looked at.
var order = Order("v2", []mulberryspool.InstanceID{"a", "b", "c"})

// newSolo starts the last agent of the order beside an engine with the version.
func newSolo(version string) *solo {
	return newSoloAt(version, order, 2)
}

func newSoloAt(version string, members []mulberryspool.InstanceID, rank int) *solo {
	s := &solo{r: New(Settings{Instance: members[rank], Pool: testPool}), held: make(map[mulberryspool.Digest]bool)}
	if version != "" {
		s.engine = mulberryspool.Loaded{Version: version, Digest: manifestOf(version).Digest}
	}
	s.do(Members{Instances: members})
	s.do(Tick{})
	return s
}

func (s *solo) do(event Event) {
	for _, effect := range s.r.Step(s.now, event) {
		switch e := effect.(type) {
		case ReadManifest:
			s.do(ManifestRead{Version: e.Version, Manifest: manifestOf(e.Version)})
		case Stage:
			if s.room > 0 && len(s.held) >= s.room && !s.held[e.Manifest.Digest] {
				s.do(Staged{Digest: e.Manifest.Digest, Error: "no room"})
				break
			}
			s.held[e.Manifest.Digest] = true
			s.do(Staged{Digest: e.Manifest.Digest})
		case Release:
			delete(s.held, e.Digest)
		case WriteLease:
			s.do(LeaseWritten{Number: 1, ValidUntil: time.Hour})
		case ReadBack:
			s.do(EngineRead{Token: e.Token, Loaded: s.engine})
		case SetServing:
			s.open = e.On
		case Load:
			s.loads = append(s.loads, e.Goal.Version)
			if s.during != nil {
				s.during()
			}
			if s.ended != nil {
				ended := *s.ended
				s.ended, ended.Token = nil, e.Token
				s.do(ended)
				break
			}
			failure := "out of memory"
			if e.Goal.Version != s.broken {
				failure = ""
				s.engine = mulberryspool.Loaded{Version: e.Goal.Version, Digest: e.Content.Digest, Adapter: e.Goal.Adapter, Fencing: e.Fencing}
			}
			s.do(LoadEnded{Token: e.Token, Error: failure})
		}
	}
}

func (s *solo) target(version string, unavailable int) {
	s.revision++
	change := version + " at " + s.now.String()
	pool := mulberryspool.Pool{Name: testPool, Version: version, MaxUnavailable: unavailable}
	s.do(TablesChanged{Revision: s.revision, Pool: pool, Exists: true, Change: change})
}

func (s *solo) hear(instance mulberryspool.InstanceID, status mulberryspool.Heartbeat) {
	status.Target = "v2"
	s.do(PeerHeard{Instance: instance, Status: status})
}

func settledAt(revision mulberryspool.Revision) mulberryspool.Heartbeat {
	return mulberryspool.Heartbeat{Phase: mulberryspool.PhaseServing, Settled: true, Served: manifestOf("v2").Digest, ServedVersion: "v2", Revision: revision}
}

func (s *solo) expect(t *testing.T, what string, open bool, version string, loads int) {
	t.Helper()
	if s.open != open || s.engine.Version != version || len(s.loads) != loads {
		t.Fatalf("%s: open %v, engine %q, loads %v; want %v, %q, %d loads: %+v", what, s.open, s.engine.Version, s.loads, open, version, loads, s.r.View())
	}
}

// Guards against an agent that stops serving the old version because it was
// restarted in the middle of a rollout, or that swaps before its turn.
func TestRestartWaitsForTurn(t *testing.T) {
	s := newSolo("v1")
	s.target("v2", 2)
	s.expect(t, "after the restart", true, "v1", 0)
	s.hear(order[0], settledAt(1))
	s.expect(t, "while the other chain is behind", true, "v1", 0)
	s.hear(order[1], mulberryspool.Heartbeat{Phase: mulberryspool.PhaseStarting, Revision: 1})
	s.expect(t, "while the other chain's agent may yet serve", true, "v1", 0)
	s.hear(order[1], settledAt(1))
	s.expect(t, "in its turn", true, "v2", 1)
}

// Guards against an agent that moves to another chain, in which it would be its
// turn, when a settled agent dies while its own predecessor still swaps.
func TestDeathElsewhereKeepsTurn(t *testing.T) {
	five := Order("v2", []mulberryspool.InstanceID{"a", "b", "c", "d", "e"})
	s := newSoloAt("v1", five, 3)
	s.target("v1", 2)
	s.target("v2", 2)
	s.hear(five[0], settledAt(2))
	s.hear(five[1], mulberryspool.Heartbeat{Phase: mulberryspool.PhaseLoading, Revision: 2})
	s.do(Members{Instances: []mulberryspool.InstanceID{five[0], five[1], five[3], five[4]}})
	s.expect(t, "while its predecessor swaps", true, "v1", 0)
	s.hear(five[1], settledAt(1))
	s.expect(t, "while its predecessor spoke of an earlier change", true, "v1", 0)
	unsettled := settledAt(2)
	unsettled.Settled = false
	s.hear(five[1], unsettled)
	s.expect(t, "while one before its predecessor has yet to swap", true, "v1", 0)
	s.hear(five[1], settledAt(2))
	s.expect(t, "in its turn", true, "v2", 1)
}

// Guards against an agent that swaps to a version which failed at a peer that
// has died since, and against a failure that outlives the next try.
func TestFailureAtPeer(t *testing.T) {
	s := newSolo("v1")
	s.target("v1", 1)
	s.target("v2", 1)
	for _, instance := range order[:2] {
		s.hear(instance, mulberryspool.Heartbeat{Phase: mulberryspool.PhaseFailed, FailedVersion: "v2", Revision: 2})
		s.do(PeerDead{Instance: instance})
	}
	s.expect(t, "after the failure at a peer", true, "v1", 0)
	s.now += time.Second
	s.target("v2", 1)
	s.expect(t, "after a second try of the same version", true, "v2", 1)

	s = newSolo("v1")
	s.target("v1", 1)
	s.target("v2", 1)
	s.hear(order[0], mulberryspool.Heartbeat{FailedVersion: "v2", Revision: 1})
	s.do(PeerDead{Instance: order[0]})
	s.do(PeerDead{Instance: order[1]})
	s.expect(t, "after a failure of an earlier revision", true, "v2", 1)
}

// Guards against a failed version that is never tried again, although an
// operator asked for it, or although there is nothing else to serve.
func TestFailedLoadIsTriedAgain(t *testing.T) {
	s := newSolo("v1")
	s.target("v1", 1)
	s.do(Members{Instances: order[2:]})
	s.broken = "v2"
	s.target("v2", 1)
	s.expect(t, "after the failed load", true, "v1", 1)
	s.broken = ""
	s.now += time.Second
	s.target("v2", 1)
	s.expect(t, "after the second change", true, "v2", 2)

	s = newSolo("")
	s.broken = "v2"
	s.target("v2", 1)
	s.broken = ""
	s.now += DefaultRetryInterval
	s.do(Tick{})
	s.expect(t, "after a failed load with nothing to return to", true, "v2", 2)
}

// Guards against a version that is blamed for an order which was lost on its
// way, or for content that was no longer staged.
func TestLostOrderIsRepeated(t *testing.T) {
	for _, ended := range []LoadEnded{{NotSent: true}, {Error: "refused", Unreached: true}, {Error: "reset", Uncertain: true}, {Error: "gone", Unstaged: true}} {
		s := newSolo("v1")
		s.target("v1", 1)
		s.do(Members{Instances: order[2:]})
		s.ended = &ended
		s.target("v2", 1)
		s.now += DefaultReadBackInterval
		s.do(Tick{})
		s.expect(t, "after the second order", true, "v2", 2)
	}
}

// Guards against a new version that never fits beside a loaded one that is
// only kept for peers, and against transfers that end each other.
func TestStagingMakesRoom(t *testing.T) {
	s := newSolo("")
	s.target("v1", 1)
	s.do(Members{Instances: order[2:]})
	s.room = 1
	s.target("v2", 1)
	s.expect(t, "with room for one version", true, "v2", 2)
	s.room = 2
	s.do(TablesChanged{Revision: 9, Pool: mulberryspool.Pool{Name: testPool, Version: "v2", Adapter: "a1"}, Exists: true})
	s.expect(t, "with an adapter", true, "v2", 3)
	if s.engine.Adapter != "a1" {
		t.Fatalf("the engine serves %+v without the adapter", s.engine)
	}
}

// Guards against an agent that stays out of service for a superseded change.
func TestSupersededSwapServesAgain(t *testing.T) {
	s := newSolo("v1")
	s.target("v1", 1)
	s.do(Members{Instances: order[2:]})
	s.do(InFlight{Count: 1})
	s.target("v2", 1)
	s.expect(t, "while draining", false, "v1", 0)
	s.target("v1", 1)
	s.expect(t, "when the change was superseded while draining", true, "v1", 0)

	s.do(Members{Instances: order})
	s.do(PeerDead{Instance: order[0]})
	s.do(PeerDead{Instance: order[1]})
	s.during = func() {
		s.during = nil
		s.hear(order[0], mulberryspool.Heartbeat{Phase: mulberryspool.PhaseServing, Revision: 1})
		s.hear(order[1], mulberryspool.Heartbeat{Phase: mulberryspool.PhaseServing, Revision: 1})
		s.target("v3", 1)
	}
	s.target("v2", 1)
	s.do(InFlight{})
	s.expect(t, "when the change was superseded while loading", true, "v2", 1)
}

// Guards against two incarnations that take the lease from each other in turn.
func TestSupersededIncarnationStops(t *testing.T) {
	s := newSolo("v1")
	s.target("v1", 1)
	s.do(LeaseFailed{Superseded: true})
	s.target("v2", 1)
	s.now += time.Hour
	s.do(Tick{})
	s.expect(t, "after another incarnation took the lease", false, "v1", 0)
}
