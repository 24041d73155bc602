// Package desk holds what an entry believes of the fleet and lets requests
// wait for the decisions of package placement.
//
//	store, peers, agents --> Set... --\
//	forward ---------------> Place ----> placement.Placer of the pool --> Decision
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
		// Repeats is the budget that each pool begins with.
		Repeats repeats.Budget
		// Random is used under the desk's lock only.
		Random *rand.Rand
		// LoadChanged is called when other entries should soon hear of what
		// this one has in flight or waiting; it must not block.
		LoadChanged func()

		table atomic.Pointer[ingress.Table]

		mu      sync.Mutex
		pools   map[string]*pool
		servers map[mulberryspool.InstanceID]mulberryspool.BackendServer
		served  map[mulberryspool.InstanceID]Served
		// named holds since when each version of a model has been named.
		named map[string]map[int64]time.Time
		peers map[string]time.Time
	}

	// Served is what an agent says of its backend server.
	Served struct {
		Born int64
		// Version is the version that the server takes requests for; 0 for none.
		Version int64
		// Until is when the server takes nothing new; zero for not known.
		Until time.Time
		at    time.Time
	}

	pool struct {
		placer  placement.Placer
		repeats repeats.Budget
		waiting map[placement.Ticket]chan placement.Decision
		timer   clockwork.Timer
	}
)

const (
	// peerTimeout is how long an entry that says nothing counts as a sharer of budgets.
	peerTimeout = 3 * time.Second
	// servedTimeout is how long an agent's word goes before what the store says.
	servedTimeout = 3 * time.Second
)

// Table returns the routes in force, nil while none are known.
func (d *Desk) Table() *ingress.Table {
	return d.table.Load()
}

// SetIngress puts a version in force unless a newer one is, and says whether it did.
func (d *Desk) SetIngress(i mulberryspool.Ingress) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if current := d.table.Load(); current != nil && current.Ingress.Version >= i.Version {
		return false
	}
	d.prepare()
	d.table.Store(ingress.New(i))
	for name, figures := range i.Pools {
		// Nothing is routed to the pool that hands out weights.
		if figures.Origin != "" {
			continue
		}
		p := d.pool(name)
		p.placer.SetPool(figures)
		d.fill(name, p)
	}
	return true
}

// SetServers takes over all backend servers.
func (d *Desk) SetServers(servers map[mulberryspool.InstanceID]mulberryspool.BackendServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prepare()
	d.servers = servers
	for id := range d.served {
		if _, ok := servers[id]; !ok {
			delete(d.served, id)
		}
	}
	for name, p := range d.pools {
		d.fill(name, p)
		d.decide(p)
	}
}

// SetServed takes in what an agent says of its backend server.
func (d *Desk) SetServed(id mulberryspool.InstanceID, s Served) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prepare()
	s.at = d.Clock.Now()
	d.served[id] = s
	b, ok := d.servers[id]
	if !ok {
		return
	}
	if p := d.pools[b.Pool]; p != nil {
		p.placer.SetServed(id, s.Born, s.Version, s.Until)
		d.decide(p)
	}
}

// SetNamed takes in that a version of a model is to be served, and since when.
func (d *Desk) SetNamed(model string, version int64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prepare()
	if d.named[model] == nil {
		d.named[model] = make(map[int64]time.Time)
	}
	d.named[model][version] = at
	for name, p := range d.pools {
		d.fill(name, p)
	}
}

// SetPeer takes in what another entry says of itself, and how many of its
// requests wait for a place of each pool.
func (d *Desk) SetPeer(peer string, said placement.Peer, waiting map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prepare()
	now := d.Clock.Now()
	d.peers[peer] = now
	for name, p := range d.pools {
		said.Waiting = waiting[name]
		p.placer.SetPeer(peer, said, now)
		d.decide(p)
	}
}

// Expire forgets peers that have been silent.
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
		p.placer.Expire(now)
		d.decide(p)
	}
}

// Loads returns what this entry has in flight.
func (d *Desk) Loads() map[mulberryspool.InstanceID]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[mulberryspool.InstanceID]placement.Load)
	for _, p := range d.pools {
		p.placer.Own(loads)
	}
	return loads
}

// Waiting returns the pools for which requests of this entry wait.
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

// Place returns when a request is placed or refused, or the context ends.
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
		d.notePlaced(decision)
		return decision
	}
	d.loadChanged()
	decided := make(chan placement.Decision, 1)
	p.waiting[decision.Ticket] = decided
	d.arm(p)
	d.mu.Unlock()
	select {
	case decision = <-decided:
		d.notePlaced(decision)
		return decision
	case <-ctx.Done():
		return d.withdraw(p, decision, decided)
	}
}

func (d *Desk) notePlaced(decision placement.Decision) {
	if decision.Verdict == placement.Placed {
		d.loadChanged()
	}
}

func (d *Desk) loadChanged() {
	if d.LoadChanged != nil {
		d.LoadChanged()
	}
}

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
	decision.Verdict, decision.Reason = placement.Refused, placement.ReasonTooLate
	return decision
}

// Request counts a live request of the pool.
func (d *Desk) Request(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[name]; p != nil {
		p.repeats.Request(d.Clock.Now())
	}
}

// AllowRepeat takes one repeat from the pool's budget.
func (d *Desk) AllowRepeat(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	return p != nil && p.repeats.Allow(d.Clock.Now(), 1+len(d.peers))
}

// Began takes in the first event of a request.
func (d *Desk) Began(name string, id mulberryspool.InstanceID, promptTokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[name]; p != nil {
		p.placer.Began(id, promptTokens)
		d.decide(p)
	}
}

// Ended takes in the end of an exchange.
func (d *Desk) Ended(name string, id mulberryspool.InstanceID, promptTokens int, began bool, o placement.Outcome, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[name]; p != nil {
		freed := p.placer.Ended(id, promptTokens, began, o, took, d.Clock.Now())
		d.decide(p)
		if freed && p.placer.Waiting() == 0 {
			// Requests of other entries may wait for the place.
			d.loadChanged()
		}
	}
}

// Paced takes in how fast a backend server writes against its published pace.
func (d *Desk) Paced(name string, id mulberryspool.InstanceID, ratio float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[name]; p != nil {
		p.placer.Paced(id, ratio)
	}
}

// Summary calls the function with the state of each pool.
func (d *Desk) Summary(report func(pool string, usable, places, inFlight, waiting int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	for name, p := range d.pools {
		usable, places, inFlight := p.placer.Summary(now)
		report(name, usable, places, inFlight, p.placer.Waiting())
	}
}

func (d *Desk) prepare() {
	if d.pools != nil {
		return
	}
	d.pools = make(map[string]*pool)
	d.served = make(map[mulberryspool.InstanceID]Served)
	d.named = make(map[string]map[int64]time.Time)
	d.peers = make(map[string]time.Time)
}

func (d *Desk) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{
			placer:  placement.Placer{Figures: d.Figures, Random: d.Random},
			repeats: d.Repeats,
			waiting: make(map[placement.Ticket]chan placement.Decision),
		}
		d.pools[name] = p
	}
	return p
}

// fill gives a pool all that is known of its servers.
func (d *Desk) fill(name string, p *pool) {
	var list []mulberryspool.BackendServer
	for _, b := range d.servers {
		if b.Pool == name {
			list = append(list, b)
		}
	}
	p.placer.SetServers(list)
	for _, b := range list {
		if s, ok := d.served[b.Instance]; ok && d.Clock.Since(s.at) < servedTimeout {
			p.placer.SetServed(b.Instance, s.Born, s.Version, s.Until)
		}
	}
	if table := d.table.Load(); table != nil {
		p.placer.SetNamed(d.named[table.Ingress.Pools[name].Model])
	}
}

// decide hands out decisions on requests that wait.
func (d *Desk) decide(p *pool) {
	if p.placer.Waiting() == 0 {
		return
	}
	for _, decision := range p.placer.Tick(d.Clock.Now()) {
		if decided, ok := p.waiting[decision.Ticket]; ok {
			decided <- decision
			delete(p.waiting, decision.Ticket)
		}
	}
	d.arm(p)
}

// arm sets the timer to the end of the first wait.
func (d *Desk) arm(p *pool) {
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	now := d.Clock.Now()
	if next, ok := p.placer.Next(now); ok {
		p.timer = d.Clock.AfterFunc(next.Sub(now), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.decide(p)
		})
	}
}
