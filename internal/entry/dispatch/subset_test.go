package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against a subset that depends on the order of the instance list,
// leaves out a failure domain, or changes for most agents when one is removed.
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
			t.Fatalf("subset has %d of %d agents, want %d", len(chosen), len(agents), size)
		}
		shuffled := rapid.Permutation(agents).Draw(t, "order")
		if !slices.Equal(Subset("entry-1", shuffled, size), chosen) {
			t.Fatal("subset depends on the order of the list")
		}
		perDomain := make(map[string]int)
		for _, a := range chosen {
			perDomain[a.FailureDomain]++
		}
		if len(perDomain) != domains {
			t.Fatalf("agents per failure domain are %v, want an agent of each domain", perDomain)
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
			t.Fatalf("removing one agent changed %d choices", changed)
		}
	})
}
