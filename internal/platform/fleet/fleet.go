// Package fleet keeps what a process believes of the routes, the backend
// servers and the named versions.
//
//	store --> follow.Follower per kind --\
//	peers --> Merge ----------------------> State --> Changed
//
// The store goes before peers, and peers are heard so that a process which
// the store turns away, or which starts during an outage, still learns of
// changes. A configuration or a named version never goes back.
package fleet

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/follow"
)

const (
	// reappearTime is how long servers whose entries expired during an outage
	// may take to be back in the store.
	reappearTime = 2 * time.Second
)

type (
	// Servers holds backend servers by instance.
	Servers = map[mulberryspool.InstanceID]mulberryspool.BackendServer

	// State is what a process believes.
	State struct {
		// Ingress is nil while no configuration is known.
		Ingress *mulberryspool.Ingress `json:"ingress,omitempty"`
		Servers Servers                `json:"servers,omitempty"`
		// ServersAt is the store's revision that Servers was last changed at; 0
		// while no list is known.
		ServersAt mulberryspool.Revision `json:"serversAt,omitempty"`
		// Named holds the named version of each model.
		Named map[string]int64 `json:"named,omitempty"`
	}

	// Marks says how new a State is, in few bytes.
	Marks struct {
		Config    int64                  `json:"config,omitempty"`
		ServersAt mulberryspool.Revision `json:"serversAt,omitempty"`
		Named     map[string]int64       `json:"named,omitempty"`
		// Reachable is set while the store answers the process.
		Reachable bool `json:"reachable,omitempty"`
	}

	// Kinds names and decodes the kinds of the store.
	Kinds struct {
		Config, Servers, Versions string
		Ingress                   func(mulberryspool.Object) (mulberryspool.Ingress, error)
		Server                    func(mulberryspool.Object) (mulberryspool.BackendServer, error)
		Version                   func(mulberryspool.Object) (mulberryspool.NamedVersion, error)
	}

	// Fleet follows the store. Set the exported fields before Run. The
	// functions are called in order and must not block.
	Fleet struct {
		Store  mulberryspool.ObjectKinds
		Kinds  Kinds
		Clock  mulberryspool.Clock
		Logger zerolog.Logger
		// ConfigRearm and ServersRearm are the pauses between two watches; see
		// follow.DefaultRearm.
		ConfigRearm, ServersRearm time.Duration

		IngressChanged func(mulberryspool.Ingress)
		ServersChanged func(Servers)
		NamedChanged   func(model string, version int64)

		once     sync.Once
		config   follow.Follower[mulberryspool.Ingress]
		servers  follow.Follower[mulberryspool.BackendServer]
		versions follow.Follower[mulberryspool.NamedVersion]

		mu    sync.Mutex
		state State
	}
)

// Sources of a belief, as they stand in logs.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// Run follows the store until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	f.prepare()
	var running sync.WaitGroup
	running.Go(func() { f.config.Run(ctx) })
	running.Go(func() { f.servers.Run(ctx) })
	running.Go(func() { f.versions.Run(ctx) })
	running.Wait()
}

// prepare makes the followers; the other methods may be called before Run.
func (f *Fleet) prepare() {
	f.once.Do(f.makeFollowers)
}

func (f *Fleet) makeFollowers() {
	f.config = follow.Follower[mulberryspool.Ingress]{
		Store: f.Store, Kind: f.Kinds.Config, Clock: f.Clock, Rearm: f.ConfigRearm, Logger: f.Logger,
		Set:     follow.Set[mulberryspool.Ingress]{Decode: f.Kinds.Ingress},
		Changed: f.setIngresses,
	}
	f.servers = follow.Follower[mulberryspool.BackendServer]{
		Store: f.Store, Kind: f.Kinds.Servers, Clock: f.Clock, Rearm: f.ServersRearm, Logger: f.Logger,
		Set:     follow.Set[mulberryspool.BackendServer]{Decode: f.Kinds.Server, Grace: reappearTime},
		Changed: f.setServers,
	}
	f.versions = follow.Follower[mulberryspool.NamedVersion]{
		Store: f.Store, Kind: f.Kinds.Versions, Clock: f.Clock, Logger: f.Logger,
		Set:     follow.Set[mulberryspool.NamedVersion]{Decode: f.Kinds.Version},
		Changed: f.setVersions,
	}
}

// State returns what is believed now. Its parts must not be changed.
func (f *Fleet) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Known says whether the process knows a configuration and a list of servers.
func (f *Fleet) Known() bool {
	s := f.State()
	return s.Ingress != nil && s.ServersAt > 0
}

// Marks returns how new the belief is.
func (f *Fleet) Marks() Marks {
	f.prepare()
	reachable := f.config.Reachable() && f.servers.Reachable() && f.versions.Reachable()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := Marks{ServersAt: f.state.ServersAt, Named: f.state.Named, Reachable: reachable}
	if f.state.Ingress != nil {
		m.Config = f.state.Ingress.Version
	}
	return m
}

// Behind says whether a peer knows something that the store does not tell
// this process.
func (f *Fleet) Behind(peer Marks) bool {
	own := f.Marks()
	if peer.Config > own.Config && !f.config.Reachable() {
		return true
	}
	return peer.Reachable && peer.ServersAt > own.ServersAt && !f.servers.Reachable()
}

// Merge takes over what a peer believes where it is newer.
func (f *Fleet) Merge(s State, peer string) {
	f.prepare()
	if s.Ingress != nil {
		f.setIngress(*s.Ingress, fromPeer, peer)
	}
	f.MergeNamed(s.Named, peer)
	if f.servers.Reachable() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.ServersAt > f.state.ServersAt {
		f.replaceServers(s.Servers, s.ServersAt, fromPeer)
	}
}

// MergeNamed takes over the named versions of a peer.
func (f *Fleet) MergeNamed(versions map[string]int64, peer string) {
	for model, version := range versions {
		f.setNamed(model, version, fromPeer, peer)
	}
}

func (f *Fleet) setIngresses(items map[string]mulberryspool.Ingress, _ follow.Difference) {
	for _, i := range items {
		f.setIngress(i, fromStore, "")
	}
}

func (f *Fleet) setIngress(i mulberryspool.Ingress, source, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var before int64
	if f.state.Ingress != nil {
		before = f.state.Ingress.Version
	}
	if i.Version <= before {
		return
	}
	f.state.Ingress = &i
	f.Logger.Info().Str("step", "adopt configuration").Str("source", source).Str("peer", peer).
		Int64("before", before).Int64("version", i.Version).Int("routes", len(i.Routes)).Msg("configuration in force")
	f.IngressChanged(i)
}

func (f *Fleet) setServers(items map[string]mulberryspool.BackendServer, d follow.Difference) {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := make(Servers, len(items))
	for _, b := range items {
		servers[b.Instance] = b
	}
	f.replaceServers(servers, max(f.state.ServersAt, d.At), fromStore)
}

// replaceServers is called with the mutex held.
func (f *Fleet) replaceServers(servers Servers, at mulberryspool.Revision, source string) {
	before := f.state.Servers
	f.state.Servers, f.state.ServersAt = servers, at
	for id, b := range servers {
		old, known := before[id]
		if known && old.Leaving == b.Leaving && old.Born == b.Born && old.Address == b.Address && maps.Equal(versions(old), versions(b)) {
			continue
		}
		f.Logger.Info().Str("step", "adopt server").Str("source", source).Str("peer", string(id)).Str("pool", b.Pool).
			Str("address", b.Address).Bool("known", known).Int64("born", b.Born).Bool("leaving", b.Leaving).
			Interface("models", b.Models).Uint64("revision", uint64(at)).Msg("backend server listed")
	}
	for id, b := range before {
		if _, ok := servers[id]; !ok {
			f.Logger.Info().Str("step", "drop server").Str("source", source).Str("peer", string(id)).Str("pool", b.Pool).
				Uint64("revision", uint64(at)).Msg("backend server is gone")
		}
	}
	f.ServersChanged(servers)
}

func (f *Fleet) setVersions(items map[string]mulberryspool.NamedVersion, _ follow.Difference) {
	for _, v := range items {
		f.setNamed(v.Model, v.Version, fromStore, "")
	}
}

func (f *Fleet) setNamed(model string, version int64, source, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Named[model]
	if version <= before {
		return
	}
	named := maps.Clone(f.state.Named)
	if named == nil {
		named = make(map[string]int64)
	}
	named[model] = version
	f.state.Named = named
	f.Logger.Info().Str("step", "adopt version").Str("source", source).Str("peer", peer).Str("model", model).
		Int64("before", before).Int64("version", version).Msg("version named")
	f.NamedChanged(model, version)
}

func versions(b mulberryspool.BackendServer) map[string]int64 {
	held := make(map[string]int64, len(b.Models))
	for _, m := range b.Models {
		held[m.Model] = m.Version
	}
	return held
}
