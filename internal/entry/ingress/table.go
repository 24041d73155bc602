// Package ingress looks up the route, the pool and the workspace of a request.
//
//	mulberryspool.Ingress --> New --> Table.Route(host, path), Table.Pool(route, id), Table.Workspace(key)
package ingress

import (
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// Table indexes one version of the routes and API keys. It is immutable.
type Table struct {
	Ingress mulberryspool.Ingress

	// routesByHost holds the routes of each lower-case host, the longest path
	// prefix first.
	routesByHost    map[string][]*mulberryspool.IngressRoute
	workspacesByKey map[string]*mulberryspool.Workspace
}

// New indexes one version of the routes and API keys.
func New(ingress mulberryspool.Ingress) *Table {
	t := &Table{
		Ingress:         ingress,
		routesByHost:    make(map[string][]*mulberryspool.IngressRoute),
		workspacesByKey: make(map[string]*mulberryspool.Workspace),
	}
	for i := range ingress.Routes {
		r := &ingress.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *mulberryspool.IngressRoute) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range ingress.Workspaces {
		w := &ingress.Workspaces[i]
		for _, key := range w.Keys {
			t.workspacesByKey[key] = w
		}
	}
	return t
}

// Route returns the host's route with the longest path prefix that matches, or
// nil if none does. A port in host is ignored.
func (t *Table) Route(host, path string) *mulberryspool.IngressRoute {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether callers need an API key.
func (t *Table) RequiresKey() bool {
	return len(t.Ingress.Workspaces) > 0
}

// Workspace returns the workspace that the key belongs to, or nil if there is none.
func (t *Table) Workspace(key string) *mulberryspool.Workspace {
	return t.workspacesByKey[key]
}

// Pool selects the pool of a request by the weights of the route. A request ID
// always maps to the same pool.
func (t *Table) Pool(r *mulberryspool.IngressRoute, id mulberryspool.RequestID) mulberryspool.IngressPool {
	total := 0
	for _, p := range r.Pools {
		total += max(0, p.Weight)
	}
	if total == 0 {
		return t.Ingress.Pools[r.Pools[0].Pool]
	}
	point := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, p := range r.Pools {
		if point -= max(0, p.Weight); point < 0 {
			return t.Ingress.Pools[p.Pool]
		}
	}
	return t.Ingress.Pools[r.Pools[0].Pool]
}
