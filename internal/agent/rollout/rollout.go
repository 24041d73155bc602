// Package rollout implements the rolling update of a pool: it decides which
// version an engine loads, and when. It is a pure reducer that takes events and
// returns effects; it does no I/O, reads no clock and starts no goroutine.
//
//	tables --> manifest --> stage --> wait for predecessor --> drain --> load --> read back --> serve
//	                                                                                  \--> failed: load the previous version
//
// There is no coordinator. Each agent computes the same order of the pool's
// agents and waits for its predecessor in that order.
package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// Defaults of Settings and limits of the reducer.
const (
	// DefaultReadBackInterval bounds the time until an idle agent notices that
	// its engine's weights changed without an order.
	DefaultReadBackInterval = 2 * time.Second
	// DefaultRetryInterval is the time between attempts after an error.
	DefaultRetryInterval = 15 * time.Second
	// DefaultReleaseAfter is how long the chunks of a loaded version stay
	// staged for other agents that fetch them.
	DefaultReleaseAfter = 10 * time.Minute
	// DefaultLeaseDuration bounds how long a new incarnation waits until the
	// load orders of the previous one can no longer take effect.
	DefaultLeaseDuration = 30 * time.Second

	// maxFailedReads is the number of consecutive failed reads after which an
	// engine is considered unavailable.
	maxFailedReads = 2
	// maxLoadAttempts is the number of loads after which the ordered version
	// counts as failed, if during each of them the engine became unreachable
	// or was given another version.
	maxLoadAttempts = 2
	// leaseNumberShift is the number of low bits of a fencing number that count
	// the load orders of one incarnation, about a million. The high bits are the
	// lease number.
	leaseNumberShift = 20
)

type (
	// Settings configures a Rollout. Zero durations are replaced by their
	// defaults.
	Settings struct {
		Instance mulberryspool.InstanceID
		Pool     string
		// Plain is set for plain services, which have no versions.
		Plain            bool
		ReadBackInterval time.Duration
		RetryInterval    time.Duration
		ReleaseAfter     time.Duration
		LeaseDuration    time.Duration
	}

	// Goal describes what an engine is to serve.
	Goal struct {
		Version string `json:"version"`
		Adapter string `json:"adapter,omitempty"`
		Role    string `json:"role,omitempty"`
	}

	// Failure is a goal that could not be loaded, with the cause.
	Failure struct {
		Goal  Goal   `json:"goal"`
		Cause string `json:"cause"`
	}

	// swapStep is the progress of the current swap.
	swapStep int

	// Rollout is the reducer's state. It is not safe for concurrent use.
	Rollout struct {
		settings Settings

		// revision is the newest revision of the tables, rowRevision the one
		// that set the present target, and lastChange the ID of the last change
		// to the pool's row.
		revision    mulberryspool.Revision
		rowRevision mulberryspool.Revision
		lastChange  string
		hasRow      bool
		pool        mulberryspool.Pool
		target      Goal

		manifests map[string]manifestState
		// digests holds the digests of versions that peers serve, by version.
		digests  map[string]mulberryspool.Digest
		contents map[mulberryspool.Digest]*contentState

		lease lease

		// engine is the last read-back. engineKnown is false before the first
		// one and while the engine can't be read.
		engine      mulberryspool.Loaded
		engineKnown bool
		failedReads int
		lastReadAt  time.Duration
		readPending bool
		// token identifies the last ReadBack or Load; results with another
		// token are ignored.
		token uint64

		step swapStep
		// orderedGoal and orderedFencing are the goal and the fencing number of
		// the last load order. sequence counts the orders sent under the present
		// lease number, and loadError is the error of the last one.
		orderedGoal    Goal
		orderedFencing uint64
		sequence       uint64
		loadError      string
		// unrelatedFailure is set when the last order failed for a reason that
		// has nothing to do with its version.
		unrelatedFailure bool
		loadAttempts     int
		// outcomeUncertain is set when the engine could not be read after an
		// order, or its reply was lost.
		outcomeUncertain bool
		// notBefore is the earliest time of the next order after a failed one.
		notBefore time.Duration

		serving    bool
		servedGoal Goal
		// servedWeights is the read-back for which requests are accepted.
		servedWeights mulberryspool.Loaded
		servedSince   time.Duration
		// previousGoal is the last goal that was served or loaded. After a
		// failed load, the engine returns to it.
		previousGoal Goal
		hasPrevious  bool
		// inheritedGoal is what the engine served when this agent started.
		inheritedGoal Goal
		hasInherited  bool

		// failure is set when the target failed to load here, and failedPeer
		// is a peer at which it failed.
		failure    *Failure
		failedPeer mulberryspool.InstanceID

		members []mulberryspool.InstanceID
		// currentOrder ranks the current members, and stableOrder all agents
		// that were members at any time since the target was set. See
		// setMembers.
		currentOrder, stableOrder []mulberryspool.InstanceID
		// firstTarget is set while the target is the first one that this
		// incarnation has seen, so it may have joined in the middle of a
		// rollout.
		firstTarget bool
		peers       map[mulberryspool.InstanceID]*peer
		inFlight    int
		leaving     bool
		phase       mulberryspool.Phase
		effects     []Effect
	}

	manifestState struct {
		manifest  mulberryspool.Manifest
		known     bool
		requested bool
		err       string
		retryAt   time.Duration
	}

	contentState struct {
		staged  bool
		staging bool
		retryAt time.Duration
		// err is the error of the last attempt; empty if it succeeded.
		err string
	}
)

const (
	stepIdle swapStep = iota
	stepDraining
	stepLoading
	stepVerifying
)

// New returns the initial state of an agent.
func New(settings Settings) *Rollout {
	settings.ReadBackInterval = orDefault(settings.ReadBackInterval, DefaultReadBackInterval)
	settings.RetryInterval = orDefault(settings.RetryInterval, DefaultRetryInterval)
	settings.ReleaseAfter = orDefault(settings.ReleaseAfter, DefaultReleaseAfter)
	settings.LeaseDuration = orDefault(settings.LeaseDuration, DefaultLeaseDuration)
	return &Rollout{
		settings:  settings,
		manifests: make(map[string]manifestState),
		digests:   make(map[string]mulberryspool.Digest),
		contents:  make(map[mulberryspool.Digest]*contentState),
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

// Step applies an event and returns the resulting effects, which must be run in
// order. now is the time on the agent's monotonic clock.
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
	case PeerHeartbeat:
		r.peerHeartbeat(e)
	case PeerSuspected:
		r.peer(e.Instance).suspected = true
	case PeerDead:
		r.peer(e.Instance).dead = true
	case WeightsMismatch:
		r.weightsMismatch()
	case Leaving:
		r.leave()
	case Tick:
	}
	r.decide(now)
	r.updatePhase()
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
	changed := !r.hasRow || goal != r.target || e.Change != "" && e.Change != r.lastChange
	r.pool = e.Pool
	r.firstTarget = !r.hasRow || r.firstTarget && !changed
	r.hasRow = true
	if e.Change != "" {
		r.lastChange = e.Change
	}
	if !changed {
		return
	}
	r.target = goal
	r.rowRevision = e.Revision
	r.failure = nil
	r.failedPeer = ""
	r.loadAttempts = 0
	r.notBefore = 0
	r.resetOrders()
	r.pruneManifests()
}

// Manifest returns a version's manifest, or the zero value if it is not known.
// It serves peers that can't read the manifest from the object API.
func (r *Rollout) Manifest(version string) mulberryspool.Manifest {
	return r.manifests[version].manifest
}

// pruneManifests deletes the manifests and digests of versions that are neither
// served nor may be loaded.
func (r *Rollout) pruneManifests() {
	unused := func(version string) bool {
		return !slices.ContainsFunc([]Goal{r.target, r.previousGoal, r.servedGoal, r.orderedGoal, r.inheritedGoal}, func(g Goal) bool {
			return g.Version == version || g.Adapter == version
		})
	}
	maps.DeleteFunc(r.manifests, func(version string, state manifestState) bool { return unused(version) && !state.requested })
	maps.DeleteFunc(r.digests, func(version string, _ mulberryspool.Digest) bool { return unused(version) })
}

// manifestRead stores a manifest. It never needs to be read again, because
// manifests are immutable.
func (r *Rollout) manifestRead(now time.Duration, e ManifestRead) {
	state := r.manifests[e.Version]
	state.requested = false
	if e.Error != "" {
		state.err = e.Error
		state.retryAt = now + r.settings.RetryInterval
	} else {
		state.manifest, state.known, state.err = e.Manifest, true, ""
	}
	r.manifests[e.Version] = state
}

func (r *Rollout) staged(now time.Duration, e Staged) {
	s, ok := r.contents[e.Digest]
	if !ok {
		return
	}
	s.staging = false
	s.err = e.Error
	if e.Error == "" {
		s.staged = true
		return
	}
	s.retryAt = now + r.settings.RetryInterval
	if r.releaseUnneeded(e.Digest) {
		s.retryAt = now
	}
}

// releaseUnneeded frees space for a content that could not be staged, and
// reports whether it released any other content. Contents that the goal does not
// need are kept until space runs out, because they may share chunks with a new one.
func (r *Rollout) releaseUnneeded(pending mulberryspool.Digest) bool {
	goal := r.goal()
	needed := []mulberryspool.Digest{pending, r.digestOf(goal.Version), r.digestOf(goal.Adapter)}
	released := false
	for _, digest := range sortedKeys(r.contents) {
		if r.contents[digest].staged && !slices.Contains(needed, digest) {
			delete(r.contents, digest)
			r.emit(Release{Digest: digest})
			released = true
		}
	}
	return released
}

// weightsMismatch stops serving at once and reads the engine back, which decides
// how to go on.
func (r *Rollout) weightsMismatch() {
	if !r.serving && r.step != stepDraining {
		return
	}
	r.stopServing(true)
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
