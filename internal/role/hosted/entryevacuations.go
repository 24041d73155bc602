package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/internal/platform/configwatch"
	"github.com/mulberryspool/mulberryspool/internal/platform/evacuation"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
	"github.com/mulberryspool/mulberryspool/internal/platform/objectapi"
	"github.com/mulberryspool/mulberryspool/platform"
)

// freshShare is the share of Bounds.Evacuation for which the known evacuations count as fresh. The
// rest is left for them to reach all entries: a watch takes configwatch.MaxWait at most, and the
// entries that replace watchers which the store refuses begin within some 2.5 s. It is also the share
// that an answer of the store may take: storeAttemptTimeout is chosen for shorter bounds, and a
// store that is slower than that for all would never be heard.
const freshShare = 0.4

// evacuations keeps track of the evacuated failure domains. A nil one is that of a deployment that
// evacuates none. Set the exported fields before run.
type evacuations struct {
	Clock   mulberryspool.Clock
	Logger  zerolog.Logger
	Metrics tally.Scope
	// KnownDomain reports whether a failure domain is in the settings.
	KnownDomain func(string) bool
	// Ended is called, before Changed, when the evacuation of a failure domain has ended as of a
	// position of the store.
	Ended func(domain string, at mulberryspool.Position)
	// Changed is called with the evacuated failure domains, in order.
	Changed func(domains []string)

	client   *objectapi.Client
	follower listwatch.Follower[string]
	// publish orders the calls of Changed. It is locked before mu.
	publish sync.Mutex

	mu       sync.Mutex
	view     evacuation.View
	election configwatch.Election
	// wasReady is set once requests could be sent.
	wasReady bool
	// answeredAt is when the store last answered this process.
	answeredAt time.Time
}

// buildEvacuations sets up the evacuations if the deployment has any.
func (e *entryRole) buildEvacuations() {
	bound := e.settings.Bounds.Evacuation
	if bound <= 0 {
		return
	}
	fresh := time.Duration(freshShare * float64(bound))
	client := newStoreClient(e.settings, e.clock, e.metrics)
	client.AttemptTimeout, client.WaitSlack = fresh, fresh
	v := &evacuations{
		client: client,
		Clock:  e.clock, Logger: e.logger, Metrics: e.metrics,
		KnownDomain: func(domain string) bool { return e.settings.RegionOf(domain) != "" },
		Ended:       e.scheduler.EvacuationEnded,
		Changed: func(domains []string) {
			e.scheduler.SetEvacuated(domains)
			e.signalStateChange()
		},
		view:     evacuation.View{MaxAge: fresh},
		election: configwatch.Election{Self: e.settings.Instance, FailureDomain: e.identity.FailureDomain},
	}
	v.tick()
	v.follower = listwatch.Follower[string]{
		Store: &platform.Store{Client: client, Logger: e.logger, Metrics: e.metrics}, Kind: platform.KindEvacuations, Clock: e.clock, Logger: e.logger,
		Set:          listwatch.Set[string]{Decode: platform.DecodeEvacuation},
		Changed:      func(map[string]string, listwatch.Delta) {},
		Answered:     func(_ time.Time, at mulberryspool.Position) { e.fleet.ObserveEra(at.Era, "") },
		Confirmed:    v.confirm,
		Paused:       func() bool { return !v.watches() },
		WatchTimeout: func() time.Duration { return configwatch.MinWait + rand.N(configwatch.MaxWait-configwatch.MinWait) },
	}
	e.evacuations = v
	e.scheduler.KnowsEvacuations = v.ready
}

// run reads the store until the context ends.
func (v *evacuations) run(ctx context.Context) {
	if v == nil {
		return
	}
	defer v.client.Close()
	v.follower.Run(ctx)
}

// watches reports whether this entry reads the evacuations from the store: it is one of the few
// that do, or does not know well enough from its peers.
func (v *evacuations) watches() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	return v.election.Watches(now) || !v.view.Ready(now)
}

// confirm adopts an answer of the store.
func (v *evacuations) confirm(items map[string]string, at mulberryspool.Position, after time.Time) {
	domains := make([]string, 0, len(items))
	for _, domain := range items {
		domains = append(domains, domain)
	}
	domains = evacuation.Bound(domains, v.KnownDomain)
	v.update("", func(now time.Time) []evacuation.Change {
		v.answeredAt = now
		return v.view.Replace(domains, at, after)
	})
}

// handleHeartbeat adopts what another entry knows, from a heartbeat that was delayed for a time.
func (v *evacuations) handleHeartbeat(m heartbeat.Message, delay time.Duration) {
	if v == nil || m.Role != mulberryspool.RoleEntry {
		return
	}
	v.observeEra(m.Summary.Era)
	v.update(m.Sender, func(now time.Time) []evacuation.Change {
		r := m.Summary.Evacuations
		answered := time.Duration(-1)
		if r != nil && r.AnsweredMillis > 0 {
			answered = time.Duration(r.AnsweredMillis) * time.Millisecond
		}
		v.election.Record(m.Sender, m.FailureDomain, answered, now)
		if r == nil {
			return nil
		}
		return v.view.Merge(*r, delay, now)
	})
}

// recordAlive records a heartbeat of another entry that has no report.
func (v *evacuations) recordAlive(sender string) {
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.election.RecordAlive(sender, v.Clock.Now())
}

// update changes what is known, by a peer or the store if peer is empty, and passes it on.
func (v *evacuations) update(peer string, change func(now time.Time) []evacuation.Change) {
	v.publish.Lock()
	defer v.publish.Unlock()
	v.mu.Lock()
	changes := change(v.Clock.Now())
	domains, at := v.view.Domains(), v.view.At()
	v.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	source := "store"
	if peer != "" {
		source = "peer"
	}
	for _, c := range changes {
		if !c.Evacuated {
			v.Ended(c.Domain, at)
		}
	}
	v.Changed(slices.Clone(domains))
	for _, c := range changes {
		message := "evacuation of a failure domain has ended"
		if c.Evacuated {
			message = "failure domain is evacuated, its servers get no further requests"
		}
		v.Logger.Warn().Str(logging.FieldStep, "evacuate").Str("domain", c.Domain).Bool("evacuated", c.Evacuated).Str("source", source).Str(logging.FieldPeer, peer).
			Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision)).Msg(message)
	}
}

// observeEra records an era of the store, as other calls or peers have shown.
func (v *evacuations) observeEra(era mulberryspool.Era) {
	if v != nil && era > 0 {
		v.follower.ObserveEra(era)
	}
}

// report returns what other entries need to know; nil if nothing is known.
func (v *evacuations) report() *evacuation.Report {
	if v == nil {
		return nil
	}
	watches := v.watches() && v.follower.Reachable()
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	r := v.view.Report(now)
	if r != nil && watches {
		r.AnsweredMillis = max(1, now.Sub(v.answeredAt).Milliseconds())
	}
	return r
}

// tick records that this process runs. Call it ten times a second.
func (v *evacuations) tick() {
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.view.Tick(v.Clock.Now())
}

// ready reports whether requests may be sent by what is known.
func (v *evacuations) ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	ready := v.view.Ready(v.Clock.Now())
	v.wasReady = v.wasReady || ready
	return ready
}

// synced reports whether requests could be sent since this process started.
func (v *evacuations) synced() bool { return v == nil || v.ready() || v.hasBeenReady() }

func (v *evacuations) hasBeenReady() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.wasReady
}

func (v *evacuations) reportMetrics() {
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.Metrics.Gauge("evacuated_domains").Update(float64(len(v.view.Domains())))
}
