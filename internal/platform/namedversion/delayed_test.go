package namedversion

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against a version that counts as named too late because a peer's report on when
// it was not yet named was delayed.
func TestDelayedReportDoesNotMoveTimeOfNaming(t *testing.T) {
	named := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return named.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name  string
		delay Delay
		want  time.Time
	}{
		{"delay not known", Delay{}, at(-50)},
		{"delay known", Delay{Known: true, Beyond: 300 * time.Millisecond}, at(-20)},
	} {
		h := History{AssumedAge: 5 * time.Second}
		h.RecordAnswer(at(-50), mulberryspool.Position{Revision: 9}, false)
		h.RecordVersion("m", 2, mulberryspool.Position{Revision: 10}, at(350))
		// The store's last answer to the peer was at -20 ms. The report, sent at 0 ms, takes 300 ms.
		h.Merge("peer", "m", Report{Version: 2, AgeMillis: 20, SeenMillis: 1, Revision: 10, UnnamedMillis: 20}, c.delay, at(300))
		if _, since := h.Newest("m"); !since.Equal(c.want) {
			t.Errorf("%s: version counts as named %v after it was, want %v", c.name, since.Sub(named), c.want.Sub(named))
		}
	}
}
