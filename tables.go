package mulberryspool

import "time"

type (
	// RouteKind is the interface that a route offers to callers.
	RouteKind string
	// PoolKind is the kind of backend servers in a pool.
	PoolKind string
)

// Kinds of routes and pools.
const (
	RouteChat  RouteKind = "chat"
	RoutePlain RouteKind = "plain"

	PoolEngine PoolKind = "engine"
	PoolPlain  PoolKind = "plain"
)

// TablesKind and TablesName name the object that holds both tables.
const (
	TablesKind = "config"
	TablesName = "tables"
)

type (
	// Tables holds the tables of routes and pools, which are stored in one object.
	// Routes refer to pools by name.
	Tables struct {
		Routes []Route `json:"routes" yaml:"routes" validate:"dive"`
		Pools  []Pool  `json:"pools" yaml:"pools" validate:"dive"`
		// Changes holds the latest changes, oldest first.
		Changes []Change `json:"changes,omitempty" yaml:"changes,omitempty"`
	}

	// Route maps callers' requests to a pool.
	Route struct {
		// Name is unique. Callers specify it as the model name on chat routes and
		// as the first path element on plain routes.
		Name string    `json:"name" yaml:"name" validate:"required"`
		Kind RouteKind `json:"kind" yaml:"kind" validate:"oneof=chat plain"`
		// Pool is empty when Split is set.
		Pool string `json:"pool,omitempty" yaml:"pool,omitempty"`
		// Split divides the requests between pools. The weights add up to 100.
		Split []PoolShare `json:"split,omitempty" yaml:"split,omitempty" validate:"dive"`
		// Idempotent permits a second execution after an unknown outcome.
		Idempotent bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
		// Deferred permits callers to submit requests that are executed later.
		Deferred bool `json:"deferred,omitempty" yaml:"deferred,omitempty"`
		// Priority is higher for work that is admitted first.
		Priority int `json:"priority,omitempty" yaml:"priority,omitempty" validate:"gte=0,lte=9"`
		// Timeout limits the time from a request's admission to its last byte.
		Timeout time.Duration `json:"timeout,omitempty" yaml:"timeout,omitempty" validate:"gte=0"`
	}

	// PoolShare is a pool with its percentage of a split route.
	PoolShare struct {
		Pool   string `json:"pool" yaml:"pool" validate:"required"`
		Weight int    `json:"weight" yaml:"weight" validate:"gte=0,lte=100"`
	}

	// Pool is a group of backend servers that serve the same version.
	Pool struct {
		// Name is unique.
		Name string   `json:"name" yaml:"name" validate:"required"`
		Kind PoolKind `json:"kind" yaml:"kind" validate:"oneof=engine plain"`
		// Version is a published version; empty only for plain pools.
		Version string `json:"version,omitempty" yaml:"version,omitempty"`
		// Adapter is a published version that is loaded on top of Version.
		Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
		// EngineRole is passed through to the engine, such as prefill or decode.
		EngineRole string `json:"engineRole,omitempty" yaml:"engineRole,omitempty"`
		// IgnoresFencing is set for engines that accept orders with an old fencing
		// token.
		IgnoresFencing bool `json:"ignoresFencing,omitempty" yaml:"ignoresFencing,omitempty"`
		// MaxUnavailable is the maximum number of backend servers that change
		// versions at the same time; 0 means 1.
		MaxUnavailable int `json:"maxUnavailable,omitempty" yaml:"maxUnavailable,omitempty" validate:"gte=0"`
	}

	// Change records an accepted change of the tables.
	Change struct {
		// ID is chosen by the writer, so that it can find its own change again if
		// the response to the write was lost.
		ID     string    `json:"id" yaml:"id"`
		Author string    `json:"author" yaml:"author"`
		Time   time.Time `json:"time" yaml:"time"`
		// Base is the revision that the writer had read.
		Base Revision `json:"base" yaml:"base"`
		// Reverts is the revision that the writer intended to undo; 0 for none.
		Reverts Revision    `json:"reverts,omitempty" yaml:"reverts,omitempty"`
		Rows    []RowChange `json:"rows" yaml:"rows"`
	}

	// RowChange is the difference that a change made to one row.
	RowChange struct {
		// Table is "routes" or "pools".
		Table string `json:"table" yaml:"table"`
		Row   string `json:"row" yaml:"row"`
		// Before and After hold the row as one line of JSON; empty if it did not exist.
		Before string `json:"before,omitempty" yaml:"before,omitempty"`
		After  string `json:"after,omitempty" yaml:"after,omitempty"`
	}

	// TablesDocument is the tables object as it is stored. Processes exchange the
	// stored bytes, so that all of them validate the same document.
	TablesDocument struct {
		Revision Revision `json:"revision"`
		Document []byte   `json:"document"`
	}
)

// Route returns the route with the given name.
func (t *Tables) Route(name string) (Route, bool) {
	for _, r := range t.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// Pool returns the pool with the given name.
func (t *Tables) Pool(name string) (Pool, bool) {
	for _, p := range t.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}
