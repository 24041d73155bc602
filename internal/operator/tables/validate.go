package tables

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// Errors of Validate. Test for them with errors.Is.
var (
	ErrRow                = errors.New("row is not valid")
	ErrDuplicateName      = errors.New("duplicate name")
	ErrMissingPool        = errors.New("route to a missing pool")
	ErrSplitWeights       = errors.New("split weights do not add up to 100")
	ErrUnpublishedVersion = errors.New("version is not published")
	ErrNoServers          = errors.New("pool would be left without servers")
)

const (
	splitWeightTotal = 100
	maxPriority      = 9
)

type (
	// Problem is one validation error.
	Problem struct {
		// Table and Row identify the invalid row.
		Table, Row string
		// Err is one of the errors of Validate.
		Err    error
		Reason string
		// path is the key in a tables file, such as routes[0].pool.
		path string
	}

	// Problems is the error for invalid tables.
	Problems []Problem

	// ClusterState is the state outside of the tables that a change is
	// validated against. Processes that load the tables don't use it, because
	// they can observe different states and would then disagree on the result.
	ClusterState struct {
		// Published reports whether a version is published. If it is nil,
		// versions are not checked.
		Published func(version string) (bool, error)
		// Live is the number of live servers by pool. If it is nil, servers are
		// not checked.
		Live map[string]int
	}
)

// Error returns table, row and reason.
func (p Problem) Error() string {
	return fmt.Sprintf("%s/%s: %s", p.Table, p.Row, p.Reason)
}

// Unwrap returns the kind of the problem.
func (p Problem) Unwrap() error { return p.Err }

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single problems.
func (p Problems) Unwrap() []error {
	wrapped := make([]error, len(p))
	for i, problem := range p {
		wrapped[i] = problem
	}
	return wrapped
}

// Validate checks the tables without reference to other state, so that every
// process gets the same result for the same document. The error is of type
// Problems.
func Validate(t mulberryspool.Tables) error {
	if problems := findProblems(t); len(problems) > 0 {
		return problems
	}
	return nil
}

// ValidateChange does the checks of Validate on after, and checks the change
// from before to after against the cluster state.
func ValidateChange(before, after mulberryspool.Tables, clusterState ClusterState) error {
	problems := findProblems(after)
	for i, p := range after.Pools {
		for _, version := range []string{p.Version, p.Adapter} {
			if version == "" || clusterState.Published == nil {
				continue
			}
			published, err := clusterState.Published(version)
			if err != nil {
				return mulberryspool.AtStep(err, "check that version "+version+" is published", "")
			}
			if !published {
				problems.add(TablePools, p.Name, i, ".version", ErrUnpublishedVersion, "version %s is not published", version)
			}
		}
	}
	problems = append(problems, poolsLosingServers(before, after, clusterState.Live)...)
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// poolsLosingServers finds changes that can leave requests without a server:
// routes to a pool without live servers, removal of a pool with live servers,
// and a maxUnavailable that allows all servers of a pool to swap weights at the
// same time. If no routes existed before, routes are not checked, because
// servers may be started after the first tables are applied.
func poolsLosingServers(before, after mulberryspool.Tables, live map[string]int) Problems {
	var problems Problems
	if live == nil {
		return nil
	}
	for _, p := range before.Pools {
		if _, kept := after.Pool(p.Name); !kept && live[p.Name] > 0 {
			problems.add(TablePools, p.Name, -1, "", ErrNoServers,
				"the pool is removed while %d servers are live in it; stop them first", live[p.Name])
		}
	}
	for i, p := range after.Pools {
		old, _ := before.Pool(p.Name)
		if n := live[p.Name]; n > 1 && p.MaxUnavailable >= n && p != old {
			problems.add(TablePools, p.Name, i, ".maxUnavailable", ErrNoServers,
				"maxUnavailable %d lets all %d live servers swap at once, expected less than %d", p.MaxUnavailable, n, n)
		}
	}
	for i, r := range after.Routes {
		old, _ := before.Route(r.Name)
		for _, name := range routePools(r) {
			if live[name] == 0 && !routesTo(old, name) && len(before.Routes) > 0 {
				problems.add(TableRoutes, r.Name, i, ".pool", ErrNoServers, "pool %s has no live server", name)
			}
		}
	}
	return problems
}

// reservedRouteNames are first path elements that entries serve themselves, so
// that no plain route can use them.
var reservedRouteNames = []string{"v1", "deferred"}

// findProblems returns all errors of the tables themselves.
func findProblems(t mulberryspool.Tables) Problems {
	var problems Problems
	seen := make(map[string]bool)
	for i, p := range t.Pools {
		if seen[p.Name] {
			problems.add(TablePools, p.Name, i, ".name", ErrDuplicateName, "the name %q is used by another pool", p.Name)
		}
		seen[p.Name] = true
		problems.checkPool(i, p)
	}
	seen = make(map[string]bool)
	for i, r := range t.Routes {
		if seen[r.Name] {
			problems.add(TableRoutes, r.Name, i, ".name", ErrDuplicateName, "the name %q is used by another route", r.Name)
		}
		seen[r.Name] = true
		problems.checkRoute(i, r, t)
	}
	return problems
}

func (p *Problems) checkPool(i int, row mulberryspool.Pool) {
	switch {
	case row.Name == "":
		p.add(TablePools, row.Name, i, ".name", ErrRow, "the pool has no name")
	case row.Kind != mulberryspool.PoolEngine && row.Kind != mulberryspool.PoolPlain:
		p.add(TablePools, row.Name, i, ".kind", ErrRow, "kind %q is unknown, expected engine or plain", row.Kind)
	case row.Kind == mulberryspool.PoolEngine && row.Version == "":
		p.add(TablePools, row.Name, i, ".version", ErrRow, "a pool of kind engine needs a version")
	case row.Kind == mulberryspool.PoolPlain && (row.Version != "" || row.Adapter != "" || row.EngineRole != ""):
		p.add(TablePools, row.Name, i, ".kind", ErrRow, "a pool of kind plain has no version, adapter or engineRole")
	case row.MaxUnavailable < 0:
		p.add(TablePools, row.Name, i, ".maxUnavailable", ErrRow, "maxUnavailable is negative")
	}
}

func (p *Problems) checkRoute(i int, row mulberryspool.Route, t mulberryspool.Tables) {
	switch {
	case row.Name == "" || strings.Contains(row.Name, "/") && row.Kind == mulberryspool.RoutePlain:
		p.add(TableRoutes, row.Name, i, ".name", ErrRow, "the name %q is not one path element", row.Name)
	case row.Kind == mulberryspool.RoutePlain && slices.Contains(reservedRouteNames, row.Name):
		p.add(TableRoutes, row.Name, i, ".name", ErrRow, "the name %q is a path of the entry itself, expected another one", row.Name)
	case row.Kind != mulberryspool.RouteChat && row.Kind != mulberryspool.RoutePlain:
		p.add(TableRoutes, row.Name, i, ".kind", ErrRow, "kind %q is unknown, expected chat or plain", row.Kind)
	case row.Priority < 0 || row.Priority > maxPriority:
		p.add(TableRoutes, row.Name, i, ".priority", ErrRow, "priority %d is not from 0 to %d", row.Priority, maxPriority)
	case row.Timeout < 0:
		p.add(TableRoutes, row.Name, i, ".timeout", ErrRow, "timeout is negative")
	case (row.Pool == "") == (len(row.Split) == 0):
		p.add(TableRoutes, row.Name, i, ".pool", ErrRow, "a route has either a pool or a split")
	}
	for _, name := range routePools(row) {
		if _, ok := t.Pool(name); !ok {
			p.add(TableRoutes, row.Name, i, ".pool", ErrMissingPool, "pool %q does not exist", name)
		}
	}
	p.checkSplit(i, row)
}

func (p *Problems) checkSplit(i int, row mulberryspool.Route) {
	if len(row.Split) == 0 {
		return
	}
	total := 0
	seen := make(map[string]bool)
	for _, share := range row.Split {
		if share.Weight < 0 || share.Weight > splitWeightTotal {
			p.add(TableRoutes, row.Name, i, ".split", ErrSplitWeights, "weight %d of pool %s is not from 0 to %d", share.Weight, share.Pool, splitWeightTotal)
			return
		}
		if seen[share.Pool] {
			p.add(TableRoutes, row.Name, i, ".split", ErrDuplicateName, "the split names pool %s twice", share.Pool)
		}
		seen[share.Pool] = true
		total += share.Weight
	}
	if total != splitWeightTotal {
		p.add(TableRoutes, row.Name, i, ".split", ErrSplitWeights, "the weights add up to %d, expected %d", total, splitWeightTotal)
	}
}

func (p *Problems) add(table, row string, index int, key string, kind error, format string, args ...any) {
	*p = append(*p, Problem{
		Table: table, Row: row, Err: kind, Reason: fmt.Sprintf(format, args...),
		path: fmt.Sprintf("%s[%d]%s", table, index, key),
	})
}

// routePools returns the pools that the route sends requests to.
func routePools(r mulberryspool.Route) []string {
	if len(r.Split) == 0 {
		if r.Pool == "" {
			return nil
		}
		return []string{r.Pool}
	}
	var names []string
	for _, share := range r.Split {
		names = append(names, share.Pool)
	}
	return names
}

func routesTo(r mulberryspool.Route, pool string) bool {
	for _, name := range routePools(r) {
		if name == pool {
			return true
		}
	}
	return false
}
