// Package scheduler holds an entry's view of the pools and backend servers, and
// lets requests wait for the decisions of package placement.
//
//	store, peers, agents --> Set... --\
//	forward ---------------> Place ----> placement.Placer of the pool --> Decision
//
// The named version of a model is the one that the platform's operators want
// served.
package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/ingress"
	"github.com/mulberryspool/mulberryspool/internal/entry/pathdelay"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/retrybudget"
)

type (
	// Scheduler is shared by all requests of an entry. Set the exported fields
	// before the first call.
	Scheduler struct {
		Clock     mulberryspool.Clock
		Placement placement.Config
		// RetryBudget is the initial retry budget of each pool.
		RetryBudget retrybudget.Budget
		// Random is used under the scheduler's lock only.
		Random *rand.Rand
		// LoadChanged is called when the requests that this entry has in flight
		// or waiting should be reported to the other entries soon; it must not
		// block.
		LoadChanged func()
		// KnowsEvacuations reports whether this process knows well enough which failure domains
		// are evacuated to send requests; nil for always. It must not call the Scheduler.
		KnowsEvacuations func() bool

		table atomic.Pointer[ingress.Table]

		mu      sync.Mutex
		pools   map[string]*pool
		servers map[mulberryspool.InstanceID]mulberryspool.BackendServer
		// agentReports holds the last report on each backend server.
		agentReports map[mulberryspool.InstanceID]AgentReport
		// namedVersions holds when each version of a model became the named
		// version.
		namedVersions map[string]map[int64]time.Time
		// peers holds the time of the last report of each peer.
		peers      map[string]time.Time
		pathDelays pathdelay.Delays
		// graceChanged holds the callbacks of OnGraceChange.
		graceChanged map[uint64]func()
		// evacuated holds the failure domains that are evacuated.
		evacuated         []string
		lastGraceCallback uint64
	}

	// AgentReport is a report of an agent on its backend server.
	AgentReport struct {
		Born int64
		// Version is the version that the server accepts requests for; 0 for none.
		Version int64
		// AcceptsUntil is when the server stops accepting requests; zero if unknown.
		AcceptsUntil time.Time
		reportedAt   time.Time
	}

	pool struct {
		placer      placement.Placer
		retryBudget retrybudget.Budget
		// waiting holds the channel on which each waiting request gets its decision.
		waiting map[placement.Ticket]chan placement.Decision
		timer   clockwork.Timer
		// heldBackReported is what Cold has reported so far.
		heldBackReported int64
	}
)

const (
	// peerTimeout is how long after its last report a peer counts as one of the
	// entries that share the retry budgets.
	peerTimeout = 3 * time.Second
	// agentReportTimeout is how long an agent's report takes precedence over the
	// version in the store.
	agentReportTimeout = 3 * time.Second
)

// Table returns the routes in force, or nil if none are known yet.
func (s *Scheduler) Table() *ingress.Table {
	return s.table.Load()
}

// SetIngress puts a configuration in force and reports true, unless its version
// is not newer than the one in force.
func (s *Scheduler) SetIngress(i mulberryspool.Ingress) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.table.Load(); current != nil && current.Ingress.Version >= i.Version {
		return false
	}
	s.initMaps()
	s.table.Store(ingress.New(i))
	for name, settings := range i.Pools {
		// The pool that serves weights gets no requests.
		if settings.Origin != "" {
			continue
		}
		p := s.addPool(name)
		p.placer.SetPool(settings)
		s.syncServers(name, p)
	}
	s.updateRegions()
	return true
}

// SetServers replaces the backend servers of all pools.
func (s *Scheduler) SetServers(servers map[mulberryspool.InstanceID]mulberryspool.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initMaps()
	s.servers = servers
	for id := range s.agentReports {
		if _, ok := servers[id]; !ok {
			delete(s.agentReports, id)
		}
	}
	for name, p := range s.pools {
		s.syncServers(name, p)
		s.decideWaiting(p)
	}
}

// SetAgentReport records an agent's report of its backend server.
func (s *Scheduler) SetAgentReport(id mulberryspool.InstanceID, report AgentReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initMaps()
	report.reportedAt = s.Clock.Now()
	s.agentReports[id] = report
	if report.Version == 0 {
		s.Clock.AfterFunc(agentReportTimeout, func() { s.expireDrain(id, report.reportedAt) })
	}
	b, ok := s.servers[id]
	if !ok {
		return
	}
	if p := s.pools[b.Pool]; p != nil {
		p.placer.RecordSwap(id, report.Version, s.Clock.Now())
		p.placer.SetServedVersion(id, report.Born, report.Version, report.AcceptsUntil)
		s.decideWaiting(p)
	}
}

// expireDrain uses a backend server again whose agent reported at the given time that it
// accepts no requests, and nothing since. The server's own object says what it serves.
func (s *Scheduler) expireDrain(id mulberryspool.InstanceID, reportedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, listed := s.servers[id]
	p := s.pools[b.Pool]
	if !listed || p == nil || !s.agentReports[id].reportedAt.Equal(reportedAt) {
		return
	}
	s.syncServers(b.Pool, p)
	s.decideWaiting(p)
}

// Place waits until a request is placed or refused. It refuses the request if
// the context is done first.
func (s *Scheduler) Place(ctx context.Context, name string, r placement.Request) placement.Decision {
	if !s.awaitEvacuations(ctx) {
		return placement.Decision{Verdict: placement.Refused, Reason: placement.ReasonEvacuationsUnknown, RetryAfter: evacuationsUnknownRetryAfter}
	}
	s.mu.Lock()
	p := s.pools[name]
	if p == nil {
		s.mu.Unlock()
		return placement.Decision{Verdict: placement.Refused, Reason: placement.ReasonNoServer, RetryAfter: time.Second}
	}
	r.Regions = s.regions(r.Scope)
	decision := p.placer.Offer(r, s.Clock.Now())
	if decision.Verdict != placement.Waiting {
		s.mu.Unlock()
		s.notifyIfPlaced(decision)
		return decision
	}
	s.notifyLoadChanged()
	decided := make(chan placement.Decision, 1)
	p.waiting[decision.Ticket] = decided
	s.resetTimer(p)
	s.mu.Unlock()
	select {
	case decision = <-decided:
		s.notifyIfPlaced(decision)
		return decision
	case <-ctx.Done():
		return s.withdraw(p, decision, decided)
	}
}

func (s *Scheduler) notifyIfPlaced(decision placement.Decision) {
	if decision.Verdict == placement.Placed {
		s.notifyLoadChanged()
	}
}

func (s *Scheduler) notifyLoadChanged() {
	if s.LoadChanged != nil {
		s.LoadChanged()
	}
}

// withdraw removes a waiting request and refuses it. If it was decided in the
// meantime, that decision stands.
func (s *Scheduler) withdraw(p *pool, decision placement.Decision, decided chan placement.Decision) placement.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case decision = <-decided:
		return decision
	default:
	}
	p.placer.Withdraw(decision.Ticket)
	delete(p.waiting, decision.Ticket)
	decision.Verdict, decision.Reason = placement.Refused, placement.ReasonWaitTimeout
	return decision
}

// RecordRequest adds a live request to the pool's retry budget.
func (s *Scheduler) RecordRequest(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		p.retryBudget.RecordRequest(s.Clock.Now())
	}
}

// AllowRetry takes one retry from the pool's budget and reports false if the
// budget is used up.
func (s *Scheduler) AllowRetry(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	return p != nil && p.retryBudget.Allow(s.Clock.Now(), 1+len(s.peers))
}

// HasRetry reports whether AllowRetry would allow a retry now.
func (s *Scheduler) HasRetry(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	return p != nil && p.retryBudget.Allows(s.Clock.Now(), 1+len(s.peers))
}

// RecordFirstEvent records that the first event of a request, or its whole
// response, was received.
func (s *Scheduler) RecordFirstEvent(name string, id mulberryspool.InstanceID, promptTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		p.placer.RecordFirstEvent(id, promptTokens)
		s.decideWaiting(p)
	}
}

// RecordEnd records the end of an exchange. The argument firstEvent is whether
// RecordFirstEvent was called for it.
func (s *Scheduler) RecordEnd(name string, id mulberryspool.InstanceID, promptTokens int, firstEvent bool, o placement.Outcome, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		freed := p.placer.RecordEnd(id, promptTokens, firstEvent, o, took, s.Clock.Now())
		s.decideWaiting(p)
		if freed && p.placer.Waiting() == 0 {
			// Requests of other entries may be waiting for the freed capacity.
			s.notifyLoadChanged()
		}
	}
}

// RecordSlowdown records the mean interval between the events of a response, as
// a ratio to the interval in the pool's engine profile.
func (s *Scheduler) RecordSlowdown(name string, id mulberryspool.InstanceID, ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		p.placer.RecordSlowdown(id, ratio)
	}
}

// Summary calls report for each pool: the number of usable servers, their total
// capacity, and the requests in flight and waiting.
func (s *Scheduler) Summary(report func(pool string, usable, capacity, inFlight, waiting int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for name, p := range s.pools {
		usable, capacity, inFlight := p.placer.Summary(now)
		report(name, usable, capacity, inFlight, p.placer.Waiting())
	}
}

func (s *Scheduler) initMaps() {
	if s.pools != nil {
		return
	}
	s.pools = make(map[string]*pool)
	s.agentReports = make(map[mulberryspool.InstanceID]AgentReport)
	s.namedVersions = make(map[string]map[int64]time.Time)
	s.peers = make(map[string]time.Time)
}

func (s *Scheduler) placementConfig() placement.Config {
	config := s.Placement
	config.PathDelays = &s.pathDelays
	return config
}

// addPool returns the pool with the name and creates it if needed.
func (s *Scheduler) addPool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{
			placer:      placement.Placer{Config: s.placementConfig(), Random: s.Random},
			retryBudget: s.RetryBudget,
			waiting:     make(map[placement.Ticket]chan placement.Decision),
		}
		p.placer.SetEvacuated(s.evacuated, s.Clock.Now())
		s.pools[name] = p
	}
	return p
}

// syncServers passes what is known of a pool's servers to its placer.
func (s *Scheduler) syncServers(name string, p *pool) {
	var list []mulberryspool.BackendServer
	for _, b := range s.servers {
		if b.Pool == name {
			list = append(list, b)
		}
	}
	p.placer.SetServers(list)
	if s.servers != nil {
		p.placer.ObserveCold(list, s.Clock.Now())
	}
	for _, b := range list {
		if report, ok := s.agentReports[b.Instance]; ok && s.Clock.Since(report.reportedAt) < agentReportTimeout {
			p.placer.SetServedVersion(b.Instance, report.Born, report.Version, report.AcceptsUntil)
		}
	}
	if table := s.table.Load(); table != nil {
		p.placer.SetNamedVersions(s.namedVersions[table.Ingress.Pools[name].Model])
	}
}

// decideWaiting decides on waiting requests and passes the decisions to their
// goroutines.
func (s *Scheduler) decideWaiting(p *pool) {
	if p.placer.Waiting() == 0 {
		return
	}
	for _, decision := range p.placer.DecideWaiting(s.Clock.Now()) {
		if decided, ok := p.waiting[decision.Ticket]; ok {
			decided <- decision
			delete(p.waiting, decision.Ticket)
		}
	}
	s.resetTimer(p)
}

// resetTimer sets the timer to the next time at which waiting requests must be
// decided although nothing else changes.
func (s *Scheduler) resetTimer(p *pool) {
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	now := s.Clock.Now()
	if next, ok := p.placer.NextWake(now); ok {
		p.timer = s.Clock.AfterFunc(next.Sub(now), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.decideWaiting(p)
		})
	}
}
