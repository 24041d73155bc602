package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/follow"
)

// deafStore never answers.
type deafStore struct{}

func (deafStore) List(ctx context.Context, _ string) ([]mulberryspool.Object, mulberryspool.Revision, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (deafStore) Changes(ctx context.Context, _ string, _ mulberryspool.Revision, _ time.Duration) ([]mulberryspool.ObjectChange, mulberryspool.Revision, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (deafStore) Put(ctx context.Context, _, _ string, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

func newFleet(clock clockwork.Clock) *Fleet {
	return &Fleet{
		Store: deafStore{}, Clock: clock, Logger: zerolog.Nop(), FoundAge: 5 * time.Second,
		IngressChanged: func(mulberryspool.Ingress) {},
		ServersChanged: func(Servers) {},
		NamedChanged:   func(string, int64, time.Time) {},
	}
}

func servers(leaving bool, ids ...string) map[string]mulberryspool.BackendServer {
	items := make(map[string]mulberryspool.BackendServer)
	for _, id := range ids {
		items[id] = mulberryspool.BackendServer{Instance: mulberryspool.InstanceID(id), Leaving: leaving}
	}
	return items
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFleet(clockwork.NewFakeClock())
	for _, version := range []int64{3, 5, 4} {
		f.Merge(State{Ingress: &mulberryspool.Ingress{Version: version}}, "peer")
	}
	if got := f.State().Ingress.Version; got != 5 {
		t.Errorf("version in force is %d, want 5", got)
	}
}

// An entry that the store turned away keeps servers that have disappeared for
// a while. Entries that saw them leave must not take them over again.
func TestSupposedServersAreNotPassedOn(t *testing.T) {
	knowing, supposing := newFleet(clockwork.NewFakeClock()), newFleet(clockwork.NewFakeClock())
	for _, f := range []*Fleet{knowing, supposing} {
		f.setServers(servers(false, "a", "b"), follow.Difference{At: 10})
	}
	knowing.setServers(servers(false, "a"), follow.Difference{At: 20})
	supposing.setServers(servers(false, "a", "b"), follow.Difference{At: 30, Uncertain: true})
	if knowing.Behind(supposing.Marks()) {
		t.Error("what is only supposed counts as newer")
	}
	if !supposing.Behind(knowing.Marks()) {
		t.Error("what a peer knows does not count as newer than what is supposed")
	}
	knowing.Merge(supposing.State(), "supposing")
	if n := len(knowing.State().Servers); n != 1 {
		t.Errorf("%d servers in use, want the one that is left", n)
	}
	supposing.Merge(knowing.State(), "knowing")
	if n := len(supposing.State().Servers); n != 1 {
		t.Errorf("%d servers in use after hearing the peer, want 1", n)
	}
}

func TestEqualListsAtOtherRevisionsAreNotRead(t *testing.T) {
	a, b := newFleet(clockwork.NewFakeClock()), newFleet(clockwork.NewFakeClock())
	a.setServers(servers(false, "x"), follow.Difference{At: 10})
	b.setServers(servers(false, "x"), follow.Difference{At: 12})
	if a.Behind(b.Marks()) {
		t.Error("a list with the same servers counts as newer")
	}
	b.setServers(servers(true, "x"), follow.Difference{At: 14})
	if !a.Behind(b.Marks()) {
		t.Error("a server that is leaving does not count as news")
	}
}

// An entry that restarts in the middle of a change of versions must not count
// the bound from its start.
func TestAgeOfNamedVersionIsLearnedFromPeers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	old, restarted := newFleet(clock), newFleet(clock)
	old.setVersions(map[string]mulberryspool.NamedVersion{"m": {Model: "m", Version: 2}}, follow.Difference{})
	clock.Advance(3 * time.Second)
	restarted.setVersions(map[string]mulberryspool.NamedVersion{"m": {Model: "m", Version: 2}}, follow.Difference{Listed: true})
	if _, at := restarted.Named("m"); clock.Since(at) != 5*time.Second {
		t.Errorf("a version that was found there counts as %v old, want the assumed 5s", clock.Since(at))
	}
	restarted.MergeNamed(old.Marks().Named, "old")
	if _, at := restarted.Named("m"); clock.Since(at) != 3*time.Second {
		t.Errorf("after hearing the peer it counts as %v old, want 3s", clock.Since(at))
	}
	// What was only found does not correct what is known.
	old.MergeNamed(newFleetWithFound(clock).Marks().Named, "third")
	if _, at := old.Named("m"); clock.Since(at) != 3*time.Second {
		t.Errorf("the age was changed to %v by a peer that does not know it", clock.Since(at))
	}
}

func newFleetWithFound(clock clockwork.Clock) *Fleet {
	f := newFleet(clock)
	f.setVersions(map[string]mulberryspool.NamedVersion{"m": {Model: "m", Version: 2}}, follow.Difference{Listed: true})
	return f
}

// Each version keeps its own time, because the bound of the first newer one counts.
func TestVersionsKeepTheirTimes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f, peer := newFleet(clock), newFleet(clock)
	for version := range int64(6) {
		f.setVersions(map[string]mulberryspool.NamedVersion{"m": {Model: "m", Version: version + 1}}, follow.Difference{})
		clock.Advance(time.Second)
	}
	peer.MergeNamed(f.Marks().Named, "f")
	marks := peer.Marks().Named["m"]
	if len(marks) != keptVersions {
		t.Fatalf("%d versions are remembered, want %d", len(marks), keptVersions)
	}
	for i, m := range marks {
		if want := int64(3 + i); m.Version != want || m.AgeMillis != (7-want)*1000 {
			t.Errorf("mark %d is version %d of %d ms, want version %d of %d ms", i, m.Version, m.AgeMillis, want, (7-want)*1000)
		}
	}
}
