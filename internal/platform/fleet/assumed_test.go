package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
)

// assumeAt delivers a list that was changed at its position, with servers of an earlier position in
// their grace period.
func assumeAt(f *Fleet, at mulberryspool.Position, kept Servers, ids ...string) {
	f.recordAnswer(f.Clock.Now(), at, false)
	items := newServers(at.Revision, false, ids...)
	for id, b := range items {
		b.Era = at.Era
		items[id] = b
	}
	for id, b := range kept {
		items[string(id)] = b
	}
	f.setServers(items, listwatch.Delta{At: at, Uncertain: true})
}

// Guards against a server that the copy lacks and that is dropped within its grace period by the
// list of a peer that never knew it, although that list is an assumed one itself.
func TestAssumedListOfPeerKeepsServersThatItNeverKnew(t *testing.T) {
	clock := clockwork.NewFakeClock()
	reader, peer := newFleet(clock), newFleet(clock)
	listAt(reader, 1, 500, "a", "b", "gone")
	listAt(peer, 1, 490, "a", "gone")
	kept := Servers{"gone": peer.State().Servers["gone"]}
	assumeAt(peer, mulberryspool.Position{Era: 2, Revision: 30}, kept, "a")
	read(reader, peer)
	if got := names(reader.State().Servers); !slices.Contains(got, "b") {
		t.Errorf("servers are %v after the peer's assumed list, want b among them", got)
	}
}

// Guards against reads of all servers again and again while peers have no exact list, as the reader's
// last exact list is of the earlier era.
func TestReadsInGracePeriodHaveOnlyWhatChanged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	served, refused := newFleet(clock), newFleet(clock)
	ids := make([]string, 100)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%08x", i)
	}
	for _, f := range []*Fleet{served, refused} {
		listAt(f, 1, 500, append([]string{"gone"}, ids...)...)
	}
	kept := Servers{"gone": served.State().Servers["gone"]}
	assumeAt(served, mulberryspool.Position{Era: 2, Revision: 30}, kept, ids...)
	refused.Merge(served.State().Part(PartServers, refused.Summary()), "peer")
	for id, b := range served.State().Servers {
		if id != mulberryspool.InstanceID(ids[0]) {
			kept[id] = b
		}
	}
	assumeAt(served, mulberryspool.Position{Era: 2, Revision: 31}, kept, ids[0])
	part := served.State().Part(PartServers, refused.Summary())
	if n := len(part.Servers); n > 2 {
		t.Errorf("%d rows are read because one of %d servers changed after the last read, want 2 at most", n, len(ids))
	}
}

// Guards against a reader that forgets as of when a peer's list was exact, because the peer has
// servers in their grace period now. There is one era.
func TestExactPositionOfPeerWithAssumedServersIsAdopted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	peer, reader := newFleet(clock), newFleet(clock)
	listAt(reader, 1, 10, "a", "b")
	listAt(peer, 1, 20, "a", "b")
	assumeAt(peer, mulberryspool.Position{Era: 1, Revision: 30}, Servers{"b": peer.State().Servers["b"]}, "a")
	if !read(reader, peer) && reader.State().ServersAt < 20 {
		reader.Merge(peer.State(), "peer")
	}
	if at := reader.State().ServersAt; at != 20 {
		t.Errorf("servers are exact as of %d, want 20", at)
	}
}
