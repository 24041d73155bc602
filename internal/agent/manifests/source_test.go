package manifests

import (
	"fmt"
	"testing"

	"github.com/mulberryspool/mulberryspool"
)

func newAgents(count int) []mulberryspool.InstanceID {
	var ids []mulberryspool.InstanceID
	for i := range count {
		ids = append(ids, mulberryspool.InstanceID(fmt.Sprintf("10.0.0.%d", i)))
	}
	return ids
}

// Guards against too many connections to the origin when 60 agents start at the
// same time, as after a power failure: only the origin readers connect to it, and
// every agent has the manifest after two attempts.
func TestFewAgentsReadFromOrigin(t *testing.T) {
	all := newAgents(60)
	hasManifest := make(map[mulberryspool.InstanceID]bool)
	fromOrigin := 0
	for attempt := range 2 {
		previous := make(map[mulberryspool.InstanceID]bool, len(hasManifest))
		for id := range hasManifest {
			previous[id] = true
		}
		for _, id := range all {
			if hasManifest[id] {
				continue
			}
			peer, ok := Source(id, all, 3, attempt)
			switch {
			case !ok:
				fromOrigin++
				hasManifest[id] = true
			case peer == id:
				t.Fatalf("%s is its own source", id)
			default:
				hasManifest[id] = previous[peer]
			}
		}
	}
	if fromOrigin != originReaders || len(hasManifest) != len(all) {
		t.Errorf("%d agents read from the origin and %d agents got an answer, want %d and all", fromOrigin, len(hasManifest), originReaders)
	}
	for _, id := range all {
		if !hasManifest[id] {
			t.Errorf("%s has no manifest after two attempts", id)
		}
	}
}

// Guards against an agent that never gets the manifest because the agents that
// should read it from the origin are dead or unreachable.
func TestEveryAgentEventuallyAsksOrigin(t *testing.T) {
	all := newAgents(60)
	for _, id := range all {
		asked := false
		for attempt := range originInterval {
			_, peer := Source(id, all, 3, attempt)
			asked = asked || !peer
		}
		if !asked {
			t.Errorf("%s never reads from the origin", id)
		}
	}
}

// Guards against agents that ask each other for the manifest although there are so
// few of them that all should read it from the origin.
func TestSmallGroupsReadFromOrigin(t *testing.T) {
	for count := range 3 {
		if _, peer := Source("10.0.0.0", newAgents(count), 1, 0); peer {
			t.Errorf("with %d agents the source is a peer, want the origin", count)
		}
	}
}
