package pathdelay

import (
	"testing"
	"time"
)

// Guards against a delay that is forgotten while the link is still full, and against one
// that counts long after it.
func TestDelayCountsForOneToTwoWindows(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, recordedAt := range []time.Duration{0, 900 * time.Millisecond, 1500 * time.Millisecond} {
		var d Delays
		d.Record("a", time.Millisecond, start)
		d.Record("a", 600*time.Millisecond, start.Add(recordedAt))
		d.Record("a", 2*time.Millisecond, start.Add(recordedAt+window/2))
		for after, want := range map[time.Duration]time.Duration{0: 600 * time.Millisecond, window: 600 * time.Millisecond, 3 * window: 0} {
			if got := d.Max("a", start.Add(recordedAt+after)); got != want {
				t.Errorf("recorded at %v: the delay %v later is %v, want %v", recordedAt, after, got, want)
			}
		}
		if got := d.Max("b", start.Add(recordedAt)); got != 0 {
			t.Errorf("the delay of another server is %v, want 0", got)
		}
	}
}
