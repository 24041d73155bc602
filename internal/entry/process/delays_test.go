package process

import (
	"testing"
	"time"
)

// Guards against a suspicion timeout that ignores measured round delays, mixes
// failure domains or exceeds its bounds.
func TestSuspicionTimeoutFollowsDelays(t *testing.T) {
	delays := delayEstimator{minTimeout: 100 * time.Millisecond, maxTimeout: 2 * time.Second, domains: make(map[string]*delayEstimate)}
	if got := delays.timeout("near"); got != delays.maxTimeout {
		t.Errorf("before any measurement the timeout is %v", got)
	}
	for range 100 {
		delays.observe("near", time.Millisecond)
		delays.observe("far", 300*time.Millisecond)
		delays.observe("broken", time.Minute)
	}
	if got := delays.timeout("near"); got != delays.minTimeout {
		t.Errorf("timeout of the near domain is %v", got)
	}
	if got := delays.timeout("far"); got < 300*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("timeout of the far domain is %v", got)
	}
	if got := delays.timeout("broken"); got != delays.maxTimeout {
		t.Errorf("timeout of the broken domain is %v", got)
	}
	for i := range 20 {
		delays.observe("far", time.Duration(200+20*(i%20))*time.Millisecond)
	}
	if got := delays.timeout("far"); got < 600*time.Millisecond {
		t.Errorf("with varying round delays the timeout is %v", got)
	}
}

// Guards against exceeding the control traffic budget when there are many
// connections, and against a heartbeat interval longer than the age of
// state that agents accept.
func TestHeartbeatsStayWithinControlBudget(t *testing.T) {
	p := Process{HeartbeatInterval: time.Second, HeartbeatMaxAge: 5 * time.Second, ControlBudget: 2000}
	for connections, want := range map[int]time.Duration{
		1: time.Second, 10: 3250 * time.Millisecond, 100: 5 * time.Second,
	} {
		if got := p.idleInterval(connections); got != want {
			t.Errorf("%d connections may be idle for %v, want %v", connections, got, want)
		}
	}
}
