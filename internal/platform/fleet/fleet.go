// Package fleet maintains a process's state: the configuration (routes and
// pools), the backend servers and the named versions.
//
//	store --> listwatch.Follower per kind --\
//	peers --> Merge, MergeNamedVersions ------> State, NamedVersion --> callbacks
//
// The store is the primary source. Peers are a second one, so that a process
// that the store throttles, or that starts during an outage, still learns of
// changes. The versions of the configuration and of a model never decrease.
//
// A store that is restored from a copy begins a new era. Each process lists its objects
// again as soon as the store or a peer shows that, and what was known stays in use until
// the new era has something newer.
package fleet

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/peer/messagedelay"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
	"github.com/mulberryspool/mulberryspool/internal/platform/membership"
	"github.com/mulberryspool/mulberryspool/internal/platform/namedversion"
)

const (
	// reregisterTime is the time that backend servers have after an outage of the
	// store to write their objects again if these expired during the outage.
	reregisterTime = 2 * time.Second
	// versionsWaitFactor is how many times longer a watch on the named versions
	// waits; they may take four times as long as configurations to arrive.
	versionsWaitFactor = 3
	// withholdTime is how long after a restore of the store servers are withheld that were
	// removed before it. The store removes the objects of servers that are gone by then,
	// after three heartbeats of theirs.
	withholdTime = 6 * time.Second
)

type (
	// serverList says where a list of servers comes from, for the log.
	serverList struct {
		source, reporter string
		// at is the store's position as of which the list is complete.
		at      mulberryspool.Position
		assumed bool
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
		// ConfigPaused and ServersPaused are Paused for the configuration and the servers;
		// nil for Paused.
		ConfigPaused, ServersPaused func() bool
		// StoreAnswers reports whether the store answered the last attempt of any call; nil for
		// always. A watch without a response may be retried for seconds before it fails.
		StoreAnswers func() bool
		// WatchTimeout returns how long a watch waits for changes; nil for
		// listwatch.DefaultWatchTimeout. A watch that is already waiting may not
		// notice that the store dropped its history.
		WatchTimeout func() time.Duration
		// ConfigWatchTimeout and ServersWatchTimeout are WatchTimeout for the configuration
		// and the servers; nil for WatchTimeout.
		ConfigWatchTimeout, ServersWatchTimeout func() time.Duration

		IngressChanged func(mulberryspool.Ingress)
		ServersChanged func(Servers)
		// NamedVersionChanged is called with the time at which the version was named, as
		// far as known, and again when that time is corrected.
		NamedVersionChanged func(model string, version int64, at time.Time)
		// AssumedAge is the assumed age, at its first sight, of a version that was
		// already named then, until a peer reports the age.
		AssumedAge time.Duration
		// VersionBound is how long an older version may be served after a newer one was named;
		// 0 if that is not known.
		VersionBound time.Duration
		// FollowCold is set if changes of how long servers are cold are read from peers, too.
		FollowCold bool
		// EraChanged is called when the store is known to have been restored, with the last
		// era before it and its new one; nil for no call.
		EraChanged func(before, era mulberryspool.Era)

		once            sync.Once
		configFollower  listwatch.Follower[mulberryspool.Ingress]
		serverFollower  listwatch.Follower[mulberryspool.BackendServer]
		versionFollower listwatch.Follower[mulberryspool.NamedVersion]

		mu sync.Mutex
		// era is the latest era of the store that is known, firstEra the first one; eraKnown
		// is set once there is one.
		era, firstEra mulberryspool.Era
		eraKnown      bool
		ingress       *mulberryspool.Ingress
		// configEra and configHash are those of Summary.
		configEra  mulberryspool.Era
		configHash uint64
		// configAnsweredAt is when the store last answered a call for the configuration.
		configAnsweredAt time.Time
		servers          membership.View
		// serversHash and coldHash are those of Summary.
		serversHash, coldHash uint64
		named                 namedversion.History
		delays                messagedelay.Estimator
		// clockStart is the zero of Summary.SentMillis.
		clockStart time.Time
	}
)

// Values of the log field source.
const (
	fromStore = "store"
	fromPeer  = "peer"
	// fromServer is an answer of the backend server itself.
	fromServer = "server"
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
	if f.ServersPaused == nil {
		f.ServersPaused = f.Paused
	}
	if f.ConfigWatchTimeout == nil {
		f.ConfigWatchTimeout = f.WatchTimeout
	}
	if f.ServersWatchTimeout == nil {
		f.ServersWatchTimeout = f.WatchTimeout
	}
	f.configFollower = listwatch.Follower[mulberryspool.Ingress]{
		Store: f.Store, Kind: f.Kinds.Config, Clock: f.Clock, WatchTimeout: f.ConfigWatchTimeout, WatchPause: f.ConfigWatchPause, Paused: f.ConfigPaused, Logger: f.Logger,
		Set:     listwatch.Set[mulberryspool.Ingress]{Decode: f.Kinds.DecodeIngress},
		Changed: f.setIngresses, Answered: f.recordConfigAnswer,
	}
	f.serverFollower = listwatch.Follower[mulberryspool.BackendServer]{
		Store: f.Store, Kind: f.Kinds.Servers, Clock: f.Clock, WatchTimeout: f.ServersWatchTimeout, WatchPause: f.ServersWatchPause, Paused: f.ServersPaused, Logger: f.Logger,
		Set:     listwatch.Set[mulberryspool.BackendServer]{Decode: f.Kinds.DecodeServer, GracePeriod: reregisterTime},
		Changed: f.setServers, Answered: func(after time.Time, at mulberryspool.Position) { f.recordAnswer(after, at, false) },
	}
	f.versionFollower = listwatch.Follower[mulberryspool.NamedVersion]{
		Store: f.Store, Kind: f.Kinds.Versions, Clock: f.Clock, WatchTimeout: f.versionsWatchTimeout(), Paused: f.Paused, Logger: f.Logger,
		Set:     listwatch.Set[mulberryspool.NamedVersion]{Decode: f.Kinds.DecodeVersion},
		Changed: f.setVersions, Answered: func(after time.Time, at mulberryspool.Position) { f.recordAnswer(after, at, true) },
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
	return State{
		Ingress: f.ingress, ConfigEra: f.configEra, Servers: snapshot.Servers,
		ServersAt: snapshot.ExactAt.Revision, ServersEra: snapshot.ExactAt.Era,
		CompleteAt: snapshot.CompleteAt.Revision, CompleteEra: snapshot.CompleteAt.Era,
	}
}

// HasSynced reports whether the process has a configuration and a list of servers.
func (f *Fleet) HasSynced() bool {
	s := f.State()
	return s.Ingress != nil && s.Servers != nil
}

// WakeWatches makes the followers of the configuration and the servers call ConfigPaused and
// ServersPaused at once.
func (f *Fleet) WakeWatches() {
	f.init()
	f.configFollower.Wake()
	f.serverFollower.Wake()
}

// WatchesConfig reports whether the process calls the store for the configuration, and
// it answered the last call.
func (f *Fleet) WatchesConfig() bool {
	f.init()
	return f.configFollower.Reachable() && (f.StoreAnswers == nil || f.StoreAnswers()) && (f.ConfigPaused == nil || !f.ConfigPaused())
}

func (f *Fleet) recordConfigAnswer(after time.Time, at mulberryspool.Position) {
	f.recordAnswer(after, at, false)
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
	if f.clockStart.IsZero() {
		f.clockStart = now.Add(-time.Millisecond)
	}
	snapshot := f.servers.Snapshot()
	s := Summary{
		SentMillis: now.Sub(f.clockStart).Milliseconds(), Config: f.configVersion(), ConfigEra: f.configEra, ConfigHash: f.configHash,
		ServersAt: snapshot.ExactAt.Revision, ServersEra: snapshot.ExactAt.Era, Servers: f.serversHash, Cold: f.coldHash, Era: f.era, Named: f.named.Reports(now),
	}
	if snapshot.Assumed {
		s.CompleteAt, s.CompleteEra = snapshot.CompleteAt.Revision, snapshot.CompleteAt.Era
	}
	if watchesConfig {
		s.ConfigAnsweredMillis = max(1, now.Sub(f.configAnsweredAt).Milliseconds())
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
	f.mu.Lock()
	defer f.mu.Unlock()
	if part == PartConfig {
		own := f.configVersion()
		return peer.Config > own || peer.Config == own && peer.ConfigEra > f.configEra && peer.ConfigHash != f.configHash
	}
	own := f.servers.Snapshot()
	exactAt := f.assignEra(peer.serversPosition())
	newer := exactAt.After(own.ExactAt) && exactAt.Era >= own.CompleteAt.Era
	if complete := peer.Complete(); complete.Era > own.ExactAt.Era && complete.After(own.CompleteAt) {
		// After a restore, no process has an exact list until the grace period is over.
		newer = true
	}
	return newer && (peer.Servers != f.serversHash || f.FollowCold && peer.Cold != f.coldHash)
}

// configVersion requires the mutex.
func (f *Fleet) configVersion() int64 {
	if f.ingress == nil {
		return 0
	}
	return f.ingress.Version
}

// Merge adopts the parts of a peer's state that are newer.
func (f *Fleet) Merge(s State, peer string) {
	if s.Ingress != nil {
		f.setIngress(*s.Ingress, s.ConfigEra, fromPeer, peer)
	}
	f.init()
	f.mu.Lock()
	at, exactAt := f.assignEra(s.Complete()), f.assignEra(s.serversPosition())
	newer := at.After(f.servers.Snapshot().CompleteAt)
	servers := f.assignEras(s.Servers)
	f.mu.Unlock()
	if newer {
		f.serverFollower.RecordPeerAnswer()
	}
	f.mergeServers(membership.Snapshot{Servers: servers, Unchanged: s.Unchanged, CompleteAt: at, Assumed: at != exactAt, ExactAt: exactAt}, fromPeer, peer)
}

func (f *Fleet) setIngresses(items map[string]mulberryspool.Ingress, d listwatch.Delta) {
	for _, i := range items {
		f.setIngress(i, d.At.Era, fromStore, "")
	}
}

// setIngress adopts a configuration of a later version, or one of the same version that differs in
// a later era: operators may give the version of a change that a restore has undone to another one.
func (f *Fleet) setIngress(i mulberryspool.Ingress, era mulberryspool.Era, source, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.configVersion()
	if i.Version < before || i.Version == before && era <= f.configEra {
		return
	}
	f.configEra = era
	hash := hashIngress(i)
	if i.Version == before && hash == f.configHash {
		return
	}
	f.ingress, f.configHash = &i, hash
	f.Logger.Info().Str("step", "apply configuration").Str("source", source).Str("peer", peer).
		Int64("before", before).Int64("version", i.Version).Uint64("era", uint64(era)).Int("routes", len(i.Routes)).Msg("configuration in force")
	f.IngressChanged(i)
}

func (f *Fleet) setServers(items map[string]mulberryspool.BackendServer, d listwatch.Delta) {
	servers := make(Servers, len(items))
	for _, b := range items {
		servers[b.Instance] = b
	}
	f.mergeServers(membership.Snapshot{Servers: servers, CompleteAt: d.At, Assumed: d.Uncertain}, fromStore, "")
}

func (f *Fleet) mergeServers(s membership.Snapshot, source, reporter string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.servers.Servers()
	if f.servers.Merge(s) {
		f.publishServers(before, serverList{source: source, reporter: reporter, at: s.CompleteAt, assumed: s.Assumed})
	}
}

// MarkLeaving records that an incarnation of a backend server accepts no new requests any
// more, as the server itself says.
func (f *Fleet) MarkLeaving(id mulberryspool.InstanceID, born int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.servers.Servers()
	if f.servers.MarkLeaving(id, born) {
		f.publishServers(before, serverList{source: fromServer, reporter: string(id)})
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l serverList) MarshalZerologObject(e *zerolog.Event) {
	e.Str("source", l.source).Str("reporter", l.reporter).Uint64("listEra", uint64(l.at.Era)).Uint64("listRevision", uint64(l.at.Revision)).Bool("uncertain", l.assumed)
}

// publishServers logs how the servers have changed and calls ServersChanged. It
// requires the mutex.
func (f *Fleet) publishServers(before Servers, list serverList) {
	servers, at := f.servers.Servers(), f.servers.Snapshot().ExactAt
	f.serversHash, f.coldHash = hashServers(f.servers.Snapshot().Servers), hashCold(f.servers.Snapshot().Servers)
	for id, b := range servers {
		old, known := before[id]
		if known && old.Leaving == b.Leaving && old.Born == b.Born && old.Address == b.Address && maps.Equal(loadedVersions(old), loadedVersions(b)) {
			continue
		}
		f.Logger.Info().Str("step", "add server").EmbedObject(list).Str("peer", string(id)).Str("pool", b.Pool).
			Str("address", b.Address).Bool("known", known).Int64("born", b.Born).Bool("leaving", b.Leaving).
			Interface("models", b.Models).Uint64("changedIn", uint64(b.Era)).Uint64("changedAt", uint64(b.Revision)).
			Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision)).Msg("backend server listed")
	}
	for id, b := range before {
		if _, ok := servers[id]; !ok {
			f.Logger.Info().Str("step", "remove server").EmbedObject(list).Str("peer", string(id)).Str("pool", b.Pool).
				Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision)).Msg("backend server no longer listed")
		}
	}
	f.ServersChanged(servers)
}
