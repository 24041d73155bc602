package manifests

import (
	"fmt"
	"testing"

	"github.com/mulberryspool/mulberryspool"
)

func agents(count int) []mulberryspool.InstanceID {
	var ids []mulberryspool.InstanceID
	for i := range count {
		ids = append(ids, mulberryspool.InstanceID(fmt.Sprintf("10.0.0.%d", i)))
	}
	return ids
}

// Sixty agents start at once, after a loss of power. Only a few open a
// connection to the origin, and everybody has the manifest after two tries.
func TestFewAgentsReadFromTheOrigin(t *testing.T) {
	all := agents(60)
	has := make(map[mulberryspool.InstanceID]bool)
	fromOrigin := 0
	for try := range 2 {
		before := make(map[mulberryspool.InstanceID]bool, len(has))
		for id := range has {
			before[id] = true
		}
		for _, id := range all {
			if has[id] {
				continue
			}
			peer, ok := Source(id, all, 3, try)
			switch {
			case !ok:
				fromOrigin++
				has[id] = true
			case peer == id:
				t.Fatalf("%s is to ask itself", id)
			default:
				has[id] = before[peer]
			}
		}
	}
	if fromOrigin != readers || len(has) != len(all) {
		t.Errorf("%d agents asked the origin and %d are known, want %d", fromOrigin, len(has), readers)
	}
	for _, id := range all {
		if !has[id] {
			t.Errorf("%s has no manifest after two tries", id)
		}
	}
}

// The agents that should read from the origin may be dead or cut off.
func TestEveryAgentAsksTheOriginInTheEnd(t *testing.T) {
	all := agents(60)
	for _, id := range all {
		asked := false
		for try := range originEvery {
			_, peer := Source(id, all, 3, try)
			asked = asked || !peer
		}
		if !asked {
			t.Errorf("%s never asks the origin", id)
		}
	}
}

func TestLoneAgentsAskTheOrigin(t *testing.T) {
	for count := range 3 {
		if _, peer := Source("10.0.0.0", agents(count), 1, 0); peer {
			t.Errorf("with %d agents a peer is asked", count)
		}
	}
}
