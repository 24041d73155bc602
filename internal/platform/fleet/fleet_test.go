package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
)

// unresponsiveStore never answers a call.
type unresponsiveStore struct{}

func (unresponsiveStore) List(ctx context.Context, _ string) ([]mulberryspool.Object, mulberryspool.Position, error) {
	<-ctx.Done()
	return nil, mulberryspool.Position{}, ctx.Err()
}

func (unresponsiveStore) Changes(ctx context.Context, _ string, _ mulberryspool.Revision, _ time.Duration) (mulberryspool.ChangeList, error) {
	<-ctx.Done()
	return mulberryspool.ChangeList{}, ctx.Err()
}

func (unresponsiveStore) Put(ctx context.Context, _, _ string, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

func newFleet(clock clockwork.Clock) *Fleet {
	return &Fleet{
		Store: unresponsiveStore{}, Clock: clock, Logger: zerolog.Nop(), AssumedAge: 5 * time.Second,
		IngressChanged:      func(mulberryspool.Ingress) {},
		ServersChanged:      func(Servers) {},
		NamedVersionChanged: func(string, int64, time.Time) {},
	}
}

// namedVersions returns the objects of a store in which one version of model m is
// named.
func namedVersions(version int64) map[string]mulberryspool.NamedVersion {
	return map[string]mulberryspool.NamedVersion{"m": {Model: "m", Version: version, Revision: revisionOf(version)}}
}

// revisionOf returns the revision at which a version is named.
func revisionOf(version int64) mulberryspool.Revision {
	return mulberryspool.Revision(10 * version)
}

// list delivers a named version to a process that the store did not answer before.
func list(f *Fleet, version int64) {
	f.setVersions(namedVersions(version), listwatch.Delta{Updated: []string{"m"}})
}

// watch delivers a named version to a process that the store answered just before.
func watch(f *Fleet, version int64) {
	f.recordAnswer(f.Clock.Now(), mulberryspool.Position{Revision: revisionOf(version) - 1}, false)
	list(f, version)
}

// newServers returns servers that were last changed at a revision.
func newServers(changedAt mulberryspool.Revision, leaving bool, ids ...string) map[string]mulberryspool.BackendServer {
	items := make(map[string]mulberryspool.BackendServer)
	for _, id := range ids {
		items[id] = mulberryspool.BackendServer{Instance: mulberryspool.InstanceID(id), Born: 1, Leaving: leaving, Revision: changedAt}
	}
	return items
}

// Guards against an old configuration from a peer that replaces a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFleet(clockwork.NewFakeClock())
	for _, version := range []int64{3, 5, 4} {
		f.Merge(State{Ingress: &mulberryspool.Ingress{Version: version}}, "peer")
	}
	if got := f.State().Ingress.Version; got != 5 {
		t.Errorf("version in force is %d, want 5", got)
	}
}

// Guards against removed servers that come back through a peer. An entry whose
// calls the store rejected keeps them for a grace period, and entries that saw
// them leave must not adopt its list.
func TestUncertainServersAreNotMerged(t *testing.T) {
	exact, uncertain := newFleet(clockwork.NewFakeClock()), newFleet(clockwork.NewFakeClock())
	for _, f := range []*Fleet{exact, uncertain} {
		f.setServers(newServers(5, false, "a", "b"), listwatch.Delta{At: mulberryspool.Position{Revision: 10}})
	}
	exact.setServers(newServers(5, false, "a"), listwatch.Delta{At: mulberryspool.Position{Revision: 20}})
	uncertain.setServers(newServers(5, false, "a", "b"), listwatch.Delta{At: mulberryspool.Position{Revision: 30}, Uncertain: true})
	if exact.IsBehind(uncertain.Summary()) {
		t.Error("a list with servers in their grace period counts as newer")
	}
	if !uncertain.IsBehind(exact.Summary()) {
		t.Error("a peer's exact list does not count as newer than one with servers in their grace period")
	}
	exact.Merge(uncertain.State(), "uncertain")
	if n := len(exact.State().Servers); n != 1 {
		t.Errorf("%d servers in use, want only the one that did not leave", n)
	}
	uncertain.Merge(exact.State(), "exact")
	if n := len(uncertain.State().Servers); n != 1 {
		t.Errorf("%d servers in use after merging the peer's list, want 1", n)
	}
}

// Guards against fetching a peer's state that differs in its revision only.
func TestEqualServersAtOtherRevisionAreNotNewer(t *testing.T) {
	a, b := newFleet(clockwork.NewFakeClock()), newFleet(clockwork.NewFakeClock())
	a.setServers(newServers(5, false, "x"), listwatch.Delta{At: mulberryspool.Position{Revision: 10}})
	b.setServers(newServers(5, false, "x"), listwatch.Delta{At: mulberryspool.Position{Revision: 12}})
	if a.IsBehind(b.Summary()) {
		t.Error("a list with the same servers counts as newer")
	}
	b.setServers(newServers(14, true, "x"), listwatch.Delta{At: mulberryspool.Position{Revision: 14}})
	if !a.IsBehind(b.Summary()) {
		t.Error("a list in which a server is leaving does not count as newer")
	}
}

// Guards against an entry that restarts during a change of versions and measures
// the age of the named version from its own start.
func TestAgeOfNamedVersionIsLearnedFromPeers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	old, restarted := newFleet(clock), newFleet(clock)
	watch(old, 2)
	clock.Advance(3 * time.Second)
	list(restarted, 2)
	if _, at := restarted.NamedVersion("m"); clock.Since(at) != 5*time.Second {
		t.Errorf("a version that was already named counts as %v old, want the assumed 5s", clock.Since(at))
	}
	restarted.MergeNamedVersions(old.Summary(), "old", 1)
	if _, at := restarted.NamedVersion("m"); clock.Since(at) != 3*time.Second {
		t.Errorf("after merging the peer's versions it counts as %v old, want 3s", clock.Since(at))
	}
	// An assumed age does not replace a known one.
	old.MergeNamedVersions(newFleetWithAssumedAge(clock).Summary(), "third", 1)
	if _, at := old.NamedVersion("m"); clock.Since(at) != 3*time.Second {
		t.Errorf("a peer that does not know the age changed it to %v", clock.Since(at))
	}
}

func newFleetWithAssumedAge(clock clockwork.Clock) *Fleet {
	f := newFleet(clock)
	list(f, 2)
	return f
}

// Guards against a newer named version that changes the times of the older ones:
// the bound for replacing an old version counts from the first newer one.
func TestNamedVersionsKeepTheirTimes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f, peer := newFleet(clock), newFleet(clock)
	// The bound of version 3 has just ended, so that versions 1 and 2 are irrelevant.
	f.VersionBound, peer.VersionBound = 4*time.Second, 4*time.Second
	for version := range int64(6) {
		watch(f, version+1)
		clock.Advance(time.Second)
	}
	peer.MergeNamedVersions(f.Summary(), "f", 1)
	ages := peer.Summary().Named["m"]
	if len(ages) != 4 {
		t.Fatalf("%d versions are kept, want 4", len(ages))
	}
	for i, v := range ages {
		if want := int64(3 + i); v.Version != want || v.AgeMillis != (7-want)*1000 {
			t.Errorf("named version %d is %d with an age of %d ms, want %d with %d ms", i, v.Version, v.AgeMillis, want, (7-want)*1000)
		}
	}
}

// Guards against a process that learns late of a named version, for example after
// it stood still, and measures the version's age from that moment although its
// peers know better.
func TestVersionLearnedLateKeepsItsAge(t *testing.T) {
	const lateness = 6 * time.Second
	for name, learnLate := range map[string]func(late *Fleet, stale Summary){
		"from the store's watch": func(late *Fleet, _ Summary) {
			list(late, 2)
		},
		"from a heartbeat that waited in the socket": func(late *Fleet, stale Summary) {
			late.MergeNamedVersions(stale, "peer", 1)
		},
	} {
		clock := clockwork.NewFakeClock()
		peer, late := newFleet(clock), newFleet(clock)
		var reported time.Time
		late.NamedVersionChanged = func(_ string, _ int64, at time.Time) { reported = at }
		late.recordAnswer(clock.Now(), mulberryspool.Position{Revision: revisionOf(2) - 1}, false)
		watch(peer, 2)
		stale := peer.Summary()
		clock.Advance(lateness)
		learnLate(late, stale)
		late.MergeNamedVersions(peer.Summary(), "peer", 1)
		if _, at := late.NamedVersion("m"); clock.Since(at) != lateness || !reported.Equal(at) {
			t.Errorf("%s: the version counts as %v old and was reported as %v old, want %v", name, clock.Since(at), clock.Since(reported), lateness)
		}
		// The late process does not make its peer's age smaller.
		peer.MergeNamedVersions(stale, "late", 1)
		if _, at := peer.NamedVersion("m"); clock.Since(at) != lateness {
			t.Errorf("%s: an outdated heartbeat changed the peer's age to %v, want %v", name, clock.Since(at), lateness)
		}
	}
}

// Guards against a version of unknown age that counts as just named when a
// version of another model is named.
func TestOtherModelsVersionDoesNotResetAge(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleetWithAssumedAge(clock)
	items := namedVersions(2)
	items["other"] = mulberryspool.NamedVersion{Model: "other", Version: 7, Revision: 70}
	f.recordAnswer(clock.Now(), mulberryspool.Position{Revision: 69}, false)
	f.setVersions(items, listwatch.Delta{Updated: []string{"other"}})
	if _, at := f.NamedVersion("m"); clock.Since(at) != f.AssumedAge {
		t.Errorf("the version counts as %v old, want the assumed %v", clock.Since(at), f.AssumedAge)
	}
	if version, at := f.NamedVersion("other"); version != 7 || clock.Since(at) != 0 {
		t.Errorf("the other model's version is %d, %v old, want 7, just named", version, clock.Since(at))
	}
}

// Guards against a process that heard late of a version of unknown age and
// allows the old version for a whole further grace.
func TestUnknownAgeIsNotAssumedAnew(t *testing.T) {
	clock := clockwork.NewFakeClock()
	first, late := newFleetWithAssumedAge(clock), newFleet(clock)
	clock.Advance(4 * time.Second)
	late.MergeNamedVersions(first.Summary(), "first", 1)
	_, a := first.NamedVersion("m")
	if _, b := late.NamedVersion("m"); b.After(a) {
		t.Errorf("the version counts as %v old, at the peer that reported it as %v", clock.Since(b), clock.Since(a))
	}
}

// Guards against a report that makes a version younger than the time for which
// this process has known it.
func TestKnownVersionDoesNotBecomeYoungerThanItsFirstSight(t *testing.T) {
	for name, learn := range map[string]func(f, late *Fleet){
		"report of a peer that learned of it late": func(f, late *Fleet) {
			watch(late, 2)
			f.MergeNamedVersions(late.Summary(), "late", 1)
		},
		"change of the object that keeps the version": func(f, _ *Fleet) {
			watch(f, 2)
		},
	} {
		clock := clockwork.NewFakeClock()
		f := newFleetWithAssumedAge(clock)
		clock.Advance(3 * time.Second)
		learn(f, newFleet(clock))
		if _, at := f.NamedVersion("m"); clock.Since(at) < 3*time.Second {
			t.Errorf("%s: the version, listed 3s ago, counts as %v old", name, clock.Since(at))
		}
	}
}

// Guards against an age that is taken as known although another process saw the
// version much earlier, without knowing its age.
func TestEarlierSightOverridesKnownAge(t *testing.T) {
	clock := clockwork.NewFakeClock()
	listed, late := newFleetWithAssumedAge(clock), newFleet(clock)
	clock.Advance(3 * time.Second)
	watch(late, 2)
	late.MergeNamedVersions(listed.Summary(), "listed", 1)
	_, want := listed.NamedVersion("m")
	if _, at := late.NamedVersion("m"); !at.Equal(want) {
		t.Errorf("the version counts as %v old, want %v as at the process that listed it 3s ago", clock.Since(at), clock.Since(want))
	}
}

// Guards against a version that counts as named after a process first saw it,
// because the watch of another process delivered it later.
func TestVersionIsNotNamedAfterItsFirstSight(t *testing.T) {
	const delay = 400 * time.Millisecond
	clock := clockwork.NewFakeClock()
	listed, watching := newFleetWithAssumedAge(clock), newFleet(clock)
	clock.Advance(delay)
	watch(watching, 2)
	atFirstSight := listed.Summary()
	listed.MergeNamedVersions(watching.Summary(), "watching", 1)
	watching.MergeNamedVersions(atFirstSight, "listed", 1)
	for name, f := range map[string]*Fleet{"that listed it first": listed, "whose watch delivered it later": watching} {
		if _, at := f.NamedVersion("m"); clock.Since(at) < delay {
			t.Errorf("at the process %s the version counts as %v old, want at least the %v since it was listed", name, clock.Since(at), delay)
		}
	}
}

// Guards against a version that stays of unknown age although the store answered
// another process shortly before it was named.
func TestAgeIsLearnedFromWatchJustAfterFirstSight(t *testing.T) {
	clock := clockwork.NewFakeClock()
	watching := newFleet(clock)
	watching.recordAnswer(clock.Now(), mulberryspool.Position{Revision: revisionOf(2) - 1}, false)
	listed := newFleetWithAssumedAge(clock)
	clock.Advance(100 * time.Millisecond)
	list(watching, 2)
	listed.MergeNamedVersions(watching.Summary(), "watching", 1)
	if _, at := listed.NamedVersion("m"); clock.Since(at) != 100*time.Millisecond {
		t.Errorf("the version counts as %v old, want 100ms as since the watching process's last answer without it", clock.Since(at))
	}
}

// Guards against a callback and an announcement for each report that differs by the
// latency of the network only, and against a larger correction that is left out.
func TestSmallDifferencesOfReportsAreNoCorrections(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleet(clock)
	watch(f, 2)
	corrections := 0
	f.NamedVersionChanged = func(string, int64, time.Time) { corrections++ }
	for age := range int64(5) {
		f.MergeNamedVersions(Summary{Named: map[string][]NamedVersionAge{"m": {{Version: 2, AgeMillis: age}}}}, "peer", 1)
	}
	if corrections != 0 {
		t.Errorf("%d corrections by up to 4ms, want none", corrections)
	}
	f.MergeNamedVersions(Summary{Named: map[string][]NamedVersionAge{"m": {{Version: 2, AgeMillis: 50}}}}, "peer", 1)
	if _, at := f.NamedVersion("m"); corrections != 1 || clock.Since(at) != 50*time.Millisecond {
		t.Errorf("%d corrections by 50ms, the version counts as %v old", corrections, clock.Since(at))
	}
}

// Guards against a whole state for each change of one server: the parts that a reader
// has are left out, and the reader loses nothing by that.
func TestPeerSendsOnlyWhatChanged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	peer, reader := newFleet(clock), newFleet(clock)
	read := func(part Part) State {
		own := reader.Summary()
		s := peer.State().Part(part, own)
		reader.Merge(s, "peer")
		return s
	}
	peer.Merge(State{Ingress: &mulberryspool.Ingress{Version: 3}}, "store")
	peer.setServers(newServers(5, false, "a", "b", "c"), listwatch.Delta{At: mulberryspool.Position{Revision: 10}})
	read(PartServers)
	if s := read(PartConfig); len(s.Servers) > 0 || reader.State().Ingress == nil {
		t.Errorf("the configuration was read as %+v", s)
	}
	items := newServers(5, false, "a")
	items["d"] = newServers(15, false, "d")["d"]
	peer.setServers(items, listwatch.Delta{At: mulberryspool.Position{Revision: 20}})
	if s := read(PartServers); len(s.Servers) != 1 || s.Ingress != nil {
		t.Errorf("%d servers and the configuration %v were sent, want only the added server", len(s.Servers), s.Ingress)
	}
	if reader.IsBehind(peer.Summary()) || len(reader.State().Servers) != 2 {
		t.Errorf("servers after the read are %v, want a and d", reader.State().Servers)
	}
}

// Guards against an entry that takes a server for warm because it reads the servers from a peer,
// and only how long the server is cold has changed.
func TestColdServersAreReadFromPeers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	peer, entry, agent := newFleet(clock), newFleet(clock), newFleet(clock)
	entry.FollowCold = true
	read := func(f *Fleet) bool {
		if !f.Lacks(peer.Summary(), PartServers) {
			return false
		}
		f.Merge(peer.State().Part(PartServers, f.Summary()), "peer")
		return true
	}
	change := func(revision mulberryspool.Revision, coldFor time.Duration) {
		servers := newServers(5, false, "a", "b")
		changed := newServers(revision, false, "a")["a"]
		changed.ColdFor = coldFor
		servers["a"] = changed
		peer.setServers(servers, listwatch.Delta{At: mulberryspool.Position{Revision: revision}})
	}
	change(10, 0)
	if !read(entry) || !read(agent) {
		t.Fatal("the first list was not read")
	}
	for i, coldFor := range []time.Duration{3 * time.Second, 500 * time.Millisecond, 3 * time.Second, 0} {
		change(mulberryspool.Revision(11+i), coldFor)
		if !read(entry) || entry.State().Servers["a"].ColdFor != coldFor {
			t.Errorf("server is cold for %v at an entry, want %v", entry.State().Servers["a"].ColdFor, coldFor)
		}
		if read(agent) {
			t.Error("an agent reads for how long a server is cold")
		}
		if read(entry) {
			t.Error("the same servers are read again")
		}
	}
}
