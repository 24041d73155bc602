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
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/follow"
)

const (
	// reappearTime is how long servers whose entries expired during an outage
	// may take to be back in the store.
	reappearTime = 2 * time.Second
	// versionsPatience is how much longer a watch on the named versions waits;
	// they have four times as long as configurations.
	versionsPatience = 3
	// keptVersions is the number of named versions of a model whose times are
	// remembered; a third one makes the first useless in any case.
	keptVersions = 4
)

type (
	// Servers holds backend servers by instance.
	Servers = map[mulberryspool.InstanceID]mulberryspool.BackendServer

	// State is what a process believes.
	State struct {
		// Ingress is nil while no configuration is known.
		Ingress *mulberryspool.Ingress `json:"ingress,omitempty"`
		Servers Servers                `json:"servers,omitempty"`
		// ServersAt is the store's revision at which Servers was last known for
		// certain; 0 while no list is known.
		ServersAt mulberryspool.Revision `json:"serversAt,omitempty"`
	}

	// Marks says how new a State is, in few bytes.
	Marks struct {
		Config int64 `json:"config,omitempty"`
		// ServersAt is State.ServersAt; Servers is a hash of what is listed.
		ServersAt mulberryspool.Revision `json:"serversAt,omitempty"`
		Servers   uint64                 `json:"servers,omitempty"`
		// Named holds the newest named versions of each model, oldest first.
		Named map[string][]NamedMark `json:"named,omitempty"`
	}

	// NamedMark is a named version and how long it is known to have been named.
	NamedMark struct {
		Version int64 `json:"version"`
		// AgeMillis is negative while the process found the version already
		// there and nobody has told it since when.
		AgeMillis int64 `json:"ageMillis"`
	}

	// named is what is known of a named version.
	named struct {
		version int64
		at      time.Time
		// found says that the version was there before the process looked.
		found bool
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
		// Rests says that peers tell what the store says; see follow.Follower.
		Rests func() bool
		// Wait returns how long a watch waits; nil for follow.DefaultWait. A
		// store that drops its history may tell a waiting watch nothing.
		Wait func() time.Duration

		IngressChanged func(mulberryspool.Ingress)
		ServersChanged func(Servers)
		// NamedChanged is called with the time since when the version has been
		// named as far as is known, again when that time is corrected.
		NamedChanged func(model string, version int64, at time.Time)
		// FoundAge is what is assumed of a version that the process found
		// there when it started, until somebody knows better.
		FoundAge time.Duration

		once     sync.Once
		config   follow.Follower[mulberryspool.Ingress]
		servers  follow.Follower[mulberryspool.BackendServer]
		versions follow.Follower[mulberryspool.NamedVersion]

		mu    sync.Mutex
		state State
		// named holds the newest named versions of each model, oldest first.
		named map[string][]named
		hash  uint64
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
		Store: f.Store, Kind: f.Kinds.Config, Clock: f.Clock, Wait: f.Wait, Rearm: f.ConfigRearm, Rests: f.Rests, Logger: f.Logger,
		Set:     follow.Set[mulberryspool.Ingress]{Decode: f.Kinds.Ingress},
		Changed: f.setIngresses,
	}
	f.servers = follow.Follower[mulberryspool.BackendServer]{
		Store: f.Store, Kind: f.Kinds.Servers, Clock: f.Clock, Wait: f.Wait, Rearm: f.ServersRearm, Rests: f.Rests, Logger: f.Logger,
		Set:     follow.Set[mulberryspool.BackendServer]{Decode: f.Kinds.Server, Grace: reappearTime},
		Changed: f.setServers,
	}
	f.versions = follow.Follower[mulberryspool.NamedVersion]{
		Store: f.Store, Kind: f.Kinds.Versions, Clock: f.Clock, Wait: f.versionsWait(), Rests: f.Rests, Logger: f.Logger,
		Set:     follow.Set[mulberryspool.NamedVersion]{Decode: f.Kinds.Version},
		Changed: f.setVersions,
	}
}

// versionsWait is longer than Wait, because versions have more time.
func (f *Fleet) versionsWait() func() time.Duration {
	if f.Wait == nil {
		return nil
	}
	return func() time.Duration { return versionsPatience * f.Wait() }
}

// State returns what is believed now. Its parts must not be changed.
func (f *Fleet) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// ForAgents leaves out what only entries need, which is most of the bytes.
func (s State) ForAgents() State {
	if s.Ingress != nil {
		s.Ingress = &mulberryspool.Ingress{Version: s.Ingress.Version, Pools: s.Ingress.Pools}
	}
	return s
}

// Known says whether the process knows a configuration and a list of servers.
func (f *Fleet) Known() bool {
	s := f.State()
	return s.Ingress != nil && s.Servers != nil
}

// Marks returns how new the belief is.
func (f *Fleet) Marks() Marks {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	m := Marks{ServersAt: f.state.ServersAt, Servers: f.hash, Named: make(map[string][]NamedMark, len(f.named))}
	if f.state.Ingress != nil {
		m.Config = f.state.Ingress.Version
	}
	for model, versions := range f.named {
		for _, n := range versions {
			mark := NamedMark{Version: n.version, AgeMillis: now.Sub(n.at).Milliseconds()}
			if n.found {
				mark.AgeMillis = -1
			}
			m.Named[model] = append(m.Named[model], mark)
		}
	}
	return m
}

// Behind says whether a peer knows something that this process does not. It
// may be on its way from the store.
func (f *Fleet) Behind(peer Marks) bool {
	own := f.Marks()
	return peer.Config > own.Config || peer.ServersAt > own.ServersAt && peer.Servers != own.Servers
}

// Merge takes over what a peer believes where it is newer.
func (f *Fleet) Merge(s State, peer string) {
	if s.Ingress != nil {
		f.setIngress(*s.Ingress, fromPeer, peer)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.ServersAt > f.state.ServersAt {
		f.replaceServers(s.Servers, s.ServersAt, fromPeer)
	}
}

// MergeNamed takes over the named versions of a peer.
func (f *Fleet) MergeNamed(marks map[string][]NamedMark, peer string) {
	now := f.Clock.Now()
	for model, versions := range marks {
		for _, m := range versions {
			n := named{version: m.Version, at: now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)}
			if m.AgeMillis < 0 {
				n.at, n.found = now.Add(-f.FoundAge), true
			}
			f.setNamed(model, n, fromPeer, peer)
		}
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
	// A peer has told more than a watch that was silent for a while.
	if d.At < f.state.ServersAt {
		return
	}
	servers := make(Servers, len(items))
	for _, b := range items {
		servers[b.Instance] = b
	}
	at := d.At
	if d.Uncertain {
		// Peers that know better are not to take over what this process only
		// supposes, and this process takes over what they know.
		at = f.state.ServersAt
	}
	f.replaceServers(servers, at, fromStore)
}

// replaceServers is called with the mutex held.
func (f *Fleet) replaceServers(servers Servers, at mulberryspool.Revision, source string) {
	before := f.state.Servers
	f.state.Servers, f.state.ServersAt, f.hash = servers, at, hash(servers)
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

func (f *Fleet) setVersions(items map[string]mulberryspool.NamedVersion, d follow.Difference) {
	n := named{at: f.Clock.Now(), found: d.Listed}
	if n.found {
		n.at = n.at.Add(-f.FoundAge)
	}
	for _, v := range items {
		n.version = v.Version
		f.setNamed(v.Model, n, fromStore, "")
	}
}

// setNamed adds a version, or corrects since when it has been named.
func (f *Fleet) setNamed(model string, n named, source, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.named[model]
	i, there := slices.BinarySearchFunc(known, n, func(a, b named) int { return cmp.Compare(a.version, b.version) })
	switch {
	case there && (n.found || !known[i].found):
		return
	case there:
		known = slices.Clone(known)
		known[i] = n
	case i == 0 && len(known) == keptVersions:
		return
	default:
		known = slices.Insert(slices.Clone(known), i, n)
		known = known[max(0, len(known)-keptVersions):]
	}
	if f.named == nil {
		f.named = make(map[string][]named)
	}
	f.named[model] = known
	f.Logger.Info().Str("step", "adopt version").Str("source", source).Str("peer", peer).Str("model", model).
		Int64("version", n.version).Int64("newest", known[len(known)-1].version).
		Dur("age", f.Clock.Since(n.at)).Bool("ageKnown", !n.found).Msg("version named")
	f.NamedChanged(model, n.version, n.at)
}

// Named returns the newest named version of a model, 0 for none, and since when.
func (f *Fleet) Named(model string) (int64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.named[model]
	if len(known) == 0 {
		return 0, time.Time{}
	}
	newest := known[len(known)-1]
	return newest.version, newest.at
}

// hash tells lists of servers apart.
func hash(servers Servers) uint64 {
	var sum uint64
	for id, b := range servers {
		sum += xxhash.Sum64String(fmt.Sprint(id, b.Born, b.Address, b.Leaving, b.Models))
	}
	return sum
}

func versions(b mulberryspool.BackendServer) map[string]int64 {
	held := make(map[string]int64, len(b.Models))
	for _, m := range b.Models {
		held[m.Model] = m.Version
	}
	return held
}
