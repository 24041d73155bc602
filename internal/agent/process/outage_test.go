package process

import (
	"testing"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against an agent that reloads, or does not serve at all, when it is
// restarted beside a loaded engine while the object API is down.
func TestRestartDuringOutage(t *testing.T) {
	store, instances := newStore("v1"), &fakeInstances{}
	first, second := newEngine(), newEngine()
	a := startAgent(t, agentOptions{instance: "surat-1", run: "1", engine: first, store: store, instances: instances})
	b := startAgent(t, agentOptions{instance: "surat-2", run: "1", engine: second, store: store, instances: instances})
	a.tables.set(1, enginePool("v1"))
	b.tables.set(1, enginePool("v1"))
	a.awaitServing(t, "v1")
	b.awaitServing(t, "v1")
	a.stop()
	store.setDown(true)
	restarted := startAgent(t, agentOptions{instance: "surat-1", run: "2", engine: first, store: store, instances: instances})
	restarted.tables.set(1, enginePool("v1"))
	restarted.awaitServing(t, "v1")
	if loads := first.loadCount(); loads != 1 {
		t.Fatalf("the engine was ordered to load %d times, want 1", loads)
	}
}

// Guards against a rollout that stops because the object API went down after
// its change was accepted, and against an agent that can't swap although it
// holds a fencing number.
func TestRolloutDuringOutage(t *testing.T) {
	store, instances := newStore("v1", "v2"), &fakeInstances{}
	var agents []*runningAgent
	for _, instance := range []mulberryspool.InstanceID{"surat-1", "surat-2", "surat-3"} {
		a := startAgent(t, agentOptions{instance: instance, run: "1", engine: newEngine(), store: store, instances: instances})
		a.tables.set(1, enginePool("v1"))
		agents = append(agents, a)
	}
	for _, a := range agents {
		a.awaitServing(t, "v1")
	}
	// One agent reads the manifest before the outage; the others ask it.
	agents[0].tables.set(2, enginePool("v2"))
	await(t, "the first agent knows the manifest", func() bool {
		status := agents[0].Status()
		return status.Target.Version == "v2" && status.Phase != mulberryspool.PhaseFetching
	})
	store.setDown(true)
	for _, a := range agents[1:] {
		a.tables.set(2, enginePool("v2"))
	}
	for _, a := range agents {
		a.awaitServing(t, "v2")
	}
}
