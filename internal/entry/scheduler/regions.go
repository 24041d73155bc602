package scheduler

import (
	"github.com/mulberryspool/mulberryspool/internal/entry/ingress"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

// Scope is what the regions of a request follow from.
type Scope = ingress.Scope

// regions returns the regions whose backend servers may get requests of the scope, by the
// configuration in force; nil for all.
func (s *Scheduler) regions(scope Scope) []string {
	table := s.table.Load()
	if table == nil || scope.Route == nil {
		return nil
	}
	return table.Regions(scope)
}

// updateRegions applies a new configuration to the waiting requests.
func (s *Scheduler) updateRegions() {
	for _, p := range s.pools {
		p.placer.UpdateRegions(func(r placement.Request) []string { return s.regions(r.Scope) })
		s.decideWaiting(p)
	}
}
