package fleet

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against the first report of a version that arrives late from a peer whose other
// heartbeats arrived at once, and makes the version younger than it is.
func TestFirstReportThatIsDelayedKeepsTimeOfNaming(t *testing.T) {
	clock := clockwork.NewFakeClock()
	peer, reader := newFleet(clock), newFleet(clock)
	for range 3 {
		reader.MergeNamedVersions(peer.Summary(), "peer", 1)
		clock.Advance(time.Second)
	}
	reader.recordAnswer(clock.Now().Add(-500*time.Millisecond), mulberryspool.Position{Revision: revisionOf(2) - 1}, false)
	watch(peer, 2)
	named, report := clock.Now(), peer.Summary()
	clock.Advance(300 * time.Millisecond)
	reader.MergeNamedVersions(report, "peer", 1)
	if _, since := reader.NamedVersion("m"); since.After(named) || named.Sub(since) > 2*time.Millisecond {
		t.Errorf("version counts as named %v after it was, want at most 0 and at least -2ms", since.Sub(named))
	}
}
