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
		d.RecordConnection("a", "i-1", time.Millisecond, start)
		d.RecordConnection("a", "i-1", 600*time.Millisecond, start.Add(recordedAt))
		d.RecordConnection("a", "i-1", 2*time.Millisecond, start.Add(recordedAt+window/2))
		for after, want := range map[time.Duration]time.Duration{0: 600 * time.Millisecond, window: 600 * time.Millisecond, 3 * window: 0} {
			if got := d.Max("a", "i-1", start.Add(recordedAt+after)); got != want {
				t.Errorf("recorded at %v: the delay %v later is %v, want %v", recordedAt, after, got, want)
			}
		}
		if got := d.Max("b", "i-2", start.Add(recordedAt)); got != 0 {
			t.Errorf("the delay of another failure domain is %v, want 0", got)
		}
	}
}

// Guards against a full link between regions that counts for one server only, and against one of
// a machine that counts for the servers of others.
func TestConnectionsCountForFailureDomainAndLinksForServer(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var d Delays
	d.RecordConnection("a", "i-1", 300*time.Millisecond, start)
	d.RecordLink("i-2", 900*time.Millisecond, start)
	if got, want := d.Max("a", "i-2", start), 900*time.Millisecond; got != want {
		t.Errorf("the delay of the server with the full link is %v, want %v", got, want)
	}
	if got, want := d.Max("a", "i-3", start), 300*time.Millisecond; got != want {
		t.Errorf("the delay of another server is %v, want %v", got, want)
	}
	d.RecordLink("i-4", time.Millisecond, start.Add(time.Minute))
	if n := len(d.servers); n != 1 {
		t.Errorf("the delays of %d servers are kept a minute later, want 1", n)
	}
}
