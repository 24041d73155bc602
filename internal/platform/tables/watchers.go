package tables

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// runElections reads the instance list regularly and elects watchers from it.
// If the list cannot be read, the result of the last election stays.
func (r *runner) runElections() {
	for {
		ctx, cancel := r.withTimeout(orDefault(r.CallTimeout, DefaultCallTimeout))
		members, err := r.InstanceList.Instances(ctx)
		cancel()
		if err == nil {
			r.send(elected{watcher: isWatcher(r.Identity, members, orDefault(r.WatchersPerDomain, DefaultWatchersPerDomain))})
		}
		select {
		case <-r.Clock.After(jitter(orDefault(r.ElectionInterval, DefaultElectionInterval), rand.Float64())):
		case <-r.ctx.Done():
			return
		}
	}
}

// isWatcher reports whether the process is among the count live instances of
// its failure domain with the highest rendezvous hash. All processes with the
// same list elect the same watchers.
func isWatcher(self mulberryspool.Identity, members []mulberryspool.ListedInstance, count int) bool {
	own := rendezvousHash(self.Instance)
	higher := 0
	for _, m := range members {
		if m.FailureDomain != self.FailureDomain || m.State != mulberryspool.InstanceLive || m.Instance == self.Instance {
			continue
		}
		if weight := rendezvousHash(m.Instance); weight > own || weight == own && m.Instance > self.Instance {
			higher++
		}
	}
	return higher < count
}

func rendezvousHash(id mulberryspool.InstanceID) uint64 {
	return xxhash.Sum64String(mulberryspool.TablesName + "\x00" + string(id))
}
