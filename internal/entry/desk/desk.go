// Package desk holds an entry's view of the pools and backend servers, and lets
// requests wait for the decisions of package placement.
//
//	store, peers, agents --> Set... --\
//	forward ---------------> Place ----> placement.Placer of the pool --> Decision
//
// The named version of a model is the one that the platform's operators want
// served.
package desk

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/ingress"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/repeats"
)

type (
	// Desk is shared by all requests of an entry. Set the exported fields
	// before the first call.
	Desk struct {
		Clock   mulberryspool.Clock
		Figures placement.Figures
		// Repeats is the initial retry budget of each pool.
		Repeats repeats.Budget
		// Random is used under the desk's lock only.
		Random *rand.Rand
		// LoadChanged is called when the requests that this entry has in flight
		// or waiting should be reported to the other entries soon; it must not
		// block.
		LoadChanged func()

		table atomic.Pointer[ingress.Table]

		mu      sync.Mutex
		pools   map[string]*pool
		servers map[mulberryspool.InstanceID]mulberryspool.BackendServer
		// agentReports holds the last report on each backend server.
		agentReports map[mulberryspool.InstanceID]Served
		// namedVersions holds when each version of a model became the named
		// version.
		namedVersions map[string]map[int64]time.Time
		// peers holds the time of the last report of each peer.
		peers map[string]time.Time
	}

	// Served is a report of an agent on its backend server.
	Served struct {
		Born int64
		// Version is the version that the server accepts requests for; 0 for none.
		Version int64
		// Until is when the server stops accepting requests; zero if unknown.
		Until      time.Time
		reportedAt time.Time
	}

	pool struct {
		placer      placement.Placer
		retryBudget repeats.Budget
		// waiting holds the channel on which each waiting request gets its decision.
		waiting map[placement.Ticket]chan placement.Decision
		timer   clockwork.Timer
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
func (d *Desk) Table() *ingress.Table {
	return d.table.Load()
}

// SetIngress puts a configuration in force and reports true, unless its version
// is not newer than the one in force.
func (d *Desk) SetIngress(i mulberryspool.Ingress) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if current := d.table.Load(); current != nil && current.Ingress.Version >= i.Version {
		return false
	}
	d.initMaps()
	d.table.Store(ingress.New(i))
	for name, figures := range i.Pools {
		// The pool that serves weights gets no requests.
		if figures.Origin != "" {
			continue
		}
		p := d.addPool(name)
		p.placer.SetPool(figures)
		d.syncServers(name, p)
	}
	return true
}

// SetServers replaces the backend servers of all pools.
func (d *Desk) SetServers(servers map[mulberryspool.InstanceID]mulberryspool.BackendServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initMaps()
	d.servers = servers
	for id := range d.agentReports {
		if _, ok := servers[id]; !ok {
			delete(d.agentReports, id)
		}
	}
	for name, p := range d.pools {
		d.syncServers(name, p)
		d.decideWaiting(p)
	}
}

// SetServed records an agent's report of its backend server.
func (d *Desk) SetServed(id mulberryspool.InstanceID, s Served) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initMaps()
	s.reportedAt = d.Clock.Now()
	d.agentReports[id] = s
	b, ok := d.servers[id]
	if !ok {
		return
	}
	if p := d.pools[b.Pool]; p != nil {
		p.placer.SetServedVersion(id, s.Born, s.Version, s.Until)
		d.decideWaiting(p)
	}
}

// SetNamed records when a version became the named version of a model.
func (d *Desk) SetNamed(model string, version int64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initMaps()
	if d.namedVersions[model] == nil {
		d.namedVersions[model] = make(map[int64]time.Time)
	}
	d.namedVersions[model][version] = at
	for name, p := range d.pools {
		d.syncServers(name, p)
	}
}

// SetPeer records the report of another entry, with the number of its requests
// that wait in each pool.
func (d *Desk) SetPeer(peer string, report placement.Peer, waiting map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initMaps()
	now := d.Clock.Now()
	d.peers[peer] = now
	for name, p := range d.pools {
		report.Waiting = waiting[name]
		p.placer.SetPeer(peer, report, now)
		d.decideWaiting(p)
	}
}

// Expire removes the peers that have not reported recently.
func (d *Desk) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	for peer, at := range d.peers {
		if now.Sub(at) > peerTimeout {
			delete(d.peers, peer)
		}
	}
	for _, p := range d.pools {
		p.placer.ExpirePeers(now)
		d.decideWaiting(p)
	}
}

// Loads returns what this entry has in flight at each backend server.
func (d *Desk) Loads() map[mulberryspool.InstanceID]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[mulberryspool.InstanceID]placement.Load)
	for _, p := range d.pools {
		p.placer.AddOwnLoads(loads)
	}
	return loads
}

// Waiting returns the number of this entry's waiting requests in each pool that
// has any.
func (d *Desk) Waiting() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[string]int)
	for name, p := range d.pools {
		if n := p.placer.Waiting(); n > 0 {
			waiting[name] = n
		}
	}
	return waiting
}

// Place waits until a request is placed or refused. It refuses the request if
// the context is done first.
func (d *Desk) Place(ctx context.Context, name string, r placement.Request) placement.Decision {
	d.mu.Lock()
	p := d.pools[name]
	if p == nil {
		d.mu.Unlock()
		return placement.Decision{Verdict: placement.Refused, Reason: placement.ReasonNoServer, RetryAfter: time.Second}
	}
	decision := p.placer.Offer(r, d.Clock.Now())
	if decision.Verdict != placement.Waiting {
		d.mu.Unlock()
		d.notifyIfPlaced(decision)
		return decision
	}
	d.notifyLoadChanged()
	decided := make(chan placement.Decision, 1)
	p.waiting[decision.Ticket] = decided
	d.resetTimer(p)
	d.mu.Unlock()
	select {
	case decision = <-decided:
		d.notifyIfPlaced(decision)
		return decision
	case <-ctx.Done():
		return d.withdraw(p, decision, decided)
	}
}

func (d *Desk) notifyIfPlaced(decision placement.Decision) {
	if decision.Verdict == placement.Placed {
		d.notifyLoadChanged()
	}
}

func (d *Desk) notifyLoadChanged() {
	if d.LoadChanged != nil {
		d.LoadChanged()
	}
}

// withdraw removes a waiting request and refuses it. If it was decided in the
// meantime, that decision stands.
func (d *Desk) withdraw(p *pool, decision placement.Decision, decided chan placement.Decision) placement.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
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

// Request adds a live request to the pool's retry budget.
func (d *Desk) Request(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[name]; p != nil {
		p.retryBudget.RecordRequest(d.Clock.Now())
	}
}

// AllowRepeat takes one retry from the pool's budget and reports false if the
// budget is used up.
func (d *Desk) AllowRepeat(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	return p != nil && p.retryBudget.Allow(d.Clock.Now(), 1+len(d.peers))
}

// Began records that the first event of a request, or its whole answer, was
// received.
func (d *Desk) Began(name string, id mulberryspool.InstanceID, promptTokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[name]; p != nil {
		p.placer.RecordFirstEvent(id, promptTokens)
		d.decideWaiting(p)
	}
}

// Ended records the end of an exchange. The argument firstEvent is whether Began
// was called for it.
func (d *Desk) Ended(name string, id mulberryspool.InstanceID, promptTokens int, firstEvent bool, o placement.Outcome, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[name]; p != nil {
		freed := p.placer.RecordEnd(id, promptTokens, firstEvent, o, took, d.Clock.Now())
		d.decideWaiting(p)
		if freed && p.placer.Waiting() == 0 {
			// Requests of other entries may be waiting for the freed capacity.
			d.notifyLoadChanged()
		}
	}
}

// Paced records the interval between two events of an answer, as a ratio to the
// published interval.
func (d *Desk) Paced(name string, id mulberryspool.InstanceID, ratio float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[name]; p != nil {
		p.placer.RecordSlowdown(id, ratio)
	}
}

// Summary calls report for each pool: the number of usable servers, their total
// capacity, and the requests in flight and waiting.
func (d *Desk) Summary(report func(pool string, usable, capacity, inFlight, waiting int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	for name, p := range d.pools {
		usable, capacity, inFlight := p.placer.Summary(now)
		report(name, usable, capacity, inFlight, p.placer.Waiting())
	}
}

func (d *Desk) initMaps() {
	if d.pools != nil {
		return
	}
	d.pools = make(map[string]*pool)
	d.agentReports = make(map[mulberryspool.InstanceID]Served)
	d.namedVersions = make(map[string]map[int64]time.Time)
	d.peers = make(map[string]time.Time)
}

// addPool returns the pool with the name and creates it if needed.
func (d *Desk) addPool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{
			placer:      placement.Placer{Config: d.Figures, Random: d.Random},
			retryBudget: d.Repeats,
			waiting:     make(map[placement.Ticket]chan placement.Decision),
		}
		d.pools[name] = p
	}
	return p
}

// syncServers passes what is known of a pool's servers to its placer.
func (d *Desk) syncServers(name string, p *pool) {
	var list []mulberryspool.BackendServer
	for _, b := range d.servers {
		if b.Pool == name {
			list = append(list, b)
		}
	}
	p.placer.SetServers(list)
	for _, b := range list {
		if s, ok := d.agentReports[b.Instance]; ok && d.Clock.Since(s.reportedAt) < agentReportTimeout {
			p.placer.SetServedVersion(b.Instance, s.Born, s.Version, s.Until)
		}
	}
	if table := d.table.Load(); table != nil {
		p.placer.SetNamedVersions(d.namedVersions[table.Ingress.Pools[name].Model])
	}
}

// decideWaiting decides on waiting requests and passes the decisions to their
// goroutines.
func (d *Desk) decideWaiting(p *pool) {
	if p.placer.Waiting() == 0 {
		return
	}
	for _, decision := range p.placer.DecideWaiting(d.Clock.Now()) {
		if decided, ok := p.waiting[decision.Ticket]; ok {
			decided <- decision
			delete(p.waiting, decision.Ticket)
		}
	}
	d.resetTimer(p)
}

// resetTimer sets the timer to the next time at which waiting requests must be
// decided although nothing else changes.
func (d *Desk) resetTimer(p *pool) {
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	now := d.Clock.Now()
	if next, ok := p.placer.NextWake(now); ok {
		p.timer = d.Clock.AfterFunc(next.Sub(now), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.decideWaiting(p)
		})
	}
}
