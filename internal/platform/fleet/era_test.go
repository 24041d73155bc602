package fleet

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
)

// listAt delivers a list of servers that were last changed at its position.
func listAt(f *Fleet, era mulberryspool.Era, revision mulberryspool.Revision, ids ...string) {
	at := mulberryspool.Position{Era: era, Revision: revision}
	f.recordAnswer(f.Clock.Now(), at, false)
	items := newServers(revision, false, ids...)
	for id, b := range items {
		b.Era = era
		items[id] = b
	}
	f.setServers(items, listwatch.Delta{At: at})
}

// expectServers checks which servers a process uses.
func expectServers(t *testing.T, f *Fleet, want ...string) {
	t.Helper()
	servers := f.State().Servers
	for _, id := range want {
		if _, ok := servers[mulberryspool.InstanceID(id)]; !ok {
			t.Errorf("servers are %v, want %v", servers, want)
		}
	}
	if len(servers) != len(want) {
		t.Errorf("servers are %v, want %v", servers, want)
	}
}

// read merges the servers that a process lacks of a peer's state. It reports whether there are any.
func read(reader, peer *Fleet) bool {
	summary := peer.Summary()
	reader.ObserveEra(summary.Era, "peer")
	if !reader.Lacks(summary, PartServers) {
		return false
	}
	reader.Merge(peer.State().Part(PartServers, reader.Summary()), "peer")
	return true
}

// Guards against a process that the store refuses through a restore and that does not adopt the
// servers of its peers because their revisions are smaller than its own, and against one that
// adopts those of a peer that the store refuses.
func TestPeersAgreeAfterRestore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	served, refused := newFleet(clock), newFleet(clock)
	for _, f := range []*Fleet{served, refused} {
		listAt(f, 1, 500, "a", "b")
	}
	listAt(served, 2, 30, "a", "c")
	if read(served, refused) {
		t.Error("the state from before the restore counts as newer")
	}
	if !read(refused, served) {
		t.Error("the state from after the restore doesn't count as newer")
	}
	for _, f := range []*Fleet{served, refused} {
		expectServers(t, f, "a", "b", "c")
		f.endGrace(2)
	}
	read(refused, served)
	expectServers(t, served, "a", "c")
	expectServers(t, refused, "a", "c")
	if got := refused.Summary().Era; got != 2 {
		t.Errorf("the refused process is in era %d, want 2", got)
	}
	listAt(served, 2, 31, "a", "c", "d")
	read(refused, served)
	expectServers(t, refused, "a", "c", "d")
}

// Guards against a process that the store refuses and that learns of changes after a restore only
// when the grace period of its peers is over, and against one that takes from them that servers in
// that period are certain.
func TestChangesInGracePeriodAfterRestoreReachPeers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	served, refused := newFleet(clock), newFleet(clock)
	for _, f := range []*Fleet{served, refused} {
		listAt(f, 1, 500, "a", "b", "gone")
	}
	// assume delivers a list in the grace period, in which one server is kept.
	assume := func(revision mulberryspool.Revision, leaving bool) {
		at := mulberryspool.Position{Era: 2, Revision: revision}
		served.recordAnswer(clock.Now(), at, false)
		items := newServers(revision, leaving, "a")
		a := items["a"]
		a.Era = 2
		items["a"] = a
		items["gone"] = mulberryspool.BackendServer{Instance: "gone", Born: 1, Revision: 500, Era: 1}
		served.setServers(items, listwatch.Delta{At: at, Uncertain: true})
	}
	assume(30, false)
	read(refused, served)
	assume(31, true)
	if !read(refused, served) || !refused.servers.Servers()["a"].Leaving {
		t.Errorf("servers are %v, want a leaving", refused.servers.Servers())
	}
	if at := refused.State().ServersAt; at != 500 {
		t.Errorf("servers are exact as of %d, want 500", at)
	}
	if read(refused, served) {
		t.Error("the same state counts as newer again")
	}
	listAt(served, 2, 32, "a")
	served.endGrace(2)
	if !read(refused, served) {
		t.Error("the exact list after the grace period doesn't count as newer")
	}
	refused.endGrace(2)
	expectServers(t, refused, "a")
}

// Guards against a peer of a build that sends no eras, whose state is not adopted before the first
// restore, or is adopted after it although it is older.
func TestPeersWithoutErasAreOfTheFirstOne(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f, peer := newFleet(clock), newFleet(clock)
	listAt(f, 4, 10, "a")
	listAt(peer, 0, 12, "a", "b")
	if !f.Lacks(peer.Summary(), PartServers) {
		t.Error("the newer state of a peer without eras doesn't count as newer")
	}
	f.Merge(peer.State(), "peer")
	expectServers(t, f, "a", "b")
	listAt(f, 5, 8, "a")
	listAt(peer, 0, 20, "a", "b", "c")
	if f.Lacks(peer.Summary(), PartServers) {
		t.Error("the state of a peer without eras counts as newer after a restore")
	}
	f.Merge(peer.State(), "peer")
	f.endGrace(5)
	expectServers(t, f, "a")
}

// Guards against a restore that is not reported, or is reported for the first era that is known
// or for an answer that comes late from an earlier one.
func TestEachRestoreIsReportedOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleet(clock)
	var reported []mulberryspool.Era
	f.EraChanged = func(_, era mulberryspool.Era) { reported = append(reported, era) }
	for _, era := range []mulberryspool.Era{4, 4, 5, 4, 5, 7} {
		f.recordAnswer(clock.Now(), mulberryspool.Position{Era: era, Revision: 1}, false)
	}
	if len(reported) != 2 || reported[0] != 5 || reported[1] != 7 {
		t.Errorf("reported eras are %v, want 5 and 7", reported)
	}
}

// Guards against a server that was removed before a restore and is never used again, although the
// restored store still lists it, or that is used at once.
func TestServerRemovedBeforeRestoreIsUsedAgainLater(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleet(clock)
	changed := make(chan Servers, 8)
	f.ServersChanged = func(s Servers) { changed <- s }
	listAt(f, 1, 10, "a", "b")
	listAt(f, 1, 12, "a")
	listAt(f, 2, 9, "a", "b")
	for len(changed) > 1 {
		<-changed
	}
	if servers := <-changed; !servers["b"].Leaving || servers["a"].Leaving {
		t.Errorf("servers are %v after the restore, want b withheld", servers)
	}
	clock.Advance(withholdTime)
	if servers := <-changed; servers["b"].Leaving {
		t.Errorf("servers are %v after %v, want b in use", servers, withholdTime)
	}
}

// Guards against a configuration that stays in force although a restore has undone it and another
// one has its version, at a process that the store answers and at one that reads from peers; and
// against one that goes back to an older version or to that of an earlier era.
func TestConfigurationFollowsLaterEra(t *testing.T) {
	clock := clockwork.NewFakeClock()
	watching, reading := newFleet(clock), newFleet(clock)
	deliver := func(era mulberryspool.Era, version int64, route string) {
		i := mulberryspool.Ingress{Version: version, Routes: []mulberryspool.IngressRoute{{Name: route}}}
		watching.setIngresses(map[string]mulberryspool.Ingress{"main": i}, listwatch.Delta{At: mulberryspool.Position{Era: era, Revision: 1}})
	}
	reads := 0
	follow := func() {
		summary := watching.Summary()
		if !reading.Lacks(summary, PartConfig) {
			return
		}
		reads++
		reading.Merge(watching.State().Part(PartConfig, reading.Summary()), "watching")
	}
	for _, c := range []struct {
		era      mulberryspool.Era
		version  int64
		route    string
		want     string
		wantRead int
	}{
		{1, 6, "old", "old", 1},
		{1, 7, "undone", "undone", 2},
		{2, 6, "old", "undone", 2},
		{2, 7, "other", "other", 3},
		{1, 7, "undone", "other", 3},
		{3, 7, "other", "other", 3},
		{3, 8, "new", "new", 4},
	} {
		deliver(c.era, c.version, c.route)
		follow()
		for name, f := range map[string]*Fleet{"watching": watching, "reading": reading} {
			if got := f.State().Ingress.Routes[0].Name; got != c.want {
				t.Errorf("%s process has route %q after version %d of era %d, want %q", name, got, c.version, c.era, c.want)
			}
		}
		if reads != c.wantRead {
			t.Errorf("%d reads from the peer after version %d of era %d, want %d", reads, c.version, c.era, c.wantRead)
		}
	}
}

// Guards against a server that was removed before the second of two restores and gets requests
// again, as the copy lists it, when the time for which the first one withheld servers is over.
func TestEarlierRestoreDoesNotEndWithholding(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleet(clock)
	leaving := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.servers.Servers()["a"].Leaving
	}
	listAt(f, 1, 10, "a", "b")
	listAt(f, 2, 20, "a", "b")
	f.setServers(newServers(21, false, "b"), listwatch.Delta{At: mulberryspool.Position{Era: 2, Revision: 31}})
	clock.Advance(withholdTime - time.Second)
	listAt(f, 3, 20, "a", "b")
	if !leaving() {
		t.Fatal("the removed server is not withheld after the restore")
	}
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(2 * time.Second)
	for range 100 {
		if !leaving() {
			t.Fatalf("the removed server is used 2 s after the restore, want it withheld for %v", withholdTime)
		}
		time.Sleep(time.Millisecond)
	}
}
