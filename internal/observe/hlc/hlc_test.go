package hlc

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// Guards against an effect that is ordered before its cause if the wall clocks
// of two instances disagree.
func TestTimestampsIncreaseAlongMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := clockwork.NewFakeClock()
		clocks := []*Clock{{Wall: wall}, {Wall: clockwork.NewFakeClockAt(wall.Now().Add(-1000))}}
		from := rapid.IntRange(0, 1).Draw(t, "from")
		stamp := clocks[from].Now()
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			to := rapid.IntRange(0, 1).Draw(t, "to")
			clocks[to].Observe(stamp)
			next := clocks[to].Now()
			if !stamp.Before(next) {
				t.Fatalf("receiver's timestamp %v is not after the sender's %v", next, stamp)
			}
			stamp = next
		}
	})
}
