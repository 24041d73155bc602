package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/swap"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

// Guards against an agent that does not pass on its peers' reports, and swaps after
// the bound of a version that it learned of late.
func TestAgentSwapsWithinBoundReportedByPeers(t *testing.T) {
	const (
		bound = 8 * time.Second
		age   = 6 * time.Second
	)
	members := []mulberryspool.InstanceID{"a", "b", "c", "d", "e", "f", "g", "h"}
	clock := clockwork.NewFakeClock()
	for name, reports := range map[string][][]fleet.NamedVersionAge{
		"corrected age":   {{{Version: 3, AgeMillis: 0}}, {{Version: 3, AgeMillis: age.Milliseconds()}}},
		"earlier version": {{{Version: 3, AgeMillis: 0}}, {{Version: 2, AgeMillis: age.Milliseconds()}}},
	} {
		for _, self := range members {
			a := &agentRole{process: &process{clock: clock}, decider: swap.Decider{Self: self, Bound: bound}}
			a.fleet = &fleet.Fleet{Clock: clock, NamedVersionChanged: func(string, int64, time.Time) {}}
			a.decider.SetMembers(members)
			for _, versions := range reports {
				a.fleet.MergeNamedVersions(fleet.Summary{Named: map[string][]fleet.NamedVersionAge{"m": versions}}, "peer", 1)
				a.updateNamedVersions(context.Background(), "m")
			}
			now := clock.Now()
			decision := a.decider.Next(swap.View{Served: 1, Staged: 3, StagedAt: now, Uploaded: 3}, now)
			if decision.WakeAt.After(now.Add(bound - age)) {
				t.Errorf("%s: the swap of %s is due in %v, want at most %v", name, self, decision.WakeAt.Sub(now), bound-age)
			}
		}
	}
}
