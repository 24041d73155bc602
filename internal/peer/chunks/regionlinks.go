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

// RegionLinks limits the rate at which one agent fetches from other regions to
// its share of the link of each region pair. Set the exported fields before the
// first use.
type RegionLinks struct {
	Clock mulberryspool.Clock
	// BytesPerSecond is the rate of the link of a region pair in one direction.
	BytesPerSecond int64
	// LiveShare, LiveLatency and LiveLatencyLimit are those of Link.
	LiveShare        float64
	LiveLatency      func() time.Duration
	LiveLatencyLimit time.Duration
	// Agents returns the number of agents in this agent's region, which share the link.
	Agents func() int

	mu    sync.Mutex
	links map[string]*Link
}

// From returns the limiter of fetches from a region.
func (r *RegionLinks) From(region string) Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	link := r.links[region]
	if link == nil {
		link = &Link{Clock: r.Clock, LiveShare: r.LiveShare, LiveLatency: r.LiveLatency, LiveLatencyLimit: r.LiveLatencyLimit}
		if r.links == nil {
			r.links = make(map[string]*Link)
		}
		r.links[region] = link
	}
	share := min(1, regionOvercommitFactor/float64(max(1, r.Agents())))
	link.SetRate(int64(float64(r.BytesPerSecond) * share))
	return link
}
