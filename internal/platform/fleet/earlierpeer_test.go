package fleet

import (
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
)

// Guards against a process that started after a restore and takes the list of a peer of an earlier
// build, which still has the revisions of before, for one of the new era.
func TestPeerWithoutErasDoesNotHideChangesFromProcessThatStartedLater(t *testing.T) {
	clock := clockwork.NewFakeClock()
	peer, started := newFleet(clock), newFleet(clock)
	listAt(peer, 0, 1000, "a", "b")
	listAt(started, 2, 700, "a", "c")
	if started.Lacks(peer.Summary(), PartServers) {
		started.Merge(peer.State(), "peer")
	}
	if got := names(started.State().Servers); !slices.Contains(got, "c") {
		t.Errorf("servers are %v after the list of the peer, want c, which the store lists, among them", got)
	}
	listAt(started, 2, 710, "a", "c", "d")
	if got := names(started.State().Servers); !slices.Contains(got, "d") {
		t.Errorf("servers are %v after the next list of the store, want d among them", got)
	}
}
