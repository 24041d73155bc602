// Package rollout decides which version an engine loads, and when. It is a
// pure reducer: it does no I/O, reads no clock and starts no goroutine.
//
//	tables --> manifest --> stage --> turn --> drain --> load --> read back --> serve
//	                                                        \--> failed: load the old version
//
// There is no coordinator. Each agent derives the same order of the pool's
// agents and waits for its predecessor in that order.
package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// Defaults of Settings.
const (
	// DefaultReadBackInterval bounds how long an idle agent can report weights
	// that changed underneath it.
	DefaultReadBackInterval = 2 * time.Second
	// DefaultRetryInterval spaces repeated tries after an error.
	DefaultRetryInterval = 15 * time.Second
	// DefaultReleaseAfter keeps a loaded content for agents that still fetch it.
	DefaultReleaseAfter = 10 * time.Minute
	// DefaultLeaseDuration bounds how long a predecessor's orders are waited for.
	DefaultLeaseDuration = 30 * time.Second

	// unreadableReadings is the number of failed readings in a row after which
	// an engine counts as gone.
	unreadableReadings = 2
	// loadAttempts is the number of loads during which the engine may vanish,
	// or be given another version, before the ordered version is blamed.
	loadAttempts = 2
	// numberShift leaves room for a million orders of one incarnation.
	numberShift = 20
)

type (
	// Settings are set before the first event. Durations that are 0 take
	// their defaults.
	Settings struct {
		Instance mulberryspool.InstanceID
		Pool     string
		// Plain is set for plain services, which have no version.
		Plain            bool
		ReadBackInterval time.Duration
		RetryInterval    time.Duration
		ReleaseAfter     time.Duration
		LeaseDuration    time.Duration
	}

	// Goal is what an engine is to serve.
	Goal struct {
		Version string `json:"version"`
		Adapter string `json:"adapter,omitempty"`
		Role    string `json:"role,omitempty"`
	}

	// Failure says why a goal is not served.
	Failure struct {
		Goal  Goal   `json:"goal"`
		Cause string `json:"cause"`
	}

	// step is how far the swap is that goes on now.
	step int

	// Rollout is the reducer's state. It is used by one goroutine.
	Rollout struct {
		settings Settings

		// revision is the newest one; rowRevision is where the row was first
		// seen as it is now, and change the ID of the row's last change.
		revision    mulberryspool.Revision
		rowRevision mulberryspool.Revision
		change      string
		hasRow      bool
		pool        mulberryspool.Pool
		target      Goal

		manifests map[string]manifestEntry
		// digests are those of versions that peers serve.
		digests map[string]mulberryspool.Digest
		stages  map[mulberryspool.Digest]*stageEntry

		lease lease

		// engine is the last reading; engineKnown is false before the first
		// and while the engine can't be read.
		engine      mulberryspool.Loaded
		engineKnown bool
		unreadable  int
		readAt      time.Duration
		reading     bool
		token       uint64

		step step
		// ordered is the goal of the last order, and fencing its number.
		ordered   Goal
		fencing   uint64
		sequence  uint64
		loadError string
		// blameless is set when the last order failed for a reason other than
		// its version.
		blameless bool
		attempts  int
		// vanished is set when the engine could not be read after an order,
		// or its reply was lost.
		vanished bool
		// notBefore delays the next order after a failed one.
		notBefore time.Duration

		serving bool
		current Goal
		// served is the reading that the gate is open for.
		served   mulberryspool.Loaded
		servedAt time.Duration
		// previous was the last goal served; it is what a failed load returns to.
		previous    Goal
		hasPrevious bool
		// adopting is what the engine served when this agent started.
		adopting    Goal
		hasAdopting bool

		failure    *Failure
		failedPeer mulberryspool.InstanceID

		members []mulberryspool.InstanceID
		// present is the order of the members for the target, and ranked the
		// one of the members when the target was set.
		present, ranked []mulberryspool.InstanceID
		// joined is set while the target is the first one of this incarnation.
		joined   bool
		peers    map[mulberryspool.InstanceID]*peer
		inFlight int
		leaving  bool
		phase    mulberryspool.Phase
		effects  []Effect
	}

	manifestEntry struct {
		manifest mulberryspool.Manifest
		known    bool
		reading  bool
		failed   string
		retryAt  time.Duration
	}

	stageEntry struct {
		done    bool
		running bool
		retryAt time.Duration
		// err is that of the last try.
		err string
	}
)

const (
	stepIdle step = iota
	stepDraining
	stepLoading
	stepVerifying
)

// New returns the state of an agent that knows nothing yet.
func New(settings Settings) *Rollout {
	settings.ReadBackInterval = orDefault(settings.ReadBackInterval, DefaultReadBackInterval)
	settings.RetryInterval = orDefault(settings.RetryInterval, DefaultRetryInterval)
	settings.ReleaseAfter = orDefault(settings.ReleaseAfter, DefaultReleaseAfter)
	settings.LeaseDuration = orDefault(settings.LeaseDuration, DefaultLeaseDuration)
	return &Rollout{
		settings:  settings,
		manifests: make(map[string]manifestEntry),
		digests:   make(map[string]mulberryspool.Digest),
		stages:    make(map[mulberryspool.Digest]*stageEntry),
		peers:     make(map[mulberryspool.InstanceID]*peer),
		phase:     mulberryspool.PhaseStarting,
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// Step applies an event at the agent's time and returns the effects in order.
func (r *Rollout) Step(now time.Duration, event Event) []Effect {
	r.effects = nil
	switch e := event.(type) {
	case TablesChanged:
		r.tablesChanged(e)
	case ManifestRead:
		r.manifestRead(now, e)
	case Staged:
		r.staged(now, e)
	case LeaseWritten:
		r.leaseWritten(e)
	case LeaseFailed:
		r.leaseFailed(now, e)
	case EngineRead:
		r.engineRead(now, e)
	case LoadEnded:
		r.loadEnded(e)
	case InFlight:
		r.inFlight = e.Count
	case Members:
		r.setMembers(e)
	case PeerHeard:
		r.peerHeard(e)
	case PeerSuspected:
		r.peer(e.Instance).suspected = true
	case PeerDead:
		r.peer(e.Instance).dead = true
	case ContentChanged:
		r.contentChanged()
	case Leaving:
		r.leave()
	case Tick:
	}
	r.decide(now)
	r.notePhase()
	return r.effects
}

func (r *Rollout) tablesChanged(e TablesChanged) {
	if e.Revision <= r.revision {
		return
	}
	r.revision = e.Revision
	if !e.Exists {
		return
	}
	goal := Goal{Version: e.Pool.Version, Adapter: e.Pool.Adapter, Role: e.Pool.EngineRole}
	changed := !r.hasRow || goal != r.target || e.Change != "" && e.Change != r.change
	r.pool = e.Pool
	r.joined = !r.hasRow || r.joined && !changed
	r.hasRow = true
	if e.Change != "" {
		r.change = e.Change
	}
	if !changed {
		return
	}
	r.target = goal
	r.rowRevision = e.Revision
	r.failure = nil
	r.failedPeer = ""
	r.attempts = 0
	r.notBefore = 0
	r.rank()
	r.forgetManifests()
}

// Manifest returns a version's manifest for a peer that can't read it, or the
// zero value if it is not known.
func (r *Rollout) Manifest(version string) mulberryspool.Manifest {
	return r.manifests[version].manifest
}

// forgetManifests keeps those of versions that may be loaded or served.
func (r *Rollout) forgetManifests() {
	unused := func(version string) bool {
		return !slices.ContainsFunc([]Goal{r.target, r.previous, r.current, r.ordered, r.adopting}, func(g Goal) bool {
			return g.Version == version || g.Adapter == version
		})
	}
	maps.DeleteFunc(r.manifests, func(version string, entry manifestEntry) bool { return unused(version) && !entry.reading })
	maps.DeleteFunc(r.digests, func(version string, _ mulberryspool.Digest) bool { return unused(version) })
}

// manifestRead keeps the manifest; manifests never change.
func (r *Rollout) manifestRead(now time.Duration, e ManifestRead) {
	entry := r.manifests[e.Version]
	entry.reading = false
	if e.Error != "" {
		entry.failed = e.Error
		entry.retryAt = now + r.settings.RetryInterval
	} else {
		entry.manifest, entry.known, entry.failed = e.Manifest, true, ""
	}
	r.manifests[e.Version] = entry
}

func (r *Rollout) staged(now time.Duration, e Staged) {
	s, ok := r.stages[e.Digest]
	if !ok {
		return
	}
	s.running = false
	s.err = e.Error
	if e.Error == "" {
		s.done = true
		return
	}
	s.retryAt = now + r.settings.RetryInterval
	if r.releaseOthers(e.Digest) {
		s.retryAt = now
	}
}

// releaseOthers makes room for a content that could not be staged. Contents
// that were loaded before are kept until then, because chunks may be shared.
func (r *Rollout) releaseOthers(staging mulberryspool.Digest) bool {
	goal := r.goal()
	needed := []mulberryspool.Digest{staging, r.digestOf(goal.Version), r.digestOf(goal.Adapter)}
	released := false
	for _, digest := range sortedKeys(r.stages) {
		if r.stages[digest].done && !slices.Contains(needed, digest) {
			delete(r.stages, digest)
			r.emit(Release{Digest: digest})
			released = true
		}
	}
	return released
}

// contentChanged stops serving at once; the next reading decides what follows.
func (r *Rollout) contentChanged() {
	if !r.serving && r.step != stepDraining {
		return
	}
	r.closeGate(true)
	r.step = stepIdle
	r.engineKnown = false
	r.readBack()
}

func (r *Rollout) leave() {
	r.leaving = true
	if r.step == stepDraining {
		r.step = stepIdle
	}
}

func (r *Rollout) emit(effect Effect) {
	r.effects = append(r.effects, effect)
}

func (r *Rollout) record(kind mulberryspool.EventKind, version, detail string) {
	r.emit(Record{Event: mulberryspool.Event{
		Kind: kind, Pool: r.settings.Pool, Version: version, Revision: r.revision, Detail: detail,
	}})
}
