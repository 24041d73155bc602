package fleet

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
)

// Guards against versions that are dated by answers within 5 s after a restore, because the list that
// showed it was first sent before it and repeated until the store answered.
func TestListSentBeforeRestoreDoesNotShortenSettleTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleet(clock)
	f.AssumedAge = 30 * time.Second
	position := func(era mulberryspool.Era, revision mulberryspool.Revision) mulberryspool.Position {
		return mulberryspool.Position{Era: era, Revision: revision}
	}
	before := clock.Now()
	f.recordAnswer(before, position(1, 10), true)
	sentAt := clock.Now()
	clock.Advance(4900 * time.Millisecond)
	restored := clock.Now()
	f.recordAnswer(sentAt, position(2, 7), true)
	clock.Advance(500 * time.Millisecond)
	f.recordAnswer(clock.Now(), position(2, 8), true)
	clock.Advance(100 * time.Millisecond)
	f.setVersions(map[string]mulberryspool.NamedVersion{"m": {Model: "m", Version: 2, Revision: 9, Era: 2}}, listwatch.Delta{Updated: []string{"m"}, At: position(2, 9)})
	if _, at := f.NamedVersion("m"); at.After(restored) {
		t.Errorf("a version named again 0.6s after the restore counts as named %v after it", at.Sub(restored))
	}
}
