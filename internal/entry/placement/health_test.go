package placement

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against a sound server that gets no requests for seconds after a single failed attempt,
// although it is to be probed each probeInterval, because the others are idle.
func TestServerIsProbedAfterFailedAttempt(t *testing.T) {
	const (
		interval    = 30 * time.Millisecond
		serviceTime = 2 * time.Millisecond
		observed    = 10 * time.Second
		bound       = 3 * probeInterval
	)
	for name, o := range map[string]Outcome{"timed out": TimedOut, "unreachable": Unreachable, "broken": Broken, "failed": Failed} {
		p := newPlacer(3)
		p.SetPool(mulberryspool.IngressPool{Name: "plain"})
		now := start
		p.RecordEnd("i-1", 0, false, o, 0, now)
		others := 0
		for now.Sub(start) < observed {
			d := p.Offer(request(now), now)
			if d.Verdict != Placed {
				t.Fatalf("%s: request was not placed: %+v", name, d)
			}
			if d.Server.Instance == "i-1" {
				break
			}
			others++
			p.RecordEnd(d.Server.Instance, 0, false, Answered, serviceTime, now.Add(serviceTime))
			now = now.Add(interval)
		}
		if unused := now.Sub(start); unused > bound {
			t.Errorf("%s: no request for %v, %d at others, want one within %v", name, unused, others, bound)
		}
	}
}
