package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against a subset that depends on the order of the list, leaves out a
// failure domain, or changes as a whole when one agent goes.
func TestSubsetIsStableAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		size := rapid.IntRange(domains, 20).Draw(t, "size")
		var agents []mulberryspool.Identity
		for i := range rapid.IntRange(domains, 60).Draw(t, "agents") {
			agents = append(agents, mulberryspool.Identity{
				Instance: mulberryspool.InstanceID(fmt.Sprintf("agent-%d", i)), FailureDomain: fmt.Sprintf("domain-%d", i%domains),
			})
		}
		chosen := Subset("entry-1", agents, size)
		if len(chosen) != min(size, len(agents)) {
			t.Fatalf("%d of %d agents are chosen, want %d", len(chosen), len(agents), size)
		}
		shuffled := rapid.Permutation(agents).Draw(t, "order")
		if !slices.Equal(Subset("entry-1", shuffled, size), chosen) {
			t.Fatal("the subset depends on the order of the list")
		}
		perDomain := make(map[string]int)
		for _, a := range chosen {
			perDomain[a.FailureDomain]++
		}
		if len(perDomain) != domains {
			t.Fatalf("the subset spreads over %v", perDomain)
		}
		gone := rapid.IntRange(0, len(agents)-1).Draw(t, "gone")
		after := Subset("entry-1", slices.Delete(slices.Clone(agents), gone, gone+1), size)
		changed := 0
		for _, a := range after {
			if !slices.Contains(chosen, a) {
				changed++
			}
		}
		if changed > domains {
			t.Fatalf("%d choices change when one agent goes", changed)
		}
	})
}
