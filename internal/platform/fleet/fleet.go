// Package fleet maintains a process's state: the configuration (routes and
// pools), the backend servers and the named versions.
//
//	store --> listwatch.Follower per kind --\
//	peers --> Merge, MergeNamedVersions ------> State, NamedVersion --> callbacks
//
// The store is the primary source. Peers are a second one, so that a process
// that the store throttles, or that starts during an outage, still learns of
// changes. The versions of the configuration and of a model never decrease.
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
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
	"github.com/mulberryspool/mulberryspool/internal/platform/membership"
)

const (
	// reregisterTime is the time that backend servers have after an outage of the
	// store to write their objects again if these expired during the outage.
	reregisterTime = 2 * time.Second
	// versionsWaitFactor is how many times longer a watch on the named versions
	// waits; they may take four times as long as configurations to arrive.
	versionsWaitFactor = 3
	// maxKeptVersions is the number of named versions of a model whose times are
	// kept. A third version makes the first one irrelevant in any case.
	maxKeptVersions = 4
	// minCorrection is the smallest correction of the time at which a version was
	// named. Each correction wakes the process and is announced to its peers.
	minCorrection = 10 * time.Millisecond
	// maxReportDelay is how long after the first sight of a version a process that
	// watches for it may see it, if neither its watch nor the process was held up.
	maxReportDelay = 500 * time.Millisecond
)

type (
	// Servers maps instances to backend servers.
	Servers = membership.Servers

	// State is what a process knows of the configuration and the backend servers.
	State struct {
		// Ingress is the configuration; nil while none is known.
		Ingress *mulberryspool.Ingress `json:"ingress,omitempty"`
		Servers Servers                `json:"servers,omitempty"`
		// ServersAt is the store's revision at which Servers was last known to be
		// exact; 0 while no list is known.
		ServersAt mulberryspool.Revision `json:"serversAt,omitempty"`
		// Unchanged holds the servers that are left out of Servers because the reader
		// has them already.
		Unchanged []mulberryspool.InstanceID `json:"unchanged,omitempty"`
	}

	// Part is a part of a State.
	Part string

	// Summary says how recent a process's state is, so that a peer can tell
	// whether it is newer than the peer's own.
	Summary struct {
		Config int64 `json:"config,omitempty"`
		// ServersAt is State.ServersAt; Servers is a hash of State.Servers.
		ServersAt mulberryspool.Revision `json:"serversAt,omitempty"`
		Servers   uint64                 `json:"servers,omitempty"`
		// Named holds the newest named versions of each model, oldest first.
		Named map[string][]NamedVersionAge `json:"named,omitempty"`
		// ConfigAnsweredMillis is the time since the store last answered the process's
		// call for the configuration; 0 if the process does not watch it.
		ConfigAnsweredMillis int64 `json:"configAnsweredMillis,omitempty" msgpack:",omitempty"`
	}

	// NamedVersionAge is a named version and the time since it was named.
	NamedVersionAge struct {
		Version int64 `json:"version"`
		// AgeMillis is negative if the version was already named when the process
		// first saw it, and no peer has reported the age.
		AgeMillis int64 `json:"ageMillis"`
		// SeenMillis is the time since any process first saw the version. It is
		// given if AgeMillis is negative.
		SeenMillis int64 `json:"seenMillis,omitempty"`
		// UnseenMillis is how long before the first sight the version may have been
		// named; 0 if that is not known. It is given if AgeMillis is negative.
		UnseenMillis int64 `json:"unseenMillis,omitempty"`
	}

	// serverList says where a list of servers comes from, for the log.
	serverList struct {
		source, reporter string
		// revision is the store's revision as of which the list is complete.
		revision mulberryspool.Revision
		assumed  bool
	}

	// namedVersion is a named version and when it was first seen.
	namedVersion struct {
		version int64
		// seen is when a process first saw the version, as far as known. The version
		// was named at that time or before.
		seen time.Time
		// ageUnknown is set if the version may have been named long before it was
		// first seen; unseen is how long at most, or Fleet.AssumedAge.
		ageUnknown bool
		unseen     time.Duration
		// watched is how long the watch that delivered the version had waited; 0 for a
		// list or a peer's report.
		watched time.Duration
	}

	// Kinds holds the names of the store's kinds and the functions that decode
	// their objects.
	Kinds struct {
		Config, Servers, Versions string
		DecodeIngress             func(mulberryspool.Object) (mulberryspool.Ingress, error)
		DecodeServer              func(mulberryspool.Object) (mulberryspool.BackendServer, error)
		DecodeVersion             func(mulberryspool.Object) (mulberryspool.NamedVersion, error)
	}

	// Fleet mirrors the store's objects and merges what peers report. Set the
	// exported fields before Run. The callbacks are called in order and must
	// not block.
	Fleet struct {
		Store  mulberryspool.KindStore
		Kinds  Kinds
		Clock  mulberryspool.Clock
		Logger zerolog.Logger
		// ConfigWatchPause and ServersWatchPause are the pauses between two watches;
		// listwatch.DefaultWatchPause if they are 0.
		ConfigWatchPause, ServersWatchPause time.Duration
		// Paused reports whether peers supply the state, so that the store need not
		// be called; see listwatch.Follower.Paused.
		Paused func() bool
		// ConfigPaused is Paused for the configuration; nil for Paused.
		ConfigPaused func() bool
		// WatchTimeout returns how long a watch waits for changes; nil for
		// listwatch.DefaultWatchTimeout. A watch that is already waiting may not
		// notice that the store dropped its history.
		WatchTimeout func() time.Duration
		// ConfigWatchTimeout is WatchTimeout for the configuration; nil for WatchTimeout.
		ConfigWatchTimeout func() time.Duration

		IngressChanged func(mulberryspool.Ingress)
		ServersChanged func(Servers)
		// NamedVersionChanged is called with the time at which the version was named, as
		// far as known, and again when that time is corrected.
		NamedVersionChanged func(model string, version int64, at time.Time)
		// AssumedAge is the assumed age, at its first sight, of a version that was
		// already named then, until a peer reports the age.
		AssumedAge time.Duration

		once            sync.Once
		configFollower  listwatch.Follower[mulberryspool.Ingress]
		serverFollower  listwatch.Follower[mulberryspool.BackendServer]
		versionFollower listwatch.Follower[mulberryspool.NamedVersion]

		mu      sync.Mutex
		ingress *mulberryspool.Ingress
		// configAnsweredAt is when the store last answered a call for the configuration.
		configAnsweredAt time.Time
		servers          membership.View
		serversHash      uint64
		// namedVersions holds the newest named versions of each model, oldest first.
		namedVersions map[string][]namedVersion
	}
)

// Parts of a State.
const (
	PartConfig  Part = "config"
	PartServers Part = "servers"
)

// Values of the log field source.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// Run lists and watches the store's kinds until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	f.init()
	var running sync.WaitGroup
	running.Go(func() { f.configFollower.Run(ctx) })
	running.Go(func() { f.serverFollower.Run(ctx) })
	running.Go(func() { f.versionFollower.Run(ctx) })
	running.Wait()
}

// init creates the followers once. The other methods may be called before Run.
func (f *Fleet) init() {
	f.once.Do(f.initFollowers)
}

func (f *Fleet) initFollowers() {
	if f.ConfigPaused == nil {
		f.ConfigPaused = f.Paused
	}
	if f.ConfigWatchTimeout == nil {
		f.ConfigWatchTimeout = f.WatchTimeout
	}
	f.configFollower = listwatch.Follower[mulberryspool.Ingress]{
		Store: f.Store, Kind: f.Kinds.Config, Clock: f.Clock, WatchTimeout: f.ConfigWatchTimeout, WatchPause: f.ConfigWatchPause, Paused: f.ConfigPaused, Logger: f.Logger,
		Set:     listwatch.Set[mulberryspool.Ingress]{Decode: f.Kinds.DecodeIngress},
		Changed: f.setIngresses, Answered: f.recordConfigAnswer,
	}
	f.serverFollower = listwatch.Follower[mulberryspool.BackendServer]{
		Store: f.Store, Kind: f.Kinds.Servers, Clock: f.Clock, WatchTimeout: f.WatchTimeout, WatchPause: f.ServersWatchPause, Paused: f.Paused, Logger: f.Logger,
		Set:     listwatch.Set[mulberryspool.BackendServer]{Decode: f.Kinds.DecodeServer, GracePeriod: reregisterTime},
		Changed: f.setServers,
	}
	f.versionFollower = listwatch.Follower[mulberryspool.NamedVersion]{
		Store: f.Store, Kind: f.Kinds.Versions, Clock: f.Clock, WatchTimeout: f.versionsWatchTimeout(), Paused: f.Paused, Logger: f.Logger,
		Set:     listwatch.Set[mulberryspool.NamedVersion]{Decode: f.Kinds.DecodeVersion},
		Changed: f.setVersions,
	}
}

// versionsWatchTimeout returns a multiple of WatchTimeout, because named versions
// may arrive later than the other kinds.
func (f *Fleet) versionsWatchTimeout() func() time.Duration {
	if f.WatchTimeout == nil {
		return nil
	}
	return func() time.Duration { return versionsWaitFactor * f.WatchTimeout() }
}

// State returns the current state. The caller must not modify what it refers to.
func (f *Fleet) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	snapshot := f.servers.Snapshot()
	return State{Ingress: f.ingress, Servers: snapshot.Servers, ServersAt: snapshot.CompleteAt}
}

// ForAgents returns the state without the parts that only entries need, which
// are most of the bytes.
func (s State) ForAgents() State {
	if s.Ingress != nil {
		s.Ingress = &mulberryspool.Ingress{Version: s.Ingress.Version, Pools: s.Ingress.Pools}
	}
	return s
}

// Part returns a part of the state, for a reader whose own state has the version of the
// configuration and the exact list of servers. An empty part is the whole state.
func (s State) Part(part Part, config int64, serversAt mulberryspool.Revision) State {
	if part == PartServers || s.Ingress != nil && s.Ingress.Version <= config {
		s.Ingress = nil
	}
	if part == PartConfig {
		s.Servers, s.ServersAt = nil, 0
		return s
	}
	changed := make(Servers)
	for id, b := range s.Servers {
		// Leaving may have been learned without a change of the object.
		if b.Revision == 0 || b.Revision > serversAt || b.Leaving {
			changed[id] = b
		} else {
			s.Unchanged = append(s.Unchanged, id)
		}
	}
	s.Servers = changed
	return s
}

// HasSynced reports whether the process has a configuration and a list of servers.
func (f *Fleet) HasSynced() bool {
	s := f.State()
	return s.Ingress != nil && s.Servers != nil
}

// WatchesConfig reports whether the process calls the store for the configuration, and
// it answered the last call.
func (f *Fleet) WatchesConfig() bool {
	f.init()
	return f.configFollower.Reachable() && (f.ConfigPaused == nil || !f.ConfigPaused())
}

func (f *Fleet) recordConfigAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configAnsweredAt = f.Clock.Now()
}

// Summary returns the summary of the current state.
func (f *Fleet) Summary() Summary {
	watchesConfig := f.WatchesConfig()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	s := Summary{ServersAt: f.servers.Snapshot().CompleteAt, Servers: f.serversHash, Named: make(map[string][]NamedVersionAge, len(f.namedVersions))}
	if watchesConfig {
		s.ConfigAnsweredMillis = max(1, now.Sub(f.configAnsweredAt).Milliseconds())
	}
	if f.ingress != nil {
		s.Config = f.ingress.Version
	}
	for model, versions := range f.namedVersions {
		for _, n := range versions {
			age := NamedVersionAge{Version: n.version, AgeMillis: now.Sub(n.seen).Milliseconds()}
			if n.ageUnknown {
				age.AgeMillis, age.SeenMillis, age.UnseenMillis = -1, age.AgeMillis, n.unseen.Milliseconds()
			}
			s.Named[model] = append(s.Named[model], age)
		}
	}
	return s
}

// IsBehind reports whether a peer's state is newer than that of this process. The
// store may be about to deliver the same change.
func (f *Fleet) IsBehind(peer Summary) bool {
	return f.Lacks(peer, PartConfig) || f.Lacks(peer, PartServers)
}

// Lacks reports whether a part of a peer's state is newer.
func (f *Fleet) Lacks(peer Summary, part Part) bool {
	own := f.Summary()
	if part == PartConfig {
		return peer.Config > own.Config
	}
	return peer.ServersAt > own.ServersAt && peer.Servers != own.Servers
}

// Merge adopts the parts of a peer's state that are newer.
func (f *Fleet) Merge(s State, peer string) {
	if s.Ingress != nil {
		f.setIngress(*s.Ingress, fromPeer, peer)
	}
	f.init()
	if s.ServersAt > f.Summary().ServersAt {
		f.serverFollower.RecordPeerAnswer()
	}
	f.mergeServers(membership.Snapshot{Servers: s.Servers, Unchanged: s.Unchanged, CompleteAt: s.ServersAt}, fromPeer, peer)
}

// MergeNamedVersions adds the named versions of a peer.
func (f *Fleet) MergeNamedVersions(ages map[string][]NamedVersionAge, peer string) {
	now := f.Clock.Now()
	for model, versions := range ages {
		for _, v := range versions {
			n := namedVersion{version: v.Version, seen: now.Add(-time.Duration(v.AgeMillis) * time.Millisecond)}
			if v.AgeMillis < 0 {
				n.seen, n.ageUnknown = now.Add(-time.Duration(v.SeenMillis)*time.Millisecond), true
				n.unseen = min(f.AssumedAge, cmp.Or(time.Duration(v.UnseenMillis)*time.Millisecond, f.AssumedAge))
			}
			f.setNamedVersion(model, n, fromPeer, peer)
		}
	}
}

func (f *Fleet) setIngresses(items map[string]mulberryspool.Ingress, _ listwatch.Delta) {
	for _, i := range items {
		f.setIngress(i, fromStore, "")
	}
}

func (f *Fleet) setIngress(i mulberryspool.Ingress, source, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var before int64
	if f.ingress != nil {
		before = f.ingress.Version
	}
	if i.Version <= before {
		return
	}
	f.ingress = &i
	f.Logger.Info().Str("step", "apply configuration").Str("source", source).Str("peer", peer).
		Int64("before", before).Int64("version", i.Version).Int("routes", len(i.Routes)).Msg("configuration in force")
	f.IngressChanged(i)
}

func (f *Fleet) setServers(items map[string]mulberryspool.BackendServer, d listwatch.Delta) {
	servers := make(Servers, len(items))
	for _, b := range items {
		servers[b.Instance] = b
	}
	f.mergeServers(membership.Snapshot{Servers: servers, CompleteAt: d.Revision, Assumed: d.Uncertain}, fromStore, "")
}

func (f *Fleet) mergeServers(s membership.Snapshot, source, reporter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.servers.Servers()
	if f.servers.Merge(s) {
		f.publishServers(before, serverList{source: source, reporter: reporter, revision: s.CompleteAt, assumed: s.Assumed})
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l serverList) MarshalZerologObject(e *zerolog.Event) {
	e.Str("source", l.source).Str("reporter", l.reporter).Uint64("listRevision", uint64(l.revision)).Bool("uncertain", l.assumed)
}

// publishServers logs how the servers have changed and calls ServersChanged. It
// requires the mutex.
func (f *Fleet) publishServers(before Servers, list serverList) {
	servers, at := f.servers.Servers(), f.servers.Snapshot().CompleteAt
	f.serversHash = hashServers(servers)
	for id, b := range servers {
		old, known := before[id]
		if known && old.Leaving == b.Leaving && old.Born == b.Born && old.Address == b.Address && maps.Equal(loadedVersions(old), loadedVersions(b)) {
			continue
		}
		f.Logger.Info().Str("step", "add server").EmbedObject(list).Str("peer", string(id)).Str("pool", b.Pool).
			Str("address", b.Address).Bool("known", known).Int64("born", b.Born).Bool("leaving", b.Leaving).
			Interface("models", b.Models).Uint64("changedAt", uint64(b.Revision)).Uint64("revision", uint64(at)).Msg("backend server listed")
	}
	for id, b := range before {
		if _, ok := servers[id]; !ok {
			f.Logger.Info().Str("step", "remove server").EmbedObject(list).Str("peer", string(id)).Str("pool", b.Pool).
				Uint64("revision", uint64(at)).Msg("backend server no longer listed")
		}
	}
	f.ServersChanged(servers)
}

func (f *Fleet) setVersions(items map[string]mulberryspool.NamedVersion, d listwatch.Delta) {
	n := namedVersion{seen: f.Clock.Now(), ageUnknown: d.AgeUnknown, unseen: f.AssumedAge}
	if !d.Since.IsZero() {
		n.unseen = min(n.unseen, n.seen.Sub(d.Since))
	}
	if !d.SentAt.IsZero() {
		n.watched = n.seen.Sub(d.SentAt)
	}
	// The other items are not new, so their age is not that of this change.
	for _, name := range d.Updated {
		if v, ok := items[name]; ok {
			n.version = v.Version
			f.setNamedVersion(v.Model, n, fromStore, "")
		}
	}
}

// setNamedVersion adds a version, or corrects when it was named.
func (f *Fleet) setNamedVersion(model string, n namedVersion, source, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.namedVersions[model]
	i, exists := slices.BinarySearchFunc(known, n, func(a, b namedVersion) int { return cmp.Compare(a.version, b.version) })
	var before time.Time
	switch {
	case exists && !n.corrects(known[i]):
		return
	case exists:
		before = known[i].since()
		known = slices.Clone(known)
		known[i] = n
	case i == 0 && len(known) == maxKeptVersions:
		return
	default:
		known = slices.Insert(slices.Clone(known), i, n)
		known = known[max(0, len(known)-maxKeptVersions):]
	}
	if f.namedVersions == nil {
		f.namedVersions = make(map[string][]namedVersion)
	}
	f.namedVersions[model] = known
	since := n.since()
	e := f.Logger.Info().Str("step", "apply named version").Str("source", source).Str("peer", peer).Str("model", model).
		Int64("version", n.version).Int64("newest", known[len(known)-1].version).
		Dur("age", f.Clock.Since(since)).Bool("ageKnown", !n.ageUnknown).Int64("namedAt", since.UnixMilli())
	if n.watched > 0 {
		e.Dur("watched", n.watched)
	}
	if exists {
		e.Dur("ageBefore", f.Clock.Since(before))
	}
	e.Msg("named version added or its age corrected")
	f.NamedVersionChanged(model, n.version, since)
}

// since returns when a version counts as named.
func (n namedVersion) since() time.Time {
	if n.ageUnknown {
		return n.seen.Add(-n.unseen)
	}
	return n.seen
}

// corrects reports whether n replaces what is known of the same version. A
// report can only be late, so the first sight counts. A later one whose age is
// said to be known shows the age only if it follows the first sight at once.
func (n namedVersion) corrects(known namedVersion) bool {
	if known.ageUnknown && !n.ageUnknown {
		return n.seen.Sub(known.seen) <= maxReportDelay
	}
	if n.ageUnknown && !known.ageUnknown {
		return known.seen.Sub(n.seen) > maxReportDelay
	}
	return known.seen.Sub(n.seen) >= minCorrection
}

// NamedVersion returns the newest named version of a model, 0 for none, and since
// when it is named.
func (f *Fleet) NamedVersion(model string) (int64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.namedVersions[model]
	if len(known) == 0 {
		return 0, time.Time{}
	}
	newest := known[len(known)-1]
	return newest.version, newest.since()
}

// NamedVersions returns when each of the newest versions of a model was named.
func (f *Fleet) NamedVersions(model string) map[int64]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[int64]time.Time, len(f.namedVersions[model]))
	for _, n := range f.namedVersions[model] {
		known[n.version] = n.since()
	}
	return known
}

// hashServers returns a hash of the servers' properties that does not depend on
// their order.
func hashServers(servers Servers) uint64 {
	var sum uint64
	for id, b := range servers {
		sum += xxhash.Sum64String(fmt.Sprint(id, b.Born, b.Address, b.Leaving, b.Models))
	}
	return sum
}

// loadedVersions returns the loaded version of each model.
func loadedVersions(b mulberryspool.BackendServer) map[string]int64 {
	loaded := make(map[string]int64, len(b.Models))
	for _, m := range b.Models {
		loaded[m.Model] = m.Version
	}
	return loaded
}
