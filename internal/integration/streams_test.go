package integration

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/faultproxy"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// Guards against an answer that looks complete but is truncated, was computed
// with two different weights or belongs to another caller (R2, R3), against the
// refusal notRun for a request that did run (R4), and against requests that
// hang. Meanwhile connections are reset, stalled or delayed, agents are killed or
// frozen, and the version changes.
func TestStreamedAnswersUnderFaults(t *testing.T) {
	s := &system.System{
		Builder: &builder, EngineArguments: []string{"--refuse-stale-orders", "--tokens-per-second", "250"},
		AgentTimeouts: []string{"heartbeatInterval: 100ms"},
		EntryTimeouts: []string{"heartbeatInterval: 100ms", "suspicionTimeout: 300ms", "resolveTimeout: 3s"},
	}
	tables := strings.ReplaceAll(chatTables, "idempotent: true", "idempotent: true\n    timeout: 10s")
	published := s.StartEngines(t, tables, 4, 2)
	load := startChats(t, s, 24, 50)
	random := rand.New(rand.NewPCG(23, 1))
	versions := []string{"v2", "v3", "v4"}
	const faults = 24
	for i := range faults {
		if i%(faults/len(versions)) == 2 {
			s.ApplyNoWait(t, withVersion(tables, versions[i/(faults/len(versions))]))
		}
		injectStreamFault(t, s, s.Agents[random.IntN(len(s.Agents))], i, random)
		// There is no pause after every other fault, so that two faults coincide.
		if i%2 == 0 {
			time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
		}
	}
	s.AwaitServing(t, "v4", s.Agents...)
	s.AwaitReadyAgents(t, "scribe", len(s.Agents))
	load.awaitAnswers(t, s, 16)
	checkChats(t, s, load.stopAndCollect(), published)
}

// injectStreamFault injects a fault at an agent: the first faults are one of each
// kind, later ones are random.
func injectStreamFault(t *testing.T, s *system.System, m *system.Member, i int, random *rand.Rand) {
	t.Helper()
	kinds := []func(){
		m.Proxy.Cut,
		func() { m.Proxy.Stall(faultproxy.Both) },
		func() { m.Proxy.Stall(faultproxy.ToClient) },
		func() { m.Proxy.Stall(faultproxy.ToTarget) },
		func() { m.Proxy.CutAnswers(1); m.Proxy.Cut() },
		func() {
			m.Proxy.Delay(faultproxy.Both, 50*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			m.Proxy.Delay(faultproxy.Both, 0)
		},
		func() {
			m.Process.Freeze(t)
			time.Sleep(600 * time.Millisecond)
			sendSignal(t, m, syscall.SIGCONT)
		},
		func() {
			sendSignal(t, m, syscall.SIGKILL)
			s.Restart(t, m)
		},
	}
	if i >= len(kinds) {
		i = random.IntN(len(kinds))
	}
	kinds[i]()
}
