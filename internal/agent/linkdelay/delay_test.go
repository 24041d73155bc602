package linkdelay

import (
	"testing"
	"time"
)

// Guards against a link that counts as fast while all fetches over it are slow, or as slow because
// of one sender or long after it was.
func TestTwoSlowFetchesShowDelay(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var d Delay
	check := func(name string, ms int, want time.Duration) {
		t.Helper()
		if got := d.At(at(ms)); got != want {
			t.Errorf("%s: delay at %d ms is %v, want %v", name, ms, got, want)
		}
	}
	slow, slower, fast := d.Begin(at(0)), d.Begin(at(100)), d.Begin(at(150))
	check("running", 250, 0)
	check("one long", 350, 0)
	check("both long", 500, 800*time.Millisecond)
	fast(at(200), true)
	slow(at(600), true)
	check("one ended", 650, 600*time.Millisecond)
	slower(at(900), true)
	check("both ended", 950, 600*time.Millisecond)
	check("after the window", 1700, 0)
	failed, slow := d.Begin(at(2000)), d.Begin(at(2000))
	slow(at(2600), true)
	failed(at(3000), false)
	check("one failed", 3000, 0)
	if got := len(d.ended) + len(d.running); got > 1 {
		t.Errorf("%d fetches are kept", got)
	}
}
