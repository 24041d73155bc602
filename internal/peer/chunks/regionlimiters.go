package chunks

import (
	"sync"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// regionOvercommitFactor is the multiple of its even share of a region pair's
// link that an agent may use. Only the agents selected by hash fetch a chunk from
// another region, a few chunks each, so at any time most agents of a region fetch
// nothing from another one.
const regionOvercommitFactor = 4

// RegionLimiters limits the rate at which one agent fetches from other regions to
// its share of the link of each region pair. Set the exported fields before the
// first use.
type RegionLimiters struct {
	Clock mulberryspool.Clock
	// BytesPerSecond is the rate of the link of a region pair in one direction.
	BytesPerSecond int64
	// LiveShare, LiveLatency and LiveLatencyLimit are those of LinkLimiter.
	LiveShare        float64
	LiveLatency      func() time.Duration
	LiveLatencyLimit time.Duration
	// AgentCount returns the number of agents in this agent's region, which share
	// the link.
	AgentCount func() int

	mu       sync.Mutex
	limiters map[string]*LinkLimiter
}

// Limiter returns the limiter of fetches from a region.
func (r *RegionLimiters) Limiter(region string) Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	limiter := r.limiters[region]
	if limiter == nil {
		limiter = &LinkLimiter{Clock: r.Clock, LiveShare: r.LiveShare, LiveLatency: r.LiveLatency, LiveLatencyLimit: r.LiveLatencyLimit}
		if r.limiters == nil {
			r.limiters = make(map[string]*LinkLimiter)
		}
		r.limiters[region] = limiter
	}
	share := min(1, regionOvercommitFactor/float64(max(1, r.AgentCount())))
	limiter.SetRate(int64(float64(r.BytesPerSecond) * share))
	return limiter
}
