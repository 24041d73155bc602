package fleet

import (
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
)

// Guards against a server that was removed before two restores and is used again sooner after the
// second one than withholdTime, because the first one's timer ends.
func TestSecondRestoreWithholdsForItsOwnTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleet(clock)
	changed := make(chan Servers, 16)
	f.ServersChanged = func(s Servers) { changed <- maps.Clone(s) }
	listAt(f, 1, 10, "a", "b")
	listAt(f, 1, 12, "a")
	listAt(f, 2, 9, "a", "b")
	clock.Advance(withholdTime - time.Second)
	listAt(f, 3, 9, "a", "b")
	for len(changed) > 0 {
		<-changed
	}
	clock.Advance(2 * time.Second)
	select {
	case servers := <-changed:
		if !servers["b"].Leaving {
			t.Error("the removed server is used 2s after the second restore")
		}
	case <-time.After(time.Second):
	}
}

// Guards against reads from peers whose servers are the same: one withholds a server, and the other
// one, which started later, doesn't.
func TestWithheldServersDoNotMakePeersReadAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	withholding, started := newFleet(clock), newFleet(clock)
	listAt(withholding, 1, 10, "a", "b")
	listAt(withholding, 1, 12, "a")
	listAt(withholding, 2, 9, "a", "b")
	listAt(started, 2, 9, "a", "b")
	reads := 0
	for revision := range 10 {
		// Another kind has changed, so that only the position of the list is later.
		items := newServers(9, false, "a", "b")
		for id, b := range items {
			b.Era = 2
			items[id] = b
		}
		started.setServers(items, listwatch.Delta{At: mulberryspool.Position{Era: 2, Revision: mulberryspool.Revision(10 + revision)}})
		if read(withholding, started) {
			reads++
		}
	}
	if reads > 0 {
		t.Errorf("%d reads from a peer with the same objects, want 0", reads)
	}
}

// Guards against a process that starts after a restore and uses a server which the others withhold,
// because only they know that it was removed before.
func TestProcessStartedAfterRestoreWithholdsRemovedServer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	withholding, started := newFleet(clock), newFleet(clock)
	listAt(withholding, 1, 10, "a", "b")
	listAt(withholding, 1, 12, "a")
	listAt(withholding, 2, 9, "a", "b")
	if !withholding.servers.Servers()["b"].Leaving {
		t.Fatal("the removed server is not withheld")
	}
	if !read(started, withholding) {
		t.Fatal("the process that has just started reads nothing")
	}
	if b, ok := started.servers.Servers()["b"]; ok && !b.Leaving {
		t.Error("the process that has just started uses the removed server")
	}
}
