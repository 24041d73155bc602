package routersim

import (
	"math/rand/v2"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	random     struct{ *baseline }
	roundRobin struct{ *baseline }
	// leastInFlight chooses the agent with the fewest requests in flight from
	// this entry.
	leastInFlight struct{ *baseline }

	// baseline tracks the agents and their requests in flight from this entry.
	baseline struct {
		rand     *rand.Rand
		ids      []mulberryspool.InstanceID
		inFlight map[mulberryspool.InstanceID]int
		next     int
	}
)

// Baselines returns simple routing policies to compare a router with, by name.
func Baselines() map[string]func(*rand.Rand) mulberryspool.Router {
	return map[string]func(*rand.Rand) mulberryspool.Router{
		"random":        func(r *rand.Rand) mulberryspool.Router { return random{newBaseline(r)} },
		"roundRobin":    func(r *rand.Rand) mulberryspool.Router { return roundRobin{newBaseline(r)} },
		"leastInFlight": func(r *rand.Rand) mulberryspool.Router { return leastInFlight{newBaseline(r)} },
	}
}

func newBaseline(r *rand.Rand) *baseline {
	return &baseline{rand: r, inFlight: make(map[mulberryspool.InstanceID]int)}
}

// Choose implements mulberryspool.Router.
func (r random) Choose(mulberryspool.RoutingRequest) (mulberryspool.InstanceID, bool) {
	return r.ids[r.rand.IntN(len(r.ids))], true
}

// Choose implements mulberryspool.Router.
func (r roundRobin) Choose(mulberryspool.RoutingRequest) (mulberryspool.InstanceID, bool) {
	r.next++
	return r.ids[r.next%len(r.ids)], true
}

// Choose implements mulberryspool.Router.
func (r leastInFlight) Choose(mulberryspool.RoutingRequest) (mulberryspool.InstanceID, bool) {
	best := r.ids[r.rand.IntN(len(r.ids))]
	for _, id := range r.ids {
		if r.inFlight[id] < r.inFlight[best] {
			best = id
		}
	}
	return best, true
}

// Update implements mulberryspool.Router.
func (b *baseline) Update(c mulberryspool.Candidate) {
	if _, found := b.inFlight[c.Instance]; !found {
		b.ids = append(b.ids, c.Instance)
		b.inFlight[c.Instance] = 0
	}
}

// Remove implements mulberryspool.Router; the simulation removes no agents.
func (b *baseline) Remove(mulberryspool.InstanceID) {}

// RecordStart implements mulberryspool.Router.
func (b *baseline) RecordStart(id mulberryspool.InstanceID, _ int, _ time.Time) {
	b.inFlight[id]++
}

// RecordEnd implements mulberryspool.Router.
func (b *baseline) RecordEnd(id mulberryspool.InstanceID, _ mulberryspool.RoutingResult) {
	b.inFlight[id]--
}
