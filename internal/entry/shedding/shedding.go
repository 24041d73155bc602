// Package shedding decides which new requests of a pool are rejected early because the pool
// can't serve all of them.
//
//	Offer, Placed, Refused, PlacedOther --> Pool --> Admit, AdmitFirst or Reject
//	SetPeer ---------------------------------/ \----> Report
//
// It is built for this load: for some seconds, requests of several priorities together need
// up to twice the slots that the pool has, because a part of its servers is missing or rejoins
// slowly. What each priority offers, and how many requests get a slot, is counted over about
// half a second, so that it rises and falls with the load. The measured rate at which slots
// are taken is the capacity: it needs neither the service time nor the slots of the servers,
// and accounts for servers that are slow, limited or cold. The most urgent priorities are
// admitted completely as long as the capacity lasts. The less urgent ones share the rest,
// but each is admitted at least with a floor, a part of the share that all requests get
// on average. The floor holds for each workspace, so that one that sends much more than the
// others, or whose requests come at bad moments, doesn't take theirs. Only what a workspace
// lacks to its floor is admitted first.
//
// One entry sees a part of the load. During an overload the entries report their counts to
// each other, so that all of them calculate the same shares from the sums.
//
// A Pool does no I/O and reads no clock. It must be used by one goroutine at a time.
package shedding

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Admit lets a request wait for a slot in the order of its priority.
	Admit Verdict = iota
	// AdmitFirst lets a request wait with the most urgent ones. It belongs to the floor of
	// its workspace, which would be lost if it waited behind all more urgent requests.
	AdmitFirst
	// AdmitSecond lets a request of a floor wait just behind the most urgent ones, since its
	// priority gets the floor at all entries together.
	AdmitSecond
	// Reject is the verdict for a request that would take the slot of a more urgent one.
	Reject
)

const (
	// window is the time constant of the counts. Bursts last for seconds, and in a shorter
	// window an entry sees too few requests.
	window = 500 * time.Millisecond
	// floorShare is the floor of each workspace and priority as a part of the mean share that
	// is admitted. Callers require a quarter, and 0.4 is the aim; a few of those admitted are
	// not served.
	floorShare = 0.42
	// surplus is the part of the capacity by which more requests are admitted than it can
	// serve, so that no slot is left empty between two arrivals.
	surplus = 0.15
	// minSurplus is that of an entry that has got much more than its part of the slots.
	minSurplus = -0.1
	// excessWindow is the time constant of the average of an entry's part of the slots, and
	// excessTolerance by how much it may be too large, since it varies by chance.
	excessWindow    = time.Second
	excessTolerance = 0.05
	// minDeficit is the number of requests without a slot in the window below which none is
	// rejected. A few of them may just be waiting.
	minDeficit = 8
	// updateInterval is the minimum time between two calculations of the shares.
	updateInterval = 10 * time.Millisecond
	// peerTimeout is how long the counts of another entry are valid.
	peerTimeout = time.Second
	// maxWorkspaces is the number of workspaces of a priority with a floor of their own. The
	// others share one.
	maxWorkspaces = 512
	// minCredit bounds for how many requests a workspace that got more than its floor goes
	// without one that is admitted first.
	minCredit = -1
	// goldenRatio spreads the first requests of workspaces that floors admit.
	goldenRatio = 0.6180339887498949
	// maxReported is the maximum number of priorities in a report.
	maxReported = 16
)

type (
	// Verdict is the decision on a new request.
	Verdict int

	// Pool holds the counts of one pool. The zero value is ready to use.
	Pool struct {
		// levels is in the order of priorities.
		levels []level
		// other is the number of slots that other requests than new ones have taken, which
		// new ones could have had.
		other     float64
		decayedAt time.Time
		updatedAt time.Time
		peers     map[string]peer
		// excess is by how much this entry's part of the slots is too large.
		excess float64
		// overloaded is set while more is offered than can be served.
		overloaded bool
	}

	// level is the state of one priority.
	level struct {
		priority        int
		offered, placed float64
		// share is the part of its requests that is admitted, floor the part of them that
		// is admitted first.
		share, floor float64
		// hasFloor is set while all entries together give the priority its floor.
		hasFloor bool
		// credit spreads the admitted requests evenly.
		credit float64
		floors map[string]*workspaceFloor
		// lastCredit is with what the last workspace began.
		lastCredit float64
	}

	// Report holds an entry's counts of a pool for other entries.
	Report struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

		// Other is the number of slots that requests got that are not new.
		Other  int
		Counts []Count
	}

	// workspaceFloor is what a workspace has got of its floor.
	workspaceFloor struct {
		// credit is how many slots it lacks, pending how many of its requests wait.
		credit  float64
		pending int
	}

	// Count is what the new requests of a priority have offered and got within the window.
	Count struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

		Priority, Offered, Placed int
	}

	// Share is the part of the new requests of a priority that is admitted.
	Share struct {
		Priority int
		Share    float64
	}

	peer struct {
		at     time.Time
		report Report
	}
)

// Offer counts a new request of a workspace, and returns what is to be done with it if there
// are no free slots.
func (p *Pool) Offer(priority int, workspace string, now time.Time) Verdict {
	p.decay(now)
	p.level(priority).offered++
	p.update(now)
	l := p.level(priority)
	if l.share >= 1 {
		return Admit
	}
	f := l.floorOf(workspace)
	f.credit += l.floor
	if f.credit-float64(f.pending) >= 1 {
		f.pending++
		if l.hasFloor {
			return AdmitSecond
		}
		return AdmitFirst
	}
	l.credit += l.share
	if l.credit >= 1 {
		l.credit--
		f.pending++
		return Admit
	}
	return Reject
}

// floorOf returns the floor of a workspace, or that which further workspaces share.
func (l *level) floorOf(workspace string) *workspaceFloor {
	if f := l.floors[workspace]; f != nil {
		return f
	}
	if len(l.floors) >= maxWorkspaces {
		if f := l.floors[""]; f != nil {
			return f
		}
		workspace = ""
	}
	if l.floors == nil {
		l.floors = make(map[string]*workspaceFloor)
	}
	// Otherwise the first request of each of many small workspaces is rejected.
	l.lastCredit = math.Mod(l.lastCredit+goldenRatio, 1)
	f := &workspaceFloor{credit: l.lastCredit}
	l.floors[workspace] = f
	return f
}

// MostUrgent returns the most urgent priority of the pool.
func (p *Pool) MostUrgent() int {
	if len(p.levels) == 0 {
		return 0
	}
	return p.levels[0].priority
}

// Placed counts a slot that a new request of a workspace got.
func (p *Pool) Placed(priority int, workspace string, now time.Time) {
	p.decay(now)
	l := p.level(priority)
	l.placed++
	l.settle(workspace, 1)
}

// Refused records that a new request that was not rejected early got no slot.
func (p *Pool) Refused(priority int, workspace string) {
	p.level(priority).settle(workspace, 0)
}

// settle ends the wait of a request, which took a number of slots.
func (l *level) settle(workspace string, slots float64) {
	if len(l.floors) == 0 {
		return
	}
	f := l.floorOf(workspace)
	f.pending = max(0, f.pending-1)
	f.credit = max(f.credit-slots, minCredit)
}

// PlacedOther counts a slot that another request of a workspace than a new one got although a
// new one could have had it.
func (p *Pool) PlacedOther(priority int, workspace string, now time.Time) {
	p.decay(now)
	p.other++
	if l := p.level(priority); len(l.floors) > 0 {
		f := l.floorOf(workspace)
		f.credit = max(f.credit-1, minCredit)
	}
}

// Rate returns the number of slots per second that requests of this entry have got within
// the window.
func (p *Pool) Rate(now time.Time) float64 {
	p.decay(now)
	placed := p.other
	for _, l := range p.levels {
		placed += l.placed
	}
	return placed / window.Seconds()
}

// Competes reports whether another entry has requests for the overloaded pool.
func (p *Pool) Competes(name string) bool {
	peer, ok := p.peers[name]
	return ok && p.overloaded && len(peer.report.Counts) > 0
}

// Overloaded reports whether more new requests are offered than the pool can serve.
func (p *Pool) Overloaded(now time.Time) bool {
	p.decay(now)
	p.update(now)
	return p.overloaded
}

// Shares returns the shares of all priorities, the most urgent one first.
func (p *Pool) Shares(now time.Time) []Share {
	p.decay(now)
	p.update(now)
	shares := make([]Share, 0, len(p.levels))
	for _, l := range p.levels {
		shares = append(shares, Share{Priority: l.priority, Share: l.share})
	}
	return shares
}

// SetPeer records the counts of another entry.
func (p *Pool) SetPeer(name string, report Report, now time.Time) {
	if p.peers == nil {
		p.peers = make(map[string]peer)
	}
	p.peers[name] = peer{at: now, report: report}
	for _, c := range report.Counts[:min(len(report.Counts), maxReported)] {
		p.level(c.Priority)
	}
}

// Report returns the counts of this entry. It returns false if other entries don't need them,
// as the pool isn't overloaded.
func (p *Pool) Report(now time.Time) (Report, bool) {
	if !p.Overloaded(now) {
		return Report{}, false
	}
	report := Report{Other: int(math.Round(p.other))}
	for _, l := range p.levels[:min(len(p.levels), maxReported)] {
		report.Counts = append(report.Counts, Count{Priority: l.priority, Offered: int(math.Round(l.offered)), Placed: int(math.Round(l.placed))})
	}
	return report, true
}

func (p *Pool) find(priority int) (int, bool) {
	return slices.BinarySearchFunc(p.levels, priority, func(l level, priority int) int { return cmp.Compare(l.priority, priority) })
}

// level returns the state of a priority. The result is valid until the next call.
func (p *Pool) level(priority int) *level {
	i, ok := p.find(priority)
	if !ok {
		p.levels = slices.Insert(p.levels, i, level{priority: priority, share: 1})
	}
	return &p.levels[i]
}

// decay reduces the counts by the time that has passed.
func (p *Pool) decay(now time.Time) {
	passed := now.Sub(p.decayedAt)
	if passed <= 0 {
		return
	}
	p.decayedAt = now
	factor := decayFactor(passed)
	for i := range p.levels {
		p.levels[i].offered *= factor
		p.levels[i].placed *= factor
	}
	p.other *= factor
}

// update calculates the shares.
func (p *Pool) update(now time.Time) {
	if now.Sub(p.updatedAt) < updateInterval {
		return
	}
	passed := now.Sub(p.updatedAt)
	p.updatedAt = now
	offered, placed := make([]float64, len(p.levels)), make([]float64, len(p.levels))
	var sum, admitted float64
	capacity := p.other
	for i, l := range p.levels {
		offered[i], placed[i] = l.offered, l.placed
		sum += l.offered
		admitted += l.share * l.offered
		capacity += l.placed
	}
	ownAdmitted, ownPlaced := admitted, capacity
	for name, peer := range p.peers {
		age := now.Sub(peer.at)
		if age > peerTimeout {
			delete(p.peers, name)
			continue
		}
		factor := decayFactor(age)
		capacity += factor * float64(peer.report.Other)
		for _, c := range peer.report.Counts {
			if i, ok := p.find(c.Priority); ok {
				offered[i] += factor * float64(c.Offered)
				placed[i] += factor * float64(c.Placed)
				admitted += p.levels[i].share * factor * float64(c.Offered)
			}
			sum += factor * float64(c.Offered)
			capacity += factor * float64(c.Placed)
		}
	}
	p.overloaded = sum-capacity >= minDeficit && sum > (1+surplus)*capacity
	// Requests of one priority make way for nobody. Whether they wait depends on the queue alone.
	if !p.overloaded || slices.Max(offered) > sum-1 {
		p.excess = 0
		for i := range p.levels {
			p.levels[i].share, p.levels[i].floor, p.levels[i].floors = 1, 1, nil
		}
		return
	}
	floor := floorShare * capacity / sum
	p.updateExcess(ownAdmitted, ownPlaced, admitted, capacity, passed)
	capacity *= 1 + max(surplus-max(0, p.excess-excessTolerance), minSurplus)
	left := capacity - floor*sum
	for i := range p.levels {
		l := &p.levels[i]
		l.floor, l.share, l.hasFloor = floor, floor, placed[i] >= floor*offered[i]
		if more := min(left, (1-floor)*offered[i]); more > 0 {
			l.share = min(1, floor+more/offered[i])
			left -= more
		}
	}
}

// updateExcess updates by how much more of the requests that this entry admits get slots than of
// those that all entries admit. Entries use the slots that they have freed themselves again,
// so one that has got more than its part keeps it as long as it has waiting requests, and
// urgent ones of other entries get no slot.
func (p *Pool) updateExcess(ownAdmitted, ownPlaced, admitted, placed float64, passed time.Duration) {
	if ownAdmitted == 0 || placed == 0 {
		return
	}
	excess := ownPlaced/ownAdmitted*admitted/placed - 1
	p.excess += (excess - p.excess) * min(1, float64(passed)/float64(excessWindow))
}

func decayFactor(passed time.Duration) float64 {
	return math.Exp(-float64(passed) / float64(window))
}
