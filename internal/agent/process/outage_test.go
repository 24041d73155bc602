package process

import (
	"testing"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/fake"
)

// An agent restarts next to an engine with loaded weights while the object API
// is down. It must serve again, without ordering another load.
func TestRestartDuringOutage(t *testing.T) {
	store, instances := newStore("v1"), &fake.Instances{}
	first, second := newEngine(), newEngine()
	a := startAgent(t, agentOptions{instance: "surat-1", run: "1", engine: first, store: store, instances: instances})
	b := startAgent(t, agentOptions{instance: "surat-2", run: "1", engine: second, store: store, instances: instances})
	setPool(a.tables, 1, enginePool("v1"))
	setPool(b.tables, 1, enginePool("v1"))
	a.awaitServing(t, "v1")
	b.awaitServing(t, "v1")
	a.stop()
	store.SetError(mulberryspool.ErrUnavailable)
	restarted := startAgent(t, agentOptions{instance: "surat-1", run: "2", engine: first, store: store, instances: instances})
	setPool(restarted.tables, 1, enginePool("v1"))
	restarted.awaitServing(t, "v1")
	if loads := first.loadCount(); loads != 1 {
		t.Fatalf("the engine was ordered to load %d times, want 1", loads)
	}
}

// The object API fails after a change of the version was accepted. The rollout
// must complete: agents get the manifest from a peer, and an agent that has taken
// its lease before the outage can load the new version under the same lease number.
func TestRolloutDuringOutage(t *testing.T) {
	store, instances := newStore("v1", "v2"), &fake.Instances{}
	var agents []*runningAgent
	for _, instance := range []mulberryspool.InstanceID{"surat-1", "surat-2", "surat-3"} {
		a := startAgent(t, agentOptions{instance: instance, run: "1", engine: newEngine(), store: store, instances: instances})
		setPool(a.tables, 1, enginePool("v1"))
		agents = append(agents, a)
	}
	for _, a := range agents {
		a.awaitServing(t, "v1")
	}
	// One agent reads the manifest before the outage; the others get it from that agent.
	setPool(agents[0].tables, 2, enginePool("v2"))
	await(t, "the first agent knows the manifest", func() bool {
		status := agents[0].Status()
		return status.Target.Version == "v2" && status.Phase != mulberryspool.PhaseFetching
	})
	store.SetError(mulberryspool.ErrUnavailable)
	for _, a := range agents[1:] {
		setPool(a.tables, 2, enginePool("v2"))
	}
	for _, a := range agents {
		a.awaitServing(t, "v2")
	}
}
