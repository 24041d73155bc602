package ingress

import (
	"cmp"
	"slices"

	"github.com/mulberryspool/mulberryspool"
)

// Scope is what the regions of a request follow from.
type Scope struct {
	// Host, Path and Key are those of the caller's request.
	Host, Path, Key string
	// Route and Workspace are those that the request has arrived with; Workspace may be nil.
	// They bind if a later version of the configuration has none for the request.
	Route     *mulberryspool.IngressRoute
	Workspace *mulberryspool.Workspace
}

// Regions returns the only regions whose backend servers may get a request, sorted: nil for
// all, empty for none. The workspace of a key binds on public routes too.
func (t *Table) Regions(s Scope) []string {
	var regions []string
	if route := cmp.Or(t.Route(s.Host, s.Path), s.Route); route != nil && len(route.Regions) > 0 {
		regions = sortedSet(route.Regions)
	}
	workspace := cmp.Or(t.Workspace(s.Key), s.Workspace)
	switch {
	case workspace == nil || len(workspace.Regions) == 0:
		return regions
	case regions == nil:
		return sortedSet(workspace.Regions)
	}
	return slices.DeleteFunc(regions, func(region string) bool { return !slices.Contains(workspace.Regions, region) })
}

// sortedSet returns a sorted copy without duplicates.
func sortedSet(regions []string) []string {
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
