package fleet

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against a restore that is not reported, or is reported for the first era that is known
// or for an answer that comes late from an earlier one.
func TestEachRestoreIsReportedOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFleet(clock)
	var reported []mulberryspool.Era
	f.EraChanged = func(_, era mulberryspool.Era) { reported = append(reported, era) }
	for _, era := range []mulberryspool.Era{4, 4, 5, 4, 5, 7} {
		f.recordAnswer(clock.Now(), mulberryspool.Position{Era: era, Revision: 1})
	}
	if len(reported) != 2 || reported[0] != 5 || reported[1] != 7 {
		t.Errorf("reported eras are %v, want 5 and 7", reported)
	}
}
