package hosted

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/fetch"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
)

// Guards against a request that an outdated server begins after the bound of the newer version,
// because the link of the server's machine is full and only the agent beside it knows.
func TestEntryLeavesOutdatedServerEarlierIfItsLinkIsFull(t *testing.T) {
	const (
		grace = 5 * time.Second
		left  = 800 * time.Millisecond
	)
	for delay, want := range map[time.Duration]placement.Verdict{0: placement.Placed, 700 * time.Millisecond: placement.Refused} {
		clock := clockwork.NewRealClock()
		e := &entryRole{process: &process{clock: clock, logger: zerolog.Nop()}}
		e.fleet = &fleet.Fleet{Clock: clock, Logger: zerolog.Nop()}
		e.stateSync = &stateSync{fleet: e.fleet, clock: clock, logger: e.logger}
		e.scheduler = &scheduler.Scheduler{Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Placement: placement.Config{VersionGrace: grace}}
		e.scheduler.SetIngress(mulberryspool.Ingress{Version: 1, Pools: map[string]mulberryspool.IngressPool{"p": {Name: "p", Model: "m", Engine: &mulberryspool.EngineProfile{
			Slots: 4, TokenTime: time.Millisecond, PromptTokensPerSecond: 1e6, TokensPerEvent: 1, MeanPromptTokens: 10, MeanAnswerTokens: 10,
		}}}})
		e.scheduler.SetServers(map[mulberryspool.InstanceID]mulberryspool.BackendServer{"i-1": {
			Instance: "i-1", Born: 1, Pool: "p", Address: "127.0.0.1:1", Slots: 4, Models: []mulberryspool.LoadedModel{{Model: "m", Version: 1}},
		}})
		e.scheduler.SetNamedVersion("m", 2, clock.Now().Add(left-grace))
		report := &heartbeat.AgentReport{Instance: "i-1", Born: 1, Version: 1, LinkDelayMillis: delay.Milliseconds()}
		e.handleHeartbeat(heartbeat.Message{Role: mulberryspool.RoleAgent, Sender: "a-1", Report: report}, netip.AddrPort{})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		request := placement.Request{PromptTokens: 10, LatencyObjective: time.Second, ArrivedAt: clock.Now(), Deadline: clock.Now().Add(time.Second)}
		if d := e.scheduler.Place(ctx, "p", request); d.Verdict != want {
			t.Errorf("link delay %v, %v before the end of the grace: %+v, want verdict %v", delay, left, d, want)
		}
	}
}

// Guards against an agent that keeps to itself that data takes long to reach its machine.
func TestAgentReportsThatItsLinkIsFull(t *testing.T) {
	clock := clockwork.NewRealClock()
	var reported atomic.Int64
	entry, _ := startTransport(t, "e-0", func(m heartbeat.Message, _ netip.AddrPort) {
		if m.Report != nil {
			reported.Store(m.Report.LinkDelayMillis)
		}
	})
	a := &agentRole{
		process: &process{clock: clock, logger: zerolog.Nop(), settings: settings.Settings{Backend: "10.0.0.1:1"}},
		fetcher: &fetch.Fetcher{Clock: clock},
		fleet:   &fleet.Fleet{Clock: clock, Logger: zerolog.Nop(), ServersChanged: func(fleet.Servers) {}},
	}
	a.fleet.Merge(fleet.State{ServersAt: 1, Servers: map[mulberryspool.InstanceID]mulberryspool.BackendServer{"i-1": {Instance: "i-1", Address: a.settings.Backend, Revision: 1}}}, "e-0")
	var own netip.AddrPort
	a.heartbeats, own = startTransport(t, "a-0", func(heartbeat.Message, netip.AddrPort) {})
	a.fetcher.LinkDelay.Begin(clock.Now().Add(-time.Second))
	a.fetcher.LinkDelay.Begin(clock.Now().Add(-600 * time.Millisecond))
	for end := time.Now().Add(5 * time.Second); reported.Load() < 600; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the reported link delay is %d ms, want 600 or more", reported.Load())
		}
		entry.Send(heartbeat.Message{}, []netip.AddrPort{own})
		a.reportServed(1, time.Time{})
	}
}
