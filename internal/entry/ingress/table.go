// Package ingress finds the route and the workspace of a request.
//
//	mulberryspool.Ingress --> New --> Table.Route(host, path), Table.Workspace(key)
package ingress

import (
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// Table is one version of the routes and keys, ready for look-ups. It never changes.
type Table struct {
	Ingress mulberryspool.Ingress

	// routes holds the routes of each host, the longest prefix first.
	routes     map[string][]*mulberryspool.IngressRoute
	workspaces map[string]*mulberryspool.Workspace
}

// New prepares a version.
func New(ingress mulberryspool.Ingress) *Table {
	t := &Table{
		Ingress:    ingress,
		routes:     make(map[string][]*mulberryspool.IngressRoute),
		workspaces: make(map[string]*mulberryspool.Workspace),
	}
	for i := range ingress.Routes {
		r := &ingress.Routes[i]
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *mulberryspool.IngressRoute) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range ingress.Workspaces {
		w := &ingress.Workspaces[i]
		for _, key := range w.Keys {
			t.workspaces[key] = w
		}
	}
	return t
}

// Route returns the route with the longest prefix of the path, nil for none.
func (t *Table) Route(host, path string) *mulberryspool.IngressRoute {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Keyed says whether callers need a key.
func (t *Table) Keyed() bool {
	return len(t.Ingress.Workspaces) > 0
}

// Workspace returns the workspace that holds the key, nil for none.
func (t *Table) Workspace(key string) *mulberryspool.Workspace {
	return t.workspaces[key]
}

// Pool returns the pool of a request. The same request goes to the same pool.
func (t *Table) Pool(r *mulberryspool.IngressRoute, id mulberryspool.RequestID) mulberryspool.IngressPool {
	total := 0
	for _, p := range r.Pools {
		total += max(0, p.Weight)
	}
	if total == 0 {
		return t.Ingress.Pools[r.Pools[0].Pool]
	}
	place := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, p := range r.Pools {
		if place -= max(0, p.Weight); place < 0 {
			return t.Ingress.Pools[p.Pool]
		}
	}
	return t.Ingress.Pools[r.Pools[0].Pool]
}
