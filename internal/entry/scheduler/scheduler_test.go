package scheduler

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/retrybudget"
)

func newScheduler(clock clockwork.Clock) *Scheduler {
	s := &Scheduler{
		Clock: clock, Random: rand.New(rand.NewPCG(1, 1)),
		Placement:   placement.Config{VersionGrace: 8 * time.Second},
		RetryBudget: retrybudget.Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 10},
	}
	s.SetIngress(mulberryspool.Ingress{Version: 1, Pools: map[string]mulberryspool.IngressPool{"p": {Name: "p", Model: "m", Engine: &mulberryspool.EngineProfile{
		Slots: 2, TokenTime: 7 * time.Millisecond, PromptTokensPerSecond: 30_000, TokensPerEvent: 6, MeanPromptTokens: 100, MeanAnswerTokens: 12,
	}}}})
	s.SetServers(map[mulberryspool.InstanceID]mulberryspool.BackendServer{"i-1": {
		Instance: "i-1", Born: 1, Pool: "p", Slots: 2, Models: []mulberryspool.LoadedModel{{Model: "m", Version: 1}},
	}})
	return s
}

func request(now time.Time) placement.Request {
	return placement.Request{LatencyObjective: 400 * time.Millisecond, ArrivedAt: now, Deadline: now.Add(5 * time.Second)}
}

// Guards against a waiting request that is not woken when a slot is freed.
func TestWaitingRequestGetsFreedSlot(t *testing.T) {
	s := newScheduler(clockwork.NewRealClock())
	for range 2 {
		if got := s.Place(context.Background(), "p", request(time.Now())); got.Verdict != placement.Placed {
			t.Fatalf("not placed: %+v", got)
		}
	}
	decided := make(chan placement.Decision)
	go func() { decided <- s.Place(context.Background(), "p", request(time.Now())) }()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		s.Summary(func(_ string, _, _, _, n int) { waiting = n })
	}
	s.RecordEnd("p", "i-1", 0, true, placement.Answered, 20*time.Millisecond)
	if got := <-decided; got.Verdict != placement.Placed {
		t.Errorf("the waiting request got %+v, want placed", got)
	}
}

// Guards against requests that stay in the queue, or are placed, after their
// caller has gone.
func TestCancelledRequestLeavesQueue(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock)
	for range 2 {
		s.Place(context.Background(), "p", request(clock.Now()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got := s.Place(ctx, "p", request(clock.Now())); got.Verdict == placement.Placed {
		t.Errorf("a cancelled request was placed: %+v", got)
	}
	s.Summary(func(_ string, _, _, _, waiting int) {
		if waiting != 0 {
			t.Errorf("%d requests are still waiting", waiting)
		}
	})
}

// Guards against a stale read of the store that reverts the configuration.
func TestConfigurationMustBeNewer(t *testing.T) {
	s := newScheduler(clockwork.NewFakeClock())
	if s.SetIngress(mulberryspool.Ingress{Version: 1}) || s.Table().Ingress.Pools == nil {
		t.Error("a configuration that is not newer was put in force")
	}
}

// Guards against the last report of an agent that stopped reporting: it must not
// override newer information from the store.
func TestAgentReportExpires(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock)
	s.SetAgentReport("i-1", AgentReport{Born: 1, Version: 0})
	if got := s.Place(context.Background(), "p", request(clock.Now())); got.Verdict == placement.Placed {
		t.Error("placed at a server that is about to change its version")
	}
	clock.Advance(agentReportTimeout + time.Second)
	s.SetServers(map[mulberryspool.InstanceID]mulberryspool.BackendServer{"i-1": {
		Instance: "i-1", Born: 1, Pool: "p", Slots: 2, Models: []mulberryspool.LoadedModel{{Model: "m", Version: 2}},
	}})
	if got := s.Place(context.Background(), "p", request(clock.Now())); got.Verdict != placement.Placed || got.Version != 2 {
		t.Errorf("after the agent's report expired: %+v, want placed with version 2", got)
	}
}

// Guards against a backend server that gets no requests although nothing in the list of
// servers has changed, because its agent failed after it had drained the server.
func TestDrainExpiresWithItsAgent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock)
	s.SetAgentReport("i-1", AgentReport{Born: 1, Version: 0})
	clock.Advance(agentReportTimeout / 2)
	s.SetAgentReport("i-1", AgentReport{Born: 1, Version: 0})
	clock.Advance(agentReportTimeout / 2)
	if got := s.Place(context.Background(), "p", request(clock.Now())); got.Verdict == placement.Placed {
		t.Error("placed at a server whose agent still reports that it is drained")
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		clock.Advance(agentReportTimeout / 2)
		if got := s.Place(context.Background(), "p", request(clock.Now())); got.Verdict == placement.Placed {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("nothing is placed at the server after its agent has failed")
		}
	}
}

// Guards against a report of an outdated version that measures from another version
// than the placement does.
func TestFirstNewerVersionIsTheOneNamedFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newScheduler(clock)
	now := clock.Now()
	for version, age := range map[int64]time.Duration{1: 9 * time.Second, 2: time.Second, 3: 5 * time.Second, 4: 2 * time.Second} {
		s.SetNamedVersion("m", version, now.Add(-age))
	}
	if version, at := s.FirstNewerVersion("p", 1); version != 3 || now.Sub(at) != 5*time.Second {
		t.Errorf("version %d, named %v ago, is the first one newer than 1, want 3, 5s", version, now.Sub(at))
	}
	if version, _ := s.FirstNewerVersion("p", 4); version != 0 {
		t.Errorf("version %d is newer than the newest one", version)
	}
}
