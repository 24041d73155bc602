package silencesoak

import (
	"math/rand/v2"
	"time"
)

const (
	// restoreStream separates the random source of restores from those of the other events and
	// of the callers, so that the other events of a seed stay as they are.
	restoreStream = 1 << 32

	minAge, maxAge         = 500 * time.Millisecond, 9 * time.Second
	maxAway                = 2 * time.Second
	minRewrite, maxRewrite = 300 * time.Millisecond, 1500 * time.Millisecond
	// maxBetween is the time between two restores that follow each other. The second one may
	// come before what the first one lost is written again.
	maxBetween = 3 * time.Second
	// minReady and maxReady bound the time in which a server that is added is listed as ready.
	// It is short, as such a server never fails and so eases the other faults.
	minReady, maxReady = 500 * time.Millisecond, 2500 * time.Millisecond
	// aroundRestore is how long before a restore, and up to twice as long after it, many of
	// these servers leave.
	aroundRestore = 400 * time.Millisecond
)

// otherChanges are numbers of changes of objects that no entry reads. They are lost, or made at
// once after what was lost is written again, whose revisions may be behind or ahead of those of
// before.
var otherChanges = []int{0, 20, 300}

// Actions on the store, and of servers that are added and leave.
const (
	copyStore action = "store is copied: copy"
	away      action = "store is away"
	restore   action = "store returns: copy"
	rewrite   action = "what the store has lost is written again"
	deny      action = "store refuses: entry"
	admit     action = "store admits: entry"
	arrive    action = "is listed: added server"
	leave     action = "leaves: added server"
	remove    action = "is removed from the list: added server"
)

// addRestores adds restores of the store, some of which follow each other.
func (p *plan) addRestores(seed uint64) {
	p.random = rand.New(rand.NewPCG(seed, restoreStream))
	p.series(1500*time.Millisecond, 6*time.Second, func(at time.Duration) time.Duration {
		length := p.restore(at)
		if p.random.IntN(3) == 0 {
			next := p.between(minRewrite, maxBetween)
			length = next + p.restore(at+next)
		}
		return length
	})
}

// restore adds a restore that ends the time in which the store is away, and a server that
// leaves between the copy and what is written after the restore. It returns the time until that.
func (p *plan) restore(at time.Duration) time.Duration {
	copiedAt := max(0, at-p.between(minAge, maxAge))
	awayAt, rewriteAfter := max(0, at-p.between(0, maxAway)), p.between(minRewrite, maxRewrite)
	keepWatches, refused, target := p.random.IntN(2) == 0, p.random.IntN(3) == 0, p.random.IntN(entries)
	deniedAt, admittedAt := awayAt-p.between(0, time.Second), at+p.between(0, 4*time.Second)
	ready, removed, removedAfter := p.between(minReady, maxReady), p.random.IntN(2) == 0, p.between(500*time.Millisecond, 3*time.Second)
	leavesAt := copiedAt + p.between(100*time.Millisecond, at-copiedAt+time.Second)
	switch p.random.IntN(3) {
	case 0:
		// The copy lists the server as ready.
		leavesAt = copiedAt + p.between(ready/5, ready*4/5)
	case 1:
		leavesAt = max(copiedAt, at-aroundRestore) + p.between(0, 3*aroundRestore)
	}
	lost, after := otherChanges[p.random.IntN(len(otherChanges))], otherChanges[p.random.IntN(len(otherChanges))]
	held := p.random.IntN(3) > 0
	if at+rewriteAfter >= p.length {
		return rewriteAfter
	}
	p.add(event{at: copiedAt, action: copyStore, target: p.copies, changes: lost})
	p.add(event{at: awayAt, action: away})
	p.add(event{at: at, action: restore, target: p.copies, keepWatches: keepWatches, held: held})
	p.add(event{at: at + rewriteAfter, action: rewrite, changes: after})
	p.copies++
	if refused {
		p.add(event{at: deniedAt, action: deny, target: target})
		p.add(event{at: admittedAt, action: admit, target: target})
	}
	p.add(event{at: max(0, leavesAt-ready), action: arrive, target: p.leavers})
	p.add(event{at: leavesAt, action: leave, target: p.leavers})
	if removed {
		p.add(event{at: leavesAt + removedAfter, action: remove, target: p.leavers})
	}
	p.leavers++
	return rewriteAfter
}
