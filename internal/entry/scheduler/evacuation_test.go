package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

// Guards against a request that is sent, or that was placed before and is still sent, by a process
// that does not know which failure domains are evacuated, and against one that is refused although
// the process learns it soon.
func TestRequestsAwaitKnownEvacuations(t *testing.T) {
	s := newScheduler(clockwork.NewRealClock())
	var known atomic.Bool
	s.KnowsEvacuations = known.Load
	server := mulberryspool.BackendServer{Instance: "i-1", Born: 1}
	if got := s.Withheld("p", server, Scope{}); got != placement.ReasonEvacuationsUnknown {
		t.Errorf("placed request is withheld for %q", got)
	}
	done, cancel := context.WithCancel(context.Background())
	cancel()
	for name, ctx := range map[string]context.Context{"that waits": context.Background(), "that must not wait": done} {
		if got := s.Place(ctx, "p", request(time.Now())); got.Verdict != placement.Refused || got.Reason != placement.ReasonEvacuationsUnknown {
			t.Errorf("request %s got %+v, want refused", name, got)
		}
	}
	time.AfterFunc(100*time.Millisecond, func() { known.Store(true) })
	if got := s.Place(context.Background(), "p", request(time.Now())); got.Verdict != placement.Placed {
		t.Errorf("request got %+v, want placed", got)
	}
	if got := s.Withheld("p", server, Scope{}); got != "" {
		t.Errorf("placed request is withheld for %q", got)
	}
}

// Guards against an evacuation that does not apply to a pool which a later configuration adds, or
// to a request that waits.
func TestEvacuationAppliesToNewPoolsAndWaitingRequests(t *testing.T) {
	s := newScheduler(clockwork.NewRealClock())
	s.SetServers(map[mulberryspool.InstanceID]mulberryspool.BackendServer{
		"i-1": {Instance: "i-1", Born: 1, Pool: "p", Slots: 1, FailureDomain: "a", Models: []mulberryspool.LoadedModel{{Model: "m", Version: 1}}},
		"i-2": {Instance: "i-2", Born: 1, Pool: "q", Slots: 1, FailureDomain: "a"},
	})
	if got := s.Place(context.Background(), "p", request(time.Now())); got.Verdict != placement.Placed {
		t.Fatalf("request got %+v, want placed", got)
	}
	decided := make(chan placement.Decision)
	go func() { decided <- s.Place(context.Background(), "p", request(time.Now())) }()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		s.Summary(func(_ string, _, _, _, n int) { waiting = n })
	}
	s.SetEvacuated([]string{"a"})
	if got := <-decided; got.Reason != placement.ReasonEvacuated {
		t.Errorf("waiting request got %+v, want refused", got)
	}
	i := s.Table().Ingress
	i.Version, i.Pools = 2, map[string]mulberryspool.IngressPool{"p": i.Pools["p"], "q": {Name: "q"}}
	s.SetIngress(i)
	if got := s.Place(context.Background(), "q", request(time.Now())); got.Reason != placement.ReasonEvacuated {
		t.Errorf("request for the new pool got %+v, want refused", got)
	}
	s.SetEvacuated(nil)
	if got := s.Place(context.Background(), "q", request(time.Now())); got.Verdict != placement.Placed {
		t.Errorf("request got %+v after the evacuation, want placed", got)
	}
}
