package desk

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/repeats"
)

func newDesk(clock clockwork.Clock) *Desk {
	d := &Desk{
		Clock: clock, Random: rand.New(rand.NewPCG(1, 1)),
		Figures: placement.Figures{VersionGrace: 8 * time.Second},
		Repeats: repeats.Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 10},
	}
	d.SetIngress(mulberryspool.Ingress{Version: 1, Pools: map[string]mulberryspool.IngressPool{"p": {Name: "p", Model: "m", Engine: &mulberryspool.EngineFigures{
		Slots: 2, Step: 7 * time.Millisecond, PromptTokensPerSecond: 30_000, StepsPerPass: 6, UsualPrompt: 100, UsualAnswer: 12,
	}}}})
	d.SetServers(map[mulberryspool.InstanceID]mulberryspool.BackendServer{"i-1": {
		Instance: "i-1", Born: 1, Pool: "p", Slots: 2, Models: []mulberryspool.LoadedModel{{Model: "m", Version: 1}},
	}})
	return d
}

func request(now time.Time) placement.Request {
	return placement.Request{Objective: 400 * time.Millisecond, Offered: now, Deadline: now.Add(5 * time.Second)}
}

// Guards against a waiting request that is not woken when a slot is freed.
func TestWaitingRequestGetsFreedSlot(t *testing.T) {
	d := newDesk(clockwork.NewRealClock())
	for range 2 {
		if got := d.Place(context.Background(), "p", request(time.Now())); got.Verdict != placement.Placed {
			t.Fatalf("not placed: %+v", got)
		}
	}
	decided := make(chan placement.Decision)
	go func() { decided <- d.Place(context.Background(), "p", request(time.Now())) }()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		d.Summary(func(_ string, _, _, _, n int) { waiting = n })
	}
	d.Ended("p", "i-1", 0, true, placement.Answered, 20*time.Millisecond)
	if got := <-decided; got.Verdict != placement.Placed {
		t.Errorf("the waiting request got %+v, want placed", got)
	}
}

// Guards against requests that stay in the queue, or are placed, after their
// caller has gone.
func TestCancelledRequestLeavesQueue(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDesk(clock)
	for range 2 {
		d.Place(context.Background(), "p", request(clock.Now()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got := d.Place(ctx, "p", request(clock.Now())); got.Verdict == placement.Placed {
		t.Errorf("a cancelled request was placed: %+v", got)
	}
	d.Summary(func(_ string, _, _, _, waiting int) {
		if waiting != 0 {
			t.Errorf("%d requests are still waiting", waiting)
		}
	})
}

// Guards against a stale read of the store that reverts the configuration.
func TestConfigurationMustBeNewer(t *testing.T) {
	d := newDesk(clockwork.NewFakeClock())
	if d.SetIngress(mulberryspool.Ingress{Version: 1}) || d.Table().Ingress.Pools == nil {
		t.Error("a configuration that is not newer was put in force")
	}
}

// Guards against the last report of an agent that stopped reporting: it must not
// override newer information from the store.
func TestAgentReportExpires(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDesk(clock)
	d.SetServed("i-1", Served{Born: 1, Version: 0})
	if got := d.Place(context.Background(), "p", request(clock.Now())); got.Verdict == placement.Placed {
		t.Error("placed at a server that is about to change its version")
	}
	clock.Advance(agentReportTimeout + time.Second)
	d.SetServers(map[mulberryspool.InstanceID]mulberryspool.BackendServer{"i-1": {
		Instance: "i-1", Born: 1, Pool: "p", Slots: 2, Models: []mulberryspool.LoadedModel{{Model: "m", Version: 2}},
	}})
	if got := d.Place(context.Background(), "p", request(clock.Now())); got.Verdict != placement.Placed || got.Version != 2 {
		t.Errorf("after the agent's report expired: %+v, want placed with version 2", got)
	}
}
